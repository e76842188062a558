package demo

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"cassiadeal.example/cassiadeal/internal/schema"
	"cassiadeal.example/cassiadeal/internal/standin/engine"
	"cassiadeal.example/cassiadeal/internal/standin/platform"
	"cassiadeal.example/cassiadeal/internal/standin/service"
)

const rulesTemplate = `[pools]
drafts = model=loan-assistant vms=2 replicas=4 cold_limit=2 full_limit=8 fenced_orders=yes # loan desk: agreement drafts

[services]
bookings = targets=%s@fd-a,%s@fd-b cold_limit=2 full_limit=8 # loan desk: kit bookings

[accounts]
schools = token_sha256=%s rate=100 burst=100 concurrency=50 # loan desk: schools that borrow kit

[routes]
confirm = service=bookings method=POST path=/confirm repeat=never # loan desk: a second booking blocks kit
stock = service=bookings method=GET path=/stock/* repeat=safe # loan desk: a lookup may be asked again

[failure_domains]
fd-a = state=%s # platform team
fd-b = state=in # platform team

[weights]
loads = at_once=8 per_minute=100 # platform team: the weight store is rate-limited
`

func callerTokenHash() string {
	sum := sha256.Sum256([]byte(callerToken))
	return hex.EncodeToString(sum[:])
}

// standins are the external systems of the demo.
type standins struct {
	platform         *platform.Server
	platformAddress  string
	engines          map[string]*engine.Server // By failure domain.
	services         []*service.Server
	serviceAddresses []string
}

func startStandins() (s *standins, err error) {
	s = &standins{platform: platform.New(platform.Options{}), engines: make(map[string]*engine.Server)}
	defer func() {
		if err != nil {
			s.close()
		}
	}()
	if s.platformAddress, err = s.platform.Start("127.0.0.1:0"); err != nil {
		return s, err
	}
	var vms platform.VMs
	for _, domain := range []string{"fd-a", "fd-b"} {
		domainVMs, err := s.startEngines(domain)
		if err != nil {
			return s, err
		}
		vms.VMs = append(vms.VMs, domainVMs...)
	}
	for _, domain := range []string{"fd-a", "fd-b"} {
		server := service.New(service.Options{Name: "bookings-" + domain})
		if err := server.Start(); err != nil {
			return s, err
		}
		s.services = append(s.services, server)
		s.serviceAddresses = append(s.serviceAddresses, server.Addr())
	}
	return s, s.platform.SetVMs(vms)
}

// startEngines starts five VMs of one fabric domain: enough for two replicas of two VMs each and a spare.
func (s *standins) startEngines(domain string) ([]json.RawMessage, error) {
	const vmsPerDomain = 5
	options := engine.Options{ChecksFencing: true, TokenDelay: 2 * time.Millisecond, LoadTime: 300 * time.Millisecond}
	for i := range vmsPerDomain {
		options.VMs = append(options.VMs, engine.VM{Name: fmt.Sprintf("%s-vm-%d", domain, i), Listen: "127.0.0.1:0"})
	}
	server := engine.New(options)
	if err := server.Start(); err != nil {
		return nil, err
	}
	s.engines[domain] = server
	var vms []json.RawMessage
	for name, address := range server.Addrs() {
		data, err := protojson.Marshal(&schema.VM{
			Name: name, Address: address, FabricDomain: "fabric-" + strings.TrimPrefix(domain, "fd-"), FailureDomain: domain,
			State: schema.VMState_VM_STATE_LIVE,
		})
		if err != nil {
			return nil, err
		}
		vms = append(vms, data)
	}
	return vms, nil
}

func (s *standins) close() {
	for _, e := range s.engines {
		e.Close()
	}
	for _, server := range s.services {
		server.Close()
	}
	s.platform.Close()
}

// generateCount returns the number of generate requests that the engines of a failure domain received.
func (s *standins) generateCount(domain string) int {
	n := 0
	for _, vm := range s.engines[domain].Record().VMs {
		n += len(vm.Generates)
	}
	return n
}

// executionCount returns how often the services ran the request with this idempotency key.
func (s *standins) executionCount(key string) int {
	n := 0
	for _, server := range s.services {
		n += server.Record().ByKey[key]
	}
	return n
}

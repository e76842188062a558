package node

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/encoding/protojson"

	"cassiadeal.example/cassiadeal/internal/groups"
	"cassiadeal.example/cassiadeal/internal/operator"
	"cassiadeal.example/cassiadeal/internal/schema"
	"cassiadeal.example/cassiadeal/internal/settings"
	"cassiadeal.example/cassiadeal/internal/standin/engine"
	"cassiadeal.example/cassiadeal/internal/standin/platform"
	"cassiadeal.example/cassiadeal/internal/standin/service"
	"cassiadeal.example/cassiadeal/test/faultproxy"
)

const (
	pathsToken = "paths-token"
	pathsWait  = 30 * time.Second // Allows for a busy machine; not a stated limit.
)

const pathsRules = `[pools]
drafts = model=loan-assistant vms=2 replicas=2 cold_limit=4 full_limit=8 fenced_orders=yes # test

[services]
bookings = targets=%s@fd-a cold_limit=4 full_limit=8 # test

[accounts]
schools = token_sha256=%s rate=1000 burst=1000 concurrency=500 # test

[routes]
confirm = service=bookings method=POST path=/confirm repeat=never # test
stock = service=bookings method=GET path=/stock/* repeat=safe # test

[failure_domains]
fd-a = state=in # test
fd-b = state=in # test

[weights]
loads = at_once=8 per_minute=100 # test
`

// ownPaths are the paths of one node to engines and services. Lost paths lose open connections and new ones without a sign.
type ownPaths struct {
	mu      sync.Mutex
	lost    []string                     // Addresses.
	proxies map[string]*faultproxy.Proxy // By address of the target.
}

func (p *ownPaths) dial(ctx context.Context, address string) (net.Conn, error) {
	p.mu.Lock()
	lost, proxy := slices.Contains(p.lost, address), p.proxies[address]
	if proxy == nil {
		var err error
		if proxy, err = faultproxy.New(address); err != nil {
			p.mu.Unlock()
			return nil, err
		}
		p.proxies[address] = proxy
	}
	p.mu.Unlock()
	if lost {
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: ctx.Err()}
	}
	return (&net.Dialer{}).DialContext(ctx, "tcp", proxy.Addr())
}

// setLost makes the paths to these targets, and no others, lost.
func (p *ownPaths) setLost(addresses ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lost = addresses
	for _, address := range addresses {
		if proxy := p.proxies[address]; proxy != nil {
			proxy.FreezeExisting()
		}
	}
}

func (p *ownPaths) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, proxy := range p.proxies {
		proxy.Close()
	}
}

// pathsSystem has one fabric domain of five VMs, two replicas of two VMs each and one back end of a service, in the failure domain of the
// first of three nodes. That node holds all targets and controls the fabric domain.
type pathsSystem struct {
	*testing.T
	platform *platform.Server
	engines  *engine.Server
	service  *service.Server
	nodes    []*Node
	paths    []*ownPaths // By node.
}

func startPathsSystem(t *testing.T) *pathsSystem {
	c := qt.New(t)
	s := &pathsSystem{T: t, platform: platform.New(platform.Options{}), service: service.New(service.Options{Name: "bookings"})}
	options := engine.Options{ChecksFencing: true, TokenDelay: time.Millisecond, LoadTime: 50 * time.Millisecond}
	for i := range 5 {
		options.VMs = append(options.VMs, engine.VM{Name: fmt.Sprint("vm-", i), Listen: "127.0.0.1:0"})
	}
	s.engines = engine.New(options)
	address, err := s.platform.Start("127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	t.Cleanup(func() { s.platform.Close() })
	c.Assert(s.engines.Start(), qt.IsNil)
	t.Cleanup(func() { s.engines.Close() })
	c.Assert(s.service.Start(), qt.IsNil)
	t.Cleanup(func() { s.service.Close() })
	var vms platform.VMs
	for name, address := range s.engines.Addrs() {
		vm, err := protojson.Marshal(&schema.VM{Name: name, Address: address, FabricDomain: "fabric-a", FailureDomain: "fd-a", State: schema.VMState_VM_STATE_LIVE})
		c.Assert(err, qt.IsNil)
		vms.VMs = append(vms.VMs, vm)
	}
	c.Assert(s.platform.SetVMs(vms), qt.IsNil)
	s.startNode("node-a", "fd-a", address)
	s.applyRules()
	s.await("the targets serve at the first node", func() error { return s.served(0) })
	s.startNode("node-b", "fd-b", address)
	s.startNode("node-c", "fd-b", address)
	s.await("all nodes serve", func() error {
		for i, n := range s.nodes {
			if len(n.liveNodes()) < len(s.nodes) {
				return fmt.Errorf("%s knows of %v", n.self.Name, n.liveNodes())
			}
			if err := s.served(i); err != nil {
				return err
			}
		}
		return nil
	})
	for _, target := range s.nodes[1].targetStatuses() {
		c.Assert(target.Holder, qt.Equals, "node-a")
	}
	return s
}

func (s *pathsSystem) startNode(name, domain, platformAddress string) {
	cfg := settings.Defaults()
	cfg.Node = settings.Node{Name: name, FailureDomain: domain}
	cfg.Listen = settings.Addresses{Caller: "127.0.0.1:0", Peer: "127.0.0.1:0", Operator: "127.0.0.1:0"}
	cfg.Advertise = cfg.Listen
	cfg.Platform.URL = "http://" + platformAddress
	cfg.Timing.AddressKeep, cfg.Timing.ShutdownLimit, cfg.Timing.StreamIdle = 100*time.Millisecond, time.Second, time.Second
	log := logrus.New()
	log.SetOutput(io.Discard)
	paths := &ownPaths{proxies: map[string]*faultproxy.Proxy{}}
	n, err := newNode(&cfg, logrus.NewEntry(log), paths.dial)
	qt.Assert(s, err, qt.IsNil)
	s.nodes, s.paths = append(s.nodes, n), append(s.paths, paths)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- n.Run(ctx) }()
	s.Cleanup(func() {
		stop()
		<-ended // A node that shuts down at its limit returns an error.
		paths.close()
	})
}

// await waits until the condition returns nil.
func (s *pathsSystem) await(what string, condition func() error) {
	s.Helper()
	var err error
	for end := time.Now().Add(pathsWait); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if err = condition(); err == nil {
			return
		}
	}
	s.Fatalf("%s: %v", what, err)
}

func (s *pathsSystem) applyRules() {
	hash := sha256.Sum256([]byte(pathsToken))
	text := fmt.Sprintf(pathsRules, s.service.Addr(), hex.EncodeToString(hash[:]))
	s.await("the rules are applied", func() error {
		body, err := json.Marshal(operator.ApplyRequest{BaseRevision: new(uint64), Rules: text, Author: "test"})
		if err != nil {
			return err
		}
		return s.call(http.MethodPost, "http://"+s.nodes[0].OperatorAddress()+"/v1/config", string(body), nil)
	})
}

// call sends a request and returns an error unless it is answered with 200.
func (s *pathsSystem) call(method, url, body string, header http.Header) error {
	ctx, cancel := context.WithTimeout(s.Context(), pathsWait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return err
	}
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set("Authorization", "Bearer "+pathsToken)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s %s: %d %s", method, url, resp.StatusCode, answer)
	}
	return nil
}

// served sends a request of each kind to a node.
func (s *pathsSystem) served(node int) error {
	base := "http://" + s.nodes[node].CallerAddress()
	if err := s.call(http.MethodPost, base+"/v1/pools/drafts/generate", `{"prompt":"p","max_tokens":4}`, nil); err != nil {
		return err
	}
	if err := s.call(http.MethodGet, base+"/v1/services/bookings/stock/hoops", "", nil); err != nil {
		return err
	}
	key, err := uuid.NewV7()
	if err != nil {
		return err
	}
	if err := s.call(http.MethodPost, base+"/v1/services/bookings/confirm", `{}`, http.Header{"Idempotency-Key": {key.String()}}); err != nil {
		return err
	}
	if runs := s.service.Record().ByKey[key.String()]; runs != 1 {
		return fmt.Errorf("a booking ran %d times", runs)
	}
	return nil
}

// targets returns the addresses of all engines and back ends.
func (s *pathsSystem) targets() []string {
	return append(slices.Collect(maps.Values(s.engines.Addrs())), s.service.Addr())
}

// generated counts the requests that engines have got.
func (s *pathsSystem) generated() int {
	count := 0
	for _, vm := range s.engines.Record().VMs {
		count += len(vm.Generates)
	}
	return count
}

// orders counts the orders that the engines have got.
func (s *pathsSystem) orders() int {
	count := 0
	for _, vm := range s.engines.Record().VMs {
		count += len(vm.Orders)
	}
	return count
}

// Guards against requests that fail, at all nodes, because the holder of the targets has lost its own paths to them.
func TestRequestsAreServedIfTheHolderHasLostItsPaths(t *testing.T) {
	for name, cut := range map[string][]int{"holder": {0}, "all but one": {0, 1}} {
		t.Run(name, func(t *testing.T) {
			s := startPathsSystem(t)
			for _, node := range cut {
				s.paths[node].setLost(s.targets()...)
			}
			for i := range s.nodes {
				qt.Check(t, s.served(i), qt.IsNil, qt.Commentf("node %d", i))
			}
			for _, node := range cut {
				s.paths[node].setLost()
			}
			for i := range s.nodes {
				qt.Check(t, s.served(i), qt.IsNil, qt.Commentf("node %d, after the paths have returned", i))
			}
		})
	}
}

// Guards against streams that end, and bookings that run twice, because their holder loses its paths while they run.
func TestRequestsInFlightWhenTheHolderLosesItsPaths(t *testing.T) {
	c := qt.New(t)
	s := startPathsSystem(t)
	delay := int64(1000)
	c.Assert(s.service.SetFaults(service.Faults{DelayMS: &delay}), qt.IsNil)
	base := "http://" + s.nodes[1].CallerAddress()
	booked := http.Header{"Idempotency-Key": {uuid.Must(uuid.NewV7()).String()}, "X-Timeout-Ms": {"3000"}}
	runs := func() int { return s.service.Record().ByKey[booked.Get("Idempotency-Key")] }
	book := func() error { return s.call(http.MethodPost, base+"/v1/services/bookings/confirm", `{}`, booked) }
	stream, booking := make(chan error, 1), make(chan error, 1)
	generated := s.generated()
	go func() {
		stream <- s.call(http.MethodPost, base+"/v1/pools/drafts/generate", `{"prompt":"long","max_tokens":2000}`, nil)
	}()
	go func() { booking <- book() }()
	s.await("both requests run", func() error {
		if runs() == 0 || s.generated() == generated {
			return errors.New("not yet")
		}
		return nil
	})
	s.paths[0].setLost(s.targets()...)
	c.Check(<-stream, qt.IsNil)
	c.Check(<-booking, qt.ErrorMatches, `(?s).* 502 .*outcome_unknown.*`)
	c.Check(book(), qt.ErrorMatches, `(?s).* 502 .*outcome_unknown.*`)
	c.Check(runs(), qt.Equals, 1)
}

// Guards against groups that are given up, and engines that are ordered elsewhere, because the controller of their fabric domain has lost
// its own paths to them.
func TestGroupsStayIfTheirControllerHasLostItsPaths(t *testing.T) {
	const longerThanALoss = 5 * time.Second // Timing.Lost of package groups is 3 s.
	for name, lost := range map[string]func(*pathsSystem) []string{
		"all":        (*pathsSystem).targets,
		"one member": func(s *pathsSystem) []string { return []string{s.nodes[1].groups.Groups()[0].Members[1].Address} },
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := startPathsSystem(t)
			groupsBefore, ordersBefore := s.nodes[1].groups.Groups(), s.orders()
			s.paths[0].setLost(lost(s)...)
			for end := time.Now().Add(longerThanALoss); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				c.Assert(s.nodes[1].groups.Groups(), qt.DeepEquals, groupsBefore)
			}
			s.paths[0].setLost()
			c.Check(s.served(0), qt.IsNil)
			c.Check(s.nodes[1].groups.Groups(), qt.DeepEquals, groupsBefore)
			c.Check(s.orders(), qt.Equals, ordersBefore)
		})
	}
}

// Guards against an engine that has ended and isn't replaced because the controller of its fabric domain has lost its own paths.
func TestLostEngineIsReplacedIfTheControllerHasLostItsPaths(t *testing.T) {
	for name, test := range map[string]struct {
		pathsLost bool
		dark      bool // The engine refuses no connections, but no node reaches it.
	}{
		"paths work": {false, false}, "paths lost": {true, false}, "paths work, dark engine": {false, true}, "paths lost, dark engine": {true, true},
	} {
		t.Run(name, func(t *testing.T) {
			s := startPathsSystem(t)
			var lost []string
			if test.pathsLost {
				lost = s.targets()
				s.paths[0].setLost(lost...)
				s.await("the node reaches engines through others", func() error { return s.served(0) })
			}
			ended := s.nodes[1].groups.Groups()[0].Members[1].VM
			down, began := true, time.Now()
			if test.dark {
				for i, paths := range s.paths {
					also := []string{s.engines.Addrs()[ended]}
					if i == 0 {
						also = append(also, lost...)
					}
					paths.setLost(also...)
				}
			} else {
				qt.Assert(t, s.engines.SetFaults(engine.Faults{VM: ended, Down: &down}), qt.IsNil)
			}
			s.await("the engine is replaced", func() error {
				for _, g := range s.nodes[1].groups.Groups() {
					if g.State != schema.GroupState_GROUP_STATE_READY || hasMember(g, ended) {
						return fmt.Errorf("group %s: %v", g.ID, g)
					}
				}
				return nil
			})
			t.Logf("replaced after %v", time.Since(began))
		})
	}
}

func hasMember(g groups.View, vm string) bool {
	return slices.ContainsFunc(g.Members, func(m groups.Member) bool { return m.VM == vm })
}

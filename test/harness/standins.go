package harness

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"cassiadeal.example/cassiadeal/internal/schema"
	"cassiadeal.example/cassiadeal/internal/standin/engine"
	"cassiadeal.example/cassiadeal/internal/standin/platform"
	"cassiadeal.example/cassiadeal/internal/standin/service"
)

// adminTimeout allows for a restart of a stand-in and for a fault switch that takes effect slowly.
const adminTimeout = 30 * time.Second

// standIn is a stand-in process with an admin address.
type standIn struct {
	*Process
	Admin string // host:port for fault switches and records
}

// Platform is a running platform stand-in.
type Platform struct {
	standIn
	Address string
}

// Engine is a running engine stand-in.
type Engine struct {
	standIn
	VMs map[string]string // address by VM name
}

// Service is a running service stand-in.
type Service struct {
	standIn
	Address string
}

// readyLine is what a stand-in prints when it is ready.
type readyLine struct {
	Admin   string
	Address string
	VMs     map[string]string
}

func startStandIn(t testing.TB, kind string, args []string) (standIn, readyLine) {
	t.Helper()
	p := Start(t, "standin", append([]string{kind}, args...)...)
	p.Name += " " + kind
	var ready readyLine
	p.WaitReady(&ready)
	return standIn{p, ready.Admin}, ready
}

// StartPlatform runs a platform stand-in, on a free port unless the arguments name one.
func StartPlatform(t testing.TB, args ...string) *Platform {
	t.Helper()
	s, ready := startStandIn(t, "platform", args)
	return &Platform{s, ready.Address}
}

// StartEngine runs an engine stand-in with the VMs on free ports.
func StartEngine(t testing.TB, vms []string, args ...string) *Engine {
	t.Helper()
	for _, vm := range vms {
		args = append(args, "--vm", vm+"=127.0.0.1:0")
	}
	s, ready := startStandIn(t, "engine", args)
	return &Engine{s, ready.VMs}
}

// StartService runs a service stand-in, on a free port unless the arguments name one.
func StartService(t testing.TB, name string, args ...string) *Service {
	t.Helper()
	s, ready := startStandIn(t, "service", append([]string{"--name", name}, args...))
	return &Service{s, ready.Address}
}

// mustCallAdmin sends a request to the admin address and decodes the answer into out unless that is nil. An error fails the test.
func (s standIn) mustCallAdmin(method, path string, in, out any) {
	s.t.Helper()
	if err := s.callAdmin(method, path, in, out); err != nil {
		s.t.Fatalf("%s: %s %s: %v", s.Name, method, path, err)
	}
}

func (s standIn) callAdmin(method, path string, in, out any) error {
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return err
		}
	}
	r, err := http.NewRequest(method, "http://"+s.Admin+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	client := http.Client{Timeout: adminTimeout}
	resp, err := client.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode >= 300 {
		return fmt.Errorf("status %d: %s", resp.StatusCode, data)
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(data, out)
}

// SetFaults replaces the faults of the platform.
func (p *Platform) SetFaults(f platform.Faults) {
	p.t.Helper()
	p.mustCallAdmin("POST", "/faults", f, nil)
}

// Restore takes the store away and brings it back from a copy. It returns when the store is back.
func (p *Platform) Restore(age, down time.Duration) {
	p.t.Helper()
	p.mustCallAdmin("POST", "/admin/restore", platform.Restore{AgeMS: age.Milliseconds(), DownMS: down.Milliseconds()}, nil)
}

// SetVMs sets the VM list, which the platform shows after the lag.
func (p *Platform) SetVMs(lag time.Duration, vms ...*schema.VM) {
	p.t.Helper()
	body := platform.VMs{VMs: []json.RawMessage{}, ListLagMS: lag.Milliseconds()}
	for _, vm := range vms {
		data, err := protojson.Marshal(vm)
		if err != nil {
			p.t.Fatalf("encode VM %v: %v", vm, err)
		}
		body.VMs = append(body.VMs, data)
	}
	p.mustCallAdmin("PUT", "/admin/vms", body, nil)
}

// Record returns the requests that the platform received and the writes that it accepted.
func (p *Platform) Record() (rec platform.Record) {
	p.t.Helper()
	p.mustCallAdmin("GET", "/record", nil, &rec)
	return rec
}

// SetFaults changes the fault switches of one VM, or of all if f names none, and waits until they are in effect.
func (e *Engine) SetFaults(f engine.Faults) {
	e.t.Helper()
	e.mustCallAdmin("POST", "/faults", f, nil)
}

// Record returns the record of each VM: what it received and did.
func (e *Engine) Record() map[string]engine.VMRecord {
	e.t.Helper()
	var rec engine.Record
	e.mustCallAdmin("GET", "/record", nil, &rec)
	return rec.VMs
}

// SetFaults changes the fault switches of the service and waits until they are in effect.
func (s *Service) SetFaults(f service.Faults) {
	s.t.Helper()
	s.mustCallAdmin("POST", "/faults", f, nil)
}

// Record returns what the service received and did.
func (s *Service) Record() (rec service.Record) {
	s.t.Helper()
	s.mustCallAdmin("GET", "/record", nil, &rec)
	return rec
}

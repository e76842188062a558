package cluster

import (
	"fmt"
	"maps"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"cassiadeal.example/cassiadeal/internal/schema"
	"cassiadeal.example/cassiadeal/internal/standin/engine"
	"cassiadeal.example/cassiadeal/test/faultproxy"
	"cassiadeal.example/cassiadeal/test/harness"
)

// StartEnginePerVM is Start with one engine process per VM, so that a test can freeze a single VM. The keys of Engines are
// then VM names. The cluster has no services.
func StartEnginePerVM(t testing.TB, o Options) *Cluster {
	t.Helper()
	o.Services = 0
	c := &Cluster{
		T: t, Options: o, Platform: harness.StartPlatform(t), Engines: map[string]*harness.Engine{}, VMs: map[string]*schema.VM{},
		VMProxy: map[string]*faultproxy.Proxy{}, Dir: t.TempDir(), Client: &http.Client{Timeout: 30 * time.Second},
	}
	for _, domain := range o.Domains {
		for i := range o.VMsPerDomain {
			c.AddVM(domain, fmt.Sprintf("%s-vm-%d", domain, i))
		}
	}
	c.SetVMs()
	for i, domain := range o.Nodes {
		c.Nodes = append(c.Nodes, c.StartNode(i, domain))
	}
	c.WaitMembers()
	c.MustApply(c.Rules(nil))
	c.WaitServing(o.Replicas)
	return c
}

// AddVM starts a VM with an engine process of its own. The platform lists it from the next SetVMs on.
func (c *Cluster) AddVM(domain, name string) {
	c.T.Helper()
	args := append([]string{fmt.Sprintf("--fenced=%t", c.Options.Fenced)}, c.Options.EngineArgs...)
	e := harness.StartEngine(c.T, []string{name}, args...)
	c.Engines[name] = e
	c.VMProxy[name] = c.Proxy(e.VMs[name])
	c.VMs[name] = &schema.VM{
		Name: name, Address: c.VMProxy[name].Addr(), FabricDomain: "fabric-" + domain, FailureDomain: domain,
		State: schema.VMState_VM_STATE_LIVE,
	}
}

// EngineOf returns the engine process that simulates a VM.
func (c *Cluster) EngineOf(vm string) *harness.Engine {
	if e := c.Engines[vm]; e != nil {
		return e
	}
	return c.Engines[c.VMs[vm].FailureDomain]
}

// SetVMFaults changes the fault switches of one VM.
func (c *Cluster) SetVMFaults(vm string, f engine.Faults) {
	c.T.Helper()
	f.VM = vm
	c.EngineOf(vm).SetFaults(f)
}

// Records returns the records of all VMs by name. It fails the test if a record is incomplete.
func (c *Cluster) Records() map[string]engine.VMRecord {
	c.T.Helper()
	all := map[string]engine.VMRecord{}
	for _, e := range c.Engines {
		for vm, record := range e.Record() {
			if record.Dropped > 0 {
				c.T.Fatalf("record of %s is incomplete: %d entries were dropped", vm, record.Dropped)
			}
			all[vm] = record
		}
	}
	return all
}

// PlanWrite is one version of the plan of a fabric domain that the platform accepted.
type PlanWrite struct {
	TimeUnixMS int64
	Client     string
	Version    uint64
	Plan       *schema.FabricDomain
}

// Plans returns the plans that the platform accepted, in the order of its record.
func (c *Cluster) Plans() []PlanWrite {
	c.T.Helper()
	record := c.Platform.Record()
	if record.DroppedWrites > 0 {
		c.T.Fatalf("record of the platform is incomplete: %d writes were dropped", record.DroppedWrites)
	}
	var plans []PlanWrite
	for _, w := range record.Writes {
		if w.Kind != "domains" || w.Deleted {
			continue
		}
		p := PlanWrite{w.TimeUnixMS, w.Client, w.Version, &schema.FabricDomain{}}
		if err := protojson.Unmarshal(w.Data, p.Plan); err != nil {
			c.T.Fatalf("plan version %d: %v", w.Version, err)
		}
		plans = append(plans, p)
	}
	return plans
}

// RequestCounts counts the requests that ended within one second.
type RequestCounts struct{ Served, Failed int }

// Workers sends requests from concurrent workers until it is stopped, and counts those that were served and that failed.
type Workers struct {
	stop    chan struct{}
	running sync.WaitGroup
	Served  atomic.Int64
	Failed  atomic.Int64

	mu      sync.Mutex
	seconds map[int64]RequestCounts // By Unix second.
}

// retryPause is the pause of a worker after a request without status 200. It keeps fast refusals from taking all CPU time.
const retryPause = 10 * time.Millisecond

// StartWorkers starts workers that call request with the nodes in turn and the number of the request. The end of the test
// stops them.
func (c *Cluster) StartWorkers(workers int, request func(d *Daemon, n int64) Answer) *Workers {
	w := &Workers{stop: make(chan struct{}), seconds: map[int64]RequestCounts{}}
	var next atomic.Int64
	for range workers {
		w.running.Go(func() {
			for {
				select {
				case <-w.stop:
					return
				default:
				}
				n := next.Add(1)
				a := request(c.Nodes[n%int64(len(c.Nodes))], n)
				if w.recordResult(a.Status == http.StatusOK && a.Err == nil) {
					continue
				}
				select {
				case <-w.stop:
					return
				case <-time.After(retryPause):
				}
			}
		})
	}
	c.T.Cleanup(w.Stop)
	return w
}

// Stop stops the workers and waits for the requests in flight.
func (w *Workers) Stop() {
	w.mu.Lock()
	select {
	case <-w.stop:
	default:
		close(w.stop)
	}
	w.mu.Unlock()
	w.running.Wait()
}

// recordResult counts a request that ended now. It returns served.
func (w *Workers) recordResult(served bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	second := time.Now().Unix()
	counts := w.seconds[second]
	if served {
		w.Served.Add(1)
		counts.Served++
	} else {
		w.Failed.Add(1)
		counts.Failed++
	}
	w.seconds[second] = counts
	return served
}

// PerSecond returns the counts of ended requests by Unix second.
func (w *Workers) PerSecond() map[int64]RequestCounts {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.seconds)
}

// SetVMsWithLag writes the VM list, which the platform shows after the lag. It returns the time, in Unix ms, from which the
// list is shown.
func (c *Cluster) SetVMsWithLag(lag time.Duration) (visibleUnixMS int64) {
	var list []*schema.VM
	for _, vm := range c.VMs {
		list = append(list, vm)
	}
	c.Platform.SetVMs(lag, list...)
	return time.Now().Add(lag).UnixMilli()
}

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

// StartSeparate is Start with one engine process per VM, so that a single VM can be frozen. Engines then has VM names as
// keys. The cluster has no services.
func StartSeparate(t testing.TB, o Options) *Cluster {
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

// AddVM starts a VM with a process of its own. SetVMs makes it known.
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

// EngineOf returns the process of a VM.
func (c *Cluster) EngineOf(vm string) *harness.Engine {
	if e := c.Engines[vm]; e != nil {
		return e
	}
	return c.Engines[c.VMs[vm].FailureDomain]
}

// VMFaults sets the switches of one VM.
func (c *Cluster) VMFaults(vm string, f engine.Faults) {
	c.T.Helper()
	f.VM = vm
	c.EngineOf(vm).Faults(f)
}

// Records returns what every VM received and did.
func (c *Cluster) Records() map[string]engine.VMRecord {
	c.T.Helper()
	all := map[string]engine.VMRecord{}
	for _, e := range c.Engines {
		for vm, record := range e.Record() {
			if record.Dropped > 0 {
				c.T.Fatalf("the record of %s lacks %d entries", vm, record.Dropped)
			}
			all[vm] = record
		}
	}
	return all
}

// PlanWrite is one accepted version of the plan of a fabric domain.
type PlanWrite struct {
	TimeUnixMS int64
	Client     string
	Version    uint64
	Plan       *schema.FabricDomain
}

// Plans returns all accepted plans in order of their versions, as the platform recorded them.
func (c *Cluster) Plans() []PlanWrite {
	c.T.Helper()
	record := c.Platform.Record()
	if record.DroppedWrites > 0 {
		c.T.Fatalf("the record of the platform lacks %d writes", record.DroppedWrites)
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

// Share counts the requests that ended in a second.
type Share struct{ Served, Failed int }

// Workers calls a function from concurrent workers until it is stopped.
type Workers struct {
	stop    chan struct{}
	running sync.WaitGroup
	Served  atomic.Int64
	Failed  atomic.Int64

	mu      sync.Mutex
	seconds map[int64]Share // By Unix second.
}

// retryPause keeps a worker whose request was refused from using up the machine.
const retryPause = 10 * time.Millisecond

// StartWorkers starts the workers, which spread their requests over the nodes. The end of the test stops them.
func (c *Cluster) StartWorkers(workers int, request func(d *Daemon, n int64) Answer) *Workers {
	w := &Workers{stop: make(chan struct{}), seconds: map[int64]Share{}}
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

// Stop ends the load after the requests under way.
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

// PerSecond returns what ended by Unix second.
func (w *Workers) PerSecond() map[int64]Share {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.seconds)
}

// SetVMsLate writes the VM list, which callers see after the lag. It returns when they do, in Unix ms.
func (c *Cluster) SetVMsLate(lag time.Duration) (shownUnixMS int64) {
	var list []*schema.VM
	for _, vm := range c.VMs {
		list = append(list, vm)
	}
	c.Platform.SetVMs(lag, list...)
	return time.Now().Add(lag).UnixMilli()
}

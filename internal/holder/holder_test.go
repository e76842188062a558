package holder

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"cassiadeal.example/cassiadeal/internal/platform"
)

const (
	term   = 3 * time.Second
	margin = 500 * time.Millisecond
)

// TestMain fixes the seed of the model-based tests unless the command line sets one.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("20261204") // The value is a number.
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// simulation is a platform and nodes whose membership has exact knowledge of all nodes. Only the test's goroutine advances
// its clock.
type simulation struct {
	t             rapid.TB
	now           time.Duration
	version       uint64
	objects       map[string]Object
	fault         writeFault
	delayedWrites []Object // Writes with an unknown outcome that are applied at the next advance.
	copies        []storeCopy
	nodes         []*process
	replaced      []*process // Processes that were replaced by a restart under the same name and may still send.
}

// storeCopy is the state of the platform before an advance.
type storeCopy struct {
	version uint64
	objects map[string]Object
}

// restore brings the platform back as it was the given number of advances ago, in the next era, with the versions that the platform
// client states.
func (sim *simulation) restore(advances int) {
	copied := storeCopy{}
	if n := len(sim.copies) - advances; n >= 0 && n < len(sim.copies) {
		copied = sim.copies[n]
	}
	era := platform.EraOf(sim.version) + 1
	sim.version, sim.objects, sim.copies = platform.VersionIn(era, platform.StoreVersion(copied.version)), map[string]Object{}, nil
	for name, o := range copied.objects {
		o.Version = platform.VersionIn(era, platform.StoreVersion(o.Version))
		sim.objects[name] = o
	}
}

// writeFault is a fault of the next write, which leaves its outcome unknown to the writer.
type writeFault int

const (
	replyLost    writeFault = iota + 1 // The write is applied. A conflict is still returned as such.
	writeLost                          // The write is not applied.
	writeDelayed                       // The write is applied at the next advance.
)

// process is one process of a node, with the state from which its membership is computed.
type process struct {
	sim *simulation
	*Holders
	id                                Identity
	domain                            string
	paused, draining                  bool
	platformCut, peersCut             bool
	leaseRenewedAt, majorityContactAt time.Duration
	// A process that started less than term + margin ago doesn't count towards a majority: it may not know of takeovers.
	startedAt time.Duration
}

func (sim *simulation) start(name, domain string, incarnation int) *process {
	p := &process{sim: sim, id: Identity{name, fmt.Sprint(incarnation)}, domain: domain, leaseRenewedAt: sim.now, startedAt: sim.now}
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	p.Holders = New(Options{
		Self: p.id, Platform: p, Members: p, Term: term, Margin: margin, Log: log,
		Now: func() time.Duration { return sim.now },
	})
	var targets []Target
	for i := range 6 {
		targets = append(targets, Target{fmt.Sprintf("t%d", i), []string{"x", "y"}[i%2]})
	}
	p.SetTargets(targets)
	return p
}

func (p *process) hasLease() bool          { return p.sim.now-p.leaseRenewedAt < term }
func (p *process) hasMajority() bool       { return p.sim.now-p.majorityContactAt < term }
func (p *process) RightToServe() bool      { return p.hasLease() || p.hasMajority() }
func (p *process) PlatformReachable() bool { return !p.platformCut }

func (p *process) Nodes() []Node {
	var list []Node
	for _, o := range p.sim.nodes {
		lapsed, silent := p.sim.now-o.leaseRenewedAt >= term+margin, p.sim.now-o.majorityContactAt >= term+margin
		list = append(list, Node{
			Identity: o.id, FailureDomain: o.domain, Live: !lapsed || !silent, Serving: !o.draining,
			LeaseLapsed: lapsed, ConfirmedSilent: silent && p.hasMajority(),
		})
	}
	return list
}

func (p *process) Get(_ context.Context, _, name string) (Object, error) {
	o, ok := p.sim.objects[name]
	switch {
	case p.platformCut:
		return Object{}, ErrUnavailable
	case !ok:
		return Object{}, ErrNotFound
	}
	return o, nil
}

func (p *process) List(context.Context, string) ([]Object, uint64, error) {
	if p.platformCut {
		return nil, 0, ErrUnavailable
	}
	var list []Object
	for _, o := range p.sim.objects {
		list = append(list, o)
	}
	return list, p.sim.version, nil
}

func (p *process) Create(_ context.Context, kind, name string, data []byte) (Object, error) {
	return p.put(Object{Kind: kind, Name: name, Data: data})
}

func (p *process) Update(_ context.Context, o Object) (Object, error) { return p.put(o) }

func (p *process) Watch(context.Context, string, uint64, time.Duration) ([]Event, uint64, error) {
	return nil, 0, errors.New("not used")
}

func (p *process) put(o Object) (Object, error) {
	if p.platformCut {
		return Object{}, ErrUnavailable
	}
	fault := p.sim.fault
	p.sim.fault = 0
	switch fault {
	case writeDelayed:
		p.sim.delayedWrites = append(p.sim.delayedWrites, o)
		p.platformCut = true // The process loses the platform before it can read the outcome.
		return Object{}, ErrOutcomeUnknown
	case writeLost:
		return Object{}, ErrOutcomeUnknown
	case replyLost:
		if _, err := p.sim.applyWrite(o); err != nil {
			return Object{}, err
		}
		return Object{}, ErrOutcomeUnknown
	}
	return p.sim.applyWrite(o)
}

func (sim *simulation) applyWrite(o Object) (Object, error) {
	if sim.objects[o.Name].Version != o.Version {
		return Object{}, ErrConflict
	}
	sim.version++
	o.Version = sim.version
	sim.objects[o.Name] = o
	return o, nil
}

func (sim *simulation) advance(d time.Duration) {
	ctx := context.Background()
	sim.now += d
	sim.copies = append(sim.copies, storeCopy{sim.version, maps.Clone(sim.objects)})
	for _, o := range sim.delayedWrites {
		_, _ = sim.applyWrite(o) // The writer gets no reply.
	}
	sim.delayedWrites = nil
	var connected []*process
	for _, p := range sim.nodes {
		if !p.paused && !p.peersCut && sim.now-p.startedAt >= term+margin {
			connected = append(connected, p)
		}
	}
	for _, p := range connected {
		if len(connected) > len(sim.nodes)/2 {
			p.majorityContactAt = sim.now
		}
	}
	for _, p := range sim.nodes {
		for _, o := range sim.nodes {
			if o != p && !p.paused && !o.paused && !p.peersCut && !o.peersCut {
				p.NoteTakeovers(o.id.Name, o.Takeovers()) // As heartbeats do.
			}
		}
	}
	for _, p := range sim.nodes {
		if p.paused {
			continue
		}
		if p.Reread(ctx) == nil {
			p.leaseRenewedAt = sim.now
		}
		p.Step(ctx)
		p.handovers.Wait()
		sim.check()
	}
}

// check verifies that if a process holds a target without doubt, no other process sends to that target.
func (sim *simulation) check() {
	for i := range 6 {
		id := fmt.Sprintf("t%d", i)
		var withoutDoubt, senders []Identity
		for _, p := range slices.Concat(sim.nodes, sim.replaced) {
			h, ok := p.Holds(id)
			if ok {
				senders = append(senders, p.id)
			}
			if ok && !h.InDoubt && p.hasLease() && p.hasMajority() {
				withoutDoubt = append(withoutDoubt, p.id)
			}
		}
		if len(withoutDoubt) > 0 && len(senders) > 1 {
			sim.t.Fatalf("%s is held by %v, without doubt by %v", id, senders, withoutDoubt)
		}
	}
}

// Guards against a node that sends to a target while another one holds it without doubt, under random pauses, lost
// connections, restarts, handovers, lost replies and restores of the platform's store from an older copy. After the faults end, every target must be held without doubt.
func TestHoldersModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := &simulation{t: t, now: time.Hour, objects: map[string]Object{}}
		for i, name := range []string{"a", "b", "c", "d"} {
			p := sim.start(name, []string{"x", "y"}[i%2], 0)
			p.majorityContactAt, p.startedAt = sim.now, 0
			sim.nodes = append(sim.nodes, p)
		}
		restarts := 0
		node := func(t *rapid.T) int { return rapid.IntRange(0, len(sim.nodes)-1).Draw(t, "node") }
		restart := func(i int) {
			restarts++
			old := sim.nodes[i]
			sim.replaced = append(sim.replaced, old)
			sim.nodes[i] = sim.start(old.id.Name, old.domain, restarts)
		}
		t.Repeat(map[string]func(*rapid.T){
			"advance":      func(*rapid.T) { sim.advance(500 * time.Millisecond) },
			"wait":         func(*rapid.T) { sim.advance(time.Second); sim.advance(time.Second); sim.advance(time.Second) },
			"pause":        func(t *rapid.T) { p := sim.nodes[node(t)]; p.paused = !p.paused },
			"cut platform": func(t *rapid.T) { p := sim.nodes[node(t)]; p.platformCut = !p.platformCut },
			"cut peers":    func(t *rapid.T) { p := sim.nodes[node(t)]; p.peersCut = !p.peersCut },
			"outage": func(*rapid.T) {
				for _, p := range sim.nodes {
					p.platformCut = true
				}
			},
			"restart": func(t *rapid.T) { restart(node(t)) },
			"restore": func(t *rapid.T) { sim.restore(rapid.IntRange(1, 12).Draw(t, "advances")) },
			"hand over": func(t *rapid.T) {
				i := node(t)
				sim.nodes[i].draining = true
				sim.nodes[i].handOverRound(context.Background())
				sim.check()
			},
			"write fault": func(t *rapid.T) { sim.fault = writeFault(rapid.IntRange(1, 3).Draw(t, "fault")) },
			"":            func(*rapid.T) { sim.check() },
		})
		sim.fault = 0
		for i, p := range sim.nodes {
			if p.draining {
				restart(i)
			}
			p.paused, p.platformCut, p.peersCut = false, false, false
		}
		for range 40 {
			sim.advance(500 * time.Millisecond)
		}
		held := 0
		for _, p := range sim.nodes {
			for id, h := range p.Held() {
				if h.InDoubt {
					t.Fatalf("%s is still in doubt at %v", id, p.id)
				}
				held++
			}
		}
		if held != 6 {
			t.Fatalf("%d of 6 targets are held after the faults", held)
		}
	})
}

// Guards against targets without a holder for the time of a platform outage that begins with a handover: the holder can't write it, and
// stops sending to them although nothing was written. If a write may still take effect, it must not send.
func TestHandoverInAnOutage(t *testing.T) {
	for _, test := range []struct {
		name  string
		fault writeFault
		cut   bool
		holds bool
	}{
		{"the table can't be read", 0, true, true},
		{"the write is delayed", writeDelayed, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			sim := &simulation{t: t, now: time.Hour, objects: map[string]Object{}}
			for i, name := range []string{"a", "b", "c"} {
				p := sim.start(name, []string{"x", "y"}[i%2], 0)
				p.majorityContactAt, p.startedAt = sim.now, 0
				sim.nodes = append(sim.nodes, p)
			}
			for range 20 {
				sim.advance(500 * time.Millisecond)
			}
			for _, p := range sim.nodes {
				for id := range p.Held() {
					next := sim.nodes[0]
					if next == p {
						next = sim.nodes[1]
					}
					target := Target{ID: id, FailureDomain: p.targets[id].FailureDomain}
					p.platformCut, sim.fault = test.cut, test.fault
					p.executeMoves(t.Context(), []Move{{target, next.id}})
					if _, holds := p.Holds(id); holds != test.holds {
						t.Errorf("%v holds %s after the handover: %v, want %v", p.id, id, holds, test.holds)
					}
					return
				}
			}
			t.Fatal("no target is held")
		})
	}
}

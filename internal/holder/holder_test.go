package holder

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"
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
	nodes         []*process
	replaced      []*process // Processes that were replaced by a restart under the same name and keep running.
}

type writeFault int

const (
	replyLost writeFault = iota + 1
	writeLost
	writeDelayed
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

func (w *simulation) start(name, domain string, incarnation int) *process {
	m := &process{sim: w, id: Identity{name, fmt.Sprint(incarnation)}, domain: domain, leaseRenewedAt: w.now, startedAt: w.now}
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	m.Holders = New(Options{
		Self: m.id, Platform: m, Members: m, Term: term, Margin: margin, Log: log,
		Now: func() time.Duration { return w.now },
	})
	var targets []Target
	for i := range 6 {
		targets = append(targets, Target{fmt.Sprintf("t%d", i), []string{"x", "y"}[i%2]})
	}
	m.SetTargets(targets)
	return m
}

func (m *process) hasLease() bool          { return m.sim.now-m.leaseRenewedAt < term }
func (m *process) hasMajority() bool       { return m.sim.now-m.majorityContactAt < term }
func (m *process) RightToServe() bool      { return m.hasLease() || m.hasMajority() }
func (m *process) PlatformReachable() bool { return !m.platformCut }

func (m *process) Nodes() []Node {
	var list []Node
	for _, o := range m.sim.nodes {
		lapsed, silent := m.sim.now-o.leaseRenewedAt >= term+margin, m.sim.now-o.majorityContactAt >= term+margin
		list = append(list, Node{
			Identity: o.id, FailureDomain: o.domain, Live: !lapsed || !silent, Serving: !o.draining,
			LeaseLapsed: lapsed, ConfirmedSilent: silent && m.hasMajority(),
		})
	}
	return list
}

func (m *process) Get(_ context.Context, _, name string) (Object, error) {
	o, ok := m.sim.objects[name]
	switch {
	case m.platformCut:
		return Object{}, ErrUnavailable
	case !ok:
		return Object{}, ErrNotFound
	}
	return o, nil
}

func (m *process) List(context.Context, string) ([]Object, uint64, error) {
	if m.platformCut {
		return nil, 0, ErrUnavailable
	}
	var list []Object
	for _, o := range m.sim.objects {
		list = append(list, o)
	}
	return list, m.sim.version, nil
}

func (m *process) Create(_ context.Context, kind, name string, data []byte) (Object, error) {
	return m.put(Object{Kind: kind, Name: name, Data: data})
}

func (m *process) Update(_ context.Context, o Object) (Object, error) { return m.put(o) }

func (m *process) Watch(context.Context, string, uint64, time.Duration) ([]Event, uint64, error) {
	return nil, 0, errors.New("not used")
}

func (m *process) put(o Object) (Object, error) {
	if m.platformCut {
		return Object{}, ErrUnavailable
	}
	fault := m.sim.fault
	m.sim.fault = 0
	switch fault {
	case writeDelayed:
		m.sim.delayedWrites = append(m.sim.delayedWrites, o)
		m.platformCut = true // The process loses the platform before it can read the outcome.
		return Object{}, ErrOutcomeUnknown
	case writeLost:
		return Object{}, ErrOutcomeUnknown
	case replyLost:
		if _, err := m.sim.applyWrite(o); err != nil {
			return Object{}, err
		}
		return Object{}, ErrOutcomeUnknown
	}
	return m.sim.applyWrite(o)
}

func (w *simulation) applyWrite(o Object) (Object, error) {
	if w.objects[o.Name].Version != o.Version {
		return Object{}, ErrConflict
	}
	w.version++
	o.Version = w.version
	w.objects[o.Name] = o
	return o, nil
}

func (w *simulation) advance(d time.Duration) {
	ctx := context.Background()
	w.now += d
	for _, o := range w.delayedWrites {
		_, _ = w.applyWrite(o) // The writer gets no reply.
	}
	w.delayedWrites = nil
	var connected []*process
	for _, m := range w.nodes {
		if !m.paused && !m.peersCut && w.now-m.startedAt >= term+margin {
			connected = append(connected, m)
		}
	}
	for _, m := range connected {
		if len(connected) > len(w.nodes)/2 {
			m.majorityContactAt = w.now
		}
	}
	for _, m := range w.nodes {
		for _, o := range w.nodes {
			if o != m && !m.paused && !o.paused && !m.peersCut && !o.peersCut {
				m.NoteTakeovers(o.id.Name, o.Takeovers()) // As heartbeats do.
			}
		}
	}
	for _, m := range w.nodes {
		if m.paused {
			continue
		}
		if m.Reread(ctx) == nil {
			m.leaseRenewedAt = w.now
		}
		m.Step(ctx)
		m.handovers.Wait()
		w.check()
	}
}

// check verifies that if a process uses the full limit of a target, no other process sends to that target.
func (w *simulation) check() {
	for i := range 6 {
		id := fmt.Sprintf("t%d", i)
		var withoutDoubt, senders []Identity
		for _, m := range slices.Concat(w.nodes, w.replaced) {
			h, ok := m.Holds(id)
			if ok {
				senders = append(senders, m.id)
			}
			if ok && !h.InDoubt && m.hasLease() && m.hasMajority() {
				withoutDoubt = append(withoutDoubt, m.id)
			}
		}
		if len(withoutDoubt) > 0 && len(senders) > 1 {
			w.t.Fatalf("%s is held by %v, without doubt by %v", id, senders, withoutDoubt)
		}
	}
}

// Guards against a node that sends to a target while another one uses the target's full limit, under random pauses, lost
// connections, restarts, handovers and lost replies. After the faults end, every target must be held without doubt.
func TestHoldersModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := &simulation{t: t, now: time.Hour, objects: map[string]Object{}}
		for i, name := range []string{"a", "b", "c", "d"} {
			m := sim.start(name, []string{"x", "y"}[i%2], 0)
			m.majorityContactAt, m.startedAt = sim.now, 0
			sim.nodes = append(sim.nodes, m)
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
			"pause":        func(t *rapid.T) { m := sim.nodes[node(t)]; m.paused = !m.paused },
			"cut platform": func(t *rapid.T) { m := sim.nodes[node(t)]; m.platformCut = !m.platformCut },
			"cut peers":    func(t *rapid.T) { m := sim.nodes[node(t)]; m.peersCut = !m.peersCut },
			"outage": func(*rapid.T) {
				for _, m := range sim.nodes {
					m.platformCut = true
				}
			},
			"restart": func(t *rapid.T) { restart(node(t)) },
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
		for i, m := range sim.nodes {
			if m.draining {
				restart(i)
			}
			m.paused, m.platformCut, m.peersCut = false, false, false
		}
		for range 40 {
			sim.advance(500 * time.Millisecond)
		}
		held := 0
		for _, m := range sim.nodes {
			for id, h := range m.Held() {
				if h.InDoubt {
					t.Fatalf("%s is still in doubt at %v", id, m.id)
				}
				held++
			}
		}
		if held != 6 {
			t.Fatalf("%d of 6 targets are held after the faults", held)
		}
	})
}

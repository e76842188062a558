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

// world is a platform, and nodes with ideal membership. Only the test's goroutine advances it.
type world struct {
	t       rapid.TB
	now     time.Duration
	version uint64
	objects map[string]Object
	fault   writeFault
	late    []Object // Writes without a reply that are still under way.
	nodes   []*member
	zombies []*member // Processes that a restart under the same name replaced.
}

type writeFault int

const (
	replyLost writeFault = iota + 1
	writeLost
	writeLate
)

// member is one node process with what membership knows about it.
type member struct {
	w *world
	*Holders
	id                  Identity
	domain              string
	paused, draining    bool
	noPlatform, noPeers bool
	renewed, heard      time.Duration
	// A process that started less than term + margin ago is no part of a majority: it doesn't know of takeovers.
	started time.Duration
}

func (w *world) start(name, domain string, incarnation int) *member {
	m := &member{w: w, id: Identity{name, fmt.Sprint(incarnation)}, domain: domain, renewed: w.now, started: w.now}
	quiet := logrus.New()
	quiet.SetLevel(logrus.PanicLevel)
	m.Holders = New(Options{
		Self: m.id, Platform: m, Members: m, Term: term, Margin: margin, Log: quiet,
		Now: func() time.Duration { return w.now },
	})
	var ts []Target
	for i := range 6 {
		ts = append(ts, Target{fmt.Sprintf("t%d", i), []string{"x", "y"}[i%2]})
	}
	m.SetTargets(ts)
	return m
}

func (m *member) lease() bool             { return m.w.now-m.renewed < term }
func (m *member) majority() bool          { return m.w.now-m.heard < term }
func (m *member) RightToServe() bool      { return m.lease() || m.majority() }
func (m *member) PlatformReachable() bool { return !m.noPlatform }

func (m *member) Nodes() []Node {
	var list []Node
	for _, o := range m.w.nodes {
		lapsed, silent := m.w.now-o.renewed >= term+margin, m.w.now-o.heard >= term+margin
		list = append(list, Node{
			Identity: o.id, FailureDomain: o.domain, Live: !lapsed || !silent, Serving: !o.draining,
			LeaseLapsed: lapsed, ConfirmedSilent: silent && m.majority(),
		})
	}
	return list
}

func (m *member) Get(_ context.Context, _, name string) (Object, error) {
	o, ok := m.w.objects[name]
	switch {
	case m.noPlatform:
		return Object{}, ErrUnavailable
	case !ok:
		return Object{}, ErrNotFound
	}
	return o, nil
}

func (m *member) List(context.Context, string) ([]Object, uint64, error) {
	if m.noPlatform {
		return nil, 0, ErrUnavailable
	}
	var list []Object
	for _, o := range m.w.objects {
		list = append(list, o)
	}
	return list, m.w.version, nil
}

func (m *member) Create(_ context.Context, kind, name string, data []byte) (Object, error) {
	return m.put(Object{Kind: kind, Name: name, Data: data})
}

func (m *member) Update(_ context.Context, o Object) (Object, error) { return m.put(o) }

func (m *member) Watch(context.Context, string, uint64, time.Duration) ([]Event, uint64, error) {
	return nil, 0, errors.New("not used")
}

func (m *member) put(o Object) (Object, error) {
	if m.noPlatform {
		return Object{}, ErrUnavailable
	}
	fault := m.w.fault
	m.w.fault = 0
	switch fault {
	case writeLate:
		m.w.late = append(m.w.late, o)
		m.noPlatform = true // Cut off before it can settle the outcome.
		return Object{}, ErrOutcomeUnknown
	case writeLost:
		return Object{}, ErrOutcomeUnknown
	case replyLost:
		if _, err := m.w.apply(o); err != nil {
			return Object{}, err
		}
		return Object{}, ErrOutcomeUnknown
	}
	return m.w.apply(o)
}

func (w *world) apply(o Object) (Object, error) {
	if w.objects[o.Name].Version != o.Version {
		return Object{}, ErrConflict
	}
	w.version++
	o.Version = w.version
	w.objects[o.Name] = o
	return o, nil
}

func (w *world) advance(d time.Duration) {
	ctx := context.Background()
	w.now += d
	for _, o := range w.late {
		_, _ = w.apply(o) // The writer doesn't learn of it.
	}
	w.late = nil
	var connected []*member
	for _, m := range w.nodes {
		if !m.paused && !m.noPeers && w.now-m.started >= term+margin {
			connected = append(connected, m)
		}
	}
	for _, m := range connected {
		if len(connected) > len(w.nodes)/2 {
			m.heard = w.now
		}
	}
	for _, m := range w.nodes {
		for _, o := range w.nodes {
			if o != m && !m.paused && !o.paused && !m.noPeers && !o.noPeers {
				m.NoteTakeovers(o.id.Name, o.Takeovers()) // Heartbeats carry them.
			}
		}
	}
	for _, m := range w.nodes {
		if m.paused {
			continue
		}
		if m.Reread(ctx) == nil {
			m.renewed = w.now
		}
		m.Step(ctx)
		m.moving.Wait()
		w.check()
	}
}

// check verifies that a process that uses the full limit of a target is the only one that sends to it.
func (w *world) check() {
	for i := range 6 {
		id := fmt.Sprintf("t%d", i)
		var sure, all []Identity
		for _, m := range slices.Concat(w.nodes, w.zombies) {
			h, ok := m.Holds(id)
			if ok {
				all = append(all, m.id)
			}
			if ok && !h.InDoubt && m.lease() && m.majority() {
				sure = append(sure, m.id)
			}
		}
		if len(sure) > 0 && len(all) > 1 {
			w.t.Fatalf("%s is held by %v, without doubt by %v", id, all, sure)
		}
	}
}

// Guards against two nodes that both use a target's full limit, over random pauses, cuts, restarts, handovers and lost
// replies. Once faults stop, every target must be held without doubt.
func TestHoldersModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, now: time.Hour, objects: map[string]Object{}}
		for i, name := range []string{"a", "b", "c", "d"} {
			m := w.start(name, []string{"x", "y"}[i%2], 0)
			m.heard, m.started = w.now, 0
			w.nodes = append(w.nodes, m)
		}
		restarts := 0
		node := func(t *rapid.T) int { return rapid.IntRange(0, len(w.nodes)-1).Draw(t, "node") }
		restart := func(i int) {
			restarts++
			old := w.nodes[i]
			w.zombies = append(w.zombies, old)
			w.nodes[i] = w.start(old.id.Name, old.domain, restarts)
		}
		t.Repeat(map[string]func(*rapid.T){
			"advance":      func(*rapid.T) { w.advance(500 * time.Millisecond) },
			"wait":         func(*rapid.T) { w.advance(time.Second); w.advance(time.Second); w.advance(time.Second) },
			"pause":        func(t *rapid.T) { m := w.nodes[node(t)]; m.paused = !m.paused },
			"cut platform": func(t *rapid.T) { m := w.nodes[node(t)]; m.noPlatform = !m.noPlatform },
			"cut peers":    func(t *rapid.T) { m := w.nodes[node(t)]; m.noPeers = !m.noPeers },
			"outage": func(*rapid.T) {
				for _, m := range w.nodes {
					m.noPlatform = true
				}
			},
			"restart": func(t *rapid.T) { restart(node(t)) },
			"hand over": func(t *rapid.T) {
				i := node(t)
				w.nodes[i].draining = true
				w.nodes[i].handOverRound(context.Background())
				w.check()
			},
			"write fault": func(t *rapid.T) { w.fault = writeFault(rapid.IntRange(1, 3).Draw(t, "fault")) },
			"":            func(*rapid.T) { w.check() },
		})
		w.fault = 0
		for i, m := range w.nodes {
			if m.draining {
				restart(i)
			}
			m.paused, m.noPlatform, m.noPeers = false, false, false
		}
		for range 40 {
			w.advance(500 * time.Millisecond)
		}
		held := 0
		for _, m := range w.nodes {
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

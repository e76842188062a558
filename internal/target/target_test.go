package target

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/result"
	"cassiadeal.example/cassiadeal/internal/rules"
)

const testTimeout = 10 * time.Second

// world is a table with a clock that only the test moves and reports that only the test gives.
type world struct {
	*testing.T
	table *Table
	mu    sync.Mutex
	now   time.Duration
}

func newWorld(t *testing.T, policy Policy, specs ...Spec) *world {
	w := &world{T: t, now: time.Hour}
	w.table = New(Options{Now: w.clock, Policy: policy})
	w.table.SetSpecs(specs)
	return w
}

func (w *world) clock() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.now
}

func (w *world) advance(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.now += d
}

func pool(id string, cold, full int) Spec {
	return Spec{ID: id, Destination: "pool/p", FailureDomain: "fd1", Address: id + ":1", Group: "g", Number: 7, MaxQueue: 2,
		Limits: rules.Limits{Cold: cold, Full: full}, Members: []Member{{VM: "a", Address: id + ":1", Incarnation: "i1"}, {VM: "b", Address: id + ":2", Incarnation: "i1"}}}
}

var ready = Report{Incarnation: "i1", Group: "g", Number: 7, Ready: true}

// report gives the result of a probe of one member that was sent age ago.
func (w *world) report(id string, rank int, r Report, age time.Duration, err error) {
	w.table.mu.Lock()
	defer w.table.mu.Unlock()
	g := w.table.targets[id]
	w.table.recordLocked(g, g.members[rank], r, w.clock()-age, err)
	if q := w.table.queues[g.spec.Destination]; q != nil {
		w.table.serveLocked(q)
	}
	g.notify()
}

func (w *world) allReady(ids ...string) {
	for _, id := range ids {
		for rank := range w.table.targets[id].members {
			w.report(id, rank, ready, 0, nil)
		}
	}
}

// try acquires a slot that must be there at once or not at all.
func (w *world) try(want Want) (*Slot, result.Code) {
	ctx, cancel := context.WithCancel(w.Context())
	cancel()
	if want.Destination == "" {
		want.Destination = "pool/p"
	}
	slot, err := w.table.Acquire(ctx, want)
	if err != nil {
		qt.Assert(w, result.From(err).NotRun, qt.IsTrue)
		return nil, result.From(err).Code
	}
	return slot, result.OK
}

// fill acquires slots until none is left and returns them.
func (w *world) fill() []*Slot {
	var slots []*Slot
	for {
		slot, code := w.try(Want{})
		if code != result.OK {
			return slots
		}
		slots = append(slots, slot)
	}
}

// complete runs n requests one after the other.
func (w *world) complete(n int) {
	for range n {
		slot, code := w.try(Want{})
		qt.Assert(w, code, qt.Equals, result.OK)
		slot.Release(Outcome{Completed: true})
	}
}

func (w *world) limit(id string) int {
	for _, s := range w.table.Status() {
		if s.ID == id {
			return s.Limit
		}
	}
	return -1
}

func (w *world) queued(n int) {
	w.Helper()
	deadline := time.Now().Add(testTimeout)
	for w.table.Summary()[0].GetQueued() != uint32(n) {
		qt.Assert(w, time.Now().Before(deadline), qt.IsTrue, qt.Commentf("never %d in the queue", n))
		time.Sleep(time.Millisecond)
	}
}

// Guards against dispatch to a group of which a part is missing, stale, in another group or restarted (invariant 1).
func TestDispatchableNeedsEveryMember(t *testing.T) {
	change := func(f func(*Report)) Report { r := ready; f(&r); return r }
	for _, test := range []struct {
		name   string
		report Report
		age    time.Duration
		ok     bool
	}{
		{"ready", ready, 0, true},
		{"just fresh", ready, DefaultFreshness - time.Millisecond, true},
		{"stale by the sending of the probe", ready, DefaultFreshness, false},
		{"other group", change(func(r *Report) { r.Group = "h" }), 0, false},
		{"other number", change(func(r *Report) { r.Number = 8 }), 0, false},
		{"other incarnation", change(func(r *Report) { r.Incarnation = "i2" }), 0, false},
		{"loading", change(func(r *Report) { r.Loading = true }), 0, false},
		{"not ready", change(func(r *Report) { r.Ready = false }), 0, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			w := newWorld(t, nil, pool("t1", 1, 4))
			w.report("t1", 0, ready, 0, nil)
			_, code := w.try(Want{})
			qt.Assert(t, code, qt.Not(qt.Equals), result.OK) // Nothing is known of rank 1.
			w.report("t1", 1, test.report, test.age, nil)
			slot, code := w.try(Want{})
			qt.Assert(t, code == result.OK, qt.Equals, test.ok)
			if test.ok {
				qt.Assert(t, slot.Check(), qt.IsNil)
				w.advance(DefaultFreshness)
				qt.Assert(t, slot.Check(), qt.IsNotNil) // Grew stale between the slot and the first byte.
			}
		})
	}
}

// Guards against more load than a cold target bears (invariant 3), and against growth with time.
func TestLimitGrowsWithCompletions(t *testing.T) {
	w := newWorld(t, nil, pool("t1", 2, 4))
	w.allReady("t1")
	w.advance(DefaultFreshness / 2)
	w.allReady("t1")
	for _, step := range []struct{ completions, limit int }{{0, 2}, {1, 2}, {1, 3}, {2, 3}, {1, 4}, {9, 4}} {
		w.complete(step.completions)
		qt.Assert(t, w.limit("t1"), qt.Equals, step.limit)
	}
	slots := w.fill()
	qt.Assert(t, slots, qt.HasLen, 4)
	slots[0].Release(Outcome{}) // Neither completed nor lost: changes nothing.
	qt.Assert(t, w.limit("t1"), qt.Equals, 4)
}

// Guards against a group that never warms up because a member that gets no requests stays cold.
func TestColdMemberWithoutRequests(t *testing.T) {
	cold := ready
	cold.Cold = true
	w := newWorld(t, nil, pool("t1", 1, 4))
	w.report("t1", 0, ready, 0, nil)
	for range 3 {
		w.report("t1", 1, cold, 0, nil)
		w.complete(2)
	}
	qt.Assert(t, w.limit("t1"), qt.Equals, 4)
}

// Guards against a warm limit for a target that may have restarted, and against forgetting what is in flight there.
func TestResetToCold(t *testing.T) {
	cold, restarted := ready, ready
	cold.Cold, restarted.Incarnation = true, "i2"
	for _, test := range []struct {
		name  string
		event func(*world, *Slot)
	}{
		{"missed probe", func(w *world, _ *Slot) { w.report("t1", 1, Report{}, 0, errors.New("timeout")) }},
		{"cold report", func(w *world, _ *Slot) { w.report("t1", 1, cold, 0, nil) }},
		{"new incarnation", func(w *world, _ *Slot) { w.report("t1", 1, restarted, 0, nil) }},
		{"lost connection", func(_ *world, s *Slot) { s.Release(Outcome{ConnectionLost: true}) }},
		{"pause of this node", func(w *world, _ *Slot) { w.advance(DefaultFreshness) }},
		{"group number", func(w *world, _ *Slot) {
			s := pool("t1", 1, 4)
			s.Number = 8
			w.table.SetSpecs([]Spec{s})
			s.Number = 7
			w.table.SetSpecs([]Spec{s})
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			w := newWorld(t, nil, pool("t1", 1, 4))
			w.allReady("t1")
			w.complete(6)
			qt.Assert(t, w.limit("t1"), qt.Equals, 4)
			slots := w.fill()
			test.event(w, slots[0])
			w.allReady("t1")
			qt.Assert(t, w.limit("t1"), qt.Equals, 1)
			qt.Assert(t, slots[1].Check(), qt.IsNotNil) // Not sent yet, and there is no room for it any more.
			for _, slot := range slots[:3] {
				slot.Release(Outcome{Completed: true}) // Began before the reset: proves nothing.
			}
			qt.Assert(t, w.limit("t1"), qt.Equals, 1)
			_, code := w.try(Want{})
			qt.Assert(t, code, qt.Not(qt.Equals), result.OK) // One is still in flight.
			slots[3].Release(Outcome{Completed: true})
			_, code = w.try(Want{})
			qt.Assert(t, code, qt.Equals, result.OK)
		})
	}
}

// Guards against a report from before a break that makes a lost target look ready.
func TestLostConnectionNeedsNewReport(t *testing.T) {
	w := newWorld(t, nil, pool("t1", 1, 4))
	w.allReady("t1")
	slot, _ := w.try(Want{})
	w.advance(10 * time.Millisecond)
	slot.Release(Outcome{ConnectionLost: true})
	for _, age := range []time.Duration{20 * time.Millisecond, 0} { // Sent before the break, after it.
		w.report("t1", 0, ready, age, nil)
		w.report("t1", 1, ready, age, nil)
		_, code := w.try(Want{})
		qt.Assert(t, code == result.OK, qt.Equals, age == 0)
	}
}

// Guards against two nodes that together send more than the cold limit.
func TestInDoubt(t *testing.T) {
	doubt := func(s Spec) Spec { s.InDoubt = true; return s }
	w := newWorld(t, nil, doubt(pool("t1", 3, 4)))
	w.allReady("t1")
	w.complete(20)
	qt.Assert(t, w.limit("t1"), qt.Equals, 1)
	w.table.SetSpecs([]Spec{doubt(pool("t1", 1, 4))})
	qt.Assert(t, w.limit("t1"), qt.Equals, 0)
	_, code := w.try(Want{})
	qt.Assert(t, code, qt.Equals, result.NoTarget)

	w = newWorld(t, nil, pool("t1", 1, 3))
	w.allReady("t1")
	w.complete(1) // Limit 2: partly warm.
	w.table.SetSpecs([]Spec{doubt(pool("t1", 1, 3))})
	qt.Assert(t, w.limit("t1"), qt.Equals, 0)
	w.table.SetSpecs([]Spec{pool("t1", 1, 3)})
	w.complete(2)
	w.table.SetSpecs([]Spec{doubt(pool("t1", 1, 3))})
	qt.Assert(t, w.limit("t1"), qt.Equals, 3) // This node warmed it.
}

// Guards against wrong order, starvation of low priorities, and slots lost to waiters that gave up.
func TestQueueOrder(t *testing.T) {
	s := pool("t1", 1, 1)
	s.MaxQueue = 10
	w := newWorld(t, nil, s)
	w.allReady("t1")
	busy, _ := w.try(Want{})
	served := make(chan string, 10)
	var waiting sync.WaitGroup
	wait := func(ctx context.Context, name string, p rules.Priority) {
		before := int(w.table.Summary()[0].GetQueued())
		waiting.Go(func() {
			slot, err := w.table.Acquire(ctx, Want{Destination: "pool/p", Priority: p})
			if err != nil {
				served <- name + " refused"
				return
			}
			served <- name
			slot.Release(Outcome{Completed: true})
		})
		w.queued(before + 1)
	}
	ctx, cancel := context.WithCancel(t.Context())
	wait(t.Context(), "old low", rules.PriorityLow)
	for range 10 { // 5 s, more than the head start of high over low.
		w.advance(DefaultFreshness / 2)
		w.allReady("t1")
	}
	wait(t.Context(), "low", rules.PriorityLow)
	wait(ctx, "gone", rules.PriorityHigh)
	wait(t.Context(), "high 1", rules.PriorityHigh)
	wait(t.Context(), "normal", rules.PriorityNormal)
	wait(t.Context(), "high 2", rules.PriorityHigh)
	cancel()
	qt.Assert(t, <-served, qt.Equals, "gone refused")
	w.queued(5)
	w.allReady("t1")
	busy.Release(Outcome{Completed: true})
	waiting.Wait()
	for _, name := range []string{"old low", "high 1", "high 2", "normal", "low"} {
		qt.Assert(t, <-served, qt.Equals, name)
	}
	qt.Assert(t, w.table.InFlight("t1"), qt.Equals, 0)
}

// Guards against unbounded queues and waits that can't end in time.
func TestEarlyRefusal(t *testing.T) {
	w := newWorld(t, nil, pool("t1", 1, 1))
	_, code := w.try(Want{Destination: "pool/other"})
	qt.Assert(t, code, qt.Equals, result.NoTarget)
	w.allReady("t1")
	slot, _ := w.try(Want{})
	w.advance(500 * time.Millisecond) // The observed service time.
	w.allReady("t1")
	slot.Release(Outcome{Completed: true})
	_, code = w.try(Want{Exclude: []string{"t1"}})
	qt.Assert(t, code, qt.Equals, result.NoTarget)
	busy, _ := w.try(Want{})
	acquire := func(left time.Duration) *result.Error {
		want := Want{Destination: "pool/p"}
		if left > 0 {
			want.Deadline = w.clock() + left
		}
		_, err := w.table.Acquire(t.Context(), want)
		return result.From(err)
	}
	qt.Assert(t, acquire(499*time.Millisecond).Code, qt.Equals, result.DeadlineUnreachable)
	refused := make(chan *result.Error, 2)
	for n := range 2 {
		go func() { refused <- acquire(0) }()
		w.queued(n + 1)
	}
	full := acquire(0)
	qt.Assert(t, full.Code, qt.Equals, result.QueueFull)
	qt.Assert(t, full.RetryAfter, qt.Equals, 1500*time.Millisecond)
	w.advance(DefaultFreshness)
	w.report("t1", 0, Report{}, 0, errors.New("refused")) // Nothing to wait for any more.
	qt.Assert(t, (<-refused).Code, qt.Equals, result.NoTarget)
	qt.Assert(t, (<-refused).Code, qt.Equals, result.NoTarget)
	busy.Release(Outcome{})
}

// Guards against new work for a leaving target, and against a handover that forgets work in flight (invariants 8, 9).
func TestDrainAndRemove(t *testing.T) {
	w := newWorld(t, nil, pool("t1", 2, 2))
	w.allReady("t1")
	first, _ := w.try(Want{})
	second, _ := w.try(Want{})
	draining := pool("t1", 2, 2)
	draining.Draining = true
	w.table.SetSpecs([]Spec{draining})
	_, code := w.try(Want{})
	qt.Assert(t, code, qt.Equals, result.NoTarget)
	qt.Assert(t, second.Check(), qt.IsNotNil)
	first.Release(Outcome{Completed: true})
	w.table.SetSpecs(nil)
	qt.Assert(t, w.table.InFlight("t1"), qt.Equals, 1)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	qt.Assert(t, w.table.WaitIdle(ended, "t1"), qt.Equals, context.Canceled)
	go second.Release(Outcome{Completed: true})
	qt.Assert(t, w.table.WaitIdle(t.Context(), "t1"), qt.IsNil)
	qt.Assert(t, w.table.Status(), qt.HasLen, 0)
}

// Guards against hot spots: affinity must hold while the load allows it and give way above the bound.
func TestPolicies(t *testing.T) {
	loads := func(policy Policy, prefix func(i int) uint64) map[string]int {
		var candidates []Candidate
		for i := range 4 {
			candidates = append(candidates, Candidate{ID: fmt.Sprint("t", i), Limit: 100})
		}
		got := map[string]int{}
		for i := range 80 {
			at := policy.Choose(prefix(i), candidates)
			candidates[at].InFlight++
			got[candidates[at].ID]++
		}
		return got
	}
	same := func(int) uint64 { return 42 }
	for name, policy := range map[string]Policy{"least load": &LeastLoad{}, "round robin": &RoundRobin{}, "affinity without prefix": &Affinity{}} {
		got := loads(policy, func(int) uint64 { return 0 })
		qt.Assert(t, got, qt.DeepEquals, map[string]int{"t0": 20, "t1": 20, "t2": 20, "t3": 20}, qt.Commentf("%s", name))
	}
	for id, n := range loads(&Affinity{}, same) {
		qt.Assert(t, n <= 26, qt.IsTrue, qt.Commentf("%s has %d of 80", id, n)) // ceil(1.25 * 80 / 4) + 1.
	}
	idle := []Candidate{{ID: "t0", Limit: 1}, {ID: "t1", Limit: 1}, {ID: "t2", Limit: 1}}
	first := (&Affinity{}).Choose(42, idle)
	qt.Assert(t, (&Affinity{}).Choose(42, idle), qt.Equals, first)
	idle[first].InFlight = 1
	qt.Assert(t, (&Affinity{}).Choose(42, idle), qt.Not(qt.Equals), first)
	qt.Assert(t, (&Affinity{}).Choose(42, []Candidate{{ID: "t0"}}), qt.Equals, -1)
}

// slowProber takes the whole freshness bound for each answer.
type slowProber struct{ w *world }

func (p slowProber) Probe(context.Context, bool, string) (Report, error) {
	p.w.advance(DefaultFreshness)
	return ready, nil
}

// Guards against reports that are dated by their arrival.
func TestReportAgeCountsFromSending(t *testing.T) {
	w := newWorld(t, nil, pool("t1", 1, 1))
	w.table.opt.Prober = slowProber{w}
	g := w.table.targets["t1"]
	w.table.probeOnce(t.Context(), g, g.members[0])
	qt.Assert(t, g.members[0].unusable(g.spec, w.clock(), DefaultFreshness), qt.Equals, "report too old")
}

// Guards against overlapping probes of one member and a silent probe connection that is used again.
func TestRunProbes(t *testing.T) {
	var mu sync.Mutex
	running, highest, hangs := 0, 0, 1
	connections := map[string]bool{}
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
		mu.Lock()
		running++
		highest = max(highest, running)
		connections[req.RemoteAddr] = true
		hang := hangs > 0
		hangs--
		mu.Unlock()
		if hang {
			select {
			case <-req.Context().Done(): // The prober closed the connection.
			case <-release:
			}
		}
		mu.Lock()
		running--
		mu.Unlock()
		fmt.Fprintf(rw, `{"incarnation":"i1","cold":%t}`, req.URL.Path != "/healthz")
	}))
	defer server.Close()
	defer close(release)
	table := New(Options{Probe: time.Millisecond, ProbeTimeout: 50 * time.Millisecond, Freshness: testTimeout})
	table.SetSpecs([]Spec{{ID: "s1", Destination: "service/s", Address: server.Listener.Addr().String(), MaxQueue: 1, Limits: rules.Limits{Cold: 1, Full: 2}}})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); table.Run(ctx) }()
	slot, err := table.Acquire(ctx, Want{Destination: "service/s"}) // Waits for the first report.
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, slot.Incarnation, qt.Equals, "i1")
	qt.Assert(t, slot.Lost(ctx), qt.IsFalse)
	server.CloseClientConnections()
	server.Listener.Close()
	qt.Assert(t, slot.Lost(ctx), qt.IsTrue)
	cancel()
	<-done
	mu.Lock()
	defer mu.Unlock()
	qt.Assert(t, highest, qt.Equals, 1)
	qt.Assert(t, connections, qt.HasLen, 2)
}

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

// fixture is a table whose clock and probe results are controlled by the test.
type fixture struct {
	*testing.T
	table *Table
	mu    sync.Mutex
	now   time.Duration
}

func newFixture(t *testing.T, policy Policy, specs ...Spec) *fixture {
	f := &fixture{T: t, now: time.Hour}
	f.table = New(Options{Now: f.clock, Policy: policy})
	f.table.SetSpecs(specs)
	return f
}

func (f *fixture) clock() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

func (f *fixture) advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now += d
}

func poolSpec(id string, cold, full int) Spec {
	return Spec{ID: id, Destination: "pool/p", FailureDomain: "fd1", Address: id + ":1", Group: "g", Number: 7, MaxQueue: 2,
		Limits: rules.Limits{Cold: cold, Full: full}, Members: []Member{{VM: "a", Address: id + ":1", Incarnation: "i1"}, {VM: "b", Address: id + ":2", Incarnation: "i1"}}}
}

var readyReport = Report{Incarnation: "i1", Group: "g", Number: 7, Ready: true}

// recordReport records the result of a probe that was sent to one member the given time ago.
func (f *fixture) recordReport(id string, rank int, report Report, age time.Duration, err error) {
	f.table.mu.Lock()
	defer f.table.mu.Unlock()
	tgt := f.table.targets[id]
	f.table.recordProbeLocked(tgt, tgt.members[rank], report, f.clock()-age, err)
	if q := f.table.queues[tgt.spec.Destination]; q != nil {
		f.table.grantSlotsLocked(q)
	}
	tgt.notify()
}

func (f *fixture) recordAllReady(ids ...string) {
	for _, id := range ids {
		for rank := range f.table.targets[id].members {
			f.recordReport(id, rank, readyReport, 0, nil)
		}
	}
}

// tryAcquire acquires a slot without waiting. If none is free, it returns the code of the refusal.
func (f *fixture) tryAcquire(request SlotRequest) (*Slot, result.Code) {
	ctx, cancel := context.WithCancel(f.Context())
	cancel()
	if request.Destination == "" {
		request.Destination = "pool/p"
	}
	slot, err := f.table.Acquire(ctx, request)
	if err != nil {
		qt.Assert(f, result.From(err).NotRun, qt.IsTrue)
		return nil, result.From(err).Code
	}
	return slot, result.OK
}

// acquireAll acquires slots until none is free and returns them.
func (f *fixture) acquireAll() []*Slot {
	var slots []*Slot
	for {
		slot, code := f.tryAcquire(SlotRequest{})
		if code != result.OK {
			return slots
		}
		slots = append(slots, slot)
	}
}

// completeRequests completes n requests one after the other.
func (f *fixture) completeRequests(n int) {
	for range n {
		slot, code := f.tryAcquire(SlotRequest{})
		qt.Assert(f, code, qt.Equals, result.OK)
		slot.Release(Outcome{Completed: true})
	}
}

func (f *fixture) limit(id string) int {
	for _, s := range f.table.Status() {
		if s.ID == id {
			return s.Limit
		}
	}
	return -1
}

// waitQueued waits until n requests are queued.
func (f *fixture) waitQueued(n int) {
	f.Helper()
	deadline := time.Now().Add(testTimeout)
	for f.table.Summary()[0].GetQueued() != uint32(n) {
		qt.Assert(f, time.Now().Before(deadline), qt.IsTrue, qt.Commentf("the queue never had %d requests", n))
		time.Sleep(time.Millisecond)
	}
}

// Guards against dispatch to a group if the report of a member is missing or stale, or shows that the member is not ready,
// belongs to another group or has restarted.
func TestDispatchableNeedsEveryMember(t *testing.T) {
	change := func(f func(*Report)) Report { r := readyReport; f(&r); return r }
	for _, test := range []struct {
		name   string
		report Report
		age    time.Duration
		ok     bool
	}{
		{"ready", readyReport, 0, true},
		{"just fresh", readyReport, DefaultFreshness - time.Millisecond, true},
		{"stale by the sending of the probe", readyReport, DefaultFreshness, false},
		{"other group", change(func(r *Report) { r.Group = "h" }), 0, false},
		{"other number", change(func(r *Report) { r.Number = 8 }), 0, false},
		{"other incarnation", change(func(r *Report) { r.Incarnation = "i2" }), 0, false},
		{"loading", change(func(r *Report) { r.Loading = true }), 0, false},
		{"not ready", change(func(r *Report) { r.Ready = false }), 0, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, nil, poolSpec("t1", 1, 4))
			f.recordReport("t1", 0, readyReport, 0, nil)
			_, code := f.tryAcquire(SlotRequest{})
			qt.Assert(t, code, qt.Not(qt.Equals), result.OK) // There is no report of rank 1 yet.
			f.recordReport("t1", 1, test.report, test.age, nil)
			slot, code := f.tryAcquire(SlotRequest{})
			qt.Assert(t, code == result.OK, qt.Equals, test.ok)
			if test.ok {
				qt.Assert(t, slot.Check(), qt.IsNil)
				f.advance(DefaultFreshness)
				qt.Assert(t, slot.Check(), qt.IsNotNil) // The report became stale between the grant and the first byte.
			}
		})
	}
}

// Guards against exceeding the limit of a cold target, and against a limit that grows with time instead of with completed
// requests.
func TestLimitGrowsWithCompletions(t *testing.T) {
	f := newFixture(t, nil, poolSpec("t1", 2, 4))
	f.recordAllReady("t1")
	f.advance(DefaultFreshness / 2)
	f.recordAllReady("t1")
	for _, step := range []struct{ completions, limit int }{{0, 2}, {1, 2}, {1, 3}, {2, 3}, {1, 4}, {9, 4}} {
		f.completeRequests(step.completions)
		qt.Assert(t, f.limit("t1"), qt.Equals, step.limit)
	}
	slots := f.acquireAll()
	qt.Assert(t, slots, qt.HasLen, 4)
	slots[0].Release(Outcome{}) // Neither completed nor lost: doesn't change the limit.
	qt.Assert(t, f.limit("t1"), qt.Equals, 4)
}

// Guards against a group that never warms up because a member that gets no requests keeps reporting that it is cold.
func TestColdMemberWithoutRequests(t *testing.T) {
	cold := readyReport
	cold.Cold = true
	f := newFixture(t, nil, poolSpec("t1", 1, 4))
	f.recordReport("t1", 0, readyReport, 0, nil)
	for range 3 {
		f.recordReport("t1", 1, cold, 0, nil)
		f.completeRequests(2)
	}
	qt.Assert(t, f.limit("t1"), qt.Equals, 4)
}

// Guards against keeping the warm limit of a target that may have restarted, and against a reset that loses count of the
// requests in flight there.
func TestResetToCold(t *testing.T) {
	cold, restarted := readyReport, readyReport
	cold.Cold, restarted.Incarnation = true, "i2"
	for _, test := range []struct {
		name  string
		event func(*fixture, *Slot)
	}{
		{"missed probe", func(f *fixture, _ *Slot) { f.recordReport("t1", 1, Report{}, 0, errors.New("timeout")) }},
		{"cold report", func(f *fixture, _ *Slot) { f.recordReport("t1", 1, cold, 0, nil) }},
		{"new incarnation", func(f *fixture, _ *Slot) { f.recordReport("t1", 1, restarted, 0, nil) }},
		{"lost connection", func(_ *fixture, s *Slot) { s.Release(Outcome{ConnectionLost: true}) }},
		{"cold response", func(_ *fixture, s *Slot) { s.Release(Outcome{Completed: true, Cold: true}) }},
		{"pause of this node", func(f *fixture, _ *Slot) { f.advance(DefaultFreshness) }},
		{"group number", func(f *fixture, _ *Slot) {
			s := poolSpec("t1", 1, 4)
			s.Number = 8
			f.table.SetSpecs([]Spec{s})
			s.Number = 7
			f.table.SetSpecs([]Spec{s})
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, nil, poolSpec("t1", 1, 4))
			f.recordAllReady("t1")
			f.completeRequests(6)
			qt.Assert(t, f.limit("t1"), qt.Equals, 4)
			slots := f.acquireAll()
			test.event(f, slots[0])
			f.recordAllReady("t1")
			qt.Assert(t, f.limit("t1"), qt.Equals, 1)
			qt.Assert(t, slots[1].Check(), qt.IsNotNil) // Not sent yet, and the lowered limit has no room for it.
			for _, slot := range slots[:3] {
				slot.Release(Outcome{Completed: true}) // Granted before the reset, so it must not raise the limit.
			}
			qt.Assert(t, f.limit("t1"), qt.Equals, 1)
			_, code := f.tryAcquire(SlotRequest{})
			qt.Assert(t, code, qt.Not(qt.Equals), result.OK) // One request is still in flight.
			slots[3].Release(Outcome{Completed: true})
			_, code = f.tryAcquire(SlotRequest{})
			qt.Assert(t, code, qt.Equals, result.OK)
		})
	}
}

// Guards against treating a target as ready after a broken exchange because of a probe that was sent before the break.
func TestLostConnectionNeedsNewReport(t *testing.T) {
	f := newFixture(t, nil, poolSpec("t1", 1, 4))
	f.recordAllReady("t1")
	slot, _ := f.tryAcquire(SlotRequest{})
	f.advance(10 * time.Millisecond)
	slot.Release(Outcome{ConnectionLost: true})
	for _, age := range []time.Duration{20 * time.Millisecond, 0} { // A probe sent before the break, and one sent after it.
		f.recordReport("t1", 0, readyReport, age, nil)
		f.recordReport("t1", 1, readyReport, age, nil)
		_, code := f.tryAcquire(SlotRequest{})
		qt.Assert(t, code == result.OK, qt.Equals, age == 0)
	}
}

// Guards against exceeding the cold limit of a target together with another node that may still be sending to it.
func TestInDoubt(t *testing.T) {
	inDoubt := func(s Spec) Spec { s.InDoubt = true; return s }
	f := newFixture(t, nil, inDoubt(poolSpec("t1", 3, 4)))
	f.recordAllReady("t1")
	f.completeRequests(20)
	qt.Assert(t, f.limit("t1"), qt.Equals, 1)
	f.table.SetSpecs([]Spec{inDoubt(poolSpec("t1", 1, 4))})
	qt.Assert(t, f.limit("t1"), qt.Equals, 0)
	_, code := f.tryAcquire(SlotRequest{})
	qt.Assert(t, code, qt.Equals, result.NoTarget)

	f = newFixture(t, nil, poolSpec("t1", 1, 3))
	f.recordAllReady("t1")
	f.completeRequests(1) // Limit 2: above the cold limit, but not warm.
	f.table.SetSpecs([]Spec{inDoubt(poolSpec("t1", 1, 3))})
	qt.Assert(t, f.limit("t1"), qt.Equals, 0)
	f.table.SetSpecs([]Spec{poolSpec("t1", 1, 3)})
	f.completeRequests(2)
	f.table.SetSpecs([]Spec{inDoubt(poolSpec("t1", 1, 3))})
	qt.Assert(t, f.limit("t1"), qt.Equals, 3) // This node warmed the target itself.
}

// Guards against a target that gets more than its full limit from two holders: the former one has stopped, so nothing is in doubt, but the
// target still runs its requests.
func TestNewHolderLeavesRoomForRequestsOfItsPredecessor(t *testing.T) {
	const cold, full = 4, 8
	for _, tc := range []struct {
		inDoubt                bool
		running, waiting, want int
	}{
		{false, 0, 0, 4}, {false, 4, 0, 4}, {false, 5, 0, 3}, {false, 7, 0, 1}, {false, 8, 0, 0}, {false, 6, 2, 0}, {false, 8, 3, 0},
		{true, 0, 0, 2}, {true, 2, 0, 2}, {true, 3, 0, 1}, {true, 4, 0, 0}, // Half of the cold limit at most.
	} {
		t.Run(fmt.Sprintf("in doubt %v, %d run, %d wait", tc.inDoubt, tc.running, tc.waiting), func(t *testing.T) {
			spec := poolSpec("t1", cold, full)
			spec.InDoubt = tc.inDoubt
			f := newFixture(t, nil, spec)
			f.recordAllReady("t1")
			report := readyReport
			report.Running, report.Waiting = tc.running, tc.waiting
			f.recordReport("t1", 0, report, 0, nil)
			slots := f.acquireAll()
			qt.Check(t, len(slots), qt.Equals, tc.want)
			report.Running += len(slots)
			f.recordReport("t1", 0, report, 0, nil)
			qt.Check(t, len(f.acquireAll()), qt.Equals, 0)
			for _, slot := range slots {
				slot.Release(Outcome{Completed: true})
			}
			bound := full // Completions raise the limit of a target that isn't in doubt.
			if tc.inDoubt {
				bound = cold
			}
			others := tc.running + tc.waiting
			qt.Check(t, others+len(f.acquireAll()) <= max(bound, others), qt.IsTrue)
		})
	}
}

// Guards against a wrong order of service, starvation of low priorities, and slots leaked to waiters that were cancelled.
func TestQueueOrder(t *testing.T) {
	s := poolSpec("t1", 1, 1)
	s.MaxQueue = 10
	f := newFixture(t, nil, s)
	f.recordAllReady("t1")
	busy, _ := f.tryAcquire(SlotRequest{})
	served := make(chan string, 10)
	var waiting sync.WaitGroup
	enqueue := func(ctx context.Context, name string, p rules.Priority) {
		before := int(f.table.Summary()[0].GetQueued())
		waiting.Go(func() {
			slot, err := f.table.Acquire(ctx, SlotRequest{Destination: "pool/p", Priority: p})
			if err != nil {
				served <- name + " refused"
				return
			}
			served <- name
			slot.Release(Outcome{Completed: true})
		})
		f.waitQueued(before + 1)
	}
	ctx, cancel := context.WithCancel(t.Context())
	enqueue(t.Context(), "old low", rules.PriorityLow)
	for range 10 { // 5 s in total, more than the head start of high over low (4 s).
		f.advance(DefaultFreshness / 2)
		f.recordAllReady("t1")
	}
	enqueue(t.Context(), "low", rules.PriorityLow)
	enqueue(ctx, "gone", rules.PriorityHigh)
	enqueue(t.Context(), "high 1", rules.PriorityHigh)
	enqueue(t.Context(), "normal", rules.PriorityNormal)
	enqueue(t.Context(), "high 2", rules.PriorityHigh)
	cancel()
	qt.Assert(t, <-served, qt.Equals, "gone refused")
	f.waitQueued(5)
	f.recordAllReady("t1")
	busy.Release(Outcome{Completed: true})
	waiting.Wait()
	for _, name := range []string{"old low", "high 1", "high 2", "normal", "low"} {
		qt.Assert(t, <-served, qt.Equals, name)
	}
	qt.Assert(t, f.table.InFlight("t1"), qt.Equals, 0)
}

// Guards against unbounded queues, and against queueing requests that can't be served before their deadline.
func TestEarlyRefusal(t *testing.T) {
	f := newFixture(t, nil, poolSpec("t1", 1, 1))
	_, code := f.tryAcquire(SlotRequest{Destination: "pool/other"})
	qt.Assert(t, code, qt.Equals, result.NoTarget)
	f.recordAllReady("t1")
	slot, _ := f.tryAcquire(SlotRequest{})
	f.advance(500 * time.Millisecond) // The observed service time.
	f.recordAllReady("t1")
	slot.Release(Outcome{Completed: true})
	_, code = f.tryAcquire(SlotRequest{Exclude: []string{"t1"}})
	qt.Assert(t, code, qt.Equals, result.NoTarget)
	busy, _ := f.tryAcquire(SlotRequest{})
	acquire := func(left time.Duration) *result.Error {
		request := SlotRequest{Destination: "pool/p"}
		if left > 0 {
			request.Deadline = f.clock() + left
		}
		_, err := f.table.Acquire(t.Context(), request)
		return result.From(err)
	}
	qt.Assert(t, acquire(499*time.Millisecond).Code, qt.Equals, result.DeadlineUnreachable)
	refused := make(chan *result.Error, 2)
	for n := range 2 {
		go func() { refused <- acquire(0) }()
		f.waitQueued(n + 1)
	}
	full := acquire(0)
	qt.Assert(t, full.Code, qt.Equals, result.QueueFull)
	qt.Assert(t, full.RetryAfter, qt.Equals, 1500*time.Millisecond)
	f.advance(DefaultFreshness)
	f.recordReport("t1", 0, Report{}, 0, errors.New("refused")) // No target is left that is worth waiting for.
	qt.Assert(t, (<-refused).Code, qt.Equals, result.NoTarget)
	qt.Assert(t, (<-refused).Code, qt.Equals, result.NoTarget)
	busy.Release(Outcome{})
}

// Guards against new requests for a draining target, and against a handover that ignores requests in flight.
func TestDrainAndRemove(t *testing.T) {
	f := newFixture(t, nil, poolSpec("t1", 2, 2))
	f.recordAllReady("t1")
	first, _ := f.tryAcquire(SlotRequest{})
	second, _ := f.tryAcquire(SlotRequest{})
	draining := poolSpec("t1", 2, 2)
	draining.Draining = true
	f.table.SetSpecs([]Spec{draining})
	_, code := f.tryAcquire(SlotRequest{})
	qt.Assert(t, code, qt.Equals, result.NoTarget)
	qt.Assert(t, second.Check(), qt.IsNotNil)
	first.Release(Outcome{Completed: true})
	f.table.SetSpecs(nil)
	qt.Assert(t, f.table.InFlight("t1"), qt.Equals, 1)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	qt.Assert(t, f.table.WaitIdle(ended, "t1"), qt.Equals, context.Canceled)
	go second.Release(Outcome{Completed: true})
	qt.Assert(t, f.table.WaitIdle(t.Context(), "t1"), qt.IsNil)
	qt.Assert(t, f.table.Status(), qt.HasLen, 0)
}

// Guards against overloading the target of a frequent prefix: affinity must apply only up to the load bound. Also guards
// against policies that spread requests unevenly or choose a full target.
func TestPolicies(t *testing.T) {
	requestsByTarget := func(policy Policy, prefix func(i int) uint64) map[string]int {
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
		got := requestsByTarget(policy, func(int) uint64 { return 0 })
		qt.Assert(t, got, qt.DeepEquals, map[string]int{"t0": 20, "t1": 20, "t2": 20, "t3": 20}, qt.Commentf("%s", name))
	}
	for id, n := range requestsByTarget(&Affinity{}, same) {
		qt.Assert(t, n <= 26, qt.IsTrue, qt.Commentf("%s has %d of 80", id, n)) // ceil(1.25 * 80 / 4) + 1.
	}
	idle := []Candidate{{ID: "t0", Limit: 1}, {ID: "t1", Limit: 1}, {ID: "t2", Limit: 1}}
	first := (&Affinity{}).Choose(42, idle)
	qt.Assert(t, (&Affinity{}).Choose(42, idle), qt.Equals, first)
	idle[first].InFlight = 1
	qt.Assert(t, (&Affinity{}).Choose(42, idle), qt.Not(qt.Equals), first)
	qt.Assert(t, (&Affinity{}).Choose(42, []Candidate{{ID: "t0"}}), qt.Equals, -1)
}

// slowProber takes as long as the freshness bound for each probe.
type slowProber struct{ fixture *fixture }

func (p slowProber) Probe(context.Context, bool, string) (Report, error) {
	p.fixture.advance(DefaultFreshness)
	return readyReport, nil
}

// Guards against a report age that is counted from the arrival of the report instead of the sending of the probe.
func TestReportAgeCountsFromSending(t *testing.T) {
	f := newFixture(t, nil, poolSpec("t1", 1, 1))
	f.table.options.Prober = slowProber{f}
	tgt := f.table.targets["t1"]
	f.table.probeOnce(t.Context(), tgt, tgt.members[0])
	qt.Assert(t, tgt.members[0].unusableReason(tgt.spec, f.clock(), DefaultFreshness), qt.Equals, "report too old")
}

// Guards against overlapping probes of one member, and against reuse of a probe connection that timed out. Also checks that
// TargetLost detects a target that can't be reached.
func TestRunProbes(t *testing.T) {
	var mu sync.Mutex
	running, peak, hangsLeft := 0, 0, 1
	connections := map[string]bool{}
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
		mu.Lock()
		running++
		peak = max(peak, running)
		connections[req.RemoteAddr] = true
		hang := hangsLeft > 0
		hangsLeft--
		mu.Unlock()
		if hang {
			select {
			case <-req.Context().Done(): // The prober has closed the connection.
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
	table := New(Options{ProbeInterval: time.Millisecond, ProbeTimeout: 50 * time.Millisecond, Freshness: testTimeout})
	table.SetSpecs([]Spec{{ID: "s1", Destination: "service/s", Address: server.Listener.Addr().String(), MaxQueue: 1, Limits: rules.Limits{Cold: 1, Full: 2}}})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); table.Run(ctx) }()
	slot, err := table.Acquire(ctx, SlotRequest{Destination: "service/s"}) // Blocks until the first report.
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, slot.Incarnation, qt.Equals, "i1")
	qt.Assert(t, slot.TargetLost(ctx), qt.IsFalse)
	server.CloseClientConnections()
	server.Listener.Close()
	qt.Assert(t, slot.TargetLost(ctx), qt.IsTrue)
	cancel()
	<-done
	mu.Lock()
	defer mu.Unlock()
	qt.Assert(t, peak, qt.Equals, 1)
	qt.Assert(t, connections, qt.HasLen, 2)
}

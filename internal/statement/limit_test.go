package statement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/schema"
)

const (
	limitWindow   = 4 * time.Second
	adaptTime     = 3 * time.Second // From the first response with a limit to the first window that counts.
	toldTime      = 500 * time.Millisecond
	limitFactor   = 1.5
	limitSlack    = 5
	stepTime      = 50 * time.Millisecond
	gossipSteps   = 4
	attemptsAStep = 2 // Of each node, far more than limits allow.
)

// fleet simulates nodes that send to one target that states a limit, and tell each other what it states.
type fleet struct {
	now     time.Duration
	nodes   []*Table // Nil while the node is stopped.
	names   []string
	toldAt  []time.Duration // When each node got its first response with the limit since it started; 0 before.
	sent    []time.Duration
	counted []time.Duration // The sends of nodes that got such a response toldTime before. A restart excuses a node until then.
	limit   float64
}

func newFleet(count int, limit float64) *fleet {
	f := &fleet{now: time.Hour, limit: limit}
	for i := range count {
		f.names = append(f.names, fmt.Sprintf("node-%d", i))
	}
	f.nodes, f.toldAt = make([]*Table, count), make([]time.Duration, count)
	for i := range count {
		f.start(i)
	}
	return f
}

func (f *fleet) start(i int) {
	f.toldAt[i] = 0
	f.nodes[i] = New(Options{Now: func() time.Duration { return f.now }, Divided: true})
	var others []string
	for j, name := range f.names {
		if j != i {
			others = append(others, name)
		}
	}
	f.nodes[i].DivideAmong(f.names[i], others)
}

// step lets each node send what it may, and exchange statements with those that it is connected to.
func (f *fleet) step(n int, connected func(i, j int) bool) {
	f.now += stepTime
	for _, i := range rand.New(rand.NewPCG(uint64(n), 1)).Perm(len(f.nodes)) {
		for range attemptsAStep {
			if t := f.nodes[i]; t != nil && t.Admit(first, 1) == NotRefused {
				f.sent = append(f.sent, f.now)
				if f.toldAt[i] == 0 {
					f.toldAt[i] = f.now
				}
				if f.now-f.toldAt[i] >= toldTime {
					f.counted = append(f.counted, f.now)
				}
				t.RecordSuccess(first, Statement{Limit: Limit{Stated: f.limit >= 0, PerSecond: max(f.limit, 0)}}, f.now)
			}
		}
	}
	if n%gossipSteps != 0 {
		return
	}
	reports := map[int][]*schema.TargetStatement{}
	for i, t := range f.nodes {
		if t != nil {
			reports[i] = t.Reports(gossipSteps * stepTime)
		}
	}
	for i, t := range f.nodes {
		for j := range f.nodes {
			if t != nil && i != j && connected(i, j) {
				t.Merge(reports[j])
			}
		}
	}
}

// most returns the most requests in limitWindow, from adaptTime after the start of the simulation.
func (f *fleet) most() (most int) {
	from := time.Hour + adaptTime
	for i, start := range f.counted {
		n := 0
		for _, at := range f.counted[i:] {
			if start >= from && at < start+limitWindow {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// Pattern: a target names a limit that is low for the number of nodes, while nodes end, restart, all at once or one after the other,
// or can't reach each other. Guards against more requests than the limit allows, summed over the nodes, and against nodes that
// together leave much of it unused.
func TestNodesKeepToALimitTogether(t *testing.T) {
	always := func(i, j int) bool { return true }
	for _, test := range []struct {
		name      string
		fault     func(f *fleet, second float64)
		connected func(second float64) func(i, j int) bool
	}{
		{"calm", func(*fleet, float64) {}, nil},
		{"nodes end", func(f *fleet, second float64) {
			for i := range f.nodes {
				if i%3 == 0 && second >= 6 {
					f.nodes[i] = nil
				}
			}
		}, nil},
		{"all restart at once", func(f *fleet, second float64) {
			for i := range f.nodes {
				if second == 6 {
					f.start(i)
				}
			}
		}, nil},
		{"nodes restart one after the other", func(f *fleet, second float64) {
			if i := int(second*2) % len(f.nodes); second == float64(int(second*2))/2 {
				f.start(i)
			}
		}, nil},
		{"halves are cut off from each other", func(*fleet, float64) {}, func(second float64) func(i, j int) bool {
			return func(i, j int) bool { return second < 6 || i%2 == j%2 }
		}},
	} {
		for _, count := range []int{1, 3, 7, 76} {
			for _, limit := range []float64{0, 0.5, 1.8, 3.3, 7.5} {
				if count > 7 && limit != 1.8 && limit != 7.5 {
					continue // Each case of many nodes takes a second.
				}
				t.Run(fmt.Sprintf("%s, %d nodes, limit %v", test.name, count, limit), func(t *testing.T) {
					t.Parallel()
					c := qt.New(t)
					f := newFleet(count, limit)
					const seconds = 14
					for n := range seconds * int(time.Second/stepTime) {
						second := float64(n) * stepTime.Seconds()
						connected := always
						if test.connected != nil {
							connected = test.connected(second)
						}
						test.fault(f, second)
						f.step(n, connected)
					}
					allowed := int(limitFactor*limit*limitWindow.Seconds()) + limitSlack
					c.Check(f.most() <= allowed, qt.IsTrue, qt.Commentf("%d requests in %v, %d allowed", f.most(), limitWindow, allowed))
					if late := len(f.sent); test.name == "calm" && limit > 0 {
						c.Check(float64(late) >= 0.7*limit*seconds, qt.IsTrue, qt.Commentf("%d requests in %d s", late, seconds))
					}
				})
			}
		}
	}
}

// Guards against a limit that stays after it has ended, and against one that is lifted by a response that says nothing of it: one to a
// request sent before it was named, a failure, a limit that can't be read, or older news of another node.
func TestLimitEnds(t *testing.T) {
	c := qt.New(t)
	f := newFixture()
	limited := func() bool { _, limited := f.Rate(first, 1); return limited }
	sentBefore := f.now
	f.now += time.Second
	named := Statement{Limit: Limit{Stated: true, PerSecond: 2}}
	f.Record(first, named)
	f.RecordSuccess(first, Statement{}, sentBefore)
	f.RecordAnswer(first, Statement{}, 503, f.now+1)
	f.RecordSuccess(first, Statement{Limit: ParseLimit("two")}, f.now+1)
	f.Merge([]*schema.TargetStatement{{Target: first.ID, Incarnation: first.Incarnation, AgeMs: 900, LimitAgeMs: new(int64(900))}})
	c.Assert(limited(), qt.IsTrue)
	other := newFixture()
	other.now = f.now
	other.Merge(f.Reports(time.Second))
	_, told := other.Rate(first, 1)
	c.Assert(told, qt.IsTrue)
	f.now += time.Second
	other.now = f.now
	f.RecordSuccess(first, Statement{}, f.now)
	c.Assert(limited(), qt.IsFalse)
	other.Merge(f.Reports(time.Second))
	_, told = other.Rate(first, 1)
	c.Assert(told, qt.IsFalse)
}

// Guards against limits that can't be read and are taken as one of 0, or stop requests for good.
func TestParseLimit(t *testing.T) {
	c := qt.New(t)
	for text, want := range map[string]Limit{
		"": {}, "2": {Stated: true, PerSecond: 2}, " 1.8 ": {Stated: true, PerSecond: 1.8}, "0": {Stated: true}, "1e300": {Stated: true, PerSecond: maxLimit},
		"x": {Unreadable: true}, "-1": {Unreadable: true}, "NaN": {Unreadable: true}, "2;3": {Unreadable: true}, "Inf": {Stated: true, PerSecond: maxLimit},
	} {
		c.Check(ParseLimit(text), qt.Equals, want, qt.Commentf("%q", text))
	}
}

// Pattern: more callers than the limits allow. Guards against refused callers that all come back at once.
func TestRefusedCallersComeBackApart(t *testing.T) {
	c := qt.New(t)
	f := newFixture()
	for _, target := range []Target{first, second} {
		f.Record(target, Statement{Limit: Limit{Stated: true, PerSecond: 2}})
	}
	var waits []time.Duration
	for range 6 {
		wait, ok := f.Promise([]Target{first, second})
		c.Assert(ok, qt.IsTrue)
		waits = append(waits, wait)
	}
	half := 500 * time.Millisecond
	c.Assert(waits, qt.DeepEquals, []time.Duration{half, half, 2 * half, 2 * half, 3 * half, 3 * half})
	_, ok := f.Promise([]Target{{"other", "1"}})
	c.Assert(ok, qt.IsFalse)
}

// Guards against pauses that end early or never, and against one that other nodes or the target's next start are bound by.
func TestPause(t *testing.T) {
	c := qt.New(t)
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	for _, test := range []struct {
		status int
		text   string
		want   time.Duration
	}{
		{503, "2", 2 * time.Second}, {503, " 0.25", 250 * time.Millisecond}, {503, "", 0}, {503, "-1", 0}, {503, "soon", 0}, {503, "NaN", 0},
		{503, "1e300", maxPause}, {503, "Fri, 02 Jan 2026 03:04:08 GMT", 3 * time.Second}, {503, "Fri, 02 Jan 2026 03:04:00 GMT", 0},
		{200, "2", 0}, {429, "2", 0}, {500, "2", 0},
	} {
		c.Check(ParsePause(test.status, test.text, now), qt.Equals, test.want, qt.Commentf("%d %q", test.status, test.text))
	}
	f, other := newFixture(), newFixture()
	f.Record(first, Statement{Pause: 2 * time.Second})
	f.Record(first, Statement{Pause: time.Second}) // The later end counts: responses may overtake each other.
	other.Merge(f.Reports(time.Second))
	c.Assert(other.Check(first, 1), qt.Equals, NotRefused)
	c.Assert(f.Check(second, 1), qt.Equals, NotRefused)
	f.now += 1900 * time.Millisecond
	c.Assert(f.Admit(first, 1), qt.Equals, Paused)
	c.Assert(f.PausedFor(first), qt.Equals, 100*time.Millisecond)
	wait, ok := f.Promise([]Target{first})
	c.Assert(ok, qt.IsTrue)
	c.Assert(wait, qt.Equals, 100*time.Millisecond)
	f.now += 100 * time.Millisecond
	c.Assert(f.Admit(first, 1), qt.Equals, NotRefused)
}

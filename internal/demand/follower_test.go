package demand

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/internal/fleet"
)

func followEngine() *fleet.Engine {
	return &fleet.Engine{Slots: 30, Stride: 7, Chunk: 2048, StepMs: 5.95, StepMsPerRequest: 0.0445, PromptTokensPerMs: 50.7, MeanOutputTokens: 210,
		Models: []fleet.Model{
			{Name: "large", Size: 16, Share: 0.5, TimeFactor: 1, LoadTime: 16 * time.Second, StagedLoadTime: 1600 * time.Millisecond},
			{Name: "small", Size: 4, Share: 0.5, TimeFactor: 0.6, LoadTime: 12 * time.Second, StagedLoadTime: 1100 * time.Millisecond}}}
}

// mapDemand and boardDemand are the demand of the two deployments of docs/demand-and-clients.md, in multiples of the usual one.
func mapDemand(large, small float64) map[Class]Work {
	return map[Class]Work{
		{Model: "large", Priority: 1}: Work{24, 24 * 1460, 24 * 175}.scaled(large),
		{Model: "large", Priority: 2}: Work{16, 16 * 2000, 16 * 21}.scaled(large),
		{Model: "small", Priority: 0}: Work{421, 421 * 714, 421 * 217}.scaled(small),
	}
}

func boardDemand(large, small float64) map[Class]Work {
	return map[Class]Work{
		{Model: "large", Priority: 1}: Work{57, 34*1460 + 23*2000, 34*175 + 23*21}.scaled(large),
		{Model: "small", Priority: 1}: Work{347, 347 * 714, 347 * 217}.scaled(small),
	}
}

// followRun lets a Follower decide every 50 ms. Moves take effect after a delay, as those of a plan do.
type followRun struct {
	follower *Follower
	now      clock.Time
	groups   map[string]int
	ready    bool // Weights are staged, so that moves can be made.
	trusted  bool
	changes  []Change
	at       []time.Duration
}

func newFollowRun() *followRun {
	return &followRun{follower: NewFollower(), now: clock.Time(time.Hour), groups: map[string]int{"large": 6, "small": 24}, ready: true, trusted: true}
}

func (r *followRun) run(d time.Duration, total func() map[Class]Work) {
	e := followEngine()
	for range d / (50 * time.Millisecond) {
		r.now = r.now.Add(50 * time.Millisecond)
		work := total()
		r.follower.Observe(r.now, e, work)
		need, change := r.follower.Need(State{Now: r.now, Engine: e, Total: work, Groups: r.groups, Trusted: r.trusted})
		if change != nil {
			r.changes, r.at = append(r.changes, *change), append(r.at, r.now.Sub(clock.Time(time.Hour)))
		}
		if need != nil && r.ready {
			r.groups = map[string]int{"large": need["large"], "small": need["small"]}
		}
	}
}

func steady(work map[Class]Work) func() map[Class]Work { return func() map[Class]Work { return work } }

// noisy varies each class as a Poisson stream does that is counted over the window. Readings within a window are the same.
func noisy(work map[Class]Work) func() map[Class]Work {
	random := rand.New(rand.NewPCG(1, 2))
	varied, calls := map[Class]Work{}, 0
	return func() map[Class]Work {
		if calls++; calls%int(window/(50*time.Millisecond)) == 1 {
			varied = map[Class]Work{}
			for class, w := range work {
				varied[class] = w.scaled(1 + random.NormFloat64()/math.Sqrt(w.Requests*window.Seconds()))
			}
		}
		return varied
	}
}

// Load: the usual demand of both deployments for ten minutes. Guards against replicas that move without a lack of capacity.
func TestSteadyDemandChangesNothing(t *testing.T) {
	c := quicktest.New(t)
	for _, work := range []map[Class]Work{mapDemand(1, 1), boardDemand(1, 1)} {
		r := newFollowRun()
		r.run(10*time.Minute, noisy(work))
		c.Check(r.changes, quicktest.HasLen, 0)
	}
}

// Load: one model at 1.8 and the other at 0.4 for 14 s, in both directions, in both deployments. Guards against a lack that isn't
// followed, against a giving model that can't bear its usual demand afterwards, and against a division that stays after it.
func TestPeakIsFollowedAndTakenBack(t *testing.T) {
	for name, peak := range map[string]struct {
		work  func(large, small float64) map[Class]Work
		large bool
		units int
	}{
		"map, small": {mapDemand, false, 3}, "map, large": {mapDemand, true, 1}, "board, small": {boardDemand, false, 2}, "board, large": {boardDemand, true, 2},
	} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			r := newFollowRun()
			r.run(30*time.Second, steady(peak.work(1, 1)))
			c.Assert(r.changes, quicktest.HasLen, 0)
			during := peak.work(0.4, 1.8)
			if peak.large {
				during = peak.work(1.8, 0.4)
			}
			r.run(14*time.Second, steady(during))
			c.Assert(r.changes, quicktest.HasLen, 1, quicktest.Commentf("%v", r.changes))
			c.Check(r.changes[0].Units, quicktest.Equals, peak.units, quicktest.Commentf("%v", r.changes))
			c.Check(r.at[0]-30*time.Second < 2*time.Second, quicktest.IsTrue, quicktest.Commentf("%v", r.at))
			r.run(2*time.Minute, steady(peak.work(1, 1)))
			c.Check(len(r.changes) <= 2, quicktest.IsTrue, quicktest.Commentf("%v", r.changes))
			use, _, _ := r.follower.uses(State{Engine: followEngine(), Groups: r.groups, Total: peak.work(1, 1)})
			c.Check(use["large"] < lackUse && use["small"] < lackUse, quicktest.IsTrue, quicktest.Commentf("%v %v", use, r.groups))
		})
	}
}

// Load: a wave of 5 s up and 5 s down for five minutes, shorter than a load. Guards against replicas that move to and fro with it.
func TestShortWaveDoesntFlap(t *testing.T) {
	c := quicktest.New(t)
	r := newFollowRun()
	r.run(30*time.Second, steady(mapDemand(1, 1)))
	for range 30 {
		r.run(5*time.Second, steady(mapDemand(0.4, 1.8)))
		r.run(5*time.Second, steady(mapDemand(1.8, 0.4)))
	}
	t.Logf("%d changes at %v", len(r.changes), r.at)
	c.Check(len(r.changes) <= 12, quicktest.IsTrue, quicktest.Commentf("%d changes at %v", len(r.changes), r.at))
	for i := range r.at[1:] {
		if r.changes[i].From == r.changes[i+1].To {
			c.Check(r.at[i+1]-r.at[i] >= 12*time.Second, quicktest.IsTrue, quicktest.Commentf("%v", r.at))
		}
	}
	peaks := newFollowRun()
	peaks.run(30*time.Second, steady(mapDemand(1, 1)))
	peaks.run(time.Second, steady(mapDemand(0.4, 1.8)))
	peaks.run(time.Minute, steady(mapDemand(1, 1)))
	c.Check(peaks.changes, quicktest.HasLen, 0) // Shorter than lackTime.
}

// Load: a peak while reports are missing, and the rest of it afterwards. Guards against needs that follow the demand of a few nodes only, and
// against a need that is dropped when reports are missing.
func TestNeedHoldsWithoutReports(t *testing.T) {
	c := quicktest.New(t)
	r := newFollowRun()
	r.run(30*time.Second, steady(mapDemand(1, 1)))
	r.trusted = false
	r.run(5*time.Second, steady(mapDemand(0.4, 1.8)))
	c.Check(r.changes, quicktest.HasLen, 0)
	c.Check(r.follower.Blocked(), quicktest.Equals, BlockedNoReports)
	r.trusted, r.ready = true, false
	r.run(2*time.Second, steady(mapDemand(0.4, 1.8)))
	c.Assert(r.changes, quicktest.HasLen, 1)
	r.trusted = false
	need, _ := r.follower.Need(State{Now: r.now, Engine: followEngine(), Total: nil, Groups: r.groups})
	c.Check(need, quicktest.DeepEquals, map[string]int{"large": 3, "small": 36})
}

// Guards against a change that is made after the lack has ended, because weights weren't staged before.
func TestChangeEndsWithTheLack(t *testing.T) {
	c := quicktest.New(t)
	r := newFollowRun()
	r.run(30*time.Second, steady(mapDemand(1, 1)))
	r.ready = false
	r.run(14*time.Second, steady(mapDemand(0.4, 1.8)))
	c.Assert(r.changes, quicktest.HasLen, 1)
	r.run(time.Second, steady(mapDemand(1, 1)))
	r.ready = true
	r.run(time.Minute, steady(mapDemand(1, 1)))
	c.Check(r.groups, quicktest.DeepEquals, map[string]int{"large": 6, "small": 24})
	c.Check(r.changes, quicktest.HasLen, 1)
}

// Guards against a model that is left without a group, and against needs with one model.
func TestFloors(t *testing.T) {
	c := quicktest.New(t)
	r := newFollowRun()
	r.groups = map[string]int{"large": 1, "small": 4}
	r.run(30*time.Second, steady(mapDemand(0, 0.01)))
	r.run(time.Minute, steady(mapDemand(0, 1)))
	c.Check(r.groups, quicktest.DeepEquals, map[string]int{"large": 1, "small": 4})
	c.Check(r.follower.Blocked(), quicktest.Equals, BlockedNoRoom)
	e := followEngine()
	e.Models = e.Models[:1]
	need, change := r.follower.Need(State{Now: r.now, Engine: e, Total: mapDemand(9, 0), Groups: r.groups, Trusted: true})
	c.Check(need, quicktest.IsNil)
	c.Check(change, quicktest.IsNil)
}

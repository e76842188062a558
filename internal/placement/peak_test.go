package placement

import (
	"math"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/demand"
)

// stream is one kind of request of docs/demand-and-clients.md.
type stream struct {
	class                demand.Class
	perSecond            float64
	prompt, output, owed float64
}

func mapStreams() []stream {
	return []stream{{class: demand.Class{Model: "large", Priority: 1}, perSecond: 24, prompt: 1460, output: 175},
		{class: demand.Class{Model: "large", Priority: 2}, perSecond: 16, prompt: 2000, output: 21},
		{class: demand.Class{Model: "small", Priority: 0}, perSecond: 421, prompt: 714, output: 210}}
}

func boardStreams() []stream {
	return []stream{{class: demand.Class{Model: "large", Priority: 1}, perSecond: 34, prompt: 1460, output: 175},
		{class: demand.Class{Model: "large", Priority: 2}, perSecond: 23, prompt: 2000, output: 21},
		{class: demand.Class{Model: "small", Priority: 1}, perSecond: 347, prompt: 714, output: 210}}
}

// peakRun is a system whose demand varies, and what its groups couldn't serve.
type peakRun struct {
	*emulator
	plan     *Plan
	table    *demand.Table
	follower *demand.Follower
	streams  []stream
	changes  int
	// excess is the demand above nine tenths of what the open groups can do, in seconds of a group; fixed is that with the groups of
	// the start.
	excess, fixed float64
}

// run offers requests in multiples of the usual demand.
func (r *peakRun) run(d time.Duration, large, small float64) {
	for range d / tick {
		factors, load := map[string]float64{"large": large, "small": small}, map[string]float64{}
		for i := range r.streams {
			s := &r.streams[i]
			rate := s.perSecond * factors[s.class.Model]
			load[s.class.Model] += demand.GroupLoad(r.engine, r.engine.Model(s.class.Model), demand.Work{ReadTokens: rate * s.prompt, WriteTokens: rate * s.output})
			for s.owed += rate * tick.Seconds(); s.owed >= 1; s.owed-- {
				r.table.Offer(s.class, int(s.prompt), int(s.output))
			}
		}
		total := r.table.Total()
		r.follower.Observe(r.clock.Now(), r.engine, total)
		wanted, change := r.follower.Need(demand.State{Now: r.clock.Now(), Engine: r.engine, Total: total, Groups: r.plan.Division(), Trusted: true})
		r.wanted = wanted
		if change != nil {
			r.changes++
			r.t.Logf("%v: %d units, %s", r.clock.Now().Sub(emulatorStart), change.Units, change)
		}
		r.emulator.run(r.plan, tick, r.keepBusy)
		open := r.openGroups()
		for model, groups := range usualDivision {
			r.excess += math.Max(load[model]-0.9*float64(open[model]), 0) * tick.Seconds()
			r.fixed += math.Max(load[model]-0.9*float64(groups), 0) * tick.Seconds()
		}
	}
}

// Load: both deployments of docs/demand-and-clients.md at their usual demand, then 14 s with one model at 1.8 and the other at 0.4, in both
// directions, then a minute at the usual demand. Guards against a change that costs more than it gains, counting the time until it, the groups
// that are closed meanwhile and the time until replicas are taken back.
func TestPeakIsServedByMovedReplicas(t *testing.T) {
	for name, test := range map[string]struct {
		streams      []stream
		large, small float64
		most         float64 // Excess in relation to that of the division of the start.
	}{
		"map service, small": {mapStreams(), 0.4, 1.8, 0.6}, "map service, large": {mapStreams(), 1.8, 0.4, 1},
		"PCB manufacturer, small": {boardStreams(), 0.4, 1.8, 0.8}, "PCB manufacturer, large": {boardStreams(), 1.8, 0.4, 0.8},
	} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			m, p := followingSystem(t)
			r := &peakRun{emulator: m, plan: p, table: demand.New(m.clock), follower: demand.NewFollower(), streams: test.streams}
			r.run(30*time.Second, 1, 1)
			c.Check(r.changes, quicktest.Equals, 0)
			c.Check(r.excess, quicktest.Equals, 0.0)
			r.run(14*time.Second, test.large, test.small)
			during, fixed := r.excess, r.fixed
			r.run(time.Minute, 1, 1)
			t.Logf("excess of %.1f group seconds during the peak and %.1f after it, %.1f and %.1f without changes", during, r.excess-during, fixed, r.fixed-fixed)
			c.Check(r.excess <= test.most*r.fixed, quicktest.IsTrue)
			c.Check(m.interruptions, quicktest.HasLen, 0)
			m.assertNoViolations()
		})
	}
}

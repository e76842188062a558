package balance

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/clock"
)

// Load: one stream at each of six heads, the first of which works slower by the given factor. Guards against small differences that are ignored, that
// count in full or after a few events, and against others than small ones that count here.
func TestSmallDifferencesOfSpeed(t *testing.T) {
	for _, test := range []struct{ factor, want float64 }{{1, 1}, {1.05, 1}, {1.4, 1.2}, {2.5, 1}} {
		c := qt.New(t)
		now := clock.NewManual(time.Hour)
		e := workEngine()
		table := NewTable(now)
		q, keys := headQuery(6, e)
		var tickets []*Ticket
		for _, k := range keys {
			ticket := table.BeginHead(&Selection{Key: k, engine: e, model: "m", timeFactor: 1, SlowFactor: 1}, 0)
			ticket.RecordEvent()
			tickets = append(tickets, ticket)
		}
		gap := fromMillis(passMillis(e, 1))
		play := func(events int) {
			for range events {
				for i, ticket := range tickets {
					wait := gap
					if i == 0 {
						wait = time.Duration(test.factor * float64(gap))
					}
					ticket.lastEvent = now.Now().Add(-wait)
					ticket.RecordEvent()
				}
				now.Advance(time.Millisecond)
			}
		}
		factor := func() float64 {
			table.mu.Lock()
			defer table.mu.Unlock()
			return table.smallFactorLocked(keys[0], now.Now())
		}
		play(minSteadyEvents - 1)
		c.Check(factor(), qt.Equals, 1.0)
		play(60)
		c.Check(math.Abs(factor()-test.want) < 0.01, qt.IsTrue, qt.Commentf("factor %g: %g", test.factor, factor()))
		if test.want > 1 {
			for range 50 {
				c.Assert(table.PickHead(q).Key, qt.Not(qt.Equals), keys[0])
			}
			c.Check(table.IsSlow(keys[0]), qt.IsFalse)
			c.Check(table.LocalState().SlowFactors, qt.HasLen, 0)
		}
		now.Advance(slowdownMaxAge)
		c.Check(factor(), qt.Equals, 1.0)
	}
}

// Guards against heads that count as slow because prompts are read between their events.
func TestReadingIsNoSlowness(t *testing.T) {
	c := qt.New(t)
	var s slowdown
	for range 2 * minSteadyEvents {
		s.record(1.5, true, 1)
	}
	c.Check(s.steady.events, qt.Equals, 0)
	s.record(1, false, 1)
	c.Check(s.steady.ratio, qt.Equals, 1.0)
}

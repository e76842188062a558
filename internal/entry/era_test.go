package entry

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/clock"
)

// Guards against unknown routes and keys that are refused temporarily without end, because single calls to the store fail or other nodes
// tell of an outage of before.
func TestEraSettlesThoughSingleCallsFail(t *testing.T) {
	const gap, interval = 1600 * time.Millisecond, 500 * time.Millisecond
	start := func() (*clock.Manual, *eraRecord) {
		m := clock.NewManual(time.Hour)
		r := &eraRecord{clock: m, maxGap: gap}
		r.learn(2)
		return m, r
	}
	answers := func(m *clock.Manual, r *eraRecord, spacing, total time.Duration) {
		for end := m.Now().Add(total); m.Now() < end; {
			m.Advance(spacing)
			r.noteAnswer()
		}
	}
	t.Run("answers with gaps of failed calls", func(t *testing.T) {
		c := quicktest.New(t)
		m, r := start()
		answers(m, r, gap, configRewriteTime+gap)
		c.Assert(r.isSettled(), quicktest.IsTrue)
	})
	t.Run("an outage", func(t *testing.T) {
		c := quicktest.New(t)
		m, r := start()
		answers(m, r, interval, configRewriteTime-interval)
		m.Advance(gap + time.Millisecond)
		c.Assert(r.age(), quicktest.Equals, time.Duration(0))
		answers(m, r, interval, configRewriteTime-interval)
		c.Assert(r.isSettled(), quicktest.IsFalse)
		answers(m, r, interval, 2*interval)
		c.Assert(r.isSettled(), quicktest.IsTrue)
	})
	t.Run("another node knows the era for longer", func(t *testing.T) {
		c := quicktest.New(t)
		m, r := start()
		r.noteAge(1, configRewriteTime)
		c.Assert(r.isSettled(), quicktest.IsFalse)
		for range 20 { // Nodes that repeat an age to each other in an outage don't make it grow.
			m.Advance(interval)
			r.noteAge(2, configRewriteTime/2)
		}
		c.Assert(r.isSettled(), quicktest.IsFalse)
		r.noteAge(2, configRewriteTime)
		c.Assert(r.isSettled(), quicktest.IsTrue)
	})
	t.Run("the store states no era", func(t *testing.T) {
		m := clock.NewManual(time.Hour)
		quicktest.Assert(t, (&eraRecord{clock: m, maxGap: gap}).isSettled(), quicktest.IsTrue)
	})
}

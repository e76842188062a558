package entry

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/platform"
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

// Guards against a list of the restored store that is applied before all parts know that the store has come back from an older copy: what
// the copy lacks would count as removed.
func TestAnswersWaitUntilARestoreIsKnown(t *testing.T) {
	c := quicktest.New(t)
	store := newFakeStore()
	server := httptest.NewServer(store)
	defer server.Close()
	n := newNode(c, strings.Replace(testSettings, "10.200.1.7:8223", strings.TrimPrefix(server.URL, "http://"), 1))
	answered := make(chan platform.Position, 2)
	list := func() {
		_, at, err := n.store.List(context.Background(), platform.KindEvacuations)
		c.Check(err, quicktest.IsNil)
		answered <- at
	}
	list()
	c.Assert((<-answered).Era, quicktest.Equals, int64(1))
	store.restore(store.copy())
	n.eraEvent.Lock() // Another answer or a datagram has told of the new era, which is being announced.
	go list()
	select {
	case <-answered:
		c.Error("an answer of the new era was used before the restore was known")
	case <-time.After(100 * time.Millisecond):
	}
	n.eraEvent.Unlock()
	c.Assert((<-answered).Era, quicktest.Equals, int64(2))
}

// Guards against a list of the former era that is applied after the restore is known, because it was decoded meanwhile.
func TestOvertakenAnswersAreNotApplied(t *testing.T) {
	c := quicktest.New(t)
	n := newNode(c, testSettings)
	f := &follower{node: n}
	n.learnEra(1)
	c.Assert(f.checkEra(platform.Position{Era: 1, Revision: 9}, nil), quicktest.IsNil)
	n.learnEra(2)
	c.Assert(f.checkEra(platform.Position{Era: 1, Revision: 9}, nil), quicktest.Equals, platform.ErrHistoryGone)
}

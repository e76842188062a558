package balance

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/clock"
)

func shortGap(Key, Load) time.Duration { return 10 * time.Millisecond }

// Guards against a sound head that counts as stalled or loaded because of requests on a way that is lost, while events come on another.
func TestRequestsOnALostWayAreStranded(t *testing.T) {
	c := quicktest.New(t)
	now := clock.NewManual(time.Hour)
	q, table := queryWithHeads(now, 1), NewTable(now)
	head := table.PickHead(q)
	direct, silent, through := table.BeginHead(head, 100), table.BeginHead(head, 100), table.BeginHead(head, 100)
	direct.Connected(head.Replica, "")
	silent.Connected(head.Replica, "")
	through.Connected(head.Replica, "b")
	direct.RecordEvent()
	c.Check(table.SilentWays(shortGap), quicktest.HasLen, 0)
	for range 5 {
		now.Advance(100 * time.Millisecond)
		through.RecordEvent()
		c.Check(table.SweepHeld(100*time.Millisecond, shortGap), quicktest.HasLen, 0)
	}
	lost := Way{head.Key, head.Replica, ""}
	c.Assert(table.SilentWays(shortGap), quicktest.DeepEquals, []Way{lost})
	c.Check(table.Strand(lost), quicktest.Equals, 2)
	c.Check(direct.Stranded() && silent.Stranded() && !through.Stranded(), quicktest.IsTrue)
	c.Check(table.Load(head.Key), quicktest.Equals, Load{Running: 1})
	c.Check(table.SilentWays(shortGap), quicktest.HasLen, 0)

	direct.CountAgain() // It stays stranded until an event comes.
	c.Check(table.Load(head.Key), quicktest.Equals, Load{Running: 1})
	silent.RecordEvent()
	c.Check(silent.Stranded(), quicktest.IsFalse)
	c.Check(table.Load(head.Key), quicktest.Equals, Load{Running: 2})
	c.Check(table.Strand(lost), quicktest.Equals, 0, quicktest.Commentf("events come again"))
	for _, ticket := range []*Ticket{direct, silent, through} {
		ticket.End()
	}
	c.Check(table.Load(head.Key), quicktest.Equals, Load{})
}

// Guards against a head that other nodes avoid, or that this one doesn't use, before it is known whether only the way to it is lost.
func TestSuspicionIsHeldUntilItIsConfirmed(t *testing.T) {
	c := quicktest.New(t)
	now := clock.NewManual(time.Hour)
	q, table := queryWithHeads(now, 1), NewTable(now)
	head := table.PickHead(q)
	ticket := table.BeginHead(head, 100)
	ticket.Connected(head.Replica, "")
	ticket.RecordEvent()
	suspect := func() {
		for end := now.Now().Add(time.Second); now.Now() < end && !table.Suspected(head.Key); now.Advance(100 * time.Millisecond) {
			table.SweepHeld(100*time.Millisecond, shortGap)
		}
		c.Assert(table.Suspected(head.Key), quicktest.IsTrue)
	}
	suspect()
	c.Check(table.LocalState().Suspected, quicktest.HasLen, 0)
	table.Strand(Way{head.Key, head.Replica, ""})
	c.Check(table.Suspected(head.Key), quicktest.IsFalse)

	next := table.BeginHead(head, 100)
	next.Connected(head.Replica, "b")
	next.RecordEvent()
	suspect()
	table.ConfirmSuspicion(head.Key)
	c.Check(table.LocalState().Suspected[head.Key], quicktest.IsTrue)
	table.Suspect(head.Key)
	table.Strand(Way{head.Key, head.Replica, "b"})
	c.Check(table.Suspected(head.Key), quicktest.IsTrue, quicktest.Commentf("the head's own word stays"))
}

// Guards against ways that count as silent because this process was paused.
func TestPauseStrandsNothing(t *testing.T) {
	c := quicktest.New(t)
	now := clock.NewManual(time.Hour)
	q, table := queryWithHeads(now, 1), NewTable(now)
	head := table.PickHead(q)
	ticket := table.BeginHead(head, 100)
	ticket.Connected(head.Replica, "")
	ticket.RecordEvent()
	now.Advance(2 * time.Second)
	table.SweepHeld(100*time.Millisecond, shortGap)
	c.Check(table.SilentWays(shortGap), quicktest.HasLen, 0)
	c.Check(table.Strand(Way{head.Key, head.Replica, ""}), quicktest.Equals, 0)
}

package demand

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/clock"
)

var askClass = Class{Model: "small", Priority: 0}

// offerFor lets requests arrive evenly for the time.
func offerFor(t *Table, c *clock.Manual, class Class, perSecond int, d time.Duration) {
	n := int(d.Seconds() * float64(perSecond))
	for range n {
		c.Advance(d / time.Duration(n))
		t.Offer(class, 700, 200)
	}
}

// Load: 400 requests a second that rise to 720. Guards against a rise that shows later than after the window, and against one that a
// change between two slots shows as a dip or a peak.
func TestLocalFollowsARise(t *testing.T) {
	c := quicktest.New(t)
	manual := clock.NewManual(time.Hour)
	table := New(manual)
	offerFor(table, manual, askClass, 400, 900*time.Millisecond)
	c.Check(math.Abs(table.Local()[askClass].Requests-400) < 12, quicktest.IsTrue, quicktest.Commentf("%v", table.Local()))
	offerFor(table, manual, askClass, 400, 3*time.Second)
	for range 20 {
		offerFor(table, manual, askClass, 400, 130*time.Millisecond)
		c.Check(math.Abs(table.Local()[askClass].Requests-400) < 12, quicktest.IsTrue, quicktest.Commentf("%v", table.Local()))
	}
	offerFor(table, manual, askClass, 720, 2300*time.Millisecond)
	work := table.Local()[askClass]
	c.Check(math.Abs(work.Requests-720) < 20, quicktest.IsTrue, quicktest.Commentf("%v", work))
	c.Check(math.Abs(work.ReadTokens-700*work.Requests) < 1, quicktest.IsTrue)
	c.Check(math.Abs(work.WriteTokens-200*work.Requests) < 1, quicktest.IsTrue)
	manual.Advance(3 * time.Second)
	c.Check(table.Local(), quicktest.HasLen, 0)
}

// Guards against reports of nodes that have ended and still count, and against reports at a slow gossip interval that don't.
func TestOldReportsDontCount(t *testing.T) {
	c := quicktest.New(t)
	manual := clock.NewManual(time.Hour)
	table := New(manual)
	work := map[Class]Work{askClass: {Requests: 10, ReadTokens: 100, WriteTokens: 50}}
	table.SetPeer("node-a", work)
	manual.Advance(4 * time.Second)
	table.SetPeer("node-b", work)
	c.Check(table.Total()[askClass], quicktest.Equals, Work{20, 200, 100})
	manual.Advance(1100 * time.Millisecond)
	c.Check(table.Total()[askClass], quicktest.Equals, Work{10, 100, 50})
	c.Check(table.Reporting(), quicktest.Equals, 1)
	table.SetReportInterval(func() time.Duration { return 3 * time.Second })
	manual.Advance(10 * time.Second)
	c.Check(table.Reporting(), quicktest.Equals, 1)
	manual.Advance(4 * time.Second)
	c.Check(table.Total(), quicktest.HasLen, 0)
}

// Guards against memory that grows with what a faulty node reports or with odd requests.
func TestClassesAreBounded(t *testing.T) {
	c := quicktest.New(t)
	table, many := New(clock.NewManual(time.Hour)), map[Class]Work{}
	for i := range 10 * maxClasses {
		class := Class{Model: fmt.Sprint(i)}
		many[class] = Work{Requests: 1}
		table.Offer(class, 1, 1)
	}
	c.Check(table.Local(), quicktest.HasLen, maxClasses)
	table.SetPeer("node-a", many)
	c.Check(len(table.Total()) <= 2*maxClasses, quicktest.IsTrue)
}

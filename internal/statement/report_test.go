package statement

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/schema"
)

// Guards against statements that nodes keep telling each other after the target is gone.
func TestReportsEnd(t *testing.T) {
	c := qt.New(t)
	a, b := newFixture(), newFixture()
	a.Record(first, Statement{Leaving: true})
	for range 100 {
		a.now, b.now = a.now+time.Second, b.now+time.Second
		b.Merge(a.Reports(time.Second))
		a.Merge(b.Reports(time.Second))
	}
	c.Assert(a.Reports(time.Second), qt.HasLen, 0)
	c.Assert(b.Reports(time.Second), qt.HasLen, 0)
	c.Assert(b.Leaving(first), qt.IsTrue)
}

// Guards against reports that make a message too large, and against invalid ones.
func TestReportsAreBounded(t *testing.T) {
	c := qt.New(t)
	f := newFixture()
	for i := range maxReports + 10 {
		f.now += time.Millisecond
		f.Record(Target{fmt.Sprint(i), "1"}, Statement{Leaving: true})
	}
	reports := f.Reports(time.Second)
	c.Assert(reports, qt.HasLen, maxReports)
	c.Assert(reports[0].Target, qt.Equals, fmt.Sprint(maxReports+9))
	f = newFixture()
	f.Merge([]*schema.TargetStatement{nil, {Leaving: true}, {Target: "a", Leaving: true, AgeMs: retention.Milliseconds() + 1}, {Target: "b", AgeMs: -5}})
	c.Assert(f.Reports(time.Second), qt.HasLen, 0)
}

// Pattern: many targets state limits in all of their responses, at many nodes. Guards against messages that hold all statements each
// time: on a day with nine tenths of the heads limited, 76 nodes sent three times as many bytes between failure domains.
func TestUnchangedStatementsAreRepeatedSeldom(t *testing.T) {
	c := qt.New(t)
	const targets, steps, interval = 50, 300, 100 * time.Millisecond
	f, other := newFixture(), newFixture()
	sent, longestGap, lastTold := 0, time.Duration(0), f.now
	for range steps {
		f.now += interval
		other.now = f.now
		for i := range targets {
			f.Record(Target{fmt.Sprint(i), "1"}, Statement{Limit: Limit{Stated: true, PerSecond: 3}})
		}
		reports := f.Reports(interval)
		sent += len(reports)
		if len(reports) == targets {
			longestGap, lastTold = max(longestGap, f.now-lastTold), f.now
		}
	}
	c.Check(sent <= targets*steps/10, qt.IsTrue, qt.Commentf("%d statements in %d messages", sent, steps))
	c.Check(longestGap <= minRepeatCycle, qt.IsTrue, qt.Commentf("not repeated for %v", longestGap))

	f.now += minRepeatCycle / 2 // Between two repetitions.
	c.Assert(f.Reports(interval), qt.HasLen, 0)
	f.Record(first, Statement{Leaving: true})
	other.Merge(f.Reports(interval))
	c.Check(other.Leaving(first), qt.IsTrue)
	c.Check(other.targets, qt.HasLen, 1)
}

// Guards against a node that has just started and isn't told what targets have stated before.
func TestNodeThatStartsIsToldAtOnce(t *testing.T) {
	c := qt.New(t)
	const interval = 100 * time.Millisecond
	f := newFixture()
	f.NoteNode("n1", "1")
	f.Record(first, Statement{Leaving: true})
	f.now += 5 * interval
	c.Assert(f.Reports(interval), qt.HasLen, 0)
	f.NoteNode("n1", "1")
	c.Assert(f.Reports(interval), qt.HasLen, 0)
	f.NoteNode("n1", "2")
	c.Assert(f.Reports(interval), qt.HasLen, 1)
	f.now += interval
	c.Assert(f.Reports(interval), qt.HasLen, 1)
	f.now += interval
	c.Assert(f.Reports(interval), qt.HasLen, 0)
}

package statement

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// fixture is a table whose clock the test controls.
type fixture struct {
	*Table
	now time.Duration
}

func newFixture() *fixture {
	f := &fixture{now: time.Hour}
	f.Table = New(Options{Now: func() time.Duration { return f.now }})
	return f
}

var first, second = Target{"a", "1"}, Target{"a", "2"}

// Guards against a statement that outlives the start of the target that it is about, or is lost while the target still leaves.
func TestStatementIsAboutOneStart(t *testing.T) {
	c := qt.New(t)
	f := newFixture()
	announced := 0
	f.OnLeaving(func() { announced++ })
	f.Record(first, Statement{})
	c.Assert(f.Leaving(first), qt.IsFalse)
	f.Record(first, Statement{Leaving: true})
	f.now += time.Second
	f.Record(first, Statement{Leaving: true})
	f.Record(first, Statement{}) // For example a response that the target sent before.
	c.Assert(f.Leaving(first), qt.IsTrue)
	c.Assert(f.Leaving(second), qt.IsFalse)
	c.Assert(announced, qt.Equals, 1)
	age, _ := f.LeavingFor(first)
	c.Assert(age, qt.Equals, time.Second)
}

// Guards against statements that are kept for ever.
func TestStatementsAreBounded(t *testing.T) {
	c := qt.New(t)
	f := newFixture()
	for i := range maxTargets + 10 {
		f.now += time.Millisecond
		f.Record(Target{fmt.Sprint(i), "1"}, Statement{Leaving: true})
	}
	c.Assert(len(f.targets), qt.Equals, maxTargets)
	c.Assert(f.Leaving(Target{"0", "1"}), qt.IsFalse)
	c.Assert(f.Leaving(Target{fmt.Sprint(maxTargets + 9), "1"}), qt.IsTrue)
	f.now += retention + time.Second
	f.Record(first, Statement{Leaving: true})
	c.Assert(len(f.targets), qt.Equals, 1)
}

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
		b.Merge(a.Reports())
		a.Merge(b.Reports())
	}
	c.Assert(a.Reports(), qt.HasLen, 0)
	c.Assert(b.Reports(), qt.HasLen, 0)
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
	reports := f.Reports()
	c.Assert(reports, qt.HasLen, maxReports)
	c.Assert(reports[0].Target, qt.Equals, fmt.Sprint(maxReports+9))
	f = newFixture()
	f.Merge([]*schema.TargetStatement{nil, {Leaving: true}, {Target: "a", Leaving: true, AgeMs: retention.Milliseconds() + 1}, {Target: "b", AgeMs: -5}})
	c.Assert(f.Reports(), qt.HasLen, 0)
}

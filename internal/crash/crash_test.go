package crash

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a request that crashes one target after another, and against blocking a request after a single crash that
// was reported several times.
func TestBlocked(t *testing.T) {
	now := time.Second
	clock := func() time.Duration { return now }
	a, b := New(Options{Now: clock}), New(Options{Now: clock})
	f := Fingerprint("acc", "/p", []byte("body"))
	qt.Assert(t, a.Record(f, "t1", "i1", 0), qt.IsTrue)
	qt.Assert(t, a.Record(f, "t1", "i1", time.Second), qt.IsFalse)
	b.Merge(a.Reports())
	a.Merge(b.Reports())
	qt.Assert(t, a.Blocked(f), qt.IsFalse)
	qt.Assert(t, a.Record(Fingerprint("acc", "/p", []byte("other")), "t2", "i1", 0), qt.IsTrue)
	now += 6 * time.Minute
	qt.Assert(t, a.Record(f, "t1", "i2", 0), qt.IsTrue) // Another incarnation of the same target.
	qt.Assert(t, a.Blocked(f), qt.IsTrue)
	b.Merge(a.Reports())
	qt.Assert(t, b.Blocked(f), qt.IsTrue)
	now += 10*time.Minute - time.Millisecond
	c := New(Options{Now: func() time.Duration { return 0 }}) // A node that has just started: its clock is below the age of the reports.
	c.Merge(a.Reports())
	qt.Assert(t, a.Blocked(f) && b.Blocked(f) && c.Blocked(f), qt.IsTrue)
	now += time.Millisecond
	qt.Assert(t, a.Blocked(f) || b.Blocked(f), qt.IsFalse)
	qt.Assert(t, a.Reports(), qt.HasLen, 0)
	qt.Assert(t, a.Record(f, "t1", "i3", 0), qt.IsTrue) // The expired crashes no longer count.
	qt.Assert(t, a.Blocked(f), qt.IsFalse)
	qt.Assert(t, a.Record("", "t1", "i1", 0), qt.IsFalse)
}

// Guards against unbounded memory use and heartbeat size, and against dropping the newest crashes instead of the oldest.
func TestBounds(t *testing.T) {
	now := time.Hour
	table := New(Options{MaxCrashes: 4, MaxReports: 2, Now: func() time.Duration { return now }})
	for i := range 6 {
		now += time.Second
		table.Record(fmt.Sprint("f", i/2), "t", fmt.Sprint("i", i), 0)
	}
	reports := table.Reports()
	qt.Assert(t, reports, qt.HasLen, 2)
	qt.Assert(t, reports[0].GetIncarnation(), qt.Equals, "i5")
	qt.Assert(t, reports[1].GetAgeMs(), qt.Equals, int64(1000))
	qt.Assert(t, table.total, qt.Equals, 4)
	for i, blocked := range []bool{false, true, true} {
		qt.Assert(t, table.Blocked(fmt.Sprint("f", i)), qt.Equals, blocked)
	}
}

// Guards against equal fingerprints of different requests, for example when text moves from one part to the next.
func TestFingerprint(t *testing.T) {
	fingerprints := map[string]bool{}
	for _, parts := range [][3]string{{"a", "b", "c"}, {"ab", "", "c"}, {"a", "bc", ""}, {"", "ab", "c"}, {"a", "b", "d"}} {
		fingerprints[Fingerprint(parts[0], parts[1], []byte(parts[2]))] = true
	}
	qt.Assert(t, fingerprints, qt.HasLen, 5)
	qt.Assert(t, fingerprints[Fingerprint("a", "b", []byte("c"))], qt.IsTrue)
}

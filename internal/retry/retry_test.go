package retry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against retries that multiply the load of a failing destination, and against destinations that share one budget.
func TestBudget(t *testing.T) {
	now := time.Hour
	b := New(Options{Share: 0.1, FloorPerSecond: 2, Burst: 5, Now: func() time.Duration { return now }})
	countAllowed := func(destination string, tries int) (n int) {
		for range tries {
			if b.Allow(destination, ReasonTargetFailed) {
				n++
			}
		}
		return n
	}
	qt.Assert(t, countAllowed("pool/a", 20), qt.Equals, 5) // The burst.
	qt.Assert(t, countAllowed("pool/b", 20), qt.Equals, 5) // Has a bucket of its own.
	for range 31 {                                         // 30 additions of 0.1 give slightly less than 3 in floating point.
		b.RecordRequest("pool/a")
	}
	qt.Assert(t, countAllowed("pool/a", 20), qt.Equals, 3)
	now += time.Second
	qt.Assert(t, countAllowed("pool/a", 20), qt.Equals, 2)
	now += time.Hour
	qt.Assert(t, countAllowed("pool/a", 20), qt.Equals, 5)
	b.Retain(map[string]bool{"pool/a": true})
	qt.Assert(t, countAllowed("pool/a", 1), qt.Equals, 0)
	qt.Assert(t, countAllowed("pool/b", 20), qt.Equals, 5)

	withoutRefill := New(Options{Share: -1, FloorPerSecond: -1, Burst: 1, Now: func() time.Duration { return now }})
	qt.Assert(t, withoutRefill.Allow("pool/a", ReasonNoSlot), qt.IsTrue)
	withoutRefill.RecordRequest("pool/a")
	now += time.Hour
	qt.Assert(t, withoutRefill.Allow("pool/a", ReasonNoSlot), qt.IsFalse)
}

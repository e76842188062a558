package target

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/result"
	"cassiadeal.example/cassiadeal/internal/statement"
)

// Guards against a status that hides from operators why a target gets fewer requests or none, and against queue summaries that
// count slots which its statements leave unused.
func TestStatusShowsWhatTargetsState(t *testing.T) {
	for _, test := range []struct {
		name   string
		stated statement.Statement
		want   Status // Only the fields about statements.
		slots  uint32 // Free slots in the summary.
	}{
		{"nothing", statement.Statement{}, Status{}, 3},
		{"leaving", statement.Statement{Leaving: true}, Status{Leaving: true, UnusableReason: "it has stated that it is leaving"}, 0},
		{"limit", statement.Statement{Limit: statement.Limit{Stated: true, PerSecond: 2.5}}, Status{Limited: true, PerSecond: 2.5}, 0},
		{"pause", statement.Statement{Pause: time.Minute}, Status{PausedFor: time.Minute}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, nil, poolSpec("t1", 3, 4))
			f.recordAllReady("t1")
			receiver, known := f.table.targets["t1"].receiver()
			qt.Assert(t, known, qt.IsTrue)
			f.table.options.Statements.Record(receiver, test.stated)
			got := f.table.Status()[0]
			qt.Check(t, Status{Leaving: got.Leaving, Limited: got.Limited, PerSecond: got.PerSecond, PausedFor: got.PausedFor, UnusableReason: got.UnusableReason}, qt.DeepEquals, test.want)
			qt.Check(t, f.table.Summary()[0].GetFreeSlots(), qt.Equals, test.slots)
			_, code := f.tryAcquire(SlotRequest{})
			qt.Check(t, code == result.OK, qt.Equals, test.slots > 0)
		})
	}
}

// Guards against a request that is sent although the target has stated, since the request got its slot, that it takes none.
func TestSlotOfTargetThatStatesSomethingMeanwhileIsNotUsed(t *testing.T) {
	for name, stated := range map[string]statement.Statement{"leaving": {Leaving: true}, "pause": {Pause: time.Minute}} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, nil, poolSpec("t1", 3, 4))
			f.recordAllReady("t1")
			slot, code := f.tryAcquire(SlotRequest{})
			qt.Assert(t, code, qt.Equals, result.OK)
			qt.Assert(t, slot.Check(), qt.IsNil)
			receiver, known := f.table.targets["t1"].receiver()
			qt.Assert(t, known, qt.IsTrue)
			f.table.options.Statements.Record(receiver, stated)
			qt.Check(t, result.From(slot.Check()).NotRun, qt.IsTrue)
		})
	}
}

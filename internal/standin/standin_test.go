package standin_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/standin"
)

// Guards against a limit that rises faster than by one per n completions, or that rises with cancelled requests.
func TestInFlightLimitGrowsWithCompletions(t *testing.T) {
	c := qt.New(t)
	tracker := standin.NewInFlightTracker(2, 4)
	for i, want := range []int{2, 2, 3, 3, 3, 4} { // Limit at the start of each of six consecutive requests.
		request := tracker.Begin()
		c.Check(request.Limit, qt.Equals, want, qt.Commentf("request %d", i))
		tracker.End(request, true)
		cancelled := tracker.Begin()
		tracker.End(cancelled, false)
	}
	c.Check(tracker.IsCold(), qt.IsFalse)
	tracker.TurnCold()
	first, second, third := tracker.Begin(), tracker.Begin(), tracker.Begin()
	c.Check([]bool{first.Overload, second.Overload, third.Overload}, qt.DeepEquals, []bool{false, false, true})
	c.Check(tracker.Peak().Cold, qt.Equals, 3)
}

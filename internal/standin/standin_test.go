package standin_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/standin"
)

// Guards against a bound that grows faster than one per n completions, or that counts cancelled requests.
func TestGateGrowsWithCompletions(t *testing.T) {
	c := qt.New(t)
	g := standin.NewGate(2, 4)
	for i, want := range []int{2, 2, 3, 3, 3, 4} { // Bound seen by each of six consecutive requests.
		e := g.Enter()
		c.Check(e.Bears, qt.Equals, want, qt.Commentf("request %d", i))
		g.Leave(e, true)
		cancelled := g.Enter()
		g.Leave(cancelled, false)
	}
	c.Check(g.Cold(), qt.IsFalse)
	g.TurnCold()
	first, second, third := g.Enter(), g.Enter(), g.Enter()
	c.Check([]bool{first.Overload, second.Overload, third.Overload}, qt.DeepEquals, []bool{false, false, true})
	c.Check(g.Peak().Cold, qt.Equals, 3)
}

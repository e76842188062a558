package cost

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against expectations beyond what the request allows, and against none where nothing is known.
func TestExpectationWithoutObservations(t *testing.T) {
	c := qt.New(t)
	table := New(210)
	c.Check(table.Expect(Kind{Route: "r"}), qt.Equals, 210)
	c.Check(table.Expect(Kind{Route: "r", MaxOutput: 25}), qt.Equals, 25)
	c.Check(table.Expect(Kind{Route: "r", MaxOutput: 25, Hint: 1_000_000_000}), qt.Equals, 25)
	table.SetPrior(40)
	c.Check(table.Expect(Kind{Route: "r"}), qt.Equals, 40)
	c.Check(New(0).Expect(Kind{}), qt.Equals, 1)
}

// Load: answers of 20 and of 400 tokens on one route, from accounts and prompts that have only one of the two. Guards against a mean of all, and
// against a new account or prompt that starts at the configuration's mean although its route is known.
func TestLengthsAreLearnedByRouteAccountAndPart(t *testing.T) {
	c := qt.New(t)
	table := New(210)
	short, long := Kind{Route: "r", Account: "a", Part: "p"}, Kind{Route: "r", Account: "a", Part: "q"}
	other := Kind{Route: "r", Account: "b", Part: "p"}
	for range 100 {
		table.Observe(short, 20)
		table.Observe(long, 400)
		table.Observe(other, 60)
	}
	c.Check(table.Expect(short) < 40, qt.IsTrue, qt.Commentf("%d", table.Expect(short)))
	c.Check(table.Expect(long) > 370, qt.IsTrue, qt.Commentf("%d", table.Expect(long)))
	c.Check(math.Abs(float64(table.Expect(other)-60)) < 10, qt.IsTrue)
	newAccount := table.Expect(Kind{Route: "r", Account: "new", Part: "x"})
	c.Check(newAccount > 110 && newAccount < 210, qt.IsTrue, qt.Commentf("%d, mean 160", newAccount))
}

// Load: long and short answers that look alike, without and with hints of some use. Guards against expectations that follow the newest answer,
// and against useful hints that are ignored.
func TestAnswersThatLookAlike(t *testing.T) {
	c := qt.New(t)
	table, random := New(210), rand.New(rand.NewPCG(1, 2))
	var sumError, sumErrorWithHint float64
	for i := range 1000 {
		tokens := []int{20, 400}[random.IntN(2)]
		k := Kind{Route: "r", Account: "a", Part: "p"}
		if i >= 200 {
			expected := table.Expect(k)
			c.Assert(expected > 90 && expected < 330, qt.IsTrue, qt.Commentf("%d", expected))
			sumError += math.Abs(math.Log(float64(expected) / float64(tokens)))
		}
		k.Hint = int(math.Exp(random.NormFloat64()*0.7) * float64(tokens))
		if i >= 200 {
			sumErrorWithHint += math.Abs(math.Log(float64(table.Expect(k)) / float64(tokens)))
		}
		table.Observe(k, tokens)
	}
	c.Check(sumErrorWithHint < 0.7*sumError, qt.IsTrue, qt.Commentf("%g and %g without", sumErrorWithHint, sumError))
}

// Guards against clients that move expectations with hints that have nothing to do with their answers.
func TestUselessHintsAreIgnored(t *testing.T) {
	c := qt.New(t)
	table := New(210)
	k := Kind{Route: "r", Account: "a", Hint: 1_000_000}
	for range 100 {
		table.Observe(k, 100)
	}
	c.Check(table.Expect(k) < 130, qt.IsTrue, qt.Commentf("%d", table.Expect(k)))
	k.Account = "b" // Its hints are not known yet.
	c.Check(table.Expect(Kind{Route: "r", Account: "b", MaxOutput: 200, Hint: 1_000_000}), qt.Equals, 200)
}

// Guards against memory that grows with the parts that clients name, and against losing what is in use.
func TestMemoryIsBounded(t *testing.T) {
	c := qt.New(t)
	table := New(210)
	used := Kind{Route: "r", Account: "a", Part: "used"}
	for range 50 {
		table.Observe(used, 30)
	}
	for i := range 3 * maxEntries {
		table.Observe(Kind{Route: "r", Account: "a", Part: fmt.Sprint(i)}, 300)
		table.Expect(used)
	}
	c.Check(len(table.entries), qt.Equals, maxEntries)
	c.Check(table.recent.Len(), qt.Equals, maxEntries)
	c.Check(table.Expect(used) < 60, qt.IsTrue, qt.Commentf("%d", table.Expect(used)))
	table.Observe(used, -1)
	table.Observe(used, 0)
}

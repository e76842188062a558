package balance

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/fleet"
)

// Guards against idle connections that change more than the choice among equal heads, and against a new connection where an equal head has an
// idle one.
func TestPreferConnected(t *testing.T) {
	const ms, us = time.Millisecond, time.Microsecond
	for name, test := range map[string]struct {
		costs     []time.Duration
		limited   int // Index of a limited head, or -1.
		connected map[int]bool
		want      int // The first head was chosen.
	}{
		"none":                        {[]time.Duration{10 * ms, 10 * ms}, -1, nil, 0},
		"the chosen one":              {[]time.Duration{10 * ms, 10 * ms}, -1, map[int]bool{0: true, 1: true}, 0},
		"an equal one":                {[]time.Duration{10 * ms, 11 * ms, 10 * ms}, -1, map[int]bool{2: true}, 2},
		"less than a connection":      {[]time.Duration{10 * ms, 10*ms + 999*us}, -1, map[int]bool{1: true}, 1},
		"more than a connection":      {[]time.Duration{10 * ms, 11 * ms}, -1, map[int]bool{1: true}, 0},
		"a cheaper one wasn't chosen": {[]time.Duration{10 * ms, 9 * ms}, -1, map[int]bool{1: true}, 0},
		"the cheapest":                {[]time.Duration{10 * ms, 10*ms + 500*us, 10*ms + 100*us}, -1, map[int]bool{1: true, 2: true}, 2},
		"limited ones get few":        {[]time.Duration{10 * ms, 10 * ms}, 1, map[int]bool{1: true}, 0},
	} {
		var candidates []candidate
		index := map[*fleet.Replica]int{}
		for i, cost := range test.costs {
			r := &fleet.Replica{}
			index[r] = i
			candidates = append(candidates, candidate{head: &Selection{Replica: r}, cost: cost, limited: i == test.limited})
		}
		connected := func(r *fleet.Replica) bool { return test.connected[index[r]] }
		got := preferConnected(candidates[0].head, candidates, connected)
		quicktest.Check(t, index[got.Replica], quicktest.Equals, test.want, quicktest.Commentf("%s", name))
		quicktest.Check(t, preferConnected(candidates[0].head, candidates, nil), quicktest.Equals, candidates[0].head)
	}
	quicktest.Check(t, preferConnected(nil, nil, func(*fleet.Replica) bool { return true }), quicktest.IsNil)
}

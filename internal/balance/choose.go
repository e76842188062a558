package balance

import (
	"math/rand/v2"
	"slices"
	"time"

	"cassiadeal.example/cassiadeal/internal/clock"
)

// candidate is a head that could take a request.
type candidate struct {
	head *Head
	cost time.Duration // Predicted first event, with what speaks against the head.
	step time.Duration // What one more request at the head adds to the prediction.
}

// choose draws a head. All nodes choose at the same time from loads that are a little old, and would all choose the head that
// seemed best. The requests that arrive while the loads age are therefore thought of as filling the heads up to a common cost,
// and each head is drawn as often as it would take of them. With few arrivals the best head is drawn.
func choose(list []candidate, arrivals float64) *Head {
	if len(list) == 0 {
		return nil
	}
	slices.SortFunc(list, func(a, b candidate) int { return int(a.cost - b.cost) })
	shares := fill(list, max(arrivals, 1))
	draw := rand.Float64()
	for i, share := range shares {
		if draw -= share; draw < 0 {
			return list[i].head
		}
	}
	return list[0].head
}

// fill returns the part of the arrivals that each candidate takes if they fill the candidates, in order of cost, up to one level.
func fill(list []candidate, arrivals float64) []float64 {
	var level, perCost float64 // Arrivals that one unit of cost takes at all candidates below the level.
	left := arrivals
	n := 0
	for n < len(list) {
		if n > 0 {
			room := (float64(list[n].cost) - level) * perCost
			if room >= left {
				break
			}
			left -= room
		}
		level = float64(list[n].cost)
		perCost += 1 / float64(max(list[n].step, 1))
		n++
	}
	level += left / perCost
	shares := make([]float64, n)
	for i := range shares {
		shares[i] = (level - float64(list[i].cost)) / float64(max(list[i].step, 1)) / arrivals
	}
	return shares
}

// rateWindow is the time over which a node's own requests for a model are counted.
const rateWindow = time.Second

// rate counts requests in the current window and the one before.
type rate struct {
	start        clock.Time
	before, this int
}

func (r *rate) add(now clock.Time) {
	r.roll(now)
	r.this++
}

func (r *rate) roll(now clock.Time) {
	switch age := now.Sub(r.start); {
	case age >= 2*rateWindow:
		r.start, r.before, r.this = now, 0, 0
	case age >= rateWindow:
		r.start, r.before, r.this = r.start.Add(rateWindow), r.this, 0
	}
}

// perSecond returns the rate of the last window's length.
func (r *rate) perSecond(now clock.Time) float64 {
	r.roll(now)
	part := float64(now.Sub(r.start)) / float64(rateWindow)
	return (float64(r.before)*(1-part) + float64(r.this)) / rateWindow.Seconds()
}

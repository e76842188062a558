package balance

import (
	"math/rand/v2"
	"slices"
	"time"

	"cassiadeal.example/cassiadeal/internal/clock"
)

// candidate is a head that could take a request.
type candidate struct {
	head           *Selection
	cost           time.Duration // Predicted first event, with what speaks against the head.
	costPerRequest time.Duration // What one more request at the head adds to the prediction.
}

// choose draws a head. All nodes choose at the same time from loads that are a little old, and would all choose the head that
// seemed best. The requests that arrive while the loads age are therefore thought of as filling the heads up to a common cost,
// and each head is drawn as often as it would take of them. With few arrivals the best head is drawn.
func choose(candidates []candidate, arrivals float64) *Selection {
	if len(candidates) == 0 {
		return nil
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return int(a.cost - b.cost) })
	shares := waterFill(candidates, max(arrivals, 1))
	draw := rand.Float64()
	for i, share := range shares {
		if draw -= share; draw < 0 {
			return candidates[i].head
		}
	}
	return candidates[0].head
}

// fill returns the part of the arrivals that each candidate takes if they fill the candidates, in order of cost, up to one level.
func waterFill(candidates []candidate, arrivals float64) []float64 {
	var level, requestsPerCost float64 // Arrivals that one unit of cost takes at all candidates below the level.
	remaining := arrivals
	n := 0
	for n < len(candidates) {
		if n > 0 {
			requests := (float64(candidates[n].cost) - level) * requestsPerCost
			if requests >= remaining {
				break
			}
			remaining -= requests
		}
		level = float64(candidates[n].cost)
		requestsPerCost += 1 / float64(max(candidates[n].costPerRequest, 1))
		n++
	}
	level += remaining / requestsPerCost
	shares := make([]float64, n)
	for i := range shares {
		shares[i] = (level - float64(candidates[i].cost)) / float64(max(candidates[i].costPerRequest, 1)) / arrivals
	}
	return shares
}

// rateWindow is the time over which a node's own requests for a model are counted.
const rateWindow = time.Second

// rate counts requests in the current window and the one before.
type rate struct {
	windowStart       clock.Time
	previous, current int
}

func (r *rate) add(now clock.Time) {
	r.advance(now)
	r.current++
}

func (r *rate) advance(now clock.Time) {
	switch age := now.Sub(r.windowStart); {
	case age >= 2*rateWindow:
		r.windowStart, r.previous, r.current = now, 0, 0
	case age >= rateWindow:
		r.windowStart, r.previous, r.current = r.windowStart.Add(rateWindow), r.current, 0
	}
}

// perSecond returns the rate of the last window's length.
func (r *rate) perSecond(now clock.Time) float64 {
	r.advance(now)
	elapsedShare := float64(now.Sub(r.windowStart)) / float64(rateWindow)
	return (float64(r.previous)*(1-elapsedShare) + float64(r.current)) / rateWindow.Seconds()
}

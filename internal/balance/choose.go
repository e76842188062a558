package balance

import (
	"math/rand/v2"
	"slices"
	"time"

	"cassiadeal.example/cassiadeal/internal/clock"
)

// candidate is a head replica that could take a request.
type candidate struct {
	head           *Selection
	cost           time.Duration // Predicted time to the first event, plus penalties.
	costPerRequest time.Duration // What one more request at the head adds to the cost.
	limited        bool          // Only a few nodes may send to the head, and few requests.
	memoryFull     bool          // The request would exceed the memory of the group.
}

// choose draws a head at random. All nodes choose concurrently from loads that lag behind, and would all choose the head with
// the lowest cost. The requests that arrive until the loads are updated are therefore distributed in such a way that the heads
// that get any reach a common cost, and each head is drawn with the probability of its share. With few arrivals the head with
// the lowest cost is drawn. A limited head that would get any is taken first: the other nodes can't fill it, and what this node may
// send there would be lost.
func choose(candidates []candidate, arrivals float64) *Selection {
	if len(candidates) == 0 {
		return nil
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return int(a.cost - b.cost) })
	shares := waterFill(candidates, max(arrivals, 1))
	for i := range shares {
		if candidates[i].limited {
			return candidates[i].head
		}
	}
	draw := rand.Float64()
	for i, share := range shares {
		if draw -= share; draw < 0 {
			return candidates[i].head
		}
	}
	return candidates[0].head
}

// waterFill returns the share of the arrivals that each candidate takes if they raise the candidates, which are sorted by cost,
// to a common cost. Candidates that cost more than that are left out of the result.
func waterFill(candidates []candidate, arrivals float64) []float64 {
	var level, requestsPerCost float64 // The common cost, and the requests that raise it by one unit.
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

// rateWindow is the length of the windows in which a node counts its own requests for a model.
const rateWindow = time.Second

// rate counts requests in the current window and the previous one.
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

// perSecond returns the rate over the last rateWindow, with the part of the previous window that lies in it.
func (r *rate) perSecond(now clock.Time) float64 {
	r.advance(now)
	elapsedShare := float64(now.Sub(r.windowStart)) / float64(rateWindow)
	return (float64(r.previous)*(1-elapsedShare) + float64(r.current)) / rateWindow.Seconds()
}

package balance

import (
	"slices"
	"time"

	"cassiadeal.example/cassiadeal/internal/fleet"
)

// newConnectionCost is what a new connection to a replica costs. Heads whose costs differ by less are equal if it is saved at one of them.
const newConnectionCost = time.Millisecond

// preferConnected returns the chosen head, or one to which the node has an idle connection in its place if the costs of both are equal. Of
// several, the one with the lowest cost is returned. connected may be nil.
func preferConnected(chosen *Selection, candidates []candidate, connected func(*fleet.Replica) bool) *Selection {
	if chosen == nil || connected == nil || connected(chosen.Replica) {
		return chosen
	}
	at := slices.IndexFunc(candidates, func(c candidate) bool { return c.head == chosen })
	var best *candidate
	for i := range candidates {
		c := &candidates[i]
		difference := (c.cost - candidates[at].cost).Abs()
		if difference < newConnectionCost && c.limited == candidates[at].limited && (best == nil || c.cost < best.cost) && connected(c.head.Replica) {
			best = c
		}
	}
	if best == nil {
		return chosen
	}
	return best.head
}

package holder

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"cassiadeal.example/cassiadeal/internal/schema"
)

// settleHandovers rewrites the tables in which a handover has an unknown outcome. A conditional write that is still
// under way cannot succeed after that, so this node may send again to what it still holds.
func (h *Holders) settleHandovers(ctx context.Context) {
	h.mu.Lock()
	unsettled := maps.Clone(h.unsettledHandovers)
	h.mu.Unlock()
	for _, domain := range slices.Sorted(maps.Keys(unsettled)) {
		err := h.updateTable(ctx, domain, func(*schema.HolderTable) bool { return true })
		if err != nil {
			h.opts.Log.WithError(err).WithField("failure_domain", domain).Warn("outcome of a handover is still unknown")
			continue
		}
		h.mu.Lock()
		delete(h.unsettledHandovers, domain)
		for _, id := range unsettled[domain] {
			delete(h.releasing, id)
		}
		h.mu.Unlock()
	}
}

// move stops sending to targets, waits for their work in flight and writes the new holders, one write per failure domain.
func (h *Holders) executeMoves(ctx context.Context, moves []Move) {
	h.mu.Lock()
	for _, m := range moves {
		h.releasing[m.Target.ID] = true
	}
	h.mu.Unlock()
	moves = h.waitForRoom(ctx, moves)
	byDomain := map[string][]Move{}
	for _, m := range moves {
		byDomain[m.Target.FailureDomain] = append(byDomain[m.Target.FailureDomain], m)
	}
	for _, domain := range slices.Sorted(maps.Keys(byDomain)) {
		handedOver := 0
		err := h.updateTable(ctx, domain, func(t *schema.HolderTable) bool {
			handedOver = 0
			for _, m := range byDomain[domain] {
				e := t.Holders[m.Target.ID]
				if entryOf(e).Identity != h.opts.Self {
					continue
				}
				t.Holders[m.Target.ID] = &schema.Holder{
					Node: m.To.Name, Incarnation: m.To.Incarnation, Epoch: e.Epoch + 1,
				}
				handedOver++
			}
			return handedOver > 0
		})
		if err != nil {
			h.opts.Log.WithError(err).WithField("failure_domain", domain).Warn("targets were not handed over")
		} else {
			h.countChanges(ctx, "handover", handedOver)
		}
		h.finishMoves(domain, byDomain[domain], err)
	}
}

func (h *Holders) finishMoves(domain string, moves []Move, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, m := range moves {
		if err != nil {
			h.unsettledHandovers[domain] = append(h.unsettledHandovers[domain], m.Target.ID)
		} else {
			delete(h.releasing, m.Target.ID)
		}
	}
}

// waitForRoom returns the moves whose targets have room for a new holder. The others stay with this node: the new holder
// does not know of their work in flight and would send too much on top. A node that drains doesn't send to them again.
func (h *Holders) waitForRoom(ctx context.Context, moves []Move) []Move {
	if h.opts.BeforeRelease == nil {
		return moves
	}
	hasRoom := make([]bool, len(moves))
	var wg sync.WaitGroup
	for i, m := range moves {
		wg.Go(func() { hasRoom[i] = h.opts.BeforeRelease(ctx, m.Target.ID) })
	}
	wg.Wait()
	h.mu.Lock()
	defer h.mu.Unlock()
	var released []Move
	for i, m := range moves {
		switch {
		case hasRoom[i]:
			released = append(released, m)
		case !h.draining:
			delete(h.releasing, m.Target.ID)
		}
	}
	return released
}

// HandOver gives every held target to the next node in preference and takes no more. Targets for which there is no
// other node, or whose work in flight leaves no room for a new holder until ctx ends, stay in the table and lapse with the
// lease.
func (h *Holders) HandOver(ctx context.Context) {
	for ctx.Err() == nil && !h.handOverRound(ctx) {
		select {
		case <-ctx.Done():
		case <-time.After(h.opts.Interval):
		}
	}
}

// handOverRound tries to give away all targets once and returns true if there was none left to try.
func (h *Holders) handOverRound(ctx context.Context) bool {
	h.mu.Lock()
	h.draining = true
	h.mu.Unlock()
	moves := h.drainMoves()
	if len(moves) > 0 {
		h.executeMoves(ctx, moves)
	}
	return len(moves) == 0
}

// departures lists the targets that this node still has to give away, with their next holders.
func (h *Holders) drainMoves() []Move {
	nodes := h.opts.Members.Nodes()
	byName := map[string]Node{}
	for _, n := range nodes {
		byName[n.Name] = n
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	var moves []Move
	for _, id := range slices.Sorted(maps.Keys(h.targets)) {
		if state, ok := h.heldLocked(id); (!ok || state.InDoubt) && !h.handoverPendingLocked(id) {
			continue // The next holder could not know of the doubt.
		}
		for _, name := range Prefer(h.targets[id], nodes) {
			if name != h.opts.Self.Name {
				moves = append(moves, Move{h.targets[id], byName[name].Identity})
				break
			}
		}
	}
	return moves
}

// handoverPendingLocked tells whether a target was to be handed over before and is still this node's.
func (h *Holders) handoverPendingLocked(id string) bool {
	e, ok := h.currentEntryLocked(id)
	return ok && h.releasing[id] && e.Identity == h.opts.Self
}

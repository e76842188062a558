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
	unsettled := maps.Clone(h.unsettled)
	h.mu.Unlock()
	for _, domain := range slices.Sorted(maps.Keys(unsettled)) {
		err := h.change(ctx, domain, func(*schema.HolderTable) bool { return true })
		if err != nil {
			h.o.Log.WithError(err).WithField("failure_domain", domain).Warn("outcome of a handover is still unknown")
			continue
		}
		h.mu.Lock()
		delete(h.unsettled, domain)
		for _, id := range unsettled[domain] {
			delete(h.releasing, id)
		}
		h.mu.Unlock()
	}
}

// move stops sending to targets, waits for their work in flight and writes the new holders, one write per failure domain.
func (h *Holders) move(ctx context.Context, moves []Move) {
	h.mu.Lock()
	for _, m := range moves {
		h.releasing[m.Target.ID] = true
	}
	h.mu.Unlock()
	moves = h.waitReleased(ctx, moves)
	byDomain := map[string][]Move{}
	for _, m := range moves {
		byDomain[m.Target.FailureDomain] = append(byDomain[m.Target.FailureDomain], m)
	}
	for _, domain := range slices.Sorted(maps.Keys(byDomain)) {
		given := 0
		err := h.change(ctx, domain, func(t *schema.HolderTable) bool {
			given = 0
			for _, m := range byDomain[domain] {
				e := t.Holders[m.Target.ID]
				if entryOf(e).Identity != h.o.Self {
					continue
				}
				t.Holders[m.Target.ID] = &schema.Holder{
					Node: m.To.Name, Incarnation: m.To.Incarnation, Epoch: e.Epoch + 1,
				}
				given++
			}
			return given > 0
		})
		if err != nil {
			h.o.Log.WithError(err).WithField("failure_domain", domain).Warn("targets were not handed over")
		} else {
			h.count(ctx, "handover", given)
		}
		h.endMove(domain, byDomain[domain], err)
	}
}

func (h *Holders) endMove(domain string, moves []Move, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, m := range moves {
		if err != nil {
			h.unsettled[domain] = append(h.unsettled[domain], m.Target.ID)
		} else {
			delete(h.releasing, m.Target.ID)
		}
	}
}

// waitReleased returns the moves whose targets have room for a new holder. The others stay with this node: the new holder
// does not know of their work in flight and would send too much on top. A node that drains doesn't send to them again.
func (h *Holders) waitReleased(ctx context.Context, moves []Move) []Move {
	if h.o.BeforeRelease == nil {
		return moves
	}
	ready := make([]bool, len(moves))
	var wg sync.WaitGroup
	for i, m := range moves {
		wg.Go(func() { ready[i] = h.o.BeforeRelease(ctx, m.Target.ID) })
	}
	wg.Wait()
	h.mu.Lock()
	defer h.mu.Unlock()
	var released []Move
	for i, m := range moves {
		switch {
		case ready[i]:
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
		case <-time.After(h.o.Interval):
		}
	}
}

// handOverRound tries to give away all targets once and returns true if there was none left to try.
func (h *Holders) handOverRound(ctx context.Context) bool {
	h.mu.Lock()
	h.draining = true
	h.mu.Unlock()
	moves := h.departures()
	if len(moves) > 0 {
		h.move(ctx, moves)
	}
	return len(moves) == 0
}

// departures lists the targets that this node still has to give away, with their next holders.
func (h *Holders) departures() []Move {
	nodes := h.o.Members.Nodes()
	byName := map[string]Node{}
	for _, n := range nodes {
		byName[n.Name] = n
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	var moves []Move
	for _, id := range slices.Sorted(maps.Keys(h.targets)) {
		if s, ok := h.heldLocked(id); (!ok || s.InDoubt) && !h.leavingLocked(id) {
			continue // The next holder could not know of the doubt.
		}
		for _, name := range Prefer(h.targets[id], nodes) {
			if name != h.o.Self.Name {
				moves = append(moves, Move{h.targets[id], byName[name].Identity})
				break
			}
		}
	}
	return moves
}

// leavingLocked tells whether a target was to be handed over before and is still this node's.
func (h *Holders) leavingLocked(id string) bool {
	e, ok := h.effectiveLocked(id)
	return ok && h.releasing[id] && e.Identity == h.o.Self
}

package holder

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"cassiadeal.example/cassiadeal/internal/schema"
)

// settleHandovers rewrites the tables for which a handover has an unknown outcome. The rewrite changes the version, so a
// conditional write that has not been applied yet fails, and this node may send again to the targets that it still holds.
func (h *Holders) settleHandovers(ctx context.Context) {
	h.mu.Lock()
	unsettled := maps.Clone(h.unsettledHandovers)
	h.mu.Unlock()
	for _, domain := range slices.Sorted(maps.Keys(unsettled)) {
		err := h.updateTable(ctx, domain, func(*schema.HolderTable) bool { return true })
		if err != nil {
			h.opts.Log.WithError(err).WithField("failure_domain", domain).Warn("could not determine the outcome of a handover")
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

// executeMoves stops sending to targets, waits for their work in flight and writes the new holders, with one write per
// failure domain.
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
		err := h.updateTable(ctx, domain, func(table *schema.HolderTable) bool {
			handedOver = 0
			for _, m := range byDomain[domain] {
				e := table.Holders[m.Target.ID]
				if entryOf(e).Identity != h.opts.Self {
					continue
				}
				table.Holders[m.Target.ID] = &schema.Holder{
					Node: m.To.Name, Incarnation: m.To.Incarnation, Epoch: e.Epoch + 1,
				}
				handedOver++
			}
			return handedOver > 0
		})
		if err != nil {
			h.opts.Log.WithError(err).WithField("failure_domain", domain).Warn("could not hand over targets")
		} else {
			h.countChanges(ctx, "handover", handedOver)
		}
		h.finishMoves(domain, byDomain[domain], err)
	}
}

// finishMoves ends the handover of targets. After an error, the write may still take effect, so this node doesn't send to
// them until settleHandovers has run. If nothing was written, it goes on as their holder, unless it is draining.
func (h *Holders) finishMoves(domain string, moves []Move, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, m := range moves {
		if err != nil && (h.draining || !errors.Is(err, errUnwritten)) {
			h.unsettledHandovers[domain] = append(h.unsettledHandovers[domain], m.Target.ID)
		} else {
			delete(h.releasing, m.Target.ID)
		}
	}
}

// waitForRoom waits for the targets' work in flight and returns the moves whose targets have room for the requests of a new
// holder. The other targets stay with this node: a new holder doesn't know of their work in flight and would overload them.
// A node that is draining doesn't send to them again.
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

// HandOver hands every held target over to the most preferred other node. This node takes no targets after that. Targets
// that are in doubt, that no other node can take, or whose work in flight leaves no room for a new holder until ctx ends stay
// in the table, and other nodes take them over when this node's lease has lapsed.
func (h *Holders) HandOver(ctx context.Context) {
	for ctx.Err() == nil && !h.handOverRound(ctx) {
		select {
		case <-ctx.Done():
		case <-time.After(h.opts.Interval):
		}
	}
}

// handOverRound tries to hand over all targets once. It returns true if there was none to hand over.
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

// drainMoves returns a move for each target that this node still has to hand over.
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
			continue // The table doesn't record the doubt, so the next holder wouldn't treat the target as in doubt.
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

// handoverPendingLocked reports whether an earlier handover of a target has not completed, so this node is still its holder.
func (h *Holders) handoverPendingLocked(id string) bool {
	e, ok := h.currentEntryLocked(id)
	return ok && h.releasing[id] && e.Identity == h.opts.Self
}

package holder

import (
	"maps"
	"time"

	"cassiadeal.example/cassiadeal/internal/platform"
)

// hold tells how far this node may go on as the holder of a target that a restored table gives it.
type hold int

const (
	holdNone    hold = iota // Another node may have become the holder since the copy was made.
	holdInDoubt             // This node had the right to serve throughout, but couldn't read that it lost the target.
	holdSure                // This node held the target by tables that it read within the last term.
)

// restoreGraceLocked reports whether nodes may still be about to write entries again that a restore of the store has taken.
// A process that starts in an era after the first can't know when it began. The leases of nodes that are cut off from the
// platform have lapsed by then.
func (h *Holders) restoreGraceLocked(now time.Duration) bool {
	return h.era > 0 && now-h.eraNoticedAt < 2*(h.opts.Term+h.opts.Margin)
}

// suspended reports whether this node must not act as the holder of a target yet.
func (h *Holders) suspended(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.opts.Now() < h.suspendedUntil[id]
}

// noteEraLocked records when this node first read a table or list in an era.
func (h *Holders) noteEraLocked(version uint64) {
	if era := platform.EraOf(version); era > h.era {
		h.era, h.eraNoticedAt = era, h.opts.Now()
	}
}

// entriesOfFormerEraLocked returns the entries of a failure domain's targets that this node knew, takeovers included, if next
// is the first version of the table in its era.
func (h *Holders) entriesOfFormerEraLocked(domain string, next table) map[string]Entry {
	old := h.tables[domain]
	if platform.EraOf(next.version) == platform.EraOf(old.version) {
		return nil
	}
	entries := map[string]Entry{}
	for id := range old.entries {
		entries[id], _ = h.currentEntryLocked(id)
	}
	for id, t := range h.takeovers {
		if t.Target.FailureDomain == domain {
			entries[id], _ = h.currentEntryLocked(id)
		}
	}
	return entries
}

// holdsLocked returns this node's hold on the targets that it holds by a restored table or by what it knew, by target. It is
// called before the table is applied.
func (h *Holders) holdsLocked(known map[string]Entry, next table) map[string]hold {
	latest := maps.Clone(next.entries)
	if latest == nil {
		latest = map[string]Entry{}
	}
	for id, e := range known {
		if e.Epoch > latest[id].Epoch {
			latest[id] = e
		}
	}
	now, holds := h.opts.Now(), map[string]hold{}
	for id, e := range latest {
		if e.Identity != h.opts.Self {
			continue
		}
		_, held := h.heldLocked(id)
		switch {
		case !held || known[id] != e || now-h.rightConfirmedAt > h.opts.Term:
			holds[id] = holdNone
		case now-h.tablesReadAt > h.opts.Term:
			holds[id] = holdInDoubt
		default:
			holds[id] = holdSure
		}
	}
	return holds
}

// reviseAfterRestoreLocked is called after the first table of an era was applied. Entries that the restore has taken become
// takeovers that aren't in the table yet: they are announced to the peers, and their holders write them again. A target of which
// this node isn't the holder for sure is suspended for a term and the margin: its present holder has announced and written its
// entry again by then, or has stopped.
func (h *Holders) reviseAfterRestoreLocked(domain string, known map[string]Entry, holds map[string]hold, next table) {
	for id, e := range known {
		if stored := next.entries[id]; e.Epoch > stored.Epoch {
			h.takeovers[id] = Takeover{Target: Target{ID: id, FailureDomain: domain}, Entry: e, TableEpoch: stored.Epoch}
			h.acks[id] = map[string]bool{h.opts.Self.Name: true}
		}
	}
	wait := h.opts.Term + h.opts.Margin
	for id, state := range holds {
		if state == holdSure {
			continue
		}
		until := h.opts.Now() + wait
		if state == holdNone {
			h.suspendedUntil[id] = until
			until += wait
		}
		epoch := max(next.entries[id].Epoch, known[id].Epoch)
		h.inDoubt[id] = inDoubtEntry{epoch: epoch, until: until}
	}
}

// takeoversByTarget returns a copy of the known takeovers.
func (h *Holders) takeoversByTarget() map[string]Takeover {
	h.mu.Lock()
	defer h.mu.Unlock()
	return maps.Clone(h.takeovers)
}

// rebaseTakeoversLocked corrects the table epoch of takeovers that were known before the tables were read. One that is above
// the table's entry is of a table that a restore has taken; no write could replace it.
func (h *Holders) rebaseTakeoversLocked(announced map[string]Takeover) {
	for id, t := range announced {
		if stored := h.tableEntries[id].Epoch; h.takeovers[id] == t && t.TableEpoch > stored {
			t.TableEpoch = stored
			h.takeovers[id] = t
		}
	}
}

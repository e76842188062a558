package fleet

import (
	"time"

	"cassiadeal.example/cassiadeal/internal/clock"
)

// lateWriteTime is the time within which the store carries out a check-in to which it gave no answer, if it does so at all.
const lateWriteTime = 6 * time.Second

// defaultEntryLapse is the time without a check-in after which the store removes an entry, unless SetEntryLapse sets another one.
const defaultEntryLapse = 3600 * time.Millisecond

// HoldReason tells why an entry isn't used for a while.
type HoldReason string

// Reasons. In the first two cases the entry is known to be an old one, in the last one it may be.
const (
	HoldOlderStart   HoldReason = "older_start"    // A later start of the replica is known.
	HoldOlderCheckIn HoldReason = "older_check_in" // A later check-in of this start is known.
	HoldAfterRemoval HoldReason = "after_removal"  // The check-in may have been sent before the entry was removed.
	holdNone         HoldReason = ""
)

// Hold tells of an entry that isn't used for a while.
type Hold struct {
	ID     string
	Reason HoldReason
}

// heldEntry is an entry that isn't used for now, since a check-in that was carried out late may have written it. A replica that runs replaces
// such an entry by its next check-in, and the store removes it if the replica has left.
type heldEntry struct {
	entry     *Replica
	reason    HoldReason
	firstAt   clock.Time // When an entry of the replica was first held, without one that was used since.
	arrivedAt clock.Time
	due       clock.Time // When the entry is used if the store still lists it.
}

// coldUntil returns the end of the cold time that the entry states; 0 if it states none.
func (h *heldEntry) coldUntil() clock.Time {
	if h == nil || h.entry.ColdFor == 0 {
		return 0
	}
	return h.arrivedAt.Add(h.entry.ColdFor)
}

// SetEntryLapse sets the time without a check-in after which the store removes an entry, if it is known. It is called before the registry is
// used.
func (r *Registry) SetEntryLapse(d time.Duration) {
	if d > 0 {
		r.entryLapse = d
	}
}

// olderThan returns why the check-in that wrote an entry was sent before that of another entry of the same ID, or holdNone if it wasn't. Entries
// without a start can't be ordered: the replica may have started again in between, and counts anew then.
func (entry *Replica) olderThan(other *Replica) HoldReason {
	switch {
	case entry.StartedUnixMs < other.StartedUnixMs:
		return HoldOlderStart
	case entry.StartedUnixMs > other.StartedUnixMs || entry.StartedUnixMs == 0:
		return holdNone
	case entry.Sequence < other.Sequence:
		return HoldOlderCheckIn
	}
	return holdNone
}

// holdReason returns why an entry must not be used now, or holdNone. The lock is held.
func (r *Registry) holdReason(entry *Replica) HoldReason {
	if known := r.replicas[entry.ID]; known != nil {
		return entry.olderThan(known)
	}
	removed, known := r.lapsed[entry.ID]
	if !known || r.restored.unusedNow(entry, r.clock.Now()) {
		return holdNone
	}
	if reason := entry.olderThan(removed.replica); reason != holdNone {
		return reason
	}
	if removed.mayHaveCheckedIn(entry) && r.clock.Now() < removed.removedAt.Add(lateWriteTime) {
		return HoldAfterRemoval
	}
	return holdNone
}

// mayHaveCheckedIn reports whether the check-in that wrote the entry, whose sequence is that of the removed one or higher, may have been sent
// before the removal. The store changes an entry only when more than its sequence changes, so such check-ins may exist; they differ from
// the removed entry in nothing else. One that doesn't say that the replica leaves is a new one if the removed entry did.
func (l lapsedEntry) mayHaveCheckedIn(entry *Replica) bool {
	return entry.StartedUnixMs != 0 && entry.StartedUnixMs == l.replica.StartedUnixMs && entry.Sequence > 0 && !l.overwritten &&
		(entry.Draining || !l.replica.Draining)
}

// hold keeps an entry back. The lock is held.
func (r *Registry) hold(entry *Replica, reason HoldReason) {
	now := r.clock.Now()
	h := heldEntry{entry: entry, reason: reason, firstAt: now, arrivedAt: now}
	if earlier, held := r.held[entry.ID]; held {
		h.firstAt = earlier.firstAt
	} else {
		r.departures.Held = append(r.departures.Held, Hold{entry.ID, reason})
	}
	// All check-ins that are older than what is known were sent before that arrived. They may also be carried out without an event, if they
	// state what the entry states already.
	knownAt := r.usedAt[entry.ID]
	if r.replicas[entry.ID] == nil {
		removed := r.lapsed[entry.ID]
		if knownAt = removed.newestAt; reason == HoldAfterRemoval {
			knownAt = removed.removedAt
			removed.replica, removed.newestAt = entry, now
			r.lapsed[entry.ID] = removed
		}
	}
	h.due = max(h.firstAt, knownAt.Add(lateWriteTime)).Add(r.entryLapse + ReturnGrace)
	r.held[entry.ID] = h
}

// heldOf returns the held entry of a start of a replica, or nil. While it is listed, a later check-in of the replica that states the same is
// no event. So what calls for caution in it counts: that the replica drains, or is cold. The lock is held.
func (r *Registry) heldOf(used *Replica) *heldEntry {
	h, held := r.held[used.ID]
	if !held || h.entry.Incarnation() != used.Incarnation() {
		return nil
	}
	return &h
}

// useHeld uses the entries that the store has listed for so long that a check-in must have confirmed them, and reports whether there were
// any. While the store doesn't answer, nobody can replace or remove an entry. The lock is held.
func (r *Registry) useHeld(now clock.Time) bool {
	used := false
	for id, h := range r.held {
		due := h.due
		if r.lastOutageAt != 0 {
			due = max(due, r.lastOutageAt.Add(r.entryLapse+ReturnGrace))
		}
		if r.storeFailing || now < due {
			continue
		}
		r.useEntry(h.entry, h.arrivedAt)
		r.departures.HeldUsed = append(r.departures.HeldUsed, id)
		used = true
	}
	return used
}

// forgetSequences makes any sequence count as a new one: an older copy of the store holds earlier check-ins. The lock is held.
func (r *Registry) forgetSequences() {
	for id, entry := range r.replicas {
		r.replicas[id] = entry.withoutSequence()
	}
	for id, l := range r.lapsed {
		l.replica = l.replica.withoutSequence()
		r.lapsed[id] = l
	}
	clear(r.held)
}

func (entry *Replica) withoutSequence() *Replica {
	unordered := *entry
	unordered.Sequence = 0
	return &unordered
}

// MayHaveReturned returns the held entries of replicas that are listed as ready and either have returned or have left. Only their own answers
// tell which.
func (r *Registry) MayHaveReturned() []*Replica {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []*Replica
	for _, h := range r.held {
		if h.reason == HoldAfterRemoval && !h.entry.Draining {
			list = append(list, h.entry)
		}
	}
	return list
}

// ConfirmReturn uses the held entry of a replica that has answered a query, which was sent at the given time, without saying that it leaves.
// It reports whether there was such an entry then.
func (r *Registry) ConfirmReturn(i Incarnation, askedAt clock.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	h, held := r.held[i.ID]
	if !held || h.reason != HoldAfterRemoval || h.entry.Incarnation() != i || askedAt < h.firstAt {
		return false
	}
	r.useEntry(h.entry, h.arrivedAt)
	r.publish()
	return true
}

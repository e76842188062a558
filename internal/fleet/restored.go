package fleet

import (
	"maps"
	"time"

	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/internal/statement"
)

// restoredState is what a registry knows from before the store came back from an older copy, as long as the copy may contradict it. The
// lock of the registry is held by all callers.
type restoredState struct {
	at clock.Time // When the store last came back; 0 if it never did.
	// unused holds the replicas whose entries were removed before, by ID. The copy may list them again.
	unused map[string]startUntil
	// cold holds the replicas that were cold, by ID.
	cold map[string]startUntil
	// evacuatedUntil holds the failure domains that were evacuated and haven't been listed since.
	evacuatedUntil map[string]clock.Time
}

// startUntil is a time up to which something holds for one start of a replica.
type startUntil struct {
	startedUnixMs int64
	until         clock.Time
}

func newRestoredState() restoredState {
	return restoredState{unused: map[string]startUntil{}, cold: map[string]startUntil{}, evacuatedUntil: map[string]clock.Time{}}
}

// rewrittenBy returns the time by which running replicas have written their entries again; 0 if the store never came back from an older
// copy.
func (s *restoredState) rewrittenBy() clock.Time {
	if s.at == 0 {
		return 0
	}
	return s.at.Add(ReturnGrace)
}

// unusedNow reports whether the start of the replica was removed before and may only be listed by the copy.
func (s *restoredState) unusedNow(entry *Replica, now clock.Time) bool {
	u, known := s.unused[entry.ID]
	return known && u.startedUnixMs == entry.StartedUnixMs && now < u.until
}

// withNewerGroup returns the entry, with the group and weights of the known one if that is of a later epoch: a replica never goes back to an
// earlier one, so the entry is one of the copy that the replica hasn't written again yet.
func (s *restoredState) withNewerGroup(entry, known *Replica, now clock.Time) *Replica {
	if now >= s.rewrittenBy() || known == nil || known.StartedUnixMs != entry.StartedUnixMs || entry.Group == nil || epochOf(entry.Group) >= epochOf(known.Group) {
		return entry
	}
	merged := *entry
	merged.Group, merged.Models, merged.Staged = known.Group, known.Models, known.Staged
	return &merged
}

// coldUntil returns the end of the cold time that this start of the replica had stated before; 0 if there is none.
func (s *restoredState) coldUntil(entry *Replica) clock.Time {
	if c, known := s.cold[entry.ID]; known && c.startedUnixMs == entry.StartedUnixMs {
		return c.until
	}
	return 0
}

// evacuated returns the failure domains that are evacuated by the store's list or may still be.
func (s *restoredState) evacuated(listed map[string]bool) map[string]bool {
	if len(s.evacuatedUntil) == 0 {
		return listed
	}
	all := maps.Clone(listed)
	for zone := range s.evacuatedUntil {
		all[zone] = true
	}
	return all
}

// expire drops what no longer holds and reports whether there was any.
func (s *restoredState) expire(now clock.Time) bool {
	before := len(s.unused) + len(s.cold) + len(s.evacuatedUntil)
	maps.DeleteFunc(s.unused, func(_ string, u startUntil) bool { return now >= u.until })
	maps.DeleteFunc(s.cold, func(_ string, c startUntil) bool { return now >= c.until })
	maps.DeleteFunc(s.evacuatedUntil, func(_ string, until clock.Time) bool { return now >= until })
	return len(s.unused)+len(s.cold)+len(s.evacuatedUntil) < before
}

// RestoreBounds are the times for which a registry keeps to what it knew before the store came back from an older copy.
type RestoreBounds struct {
	// Lapse is the time after which the store has removed the entries of replicas that no longer run.
	Lapse time.Duration
	// Evacuations is the time within which the operator has written its evacuations again.
	Evacuations time.Duration
}

// Restored records that the store has come back from an older copy.
//
// Entries that the copy lacks may be written again, so removals wait for ReturnGrace. A replica that drained keeps draining until another
// start of it is listed; this is told to other nodes as a statement of the replica, so that nodes that start learn of it too. An entry that
// was removed and is in the copy isn't used until the store would have removed it again, since replicas that run needn't change their entries.
// An evacuation that the copy lacks holds until it is written again or the time for that is over.
func (r *Registry) Restored(bounds RestoreBounds) {
	for _, t := range r.noteRestored(bounds) {
		r.statements.Record(t, statement.Statement{Leaving: true})
	}
}

// noteRestored returns the starts of replicas that are known to drain, if there is a table of statements.
func (r *Registry) noteRestored(bounds RestoreBounds) (leaving []statement.Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	r.restored.at = now
	r.forgetSequences()
	noteLeaving := func(replica *Replica) {
		if replica.Draining && r.statements != nil {
			leaving = append(leaving, replica.Incarnation().Target())
		}
	}
	for id, entry := range r.replicas {
		noteLeaving(entry)
		if until := r.coldUntil[id]; until > max(now, r.restored.coldUntil(entry)) {
			r.restored.cold[id] = startUntil{entry.StartedUnixMs, until}
		}
		if r.restored.unusedNow(entry, now) {
			r.restored.unused[id] = startUntil{entry.StartedUnixMs, now.Add(bounds.Lapse)}
		}
	}
	for id, l := range r.lapsed {
		noteLeaving(l.replica)
		r.restored.unused[id] = startUntil{l.replica.StartedUnixMs, now.Add(bounds.Lapse)}
	}
	for zone := range r.restored.evacuated(r.evacuated) {
		r.restored.evacuatedUntil[zone] = now.Add(bounds.Evacuations)
	}
	for id, due := range r.removalDue {
		r.removalDue[id] = max(due, r.restored.rewrittenBy())
	}
	r.publish()
	return leaving
}

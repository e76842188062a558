package fleet

import (
	"slices"
	"time"

	"cassiadeal.example/cassiadeal/internal/clock"
)

// Departure tells that a replica leaves by its entry: the entry says that it drains, or was removed.
type Departure struct {
	ID            string
	StartedUnixMs int64
	// Sequence is that of the check-in that says so. Of a removal, it is one above that of the entry, so that only later check-ins count.
	Sequence int64
}

// datedDeparture is a departure that an entry has shown at a time.
type datedDeparture struct {
	Departure
	at clock.Time
}

// maxRecentDepartures bounds the departures that are remembered, about 60 bytes each. The oldest ones are dropped first.
const maxRecentDepartures = 64

// noteDeparture remembers that the entry of a replica has shown that it leaves, by the check-in with the sequence. The lock is held.
func (r *Registry) noteDeparture(entry *Replica, sequence int64) {
	if entry.StartedUnixMs == 0 || entry.Sequence == 0 {
		return // Other nodes couldn't tell whether they know of a later check-in.
	}
	r.recentDepartures = append(r.recentDepartures, datedDeparture{Departure{entry.ID, entry.StartedUnixMs, sequence}, r.clock.Now()})
	r.recentDepartures = slices.Delete(r.recentDepartures, 0, max(0, len(r.recentDepartures)-maxRecentDepartures))
}

// RecentDepartures returns the departures that entries have shown within the given time.
func (r *Registry) RecentDepartures(within time.Duration) []Departure {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	var list []Departure
	for _, d := range r.recentDepartures {
		if now.Sub(d.at) <= within {
			list = append(list, d.Departure)
		}
	}
	return list
}

// MarkDeparting counts replicas as draining that leave by entries which another node has read, until an entry of a later check-in arrives
// here. A node may learn of the entry itself only seconds later, while it changes its mirror.
func (r *Registry) MarkDeparting(list []Departure) {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := false
	for _, d := range list {
		known := r.replicas[d.ID]
		if known == nil || known.Draining || known.StartedUnixMs != d.StartedUnixMs || known.Sequence >= d.Sequence {
			continue
		}
		marked := *known
		marked.Draining, marked.Sequence = true, d.Sequence
		r.replicas[d.ID] = &marked
		r.departures.Draining = append(r.departures.Draining, d.ID)
		changed = true
	}
	if changed {
		r.publish()
	}
}

package fleet

import (
	"slices"

	"cassiadeal.example/cassiadeal/internal/clock"
)

// observationValidity is the time for which an observation replaces an entry that the store still lists as it was before. A replica that
// lives writes its entry anew within about two seconds of the end of an outage.
const observationValidity = 4 * ReturnGrace

// Observation is what a replica said when it was asked directly, while the store could not be read.
type Observation struct {
	Life   Life
	Group  *Membership
	Models []string
	Staged []string
}

// observed replaces parts of an entry until the entry changes.
type activeObservation struct {
	Observation
	replacedEntry *Replica // The entry that was known when the replica was asked.
	observedAt    clock.Time
}

// Observe takes what replicas said when they were asked directly. It is ignored where the replica isn't known or has started
// again, and where the entry shows a higher epoch. While the store answers, only a higher epoch than the entry's is news.
func (r *Registry) Observe(list []Observation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := false
	for _, o := range list {
		base := r.replicas[o.Life.ID]
		if base == nil || base.Born != o.Life.Born || !r.isNewer(o, r.withObservation(base).Group) {
			continue
		}
		old := r.observations[o.Life.ID]
		changed = changed || old == nil || !old.equalState(o)
		r.observations[o.Life.ID] = &activeObservation{o, base, r.clock.Now()}
	}
	if changed {
		r.publish()
	}
}

// news tells whether an observation says more than the group that is known. An observation may have been overtaken on its way.
func (r *Registry) isNewer(o Observation, known *Membership) bool {
	if !r.storeFailing {
		return epochOf(o.Group) > epochOf(known)
	}
	return o.Group == nil || epochOf(o.Group) >= epochOf(known)
}

// Observations returns what is known only from the replicas themselves, in no order.
func (r *Registry) Observations() []Observation {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]Observation, 0, len(r.observations))
	for _, o := range r.observations {
		list = append(list, o.Observation)
	}
	return list
}

func (o Observation) equalState(other Observation) bool {
	return equalMemberships(o.Group, other.Group) && slices.Equal(o.Models, other.Models) && slices.Equal(o.Staged, other.Staged)
}

func equalMemberships(a, b *Membership) bool {
	return a == b || a != nil && b != nil && *a == *b
}

func epochOf(m *Membership) int64 {
	if m == nil {
		return 0
	}
	return m.Epoch
}

// current returns the entry with what was observed in its place. The lock is held.
func (r *Registry) withObservation(p *Replica) *Replica {
	o := r.observations[p.ID]
	if o == nil {
		return p
	}
	merged := *p
	merged.Group, merged.Models, merged.Staged = o.Group, o.Models, o.Staged
	return &merged
}

// settle drops the observation of a replica whose entry has changed since: the entry is newer. The lock is held.
func (r *Registry) dropSuperseded(p *Replica) {
	o := r.observations[p.ID]
	if o != nil && (p.Born != o.replacedEntry.Born || !equalMemberships(p.Group, o.replacedEntry.Group) || !slices.Equal(p.Staged, o.replacedEntry.Staged)) {
		delete(r.observations, p.ID)
	}
}

// expireObservations drops old observations and tells whether it did. The lock is held.
func (r *Registry) expireObservations(now clock.Time) bool {
	dropped := false
	for id, o := range r.observations {
		if !r.storeFailing && now.Sub(max(o.observedAt, r.lastOutageAt)) > observationValidity {
			delete(r.observations, id)
			dropped = true
		}
	}
	return dropped
}

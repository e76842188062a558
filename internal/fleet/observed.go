package fleet

import (
	"slices"

	"cassiadeal.example/cassiadeal/internal/clock"
)

// observationValidity is the time after a store outage for which an observation replaces an unchanged entry. A running replica
// rewrites its entry within about two seconds of the end of an outage.
const observationValidity = 4 * ReturnGrace

// Observation is the state that a replica reported to a direct query, while its entry in the store could be outdated.
type Observation struct {
	Incarnation Incarnation
	Group       *Membership
	Models      []string
	Staged      []string
}

// activeObservation is an observation that replaces parts of an entry until the entry changes.
type activeObservation struct {
	Observation
	replacedEntry *Replica // The entry that was known when the observation arrived.
	observedAt    clock.Time
}

// Observe replaces the group, models and staged weights of entries by those that the replicas reported directly. It ignores
// observations of replicas that aren't known or have restarted, and of a lower epoch than the known one. While the store
// answers, an observation must have a higher epoch.
func (r *Registry) Observe(list []Observation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := false
	for _, o := range list {
		base := r.replicas[o.Incarnation.ID]
		if base == nil || base.StartedUnixMs != o.Incarnation.StartedUnixMs || !r.isNewer(o, r.withObservation(base).Group) {
			continue
		}
		old := r.observations[o.Incarnation.ID]
		changed = changed || old == nil || !old.equalState(o)
		r.observations[o.Incarnation.ID] = &activeObservation{o, base, r.clock.Now()}
	}
	if changed {
		r.publish()
	}
}

// isNewer tells whether an observation replaces the known group. Observations may arrive out of order.
func (r *Registry) isNewer(o Observation, known *Membership) bool {
	if !r.storeFailing {
		return epochOf(o.Group) > epochOf(known)
	}
	return o.Group == nil || epochOf(o.Group) >= epochOf(known)
}

// Observations returns the observations that now replace entries, in no order.
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

// withObservation returns the entry, changed by its observation if there is one. The lock is held.
func (r *Registry) withObservation(entry *Replica) *Replica {
	o := r.observations[entry.ID]
	if o == nil {
		return entry
	}
	merged := *entry
	merged.Group, merged.Models, merged.Staged = o.Group, o.Models, o.Staged
	return &merged
}

// dropSuperseded removes the observation of a replica if its new entry differs from the replaced one, since the new entry is then
// newer than the observation, unless it states an earlier epoch. The lock is held.
func (r *Registry) dropSuperseded(entry *Replica) {
	o := r.observations[entry.ID]
	if o != nil && entry.StartedUnixMs == o.Incarnation.StartedUnixMs && entry.Group != nil && epochOf(entry.Group) < epochOf(o.Group) {
		return
	}
	if o != nil && (entry.StartedUnixMs != o.replacedEntry.StartedUnixMs ||
		!equalMemberships(entry.Group, o.replacedEntry.Group) || !slices.Equal(entry.Staged, o.replacedEntry.Staged)) {
		delete(r.observations, entry.ID)
	}
}

// expireObservations removes old observations and tells whether there were any. The lock is held.
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

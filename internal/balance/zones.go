package balance

import "time"

// zoneReport returns the name under which the sums of a failure domain are kept among the reports of the nodes. No node has it,
// since names of nodes don't contain a slash.
func zoneReport(zone string) string { return "zone/" + zone }

// ZoneState is the work of all nodes of a failure domain.
type ZoneState struct {
	Loads     map[Key]Load
	EventAges map[Key]time.Duration // Time since one of the nodes last received an event, for targets with a load that have sent one.
}

// SumOf returns the work of this node and the given other ones, as far as their reports aren't too old.
func (t *Table) SumOf(nodes []string) ZoneState {
	own := t.LocalState()
	sum := ZoneState{own.Loads, own.EventAges}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	for _, node := range nodes {
		r, known := t.peers.byNode[node]
		age := now.Sub(r.receivedAt)
		if !known || age >= peerStateMaxAge {
			continue
		}
		for k, load := range r.Loads {
			sum.Loads[k] = sum.Loads[k].Add(load)
			eventAge, heard := r.EventAges[k]
			if newest, ok := sum.EventAges[k]; heard && (!ok || eventAge+age < newest) {
				sum.EventAges[k] = eventAge + age
			}
		}
	}
	return sum
}

// SetZoneState stores the work of the nodes of another failure domain. As long as it isn't too old, loads that these nodes report
// themselves must be left out of their reports, as they would count twice.
func (t *Table) SetZoneState(zone string, state ZoneState) {
	t.SetPeerState(zoneReport(zone), PeerState{Loads: state.Loads, EventAges: state.EventAges})
}

// KnowsZone reports whether the work of the nodes of another failure domain is known as a whole.
func (t *Table) KnowsZone(zone string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, known := t.peers.byNode[zoneReport(zone)]
	return known && t.clock.Now().Sub(r.receivedAt) < peerStateMaxAge
}

package entry

import (
	"time"

	"cassiadeal.example/cassiadeal/internal/fleet"
	"cassiadeal.example/cassiadeal/internal/gossip"
	"cassiadeal.example/cassiadeal/internal/schema"
)

// departureDatagrams is the number of datagrams to each node that tell of a departure, since one may be lost.
const departureDatagrams = 3

// departing returns the departures for the other nodes that this node has lately read from the store itself. Nodes that read them from a mirror
// needn't tell of them again.
func (n *Node) departing() []*schema.DepartingReplica {
	if n.mirrorSource() != "" {
		return nil
	}
	within := departureDatagrams * max(n.mesh.OtherZoneInterval(), gossip.Interval)
	var list []*schema.DepartingReplica
	for _, d := range n.registry.RecentDepartures(within + time.Second) {
		list = append(list, &schema.DepartingReplica{Id: d.ID, Born: d.StartedUnixMs, Sequence: d.Sequence})
	}
	return list
}

// applyDeparting marks replicas of which another node has read that they leave. The planner reads the store itself, and decides by what it
// has read.
func (n *Node) applyDeparting(list []*schema.DepartingReplica) {
	if len(list) == 0 || n.planner.Active() {
		return
	}
	departures := make([]fleet.Departure, 0, len(list))
	for _, d := range list {
		departures = append(departures, fleet.Departure{ID: d.Id, StartedUnixMs: d.Born, Sequence: d.Sequence})
	}
	n.registry.MarkDeparting(departures)
}

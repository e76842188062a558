package entry

import (
	"cassiadeal.example/cassiadeal/internal/fleet"
	"cassiadeal.example/cassiadeal/internal/schema"
)

func encodeObservations(list []fleet.Observation) []*schema.ObservedReplica {
	var out []*schema.ObservedReplica
	for _, o := range list {
		m := &schema.ObservedReplica{Id: o.Incarnation.ID, Born: o.Incarnation.StartedUnixMs, Models: o.Models, Staged: o.Staged}
		if g := o.Group; g != nil {
			m.Group, m.Epoch, m.Rank, m.State = g.Name, g.Epoch, int32(g.Rank), string(g.State)
		}
		out = append(out, m)
	}
	return out
}

func decodeObservations(list []*schema.ObservedReplica) []fleet.Observation {
	var out []fleet.Observation
	for _, m := range list {
		o := fleet.Observation{Incarnation: fleet.Incarnation{ID: m.Id, StartedUnixMs: m.Born}, Models: m.Models, Staged: m.Staged}
		if m.Group != "" {
			o.Group = &fleet.Membership{Name: m.Group, Epoch: m.Epoch, Rank: int(m.Rank), State: fleet.GroupState(m.State)}
		}
		out = append(out, o)
	}
	return out
}

package entry

import (
	"math"

	"cassiadeal.example/cassiadeal/internal/demand"
	"cassiadeal.example/cassiadeal/internal/planner"
	"cassiadeal.example/cassiadeal/internal/schema"
)

// encodeDemand returns the work that clients offer to this node. The list is never empty: an entry without a model tells a node without
// requests from one of a version that reports no demand.
func encodeDemand(work map[demand.Class]demand.Work) []*schema.ModelDemand {
	list := make([]*schema.ModelDemand, 0, len(work)+1)
	for class, w := range work {
		list = append(list, &schema.ModelDemand{Model: class.Model, Priority: uint32(max(class.Priority, 0)), RequestsMilli: rate(1000 * w.Requests),
			ReadTokens: rate(w.ReadTokens), WriteTokens: rate(w.WriteTokens)})
	}
	if len(list) == 0 {
		list = append(list, &schema.ModelDemand{})
	}
	return list
}

// rate returns a rate as it is sent.
func rate(v float64) uint32 { return uint32(min(max(math.Round(v), 0), math.MaxUint32)) }

// applyDemand records what another node has reported. A node of a version that reports nothing isn't recorded.
func (n *Node) applyDemand(msg *schema.NodeGossip) {
	if len(msg.Demand) == 0 {
		return
	}
	work := map[demand.Class]demand.Work{}
	for _, d := range msg.Demand {
		if d.Model == "" {
			continue
		}
		class := demand.Class{Model: d.Model, Priority: int(d.Priority)}
		work[class] = work[class].Add(demand.Work{Requests: float64(d.RequestsMilli) / 1000, ReadTokens: float64(d.ReadTokens), WriteTokens: float64(d.WriteTokens)})
	}
	n.demand.SetPeer(msg.Node, work)
}

// FollowDemand lets model replicas follow the demand for two models. It must be called before Run.
func (n *Node) FollowDemand() error {
	return n.planner.FollowDemand(planner.FollowOptions{Demand: n.demand, NodesAlive: func() int { return len(n.mesh.Alive()) }, Meter: n.metrics.Meter()})
}

package node

import (
	"cassiadeal.example/cassiadeal/internal/operator"
	"cassiadeal.example/cassiadeal/internal/router"
	"cassiadeal.example/cassiadeal/internal/rules"
	"cassiadeal.example/cassiadeal/internal/schema"
)

// destinations sums up pools and services from what the holders report.
func destinations(current *rules.Rules, targets []operator.TargetStatus, nodes []router.Node) []operator.DestinationStatus {
	var list []operator.DestinationStatus
	for name, p := range current.Pools {
		list = append(list, operator.DestinationStatus{Kind: "pool", Name: name, Wanted: p.Replicas})
	}
	for name, s := range current.Services {
		list = append(list, operator.DestinationStatus{Kind: "service", Name: name, Wanted: len(s.Targets)})
	}
	sortBy(list, func(d operator.DestinationStatus) string { return d.Kind + "/" + d.Name })
	for i := range list {
		d := &list[i]
		for _, t := range targets {
			if t.Kind == d.Kind && t.Destination == d.Name && t.State != "draining" && t.State != "lost" {
				d.Serving++
			}
		}
		addLoad(d, nodes)
	}
	return list
}

func addLoad(d *operator.DestinationStatus, nodes []router.Node) {
	for _, n := range nodes {
		for _, p := range n.Pools {
			if p.Name == d.Kind+"/"+d.Name {
				addSummary(d, p)
			}
		}
	}
}

func addSummary(d *operator.DestinationStatus, p *schema.PoolSummary) {
	d.InFlight += int(p.TotalSlots) - int(p.FreeSlots)
	d.Limit += int(p.TotalSlots)
	d.Queued += int(p.Queued)
}

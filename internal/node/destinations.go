package node

import (
	"cassiadeal.example/cassiadeal/internal/operator"
	"cassiadeal.example/cassiadeal/internal/router"
	"cassiadeal.example/cassiadeal/internal/rules"
	"cassiadeal.example/cassiadeal/internal/schema"
)

// destinationStatuses summarizes pools and services from the target statuses and the summaries that the holders report.
func destinationStatuses(currentRules *rules.Rules, targets []operator.TargetStatus, nodes []router.Node) []operator.DestinationStatus {
	var list []operator.DestinationStatus
	for name, p := range currentRules.Pools {
		list = append(list, operator.DestinationStatus{Kind: "pool", Name: name, Wanted: p.Replicas})
	}
	for name, s := range currentRules.Services {
		list = append(list, operator.DestinationStatus{Kind: "service", Name: name, Wanted: len(s.Targets)})
	}
	sortBy(list, func(status operator.DestinationStatus) string { return status.Kind + "/" + status.Name })
	for i := range list {
		status := &list[i]
		for _, t := range targets {
			if t.Kind == status.Kind && t.Destination == status.Name && t.State != "draining" && t.State != "lost" {
				status.Serving++
			}
		}
		addLoad(status, nodes)
	}
	return list
}

func addLoad(status *operator.DestinationStatus, nodes []router.Node) {
	for _, n := range nodes {
		for _, summary := range n.Pools {
			if summary.Name == status.Kind+"/"+status.Name {
				addSummary(status, summary)
			}
		}
	}
}

func addSummary(status *operator.DestinationStatus, summary *schema.PoolSummary) {
	status.InFlight += int(summary.TotalSlots) - int(summary.FreeSlots)
	status.Limit += int(summary.TotalSlots)
	status.Queued += int(summary.Queued)
}

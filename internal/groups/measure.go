package groups

import (
	"time"

	"cassiadeal.example/cassiadeal/internal/schema"
)

// Stranded counts the healthy VMs that are in no ready group.
func Stranded(plan *schema.FabricDomain, healthy []string) int {
	n := 0
	for _, vm := range healthy {
		if a, ok := plan.GetAssignments()[vm]; !ok || plan.Groups[a.Group].GetState() != schema.GroupState_GROUP_STATE_READY {
			n++
		}
	}
	return n
}

// Sample is the state of one or more fabric domains from At until the next sample.
type Sample struct {
	At       time.Duration
	Wanted   int // Groups that the rules require.
	Serving  int // Ready groups whose members are all present.
	Stranded int // Healthy VMs in no ready group.
}

// Usage sums up a timeline.
type Usage struct {
	// GroupDowntime is the time for which wanted groups did not serve, summed over groups.
	GroupDowntime time.Duration
	// Stranded is the time that healthy VMs spent in no ready group, summed over VMs.
	Stranded time.Duration
}

// Measure sums up a timeline that ends at end. Samples must be in order of time.
func Measure(timeline []Sample, end time.Duration) Usage {
	var u Usage
	for i, s := range timeline {
		until := end
		if i+1 < len(timeline) {
			until = timeline[i+1].At
		}
		d := max(until-s.At, 0)
		u.GroupDowntime += time.Duration(max(s.Wanted-s.Serving, 0)) * d
		u.Stranded += time.Duration(s.Stranded) * d
	}
	return u
}

package fleet

import (
	"math"
	"slices"
)

const (
	// DefaultUrgency is what a replica assumes for a request that states no urgency. Nodes of earlier versions state none, so urgencies
	// are spread around it.
	DefaultUrgency = 5
	// maxUrgency is the least urgent value; 0 is the most urgent one.
	maxUrgency = 9
	// urgencyStep is the distance between the urgencies of neighbouring priorities, and urgencySpread the largest distance from
	// DefaultUrgency of a priority of a route, which leaves room for accounts with priorities beyond those of the routes.
	urgencyStep   = 2
	urgencySpread = 4
)

// indexPriorities collects the priorities of the routes of each service.
func (c *Config) indexPriorities() {
	c.priorities = map[string][]int{}
	for _, r := range c.Routes {
		for _, b := range r.Backends {
			if list := c.priorities[b.Service]; !slices.Contains(list, r.Priority) {
				c.priorities[b.Service] = append(list, r.Priority)
			}
		}
	}
	for _, list := range c.priorities {
		slices.Sort(list)
	}
}

// Priorities returns the different priorities of the routes to the service, the most urgent one first. It must not be modified.
func (c *Config) Priorities(service string) []int { return c.priorities[service] }

// EffectivePriority returns the priority of a request: that of the client account takes precedence over the route's.
func EffectivePriority(route *Route, account Tenant) int {
	if account.HasPriority {
		return account.Priority
	}
	return route.Priority
}

// Urgency returns the urgency that replicas are told for a request of the priority, given the sorted priorities of the routes of its
// service. It reports false if these don't differ: then replicas are told none.
func Urgency(priorities []int, priority int) (urgency int, differs bool) {
	if len(priorities) < 2 {
		return 0, false
	}
	index, found := slices.BinarySearch(priorities, priority)
	rank := float64(index)
	if !found {
		rank -= 0.5 // An account's priority lies between those of the routes, or beyond them.
	}
	last := float64(len(priorities) - 1)
	step := min(urgencyStep, 2*urgencySpread/last)
	value := math.Round(DefaultUrgency + (rank-last/2)*step)
	return int(min(max(value, 0), maxUrgency)), true
}

package groups

import (
	"cmp"
	"slices"
	"time"

	"cassiadeal.example/cassiadeal/internal/holder"
	"cassiadeal.example/cassiadeal/internal/rules"
)

// Capacity is the number of VMs of one fabric domain, and whether it takes new groups.
type Capacity struct {
	FabricDomain  string
	FailureDomain string
	VMs           int  // Live VMs in the platform's list.
	Out           bool // The failure domain takes no new work.
}

// Spread returns the number of replicas by fabric domain and pool. Replicas are spread evenly over failure domains, then
// over fabric domains. The result depends only on the arguments, so all nodes compute the same. The number of VMs of a
// fabric domain limits how many groups fit but doesn't affect the preference, so that the loss of one VM moves few
// replicas.
func Spread(pools []rules.Pool, fabrics []Capacity) map[string]map[string]int {
	s := spreader{
		freeVMs: map[string]int{}, replicasByFailureDomain: map[string]map[string]int{}, usedByFailureDomain: map[string]int{},
		usedByFabricDomain: map[string]int{}, shares: map[string]map[string]int{},
	}
	for _, f := range fabrics {
		s.shares[f.FabricDomain] = map[string]int{}
		if !f.Out {
			s.freeVMs[f.FabricDomain] = f.VMs
			s.fabrics = append(s.fabrics, f)
		}
	}
	pools = slices.Clone(pools)
	// Large groups are placed first, because a group must fit into one fabric domain.
	slices.SortFunc(pools, func(a, b rules.Pool) int {
		return cmp.Or(cmp.Compare(b.VMs, a.VMs), cmp.Compare(a.Name, b.Name))
	})
	// Each round places one replica of every pool, so that a shortage of VMs is divided among the pools.
	for round, placed := 0, true; placed; round++ {
		placed = false
		for _, p := range pools {
			if round < p.Replicas && p.VMs > 0 && s.place(p) {
				placed = true
			}
		}
	}
	return s.shares
}

// spreader is the state of one call of Spread.
type spreader struct {
	fabrics                 []Capacity
	freeVMs                 map[string]int            // VMs left, by fabric domain.
	replicasByFailureDomain map[string]map[string]int // Replicas by failure domain and pool.
	usedByFailureDomain     map[string]int            // VMs used, by failure domain.
	usedByFabricDomain      map[string]int            // VMs used, by fabric domain.
	shares                  map[string]map[string]int // Replicas by fabric domain and pool.
}

// place assigns one replica of a pool to the most suitable fabric domain, if it fits into any.
func (s *spreader) place(p rules.Pool) bool {
	best := -1
	for i, f := range s.fabrics {
		if s.freeVMs[f.FabricDomain] >= p.VMs && (best < 0 || s.compare(p, f, s.fabrics[best]) < 0) {
			best = i
		}
	}
	if best < 0 {
		return false
	}
	f := s.fabrics[best]
	s.freeVMs[f.FabricDomain] -= p.VMs
	s.usedByFailureDomain[f.FailureDomain] += p.VMs
	s.usedByFabricDomain[f.FabricDomain] += p.VMs
	s.shares[f.FabricDomain][p.Name]++
	if s.replicasByFailureDomain[f.FailureDomain] == nil {
		s.replicasByFailureDomain[f.FailureDomain] = map[string]int{}
	}
	s.replicasByFailureDomain[f.FailureDomain][p.Name]++
	return true
}

// compare orders two fabric domains by their suitability for a replica of a pool, the more suitable one first.
func (s *spreader) compare(p rules.Pool, a, b Capacity) int {
	return cmp.Or(
		cmp.Compare(s.replicasByFailureDomain[a.FailureDomain][p.Name], s.replicasByFailureDomain[b.FailureDomain][p.Name]),
		cmp.Compare(s.usedByFailureDomain[a.FailureDomain], s.usedByFailureDomain[b.FailureDomain]),
		cmp.Compare(s.shares[a.FabricDomain][p.Name], s.shares[b.FabricDomain][p.Name]),
		cmp.Compare(s.usedByFabricDomain[a.FabricDomain], s.usedByFabricDomain[b.FabricDomain]),
		cmp.Compare(holder.Score(p.Name, a.FabricDomain), holder.Score(p.Name, b.FabricDomain)),
		cmp.Compare(a.FabricDomain, b.FabricDomain),
	)
}

// remainderPeriod is how long a fabric domain keeps the remainder of the weight budget.
const remainderPeriod = time.Minute

// BudgetShare divides the weight budget among the fabric domains that have groups to load. The remainder of the
// division rotates among them, so that a budget smaller than their number reaches all of them.
func BudgetShare(total rules.WeightBudget, fabric string, loading []string, now time.Time) rules.WeightBudget {
	loading = slices.Sorted(slices.Values(loading))
	index := slices.Index(loading, fabric)
	if index < 0 {
		return rules.WeightBudget{}
	}
	n := len(loading)
	position := (index + int(now.UnixNano()/int64(remainderPeriod)%int64(n))) % n
	share := func(v int) int {
		if position < v%n {
			return v/n + 1
		}
		return v / n
	}
	return rules.WeightBudget{AtOnce: share(total.AtOnce), PerMinute: share(total.PerMinute)}
}

package rules

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"cassiadeal.example/cassiadeal/internal/schema"
)

// CheckCapacity reports every pool whose replicas don't all fit on the live VMs. All VMs of a replica must be in one
// fabric domain, and a VM belongs to at most one replica. The largest replicas are placed first, each in the fabric domain
// with the fewest free VMs that suffice. This best-fit heuristic is not exhaustive, so it may refuse a mix of sizes that
// fits only without spare VMs. VMs of failure domains that are out count as available, because taking a domain out must
// not make the rules invalid.
func CheckCapacity(r *Rules, vms []*schema.VM) []Problem {
	var problems []Problem
	placed := FittingReplicas(r, vms)
	for _, name := range slices.Sorted(maps.Keys(r.Pools)) {
		pool := r.Pools[name]
		if missing := pool.Replicas - placed[name]; missing > 0 {
			reason := fmt.Sprintf("pool %q: %d of %d replicas with %d VMs each find no fabric domain with enough live VMs that the other pools leave free",
				name, missing, pool.Replicas, pool.VMs)
			problems = append(problems, Problem{File: r.File, Line: r.Origins[SectionPools+"/"+name].Line, Reason: reason})
		}
	}
	return sortProblems(r.File, problems)
}

// FittingReplicas returns how many replicas of each pool fit on the live VMs.
func FittingReplicas(r *Rules, vms []*schema.VM) map[string]int {
	freeVMs := map[string]int{}
	for _, vm := range vms {
		if vm.GetState() == schema.VMState_VM_STATE_LIVE {
			freeVMs[vm.GetFabricDomain()]++
		}
	}
	pools := slices.SortedFunc(maps.Values(r.Pools), func(a, b Pool) int {
		return cmp.Or(cmp.Compare(b.VMs, a.VMs), cmp.Compare(a.Name, b.Name))
	})
	placed := map[string]int{}
	for _, pool := range pools {
		for placed[pool.Name] < pool.Replicas {
			domain, ok := bestFit(freeVMs, pool.VMs)
			if !ok {
				break
			}
			freeVMs[domain] -= pool.VMs
			placed[pool.Name]++
		}
	}
	return placed
}

// bestFit returns the fabric domain with the fewest free VMs among those that have at least size of them.
func bestFit(freeVMs map[string]int, size int) (string, bool) {
	best, found := "", false
	for domain, count := range freeVMs {
		if count < size {
			continue
		}
		if !found || count < freeVMs[best] || (count == freeVMs[best] && domain < best) {
			best, found = domain, true
		}
	}
	return best, found
}

// DemandGrows reports whether any pool has more replicas or more VMs per replica in the changed rules than in the old
// ones. Only such changes need a capacity check, so that other changes, such as taking a failure domain out, remain
// possible while VMs are missing.
func DemandGrows(old, changed *Rules) bool {
	for name, pool := range changed.Pools {
		oldPool := old.Pools[name]
		if pool.VMs > oldPool.VMs || pool.Replicas > oldPool.Replicas {
			return true
		}
	}
	return false
}

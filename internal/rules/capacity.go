package rules

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"cassiadeal.example/cassiadeal/internal/schema"
)

// CheckCapacity reports every pool whose replicas find no place among the live VMs, given that a replica lies in one
// fabric domain and a VM serves one replica. It places the largest replicas first, each in the fabric domain with the
// least sufficient space. That is not an exhaustive search: a mix of sizes that fits only exactly may be refused.
// VMs of failure domains that are out count, because taking a domain out must not make the rules invalid.
func CheckCapacity(r *Rules, vms []*schema.VM) []Problem {
	var problems []Problem
	placed := Place(r, vms)
	for _, name := range slices.Sorted(maps.Keys(r.Pools)) {
		pool := r.Pools[name]
		if missing := pool.Replicas - placed[name]; missing > 0 {
			reason := fmt.Sprintf("pool %q: %d of %d replicas with %d VMs each find no fabric domain with enough live VMs beside the other pools",
				name, missing, pool.Replicas, pool.VMs)
			problems = append(problems, Problem{File: r.File, Line: r.Origins[SectionPools+"/"+name].Line, Reason: reason})
		}
	}
	return sortProblems(r.File, problems)
}

// Place returns how many replicas of each pool find a place among the live VMs.
func Place(r *Rules, vms []*schema.VM) map[string]int {
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

// tightest returns the fabric domain with the fewest free VMs that still holds size of them.
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

// DemandGrows tells whether the new rules need more VMs than the old ones for any pool. Other changes stay possible
// while VMs are missing, above all taking a failure domain out.
func DemandGrows(old, changed *Rules) bool {
	for name, pool := range changed.Pools {
		before := old.Pools[name]
		if pool.VMs > before.VMs || pool.Replicas > before.Replicas {
			return true
		}
	}
	return false
}

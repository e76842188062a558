package placement

import (
	"time"

	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/internal/fleet"
)

const (
	// reservePart is the part of a domain's replicas, one in so many, that whole groups leave free as spares; at least one is.
	reservePart = 10
	// registrationTime is the time for which the number of a domain's replicas must not have changed before the first request until
	// whole groups are assigned to it. Replicas register one after the other, and a domain that is still small would get the
	// smallest model only.
	registrationTime = 1500 * time.Millisecond
)

// domainSize is the number of usable replicas of a domain, and since when it hasn't changed.
type domainSize struct {
	replicas int
	since    clock.Time
	// largest is the most replicas that the domain had, whether or not they were usable.
	largest int
}

// quota returns how many replicas of a domain each model should have. It is computed once for all domains in each step.
func (s *step) quota(fabric string) map[string]int {
	if s.quotas == nil {
		s.quotas = s.allQuotas()
	}
	return s.quotas[fabric]
}

// allQuotas divides the replicas of each domain among the models in proportion to need. Where a model's part of a whole domain is too
// small for a group, such parts would be of no use; these domains get whole groups instead, so that over all of them the models
// have replicas in proportion to need. Lost replicas don't change that: most return soon, and weights that were staged for another
// model meanwhile would have to be staged again.
func (s *step) allQuotas() map[string]map[string]int {
	quotas, sizes := map[string]map[string]int{}, s.domainSizes()
	var undivided []string // Domains that get whole groups.
	covered := map[string]int{}
	for _, fabric := range s.fabricDomains() {
		quotas[fabric] = s.withMoved(fabric, s.quotaByShare(sizes[fabric]))
		switch {
		case s.fitsGroups(s.quotaByShare(s.domains[fabric].largest)):
		case s.stillRegistering(fabric):
			quotas[fabric] = nil
		default:
			undivided = append(undivided, fabric)
			for model, groups := range s.groupCounts(fabric) {
				covered[model] += groups * s.Engine.Model(model).Size
			}
		}
	}
	for _, fabric := range undivided {
		quotas[fabric] = s.wholeGroups(fabric, s.domains[fabric].largest, covered)
	}
	return quotas
}

// domainSizes returns the number of usable replicas of each domain that don't drain, and records when it changed.
func (s *step) domainSizes() map[string]int {
	sizes, all := map[string]int{}, map[string]int{}
	for _, r := range s.Replicas {
		all[r.Fabric]++
		if !r.Draining && s.usableReplica(r.Incarnation()) != nil {
			sizes[r.Fabric]++
		}
	}
	for id, r := range s.Lapsed {
		if s.Replicas[id] == nil {
			all[r.Fabric]++
		}
	}
	for fabric, n := range all {
		d := s.domains[fabric]
		if d.replicas != sizes[fabric] || d.largest == 0 {
			d.replicas, d.since = sizes[fabric], s.Now
		}
		d.largest = max(d.largest, n)
		s.domains[fabric] = d
	}
	return sizes
}

func (s *step) stillRegistering(fabric string) bool {
	return s.BeforeFirstRequest && s.Now.Sub(s.domains[fabric].since) < registrationTime
}

// quotaByShare divides a number of replicas among the models in proportion to need, by largest remainder.
func (s *step) quotaByShare(total int) map[string]int {
	quota := map[string]int{}
	for range total {
		var best *fleet.Model
		var largest float64
		for i := range s.Engine.Models {
			m := &s.Engine.Models[i]
			if shortage := s.Need[m.Name]*float64(total) - float64(quota[m.Name]); best == nil || shortage > largest {
				best, largest = m, shortage
			}
		}
		if best != nil {
			quota[best.Name]++
		}
	}
	return quota
}

// fitsGroups reports whether each model that needs replicas gets enough for a group.
func (s *step) fitsGroups(quota map[string]int) bool {
	for i := range s.Engine.Models {
		if m := &s.Engine.Models[i]; s.Need[m.Name] > 0 && quota[m.Name] < m.Size {
			return false
		}
	}
	return true
}

// groupCounts returns the number of planned groups of a domain by model.
func (s *step) groupCounts(fabric string) map[string]int {
	counts := map[string]int{}
	for _, g := range s.groups {
		if g.fabric == fabric && s.Engine.Model(g.model) != nil {
			counts[g.model]++
		}
	}
	return s.afterMove(fabric, counts)
}

// wholeGroups returns the quota of a domain that keeps its planned groups and adds whole ones as long as they fit, each of the model
// with the fewest replicas in relation to need. covered holds the replicas in such groups of all domains; it is updated. The rest
// are spares of the models that have groups there.
func (s *step) wholeGroups(fabric string, total int, covered map[string]int) map[string]int {
	counts, used := s.groupCounts(fabric), 0
	for model, n := range counts {
		used += n * s.Engine.Model(model).Size
	}
	room := total - used - max(1, total/reservePart)
	add := func(m *fleet.Model) {
		counts[m.Name]++
		covered[m.Name] += m.Size
		used += m.Size
		room -= m.Size
	}
	for m := s.leastCovered(room, covered); m != nil; m = s.leastCovered(room, covered) {
		add(m)
	}
	if used == 0 {
		if m := s.leastCovered(total, covered); m != nil {
			add(m) // Rather a group without a spare than none.
		}
	}
	quota, largest := map[string]int{}, ""
	for i := range s.Engine.Models {
		m := &s.Engine.Models[i]
		quota[m.Name] = counts[m.Name] * m.Size
		if largest == "" || quota[m.Name] > quota[largest] {
			largest = m.Name
		}
	}
	for spares, i := total-used, 0; spares > 0; spares, i = spares-1, i+1 {
		m := s.Engine.Models[i%len(s.Engine.Models)]
		if counts[m.Name] == 0 {
			quota[largest]++
			continue
		}
		quota[m.Name]++
	}
	return quota
}

// leastCovered returns the model of which a group fits into the room and whose replicas are the fewest in relation to need, or nil.
func (s *step) leastCovered(room int, covered map[string]int) (best *fleet.Model) {
	coverage := func(m *fleet.Model) float64 { return float64(covered[m.Name]) / s.Need[m.Name] }
	for i := range s.Engine.Models {
		if m := &s.Engine.Models[i]; s.Need[m.Name] > 0 && m.Size <= room && (best == nil || coverage(m) < coverage(best)) {
			best = m
		}
	}
	return best
}

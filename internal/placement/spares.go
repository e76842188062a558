package placement

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"cassiadeal.example/cassiadeal/internal/fleet"
)

// free returns the replicas of a fabric domain that are in no planned group, in order of ID.
func (s *step) freeReplicas(fabric string) []*fleet.Replica {
	var list []*fleet.Replica
	for _, id := range slices.Sorted(maps.Keys(s.Replicas)) {
		r := s.Replicas[id]
		if r.Fabric != fabric || s.used[id] || r.Draining || s.usableReplica(r.Life()) == nil || !s.stateKnown(r) {
			continue
		}
		if r.Group != nil && !strings.HasPrefix(r.Group.Name, standbyPrefix) && !s.isDissolved(groupKey{r.Group.Name, r.Group.Epoch}) && s.inUnknownGroup(r) {
			continue
		}
		list = append(list, r)
	}
	return list
}

// foreign tells whether the replica reports a group that isn't the plan's older epoch of itself.
func (s *step) inUnknownGroup(r *fleet.Replica) bool {
	g := s.groups[r.Group.Name]
	return g == nil || r.Group.Epoch > g.epoch
}

// spares returns the free replicas of the fabric domain that hold the model's weights and aren't slow.
func (s *step) spares(fabric, model string) []*fleet.Replica {
	return slices.DeleteFunc(s.freeReplicas(fabric), func(r *fleet.Replica) bool { return !r.HasStaged(model) || s.isSlow(r.Life()) })
}

func (s *step) fabricDomains() []string {
	names := map[string]bool{}
	for _, r := range s.Replicas {
		names[r.Fabric] = true
	}
	return slices.Sorted(maps.Keys(names))
}

// held returns the number of replicas in groups of each model.
func (s *step) groupedReplicas() map[string]float64 {
	counts := map[string]float64{}
	for _, g := range s.groups {
		counts[g.model] += float64(len(g.members))
	}
	return counts
}

// modelsByCoverage returns the models in order of the replicas that they hold for what they need.
func (s *step) modelsByCoverage(counts map[string]float64) []*fleet.Model {
	var models []*fleet.Model
	for i := range s.Engine.Models {
		if m := &s.Engine.Models[i]; s.Need[m.Name] > 0 {
			models = append(models, m)
		}
	}
	slices.SortStableFunc(models, func(a, b *fleet.Model) int {
		return cmp.Compare(counts[a.Name]/s.Need[a.Name], counts[b.Name]/s.Need[b.Name])
	})
	return models
}

// form makes new groups of free replicas that hold the weights; while the system is fresh, of all free replicas.
func (s *step) formGroups() {
	for again := true; again; {
		again = false
		counts := s.groupedReplicas()
		for _, m := range s.modelsByCoverage(counts) {
			if s.formGroup(m) {
				again = true
				break
			}
		}
	}
}

func (s *step) formGroup(m *fleet.Model) bool {
	var best []*fleet.Replica
	for _, fabric := range s.fabricDomains() {
		candidates := s.spares(fabric, m.Name)
		if s.Fresh {
			candidates = s.initialMembers(fabric, m)
		}
		// The domain with the most spares loses least by another group.
		if len(candidates) >= m.Size && len(candidates) > len(best) {
			best = candidates
		}
	}
	if best == nil {
		return false
	}
	epoch := s.nextEpoch()
	g := &group{name: fmt.Sprintf("g%d", epoch), epoch: epoch, model: m.Name, fabric: best[0].Fabric}
	for _, r := range best[:m.Size] {
		g.members = append(g.members, member{incarnation: r.Life(), lastEntry: r})
		s.used[r.ID] = true
	}
	s.groups[g.name] = g
	s.joinMembers(g)
	return true
}

// initialMembers returns the replicas of a domain that may form a group of the model at the first start: those that the domain's
// share leaves for the model, without weights, or with the right ones staged or being staged.
func (s *step) initialMembers(fabric string, m *fleet.Model) []*fleet.Replica {
	shortage := s.quota(fabric)[m.Name] - s.assignedCounts(fabric)[m.Name]
	var list []*fleet.Replica
	for _, r := range s.freeReplicas(fabric) {
		switch model := s.assignedModel(r); {
		case model == m.Name:
			list = append(list, r)
		case model == "" && shortage > 0:
			shortage--
			list = append(list, r)
		}
	}
	return list
}

// assignment returns the model that a free replica has staged or is staging, or "".
func (s *step) assignedModel(r *fleet.Replica) string {
	if st, ok := s.staging[r.Life()]; ok {
		return st.model
	}
	for _, name := range r.Staged {
		if s.Engine.Model(name) != nil {
			return name
		}
	}
	return ""
}

// assigned returns the number of replicas of a domain that each model has: in groups, staged or being staged.
func (s *step) assignedCounts(fabric string) map[string]int {
	n := map[string]int{}
	for _, g := range s.groups {
		for _, m := range g.members {
			if r := s.Replicas[m.incarnation.ID]; r != nil && r.Fabric == fabric {
				n[g.model]++
			}
		}
	}
	for _, r := range s.freeReplicas(fabric) {
		if model := s.assignedModel(r); model != "" {
			n[model]++
		}
	}
	return n
}

// quota divides the replicas of a domain among the models by need, the largest remainders rounded up.
func (s *step) quota(fabric string) map[string]int {
	total := 0
	for _, r := range s.Replicas {
		if r.Fabric == fabric && !r.Draining && s.usableReplica(r.Life()) != nil {
			total++
		}
	}
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

// stage lets free replicas load the weights that their domain lacks most: those without weights, and those that hold weights of
// which the domain has more than its share. A spare that waits for a second loss of one model is worth less than the first
// spare of another.
func (s *step) stageWeights() {
	for _, fabric := range s.fabricDomains() {
		quota, assigned := s.quota(fabric), s.assignedCounts(fabric)
		for _, r := range s.freeReplicas(fabric) {
			current := s.assignedModel(r)
			if _, loading := s.staging[r.Life()]; loading || !s.mayStartLoad() {
				continue
			}
			best, shortage := s.largestShortage(quota, assigned)
			if best == nil || best.Name == current || current != "" && (shortage < 1 || assigned[current] <= quota[current]) {
				continue
			}
			assigned[best.Name]++
			if current != "" {
				assigned[current]--
			}
			s.staging[r.Life()] = staging{model: best.Name, sentAt: s.Now}
			s.loadStarts = append(s.loadStarts, s.Now)
			s.orders = append(s.orders, Order{To: r, Action: Stage, Model: best.Name,
				Reason: fmt.Sprintf("domain %s lacks %d of %s", fabric, shortage, best.Name)})
		}
	}
}

// largestShortage returns the model of which a domain has least for its quota, and how much it lacks.
func (s *step) largestShortage(quota, assigned map[string]int) (best *fleet.Model, shortage int) {
	for i := range s.Engine.Models {
		m := &s.Engine.Models[i]
		if d := quota[m.Name] - assigned[m.Name]; best == nil || d > shortage {
			best, shortage = m, d
		}
	}
	return best, shortage
}

// standby lets spares join a group of their own, which never opens: a member whose last group had the same model joins the next
// one much sooner than one that has only staged the weights.
func (s *step) joinStandbys() {
	for incarnation := range s.standbyJoins {
		if s.usableReplica(incarnation) == nil {
			delete(s.standbyJoins, incarnation)
		}
	}
	for _, fabric := range s.fabricDomains() {
		for _, r := range s.freeReplicas(fabric) {
			model := s.Engine.Model(s.assignedModel(r))
			if model == nil || !r.HasStaged(model.Name) || r.Group != nil || slices.Contains(r.Models, model.Name) {
				continue
			}
			if at, asked := s.standbyJoins[r.Life()]; asked && s.Now.Sub(at) < standbyTimeout {
				continue
			}
			s.standbyJoins[r.Life()] = s.Now
			members := []string{r.ID}
			for i := 1; i < model.Size; i++ {
				members = append(members, fmt.Sprintf("%s-none-%d", r.ID, i))
			}
			s.orders = append(s.orders, Order{To: r, Action: Join, Group: standbyPrefix + r.ID, Epoch: s.nextEpoch(), Model: model.Name,
				Members: members, Reason: "a spare holds its weights ready"})
		}
	}
}

// mayStartLoad tells whether another weight load may start within the stated rate and number.
func (s *step) mayStartLoad() bool {
	if s.Fresh {
		return true
	}
	running := 0
	for range s.staging {
		running++
	}
	return float64(len(s.loadStarts)+1) <= s.Engine.LoadsPerS*s.LoadWindow.Seconds() && running < max(s.Engine.LoadsAtOnce, 1)
}

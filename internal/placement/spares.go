package placement

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"cassiadeal.example/cassiadeal/internal/fleet"
)

// findFree finds what freeReplicas returns.
func (s *step) findFree(fabric string) []*fleet.Replica {
	var list []*fleet.Replica
	for _, r := range s.index().byFabric[fabric] {
		if s.used[r.ID] || r.Draining || s.usableReplica(r.Incarnation()) == nil || !s.stateKnown(r) {
			continue
		}
		if r.Group != nil && !strings.HasPrefix(r.Group.Name, StandbyPrefix) {
			key := groupKey{r.Group.Name, r.Group.Epoch}
			if s.boundToHead(r) || !s.isDissolved(key) && s.inUnknownGroup(r) {
				continue
			}
		}
		list = append(list, r)
	}
	return list
}

// inUnknownGroup tells whether the replica reports a group that isn't planned, or a higher epoch than the planned one.
func (s *step) inUnknownGroup(r *fleet.Replica) bool {
	g := s.groups[r.Group.Name]
	return g == nil || r.Group.Epoch > g.epoch
}

// spares returns the free replicas of the fabric domain that have staged the model's weights, aren't slow and can join a group at once.
func (s *step) spares(fabric, model string) []*fleet.Replica {
	return slices.DeleteFunc(s.stagedReplicas(fabric, model), s.joinsLate)
}

// stagedReplicas returns the free replicas of the fabric domain that have staged the model's weights and aren't slow.
func (s *step) stagedReplicas(fabric, model string) []*fleet.Replica {
	return slices.DeleteFunc(slices.Clone(s.freeReplicas(fabric)), func(r *fleet.Replica) bool { return !s.joinsWithoutLoad(r, model) || s.isSlow(r.Incarnation()) })
}

// fabricDomains returns the fabric domains of the listed replicas in order of name.
func (s *step) fabricDomains() []string { return s.index().fabrics }

// groupedReplicas returns the number of replicas in planned groups, by model.
func (s *step) groupedReplicas() map[string]float64 {
	counts := map[string]float64{}
	for _, g := range s.groups {
		counts[g.model] += float64(len(g.members))
	}
	return counts
}

// modelsByCoverage returns the models that need replicas, in ascending order of the replicas in groups relative to the need.
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

// formGroups forms as many new groups as possible of spares that have staged the weights. While Input.BeforeFirstRequest is set,
// replicas without weights may be members too (see initialMembers).
func (s *step) formGroups() {
	s.index().free = map[string][]*fleet.Replica{}
	pending := s.pendingJoins()
	for again := true; again; {
		again = false
		counts := s.groupedReplicas()
		for _, m := range s.modelsByCoverage(counts) {
			if pending >= maxPendingJoins {
				return
			}
			if s.formGroup(m) {
				pending += m.Size
				again = true
				break
			}
		}
	}
}

// formGroup forms one group of the model and tells whether there were enough replicas in one fabric domain. If there are enough only with
// replicas that can't join at once, these are ordered to leave their groups, and the others stay free until then.
func (s *step) formGroup(m *fleet.Model) bool {
	candidates := s.candidates(m, false)
	if candidates == nil {
		s.releaseCandidates(m)
		return false
	}
	members := candidates[:m.Size]
	epoch := s.nextEpoch()
	g := &group{name: fmt.Sprintf("g%d", epoch), epoch: epoch, model: m.Name, fabric: members[0].Fabric}
	s.sortLimitedLast(members)
	for _, r := range members {
		g.members = append(g.members, member{incarnation: r.Incarnation(), lastEntry: r})
		s.used[r.ID] = true
	}
	s.groups[g.name] = g
	s.changed(g.fabric)
	s.noteFormed(g)
	s.joinMembers(g)
	return true
}

// releaseCandidates orders replicas to leave their groups so that they can form a group of the model later.
func (s *step) releaseCandidates(m *fleet.Model) {
	list := s.candidates(m, true)
	for _, r := range list[:min(len(list), m.Size)] {
		if s.mustLeave(r) {
			s.orderMemberToLeave(r)
		}
	}
}

// candidates returns the replicas of one fabric domain that may form a group of the model, or nil if no domain has enough. Those that can't
// join at once are left out, or come last if late is set.
func (s *step) candidates(m *fleet.Model, late bool) []*fleet.Replica {
	var best []*fleet.Replica
	for _, fabric := range s.fabricDomains() {
		atOnce := s.candidatesAtOnce(fabric, m)
		s.formerMembersFirst(fabric, atOnce)
		if late {
			atOnce = append(slices.Clone(atOnce), slices.DeleteFunc(s.mayForm(fabric, m), func(r *fleet.Replica) bool { return !s.joinsLate(r) })...)
		}
		// The domain with the most candidates is chosen, as it can best do without them as spares.
		if len(atOnce) >= m.Size && len(atOnce) > len(best) && !s.exceedsDivision(fabric, m) {
			best = atOnce
		}
	}
	return best
}

// initialMembers returns the replicas of a domain that may form a group of the model before the first client request: those
// that have staged or are staging the model's weights, and those without weights as far as the domain's quota for the model
// allows.
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

// assignedModel returns the model whose weights a replica is staging or has staged, or "".
func (s *step) assignedModel(r *fleet.Replica) string {
	if model, known := s.residents[r.Incarnation()]; known {
		return model
	}
	if st, ok := s.staging[r.Incarnation()]; ok {
		return st.model
	}
	for _, name := range r.Staged {
		if s.Engine.Model(name) != nil {
			return name
		}
	}
	return ""
}

// assignedCounts returns the number of replicas of a domain by model: group members, and free replicas that are staging or have
// staged its weights.
func (s *step) assignedCounts(fabric string) map[string]int {
	n := map[string]int{}
	maps.Copy(n, s.groupedIn(fabric))
	for _, r := range s.freeReplicas(fabric) {
		if model := s.assignedModel(r); model != "" {
			n[model]++
		}
	}
	return n
}

// stageWeights orders free replicas to load the weights of which their domain is most short: replicas without weights, and
// those with weights of a model that exceeds its quota. The model with the largest shortage comes first, since the first spare of
// a model is worth more than the second of another.
func (s *step) stageWeights() {
	for _, fabric := range s.fabricDomains() {
		if s.changesModel(fabric) {
			continue
		}
		quota, assigned := s.quota(fabric), s.assignedCounts(fabric)
		for _, r := range s.freeReplicas(fabric) {
			current := s.assignedModel(r)
			if _, loading := s.staging[r.Incarnation()]; loading || !s.mayStartLoad() {
				continue
			}
			best, shortage := s.largestShortage(quota, assigned)
			if best == nil || shortage < 1 || best.Name == current || current != "" && assigned[current] <= quota[current] {
				continue
			}
			assigned[best.Name]++
			if current != "" {
				assigned[current]--
			}
			if _, resident := s.residents[r.Incarnation()]; resident && r.HasStaged(best.Name) {
				delete(s.residents, r.Incarnation())
				continue // It only counts for the other model from now on.
			}
			s.staging[r.Incarnation()] = staging{model: best.Name, sentAt: s.Now}
			s.loadStarts = append(s.loadStarts, s.Now)
			s.orders = append(s.orders, Order{To: r, Action: Stage, Model: best.Name,
				Reason: fmt.Sprintf("domain %s is short of %d replicas for model %s", fabric, shortage, best.Name)})
		}
	}
}

// largestShortage returns the model that is furthest below its quota in a domain, and how many replicas it is short of.
func (s *step) largestShortage(quota, assigned map[string]int) (best *fleet.Model, shortage int) {
	for i := range s.Engine.Models {
		m := &s.Engine.Models[i]
		if d := quota[m.Name] - assigned[m.Name]; best == nil || d > shortage {
			best, shortage = m, d
		}
	}
	return best, shortage
}

// joinStandbys lets each spare join a standby group of its own, which is never opened. The spare thereby loads its staged
// weights, so that it later joins a group of the same model much faster than one that has only staged them.
func (s *step) joinStandbys() {
	for incarnation := range s.standbyJoins {
		if s.usableReplica(incarnation) == nil {
			delete(s.standbyJoins, incarnation)
		}
	}
	for _, fabric := range s.fabricDomains() {
		for _, r := range s.freeReplicas(fabric) {
			model := s.Engine.Model(s.assignedModel(r))
			if model == nil || !r.HasStaged(model.Name) || r.Group != nil || slices.Contains(r.Models, model.Name) || s.awaitsBreak(r) {
				continue
			}
			if at, ordered := s.standbyJoins[r.Incarnation()]; ordered && s.Now.Sub(at) < standbyTimeout {
				continue
			}
			s.standbyJoins[r.Incarnation()] = s.Now
			members := []string{r.ID}
			for i := 1; i < model.Size; i++ {
				members = append(members, fmt.Sprintf("%s-none-%d", r.ID, i))
			}
			s.orders = append(s.orders, Order{To: r, Action: Join, Group: StandbyPrefix + r.ID, Epoch: s.nextEpoch(), Model: model.Name,
				Members: members, Reason: "a spare loads its staged weights in advance"})
		}
	}
}

// mayStartLoad tells whether another weight load may start within the configured rate and number of parallel loads.
func (s *step) mayStartLoad() bool {
	if s.BeforeFirstRequest {
		return true
	}
	running := 0
	for range s.staging {
		running++
	}
	return float64(len(s.loadStarts)+1) <= s.Engine.LoadsPerS*s.LoadWindow.Seconds() && running < max(s.Engine.LoadsAtOnce, 1)
}

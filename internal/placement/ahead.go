package placement

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"cassiadeal.example/cassiadeal/internal/demand"
	"cassiadeal.example/cassiadeal/internal/fleet"
)

// Some groups of each model have the other model staged on their hosts, so that their replicas can change the model without a load. A running
// group keeps the model that it has loaded.

const (
	// aheadLoadShare is the part of the loads that may run at once, and aheadRateShare the part of their rate, that is used to stage
	// weights ahead. The rest is kept for spares.
	aheadLoadShare = 0.75
	aheadRateShare = 0.5
	// aheadInterval is the time between two searches for hosts that should stage weights ahead, which visit all members of groups.
	aheadInterval = 500 * time.Millisecond
)

// follows reports whether replicas follow the demand for two models.
func (s *step) follows() bool {
	if !s.Follow || len(s.Engine.Models) != 2 {
		return false
	}
	return s.Need[s.Engine.Models[0].Name] > 0 && s.Need[s.Engine.Models[1].Name] > 0
}

func (s *step) otherModel(m *fleet.Model) *fleet.Model {
	if m.Name == s.Engine.Models[0].Name {
		return &s.Engine.Models[1]
	}
	return &s.Engine.Models[0]
}

// noteResidents records which members of groups have loaded another model than the one that their hosts have staged. They count for the loaded
// one if their group is given up: they join another of its groups without a load.
func (s *step) noteResidents() {
	for incarnation, model := range s.residents {
		r := s.Replicas[incarnation.ID]
		_, loading := s.staging[incarnation]
		if r == nil || r.Incarnation() != incarnation || !slices.Contains(r.Models, model) || r.HasStaged(model) && !loading {
			delete(s.residents, incarnation)
		}
	}
	if !s.follows() {
		return
	}
	for _, g := range s.groups {
		if mv := s.moves[g.fabric]; mv != nil && mv.releasedAt != 0 && slices.Contains(mv.groups, g.name) {
			continue
		}
		for _, m := range g.members {
			r := s.Replicas[m.incarnation.ID]
			if r != nil && r.Incarnation() == m.incarnation && len(r.Staged) > 0 && !r.HasStaged(g.model) && slices.Contains(r.Models, g.model) {
				s.residents[m.incarnation] = g.model
			}
		}
	}
}

// joinsWithoutLoad reports whether a replica can join a group of the model without a load from the weight store, and counts as a spare of
// that model.
func (s *step) joinsWithoutLoad(r *fleet.Replica, model string) bool {
	if resident, known := s.residents[r.Incarnation()]; known {
		return resident == model
	}
	return r.HasStaged(model)
}

// stageAhead orders members of groups to stage the other model.
func (s *step) stageAhead() {
	if !s.follows() || s.MayBeOutdated || s.Incomplete || s.Now.Sub(s.aheadAt) < aheadInterval || s.sparesLoad() {
		return
	}
	s.aheadAt = s.Now
	groups := s.groupsByFabric()
	for i, fabric := range s.fabricDomains() {
		if s.moves[fabric] != nil {
			continue
		}
		from, to := s.aheadDirection(fabric, i, groups[fabric])
		if from != nil && !s.stageUnit(fabric, s.unitOf(groups[fabric], from, to), from, to) {
			return
		}
	}
}

// stageUnit orders members of a unit to stage the other model, and reports false if no more loads may begin.
func (s *step) stageUnit(fabric string, u unit, from, to *fleet.Model) bool {
	for _, r := range u.unstaged[:min(max(u.missing, 0), len(u.unstaged))] {
		if _, loading := s.staging[r.Incarnation()]; loading {
			continue
		}
		if !s.mayStageAhead() {
			return false
		}
		s.residents[r.Incarnation()] = from.Name
		s.staging[r.Incarnation()] = staging{model: to.Name, sentAt: s.Now}
		s.loadStarts = append(s.loadStarts, s.Now)
		s.orders = append(s.orders, Order{To: r, Action: Stage, Model: to.Name,
			Reason: fmt.Sprintf("replicas of domain %s may change from model %s to %s", fabric, from.Name, to.Name)})
	}
	return true
}

// groupsByFabric returns the planned groups by fabric domain.
func (s *step) groupsByFabric() map[string][]*group {
	all := map[string][]*group{}
	for _, g := range s.groups {
		all[g.fabric] = append(all[g.fabric], g)
	}
	return all
}

// sparesLoad reports whether a spare stages weights. Before the first request, it also reports whether a group is forming, since its members
// may be loading.
func (s *step) sparesLoad() bool {
	for incarnation := range s.staging {
		if !s.used[incarnation.ID] {
			return true
		}
	}
	if !s.BeforeFirstRequest {
		return false
	}
	for _, g := range s.groups {
		if head := s.usableReplica(g.members[0].incarnation); head == nil || !s.headServes(g, head) {
			return true
		}
	}
	return len(s.groups) == 0
}

// mayStageAhead reports whether another load to stage weights ahead may begin.
func (s *step) mayStageAhead() bool {
	if len(s.staging) >= max(int(aheadLoadShare*float64(s.Engine.LoadsAtOnce)), 1) {
		return false
	}
	return s.BeforeFirstRequest || float64(len(s.loadStarts)+1) <= aheadRateShare*s.Engine.LoadsPerS*s.LoadWindow.Seconds()
}

// aheadDirection returns the model whose groups of a domain have the other one staged, or nil. A domain that has moved replicas stages the way
// back; of the others, every second one stages each way.
func (s *step) aheadDirection(fabric string, index int, groups []*group) (from, to *fleet.Model) {
	for i := range s.Engine.Models {
		if m := &s.Engine.Models[i]; s.moved[fabric][m.Name] > 0 {
			return m, s.otherModel(m)
		}
	}
	from = &s.Engine.Models[index%2]
	to = s.otherModel(from)
	given, got := demand.Exchange(from, to)
	if got == 0 || countGroups(groups, from.Name) < given {
		return nil, nil // Staging the other way too would leave less to restart with.
	}
	return from, to
}

func countGroups(groups []*group, model string) (n int) {
	for _, g := range groups {
		if g.model == model {
			n++
		}
	}
	return n
}

// unit is the groups of a domain that change the model together.
type unit struct {
	groups   []*group
	staged   int              // Members that have staged the other model.
	unstaged []*fleet.Replica // Usable members that haven't.
	missing  int              // Members that have to stage it before the unit can change.
}

// unitOf returns the groups of a domain that would change from one model to another: those that serve and of which the most members
// have staged the other model. Its groups are nil if there aren't enough.
func (s *step) unitOf(groups []*group, from, to *fleet.Model) unit {
	given, got := demand.Exchange(from, to)
	var candidates []*group
	staged := map[*group]int{}
	for _, g := range groups {
		if g.model != from.Name || !s.servesUndisturbed(g) {
			continue
		}
		candidates = append(candidates, g)
		for _, m := range g.members {
			if r := s.Replicas[m.incarnation.ID]; r.HasStaged(to.Name) || s.staging[m.incarnation].model == to.Name {
				staged[g]++
			}
		}
	}
	if len(candidates) < given || got == 0 {
		return unit{}
	}
	slices.SortFunc(candidates, func(a, b *group) int {
		return cmp.Or(staged[b]-staged[a], cmp.Compare(a.name, b.name))
	})
	u := unit{groups: candidates[:given]}
	for _, g := range u.groups {
		for _, m := range g.members {
			if r := s.Replicas[m.incarnation.ID]; r.HasStaged(to.Name) {
				u.staged++
			} else {
				u.unstaged = append(u.unstaged, r)
			}
		}
	}
	u.missing = got*to.Size - u.staged
	return u
}

// servesUndisturbed reports whether the head of a group serves openly, and all members are usable and neither drain nor are slow.
func (s *step) servesUndisturbed(g *group) bool {
	if g.dissolveReason != "" || g.closingSince != 0 {
		return false
	}
	for i, m := range g.members {
		r := s.usableReplica(m.incarnation)
		if r == nil || r.Draining || s.isSlow(m.incarnation) || !s.stateKnown(r) {
			return false
		}
		if i == 0 && (!s.headServes(g, r) || r.Group.State != fleet.GroupOpen) {
			return false
		}
	}
	return len(g.members) > 0
}

package placement

import (
	"maps"
	"slices"

	"cassiadeal.example/cassiadeal/internal/fleet"
)

// maxPendingJoins is the number of join orders without an answer from which on no further group is formed. More would wait for longer than
// reportTimeout until they are sent, and be sent again.
const maxPendingJoins = 500

// pendingJoins returns the number of members that have been ordered to join their groups and haven't answered.
func (s *step) pendingJoins() int {
	n := 0
	for _, g := range s.groups {
		for i := range g.members {
			if m := &g.members[i]; m.joinSentAt != 0 && !m.joinAccepted {
				n++
			}
		}
	}
	return n
}

// stepIndex holds what one step looks up for each fabric domain, group or replica, so that a step doesn't go through all replicas for each of
// them. With 3,000 replicas in 81 fabric domains, the first step without it took longer than the lease.
type stepIndex struct {
	ids      []string                    // Of Input.Replicas, sorted.
	byFabric map[string][]*fleet.Replica // In order of ID.
	fabrics  []string                    // Keys of byFabric, sorted.
	// groupsOf holds the planned groups that have a start of a replica as a member. It is kept up to date in adoptReportedGroups only.
	groupsOf map[fleet.Incarnation][]*group
	// grouped holds the number of listed members of planned groups by fabric domain and model; nil until it is needed. It is kept up to date
	// from formGroups on.
	grouped map[string]map[string]int
	// free holds what freeReplicas returned from formGroups on, for domains in which no group was formed since; nil before.
	free map[string][]*fleet.Replica
	// atOnce holds what candidatesAtOnce returned for domains in which no group was formed since.
	atOnce map[domainModel][]*fleet.Replica
}

// domainModel identifies a model in a fabric domain.
type domainModel struct{ fabric, model string }

// index returns the index of the step.
func (s *step) index() *stepIndex {
	if s.indexed == nil {
		s.sortedIDs = sortedIDs(s.sortedIDs, s.Replicas)
		x := &stepIndex{ids: s.sortedIDs, byFabric: map[string][]*fleet.Replica{}, atOnce: map[domainModel][]*fleet.Replica{}}
		for _, id := range x.ids {
			r := s.Replicas[id]
			x.byFabric[r.Fabric] = append(x.byFabric[r.Fabric], r)
		}
		x.fabrics = slices.Sorted(maps.Keys(x.byFabric))
		s.indexed = x
	}
	return s.indexed
}

// sortedIDs returns the IDs of the replicas in order. Those of the step before are returned if they are the same.
func sortedIDs(former []string, replicas map[string]*fleet.Replica) []string {
	same := len(former) == len(replicas)
	for i := 0; same && i < len(former); i++ {
		_, same = replicas[former[i]]
	}
	if same {
		return former
	}
	return slices.Sorted(maps.Keys(replicas))
}

// indexMembers fills groupsOf.
func (s *step) indexMembers() {
	x := s.index()
	x.groupsOf = make(map[fleet.Incarnation][]*group, len(s.Replicas))
	for _, g := range s.groups {
		for _, m := range g.members {
			x.groupsOf[m.incarnation] = append(x.groupsOf[m.incarnation], g)
		}
	}
}

// noteMember adds a member of a group to groupsOf.
func (x *stepIndex) noteMember(g *group, start fleet.Incarnation) {
	x.groupsOf[start] = append(x.groupsOf[start], g)
}

// noteFormerMember removes a start of a replica that a group no longer has as a member from groupsOf.
func (x *stepIndex) noteFormerMember(g *group, start fleet.Incarnation) {
	x.groupsOf[start] = slices.DeleteFunc(slices.Clone(x.groupsOf[start]), func(other *group) bool { return other == g })
}

// plannedElsewhere reports whether a planned group other than the one that the replica reports has it as a member.
func (s *step) plannedElsewhere(r *fleet.Replica) bool {
	return slices.ContainsFunc(s.index().groupsOf[r.Incarnation()], func(g *group) bool { return g.name != r.Group.Name })
}

// groupedIn returns the number of listed members of planned groups in a fabric domain, by model. It isn't modified by the caller.
func (s *step) groupedIn(fabric string) map[string]int {
	x := s.index()
	if x.grouped == nil {
		x.grouped = map[string]map[string]int{}
		for _, g := range s.groups {
			for _, m := range g.members {
				if r := s.Replicas[m.incarnation.ID]; r != nil {
					x.addGrouped(r.Fabric, g.model, 1)
				}
			}
		}
	}
	return x.grouped[fabric]
}

func (x *stepIndex) addGrouped(fabric, model string, members int) {
	if x.grouped[fabric] == nil {
		x.grouped[fabric] = map[string]int{}
	}
	x.grouped[fabric][model] += members
}

// noteFormed records that formGroups has formed a group.
func (s *step) noteFormed(g *group) {
	x := s.index()
	if x.grouped != nil {
		x.addGrouped(g.fabric, g.model, len(g.members))
	}
	delete(x.free, g.fabric)
	maps.DeleteFunc(x.atOnce, func(key domainModel, _ []*fleet.Replica) bool { return key.fabric == g.fabric })
}

// freeReplicas returns the usable replicas of a fabric domain that are in no planned group and don't drain, in order of ID. The caller doesn't
// modify the list.
func (s *step) freeReplicas(fabric string) []*fleet.Replica {
	x := s.index()
	if x.free == nil {
		return s.findFree(fabric) // Groups are still given up and repaired.
	}
	list, known := x.free[fabric]
	if !known {
		list = s.findFree(fabric)
		x.free[fabric] = list
	}
	return list
}

// candidatesAtOnce returns the replicas of a fabric domain that may form a group of the model at once. The list is that of an earlier call of
// formGroups if no group was formed in the domain since.
func (s *step) candidatesAtOnce(fabric string, m *fleet.Model) []*fleet.Replica {
	x, key := s.index(), domainModel{fabric, m.Name}
	list, known := x.atOnce[key]
	if !known {
		list = slices.DeleteFunc(s.mayForm(fabric, m), s.joinsLate)
		s.formerMembersFirst(fabric, list)
		x.atOnce[key] = list
	}
	return list
}

// mayForm returns the replicas of a fabric domain that may form a group of the model, also those that can't join at once.
func (s *step) mayForm(fabric string, m *fleet.Model) []*fleet.Replica {
	if s.BeforeFirstRequest {
		return s.initialMembers(fabric, m)
	}
	return s.stagedReplicas(fabric, m.Name)
}

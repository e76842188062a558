package placement

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/internal/fleet"
)

// adopt takes over groups that the replicas report and the plan doesn't know, as after a change of the planner.
func (s *step) adoptReportedGroups() {
	reported := map[groupKey][]*fleet.Replica{}
	for _, id := range slices.Sorted(maps.Keys(s.Replicas)) {
		r := s.Replicas[id]
		if r.Group == nil || strings.HasPrefix(r.Group.Name, standbyPrefix) {
			continue
		}
		key := groupKey{r.Group.Name, r.Group.Epoch}
		g := s.groups[key.name]
		if g != nil && g.epoch == key.epoch {
			g.addReportedMember(r, s.Now)
		}
		if s.isDissolved(key) || g != nil && g.epoch >= key.epoch {
			continue
		}
		reported[key] = append(reported[key], r)
	}
	for key, members := range reported {
		model := reportedModel(members, s.Engine)
		if model == nil {
			continue // Joining with no weights shown yet; it is looked at again.
		}
		g := &group{name: key.name, epoch: key.epoch, model: model.Name, members: make([]member, model.Size), adoptedAt: s.Now}
		for _, r := range s.Lapsed {
			if r.Group != nil && r.Group.Name == key.name && r.Group.Epoch == key.epoch {
				g.addReportedMember(r, s.Now)
			}
		}
		for _, r := range members {
			g.addReportedMember(r, s.Now)
		}
		g.wasOpen = true // An earlier planner may have opened it.
		s.groups[key.name] = g
	}
}

func (s *step) isDissolved(g groupKey) bool {
	_, dissolved := s.dissolved[g]
	return dissolved
}

// fill enters a member that reports the group and that wasn't known.
func (g *group) addReportedMember(r *fleet.Replica, now clock.Time) {
	if r.Group.Rank >= len(g.members) || g.members[r.Group.Rank].incarnation.ID != "" {
		return
	}
	g.members[r.Group.Rank] = member{incarnation: r.Life(), lastEntry: r, joinAccepted: true, joinSentAt: now}
	g.fabric = r.Fabric
	if r.Group.Rank == 0 {
		g.head = r
	}
}

// reportedModel returns the model that the members of a group have loaded or, while they load, staged.
func reportedModel(members []*fleet.Replica, e *fleet.Engine) *fleet.Model {
	for _, r := range members {
		for _, name := range r.Models {
			if m := e.Model(name); m != nil {
				return m
			}
		}
	}
	return nil
}

// tend brings one group forward.
func (s *step) advance(g *group) {
	if g.dissolveReason != "" {
		s.dissolve(g, g.dissolveReason)
		return
	}
	head := s.usableReplica(g.members[0].incarnation)
	if head != nil {
		g.head = head
	}
	if reason := s.breakReason(g, head); reason != "" {
		s.repair(g, head, reason)
		return
	}
	leaving := s.drainingMember(g)
	if leaving == "" {
		leaving = s.slowMember(g)
	}
	switch {
	case head == nil:
		// The list may be incomplete; the group is looked at again when it is whole.
	case s.headServes(g, head):
		g.wasOpen = true
		if leaving != "" {
			s.closeForRepair(g, head, leaving)
		}
	case leaving != "":
		s.repair(g, head, leaving)
	case s.allReady(g):
		if s.Now.Sub(g.openSentAt) > openTimeout || g.openSentAt == 0 {
			g.openSentAt = s.Now
			s.addOrder(head, Open, g, "all members are ready")
		}
	default:
		s.joinMembers(g)
	}
}

// serving tells whether the head serves the group's epoch or finishes its requests.
func (s *step) headServes(g *group, head *fleet.Replica) bool {
	return head.Group != nil && head.Group.Name == g.name && head.Group.Epoch == g.epoch &&
		(head.Group.State == fleet.GroupOpen || head.Group.State == fleet.GroupClosing)
}

// leaving tells which member of the group drains, or returns "".
func (s *step) drainingMember(g *group) string {
	for i, m := range g.members {
		if r := s.usableReplica(m.incarnation); r != nil && r.Draining {
			return fmt.Sprintf("member %d (%s) leaves", i, r.ID)
		}
	}
	return ""
}

// slowMember tells which member of the group is slow and can be replaced, or returns "".
func (s *step) slowMember(g *group) string {
	slow, found := 0, ""
	for i, m := range g.members {
		if s.isSlow(m.incarnation) {
			slow++
			found = fmt.Sprintf("member %d (%s) is slow", i, m.incarnation.ID)
		}
	}
	if slow == 0 || slow == len(g.members) || slow > len(s.spares(g.fabric, g.model)) {
		return ""
	}
	return found
}

// finish lets the head of a group with a leaving or slow member finish its requests before members are replaced. Nothing that
// runs is cut off for planned work: the member stays while the head has work.
func (s *step) closeForRepair(g *group, head *fleet.Replica, reason string) {
	if g.closingSince == 0 {
		g.closingSince = s.Now
	}
	if s.Now.Sub(g.closingSince) > closeTimeout {
		s.repair(g, head, reason+", and the head has not finished")
		return
	}
	if head.Group.State == fleet.GroupOpen && (g.closeSentAt == 0 || s.Now.Sub(g.closeSentAt) > reportTimeout) {
		g.closeSentAt = s.Now
		s.addOrder(head, CloseGroup, g, reason)
	}
}

// broken tells why a group can't serve or become ready, or returns "".
func (s *step) breakReason(g *group, head *fleet.Replica) string {
	for i := range g.members {
		m := &g.members[i]
		r := s.usableReplica(m.incarnation)
		if r == nil {
			if reason := s.missingReason(m, i); reason != "" {
				return reason
			}
			continue
		}
		m.lastEntry, m.missingSince = r, 0
		if m.joinAttempts > maxJoinAttempts && !m.joinAccepted {
			return fmt.Sprintf("member %d (%s) doesn't answer joins", i, m.incarnation.ID)
		}
		reports := r.Group != nil && r.Group.Name == g.name && r.Group.Epoch == g.epoch
		if m.joinAccepted && !reports && s.Now.Sub(m.joinSentAt) > 3*reportTimeout {
			return fmt.Sprintf("member %d (%s) reports another group", i, m.incarnation.ID)
		}
		if reports && r.Group.State == fleet.GroupBroken {
			return fmt.Sprintf("member %d (%s) reports that the group is broken", i, m.incarnation.ID)
		}
	}
	return ""
}

// missing tells why a member without a usable entry breaks its group, or returns "" while it may be well. A member other than
// the head that answers does its part, though it is cut off from the store. A head must be listed to be sent requests.
func (s *step) missingReason(m *member, rank int) string {
	if _, dead := s.unresponsive[m.incarnation]; dead || s.Replicas[m.incarnation.ID] != nil {
		return fmt.Sprintf("member %d (%s) is gone", rank, m.incarnation.ID)
	}
	if s.Incomplete {
		return ""
	}
	if m.missingSince == 0 {
		m.missingSince = s.Now
	}
	if _, answers := s.probeAnswers[m.incarnation]; answers && rank > 0 || m.lastEntry != nil && s.Now.Sub(m.missingSince) < missingTimeout {
		return ""
	}
	return fmt.Sprintf("member %d (%s) is not listed", rank, m.incarnation.ID)
}

// missingMayReturn tells whether all lost members of a group answer without being listed, so that they may come back soon.
func (s *step) missingMayReturn(g *group) bool {
	for i := range g.members {
		m := &g.members[i]
		if s.usableReplica(m.incarnation) != nil {
			continue
		}
		if _, answers := s.probeAnswers[m.incarnation]; !answers || s.Now.Sub(m.missingSince) > returnTimeout {
			return false
		}
	}
	return true
}

func (s *step) allReady(g *group) bool {
	for _, m := range g.members {
		r := s.usableReplica(m.incarnation)
		if r == nil || r.Group == nil || r.Group.Name != g.name || r.Group.Epoch != g.epoch {
			return false
		}
		if r.Group.State != fleet.GroupReady {
			return false
		}
	}
	return true
}

// joinMembers asks the members that don't report the group yet. If members come from an older epoch, the head is asked first:
// no member may be taken from a group whose head still serves.
func (s *step) joinMembers(g *group) {
	for i := range g.members {
		m := &g.members[i]
		r := s.usableReplica(m.incarnation)
		if r == nil || r.Group != nil && r.Group.Name == g.name && r.Group.Epoch == g.epoch {
			m.joinAccepted = m.joinAccepted || r != nil
			continue
		}
		if !s.stateKnown(r) {
			if i == 0 && g.headFirst {
				return
			}
			continue
		}
		if m.joinSentAt == 0 || s.Now.Sub(m.joinSentAt) > reportTimeout && !m.joinAccepted {
			m.joinSentAt = s.Now
			m.joinAttempts++
			if !s.Fresh && !r.HasStaged(g.model) {
				s.loadStarts = append(s.loadStarts, s.Now)
			}
			s.addOrder(r, Join, g, "a member of the group")
		}
		if i == 0 && g.headFirst && !m.joinAccepted {
			return
		}
	}
}

// repair replaces lost and leaving members by spares of the fabric domain that hold the weights, under a new epoch, or
// dissolves the group if there are too few.
func (s *step) repair(g *group, head *fleet.Replica, reason string) {
	var remaining []*fleet.Replica
	for _, m := range g.members {
		if r := s.usableReplica(m.incarnation); r != nil && !r.Draining && !(m.joinAttempts > maxJoinAttempts && !m.joinAccepted) {
			remaining = append(remaining, r)
		}
	}
	if slices.ContainsFunc(remaining, func(r *fleet.Replica) bool { return !s.stateKnown(r) }) {
		return
	}
	model := s.Engine.Model(g.model)
	if model == nil {
		s.dissolve(g, "the model is no longer configured")
		return
	}
	spares := s.spares(g.fabric, g.model)
	if fast := s.withoutSlow(remaining); len(fast) > 0 && model.Size-len(fast) <= len(spares) {
		remaining = fast
	}
	missing := model.Size - len(remaining)
	if missing > len(spares) && s.missingMayReturn(g) && s.drainingMember(g) == "" {
		return
	}
	if missing > len(spares) || len(remaining) == 0 {
		s.dissolve(g, reason)
		return
	}
	headStays := head != nil && !head.Draining && remaining[0].ID == head.ID
	if !headStays && !s.releaseMembers(g, reason) {
		return
	}
	for _, m := range g.members {
		delete(s.used, m.incarnation.ID)
	}
	g.members = g.members[:0]
	for _, r := range append(remaining, spares[:max(missing, 0)]...)[:model.Size] {
		g.members = append(g.members, member{incarnation: r.Life(), lastEntry: r})
		s.used[r.ID] = true
	}
	g.epoch = s.nextEpoch()
	g.resetProgress()
	g.headFirst = headStays
	s.joinMembers(g)
	for i := range s.orders {
		if o := &s.orders[i]; o.Group == g.name && o.Epoch == g.epoch {
			o.Reason = reason
		}
	}
}

// quick returns the replicas that aren't slow.
func (s *step) withoutSlow(list []*fleet.Replica) []*fleet.Replica {
	return slices.DeleteFunc(slices.Clone(list), func(r *fleet.Replica) bool { return s.isSlow(r.Life()) })
}

// release tells whether the members of a group may be taken: its head doesn't serve this epoch any more. A head that may
// still serve is asked to leave first. One that doesn't answer is waited for until its group must be broken.
func (s *step) releaseMembers(g *group, reason string) bool {
	head := s.Replicas[g.members[0].incarnation.ID]
	failures, dead := s.unresponsive[g.members[0].incarnation]
	if head != nil && dead && failures.count < minHeadProbeFailures {
		return false // An order to leave would end a group whose head has only missed one probe.
	}
	if head != nil && !dead {
		if head.Born != g.members[0].incarnation.Born || head.Group == nil || head.Group.Name != g.name || head.Group.Epoch != g.epoch ||
			head.Group.State == fleet.GroupBroken {
			return true
		}
		g.head = head
	}
	if g.headReleased || !g.wasOpen && g.openSentAt == 0 {
		return true
	}
	if (head == nil || dead) && g.headMissingSince == 0 {
		g.headMissingSince = s.Now
	}
	if g.head == nil {
		// An adopted group whose head was never seen: nobody can be asked.
		return s.Now.Sub(g.adoptedAt) > s.StallAfter+stallMargin
	}
	if missingFor := s.Now.Sub(g.headMissingSince); g.headMissingSince != 0 && (missingFor > s.StallAfter+stallMargin || missingFor > minHeadSilence && s.Silent != nil && s.Silent(g.head)) {
		return true
	}
	if g.leaveSentAt == 0 || s.Now.Sub(g.leaveSentAt) > reportTimeout {
		g.leaveSentAt = s.Now
		s.addOrder(g.head, Leave, g, reason)
	}
	return false
}

// dissolve frees the members of a group.
func (s *step) dissolve(g *group, reason string) {
	g.dissolveReason = reason
	if !s.releaseMembers(g, reason) {
		return
	}
	s.dissolved[groupKey{g.name, g.epoch}] = s.Now
	delete(s.groups, g.name)
	for _, m := range g.members {
		delete(s.used, m.incarnation.ID)
	}
}

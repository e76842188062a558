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
func (s *step) adopt() {
	found := map[groupEpoch][]*fleet.Replica{}
	for _, id := range slices.Sorted(maps.Keys(s.Replicas)) {
		r := s.Replicas[id]
		if r.Group == nil || strings.HasPrefix(r.Group.Name, standbyPrefix) {
			continue
		}
		key := groupEpoch{r.Group.Name, r.Group.Epoch}
		g := s.groups[key.name]
		if g != nil && g.epoch == key.epoch {
			g.fill(r, s.Now)
		}
		if s.isDissolved(key) || g != nil && g.epoch >= key.epoch {
			continue
		}
		found[key] = append(found[key], r)
	}
	for key, list := range found {
		model := reportedModel(list, s.Engine)
		if model == nil {
			continue // Joining with no weights shown yet; it is looked at again.
		}
		g := &group{name: key.name, epoch: key.epoch, model: model.Name, members: make([]member, model.Size), adopted: s.Now}
		for _, r := range s.Lapsed {
			if r.Group != nil && r.Group.Name == key.name && r.Group.Epoch == key.epoch {
				g.fill(r, s.Now)
			}
		}
		for _, r := range list {
			g.fill(r, s.Now)
		}
		g.wasOpen = true // An earlier planner may have opened it.
		s.groups[key.name] = g
	}
}

func (s *step) isDissolved(g groupEpoch) bool {
	_, dissolved := s.dissolved[g]
	return dissolved
}

// fill enters a member that reports the group and that wasn't known.
func (g *group) fill(r *fleet.Replica, now clock.Time) {
	if r.Group.Rank >= len(g.members) || g.members[r.Group.Rank].life.ID != "" {
		return
	}
	g.members[r.Group.Rank] = member{life: r.Life(), last: r, acked: true, asked: now}
	g.fabric = r.Fabric
	if r.Group.Rank == 0 {
		g.head = r
	}
}

// reportedModel returns the model that the members of a group have loaded or, while they load, staged.
func reportedModel(list []*fleet.Replica, e *fleet.Engine) *fleet.Model {
	for _, r := range list {
		for _, name := range r.Models {
			if m := e.Model(name); m != nil {
				return m
			}
		}
	}
	return nil
}

// tend brings one group forward.
func (s *step) tend(g *group) {
	if g.dissolving != "" {
		s.dissolve(g, g.dissolving)
		return
	}
	head := s.find(g.members[0].life)
	if head != nil {
		g.head = head
	}
	if reason := s.broken(g, head); reason != "" {
		s.repair(g, head, reason)
		return
	}
	leaving := s.leaving(g)
	if leaving == "" {
		leaving = s.slowMember(g)
	}
	switch {
	case head == nil:
		// The list may be incomplete; the group is looked at again when it is whole.
	case s.serving(g, head):
		g.wasOpen = true
		if leaving != "" {
			s.finish(g, head, leaving)
		}
	case leaving != "":
		s.repair(g, head, leaving)
	case s.allReady(g):
		if s.Now.Sub(g.opened) > openWait || g.opened == 0 {
			g.opened = s.Now
			s.order(head, Open, g, "all members are ready")
		}
	default:
		s.joinMembers(g)
	}
}

// serving tells whether the head serves the group's epoch or finishes its requests.
func (s *step) serving(g *group, head *fleet.Replica) bool {
	return head.Group != nil && head.Group.Name == g.name && head.Group.Epoch == g.epoch &&
		(head.Group.State == fleet.GroupOpen || head.Group.State == fleet.GroupClosing)
}

// leaving tells which member of the group drains, or returns "".
func (s *step) leaving(g *group) string {
	for i, m := range g.members {
		if r := s.find(m.life); r != nil && r.Draining {
			return fmt.Sprintf("member %d (%s) leaves", i, r.ID)
		}
	}
	return ""
}

// slowMember tells which member of the group is slow and can be replaced, or returns "".
func (s *step) slowMember(g *group) string {
	slow, found := 0, ""
	for i, m := range g.members {
		if s.isSlow(m.life) {
			slow++
			found = fmt.Sprintf("member %d (%s) is slow", i, m.life.ID)
		}
	}
	if slow == 0 || slow == len(g.members) || slow > len(s.spares(g.fabric, g.model)) {
		return ""
	}
	return found
}

// finish lets the head of a group with a leaving or slow member finish its requests before members are replaced. Nothing that
// runs is cut off for planned work: the member stays while the head has work.
func (s *step) finish(g *group, head *fleet.Replica, reason string) {
	if g.closing == 0 {
		g.closing = s.Now
	}
	if s.Now.Sub(g.closing) > closeWait {
		s.repair(g, head, reason+", and the head has not finished")
		return
	}
	if head.Group.State == fleet.GroupOpen && (g.closeAsked == 0 || s.Now.Sub(g.closeAsked) > reportWait) {
		g.closeAsked = s.Now
		s.order(head, CloseGroup, g, reason)
	}
}

// broken tells why a group can't serve or become ready, or returns "".
func (s *step) broken(g *group, head *fleet.Replica) string {
	for i := range g.members {
		m := &g.members[i]
		r := s.find(m.life)
		if r == nil {
			if reason := s.missing(m, i); reason != "" {
				return reason
			}
			continue
		}
		m.last, m.missing = r, 0
		if m.tries > joinTries && !m.acked {
			return fmt.Sprintf("member %d (%s) doesn't answer joins", i, m.life.ID)
		}
		reports := r.Group != nil && r.Group.Name == g.name && r.Group.Epoch == g.epoch
		if m.acked && !reports && s.Now.Sub(m.asked) > 3*reportWait {
			return fmt.Sprintf("member %d (%s) reports another group", i, m.life.ID)
		}
		if reports && r.Group.State == fleet.GroupBroken {
			return fmt.Sprintf("member %d (%s) reports that the group is broken", i, m.life.ID)
		}
	}
	return ""
}

// missing tells why a member without a usable entry breaks its group, or returns "" while it may be well. A member other than
// the head that answers does its part, though it is cut off from the store. A head must be listed to be sent requests.
func (s *step) missing(m *member, rank int) string {
	if _, dead := s.dead[m.life]; dead || s.Replicas[m.life.ID] != nil {
		return fmt.Sprintf("member %d (%s) is gone", rank, m.life.ID)
	}
	if s.Incomplete {
		return ""
	}
	if m.missing == 0 {
		m.missing = s.Now
	}
	if _, answers := s.present[m.life]; answers && rank > 0 || m.last != nil && s.Now.Sub(m.missing) < missingWait {
		return ""
	}
	return fmt.Sprintf("member %d (%s) is not listed", rank, m.life.ID)
}

// mayReturn tells whether all lost members of a group answer without being listed, so that they may come back soon.
func (s *step) mayReturn(g *group) bool {
	for i := range g.members {
		m := &g.members[i]
		if s.find(m.life) != nil {
			continue
		}
		if _, answers := s.present[m.life]; !answers || s.Now.Sub(m.missing) > returnWait {
			return false
		}
	}
	return true
}

func (s *step) allReady(g *group) bool {
	for _, m := range g.members {
		r := s.find(m.life)
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
		r := s.find(m.life)
		if r == nil || r.Group != nil && r.Group.Name == g.name && r.Group.Epoch == g.epoch {
			m.acked = m.acked || r != nil
			continue
		}
		if !s.known(r) {
			if i == 0 && g.headFirst {
				return
			}
			continue
		}
		if m.asked == 0 || s.Now.Sub(m.asked) > reportWait && !m.acked {
			m.asked = s.Now
			m.tries++
			if !s.Fresh && !r.HasStaged(g.model) {
				s.loads = append(s.loads, s.Now)
			}
			s.order(r, Join, g, "a member of the group")
		}
		if i == 0 && g.headFirst && !m.acked {
			return
		}
	}
}

// repair replaces lost and leaving members by spares of the fabric domain that hold the weights, under a new epoch, or
// dissolves the group if there are too few.
func (s *step) repair(g *group, head *fleet.Replica, reason string) {
	var stay []*fleet.Replica
	for _, m := range g.members {
		if r := s.find(m.life); r != nil && !r.Draining && !(m.tries > joinTries && !m.acked) {
			stay = append(stay, r)
		}
	}
	if slices.ContainsFunc(stay, func(r *fleet.Replica) bool { return !s.known(r) }) {
		return
	}
	model := s.Engine.Model(g.model)
	if model == nil {
		s.dissolve(g, "the model is no longer configured")
		return
	}
	spares := s.spares(g.fabric, g.model)
	if quick := s.quick(stay); len(quick) > 0 && model.Size-len(quick) <= len(spares) {
		stay = quick
	}
	missing := model.Size - len(stay)
	if missing > len(spares) && s.mayReturn(g) && s.leaving(g) == "" {
		return
	}
	if missing > len(spares) || len(stay) == 0 {
		s.dissolve(g, reason)
		return
	}
	headStays := head != nil && !head.Draining && stay[0].ID == head.ID
	if !headStays && !s.release(g, reason) {
		return
	}
	for _, m := range g.members {
		delete(s.used, m.life.ID)
	}
	g.members = g.members[:0]
	for _, r := range append(stay, spares[:max(missing, 0)]...)[:model.Size] {
		g.members = append(g.members, member{life: r.Life(), last: r})
		s.used[r.ID] = true
	}
	g.epoch = s.nextEpoch()
	g.restart()
	g.headFirst = headStays
	s.joinMembers(g)
	for i := range s.orders {
		if o := &s.orders[i]; o.Group == g.name && o.Epoch == g.epoch {
			o.Reason = reason
		}
	}
}

// quick returns the replicas that aren't slow.
func (s *step) quick(list []*fleet.Replica) []*fleet.Replica {
	return slices.DeleteFunc(slices.Clone(list), func(r *fleet.Replica) bool { return s.isSlow(r.Life()) })
}

// release tells whether the members of a group may be taken: its head doesn't serve this epoch any more. A head that may
// still serve is asked to leave first. One that doesn't answer is waited for until its group must be broken.
func (s *step) release(g *group, reason string) bool {
	head := s.Replicas[g.members[0].life.ID]
	death, dead := s.dead[g.members[0].life]
	if head != nil && dead && death.tries < headTries {
		return false // An order to leave would end a group whose head has only missed one probe.
	}
	if head != nil && !dead {
		if head.Born != g.members[0].life.Born || head.Group == nil || head.Group.Name != g.name || head.Group.Epoch != g.epoch ||
			head.Group.State == fleet.GroupBroken {
			return true
		}
		g.head = head
	}
	if g.released || !g.wasOpen && g.opened == 0 {
		return true
	}
	if (head == nil || dead) && g.dark == 0 {
		g.dark = s.Now
	}
	if g.head == nil {
		// An adopted group whose head was never seen: nobody can be asked.
		return s.Now.Sub(g.adopted) > s.StallAfter+stallMargin
	}
	if dark := s.Now.Sub(g.dark); g.dark != 0 && (dark > s.StallAfter+stallMargin || dark > darkAtLeast && s.Silent != nil && s.Silent(g.head)) {
		return true
	}
	if g.leaving == 0 || s.Now.Sub(g.leaving) > reportWait {
		g.leaving = s.Now
		s.order(g.head, Leave, g, reason)
	}
	return false
}

// dissolve frees the members of a group.
func (s *step) dissolve(g *group, reason string) {
	g.dissolving = reason
	if !s.release(g, reason) {
		return
	}
	s.dissolved[groupEpoch{g.name, g.epoch}] = s.Now
	delete(s.groups, g.name)
	for _, m := range g.members {
		delete(s.used, m.life.ID)
	}
}

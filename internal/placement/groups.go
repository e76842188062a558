package placement

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/internal/fleet"
)

// adoptReportedGroups adds groups to the plan that replicas report and the plan doesn't hold, as after a change of the planner. The state
// of at least one member must be known: entries that may be outdated show groups that have ended since.
func (s *step) adoptReportedGroups() {
	reported, known := map[groupKey][]*fleet.Replica{}, map[groupKey]bool{}
	s.indexMembers()
	for _, id := range s.index().ids {
		r := s.Replicas[id]
		if r.Group == nil || strings.HasPrefix(r.Group.Name, StandbyPrefix) {
			continue
		}
		key := groupKey{r.Group.Name, r.Group.Epoch}
		g := s.groups[key.name]
		if s.stateKnown(r) {
			s.dropFormerMemberships(r)
		}
		if g != nil && g.epoch == key.epoch && !s.plannedElsewhere(r) {
			if g.addReportedMember(r, s.Now) {
				s.index().noteMember(g, r.Incarnation())
				s.changed(g.fabric)
			}
		}
		if s.isDissolved(key) && !s.stillServes(key) || g != nil && g.epoch >= key.epoch || s.plannedElsewhere(r) {
			continue
		}
		reported[key] = append(reported[key], r)
		known[key] = known[key] || s.stateKnown(r)
	}
	for _, key := range slices.SortedFunc(maps.Keys(reported), groupKey.compare) {
		members := reported[key]
		if !known[key] {
			continue
		}
		adoptedAgain := s.isDissolved(key)
		delete(s.dissolved, key)
		delete(s.ended, key)
		model := reportedModel(members, s.Engine)
		if model == nil {
			continue // No member reports loaded weights yet, so the model isn't known; tried again in the next step.
		}
		g := &group{name: key.name, epoch: key.epoch, model: model.Name, members: make([]member, model.Size), adoptedAt: s.Now,
			adoptedAgain: adoptedAgain}
		for _, r := range s.Lapsed {
			if r.Group != nil && r.Group.Name == key.name && r.Group.Epoch == key.epoch {
				g.addReportedMember(r, s.Now)
			}
		}
		for _, r := range members {
			g.addReportedMember(r, s.Now)
		}
		g.wasOpen = true // An earlier planner may have opened it.
		if former := s.groups[key.name]; former != nil {
			s.giveUp(former)
		}
		s.groups[key.name] = g
		s.changed(g.fabric)
		s.noteGroup("a group is adopted from entries", g, fmt.Sprintf("%d entries show it", len(members)))
	}
}

// dropFormerMemberships removes a replica from the groups that were adopted from an older entry of it: it has reported a later epoch since, and
// this plan hasn't ordered it to join those groups.
func (s *step) dropFormerMemberships(r *fleet.Replica) {
	for _, g := range s.index().groupsOf[r.Incarnation()] {
		if g.name == r.Group.Name || g.adoptedAt == 0 || g.epoch >= r.Group.Epoch {
			continue
		}
		for i, m := range g.members {
			if m.incarnation != r.Incarnation() || m.joinAttempts > 0 {
				continue
			}
			g.members[i] = member{}
			s.index().noteFormerMember(g, r.Incarnation())
			if i == 0 {
				s.headEnded(g.name, g.epoch, showing(r))
				s.headEnded(g.name, g.formerEpoch, showing(r))
				g.headReleased = true
			}
		}
	}
}

func (s *step) isDissolved(g groupKey) bool {
	_, dissolved := s.dissolved[g]
	return dissolved
}

// stillServes reports whether the head of a group that was dissolved because it was unreachable answers again and reports the group as
// open, and the members that were unreachable too answer if they are still in the group. Such a group is adopted again.
func (s *step) stillServes(key groupKey) bool {
	d := s.dissolved[key]
	if !d.headUnheard || s.usableReplica(d.head) == nil || !d.showsServing(key, s.Replicas) {
		return false
	}
	for incarnation := range d.returnedAt {
		if key.reportedBy(s.Replicas[incarnation.ID], incarnation) && s.usableReplica(incarnation) == nil {
			return false
		}
	}
	return true
}

// releaseFormerHeads orders heads that serve groups which are no longer planned to leave them, and finds the groups whose members can't
// be joined to others until their heads have left. A head that has left may serve its group again: an order to join or open it that
// wasn't answered may be carried out later.
func (s *step) releaseFormerHeads() {
	serving := map[groupKey]bool{}
	for _, id := range s.index().ids {
		r := s.Replicas[id]
		if s.used[id] || !servesGroup(r) || s.usableReplica(r.Incarnation()) == nil {
			continue
		}
		key := groupKey{r.Group.Name, r.Group.Epoch}
		serving[key] = true
		if s.formerHeads[key].left || !s.isDissolved(key) && s.inUnknownGroup(r) {
			continue
		}
		s.served[key] = true
		delete(s.ended, key)
		s.orderFormerHead(key, r)
	}
	// A head whose entry shows that it has left is ordered to leave again if it serves once more. One that isn't listed may be ordered to
	// leave as long as its group is remembered.
	maps.DeleteFunc(s.formerHeads, func(key groupKey, _ formerHead) bool {
		return !serving[key] && (!s.isDissolved(key) || s.Replicas[s.dissolved[key].head.ID] != nil)
	})
}

// servesGroup reports whether the replica is a head that serves, or finishes the requests of, a group.
func servesGroup(r *fleet.Replica) bool {
	return r.Group != nil && r.Group.Serves()
}

// addReportedMember sets the member of a rank from the entry of a replica that reports the group. It reports false if it is already set.
func (g *group) addReportedMember(r *fleet.Replica, now clock.Time) bool {
	if r.Group.Rank >= len(g.members) || g.members[r.Group.Rank].incarnation.ID != "" {
		return false
	}
	g.members[r.Group.Rank] = member{incarnation: r.Incarnation(), lastEntry: r, joinAccepted: true, joinSentAt: now}
	g.fabric = r.Fabric
	if r.Group.Rank == 0 {
		g.head = r
	}
	return true
}

// reportedModel returns the first configured model that a member reports as loaded, or nil.
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

// advance adds the orders that one group needs next, and repairs or dissolves it if it can't serve.
func (s *step) advance(g *group) {
	s.forgetOutdatedFailures(g)
	if g.restored && g.head != nil && (groupKey{g.name, g.epoch}).reportedBy(g.head, g.members[0].incarnation) && s.activity(g).LastEvent != 0 {
		s.noteServing(g) // Events are known by the epoch in which they were sent.
	}
	head := s.usableReplica(g.members[0].incarnation)
	if head != nil && !g.headReleased && s.headServes(g, head) {
		// What spoke against the group is checked again: the head, or other members, may only have been silent.
		if g.headMissingSince != 0 {
			g.headMissingSince, g.leaveSentAt = 0, 0
		}
		g.dissolveReason = ""
	}
	if g.dissolveReason != "" {
		s.dissolve(g, g.dissolveReason)
		return
	}
	if head != nil {
		g.head = head
	}
	if reason := s.breakReason(g, head); reason != "" {
		s.repair(g, head, reason)
		return
	}
	reason := s.drainingMember(g)
	if reason == "" {
		reason = s.slowMember(g)
	}
	if reason == "" {
		reason = s.limitedHead(g, head)
	}
	switch {
	case head == nil:
		// The list of replicas may be incomplete; the group is checked again in the next step.
	case s.headServes(g, head):
		g.wasOpen = true
		s.noteServing(g)
		if reason != "" {
			s.closeForRepair(g, head, reason)
		} else if head.Group.State == fleet.GroupOpen {
			g.closingSince, g.closeSentAt, g.leaveSentAt = 0, 0, 0 // What the group was to close or leave for has ended.
		}
	case reason != "":
		s.repair(g, head, reason)
	case s.allReady(g):
		if s.Now.Sub(g.openSentAt) > openTimeout || g.openSentAt == 0 {
			g.openSentAt = s.Now
			s.mayServeFromNowOn(g)
			s.addOrder(head, Open, g, "all members are ready")
		}
	default:
		s.joinMembers(g)
	}
}

// headServes tells whether the head reports the group's epoch as open, or as closing while it finishes its requests.
func (s *step) headServes(g *group, head *fleet.Replica) bool {
	return servesGroup(head) && head.Group.Name == g.name && head.Group.Epoch == g.epoch
}

// drainingMember describes the first draining member of the group, or returns "".
func (s *step) drainingMember(g *group) string {
	for i, m := range g.members {
		if r := s.usableReplica(m.incarnation); r != nil && r.Draining {
			return fmt.Sprintf("member %d (%s) is draining", i, r.ID)
		}
	}
	return ""
}

// slowMember describes a slow member of the group, or returns "". It also returns "" if all members are slow or if there are
// fewer spares than slow members.
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

// limitedHead describes the head of a group that limits its rate of requests and should be replaced by another member, or returns "".
// A change of the head costs the group the time to finish its requests, so it is made only while more than maxLimitedShare of the
// model's groups are limited, at one group of a model at a time, and not if the limit or the head is new.
func (s *step) limitedHead(g *group, head *fleet.Replica) string {
	g.awaitsAnswers = false
	if head == nil || !s.isLimited(head) {
		g.limitedSince = 0
		return ""
	}
	if g.limitedSince == 0 {
		g.limitedSince = s.Now
	}
	reason := fmt.Sprintf("the head (%s) limits its rate of requests", head.ID)
	if g.closingSince != 0 {
		return reason
	}
	if s.Now.Sub(g.limitedSince) < minLimitedFor || s.Now.Sub(g.members[0].joinSentAt) < minHeadTerm || !s.mayReplaceLimitedHead(g.model) {
		return ""
	}
	// What members have stated is known only if they have answered lately, since they get no requests.
	g.awaitsAnswers = true
	for _, m := range g.members {
		r := s.usableReplica(m.incarnation)
		if _, answered := s.probeAnswers[m.incarnation]; answered && r != nil && r.ID != head.ID && !r.Draining && !s.isSlow(m.incarnation) && !s.isLimited(r) {
			return reason
		}
	}
	return ""
}

// mayReplaceLimitedHead reports whether more than maxLimitedShare of the model's groups have limited heads, and all of them serve.
func (s *step) mayReplaceLimitedHead(model string) bool {
	groups, limited := 0, 0
	for _, g := range s.groups {
		if g.model != model {
			continue
		}
		head := s.usableReplica(g.members[0].incarnation)
		if head == nil || !s.headServes(g, head) || g.closingSince != 0 {
			return false
		}
		groups++
		if s.isLimited(head) {
			limited++
		}
	}
	return float64(limited) > maxLimitedShare*float64(groups)
}

// closeForRepair lets the head of a group with a draining or slow member finish its requests before the member is replaced, so
// that planned work interrupts no running request. After closeTimeout the group is repaired even if the head has requests left, but only for
// a draining member, which will end: a slow member or a limited head is replaced once nothing runs there.
func (s *step) closeForRepair(g *group, head *fleet.Replica, reason string) {
	if g.closingSince == 0 {
		g.closingSince = s.Now
	}
	if s.Now.Sub(g.closingSince) > closeTimeout && (s.drainingMember(g) != "" || s.activity(g).Running == 0) {
		s.repair(g, head, reason+", and the head did not finish its requests in time")
		return
	}
	if head.Group.State == fleet.GroupOpen && (g.closeSentAt == 0 || s.Now.Sub(g.closeSentAt) > reportTimeout) {
		g.closeSentAt = s.Now
		s.addOrder(head, CloseGroup, g, reason)
	}
}

// breakReason tells why a group can't serve or become ready, or returns "".
func (s *step) breakReason(g *group, head *fleet.Replica) string {
	for i := range g.members {
		m := &g.members[i]
		r := s.usableReplica(m.incarnation)
		if r == nil {
			if m.incarnation.ID == "" && !g.adoptedAgain && head != nil && s.headServes(g, head) {
				continue // Not known, which isn't lost: the engine breaks the group if the member is.
			}
			if reason := s.missingReason(m, i); reason != "" && !s.mayOnlyBeSilent(g, m) {
				return reason
			}
			continue
		}
		m.lastEntry, m.missingSince = r, 0
		if m.joinAttempts > maxJoinAttempts && !m.joinAccepted {
			return fmt.Sprintf("member %d (%s) doesn't answer join orders", i, m.incarnation.ID)
		}
		reports := r.Group != nil && r.Group.Name == g.name && r.Group.Epoch == g.epoch
		if reports && i == 0 {
			s.headJoined(g)
			m.joinAccepted = true
		}
		if m.joinAccepted && !reports && s.stateKnown(r) && s.Now.Sub(m.joinSentAt) > 3*reportTimeout {
			return fmt.Sprintf("member %d (%s) reports another group", i, m.incarnation.ID)
		}
		if reports && r.Group.State == fleet.GroupBroken {
			return fmt.Sprintf("member %d (%s) reports that the group is broken", i, m.incarnation.ID)
		}
	}
	return ""
}

// missingReason tells why a member without a usable entry breaks its group, or returns "" while the member may still work. An
// unlisted member that answers probes keeps working, as it has only lost its connection to the store. This doesn't hold for the
// head: requests are only sent to a listed head.
func (s *step) missingReason(m *member, rank int) string {
	if _, unresponsive := s.unresponsive[m.incarnation]; unresponsive || s.Replicas[m.incarnation.ID] != nil {
		return fmt.Sprintf("member %d (%s) does not respond or has restarted", rank, m.incarnation.ID)
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

// missingMayReturn tells whether the group has unusable members and all of them answer probes, so that they may be listed again soon.
func (s *step) missingMayReturn(g *group) bool {
	missing := false
	for i := range g.members {
		m := &g.members[i]
		if s.usableReplica(m.incarnation) != nil {
			continue
		}
		if _, answers := s.probeAnswers[m.incarnation]; !answers || s.Now.Sub(m.missingSince) > returnTimeout {
			return false
		}
		missing = true
	}
	return missing
}

// allReady tells whether all members report the group's epoch as ready, in entries that aren't outdated.
func (s *step) allReady(g *group) bool {
	for _, m := range g.members {
		r := s.usableReplica(m.incarnation)
		if r == nil || r.Group == nil || r.Group.Name != g.name || r.Group.Epoch != g.epoch || !s.stateKnown(r) {
			return false
		}
		if r.Group.State != fleet.GroupReady {
			return false
		}
	}
	return true
}

// joinMembers orders members that don't report the group yet to join it. If the group had a head in an older epoch that stays,
// the head joins first: no member may be taken from a group whose head still serves. Where that isn't known, a member leaves its own
// group before it joins, and waits until the engine must have broken that group unless its head counts as lost.
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
		if keepsHead := i == 0 && g.headFirst && s.headedBefore(g, r); !keepsHead && s.mustLeave(r) {
			if s.boundToHead(r) {
				continue // The head has been ordered to leave, or will be.
			}
			if s.orderMemberToLeave(r) {
				m.joinAttempts++
			}
			continue
		} else if !keepsHead && s.awaitsBreak(r) {
			continue
		}
		if m.joinSentAt == 0 || s.Now.Sub(m.joinSentAt) > reportTimeout && !m.joinAccepted {
			m.joinSentAt = s.Now
			m.joinAttempts++
			if !s.BeforeFirstRequest && !s.joinsWithoutLoad(r, g.model) {
				s.loadStarts = append(s.loadStarts, s.Now)
			}
			if i == 0 {
				s.mayServeFromNowOn(g)
			}
			s.addOrder(r, Join, g, "a member of the group")
		}
		if i == 0 && g.headFirst && !m.joinAccepted {
			return
		}
	}
}

// mayServeFromNowOn forgets that the head of a group is known not to serve the planned epoch, as it is ordered to join or open it.
func (s *step) mayServeFromNowOn(g *group) {
	g.headReleased = false
	delete(s.ended, groupKey{g.name, g.epoch})
}

// headedBefore reports whether a replica is the head of the epoch of the group that it reports. One that a repair made the head may still
// be a member of an epoch whose own head serves.
func (s *step) headedBefore(g *group, r *fleet.Replica) bool {
	return r.Group != nil && r.Group.Name == g.name && r.Group.Rank == 0
}

// repair replaces lost, draining and slow members by spares of the fabric domain that have staged the weights, under a new
// epoch. It dissolves the group if there are too few spares, and waits if lost members may return or states aren't known.
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
	s.sortLimitedLast(remaining)
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
	if !headStays {
		s.giveUp(g)
	}
	members := append(remaining, spares[:max(missing, 0)]...)[:model.Size]
	if !headStays {
		s.sortLimitedLast(members)
	}
	g.members = g.members[:0]
	for _, r := range members {
		g.members = append(g.members, member{incarnation: r.Incarnation(), lastEntry: r})
		s.used[r.ID] = true
	}
	s.startEpoch(g, headStays)
	g.headFirst = headStays
	s.joinMembers(g)
	for i := range s.orders {
		if o := &s.orders[i]; o.Group == g.name && o.Epoch == g.epoch {
			o.Reason = reason
		}
	}
}

// withoutSlow returns the replicas that aren't slow.
func (s *step) withoutSlow(list []*fleet.Replica) []*fleet.Replica {
	return slices.DeleteFunc(slices.Clone(list), func(r *fleet.Replica) bool { return s.isSlow(r.Incarnation()) })
}

// releaseMembers tells whether the members of a group may be planned in another group or epoch. A head that may still serve this epoch or
// an earlier one is ordered to leave first, unless it is silent. An entry that may be outdated doesn't show that it has ended. If it doesn't
// answer, the members are released once it counts as lost. Since it may serve all the same, joinMembers then lets each member leave before
// it joins.
func (s *step) releaseMembers(g *group, reason string) bool {
	head := s.Replicas[g.members[0].incarnation.ID]
	failures, unresponsive := s.unresponsive[g.members[0].incarnation]
	if head != nil && unresponsive && failures.count < minHeadProbeFailures {
		return false // A single probe fails too easily to give up a group that may work.
	}
	if head != nil && !unresponsive {
		if serves := g.mayBeServedBy(head); !serves && s.stateKnown(head) {
			if !s.mayJoinLate(g) {
				s.headEnded(g.name, g.epoch, showing(head))
			}
			s.headEnded(g.name, g.formerEpoch, showing(head))
			g.headReleased = true
			return true
		} else if serves {
			g.head = head
		}
	}
	if g.formerEpoch == 0 && g.headReleased {
		return true
	}
	if g.formerEpoch == 0 && !g.wasOpen && g.openSentAt == 0 {
		s.headEnded(g.name, g.epoch, "it was never ordered to open")
		return true
	}
	if unresponsive && s.hasEnded(g.members[0].incarnation) {
		s.headEnded(g.name, g.epoch, "its process has ended")
		s.headEnded(g.name, g.formerEpoch, "its process has ended")
		g.headReleased = true
		return true
	}
	_, refused := s.refusals[g.members[0].incarnation]
	switch missing := head == nil || unresponsive || refused; {
	case !missing:
		g.headMissingSince = 0
	case g.headMissingSince == 0:
		g.headMissingSince = s.Now
		if unresponsive {
			g.headMissingSince = failures.first
		}
	}
	if g.head == nil {
		// The head of an adopted group whose entry was never listed can't be sent an order. It may be listed soon.
		return s.Now.Sub(g.adoptedAt) > headReturnTimeout
	}
	if g.headMissingSince != 0 && s.headLost(g) {
		return true
	}
	if unresponsive {
		return false // The first order to which a head answers after a silence would end what runs there; a probe doesn't.
	}
	if g.leaveSentAt == 0 || s.Now.Sub(g.leaveSentAt) > reportTimeout {
		g.leaveSentAt = s.Now
		s.addOrderForEpoch(g.head, Leave, g, cmp.Or(g.formerEpoch, g.epoch), reason)
	}
	return false
}

// mayBeServedBy reports whether the entry of the group's head allows that it serves the planned epoch or the former one.
func (g *group) mayBeServedBy(head *fleet.Replica) bool {
	return head.Incarnation() == g.members[0].incarnation && head.Group != nil && head.Group.Name == g.name &&
		(head.Group.Epoch == g.epoch || head.Group.Epoch == g.formerEpoch) && head.Group.State != fleet.GroupBroken
}

// sortLimitedLast moves replicas that limit their rate of requests to the end of the members of a group that gets a new head: as the
// head, one would limit the whole group.
func (s *step) sortLimitedLast(members []*fleet.Replica) {
	limited := func(r *fleet.Replica) int {
		if s.isLimited(r) {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(members, func(a, b *fleet.Replica) int { return limited(a) - limited(b) })
}

// isLimited reports whether the replica is known to limit its rate of requests.
func (s *step) isLimited(r *fleet.Replica) bool { return s.Limited != nil && s.Limited(r) }

// giveUp records that an epoch of a group isn't planned any more, and what is known of its members.
func (s *step) giveUp(g *group) {
	key := groupKey{g.name, g.epoch}
	if g.headReleased {
		s.formerHeads[key] = formerHead{sentAt: s.Now, left: true}
	}
	d := dissolution{at: s.Now, headUnheard: g.headMissingSince != 0 && !g.headReleased, head: g.members[0].incarnation,
		headEntry: g.head, fabric: g.fabric, model: g.model, members: slices.Clone(g.members), returnedAt: map[fleet.Incarnation]clock.Time{}}
	for _, m := range g.members[1:] {
		if s.usableReplica(m.incarnation) == nil {
			d.returnedAt[m.incarnation] = 0
		}
	}
	if g.headReleased {
		d.headLost = true
	} else if g.head == nil {
		d.headLost = !s.restoredRecords && len(d.returnedAt) > 0 // The group lacks other members too.
	} else {
		d.headLost = g.headMissingSince != 0 && s.headLost(g)
	}
	s.noteGroup("an epoch of a group is given up", g, s.releaseCause(g, d))
	s.dissolved[key] = d
	if g.formerEpoch != 0 {
		s.dissolved[groupKey{g.name, g.formerEpoch}] = d
	}
	s.changed(g.fabric)
}

// awaitsHead reports whether a replica of a group that was given up must wait for its head: both were unreachable, so they were
// possibly cut off together, and the replica has just returned.
func (s *step) awaitsHead(r *fleet.Replica) bool {
	key := groupKey{r.Group.Name, r.Group.Epoch}
	d := s.dissolved[key]
	returnedAt, lost := d.returnedAt[r.Incarnation()]
	timeout := headReturnTimeout
	if d.showsServing(key, s.Replicas) {
		timeout = listedHeadTimeout
	}
	return d.headUnheard && lost && !s.formerHeads[key].left && (returnedAt == 0 || s.Now.Sub(returnedAt) < timeout)
}

// boundToHead reports whether the head of a group that isn't planned, and that the replica reports, is known to serve it, or may still return.
func (s *step) boundToHead(r *fleet.Replica) bool {
	return s.served[groupKey{r.Group.Name, r.Group.Epoch}] || s.awaitsHead(r)
}

// noteReturns records the members of groups that were given up which are usable again. If their head doesn't return soon after, it is
// ordered to leave: it may serve without an entry.
func (s *step) noteReturns() {
	for key, d := range s.dissolved {
		for incarnation, at := range d.returnedAt {
			if at == 0 && s.usableReplica(incarnation) != nil {
				at = s.Now
				d.returnedAt[incarnation] = at
			}
			if r := s.Replicas[incarnation.ID]; at != 0 && (d.restored || s.Now.Sub(at) >= headLeaveAfter) && key.reportedBy(r, incarnation) && s.awaitsHead(r) && s.Replicas[d.head.ID] == nil {
				s.orderFormerHead(key, d.headEntry)
			}
		}
	}
}

// orderFormerHead orders the head of a group that isn't planned to leave it, unless it has just been ordered to.
func (s *step) orderFormerHead(key groupKey, head *fleet.Replica) {
	if h, ordered := s.formerHeads[key]; head == nil || h.left || ordered && s.Now.Sub(h.sentAt) <= reportTimeout {
		return
	}
	s.formerHeads[key] = formerHead{sentAt: s.Now}
	s.orders = append(s.orders, Order{To: head, Action: Leave, Group: key.name, Epoch: key.epoch, Reason: "it serves, or may serve, a group that is no longer planned"})
}

// dissolve removes a group from the plan as soon as its members are released.
func (s *step) dissolve(g *group, reason string) {
	g.dissolveReason = reason
	if !s.releaseMembers(g, reason) {
		return
	}
	s.giveUp(g)
	delete(s.groups, g.name)
	for _, m := range g.members {
		delete(s.used, m.incarnation.ID)
	}
}

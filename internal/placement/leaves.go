package placement

import (
	"strings"

	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/internal/fleet"
)

// membership is one start of a replica in one epoch of a group.
type membership struct {
	group  groupKey
	member fleet.Incarnation
}

// memberLeave records an order to a member to leave a group whose head isn't known to have ended. It counts for reportTimeout, within
// which the member's entry must show its effect.
type memberLeave struct {
	at       clock.Time // When it was sent or, later, answered.
	answered bool
}

// departure records that a member has answered an order to leave a group whose head may have served it. Such a head waits for its member
// until the engine breaks the group.
type departure struct {
	group groupKey
	at    clock.Time
	// unanswered is set until the member's entry shows that it has left on an order that wasn't answered.
	unanswered bool
}

// headEnded records by what the head of an epoch of a group is known not to serve it, so that its members may be joined to others at once.
func (p *Plan) headEnded(name string, epoch int64, cause string) {
	if epoch == 0 {
		return
	}
	key := groupKey{name, epoch}
	if _, known := p.ended[key]; !known {
		p.addEvent(Event{Message: "the head of an epoch is known not to serve", Group: name, Epoch: epoch, Cause: cause})
	}
	p.ended[key] = p.now
	if d, dissolved := p.dissolved[key]; dissolved {
		p.changed(d.fabric)
	}
}

// mayJoinLate reports whether the head of an adopted group may join the planned epoch later, although it isn't in it now: it isn't known to
// have been, so that an order of an earlier planner may still be carried out. Such an epoch hasn't ended for good: another planner may find it
// complete, unless its members leave it.
func (p *Plan) mayJoinLate(g *group) bool {
	head := g.members[0]
	r := p.entries[head.incarnation.ID]
	movedOn := r != nil && (r.StartedUnixMs > head.incarnation.StartedUnixMs || r.Group != nil && r.Group.Epoch > g.epoch)
	return g.wasOpen && !head.joinAccepted && !movedOn
}

// headJoined records that the head of a group has joined the planned epoch, and so left the former one.
func (p *Plan) headJoined(g *group) {
	p.headEnded(g.name, g.formerEpoch, "it has joined a later epoch")
	g.formerEpoch = 0
}

// mustLeave reports whether a replica must leave the group that it reports before it joins another one, since the head of that group may
// still serve it.
func (p *Plan) mustLeave(r *fleet.Replica) bool {
	if r.Group == nil || strings.HasPrefix(r.Group.Name, StandbyPrefix) {
		return false
	}
	key := groupKey{r.Group.Name, r.Group.Epoch}
	_, ended := p.ended[key]
	return !ended && !p.memberLeaves[membership{key, r.Incarnation()}].answered
}

// headMayServe reports whether the head of an epoch that isn't planned may still serve it.
func (s *step) headMayServe(key groupKey) bool {
	_, ended := s.ended[key]
	return !ended && (s.served[key] || !s.dissolved[key].headLost)
}

// awaitsBreak reports whether a replica has left a group whose head may still wait for it, so that it mustn't join another one yet.
func (s *step) awaitsBreak(r *fleet.Replica) bool {
	d, left := s.departures[r.Incarnation()]
	return left && s.headMayServe(d.group) && s.Now.Sub(d.at) <= s.StallAfter+stallMargin
}

// joinsLate reports whether a free replica can't join a group at once: it has to leave one whose head may serve, or has just left it.
func (s *step) joinsLate(r *fleet.Replica) bool {
	return s.awaitsBreak(r) || s.mustLeave(r) && r.Group.Rank > 0 && s.headMayServe(groupKey{r.Group.Name, r.Group.Epoch})
}

// orderMemberToLeave orders a member to leave the group that it reports, unless it was ordered to just before. It reports whether the
// order is sent.
func (s *step) orderMemberToLeave(r *fleet.Replica) bool {
	key := groupKey{r.Group.Name, r.Group.Epoch}
	if _, ordered := s.memberLeaves[membership{key, r.Incarnation()}]; ordered {
		return false
	}
	s.memberLeaves[membership{key, r.Incarnation()}] = memberLeave{at: s.Now}
	s.orders = append(s.orders, Order{To: r, Action: Leave, Group: key.name, Epoch: key.epoch,
		Reason: "it is needed in another group, and the head of its own may still serve"})
	return true
}

// recordLeave records the outcome of an order to leave a group.
func (p *Plan) recordLeave(o Order, outcome Outcome) {
	key, to := groupKey{o.Group, o.Epoch}, o.To.Incarnation()
	m := membership{key, to}
	if outcome == ConnectionRefused && !p.leftAsPlanned(o.To) {
		if !p.worksWithoutListening(m) {
			p.refusals[to] = p.now
		}
		outcome = Unknown
	}
	if _, ordered := p.memberLeaves[m]; ordered && outcome == Unknown {
		delete(p.memberLeaves, m)
	} else if ordered {
		p.memberLeaves[m] = memberLeave{at: p.now, answered: true}
	}
	leftByMember := key.reportedBy(o.To, to) && o.To.Group.Rank > 0
	if outcome == Unknown {
		if leftByMember {
			p.departures[to] = departure{key, p.now, true}
		}
		return
	}
	if leftByMember {
		p.memberLeft(m, outcome)
		return
	}
	if g := p.groups[o.Group]; g == nil || o.Epoch != g.epoch || !p.mayJoinLate(g) {
		p.headEnded(o.Group, o.Epoch, "its order to leave was "+outcome.String())
	}
	if h, former := p.formerHeads[key]; former {
		h.left = true
		p.formerHeads[key] = h
	}
	switch g := p.groups[o.Group]; {
	case g == nil:
	case o.Epoch == g.formerEpoch:
		g.formerEpoch, g.leaveSentAt = 0, 0
	case o.Epoch == g.epoch:
		g.headReleased = true
	}
}

// memberLeft records that a member has left a group whose head isn't known to have ended. One that refuses the order may have left it just
// before.
func (p *Plan) memberLeft(m membership, outcome Outcome) {
	if d, known := p.departures[m.member]; known && d.group == m.group && outcome != Accepted {
		return
	}
	p.departures[m.member] = departure{m.group, p.now, false}
}

// leftAsPlanned reports whether a replica that refuses connections drained before its entry was removed, as it does when it ends.
func (p *Plan) leftAsPlanned(last *fleet.Replica) bool {
	return last.Draining && p.entries[last.ID] == nil
}

// worksWithoutListening reports whether a head may work on what runs in its group although nothing listens at its address, because it drains.
// One whose entry was removed has ended.
func (p *Plan) worksWithoutListening(m membership) bool {
	r := p.entries[m.member.ID]
	return m.group.reportedBy(r, m.member) && r.Draining && servesGroup(r)
}

// expireLeaves removes records of heads and members that are too old to be used.
func (s *step) expireLeaves() {
	for key, at := range s.ended {
		if s.Now.Sub(at) > dissolvedRetention {
			delete(s.ended, key)
		}
	}
	for m, l := range s.memberLeaves {
		if s.Now.Sub(l.at) > reportTimeout {
			delete(s.memberLeaves, m)
		}
	}
	for incarnation, d := range s.departures {
		if d.unanswered {
			s.noteDeparture(incarnation, d)
		} else if s.Now.Sub(d.at) > s.StallAfter+stallMargin {
			delete(s.departures, incarnation)
		}
	}
}

// noteDeparture looks for the effect of an order to leave that wasn't answered, which may be carried out late.
func (s *step) noteDeparture(incarnation fleet.Incarnation, d departure) {
	r := s.Replicas[incarnation.ID]
	switch {
	case s.Now.Sub(d.at) > dissolvedRetention, r != nil && r.Incarnation() != incarnation:
		delete(s.departures, incarnation)
	case r != nil && r.Group == nil:
		s.departures[incarnation] = departure{d.group, s.Now, false}
	case r != nil && !d.group.reportedBy(r, incarnation):
		delete(s.departures, incarnation) // It has joined another group since.
	}
}

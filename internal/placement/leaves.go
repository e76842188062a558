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

// headEnded records that the head of an epoch of a group is known not to serve it, so that its members may be joined to others at once.
func (p *Plan) headEnded(name string, epoch int64) {
	if epoch != 0 {
		p.ended[groupKey{name, epoch}] = p.now
	}
}

// headJoined records that the head of a group has joined the planned epoch, and so left the former one.
func (p *Plan) headJoined(g *group) {
	p.headEnded(g.name, g.formerEpoch)
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
	if outcome == ConnectionRefused && p.worksWithoutListening(m) {
		outcome = Unknown
	}
	if _, ordered := p.memberLeaves[m]; ordered && outcome == Unknown {
		delete(p.memberLeaves, m)
	} else if ordered {
		p.memberLeaves[m] = memberLeave{at: p.now, answered: true}
	}
	if outcome == Unknown || key.reportedBy(o.To, to) && o.To.Group.Rank > 0 {
		return
	}
	p.headEnded(o.Group, o.Epoch)
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
}

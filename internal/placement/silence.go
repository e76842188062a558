package placement

import (
	"time"

	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/internal/fleet"
)

// Activity is what all nodes know of the requests at a head.
type Activity struct {
	Running   int        // Requests that were sent to the head and haven't ended.
	Begun     int        // Those of them from which an event was received.
	LastEvent clock.Time // When a node last received an event from the head; 0 if that isn't known.
	// Unknown is set while no other node reports, although there are others: the planner may be cut off from them and from replicas.
	Unknown bool
}

// activity returns what the nodes know of the requests at the head of a group.
func (s *step) activity(g *group) Activity {
	switch {
	case g.head != nil && s.HeadActivity != nil:
		return s.HeadActivity(g.head)
	case g.head == nil && s.GroupActivity != nil:
		return s.GroupActivity(g.name, g.epoch)
	}
	return Activity{}
}

// silentFor returns for how long a group has sent no event although it had to, or 0 if that isn't known. Requests that wait for
// their first event say nothing about the time before doubtSince, when a member was first missing or didn't answer.
func (s *step) silentFor(a Activity, doubtSince clock.Time) time.Duration {
	since := a.LastEvent
	if a.Begun == 0 && a.Running > 0 {
		since = max(since, doubtSince)
	}
	if since == 0 {
		return 0
	}
	return s.Now.Sub(since)
}

// forgetOutdatedFailures drops failed probes of members that a later event of the group has disproved: a group that has lost a member
// sends no more events, so only this node can't reach the member.
func (s *step) forgetOutdatedFailures(g *group) {
	for _, m := range g.members {
		failures, unresponsive := s.unresponsive[m.incarnation]
		if unresponsive && g.wasOpen && s.activity(g).LastEvent > failures.newest {
			delete(s.unresponsive, m.incarnation)
		}
	}
}

// mayOnlyBeSilent reports whether a member that isn't listed or doesn't answer must be waited for: requests run in the group, the member
// isn't known to have ended, and the group hasn't been silent for longer than a sound replica may be. Orders to repair the group
// would end these requests. Once they have ended or gone on at other targets, the group is repaired at once.
func (s *step) mayOnlyBeSilent(g *group, m *member) bool {
	failures, unresponsive := s.unresponsive[m.incarnation]
	doubtSince := m.missingSince
	if unresponsive {
		doubtSince = failures.first
	}
	if !g.wasOpen || s.hasEnded(m.incarnation) || s.restarted(m.incarnation) {
		return false
	}
	a := s.activity(g)
	if s.refuses(m.incarnation, a) {
		return false
	}
	if a.Unknown {
		return s.Now.Sub(doubtSince) <= s.StallAfter+stallMargin
	}
	return a.Running > 0 && s.silentFor(a, doubtSince) <= maxSoundSilence
}

// hasEnded reports whether a probe has shown that this start of a replica has ended. A draining replica may still work on what runs in its
// group.
func (s *step) hasEnded(incarnation fleet.Incarnation) bool {
	r := s.Replicas[incarnation.ID]
	return s.unresponsive[incarnation].ended && (r == nil || !r.Draining)
}

// refuses reports whether connections to a replica have lately been refused and no event of its group speaks against its end. This doesn't show
// that it has ended: its members have to leave before they join another group. A draining replica may refuse connections and still work, unless
// it is a head whose entry shows that it doesn't serve.
func (s *step) refuses(incarnation fleet.Incarnation, a Activity) bool {
	at, refused := s.refusals[incarnation]
	if r := s.Replicas[incarnation.ID]; r != nil && r.Draining && (r.Group == nil || r.Group.Rank > 0 || r.Group.Serves()) {
		return false
	}
	return refused && !a.Unknown && (a.LastEvent == 0 || at.Sub(a.LastEvent) >= refusalSilence)
}

// restarted reports whether another start of the replica is listed. An entry that may be outdated can be that of an earlier start.
func (s *step) restarted(incarnation fleet.Incarnation) bool {
	r := s.Replicas[incarnation.ID]
	return r != nil && r.StartedUnixMs != incarnation.StartedUnixMs && s.stateKnown(r)
}

// headLost reports whether the head of a group, which is missing or doesn't answer, counts as lost: the engine must have broken the
// group by now, or no node has received an event from the head for long enough. A head that isn't listed but answers probes is sound, and
// may send no events because nothing runs there.
func (s *step) headLost(g *group) bool {
	if s.answersProbes(g.members[0].incarnation) {
		return false
	}
	missingFor, a := s.Now.Sub(g.headMissingSince), s.activity(g)
	if s.refuses(g.members[0].incarnation, a) {
		return true
	}
	if !a.Unknown && a.LastEvent != 0 && s.Now.Sub(a.LastEvent) <= idleHeadSilence {
		return false // Only this node can't reach it.
	}
	if missingFor > s.StallAfter+stallMargin {
		return true
	}
	limit := idleHeadSilence
	if a.Running > 0 {
		limit = maxSoundSilence
	}
	return missingFor > minHeadSilence && !a.Unknown && a.LastEvent != 0 && s.silentFor(a, g.headMissingSince) > limit
}

// StillWants reports whether an order that has waited since it was planned, for an earlier one to the same replica, should still be sent. An
// order to leave isn't if the head of the group has answered since, one to join isn't if the head of the replica's own group serves again, and
// no order is that concerns a group which has been planned under a later epoch or given up.
func (p *Plan) StillWants(o Order) bool {
	key := groupKey{o.Group, o.Epoch}
	if _, ordered := p.memberLeaves[membership{key, o.To.Incarnation()}]; ordered && o.Action == Leave {
		return true
	}
	if _, dissolved := p.dissolved[key]; dissolved {
		return o.Action == Leave
	}
	g := p.groups[o.Group]
	switch {
	case g == nil || o.Action == Stage:
		return true
	case o.Action == Leave:
		return g.epoch != o.Epoch && g.formerEpoch != o.Epoch || g.leaveSentAt != 0
	}
	return g.epoch == o.Epoch && (o.Action != Join || !p.headMayServeAgain(o))
}

// headMayServeAgain reports whether the replica that an order to join is for is still in a group whose head isn't known to have ended any more.
// The head that a group had in an earlier epoch leaves that by joining the later one.
func (p *Plan) headMayServeAgain(o Order) bool {
	r := p.entries[o.To.ID]
	if r == nil || r.Incarnation() != o.To.Incarnation() || r.Group == nil || r.Group.Name == o.Group && (r.Group.Epoch == o.Epoch || r.Group.Rank == 0) {
		return false
	}
	return p.mustLeave(r)
}

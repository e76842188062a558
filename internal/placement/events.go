package placement

import (
	"fmt"
	"time"

	"cassiadeal.example/cassiadeal/internal/fleet"
)

// maxEvents bounds the events that are kept until they are taken.
const maxEvents = 1000

// Event is a decision of the plan to be logged: what it knew when it adopted a group, gave one up, or released its members.
type Event struct {
	Message string
	Group   string
	Epoch   int64
	Head    string // ID of the head; empty if it isn't known.
	Cause   string
	// Unknown is the number of members that aren't known.
	Unknown int
	// HeadListed tells whether the head has an entry.
	HeadListed bool
	Activity   Activity
}

// TakeEvents returns the events since the last call.
func (p *Plan) TakeEvents() []Event {
	list := p.events
	p.events = nil
	return list
}

func (p *Plan) addEvent(e Event) {
	if len(p.events) < maxEvents {
		p.events = append(p.events, e)
	}
}

// noteGroup adds an event that concerns a planned group.
func (s *step) noteGroup(message string, g *group, cause string) {
	e := Event{Message: message, Group: g.name, Epoch: g.epoch, Head: g.members[0].incarnation.ID, Cause: cause, Activity: s.activity(g)}
	_, e.HeadListed = s.Replicas[e.Head]
	for _, m := range g.members {
		if m.incarnation.ID == "" {
			e.Unknown++
		}
	}
	s.addEvent(e)
}

// showing describes what the entry of a head shows, as the cause of a decision.
func showing(head *fleet.Replica) string {
	if head.Group == nil {
		return "its entry shows no group"
	}
	return fmt.Sprintf("its entry shows %s/%d as %s", head.Group.Name, head.Group.Epoch, head.Group.State)
}

// releaseCause describes why the members of a group that is given up may be used elsewhere.
func (s *step) releaseCause(g *group, d dissolution) string {
	switch {
	case g.headReleased:
		return "the head doesn't serve"
	case g.head == nil:
		return "the head was never known"
	case d.headLost:
		return fmt.Sprintf("the head counts as lost, missing for %v", s.Now.Sub(g.headMissingSince).Round(time.Millisecond))
	}
	return "members leave first, and wait until the head must have broken the group"
}

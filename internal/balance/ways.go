package balance

import (
	"time"

	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/internal/fleet"
)

// Way is how requests of this node get to a target.
type Way struct {
	Key     Key
	Replica *fleet.Replica
	Through string // The node through which the connections lead; empty for direct ones.
}

// Connected records that a connection for the request to the replica has opened, through the given node or, if that is empty, directly.
func (k *Ticket) Connected(replica *fleet.Replica, through string) {
	k.table.mu.Lock()
	defer k.table.mu.Unlock()
	k.replica, k.through, k.connectedAt = replica, through, k.table.clock.Now()
}

// Stranded reports whether the way to the target on which the request was sent is lost; see Strand.
func (k *Ticket) Stranded() bool {
	k.table.mu.Lock()
	defer k.table.mu.Unlock()
	return k.stranded
}

// silentWay collects what is known of the requests on one way.
type silentWay struct {
	Way
	first   clock.Time // When the first connection of those that are open has opened.
	running int
	waiting int
}

// SilentWays returns the ways on which this node has requests that have sent no event for as long as makes Sweep suspect a target. Those of
// one target may differ: one way may be lost while events come on another.
func (t *Table) SilentWays(gap func(Key, Load) time.Duration) []Way {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	var silent []Way
	for k, s := range t.targets {
		for _, w := range s.waysLocked(k) {
			limit := t.stallLimitLocked(k, s, w.running == w.waiting, gap, now)
			if now.Sub(max(w.first, s.wayEvents[w.Through], t.resumedAt)) > limit {
				silent = append(silent, w.Way)
			}
		}
	}
	return silent
}

// waysLocked returns the ways on which requests run that aren't stranded.
func (s *targetState) waysLocked(k Key) map[string]*silentWay {
	ways := map[string]*silentWay{}
	for ticket := range s.tickets {
		if ticket.connectedAt == 0 || ticket.stranded {
			continue
		}
		w := ways[ticket.through]
		if w == nil {
			w = &silentWay{Way: Way{k, ticket.replica, ticket.through}, first: ticket.connectedAt}
			ways[ticket.through] = w
		}
		w.first = min(w.first, ticket.connectedAt)
		w.running++
		if !ticket.started {
			w.waiting++
		}
	}
	return ways
}

// Strand records that a way is lost, though the target isn't: its silent requests are out of the load until an event comes after all, and the
// silence of the others counts from now. A suspicion that is due to silence ends. It returns the number of these requests.
func (t *Table) Strand(w Way) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, now, stranded := t.targets[w.Key], t.clock.Now(), 0
	if s == nil || now.Sub(max(s.wayEvents[w.Through], t.resumedAt)) < minStallSilence {
		return 0 // Events have come again.
	}
	for ticket := range s.tickets {
		if ticket.connectedAt != 0 && ticket.through == w.Through && !ticket.stranded {
			ticket.stranded = true
			ticket.setAsideLocked(s)
			stranded++
		}
	}
	if stranded > 0 {
		s.lastActivity = now
		if !s.suspicionTold {
			s.suspectUntil = 0
		}
	}
	return stranded
}

// ConfirmSuspicion lets the suspicion of a target, if there is one, be reported to the other nodes: no lost way was found that explains its
// silence.
func (t *Table) ConfirmSuspicion(k Key) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.targets[k]; s != nil {
		s.suspicionHeld = false
	}
}

package balance

import (
	"time"

	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/internal/fleet"
)

// coldLimitReachedLocked tells whether this node's share of a cold replica's request rate is used up.
func (t *Table) coldLimitReachedLocked(r *fleet.Replica, q Query, now clock.Time) bool {
	until, cold := q.View.ColdUntil[r.ID]
	if !cold || now >= until || q.Service.ColdPerSecond <= 0 {
		return false
	}
	return float64(len(t.recentColdSendsLocked(r.ID, now)))+1 > q.Service.ColdPerSecond*q.ColdShare
}

func (t *Table) recentColdSendsLocked(id string, now clock.Time) []clock.Time {
	sends := t.coldSends[id]
	for len(sends) > 0 && now.Sub(sends[0]) > time.Second {
		sends = sends[1:]
	}
	if len(sends) == 0 {
		delete(t.coldSends, id)
		return nil
	}
	t.coldSends[id] = sends
	return sends
}

// CountColdSend counts a send towards the rate limit of the replica if it is cold.
func (t *Table) CountColdSend(r *fleet.Replica, v *fleet.View) {
	if _, cold := v.ColdUntil[r.ID]; !cold {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	t.coldSends[r.ID] = append(t.recentColdSendsLocked(r.ID, now), now)
}

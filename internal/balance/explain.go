package balance

import (
	"cmp"
	"slices"
	"time"

	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/internal/fleet"
)

// Considered is a head of the model of a query.
type Considered struct {
	Selection
	Cost    time.Duration // Predicted time to the first event, plus penalties.
	LeftOut string        // Why the head can't be chosen; empty if it can.
}

// Consider returns the heads among which PickHead chooses, the cheapest one first, and then those that are left out.
func (t *Table) Consider(q Query) []Considered {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	var list []Considered
	anyRoom := false
	for _, r := range q.View.ByService[q.Service.Name] {
		if !r.Head() || r.Models[0] != q.Model.Name {
			continue
		}
		k := KeyOf(r)
		c := t.candidateLocked(r, k, q, now)
		considered := Considered{*c.head, c.cost, t.leftOutLocked(r, k, q, now)}
		if considered.LeftOut == "" && c.memoryFull {
			considered.LeftOut = leftOutMemory
		}
		anyRoom = anyRoom || considered.LeftOut == ""
		list = append(list, considered)
	}
	if !anyRoom { // See withRoom.
		for i := range list {
			if list[i].LeftOut == leftOutMemory {
				list[i].LeftOut = ""
			}
		}
	}
	slices.SortFunc(list, func(a, b Considered) int {
		if (a.LeftOut == "") != (b.LeftOut == "") {
			return cmp.Compare(len(a.LeftOut), len(b.LeftOut))
		}
		return cmp.Compare(a.Cost, b.Cost)
	})
	return list
}

const leftOutMemory = "its memory would be exceeded"

// leftOutLocked returns why the head can't take the request of the query, or "".
func (t *Table) leftOutLocked(r *fleet.Replica, k Key, q Query, now clock.Time) string {
	s := t.targets[k]
	switch {
	case q.Exclude[k]:
		return "asked before"
	case q.refuses(r):
		return "it has stated that it takes none"
	case !q.Suspected && t.suspectedLocked(k, now):
		return "suspected of having stalled"
	case t.coldLimitReachedLocked(r, q, now):
		return "cold"
	case s != nil && now < s.fullUntil:
		return "it has refused a request as full"
	}
	return ""
}

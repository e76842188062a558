package fleet

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against urgencies that don't follow the priorities, that leave 0 to 9, or that are sent where no priorities differ.
func TestUrgency(t *testing.T) {
	for _, test := range []struct {
		priorities []int
		want       map[int]int
	}{
		{[]int{0, 1, 2}, map[int]int{-1: 2, 0: 3, 1: 5, 2: 7, 3: 8}},
		{[]int{1, 2}, map[int]int{0: 3, 1: 4, 2: 6, 9: 7}},
		{[]int{0, 10}, map[int]int{0: 4, 5: 5, 10: 6}},
		{[]int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11}, map[int]int{0: 1, 11: 9, 99: 9, -1: 1}},
	} {
		for priority, want := range test.want {
			got, differs := Urgency(test.priorities, priority)
			qt.Check(t, differs, qt.IsTrue)
			qt.Check(t, got, qt.Equals, want, qt.Commentf("priority %d of %v", priority, test.priorities))
		}
	}
	for _, same := range [][]int{nil, {1}} {
		_, differs := Urgency(same, 1)
		qt.Check(t, differs, qt.IsFalse)
	}
}

// Guards against priorities of routes to other services, and against a route's priority in place of the account's.
func TestPrioritiesOfAService(t *testing.T) {
	c := qt.New(t)
	to := func(service string) []Backend { return []Backend{{Service: service, Weight: 1}} }
	cfg := &Config{Routes: []Route{{Priority: 2, Backends: to("models")}, {Priority: 0, Backends: to("models")}, {Priority: 2, Backends: to("models")},
		{Priority: 1, Backends: to("plain")}}}
	cfg.Index()
	c.Check(cfg.Priorities("models"), qt.DeepEquals, []int{0, 2})
	c.Check(cfg.Priorities("plain"), qt.DeepEquals, []int{1})
	c.Check(EffectivePriority(&cfg.Routes[0], Tenant{Priority: 0}), qt.Equals, 2)
	c.Check(EffectivePriority(&cfg.Routes[0], Tenant{Priority: 0, HasPriority: true}), qt.Equals, 0)
}

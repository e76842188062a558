package fleet

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// Pattern: a node reads the store through a mirror that has just stopped, while a replica leaves. Guards against requests to that replica for as
// long as the node looks for another source: nodes that read the store themselves tell of it.
func TestDeparturesAreKnownToNodesWithoutSource(t *testing.T) {
	ready := func(r *Registry) int { return len(r.View().ByService[checkIn(1, 1, nil).Service]) }
	for _, test := range []struct {
		name  string
		leave func(r *Registry)
		back  *Replica // A later check-in of the same start.
	}{
		{"drains", func(r *Registry) { r.write(checkIn(1, 7, draining)) }, checkIn(1, 8, nil)},
		{"removed", func(r *Registry) { r.Apply([]Change{{ID: "a"}}) }, checkIn(1, 9, nil)},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := quicktest.New(t)
			first, now := newOrdered(checkIn(1, 5, nil))
			second, _ := newOrdered(checkIn(1, 5, nil))
			test.leave(first)
			told := first.RecentDepartures(time.Second)
			second.MarkDeparting(told)
			c.Check(ready(second), quicktest.Equals, 0)
			c.Check(second.TakeDepartures().Draining, quicktest.DeepEquals, []string{"a"})

			second.Replace([]*Replica{checkIn(1, 5, nil)}) // A mirror that doesn't know of it yet.
			c.Check(ready(second), quicktest.Equals, 0)
			second.write(test.back)
			c.Check(ready(second), quicktest.Equals, 1)
			second.MarkDeparting(told)
			c.Check(ready(second), quicktest.Equals, 1)

			now.Advance(2 * time.Second)
			c.Check(first.RecentDepartures(time.Second), quicktest.HasLen, 0)
		})
	}
}

// Guards against a replica that isn't used since an earlier start of it has left.
func TestDepartureConcernsOneStart(t *testing.T) {
	c := quicktest.New(t)
	r, _ := newOrdered(checkIn(2, 1, nil))
	r.MarkDeparting([]Departure{{ID: "a", StartedUnixMs: 1, Sequence: 9}, {ID: "unknown", StartedUnixMs: 1, Sequence: 9}})
	c.Check(r.View().Replicas["a"].Draining, quicktest.IsFalse)
}

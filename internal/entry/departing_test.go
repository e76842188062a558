package entry

import (
	"testing"

	"github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/fleet"
)

// Guards against departures that the nodes which read the store itself don't tell, or that the others don't use: a node without a mirror then
// sends requests to a replica that has said that it leaves.
func TestNodesTellOfDepartures(t *testing.T) {
	c := quicktest.New(t)
	entry := func(sequence int64, draining bool) *fleet.Replica {
		return &fleet.Replica{ID: "i-1", Service: "desk", Address: "127.0.0.1:1", Zone: "z", StartedUnixMs: 7, Sequence: sequence, Draining: draining}
	}
	reader, other := newNode(c, testSettings), newNode(c, testSettings)
	for _, n := range []*Node{reader, other} {
		n.registry.Replace([]*fleet.Replica{entry(1, false)})
	}
	reader.registry.Apply([]fleet.Change{{ID: "i-1", Replica: entry(2, true)}})
	told := reader.localGossip()
	c.Assert(told.Departing, quicktest.HasLen, 1)
	other.applyPeerGossip(told)
	c.Check(other.registry.View().ByService["desk"], quicktest.HasLen, 0)
	c.Check(other.departing(), quicktest.HasLen, 0, quicktest.Commentf("what was learnt from a node isn't told again"))
}

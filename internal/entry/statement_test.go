package entry

import (
	"testing"

	"github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/fleet"
	"cassiadeal.example/cassiadeal/internal/statement"
)

// Guards against a node that sends to a replica which has told another node that it is leaving, also if the node has just started
// and only a third one can tell it.
func TestNodesTellEachOtherWhoLeaves(t *testing.T) {
	c := quicktest.New(t)
	a, b, started := newNode(c, testSettings), newNode(c, testSettings), newNode(c, testSettings)
	leaving := &fleet.Replica{ID: "i-1", Service: "s", Zone: "z", Address: "h:1", StartedUnixMs: 7}
	started.registry.Replace([]*fleet.Replica{leaving, {ID: "i-2", Service: "s", Zone: "z", Address: "h:2", StartedUnixMs: 7}})
	a.statements.Record(leaving.Incarnation().Target(), statement.Statement{Leaving: true})
	b.applyPeerGossip(a.localGossip())
	started.applyPeerGossip(b.localGossip())
	c.Assert(started.registry.View().ByService["s"], quicktest.HasLen, 1)
	next := *leaving
	next.StartedUnixMs = 8
	started.registry.Apply([]fleet.Change{{ID: "i-1", Replica: &next}})
	c.Assert(started.registry.View().ByService["s"], quicktest.HasLen, 2)
}

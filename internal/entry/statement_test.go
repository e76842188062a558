package entry

import (
	"testing"
	"time"

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

// Guards against a node that keeps the entries of replicas that have left for longer than others, because the store answers it later after
// an outage.
func TestNodesTellEachOtherThatTheStoreAnswers(t *testing.T) {
	c := quicktest.New(t)
	answered, cutOff := newNode(c, testSettings), newNode(c, testSettings)
	left := &fleet.Replica{ID: "i-1", Service: "s", Zone: "z", Address: "h:1", StartedUnixMs: 7}
	cutOff.registry.Replace([]*fleet.Replica{left})
	cutOff.recordStoreFailure()
	for end := time.Now().Add(fleet.ReturnGrace + 100*time.Millisecond); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		answered.recordStoreAnswer(true)
		cutOff.applyPeerGossip(answered.localGossip())
	}
	cutOff.recordStoreAnswer(true)
	cutOff.registry.Replace(nil)
	c.Assert(cutOff.registry.View().Replicas["i-1"], quicktest.IsNil)
}

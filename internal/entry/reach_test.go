package entry

import (
	"testing"

	"github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/fleet"
	"cassiadeal.example/cassiadeal/internal/gossip"
	"cassiadeal.example/cassiadeal/internal/reach"
	"cassiadeal.example/cassiadeal/internal/schema"
)

// Guards against requests that reach a leaving, evacuated or unknown replica, or another address, by way of another node.
func TestTunnelsLeadOnlyToReplicasThatTakeRequests(t *testing.T) {
	c := quicktest.New(t)
	n := newNode(c, testSettings)
	n.registry.Replace([]*fleet.Replica{
		{ID: "ready", Address: "a:1", Zone: "z", StartedUnixMs: 1}, {ID: "draining", Address: "a:2", Zone: "z", StartedUnixMs: 1, Draining: true},
		{ID: "evacuated", Address: "a:3", Zone: "out", StartedUnixMs: 1},
	})
	n.registry.SetEvacuated(map[string]bool{"out": true})
	for _, test := range []struct {
		id, address       string
		started           int64
		requests, control bool
	}{
		{"ready", "a:1", 1, true, true}, {"draining", "a:2", 1, false, true}, {"evacuated", "a:3", 1, false, true},
		{"ready", "a:1", 2, false, false}, {"ready", "a:9", 1, false, false}, {"unknown", "a:1", 1, false, false},
	} {
		to := reach.Target{Incarnation: fleet.Incarnation{ID: test.id, StartedUnixMs: test.started}, Address: test.address}
		c.Check(n.mayBeReached(to, false), quicktest.Equals, test.requests, quicktest.Commentf("%v", test))
		c.Check(n.mayBeReached(to, true), quicktest.Equals, test.control, quicktest.Commentf("%v", test))
	}
}

// Guards against requests that leave their region, and against nodes that are asked for tunnels while they stop.
func TestTunnelPeers(t *testing.T) {
	c := quicktest.New(t)
	n := newNode(c, testSettings)
	n.settings.Regions = map[string]string{"z": "north", "y": "north", "x": "south"}
	var alive []gossip.Peer
	for _, p := range []*schema.NodeGossip{
		{Node: "near", Zone: "z", TunnelAddress: "near:1"}, {Node: "far", Zone: "y", TunnelAddress: "far:1", PathsLost: true},
		{Node: "abroad", Zone: "x", TunnelAddress: "abroad:1"}, {Node: "stops", Zone: "z", TunnelAddress: "stops:1", Draining: true},
		{Node: "old", Zone: "z"},
	} {
		alive = append(alive, gossip.Peer{NodeGossip: p})
	}
	c.Check(n.tunnelPeers(alive), quicktest.DeepEquals, []reach.Peer{{Name: "near", Address: "near:1", Near: true}, {Name: "far", Address: "far:1", PathsLost: true}})
}

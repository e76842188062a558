package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/balance"
	"cassiadeal.example/cassiadeal/internal/gossip"
	"cassiadeal.example/cassiadeal/internal/schema"
)

// Load: failure domains of 61 to 330 nodes. Guards against nodes that don't get the loads of other failure domains, or get them twice, and against
// a weak node that sends them to many.
func TestLoadsReachAllNodesOfALargeFailureDomain(t *testing.T) {
	c := quicktest.New(t)
	for _, shape := range []struct{ strong, weak int }{{2, 98}, {0, 100}, {1, 60}, {100, 0}, {5, 325}, {0, 61}} {
		var order []zoneNode
		for i := range shape.strong + shape.weak {
			capacity := 134
			if i < shape.strong {
				capacity = 800
			}
			order = append(order, zoneNode{fmt.Sprintf("n%03d", i), fmt.Sprintf("a%03d", i), capacity})
		}
		reached := map[string]int{}
		for _, node := range order {
			receivers := receiversOf(node.name, order)
			for _, r := range receivers {
				reached[r.name]++
			}
			c.Check(len(receivers) <= receiverCount(node, order[len(order)-1].capacity), quicktest.IsTrue, quicktest.Commentf("%v %s: %d", shape, node.name, len(receivers)))
			if node.capacity == 134 {
				c.Check(len(receivers) <= weakestReceivers, quicktest.IsTrue)
			}
		}
		c.Check(reached, quicktest.HasLen, len(order)-1, quicktest.Commentf("%v", shape))
		for name, times := range reached {
			c.Check(times, quicktest.Equals, 1, quicktest.Commentf("%v %s", shape, name))
		}
		t.Logf("%d strong and %d weak nodes: the relay sends to %d", shape.strong, shape.weak, len(receiversOf(order[0].name, order)))
	}
}

// Guards against a node that hands on nothing, hands on what is too old, or counts the loads of its own failure domain twice, and against
// a change in failure domains of up to 60 nodes.
func TestLoadsAreHandedOn(t *testing.T) {
	c := quicktest.New(t)
	n := newNode(c, testSettings)
	alive := zoneOf(99, 0)
	for i := range alive {
		alive[i].PeerAddress = fmt.Sprintf("10.0.0.%d:1", i)
	}
	for i := range 10 {
		alive = append(alive, gossip.Peer{NodeGossip: &schema.NodeGossip{Node: fmt.Sprintf("y%d", i), Zone: "far", PeerAddress: fmt.Sprintf("10.9.0.%d:1", i)}})
	}
	c.Assert(n.isRelay(alive), quicktest.IsTrue) // It precedes all others by name.
	receivers := n.loadReceivers(alive)
	c.Check(receivers["10.9.0.0:1"], quicktest.Equals, relayInterval)
	c.Check(receivers["10.0.0.0:1"], quicktest.Equals, loadInterval)
	c.Check(receivers, quicktest.HasLen, 1+weakestReceivers)
	c.Check(n.frequentPeers(alive), quicktest.IsNil)

	// As a node that hands on.
	n.settings.Node = "x000a"
	c.Check(n.isRelay(alive), quicktest.IsFalse)
	c.Check(len(n.loadReceivers(alive)), quicktest.Equals, weakestReceivers)
	loads := []*schema.TargetLoad{{Target: "head", Running: 4, HeardMs: 40}}
	n.applyPeerGossip(&schema.NodeGossip{Node: "x000", Zone: "z", ZoneLoads: []*schema.ZoneLoads{{Zone: "far", AgeMs: 300, Loads: loads}, {Zone: "z", Loads: loads}}})
	list := n.handedOnLoads(alive)
	c.Assert(list, quicktest.HasLen, 1)
	c.Check(list[0].Zone, quicktest.Equals, "far")
	c.Check(list[0].AgeMs >= 300, quicktest.IsTrue)
	c.Check(n.table.Load(balance.Key("head")).Running, quicktest.Equals, 4)
	n.applyPeerGossip(&schema.NodeGossip{Node: "x000", Zone: "z", ZoneLoads: []*schema.ZoneLoads{{Zone: "old", AgeMs: uint32(maxHandedOnAge / time.Millisecond), Loads: loads}}})
	c.Check(n.handedOnLoads(alive), quicktest.HasLen, 1)

	n.settings.Node = "x099" // The last one hands on nothing.
	c.Check(n.loadReceivers(alive), quicktest.HasLen, 0)
	c.Check(n.handedOnLoads(alive), quicktest.IsNil)
	n.settings.Node = "n"
	small := append(zoneOf(singleMirrorNodes-1, 0), manyPeers()[:relayMinNodes]...)
	for i := range small[singleMirrorNodes-1:] {
		small[singleMirrorNodes-1+i].Zone = "far"
	}
	c.Check(n.loadReceivers(small), quicktest.IsNil)
	c.Check(len(n.frequentPeers(small)) > 0, quicktest.IsTrue)

	// More loads than fit into one datagram.
	many := make([]*schema.TargetLoad, maxRelayedTargets+1)
	for i := range many {
		many[i] = &schema.TargetLoad{Target: fmt.Sprint("head-", i), Running: 1}
	}
	n.applyPeerGossip(&schema.NodeGossip{Node: "y0", Zone: "far", PeerAddress: "10.9.0.0:1", ZoneLoads: []*schema.ZoneLoads{{Zone: "far", Loads: many}}})
	c.Check(n.loadReceivers(small), quicktest.Not(quicktest.IsNil))
	n.updateLoadReceivers(small)
	c.Check(n.loadsHandedOn.Load(), quicktest.IsTrue)
}

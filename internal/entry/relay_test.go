package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/balance"
	"cassiadeal.example/cassiadeal/internal/gossip"
	"cassiadeal.example/cassiadeal/internal/schema"
	"cassiadeal.example/cassiadeal/internal/telemetry"
	"cassiadeal.example/cassiadeal/platform"
)

// newNode returns a node with the settings, whose gossip address is bound.
func newNode(c *quicktest.C, settings string) *Node {
	s, err := platform.ParseSettings([]byte(settings))
	c.Assert(err, quicktest.IsNil)
	log, err := telemetry.NewLogger(discard{}, s.Node, "error")
	c.Assert(err, quicktest.IsNil)
	n, err := New(s, log)
	c.Assert(err, quicktest.IsNil)
	return n
}

// manyPeers returns live nodes of the failure domains z, to which the test node n belongs, and far.
func manyPeers() (alive []gossip.Peer) {
	for i := range relayMinNodes {
		zone := []string{"z", "far"}[i%2]
		alive = append(alive, gossip.Peer{NodeGossip: &schema.NodeGossip{Node: fmt.Sprintf("x%02d", i), Zone: zone, PeerAddress: fmt.Sprintf("10.0.0.%d:1", i)}})
	}
	return alive
}

// Pattern: many nodes, whose own reports of loads reach other failure domains seconds late. Guards against sums that are counted
// twice, replaced by older ones, or taken from a node that doesn't know them.
func TestLoadsOfOtherFailureDomainsComeFromTheirRelays(t *testing.T) {
	c := quicktest.New(t)
	n := newNode(c, testSettings)
	loads := func(running uint32) []*schema.TargetLoad {
		return []*schema.TargetLoad{{Target: "head", Running: running, HeardMs: 40}}
	}
	sums := func(zone string, running, ageMs uint32) []*schema.ZoneLoads {
		return []*schema.ZoneLoads{{Zone: zone, AgeMs: ageMs, Loads: loads(running)}}
	}
	for i, step := range []struct {
		message *schema.NodeGossip
		want    int
	}{
		{&schema.NodeGossip{Node: "f1", Zone: "far", Loads: loads(2)}, 2},
		{&schema.NodeGossip{Node: "relay", Zone: "far", PeerAddress: "10.0.0.9:1", ZoneLoads: sums("far", 7, 0)}, 9},
		{&schema.NodeGossip{Node: "f1", Zone: "far", Loads: loads(3)}, 7},               // Now in the sums only.
		{&schema.NodeGossip{Node: "own", Zone: "z", Loads: loads(1)}, 8},                // Nodes of the own failure domain count by themselves.
		{&schema.NodeGossip{Node: "own", Zone: "z", ZoneLoads: sums("far", 4, 500)}, 7}, // Older sums; the node has no more load.
		{&schema.NodeGossip{Node: "other", Zone: "third", ZoneLoads: sums("far", 50, 0)}, 7},
		{&schema.NodeGossip{Node: "relay", Zone: "far", ZoneLoads: sums("z", 50, 0)}, 7},
		{&schema.NodeGossip{Node: "own", Zone: "z", ZoneLoads: sums("far", 5, 0)}, 5},
	} {
		n.applyPeerGossip(step.message)
		c.Assert(n.table.Load("head").Running, quicktest.Equals, step.want, quicktest.Commentf("step %d", i))
		time.Sleep(2 * time.Millisecond)
	}
	heard := n.table.Activity("head").LastEvent
	c.Check(heard != 0 && n.clock.Now().Sub(heard) < time.Second, quicktest.IsTrue)
	sum := n.table.SumOf([]string{"own"})
	c.Check(sum.Loads, quicktest.DeepEquals, map[balance.Key]balance.Load{}) // Without the loads of other failure domains.
}

// Guards against a failure domain with no relay or several, and against datagrams to a relay that has stopped.
func TestRelayOfAFailureDomain(t *testing.T) {
	c := quicktest.New(t)
	n, alive := newNode(c, testSettings), manyPeers()
	c.Check(n.isRelay(alive), quicktest.IsTrue) // n precedes all others by name.
	c.Check(n.isRelay(alive[:relayMinNodes-1]), quicktest.IsFalse)
	addresses := n.frequentPeers(alive)
	c.Check(len(addresses), quicktest.Equals, relayMinNodes/2+1)
	c.Check(addresses["10.0.0.1:1"], quicktest.IsTrue) // The first of the other failure domain.
	n.applyPeerGossip(&schema.NodeGossip{Node: "x03", Zone: "far", PeerAddress: "10.0.0.3:1", ZoneLoads: []*schema.ZoneLoads{{Zone: "far"}}})
	c.Check(n.relayAddress(alive, "far"), quicktest.Equals, "10.0.0.3:1")
	alive[0].Capacity = 800
	c.Check(n.isRelay(alive), quicktest.IsFalse)
	c.Check(n.frequentPeers(alive), quicktest.IsNil)
	alive[0].Draining = true
	c.Check(n.isRelay(alive), quicktest.IsTrue)
}

// Guards against a target that has never sent an event, and that counts as heard just now at the nodes to which this is reported.
func TestLoadsTellOfTargetsThatWereNeverHeard(t *testing.T) {
	c := quicktest.New(t)
	loads := map[balance.Key]balance.Load{"heard": {Running: 2, Waiting: 1}, "never": {Running: 1, Waiting: 1}}
	list := encodeLoads(loads, map[balance.Key]time.Duration{"heard": 40 * time.Millisecond})
	for _, l := range list {
		l.HeardMs += 300 // Of a relay.
	}
	decoded, ages := decodeLoads(list)
	c.Check(decoded, quicktest.DeepEquals, loads)
	c.Check(ages, quicktest.DeepEquals, map[balance.Key]time.Duration{"heard": 340 * time.Millisecond})
}

// Guards against tokens that are lost between nodes, and against a node of the previous version whose requests count as finished.
func TestLoadsTellOfTheTokensLeft(t *testing.T) {
	c := quicktest.New(t)
	loads := map[balance.Key]balance.Load{"new": {Running: 2, Waiting: 1, Measured: 2, RemainingTokens: 300, HeldTokens: 2900}, "old": {Running: 3}}
	decoded, _ := decodeLoads(encodeLoads(loads, nil))
	c.Check(decoded, quicktest.DeepEquals, loads)
	decoded, _ = decodeLoads([]*schema.TargetLoad{{Target: "old", Running: 3, Waiting: 1, UnreadTokens: 700, HeardMs: 10}})
	c.Check(decoded["old"], quicktest.Equals, balance.Load{Running: 3, Waiting: 1, UnreadTokens: 700})
}

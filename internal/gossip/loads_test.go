package gossip

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/internal/schema"
)

// loadsOf returns the loads of a number of heads, as a relay sends them.
func loadsOf(zone string, heads int) []*schema.TargetLoad {
	var list []*schema.TargetLoad
	for i := range heads {
		list = append(list, &schema.TargetLoad{Target: fmt.Sprintf("engine-%s-%04d@1796590012345/g429496%05d/429496%05d", zone, i, i, i), Running: 17, Waiting: 3,
			UnreadTokens: 20_000, HeardMs: 140})
	}
	return list
}

func decode(c *quicktest.C, data []byte) *schema.NodeGossip {
	c.Assert(len(data) <= maxDatagram, quicktest.IsTrue, quicktest.Commentf("%d bytes", len(data)))
	msg := &schema.NodeGossip{}
	c.Assert(proto.Unmarshal(data, msg), quicktest.IsNil)
	return msg
}

// Load: 470 heads in each of three failure domains, all in use, and 3,000 observations of a planner without the store. Guards against nodes
// that count as gone because their message is larger than a datagram may be, so that none was sent.
func TestLargeMessagesAreSentInParts(t *testing.T) {
	c := quicktest.New(t)
	msg := &schema.NodeGossip{Node: "relay", Ready: true, Loads: loadsOf("a", 100)}
	for _, zone := range []string{"a", "b", "c"} {
		msg.ZoneLoads = append(msg.ZoneLoads, &schema.ZoneLoads{Zone: zone, Loads: loadsOf(zone, 470)})
	}
	list, err := datagrams(msg)
	c.Assert(err, quicktest.IsNil)
	c.Assert(list, quicktest.HasLen, 3)
	for i, data := range list {
		part := decode(c, data)
		c.Check(part.Loads, quicktest.HasLen, 100)
		c.Assert(part.ZoneLoads, quicktest.HasLen, 1)
		c.Check(part.ZoneLoads[0].Zone, quicktest.Equals, msg.ZoneLoads[i].Zone)
		c.Check(part.ZoneLoads[0].Loads, quicktest.HasLen, 470)
	}
	t.Logf("%d bytes for each failure domain", len(list[0]))

	msg.ZoneLoads = nil
	for i := range 3000 {
		msg.Observed = append(msg.Observed, &schema.ObservedReplica{Id: fmt.Sprintf("engine-%04d", i), Born: 1796590012345, Group: "g42949600001", State: "ready"})
	}
	list, err = datagrams(msg)
	c.Assert(err, quicktest.IsNil)
	c.Assert(list, quicktest.HasLen, 1)
	part := decode(c, list[0])
	c.Check(part.Loads, quicktest.HasLen, 100)
	c.Check(len(part.Observed) >= 500, quicktest.IsTrue, quicktest.Commentf("%d", len(part.Observed)))
	c.Check(msg.Observed, quicktest.HasLen, 3000)

	msg.Observed = msg.Observed[:10]
	list, err = datagrams(msg)
	c.Assert(err, quicktest.IsNil)
	c.Assert(list, quicktest.HasLen, 1)
	c.Check(decode(c, list[0]).Observed, quicktest.HasLen, 10)
}

// Guards against the loads of failure domains in each datagram to each node of a large failure domain, and in none.
func TestLoadsGoToTheirReceiversOnly(t *testing.T) {
	c := quicktest.New(t)
	manual := clock.NewManual(time.Hour)
	m := &Mesh{opt: Options{Zone: "z", Clock: manual}, peers: map[string]Peer{}, destinations: map[string]*destination{}}
	for _, p := range []*schema.NodeGossip{{Node: "n", Zone: "z", PeerAddress: "near"}, {Node: "m", Zone: "z", PeerAddress: "other"}, {Node: "f", Zone: "far", PeerAddress: "relay"}} {
		m.accept(p)
	}
	everyone := []string{"near", "other", "relay"}
	all, _, _, _ := m.byContent(everyone)
	c.Check(all, quicktest.DeepEquals, everyone)
	m.SetLoadReceivers(map[string]time.Duration{"near": 600 * time.Millisecond, "relay": 200 * time.Millisecond})
	all, others, own, none := m.byContent(everyone)
	c.Check(all, quicktest.HasLen, 0)
	c.Check(others, quicktest.DeepEquals, []string{"near"})
	c.Check(own, quicktest.DeepEquals, []string{"relay"})
	c.Check(none, quicktest.DeepEquals, []string{"other"})
	manual.Advance(200 * time.Millisecond)
	_, others, own, none = m.byContent(everyone)
	c.Check(others, quicktest.HasLen, 0)
	c.Check(own, quicktest.DeepEquals, []string{"relay"})
	c.Check(none, quicktest.DeepEquals, []string{"near", "other"})
	manual.Advance(400 * time.Millisecond)
	c.Check(m.dueAddresses(), quicktest.Contains, "near")

	msg := &schema.NodeGossip{Node: "x", ZoneLoads: []*schema.ZoneLoads{{Zone: "z"}, {Zone: "far"}}}
	bare := withZoneLoads(msg, func(string) bool { return false })
	c.Check(bare.ZoneLoads, quicktest.HasLen, 0)
	c.Check(bare.Node, quicktest.Equals, "x")
	c.Check(withZoneLoads(msg, func(zone string) bool { return zone == "far" }).ZoneLoads, quicktest.HasLen, 1)
	c.Check(msg.ZoneLoads, quicktest.HasLen, 2)
}

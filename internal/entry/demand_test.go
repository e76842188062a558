package entry

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/internal/demand"
	"cassiadeal.example/cassiadeal/internal/schema"
)

// Guards against a node without requests that counts as one of an earlier version, and the other way round: needs follow demand only
// while most nodes report.
func TestDemandIsReportedWithoutRequests(t *testing.T) {
	c := quicktest.New(t)
	n := &Node{demand: demand.New(clock.NewManual(time.Hour))}
	n.applyDemand(&schema.NodeGossip{Node: "earlier-version"})
	c.Check(n.demand.Reporting(), quicktest.Equals, 0)
	n.applyDemand(&schema.NodeGossip{Node: "idle", Demand: encodeDemand(nil)})
	c.Check(n.demand.Reporting(), quicktest.Equals, 1)
	c.Check(n.demand.Total(), quicktest.HasLen, 0)
	work := map[demand.Class]demand.Work{{Model: "large", Priority: 1}: {Requests: 2.125, ReadTokens: 3100, WriteTokens: 430}}
	n.applyDemand(&schema.NodeGossip{Node: "busy", Demand: encodeDemand(work)})
	c.Check(n.demand.Total(), quicktest.DeepEquals, work)
}

// Guards against the setting that can't be put into effect, and against reports that aren't in the datagrams.
func TestNodeFollowsAndReportsDemand(t *testing.T) {
	c := quicktest.New(t)
	n := newNode(c, testSettings)
	c.Assert(n.FollowDemand(), quicktest.IsNil)
	class := demand.Class{Model: "small"}
	n.demand.Offer(class, 700, 200)
	msg := n.localGossip()
	c.Assert(msg.Demand, quicktest.HasLen, 1)
	c.Check(msg.Demand[0].Model, quicktest.Equals, "small")
	c.Check(msg.Demand[0].ReadTokens > 0, quicktest.IsTrue)
}

// Guards against reports that take more of the datagrams than the design note states, at the size that the system is designed for: 19 requests a
// second at a node, of three kinds.
func TestDemandTakesFewBytes(t *testing.T) {
	c := quicktest.New(t)
	work := map[demand.Class]demand.Work{
		{Model: "large", Priority: 1}: {Requests: 1.2, ReadTokens: 1750, WriteTokens: 210},
		{Model: "large", Priority: 2}: {Requests: 0.8, ReadTokens: 1600, WriteTokens: 17},
		{Model: "small", Priority: 0}: {Requests: 17, ReadTokens: 12_100, WriteTokens: 3570}}
	size := proto.Size(&schema.NodeGossip{Demand: encodeDemand(work)})
	c.Check(size <= 70, quicktest.IsTrue, quicktest.Commentf("%d bytes", size))
	t.Logf("%d bytes", size)
}

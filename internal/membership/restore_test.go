package membership

import (
	"maps"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a running process that ends because a restore of the store has brought back the record of an earlier process.
func TestRestoredRecordOfAnEarlierProcessReplacesNone(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(3)
	cl.run(4*time.Second, cl.names...)
	copied, version := maps.Clone(cl.store.objects), cl.store.version
	n := cl.addNode("n0", "2", nil)
	cl.run(5*time.Second, cl.names...)
	cl.store.restore(copied, version)
	for range 8 {
		cl.run(DefaultRenew, cl.names...)
		c.Assert(n.replacedBy(), qt.Equals, "")
		c.Assert(n.Right().Serve, qt.IsTrue)
		c.Assert(cl.nodes["n1"].LeaseEnded("n0", "2"), qt.IsFalse)
	}
	c.Assert(n.Right().PlatformLease, qt.IsTrue)
	next := cl.addNode("n0", "3", nil)
	cl.run(2*time.Second, cl.names...)
	n.renewalCycle(t.Context()) // Its write conflicts.
	n.renewalCycle(t.Context())
	c.Assert(n.replacedBy(), qt.Equals, "3")
	c.Assert(next.replacedBy(), qt.Equals, "")
}

// Guards against a majority of the few nodes that the copy lists, beside another majority of the nodes of before.
func TestMajorityCountsTheNodesFromBeforeARestore(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(3)
	cl.run(4*time.Second, cl.names...)
	copied, version := maps.Clone(cl.store.objects), cl.store.version
	for _, name := range []string{"n3", "n4", "n5", "n6"} {
		cl.addNode(name, "1", nil)
	}
	cl.run(5*time.Second, cl.names...)
	cl.store.restore(copied, version)
	n := cl.nodes["n0"]
	n.renewalCycle(t.Context())
	n.renewalCycle(t.Context())
	c.Assert(n.majoritySize(), qt.Equals, 4)
	c.Assert(n.info("n6").Record.GetName(), qt.Equals, "n6")
	c.Assert(n.info("n6").LeaseLapsed, qt.IsFalse)
	cl.run(6*time.Second, cl.names[:6]...)
	c.Assert(n.majoritySize(), qt.Equals, 4)
	c.Assert(n.info("n6").Record.GetName(), qt.Equals, "")
	c.Assert(n.info("n5").Record.GetName(), qt.Equals, "n5")
}

package node

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against large requests beyond this node's share of another node's room, against one that is refused though none is under way, and
// against a share that isn't given back.
func TestLargeForwardedRequestsKeepToTheirShare(t *testing.T) {
	c := qt.New(t)
	var load forwardedLoad
	const size, share = 1000, 2500
	c.Check(load.take("a", size, share), qt.IsTrue)
	c.Check(load.take("a", size, share), qt.IsTrue)
	c.Check(load.take("a", size, share), qt.IsFalse)
	c.Check(load.take("b", size, share), qt.IsTrue)
	load.release("a", size)
	c.Check(load.take("a", size, share), qt.IsTrue)
	load.release("b", size)
	c.Check(load.take("b", 10*share, share), qt.IsTrue)
	c.Check(load.take("b", 1, share), qt.IsFalse)
	load.release("b", 10*share)
	load.release("a", size)
	load.release("a", size)
	c.Check(load.byNode, qt.HasLen, 0)
}

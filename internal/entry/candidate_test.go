package entry

import (
	"testing"

	"github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/gossip"
	"cassiadeal.example/cassiadeal/internal/schema"
)

// Guards against a planner that lacks its own paths to replicas while another node has them, against waiting for nodes that don't become the
// planner, and against having no planner where all nodes lack paths.
func TestNodeWithoutPathsLeavesPlanningToOthers(t *testing.T) {
	c := quicktest.New(t)
	n := newNode(c, testSettings) // Named n.
	node := func(name string, change func(*schema.NodeGossip)) gossip.Peer {
		p := &schema.NodeGossip{Node: name, Ready: true, Capacity: uint32(n.settings.Capacity)}
		if change != nil {
			change(p)
		}
		return gossip.Peer{NodeGossip: p}
	}
	lost := func(p *schema.NodeGossip) { p.PathsLost = true }
	draining := func(p *schema.NodeGossip) { p.Draining = true }
	notReady := func(p *schema.NodeGossip) { p.Ready = false }
	for _, test := range []struct {
		name      string
		alive     []gossip.Peer
		pathsLost bool
		rank      int
		yields    bool
	}{
		{"alone", nil, true, 0, false},
		{"another node has its paths", []gossip.Peer{node("x", nil)}, true, 0, true},
		{"it precedes this one", []gossip.Peer{node("a", nil)}, true, 1, true},
		{"all nodes lack paths", []gossip.Peer{node("a", lost), node("x", lost)}, true, 1, false},
		{"the others stop or aren't ready", []gossip.Peer{node("a", draining), node("x", notReady)}, true, 0, false},
		{"this node has its paths", []gossip.Peer{node("a", nil), node("x", nil)}, false, 1, false},
		{"the node before this one lacks paths", []gossip.Peer{node("a", lost), node("b", nil)}, false, 1, false},
	} {
		rank, yields := n.plannerRank(test.alive, test.pathsLost)
		c.Check(rank, quicktest.Equals, test.rank, quicktest.Commentf(test.name))
		c.Check(yields, quicktest.Equals, test.yields, quicktest.Commentf(test.name))
	}
}

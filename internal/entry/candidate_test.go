package entry

import (
	"context"
	"net"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/internal/fleet"
	"cassiadeal.example/cassiadeal/internal/gossip"
	"cassiadeal.example/cassiadeal/internal/reach"
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

// Guards against a system without a planner: nodes that lack their own paths to replicas leave planning to others, which the store refuses.
func TestNodeWithoutPathsPlansIfNoOtherDoes(t *testing.T) {
	c := quicktest.New(t)
	n := newNode(c, testSettings)
	n.registry.SetConfig(&fleet.Config{Version: 1})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	defer listener.Close()
	server := httptest.NewServer((&reach.Server{Log: n.log, Allowed: func(reach.Target, bool) bool { return true }}).Handler())
	defer server.Close()
	peer := reach.Peer{Name: "x", Address: server.Listener.Addr().String()}
	n.paths, err = reach.New(reach.Options{Clock: n.clock, Log: n.log, Peers: func() []reach.Peer { return []reach.Peer{peer} },
		Direct: func(context.Context, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED }})
	c.Assert(err, quicktest.IsNil)
	lose := func() {
		for _, id := range []string{"a", "b", "c"} {
			to := reach.Target{Incarnation: fleet.Incarnation{ID: id, StartedUnixMs: 1}, Address: listener.Addr().String()}
			conn, err := n.paths.Dial(t.Context(), to, reach.Request{Timeout: time.Second, PeerDelay: time.Second, Lifetime: time.Second})
			c.Assert(err, quicktest.IsNil)
			conn.Close()
		}
		c.Assert(n.paths.MostLost(), quicktest.IsTrue)
	}
	other := &schema.NodeGossip{Node: "x", Zone: n.settings.Zone, Ready: true, Capacity: uint32(n.settings.Capacity)}
	alive := []gossip.Peer{{NodeGossip: other}}
	lose()
	n.plannerLastSeen = n.clock.Now()
	c.Check(n.mayPlan(alive), quicktest.IsFalse)
	n.plannerLastSeen = n.clock.Now() - clock.Time(maxPlannerDelay/2)
	c.Check(n.mayPlan(alive), quicktest.IsFalse)
	n.plannerLastSeen = n.clock.Now() - clock.Time(2*maxPlannerDelay)
	c.Check(n.mayPlan(alive), quicktest.IsTrue)
}

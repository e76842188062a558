package entry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

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

// Guards against a node that has just lost its paths, or doesn't know it yet, and confirms to another one that a replica has ended: its own
// connections are refused, or hang.
func TestNodeThatReachesNoReplicaConfirmsNothing(t *testing.T) {
	refuse := func(context.Context) error { return syscall.ECONNREFUSED }
	hang := func(ctx context.Context) error {
		<-ctx.Done()
		return ctx.Err()
	}
	for _, test := range []struct {
		name              string
		replicas          int
		target, others    func(context.Context) error // How connections fail; nil if they open.
		confirms, reached bool
	}{
		{"the target refuses", 3, refuse, nil, true, false},
		{"the target hangs", 3, hang, nil, true, false},
		{"all refuse", 3, refuse, refuse, false, false},
		{"all hang", 3, hang, hang, false, false},
		{"the only replica refuses", 1, refuse, nil, true, false},
		{"the target opens, the others hang", 3, nil, hang, false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := quicktest.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, quicktest.IsNil)
			defer listener.Close()
			n := newNode(c, testSettings)
			var list []*fleet.Replica
			for i := range test.replicas {
				list = append(list, &fleet.Replica{ID: fmt.Sprint("r", i), Address: fmt.Sprint("a:", i), Zone: "z", StartedUnixMs: 1})
			}
			n.registry.Replace(list)
			n.dialDirectly = func(ctx context.Context, address string) (net.Conn, error) {
				fails := test.others
				if address == list[0].Address {
					fails = test.target
				}
				if fails != nil {
					return nil, fails(ctx)
				}
				return net.Dial("tcp", listener.Addr().String())
			}
			server := httptest.NewServer(n.tunnels.Handler())
			defer server.Close()
			peer := reach.Peer{Name: "n", Address: server.Listener.Addr().String()}
			own, err := reach.New(reach.Options{Clock: n.clock, Log: n.log, Peers: func() []reach.Peer { return []reach.Peer{peer} },
				Direct: func(context.Context, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED }})
			c.Assert(err, quicktest.IsNil)
			conn, err := own.Dial(t.Context(), reach.TargetOf(list[0]), reach.Request{Timeout: 400 * time.Millisecond, PeerDelay: 40 * time.Millisecond,
				Lifetime: time.Second, Control: true})
			c.Assert(err == nil, quicktest.Equals, test.reached)
			if test.reached {
				conn.Close()
				return
			}
			c.Check(errors.Is(err, reach.ErrUnconfirmed), quicktest.Equals, !test.confirms, quicktest.Commentf("%v", err))
		})
	}
}

// Guards against connections to three sound replicas for each connection to a lost one that is asked for.
func TestPathsAreNotCheckedForEachTunnel(t *testing.T) {
	c := quicktest.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	defer listener.Close()
	n := newNode(c, testSettings)
	n.registry.Replace([]*fleet.Replica{{ID: "a", Address: "a:1", StartedUnixMs: 1}, {ID: "b", Address: "a:2", StartedUnixMs: 1}})
	var dials atomic.Int64
	n.dialDirectly = func(context.Context, string) (net.Conn, error) {
		dials.Add(1)
		return net.Dial("tcp", listener.Addr().String())
	}
	to := reach.Target{Incarnation: fleet.Incarnation{ID: "a", StartedUnixMs: 1}, Address: "a:1"}
	for range 5 {
		c.Check(n.reachesOther(t.Context(), to), quicktest.IsTrue)
	}
	c.Check(dials.Load(), quicktest.Equals, int64(1))
	time.Sleep(reachedMemory + 20*time.Millisecond)
	c.Check(n.reachesOther(t.Context(), to), quicktest.IsTrue)
	c.Check(dials.Load(), quicktest.Equals, int64(2))
}

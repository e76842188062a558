package node

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/membership"
	"cassiadeal.example/cassiadeal/internal/reach"
	"cassiadeal.example/cassiadeal/internal/schema"
)

// Guards against a node that connects to any address for whoever reaches its port.
func TestTunnelsLeadOnlyToVMsAndServices(t *testing.T) {
	s := startPathsSystem(t)
	n := s.nodes[1]
	for _, address := range s.targets() {
		qt.Check(t, n.mayBeReached(reach.Target{Address: address}, false), qt.IsTrue)
	}
	platform := strings.TrimPrefix(n.settings.Platform.URL, "http://")
	for _, address := range []string{"", platform, s.nodes[0].self.PeerAddress, s.nodes[0].OperatorAddress()} {
		qt.Check(t, n.mayBeReached(reach.Target{Address: address}, true), qt.IsFalse, qt.Commentf("%q", address))
	}
}

// Guards against tunnels through this node itself or one that shuts down or has ended, and against a node that takes its own word for a loss
// because it hears no other node.
func TestTunnelPeers(t *testing.T) {
	node := func(name, domain string, live, lapsed bool, state schema.NodeState) membership.NodeInfo {
		return membership.NodeInfo{Record: &schema.Node{Name: name, FailureDomain: domain, PeerAddress: name + ":1", State: state}, Live: live, LeaseLapsed: lapsed}
	}
	const serving, draining = schema.NodeState_NODE_STATE_SERVING, schema.NodeState_NODE_STATE_DRAINING
	self := node("self", "fd-a", true, false, serving)
	for name, test := range map[string]struct {
		nodes []membership.NodeInfo
		want  []reach.Peer
	}{
		"alone": {nil, nil},
		"live nodes, also without a lease": {
			[]membership.NodeInfo{
				node("near", "fd-a", true, false, serving), node("far", "fd-b", true, true, serving),
				node("stops", "fd-a", true, false, draining), node("silent", "fd-a", false, false, serving),
			},
			[]reach.Peer{{Name: "near", Address: "near:1", Near: true}, {Name: "far", Address: "far:1"}},
		},
		"none is heard": {
			[]membership.NodeInfo{node("silent", "fd-a", false, false, serving), node("ended", "fd-a", false, true, serving)},
			[]reach.Peer{{Name: "silent", Address: "silent:1", Near: true}},
		},
		"the only other one has ended": {[]membership.NodeInfo{node("ended", "fd-a", false, true, serving)}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			qt.Check(t, tunnelPeers(self.Record, append(test.nodes, self)), qt.DeepEquals, test.want)
		})
	}
}

// Guards against a node that reads its list of nodes for each connection, and against a list that is never read again.
func TestTunnelPeersAreReadOncePerInterval(t *testing.T) {
	c := qt.New(t)
	now, reads := time.Hour, 0
	list := &peerList{now: func() time.Duration { return now }, read: func() []reach.Peer {
		reads++
		return []reach.Peer{{Name: "b"}, {Name: "c"}}
	}}
	for range 10 {
		peers := list.get()
		c.Check(peers, qt.DeepEquals, []reach.Peer{{Name: "b"}, {Name: "c"}})
		peers[0].Name = "changed by the caller"
	}
	c.Check(reads, qt.Equals, 1)
	now += peerListAge
	list.get()
	c.Check(reads, qt.Equals, 2)
}

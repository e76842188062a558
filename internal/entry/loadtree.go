package entry

import (
	"cmp"
	"slices"
	"time"

	"cassiadeal.example/cassiadeal/internal/gossip"
	"cassiadeal.example/cassiadeal/internal/schema"
)

// In a failure domain with more than singleMirrorNodes nodes, or with more loads than maxRelayedTargets, the relay sends the loads of other
// failure domains to a few nodes, which hand them on to the others: with 100 nodes and 470 heads in each failure domain, the relay would send
// 38 KB for each of two others to each node every relayInterval, which is 38 MB/s.

const (
	// weakestReceivers is the number of nodes to which the weakest node hands loads on; others get as many more as they have more capacity.
	// At 76 KB every loadInterval that is 0.5 MB/s, a third of the slowest links.
	weakestReceivers = 4
	// loadInterval is the time between two datagrams with loads to the same node of the failure domain.
	loadInterval = 3 * relayInterval
	// maxRelayedTargets is the number of loads of other failure domains up to which the relay of a small failure domain sends them all in one
	// datagram. More don't fit into it.
	maxRelayedTargets = 700
	// maxHandedOnAge is the age of loads up to which they are handed on; balance counts them for 2 s.
	maxHandedOnAge = 2 * time.Second
)

// zoneNode is a node of this failure domain.
type zoneNode struct {
	name, address string
	capacity      int
}

// zoneOrder returns the nodes of this failure domain that don't drain, in the order of precedes.
func (n *Node) zoneOrder(alive []gossip.Peer) []zoneNode {
	var order []zoneNode
	if !n.draining.Load() {
		order = append(order, zoneNode{n.settings.Node, n.settings.Peer, n.settings.Capacity})
	}
	for _, p := range alive {
		if p.Zone == n.settings.Zone && !p.Draining {
			order = append(order, zoneNode{p.Node, p.PeerAddress, int(p.Capacity)})
		}
	}
	slices.SortFunc(order, func(a, b zoneNode) int {
		return cmp.Or(cmp.Compare(b.capacity, a.capacity), cmp.Compare(a.name, b.name))
	})
	return order
}

// loadReceivers returns the nodes that get the loads of failure domains from this one, and how often. It is nil in a small failure domain,
// where they are in all datagrams of the relay.
func (n *Node) loadReceivers(alive []gossip.Peer) map[string]time.Duration {
	order := n.zoneOrder(alive)
	if len(alive) < relayMinNodes || len(order) <= singleMirrorNodes && n.relayedTargets() <= maxRelayedTargets {
		return nil
	}
	receivers := map[string]time.Duration{}
	if len(order) == 0 {
		return receivers // This node drains, and is the last one.
	}
	for _, r := range receiversOf(n.settings.Node, order) {
		receivers[r.address] = loadInterval
	}
	if n.isRelay(alive) {
		asked := map[string]bool{n.settings.Zone: true}
		for _, p := range alive {
			if !asked[p.Zone] {
				asked[p.Zone] = true
				receivers[n.relayAddress(alive, p.Zone)] = relayInterval
			}
		}
	}
	delete(receivers, "")
	return receivers
}

// relayedTargets returns the number of loads of other failure domains.
func (n *Node) relayedTargets() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	targets := 0
	for _, s := range n.zoneSums {
		targets += len(s.loads)
	}
	return targets
}

// updateLoadReceivers tells the mesh to which nodes to send loads of failure domains.
func (n *Node) updateLoadReceivers(alive []gossip.Peer) {
	receivers := n.loadReceivers(alive)
	n.loadsHandedOn.Store(receivers != nil)
	n.mesh.SetLoadReceivers(receivers)
}

// receiversOf returns the nodes to which one node of the order hands on what it gets: the first sends to those that follow it in the order,
// the second to the next ones, and so on. All nodes compute the same from the same order; where they differ for a moment, some nodes get the
// loads twice or not at all.
func receiversOf(node string, order []zoneNode) []zoneNode {
	weakest, next := max(1, order[len(order)-1].capacity), 1
	for _, sender := range order {
		end := min(next+receiverCount(sender, weakest), len(order))
		if sender.name == node {
			return order[next:end]
		}
		next = end
	}
	return nil
}

func receiverCount(n zoneNode, weakest int) int {
	return weakestReceivers * max(1, n.capacity/weakest)
}

// handedOnLoads returns the loads of other failure domains that this node hands on without being the relay.
func (n *Node) handedOnLoads(alive []gossip.Peer) []*schema.ZoneLoads {
	if len(n.loadReceivers(alive)) == 0 {
		return nil
	}
	return n.knownZoneLoads(maxHandedOnAge)
}

package entry

import (
	"time"

	"cassiadeal.example/cassiadeal/internal/balance"
	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/internal/gossip"
	"cassiadeal.example/cassiadeal/internal/schema"
)

const (
	// relayMinNodes is the number of other nodes from which on one node of each failure domain relays loads. With fewer nodes, all
	// tell each other their loads at least once a second themselves (see gossip.Interval).
	relayMinNodes = 100
	// relayInterval is the time between two datagrams of a relay or the planner to the nodes that they keep up to date.
	relayInterval = 2 * gossip.Interval
	// relayTimeout is the time without sums from a relay after which its failure domain may have another one.
	relayTimeout = time.Second
	// plannerTimeout is the time without a datagram after which the planner counts as gone at nodes that get one from it every
	// relayInterval.
	plannerTimeout = 1500 * time.Millisecond
)

// zoneSum is the work of the nodes of another failure domain, as its relay has told it.
type zoneSum struct {
	loads      []*schema.TargetLoad
	formedAt   clock.Time // When the relay of that failure domain formed the sums.
	relay      string     // Peer address of that relay; empty if the sums came through the relay of this failure domain.
	receivedAt clock.Time
}

// firstOf returns the live node of a failure domain that precedes all others there, or false if there is none.
func (n *Node) firstOf(alive []gossip.Peer, zone string) (first gossip.Peer, found bool) {
	for _, p := range alive { // Sorted by name.
		if p.Zone == zone && !p.Draining && (!found || p.Capacity > first.Capacity) {
			first, found = p, true
		}
	}
	return first, found
}

// isRelay reports whether this node relays loads between its failure domain and the others.
func (n *Node) isRelay(alive []gossip.Peer) bool {
	if len(alive) < relayMinNodes || n.draining.Load() {
		return false
	}
	first, found := n.firstOf(alive, n.settings.Zone)
	return !found || !n.precedes(first)
}

// frequentPeers returns the addresses of the nodes that get a datagram every relayInterval: none, or for a relay and the planner
// the nodes of the own failure domain and the relays of the others.
func (n *Node) frequentPeers(alive []gossip.Peer) map[string]bool {
	if len(alive) < relayMinNodes || !n.planner.Active() && (!n.isRelay(alive) || n.loadReceivers(alive) != nil) {
		return nil
	}
	addresses, zones := map[string]bool{}, map[string]bool{}
	for _, p := range alive {
		if p.Zone == n.settings.Zone {
			addresses[p.PeerAddress] = true
		} else {
			zones[p.Zone] = true
		}
	}
	for zone := range zones {
		addresses[n.relayAddress(alive, zone)] = true
	}
	delete(addresses, "")
	return addresses
}

// relayAddress returns the peer address of the relay of another failure domain: the one that last sent its sums, or the first
// live node there. A relay that has stopped stays in the list of live nodes of other failure domains for long.
func (n *Node) relayAddress(alive []gossip.Peer, zone string) string {
	n.mu.Lock()
	sum, known := n.zoneSums[zone]
	n.mu.Unlock()
	if known && sum.relay != "" && n.clock.Now().Sub(sum.receivedAt) < relayTimeout {
		return sum.relay
	}
	first, _ := n.firstOf(alive, zone)
	return first.GetPeerAddress()
}

// zoneLoads returns the sums that this node sends if it is a relay: of its own failure domain, and those that it has received.
func (n *Node) zoneLoads() []*schema.ZoneLoads {
	alive := n.mesh.Alive()
	if !n.isRelay(alive) {
		return n.handedOnLoads(alive)
	}
	var names []string
	for _, p := range alive {
		if p.Zone == n.settings.Zone {
			names = append(names, p.Node)
		}
	}
	sum := n.table.SumOf(names)
	list := []*schema.ZoneLoads{{Zone: n.settings.Zone, Loads: encodeLoads(sum.Loads, sum.EventAges)}}
	return append(list, n.knownZoneLoads(relayTimeout)...)
}

// knownZoneLoads returns the sums of other failure domains that are younger than maxAge.
func (n *Node) knownZoneLoads(maxAge time.Duration) (list []*schema.ZoneLoads) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock.Now()
	for zone, s := range n.zoneSums {
		if age := now.Sub(s.formedAt); age < maxAge {
			list = append(list, &schema.ZoneLoads{Zone: zone, AgeMs: uint32(age.Milliseconds()), Loads: s.loads})
		}
	}
	return list
}

// applyZoneLoads stores the sums in another node's message. Those of a failure domain are taken from its own relay and from the
// relay of this failure domain, and only if they are newer than the known ones.
func (n *Node) applyZoneLoads(msg *schema.NodeGossip) {
	now := n.clock.Now()
	for _, z := range msg.ZoneLoads {
		fromOwnRelay := msg.Zone == n.settings.Zone
		if z.Zone == n.settings.Zone || !fromOwnRelay && msg.Zone != z.Zone {
			continue
		}
		sum := zoneSum{loads: z.Loads, formedAt: now.Add(-time.Duration(z.AgeMs) * time.Millisecond), receivedAt: now}
		if !fromOwnRelay {
			sum.relay = msg.PeerAddress
		}
		n.mu.Lock()
		newer := sum.formedAt > n.zoneSums[z.Zone].formedAt
		if newer {
			n.zoneSums[z.Zone] = sum
		}
		n.mu.Unlock()
		if newer {
			loads, ages := decodeLoads(z.Loads)
			for k := range ages {
				ages[k] += now.Sub(sum.formedAt)
			}
			n.table.SetZoneState(z.Zone, balance.ZoneState{Loads: loads, EventAges: ages})
		}
	}
}

// loadAge returns how old the loads that nodes of other failure domains report may be.
func (n *Node) loadAge() time.Duration {
	if n.mesh.PeerCount() < relayMinNodes {
		return n.mesh.OtherZoneInterval()
	}
	handedOn := 2 * relayInterval
	if n.loadsHandedOn.Load() {
		handedOn = relayInterval + 2*loadInterval // See loadReceivers.
	}
	return min(n.mesh.OtherZoneInterval(), n.mesh.SameZoneInterval()/2+handedOn)
}

// announcesPlanner reports whether another node's last datagram shows that it is the planner and alive.
func (n *Node) announcesPlanner(p gossip.Peer, alive []gossip.Peer) bool {
	if !p.Planner {
		return false
	}
	if len(alive) < relayMinNodes || p.Zone != n.settings.Zone && !n.isRelay(alive) {
		return true
	}
	return n.clock.Now().Sub(p.ReceivedAt) < plannerTimeout
}

// neverHeardMs is the least value of TargetLoad.heard_ms for a target that has sent no event. A relay may have added its own age.
const neverHeardMs = 3_600_000

func encodeLoads(loads map[balance.Key]balance.Load, ages map[balance.Key]time.Duration) []*schema.TargetLoad {
	list := make([]*schema.TargetLoad, 0, len(loads))
	for k, l := range loads {
		heardMs := uint32(neverHeardMs)
		if age, heard := ages[k]; heard {
			heardMs = uint32(min(age.Milliseconds(), neverHeardMs-1))
		}
		remaining, held := l.ReportedTokens()
		list = append(list, &schema.TargetLoad{Target: string(k), Running: uint32(l.Running), Waiting: uint32(l.Waiting),
			UnreadTokens: uint32(l.UnreadTokens), HeardMs: heardMs, RemainingTokens: uint32(remaining), HeldTokens: uint32(held)})
	}
	return list
}

func decodeLoads(list []*schema.TargetLoad) (map[balance.Key]balance.Load, map[balance.Key]time.Duration) {
	loads, ages := make(map[balance.Key]balance.Load, len(list)), make(map[balance.Key]time.Duration, len(list))
	for _, l := range list {
		k := balance.Key(l.Target)
		loads[k] = balance.Load{Running: int(l.Running), Waiting: int(l.Waiting), UnreadTokens: int(l.UnreadTokens)}.
			WithReported(int(l.RemainingTokens), int(l.HeldTokens))
		if l.HeardMs < neverHeardMs {
			ages[k] = time.Duration(l.HeardMs) * time.Millisecond
		}
	}
	return loads, ages
}

package entry

import (
	"context"
	"net"
	"time"

	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/internal/fleet"
	"cassiadeal.example/cassiadeal/internal/gossip"
	"cassiadeal.example/cassiadeal/internal/reach"
	"cassiadeal.example/cassiadeal/internal/recovery"
	"cassiadeal.example/cassiadeal/internal/statement"
)

// newPaths sets up connections to replicas through other nodes, and those of other nodes through this one.
func (n *Node) newPaths() (err error) {
	peers := func() []reach.Peer { return n.tunnelPeers(n.mesh.Alive()) }
	panics := recovery.Recoverer{Where: "tunnel", Log: n.log, Metrics: n.metrics}
	direct := func(ctx context.Context, address string) (net.Conn, error) { return n.dialDirectly(ctx, address) }
	n.tunnels = &reach.Server{Log: n.log, Panics: panics, Allowed: n.mayBeReached, Direct: direct, ReachesOther: n.reachesOther,
		PathsLost: func() bool { return n.paths.MostLost() }}
	n.paths, err = reach.New(reach.Options{Clock: n.clock, Log: n.log, Meter: n.metrics.Meter(), Peers: peers, Panics: panics, Direct: direct})
	return err
}

const (
	// maxWitnesses bounds the replicas to which connections are tried to find out whether this node reaches any.
	maxWitnesses = 3
	// reachedMemory is the time for which it counts that one opened. A planner that has lost its paths with this node asks later than that.
	reachedMemory = 100 * time.Millisecond
)

// reachesOther reports whether this node reaches one of some replicas other than the given one, or knows of none.
func (n *Node) reachesOther(ctx context.Context, than reach.Target) bool {
	started := n.clock.Now()
	if at := n.reachedAt.Load(); at != 0 && started.Sub(clock.Time(at)) <= reachedMemory {
		return true
	}
	var others []*fleet.Replica // The order of a map is random enough.
	for id, r := range n.registry.View().Replicas {
		if id != than.ID && !r.Draining && len(others) < maxWitnesses {
			others = append(others, r)
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	opened := make(chan bool, len(others))
	for _, r := range others {
		go func() {
			found := false
			defer func() { opened <- found }()
			defer recovery.Recoverer{Where: "tunnel", Log: n.log, Metrics: n.metrics}.Recover(nil)
			conn, err := n.dialDirectly(ctx, r.Address)
			if found = err == nil; found {
				conn.Close()
			}
		}()
	}
	for range others {
		if <-opened {
			n.reachedAt.Store(int64(started))
			return true
		}
	}
	return len(others) == 0
}

// tunnelPeers returns the live nodes that may be asked for a tunnel. Requests stay in this node's region, since some may not leave it.
func (n *Node) tunnelPeers(alive []gossip.Peer) []reach.Peer {
	var list []reach.Peer
	for _, p := range alive {
		if p.TunnelAddress != "" && !p.Draining && n.sameRegion(p) {
			list = append(list, reach.Peer{Name: p.Node, Address: p.TunnelAddress, Near: p.Zone == n.settings.Zone, PathsLost: p.PathsLost})
		}
	}
	return list
}

func (n *Node) sameRegion(p gossip.Peer) bool {
	return n.settings.Regions[p.Zone] == n.settings.Regions[n.settings.Zone]
}

// mayBeReached reports whether other nodes may connect to a replica through this one. Its address must be the one that the replica has
// registered. Requests of clients get no further than those that this node takes itself.
func (n *Node) mayBeReached(to reach.Target, control bool) bool {
	view := n.registry.View()
	isTarget := func(r *fleet.Replica) bool {
		return r != nil && r.Incarnation() == to.Incarnation && r.Address == to.Address
	}
	r := view.Replicas[to.ID]
	if control {
		return isTarget(r) || isTarget(view.Lapsed[to.ID])
	}
	return isTarget(r) && !r.Draining && !view.Evacuated[r.Zone] && n.statements.Barred(to.Incarnation.Target()) == statement.NotRefused
}

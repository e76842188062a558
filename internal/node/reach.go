package node

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"cassiadeal.example/cassiadeal/internal/fleet"
	"cassiadeal.example/cassiadeal/internal/membership"
	"cassiadeal.example/cassiadeal/internal/reach"
	"cassiadeal.example/cassiadeal/internal/schema"
	"cassiadeal.example/cassiadeal/internal/telemetry"
)

const (
	// maxPeerDelay is the time without a connection of its own after which a node asks another one for a tunnel.
	maxPeerDelay = 100 * time.Millisecond
	// requestDialTimeout bounds the opening of a connection for a request. It is below the limit of package dispatch.
	requestDialTimeout = 1500 * time.Millisecond
	// requestTunnelLifetime bounds the use of a tunnel by a request, whose own deadline ends it as a rule.
	requestTunnelLifetime = 2 * time.Minute
	// probeTunnelLifetime bounds the use of a tunnel by probes. A node that shuts down waits for the tunnels through it.
	probeTunnelLifetime = 5 * time.Second
	// peerListAge is the greatest age of the list of nodes that may be asked for a tunnel. Nodes report their state every 500 ms by default.
	peerListAge = 250 * time.Millisecond
	// tunnelPollInterval is how often a node that shuts down checks whether the tunnels through it are closed.
	tunnelPollInterval = 20 * time.Millisecond
)

// assembleReach sets up connections to targets through other nodes, and those of other nodes through this one. Only the bytes go through
// another node: the holder of a target and the controller of a fabric domain stay the same, with all that they decide.
func (n *Node) assembleReach() (err error) {
	panics := n.recoverer("tunnel")
	peers := &peerList{now: n.now, read: func() []reach.Peer { return tunnelPeers(n.self, n.membership.Nodes()) }}
	n.tunnels = &reach.Server{Log: n.log, Panics: panics, Allowed: n.mayBeReached, PathsLost: func() bool { return n.paths.MostLost() }, Direct: n.direct}
	n.paths, err = reach.New(reach.Options{
		Clock: n.clock, Log: n.log, Meter: n.metrics.Meter(), Peers: peers.get, Panics: panics, Direct: n.direct, DialPeer: n.peers.DialTunnel,
	})
	return err
}

// dialer returns a function that opens connections to engines and services. timeout has to be well below the limit of what the connections
// are used for, so that the error tells whether other nodes don't reach the target either.
func (n *Node) dialer(timeout, lifetime time.Duration, control bool) func(context.Context, string) (net.Conn, error) {
	request := reach.Request{Timeout: timeout, PeerDelay: min(maxPeerDelay, timeout/4), Lifetime: lifetime, Control: control}
	return func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := n.paths.Dial(ctx, reach.Target{Incarnation: fleet.Incarnation{ID: address}, Address: address}, request)
		if err != nil {
			return nil, err
		}
		return conn, nil
	}
}

// peerList keeps the nodes that may be asked for a tunnel. Reading them takes time that grows with the number of nodes, and each connection
// to a target asks for them.
type peerList struct {
	now  func() time.Duration
	read func() []reach.Peer

	mu     sync.Mutex // Held during read.
	peers  []reach.Peer
	readAt time.Duration
	isRead bool
}

// get returns a copy of the list.
func (l *peerList) get() []reach.Peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := l.now(); !l.isRead || now-l.readAt >= peerListAge {
		l.peers, l.readAt, l.isRead = l.read(), now, true
	}
	return slices.Clone(l.peers)
}

// tunnelPeers returns the nodes that may be asked for a tunnel: those that this node hears, or all that may run if it hears none. A node
// that has lost its paths to the other nodes as well doesn't know better than they do.
func tunnelPeers(self *schema.Node, nodes []membership.NodeInfo) []reach.Peer {
	var live, silent []reach.Peer
	for _, info := range nodes {
		peer := reach.Peer{Name: info.Record.Name, Address: info.Record.PeerAddress, Near: info.Record.FailureDomain == self.FailureDomain}
		switch {
		case peer.Name == self.Name || nodeState(info) == schema.NodeState_NODE_STATE_DRAINING:
		case info.Live:
			live = append(live, peer)
		case !info.LeaseLapsed:
			silent = append(silent, peer)
		}
	}
	if len(live) == 0 {
		return silent
	}
	return live
}

// mayBeReached reports whether other nodes may connect to an address through this one: it must be that of a listed VM or of a service.
func (n *Node) mayBeReached(to reach.Target, _ bool) bool {
	for _, vm := range n.vms.get() {
		if vm.Address == to.Address {
			return true
		}
	}
	_, current := n.config.Current()
	if current == nil {
		return false
	}
	for _, s := range current.Services {
		for _, t := range s.Targets {
			if t.Address == to.Address {
				return true
			}
		}
	}
	return false
}

func (n *Node) tunnelServer() *http.Server {
	return &http.Server{
		Handler:           n.recoverer("tunnel").Handler(n.tunnels.Handler()),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		ErrorLog:          telemetry.ServerErrorLog(n.log, "tunnel"),
	}
}

// waitTunnels waits until the tunnels of other nodes through this one are closed.
func (n *Node) waitTunnels(ctx context.Context) {
	ticker := time.NewTicker(tunnelPollInterval)
	defer ticker.Stop()
	for n.tunnels.Open() > 0 {
		select {
		case <-ctx.Done():
			n.log.WithField("tunnels", n.tunnels.Open()).Warn("tunnels of other nodes were still open at the shutdown limit")
			return
		case <-ticker.C:
		}
	}
}

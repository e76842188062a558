// Package gossip tells the other nodes in datagrams what this node does, and knows from theirs which nodes live. Nothing is
// agreed on here: a lost datagram only makes knowledge older.
package gossip

import (
	"context"
	"net"
	"sort"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/internal/schema"
)

const (
	// Interval is the time between two datagrams to a peer among few nodes. Beyond nodesPerInterval nodes it grows with their
	// number, so that the datagrams that a node receives in a second stay constant. Nodes of the own failure domain, with whom
	// targets are shared most, are told more often than all others.
	Interval         = 100 * time.Millisecond
	nodesPerInterval = 10
	// missedIntervals is the number of intervals without a datagram after which a node counts as gone, and minAliveTimeout the
	// shortest such time: some datagrams in a row may be lost.
	missedIntervals = 5
	minAliveTimeout = 1200 * time.Millisecond
	// destinationTTL is the time for which a silent node is still sent datagrams.
	destinationTTL = 2 * time.Minute
	// maxDatagram keeps a datagram within what UDP carries.
	maxDatagram = 60 << 10
)

// Peer is what another node last told.
type Peer struct {
	*schema.NodeGossip
	ReceivedAt clock.Time
}

// Options configures a Mesh.
type Options struct {
	Address string // host:port to bind; also what others send to.
	Zone    string // Failure domain of this node.
	Clock   clock.Clock
	Log     logrus.FieldLogger
	// Self returns what to tell. It is called once an interval.
	LocalState func() *schema.NodeGossip
	// Heard is called with each datagram of another node. It must not block.
	OnMessage func(*schema.NodeGossip)
}

// Mesh exchanges datagrams with the other nodes. It may be used concurrently. Its only lock is held by no call to others.
type Mesh struct {
	opt  Options
	conn *net.UDPConn

	mu           sync.Mutex
	peers        map[string]Peer
	destinations map[string]*destination // By address.
	started      clock.Time
}

// contact is an address to send to.
type destination struct {
	zone     string // Empty until the node was heard.
	expires  clock.Time
	lastSent clock.Time
}

// New binds the address.
func New(opt Options) (*Mesh, error) {
	addr, err := net.ResolveUDPAddr("udp4", opt.Address)
	if err != nil {
		return nil, eris.Wrapf(err, "gossip address %q", opt.Address)
	}
	conn, err := net.ListenUDP("udp4", addr)
	if err != nil {
		return nil, eris.Wrapf(err, "gossip address %q", opt.Address)
	}
	return &Mesh{opt: opt, conn: conn, peers: map[string]Peer{}, destinations: map[string]*destination{}, started: opt.Clock.Now()}, nil
}

// Run sends and receives until the context is done.
func (m *Mesh) Run(ctx context.Context) {
	go m.receive()
	ticker := time.NewTicker(Interval)
	defer ticker.Stop()
	defer m.conn.Close()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			m.sendDue()
		}
	}
}

// intervals returns the time between two datagrams to a node of this failure domain, and to any other. The lock is held.
func (m *Mesh) intervals() (sameZone, otherZone time.Duration) {
	zonePeers := 0
	for _, p := range m.peers {
		if p.Zone == m.opt.Zone {
			zonePeers++
		}
	}
	return scaledInterval(zonePeers), scaledInterval(len(m.peers))
}

func scaledInterval(nodes int) time.Duration {
	return Interval * time.Duration(max(1, (nodes+nodesPerInterval-1)/nodesPerInterval))
}

// Age returns how old the word of a node in another failure domain may be.
func (m *Mesh) OtherZoneInterval() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, otherZone := m.intervals()
	return otherZone
}

// aliveTimeout returns the silence after which a node counts as gone. The lock is held.
func (m *Mesh) aliveTimeout(zone string) time.Duration {
	sameZone, otherZone := m.intervals()
	if zone == m.opt.Zone {
		return max(minAliveTimeout, missedIntervals*sameZone)
	}
	return max(minAliveTimeout, missedIntervals*otherZone)
}

// Contact adds addresses of nodes to talk to, as the store lists them.
func (m *Mesh) AddDestinations(addresses ...string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, a := range addresses {
		if a != m.opt.Address {
			m.addDestinationLocked(a, "")
		}
	}
}

func (m *Mesh) addDestinationLocked(address, zone string) {
	c := m.destinations[address]
	if c == nil {
		c = &destination{}
		m.destinations[address] = c
	}
	if zone != "" {
		c.zone = zone
	}
	c.expires = m.opt.Clock.Now().Add(destinationTTL)
}

func (m *Mesh) sendDue() {
	addresses := m.dueAddresses()
	if len(addresses) == 0 {
		return
	}
	data, err := proto.Marshal(m.opt.LocalState())
	if err != nil || len(data) > maxDatagram {
		m.opt.Log.WithField("bytes", len(data)).WithError(err).Error("cannot send gossip")
		return
	}
	for _, address := range addresses {
		addr, err := net.ResolveUDPAddr("udp4", address)
		if err != nil {
			m.opt.Log.WithField("peer_address", address).WithError(err).Warning("a node has an unusable gossip address")
			continue
		}
		// An error means a full queue or a closed socket; the next datagram replaces this one.
		_, _ = m.conn.WriteToUDP(data, addr)
	}
}

// due returns the addresses whose interval is over.
func (m *Mesh) dueAddresses() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.opt.Clock.Now()
	sameZone, otherZone := m.intervals()
	var list []string
	for a, c := range m.destinations {
		if now > c.expires {
			delete(m.destinations, a)
			continue
		}
		interval := otherZone
		if c.zone == m.opt.Zone {
			interval = sameZone
		}
		// Half a tick early rather than half a tick late.
		if now.Sub(c.lastSent) >= interval-Interval/2 {
			c.lastSent = now
			list = append(list, a)
		}
	}
	return list
}

func (m *Mesh) receive() {
	buf := make([]byte, maxDatagram)
	for {
		n, _, err := m.conn.ReadFromUDP(buf)
		if err != nil {
			if !eris.Is(err, net.ErrClosed) {
				m.opt.Log.WithError(err).Error("gossip can't be received")
			}
			return
		}
		msg := &schema.NodeGossip{}
		if err := proto.Unmarshal(buf[:n], msg); err != nil || msg.Node == "" {
			continue // Not from a node.
		}
		if m.accept(msg) {
			m.opt.OnMessage(msg)
		}
	}
}

// take stores the message and tells whether it is from the newest start of another node.
func (m *Mesh) accept(msg *schema.NodeGossip) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if msg.PeerAddress == m.opt.Address {
		return false
	}
	now := m.opt.Clock.Now()
	if old, known := m.peers[msg.Node]; known && msg.Incarnation < old.Incarnation {
		return false
	}
	m.peers[msg.Node] = Peer{msg, now}
	m.addDestinationLocked(msg.PeerAddress, msg.Zone)
	return true
}

// Alive returns the nodes that were heard lately, in order of name.
func (m *Mesh) Alive() []Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.opt.Clock.Now()
	sameZone, otherZone := m.aliveTimeout(m.opt.Zone), m.aliveTimeout("")
	var list []Peer
	for name, p := range m.peers {
		limit := otherZone
		if p.Zone == m.opt.Zone {
			limit = sameZone
		}
		if age := now.Sub(p.ReceivedAt); age <= limit {
			list = append(list, p)
		} else if age > destinationTTL {
			delete(m.peers, name)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Node < list[j].Node })
	return list
}

// Uptime returns the time since the mesh was made.
func (m *Mesh) Uptime() time.Duration { return m.opt.Clock.Now().Sub(m.started) }

// Known returns the number of nodes that were heard within destinationTTL and that aren't stopping.
func (m *Mesh) KnownCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	known := 0
	for _, p := range m.peers {
		if !p.Draining && m.opt.Clock.Now().Sub(p.ReceivedAt) <= destinationTTL {
			known++
		}
	}
	return known
}

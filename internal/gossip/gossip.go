// Package gossip sends the state of this node to the other nodes in UDP datagrams, and derives from theirs which nodes are
// alive. It provides no consensus: after a lost datagram, the receiver only keeps an older state for longer.
package gossip

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/internal/schema"
)

const (
	// Interval is the time between two datagrams to a peer while there are at most nodesPerInterval peers. Beyond, it grows
	// with their number, so that the rate of datagrams at one node stays bounded. For peers in the node's own failure domain,
	// with which it shares most targets, only the peers in that domain are counted, so that they get datagrams more often.
	Interval         = 100 * time.Millisecond
	nodesPerInterval = 10
	// missedIntervals is the number of intervals without a datagram after which a node counts as gone, and minAliveTimeout the
	// lower bound of that time: several datagrams in a row may be lost.
	missedIntervals = 5
	minAliveTimeout = 1200 * time.Millisecond
	// destinationTTL is the time after a node's last datagram, or its last listing in the store, for which it is still
	// sent datagrams.
	destinationTTL = 2 * time.Minute
	// maxDatagram is the largest size of a datagram. UDP can carry little more.
	maxDatagram = 60 << 10
)

// Peer is the state in the last datagram from another node, and when it was received.
type Peer struct {
	*schema.NodeGossip
	ReceivedAt clock.Time
}

// Options configures a Mesh.
type Options struct {
	Address string // host:port to bind, to which other nodes send.
	Zone    string // Failure domain of this node.
	Clock   clock.Clock
	Log     logrus.FieldLogger
	// LocalState returns the state to send. It is called at most once an Interval.
	LocalState func() *schema.NodeGossip
	// OnMessage is called with each datagram of another node, except those of an earlier process of the node. It must not
	// block.
	OnMessage func(*schema.NodeGossip)
}

// Mesh exchanges datagrams with the other nodes. It may be used concurrently. Its lock is never held while it calls LocalState
// or OnMessage or sends a datagram.
type Mesh struct {
	opt  Options
	conn *net.UDPConn
	// urgent holds a value while the state must be sent to all destinations at once.
	urgent chan struct{}

	mu           sync.Mutex
	peers        map[string]Peer
	names        []string                // Keys of peers, sorted.
	destinations map[string]*destination // By address.
	// frequent holds the addresses that get a datagram at least every frequentInterval.
	frequent         map[string]bool
	frequentInterval time.Duration
	loadReceivers    map[string]time.Duration // See SetLoadReceivers.
	started          clock.Time
}

// destination is a node to which datagrams are sent.
type destination struct {
	zone     string // Failure domain; empty until a datagram from the node was received.
	expires  clock.Time
	lastSent clock.Time
	// lastLoads is when the loads of failure domains were last sent to it, while they aren't in all datagrams.
	lastLoads clock.Time
}

// New returns a Mesh that is bound to its address.
func New(opt Options) (*Mesh, error) {
	addr, err := net.ResolveUDPAddr("udp4", opt.Address)
	if err != nil {
		return nil, eris.Wrapf(err, "resolve gossip address %q", opt.Address)
	}
	conn, err := net.ListenUDP("udp4", addr)
	if err != nil {
		return nil, eris.Wrapf(err, "bind gossip address %q", opt.Address)
	}
	return &Mesh{opt: opt, conn: conn, urgent: make(chan struct{}, 1), peers: map[string]Peer{}, destinations: map[string]*destination{}, started: opt.Clock.Now()}, nil
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
		case <-m.urgent:
			m.send(m.allAddresses())
		case <-ticker.C:
			m.send(m.dueAddresses())
		}
	}
}

// SendNow makes Run send the state to all destinations at once. It doesn't block.
func (m *Mesh) SendNow() {
	select {
	case m.urgent <- struct{}{}:
	default: // A value that wasn't taken yet covers this call too, because the state is read after it is taken.
	}
}

// allAddresses returns the addresses of all destinations, and marks them as sent to.
func (m *Mesh) allAddresses() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.opt.Clock.Now()
	list := make([]string, 0, len(m.destinations))
	for a, d := range m.destinations {
		d.lastSent = now
		list = append(list, a)
	}
	return list
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

// OtherZoneInterval returns the time between two datagrams to a node in another failure domain. As other nodes use about the
// same, it is also the age that the state of such a node may reach here if no datagram is lost.
func (m *Mesh) OtherZoneInterval() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, otherZone := m.intervals()
	return otherZone
}

// SameZoneInterval returns the time between two datagrams to a node in this failure domain.
func (m *Mesh) SameZoneInterval() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	sameZone, _ := m.intervals()
	return sameZone
}

// Destinations returns the addresses of the other nodes that the store has listed, or that have sent a datagram, within
// destinationTTL. They may run even if this node hasn't heard them lately.
func (m *Mesh) Destinations() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.opt.Clock.Now()
	var list []string
	for a, d := range m.destinations {
		if now <= d.expires {
			list = append(list, a)
		}
	}
	return list
}

// PeerCount returns the number of other nodes that have sent a datagram within destinationTTL.
func (m *Mesh) PeerCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.peers)
}

// SetFrequent sets the addresses that get a datagram at least every interval. They replace those of the last call.
func (m *Mesh) SetFrequent(addresses map[string]bool, interval time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.frequent, m.frequentInterval = addresses, interval
}

// aliveTimeouts returns the times without a datagram after which a node of this failure domain, and of any other, counts as gone.
// The lock is held.
func (m *Mesh) aliveTimeouts() (sameZone, otherZone time.Duration) {
	sameZone, otherZone = m.intervals()
	return max(minAliveTimeout, missedIntervals*sameZone), max(minAliveTimeout, missedIntervals*otherZone)
}

// AddDestinations adds addresses of nodes to send datagrams to, or renews them for destinationTTL. The store lists them.
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
	d := m.destinations[address]
	if d == nil {
		d = &destination{}
		m.destinations[address] = d
	}
	if zone != "" {
		d.zone = zone
	}
	d.expires = m.opt.Clock.Now().Add(destinationTTL)
}

func (m *Mesh) send(addresses []string) {
	if len(addresses) == 0 {
		return
	}
	msg := m.opt.LocalState()
	all, others, own, none := m.byContent(addresses)
	m.sendTo(all, msg)
	for _, part := range []struct {
		addresses []string
		selected  func(zone string) bool
	}{{others, func(zone string) bool { return zone != m.opt.Zone }}, {own, func(zone string) bool { return zone == m.opt.Zone }}, {none, func(string) bool { return false }}} {
		if len(part.addresses) > 0 {
			m.sendTo(part.addresses, withZoneLoads(msg, part.selected))
		}
	}
}

// sendTo sends a message to the addresses, in several datagrams if it is too large for one.
func (m *Mesh) sendTo(addresses []string, msg *schema.NodeGossip) {
	if len(addresses) == 0 {
		return
	}
	list, err := datagrams(msg)
	if err != nil {
		m.opt.Log.WithError(err).Error("could not encode the gossip message")
		return
	}
	if size := len(list[0]); size > maxDatagram {
		m.opt.Log.WithField("bytes", size).Error("the gossip message is larger than a datagram may be")
	}
	for _, address := range addresses {
		addr, err := net.ResolveUDPAddr("udp4", address)
		if err != nil {
			m.opt.Log.WithField("peer_address", address).WithError(err).Warning("could not resolve the gossip address of a node")
			continue
		}
		for _, data := range list {
			// An error means a full send queue or a closed socket. It is ignored, since the next datagram replaces this one.
			_, _ = m.conn.WriteToUDP(data, addr)
		}
	}
}

// dueAddresses returns the addresses whose interval has passed, and marks them as sent to.
func (m *Mesh) dueAddresses() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.opt.Clock.Now()
	sameZone, otherZone := m.intervals()
	var list []string
	for a, d := range m.destinations {
		if now > d.expires {
			delete(m.destinations, a)
			continue
		}
		interval := otherZone
		if d.zone == m.opt.Zone {
			interval = sameZone
		}
		if m.frequent[a] {
			interval = min(interval, m.frequentInterval)
		}
		if receives := m.loadReceivers[a]; receives > 0 {
			interval = min(interval, receives)
		}
		// Calls are Interval apart. An address that falls due before the middle between this call and the next is sent to now.
		if now.Sub(d.lastSent) >= interval-Interval/2 {
			d.lastSent = now
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
				m.opt.Log.WithError(err).Error("could not receive gossip; receiving has stopped")
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

// accept stores the message and returns true, unless it is from this node or from an earlier process of another node.
func (m *Mesh) accept(msg *schema.NodeGossip) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if msg.PeerAddress == m.opt.Address {
		return false
	}
	now := m.opt.Clock.Now()
	old, known := m.peers[msg.Node]
	if known && msg.Incarnation < old.Incarnation {
		return false
	}
	if !known {
		i, _ := slices.BinarySearch(m.names, msg.Node)
		m.names = slices.Insert(m.names, i, msg.Node)
	}
	m.peers[msg.Node] = Peer{msg, now}
	m.addDestinationLocked(msg.PeerAddress, msg.Zone)
	if !known || msg.Incarnation != old.Incarnation {
		m.destinations[msg.PeerAddress].lastSent = 0 // A process that has just started doesn't know this node's state yet.
	}
	return true
}

// Alive returns the nodes whose last datagram is not older than their alive timeout, sorted by name.
func (m *Mesh) Alive() []Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.opt.Clock.Now()
	sameZone, otherZone := m.aliveTimeouts()
	list := make([]Peer, 0, len(m.names))
	m.names = slices.DeleteFunc(m.names, func(name string) bool {
		p, limit := m.peers[name], otherZone
		if p.Zone == m.opt.Zone {
			limit = sameZone
		}
		age := now.Sub(p.ReceivedAt)
		if age <= limit {
			list = append(list, p)
		} else if age > destinationTTL {
			delete(m.peers, name)
			return true
		}
		return false
	})
	return list
}

// Uptime returns the time since the mesh was created.
func (m *Mesh) Uptime() time.Duration { return m.opt.Clock.Now().Sub(m.started) }

// KnownCount returns the number of other nodes that sent a datagram within destinationTTL and aren't draining.
func (m *Mesh) KnownCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	known, now := 0, m.opt.Clock.Now()
	for _, p := range m.peers {
		if !p.Draining && now.Sub(p.ReceivedAt) <= destinationTTL {
			known++
		}
	}
	return known
}

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
	// Interval is the time between two datagrams to a peer among few nodes. Beyond nodesAtInterval nodes it grows with their
	// number, so that the datagrams that a node receives in a second stay constant. Nodes of the own failure domain, with whom
	// targets are shared most, are told more often than all others.
	Interval        = 100 * time.Millisecond
	nodesAtInterval = 10
	// aliveIntervals is the number of intervals without a datagram after which a node counts as gone, and minAlive the
	// shortest such time: some datagrams in a row may be lost.
	aliveIntervals = 5
	minAlive       = 1200 * time.Millisecond
	// contactFor is the time for which a silent node is still sent datagrams.
	contactFor = 2 * time.Minute
	// maxDatagram keeps a datagram within what UDP carries.
	maxDatagram = 60 << 10
)

// Peer is what another node last told.
type Peer struct {
	*schema.NodeGossip
	Heard clock.Time
}

// Options configures a Mesh.
type Options struct {
	Address string // host:port to bind; also what others send to.
	Zone    string // Failure domain of this node.
	Clock   clock.Clock
	Log     logrus.FieldLogger
	// Self returns what to tell. It is called once an interval.
	Self func() *schema.NodeGossip
	// Heard is called with each datagram of another node. It must not block.
	Heard func(*schema.NodeGossip)
}

// Mesh exchanges datagrams with the other nodes. It may be used concurrently. Its only lock is held by no call to others.
type Mesh struct {
	opt  Options
	conn *net.UDPConn

	mu       sync.Mutex
	peers    map[string]Peer
	contacts map[string]*contact // By address.
	started  clock.Time
}

// contact is an address to send to.
type contact struct {
	zone  string // Empty until the node was heard.
	until clock.Time
	sent  clock.Time
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
	return &Mesh{opt: opt, conn: conn, peers: map[string]Peer{}, contacts: map[string]*contact{}, started: opt.Clock.Now()}, nil
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
			m.send()
		}
	}
}

// intervals returns the time between two datagrams to a node of this failure domain, and to any other. The lock is held.
func (m *Mesh) intervals() (near, far time.Duration) {
	inZone := 0
	for _, p := range m.peers {
		if p.Zone == m.opt.Zone {
			inZone++
		}
	}
	return stretched(inZone), stretched(len(m.peers))
}

func stretched(nodes int) time.Duration {
	return Interval * time.Duration(max(1, (nodes+nodesAtInterval-1)/nodesAtInterval))
}

// Age returns how old the word of a node in another failure domain may be.
func (m *Mesh) Age() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, far := m.intervals()
	return far
}

// aliveFor returns the silence after which a node counts as gone. The lock is held.
func (m *Mesh) aliveFor(zone string) time.Duration {
	near, far := m.intervals()
	if zone == m.opt.Zone {
		return max(minAlive, aliveIntervals*near)
	}
	return max(minAlive, aliveIntervals*far)
}

// Contact adds addresses of nodes to talk to, as the store lists them.
func (m *Mesh) Contact(addresses ...string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, a := range addresses {
		if a != m.opt.Address {
			m.contactLocked(a, "")
		}
	}
}

func (m *Mesh) contactLocked(address, zone string) {
	c := m.contacts[address]
	if c == nil {
		c = &contact{}
		m.contacts[address] = c
	}
	if zone != "" {
		c.zone = zone
	}
	c.until = m.opt.Clock.Now().Add(contactFor)
}

func (m *Mesh) send() {
	addresses := m.due()
	if len(addresses) == 0 {
		return
	}
	data, err := proto.Marshal(m.opt.Self())
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
func (m *Mesh) due() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.opt.Clock.Now()
	near, far := m.intervals()
	var list []string
	for a, c := range m.contacts {
		if now > c.until {
			delete(m.contacts, a)
			continue
		}
		interval := far
		if c.zone == m.opt.Zone {
			interval = near
		}
		// Half a tick early rather than half a tick late.
		if now.Sub(c.sent) >= interval-Interval/2 {
			c.sent = now
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
		if m.take(msg) {
			m.opt.Heard(msg)
		}
	}
}

// take stores the message and tells whether it is from the newest start of another node.
func (m *Mesh) take(msg *schema.NodeGossip) bool {
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
	m.contactLocked(msg.PeerAddress, msg.Zone)
	return true
}

// Alive returns the nodes that were heard lately, in order of name.
func (m *Mesh) Alive() []Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.opt.Clock.Now()
	near, far := m.aliveFor(m.opt.Zone), m.aliveFor("")
	var list []Peer
	for name, p := range m.peers {
		limit := far
		if p.Zone == m.opt.Zone {
			limit = near
		}
		if age := now.Sub(p.Heard); age <= limit {
			list = append(list, p)
		} else if age > contactFor {
			delete(m.peers, name)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Node < list[j].Node })
	return list
}

// Uptime returns the time since the mesh was made.
func (m *Mesh) Uptime() time.Duration { return m.opt.Clock.Now().Sub(m.started) }

// Known returns the number of nodes that were heard within contactFor and that aren't stopping.
func (m *Mesh) Known() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	known := 0
	for _, p := range m.peers {
		if !p.Draining && m.opt.Clock.Now().Sub(p.Heard) <= contactFor {
			known++
		}
	}
	return known
}

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
	// number, so that the datagrams that a node receives in a second stay constant.
	Interval        = 100 * time.Millisecond
	nodesAtInterval = 10
	// aliveIntervals is the number of intervals without a datagram after which a node counts as gone, and minAlive the
	// shortest such time: three datagrams in a row may be lost.
	aliveIntervals = 8
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
	contacts map[string]clock.Time // Addresses to send to, until the time.
	started  clock.Time
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
	return &Mesh{opt: opt, conn: conn, peers: map[string]Peer{}, contacts: map[string]clock.Time{}, started: opt.Clock.Now()}, nil
}

// Run sends and receives until the context is done.
func (m *Mesh) Run(ctx context.Context) {
	go m.receive()
	timer := time.NewTimer(Interval)
	defer timer.Stop()
	defer m.conn.Close()
	for {
		select {
		case <-ctx.Done():
			m.send() // The last one tells that the node drains.
			return
		case <-timer.C:
			m.send()
			timer.Reset(m.Interval())
		}
	}
}

// Interval returns the time between two datagrams to one peer.
func (m *Mesh) Interval() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Interval * time.Duration(max(1, (len(m.peers)+nodesAtInterval)/nodesAtInterval))
}

// aliveFor returns the silence after which a node counts as gone.
func (m *Mesh) aliveFor() time.Duration { return max(minAlive, aliveIntervals*m.Interval()) }

// Contact adds addresses of nodes to talk to, as the store lists them.
func (m *Mesh) Contact(addresses ...string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, a := range addresses {
		if a != m.opt.Address {
			m.contacts[a] = m.opt.Clock.Now().Add(contactFor)
		}
	}
}

func (m *Mesh) send() {
	data, err := proto.Marshal(m.opt.Self())
	if err != nil || len(data) > maxDatagram {
		m.opt.Log.WithField("bytes", len(data)).WithError(err).Error("cannot send gossip")
		return
	}
	for _, address := range m.addresses() {
		addr, err := net.ResolveUDPAddr("udp4", address)
		if err != nil {
			m.opt.Log.WithField("peer_address", address).WithError(err).Warning("a node has an unusable gossip address")
			continue
		}
		// An error means a full queue or a closed socket; the next datagram replaces this one.
		_, _ = m.conn.WriteToUDP(data, addr)
	}
}

func (m *Mesh) addresses() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.opt.Clock.Now()
	list := make([]string, 0, len(m.contacts))
	for a, until := range m.contacts {
		if now > until {
			delete(m.contacts, a)
			continue
		}
		list = append(list, a)
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
	m.contacts[msg.PeerAddress] = now.Add(contactFor)
	return true
}

// Alive returns the nodes that were heard lately, in order of name.
func (m *Mesh) Alive() []Peer {
	limit := m.aliveFor()
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.opt.Clock.Now()
	var list []Peer
	for name, p := range m.peers {
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

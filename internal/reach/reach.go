// Package reach opens connections to replicas, directly or by a tunnel through another node that reaches them. A node that has lost its own
// paths to replicas can so go on serving, and doesn't take its loss of paths for a loss of the replicas.
package reach

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/metric"

	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/internal/fleet"
	"cassiadeal.example/cassiadeal/internal/recovery"
)

const (
	// trialInterval is the time between two direct connections to a replica to which this node's own path is lost.
	trialInterval = 500 * time.Millisecond
	// pathMemory is the time for which the outcome of a direct connection counts for MostLost.
	pathMemory = 3 * time.Second
	// minLostPaths is the number of lost paths below which a node doesn't count as cut off.
	minLostPaths = 3
	// peerMemory is the time for which it counts whether a node has reached a replica.
	peerMemory = 3 * time.Second
	// idleRetention is the time for which a path without connections is remembered.
	idleRetention = time.Minute
)

// Target is one start of a replica and the address at which it listens.
type Target struct {
	fleet.Incarnation
	Address string
}

// TargetOf returns the target of a replica's entry.
func TargetOf(r *fleet.Replica) Target { return Target{r.Incarnation(), r.Address} }

// Peer is another node that opens tunnels to replicas.
type Peer struct {
	Name    string
	Address string // host:port at which it accepts tunnels.
	Near    bool   // In this node's failure domain.
	// PathsLost is set if the node has stated that it lacks most of its own paths.
	PathsLost bool
}

// Options configures Paths.
type Options struct {
	Clock clock.Clock
	Log   logrus.FieldLogger
	Meter metric.Meter // Nil for none.
	// Peers returns the nodes that may be asked for a tunnel; nil if there never are any.
	Peers  func() []Peer
	Panics recovery.Recoverer
	// Direct opens a TCP connection of this node's own; nil for net.Dialer. Tests cut paths with it.
	Direct func(ctx context.Context, address string) (net.Conn, error)
	// DialPeer opens the TCP connection to a node for a tunnel; nil for net.Dialer.
	DialPeer func(ctx context.Context, address string) (net.Conn, error)
}

// path is what is known of this node's own path to a replica.
type path struct {
	usedAt    clock.Time // Last call of Dial.
	outcomeAt clock.Time // When the last direct connection opened or failed; 0 if none has.
	openedAt  clock.Time // When the last direct connection opened; 0 if none has.
	// failingSince is when the first of the direct connections failed that have failed in a row, and failedAt when the last did; 0 if the last
	// one opened.
	failingSince, failedAt clock.Time
	lostSince              clock.Time // When a direct connection first failed while another node reached the replica; 0 if the last one opened.
	triedAt                clock.Time // When a direct connection was last tried.
	peers                  map[string]peerOutcome
}

// peerOutcome tells whether a tunnel through a node opened.
type peerOutcome struct {
	opened bool
	at     clock.Time
}

// Paths opens connections to replicas and keeps what is known of this node's own paths to them. It is safe for concurrent use; its lock is
// never held during a call to another node or a replica.
type Paths struct {
	opt     Options
	counter metric.Int64Counter

	mu     sync.Mutex
	paths  map[Target]*path
	silent map[string]clock.Time // When a node last didn't answer, by name.
}

// New returns Paths that are all unknown.
func New(opt Options) (*Paths, error) {
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		var dialer net.Dialer
		return dialer.DialContext(ctx, "tcp", address)
	}
	if opt.Direct == nil {
		opt.Direct = dial
	}
	if opt.DialPeer == nil {
		opt.DialPeer = dial
	}
	p := &Paths{opt: opt, paths: map[Target]*path{}, silent: map[string]clock.Time{}}
	if opt.Meter == nil {
		return p, nil
	}
	counter, err := opt.Meter.Int64Counter("cassiadeal_tunnels", metric.WithDescription("Tunnels to replicas through other nodes by outcome."))
	p.counter = counter
	return p, eris.Wrap(err, "create the tunnel counter")
}

// HasPeer reports whether a node may be asked for tunnels now.
func (p *Paths) HasPeer(name string) bool {
	return p.opt.Peers != nil && slices.ContainsFunc(p.opt.Peers(), func(peer Peer) bool { return peer.Name == name })
}

// Lost reports whether this node's own path to a target is lost, though another node reaches it, and since when.
func (p *Paths) Lost(to Target) (since clock.Time, lost bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.paths[to]
	if known == nil || known.lostSince == 0 {
		return 0, false
	}
	return known.lostSince, true
}

// MostLost reports whether this node lacks its own paths to most of the replicas to which it has lately opened connections.
func (p *Paths) MostLost() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, lost, working := p.opt.Clock.Now(), 0, 0
	for to, known := range p.paths {
		switch {
		case now.Sub(known.usedAt) > idleRetention:
			delete(p.paths, to)
		case known.outcomeAt == 0 || now.Sub(known.outcomeAt) > pathMemory:
		case known.lostSince != 0:
			lost++
		default:
			working++
		}
	}
	return lost >= minLostPaths && lost > working
}

// NoneOpens reports whether this node's own connections fail to several replicas, and none has opened since to another. Its own paths may be
// lost then, although no other node is known to reach the replicas.
func (p *Paths) NoneOpens() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, failing := p.opt.Clock.Now(), 0
	var lastOpened, lastBegan clock.Time
	for _, known := range p.paths {
		lastOpened = max(lastOpened, known.openedAt)
		if known.failedAt != 0 && now.Sub(known.failedAt) <= pathMemory {
			failing++
			lastBegan = max(lastBegan, known.failingSince)
		}
	}
	return failing >= minLostPaths && lastOpened < lastBegan
}

// noteFailure records that a direct connection has failed.
func (p *Paths) noteFailure(to Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known, now := p.paths[to], p.opt.Clock.Now()
	if known == nil {
		return
	}
	if known.failedAt = now; known.failingSince == 0 {
		known.failingSince = now
	}
}

// begin notes a call of Dial. It reports whether a direct connection is to be tried, and whether the path is known to be lost.
func (p *Paths) begin(to Target) (direct, lost bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, known := p.opt.Clock.Now(), p.paths[to]
	if known == nil {
		known = &path{peers: map[string]peerOutcome{}}
		p.paths[to] = known
	}
	known.usedAt = now
	lost = known.lostSince != 0
	if lost && now.Sub(known.triedAt) < trialInterval {
		return false, true
	}
	known.triedAt = now
	return true, lost
}

// directOpened records that a direct connection has opened.
func (p *Paths) directOpened(to Target) {
	p.mu.Lock()
	known, now := p.paths[to], p.opt.Clock.Now()
	restored := false
	if known != nil {
		restored = known.lostSince != 0
		known.outcomeAt, known.openedAt, known.lostSince, known.failingSince, known.failedAt = now, now, 0, 0, 0
	}
	p.mu.Unlock()
	if restored {
		p.opt.Log.WithFields(logrus.Fields{"replica": to.ID, "address": to.Address}).Info("this node's own path to a replica works again")
	}
}

// NoteReached records that a response came on a direct connection that had been open for a while. It counts for MostLost as an opened one
// does, but says nothing against new connections that fail.
func (p *Paths) NoteReached(to Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known := p.paths[to]; known != nil && known.lostSince == 0 {
		known.usedAt = p.opt.Clock.Now()
		known.outcomeAt = known.usedAt
	}
}

// directFailed records that no direct connection opened although the target was reached through a peer. One that began before another opened
// says nothing any more.
func (p *Paths) directFailed(to Target, peer string, begun clock.Time, err error) {
	p.mu.Lock()
	known, now := p.paths[to], p.opt.Clock.Now()
	lost := false
	if known != nil && known.openedAt <= begun {
		known.outcomeAt = now
		if lost = known.lostSince == 0; lost {
			known.lostSince = now
		}
	}
	p.mu.Unlock()
	if lost {
		p.opt.Log.WithError(err).WithFields(logrus.Fields{"replica": to.ID, "address": to.Address, "through": peer}).
			Info("this node has lost its own path to a replica that another node reaches")
	}
}

// notePeer records whether a tunnel through a node opened; it has answered.
func (p *Paths) notePeer(to Target, peer string, opened bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.silent, peer)
	if known := p.paths[to]; known != nil {
		known.peers[peer] = peerOutcome{opened, p.opt.Clock.Now()}
	}
}

// noteSilence records that a node hasn't answered.
func (p *Paths) noteSilence(peer string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.opt.Clock.Now()
	maps.DeleteFunc(p.silent, func(_ string, at clock.Time) bool { return now.Sub(at) > peerMemory })
	p.silent[peer] = now
}

// Ranks of nodes to ask, to be added. Lower ones are preferred.
const (
	rankReached     = -4 // It has lately reached the replica.
	rankOtherDomain = 1
	rankPathsLost   = 2
	rankNotReached  = 4
	rankSilent      = 8 // It has lately not answered, whichever replica it was asked about.
)

// peersFor returns the nodes to ask for a tunnel, the preferred ones first: those that have lately reached the replica, and last those
// that haven't. The second one is of another failure domain if the first is near: a whole domain may lack the same paths.
func (p *Paths) peersFor(to Target) []Peer {
	if p.opt.Peers == nil {
		return nil
	}
	list := p.opt.Peers()
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	p.mu.Lock()
	defer p.mu.Unlock()
	ranks := map[string]int{}
	for _, peer := range list {
		ranks[peer.Name] = p.rankLocked(to, peer)
	}
	slices.SortStableFunc(list, func(a, b Peer) int { return ranks[a.Name] - ranks[b.Name] })
	if i := slices.IndexFunc(list, func(peer Peer) bool { return !peer.Near }); i > 1 && ranks[list[i].Name] <= rankOtherDomain {
		// This node's domain may have lost its paths as a whole.
		other := list[i]
		copy(list[2:i+1], list[1:i])
		list[1] = other
	}
	return list
}

// rankLocked returns a number that is lower for nodes that are preferred.
func (p *Paths) rankLocked(to Target, peer Peer) int {
	rank := 0
	if !peer.Near {
		rank += rankOtherDomain
	}
	if peer.PathsLost {
		rank += rankPathsLost
	}
	if at, silent := p.silent[peer.Name]; silent && p.opt.Clock.Now().Sub(at) <= peerMemory {
		rank += rankSilent
	}
	known := p.paths[to]
	if known == nil {
		return rank
	}
	outcome, asked := known.peers[peer.Name]
	switch {
	case !asked || p.opt.Clock.Now().Sub(outcome.at) > peerMemory:
	case outcome.opened:
		rank += rankReached
	default:
		rank += rankNotReached
	}
	return rank
}

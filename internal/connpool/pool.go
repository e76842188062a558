// Package connpool holds idle TCP connections to replicas for later requests. It knows nothing of HTTP: its callers decide which
// connections may be kept and which requests may use them.
package connpool

import (
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/metric"

	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/internal/fleet"
)

const (
	// DefaultMaxIdle bounds the idle connections to all replicas. The smallest machines allow 2,870 descriptors, of which clients
	// and requests under way need most.
	DefaultMaxIdle = 256
	// MaxPerTarget bounds the idle connections to one replica. A node has fewer requests at a replica at the same time, except
	// in bursts, after which the others would only take up connections of the replica.
	MaxPerTarget = 4
	// closeReserve is the time before the end of the replica's idle time from which on a connection isn't used: the replica may
	// close it while a request is on its way.
	closeReserve = time.Second
	// defaultIdle is how long a connection is kept if the replica has stated no idle time.
	defaultIdle = 800 * time.Millisecond
	// checkInterval is the time between two checks of an idle connection, so that one that the replica has closed is soon closed
	// here too.
	checkInterval = 500 * time.Millisecond
	// Idle connections are probed from probeIdle on every probeInterval, and are dead after maxProbes without a response. A lost
	// host is found before a request is written. Two probes of 54 bytes every 2 s for 256 connections are 14 KB/s.
	probeIdle     = 2 * time.Second
	probeInterval = time.Second
	maxProbes     = 2
)

// Target is one start of a replica and the address at which it listens.
type Target struct {
	fleet.Incarnation
	Address string
}

// Conn is a connection to a replica that the pool has held or may hold. It is used by one request at a time.
type Conn struct {
	*net.TCPConn
	target    Target
	limit     time.Duration // For which it may be idle; 0 until the replica has stated it.
	idleSince clock.Time    // A time at which the last response was incomplete.
	checkedAt clock.Time
	probed    bool // The kernel probes it while it is idle.
}

// NewConn returns a connection that has just been opened to the target.
func NewConn(target Target, tcp *net.TCPConn) *Conn { return &Conn{TCPConn: tcp, target: target} }

// Usage says for how long a connection may be kept.
type Usage struct {
	// IdleSince is a time at which the replica hadn't ended the last response.
	IdleSince clock.Time
	// KeepAlive is the idle time after which the replica closes the connection, if it is Stated.
	KeepAlive time.Duration
	Stated    bool
	// MaxPerTarget bounds the idle connections to the replica.
	MaxPerTarget int
}

// Options configures a Pool.
type Options struct {
	Clock clock.Clock
	// MaxIdle bounds the idle connections; 0 keeps none.
	MaxIdle int
	Meter   metric.Meter // Nil for none.
}

// Pool holds idle connections. It is safe for concurrent use.
type Pool struct {
	opt     Options
	counter metric.Int64Counter

	mu        sync.Mutex
	idle      map[Target][]*Conn // The one that was used last is the last.
	total     int
	avoided   map[Target]clock.Time // Until when no connection is kept.
	sinceLast Stats
}

// New returns a Pool without connections.
func New(opt Options) (*Pool, error) {
	p := &Pool{opt: opt, idle: map[Target][]*Conn{}, avoided: map[Target]clock.Time{}, sinceLast: newStats()}
	if opt.Meter == nil {
		return p, nil
	}
	counter, err := opt.Meter.Int64Counter("cassiadeal_replica_connections",
		metric.WithDescription("Connections to replicas by event (opened, reused, closed) and reason of the close."))
	p.counter = counter
	return p, eris.Wrap(err, "create the counter of connections to replicas")
}

// Disabled returns a Pool that keeps nothing.
func Disabled(c clock.Clock) *Pool {
	return &Pool{opt: Options{Clock: c}, idle: map[Target][]*Conn{}, avoided: map[Target]clock.Time{}, sinceLast: newStats()}
}

// Enabled reports whether the pool keeps any connections.
func (p *Pool) Enabled() bool { return p.opt.MaxIdle > 0 }

// Take returns the connection to the target that was used last, or nil if there is none that can be used.
func (p *Pool) Take(target Target) *Conn {
	for {
		conn := p.pop(target)
		if conn == nil {
			return nil
		}
		if reason := p.unusable(conn, p.opt.Clock.Now()); reason != "" {
			p.close(conn, reason)
			continue
		}
		p.count(eventReused, "")
		return conn
	}
}

func (p *Pool) pop(target Target) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[target]
	if len(list) == 0 {
		return nil
	}
	conn := list[len(list)-1]
	p.setLocked(target, list[:len(list)-1])
	return conn
}

// setLocked replaces the idle connections to the target.
func (p *Pool) setLocked(target Target, list []*Conn) {
	p.total += len(list) - len(p.idle[target])
	if len(list) == 0 {
		delete(p.idle, target)
		return
	}
	clear(list[len(list):cap(list)]) // Lets closed connections be collected.
	p.idle[target] = list
}

// Put keeps a connection whose response is complete, or closes it.
func (p *Pool) Put(conn *Conn, usage Usage) {
	if usage.Stated {
		conn.limit = usage.KeepAlive - closeReserve
	} else if conn.limit == 0 {
		conn.limit = defaultIdle
	}
	now := p.opt.Clock.Now()
	conn.idleSince, conn.checkedAt = usage.IdleSince, now
	reason := p.unusable(conn, now)
	if reason == "" && !conn.probed {
		reason, conn.probed = probe(conn.TCPConn), true
	}
	if reason != "" {
		p.close(conn, reason)
		return
	}
	for _, evicted := range p.add(conn, max(usage.MaxPerTarget, 1), now) {
		p.close(evicted, ReasonBound)
	}
}

// add adds a connection and returns those that have to be closed for it, or itself.
func (p *Pool) add(conn *Conn, perTarget int, now clock.Time) (evicted []*Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now < p.avoided[conn.target] || p.opt.MaxIdle <= 0 {
		return []*Conn{conn}
	}
	list := append(p.idle[conn.target], conn)
	if n := len(list) - min(perTarget, MaxPerTarget); n > 0 {
		evicted = append(evicted, list[:n]...)
		list = list[n:]
	}
	p.setLocked(conn.target, list)
	if p.total > p.opt.MaxIdle {
		evicted = append(evicted, p.evictOldestLocked())
	}
	return evicted
}

// evictOldestLocked removes the connection that has been idle for longest.
func (p *Pool) evictOldestLocked() *Conn {
	var oldest *Conn
	for _, list := range p.idle {
		if oldest == nil || list[0].idleSince < oldest.idleSince {
			oldest = list[0]
		}
	}
	p.setLocked(oldest.target, p.idle[oldest.target][1:])
	return oldest
}

// Drop closes all idle connections to the target.
func (p *Pool) Drop(target Target, reason Reason) {
	p.mu.Lock()
	list := p.idle[target]
	p.setLocked(target, nil)
	p.mu.Unlock()
	for _, conn := range list {
		p.close(conn, reason)
	}
}

// Avoid closes all idle connections to the target and keeps no others for the given time.
func (p *Pool) Avoid(target Target, d time.Duration, reason Reason) {
	p.mu.Lock()
	p.avoided[target] = p.opt.Clock.Now().Add(d)
	p.mu.Unlock()
	p.Drop(target, reason)
}

// Sweep closes the connections that can't be used any more, and those to targets for which dropped returns a reason.
func (p *Pool) Sweep(dropped func(Target) Reason) {
	now := p.opt.Clock.Now()
	for _, target := range p.targets(now) {
		if reason := dropped(target); reason != "" {
			p.Drop(target, reason)
			continue
		}
		p.sweepTarget(target, now)
	}
}

// targets returns the targets with idle connections, and forgets those that aren't avoided any more.
func (p *Pool) targets(now clock.Time) []Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	for target, until := range p.avoided {
		if now >= until {
			delete(p.avoided, target)
		}
	}
	list := make([]Target, 0, len(p.idle))
	for target := range p.idle {
		list = append(list, target)
	}
	return list
}

func (p *Pool) sweepTarget(target Target, now clock.Time) {
	closing := map[*Conn]Reason{}
	p.mu.Lock()
	var kept []*Conn
	for _, conn := range p.idle[target] {
		if reason := sweepReason(conn, now); reason != "" {
			closing[conn] = reason
		} else {
			kept = append(kept, conn)
		}
	}
	if len(closing) > 0 {
		p.setLocked(target, kept)
	}
	p.mu.Unlock()
	for conn, reason := range closing {
		p.close(conn, reason)
	}
}

// sweepReason returns why an idle connection is to be closed, or "".
func sweepReason(conn *Conn, now clock.Time) Reason {
	if conn.expired(now) {
		return ReasonExpired
	}
	if now.Sub(conn.checkedAt) < checkInterval {
		return ""
	}
	conn.checkedAt = now
	return peek(conn.TCPConn)
}

func (c *Conn) expired(now clock.Time) bool { return now.Sub(c.idleSince) >= c.limit }

// unusable returns why a connection can't be used for another request, or "".
func (p *Pool) unusable(conn *Conn, now clock.Time) Reason {
	if conn.expired(now) {
		return ReasonExpired
	}
	return peek(conn.TCPConn)
}

// Has reports whether there is an idle connection to the target, which may have ended meanwhile.
func (p *Pool) Has(target Target) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle[target]) > 0
}

// Idle returns the number of idle connections.
func (p *Pool) Idle() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.total
}

func (p *Pool) close(conn *Conn, reason Reason) {
	_ = conn.Close() // Nothing is lost with an idle connection.
	p.Closed(reason)
}

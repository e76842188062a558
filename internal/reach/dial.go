package reach

import (
	"context"
	"errors"
	"net"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/internal/recovery"
)

// maxPeersPerDial bounds the nodes that are asked for one connection, and maxPeersForControl for one that carries no request of a client: what
// is found by it decides about the replica.
const (
	maxPeersPerDial    = 2
	maxPeersForControl = 3
	// maxDeclines bounds the nodes that are asked beside these because others declined.
	maxDeclines = 8
)

// Request says how a connection is opened and what it is for.
type Request struct {
	// Timeout bounds the opening.
	Timeout time.Duration
	// PeerDelay is the time without a direct connection after which another node is asked for a tunnel. It is asked at once if the path is
	// known to be lost, or the direct connection fails. The next node is asked after the same time again.
	PeerDelay time.Duration
	// Lifetime bounds the use of a tunnel.
	Lifetime time.Duration
	// Control is set for connections that carry no request of a client, which replicas that take no requests get as well.
	Control bool
}

// Conn is a connection to a replica.
type Conn struct {
	net.Conn
	// Through is the name of the node through which the tunnel leads; empty for a direct connection.
	Through string
	tcp     *net.TCPConn
}

// SetLinger sets what happens to unsent data when the connection is closed, as for a net.TCPConn. A tunnel that is closed with unsent data
// discarded is so at the other node too.
func (c *Conn) SetLinger(seconds int) error { return c.tcp.SetLinger(seconds) }

// attempt is the outcome of one way to open a connection.
type attempt struct {
	through string // Empty for the direct one.
	conn    *Conn
	err     error
}

// race opens one connection in several ways. The first that opens is used.
type race struct {
	paths    *Paths
	to       Target
	request  Request
	peers    []Peer // Not asked yet; see choosePeers.
	chosen   bool
	maxPeers int
	asked    int // Without those that declined.
	declined int
	pending  int
	direct   bool // A direct connection is tried.
	timedOut bool
	begun    clock.Time
	attempts chan attempt
	failure  DialError
}

// Dial opens a connection to a replica. The error is a *DialError, or that of the context.
func (p *Paths) Dial(ctx context.Context, to Target, request Request) (*Conn, error) {
	direct, lost := p.begin(to)
	maxPeers := maxPeersPerDial
	if request.Control {
		maxPeers = maxPeersForControl
	}
	r := &race{paths: p, to: to, request: request, maxPeers: maxPeers, begun: p.opt.Clock.Now(), attempts: make(chan attempt, 1+maxPeers)}
	if !direct {
		r.choosePeers()
	}
	if direct || r.failure.Alone {
		r.startDirectly(ctx)
	}
	peerContext, cancel := context.WithTimeout(ctx, request.Timeout)
	conn, err := r.run(ctx, peerContext, lost)
	if r.pending == 0 {
		cancel()
		return conn, err
	}
	go func() {
		defer p.opt.Panics.Recover(nil)
		r.drain(cancel, conn)
	}()
	return conn, err
}

// start runs one way to open the connection in its own goroutine.
func (r *race) start(ctx context.Context, through string, open func(context.Context) (*Conn, error)) {
	r.pending++
	go func() {
		defer r.paths.opt.Panics.Recover(nil)
		outcome := attempt{through: through, err: recovery.ErrPanic}
		defer func() { r.attempts <- outcome }()
		outcome.conn, outcome.err = open(ctx)
	}()
}

// startDirectly tries a direct connection. It goes on when another one is used, since it tells whether the path works.
func (r *race) startDirectly(ctx context.Context) {
	r.direct = true
	r.start(context.WithoutCancel(ctx), "", r.dialDirectly)
}

func (r *race) dialDirectly(ctx context.Context) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, r.request.Timeout)
	defer cancel()
	conn, err := r.paths.opt.Direct(ctx, r.to.Address)
	if err != nil {
		r.paths.noteFailure(r.to)
		return nil, err
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		conn.Close()
		return nil, errors.New("the connection isn't one of TCP")
	}
	return &Conn{Conn: tcp, tcp: tcp}, nil
}

// choosePeers sets the nodes to ask. Most connections need none, and the choice among many nodes takes longer than the rest.
func (r *race) choosePeers() {
	if !r.chosen {
		r.chosen, r.peers = true, r.paths.peersFor(r.to)
		r.failure.Alone = len(r.peers) == 0
	}
}

// askPeer asks the next node for a tunnel, if there is one. Otherwise a path that is known to be lost is tried, unless a node has found that it
// doesn't reach the replica either.
func (r *race) askPeer(ctx context.Context) {
	r.choosePeers()
	if len(r.peers) == 0 || r.asked >= r.maxPeers {
		if !r.direct && !r.failure.Confirmed() {
			r.startDirectly(ctx)
		}
		return
	}
	peer := r.peers[0]
	r.peers = r.peers[1:]
	r.asked++
	r.start(ctx, peer.Name, func(ctx context.Context) (*Conn, error) { return r.paths.openTunnel(ctx, peer, r.to, r.request) })
}

// run waits for the first connection that opens, or until none can any more.
func (r *race) run(ctx, peerContext context.Context, lost bool) (*Conn, error) {
	if lost {
		r.askPeer(peerContext)
	}
	next := time.NewTimer(r.request.PeerDelay)
	defer next.Stop()
	for r.pending > 0 {
		select {
		case <-peerContext.Done():
			if ctx.Err() != nil {
				return nil, ctx.Err()
			}
			if r.failure.Direct == nil {
				r.failure.Direct = context.DeadlineExceeded
			}
			r.timedOut = true
			r.choosePeers() // It tells whether there is any.
			return nil, &r.failure
		case <-next.C:
			r.askPeer(peerContext)
			next.Reset(r.request.PeerDelay)
		case a := <-r.attempts:
			r.pending--
			if a.err == nil {
				r.opened(a)
				return a.conn, nil
			}
			r.failed(a)
			if a.through != "" || r.asked == 0 {
				r.askPeer(peerContext)
			}
		}
	}
	return nil, &r.failure
}

// opened records that a connection has opened.
func (r *race) opened(a attempt) {
	if a.through == "" {
		r.paths.directOpened(r.to)
		return
	}
	r.paths.count("opened")
	r.paths.notePeer(r.to, a.through, true)
	if r.failure.Direct != nil {
		r.paths.directFailed(r.to, a.through, r.begun, r.failure.Direct)
	}
}

// failed records that a connection hasn't opened.
func (r *race) failed(a attempt) {
	if a.through == "" {
		r.failure.Direct = a.err
		return
	}
	r.paths.count("failed")
	if answered(a.err) {
		r.paths.notePeer(r.to, a.through, false)
	} else {
		r.paths.noteSilence(a.through)
	}
	if errors.Is(a.err, errPeerDeclined) && r.declined < maxDeclines {
		r.declined++
		r.asked-- // It has cost hardly any time.
	}
	r.failure.Peers = append(r.failure.Peers, PeerError{a.through, a.err})
}

// drain takes the attempts that are still under way when Dial has returned the given connection, nil if none opened. The direct one tells
// whether the path is lost.
func (r *race) drain(cancel context.CancelFunc, used *Conn) {
	if used != nil {
		cancel()
	}
	defer cancel()
	for ; r.pending > 0; r.pending-- {
		a := <-r.attempts
		switch {
		case a.err == nil:
			if a.through == "" {
				r.paths.directOpened(r.to)
			}
			a.conn.Close()
		case a.through == "" && used != nil:
			r.paths.directFailed(r.to, used.Through, r.begun, a.err)
		case a.through != "" && r.timedOut:
			r.paths.noteSilence(a.through)
		}
	}
}

// count counts a tunnel that was asked for.
func (p *Paths) count(outcome string) {
	if p.counter != nil {
		p.counter.Add(context.Background(), 1, metric.WithAttributes(attribute.String("outcome", outcome)))
	}
}

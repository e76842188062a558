package edge

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"cassiadeal.example/cassiadeal/internal/balance"
	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/internal/connpool"
	"cassiadeal.example/cassiadeal/internal/fleet"
	"cassiadeal.example/cassiadeal/internal/lastheard"
	"cassiadeal.example/cassiadeal/internal/reach"
	"cassiadeal.example/cassiadeal/internal/retry"
	"cassiadeal.example/cassiadeal/internal/statement"
)

const (
	// minSilence is the shortest time without a response on a kept connection after which the request is repeated on a new one, and
	// silenceTargets that time in latency targets. A replica that has acknowledged the request mostly works on it: its queue is shorter than
	// that, as requests are refused before it gets so long.
	minSilence     = time.Second
	silenceTargets = 2
	// silenceShare is the longest such time as a share of the time left, so that the repeated request has as much.
	silenceShare = 2
	// ackTimeout is the time without an acknowledgement of the request's bytes after which the path is taken for lost. It is the time
	// after which a new connection that doesn't open makes dial ask another node for a tunnel.
	ackTimeout = peerDelay
	// silenceMemory is the time for which no connections to a replica are kept after one of them was silent.
	silenceMemory = 30 * time.Second
	// maxKeptBody bounds the body of a request on a kept connection. The kernel takes it without waiting for the replica, also if the path is
	// lost. Longer ones gain little, since the connection's window has shrunk while it was idle.
	maxKeptBody = 32 << 10
)

var (
	// errSilentConnection means that nothing came on a kept connection in time.
	errSilentConnection = errors.New("no response on a connection that was kept from an earlier request")
	// errRepeatRefused means that the replica refused the request when it was repeated after a kept connection had failed.
	errRepeatRefused = errors.New("the replica refused the repeated request; the one on a kept connection may have run")
)

// unansweredError is the failure of a kept connection before any byte of a response.
type unansweredError struct{ err error }

func (e *unansweredError) Error() string { return "kept connection: " + e.err.Error() }

func (e *unansweredError) Unwrap() error { return e.err }

// link is a connection for one request.
type link struct {
	net.Conn
	through string         // The node through which it leads; empty for a direct one.
	kept    *connpool.Conn // Nil if it can't be kept.
	reused  bool
	replica *fleet.Replica
}

// discard closes the connection of a request that was given up, with what the kernel hasn't sent yet: while the path is cut, it would
// otherwise keep the request and deliver it seconds later.
func (l *link) discard() {
	if conn, ok := l.Conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = conn.SetLinger(0) // An error means that the connection is closed.
	}
	l.Close()
}

// mayKeep reports whether connections of this request may be kept: its responses can be told from those of others by its ID.
func (c *call) mayKeep() bool { return c.pool.Enabled() && c.req.ID != "" }

// openLink opens a connection for the request.
func (c *call) openLink(ctx context.Context, replica *fleet.Replica) (*link, error) {
	conn, through, err := c.dial(ctx, replica)
	if err != nil {
		return nil, err
	}
	c.pool.Opened()
	l := &link{Conn: conn, through: through, replica: replica}
	if direct, ok := conn.(*reach.Conn); ok && through == "" {
		conn = direct.Conn
	}
	if tcp, ok := conn.(*net.TCPConn); ok && through == "" && c.mayKeep() {
		l.kept = connpool.NewConn(poolTarget(replica), tcp)
	}
	return l, nil
}

func poolTarget(r *fleet.Replica) connpool.Target { return connpool.Target(reach.TargetOf(r)) }

// mayReuse reports whether the first send of the request may use a kept connection: it may be repeated if that fails. A route without a latency
// target doesn't tell when such a connection counts as silent.
func (c *call) mayReuse() bool {
	return c.mayKeep() && c.route.Idempotent() && c.route.MaxAttempts > 1 && c.route.LatencyTarget > 0 && len(c.req.Body) <= maxKeptBody
}

// takeKept returns a kept connection for the first send of the request, or nil.
func (c *call) takeKept(replica *fleet.Replica) *link {
	if !c.mayReuse() || c.dropReason(c.opt.Registry.View(), poolTarget(replica)) != "" {
		return nil
	}
	conn := c.pool.Take(poolTarget(replica))
	if conn == nil {
		return nil
	}
	return &link{Conn: conn, kept: conn, reused: true, replica: replica}
}

// connectedIfPreferred returns a function that reports whether there is an idle connection to a replica, or nil if that doesn't matter. Only
// the first send uses one.
func (c *call) connectedIfPreferred() func(*fleet.Replica) bool {
	if !c.opt.PreferConnected || c.attempts.sends > 0 || !c.mayReuse() {
		return nil
	}
	return func(r *fleet.Replica) bool { return c.pool.Has(poolTarget(r)) }
}

// dropReason returns why no connections to a target are kept, or "".
func (s *Server) dropReason(view *fleet.View, target connpool.Target) connpool.Reason {
	r := view.Replicas[target.ID]
	if r == nil || poolTarget(r) != target {
		return connpool.ReasonReplicaGone
	}
	refusal := s.opt.Statements.Check(r.Incarnation().Target(), 1)
	switch {
	case r.Draining || view.Evacuated[r.Zone]:
		return connpool.ReasonDraining
	case refusal == statement.IsLeaving || refusal == statement.Paused:
		return connpool.ReasonRefused
	case s.opt.Table.Suspected(balance.KeyOf(r)):
		return connpool.ReasonSuspected
	}
	if s.opt.Paths != nil {
		if _, lost := s.opt.Paths.Lost(reach.TargetOf(r)); lost {
			return connpool.ReasonPathLost
		}
	}
	return ""
}

// sweepPool closes kept connections that can't be used any more.
func (s *Server) sweepPool() {
	view := s.opt.Registry.View()
	s.pool.Sweep(func(target connpool.Target) connpool.Reason { return s.dropReason(view, target) })
}

// sendKept sends the request on a kept connection. If that fails before any byte of a response, it is repeated once on a new one to the same
// replica where that is allowed.
func (c *call) sendKept(ctx context.Context, l *link, replica *fleet.Replica, lastEventID string, ticket *balance.Ticket, h *lastheard.Record) (*replicaResponse, bool, error) {
	r, sent, err := c.sendOn(ctx, l, replica, lastEventID, ticket, h)
	if _, unanswered := errors.AsType[*unansweredError](err); !unanswered || ctx.Err() != nil {
		return r, sent, err
	}
	if errors.Is(err, errSilentConnection) {
		c.pool.Avoid(poolTarget(replica), silenceMemory, connpool.ReasonSilent)
	} else {
		c.pool.Drop(poolTarget(replica), connpool.ReasonFailed)
	}
	repeated := c.repeat.claimed() || c.mayRepeat(replica)
	c.opt.Log.WithFields(logrus.Fields{"request_id": c.req.ID, "target": string(balance.KeyOf(replica)), "repeated": repeated}).WithError(err).
		Info("a kept connection failed before a response")
	if !repeated {
		return nil, true, err
	}
	r, sent, errAgain := c.sendNew(ctx, replica, lastEventID, ticket, h)
	switch {
	case errAgain != nil && !sent:
		// Nothing of the repeated request was sent, so that the first failure tells what may have happened.
		c.repeat.withdraw()
		return nil, true, errors.Join(err, errAgain)
	case errAgain != nil:
		return nil, true, errAgain
	case r.header.NotRun:
		r.close()
		return nil, true, errRepeatRefused
	}
	return r, true, nil
}

// takesNoMore reports whether a replica drains, is gone or belongs to an evacuated zone, as far as this node knows now.
func (s *Server) takesNoMore(replica *fleet.Replica) bool {
	reason := s.dropReason(s.opt.Registry.View(), poolTarget(replica))
	return reason == connpool.ReasonReplicaGone || reason == connpool.ReasonDraining
}

// mayRepeat reports whether the request may be sent to the same replica again, which then counts as a retry. The replica was chosen before the
// kept connection failed, which may be seconds ago.
func (c *call) mayRepeat(replica *fleet.Replica) bool {
	if c.timeLeft() <= 0 || c.takesNoMore(replica) || !c.repeat.claim() {
		return false
	}
	if !c.admittedByStatement(replica) || !c.opt.Budget.Allow(c.service.Name, retry.ReasonTargetFailed) {
		c.repeat.withdraw()
		return false
	}
	c.opt.Metrics.Retry("kept_connection_failed")
	return true
}

// silenceLimit returns the time after which a request without a response on a kept connection is repeated on a new one, if it may be; 0 for
// never, if too little time would be left.
func (c *call) silenceLimit() time.Duration {
	limit := max(silenceTargets*c.route.LatencyTarget, minSilence)
	if limit > c.timeLeft()/silenceShare {
		return 0
	}
	return limit
}

// linkReader reads a response and notes when.
type linkReader struct {
	link     *link
	record   *lastheard.Record
	clock    clock.Clock
	received bool      // A byte has arrived.
	giveUpAt time.Time // When a kept connection without a response counts as silent; zero for never.
	// claimRepeat reports whether the request is to be repeated on a new connection after silence. Otherwise the response is awaited.
	claimRepeat func() bool
	// incompleteAt is a time at which the replica hadn't sent the last bytes that were read, drainedAt the last one at which all that had
	// arrived had been read.
	incompleteAt, drainedAt clock.Time
}

// newLinkReader returns a reader of the response to a request that is about to be written. It bounds the wait for a response on a kept
// connection.
func (c *call) newLinkReader(l *link, h *lastheard.Record) (*linkReader, error) {
	now := c.opt.Clock.Now()
	r := &linkReader{link: l, record: h, clock: c.opt.Clock, incompleteAt: now, drainedAt: now}
	if !l.reused {
		return r, nil
	}
	if limit := c.silenceLimit(); limit > 0 {
		r.giveUpAt = time.Now().Add(limit)
	}
	r.claimRepeat = func() bool { return c.repeat.claimed() || c.mayRepeat(l.replica) }
	return r, l.SetDeadline(time.Now().Add(ackTimeout))
}

// Read implements io.Reader.
func (r *linkReader) Read(p []byte) (int, error) {
	n, err := r.link.Read(p)
	for n == 0 && r.awaitLonger(err) {
		n, err = r.link.Read(p)
	}
	if n == 0 {
		return 0, err
	}
	if !r.received && r.link.reused && err == nil {
		err = r.link.SetDeadline(time.Time{})
	}
	r.received = true
	r.record.Note()
	r.incompleteAt = r.drainedAt
	if n < len(p) {
		r.drainedAt = r.clock.Now()
	}
	return n, err
}

// awaitLonger reports whether a kept connection on which nothing was read until its deadline is read for longer: bytes have arrived meanwhile,
// which a process that got no processor time for a while hasn't seen, or the replica's host has acknowledged the request, and the replica may
// still answer it or the request can't be repeated.
func (r *linkReader) awaitLonger(err error) bool {
	if r.received || !r.link.reused || !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	if r.link.kept.Readable() {
		return r.link.SetDeadline(time.Time{}) == nil
	}
	if r.link.kept.Unacknowledged() {
		return false
	}
	if !r.giveUpAt.IsZero() && !time.Now().Before(r.giveUpAt) {
		if r.claimRepeat() {
			return false
		}
		r.giveUpAt = time.Time{}
	}
	return r.link.SetDeadline(r.giveUpAt) == nil
}

// failure returns the error of a response that was read to here.
func (r *linkReader) failure(err error) error {
	switch {
	case !r.link.reused || r.received:
		return err
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &unansweredError{errSilentConnection}
	}
	return &unansweredError{err}
}

// bodyEnd notes whether a body was read to its end.
type bodyEnd struct {
	io.ReadCloser
	reached bool
}

// Read implements io.Reader.
func (b *bodyEnd) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.reached = b.reached || err == io.EOF
	return n, err
}

// replicaResponse is the response of a replica, whose body is still to be read, with its connection.
type replicaResponse struct {
	resp   *http.Response
	header fleet.Answer

	call     *call
	link     *link
	stop     func() bool // Keeps the end of the context from closing the connection, or reports that it has.
	reader   *linkReader
	buffered *bufio.Reader
	body     *bodyEnd
	reason   connpool.Reason // Why the connection isn't kept.
	done     bool            // The connection was closed or is kept.
}

// close closes the connection unless it is kept.
func (r *replicaResponse) close() {
	if r == nil || r.done {
		return
	}
	r.done = true
	if r.body.reached {
		r.link.Close()
	} else {
		r.link.discard()
	}
	if r.reason == "" {
		r.reason = connpool.ReasonUnused
	}
	r.call.pool.Closed(r.reason)
}

// release keeps the connection for other requests if that is possible. It is called when the response is complete and usable.
func (r *replicaResponse) release() {
	if r.reason = r.closeReason(); r.reason != "" || !r.stop() {
		return // It is closed by close.
	}
	r.done = true
	keepAlive, stated := parseKeepAlive(r.resp.Header.Values("Keep-Alive"))
	perTarget := r.call.service.MaxConnections / max(r.call.opt.Nodes(), 1)
	r.call.pool.Put(r.link.kept, connpool.Usage{IdleSince: r.reader.incompleteAt, KeepAlive: keepAlive, Stated: stated, MaxPerTarget: perTarget})
}

// closeReason returns why the connection can't be kept, or "".
func (r *replicaResponse) closeReason() connpool.Reason {
	noBody := r.body.ReadCloser == http.NoBody
	switch {
	case !r.call.mayKeep():
		return connpool.ReasonNotEnabled
	case r.link.kept == nil:
		return connpool.ReasonTunnel
	case !r.body.reached:
		return connpool.ReasonUnused
	case r.buffered.Buffered() > 0:
		return connpool.ReasonLeftover
	case r.header.RequestID != r.call.req.ID:
		return connpool.ReasonUnknownID
	case r.header.NotRun || r.header.Statement.Leaving:
		return connpool.ReasonRefused
	case !noBody && r.resp.ContentLength < 0 && !slices.Contains(r.resp.TransferEncoding, "chunked"):
		return connpool.ReasonUnframed
	case r.resp.Close:
		return connpool.ReasonStated
	case r.resp.StatusCode < 200 || r.resp.StatusCode >= 500:
		return connpool.ReasonBadStatus
	}
	return ""
}

// parseKeepAlive returns the idle time that a replica states, the shortest if there are several. One that can't be read counts as 0: the
// replica closes idle connections, and it isn't known when.
func parseKeepAlive(values []string) (idle time.Duration, stated bool) {
	for _, value := range values {
		for parameter := range strings.SplitSeq(value, ",") {
			name, text, _ := strings.Cut(parameter, "=")
			if !strings.EqualFold(strings.TrimSpace(name), "timeout") {
				continue
			}
			seconds, err := strconv.ParseUint(strings.Trim(strings.TrimSpace(text), `"`), 10, 16)
			if err != nil {
				seconds = 0
			}
			if one := time.Duration(seconds) * time.Second; !stated || one < idle {
				idle, stated = one, true
			}
		}
	}
	return idle, stated
}

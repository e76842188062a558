package edge

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"cassiadeal.example/cassiadeal/internal/balance"
	"cassiadeal.example/cassiadeal/internal/buffer"
	"cassiadeal.example/cassiadeal/internal/connpool"
	"cassiadeal.example/cassiadeal/internal/fleet"
	"cassiadeal.example/cassiadeal/internal/lastheard"
	"cassiadeal.example/cassiadeal/internal/reach"
	"cassiadeal.example/cassiadeal/internal/recovery"
	"cassiadeal.example/cassiadeal/internal/respstatus"
	"cassiadeal.example/cassiadeal/internal/result"
	"cassiadeal.example/cassiadeal/internal/retry"
	"cassiadeal.example/cassiadeal/internal/statement"
)

const (
	// maxSends limits the sends of one request, including those that a replica refuses.
	maxSends = 4
	// maxResponseHeaderBytes limits the header of a response.
	maxResponseHeaderBytes = 64 << 10
	// retryAfterFull is the Retry-After delay for requests that no replica accepted; slots become free within the service time
	// of a request.
	retryAfterFull = 150 * time.Millisecond
	// retryAfterUnready is the Retry-After delay while this node lacks a current configuration or a usable replica.
	retryAfterUnready = 500 * time.Millisecond
)

var (
	// errRequestIDMismatch means that the response belongs to another request.
	errRequestIDMismatch = errors.New("the response carries the ID of another request")
	// errUnidentifiedRefusal means that a refusal may be one of an earlier request, which a faulty replica has sent again.
	errUnidentifiedRefusal = errors.New("the response states that the request has not run, but doesn't carry its ID")
	// errBarred means that nothing was sent, because of a statement that was heard while the connection was opened.
	errBarred = errors.New("the target has stated meanwhile that it takes no requests")
)

// send sends the request and reads the response header. sent tells whether the replica may have received a byte of the request. The
// connection is closed when the context ends, unless it was released before.
func (c *call) send(ctx context.Context, replica *fleet.Replica, lastEventID string, ticket *balance.Ticket, h *lastheard.Record) (r *replicaResponse, sent bool, err error) {
	if c.repeat.begin() {
		if l := c.takeKept(replica); l != nil {
			return c.sendKept(ctx, l, replica, lastEventID, ticket, h)
		}
	}
	return c.sendNew(ctx, replica, lastEventID, ticket, h)
}

// sendNew is send on a connection of its own.
func (c *call) sendNew(ctx context.Context, replica *fleet.Replica, lastEventID string, ticket *balance.Ticket, h *lastheard.Record) (r *replicaResponse, sent bool, err error) {
	l, err := c.openLink(ctx, replica)
	if err == nil {
		r, sent, err = c.sendOn(ctx, l, replica, lastEventID, ticket, h)
	}
	if err != nil && ctx.Err() == nil && !errors.Is(err, errBarred) {
		// A replica that has too many connections resets new ones, and gets on without the idle ones.
		c.pool.Drop(poolTarget(replica), connpool.ReasonRefused)
	}
	return r, sent, err
}

// sendOn is send on the given connection, once.
func (c *call) sendOn(ctx context.Context, l *link, replica *fleet.Replica, lastEventID string, ticket *balance.Ticket, h *lastheard.Record) (r *replicaResponse, sent bool, err error) {
	h.Connect(l.through)
	ticket.Connected(replica, l.through)
	stop := context.AfterFunc(ctx, l.discard)
	fail := func(sent bool, err error) (*replicaResponse, bool, error) {
		stop()
		l.discard()
		c.pool.Closed(connpool.ReasonUnused)
		return nil, sent, err
	}
	if c.opt.Statements.Barred(replica.Incarnation().Target()) != statement.NotRefused {
		return fail(false, errBarred)
	}
	sentAt := c.opt.Statements.Now()
	reader, err := c.newLinkReader(l, h)
	if err != nil {
		return fail(true, reader.failure(err))
	}
	if err := c.writeRequest(l, c.encodeRequest(replica, lastEventID, l.kept != nil)); err != nil {
		return fail(true, reader.failure(err))
	}
	limited := &io.LimitedReader{R: reader, N: maxResponseHeaderBytes}
	buffered := bufio.NewReaderSize(limited, 4096)
	resp, err := c.readFinal(buffered)
	if err != nil {
		return fail(true, reader.failure(err))
	}
	limited.N = 1 << 62
	h.Reach(lastheard.Header)
	header := c.opt.Codec.DecodeAnswer(resp)
	if header.RequestID != c.req.ID && (header.RequestID != "" || l.reused) {
		return fail(true, errRequestIDMismatch)
	}
	if header.NotRun && header.RequestID != c.req.ID {
		return fail(true, errUnidentifiedRefusal)
	}
	if header.IsFrom(replica.ID, resp.StatusCode) {
		c.opt.Statements.RecordAnswer(replica.Incarnation().Target(), header.Statement, resp.StatusCode, sentAt)
	}
	if l.reused && c.opt.Paths != nil {
		c.opt.Paths.NoteReached(reach.TargetOf(replica))
	}
	if header.NotRun {
		c.pool.Drop(poolTarget(replica), connpool.ReasonRefused)
	}
	body := &bodyEnd{ReadCloser: resp.Body}
	resp.Body = body
	return &replicaResponse{resp: resp, header: header, call: c, link: l, stop: stop, reader: reader, buffered: buffered, body: body}, true, nil
}

// refusedByStatement reports whether the replica gets no request now because of what it has stated.
func (c *call) refusedByStatement(r *fleet.Replica) bool {
	return c.opt.Statements.Check(r.Incarnation().Target(), 1) != statement.NotRefused
}

// limitedByStatement reports whether the replica has stated a limit on its rate of requests.
func (c *call) limitedByStatement(r *fleet.Replica) bool {
	_, limited := c.opt.Statements.Rate(r.Incarnation().Target(), 1)
	return limited
}

// admittedByStatement reports whether a request may be sent to the replica now, and counts it if so.
func (c *call) admittedByStatement(r *fleet.Replica) bool {
	return c.opt.Statements.Admit(r.Incarnation().Target(), 1) == statement.NotRefused
}

// encodeRequest returns the HTTP/1.1 request for the replica, with the body if it is small. The replica is asked to close the connection
// afterwards unless that may be kept.
func (c *call) encodeRequest(replica *fleet.Replica, lastEventID string, keep bool) []byte {
	var b bytes.Buffer
	b.WriteString(c.req.Method + " " + c.req.URI + " HTTP/1.1\r\nHost: " + c.req.Host + "\r\n")
	header := c.opt.Codec.EncodeHeader(c.req, fleet.SendOptions{Replica: replica.ID, Tenant: c.tenant, TimeLeft: c.timeLeft(), LastEventID: lastEventID,
		Urgency: c.urgency, HasUrgency: c.hasUrgency})
	// Writing to a buffer can't fail.
	_ = header.Write(&b)
	if len(c.req.Body) > 0 || c.req.Method != http.MethodGet && c.req.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(c.req.Body)) + "\r\n")
	}
	if !keep {
		b.WriteString("Connection: close\r\n")
	}
	b.WriteString("\r\n")
	b.Write(c.inlineBody())
	return b.Bytes()
}

// balanceQuery updates the view of the registry and returns the query to the balance table without the excluded targets.
func (c *call) balanceQuery(exclude map[balance.Key]bool) balance.Query {
	c.view = c.opt.Registry.View()
	if c.attempts.sends == 0 {
		c.waited = time.Since(c.start)
	}
	return balance.Query{View: c.view, Service: c.service, Model: c.model, PromptTokens: c.req.PromptTokens, OutputTokens: c.output, Zone: c.opt.Zone,
		Exclude: exclude, Refused: c.refusedByStatement, Limited: c.limitedByStatement, ColdShare: 1 / float64(max(c.opt.Nodes(), 1)), LoadAge: c.opt.LoadAge(),
		GapTarget: c.route.GapTarget, Arrivals: c.arrivals(), Connected: c.connectedIfPreferred()}
}

// serveBuffered serves a request whose response is buffered until it is complete, so that an incomplete one can be replaced.
func (c *call) serveBuffered() {
	exclude := map[balance.Key]bool{}
	c.opt.Budget.RecordRequest(c.service.Name)
	for {
		if refusal := c.crashRefusal(); refusal != nil {
			if c.attempts.mayHaveRun() {
				c.giveUp()
			} else {
				c.refuse(refusal)
			}
			return
		}
		if c.attempts.mayHaveRun() {
			c.attempts.readmit(exclude)
		}
		replica := c.chooseReplica(exclude)
		if replica == nil {
			c.giveUp()
			return
		}
		key := balance.KeyOf(replica)
		exclude[key] = true
		if c.attempts.sends > 0 && !c.allowRetry(retry.ReasonTargetFailed) {
			c.giveUp()
			return
		}
		done, retryable := c.trySend(replica, key, exclude)
		if done {
			return
		}
		if !retryable || c.ctx.Err() != nil {
			c.giveUp()
			return
		}
	}
}

// chooseReplica returns the replica for the next send, which counts towards what the replica has stated, or nil.
func (c *call) chooseReplica(exclude map[balance.Key]bool) *fleet.Replica {
	for {
		if r := c.availableReplica(exclude); r == nil || c.admittedByStatement(r) {
			return r
		}
	}
}

// availableReplica returns a replica that another send may go to, or nil.
func (c *call) availableReplica(exclude map[balance.Key]bool) *fleet.Replica {
	if c.attempts.sends >= maxSends || c.attempts.maybeRun+c.attempts.running+c.repeat.arrivals() >= c.route.MaxAttempts {
		return nil
	}
	if c.model == nil {
		return c.opt.Table.PickPlain(c.balanceQuery(exclude))
	}
	if head := c.opt.Table.PickHead(c.balanceQuery(exclude)); head != nil {
		return head.Replica
	}
	return nil
}

// unusableReason returns why a response can't be forwarded, or "". A success needs the replica's seal. Statuses that tell the
// client that the request has not run are unusable here, because callers have already handled responses in which the replica
// states so.
func (c *call) unusableReason(r *replicaResponse) string {
	status := r.resp.StatusCode
	switch {
	case !respstatus.Final(status):
		return "status " + strconv.Itoa(status) + " is not one of a final response"
	case status < 300 && !r.header.Sealed:
		return "success status without the replica's seal"
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusRequestTimeout:
		return "status " + strconv.Itoa(status) + " without the statement that the request has not run"
	}
	return ""
}

// recordFailure records a send without a usable response.
func (c *call) recordFailure(replica *fleet.Replica, sent bool, err error) {
	key := balance.KeyOf(replica)
	c.attempts.lastFailure = err.Error()
	if sent {
		c.attempts.maybeRun++
	}
	if c.ctx.Err() != nil {
		return // The client disconnected or its deadline passed, which is no failure of the replica.
	}
	if sent && c.clientBlocked() {
		c.opt.Metrics.Retry("client_blocked")
		return // The replica may have cut off what the client didn't read.
	}
	if errors.Is(err, errBarred) {
		c.opt.Metrics.Retry("target_barred")
		c.opt.Log.WithFields(logrus.Fields{"request_id": c.req.ID, "target": string(key)}).Info(err.Error())
		return
	}
	if errors.Is(err, recovery.ErrPanic) {
		return // A failure of this node, not of the replica.
	}
	found := replicaListens
	if sent && connectionLost(err) {
		found = c.check(replica, err)
	}
	reason := "target_failed"
	switch {
	case found == replicaEnded:
		c.recordCrash(replica)
		reason = "target_crashed"
	case found == wayLost:
		c.attempts.cutOff = append(c.attempts.cutOff, key)
		reason = "way_lost"
	case !sent && mayOpenLater(err):
		c.attempts.unreached = append(c.attempts.unreached, key)
	}
	if found != wayLost && !errors.Is(err, reach.ErrUnconfirmed) {
		c.opt.Table.RecordOutcome(key, true)
	}
	if !sent {
		c.opt.Table.Avoid(key)
	}
	c.opt.Metrics.Retry(reason)
	c.opt.Log.WithFields(logrus.Fields{"request_id": c.req.ID, "target": string(key), "sent": sent, "fingerprint": c.suspect.Fingerprint, "prompt_parts": c.suspect.Parts,
		"crashed": found == replicaEnded, "way_lost": found == wayLost}).WithError(err).Info("send got no usable response")
}

// giveUp ends a request for which no further send is possible.
func (c *call) giveUp() {
	switch {
	case c.attempts.mayHaveRun():
		c.refuseUnanswered(c.attempts.lastFailure)
	case c.drainEnded():
		c.refuse(c.stoppingRefusal())
	case c.timeLeft() <= 0:
		c.refuse(result.New(result.DeadlineUnreachable, "no replica accepted the request before the deadline").WithRetryAfter(retryAfterFull))
	case c.attempts.sends > 0:
		c.refuse(result.New(result.QueueFull, "no replica of %q accepted the request: %s", c.service.Name, c.attempts.lastFailure).WithRetryAfter(c.retryAfter(retryAfterFull)))
	default:
		c.refuse(c.unavailable())
	}
}

// promise returns the time after which a target takes a request again, if what all of them have stated keeps requests from them now.
func (c *call) promise() (wait time.Duration, ok bool) {
	var targets []statement.Target
	for _, r := range c.view.ByService[c.service.Name] {
		if c.model == nil || r.Head() && r.Models[0] == c.model.Name {
			targets = append(targets, r.Incarnation().Target())
		}
	}
	return c.opt.Statements.Promise(targets)
}

// retryAfter returns the time after which a refused client may come back: at least the given time.
func (c *call) retryAfter(least time.Duration) time.Duration {
	wait, _ := c.promise()
	return max(wait, least)
}

// unavailable returns the refusal of a request for which there is no target now.
func (c *call) unavailable() *result.Error {
	if wait, ok := c.promise(); ok {
		return result.New(result.TargetsLimited, "the targets of %q have stated that they take no request now", c.service.Name).WithRetryAfter(max(wait, retryAfterFull))
	}
	if c.model != nil {
		return result.New(result.NoTarget, "no group that serves model %q is available", c.req.Model).WithRetryAfter(retryAfterUnready)
	}
	return result.New(result.NoTarget, "no replica of %q is available", c.service.Name).WithRetryAfter(retryAfterUnready)
}

// writeResponse writes a complete response to the client.
func (c *call) writeResponse(r *replicaResponse, body *buffer.Buffer) {
	c.opt.Codec.CopyHeaders(r.resp.Header, c.w.Header())
	c.announceClose()
	if r.resp.Header.Get("Content-Type") == "" {
		c.w.Header()["Content-Type"] = nil // Keeps net/http from detecting one.
	}
	if c.req.Method != http.MethodHead {
		c.w.Header().Set("Content-Length", strconv.Itoa(body.Len()))
	}
	c.w.WriteHeader(r.resp.StatusCode)
	_, err := body.WriteTo(c.w)
	c.durations.Record(c.route.Name, time.Since(c.start))
	outcome, reason := outcomeAnswered, "answered"
	if err != nil {
		outcome, reason = outcomeClientGone, err.Error()
	}
	c.opt.Metrics.Request(c.service.Name, result.OK, time.Since(c.start))
	c.logOutcome(outcome, reason, logrus.Fields{"status": r.resp.StatusCode})
}

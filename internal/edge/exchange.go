package edge

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"cassiadeal.example/cassiadeal/internal/balance"
	"cassiadeal.example/cassiadeal/internal/fleet"
	"cassiadeal.example/cassiadeal/internal/result"
	"cassiadeal.example/cassiadeal/internal/retry"
)

const (
	// dialWait is the longest wait for a connection to a replica. A lost opening packet is sent again only after a second, and
	// another replica is reached sooner.
	dialWait = 300 * time.Millisecond
	// maxSends bounds the sends of one request, those included that a replica refuses.
	maxSends = 4
	// maxAnswerHeader bounds the header of an answer in bytes.
	maxAnswerHeader = 64 << 10
	// retryBusy is the wait that a client is told when all replicas are full; places free within a request's service time.
	retryBusy = 150 * time.Millisecond
	// retryUnready is the wait that a client is told when the node can't know enough to serve yet.
	retryUnready = 500 * time.Millisecond
)

// reply is the head of a replica's answer with its connection.
type reply struct {
	resp   *http.Response
	answer fleet.Answer
	conn   net.Conn
}

func (r *reply) close() {
	if r != nil && r.conn != nil {
		r.conn.Close()
	}
}

// errMismatch: the answer belongs to another request.
var errMismatch = errors.New("the answer has the ID of another request")

// send opens a connection, sends the request once and reads the head of the answer. Sent tells whether a byte of the request
// may have reached the replica. The connection is closed when the context ends.
func (c *call) send(ctx context.Context, to *fleet.Replica, lastEvent string) (r *reply, sent bool, err error) {
	dialer := net.Dialer{Timeout: min(dialWait, max(c.left()/2, time.Millisecond))}
	conn, err := dialer.DialContext(ctx, "tcp", to.Address)
	if err != nil {
		return nil, false, err
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	fail := func(sent bool, err error) (*reply, bool, error) {
		stop()
		conn.Close()
		return nil, sent, err
	}
	if _, err := conn.Write(c.encode(to, lastEvent)); err != nil {
		return fail(true, err)
	}
	limited := &io.LimitedReader{R: conn, N: maxAnswerHeader}
	resp, err := http.ReadResponse(bufio.NewReaderSize(limited, 4096), &http.Request{Method: c.q.Method})
	if err != nil {
		return fail(true, err)
	}
	limited.N = 1 << 62
	answer := c.opt.Codec.DecodeAnswer(resp)
	if answer.RequestID != "" && answer.RequestID != c.q.ID {
		return fail(true, errMismatch)
	}
	return &reply{resp, answer, conn}, true, nil
}

// encode returns the request as it is sent, in one piece.
func (c *call) encode(to *fleet.Replica, lastEvent string) []byte {
	var b bytes.Buffer
	b.WriteString(c.q.Method + " " + c.q.URI + " HTTP/1.1\r\nHost: " + c.q.Host + "\r\n")
	header := c.opt.Codec.EncodeHeader(c.q, fleet.Send{Replica: to.ID, Tenant: c.tenant, Left: c.left(), LastEventID: lastEvent})
	// Writing to a buffer can't fail.
	_ = header.Write(&b)
	if len(c.q.Body) > 0 || c.q.Method != http.MethodGet && c.q.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(c.q.Body)) + "\r\n")
	}
	b.WriteString("Connection: close\r\n\r\n")
	b.Write(c.q.Body)
	return b.Bytes()
}

// query returns the question to the balance table, without the targets that were tried.
func (c *call) query(exclude map[balance.Key]bool) balance.HeadQuery {
	c.view = c.opt.Registry.View()
	return balance.HeadQuery{View: c.view, Service: c.service, Model: c.model, Prompt: c.q.PromptTokens, Zone: c.opt.Zone,
		Exclude: exclude, ColdShare: 1 / float64(max(c.opt.Nodes(), 1)), LoadAge: c.opt.LoadAge(),
		GapTarget: c.route.GapTarget}
}

// exchange serves a request whose answer is held until it is complete, so that an incomplete one can be replaced.
func (c *call) exchange() {
	exclude := map[balance.Key]bool{}
	c.opt.Budget.Request(c.service.Name)
	for {
		to := c.choose(exclude)
		if to == nil {
			c.giveUp()
			return
		}
		key := balance.KeyOf(to)
		exclude[key] = true
		if c.tries.sends > 0 && !c.opt.Budget.Allow(c.service.Name, retry.ReasonTargetFailed) {
			c.giveUp()
			return
		}
		done, again := c.try(to, key)
		if done {
			return
		}
		if !again || c.ctx.Err() != nil {
			c.giveUp()
			return
		}
	}
}

// choose returns the replica for the next send, or nil.
func (c *call) choose(exclude map[balance.Key]bool) *fleet.Replica {
	if c.tries.sends >= maxSends || c.tries.maybe >= c.route.MaxAttempts {
		return nil
	}
	if c.model == nil {
		return c.opt.Table.PickPlain(c.query(exclude))
	}
	if head := c.opt.Table.PickHead(c.query(exclude)); head != nil {
		return head.Replica
	}
	return nil
}

// try makes one send. Done: the client has its answer. Again: another replica may be tried.
func (c *call) try(to *fleet.Replica, key balance.Key) (done, again bool) {
	ctx, cancel := c.ctx, context.CancelFunc(func() {})
	if c.route.Repeat == fleet.RepeatSafe && c.tries.maybe+1 < c.route.MaxAttempts {
		// A silent replica must leave time for another one.
		ctx, cancel = context.WithTimeout(c.ctx, c.left()/2)
	}
	defer cancel()
	c.tries.sends++
	c.tries.last = string(key)
	ticket := c.opt.Table.Begin(key, c.q.PromptTokens, c.route.Target)
	defer ticket.End()
	c.opt.Table.CountSend(to, c.view)
	r, sent, err := c.send(ctx, to, "")
	defer r.close()
	if err != nil {
		c.failed(key, sent, err)
		return false, !sent || c.route.Idempotent()
	}
	if r.answer.NotRun {
		c.tries.reason = "not run, status " + strconv.Itoa(r.resp.StatusCode)
		return false, true
	}
	body, err := io.ReadAll(io.LimitReader(r.resp.Body, maxAnswerBytes))
	if err != nil {
		c.failed(key, true, err)
		return false, c.route.Idempotent()
	}
	if bad := c.unusable(r); bad != "" {
		c.failed(key, true, errors.New(bad))
		return false, c.route.Idempotent()
	}
	c.opt.Table.Outcome(key, r.resp.StatusCode >= 500)
	c.tries.maybe++
	if r.resp.StatusCode >= 500 && c.route.Idempotent() && c.tries.maybe < c.route.MaxAttempts && c.left() > c.route.Target {
		c.tries.reason = "status " + strconv.Itoa(r.resp.StatusCode)
		if next := c.choose(map[balance.Key]bool{key: true}); next != nil {
			return false, true
		}
	}
	c.pass(r, body)
	return true, false
}

// unusable tells why an answer can't be passed on, or returns "". A success needs the replica's seal, and a status that
// promises that the request has not run may be passed on only if the replica says so.
func (c *call) unusable(r *reply) string {
	status := r.resp.StatusCode
	switch {
	case status < 200:
		return "status " + strconv.Itoa(status) + " is no final answer"
	case status < 300 && !r.answer.Sealed:
		return "a success without the replica's seal"
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusRequestTimeout:
		return "status " + strconv.Itoa(status) + " without the statement that the request has not run"
	}
	return ""
}

// failed notes a send without a usable answer.
func (c *call) failed(key balance.Key, sent bool, err error) {
	c.tries.reason = err.Error()
	if sent {
		c.tries.maybe++
	}
	if c.ctx.Err() != nil {
		return // The client left or its time is over; that says nothing about the replica.
	}
	c.opt.Table.Outcome(key, true)
	if !sent {
		c.opt.Table.Avoid(key)
	}
	c.opt.Metrics.Retry("target_failed")
	c.opt.Log.WithFields(logrus.Fields{"request_id": c.q.ID, "target": string(key), "sent": sent}).WithError(err).
		Info("a send got no usable answer")
}

// giveUp ends a request for which no further send is possible.
func (c *call) giveUp() {
	switch {
	case c.tries.mayHaveRun():
		c.unanswered(c.tries.reason)
	case c.left() <= 0:
		c.refuse(result.New(result.DeadlineUnreachable, "no replica took the request in time").WithRetryAfter(retryBusy))
	case c.tries.sends > 0:
		c.refuse(result.New(result.QueueFull, "no replica of %q took the request: %s", c.service.Name, c.tries.reason).WithRetryAfter(retryBusy))
	default:
		c.refuse(result.New(result.NoTarget, "no replica of %q can be used", c.service.Name).WithRetryAfter(retryUnready))
	}
}

// pass writes a complete answer to the client.
func (c *call) pass(r *reply, body []byte) {
	c.opt.Codec.PassOn(r.resp.Header, c.w.Header())
	if c.closing.Load() {
		c.w.Header().Set("Connection", "close")
	}
	if r.resp.Header.Get("Content-Type") == "" {
		c.w.Header()["Content-Type"] = nil // Keeps net/http from guessing one.
	}
	if c.q.Method != http.MethodHead {
		c.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	c.w.WriteHeader(r.resp.StatusCode)
	_, err := c.w.Write(body)
	outcome, reason := "answered", "answered"
	if err != nil {
		outcome, reason = "client_gone", err.Error()
	}
	c.opt.Metrics.Request(c.service.Name, result.OK, time.Since(c.start))
	c.log(outcome, reason, logrus.Fields{"status": r.resp.StatusCode})
}

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
	"cassiadeal.example/cassiadeal/internal/result"
	"cassiadeal.example/cassiadeal/internal/retry"
)

const (
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 1 << 20
	// stallCheck is how often a silent stream looks whether its target is suspected.
	stallCheck = 100 * time.Millisecond
	// resumeWait is the longest wait for another target after a stream broke. Clients leave after about two seconds of silence.
	resumeWait = 1200 * time.Millisecond
	resumePoll = 50 * time.Millisecond
)

// streamEnd tells how one send of a stream ended.
type streamEnd int

const (
	streamComplete streamEnd = iota + 1
	streamBroken             // The target failed; the stream may go on elsewhere.
	streamRefused            // The target has not run the request.
	streamPassed             // A final answer other than a stream was passed on.
	clientGone
	streamTimeout
)

// progress is what the client has got of its stream.
type progress struct {
	header bool // The head of the answer was written.
	lastID string
	events int
	first  time.Duration // From the arrival of the request to its first event.
	last   time.Time     // Of the newest event.
	gap    time.Duration // The longest between two events.
}

// stream serves a request whose answer is passed on event by event.
func (c *call) stream() {
	exclude := map[balance.Key]bool{}
	p := &progress{lastID: c.q.LastEventID}
	c.opt.Budget.Request(c.service.Name)
	for {
		head, refusal := c.admit(exclude, p)
		if head == nil {
			c.endStream(p, refusal)
			return
		}
		exclude[head.Key] = true
		if c.tries.sends > 0 && !c.tries.allowed && !c.opt.Budget.Allow(c.service.Name, retry.ReasonStreamIncomplete) {
			c.endStream(p, nil)
			return
		}
		c.tries.allowed = false
		switch end := c.relay(head, exclude, p); end {
		case streamComplete:
			c.opt.Metrics.Request(c.service.Name, result.OK, time.Since(c.start))
			c.log("answered", "the stream is complete", logrus.Fields{"events": p.events, "predicted_ms": head.First.Milliseconds(),
				"first_ms": p.first.Milliseconds(), "gap_ms": p.gap.Milliseconds(), "prompt": c.q.PromptTokens,
				"delay_ms": head.Delay.Milliseconds(), "load": head.Load.Running, "unread": head.Load.Unread, "model": c.q.Model, "slow": head.Slow})
			return
		case streamPassed:
			return
		case clientGone:
			c.log("client_gone", "the client closed its connection", logrus.Fields{"events": p.events})
			return
		case streamTimeout:
			c.endStream(p, nil)
			return
		case streamBroken:
			if !c.route.Idempotent() {
				c.endStream(p, nil)
				return
			}
		}
	}
}

// admit chooses the target for the next send. It returns nil if there is none, with a refusal if the request has not been sent.
func (c *call) admit(exclude map[balance.Key]bool, p *progress) (*balance.Head, *result.Error) {
	if c.tries.sends >= maxSends || c.tries.maybe >= c.route.MaxAttempts {
		return nil, nil
	}
	if c.model == nil {
		r := c.opt.Table.PickPlain(c.query(exclude))
		if r == nil {
			return nil, result.New(result.NoTarget, "no replica of %q can be used", c.service.Name).WithRetryAfter(retryUnready)
		}
		return &balance.Head{Replica: r, Key: balance.KeyOf(r)}, nil
	}
	head := c.opt.Table.PickHead(c.query(exclude))
	if c.tries.mayHaveRun() {
		// The client has waited for this stream; it goes on wherever it can.
		for end := time.Now().Add(resumeWait); head == nil && time.Now().Before(end) && c.ctx.Err() == nil; {
			time.Sleep(resumePoll)
			head = c.opt.Table.PickHead(c.query(exclude))
		}
		return head, nil
	}
	if head == nil {
		return nil, result.New(result.NoTarget, "no group of model %q serves", c.q.Model).WithRetryAfter(retryUnready)
	}
	usual := c.opt.Table.Usual(c.service.Engine, c.model)
	if wait, late := balance.Admission(c.route.Target, c.waited+time.Since(c.start), head.Delay, usual); late {
		return nil, result.New(result.DeadlineUnreachable, "the first event of model %q is predicted in %v, %v of it due to %d requests with %d unread tokens at the best target",
			c.q.Model, head.First.Round(time.Millisecond), head.Delay.Round(time.Millisecond), head.Load.Running, head.Load.Unread).WithRetryAfter(wait)
	}
	return head, nil
}

// endStream ends a stream that can't be completed.
func (c *call) endStream(p *progress, refusal *result.Error) {
	switch {
	case p.header:
		c.opt.Metrics.Refusal(result.StreamIncomplete)
		c.log(result.StreamIncomplete.String(), "the stream broke off: "+c.tries.reason, logrus.Fields{"events": p.events})
		panic(http.ErrAbortHandler) // Closes the connection without the end of the answer.
	case refusal != nil && !c.tries.mayHaveRun():
		c.refuse(refusal)
	default:
		c.giveUp()
	}
}

// mayLeave tells whether the stream should leave a target that stands still: it must be able to go on elsewhere now, as it would
// be lost otherwise though the target may yet go on.
func (c *call) mayLeave(head *balance.Head, exclude map[balance.Key]bool) bool {
	if !c.route.Idempotent() || c.tries.maybe+1 >= c.route.MaxAttempts || c.tries.sends >= maxSends || !c.opt.Table.Suspected(head.Key) {
		return false
	}
	if c.model == nil || c.opt.Table.PickHead(c.query(exclude)) == nil {
		return false
	}
	c.tries.allowed = c.opt.Budget.Allow(c.service.Name, retry.ReasonStreamIncomplete)
	return c.tries.allowed
}

// relay sends the request to one target and passes its events on.
func (c *call) relay(head *balance.Head, exclude map[balance.Key]bool, p *progress) streamEnd {
	ctx, cancel := context.WithCancel(c.ctx)
	defer cancel()
	c.tries.sends++
	c.tries.last = string(head.Key)
	ticket := c.opt.Table.BeginHead(head, c.q.PromptTokens)
	defer ticket.End()
	c.opt.Table.CountSend(head.Replica, c.view)
	events := make(chan event, 1)
	go c.receive(ctx, head, p.lastID, events)
	check := time.NewTicker(stallCheck)
	defer check.Stop()
	for {
		select {
		case <-c.ctx.Done():
			c.tries.maybe++
			if errors.Is(c.ctx.Err(), context.DeadlineExceeded) {
				c.tries.reason = "the time limit passed"
				return streamTimeout
			}
			return clientGone
		case <-check.C:
			if c.mayLeave(head, exclude) {
				c.tries.maybe++
				c.tries.reason = "the target stands still"
				c.opt.Metrics.Retry("target_stalled")
				c.opt.Log.WithFields(logrus.Fields{"request_id": c.q.ID, "target": string(head.Key), "events": p.events}).
					Info("a stream leaves a target that stands still")
				return streamBroken
			}
		case e := <-events:
			if end := c.take(e, ticket, head, p); end != 0 {
				return end
			}
		}
	}
}

// event is one step of a target's answer: its head, an event, or its end.
type event struct {
	reply *reply // With the head.
	data  []byte
	id    string
	body  []byte // Of an answer that is no stream.
	sent  bool
	err   error // io.EOF: the answer is complete.
}

// take passes one step on. It returns 0 while the stream goes on.
func (c *call) take(e event, ticket *balance.Ticket, head *balance.Head, p *progress) streamEnd {
	switch {
	case errors.Is(e.err, io.EOF):
		c.opt.Table.Outcome(head.Key, false)
		if !p.header {
			c.failed(head.Key, true, errors.New("a stream without an event"))
			return streamBroken
		}
		return streamComplete
	case e.err != nil:
		c.failed(head.Key, e.sent, e.err)
		if !e.sent {
			return streamRefused
		}
		return streamBroken
	case e.reply != nil && e.reply.answer.NotRun:
		c.tries.reason = "not run, status " + strconv.Itoa(e.reply.resp.StatusCode)
		if fault := e.reply.answer.Fault; fault != "" && fault != head.Replica.Address && fault != head.Replica.ID {
			c.tries.reason += ", fault of " + fault
			c.opt.Table.Suspect(head.Key)
		} else {
			// A head that names itself is full, or finishes its requests before it leaves; those that run there go on.
			c.opt.Table.Full(head.Key)
		}
		c.opt.Log.WithFields(logrus.Fields{"request_id": c.q.ID, "target": string(head.Key)}).Info(c.tries.reason)
		return streamRefused
	case e.body != nil:
		if p.header {
			c.failed(head.Key, true, errors.New("no stream, status "+strconv.Itoa(e.reply.resp.StatusCode)))
			return streamBroken
		}
		c.tries.maybe++
		c.pass(e.reply, e.body)
		return streamPassed
	case e.data != nil:
		ticket.Event()
		return c.passEvent(e, p)
	}
	return 0
}

// passEvent writes one event to the client, with the head of the answer before the first.
func (c *call) passEvent(e event, p *progress) streamEnd {
	if e.id != "" && !after(e.id, p.lastID) {
		return 0 // The client has it from an earlier target.
	}
	if !p.header {
		c.opt.Codec.PassOn(e.reply.resp.Header, c.w.Header())
		if c.closing.Load() {
			c.w.Header().Set("Connection", "close")
		}
		c.w.WriteHeader(e.reply.resp.StatusCode)
		p.header, p.first, p.last = true, time.Since(c.start), time.Now()
	}
	p.gap, p.last = max(p.gap, time.Since(p.last)), time.Now()
	if _, err := c.w.Write(e.data); err != nil {
		return clientGone
	}
	if err := http.NewResponseController(c.w).Flush(); err != nil {
		return clientGone
	}
	p.events++
	if e.id != "" {
		p.lastID = e.id
	}
	return 0
}

// after tells whether an event ID comes after another. IDs are increasing numbers; other IDs count as new.
func after(id, last string) bool {
	a, err1 := strconv.ParseInt(id, 10, 64)
	b, err2 := strconv.ParseInt(last, 10, 64)
	return err1 != nil || err2 != nil || a > b
}

// receive sends the request and reads the answer into events, until its end or the end of the context.
func (c *call) receive(ctx context.Context, head *balance.Head, lastID string, events chan<- event) {
	put := func(e event) bool {
		select {
		case events <- e:
			return true
		case <-ctx.Done():
			return false
		}
	}
	r, sent, err := c.send(ctx, head.Replica, lastID)
	defer r.close()
	if err != nil {
		put(event{sent: sent, err: err})
		return
	}
	if r.answer.NotRun {
		put(event{reply: r, sent: true})
		return
	}
	if bad := c.unusable(r); bad != "" {
		put(event{sent: true, err: errors.New(bad)})
		return
	}
	if r.resp.StatusCode != http.StatusOK {
		body, err := io.ReadAll(io.LimitReader(r.resp.Body, maxAnswerBytes))
		if err != nil {
			put(event{sent: true, err: err})
			return
		}
		put(event{reply: r, body: append([]byte{}, body...), sent: true})
		return
	}
	reader := bufio.NewReaderSize(r.resp.Body, 4096)
	for {
		data, id, err := readEvent(reader)
		if err != nil {
			if errors.Is(err, io.EOF) && len(data) > 0 {
				err = io.ErrUnexpectedEOF // The target broke off in the middle of an event.
			}
			put(event{sent: true, err: err})
			return
		}
		if !put(event{reply: r, data: data, id: id, sent: true}) {
			return
		}
	}
}

// readEvent reads up to the blank line that ends an event.
func readEvent(r *bufio.Reader) (data []byte, id string, err error) {
	for {
		line, err := r.ReadBytes('\n')
		data = append(data, line...)
		if err != nil {
			return data, id, err
		}
		if len(data) > maxEventBytes {
			return data, id, errors.New("an event is too long")
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			return data, id, nil
		}
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
	}
}

package edge

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"cassiadeal.example/cassiadeal/internal/balance"
	"cassiadeal.example/cassiadeal/internal/buffer"
	"cassiadeal.example/cassiadeal/internal/lastheard"
	"cassiadeal.example/cassiadeal/internal/precedence"
	"cassiadeal.example/cassiadeal/internal/result"
	"cassiadeal.example/cassiadeal/internal/retry"
)

const (
	// stallCheckInterval is how often a stream checks whether its target is suspected of having stalled.
	stallCheckInterval = 100 * time.Millisecond
	// resumeTimeout limits the wait for another target after a stream broke off. Clients disconnect after about two seconds
	// without an event.
	resumeTimeout = 1200 * time.Millisecond
	// resumePollInterval is how often that wait looks for a target.
	resumePollInterval = 50 * time.Millisecond
)

// streamEnd tells how one send of a stream ended.
type streamEnd int

const (
	streamComplete    streamEnd = iota + 1
	streamBroken                // The target failed; another one may resume the stream.
	streamRefused               // The target has not run the request.
	responseForwarded           // A complete response other than a stream was forwarded.
	clientGone
	streamTimeout // The deadline passed, or this node stopped.
	streamBlocked // The request was found to crash replicas while it waited for its first event.
)

// progress is what the client has received of its stream.
type progress struct {
	headerWritten   bool // The response header was written.
	lastEventID     string
	events          int
	firstEventAfter time.Duration // From the arrival of the request to its first event.
	lastEventAt     time.Time     // Of the newest event.
	unnumbered      bool          // An event without an ID was forwarded, so that another target can't go on after it.
	longestGap      time.Duration // The longest between two events.
	longestWrite    time.Duration // The longest for which the client has kept a write waiting.
}

// serveStream serves a request whose response is forwarded event by event.
func (c *call) serveStream() {
	exclude := map[balance.Key]bool{}
	p := &progress{lastEventID: c.req.LastEventID}
	c.progress = p
	c.opt.Budget.RecordRequest(c.service.Name)
	c.offer()
	for {
		if refusal := c.crashRefusal(); refusal != nil {
			c.failStream(p, refusal)
			return
		}
		if c.attempts.mayHaveRun() {
			c.attempts.readmit(exclude)
		}
		head, refusal := c.admit(exclude, p)
		if head == nil {
			c.failStream(p, refusal)
			return
		}
		exclude[head.Key] = true
		if c.attempts.sends > 0 && !c.allowRetry(retry.ReasonStreamIncomplete) {
			c.failStream(p, nil)
			return
		}
		head, end := c.relay(head, exclude, p)
		switch end {
		case streamComplete:
			c.opt.Metrics.Request(c.service.Name, result.OK, time.Since(c.start))
			c.durations.Record(c.route.Name, time.Since(c.start))
			c.observeOutput(p.events)
			c.logOutcome(outcomeAnswered, "the stream is complete", logrus.Fields{"events": p.events, "expected_tokens": c.output, "predicted_ms": head.FirstEvent.Milliseconds(),
				"first_ms": p.firstEventAfter.Milliseconds(), "gap_ms": p.longestGap.Milliseconds(), "prompt": c.req.PromptTokens,
				"delay_ms": head.QueueDelay.Milliseconds(), "load": head.Load.Running, "unread": head.Load.UnreadTokens, "model": c.req.Model, "slow": head.SlowFactor})
			return
		case responseForwarded:
			return
		case clientGone:
			c.logOutcome(outcomeClientGone, "the client closed its connection", nil)
			panic(http.ErrAbortHandler) // net/http would send an empty success to a client that has closed only its side.
		case streamTimeout, streamBlocked:
			c.failStream(p, nil)
			return
		case streamBroken:
			if !c.route.Idempotent() || p.unnumbered {
				c.failStream(p, nil)
				return
			}
		}
	}
}

// admit selects the target of the next send. It returns nil if there is none; the refusal, if any, applies only while no send
// may have run.
func (c *call) admit(exclude map[balance.Key]bool, p *progress) (*balance.Selection, *result.Error) {
	if c.attempts.sends >= maxSends || c.attempts.maybeRun+c.repeat.arrivals() >= c.route.MaxAttempts {
		return nil, nil
	}
	if c.model == nil {
		r := c.chooseReplica(exclude)
		if r == nil {
			return nil, c.unavailable()
		}
		return &balance.Selection{Replica: r, Key: balance.KeyOf(r)}, nil
	}
	for {
		head, refusal := c.selectHead(exclude)
		if head == nil || c.admittedByStatement(head.Replica) {
			return head, refusal
		}
	}
}

// selectHead selects the head of a group for admit.
func (c *call) selectHead(exclude map[balance.Key]bool) (*balance.Selection, *result.Error) {
	head := c.opt.Table.PickHead(c.balanceQuery(exclude))
	if c.attempts.mayHaveRun() {
		// The client already waits for this stream, so any available target may resume it, without an admission check.
		for end := time.Now().Add(resumeTimeout); head == nil && time.Now().Before(end) && c.ctx.Err() == nil; {
			time.Sleep(resumePollInterval)
			head = c.opt.Table.PickHead(c.balanceQuery(exclude))
		}
		if head == nil {
			query := c.balanceQuery(exclude)
			query.Suspected = true // It may only be silent for a while.
			head = c.opt.Table.PickHead(query)
		}
		return head, nil
	}
	if head == nil {
		return nil, c.unavailable()
	}
	verdict, refusal := c.judge(head)
	c.opt.Metrics.Verdict(verdict.Reason)
	if refusal != nil {
		return nil, refusal
	}
	return head, nil
}

// judge decides whether a request that hasn't been sent goes to the selected head or is refused. It counts nothing.
func (c *call) judge(head *balance.Selection) (precedence.Verdict, *result.Error) {
	verdict := c.precede(head)
	switch verdict.Action {
	case precedence.Go:
		return verdict, nil
	case precedence.Refuse:
		return verdict, c.precedenceRefusal(verdict, head)
	}
	unloaded := c.opt.Table.UnloadedFirstEvent(c.service.Engine, c.model)
	if wait, late := balance.Admission(c.route.LatencyTarget, time.Since(c.start), head.QueueDelay, unloaded); late {
		return verdict, result.New(result.DeadlineUnreachable, "the first event of model %q is predicted in %v, %v of it due to %d requests with %d unread tokens at the selected target",
			c.req.Model, head.FirstEvent.Round(time.Millisecond), head.QueueDelay.Round(time.Millisecond), head.Load.Running, head.Load.UnreadTokens).WithRetryAfter(wait)
	}
	return verdict, nil
}

// failStream ends a stream that can't be completed.
func (c *call) failStream(p *progress, refusal *result.Error) {
	switch {
	case p.headerWritten:
		c.opt.Metrics.Refusal(result.StreamIncomplete)
		c.logOutcome(result.StreamIncomplete.String(), "the stream broke off: "+c.attempts.lastFailure, nil)
		panic(http.ErrAbortHandler) // Closes the connection without completing the response.
	case refusal != nil && !c.attempts.mayHaveRun():
		c.refuse(refusal)
	default:
		c.giveUp()
	}
}

// streamSend is one send of a stream.
type streamSend struct {
	head   *balance.Selection
	ticket *balance.Ticket
	heard  *lastheard.Record
	cancel context.CancelFunc
}

// startStream sends the request to the head, whose steps are sent to the given channel.
func (c *call) startStream(head *balance.Selection, p *progress, steps chan<- streamStep) *streamSend {
	ctx, cancel := context.WithCancel(c.ctx)
	c.opt.Table.CountColdSend(head.Replica, c.view)
	s := &streamSend{head: head, ticket: c.opt.Table.BeginHead(head, c.req.PromptTokens), heard: lastheard.New(), cancel: cancel}
	c.expectRest(s.ticket, p)
	go c.receiveRecovered(ctx, s, p.lastEventID, p.headerWritten, steps)
	return s
}

// end closes the connection to the target.
func (s *streamSend) end() {
	s.cancel()
	s.ticket.End()
}

// alternative selects a head that may go on with a stream for which only the given targets, one or more, are still asked, and counts it as a
// retry. It returns nil if there is none, or if one of them may still send events: it isn't suspected of having stalled, and the way to it isn't
// lost. One to which the way is lost may be asked again, on another way.
func (c *call) alternative(asked []*streamSend, exclude map[balance.Key]bool, p *progress) (head *balance.Selection) {
	for _, s := range asked {
		stranded := s.ticket.Stranded()
		if !stranded && !c.opt.Table.Suspected(s.head.Key) {
			return nil
		}
		if stranded {
			delete(exclude, s.head.Key)
		}
	}
	if c.repeat.close() {
		defer func() {
			if head == nil {
				c.repeat.reopen()
			}
		}()
	}
	c.attempts.readmit(exclude)
	if c.model == nil || p.unnumbered || !c.route.Idempotent() || c.attempts.maybeRun+len(asked)+c.repeat.arrivals() >= c.route.MaxAttempts ||
		c.attempts.sends >= maxSends || c.opt.Table.PickHead(c.balanceQuery(exclude)) == nil ||
		!c.allowRetry(retry.ReasonStreamIncomplete) {
		return nil
	}
	for {
		head := c.opt.Table.PickHead(c.balanceQuery(exclude))
		if head == nil || c.admittedByStatement(head.Replica) {
			return head
		}
	}
}

// streamRelay forwards one stream to the client. While all targets that were asked are suspected of having stalled, the request is sent to
// another one as well. The first that sends an event goes on with the stream: until then, each may go on although it was silent, and each
// other may refuse the request, fail or be silent too.
type streamRelay struct {
	*call
	p       *progress
	exclude map[balance.Key]bool
	current *streamSend
	others  []*streamSend // They have sent no event.
	steps   chan streamStep
}

// relay sends the request to one target and forwards its events to the client. It returns the target that sent the last of them.
func (c *call) relay(head *balance.Selection, exclude map[balance.Key]bool, p *progress) (*balance.Selection, streamEnd) {
	steps := make(chan streamStep)
	r := &streamRelay{call: c, p: p, exclude: exclude, steps: steps, current: c.startStream(head, p, steps)}
	c.attempts.startSend(head.Key, r.current.heard)
	defer func() { // Also after a panic.
		r.current.end()
		r.dropOthers()
	}()
	end := r.run()
	return r.current.head, end
}

func (r *streamRelay) run() streamEnd {
	stallTicker := time.NewTicker(stallCheckInterval)
	defer stallTicker.Stop()
	for {
		var end streamEnd
		select {
		case <-r.ctx.Done():
			return r.contextEnded()
		case <-stallTicker.C:
			end = r.checkTarget()
		case step := <-r.steps:
			switch {
			case step.from == r.current:
				end = r.handleCurrent(step)
			case slices.Contains(r.others, step.from): // Otherwise it has been ended meanwhile.
				end = r.handleOther(step)
			}
		}
		if end != 0 {
			return end
		}
	}
}

func (r *streamRelay) contextEnded() streamEnd {
	r.attempts.maybeRun++
	switch {
	case errors.Is(r.ctx.Err(), context.DeadlineExceeded):
		r.attempts.lastFailure = "the deadline passed"
		return streamTimeout
	case r.stopped.Err() != nil:
		r.attempts.lastFailure = "this node stopped"
		return streamTimeout
	}
	return clientGone
}

// checkTarget ends a stream that is blocked before it began, and sends the request to another target if the current one is suspected
// of having stalled.
func (r *streamRelay) checkTarget() streamEnd {
	if !r.attempts.began && r.crashRefusal() != nil {
		// The replica drops the request when the connection closes, and so doesn't begin to answer it.
		r.attempts.maybeRun++
		r.attempts.lastFailure = "the request was blocked while it waited: it, or a part of its prompt, crashes replicas"
		return streamBlocked
	}
	for _, other := range r.others {
		r.current.ticket.YieldTo(other.ticket)
	}
	head := r.alternative(append([]*streamSend{r.current}, r.others...), r.exclude, r.p)
	if head == nil {
		return 0
	}
	r.exclude[head.Key] = true
	r.attempts.sends++
	r.opt.Metrics.Retry("target_stalled")
	r.opt.Log.WithFields(logrus.Fields{"request_id": r.req.ID, "target": string(r.current.head.Key), "other": string(head.Key), "events": r.p.events,
		"way_lost": r.current.ticket.Stranded()}).Info("the target of a stream has stalled; asking another one as well")
	other := r.startStream(head, r.p, r.steps)
	r.others = append(r.others, other)
	r.attempts.othersAsked++
	r.attempts.other, r.attempts.otherHeard = string(head.Key), other.heard
	return 0
}

// handleCurrent handles a step of the current target. If it fails, another one goes on; if it sends an event, the others aren't needed.
func (r *streamRelay) handleCurrent(step streamStep) streamEnd {
	end := r.handleStep(step, r.current, r.p)
	if len(r.others) == 0 {
		return end
	}
	switch end {
	case streamBroken, streamRefused:
		r.current.end()
		r.use(r.others[0])
		return 0
	case 0:
		if !isComment(step.data) {
			r.dropOthers()
		}
	}
	return end
}

// handleOther handles a step of another target than the current one, before it has sent an event.
func (r *streamRelay) handleOther(step streamStep) streamEnd {
	if step.data != nil && isComment(step.data) {
		return 0 // It may keep its connection open and never begin.
	}
	if step.data != nil || errors.Is(step.err, io.EOF) && r.p.headerWritten {
		r.moveTo(step.from)
		return r.handleStep(step, r.current, r.p)
	}
	if step.response != nil && !step.response.header.NotRun {
		step.err = errNoStream
	}
	began := r.attempts.began
	r.attempts.began = false // The other target hasn't begun, whatever the current one has done.
	r.handleStep(step, step.from, r.p)
	r.attempts.began = began
	step.from.end()
	r.removeOther(step.from)
	r.current.ticket.CountAgain()
	return 0
}

// moveTo leaves all targets that have stalled for another one.
func (r *streamRelay) moveTo(s *streamSend) {
	r.opt.Log.WithFields(logrus.Fields{"request_id": r.req.ID, "target": string(s.head.Key), "events": r.p.events}).
		Info("a stream goes on at another target")
	r.leave(r.current)
	r.use(s)
	r.dropOthers()
}

// use makes one of the other targets the current one.
func (r *streamRelay) use(s *streamSend) {
	r.removeOther(s)
	r.current = s
	r.exclude[s.head.Key] = true // It may be the target that was left, on another way.
	r.attempts.takeovers++
	r.attempts.lastTarget, r.attempts.began, r.attempts.heard = string(s.head.Key), false, s.heard
}

func (r *streamRelay) removeOther(s *streamSend) {
	r.others = slices.DeleteFunc(r.others, func(o *streamSend) bool { return o == s })
}

// leave closes the connection to a target, which may have run the request. It hasn't failed, so that the stream may return to it.
func (r *streamRelay) leave(s *streamSend) {
	r.attempts.maybeRun++
	delete(r.exclude, s.head.Key)
	s.end()
}

// dropOthers closes the connections to the other targets, so that the request depends on the current one again.
func (r *streamRelay) dropOthers() {
	for _, s := range r.others {
		r.leave(s)
	}
	r.others = nil
	r.exclude[r.current.head.Key] = true // One of the others may have asked the same target on another way.
	r.current.ticket.CountAgain()
}

// streamStep is one result of receive: a refusal, a complete response that is no stream, one event of a stream, or the end.
type streamStep struct {
	from     *streamSend
	response *replicaResponse // Nil if err is set.
	data     []byte
	eventID  string
	body     *buffer.Buffer // Of a response that is no stream.
	sent     bool           // The target may have received a byte of the request.
	err      error          // io.EOF if the stream is complete.
}

// handleStep forwards one step to the client or ends the send. It returns 0 while the stream continues.
func (c *call) handleStep(step streamStep, send *streamSend, p *progress) streamEnd {
	head := send.head
	switch {
	case errors.Is(step.err, io.EOF):
		c.opt.Table.RecordOutcome(head.Key, false)
		if !p.headerWritten {
			c.recordFailure(head.Replica, true, fmt.Errorf("the stream ended without an event: %w", io.ErrUnexpectedEOF))
			return streamBroken
		}
		c.recordAnswer()
		return streamComplete
	case step.err != nil:
		c.recordFailure(head.Replica, step.sent, step.err)
		if !step.sent {
			return streamRefused
		}
		return streamBroken
	case step.response != nil && step.response.header.NotRun:
		c.attempts.lastFailure = "not run, status " + strconv.Itoa(step.response.resp.StatusCode)
		if fault := step.response.header.FaultyReplica; fault != "" && fault != head.Replica.Address && fault != head.Replica.ID {
			c.attempts.lastFailure += ", fault of " + fault
			c.opt.Table.Suspect(head.Key)
		} else {
			// A head that reports no other member at fault is full, or finishes its running requests before it leaves the
			// group; streams that run there continue.
			c.opt.Table.MarkFull(head.Key)
		}
		c.opt.Log.WithFields(logrus.Fields{"request_id": c.req.ID, "target": string(head.Key)}).Info(c.attempts.lastFailure)
		return streamRefused
	case step.response != nil && step.data == nil:
		if p.headerWritten {
			c.recordFailure(head.Replica, true, errors.New("response is not a stream, status "+strconv.Itoa(step.response.resp.StatusCode)))
			return streamBroken
		}
		c.attempts.maybeRun++
		c.recordAnswer()
		c.writeResponse(step.response, step.body)
		return responseForwarded
	case step.data != nil:
		send.ticket.RecordEvent()
		c.recordBegin()
		return c.writeEvent(step, p)
	}
	return 0
}

// writeEvent writes one event to the client, after the response header if it is the first.
func (c *call) writeEvent(step streamStep, p *progress) streamEnd {
	if step.eventID != "" && !isNewerEventID(step.eventID, p.lastEventID) {
		return 0 // The client has received it from an earlier target.
	}
	if !p.headerWritten {
		c.opt.Codec.CopyHeaders(step.response.resp.Header, c.w.Header())
		c.announceClose()
		c.w.WriteHeader(step.response.resp.StatusCode)
		p.headerWritten, p.firstEventAfter, p.lastEventAt = true, time.Since(c.start), time.Now()
	}
	p.longestGap, p.lastEventAt = max(p.longestGap, time.Since(p.lastEventAt)), time.Now()
	defer p.noteWrite(p.lastEventAt)
	if _, err := c.w.Write(step.data); err != nil {
		return clientGone
	}
	if err := http.NewResponseController(c.w).Flush(); err != nil {
		return clientGone
	}
	p.events++
	if step.eventID != "" {
		p.lastEventID = step.eventID
	} else if !isComment(step.data) {
		p.unnumbered = true
	}
	return 0
}

// isComment reports whether the bytes up to a blank line hold only comments, for example to keep a connection open.
func isComment(event []byte) bool {
	for line := range bytes.Lines(event) {
		if line = bytes.TrimRight(line, "\r\n"); len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}

// isNewerEventID tells whether an event ID comes after the last one. IDs are increasing numbers; other IDs count as newer.
func isNewerEventID(id, last string) bool {
	a, err1 := strconv.ParseInt(id, 10, 64)
	b, err2 := strconv.ParseInt(last, 10, 64)
	return err1 != nil || err2 != nil || a > b
}

var (
	errNoStream   = errors.New("the response to a resumed stream isn't a stream of events")
	errUnnumbered = errors.New("an event of a resumed stream has no ID")
)

// isEventStream reports whether a response is a stream of events by its type.
func isEventStream(h http.Header) bool {
	mediaType, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return err == nil && mediaType == "text/event-stream"
}

// receive sends the request and reads the response into steps, until it ends or the context is done. What follows events that the
// client already has, if the stream is resumed, must be numbered events: anything else could be the text of an error.
func (c *call) receive(ctx context.Context, send *streamSend, lastEventID string, resumed bool, steps chan<- streamStep) {
	emit := func(step streamStep) bool {
		step.from = send
		select {
		case steps <- step:
			return true
		case <-ctx.Done():
			return false
		}
	}
	r, sent, err := c.send(ctx, send.head.Replica, lastEventID, send.ticket, send.heard)
	defer r.close()
	if err != nil {
		emit(streamStep{sent: sent, err: err})
		return
	}
	if r.header.NotRun {
		emit(streamStep{response: r, sent: true})
		return
	}
	if problem := c.unusableReason(r); problem != "" {
		emit(streamStep{sent: true, err: errors.New(problem)})
		return
	}
	if r.resp.StatusCode != http.StatusOK {
		body := c.buffers.NewBuffer(maxResponseBytes)
		defer body.Release()
		if err := body.ReadAll(r.resp.Body); err != nil {
			emit(streamStep{sent: true, err: err})
			return
		}
		r.release()
		if emit(streamStep{response: r, body: body, sent: true}) {
			<-ctx.Done() // The body is being written until then.
		}
		return
	}
	if resumed && !isEventStream(r.resp.Header) {
		emit(streamStep{sent: true, err: errNoStream})
		return
	}
	reader := bufio.NewReaderSize(r.resp.Body, 4096)
	previous := c.buffers.NewBuffer(maxEventBytes)
	event := previous
	defer func() {
		previous.Release()
		event.Release()
	}()
	for {
		event = c.buffers.NewBuffer(maxEventBytes)
		id, err := readEvent(reader, event)
		if err == nil && resumed && id == "" && !isComment(event.Bytes()) {
			err = errUnnumbered
		}
		if err != nil {
			event.Release()
			if errors.Is(err, io.EOF) {
				r.release()
			}
			emit(streamStep{sent: true, err: err})
			return
		}
		send.heard.Reach(lastheard.Body)
		emitted := emit(streamStep{response: r, data: event.Bytes(), eventID: id, sent: true})
		previous.Release() // The event before has been written once the next one is accepted.
		previous = event
		if !emitted {
			return
		}
	}
}

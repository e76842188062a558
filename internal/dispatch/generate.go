package dispatch

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"cassiadeal.example/cassiadeal/internal/lastheard"
	"cassiadeal.example/cassiadeal/internal/result"
	"cassiadeal.example/cassiadeal/internal/schema"
	"cassiadeal.example/cassiadeal/internal/statement"
	"cassiadeal.example/cassiadeal/internal/target"
)

// maxEventLine bounds one line of a token stream in bytes.
const maxEventLine = 64 << 10

// streamEvent is one event of an engine's token stream.
type streamEvent struct {
	RequestID    string `json:"request_id"`
	Offset       uint64 `json:"offset"`
	Token        string `json:"token"`
	End          bool   `json:"end"`
	Tokens       uint64 `json:"tokens"`
	CachedTokens uint64 `json:"cached_tokens"`
	Cold         bool   `json:"cold"` // In the end marker: the engine is cold.
}

// streamError is a failure after which a stream must not be resumed.
type streamError struct {
	code       result.Code
	notRun     bool
	targetLost bool // The target failed or was replaced, or its responses can't be relied on.
	message    string
}

func (e *streamError) Error() string { return e.message }

// stream is one token stream, which may span several connections.
type stream struct {
	runner           *Runner
	slot             *target.Slot
	req              *schema.DispatchRequest
	sink             Sink
	nextOffset       uint64 // Offset of the next token.
	headSent         bool
	cachedTokens     uint64
	cold             bool // The end marker states that the engine is cold.
	heard            *lastheard.Record
	connectionBroken bool // A connection failed after a byte may have been sent.
}

// runGenerate sends a generate request to rank 0 of the group and resumes its stream if the connection breaks.
func (r *Runner) runGenerate(ctx context.Context, slot *target.Slot, req *schema.DispatchRequest, sink Sink, heard *lastheard.Record) exchangeEnd {
	body, err := generateBody(slot, req)
	if err != nil {
		return notRunEnd(result.BadRequest, "generate request: %v", err)
	}
	s := &stream{runner: r, slot: slot, req: req, sink: sink, heard: heard}
	ex := &exchange{open: r.options.Dial, idleTimeout: r.options.IdleTimeout, checkTarget: slot.Check, onPanic: func(value any) { r.reportPanic(value, slot, req) }, heard: heard}
	err = s.runExchange(ctx, ex, "/v1/generate", body)
	if !ex.close() {
		return notSentEnd(ctx, ex, slot, err)
	}
	resumes := 0
	for tries := 0; err != nil && s.resumable(ctx, err) && tries < r.options.MaxResumeTries; tries++ {
		resumes++
		r.resumeCounter.Add(ctx, 1)
		nextBefore := s.nextOffset
		if err = s.runExchange(ctx, &exchange{open: r.options.Dial, idleTimeout: r.options.IdleTimeout, heard: heard}, "/v1/resume", s.controlBody()); s.nextOffset > nextBefore {
			tries = -1
		}
	}
	if err == nil {
		return exchangeEnd{end: &schema.DispatchEnd{Tokens: s.nextOffset, CacheHit: s.cachedTokens > 0}, outcome: target.Outcome{Completed: true, Cold: s.cold}}
	}
	e := s.failureEnd(ctx, err)
	e.resumes = resumes
	return e
}

// generateBody adds the priority and the group to the caller's body. The group lets an engine of another group refuse the
// request. Other fields keep the caller's encoding.
func generateBody(slot *target.Slot, req *schema.DispatchRequest) ([]byte, error) {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(req.GetBody(), &fields); err != nil {
		return nil, err
	}
	if fields == nil {
		return nil, errors.New("the body is null instead of an object")
	}
	added := map[string]any{"priority": req.GetPriority(), "group": slot.Group, "number": slot.Number}
	for name, value := range added {
		encoded, err := json.Marshal(value)
		if err != nil {
			return nil, err
		}
		fields[name] = encoded
	}
	return json.Marshal(fields)
}

// controlBody returns the body of resume and cancel calls.
func (s *stream) controlBody() []byte {
	body, _ := json.Marshal(map[string]any{"request_id": s.req.GetRequestId(), "offset": s.nextOffset}) // Marshal can't fail for these types.
	return body
}

func (s *stream) resumable(ctx context.Context, err error) bool {
	var streamErr *streamError
	return ctx.Err() == nil && !errors.As(err, &streamErr) && !errors.Is(err, errSink)
}

// runExchange sends one request on a new connection and reads the stream. It returns nil once the end marker was read.
func (s *stream) runExchange(ctx context.Context, ex *exchange, path string, body []byte) error {
	defer ex.close()
	headers := []*schema.Header{{Name: "Content-Type", Value: "application/json"}, {Name: "Accept", Value: "text/event-stream"}}
	httpReq, err := newRequest(ctx, http.MethodPost, s.slot.Address, path, s.req.GetRequestId(), headers, body)
	if err != nil {
		return err
	}
	resp, err := ex.transport().RoundTrip(httpReq)
	if err != nil {
		s.connectionBroken = true
		return err
	}
	defer resp.Body.Close()
	s.heard.Reach(lastheard.Header)
	if got := resp.Header.Get(headerRequestID); got == "" || got == s.req.GetRequestId() {
		s.slot.RecordStatement(resp)
	}
	if err := s.checkResponseHead(path, resp); err != nil {
		return err
	}
	err = s.readEvents(bufio.NewReaderSize(resp.Body, maxEventLine))
	s.connectionBroken = s.connectionBroken || err != nil && s.resumable(ctx, err)
	return err
}

func (s *stream) checkResponseHead(path string, resp *http.Response) error {
	switch {
	case resp.StatusCode == http.StatusConflict && path == "/v1/generate" && resp.Header.Get(headerRequestID) == s.req.GetRequestId():
		return &streamError{code: result.TargetUnreachable, notRun: true, message: "the engine is not ready or belongs to another group"}
	case path == "/v1/generate" && statesNotExecuted(resp) && resp.Header.Get(headerRequestID) == s.req.GetRequestId():
		return &streamError{code: result.TargetRefused, notRun: true, message: fmt.Sprintf("the engine refused the request with status %d", resp.StatusCode)}
	case resp.StatusCode == http.StatusServiceUnavailable:
		return &streamError{code: result.TargetFailed, targetLost: true, message: "the engine failed under overload"}
	case resp.StatusCode != http.StatusOK:
		return &streamError{code: result.TargetFailed, targetLost: path == "/v1/resume", message: fmt.Sprintf("%s: status %d", path, resp.StatusCode)}
	}
	if got := resp.Header.Get(headerRequestID); got != s.req.GetRequestId() {
		return &streamError{code: result.AnswerMismatch, targetLost: true, message: fmt.Sprintf("response to request %q instead of %q", got, s.req.GetRequestId())}
	}
	if got := resp.Header.Get(statement.HeaderIncarnation); got != s.slot.Incarnation {
		return &streamError{code: result.TargetFailed, targetLost: true, message: fmt.Sprintf("incarnation %q instead of %q", got, s.slot.Incarnation)}
	}
	return nil
}

// readEvents forwards tokens until the end marker.
func (s *stream) readEvents(from *bufio.Reader) error {
	for {
		line, err := from.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			return &streamError{code: result.StreamIncomplete, message: fmt.Sprintf("an event has more than %d bytes", maxEventLine)}
		}
		if errors.Is(err, io.EOF) {
			return fmt.Errorf("no end marker after %d tokens: %w", s.nextOffset, io.ErrUnexpectedEOF)
		}
		if err != nil {
			return fmt.Errorf("the stream broke after %d tokens: %w", s.nextOffset, err)
		}
		data, ok := bytes.CutPrefix(bytes.TrimSpace(line), []byte("data:"))
		if !ok {
			continue // Blank line, comment, or a field that isn't used.
		}
		var ev streamEvent
		if err := json.Unmarshal(data, &ev); err != nil {
			return &streamError{code: result.StreamIncomplete, message: fmt.Sprintf("malformed event: %v", err)}
		}
		s.heard.Reach(lastheard.Body)
		if done, err := s.handleEvent(ev); done || err != nil {
			return err
		}
	}
}

// handleEvent handles one event. It returns true if it was the end marker.
func (s *stream) handleEvent(ev streamEvent) (done bool, err error) {
	switch {
	case ev.RequestID != s.req.GetRequestId():
		return false, &streamError{code: result.AnswerMismatch, targetLost: true, message: fmt.Sprintf("event of request %q instead of %q", ev.RequestID, s.req.GetRequestId())}
	case ev.End && ev.Tokens != s.nextOffset:
		return false, &streamError{code: result.StreamIncomplete, message: fmt.Sprintf("the end marker states %d tokens, %d were received", ev.Tokens, s.nextOffset)}
	case ev.End:
		s.cachedTokens, s.cold = ev.CachedTokens, ev.Cold
		return true, s.sendHead()
	case ev.Offset < s.nextOffset:
		return false, nil // Duplicate.
	case ev.Offset > s.nextOffset:
		return false, &streamError{code: result.StreamIncomplete, message: fmt.Sprintf("offset %d instead of %d", ev.Offset, s.nextOffset)}
	}
	if err := s.sendHead(); err != nil {
		return false, err
	}
	token := &schema.TokenEvent{Offset: ev.Offset, Text: ev.Token}
	if err := s.sink(&schema.DispatchChunk{Part: &schema.DispatchChunk_Token{Token: token}}); err != nil {
		return false, fmt.Errorf("%w: %w", errSink, err)
	}
	s.nextOffset++
	return false, nil
}

// sendHead passes the head to the sink unless it has done so before. It is called only once there is a token or the end
// marker, so that a request whose stream breaks earlier can still run at another target.
func (s *stream) sendHead() error {
	if s.headSent {
		return nil
	}
	s.headSent = true
	head := &schema.DispatchHead{Status: http.StatusOK, Headers: []*schema.Header{{Name: "Content-Type", Value: "text/event-stream"}}}
	if err := s.sink(&schema.DispatchChunk{Part: &schema.DispatchChunk_Head{Head: head}}); err != nil {
		return fmt.Errorf("%w: %w", errSink, err)
	}
	return nil
}

// failureEnd classifies the failure of a stream that ended without its end marker. It cancels the request at the engine
// unless the engine refused it.
func (s *stream) failureEnd(ctx context.Context, err error) exchangeEnd {
	var streamErr *streamError
	if !errors.As(err, &streamErr) {
		streamErr = &streamError{code: result.StreamIncomplete, message: err.Error()}
		if !s.headSent {
			streamErr.code = result.TargetFailed
		}
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			streamErr.code = result.DeadlineExceeded
		}
	}
	e := failureEnd(streamErr.code, "target %s: %s", s.slot.ID, streamErr.message)
	if streamErr.code == result.TargetRefused {
		e.end.RetryAfterMs = refusalRetryAfter(s.slot).Milliseconds()
	}
	e.end.NotRun, e.outcome.NotRun, e.end.Tokens = streamErr.notRun, streamErr.notRun, s.nextOffset
	callerEnded := ctx.Err() != nil || errors.Is(err, errSink)
	e.outcome.ConnectionLost = streamErr.targetLost || s.connectionBroken && !callerEnded
	e.connectionBroken = s.connectionBroken && !callerEnded
	if !streamErr.notRun {
		s.cancelAtEngine(ctx)
	}
	return e
}

// cancelAtEngine sends the engine a cancel call for the request, on a best-effort basis.
func (s *stream) cancelAtEngine(ctx context.Context) {
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer stop()
	ex := &exchange{open: s.runner.options.Dial, idleTimeout: cancelTimeout}
	defer ex.close()
	headers := []*schema.Header{{Name: "Content-Type", Value: "application/json"}}
	httpReq, err := newRequest(ctx, http.MethodPost, s.slot.Address, "/v1/cancel", s.req.GetRequestId(), headers, s.controlBody())
	if err != nil {
		return
	}
	resp, err := ex.transport().RoundTrip(httpReq)
	if err != nil {
		s.runner.options.Log.WithError(err).WithField("target", s.slot.ID).Debug("cannot cancel a request at the engine")
		return
	}
	s.slot.RecordStatement(resp)
	resp.Body.Close()
}

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

	"cassiadeal.example/cassiadeal/internal/result"
	"cassiadeal.example/cassiadeal/internal/schema"
	"cassiadeal.example/cassiadeal/internal/target"
)

// maxEventLine bounds one line of a token stream in bytes.
const maxEventLine = 64 << 10

// event is one event of an engine's token stream.
type streamEvent struct {
	RequestID    string `json:"request_id"`
	Offset       uint64 `json:"offset"`
	Token        string `json:"token"`
	End          bool   `json:"end"`
	Tokens       uint64 `json:"tokens"`
	CachedTokens uint64 `json:"cached_tokens"`
}

// streamError ends a stream that must not be resumed.
type streamError struct {
	code       result.Code
	notRun     bool
	targetLost bool // The target fell over or was replaced.
	message    string
}

func (e *streamError) Error() string { return e.message }

// stream is one token stream over its connections.
type stream struct {
	runner           *Runner
	slot             *target.Slot
	req              *schema.DispatchRequest
	sink             Sink
	nextOffset       uint64 // Offset of the next token.
	headSent         bool
	cachedTokens     uint64
	connectionBroken bool // A connection failed after a byte may have been sent.
}

// generate runs a generate request at rank 0 of the group and resumes its stream when the connection breaks.
func (r *Runner) runGenerate(ctx context.Context, slot *target.Slot, req *schema.DispatchRequest, sink Sink) exchangeEnd {
	body, err := generateBody(slot, req)
	if err != nil {
		return notRunEnd(result.BadRequest, "generate request: %v", err)
	}
	s := &stream{runner: r, slot: slot, req: req, sink: sink}
	ex := &exchange{idleTimeout: r.options.Idle, checkTarget: slot.Check}
	err = s.runExchange(ctx, ex, "/v1/generate", body)
	if !ex.close() {
		return notSentEnd(ctx, ex, slot, err)
	}
	for tries := 0; err != nil && s.resumable(ctx, err) && tries < r.options.MaxResumeTries; tries++ {
		r.resumeCounter.Add(ctx, 1)
		nextBefore := s.nextOffset
		if err = s.runExchange(ctx, &exchange{idleTimeout: r.options.Idle}, "/v1/resume", s.controlBody()); s.nextOffset > nextBefore {
			tries = -1
		}
	}
	if err == nil {
		return exchangeEnd{end: &schema.DispatchEnd{Tokens: s.nextOffset, CacheHit: s.cachedTokens > 0}, outcome: target.Outcome{Completed: true}}
	}
	return s.failureEnd(ctx, err)
}

// generateBody adds the priority and the group to the caller's body, so that an engine of another group refuses it. The
// other fields stay as the caller wrote them.
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

// control is the body of resume and cancel.
func (s *stream) controlBody() []byte {
	body, _ := json.Marshal(map[string]any{"request_id": s.req.GetRequestId(), "offset": s.nextOffset}) // Cannot fail for these types.
	return body
}

func (s *stream) resumable(ctx context.Context, err error) bool {
	var streamErr *streamError
	return ctx.Err() == nil && !errors.As(err, &streamErr) && !errors.Is(err, errSink)
}

// exchange reads the stream over one new connection. It returns nil when the end marker was read.
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
		return &streamError{code: result.TargetUnreachable, notRun: true, message: "the engine is not ready or in another group"}
	case resp.StatusCode == http.StatusServiceUnavailable:
		return &streamError{code: result.TargetFailed, targetLost: true, message: "the engine failed under load"}
	case resp.StatusCode != http.StatusOK:
		return &streamError{code: result.TargetFailed, targetLost: path == "/v1/resume", message: fmt.Sprintf("%s: status %d", path, resp.StatusCode)}
	}
	if got := resp.Header.Get(headerRequestID); got != s.req.GetRequestId() {
		return &streamError{code: result.AnswerMismatch, targetLost: true, message: fmt.Sprintf("answer to request %q instead of %q", got, s.req.GetRequestId())}
	}
	if got := resp.Header.Get(headerIncarnation); got != s.slot.Incarnation {
		return &streamError{code: result.TargetFailed, targetLost: true, message: fmt.Sprintf("incarnation %q instead of %q", got, s.slot.Incarnation)}
	}
	return nil
}

// read passes on tokens until the end marker.
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
			return fmt.Errorf("stream broke after %d tokens: %w", s.nextOffset, err)
		}
		data, ok := bytes.CutPrefix(bytes.TrimSpace(line), []byte("data:"))
		if !ok {
			continue // Blank line, comment, or a field without meaning here.
		}
		var ev streamEvent
		if err := json.Unmarshal(data, &ev); err != nil {
			return &streamError{code: result.StreamIncomplete, message: fmt.Sprintf("malformed event: %v", err)}
		}
		if done, err := s.handleEvent(ev); done || err != nil {
			return err
		}
	}
}

// take handles one event and tells whether it was the end marker.
func (s *stream) handleEvent(ev streamEvent) (done bool, err error) {
	switch {
	case ev.RequestID != s.req.GetRequestId():
		return false, &streamError{code: result.AnswerMismatch, targetLost: true, message: fmt.Sprintf("event of request %q instead of %q", ev.RequestID, s.req.GetRequestId())}
	case ev.End && ev.Tokens != s.nextOffset:
		return false, &streamError{code: result.StreamIncomplete, message: fmt.Sprintf("the end marker states %d tokens, %d were received", ev.Tokens, s.nextOffset)}
	case ev.End:
		s.cachedTokens = ev.CachedTokens
		return true, s.sendHead()
	case ev.Offset < s.nextOffset:
		return false, nil // A duplicate.
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

// head passes on the head before the first token, so that a request without any can still run elsewhere.
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

// failure classifies the end of a stream without its end marker and cancels the request at the engine.
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
	e.end.NotRun, e.outcome.NotRun, e.end.Tokens = streamErr.notRun, streamErr.notRun, s.nextOffset
	callerEnded := ctx.Err() != nil || errors.Is(err, errSink)
	e.outcome.ConnectionLost = streamErr.targetLost || s.connectionBroken && !callerEnded
	e.connectionBroken = s.connectionBroken && !callerEnded
	if !streamErr.notRun {
		s.cancelAtEngine(ctx)
	}
	return e
}

// cancel asks the engine to drop the request, as far as it can be reached.
func (s *stream) cancelAtEngine(ctx context.Context) {
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer stop()
	ex := &exchange{idleTimeout: cancelTimeout}
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
	resp.Body.Close()
}

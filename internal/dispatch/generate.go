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
type event struct {
	RequestID    string `json:"request_id"`
	Offset       uint64 `json:"offset"`
	Token        string `json:"token"`
	End          bool   `json:"end"`
	Tokens       uint64 `json:"tokens"`
	CachedTokens uint64 `json:"cached_tokens"`
}

// streamError ends a stream that must not be resumed.
type streamError struct {
	code   result.Code
	notRun bool
	lost   bool // The target fell over or was replaced.
	text   string
}

func (e *streamError) Error() string { return e.text }

// stream is one token stream over its connections.
type stream struct {
	runner *Runner
	slot   *target.Slot
	req    *schema.DispatchRequest
	sink   Sink
	next   uint64 // Offset of the next token.
	headed bool
	cached uint64
	broken bool // A connection failed after a byte may have been sent.
}

// generate runs a generate request at rank 0 of the group and resumes its stream when the connection breaks.
func (r *Runner) generate(ctx context.Context, slot *target.Slot, req *schema.DispatchRequest, sink Sink) ending {
	body, err := generateBody(slot, req)
	if err != nil {
		return notRun(result.BadRequest, "generate request: %v", err)
	}
	s := &stream{runner: r, slot: slot, req: req, sink: sink}
	x := &exchange{idle: r.opt.Idle, check: slot.Check}
	err = s.exchange(ctx, x, "/v1/generate", body)
	if !x.seal() {
		return notSent(ctx, x, slot, err)
	}
	for tries := 0; err != nil && s.resumable(ctx, err) && tries < r.opt.ResumeTries; tries++ {
		r.resumes.Add(ctx, 1)
		before := s.next
		if err = s.exchange(ctx, &exchange{idle: r.opt.Idle}, "/v1/resume", s.control()); s.next > before {
			tries = -1
		}
	}
	if err == nil {
		return ending{end: &schema.DispatchEnd{Tokens: s.next, CacheHit: s.cached > 0}, outcome: target.Outcome{Completed: true}}
	}
	return s.failure(ctx, err)
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
func (s *stream) control() []byte {
	body, _ := json.Marshal(map[string]any{"request_id": s.req.GetRequestId(), "offset": s.next}) // Cannot fail for these types.
	return body
}

func (s *stream) resumable(ctx context.Context, err error) bool {
	var final *streamError
	return ctx.Err() == nil && !errors.As(err, &final) && !errors.Is(err, errSink)
}

// exchange reads the stream over one new connection. It returns nil when the end marker was read.
func (s *stream) exchange(ctx context.Context, x *exchange, path string, body []byte) error {
	defer x.seal()
	headers := []*schema.Header{{Name: "Content-Type", Value: "application/json"}, {Name: "Accept", Value: "text/event-stream"}}
	out, err := newRequest(ctx, http.MethodPost, s.slot.Address, path, s.req.GetRequestId(), headers, body)
	if err != nil {
		return err
	}
	resp, err := x.transport().RoundTrip(out)
	if err != nil {
		s.broken = true
		return err
	}
	defer resp.Body.Close()
	if err := s.checkHead(path, resp); err != nil {
		return err
	}
	err = s.read(bufio.NewReaderSize(resp.Body, maxEventLine))
	s.broken = s.broken || err != nil && s.resumable(ctx, err)
	return err
}

func (s *stream) checkHead(path string, resp *http.Response) error {
	switch {
	case resp.StatusCode == http.StatusConflict && path == "/v1/generate" && resp.Header.Get(headerRequestID) == s.req.GetRequestId():
		return &streamError{code: result.TargetUnreachable, notRun: true, text: "the engine is not ready or in another group"}
	case resp.StatusCode == http.StatusServiceUnavailable:
		return &streamError{code: result.TargetFailed, lost: true, text: "the engine failed under load"}
	case resp.StatusCode != http.StatusOK:
		return &streamError{code: result.TargetFailed, lost: path == "/v1/resume", text: fmt.Sprintf("%s: status %d", path, resp.StatusCode)}
	}
	if got := resp.Header.Get(headerRequestID); got != s.req.GetRequestId() {
		return &streamError{code: result.AnswerMismatch, lost: true, text: fmt.Sprintf("answer to request %q instead of %q", got, s.req.GetRequestId())}
	}
	if got := resp.Header.Get(headerIncarnation); got != s.slot.Incarnation {
		return &streamError{code: result.TargetFailed, lost: true, text: fmt.Sprintf("incarnation %q instead of %q", got, s.slot.Incarnation)}
	}
	return nil
}

// read passes on tokens until the end marker.
func (s *stream) read(from *bufio.Reader) error {
	for {
		line, err := from.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			return &streamError{code: result.StreamIncomplete, text: fmt.Sprintf("an event has more than %d bytes", maxEventLine)}
		}
		if errors.Is(err, io.EOF) {
			return fmt.Errorf("no end marker after %d tokens: %w", s.next, io.ErrUnexpectedEOF)
		}
		if err != nil {
			return fmt.Errorf("stream broke after %d tokens: %w", s.next, err)
		}
		data, ok := bytes.CutPrefix(bytes.TrimSpace(line), []byte("data:"))
		if !ok {
			continue // Blank line, comment, or a field without meaning here.
		}
		var ev event
		if err := json.Unmarshal(data, &ev); err != nil {
			return &streamError{code: result.StreamIncomplete, text: fmt.Sprintf("malformed event: %v", err)}
		}
		if done, err := s.take(ev); done || err != nil {
			return err
		}
	}
}

// take handles one event and tells whether it was the end marker.
func (s *stream) take(ev event) (done bool, err error) {
	switch {
	case ev.RequestID != s.req.GetRequestId():
		return false, &streamError{code: result.AnswerMismatch, lost: true, text: fmt.Sprintf("event of request %q instead of %q", ev.RequestID, s.req.GetRequestId())}
	case ev.End && ev.Tokens != s.next:
		return false, &streamError{code: result.StreamIncomplete, text: fmt.Sprintf("the end marker states %d tokens, %d were received", ev.Tokens, s.next)}
	case ev.End:
		s.cached = ev.CachedTokens
		return true, s.head()
	case ev.Offset < s.next:
		return false, nil // A duplicate.
	case ev.Offset > s.next:
		return false, &streamError{code: result.StreamIncomplete, text: fmt.Sprintf("offset %d instead of %d", ev.Offset, s.next)}
	}
	if err := s.head(); err != nil {
		return false, err
	}
	token := &schema.TokenEvent{Offset: ev.Offset, Text: ev.Token}
	if err := s.sink(&schema.DispatchChunk{Part: &schema.DispatchChunk_Token{Token: token}}); err != nil {
		return false, fmt.Errorf("%w: %w", errSink, err)
	}
	s.next++
	return false, nil
}

// head passes on the head before the first token, so that a request without any can still run elsewhere.
func (s *stream) head() error {
	if s.headed {
		return nil
	}
	s.headed = true
	head := &schema.DispatchHead{Status: http.StatusOK, Headers: []*schema.Header{{Name: "Content-Type", Value: "text/event-stream"}}}
	if err := s.sink(&schema.DispatchChunk{Part: &schema.DispatchChunk_Head{Head: head}}); err != nil {
		return fmt.Errorf("%w: %w", errSink, err)
	}
	return nil
}

// failure classifies the end of a stream without its end marker and cancels the request at the engine.
func (s *stream) failure(ctx context.Context, err error) ending {
	var final *streamError
	if !errors.As(err, &final) {
		final = &streamError{code: result.StreamIncomplete, text: err.Error()}
		if !s.headed {
			final.code = result.TargetFailed
		}
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			final.code = result.DeadlineExceeded
		}
	}
	e := failed(final.code, "target %s: %s", s.slot.ID, final.text)
	e.end.NotRun, e.outcome.NotRun, e.end.Tokens = final.notRun, final.notRun, s.next
	own := ctx.Err() != nil || errors.Is(err, errSink)
	e.outcome.ConnectionLost = final.lost || s.broken && !own
	e.broken = s.broken && !own
	if !final.notRun {
		s.cancel(ctx)
	}
	return e
}

// cancel asks the engine to drop the request, as far as it can be reached.
func (s *stream) cancel(ctx context.Context) {
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer stop()
	x := &exchange{idle: cancelTimeout}
	defer x.seal()
	headers := []*schema.Header{{Name: "Content-Type", Value: "application/json"}}
	out, err := newRequest(ctx, http.MethodPost, s.slot.Address, "/v1/cancel", s.req.GetRequestId(), headers, s.control())
	if err != nil {
		return
	}
	resp, err := x.transport().RoundTrip(out)
	if err != nil {
		s.runner.opt.Log.WithError(err).WithField("target", s.slot.ID).Debug("cannot cancel a request at the engine")
		return
	}
	resp.Body.Close()
}

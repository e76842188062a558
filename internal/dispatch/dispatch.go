// Package dispatch runs one exchange with a target: an HTTP request to a back end of a service or a token stream of a model
// engine. Nothing is sent twice but by the rules of this package: a request goes out once on a connection of its own, and
// only a token stream is resumed, at the next token.
package dispatch

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"

	"cassiadeal.example/cassiadeal/internal/result"
	"cassiadeal.example/cassiadeal/internal/schema"
	"cassiadeal.example/cassiadeal/internal/target"
)

// Defaults of Options.
const (
	DefaultIdleTimeout    = 2 * time.Second
	DefaultMaxResumeTries = 3
	DefaultMaxAnswer      = 16 << 20
)

const (
	headerRequestID   = "X-Request-Id"
	headerIncarnation = "X-Incarnation"

	// bodyChunkSize is the largest part of an answer's body that is held in memory, in bytes.
	bodyChunkSize = 32 << 10
	// crashCheckTimeout bounds the wait for fresh probes after a broken exchange.
	crashCheckTimeout = 2 * time.Second
	// cancelTimeout bounds the attempt to cancel a request at an engine.
	cancelTimeout = 500 * time.Millisecond
)

// Options configures a Runner. Zero values get the defaults.
type Options struct {
	Idle           time.Duration // Longest silence of a token stream before it is resumed on a new connection.
	MaxResumeTries int           // Resumptions in a row that give no token before the stream counts as incomplete.
	MaxAnswer      int64         // Bytes of the body of a service's answer.
	Log            logrus.FieldLogger
	Meter          metric.Meter
}

// Runner runs exchanges. It may be used concurrently.
type Runner struct {
	options       Options
	endCounter    metric.Int64Counter
	resumeCounter metric.Int64Counter
}

// Sink takes the parts of an answer but the end, in order: a head, then data or tokens. It may block, and the answer is
// then not read further. An error ends the exchange.
type Sink func(*schema.DispatchChunk) error

// errSink marks an error of the sink.
var errSink = errors.New("the answer could not be passed on")

// New returns a Runner.
func New(opt Options) *Runner {
	if opt.Idle <= 0 {
		opt.Idle = DefaultIdleTimeout
	}
	if opt.MaxResumeTries <= 0 {
		opt.MaxResumeTries = DefaultMaxResumeTries
	}
	if opt.MaxAnswer <= 0 {
		opt.MaxAnswer = DefaultMaxAnswer
	}
	if opt.Log == nil {
		discard := logrus.New()
		discard.SetOutput(io.Discard)
		opt.Log = discard
	}
	if opt.Meter == nil {
		opt.Meter = noop.NewMeterProvider().Meter("dispatch")
	}
	r := &Runner{options: opt}
	r.endCounter = r.newCounter("cassiadeal_dispatch_ends_total", "Exchanges with targets by result code.")
	r.resumeCounter = r.newCounter("cassiadeal_dispatch_resumes_total", "Attempts to resume a token stream.")
	return r
}

func (r *Runner) newCounter(name, description string) metric.Int64Counter {
	c, err := r.options.Meter.Int64Counter(name, metric.WithDescription(description))
	if err != nil {
		r.options.Log.WithError(err).WithField("metric", name).Error("cannot create counter")
		c, _ = noop.NewMeterProvider().Meter("dispatch").Int64Counter(name)
	}
	return c
}

// ending is the end of an exchange and what it says about the target.
type exchangeEnd struct {
	end     *schema.DispatchEnd
	outcome target.Outcome
	// broken: the connection failed after a byte of the request may have been sent.
	connectionBroken bool
}

func failureEnd(code result.Code, format string, args ...any) exchangeEnd {
	return exchangeEnd{end: &schema.DispatchEnd{Code: int32(code), NotRun: code.NotRun(), Message: fmt.Sprintf(format, args...)}}
}

// notRun is the end of a request of which no byte was sent.
func notRunEnd(code result.Code, format string, args ...any) exchangeEnd {
	e := failureEnd(code, format, args...)
	e.end.NotRun, e.outcome.NotRun = true, true
	return e
}

// Run sends the request to the target of the slot and releases the slot. The returned end is not passed to the sink; its
// code is a result.Code, and not_run is true only if no byte was sent or the engine stated that it refused the request.
// Without a deadline, in the request or in ctx, an exchange with a silent service does not end.
func (r *Runner) Run(ctx context.Context, slot *target.Slot, req *schema.DispatchRequest, sink func(*schema.DispatchChunk) error) *schema.DispatchEnd {
	if req.GetDeadlineMs() > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(req.GetDeadlineMs())*time.Millisecond)
		defer cancel()
	}
	var e exchangeEnd
	if req.GetGenerate() {
		e = r.runGenerate(ctx, slot, req, sink)
	} else {
		e = r.runService(ctx, slot, req, sink)
	}
	slot.Release(e.outcome)
	if e.connectionBroken {
		lossCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), crashCheckTimeout)
		e.end.Crashed = slot.TargetLost(lossCtx)
		cancel()
	}
	e.end.Target = slot.ID
	code := result.Code(e.end.GetCode())
	r.endCounter.Add(context.WithoutCancel(ctx), 1, metric.WithAttributes(attribute.String("code", code.String())))
	if code != result.OK {
		r.options.Log.WithFields(logrus.Fields{"request_id": req.GetRequestId(), "target": slot.ID, "code": code.String(),
			"not_run": e.end.GetNotRun(), "crashed": e.end.GetCrashed()}).Info(e.end.GetMessage())
	}
	return e.end
}

// service runs one exchange with a back end of a service.
func (r *Runner) runService(ctx context.Context, slot *target.Slot, req *schema.DispatchRequest, sink Sink) exchangeEnd {
	ex := &exchange{checkTarget: slot.Check}
	defer ex.close()
	httpReq, err := newRequest(ctx, req.GetMethod(), slot.Address, req.GetPath(), req.GetRequestId(), req.GetHeaders(), req.GetBody())
	if err != nil {
		return notRunEnd(result.BadRequest, "request for %s: %v", slot.ID, err)
	}
	resp, err := ex.transport().RoundTrip(httpReq)
	if err != nil {
		return r.noResponseEnd(ctx, ex, slot, req, err)
	}
	defer resp.Body.Close()
	if got := resp.Header.Get(headerRequestID); got != req.GetRequestId() {
		e := failureEnd(result.AnswerMismatch, "target %s answered request %q instead of %q", slot.ID, got, req.GetRequestId())
		if !req.GetRepeatable() {
			e.end.Code = int32(result.OutcomeUnknown)
		}
		e.outcome.ConnectionLost = true
		return e
	}
	if err := r.forwardResponse(resp, req.GetMethod(), sink); err != nil {
		return r.incompleteEnd(ctx, slot, req, err)
	}
	// A server error is an answer, but no sign that the target bears more.
	return exchangeEnd{end: &schema.DispatchEnd{}, outcome: target.Outcome{Completed: resp.StatusCode < http.StatusInternalServerError}}
}

// noResponseEnd classifies the failure of a request before the head of its answer.
func (r *Runner) noResponseEnd(ctx context.Context, ex *exchange, slot *target.Slot, req *schema.DispatchRequest, err error) exchangeEnd {
	if !ex.close() {
		return notSentEnd(ctx, ex, slot, err)
	}
	return r.incompleteEnd(ctx, slot, req, err)
}

// notSentEnd is the end of a request whose connection failed, or whose target was refused, before the first byte.
func notSentEnd(ctx context.Context, ex *exchange, slot *target.Slot, err error) exchangeEnd {
	if refused := ex.targetRefusal(); refused != nil {
		refusal := result.From(refused)
		return notRunEnd(refusal.Code, "%s", refusal.Message)
	}
	e := notRunEnd(result.TargetUnreachable, "target %s: %v", slot.ID, err)
	e.outcome.ConnectionLost = ctx.Err() == nil
	return e
}

// incomplete classifies the failure of a request that was sent, at least in part.
func (r *Runner) incompleteEnd(ctx context.Context, slot *target.Slot, req *schema.DispatchRequest, err error) exchangeEnd {
	code := result.TargetFailed
	callerEnded := ctx.Err() != nil || errors.Is(err, errSink)
	switch {
	case !req.GetRepeatable():
		code = result.OutcomeUnknown
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		code = result.DeadlineExceeded
	}
	e := failureEnd(code, "target %s: %v", slot.ID, err)
	// A deadline that passed says nothing about the target: callers choose it.
	e.outcome.ConnectionLost, e.connectionBroken = !callerEnded, !callerEnded
	return e
}

// forwardResponse passes the answer to the sink. It returns an error unless the whole body was read and passed on.
func (r *Runner) forwardResponse(resp *http.Response, method string, sink Sink) error {
	noBody := method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified
	chunked := len(resp.TransferEncoding) > 0
	switch {
	case resp.StatusCode < http.StatusOK:
		return fmt.Errorf("status %d instead of an answer", resp.StatusCode)
	case !noBody && resp.ContentLength < 0 && !chunked:
		return errors.New("the answer has neither a length nor chunks, so its end can't be told from a lost connection")
	case !noBody && resp.ContentLength > r.options.MaxAnswer:
		return fmt.Errorf("the answer has %d bytes, more than %d", resp.ContentLength, r.options.MaxAnswer)
	}
	head := &schema.DispatchHead{Status: uint32(resp.StatusCode), Headers: responseHeaders(resp.Header)}
	if err := sink(&schema.DispatchChunk{Part: &schema.DispatchChunk_Head{Head: head}}); err != nil {
		return fmt.Errorf("%w: %w", errSink, err)
	}
	if noBody {
		return nil
	}
	return r.forwardBody(resp.Body, sink)
}

func (r *Runner) forwardBody(body io.Reader, sink Sink) error {
	received := int64(0)
	for {
		part := make([]byte, bodyChunkSize) // The sink may keep it.
		n, err := body.Read(part)
		if received += int64(n); received > r.options.MaxAnswer {
			return fmt.Errorf("the answer has more than %d bytes", r.options.MaxAnswer)
		}
		if n > 0 {
			if err := sink(&schema.DispatchChunk{Part: &schema.DispatchChunk_Data{Data: part[:n]}}); err != nil {
				return fmt.Errorf("%w: %w", errSink, err)
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return fmt.Errorf("the answer is incomplete after %d bytes: %w", received, err)
		}
	}
}

// newRequest returns a request for one exchange. Its body can be read once only.
func newRequest(ctx context.Context, method, address, path, requestID string, headers []*schema.Header, body []byte) (*http.Request, error) {
	if !strings.HasPrefix(path, "/") {
		return nil, fmt.Errorf("path %q does not start with a slash", path)
	}
	var reader io.Reader = http.NoBody
	if len(body) > 0 {
		reader = singleUseBody{bytes.NewReader(body)}
	}
	httpReq, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, reader)
	if err != nil {
		return nil, err
	}
	httpReq.ContentLength = int64(len(body))
	dropped := hopByHopNames(headers)
	for _, h := range headers {
		if !dropped[http.CanonicalHeaderKey(h.GetName())] {
			httpReq.Header.Add(h.GetName(), h.GetValue())
		}
	}
	if _, ok := httpReq.Header["User-Agent"]; !ok {
		httpReq.Header["User-Agent"] = nil // Otherwise net/http adds its own.
	}
	httpReq.Header.Set(headerRequestID, requestID)
	return httpReq, nil
}

// hopByHopHeaders concern one connection only (RFC 9110, section 7.6.1). Host and Content-Length are set by net/http.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Host", "Expect"}

// hopByHopNames returns the names that must not be passed on, those listed in Connection included.
func hopByHopNames(headers []*schema.Header) map[string]bool {
	dropped := map[string]bool{"Content-Length": true}
	for _, name := range hopByHopHeaders {
		dropped[name] = true
	}
	for _, h := range headers {
		if http.CanonicalHeaderKey(h.GetName()) != "Connection" {
			continue
		}
		for name := range strings.SplitSeq(h.GetValue(), ",") {
			dropped[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return dropped
}

func responseHeaders(from http.Header) []*schema.Header {
	var headers []*schema.Header
	for name, values := range from {
		for _, value := range values {
			headers = append(headers, &schema.Header{Name: name, Value: value})
		}
	}
	dropped := hopByHopNames(headers)
	dropped["Content-Length"] = false
	kept := headers[:0]
	for _, h := range headers {
		if !dropped[http.CanonicalHeaderKey(h.GetName())] {
			kept = append(kept, h)
		}
	}
	return kept
}

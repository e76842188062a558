// Package dispatch runs exchanges with targets: HTTP requests to back ends of services and token streams of model engines.
// Each request is sent once, on a connection of its own. Only a token stream is resumed, from the next token on.
package dispatch

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"

	"cassiadeal.example/cassiadeal/internal/lastheard"
	"cassiadeal.example/cassiadeal/internal/recovery"
	"cassiadeal.example/cassiadeal/internal/respstatus"
	"cassiadeal.example/cassiadeal/internal/result"
	"cassiadeal.example/cassiadeal/internal/schema"
	"cassiadeal.example/cassiadeal/internal/statement"
	"cassiadeal.example/cassiadeal/internal/target"
)

// Defaults of Options.
const (
	DefaultIdleTimeout    = 2 * time.Second
	DefaultMaxResumeTries = 3
	DefaultMaxAnswerBytes = 16 << 20
)

const (
	headerRequestID = "X-Request-Id"
	headerCold      = "X-Cold" // "true" in responses of a cold service; not forwarded.
	// headerNotExecuted is "true" in responses with status 503 or 429 of a target that has not run the request and never will.
	headerNotExecuted = "X-Not-Executed"

	// bodyChunkSize is the number of bytes of a response body that are read and forwarded at a time.
	bodyChunkSize = 32 << 10
	// crashCheckTimeout bounds the wait for new probes after a broken exchange.
	crashCheckTimeout = 2500 * time.Millisecond
	// cancelTimeout bounds a call that cancels a request at an engine.
	cancelTimeout = 500 * time.Millisecond
)

// Options configures a Runner. Zero values get the defaults.
type Options struct {
	IdleTimeout    time.Duration // Longest time without data before a token stream is resumed on a new connection.
	MaxResumeTries int           // Consecutive attempts to resume that yield no token before the stream fails.
	MaxAnswerBytes int64         // Largest body of a service's response in bytes.
	Log            logrus.FieldLogger
	Meter          metric.Meter
	Panics         recovery.Metrics // Counts recovered panics. May be nil.
	// Dial opens a TCP connection to a target; nil for net.Dialer.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Runner runs exchanges. Its methods may be called concurrently.
type Runner struct {
	options       Options
	endCounter    metric.Int64Counter
	resumeCounter metric.Int64Counter
}

// Sink receives the parts of a response in order: a head, then data or tokens. The end is not passed to it. While it
// blocks, the response is not read further. An error ends the exchange. It must not keep data, which later parts overwrite.
type Sink func(*schema.DispatchChunk) error

// errSink wraps the errors that a Sink returns.
var errSink = errors.New("cannot forward the response")

// New returns a Runner.
func New(opt Options) *Runner {
	if opt.IdleTimeout <= 0 {
		opt.IdleTimeout = DefaultIdleTimeout
	}
	if opt.MaxResumeTries <= 0 {
		opt.MaxResumeTries = DefaultMaxResumeTries
	}
	if opt.MaxAnswerBytes <= 0 {
		opt.MaxAnswerBytes = DefaultMaxAnswerBytes
	}
	if opt.Dial == nil {
		opt.Dial = dialDirectly
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

// exchangeEnd is the end of an exchange, with the resulting outcome for the target table.
type exchangeEnd struct {
	end     *schema.DispatchEnd
	outcome target.Outcome
	// connectionBroken is set if the connection failed after a byte of the request may have been sent.
	connectionBroken bool
	resumes          int // Attempts to resume a token stream.
}

// failureEnd returns the end of an exchange that failed with the code.
func failureEnd(code result.Code, format string, args ...any) exchangeEnd {
	return exchangeEnd{end: &schema.DispatchEnd{Code: int32(code), NotRun: code.NotRun(), Message: fmt.Sprintf(format, args...)}}
}

// notRunEnd returns the end of a request of which no byte was sent.
func notRunEnd(code result.Code, format string, args ...any) exchangeEnd {
	e := failureEnd(code, format, args...)
	e.end.NotRun, e.outcome.NotRun = true, true
	return e
}

// Run sends the request to the target of the slot and releases the slot. The returned end is not passed to the sink; its
// code is a result.Code, and not_run is true only if no byte was sent or the engine refused the request explicitly.
// Without a deadline in the request or in ctx, an exchange with a service that never responds does not end.
func (r *Runner) Run(ctx context.Context, slot *target.Slot, req *schema.DispatchRequest, sink func(*schema.DispatchChunk) error) *schema.DispatchEnd {
	if req.GetDeadlineMs() > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(req.GetDeadlineMs())*time.Millisecond)
		defer cancel()
	}
	defer slot.Release(target.Outcome{}) // Has an effect only after a panic.
	heard := lastheard.New()
	e := r.runRecovered(ctx, slot, req, sink, heard)
	fields := logrus.Fields{"request_id": req.GetRequestId(), "target": slot.ID, "tokens": e.end.GetTokens(), "resumes": e.resumes, "canceled": errors.Is(ctx.Err(), context.Canceled)}
	heard.AddTo(fields, "")
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
		fields["code"], fields["not_run"], fields["crashed"] = code.String(), e.end.GetNotRun(), e.end.GetCrashed()
		r.options.Log.WithFields(fields).Info(e.end.GetMessage())
	}
	return e.end
}

// runRecovered runs the exchange. A panic in it, or in the sink, becomes the failure of a request that may have run.
func (r *Runner) runRecovered(ctx context.Context, slot *target.Slot, req *schema.DispatchRequest, sink Sink, heard *lastheard.Record) (e exchangeEnd) {
	defer func() {
		value := recover()
		if value == nil {
			return
		}
		if value == http.ErrAbortHandler {
			panic(value)
		}
		r.reportPanic(value, slot, req)
		e = failureEnd(result.Internal, "a fault in cassiadeal ended the exchange with target %s", slot.ID)
		if req.GetGenerate() {
			(&stream{runner: r, slot: slot, req: req}).cancelAtEngine(ctx)
		}
	}()
	if req.GetGenerate() {
		return r.runGenerate(ctx, slot, req, sink, heard)
	}
	return r.runService(ctx, slot, req, sink, heard)
}

// reportPanic reports a panic. It must be called by the deferred function that has recovered the value.
func (r *Runner) reportPanic(value any, slot *target.Slot, req *schema.DispatchRequest) {
	recovery.Recoverer{Where: "dispatch", Log: r.options.Log, Metrics: r.options.Panics}.
		Report(value, logrus.Fields{"request_id": req.GetRequestId(), "target": slot.ID, "destination": req.GetDestination()})
}

// runService runs one exchange with a back end of a service.
func (r *Runner) runService(ctx context.Context, slot *target.Slot, req *schema.DispatchRequest, sink Sink, heard *lastheard.Record) exchangeEnd {
	ex := &exchange{open: r.options.Dial, checkTarget: slot.Check, onPanic: func(value any) { r.reportPanic(value, slot, req) }, heard: heard}
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
	heard.Reach(lastheard.Header)
	if got := resp.Header.Get(headerRequestID); got != req.GetRequestId() {
		e := failureEnd(result.AnswerMismatch, "target %s responded to request %q instead of %q", slot.ID, got, req.GetRequestId())
		if !req.GetRepeatable() {
			e.end.Code = int32(result.OutcomeUnknown)
		}
		e.outcome.ConnectionLost = true
		return e
	}
	slot.RecordStatement(resp)
	if statesNotExecuted(resp) {
		e := notRunEnd(result.TargetRefused, "target %s refused the request with status %d", slot.ID, resp.StatusCode)
		e.end.RetryAfterMs = refusalRetryAfter(slot).Milliseconds()
		return e
	}
	cold := resp.Header.Get(headerCold) == "true"
	resp.Header.Del(headerCold)
	statement.RemoveHeaders(resp.Header)
	if err := r.forwardResponse(resp, req.GetMethod(), sink, heard); err != nil {
		return r.incompleteEnd(ctx, slot, req, err)
	}
	// A server error is a complete response, but doesn't show that the target can handle more requests.
	return exchangeEnd{end: &schema.DispatchEnd{}, outcome: target.Outcome{Completed: resp.StatusCode < http.StatusInternalServerError, Cold: cold}}
}

// statesNotExecuted reports whether the response to a request states that the target has not run it.
func statesNotExecuted(resp *http.Response) bool {
	refused := resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests
	return refused && resp.Header.Get(headerNotExecuted) == "true"
}

// minRefusalRetryAfter is the shortest Retry-After delay that callers get after a target has refused their request.
const minRefusalRetryAfter = 150 * time.Millisecond

// refusalRetryAfter returns the time after which a caller whose request the target has refused may come back.
func refusalRetryAfter(slot *target.Slot) time.Duration {
	return max(slot.PausedFor(), minRefusalRetryAfter)
}

// noResponseEnd classifies the failure of a request before the head of its response arrived.
func (r *Runner) noResponseEnd(ctx context.Context, ex *exchange, slot *target.Slot, req *schema.DispatchRequest, err error) exchangeEnd {
	if !ex.close() {
		return notSentEnd(ctx, ex, slot, err)
	}
	return r.incompleteEnd(ctx, slot, req, err)
}

// notSentEnd returns the end of a request of which no byte was sent because connecting failed or checkTarget returned an
// error.
func notSentEnd(ctx context.Context, ex *exchange, slot *target.Slot, err error) exchangeEnd {
	if refused := ex.targetRefusal(); refused != nil {
		refusal := result.From(refused)
		return notRunEnd(refusal.Code, "%s", refusal.Message)
	}
	e := notRunEnd(result.TargetUnreachable, "target %s: %v", slot.ID, err)
	e.outcome.ConnectionLost = ctx.Err() == nil
	return e
}

// incompleteEnd classifies the failure of a request that was sent at least in part.
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
	// A passed deadline doesn't show a fault of the target, since callers choose the deadline.
	e.outcome.ConnectionLost, e.connectionBroken = !callerEnded, !callerEnded
	return e
}

// forwardResponse passes the response to the sink. It returns an error unless the whole body was read and forwarded.
func (r *Runner) forwardResponse(resp *http.Response, method string, sink Sink, heard *lastheard.Record) error {
	noBody := method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified
	chunked := len(resp.TransferEncoding) > 0
	switch {
	case !respstatus.Final(resp.StatusCode):
		return respstatus.CheckFinal(resp.StatusCode)
	case !noBody && resp.ContentLength < 0 && !chunked:
		return errors.New("the response has neither Content-Length nor chunks, so its end can't be told from a lost connection")
	case !noBody && resp.ContentLength > r.options.MaxAnswerBytes:
		return fmt.Errorf("the response body has %d bytes, more than %d", resp.ContentLength, r.options.MaxAnswerBytes)
	}
	head := &schema.DispatchHead{Status: uint32(resp.StatusCode), Headers: responseHeaders(resp.Header)}
	if err := sink(&schema.DispatchChunk{Part: &schema.DispatchChunk_Head{Head: head}}); err != nil {
		return fmt.Errorf("%w: %w", errSink, err)
	}
	if noBody {
		return nil
	}
	return r.forwardBody(resp.Body, sink, heard)
}

func (r *Runner) forwardBody(body io.Reader, sink Sink, heard *lastheard.Record) error {
	received := int64(0)
	part := make([]byte, bodyChunkSize)
	for {
		n, err := body.Read(part)
		if received += int64(n); received > r.options.MaxAnswerBytes {
			return fmt.Errorf("the response body has more than %d bytes", r.options.MaxAnswerBytes)
		}
		if n > 0 {
			heard.Reach(lastheard.Body)
			if err := sink(&schema.DispatchChunk{Part: &schema.DispatchChunk_Data{Data: part[:n]}}); err != nil {
				return fmt.Errorf("%w: %w", errSink, err)
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return fmt.Errorf("the response body is incomplete after %d bytes: %w", received, err)
		}
	}
}

// newRequest returns a request for one exchange. Its body can be read only once.
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
		httpReq.Header["User-Agent"] = nil // Otherwise net/http adds its default User-Agent.
	}
	httpReq.Header.Set(headerRequestID, requestID)
	return httpReq, nil
}

// hopByHopHeaders lists the headers that are not forwarded. Most apply to one connection only (RFC 9110, section 7.6.1).
// Host, like Content-Length, is set by net/http.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Host", "Expect"}

// hopByHopNames returns the names of headers that must not be forwarded, including those listed in Connection.
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

// responseHeaders returns the headers of a response that are forwarded, Content-Length included.
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

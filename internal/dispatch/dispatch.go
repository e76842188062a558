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
	DefaultIdle        = 2 * time.Second
	DefaultResumeTries = 3
	DefaultMaxAnswer   = 16 << 20
)

const (
	headerRequestID   = "X-Request-Id"
	headerIncarnation = "X-Incarnation"

	// dataChunk is the largest part of an answer's body that is held in memory, in bytes.
	dataChunk = 32 << 10
	// lossCheck bounds the wait for fresh probes after a broken exchange.
	lossCheck = 2 * time.Second
	// cancelTimeout bounds the attempt to cancel a request at an engine.
	cancelTimeout = 500 * time.Millisecond
)

// Options configures a Runner. Zero values get the defaults.
type Options struct {
	Idle        time.Duration // Longest silence of a token stream before it is resumed on a new connection.
	ResumeTries int           // Resumptions in a row that give no token before the stream counts as incomplete.
	MaxAnswer   int64         // Bytes of the body of a service's answer.
	Log         logrus.FieldLogger
	Meter       metric.Meter
}

// Runner runs exchanges. It may be used concurrently.
type Runner struct {
	opt     Options
	ends    metric.Int64Counter
	resumes metric.Int64Counter
}

// Sink takes the parts of an answer but the end, in order: a head, then data or tokens. It may block, and the answer is
// then not read further. An error ends the exchange.
type Sink func(*schema.DispatchChunk) error

// errSink marks an error of the sink.
var errSink = errors.New("the answer could not be passed on")

// New returns a Runner.
func New(opt Options) *Runner {
	if opt.Idle <= 0 {
		opt.Idle = DefaultIdle
	}
	if opt.ResumeTries <= 0 {
		opt.ResumeTries = DefaultResumeTries
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
	r := &Runner{opt: opt}
	r.ends = r.counter("cassiadeal_dispatch_ends_total", "Exchanges with targets by result code.")
	r.resumes = r.counter("cassiadeal_dispatch_resumes_total", "Attempts to resume a token stream.")
	return r
}

func (r *Runner) counter(name, description string) metric.Int64Counter {
	c, err := r.opt.Meter.Int64Counter(name, metric.WithDescription(description))
	if err != nil {
		r.opt.Log.WithError(err).WithField("metric", name).Error("cannot create counter")
		c, _ = noop.NewMeterProvider().Meter("dispatch").Int64Counter(name)
	}
	return c
}

// ending is the end of an exchange and what it says about the target.
type ending struct {
	end     *schema.DispatchEnd
	outcome target.Outcome
	// broken: the connection failed after a byte of the request may have been sent.
	broken bool
}

func failed(code result.Code, format string, args ...any) ending {
	return ending{end: &schema.DispatchEnd{Code: int32(code), NotRun: code.NotRun(), Message: fmt.Sprintf(format, args...)}}
}

// notRun is the end of a request of which no byte was sent.
func notRun(code result.Code, format string, args ...any) ending {
	e := failed(code, format, args...)
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
	var e ending
	if req.GetGenerate() {
		e = r.generate(ctx, slot, req, sink)
	} else {
		e = r.service(ctx, slot, req, sink)
	}
	slot.Release(e.outcome)
	if e.broken {
		lossCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), lossCheck)
		e.end.Crashed = slot.Lost(lossCtx)
		cancel()
	}
	e.end.Target = slot.ID
	code := result.Code(e.end.GetCode())
	r.ends.Add(context.WithoutCancel(ctx), 1, metric.WithAttributes(attribute.String("code", code.String())))
	if code != result.OK {
		r.opt.Log.WithFields(logrus.Fields{"request_id": req.GetRequestId(), "target": slot.ID, "code": code.String(),
			"not_run": e.end.GetNotRun(), "crashed": e.end.GetCrashed()}).Info(e.end.GetMessage())
	}
	return e.end
}

// service runs one exchange with a back end of a service.
func (r *Runner) service(ctx context.Context, slot *target.Slot, req *schema.DispatchRequest, sink Sink) ending {
	x := &exchange{check: slot.Check}
	defer x.seal()
	out, err := newRequest(ctx, req.GetMethod(), slot.Address, req.GetPath(), req.GetRequestId(), req.GetHeaders(), req.GetBody())
	if err != nil {
		return notRun(result.BadRequest, "request for %s: %v", slot.ID, err)
	}
	resp, err := x.transport().RoundTrip(out)
	if err != nil {
		return r.noAnswer(ctx, x, slot, req, err)
	}
	defer resp.Body.Close()
	if got := resp.Header.Get(headerRequestID); got != req.GetRequestId() {
		e := failed(result.AnswerMismatch, "target %s answered request %q instead of %q", slot.ID, got, req.GetRequestId())
		if !req.GetRepeatable() {
			e.end.Code = int32(result.OutcomeUnknown)
		}
		e.outcome.ConnectionLost = true
		return e
	}
	if err := r.passAnswer(resp, req.GetMethod(), sink); err != nil {
		return r.incomplete(ctx, slot, req, err)
	}
	// A server error is an answer, but no sign that the target bears more.
	return ending{end: &schema.DispatchEnd{}, outcome: target.Outcome{Completed: resp.StatusCode < http.StatusInternalServerError}}
}

// noAnswer classifies the failure of a request before the head of its answer.
func (r *Runner) noAnswer(ctx context.Context, x *exchange, slot *target.Slot, req *schema.DispatchRequest, err error) ending {
	if !x.seal() {
		return notSent(ctx, x, slot, err)
	}
	return r.incomplete(ctx, slot, req, err)
}

// notSent is the end of a request whose connection failed, or whose target was refused, before the first byte.
func notSent(ctx context.Context, x *exchange, slot *target.Slot, err error) ending {
	if refused := x.refusal(); refused != nil {
		refusal := result.From(refused)
		return notRun(refusal.Code, "%s", refusal.Message)
	}
	e := notRun(result.TargetUnreachable, "target %s: %v", slot.ID, err)
	e.outcome.ConnectionLost = ctx.Err() == nil
	return e
}

// incomplete classifies the failure of a request that was sent, at least in part.
func (r *Runner) incomplete(ctx context.Context, slot *target.Slot, req *schema.DispatchRequest, err error) ending {
	code := result.TargetFailed
	own := ctx.Err() != nil || errors.Is(err, errSink)
	switch {
	case !req.GetRepeatable():
		code = result.OutcomeUnknown
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		code = result.DeadlineExceeded
	}
	e := failed(code, "target %s: %v", slot.ID, err)
	// A deadline that passed says nothing about the target: callers choose it.
	e.outcome.ConnectionLost, e.broken = !own, !own
	return e
}

// passAnswer passes the answer to the sink. It returns an error unless the whole body was read and passed on.
func (r *Runner) passAnswer(resp *http.Response, method string, sink Sink) error {
	noBody := method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified
	chunked := len(resp.TransferEncoding) > 0
	switch {
	case resp.StatusCode < http.StatusOK:
		return fmt.Errorf("status %d instead of an answer", resp.StatusCode)
	case !noBody && resp.ContentLength < 0 && !chunked:
		return errors.New("the answer has neither a length nor chunks, so its end can't be told from a lost connection")
	case !noBody && resp.ContentLength > r.opt.MaxAnswer:
		return fmt.Errorf("the answer has %d bytes, more than %d", resp.ContentLength, r.opt.MaxAnswer)
	}
	head := &schema.DispatchHead{Status: uint32(resp.StatusCode), Headers: answerHeaders(resp.Header)}
	if err := sink(&schema.DispatchChunk{Part: &schema.DispatchChunk_Head{Head: head}}); err != nil {
		return fmt.Errorf("%w: %w", errSink, err)
	}
	if noBody {
		return nil
	}
	return r.passBody(resp.Body, sink)
}

func (r *Runner) passBody(body io.Reader, sink Sink) error {
	passed := int64(0)
	for {
		part := make([]byte, dataChunk) // The sink may keep it.
		n, err := body.Read(part)
		if passed += int64(n); passed > r.opt.MaxAnswer {
			return fmt.Errorf("the answer has more than %d bytes", r.opt.MaxAnswer)
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
			return fmt.Errorf("the answer is incomplete after %d bytes: %w", passed, err)
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
		reader = singleUse{bytes.NewReader(body)}
	}
	out, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, reader)
	if err != nil {
		return nil, err
	}
	out.ContentLength = int64(len(body))
	dropped := hopByHop(headers)
	for _, h := range headers {
		if !dropped[http.CanonicalHeaderKey(h.GetName())] {
			out.Header.Add(h.GetName(), h.GetValue())
		}
	}
	if _, ok := out.Header["User-Agent"]; !ok {
		out.Header["User-Agent"] = nil // Otherwise net/http adds its own.
	}
	out.Header.Set(headerRequestID, requestID)
	return out, nil
}

// connectionHeaders concern one connection only (RFC 9110, section 7.6.1). Host and Content-Length are set by net/http.
var connectionHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Host", "Expect"}

// hopByHop returns the names that must not be passed on, those listed in Connection included.
func hopByHop(headers []*schema.Header) map[string]bool {
	dropped := map[string]bool{"Content-Length": true}
	for _, name := range connectionHeaders {
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

func answerHeaders(from http.Header) []*schema.Header {
	var headers []*schema.Header
	for name, values := range from {
		for _, value := range values {
			headers = append(headers, &schema.Header{Name: name, Value: value})
		}
	}
	dropped := hopByHop(headers)
	dropped["Content-Length"] = false
	kept := headers[:0]
	for _, h := range headers {
		if !dropped[http.CanonicalHeaderKey(h.GetName())] {
			kept = append(kept, h)
		}
	}
	return kept
}

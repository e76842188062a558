// Package gateway serves the HTTP requests of callers: it checks and admits them, chooses the node that runs each of them,
// and returns the answers.
package gateway

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"maps"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"cassiadeal.example/cassiadeal/internal/admission"
	"cassiadeal.example/cassiadeal/internal/buffer"
	"cassiadeal.example/cassiadeal/internal/crash"
	"cassiadeal.example/cassiadeal/internal/drain"
	"cassiadeal.example/cassiadeal/internal/recovery"
	"cassiadeal.example/cassiadeal/internal/result"
	"cassiadeal.example/cassiadeal/internal/retry"
	"cassiadeal.example/cassiadeal/internal/router"
	"cassiadeal.example/cassiadeal/internal/rules"
	"cassiadeal.example/cassiadeal/internal/schema"
)

// Address is one address that callers may use.
type Address struct {
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
}

// Addresses is the answer to GET /v1/addresses.
type Addresses struct {
	Addresses   []Address `json:"addresses"`
	KeepSeconds float64   `json:"keep_seconds"`
}

// Metrics counts results. telemetry.Metrics implements it.
type Metrics interface {
	Refusal(code result.Code)
	Retry(reason string)
	Request(destination string, code result.Code, elapsed time.Duration)
}

// Options configures a Gateway.
type Options struct {
	Node      string
	Rules     func() (*rules.Rules, uint64)
	Admission *admission.Controller
	Router    *router.Router
	// Execute runs a request at the given node. It passes the parts of the answer to sink and returns the end of the answer.
	Execute func(ctx context.Context, node router.Node, req *schema.DispatchRequest, sink func(*schema.DispatchChunk) error) *schema.DispatchEnd
	Crashes *crash.Table
	Budget  *retry.Budget
	// MayServe returns an error if this node must not take new requests.
	MayServe func() *result.Error
	// EndsAt returns when this node ends the requests that are still in flight. ok is false while it isn't shutting down.
	EndsAt    func() (end time.Time, ok bool)
	Addresses func(seed string) Addresses
	Metrics   Metrics
	Log       logrus.FieldLogger

	MaxHeaderBytes   int
	MaxBodyBytes     int64
	MaxBufferedBytes int64 // Limit for the total size of the request bodies in memory.
	MaxAnswerBytes   int
	Answers          *buffer.Budget // For answers that are sent once they are complete. Default: one of SharedAnswerBytes.
	MaxInFlight      int            // Limit for the callers' requests in progress at this node.
	BodyReadTimeout  time.Duration
	WriteTimeout     time.Duration // Time limit for sending each part of an answer to the caller.
}

// Gateway handles the HTTP requests of callers.
type Gateway struct {
	opts          Options
	inFlight      atomic.Int64
	bufferedBytes atomic.Int64    // Bytes of request bodies.
	durations     drain.Durations // By destination.
}

// SharedAnswerBytes is what answers may use together beyond buffer.Allowance each, in bytes, until they are complete. It leaves most of a
// node's 256 MB to request bodies, streams and the control components.
const SharedAnswerBytes = 16 << 20

// New returns a Gateway.
func New(opts Options) *Gateway {
	if opts.Answers == nil {
		opts.Answers = buffer.NewBudget(SharedAnswerBytes)
	}
	return &Gateway{opts: opts}
}

// InFlight returns the number of requests being served.
func (g *Gateway) InFlight() int { return int(g.inFlight.Load()) }

// Handler returns the HTTP handler for callers.
func (g *Gateway) Handler() http.Handler {
	r := chi.NewRouter()
	r.NotFound(func(w http.ResponseWriter, req *http.Request) {
		g.refuse(w, req, nil, result.New(result.NotFound, "no route matches the path %.200q", req.URL.Path))
	})
	r.MethodNotAllowed(func(w http.ResponseWriter, req *http.Request) {
		g.refuse(w, req, nil, result.New(result.MethodNotAllowed, "method %.20q is not allowed at %.200q", req.Method, req.URL.Path))
	})
	r.Get("/v1/addresses", g.handleAddresses)
	r.Post("/v1/pools/{pool}/generate", g.limitRequests(g.handleGenerate))
	r.HandleFunc("/v1/services/{service}", g.limitRequests(g.handleService))
	r.HandleFunc("/v1/services/{service}/*", g.limitRequests(g.handleService))
	return r
}

func (g *Gateway) handleAddresses(w http.ResponseWriter, req *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	// An encoding error means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(g.opts.Addresses(req.RemoteAddr + req.Header.Get("Authorization")))
}

// limitRequests wraps a handler with limits for the number of requests in progress at this node and the size of their
// headers.
func (g *Gateway) limitRequests(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		if req.Body != http.NoBody {
			req.Body = &trackedBody{ReadCloser: req.Body}
		}
		if size := headerBytes(req.Header); size > g.opts.MaxHeaderBytes {
			g.refuse(w, req, nil, result.New(result.HeadersTooLarge, "the headers have %d bytes, more than %d", size, g.opts.MaxHeaderBytes))
			return
		}
		defer g.inFlight.Add(-1)
		if g.inFlight.Add(1) > int64(g.opts.MaxInFlight) {
			g.refuse(w, req, nil, result.New(result.QueueFull, "this node has %d requests in progress", g.opts.MaxInFlight).
				WithRetryAfter(time.Second))
			return
		}
		next(w, req)
	}
}

func headerBytes(h http.Header) int {
	size := 0
	for name, values := range h {
		for _, v := range values {
			size += len(name) + len(v) + len(": \r\n")
		}
	}
	return size
}

// callerRequest is one caller's request in progress.
type callerRequest struct {
	id          string
	account     rules.Account
	rules       *rules.Rules
	dispatch    *schema.DispatchRequest
	affinity    uint64
	deadline    time.Time
	started     time.Time
	destination string
	log         logrus.FieldLogger

	caller   context.Context // Ends when the caller closes its connection.
	attempts int
	node     string // Of the last attempt.
	target   string // Of the last attempt; empty if it got none.
	tokens   uint64 // Received in the last attempt.
}

// admit runs the checks that all requests have in common: this node's right to serve, the account and its limits. If err
// is nil, release is not nil and must be called when the request has ended.
func (g *Gateway) admit(req *http.Request, destination string) (c *callerRequest, release func(), err *result.Error) {
	if err := g.opts.MayServe(); err != nil {
		return nil, nil, err
	}
	current, revision := g.opts.Rules()
	if current == nil {
		return nil, nil, result.New(result.NoRightToServe, "this node has no configuration yet").WithRetryAfter(time.Second)
	}
	account, err := findAccount(current, req)
	if err != nil {
		return nil, nil, err
	}
	release, err = g.opts.Admission.Admit(account.Name)
	if err != nil {
		return nil, nil, err
	}
	id := uuid.NewString()
	c = &callerRequest{
		id:          id,
		account:     account,
		rules:       current,
		started:     time.Now(),
		destination: destination,
		caller:      req.Context(),
		dispatch: &schema.DispatchRequest{
			RequestId:      id,
			Account:        account.Name,
			Destination:    destination,
			Method:         req.Method,
			Priority:       uint32(account.Priority),
			ConfigRevision: revision,
		},
		log: g.opts.Log.WithFields(logrus.Fields{"request_id": id, "account": account.Name, "destination": destination}),
	}
	return c, release, nil
}

// unknownDestination stands for all destinations that the rules don't have: callers choose their names, which would be labels of metrics.
const unknownDestination = "unknown"

func (c *callerRequest) setUnknownDestination() {
	c.destination = unknownDestination
	c.log = c.log.WithField("destination", unknownDestination)
}

func findAccount(current *rules.Rules, req *http.Request) (rules.Account, *result.Error) {
	token, ok := strings.CutPrefix(req.Header.Get("Authorization"), "Bearer ")
	if !ok || token == "" {
		return rules.Account{}, result.New(result.UnknownAccount, "the request has no bearer token")
	}
	sum := sha256.Sum256([]byte(token))
	hash := hex.EncodeToString(sum[:])
	for _, a := range current.Accounts {
		if a.TokenSHA256 == hash {
			return a, nil
		}
	}
	return rules.Account{}, result.New(result.UnknownAccount, "the bearer token belongs to no account")
}

// describePanic makes the log line of a panic name the request, and counts a request that ends so.
func (g *Gateway) describePanic(w http.ResponseWriter, c *callerRequest) {
	recovery.OnPanic(w, func() logrus.Fields {
		elapsed := time.Since(c.started)
		g.opts.Metrics.Request(c.destination, result.Internal, elapsed)
		fields := c.incompleteFields()
		fields["request_id"], fields["account"], fields["destination"] = c.id, c.account.Name, c.destination
		fields["target"], fields["elapsed_ms"] = c.target, elapsed.Milliseconds()
		return fields
	})
}

// setDeadline sets the deadline from the time limit in the rules, or from the header X-Timeout-Ms if that is shorter.
func (c *callerRequest) setDeadline(limit time.Duration, req *http.Request) *result.Error {
	if header := req.Header.Get("X-Timeout-Ms"); header != "" {
		ms, err := parsePositiveMs(header)
		if err != nil {
			return result.New(result.BadRequest, "header X-Timeout-Ms %.20q is not a positive number of milliseconds", header)
		}
		limit = min(limit, time.Duration(ms)*time.Millisecond)
	}
	c.deadline = c.started.Add(limit)
	return nil
}

// checkShutdown returns the refusal of a request that would outlast this node.
func (g *Gateway) checkShutdown(c *callerRequest) *result.Error {
	end, ok := g.opts.EndsAt()
	if !ok || g.durations.Fit(c.destination, time.Until(c.deadline), time.Until(end)) {
		return nil
	}
	return result.New(result.NodeStopping, "this node is shutting down; use another address")
}

func (g *Gateway) refuse(w http.ResponseWriter, req *http.Request, c *callerRequest, err *result.Error) {
	g.recordOutcome(c, err.Code, "")
	g.opts.Metrics.Refusal(err.Code)
	g.extendWriteDeadline(w)
	closeUnreadBody(w, req)
	result.Write(w, err)
}

// recordOutcome logs the end of a request and counts it in the metrics. It does nothing if c is nil.
func (g *Gateway) recordOutcome(c *callerRequest, code result.Code, target string) {
	if c == nil {
		return
	}
	elapsed := time.Since(c.started)
	if code == result.OK || code == result.DeadlineExceeded {
		g.durations.Record(c.destination, elapsed)
	}
	g.opts.Metrics.Request(c.destination, code, elapsed)
	fields := logrus.Fields{
		"target":     cmp.Or(target, c.target),
		"code":       int(code),
		"result":     code.String(),
		"elapsed_ms": elapsed.Milliseconds(),
	}
	if code != result.OK {
		maps.Copy(fields, c.incompleteFields())
	}
	c.log.WithFields(fields).Info("request finished")
}

// incompleteFields returns what the log line of a request without a complete answer says of its last attempt. The target's holder logs when
// that target was heard last.
func (c *callerRequest) incompleteFields() logrus.Fields {
	var nodeErr *result.Error
	nodeStopped := errors.As(context.Cause(c.caller), &nodeErr)
	return logrus.Fields{"attempts": c.attempts, "holder": c.node, "tokens": c.tokens, "client_closed": c.caller.Err() != nil && !nodeStopped}
}

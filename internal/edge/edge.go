// Package edge is the HTTP front end for clients: it matches a request with its route and client account, selects a replica,
// forwards the request and returns the response. Whether a request may have run is decided in one place, attempts.mayHaveRun.
package edge

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"cassiadeal.example/cassiadeal/internal/balance"
	"cassiadeal.example/cassiadeal/internal/buffer"
	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/internal/connpool"
	"cassiadeal.example/cassiadeal/internal/cost"
	"cassiadeal.example/cassiadeal/internal/crash"
	"cassiadeal.example/cassiadeal/internal/demand"
	"cassiadeal.example/cassiadeal/internal/drain"
	"cassiadeal.example/cassiadeal/internal/fleet"
	"cassiadeal.example/cassiadeal/internal/intake"
	"cassiadeal.example/cassiadeal/internal/lastheard"
	"cassiadeal.example/cassiadeal/internal/precedence"
	"cassiadeal.example/cassiadeal/internal/reach"
	"cassiadeal.example/cassiadeal/internal/recovery"
	"cassiadeal.example/cassiadeal/internal/result"
	"cassiadeal.example/cassiadeal/internal/retry"
	"cassiadeal.example/cassiadeal/internal/statement"
	"cassiadeal.example/cassiadeal/internal/telemetry"
)

const (
	// defaultMaxBodyBytes limits a request body until a configuration sets the limit.
	defaultMaxBodyBytes = 1 << 20
	// storeContactTimeout is the time without contact to the store after which an unknown route or key is refused only
	// temporarily: a newer configuration may have added it.
	storeContactTimeout = 1500 * time.Millisecond
	// defaultDeadline applies to requests that state no deadline; a shorter timeout of the route takes precedence.
	defaultDeadline = 30 * time.Second
)

// Outcomes that are no result codes.
const (
	outcomeAnswered   = "answered" // The client has got a complete answer of a replica.
	outcomeClientGone = "client_gone"
)

// Codec translates between HTTP headers and the types of package fleet.
type Codec interface {
	DecodeRequest(*http.Request) *fleet.Request
	EncodeHeader(*fleet.Request, fleet.SendOptions) http.Header
	DecodeAnswer(*http.Response) fleet.Answer
	// RefusalStatus returns the status of a response with the code that this server generates.
	RefusalStatus(result.Code) int
	// CopyHeaders copies the headers of a replica's response to that for the client, except the hop-by-hop headers.
	CopyHeaders(from, to http.Header)
}

// Options configures a Server.
type Options struct {
	Codec    Codec
	Registry *fleet.Registry
	Table    *balance.Table
	Budget   *retry.Budget
	Crashes  *crash.Table
	// Demand counts the requests that arrive; nil if they aren't counted.
	Demand *demand.Table
	// Statements holds what replicas state about themselves in their responses.
	Statements *statement.Table
	// Paths opens the connections to replicas; nil for direct ones only.
	Paths *reach.Paths
	// Pool keeps connections to replicas for later requests; nil to keep none.
	Pool *connpool.Pool
	// PreferConnected makes requests go to a head with an idle connection among those of equal cost.
	PreferConnected bool
	// OnBlocked is called when a crash has been recorded after which requests are refused. It must not block.
	OnBlocked func()
	Clock     clock.Clock
	Log       logrus.FieldLogger
	Metrics   *telemetry.Metrics
	Zone      string
	// StoreAge returns the time since the store last answered this node.
	StoreAge func() time.Duration
	// ConfigDoubt tells why there may be a newer configuration than the one in force, or returns "". Nil for never.
	ConfigDoubt func() string
	// Nodes returns the number of serving nodes, including this one.
	Nodes func() int
	// AccountShares lets client accounts that offer more than their fair share give way also where all routes of a service have one priority.
	AccountShares bool
	// LoadAge returns how old the loads reported by nodes of other failure domains may be.
	LoadAge func() time.Duration
}

// Server is the HTTP handler for client requests. It is safe for concurrent use.
type Server struct {
	opt      Options
	inFlight atomic.Int64
	buffers  *buffer.Budget
	pool     *connpool.Pool
	// drainEnd is when a draining server ends; nil before it drains. stopped ends at that time.
	drainEnd  atomic.Pointer[time.Time]
	stopped   context.Context
	stop      context.CancelFunc
	durations drain.Durations // By route.
	checks    pathChecks
	offered   *precedence.Counter
	competing competingRoutes
	costs     *cost.Table

	receivedRequest atomic.Bool // A request with a known route and key has arrived.
}

// New returns a Server.
func New(opt Options) *Server {
	if opt.Pool == nil {
		opt.Pool = connpool.Disabled(opt.Clock)
	}
	s := &Server{opt: opt, pool: opt.Pool, buffers: buffer.NewBudget(sharedBufferBytes), offered: precedence.NewCounter(opt.Clock), costs: cost.New(0),
		checks: pathChecks{byTarget: map[reach.Target]*pathCheck{}}}
	s.stopped, s.stop = context.WithCancel(context.Background())
	return s
}

// InFlight returns the number of requests that are being served.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// HasReceivedRequest tells whether a request has arrived whose route and, unless the route is public, key are known.
func (s *Server) HasReceivedRequest() bool { return s.receivedRequest.Load() }

// call is the state of one client request.
type call struct {
	*Server
	w       http.ResponseWriter
	ctx     context.Context
	client  context.Context // Ends when the client closes its connection.
	req     *fleet.Request
	view    *fleet.View
	route   *fleet.Route
	service *fleet.Service
	model   *fleet.Model // Nil for plain services.
	tenant  string
	// effectivePriority is that of the client account, if it has one, and otherwise the route's; 0 is the most urgent one.
	effectivePriority int
	urgency           int // For replicas; valid if hasUrgency is set.
	hasUrgency        bool
	output            int // Expected output tokens of a stream of a model.
	// suspect identifies the request apart from its ID: all copies of a request have the same fingerprint.
	suspect  crash.Request
	start    time.Time
	deadline time.Time // The final response is due by then.
	// waited is the time from the arrival of the request at this node to the last choice of a target before its first send.
	waited   time.Duration
	attempts attempts
	repeat   repeatState
	progress *progress // Of a stream; nil for other requests.
}

// attempts counts the sends of one request.
type attempts struct {
	sends       int
	maybeRun    int // Sends that may have run.
	running     int // Sends that are under way at the same time, if the response is buffered.
	lastTarget  string
	lastFailure string // Why the last send got no usable response.
	// began is set if the target of the last send has sent a part of its response.
	began bool
	heard *lastheard.Record // Of the last target.
	// othersAsked counts the targets that were asked beside one that had stalled, takeovers those that went on in its place.
	othersAsked, takeovers int
	other                  string // The last of othersAsked.
	otherHeard             *lastheard.Record
	// unreached holds targets to which no connection opened in time.
	unreached []balance.Key
	// cutOff holds targets that may have run the request, and to which only the way was lost meanwhile.
	cutOff  []balance.Key
	granted int // Retries that the budget granted for sends that reached no target.
}

// startSend counts a send to the target.
func (a *attempts) startSend(key balance.Key, h *lastheard.Record) {
	a.sends++
	a.lastTarget, a.began, a.heard = string(key), false, h
}

// readmit takes the targets that weren't reached in time out of the excluded ones, and takes back the sends to them: a target that is only
// silent for a while opens connections later. A request that hasn't run is refused instead if there is no other target. Targets to which
// only the way was lost are reached on another one.
func (a *attempts) readmit(exclude map[balance.Key]bool) {
	for _, key := range slices.Concat(a.unreached, a.cutOff) {
		delete(exclude, key)
	}
	a.sends -= len(a.unreached)
	a.granted += len(a.unreached)
	a.unreached, a.cutOff = nil, nil
}

// mayHaveRun tells whether any send may have run or may still run. Only if not may the request be refused as not run.
func (a *attempts) mayHaveRun() bool { return a.maybeRun > 0 }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	c := &call{Server: s, w: w, ctx: r.Context(), client: r.Context(), start: time.Now(), req: s.opt.Codec.DecodeRequest(r), view: s.opt.Registry.View()}
	recovery.OnPanic(w, func() logrus.Fields {
		fields := c.outcomeFields()
		maps.Copy(fields, c.incompleteFields())
		return fields
	})
	if e := c.readBody(r); e != nil {
		c.refuse(e)
		return
	}
	if e := c.resolve(); e != nil {
		c.refuse(e)
		return
	}
	c.offerDemand()
	if e := c.limitToDrain(); e != nil {
		c.refuse(e)
		return
	}
	c.limitWrites()
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	defer context.AfterFunc(s.stopped, cancel)()
	c.ctx = ctx
	if c.route.Repeat == fleet.RepeatStream {
		c.serveStream()
	} else {
		c.serveBuffered()
	}
}

func (c *call) readBody(r *http.Request) *result.Error {
	limit := int64(defaultMaxBodyBytes)
	if c.view.Config != nil && c.view.Config.Limits.BodyBytes > 0 {
		limit = c.view.Config.Limits.BodyBytes
	}
	stopped := c.endReadWhenStopped()
	body, err := intake.ReadBody(r, limit, c.bodyTime(), nil)
	if stopped() {
		return c.stoppingRefusal()
	}
	if err != nil {
		return intake.Refusal(err, limit)
	}
	c.req.Body = body
	return nil
}

// resolve finds the route, client account and service of the request.
func (c *call) resolve() *result.Error {
	cfg := c.view.Config
	if cfg == nil {
		return result.New(result.PlatformUnavailable, "no configuration has been received yet").WithRetryAfter(retryAfterUnready)
	}
	c.route = cfg.Match(c.req.Host, c.req.Path)
	if c.route == nil {
		return c.refusalForUnknown(result.New(result.NotFound, "no route for host %q and path %q in configuration version %d", c.req.Host, c.req.Path, cfg.Version))
	}
	c.effectivePriority = c.route.Priority
	if cfg.Tenants != nil && !c.route.Public {
		account, known := cfg.Tenants[c.req.Key]
		if !known {
			return c.refusalForUnknown(result.New(result.UnknownAccount, "the API key belongs to no client account in configuration version %d", cfg.Version))
		}
		c.tenant, c.effectivePriority = account.Name, fleet.EffectivePriority(c.route, account)
	}
	c.suspect = suspectOf(c.tenant, c.req)
	wait := c.req.Deadline
	if wait <= 0 {
		wait = defaultDeadline
	}
	c.receivedRequest.Store(true)
	if c.route.Timeout > 0 {
		wait = min(wait, c.route.Timeout)
	}
	c.deadline = c.start.Add(wait)
	return c.resolveService()
}

// resolveService finds the service and the model of the request.
func (c *call) resolveService() *result.Error {
	cfg := c.view.Config
	c.service = cfg.Services[c.pickBackend()]
	if c.service == nil {
		return result.New(result.NoTarget, "the configuration has no service for route %q", c.route.Name).WithRetryAfter(retryAfterUnready)
	}
	c.urgency, c.hasUrgency = fleet.Urgency(cfg.Priorities(c.service.Name), c.effectivePriority)
	if e := c.service.Engine; e != nil {
		if c.model = e.Model(c.req.Model); c.model == nil {
			return result.New(result.BadRequest, "service %q has no model %q", c.service.Name, c.req.Model)
		}
	}
	return nil
}

// refusalForUnknown returns e, or a temporary refusal if there may be a newer configuration that contains the route or key: the store
// has been silent for long, or there is another reason.
func (c *call) refusalForUnknown(e *result.Error) *result.Error {
	doubt := ""
	if age := c.opt.StoreAge(); age > storeContactTimeout {
		doubt = fmt.Sprintf("the store has not answered for %v", age.Round(time.Millisecond))
	} else if c.opt.ConfigDoubt != nil {
		doubt = c.opt.ConfigDoubt()
	}
	if doubt == "" {
		return e
	}
	return result.New(result.PlatformUnavailable, "%s, and %s", e.Message, doubt).WithRetryAfter(retryAfterUnready)
}

// pickBackend draws a service at random by the weights of the route.
func (c *call) pickBackend() string {
	backends := c.route.Backends
	total := 0.0
	for _, b := range backends {
		total += max(b.Weight, 0)
	}
	draw := rand.Float64() * total
	for _, b := range backends {
		if draw -= max(b.Weight, 0); draw < 0 {
			return b.Service
		}
	}
	return backends[len(backends)-1].Service
}

// allowRetry reports whether the budget grants one more send.
func (c *call) allowRetry(reason retry.Reason) bool {
	if c.attempts.granted > 0 {
		c.attempts.granted--
		return true
	}
	return c.opt.Budget.Allow(c.service.Name, reason)
}

func (c *call) timeLeft() time.Duration { return time.Until(c.deadline) }

// refuse responds with an error that this server generates.
func (c *call) refuse(e *result.Error) {
	status := c.opt.Codec.RefusalStatus(e.Code)
	c.logOutcome(e.Code.String(), e.Message, logrus.Fields{"retry_after_ms": e.RetryAfter.Milliseconds(), "status": status})
	c.opt.Metrics.Refusal(e.Code)
	c.announceClose()
	if e.RetryAfter > 0 {
		c.w.Header().Set("Retry-After", strconv.FormatFloat(e.RetryAfter.Seconds(), 'f', 2, 64))
	}
	result.WriteBody(c.w, status, e)
}

// refuseUnanswered ends a request that was sent and got no usable response. The error never states that the request has not
// run.
func (c *call) refuseUnanswered(reason string) {
	if c.drainEnded() {
		c.refuse(result.New(result.OutcomeUnknown, "the request may have run: this node stopped before the response"))
		return
	}
	if c.ctx.Err() != nil && c.timeLeft() <= 0 {
		c.durations.Record(c.route.Name, time.Since(c.start))
		c.refuse(result.New(result.DeadlineExceeded, "no response before the deadline: %s", reason))
		return
	}
	c.refuse(result.New(result.OutcomeUnknown, "the request may have run: %s", reason))
}

// logOutcome writes the log line that ends each request.
func (c *call) logOutcome(outcome, reason string, extra logrus.Fields) {
	fields := c.outcomeFields()
	fields["outcome"] = outcome
	if outcome != outcomeAnswered {
		maps.Copy(fields, c.incompleteFields())
	}
	if outcome == outcomeClientGone {
		fields["client_closed"] = true // A failed write may show it before the context does.
	}
	maps.Copy(fields, extra)
	c.opt.Log.WithFields(fields).Info(reason)
}

// outcomeFields returns what the log line that ends a request says in any case.
func (c *call) outcomeFields() logrus.Fields {
	fields := logrus.Fields{"request_id": c.req.ID, "sends": c.attempts.sends, "maybe_run": c.attempts.maybeRun,
		"took_ms": time.Since(c.start).Milliseconds(), "store_age_ms": c.opt.StoreAge().Milliseconds()}
	if c.view.Config != nil {
		fields["config_version"] = c.view.Config.Version
	}
	if c.route != nil {
		fields["route"], fields["tenant"], fields["waited_ms"] = c.route.Name, c.tenant, c.waited.Milliseconds()
	}
	if c.repeat.arrivals() > 0 {
		fields["repeated"] = true
	}
	if c.attempts.lastTarget != "" {
		fields["target"], fields["why"] = c.attempts.lastTarget, c.attempts.lastFailure
		c.attempts.heard.AddThrough(fields, "")
	}
	return fields
}

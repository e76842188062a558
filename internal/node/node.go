// Package node assembles the node that cassiadeald runs with a settings file (--config). Package entry assembles the one that
// runs with --platform.
package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"cassiadeal.example/cassiadeal/internal/admission"
	"cassiadeal.example/cassiadeal/internal/buffer"
	"cassiadeal.example/cassiadeal/internal/claims"
	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/internal/configsync"
	"cassiadeal.example/cassiadeal/internal/crash"
	"cassiadeal.example/cassiadeal/internal/dispatch"
	"cassiadeal.example/cassiadeal/internal/executor"
	"cassiadeal.example/cassiadeal/internal/gateway"
	"cassiadeal.example/cassiadeal/internal/groups"
	"cassiadeal.example/cassiadeal/internal/holder"
	"cassiadeal.example/cassiadeal/internal/intake"
	"cassiadeal.example/cassiadeal/internal/membership"
	"cassiadeal.example/cassiadeal/internal/operator"
	"cassiadeal.example/cassiadeal/internal/orders"
	"cassiadeal.example/cassiadeal/internal/peer"
	"cassiadeal.example/cassiadeal/internal/platform"
	"cassiadeal.example/cassiadeal/internal/reach"
	"cassiadeal.example/cassiadeal/internal/recovery"
	"cassiadeal.example/cassiadeal/internal/result"
	"cassiadeal.example/cassiadeal/internal/retry"
	"cassiadeal.example/cassiadeal/internal/router"
	"cassiadeal.example/cassiadeal/internal/rules"
	"cassiadeal.example/cassiadeal/internal/schema"
	"cassiadeal.example/cassiadeal/internal/settings"
	"cassiadeal.example/cassiadeal/internal/statement"
	"cassiadeal.example/cassiadeal/internal/target"
	"cassiadeal.example/cassiadeal/internal/telemetry"
)

const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	writeTimeout      = 30 * time.Second
)

// Node is one instance of the daemon.
type Node struct {
	settings *settings.Settings
	log      *logrus.Entry
	self     *schema.Node
	clock    clock.Clock
	metrics  *telemetry.Metrics
	// direct opens a TCP connection to an engine or a service by this node's own path.
	direct func(ctx context.Context, address string) (net.Conn, error)

	platform   *platform.Client
	peers      *peer.Client
	paths      *reach.Paths
	tunnels    *reach.Server
	membership *membership.Membership
	config     *configsync.Sync
	holders    *holder.Holders
	groups     *groups.Controllers
	reports    *vmReports
	targets    *target.Table
	claims     *claims.Manager
	crashes    *crash.Table
	statements *statement.Table
	budget     *retry.Budget
	admission  *admission.Controller
	router     *router.Router
	executor   *executor.Executor
	gateway    *gateway.Gateway

	vms      vmList
	statuses peerStatuses
	drains   domainDrains

	mu sync.Mutex
	// draining is set at the start of a graceful shutdown.
	draining bool
	// announced is set when this node first has the configuration in force. Unless it is draining, it then changes its
	// state to serving.
	announced bool
	// shutdownEnd is the shutdown limit of a graceful shutdown; zero before it.
	shutdownEnd time.Time
	// closedToCallers is set during a graceful shutdown when new requests from callers are no longer accepted.
	closedToCallers bool

	// forwardedInFlight counts the requests in flight that other nodes forwarded to this one.
	forwardedInFlight atomic.Int64
	// forwarded bounds the large requests that this node forwards.
	forwarded forwardedLoad
	listeners listeners
	intake    *intake.Limiter
	// requestContext is the parent context of all requests. cancelRequests cancels it at the shutdown limit.
	requestContext context.Context
	cancelRequests context.CancelCauseFunc
}

// listeners are the bound sockets of a node.
type listeners struct {
	caller, peer, operator net.Listener
}

// New binds the listeners and assembles a node. It serves nothing before Run.
func New(cfg *settings.Settings, log *logrus.Entry) (*Node, error) {
	return newNode(cfg, log, func(ctx context.Context, address string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	})
}

// newNode is New with another way to open connections to engines and services.
func newNode(cfg *settings.Settings, log *logrus.Entry, direct func(context.Context, string) (net.Conn, error)) (*Node, error) {
	metrics, err := telemetry.New(cfg.Node.Name)
	if err != nil {
		return nil, eris.Wrap(err, "setting up metrics")
	}
	node := &Node{settings: cfg, log: log, metrics: metrics, clock: clock.Boottime(), direct: direct}
	node.requestContext, node.cancelRequests = context.WithCancelCause(context.Background())
	if node.listeners, err = bind(&cfg.Listen); err != nil {
		return nil, err
	}
	node.peers = peer.NewClient(node.listeners.peer.Addr(), cfg.Timing.Term+cfg.Timing.Margin)
	node.self = &schema.Node{
		Name:            cfg.Node.Name,
		Incarnation:     uuid.NewString(),
		CallerAddress:   advertisedAddress(cfg.Advertise.Caller, cfg.Listen.Caller, node.listeners.caller),
		PeerAddress:     advertisedAddress(cfg.Advertise.Peer, cfg.Listen.Peer, node.listeners.peer),
		OperatorAddress: advertisedAddress(cfg.Advertise.Operator, cfg.Listen.Operator, node.listeners.operator),
		FailureDomain:   cfg.Node.FailureDomain,
		LeaseTermMs:     cfg.Timing.Term.Milliseconds(),
	}
	node.log = log.WithField("incarnation", node.self.Incarnation)
	if err := node.assemble(); err != nil {
		node.listeners.close()
		return nil, err
	}
	return node, nil
}

func bind(addresses *settings.Addresses) (bound listeners, err error) {
	for _, binding := range []struct {
		address  string
		listener *net.Listener
	}{{addresses.Caller, &bound.caller}, {addresses.Peer, &bound.peer}, {addresses.Operator, &bound.operator}} {
		if *binding.listener, err = net.Listen("tcp", binding.address); err != nil {
			bound.close()
			return listeners{}, eris.Wrapf(err, "listening on %s", binding.address)
		}
	}
	return bound, nil
}

func (l listeners) close() {
	for _, listener := range []net.Listener{l.caller, l.peer, l.operator} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// advertisedAddress returns the address that others use. Without an advertised address of its own, this is the bound one, so
// that a listener on port 0 advertises its actual port.
func advertisedAddress(advertise, listen string, listener net.Listener) string {
	if advertise == listen {
		return listener.Addr().String()
	}
	return advertise
}

// CallerAddress returns the address that callers use.
func (n *Node) CallerAddress() string { return n.self.CallerAddress }

// OperatorAddress returns the address of the operators' listener.
func (n *Node) OperatorAddress() string { return n.self.OperatorAddress }

// now returns the monotonic time.
func (n *Node) now() time.Duration { return time.Duration(n.clock.Now()) }

func (n *Node) assemble() (err error) {
	timing := n.settings.Timing
	meter := n.metrics.Meter()
	n.platform = platform.New(platform.Options{
		BaseURL: n.settings.Platform.URL, Client: n.self.Name, Timeout: n.settings.Platform.Timeout, Meter: meter, Log: n.log,
	})
	n.membership, err = membership.New(membership.Options{
		Self: n.self, Platform: n.platform, Peers: n.peers,
		Heartbeat: timing.Heartbeat, Renew: timing.Renew, Term: timing.Term, Margin: timing.Margin,
		ForgetAfter: timing.ForgetAfter, MaxOutage: timing.MaxOutage,
		Clock: n.clock, Log: n.log, Meter: meter, Era: n.platform.Era,
		FillStatus: n.fillStatus, OnPeerStatus: n.onPeerStatus,
		AfterRenew: n.afterRenew,
	})
	if err != nil {
		return err
	}
	if err := n.assembleReach(); err != nil {
		return err
	}
	n.assembleControl()
	if err := n.newIntake(); err != nil {
		return err
	}
	n.assembleRequests()
	n.platform.OnRestore(n.storeRestored)
	return nil
}

// storeRestored is called when the platform's store has come back from an older copy. It has this node's record written again,
// and the start of the era recorded: keys that were created before it can't be claimed any more.
func (n *Node) storeRestored() {
	n.membership.Renew()
	go func() {
		if _, err := n.platform.EraStart(n.requestContext); err != nil {
			n.log.WithError(err).Warn("the start of the store's era could not be recorded; the next claim tries again")
		}
	}()
}

// afterRenew makes the lease depend on what this node has read since it was written: its holder tables and the
// configuration. A node whose lease is valid therefore has both as of the lease's start or later. It has the plans as of the end of the last
// gap between leases and of the present era of the store.
func (n *Node) afterRenew(ctx context.Context, version uint64) error {
	if err := n.holders.Reread(ctx); err != nil {
		return err
	}
	if err := n.groups.AfterRenew(ctx, version); err != nil {
		return err
	}
	return n.config.Refresh(ctx, version)
}

func (n *Node) assembleControl() {
	timing := n.settings.Timing
	meter := n.metrics.Meter()
	api := objectAPI{n.platform}
	self := holder.Identity{Name: n.self.Name, Incarnation: n.self.Incarnation}
	n.config = configsync.New(configsync.Options{
		Self: n.self.Name, Platform: n.platform, Members: n.membership, Peers: n.peers, Era: n.platform.Era, Parse: parseRules,
		Clock: n.clock, Log: n.log, Meter: meter,
	})
	n.config.OnChange(n.onRules)
	n.holders = holder.New(holder.Options{
		Self: self, Platform: api, Members: holderMembers{n.membership}, Term: timing.Term, Margin: timing.Margin,
		Now: n.now, Log: n.log, Meter: meter, BeforeRelease: n.beforeRelease,
		OnTakeover: n.membership.SendHeartbeats,
	})
	n.statements = statement.New(statement.Options{Now: n.now, Log: n.log, Meter: meter})
	orderClient := orders.New(orders.Options{Timeout: timing.OrderDelivery, Dial: n.dialer(timing.Freshness*3/4, timing.OrderDelivery, true), Heard: func(address string, resp *http.Response) {
		n.statements.RecordResponse(address, "", resp, 0)
	}})
	n.reports = newVMReports(orderClient, n.statements, n.now, n.vms.address, timing.Freshness)
	n.groups = groups.New(groups.Options{
		Self: self, Platform: api, Members: holderMembers{n.membership}, Orders: orderClient, VMs: n.plannedVMs, Report: n.reports.get,
		Rules: func() *rules.Rules { _, r := n.config.Current(); return r }, Now: n.now,
		OrderDelivery: timing.OrderDelivery, Term: timing.Term, Margin: timing.Margin, Log: n.log,
	})
}

func (n *Node) assembleRequests() {
	timing := n.settings.Timing
	limits := n.settings.Limits
	meter := n.metrics.Meter()
	n.targets = target.New(target.Options{
		ProbeInterval: timing.Probe, Freshness: timing.Freshness, Prober: target.NewHTTPProber(n.dialer(timing.Freshness*2/5, probeTunnelLifetime, true)), Statements: n.statements, Now: n.now, Log: n.log, Meter: meter,
	})
	n.crashes = crash.New(crash.Options{Now: n.now})
	n.budget = retry.New(retry.Options{Now: n.now, Log: n.log, Meter: meter})
	n.admission = admission.New(n.self.Name, nil)
	n.claims = claims.New(claims.Options{
		Node: n.self.Name, Incarnation: n.self.Incarnation, Store: n.platform, Owners: claimOwners{n}, Nodes: n.liveNodes, Log: n.log,
		Era: n.platform.EraStart, Panics: n.metrics,
	})
	answers := buffer.NewBudget(gateway.SharedAnswerBytes)
	n.executor = executor.New(executor.Options{
		Answers: answers, Targets: n.targets, Claims: n.claims, Crashes: n.crashes, MayServe: n.mayRun, OnCrash: n.reportCrash,
		Holds: n.holdsTarget, Clock: n.now, Log: n.log,
		Runner: dispatch.New(dispatch.Options{IdleTimeout: timing.StreamIdle, MaxAnswerBytes: limits.MaxAnswerBytes, Log: n.log, Meter: meter, Panics: n.metrics,
			Dial: n.dialer(requestDialTimeout, requestTunnelLifetime, false)}),
	})
	n.router = router.New(n.self.FailureDomain, n.routableNodes)
	n.gateway = gateway.New(gateway.Options{
		Node: n.self.Name, Admission: n.admission, Router: n.router, Execute: n.execute, Crashes: n.crashes, Budget: n.budget,
		Rules:    func() (*rules.Rules, uint64) { c, r := n.config.Current(); return r, c.GetRevision() },
		MayServe: n.mayAccept, EndsAt: n.endsAt, Addresses: n.addresses, Metrics: n.metrics, Log: n.log,
		MaxHeaderBytes: int(limits.MaxHeaderBytes), MaxBodyBytes: limits.MaxBodyBytes, MaxBufferedBytes: n.bounds().Bytes,
		MaxAnswerBytes: int(limits.MaxAnswerBytes), Answers: answers, MaxInFlight: int(limits.MaxInFlight),
		BodyReadTimeout: limits.BodyReadTimeout, WriteTimeout: writeTimeout,
	})
}

func parseRules(text string) (*rules.Rules, error) {
	parsed, problems := rules.Parse(operator.RulesFile, text)
	if len(problems) > 0 {
		return nil, result.New(result.RulesInvalid, "%s", problems[0])
	}
	return parsed, nil
}

// Run serves until ctx ends, then shuts down gracefully.
func (n *Node) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	failures := make(chan error, 8)
	var wg sync.WaitGroup
	start := func(name string, task func(context.Context) error) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if err := task(background); err != nil && background.Err() == nil {
				failures <- eris.Wrap(err, name)
			}
		}()
	}
	withoutError := func(task func(context.Context)) func(context.Context) error {
		return func(ctx context.Context) error { task(ctx); return nil }
	}
	callerServer := n.callerServer()
	operatorServer := n.operatorServer()
	peers, tunnelServer := peer.NewMux(n.listeners.peer), n.tunnelServer()
	start("peer listener", peers.Run)
	start("peer RPCs", func(ctx context.Context) error { return peer.Serve(ctx, peers.RPCs, handler{n}, n.recoverer("peer")) })
	start("tunnels", serveHTTP(tunnelServer, peers.Tunnels))
	start("caller listener", serveHTTP(callerServer, n.limitCallers(callerServer)))
	start("operator listener", serveHTTP(operatorServer, n.limitOperators(operatorServer)))
	start("membership", n.membership.Run)
	start("configuration", n.config.Run)
	start("holders", withoutError(n.holders.Run))
	start("groups", withoutError(n.groups.Run))
	start("targets", withoutError(n.targets.Run))
	start("engine states", withoutError(n.reports.run))
	start("claims", withoutError(n.claims.Run))
	start("VM list", withoutError(n.followVMs))
	start("reconciler", withoutError(n.reconcileLoop))
	n.log.WithFields(logrus.Fields{
		"caller": n.self.CallerAddress, "peer": n.self.PeerAddress, "operator": n.self.OperatorAddress,
	}).Info("node started")

	var err error
	select {
	case <-ctx.Done():
		err = n.shutdown(background, callerServer)
	case err = <-failures:
		n.log.WithError(err).Error("node stops because a component failed")
	}
	stop()
	_ = callerServer.Close()
	_ = operatorServer.Close()
	_ = tunnelServer.Close()
	n.listeners.close()
	wg.Wait()
	_ = n.peers.Close()
	return err
}

func (n *Node) operatorServer() *http.Server {
	handler := operator.NewHandler(operator.Options{Backend: backend{n}, Metrics: n.metrics.Handler(), Log: n.log})
	return &http.Server{
		Handler:           n.recoverer("operator").Handler(handler),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		ErrorLog:          telemetry.ServerErrorLog(n.log, "operator"),
	}
}

// recoverer reports the panics of one part of this node.
func (n *Node) recoverer(where string) recovery.Recoverer {
	return recovery.Recoverer{Where: where, Log: n.log, Metrics: n.metrics}
}

func (n *Node) callerServer() *http.Server {
	return &http.Server{
		Handler:           n.recoverer("caller").Handler(n.gateway.Handler()),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		// The gateway sets the write deadline before each part of a response; this one resets it between requests.
		WriteTimeout: writeTimeout,
		ErrorLog:     telemetry.ServerErrorLog(n.log, "caller"),
		BaseContext:  func(net.Listener) context.Context { return n.requestContext },
	}
}

func serveHTTP(server *http.Server, listener net.Listener) func(context.Context) error {
	return func(context.Context) error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	}
}

package planner

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"cassiadeal.example/cassiadeal/internal/balance"
	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/internal/fleet"
	"cassiadeal.example/cassiadeal/internal/placement"
	"cassiadeal.example/cassiadeal/platform"
)

const (
	tickInterval = 50 * time.Millisecond
	// probeTimeout bounds one report. It takes some milliseconds at a healthy replica.
	probeTimeout = 250 * time.Millisecond
	// maxProbesPerTick bounds the probes that start in one tick; only the members of the last group may exceed it. After an outage
	// all groups are probed, and a node with a fifth of a core mistook its own delay for the failure of many heads.
	maxProbesPerTick = 8
	// probeTimeoutTolerance is how much later than probeTimeout a failed probe may end and still count against the replica. If it
	// ends later, this node itself is slow.
	probeTimeoutTolerance = 50 * time.Millisecond
	// failedProbeInterval replaces probeInterval after a member has not answered.
	failedProbeInterval = 300 * time.Millisecond
	// secondProbeDelay is the delay after which a probe requests the report a second time, since the packet that opens the
	// connection may be lost.
	secondProbeDelay = 60 * time.Millisecond
	// probeAfterSilence is how long a head sends no event before the members of its group are probed. It spans several of the usual
	// gaps between events.
	probeAfterSilence = 250 * time.Millisecond
	// probeInterval is the time between two probes of the members of a group that seems to have stopped.
	probeInterval = 700 * time.Millisecond
	// summaryInterval is the time between two log lines with a summary of the groups.
	summaryInterval = 2 * time.Second
	// settleTime is how long a new planner only collects reports before its first plan, so that the effects of its predecessor's
	// orders become visible.
	settleTime = 400 * time.Millisecond
)

// errRestarted means that another start of a replica has answered a probe.
var errRestarted = eris.New("the replica has been started anew")

// Options configures a Planner.
type Options struct {
	Lease *Lease
	// Store holds the record of the plan; nil if none is kept.
	Store    *platform.Store
	Registry *fleet.Registry
	Table    *balance.Table
	Replicas *platform.ReplicaClient
	Clock    clock.Clock
	Log      logrus.FieldLogger
	// LoadWindow is the period over which the number of weight loads is limited.
	LoadWindow time.Duration
	// StallAfter is the time after which a group whose member is gone is broken.
	StallAfter time.Duration
	// EntryTTL is the time after which the entry of a replica that can't reach the store is removed.
	EntryTTL time.Duration
	// Candidate tells whether this node should try to become the planner now.
	Candidate func() bool
	// StoreAccess returns what is known about the store's answers, and StoreFailing whether the last list or watch of this node got none.
	// Other calls don't change it.
	StoreAccess  func() StoreAccess
	StoreFailing func() bool
	// LoadAge returns how old what other nodes report of their requests may be.
	LoadAge func() time.Duration
	// Alone reports whether this node hears of no other one, although there are others.
	Alone func() bool
	// Limited tells whether a replica has stated a limit on its rate of requests.
	Limited func(*fleet.Replica) bool
	// BeforeFirstRequest tells whether the system has started for the first time and no client has sent a request yet.
	BeforeFirstRequest func() bool
}

// Planner plans the groups of the engine service while this node holds the lease.
type Planner struct {
	opt      Options
	recorder *recorder // Nil if no record is kept.
	// inFlight holds a value for each order that is being sent.
	inFlight chan struct{}

	mu   sync.Mutex // Guards the fields below. No network call is made while it is held.
	plan *placement.Plan
	// recordRead is set once the plan holds what earlier planners have recorded. Nothing is planned before.
	recordRead bool
	term       int64 // Lease term of the plan.
	// confirmed holds the replicas that have answered a query since their entries became uncertain, and the epochs that they stated; 0
	// for no group.
	confirmed map[fleet.Incarnation]int64
	queriedAt map[fleet.Incarnation]clock.Time // When a replica's report was last requested in place of its entry.
	// reportAskedAt holds when the newest report in use was requested.
	reportAskedAt map[fleet.Incarnation]clock.Time
	termStart     clock.Time
	unconfirmed   unconfirmedFailures
	nextProbe     map[string]clock.Time  // When a group may be probed again, by group name.
	orderLocks    map[string]*sync.Mutex // By replica ID; see orderLock.
	counts        orderCounts
	// active isn't guarded: datagrams, the choice of a mirror and logs ask for it, and mustn't wait for a step of the plan.
	active      atomic.Bool
	joins       map[waitingOrder]bool // Orders to join that wait or are being sent.
	lastSummary clock.Time            // Last summary in the log.
	restoredAt  clock.Time            // When the store last came back from an older copy; 0 if it never did.
	follow      *followDemand         // Nil if replicas don't follow the demand.
}

// New returns a Planner.
func New(opt Options) *Planner {
	p := &Planner{opt: opt, inFlight: make(chan struct{}, maxOrdersInFlight), joins: map[waitingOrder]bool{}, nextProbe: map[string]clock.Time{}, queriedAt: map[fleet.Incarnation]clock.Time{}, reportAskedAt: map[fleet.Incarnation]clock.Time{}, confirmed: map[fleet.Incarnation]int64{},
		unconfirmed: unconfirmedFailures{}, orderLocks: map[string]*sync.Mutex{}, counts: newOrderCounts()}
	if opt.Store != nil {
		p.recorder = newRecorder(opt.Store, opt.Lease, opt.StoreFailing, opt.Log)
	}
	return p
}

// FollowDemand lets replicas follow the demand for two models. It must be called before Run.
func (p *Planner) FollowDemand(opt FollowOptions) (err error) {
	p.follow, err = newFollowDemand(opt, p.opt.Log)
	return err
}

// Active tells whether this node was the planner at the last tick.
func (p *Planner) Active() bool { return p.active.Load() }

// Run plans until the context is done.
func (p *Planner) Run(ctx context.Context) {
	go p.maintainLease(ctx)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			p.setActive(false)
			return
		case <-ticker.C:
		}
		valid := p.opt.Lease.Valid()
		p.setActive(valid)
		if valid {
			p.planOnce(ctx)
		} else {
			p.observeDemand()
		}
	}
}

// observeDemand keeps the usual demand up to date while another node plans.
func (p *Planner) observeDemand() {
	p.mu.Lock()
	defer p.mu.Unlock()
	view := p.opt.Registry.View()
	if p.follow == nil || view.Config == nil {
		return
	}
	if service := view.Config.EngineService(); service != nil {
		p.follow.observe(p.opt.Clock.Now(), service.Engine)
	}
}

// maintainLease acquires and renews the lease until the context is done. It runs in its own goroutine, so that calls to the store
// don't delay plans.
func (p *Planner) maintainLease(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			p.opt.Lease.Resign("the node is stopping")
			return
		case <-ticker.C:
		}
		if p.opt.Lease.Maintain(ctx, p.opt.Candidate(), p.opt.StoreAccess()) {
			p.startTerm()
			if p.recorder != nil {
				go p.restorePlan(ctx, p.opt.Lease.Term())
			}
		}
	}
}

func (p *Planner) setActive(valid bool) {
	if p.active.Swap(valid) != valid {
		p.opt.Log.WithField("plans", valid).Info("the right to plan groups has changed")
	}
}

// startTerm discards the state of an earlier term of this node and starts a new plan.
func (p *Planner) startTerm() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.term = p.opt.Lease.Term()
	p.plan = placement.New(p.term)
	p.termStart = p.opt.Clock.Now()
	p.recordRead = p.recorder == nil
	if p.recorder != nil {
		p.recorder.startTerm(p.term)
	}
	clear(p.nextProbe)
	clear(p.queriedAt)
	clear(p.reportAskedAt)
	clear(p.confirmed)
	clear(p.unconfirmed)
	p.counts = newOrderCounts()
}

// planOnce updates the plan once, and sends its orders and the probes and queries that are due.
func (p *Planner) planOnce(ctx context.Context) {
	orders, probes, queries := p.decide()
	p.queryReports(ctx, queries)
	p.recordPlan(ctx)
	for _, o := range orders {
		go p.send(ctx, o)
	}
	for _, task := range probes {
		go p.probe(ctx, task)
	}
}

// decide returns the orders to send, the members to probe and the replicas whose reports to read.
func (p *Planner) decide() (orders []placement.Order, probes []probeTask, queries []*fleet.Replica) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// The view is read under the lock because it must include the reports of the replicas in confirmed.
	view := p.opt.Registry.View()
	if view.Config == nil || p.plan == nil || p.term != p.opt.Lease.Term() {
		return nil, nil, nil
	}
	service := view.Config.EngineService()
	if service == nil {
		return nil, nil, nil
	}
	replicas := map[string]*fleet.Replica{}
	for id, r := range view.Replicas {
		if r.Service == service.Name {
			replicas[id] = r
		}
	}
	now, beforeFirstRequest := p.opt.Clock.Now(), p.opt.BeforeFirstRequest()
	restored := p.restoredLately(now)
	complete := !restored && (beforeFirstRequest || p.opt.Registry.Complete())
	uncertain := restored || !beforeFirstRequest && (!complete || now.Sub(p.termStart) < p.opt.EntryTTL+settleTime)
	if !uncertain {
		clear(p.queriedAt)
		clear(p.reportAskedAt)
		clear(p.confirmed)
	}
	confirmed := p.confirmedReplicas(replicas)
	queries = p.replicasToQuery(replicas, uncertain, now)
	if !p.recordRead || !beforeFirstRequest && now.Sub(p.termStart) < settleTime {
		return nil, nil, queries
	}
	var wanted map[string]int
	if p.follow != nil {
		wanted = p.follow.need(now, p.term, service.Engine, p.plan, complete && !uncertain && !p.opt.StoreFailing())
		defer func() { p.follow.logMoves(p.plan) }()
	}
	orders = p.plan.Step(placement.Input{Now: now, Engine: service.Engine, Replicas: replicas,
		Need: p.modelShares(service.Engine), BeforeFirstRequest: beforeFirstRequest, LoadWindow: p.opt.LoadWindow, StallAfter: p.opt.StallAfter,
		Lapsed: view.Lapsed, Incomplete: !complete, MayBeOutdated: uncertain, Confirmed: confirmed,
		HeadActivity: p.headActivity, GroupActivity: p.groupActivity,
		Limited: p.opt.Limited, Follow: p.follow != nil, Wanted: wanted})
	p.logEvents(now)
	probes = p.dueProbes(replicas, now)
	p.summarize(view, replicas, now)
	return orders, probes, queries
}

// restorePlan reads what earlier planners have recorded and adds it to the plan of the term. In an outage of the store, groups are planned
// from what the replicas report until it answers.
func (p *Planner) restorePlan(ctx context.Context, term int64) {
	var retry retryDelay
	timeout := recordCallTimeout
	for ctx.Err() == nil && p.opt.Lease.Holds(term) {
		if !p.opt.Lease.Valid() {
			sleep(ctx, recordRetryInterval)
			continue
		}
		records, err := p.recorder.load(ctx, term, timeout)
		if err != nil {
			p.opt.Log.WithError(err).Info("the record of the plan of groups could not be read")
			if p.opt.Lease.PlansInOutage() {
				p.addRecords(nil, term)
			}
			if timeout = min(2*timeout, maxRecordLoadTimeout); p.recorder.storeFailing() {
				timeout = recordCallTimeout // The call may never be answered.
			}
			sleep(ctx, retry.next())
			continue
		}
		p.addRecords(records, term)
		p.opt.Log.WithFields(logrus.Fields{"term": term, "fabric_domains": len(records)}).Info("the plan of groups is restored from its record")
		return
	}
}

func (p *Planner) addRecords(records map[string]placement.Record, term int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.term != term {
		return
	}
	p.plan.Restore(records, p.opt.Clock.Now())
	p.recordRead = true
}

// recordPlan writes what has changed in the plan to the store.
func (p *Planner) recordPlan(ctx context.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.recorder != nil && p.plan != nil && p.recordRead {
		p.recorder.keep(ctx, p.plan.TakeRecords())
	}
}

// logEvents logs the decisions of the plan. The caller holds the lock.
func (p *Planner) logEvents(now clock.Time) {
	for _, e := range p.plan.TakeEvents() {
		entry := p.opt.Log.WithFields(logrus.Fields{"term": p.term, "group": e.Group, "epoch": e.Epoch, "cause": e.Cause})
		if e.Head != "" || e.Unknown > 0 {
			entry = entry.WithFields(logrus.Fields{"head": e.Head, "head_listed": e.HeadListed, "unknown_members": e.Unknown, "running": e.Activity.Running})
		}
		if e.Activity.LastEvent != 0 {
			entry = entry.WithField("event_age_ms", now.Sub(e.Activity.LastEvent).Milliseconds())
		}
		entry.Info(e.Message)
	}
}

// headActivity returns what is known of the requests at a head.
func (p *Planner) headActivity(head *fleet.Replica) placement.Activity {
	return p.activity(p.opt.Table.Activity(balance.KeyOf(head)))
}

// groupActivity returns what is known of the requests at the head of an epoch of a group, whichever replica that is.
func (p *Planner) groupActivity(name string, epoch int64) placement.Activity {
	return p.activity(p.opt.Table.GroupActivity(name, epoch))
}

func (p *Planner) activity(a balance.Activity) placement.Activity {
	return placement.Activity{Running: a.Running, Begun: a.Begun, LastEvent: a.LastEvent, Unknown: p.opt.Alone()}
}

// summarize logs a summary of the plan at most once per summaryInterval, and drops the order locks and counts of replicas that are gone. The
// caller holds the lock.
func (p *Planner) summarize(view *fleet.View, replicas map[string]*fleet.Replica, now clock.Time) {
	if now.Sub(p.lastSummary) < summaryInterval {
		return
	}
	p.lastSummary = now
	for id, lock := range p.orderLocks {
		// A mutex that is locked belongs to an order that is being sent.
		if replicas[id] == nil && lock.TryLock() {
			delete(p.orderLocks, id)
			lock.Unlock()
		}
	}
	p.counts.prune(replicas)
	sum := p.plan.Summarize(replicas)
	p.opt.Log.WithFields(logrus.Fields{"open": sum.Open, "forming": sum.Forming, "spares": sum.Spares, "loading": sum.Loading,
		"idle": sum.Idle, "replicas": len(replicas), "failure_domains_out": view.Evacuated}).Info("groups")
}

// modelShares returns the share of the replicas that each model should have. The shares add up to 1.
func (p *Planner) modelShares(engine *fleet.Engine) map[string]float64 {
	shares, total := map[string]float64{}, 0.0
	for _, m := range engine.Models {
		shares[m.Name] = max(m.Share, 0.01)
		total += shares[m.Name]
	}
	for name := range shares {
		shares[name] /= total
	}
	return shares
}

// formerMemberPrefix begins the names in nextProbe of members of groups that were given up.
const formerMemberPrefix = "former-member/"

// probeTask is a member to probe of a group that seems to have stopped, with the head of the group.
type probeTask struct {
	group         string
	head, replica *fleet.Replica
}

// dueProbes returns the members of groups that seem to have stopped and weren't probed recently. The caller holds the lock.
func (p *Planner) dueProbes(replicas map[string]*fleet.Replica, now clock.Time) []probeTask {
	var tasks []probeTask
	silent := p.opt.Table.SilentTargets(probeAfterSilence)
	for name, members := range p.plan.Groups() {
		if now < p.nextProbe[name] || len(tasks) >= maxProbesPerTick {
			continue
		}
		head := replicas[members[0].Incarnation.ID]
		if !p.plan.AwaitsAnswers(name) && !p.needsProbe(head, members, replicas, silent) {
			continue
		}
		p.nextProbe[name] = now.Add(probeInterval)
		for _, m := range members {
			if m.LastEntry != nil {
				tasks = append(tasks, probeTask{name, head, m.LastEntry})
			}
		}
	}
	for _, former := range p.plan.FormerMembers(replicas) {
		if name := formerMemberPrefix + former.Replica.ID; now >= p.nextProbe[name] && len(tasks) < maxProbesPerTick {
			p.nextProbe[name] = now.Add(probeInterval)
			tasks = append(tasks, probeTask{name, former.Head, former.Replica})
		}
	}
	return tasks
}

// needsProbe tells whether the members of a group should be probed: a member isn't listed, or the group is broken, silent,
// suspected by a node or slow.
func (p *Planner) needsProbe(head *fleet.Replica, members []placement.Member, replicas map[string]*fleet.Replica, silent map[balance.Key]bool) bool {
	for _, m := range members {
		if replicas[m.Incarnation.ID] == nil {
			return true
		}
	}
	if head == nil || head.Group == nil {
		return false
	}
	key := balance.KeyOf(head)
	return head.Group.State == fleet.GroupBroken || head.Head() && (silent[key] || p.silentAtAllNodes(key) || p.opt.Table.Suspected(key) || p.opt.Table.IsSlow(key))
}

// silentAtAllNodes reports whether no node has lately received an event from a head to which one of them has a request that has begun.
func (p *Planner) silentAtAllNodes(head balance.Key) bool {
	a := p.opt.Table.Activity(head)
	return a.Begun > 0 && a.LastEvent != 0 && p.opt.Clock.Now().Sub(a.LastEvent) > probeAfterSilence+p.opt.LoadAge()
}

// probe requests a replica's report and records whether it answers. A group with a member that doesn't answer has stopped.
func (p *Planner) probe(ctx context.Context, task probeTask) {
	head, replica, started := task.head, task.replica, time.Now()
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	report, err := p.requestReport(ctx, replica)
	p.mu.Lock()
	defer p.mu.Unlock()
	log := p.opt.Log.WithFields(logrus.Fields{"replica": replica.ID, "group": replica.Group})
	if err == nil {
		now := p.opt.Clock.Now()
		delete(p.unconfirmed, replica.Incarnation())
		p.plan.RecordProbeAnswer(replica.Incarnation(), now)
		p.plan.RecordSlowdown(replica.Incarnation(), report.Slowdown, now)
		log.WithFields(logrus.Fields{"pace": report.Slowdown, "through": report.Through}).Info("a probed group member answers")
		return
	}
	if overrun := time.Since(started) - probeTimeout; overrun > probeTimeoutTolerance {
		log.WithField("late_ms", overrun.Milliseconds()).Info("a failed probe is ignored, since this node is slow")
		return
	}
	now := p.opt.Clock.Now()
	p.nextProbe[task.group] = min(p.nextProbe[task.group], now.Add(failedProbeInterval))
	pathsLost := p.opt.Replicas.PathsLost()
	log = log.WithError(err).WithFields(logrus.Fields{"confirmed": confirmed(err), "paths_lost": pathsLost})
	if !p.unconfirmed.provesFailure(replica.Incarnation(), err, pathsLost, now) {
		log.Info("a failed probe is ignored, since no other node has tried to reach the group member")
		return
	}
	switch {
	case errors.Is(err, errRestarted):
		p.plan.RecordEnd(replica.Incarnation(), now)
	case errors.Is(err, syscall.ECONNREFUSED):
		p.plan.RecordRefusal(replica.Incarnation(), now)
	default:
		p.plan.RecordProbeFailure(replica.Incarnation(), now)
	}
	if head != nil && head.Group != nil {
		p.opt.Table.Suspect(balance.KeyOf(head))
	}
	log.Warning("a probed group member doesn't answer")
}

// requestReport requests a replica's report, and a second time if there is no answer after secondProbeDelay. If both fail, the error is that
// of the second, unless only the first tells of the replica.
func (p *Planner) requestReport(ctx context.Context, replica *fleet.Replica) (*platform.Report, error) {
	type answer struct {
		report *platform.Report
		err    error
	}
	answers := make(chan answer, 2)
	request := func() {
		report, err := p.opt.Replicas.Report(ctx, replica.Incarnation(), replica.Address)
		if err == nil && report.StartedUnixMs != 0 && report.StartedUnixMs != replica.StartedUnixMs {
			err = eris.Wrapf(errRestarted, "replica %s was started at %d, not at %d", replica.ID, report.StartedUnixMs, replica.StartedUnixMs)
		}
		answers <- answer{report, err}
	}
	go request()
	second := time.AfterFunc(secondProbeDelay, request)
	first := <-answers
	if first.err == nil || second.Stop() {
		return first.report, first.err
	}
	if last := <-answers; confirmed(last.err) || !confirmed(first.err) {
		return last.report, last.err
	}
	return nil, first.err
}

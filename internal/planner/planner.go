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
	tick = 50 * time.Millisecond
	// orderCall and probeCall bound one order and one report. Both take some milliseconds at a sound replica.
	orderCall = 400 * time.Millisecond
	probeCall = 250 * time.Millisecond
	// probesPerTick bounds the probes that begin in one tick: after an outage all groups are looked at, and a node with a fifth of a
	// core took its own delay for the death of many heads.
	probesPerTick = 8
	// probeLate is how much later than probeCall a failure may be noted before it says more about this node than about the replica.
	probeLate = 50 * time.Millisecond
	// probeFailed replaces probeAgain where a member has not answered.
	probeFailed = 300 * time.Millisecond
	// probeTwin is the delay after which a report is asked for a second time, as an opening packet may be lost.
	probeTwin = 60 * time.Millisecond
	// probeSilence is the silence of a head after which the members of its group are probed: some gaps between events.
	probeSilence = 250 * time.Millisecond
	// deadSilence is the time without an event at any node after which a head that doesn't answer the planner is taken for dead.
	deadSilence = time.Second
	// probeAgain is the time between two probes of the members of a group that seems to stand still.
	probeAgain = 700 * time.Millisecond
	// summaryEvery is the time between two log lines that sum up the groups.
	summaryEvery = 2 * time.Second
	// settle is the time that a new planner listens before its first plan, so that the orders of its predecessor show.
	settle = 400 * time.Millisecond
)

// Options configures a Planner.
type Options struct {
	Lease      *Lease
	Registry   *fleet.Registry
	Table      *balance.Table
	Replicas   *platform.Replicas
	Clock      clock.Clock
	Log        logrus.FieldLogger
	LoadWindow time.Duration
	StallAfter time.Duration
	// Lapse is the time after which the entry of a replica that can't reach the store is removed.
	Lapse time.Duration
	// Candidate tells whether this node should try to become the planner now.
	Candidate func() bool
	// Witness returns what is known of the store's answers, and StoreAway whether it doesn't answer this node.
	Witness   func() Witness
	StoreAway func() bool
	// Fresh tells whether no client has sent a request yet since the first start of the system.
	Fresh func() bool
}

// Planner plans the groups of the engine service while this node holds the lease.
type Planner struct {
	opt Options

	mu   sync.Mutex // Guards all below; no call is made under it but to plan.
	plan *placement.Plan
	term int64 // Of the plan.
	// confirmed holds the replicas that were asked directly since their entries became doubtful.
	confirmed map[fleet.Life]bool
	asked     map[fleet.Life]clock.Time // When a replica was last asked for its report in place of its entry.
	since     clock.Time
	probed    map[string]clock.Time // When a group may be probed again.
	sending   map[string]*sync.Mutex
	held      bool
	told      clock.Time // Last summary in the log.
}

// New returns a Planner.
func New(opt Options) *Planner {
	return &Planner{opt: opt, probed: map[string]clock.Time{}, asked: map[fleet.Life]clock.Time{}, confirmed: map[fleet.Life]bool{}, sending: map[string]*sync.Mutex{}}
}

// Holds tells whether this node plans, as of the last tick.
func (p *Planner) Holds() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.held
}

// Run plans until the context is done.
func (p *Planner) Run(ctx context.Context) {
	go p.keepLease(ctx)
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			p.setHeld(false)
			return
		case <-ticker.C:
		}
		valid := p.opt.Lease.Valid()
		p.setHeld(valid)
		if valid {
			p.step(ctx)
		}
	}
}

// keepLease tends the lease until the context is done. Its calls to the store must not hold up plans.
func (p *Planner) keepLease(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			p.opt.Lease.Resign("it stops")
			return
		case <-ticker.C:
		}
		if p.opt.Lease.Tend(ctx, p.opt.Candidate(), p.opt.Witness()) {
			p.begin()
		}
	}
}

func (p *Planner) setHeld(valid bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.held != valid {
		p.opt.Log.WithField("plans", valid).Info("the right to plan groups has changed")
	}
	p.held = valid
}

// begin forgets what an earlier term of this node knew.
func (p *Planner) begin() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.term = p.opt.Lease.Term()
	p.plan = placement.New(p.term)
	p.since = p.opt.Clock.Now()
	clear(p.probed)
	clear(p.asked)
	clear(p.confirmed)
}

// step makes one plan and sends its orders.
func (p *Planner) step(ctx context.Context) {
	orders, probes, ask := p.decide()
	p.observeAll(ctx, ask)
	for _, o := range orders {
		go p.send(ctx, o)
	}
	for _, m := range probes {
		go p.probe(ctx, m)
	}
}

// decide returns the orders to send, the members to probe and the replicas to ask for their state.
func (p *Planner) decide() (orders []placement.Order, probes []probe, ask []*fleet.Replica) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// The view is read under the lock: it has to show what the replicas in confirmed have said.
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
	now, fresh := p.opt.Clock.Now(), p.opt.Fresh()
	complete := fresh || p.opt.Registry.Complete()
	unsure := !fresh && (!complete || now.Sub(p.since) < p.opt.Lapse+settle)
	if !unsure {
		clear(p.asked)
		clear(p.confirmed)
	}
	ask = p.unread(replicas, unsure, now)
	if !fresh && now.Sub(p.since) < settle {
		return nil, nil, ask
	}
	orders = p.plan.Step(placement.Input{Now: now, Engine: service.Engine, Replicas: replicas,
		Need: p.need(service.Engine), Fresh: fresh, LoadWindow: p.opt.LoadWindow, StallAfter: p.opt.StallAfter,
		Lapsed: view.Lapsed, Incomplete: !complete, Unsure: unsure, Confirmed: p.confirmed,
		Silent: func(r *fleet.Replica) bool { return p.opt.Table.HeardAge(balance.KeyOf(r)) > deadSilence }})
	probes = p.suspects(replicas, now)
	p.summarize(view, replicas, now)
	return orders, probes, ask
}

// summarize logs what the plan holds, once in a while. The lock is held.
func (p *Planner) summarize(view *fleet.View, replicas map[string]*fleet.Replica, now clock.Time) {
	if now.Sub(p.told) < summaryEvery {
		return
	}
	p.told = now
	for id, q := range p.sending {
		// A lock that is held belongs to an order on its way.
		if replicas[id] == nil && q.TryLock() {
			delete(p.sending, id)
			q.Unlock()
		}
	}
	sum := p.plan.Summarize(replicas)
	p.opt.Log.WithFields(logrus.Fields{"open": sum.Open, "forming": sum.Forming, "spares": sum.Spares, "loading": sum.Loading,
		"idle": sum.Idle, "replicas": len(replicas), "failure_domains_out": view.Evacuated}).Info("groups")
}

// need returns the part of the replicas that each model should have.
func (p *Planner) need(e *fleet.Engine) map[string]float64 {
	need, total := map[string]float64{}, 0.0
	for _, m := range e.Models {
		need[m.Name] = max(m.Share, 0.01)
		total += need[m.Name]
	}
	for name := range need {
		need[name] /= total
	}
	return need
}

// probe is a member of a group that seems to stand still, with the head of the group.
type probe struct {
	group         string
	head, replica *fleet.Replica
}

// suspects returns the members of groups that seem to stand still and weren't probed lately. The lock is held.
func (p *Planner) suspects(replicas map[string]*fleet.Replica, now clock.Time) []probe {
	var list []probe
	quiet := p.opt.Table.Quiet(probeSilence)
	for name, members := range p.plan.Groups() {
		if now < p.probed[name] || len(list) >= probesPerTick {
			continue
		}
		head := replicas[members[0].Life.ID]
		if !p.suspect(head, members, replicas, quiet) {
			continue
		}
		p.probed[name] = now.Add(probeAgain)
		for _, m := range members {
			if m.Last != nil {
				list = append(list, probe{name, head, m.Last})
			}
		}
	}
	return list
}

// suspect tells whether the members of a group should be probed: it is broken or silent, or a member isn't listed.
func (p *Planner) suspect(head *fleet.Replica, members []placement.Member, replicas map[string]*fleet.Replica, quiet map[balance.Key]bool) bool {
	for _, m := range members {
		if replicas[m.Life.ID] == nil {
			return true
		}
	}
	if head == nil || head.Group == nil {
		return false
	}
	key := balance.KeyOf(head)
	return head.Group.State == fleet.GroupBroken || head.Head() && (quiet[key] || p.opt.Table.Suspected(key) || p.opt.Table.Slow(key))
}

// probe asks a replica for its report and notes whether it answers. A group with a member that doesn't answer stands still.
func (p *Planner) probe(ctx context.Context, m probe) {
	head, r, started := m.head, m.replica, time.Now()
	ctx, cancel := context.WithTimeout(ctx, probeCall)
	defer cancel()
	answers := make(chan error, 2)
	var pace atomic.Value
	ask := func() {
		report, err := p.opt.Replicas.Report(ctx, r.ID, r.Address)
		if err == nil {
			pace.Store(report.Pace)
		}
		if err == nil && report.Born != 0 && report.Born != r.Born {
			err = eris.Errorf("replica %s was born at %d, not at %d", r.ID, report.Born, r.Born)
		}
		answers <- err
	}
	go ask()
	twin := time.AfterFunc(probeTwin, ask)
	err := <-answers
	if err != nil && !twin.Stop() {
		err = <-answers
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	log := p.opt.Log.WithFields(logrus.Fields{"replica": r.ID, "group": r.Group})
	if err == nil {
		now, value := p.opt.Clock.Now(), pace.Load().(float64)
		p.plan.Lives(r.Life(), now)
		p.plan.Pace(r.Life(), value, now)
		log.WithField("pace", value).Info("a member of a silent or slow group answers")
		return
	}
	if late := time.Since(started) - probeCall; late > probeLate {
		log.WithField("late_ms", late.Milliseconds()).Info("a probe says nothing, since this node is slow")
		return
	}
	now := p.opt.Clock.Now()
	p.plan.Dead(r.Life(), now)
	p.probed[m.group] = min(p.probed[m.group], now.Add(probeFailed))
	if head != nil && head.Group != nil {
		p.opt.Table.Suspect(balance.KeyOf(head))
	}
	log.WithError(err).Warning("a member of a silent group doesn't answer")
}

// queue returns the lock that keeps orders to one replica in sequence.
func (p *Planner) queue(id string) *sync.Mutex {
	p.mu.Lock()
	defer p.mu.Unlock()
	q := p.sending[id]
	if q == nil {
		q = &sync.Mutex{}
		p.sending[id] = q
	}
	return q
}

var operations = map[placement.Action]platform.Operation{placement.Join: platform.OpJoin, placement.Open: platform.OpOpen,
	placement.CloseGroup: platform.OpClose, placement.Leave: platform.OpLeave, placement.Stage: platform.OpStage}

// send sends one order, if this node still plans when its turn comes.
func (p *Planner) send(ctx context.Context, o placement.Order) {
	q := p.queue(o.To.ID)
	q.Lock()
	defer q.Unlock()
	if !p.Holds() {
		return
	}
	wire := platform.Order{Operation: operations[o.Action], Group: o.Group, Epoch: o.Epoch}
	switch o.Action {
	case placement.Join:
		wire.Model, wire.Members = o.Model, o.Members
	case placement.CloseGroup:
		wire.Close = platform.CloseFinish
	case placement.Stage:
		wire = platform.Order{Operation: platform.OpStage, Model: o.Model}
	}
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, orderCall)
	defer cancel()
	reply, err := p.opt.Replicas.Order(ctx, o.To.ID, o.To.Address, wire)
	entry := p.opt.Log.WithFields(logrus.Fields{"order": o.Action.String(), "replica": o.To.ID, "group": o.Group, "epoch": o.Epoch,
		"model": o.Model, "members": o.Members, "reply": int(reply), "took_ms": time.Since(started).Milliseconds()})
	if err != nil {
		entry = entry.WithError(err)
	}
	entry.Info("order: " + o.Reason)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.plan.Answered(o, outcome(reply, err))
}

// outcome translates the answer to an order.
func outcome(reply platform.Reply, err error) placement.Outcome {
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return placement.NoOne
	case err != nil:
		return placement.Unknown
	case reply == platform.ReplyBegun || reply == platform.ReplyDone:
		return placement.Accepted
	case reply == platform.ReplyOutdated:
		return placement.Outdated
	}
	return placement.Refused
}

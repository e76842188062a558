package planner

import (
	"context"
	"errors"
	"maps"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"cassiadeal.example/cassiadeal/internal/fleet"
	"cassiadeal.example/cassiadeal/internal/placement"
	"cassiadeal.example/cassiadeal/platform"
)

// An order without an answer may be carried out seconds later, after newer ones. Each order except to leave therefore states the number
// of orders that the replica has begun, so that the replica refuses it once it has begun another. Orders to leave name the one epoch of a
// group that they end, and must be carried out whatever came before.

const (
	// orderTimeout bounds one order. It takes some milliseconds at a healthy replica.
	orderTimeout = 400 * time.Millisecond
	// maxOrdersInFlight bounds the orders that are sent at the same time. With 3,000 at once, the time of this node's core that they need is
	// several times orderTimeout, so that most would count as not answered and be sent again.
	maxOrdersInFlight = 256
)

var (
	// errReplicaMoved means that a replica isn't in the group any more in which it was when the order to it was planned.
	errReplicaMoved = eris.New("the replica serves or is in another group than when the order was planned")
	errNotPlanner   = eris.New("this node is no longer the planner")
)

var operations = map[placement.Action]platform.Operation{placement.Join: platform.OpJoin, placement.Open: platform.OpOpen,
	placement.CloseGroup: platform.OpClose, placement.Leave: platform.OpLeave, placement.Stage: platform.OpStage}

// orderCounts holds the number of orders that each replica is known to have begun. It is not safe for concurrent use.
type orderCounts struct {
	begun map[fleet.Incarnation]int64
	// uncertain holds the replicas that have to be asked, since an order wasn't answered or was refused.
	uncertain map[fleet.Incarnation]bool
}

func newOrderCounts() orderCounts {
	return orderCounts{map[fleet.Incarnation]int64{}, map[fleet.Incarnation]bool{}}
}

// count returns the number of orders that a replica has begun, if it is known. One without a group or weights counts as new: if it isn't,
// it refuses the order.
func (c orderCounts) count(r *fleet.Replica) (n int64, known bool) {
	n, known = c.begun[r.Incarnation()]
	return n, known || !c.uncertain[r.Incarnation()] && r.Group == nil && len(r.Models) == 0 && len(r.Staged) == 0
}

// reported records the number that a replica has reported.
func (c orderCounts) reported(r fleet.Incarnation, n int64) {
	c.begun[r] = n
	delete(c.uncertain, r)
}

// answered records the reply to an order.
func (c orderCounts) answered(o placement.Order, reply platform.Reply) {
	to := o.To.Incarnation()
	n, known := c.count(o.To)
	switch {
	case reply == platform.ReplyAccepted && o.Action != placement.Stage, reply == platform.ReplyDone && o.Action == placement.Leave && o.InGroup():
		if known {
			c.begun[to] = n + 1
		}
	case reply == platform.ReplyDone || reply == platform.ReplyOutdated || o.Action == placement.Leave && reply == platform.ReplyConflict:
		// The replica has begun nothing.
	default: // An order to stage weights that are being staged is accepted, but doesn't count.
		delete(c.begun, to)
		c.uncertain[to] = true
	}
}

// prune drops what is known of replicas that aren't listed.
func (c orderCounts) prune(listed map[string]*fleet.Replica) {
	gone := func(r fleet.Incarnation) bool { return listed[r.ID] == nil || listed[r.ID].Incarnation() != r }
	maps.DeleteFunc(c.begun, func(r fleet.Incarnation, _ int64) bool { return gone(r) })
	maps.DeleteFunc(c.uncertain, func(r fleet.Incarnation, _ bool) bool { return gone(r) })
}

// orderLock returns the lock that ensures that orders to a replica are sent one at a time.
func (p *Planner) orderLock(id string) *sync.Mutex {
	p.mu.Lock()
	defer p.mu.Unlock()
	lock := p.orderLocks[id]
	if lock == nil {
		lock = &sync.Mutex{}
		p.orderLocks[id] = lock
	}
	return lock
}

// send sends one order once its epoch is recorded, unless this node is no longer the planner when the earlier orders to the
// replica have ended, or the replica has moved to another group meanwhile.
func (p *Planner) send(ctx context.Context, o placement.Order) {
	if o.Action == placement.Join {
		if !p.beginJoin(o) {
			p.recordOutcome(o, placement.NotSent)
			return
		}
		defer p.endJoin(o)
	}
	if p.recorder != nil {
		if err := p.recorder.await(ctx, o); err != nil {
			p.opt.Log.WithError(err).WithFields(logrus.Fields{"replica": o.To.ID, "group": o.Group, "epoch": o.Epoch}).Info("an order to join is dropped")
			p.recordOutcome(o, placement.NotSent)
			return
		}
	}
	lock := p.orderLock(o.To.ID)
	lock.Lock()
	defer lock.Unlock()
	select {
	case <-ctx.Done():
		return
	case p.inFlight <- struct{}{}:
	}
	defer func() { <-p.inFlight }()
	if !p.mayOrder() || !p.stillWants(o) {
		return
	}
	message := platform.Order{Operation: operations[o.Action], Group: o.Group, Epoch: o.Epoch}
	switch o.Action {
	case placement.Join:
		message.Model, message.Members = o.Model, o.Members
	case placement.CloseGroup:
		message.Close = platform.CloseFinish
	case placement.Stage:
		message = platform.Order{Operation: platform.OpStage, Model: o.Model}
	}
	outcome, asked, err := p.sendCounted(ctx, o, message)
	if outcome == placement.Refused && !asked && o.Action != placement.Stage && o.Action != placement.Leave {
		// The replica may only have begun an order that this node doesn't know of. One to stage is refused during any other order.
		outcome, _, err = p.sendCounted(ctx, o, message)
	}
	if errors.Is(err, errReplicaMoved) || errors.Is(err, errNotPlanner) {
		return // The plan orders anew once the replica's entry shows its group.
	}
	p.recordOutcome(o, outcome)
}

// beginJoin reports whether no order to join the same epoch waits or is being sent to the replica. With thousands of orders an order may wait for
// longer than the time after which the plan repeats it; the repetition would count as an attempt that wasn't answered.
func (p *Planner) beginJoin(o placement.Order) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := waitingOrder{o.To.Incarnation(), o.Epoch}
	if p.joins[key] {
		return false
	}
	p.joins[key] = true
	return true
}

func (p *Planner) endJoin(o placement.Order) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.joins, waitingOrder{o.To.Incarnation(), o.Epoch})
}

func (p *Planner) recordOutcome(o placement.Order, outcome placement.Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.plan.RecordOutcome(o, outcome)
}

// mayOrder reports whether this node is the planner now, which may have changed since the last tick.
func (p *Planner) mayOrder() bool { return p.opt.Lease.Valid() }

// stillWants reports whether an order should still be sent, and logs it if not.
func (p *Planner) stillWants(o placement.Order) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	wanted := p.plan.StillWants(o)
	if !wanted {
		p.opt.Log.WithFields(logrus.Fields{"order": o.Action.String(), "replica": o.To.ID, "group": o.Group, "epoch": o.Epoch}).
			Info("an order is dropped: its reason has ended while it waited")
	}
	return wanted
}

// sendCounted sends an order, which states the number of orders that the replica has begun unless it is an order to leave. It reports
// whether the replica was asked for that number.
func (p *Planner) sendCounted(ctx context.Context, o placement.Order, message platform.Order) (outcome placement.Outcome, asked bool, err error) {
	started := time.Now()
	var reply platform.Reply
	if o.Action != placement.Leave {
		message.ExpectedCount, asked, err = p.expectedCount(ctx, o)
	}
	if err == nil {
		orderCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		reply, err = p.opt.Replicas.Order(orderCtx, o.To.Incarnation(), o.To.Address, message)
	}
	logEntry := p.opt.Log.WithFields(logrus.Fields{"order": o.Action.String(), "replica": o.To.ID, "group": o.Group, "epoch": o.Epoch,
		"model": o.Model, "members": o.Members, "reply": int(reply), "took_ms": time.Since(started).Milliseconds(), "running": o.Activity.Running})
	if o.Activity.LastEvent != 0 {
		logEntry = logEntry.WithField("event_age_ms", p.opt.Clock.Now().Sub(o.Activity.LastEvent).Milliseconds())
	}
	if message.ExpectedCount != nil {
		logEntry = logEntry.WithField("expected_count", *message.ExpectedCount)
	}
	if err != nil {
		logEntry = logEntry.WithError(err).WithField("confirmed", confirmed(err))
	}
	logEntry.Info("order: " + o.Reason)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.answered(o, reply)
	return orderOutcome(reply, err), asked, err
}

// expectedCount returns the number of orders that a replica has begun before the given one. Where it isn't known, the replica is asked,
// and the error is errReplicaMoved if it has moved to another group since the order was planned.
func (p *Planner) expectedCount(ctx context.Context, o placement.Order) (n *int64, asked bool, err error) {
	p.mu.Lock()
	known, ok := p.counts.count(o.To)
	p.mu.Unlock()
	if ok {
		return &known, false, nil
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	report, err := p.opt.Replicas.Report(ctx, o.To.Incarnation(), o.To.Address)
	if err != nil {
		return nil, true, err
	}
	if report.StartedUnixMs != o.To.StartedUnixMs || o.Action == placement.Join && o.HasMoved(report.Group) {
		return nil, true, errReplicaMoved
	}
	if !p.mayOrder() {
		return nil, true, errNotPlanner
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.reported(o.To.Incarnation(), report.OrderCount)
	return &report.OrderCount, true, nil
}

// orderOutcome translates the reply to an order.
func orderOutcome(reply platform.Reply, err error) placement.Outcome {
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return placement.ConnectionRefused
	case err != nil:
		return placement.Unknown
	case reply == platform.ReplyAccepted || reply == platform.ReplyDone:
		return placement.Accepted
	case reply == platform.ReplyOutdated:
		return placement.Outdated
	}
	return placement.Refused
}

package planner

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/internal/demand"
	"cassiadeal.example/cassiadeal/internal/fleet"
	"cassiadeal.example/cassiadeal/internal/placement"
)

// demandInterval is the time between two sums of the reports of all nodes.
const demandInterval = 250 * time.Millisecond

// FollowOptions lets the replicas of a service with two models follow the demand for them.
type FollowOptions struct {
	Demand *demand.Table
	// NodesAlive returns the number of other nodes that are alive.
	NodesAlive func() int
	Meter      metric.Meter
}

// followDemand decides which model replicas should change to. The planner's lock is held during its methods.
type followDemand struct {
	opt      FollowOptions
	log      logrus.FieldLogger
	follower *demand.Follower
	term     int64 // Term in which the follower last decided; 0 if it hasn't.
	total    map[demand.Class]demand.Work
	totalAt  clock.Time
	blocked  string // Last reason why nothing was moved.

	demandGauge, needGauge, moves, blockedMoves instrument
}

// instrument records values by attributes.
type instrument struct {
	gauge   metric.Float64Gauge
	counter metric.Int64Counter
}

func (i instrument) set(v float64, attributes ...attribute.KeyValue) {
	i.gauge.Record(context.Background(), v, metric.WithAttributes(attributes...))
}

func (i instrument) add(attributes ...attribute.KeyValue) {
	i.counter.Add(context.Background(), 1, metric.WithAttributes(attributes...))
}

func newFollowDemand(opt FollowOptions, log logrus.FieldLogger) (*followDemand, error) {
	f := &followDemand{opt: opt, log: log, follower: demand.NewFollower()}
	var err error
	if f.demandGauge.gauge, err = opt.Meter.Float64Gauge("cassiadeal_model_demand", metric.WithDescription("Demand of all nodes in groups that it keeps busy, by model.")); err != nil {
		return nil, eris.Wrap(err, "create the gauge of demand")
	}
	if f.needGauge.gauge, err = opt.Meter.Float64Gauge("cassiadeal_model_need", metric.WithDescription("Groups that each model should have, at the node that plans.")); err != nil {
		return nil, eris.Wrap(err, "create the gauge of need")
	}
	if f.moves.counter, err = opt.Meter.Int64Counter("cassiadeal_model_moves", metric.WithDescription("Moves of replicas between models, by target model and outcome.")); err != nil {
		return nil, eris.Wrap(err, "create the counter of moves")
	}
	f.blockedMoves.counter, err = opt.Meter.Int64Counter("cassiadeal_model_moves_not_made", metric.WithDescription("Times that replicas should have changed the model and didn't, by reason."))
	return f, eris.Wrap(err, "create the counter of moves that weren't made")
}

// observe updates the usual demand, also on nodes that don't plan: any of them may be the next one to do so.
func (f *followDemand) observe(now clock.Time, e *fleet.Engine) map[demand.Class]demand.Work {
	if f.total == nil || now.Sub(f.totalAt) >= demandInterval {
		f.total, f.totalAt = f.opt.Demand.Total(), now
		f.follower.Observe(now, e, f.total)
	}
	return f.total
}

// need returns the number of groups that each model should have, or nil if they are to stay.
func (f *followDemand) need(now clock.Time, term int64, e *fleet.Engine, plan *placement.Plan, trusted bool) map[string]int {
	total := f.observe(now, e)
	if term != f.term {
		f.resume(now, term, plan.Moved())
	}
	// This node counts in addition to the ones that are alive.
	trusted = trusted && 2*(f.opt.Demand.Reporting()+1) > f.opt.NodesAlive()+1
	groups := plan.Division()
	wanted, change := f.follower.Need(demand.State{Now: now, Engine: e, Total: total, Groups: groups, Trusted: trusted})
	if change != nil {
		f.log.WithFields(logrus.Fields{"from": change.From, "to": change.To, "units": change.Units, "use": change.Use, "usual_use": change.Usual,
			"groups": groups, "need": wanted}).Info("the need for models has changed: " + change.String())
	}
	f.report(e, total, groups, wanted)
	return wanted
}

// resume makes the follower continue from what earlier planners have moved.
func (f *followDemand) resume(now clock.Time, term int64, moved map[string]int) {
	f.term = term
	from, to := "", ""
	for model, n := range moved {
		if n > 0 {
			to = model
		} else if n < 0 {
			from = model
		}
	}
	if to != "" {
		f.follower.Resume(now, from, to)
		f.log.WithField("moved", moved).Info("the planner continues with the replicas that have moved between models")
	}
}

// report sets the gauges of demand and need.
func (f *followDemand) report(e *fleet.Engine, total map[demand.Class]demand.Work, groups, wanted map[string]int) {
	byModel := map[string]demand.Work{}
	for class, w := range total {
		byModel[class.Model] = byModel[class.Model].Add(w)
	}
	if wanted == nil {
		wanted = groups
	}
	for i := range e.Models {
		m := &e.Models[i]
		model := attribute.String("model", m.Name)
		f.demandGauge.set(demand.GroupLoad(e, m, byModel[m.Name]), model)
		f.needGauge.set(float64(wanted[m.Name]), model)
	}
}

// logMoves logs and counts the moves of the last step, and why wanted ones weren't made.
func (f *followDemand) logMoves(plan *placement.Plan) {
	for _, e := range plan.TakeMoveEvents() {
		f.moves.add(attribute.String("to", e.To), attribute.String("outcome", e.Outcome))
		f.log.WithFields(logrus.Fields{"fabric_domain": e.Fabric, "from": e.From, "to": e.To, "groups": e.Groups, "outcome": e.Outcome,
			"took_ms": e.Took.Milliseconds()}).Info("replicas change the model")
	}
	blocked := plan.MoveBlocked()
	if blocked == "" {
		blocked = f.follower.Blocked()
	}
	if blocked != f.blocked && blocked != "" {
		f.blockedMoves.add(attribute.String("reason", blocked))
		f.log.WithField("reason", blocked).Info("replicas don't change the model although one lacks capacity, or demand isn't known")
	}
	f.blocked = blocked
}

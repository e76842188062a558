package edge

import (
	"math/rand/v2"
	"sync"
	"time"

	"cassiadeal.example/cassiadeal/internal/balance"
	"cassiadeal.example/cassiadeal/internal/precedence"
	"cassiadeal.example/cassiadeal/internal/result"
)

// class returns the class of the request. Where the priorities of the routes to the service don't differ, all requests for a model are
// of one class.
func (c *call) class() precedence.Class {
	if !c.hasUrgency {
		return precedence.Class{Model: c.model.Name}
	}
	return precedence.Class{Model: c.model.Name, Priority: c.effectivePriority}
}

// offer estimates the cost of the request and counts it towards what clients offer.
func (c *call) offer() {
	if c.model == nil {
		return
	}
	c.output = c.expectedOutput()
	c.competing.note(c.model.Name, c.route.Priority)
	work := precedence.Work{ReadTokens: float64(c.req.PromptTokens), WriteTokens: float64(c.output)}
	c.offered.Offer(c.class(), c.tenant, c.req.PromptTokens, c.output, work.Millis(c.service.Engine, c.model.TimeFactor))
}

// precede decides whether the request gives way to others that are to be served first.
func (c *call) precede(head *balance.Selection) precedence.Verdict {
	competing := c.hasUrgency && c.competing.differ(c.model.Name)
	if !competing && !c.opt.AccountShares {
		return precedence.Verdict{Reason: precedence.ReasonCalm}
	}
	r := precedence.Request{Class: c.class(), Account: c.tenant, Draw: c.draw(), Delay: head.QueueDelay, Target: c.route.LatencyTarget,
		Unloaded: c.opt.Table.UnloadedFirstEvent(c.service.Engine, c.model)}
	if c.hasUrgency {
		r.UrgentTarget, r.LongestUrgentTarget = c.urgentTargets()
	}
	if r.AtOnce() {
		return precedence.Verdict{Reason: precedence.ReasonAtOnce}
	}
	groups, delay := c.opt.Table.Pressure(c.balanceQuery(nil))
	m := precedence.Model{Engine: c.service.Engine, TimeFactor: c.model.TimeFactor, Groups: groups, MeanDelay: delay, Offered: c.offeredByAll(), OnePriority: !competing}
	if c.opt.AccountShares {
		m.Accounts = c.offered.Accounts(r.Class)
	}
	return precedence.Decide(r, m)
}

// competingRoutes knows the priorities of the routes whose requests use a model. The configuration doesn't tell which routes do.
type competingRoutes struct {
	mu      sync.Mutex
	byModel map[string]map[int]bool
}

// note records that a route of the priority uses the model.
func (r *competingRoutes) note(model string, priority int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byModel == nil {
		r.byModel = map[string]map[int]bool{}
	}
	if r.byModel[model] == nil {
		r.byModel[model] = map[int]bool{}
	}
	r.byModel[model][priority] = true
}

// differ reports whether routes of several priorities use the model.
func (r *competingRoutes) differ(model string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.byModel[model]) > 1
}

// draw returns the request's draw. Requests without an ID would all have the same one.
func (c *call) draw() float64 {
	if c.req.ID == "" {
		return rand.Float64()
	}
	return precedence.DrawOf(c.req.ID)
}

// offeredByAll returns the work that clients offer to all nodes, as far as they report it.
func (c *call) offeredByAll() precedence.Offered {
	nodes := float64(max(c.opt.Nodes(), 1))
	if c.opt.Demand == nil {
		return precedence.Offered{Work: c.offered.Local(), Scale: nodes}
	}
	work := map[precedence.Class]precedence.Work{}
	for class, w := range c.opt.Demand.Total() {
		work[precedence.Class(class)] = precedence.Work(w)
	}
	return precedence.Offered{Work: work, Scale: max(nodes/float64(c.opt.Demand.Reporting()+1), 1)}
}

// urgentTargets returns the shortest and the longest latency target of the routes to the service that are more urgent than the request.
func (c *call) urgentTargets() (shortest, longest time.Duration) {
	routes := c.view.Config.Routes
	for i := range routes {
		r := &routes[i]
		if r.Priority >= c.effectivePriority || r.LatencyTarget <= 0 || !r.LeadsTo(c.service.Name) {
			continue
		}
		longest = max(longest, r.LatencyTarget)
		if shortest == 0 || r.LatencyTarget < shortest {
			shortest = r.LatencyTarget
		}
	}
	return shortest, longest
}

// precedenceRefusal returns the refusal of a request that gives way.
func (c *call) precedenceRefusal(v precedence.Verdict, head *balance.Selection) *result.Error {
	return result.New(result.DeadlineUnreachable, "model %q lacks capacity, and the request gives way (%s, priority %d): its first event would be delayed by %v",
		c.req.Model, v.Reason, c.effectivePriority, head.QueueDelay.Round(time.Millisecond)).WithRetryAfter(v.RetryAfter)
}

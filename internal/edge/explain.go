package edge

import (
	"fmt"
	"time"

	"cassiadeal.example/cassiadeal/internal/balance"
	"cassiadeal.example/cassiadeal/internal/explain"
	"cassiadeal.example/cassiadeal/internal/fleet"
	"cassiadeal.example/cassiadeal/internal/precedence"
	"cassiadeal.example/cassiadeal/internal/result"
)

// Explain tells where the request of a client account would go now, and why. It decides as for a client's request, but sends and counts nothing.
func (s *Server) Explain(req *fleet.Request, account string) (*explain.Answer, *result.Error) {
	c := &call{Server: s, req: req, start: time.Now(), view: s.opt.Registry.View()}
	if e := c.resolveFor(account); e != nil {
		return nil, e
	}
	a := &explain.Answer{Route: c.route.Name, Service: c.service.Name, Priority: c.effectivePriority}
	if c.hasUrgency {
		a.Urgency = &c.urgency
	}
	if c.model == nil {
		a.Why = "no replica takes it now"
		if r := c.opt.Table.PickPlain(c.balanceQuery(nil)); r != nil {
			a.Target, a.Why = string(balance.KeyOf(r)), "the least load for its slots"
		}
		return a, nil
	}
	c.output = c.expectedOutput()
	a.ExpectedTokens = c.output
	c.explainHead(a)
	return a, nil
}

// resolveFor finds the route and service as resolve does, for an account that is given by its name.
func (c *call) resolveFor(account string) *result.Error {
	cfg := c.view.Config
	if cfg == nil {
		return result.New(result.PlatformUnavailable, "no configuration has been received yet")
	}
	if c.route = cfg.Match(c.req.Host, c.req.Path); c.route == nil {
		return result.New(result.NotFound, "no route for host %q and path %q in configuration version %d", c.req.Host, c.req.Path, cfg.Version)
	}
	c.effectivePriority = c.route.Priority
	if account != "" {
		found, known := cfg.Account(account)
		if !known {
			return result.New(result.UnknownAccount, "no client account %q in configuration version %d", account, cfg.Version)
		}
		c.tenant, c.effectivePriority = found.Name, fleet.EffectivePriority(c.route, found)
	}
	return c.resolveService()
}

// explainHead adds the choice among the heads of the model and the decision about requests with different IDs.
func (c *call) explainHead(a *explain.Answer) {
	for _, h := range c.opt.Table.Consider(c.balanceQuery(nil)) {
		a.Heads = append(a.Heads, explain.Head{Target: string(h.Key), Zone: h.Replica.Zone, LeftOut: h.LeftOut, CostMs: millis(h.Cost), FirstEventMs: millis(h.FirstEvent),
			QueueDelayMs: millis(h.QueueDelay), Running: h.Load.Running, Waiting: h.Load.Waiting, UnreadTokens: h.Load.UnreadTokens,
			RemainingTokens: h.Load.RemainingTokens, HeldTokens: h.Load.HeldTokens, SlowFactor: h.SlowFactor})
	}
	head := c.opt.Table.PickHead(c.balanceQuery(nil))
	if head == nil {
		a.Why, a.Refused = c.unavailable().Message, explain.Trials
		return
	}
	for i := range explain.Trials {
		c.req.ID = fmt.Sprint("explain-", i)
		verdict, refusal := c.judge(head)
		if refusal != nil {
			a.Refused++
			a.Why, a.RetryAfterMs = refusal.Message, refusal.RetryAfter.Milliseconds()
		} else if a.Target == "" {
			a.Target = string(head.Key)
			a.Why = verdictText[verdict.Reason]
		}
	}
}

// verdictText describes the verdicts by which a request goes on.
var verdictText = map[string]string{
	precedence.ReasonAtOnce: "it can be served at once",
	precedence.ReasonCalm:   "the model has the capacity for what clients offer, and the queue is short enough",
	precedence.ReasonShare:  "the model lacks capacity; the request is inside the share of its priority and account",
	precedence.ReasonFloor:  "the model lacks capacity; the request is in the part that its priority keeps",
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

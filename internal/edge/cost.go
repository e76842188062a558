package edge

import (
	"cassiadeal.example/cassiadeal/internal/balance"
	"cassiadeal.example/cassiadeal/internal/cost"
)

// costKind returns what the length of the answer is expected from.
func (c *call) costKind() cost.Kind {
	k := cost.Kind{Route: c.route.Name, Account: c.tenant, MaxOutput: c.req.MaxOutput, Hint: c.req.LengthHint}
	if len(c.req.PromptParts) > 0 {
		k.Part = c.req.PromptParts[0]
	}
	return k
}

// expectedOutput returns the number of output tokens that the answer of a model is expected to have.
func (c *call) expectedOutput() int {
	c.costs.SetPrior(int(c.service.Engine.MeanOutputTokens))
	return c.costs.Expect(c.costKind())
}

// observeOutput learns from a complete stream of a model. The client of a resumed one has got the rest of it before.
func (c *call) observeOutput(events int) {
	if c.model != nil && c.req.LastEventID == "" {
		c.costs.Observe(c.costKind(), events*c.service.Engine.Stride)
	}
}

// expectRest tells the ticket of a send which part of the answer is still to come.
func (c *call) expectRest(ticket *balance.Ticket, p *progress) {
	if c.model == nil || c.output <= 0 {
		return
	}
	written, maxOutput := p.events*c.service.Engine.Stride, c.req.MaxOutput
	if maxOutput > 0 {
		maxOutput = max(maxOutput-written, 1)
	}
	ticket.ExpectOutput(max(c.output-written, 1), maxOutput)
}

package edge

import (
	"strings"

	"cassiadeal.example/cassiadeal/internal/balance"
	"cassiadeal.example/cassiadeal/internal/cost"
	"cassiadeal.example/cassiadeal/internal/crash"
)

// costKind returns what the length of the answer is expected from.
func (c *call) costKind() cost.Kind {
	k := cost.Kind{Route: c.route.Name, Account: c.tenant, MaxOutput: c.req.MaxOutput, Hint: c.req.LengthHint}
	if len(c.req.PromptParts) > 0 {
		k.Part = shortPart(c.req.PromptParts[0])
	}
	return k
}

// maxPartIDBytes is the length up to which IDs of parts of prompts are kept as they are.
const maxPartIDBytes = 24

// shortPart returns the ID of a part in a form that may be kept: IDs are up to the size of a head, and refer to the header line that they came in.
func shortPart(id string) string {
	if len(id) <= maxPartIDBytes {
		return strings.Clone(id)
	}
	return crash.PartFingerprint(id)
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

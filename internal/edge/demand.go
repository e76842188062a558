package edge

import "cassiadeal.example/cassiadeal/internal/demand"

// offerDemand counts a request for a model as offered work, whether or not it will be served.
func (c *call) offerDemand() {
	if c.opt.Demand == nil || c.model == nil {
		return
	}
	output := int(c.service.Engine.MeanOutputTokens)
	if c.req.MaxOutput > 0 {
		output = min(output, c.req.MaxOutput)
	}
	c.opt.Demand.Offer(demand.Class{Model: c.model.Name, Priority: c.priority()}, c.req.PromptTokens, output)
}

// priority returns the priority of the client account, or that of the route if the account has none.
func (c *call) priority() int {
	if account, known := c.view.Config.Tenants[c.req.Key]; known && account.HasPriority && !c.route.Public {
		return account.Priority
	}
	return c.route.Priority
}

// arrivals returns the requests for the model at all nodes, as far as they are known.
func (c *call) arrivals() demand.Arrivals {
	if c.opt.Demand == nil || c.model == nil {
		return demand.Arrivals{}
	}
	return c.opt.Demand.Arrivals(c.model.Name)
}

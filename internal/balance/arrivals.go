package balance

import (
	"cassiadeal.example/cassiadeal/internal/clock"
)

// arrivalsLocked estimates how many requests all nodes send to the heads of the model within half of LoadAge: from what they report, or if each
// node sends as many as this one, whichever is more. A node that gets less than one request a second knows nothing of the others' by its own.
func (t *Table) arrivalsLocked(q Query, now clock.Time) float64 {
	perSecond := q.Arrivals.PerSecond
	if r := t.rates[q.Model.Name]; r != nil && q.ColdShare > 0 {
		perSecond = max(perSecond, r.perSecond(now)/q.ColdShare)
	}
	return perSecond * q.LoadAge.Seconds() / 2
}

// meanPromptTokens returns the mean prompt of the requests for the model, or that of all requests if it isn't known.
func (q *Query) meanPromptTokens() int {
	if q.Arrivals.MeanPromptTokens > 0 {
		return int(q.Arrivals.MeanPromptTokens)
	}
	return q.Service.Engine.MeanPromptTokens
}

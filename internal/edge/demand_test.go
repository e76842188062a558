package edge

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/internal/demand"
	"cassiadeal.example/cassiadeal/internal/fleet"
)

// Guards against short answers that count as mean ones, against accounts whose priority is ignored, and against requests for plain
// services that count as demand for a model.
func TestOfferedWork(t *testing.T) {
	c := quicktest.New(t)
	engine := &fleet.Engine{MeanOutputTokens: 210, Models: []fleet.Model{{Name: "large"}}}
	config := &fleet.Config{Tenants: map[string]fleet.Tenant{"k1": {Priority: 0, HasPriority: true}, "k2": {}}}
	offered := func(key string, model *fleet.Model, maxOutput int) map[demand.Class]demand.Work {
		manual := clock.NewManual(time.Hour)
		s := &Server{opt: Options{Demand: demand.New(manual)}}
		call := &call{Server: s, view: &fleet.View{Config: config}, route: &fleet.Route{Priority: 2}, service: &fleet.Service{Engine: engine}, model: model,
			req: &fleet.Request{Key: key, PromptTokens: 1500, MaxOutput: maxOutput}}
		manual.Advance(time.Second)
		call.offerDemand()
		return s.opt.Demand.Local()
	}
	large := &engine.Models[0]
	c.Check(offered("k1", large, 20), quicktest.DeepEquals, map[demand.Class]demand.Work{{Model: "large", Priority: 0}: {Requests: 1, ReadTokens: 1500, WriteTokens: 20}})
	c.Check(offered("k2", large, 900), quicktest.DeepEquals, map[demand.Class]demand.Work{{Model: "large", Priority: 2}: {Requests: 1, ReadTokens: 1500, WriteTokens: 210}})
	c.Check(offered("k2", nil, 900), quicktest.HasLen, 0)
}

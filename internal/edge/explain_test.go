package edge

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/balance"
	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/internal/demand"
	"cassiadeal.example/cassiadeal/internal/explain"
	"cassiadeal.example/cassiadeal/internal/fleet"
	"cassiadeal.example/cassiadeal/internal/result"
)

// Guards against an explanation that differs from what clients get, and against one that sends or counts anything.
func TestExplanationIsWhatClientsGet(t *testing.T) {
	c := qt.New(t)
	a := newReplica(t, false, func(*http.Request) string { return streamHead + events(1, 2) })
	h := newServer(t, fleet.RepeatStream, a).(*Server)
	h.opt.Demand = demand.New(clock.Boottime())
	view := h.opt.Registry.View()
	key := balance.KeyOf(view.Replicas["i-0"])
	cfg := *view.Config
	cfg.Version++
	cfg.Routes = []fleet.Route{cfg.Routes[0], {Name: "other", Host: "x.example", Prefix: "/b/", Priority: 1, Backends: []fleet.Backend{{Service: "s", Weight: 1}}}}
	cfg.Routes[0].LatencyTarget = 150 * time.Millisecond
	h.opt.Registry.SetConfig(&cfg)
	ask := func() *explain.Answer {
		answer, e := h.Explain(&fleet.Request{Host: "x.example", Path: "/a/1", Model: "m", PromptTokens: 100, MaxOutput: 20}, "hule")
		c.Assert(e == nil, qt.IsTrue)
		return answer
	}
	answer := ask()
	c.Check(answer.Target, qt.Equals, string(key))
	c.Check(answer.Refused, qt.Equals, 0)
	c.Check(*answer.Urgency, qt.Equals, 4)
	c.Check(answer.ExpectedTokens, qt.Equals, 10)
	c.Check(answer.Heads, qt.HasLen, 1)
	h.opt.Table.SetPeerState("n", balance.PeerState{Loads: map[balance.Key]balance.Load{key: {Running: 6, Waiting: 6, UnreadTokens: 40_000}}})
	answer = ask()
	c.Check(answer.Target, qt.Equals, "")
	c.Check(answer.Refused, qt.Equals, explain.Trials)
	c.Check(answer.RetryAfterMs > 0, qt.IsTrue)
	c.Check(a.received(), qt.HasLen, 0)
	c.Check(h.opt.Demand.Total(), qt.HasLen, 0)
	c.Check(h.offered.Local(), qt.HasLen, 0)
	c.Check(h.HasReceivedRequest(), qt.IsFalse)
	resp, _, err := sendRequest(t, h, http.MethodPost)
	c.Assert(err, qt.IsNil)
	c.Check(resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	h.opt.Table.Suspect(key)
	answer = ask()
	c.Check(answer.Target, qt.Equals, "")
	c.Check(answer.Heads[0].LeftOut, qt.Equals, "suspected of having stalled")
	_, e := h.Explain(&fleet.Request{Host: "x.example", Path: "/a/1", Model: "m"}, "nobody")
	c.Check(e.Code, qt.Equals, result.UnknownAccount)
	_, e = h.Explain(&fleet.Request{Host: "y.example", Path: "/a/1", Model: "m"}, "")
	c.Check(e.Code, qt.Equals, result.NotFound)
}

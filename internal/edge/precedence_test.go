package edge

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/balance"
	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/internal/demand"
	"cassiadeal.example/cassiadeal/internal/fleet"
)

// Load: three times the capacity of one group in the less urgent priority beside some urgent work, with 10,000 unread tokens at its head. Guards against less urgent
// requests that are sent all the same, against a refusal without Retry-After or after a send, and against precedence where it isn't called
// for: for the urgent priority, with one priority, or when the offered work is small.
func TestLessUrgentRequestGivesWay(t *testing.T) {
	much := demand.Work{Requests: 200, ReadTokens: 200_000, WriteTokens: 2000}
	for name, test := range map[string]struct {
		priority, other int
		work            demand.Work
		want            int
	}{
		"less urgent":  {2, 0, much, http.StatusServiceUnavailable},
		"urgent":       {0, 2, much, http.StatusOK},
		"one priority": {1, 1, much, http.StatusOK},
		"calm":         {2, 0, demand.Work{Requests: 1, ReadTokens: 100, WriteTokens: 10}, http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			a := newReplica(t, false, func(*http.Request) string { return streamHead + events(1, 2) })
			h := newServer(t, fleet.RepeatStream, a).(*Server)
			view := h.opt.Registry.View()
			cfg := *view.Config
			cfg.Version++
			cfg.Routes = []fleet.Route{cfg.Routes[0], {Name: "other", Host: "x.example", Prefix: "/b/", Priority: test.other, LatencyTarget: 150 * time.Millisecond,
				Backends: []fleet.Backend{{Service: "s", Weight: 1}}}}
			cfg.Routes[0].Priority, cfg.Routes[0].LatencyTarget = test.priority, 800*time.Millisecond
			h.opt.Registry.SetConfig(&cfg)
			h.opt.Demand = demand.New(clock.Boottime())
			h.opt.Demand.SetPeer("n", map[demand.Class]demand.Work{{Model: "m", Priority: 2}: test.work,
				{Model: "m", Priority: 0}: {Requests: 20, ReadTokens: 20_000, WriteTokens: 200}})
			h.opt.Table.SetPeerState("n", balance.PeerState{Loads: map[balance.Key]balance.Load{
				balance.KeyOf(view.Replicas["i-0"]): {Running: 6, Waiting: 6, UnreadTokens: 11_000}}})
			h.competing.note("m", test.other) // A request of the other route has arrived before.
			resp, _, err := sendRequest(t, h, http.MethodPost)
			c.Assert(err, qt.IsNil)
			c.Check(resp.StatusCode, qt.Equals, test.want)
			c.Check(resp.Header.Get("Retry-After") != "", qt.Equals, test.want != http.StatusOK)
			c.Check(len(a.received()) > 0, qt.Equals, test.want == http.StatusOK)
		})
	}
}

package edge

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/cost"
	"cassiadeal.example/cassiadeal/internal/fleet"
)

// Guards against lengths that aren't learned from complete streams, or are learned from the rest of a resumed one.
func TestLengthsOfStreamsAreLearned(t *testing.T) {
	c := qt.New(t)
	a := newReplica(t, false, func(*http.Request) string { return streamHead + events(1, 40) })
	h := newServer(t, fleet.RepeatStream, a).(*Server)
	k := cost.Kind{Route: "r", Account: "hule", Part: "5c"}
	send := func(headers ...string) {
		_, _, err := sendRequest(t, h, http.MethodPost, append(headers, "X-Cassiadeal-Prompt-Prefix", "5c:50", "X-Cassiadeal-Token-Usage", "100,80")...)
		c.Assert(err, qt.IsNil)
	}
	send("Last-Event-Id", "30")
	c.Check(h.costs.Expect(k), qt.Equals, 10) // The engine's mean.
	for range 20 {
		send()
	}
	c.Check(h.costs.Expect(k) > 35, qt.IsTrue, qt.Commentf("%d", h.costs.Expect(k)))
}

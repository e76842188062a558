package edge

import (
	"fmt"
	"net/http"
	"runtime"
	"strings"
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

// Guards against prompt parts of the size of a head that are kept for thousands of requests: 8192 of them have 112 MB, and the smallest machine 136.
func TestLongPromptPartsAreNotKept(t *testing.T) {
	const requests, partBytes, most = 8192, 14 << 10, 16 << 20
	costs := cost.New(100)
	heap := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := heap()
	for i := range requests {
		part := fmt.Sprint(i) + strings.Repeat("a", partBytes)
		c := &call{Server: &Server{costs: costs}, route: &fleet.Route{Name: "chat"}, tenant: "a", req: &fleet.Request{PromptParts: []string{part}}}
		costs.Observe(c.costKind(), 10)
	}
	grown := int64(heap()) - int64(before)
	qt.Check(t, grown < most, qt.IsTrue, qt.Commentf("%d MB more", grown>>20))
	qt.Check(t, costs.Expect(cost.Kind{Route: "chat", Account: "a"}) > 0, qt.IsTrue)
}

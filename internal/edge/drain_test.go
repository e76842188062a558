package edge

import (
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/fleet"
	"cassiadeal.example/cassiadeal/internal/result"
)

// Guards against a draining server that turns away requests though others of their kind ended in a fraction of the time that is
// left, that leaves their connections open, or that hands replicas more time than it has itself.
func TestDrainingServerTakesRequestsThatEndInTime(t *testing.T) {
	c := quicktest.New(t)
	for repeat, answer := range map[fleet.Repeat]string{
		fleet.RepeatNever:  httpResponse("200 OK", sealHeader, "done"),
		fleet.RepeatStream: streamHead + events(1, 3),
	} {
		r := newReplica(t, false, func(*http.Request) string { return answer })
		server := newServer(t, repeat, r)
		for range 4 {
			_, _, err := sendRequest(t, server, http.MethodPost)
			c.Assert(err, quicktest.IsNil)
		}
		const left = 1500 * time.Millisecond // Less than the time limit of the request.
		server.(*Server).Drain(time.Now().Add(left))
		resp, body, err := sendRequest(t, server, http.MethodPost)
		c.Assert(err, quicktest.IsNil)
		c.Check(resp.StatusCode, quicktest.Equals, http.StatusOK)
		c.Check(strings.HasSuffix(answer, body), quicktest.IsTrue)
		c.Check(resp.Close, quicktest.IsTrue, quicktest.Commentf("the response doesn't announce that the connection closes"))
		received := r.received()
		limit, err := strconv.Atoi(received[len(received)-1].Header.Get("X-Cassiadeal-Deadline-Ms"))
		c.Assert(err, quicktest.IsNil)
		c.Check(limit <= int(left.Milliseconds()), quicktest.IsTrue, quicktest.Commentf("the replica may work for %d ms", limit))
	}
}

// Guards against a server that takes requests in the last moments of a drain, when it can't return their answers any more.
func TestStoppedServerRefusesRequests(t *testing.T) {
	c := quicktest.New(t)
	r := newReplica(t, false, func(*http.Request) string { return httpResponse("200 OK", sealHeader, "done") })
	server := newServer(t, fleet.RepeatNever, r)
	_, _, err := sendRequest(t, server, http.MethodPost)
	c.Assert(err, quicktest.IsNil)
	server.(*Server).Drain(time.Now())
	for range 3 {
		resp, _, err := sendRequest(t, server, http.MethodPost, "X-Cassiadeal-Deadline-Ms", "1")
		c.Assert(err, quicktest.IsNil)
		c.Check(resp.StatusCode, quicktest.Equals, http.StatusServiceUnavailable)
		c.Check(resp.Close, quicktest.IsTrue)
	}
	c.Check(r.received(), quicktest.HasLen, 1)
}

// Guards against a client that is told that its own deadline has passed, though the server has ended its request.
func TestRequestThatADrainEndsHasAnUnknownOutcome(t *testing.T) {
	c := quicktest.New(t)
	var slow atomic.Bool
	r := newReplica(t, false, func(*http.Request) string {
		if slow.Load() {
			time.Sleep(2 * time.Second)
		}
		return httpResponse("200 OK", sealHeader, "done")
	})
	server := newServer(t, fleet.RepeatNever, r)
	for range 4 {
		_, _, err := sendRequest(t, server, http.MethodPost)
		c.Assert(err, quicktest.IsNil)
	}
	slow.Store(true)
	server.(*Server).Drain(time.Now().Add(time.Second))
	resp, body, err := sendRequest(t, server, http.MethodPost)
	c.Assert(err, quicktest.IsNil)
	c.Check(statesNotRun(resp.StatusCode), quicktest.IsFalse)
	c.Check(strings.Contains(body, result.OutcomeUnknown.String()), quicktest.IsTrue, quicktest.Commentf(body))
}

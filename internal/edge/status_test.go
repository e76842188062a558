package edge

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/internal/fleet"
	"cassiadeal.example/cassiadeal/internal/reach"
	"cassiadeal.example/cassiadeal/internal/recovery"
)

// invalidStatuses are what replicas in trouble send in place of a final status.
var invalidStatuses = []string{"000", "001", "099", "100", "101", "102", "103", "150", "199", "600", "601", "700", "999", "+20", "-20", "+200", "-200", " 200", "  503", "",
	"2", "20", "2 00", "20 0", "0200", "2000", "1000", "20O", "0x2", "2e1", "2.0", "\u0662\u0660\u0660", "200\t", "OK"}

// invalidStatusKinds are the requests that get such an answer. A resumed stream gets it from the second replica.
var invalidStatusKinds = []struct {
	name    string
	repeat  fleet.Repeat
	resumed bool
}{{"unsafe", fleet.RepeatNever, false}, {"safe", fleet.RepeatSafe, false}, {"stream", fleet.RepeatStream, false}, {"resumed stream", fleet.RepeatStream, true}}

// Guards against an invalid status that reaches a client, sealed or not, or that is taken for the statement that the request has not run.
func TestInvalidStatusesReachNoClient(t *testing.T) {
	for _, kind := range invalidStatusKinds {
		for _, tunnel := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, tunnel %v", kind.name, tunnel), func(t *testing.T) {
				t.Parallel()
				var paths *reach.Paths
				if tunnel {
					paths = tunnelsOnly(t)
				}
				for _, status := range invalidStatuses {
					for _, headers := range []string{"", sealHeader, "X-Cassiadeal-Not-Executed: 1\r\n", sealHeader + "X-Cassiadeal-Not-Executed: 1\r\n"} {
						for reached := false; !reached; { // On a busy machine a connection may not open in time, and the request ends before its case.
							reached = testInvalidStatus(t, status, headers, kind.repeat, kind.resumed, paths)
						}
					}
				}
			})
		}
	}
}

// testInvalidStatus reports whether the request has reached the replica that answers with the status.
func testInvalidStatus(t *testing.T, status, headers string, repeat fleet.Repeat, resumed bool, paths *reach.Paths) bool {
	c := quicktest.New(t)
	comment := quicktest.Commentf("status %q, headers %q", status, headers)
	body := "done"
	if repeat == fleet.RepeatStream {
		headers, body = headers+"Content-Type: text/event-stream\r\n", "id: 4\ndata: x\n\n"
	}
	answer := httpResponse(status+" Text", headers+"X-Cassiadeal-Request-Id: q1\r\n", body)
	faulty := newReplica(t, false, func(*http.Request) string { return answer })
	replicas := []*replica{faulty}
	if resumed {
		faulty.otherZone = true
		// A chunk that can't be read isn't taken for a lost way, so that the stream goes on at the other replica also if both are reached by tunnels.
		broken := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\nz\r\n", sealHeader, len(events(1, 3)), events(1, 3))
		replicas = append(replicas, newReplica(t, false, func(*http.Request) string { return broken }))
	}
	server := newServer(t, repeat, replicas...).(*Server)
	if !resumed { // Otherwise a stream waits for another target.
		cfg := *server.opt.Registry.View().Config
		cfg.Version++
		cfg.Routes = slices.Clone(cfg.Routes)
		cfg.Routes[0].MaxAttempts = 1
		server.opt.Registry.SetConfig(&cfg)
	}
	server.opt.Paths = paths
	resp, got, err := sendRequest(t, server, http.MethodPost)
	if len(faulty.received()) == 0 {
		return false
	}
	c.Check(len(faulty.received()), quicktest.Equals, 1, comment)
	if resumed {
		c.Check(err, quicktest.IsNotNil, comment)
		c.Check(strings.HasPrefix(events(1, 3), got), quicktest.IsTrue, comment)
		return true
	}
	c.Assert(err, quicktest.IsNil, comment)
	c.Check(resp.StatusCode, quicktest.Equals, http.StatusBadGateway, comment)
	c.Check(got, quicktest.Contains, `"not_run":false`, comment)
	return true
}

// tunnelsOnly returns paths on which all replicas are reached through another node.
func tunnelsOnly(t testing.TB) *reach.Paths {
	log := logrus.New()
	log.SetOutput(io.Discard)
	panics := recovery.Recoverer{Log: log}
	peer := httptest.NewServer((&reach.Server{Log: log, Panics: panics, Allowed: func(reach.Target, bool) bool { return true }}).Handler())
	t.Cleanup(peer.Close)
	own := newOwnPaths(t)
	own.lose(reset)
	paths, err := reach.New(reach.Options{Clock: clock.Boottime(), Log: log, Panics: panics, Direct: own.dial,
		Peers: func() []reach.Peer { return []reach.Peer{{Name: "b", Address: peer.Listener.Addr().String()}} }})
	quicktest.Assert(t, err, quicktest.IsNil)
	return paths
}

// Guards against a final answer that is lost because interim responses come before it, and against such a response that is taken for final
// or makes the request wait.
func TestInterimResponsesAreSkipped(t *testing.T) {
	final := httpResponse("200 OK", sealHeader+"X-Cassiadeal-Request-Id: q1\r\n", "done")
	for _, interim := range []string{"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n"} {
		c := quicktest.New(t)
		r := newReplica(t, false, func(*http.Request) string { return interim + final })
		resp, body, err := sendRequest(t, newServer(t, fleet.RepeatNever, r), http.MethodPost)
		c.Assert(err, quicktest.IsNil)
		c.Check(resp.StatusCode, quicktest.Equals, http.StatusOK, quicktest.Commentf("%q", interim))
		c.Check(body, quicktest.Equals, "done")
		c.Check(r.received(), quicktest.HasLen, 1)
	}
}

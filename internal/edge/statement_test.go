package edge

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/balance"
	"cassiadeal.example/cassiadeal/internal/fleet"
	"cassiadeal.example/cassiadeal/internal/statement"
)

const (
	leavingHeader = "Server-Leaving: 1\r\n"
	// notRunHeaders are those of a refusal of the request that sendRequest sends.
	notRunHeaders = "X-Cassiadeal-Not-Executed: 1\r\nX-Cassiadeal-Request-Id: q1\r\n"
)

// leavingAnswers are responses of a replica that is leaving.
var leavingAnswers = []struct {
	name   string
	repeat fleet.Repeat
	answer string
}{
	{"success", fleet.RepeatSafe, httpResponse("200 OK", sealHeader+leavingHeader, "done")},
	{"success of a request that may run once", fleet.RepeatNever, httpResponse("200 OK", sealHeader+leavingHeader, "done")},
	{"failure", fleet.RepeatNever, httpResponse("500 Internal Server Error", sealHeader+leavingHeader, "failed")},
	{"unusable success", fleet.RepeatSafe, httpResponse("200 OK", leavingHeader, "no seal")},
	{"cut response", fleet.RepeatSafe, "HTTP/1.1 200 OK\r\n" + sealHeader + leavingHeader + "Content-Length: 5\r\n\r\ndo"},
	{"refusal", fleet.RepeatNever, httpResponse("503 Service Unavailable", notRunHeaders+leavingHeader, "")},
	{"stream", fleet.RepeatStream, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + sealHeader + leavingHeader + "\r\n" + events(1, 4)},
	{"stream that breaks off", fleet.RepeatStream, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + sealHeader + leavingHeader + "\r\n" + events(1, 2) + "id: 3\nda"},
	{"refused stream", fleet.RepeatStream, httpResponse("503 Service Unavailable", notRunHeaders+leavingHeader, "")},
	{"failed stream", fleet.RepeatStream, httpResponse("500 Internal Server Error", sealHeader+leavingHeader, "failed")},
}

// Guards against requests to a replica that has stated in a response that it is leaving, while the store still lists it as ready.
func TestLeavingReplicaGetsNoNewRequests(t *testing.T) {
	for _, test := range leavingAnswers {
		t.Run(test.name, func(t *testing.T) {
			c := quicktest.New(t)
			leaving := newReplica(t, false, func(*http.Request) string { return test.answer })
			other := newReplica(t, false, func(*http.Request) string {
				if test.repeat == fleet.RepeatStream {
					return streamHead + events(1, 4)
				}
				return httpResponse("200 OK", sealHeader, "done")
			})
			other.otherZone = true
			h := newServer(t, test.repeat, leaving, other)
			for range 6 {
				_, _, _ = sendRequest(t, h, http.MethodPost) // Only what the replicas receive counts.
			}
			c.Check(len(leaving.received()), quicktest.Equals, 1)
			c.Check(len(other.received()) >= 5, quicktest.IsTrue)
		})
	}
}

// Guards against a request that is sent although the replica has stated, while the connection was opened, that it takes none. The
// client's request goes to another replica.
func TestReplicaThatStatesSomethingMeanwhileGetsNoRequest(t *testing.T) {
	for name, stated := range map[string]statement.Statement{"leaving": {Leaving: true}, "pause": {Pause: time.Minute}} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			replica := newReplica(t, false, func(*http.Request) string { return httpResponse("200 OK", sealHeader, "done") })
			server := newServer(t, fleet.RepeatNever, replica).(*Server)
			view := server.opt.Registry.View()
			target := view.Replicas["i-0"]
			call := &call{Server: server, w: httptest.NewRecorder(), ctx: t.Context(), req: &fleet.Request{ID: "q1", Method: http.MethodPost, URI: "/a/1", Header: http.Header{}},
				view: view, route: &view.Config.Routes[0], service: view.Config.Services["s"], start: time.Now(), deadline: time.Now().Add(time.Minute)}
			server.opt.Statements.Record(target.Incarnation().Target(), stated)
			done, retryable := call.trySend(target, balance.KeyOf(target), map[balance.Key]bool{})
			c.Check(done, quicktest.IsFalse)
			c.Check(retryable, quicktest.IsTrue)
			c.Check(call.attempts.mayHaveRun(), quicktest.IsFalse)
			c.Check(replica.received(), quicktest.HasLen, 0)
		})
	}
}

const (
	// limitPerSecond is the limit that replicas name in these tests. limitBound is what they may get in limitWindow: one and a half
	// times what the limit allows, and five requests.
	limitPerSecond = 2
	limitWindow    = 4 * time.Second
	limitBound     = 1.5*limitPerSecond*4 + 5
)

// Guards against more requests to a replica than the limit that it names allows: first sends, retries and resumed streams count.
func TestReplicaThatNamesALimit(t *testing.T) {
	limit := fmt.Sprintf("Server-Limit: %d\r\n", limitPerSecond)
	for _, test := range []struct {
		name   string
		repeat fleet.Repeat
		answer string
		other  string // Answers of the other replica, which names no limit.
	}{
		{"success", fleet.RepeatSafe, httpResponse("200 OK", sealHeader+limit, "done"), httpResponse("200 OK", sealHeader, "done")},
		{"refusal", fleet.RepeatNever, httpResponse("503 Service Unavailable", notRunHeaders+limit, ""), httpResponse("200 OK", sealHeader, "done")},
		{"stream", fleet.RepeatStream, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + sealHeader + limit + "\r\n" + events(1, 4), streamHead + events(1, 4)},
		{"streams that the other one breaks off", fleet.RepeatStream, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + sealHeader + limit + "\r\n" + events(1, 4), streamHead + events(1, 2) + "id: 3\nda"},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := quicktest.New(t)
			limited := newReplica(t, false, func(*http.Request) string { return test.answer })
			other := newReplica(t, false, func(*http.Request) string { return test.other })
			other.otherZone = true
			h := newServer(t, test.repeat, limited, other)
			sent := 0
			for end := time.Now().Add(limitWindow); time.Now().Before(end); sent++ {
				_, _, _ = sendRequest(t, h, http.MethodPost) // Only what the replicas receive counts.
				time.Sleep(20 * time.Millisecond)
			}
			c.Check(len(limited.received()) <= limitBound, quicktest.IsTrue, quicktest.Commentf("%d of %d requests", len(limited.received()), sent))
			c.Check(len(limited.received()) >= limitPerSecond*3, quicktest.IsTrue, quicktest.Commentf("%d requests", len(limited.received())))
		})
	}
}

// pausingReplica refuses each request as not run and asks for a pause, which ends at the given time after the first request.
func pausingReplica(t testing.TB, pause time.Duration) (r *replica, arrivals func() []time.Duration) {
	var mu sync.Mutex
	var firstAt time.Time
	var after []time.Duration
	r = newReplica(t, false, func(*http.Request) string {
		mu.Lock()
		defer mu.Unlock()
		if firstAt.IsZero() {
			firstAt = time.Now()
		}
		after = append(after, time.Since(firstAt))
		left := max(0, pause-time.Since(firstAt))
		return httpResponse("503 Service Unavailable", fmt.Sprintf(notRunHeaders+"Retry-After: %.3f\r\n", left.Seconds()), "")
	})
	return r, func() []time.Duration {
		mu.Lock()
		defer mu.Unlock()
		return slices.Clone(after)
	}
}

// Guards against requests to a replica that has refused one and asked for a pause.
func TestReplicaThatAsksForAPause(t *testing.T) {
	const pause, allowedInPause, reaction = 2 * time.Second, 2, 500 * time.Millisecond
	for _, repeat := range []fleet.Repeat{fleet.RepeatSafe, fleet.RepeatNever, fleet.RepeatStream} {
		for _, alone := range []bool{false, true} {
			t.Run(fmt.Sprintf("repeat %v, alone %v", repeat, alone), func(t *testing.T) {
				t.Parallel()
				c := quicktest.New(t)
				pausing, arrivals := pausingReplica(t, pause)
				replicas := []*replica{pausing}
				if !alone {
					other := newReplica(t, false, func(*http.Request) string {
						if repeat == fleet.RepeatStream {
							return streamHead + events(1, 4)
						}
						return httpResponse("200 OK", sealHeader, "done")
					})
					other.otherZone = true
					replicas = append(replicas, other)
				}
				h := newServer(t, repeat, replicas...)
				for end := time.Now().Add(pause + reaction); time.Now().Before(end); {
					resp, _, err := sendRequest(t, h, http.MethodPost)
					if alone && err == nil {
						wait, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
						c.Check(err, quicktest.IsNil)
						c.Check(resp.StatusCode, quicktest.Equals, http.StatusServiceUnavailable)
						c.Check(wait > 0 && wait <= pause.Seconds(), quicktest.IsTrue, quicktest.Commentf("%v", wait))
					}
					time.Sleep(20 * time.Millisecond)
				}
				during, later := 0, 0
				for _, at := range arrivals() {
					if at > reaction && at < pause {
						during++
					}
					if at >= pause {
						later++
					}
				}
				c.Check(during <= allowedInPause, quicktest.IsTrue, quicktest.Commentf("%d requests during the pause", during))
				c.Check(later > 0, quicktest.IsTrue, quicktest.Commentf("no request after the pause"))
			})
		}
	}
}

package edge

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/fleet"
)

// serverOfSafeRequests returns a server of a route whose requests may be repeated, with the time limit and number of replicas that a request may be
// sent to. The requests that replicas get run until they have answered or the server has closed the connection.
func serverOfSafeRequests(t testing.TB, limit time.Duration, maxAttempts int, budget float64, handlers ...http.HandlerFunc) http.Handler {
	var replicas []*replica
	for i, h := range handlers {
		server := httptest.NewServer(h)
		t.Cleanup(server.Close)
		replicas = append(replicas, &replica{address: server.Listener.Addr().String(), otherZone: i > 0})
	}
	server := newServerWithBudget(t, budget, fleet.RepeatSafe, replicas...).(*Server)
	cfg := *server.opt.Registry.View().Config
	cfg.Version++
	cfg.Routes = slices.Clone(cfg.Routes)
	cfg.Routes[0].Timeout, cfg.Routes[0].MaxAttempts = limit, maxAttempts
	server.opt.Registry.SetConfig(&cfg)
	return server
}

// answerAfter returns a handler that answers after the given time, unless its connection is closed before. runs counts what it has got.
func answerAfter(wait time.Duration, answer string, runs *atomic.Int32) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		runs.Add(1)
		_, _ = io.Copy(io.Discard, q.Body) // Only once the body is read does net/http notice that the connection closes.
		select {
		case <-time.After(wait):
		case <-q.Context().Done():
			return
		}
		w.Header().Set("X-Cassiadeal-Request-Id", q.Header.Get("X-Cassiadeal-Request-Id"))
		w.Header().Set("X-Cassiadeal-Response-Seal", "s")
		fmt.Fprint(w, answer)
	}
}

// Guards against giving up a request that may be repeated since its replica is silent for more than half of the time: nothing else has
// answered it, since there is no other replica, the budget or the route allows no second one, or that refuses it, fails or is silent too.
func TestRequestThatMayBeRepeatedKeepsItsReplica(t *testing.T) {
	const limit, silent = 4 * time.Second, 2600 * time.Millisecond
	for _, test := range []struct {
		name        string
		maxAttempts int
		budget      float64
		other       http.HandlerFunc
	}{
		{"no other replica", 2, 10, nil},
		{"budget used up", 2, 0.1, answerAfter(0, "other", new(atomic.Int32))},
		{"one attempt", 1, 10, answerAfter(0, "other", new(atomic.Int32))},
		{"other refuses", 2, 10, func(w http.ResponseWriter, q *http.Request) {
			w.Header().Set("X-Cassiadeal-Not-Executed", "1")
			w.Header().Set("X-Cassiadeal-Request-Id", q.Header.Get("X-Cassiadeal-Request-Id"))
			w.WriteHeader(http.StatusServiceUnavailable)
		}},
		{"other breaks off", 2, 10, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }},
		{"other fails", 2, 10, func(w http.ResponseWriter, q *http.Request) {
			w.Header().Set("X-Cassiadeal-Request-Id", q.Header.Get("X-Cassiadeal-Request-Id"))
			w.WriteHeader(http.StatusInternalServerError)
		}},
		{"other is silent", 2, 10, answerAfter(time.Minute, "other", new(atomic.Int32))},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := quicktest.New(t)
			var runs atomic.Int32
			handlers := []http.HandlerFunc{answerAfter(silent, "done", &runs)}
			if test.other != nil {
				handlers = append(handlers, test.other)
			}
			resp, body, err := sendRequest(t, serverOfSafeRequests(t, limit, test.maxAttempts, test.budget, handlers...), http.MethodPost,
				"X-Cassiadeal-Deadline-Ms", strconv.FormatInt(limit.Milliseconds(), 10))
			c.Assert(err, quicktest.IsNil)
			c.Check(resp.StatusCode, quicktest.Equals, http.StatusOK, quicktest.Commentf("%s", body))
			c.Check(body, quicktest.Equals, "done")
			c.Check(runs.Load(), quicktest.Equals, int32(1))
		})
	}
}

// Guards against waiting for a silent replica though another one has answered, and against more runs than the route allows.
func TestRequestThatMayBeRepeatedIsAnsweredByAnotherReplica(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	const limit = 3 * time.Second
	var runs atomic.Int32
	hung, other := answerAfter(time.Minute, "hung", &runs), answerAfter(0, "done", &runs)
	started := time.Now()
	resp, body, err := sendRequest(t, serverOfSafeRequests(t, limit, 2, 10, hung, other, other), http.MethodPost, "X-Cassiadeal-Deadline-Ms", strconv.FormatInt(limit.Milliseconds(), 10))
	c.Assert(err, quicktest.IsNil)
	c.Check(resp.StatusCode, quicktest.Equals, http.StatusOK)
	c.Check(body, quicktest.Equals, "done")
	c.Check(time.Since(started) < limit, quicktest.IsTrue)
	runs.Store(0)
	resp, _, err = sendRequest(t, serverOfSafeRequests(t, limit, 2, 10, hung, hung, other), http.MethodPost, "X-Cassiadeal-Deadline-Ms", strconv.FormatInt(limit.Milliseconds(), 10))
	c.Assert(err, quicktest.IsNil)
	c.Check(runs.Load(), quicktest.Equals, int32(2))
	c.Check(statesNotRun(resp.StatusCode), quicktest.IsFalse)
}

// Guards against a failure of a replica that is replaced by an unknown outcome, since no other replica has a response or may be asked.
func TestFailureOfTheOnlyReplicaThatAnsweredIsForwarded(t *testing.T) {
	const limit, answerTime = 3 * time.Second, 2 * time.Second
	fail := func(wait time.Duration) http.HandlerFunc {
		return func(w http.ResponseWriter, q *http.Request) {
			_, _ = io.Copy(io.Discard, q.Body)
			time.Sleep(wait)
			w.Header().Set("X-Cassiadeal-Request-Id", q.Header.Get("X-Cassiadeal-Request-Id"))
			w.Header().Set("X-Cassiadeal-Response-Seal", "s")
			w.WriteHeader(http.StatusInternalServerError)
			fmt.Fprint(w, "failed")
		}
	}
	breakOff := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	for _, test := range []struct {
		name        string
		maxAttempts int
		budget      float64
		handlers    []http.HandlerFunc
	}{
		{"budget used up", 2, 0.1, []http.HandlerFunc{fail(0), answerAfter(0, "other", new(atomic.Int32))}},
		{"other has broken it off", 3, 10, []http.HandlerFunc{breakOff, fail(0)}},
		{"other is silent", 2, 10, []http.HandlerFunc{fail(answerTime), answerAfter(time.Minute, "other", new(atomic.Int32))}},
		{"silent one asked first", 2, 10, []http.HandlerFunc{answerAfter(time.Minute, "other", new(atomic.Int32)), fail(0)}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := quicktest.New(t)
			started := time.Now()
			resp, body, err := sendRequest(t, serverOfSafeRequests(t, limit, test.maxAttempts, test.budget, test.handlers...), http.MethodPost,
				"X-Cassiadeal-Deadline-Ms", strconv.FormatInt(limit.Milliseconds(), 10))
			c.Assert(err, quicktest.IsNil)
			c.Check(resp.StatusCode, quicktest.Equals, http.StatusInternalServerError)
			c.Check(body, quicktest.Equals, "failed")
			c.Check(time.Since(started) < limit, quicktest.IsTrue, quicktest.Commentf("the client has no time left"))
		})
	}
}

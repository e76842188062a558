package edge

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/balance"
	"cassiadeal.example/cassiadeal/internal/fleet"
)

// silence is longer than the time after which a head is suspected of having stalled.
const silence = 1200 * time.Millisecond

// silentHeads returns two heads. The one that gets the first request answers it with the given number of events, is silent for a while,
// and goes on. The other one handles the second request with second.
func silentHeads(t testing.TB, before, total int, second http.HandlerFunc) (replicas []*replica, served func() int) {
	var mu sync.Mutex
	count := 0
	handler := http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		_, _ = io.Copy(io.Discard, q.Body) // Only then does net/http notice that the connection closes.
		mu.Lock()
		count++
		first := count == 1
		mu.Unlock()
		w.Header().Set("X-Cassiadeal-Request-Id", q.Header.Get("X-Cassiadeal-Request-Id"))
		w.Header().Set("X-Cassiadeal-Response-Seal", "s")
		w.Header().Set("Content-Type", "text/event-stream")
		if !first {
			second(w, q)
			return
		}
		fmt.Fprint(w, events(1, before))
		if before > 0 {
			_ = http.NewResponseController(w).Flush()
		}
		time.Sleep(silence)
		fmt.Fprint(w, events(before+1, total))
	})
	for range 2 {
		server := httptest.NewServer(handler)
		t.Cleanup(server.Close)
		replicas = append(replicas, &replica{address: strings.TrimPrefix(server.URL, "http://")})
	}
	return replicas, func() int {
		mu.Lock()
		defer mu.Unlock()
		return count
	}
}

// sweepStalls lets the server notice heads that are silent, as a node does.
func sweepStalls(t testing.TB, s *Server) {
	const interval = 50 * time.Millisecond
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(interval):
				s.opt.Table.Sweep(interval, func(balance.Key, balance.Load) time.Duration { return 0 })
			}
		}
	}()
}

// Guards against a stream that is broken off, or whose outcome is reported as unknown, because its head is silent for a while: the
// head that should go on with it refuses it, fails or is silent too.
func TestStreamOfAHeadThatFallsSilentIsCompleted(t *testing.T) {
	for name, second := range map[string]http.HandlerFunc{
		"other refuses": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Cassiadeal-Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		},
		"other fails": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) },
		"other breaks off": func(http.ResponseWriter, *http.Request) {
			panic(http.ErrAbortHandler)
		},
		"other is silent": func(_ http.ResponseWriter, q *http.Request) { <-q.Context().Done() },
	} {
		for _, before := range []int{0, 2} {
			t.Run(fmt.Sprintf("%s after %d events", name, before), func(t *testing.T) {
				t.Parallel()
				c := quicktest.New(t)
				replicas, served := silentHeads(t, before, 4, second)
				server := newServerWithBudget(t, 1, fleet.RepeatStream, replicas...)
				sweepStalls(t, server.(*Server))
				resp, body, err := sendRequest(t, server, http.MethodPost)
				c.Assert(err, quicktest.IsNil)
				c.Check(resp.StatusCode, quicktest.Equals, http.StatusOK)
				c.Check(body, quicktest.Equals, events(1, 4))
				c.Check(served(), quicktest.Equals, 2, quicktest.Commentf("no other head was asked"))
			})
		}
	}
}

// Guards against waiting for a silent head though another one has gone on with the stream, and against events of both.
func TestStreamOfAHeadThatFallsSilentGoesOnElsewhere(t *testing.T) {
	for _, before := range []int{0, 2} {
		t.Run(fmt.Sprintf("after %d events", before), func(t *testing.T) {
			t.Parallel()
			c := quicktest.New(t)
			replicas, _ := silentHeads(t, before, 4, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, events(before+1, 4)) })
			server := newServerWithBudget(t, 1, fleet.RepeatStream, replicas...)
			sweepStalls(t, server.(*Server))
			start := time.Now()
			resp, body, err := sendRequest(t, server, http.MethodPost)
			c.Assert(err, quicktest.IsNil)
			c.Check(time.Since(start) < silence, quicktest.IsTrue)
			c.Check(resp.StatusCode, quicktest.Equals, http.StatusOK)
			c.Check(body, quicktest.Equals, events(1, 4))
		})
	}
}

// Guards against giving up a request that may not be repeated because its replica is silent for a while.
func TestRequestThatMayNotBeRepeatedWaitsForASilentReplica(t *testing.T) {
	c := quicktest.New(t)
	r := newReplica(t, false, func(*http.Request) string {
		time.Sleep(silence)
		return httpResponse("200 OK", sealHeader, "done")
	})
	other := newReplica(t, false, func(*http.Request) string { return httpResponse("200 OK", sealHeader, "other") })
	other.otherZone = true
	server := newServer(t, fleet.RepeatNever, r, other)
	sweepStalls(t, server.(*Server))
	resp, _, err := sendRequest(t, server, http.MethodPost)
	c.Assert(err, quicktest.IsNil)
	c.Check(resp.StatusCode, quicktest.Equals, http.StatusOK)
	c.Check(len(r.received())+len(other.received()), quicktest.Equals, 1)
}

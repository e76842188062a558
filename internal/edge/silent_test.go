package edge

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/balance"
	"cassiadeal.example/cassiadeal/internal/fleet"
)

// silence is how long a silent replica goes on being silent once another one was asked.
const silence = 600 * time.Millisecond

// silentTimeout is the time limit of requests to silent heads. It is long enough on a machine under any load.
const silentTimeout = time.Minute

// silentHeads returns a server with two heads. The one that gets the first request answers it with the given number of events and is
// silent, which the server notices. It goes on a while after the other one has got the second request, or when its own is dropped. The
// other one handles its request with second.
func silentHeads(t testing.TB, before, total int, second http.HandlerFunc) http.Handler {
	var requests atomic.Int32
	otherAsked, silent := make(chan struct{}), make(chan string, 1)
	handler := func(address string) http.HandlerFunc {
		return func(w http.ResponseWriter, q *http.Request) {
			_, _ = io.Copy(io.Discard, q.Body) // Only then does net/http notice that the connection closes.
			first := requests.Add(1) == 1
			w.Header().Set("X-Cassiadeal-Request-Id", q.Header.Get("X-Cassiadeal-Request-Id"))
			w.Header().Set("X-Cassiadeal-Response-Seal", "s")
			w.Header().Set("Content-Type", "text/event-stream")
			if !first {
				close(otherAsked)
				second(w, q)
				return
			}
			fmt.Fprint(w, events(1, before))
			if before > 0 {
				_ = http.NewResponseController(w).Flush()
			}
			silent <- address
			select {
			case <-otherAsked:
			case <-q.Context().Done():
			}
			time.Sleep(silence)
			fmt.Fprint(w, events(before+1, total))
		}
	}
	var replicas []*replica
	for range 2 {
		server := httptest.NewUnstartedServer(nil)
		address := server.Listener.Addr().String()
		server.Config.Handler = handler(address)
		server.Start()
		t.Cleanup(server.Close)
		replicas = append(replicas, &replica{address: address})
	}
	server := newServerWithBudget(t, 1, fleet.RepeatStream, replicas...).(*Server)
	cfg := *server.opt.Registry.View().Config
	cfg.Version++
	cfg.Routes = slices.Clone(cfg.Routes)
	cfg.Routes[0].Timeout = silentTimeout
	server.opt.Registry.SetConfig(&cfg)
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	go suspectWhenSilent(server, silent, stop)
	return server
}

// suspectWhenSilent makes the server suspect the head at the address that silent names, until stop is closed.
func suspectWhenSilent(s *Server, silent <-chan string, stop <-chan struct{}) {
	var address string
	select {
	case address = <-silent:
	case <-stop:
		return
	}
	for {
		for _, r := range s.opt.Registry.View().ByService["s"] {
			if r.Address == address {
				s.opt.Table.Suspect(balance.KeyOf(r))
			}
		}
		select {
		case <-time.After(20 * time.Millisecond): // An event that arrived meanwhile has ended the suspicion.
		case <-stop:
			return
		}
	}
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
		"other refuses late": func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(2 * silence)
			w.Header().Set("X-Cassiadeal-Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		},
		"other fails late": func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(2 * silence)
			w.WriteHeader(http.StatusInternalServerError)
		},
		"other breaks off late": func(http.ResponseWriter, *http.Request) {
			time.Sleep(2 * silence)
			panic(http.ErrAbortHandler)
		},
		"other never answers": func(_ http.ResponseWriter, q *http.Request) { <-q.Context().Done() },
		"other is silent": func(w http.ResponseWriter, q *http.Request) {
			time.Sleep(2 * silence)
			var after int
			_, _ = fmt.Sscan(q.Header.Get("Last-Event-Id"), &after)
			fmt.Fprint(w, events(after+1, 4))
		},
	} {
		for _, before := range []int{0, 2} {
			t.Run(fmt.Sprintf("%s after %d events", name, before), func(t *testing.T) {
				t.Parallel()
				c := quicktest.New(t)
				resp, body, err := sendRequest(t, silentHeads(t, before, 4, second), http.MethodPost, "X-Cassiadeal-Deadline-Ms", strconv.FormatInt(silentTimeout.Milliseconds(), 10))
				c.Assert(err, quicktest.IsNil)
				c.Check(resp.StatusCode, quicktest.Equals, http.StatusOK)
				c.Check(body, quicktest.Equals, events(1, 4))
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
			server := silentHeads(t, before, 2, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, events(before+1, 4)) })
			resp, body, err := sendRequest(t, server, http.MethodPost, "X-Cassiadeal-Deadline-Ms", strconv.FormatInt(silentTimeout.Milliseconds(), 10))
			c.Assert(err, quicktest.IsNil)
			c.Check(resp.StatusCode, quicktest.Equals, http.StatusOK)
			c.Check(body, quicktest.Equals, events(1, 4))
		})
	}
}

// Guards against waiting for two silent heads while a third one may be asked, and against one that only keeps its connection open counting
// as going on.
func TestStreamOfTwoSilentHeadsGoesOnAtAThird(t *testing.T) {
	for _, comments := range []string{"", ": still here\n\n"} {
		t.Run(fmt.Sprintf("comments %q", comments), func(t *testing.T) {
			t.Parallel()
			c := quicktest.New(t)
			var requests atomic.Int32
			silent := make(chan string, 2)
			var replicas []*replica
			for range 3 {
				var address string
				server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
					_, _ = io.Copy(io.Discard, q.Body)
					w.Header().Set("X-Cassiadeal-Request-Id", q.Header.Get("X-Cassiadeal-Request-Id"))
					w.Header().Set("X-Cassiadeal-Response-Seal", "s")
					w.Header().Set("Content-Type", "text/event-stream")
					if requests.Add(1) == 3 {
						fmt.Fprint(w, events(1, 4))
						return
					}
					fmt.Fprint(w, comments)
					_ = http.NewResponseController(w).Flush()
					silent <- address
					<-q.Context().Done()
				}))
				t.Cleanup(server.Close)
				address = server.Listener.Addr().String()
				replicas = append(replicas, &replica{address: address})
			}
			server := newServerWithBudget(t, 2, fleet.RepeatStream, replicas...).(*Server)
			cfg := *server.opt.Registry.View().Config
			cfg.Version++
			cfg.Routes = slices.Clone(cfg.Routes)
			cfg.Routes[0].Timeout, cfg.Routes[0].MaxAttempts = silentTimeout, 3
			server.opt.Registry.SetConfig(&cfg)
			stop := make(chan struct{})
			t.Cleanup(func() { close(stop) })
			for range 2 {
				go suspectWhenSilent(server, silent, stop)
			}
			resp, body, err := sendRequest(t, server, http.MethodPost, "X-Cassiadeal-Deadline-Ms", strconv.FormatInt(silentTimeout.Milliseconds(), 10))
			c.Assert(err, quicktest.IsNil)
			c.Check(resp.StatusCode, quicktest.Equals, http.StatusOK)
			c.Check(body, quicktest.Equals, comments+events(1, 4))
		})
	}
}

// streamReplicas returns a server with the given number of heads and a route that allows an attempt for each handler. The first handler gets the
// first request, and so on. A head that says that it is silent is suspected.
func streamReplicas(t testing.TB, heads int, handlers ...func(w http.ResponseWriter, q *http.Request, silent func())) (h http.Handler, requests *atomic.Int32) {
	requests = new(atomic.Int32)
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	var replicas []*replica
	silent := make(chan string, len(handlers))
	for range heads {
		server := httptest.NewUnstartedServer(nil)
		address := server.Listener.Addr().String()
		server.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			_, _ = io.Copy(io.Discard, q.Body) // Only then does net/http notice that the connection closes.
			w.Header().Set("X-Cassiadeal-Request-Id", q.Header.Get("X-Cassiadeal-Request-Id"))
			w.Header().Set("X-Cassiadeal-Response-Seal", "s")
			w.Header().Set("Content-Type", "text/event-stream")
			n := int(requests.Add(1))
			if n > len(handlers) {
				t.Errorf("%d requests", n)
				return
			}
			handlers[n-1](w, q, func() {
				_ = http.NewResponseController(w).Flush()
				silent <- address
			})
		})
		server.Start()
		t.Cleanup(server.Close)
		replicas = append(replicas, &replica{address: address})
	}
	server := newServerWithBudget(t, float64(len(handlers)-1), fleet.RepeatStream, replicas...).(*Server)
	cfg := *server.opt.Registry.View().Config
	cfg.Version++
	cfg.Routes = slices.Clone(cfg.Routes)
	cfg.Routes[0].Timeout, cfg.Routes[0].MaxAttempts = silentTimeout, len(handlers)
	server.opt.Registry.SetConfig(&cfg)
	for range handlers {
		go suspectWhenSilent(server, silent, stop)
	}
	return server, requests
}

// Guards against giving up a silent head because a third one has been asked: that refuses the stream, and only the second one goes on.
func TestStreamOfTwoSilentHeadsKeepsBothUntilAThirdHasTakenIt(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	thirdAsked := make(chan struct{})
	server, requests := streamReplicas(t, 3,
		func(_ http.ResponseWriter, q *http.Request, silent func()) {
			silent()
			<-thirdAsked
			time.Sleep(silence / 2)
			panic(http.ErrAbortHandler)
		},
		func(w http.ResponseWriter, q *http.Request, silent func()) {
			silent()
			<-thirdAsked
			time.Sleep(silence)
			fmt.Fprint(w, events(1, 4))
		},
		func(w http.ResponseWriter, _ *http.Request, _ func()) {
			close(thirdAsked)
			w.Header().Set("X-Cassiadeal-Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		})
	resp, body, err := sendRequest(t, server, http.MethodPost, "X-Cassiadeal-Deadline-Ms", strconv.FormatInt(silentTimeout.Milliseconds(), 10))
	c.Assert(err, quicktest.IsNil)
	c.Check(resp.StatusCode, quicktest.Equals, http.StatusOK)
	c.Check(body, quicktest.Equals, events(1, 4))
	c.Check(requests.Load(), quicktest.Equals, int32(3))
}

// Guards against a stream that breaks off for good because the only head that is left was once silent: another one had gone on with the stream.
func TestStreamReturnsToAHeadThatWasSilent(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	server, requests := streamReplicas(t, 2,
		func(w http.ResponseWriter, q *http.Request, silent func()) {
			fmt.Fprint(w, events(1, 2))
			silent()
			<-q.Context().Done()
		},
		func(w http.ResponseWriter, q *http.Request, _ func()) {
			fmt.Fprint(w, events(3, 3))
			_ = http.NewResponseController(w).Flush()
			time.Sleep(silence / 2)
			panic(http.ErrAbortHandler)
		},
		func(w http.ResponseWriter, q *http.Request, _ func()) {
			if q.Header.Get("Last-Event-Id") == "3" {
				fmt.Fprint(w, events(4, 4))
			}
		})
	resp, body, err := sendRequest(t, server, http.MethodPost, "X-Cassiadeal-Deadline-Ms", strconv.FormatInt(silentTimeout.Milliseconds(), 10))
	c.Assert(err, quicktest.IsNil)
	c.Check(resp.StatusCode, quicktest.Equals, http.StatusOK)
	c.Check(body, quicktest.Equals, events(1, 4))
	c.Check(requests.Load(), quicktest.Equals, int32(3))
}

// Guards against a stream that breaks off for good because the only other head is suspected, though that was only silent for a while.
func TestBrokenStreamIsResumedAtASuspectedHead(t *testing.T) {
	for name, suspect := range map[string]func(*balance.Table, balance.Key){
		"by this node": (*balance.Table).Suspect,
		"by another node": func(table *balance.Table, key balance.Key) {
			table.SetPeerState("other", balance.PeerState{Suspected: map[balance.Key]bool{key: true}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := quicktest.New(t)
			var server *Server
			broken := newReplica(t, true, func(*http.Request) string {
				suspect(server.opt.Table, balance.KeyOf(server.opt.Registry.View().Replicas["i-1"]))
				return streamHead + events(1, 2) + "id: 3\nda"
			})
			next := newReplica(t, false, func(*http.Request) string { return streamHead + events(3, 4) })
			next.otherZone = true
			server = newServer(t, fleet.RepeatStream, broken, next).(*Server)
			_, body, err := sendRequest(t, server, http.MethodPost, "X-Cassiadeal-Deadline-Ms", "60000")
			c.Check(err, quicktest.IsNil)
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
	stop := make(chan struct{})
	defer close(stop)
	silent := make(chan string, 1)
	silent <- r.address
	go suspectWhenSilent(server.(*Server), silent, stop)
	resp, _, err := sendRequest(t, server, http.MethodPost)
	c.Assert(err, quicktest.IsNil)
	c.Check(resp.StatusCode, quicktest.Equals, http.StatusOK)
	c.Check(len(r.received())+len(other.received()), quicktest.Equals, 1)
}

// Guards against an empty success for a stream whose client has closed its side of the connection, which counts as disconnected.
func TestClientThatHasClosedItsSideGetsNoSuccess(t *testing.T) {
	c := quicktest.New(t)
	replicas := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, q *http.Request) { <-q.Context().Done() }))
	defer replicas.Close()
	server := httptest.NewServer(newServer(t, fleet.RepeatStream, &replica{address: replicas.Listener.Addr().String()}))
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	c.Assert(err, quicktest.IsNil)
	defer conn.Close()
	_, err = io.WriteString(conn, "GET /a/1 HTTP/1.1\r\nHost: x.example\r\nX-Cassiadeal-Request-Id: q1\r\nX-Api-Key: key\r\nX-Cassiadeal-Model: m\r\n\r\n")
	c.Assert(err, quicktest.IsNil)
	c.Assert(conn.(*net.TCPConn).CloseWrite(), quicktest.IsNil)
	answer, err := io.ReadAll(conn)
	c.Check(err, quicktest.IsNil)
	c.Check(string(answer), quicktest.Equals, "")
}

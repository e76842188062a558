package edge

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"cassiadeal.example/cassiadeal/internal/balance"
	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/internal/crash"
	"cassiadeal.example/cassiadeal/internal/fleet"
	"cassiadeal.example/cassiadeal/internal/retry"
	"cassiadeal.example/cassiadeal/internal/statement"
	"cassiadeal.example/cassiadeal/platform"
)

// replica answers each request with the bytes that answer returns, and then closes the connection.
type replica struct {
	address    string
	answer     func(*http.Request) string
	resetFirst bool // Its first response ends with a TCP reset instead of an orderly close.
	otherZone  bool // It is in another failure domain than the server.

	mu       sync.Mutex
	requests []*http.Request
}

func newReplica(t testing.TB, reset bool, answer func(*http.Request) string) *replica {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	quicktest.Assert(t, err, quicktest.IsNil)
	t.Cleanup(func() { l.Close() })
	r := &replica{address: l.Addr().String(), answer: answer, resetFirst: reset}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go r.serve(conn.(*net.TCPConn))
		}
	}()
	return r
}

func (r *replica) serve(conn *net.TCPConn) {
	defer conn.Close()
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	r.mu.Lock()
	r.requests = append(r.requests, req)
	first := len(r.requests) == 1
	r.mu.Unlock()
	_, _ = conn.Write([]byte(r.answer(req)))
	if r.resetFirst && first {
		time.Sleep(20 * time.Millisecond) // Otherwise the reset could discard bytes that are still being sent.
		_ = conn.SetLinger(0)
	}
}

func (r *replica) received() []*http.Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*http.Request(nil), r.requests...)
}

const sealHeader = "X-Cassiadeal-Response-Seal: s\r\n"

func httpResponse(status, headers, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, headers, len(body), body)
}

// newServer returns a server of the replicas. They are heads of groups of one model if repeat is RepeatStream, and plain
// replicas otherwise.
func newServer(t testing.TB, repeat fleet.Repeat, replicas ...*replica) http.Handler {
	return newServerWithBudget(t, 100, repeat, replicas...)
}

// newServerWithBudget returns a server whose retry budget grants burst retries.
func newServerWithBudget(t testing.TB, burst float64, repeat fleet.Repeat, replicas ...*replica) http.Handler {
	c := clock.Boottime()
	registry := fleet.NewRegistry(c)
	service := &fleet.Service{Name: "s"}
	route := fleet.Route{Name: "r", Host: "x.example", Prefix: "/a/", Repeat: repeat, Timeout: 3 * time.Second, MaxAttempts: 2,
		Resumable: true, Backends: []fleet.Backend{{Service: "s", Weight: 1}}}
	if repeat == fleet.RepeatStream {
		service.Engine = &fleet.Engine{Slots: 8, Stride: 1, Chunk: 2048, StepMs: 1, PromptTokensPerMs: 100, MeanOutputTokens: 10,
			Models: []fleet.Model{{Name: "m", Size: 1, TimeFactor: 1}}}
	}
	registry.SetConfig(&fleet.Config{Version: 1, Routes: []fleet.Route{route}, Services: map[string]*fleet.Service{"s": service},
		Tenants: map[string]fleet.Tenant{"key": {Name: "hule"}}})
	var list []*fleet.Replica
	for i, r := range replicas {
		p := &fleet.Replica{ID: fmt.Sprintf("i-%d", i), Service: "s", Address: r.address, Zone: "z", Slots: 4}
		if r.otherZone {
			p.Zone = "far"
		}
		if service.Engine != nil {
			p.Models = []string{"m"}
			p.Group = &fleet.Membership{Name: p.ID, Epoch: 1, State: fleet.GroupOpen}
		}
		list = append(list, p)
	}
	registry.Replace(list)
	log := logrus.New()
	log.SetOutput(io.Discard)
	statements := statement.New(statement.Options{})
	registry.FollowStatements(statements)
	return New(Options{Codec: platform.Codec{}, Registry: registry, Table: balance.NewTable(c), Budget: retry.New(retry.Options{Burst: burst, FloorPerSecond: -1}),
		Crashes: crash.New(crash.Options{}), Statements: statements, OnBlocked: func() {},
		Clock: c, Log: log, Zone: "z", StoreAge: func() time.Duration { return 0 }, Nodes: func() int { return 1 },
		LoadAge: func() time.Duration { return 0 }})
}

// sendRequest sends one request over a TCP connection. extraHeaders holds names and values in turn.
func sendRequest(t testing.TB, h http.Handler, method string, extraHeaders ...string) (*http.Response, string, error) {
	server := httptest.NewServer(h)
	defer server.Close()
	req, err := http.NewRequest(method, server.URL+"/a/1", strings.NewReader("order"))
	quicktest.Assert(t, err, quicktest.IsNil)
	req.Host = "x.example"
	for name, value := range map[string]string{"X-Cassiadeal-Request-Id": "q1", "X-Cassiadeal-Deadline-Ms": "2000", "X-Api-Key": "key",
		"X-Cassiadeal-Model": "m", "X-Cassiadeal-Token-Usage": "100,20"} {
		req.Header.Set(name, value)
	}
	for i := 0; i+1 < len(extraHeaders); i += 2 {
		req.Header.Set(extraHeaders[i], extraHeaders[i+1])
	}
	resp, err := (&http.Transport{DisableCompression: true}).RoundTrip(req)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

// statesNotRun tells whether the status states that the request has not run.
func statesNotRun(status int) bool {
	return status == 408 || status == 421 || status == 429 || status == 503
}

// Guards against an unsafe request that runs twice, or is reported as not run though it may have run: the replica takes it and
// its response is cut at each byte in turn, or is one that must not be forwarded.
func TestUnsafeRequestRunsOnceWhateverTheAnswer(t *testing.T) {
	sealedResponse := httpResponse("200 OK", sealHeader+"X-Cassiadeal-Request-Id: q1\r\n", "done")
	answers := []string{"garbage\r\n\r\n", httpResponse("200 OK", "", "no seal"), httpResponse("503 Service Unavailable", "", "who knows"),
		httpResponse("429 Too Many Requests", "", ""), httpResponse("408 Request Timeout", "", ""), httpResponse("200 OK", sealHeader+"X-Cassiadeal-Request-Id: q2\r\n", "other")}
	for i := range len(sealedResponse) {
		answers = append(answers, sealedResponse[:i])
	}
	for _, answer := range answers {
		for _, reset := range []bool{false, true} {
			if reset && len(answer)%5 != 0 {
				continue // Resets are slow, so they are tested with a fifth of the cuts.
			}
			a := newReplica(t, reset, func(*http.Request) string { return answer })
			b := newReplica(t, reset, func(*http.Request) string { return answer })
			resp, _, err := sendRequest(t, newServer(t, fleet.RepeatNever, a, b), http.MethodPost)
			if n := len(a.received()) + len(b.received()); n != 1 {
				t.Fatalf("answer %q: %d runs, want 1", answer, n)
			}
			if err == nil && (statesNotRun(resp.StatusCode) || resp.StatusCode < 300) {
				t.Fatalf("answer %q: the client got %d", answer, resp.StatusCode)
			}
		}
	}
}

// Guards against giving up, or reporting a wrong status, when replicas state that they have not run the request.
func TestRefusedRequestIsTriedElsewhere(t *testing.T) {
	c := quicktest.New(t)
	refused := httpResponse("503 Service Unavailable", "X-Cassiadeal-Not-Executed: 1\r\nX-Cassiadeal-Request-Id: q1\r\n", "")
	a := newReplica(t, false, func(*http.Request) string { return refused })
	b := newReplica(t, false, func(*http.Request) string { return httpResponse("200 OK", sealHeader, "done") })
	for range 8 {
		resp, body, err := sendRequest(t, newServer(t, fleet.RepeatNever, a, b), http.MethodPost)
		c.Assert(err, quicktest.IsNil)
		c.Assert(resp.StatusCode, quicktest.Equals, 200)
		c.Assert(body, quicktest.Equals, "done")
	}
	resp, _, err := sendRequest(t, newServer(t, fleet.RepeatNever, a), http.MethodPost)
	c.Assert(err, quicktest.IsNil)
	c.Assert(resp.StatusCode, quicktest.Equals, 503)
	c.Assert(resp.Header.Get("Retry-After"), quicktest.Not(quicktest.Equals), "")
}

func events(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: token %d\n\n", i, i)
	}
	return b.String()
}

const streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + sealHeader + "\r\n"

// Guards against events that are lost, duplicated or cut when a head fails in the middle of an event: another head resumes the
// stream within the same response.
func TestBrokenStreamIsResumedAtAnotherHead(t *testing.T) {
	all := events(1, 4)
	for cut := range len(all) {
		answer := func(q *http.Request) string {
			from := 1
			if last := q.Header.Get("Last-Event-Id"); last != "" {
				_, _ = fmt.Sscan(last, &from)
				from++
				return streamHead + events(from, 4)
			}
			return ""
		}
		var firstResponse sync.Once
		first := func(q *http.Request) string {
			out := ""
			firstResponse.Do(func() { out = streamHead + all[:cut] })
			if out != "" {
				return out
			}
			if out = answer(q); out == "" {
				out = streamHead + all // No event was forwarded before the cut.
			}
			return out
		}
		reset := cut%7 == 0
		// The replica that is chosen second must close its connection in order.
		a := newReplica(t, reset, first)
		b := newReplica(t, false, resumeOrAll(answer, all))
		_, body, err := sendRequest(t, newServer(t, fleet.RepeatStream, a, b), http.MethodPost)
		atBoundary := strings.HasSuffix(all[:cut], "\n\n")
		if len(a.received()) > 0 && (reset || !atBoundary && cut > 0) {
			if err != nil || body != all {
				t.Fatalf("cut at %d (reset %v): got %q and %v, want all events", cut, reset, body, err)
			}
		} else if err == nil && body != all && body != all[:cut] {
			t.Fatalf("cut at %d: got %q", cut, body)
		}
	}
}

// resumeOrAll returns the resumed response, or all events if no event was forwarded before.
func resumeOrAll(resumed func(*http.Request) string, all string) func(*http.Request) string {
	return func(q *http.Request) string {
		if out := resumed(q); out != "" {
			return out
		}
		return streamHead + all
	}
}

// Guards against sending a stream twice that may not be resumed.
func TestStreamThatMayNotBeResumedRunsOnce(t *testing.T) {
	a := newReplica(t, true, func(*http.Request) string { return streamHead + "id: 1\nda" })
	b := newReplica(t, true, func(*http.Request) string { return streamHead + "id: 1\nda" })
	h := newServer(t, fleet.RepeatStream, a, b)
	route := &h.(*Server).opt.Registry.View().Config.Routes[0]
	route.Resumable = false
	resp, _, err := sendRequest(t, h, http.MethodPost)
	if n := len(a.received()) + len(b.received()); n != 1 {
		t.Fatalf("%d runs, want 1", n)
	}
	if err == nil && (statesNotRun(resp.StatusCode) || resp.StatusCode < 300) {
		t.Fatalf("the client got %d", resp.StatusCode)
	}
}

func TestUnknownRouteAndKey(t *testing.T) {
	c := quicktest.New(t)
	a := newReplica(t, false, func(*http.Request) string { return httpResponse("200 OK", sealHeader, "done") })
	h := newServer(t, fleet.RepeatSafe, a)
	resp, _, err := sendRequest(t, h, http.MethodGet, "X-Api-Key", "wrong")
	c.Assert(err, quicktest.IsNil)
	c.Assert(resp.StatusCode, quicktest.Equals, 401)
	// A node without contact to the store may lack the newest keys, so it refuses only temporarily.
	h.(*Server).opt.StoreAge = func() time.Duration { return time.Minute }
	resp, _, err = sendRequest(t, h, http.MethodGet, "X-Api-Key", "wrong")
	c.Assert(err, quicktest.IsNil)
	c.Assert(resp.StatusCode, quicktest.Equals, 503)
	// So does a node that can't know whether its configuration is the newest; what it knows is served.
	h.(*Server).opt.StoreAge, h.(*Server).opt.ConfigDoubt = func() time.Duration { return 0 }, func() string { return "another node has a newer one" }
	resp, _, err = sendRequest(t, h, http.MethodGet, "X-Api-Key", "wrong")
	c.Assert(err, quicktest.IsNil)
	c.Assert(resp.StatusCode, quicktest.Equals, 503)
	c.Assert(resp.Header.Get("Retry-After"), quicktest.Not(quicktest.Equals), "")
	c.Assert(a.received(), quicktest.HasLen, 0)
	resp, _, err = sendRequest(t, h, http.MethodGet)
	c.Assert(err, quicktest.IsNil)
	c.Assert(resp.StatusCode, quicktest.Equals, 200)
}

// Guards against events that a client receives twice because the second replica starts the stream from the beginning instead of
// after the last event.
func TestEventsThatTheClientHasAreDropped(t *testing.T) {
	c := quicktest.New(t)
	all := streamHead + events(1, 6)
	cut := len(streamHead) + len(events(1, 3))
	broken := newReplica(t, true, func(*http.Request) string { return all[:cut] })
	restarting := newReplica(t, false, func(*http.Request) string { return all })
	restarting.otherZone = true
	_, body, err := sendRequest(t, newServer(t, fleet.RepeatStream, broken, restarting), http.MethodPost)
	c.Assert(err, quicktest.IsNil)
	c.Assert(broken.received(), quicktest.HasLen, 1)
	c.Assert(restarting.received(), quicktest.HasLen, 1)
	c.Assert(body, quicktest.Equals, events(1, 6))
}

// Guards against more retries than the retry budget allows while all replicas fail.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	c := quicktest.New(t)
	const requests, burst = 10, 3
	cut := func(*http.Request) string { return "" }
	a, b := newReplica(t, false, cut), newReplica(t, false, cut)
	h := newServerWithBudget(t, burst, fleet.RepeatSafe, a, b)
	for range requests {
		resp, _, err := sendRequest(t, h, http.MethodGet)
		c.Assert(err, quicktest.IsNil)
		c.Assert(statesNotRun(resp.StatusCode), quicktest.IsFalse)
	}
	got := len(a.received()) + len(b.received())
	c.Assert(got, quicktest.Equals, requests+burst)
}

// Guards against replicas that continue to work for a client that disconnected more than half a second ago.
func TestWorkEndsWhenTheClientDisconnects(t *testing.T) {
	c := quicktest.New(t)
	ended := make(chan struct{})
	replicas := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		defer close(ended)
		w.Header().Set("X-Cassiadeal-Request-Id", q.Header.Get("X-Cassiadeal-Request-Id"))
		w.Header().Set("X-Cassiadeal-Response-Seal", "s")
		for i := 1; q.Context().Err() == nil; i++ {
			fmt.Fprintf(w, "id: %d\ndata: %d\n\n", i, i)
			w.(http.Flusher).Flush()
			time.Sleep(20 * time.Millisecond)
		}
	}))
	defer replicas.Close()
	server := httptest.NewServer(newServer(t, fleet.RepeatStream, &replica{address: strings.TrimPrefix(replicas.URL, "http://")}))
	defer server.Close()
	ctx, disconnect := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL+"/a/1", nil)
	c.Assert(err, quicktest.IsNil)
	req.Host = "x.example"
	for name, value := range map[string]string{"X-Cassiadeal-Request-Id": "q1", "X-Cassiadeal-Deadline-Ms": "3000", "X-Api-Key": "key",
		"X-Cassiadeal-Model": "m", "X-Cassiadeal-Token-Usage": "100,20"} {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	c.Assert(err, quicktest.IsNil)
	defer resp.Body.Close()
	_, err = resp.Body.Read(make([]byte, 4))
	c.Assert(err, quicktest.IsNil)
	disconnected := time.Now()
	disconnect()
	<-ended
	c.Assert(time.Since(disconnected) < 500*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("%v", time.Since(disconnected)))
}

// slowStream returns a replica that streams its first request over a second and refuses all others as not run, with the address
// that fault returns as the one at fault.
func slowStream(t testing.TB, events int, fault func(address string) string) *replica {
	r := &replica{}
	var served atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set("X-Cassiadeal-Request-Id", q.Header.Get("X-Cassiadeal-Request-Id"))
		if served.Add(1) > 1 {
			w.Header().Set("X-Cassiadeal-Not-Executed", "1")
			w.Header().Set("At-Server", fault(r.address))
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("X-Cassiadeal-Response-Seal", "s")
		w.Header().Set("Content-Type", "text/event-stream")
		for i := range events {
			fmt.Fprintf(w, "id: %d\ndata: %d\n\n", i+1, i+1)
			w.(http.Flusher).Flush()
			time.Sleep(time.Second / time.Duration(events))
		}
	}))
	t.Cleanup(server.Close)
	r.address = strings.TrimPrefix(server.URL, "http://")
	return r
}

// Guards against moving streams away from a head because it refuses new requests: it finishes its running requests before it
// leaves the group. In a load test with seed 414399668805, up to four streams were lost that way.
func TestHeadThatRefusesKeepsItsStreams(t *testing.T) {
	c := quicktest.New(t)
	closing := slowStream(t, 4, func(address string) string { return address })
	other := newReplica(t, false, func(*http.Request) string {
		return "HTTP/1.1 200 OK\r\n" + sealHeader + "Content-Type: text/event-stream\r\n\r\n" + events(1, 4)
	})
	other.otherZone = true
	h := newServer(t, fleet.RepeatStream, closing, other)
	done := make(chan string, 1)
	go func() {
		_, body, err := sendRequest(t, h, http.MethodPost)
		done <- fmt.Sprint(body, err)
	}()
	time.Sleep(100 * time.Millisecond)
	resp, _, err := sendRequest(t, h, http.MethodPost, "X-Cassiadeal-Request-Id", "q2")
	c.Assert(err, quicktest.IsNil)
	c.Assert(resp.StatusCode, quicktest.Equals, http.StatusOK)
	body := <-done
	c.Assert(other.received(), quicktest.HasLen, 1, quicktest.Commentf("only the refused request is sent there"))
	c.Assert(strings.Count(body, "id:"), quicktest.Equals, 4, quicktest.Commentf("%s", body))
	c.Assert(strings.HasSuffix(body, "<nil>"), quicktest.IsTrue, quicktest.Commentf("%s", body))
}

// Guards against breaking off a stream because its head is suspected, when there is no other head to resume it.
func TestStreamStaysWhereNoOtherHeadServes(t *testing.T) {
	c := quicktest.New(t)
	h := newServer(t, fleet.RepeatStream, slowStream(t, 10, func(string) string { return "10.0.0.1:1" }))
	done := make(chan string, 1)
	go func() {
		_, body, err := sendRequest(t, h, http.MethodPost)
		done <- fmt.Sprint(body, err)
	}()
	time.Sleep(200 * time.Millisecond)
	resp, _, err := sendRequest(t, h, http.MethodPost, "X-Cassiadeal-Request-Id", "q2")
	c.Assert(err, quicktest.IsNil)
	c.Assert(resp.StatusCode, quicktest.Equals, http.StatusServiceUnavailable)
	body := <-done
	c.Assert(strings.Count(body, "id:"), quicktest.Equals, 10, quicktest.Commentf("%s", body))
	c.Assert(strings.HasSuffix(body, "<nil>"), quicktest.IsTrue, quicktest.Commentf("%s", body))
}

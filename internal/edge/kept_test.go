package edge

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"cassiadeal.example/cassiadeal/internal/balance"
	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/internal/connpool"
	"cassiadeal.example/cassiadeal/internal/crash"
	"cassiadeal.example/cassiadeal/internal/fleet"
	"cassiadeal.example/cassiadeal/internal/reach"
	"cassiadeal.example/cassiadeal/internal/retry"
	"cassiadeal.example/cassiadeal/internal/statement"
	"cassiadeal.example/cassiadeal/platform"
)

// keepingReplica serves many requests on a connection, with a fault.
type keepingReplica struct {
	address  string
	fault    string
	accepted atomic.Int64
	used     atomic.Int64 // Of the accepted connections, those with a request.
	open     atomic.Int64
	closedAt atomic.Int64 // Unix nanoseconds of the last end of a connection by the other side.

	mu   sync.Mutex
	runs map[string]int // By request ID.
	cut  bool           // A later request has been cut.

	listener net.Listener
}

// count returns how often a request has arrived.
func (r *keepingReplica) count(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

// setCut notes that a later request is cut.
func (r *keepingReplica) setCut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = true
}

func (r *keepingReplica) hasCut() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cut
}

// Faults of a keepingReplica. "Later" means on a connection that has served a request.
const (
	sound            = "sound"
	resetsBetween    = "resets between requests"
	closesBetween    = "closes between requests"
	closesSoon       = "closes long before the stated idle time"
	halfCloses       = "half-closes and goes on reading"
	bytesAfter       = "bytes after a response"
	bytesLater       = "bytes some time after a response"
	earlierResponse  = "an earlier response before the later one"
	earlierWithoutID = "a response without an ID before the later one"
	silentLater      = "silent on later requests"
	cutsLater        = "ends later requests without a response"
	resetsLater      = "resets later requests"
	cutsBodyLater    = "cuts the body of later responses"
	statesClose      = "states that it closes"
	noLength         = "no length"
	otherID          = "the ID of another request"
	restarts         = "refuses later requests as another replica"
	neverAnswers     = "never answers"
	resetsBeyondOne  = "resets connections beyond the first"
	// The following end a later request without a response. What comes after it is the request once more, on a new connection.
	cutsThenRefuses    = "cuts a later request and refuses the next"
	cutsThenMisdirects = "cuts a later request and answers the next as another replica"
	cutsThenEnds       = "cuts a later request and accepts no more connections"
)

func newKeepingReplica(t testing.TB, fault string) *keepingReplica {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	quicktest.Assert(t, err, quicktest.IsNil)
	t.Cleanup(func() { l.Close() })
	r := &keepingReplica{address: l.Addr().String(), fault: fault, runs: map[string]int{}, listener: l}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			r.accepted.Add(1)
			go r.serve(conn.(*net.TCPConn))
		}
	}()
	return r
}

// run counts a request. It returns its ID and whether a stream is wanted.
func (r *keepingReplica) run(from *bufio.Reader) (id string, stream bool, err error) {
	req, err := http.ReadRequest(from)
	if err != nil {
		return "", false, err
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return "", false, err
	}
	id = req.Header.Get("X-Cassiadeal-Request-Id")
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id]++
	return id, strings.HasPrefix(req.URL.Path, "/stream/"), nil
}

const keepAlive5 = "Keep-Alive: timeout=5\r\n"

func (r *keepingReplica) serve(conn *net.TCPConn) {
	first := r.open.Add(1) == 1
	defer func() {
		r.open.Add(-1)
		r.closedAt.Store(time.Now().UnixNano())
		conn.Close()
	}()
	if r.fault == resetsBeyondOne && !first {
		_ = conn.SetLinger(0)
		return
	}
	from, previous := bufio.NewReader(conn), ""
	for later := false; ; later = true {
		id, stream, err := r.run(from)
		if err != nil {
			return
		}
		if r.fault == neverAnswers {
			continue
		}
		if !later {
			r.used.Add(1)
		}
		refusal := "X-Cassiadeal-Request-Id: " + id + "\r\n"
		if r.hasCut() {
			if r.fault == cutsThenRefuses {
				_, _ = conn.Write([]byte(httpResponse("503 Service Unavailable", refusal+"X-Cassiadeal-Not-Executed: 1\r\n", "")))
			} else {
				_, _ = conn.Write([]byte(httpResponse("421 Misdirected Request", refusal, "")))
			}
			return
		}
		if later {
			switch r.fault {
			case cutsThenEnds:
				r.listener.Close()
				return
			case cutsThenRefuses, cutsThenMisdirects:
				r.setCut()
				return
			case halfCloses, silentLater:
				continue
			case cutsLater:
				return
			case resetsLater:
				_ = conn.SetLinger(0)
				return
			case earlierResponse:
				_, _ = conn.Write([]byte(previous))
			case earlierWithoutID:
				_, _ = conn.Write([]byte(httpResponse("200 OK", sealHeader, "of whom?")))
			case restarts:
				_, _ = conn.Write([]byte(httpResponse("421 Misdirected Request", refusal, "")))
				return
			}
		}
		previous = r.response(id, stream)
		if r.fault == cutsBodyLater && later {
			_, _ = conn.Write([]byte(previous[:len(previous)-3]))
			return
		}
		_, _ = conn.Write([]byte(previous))
		if !r.after(conn, previous) {
			return
		}
	}
}

// response returns the response to a request, which ends with the connection for some faults.
func (r *keepingReplica) response(id string, stream bool) string {
	head := sealHeader + keepAlive5 + "X-Cassiadeal-Request-Id: " + id + "\r\n"
	switch r.fault {
	case otherID:
		head = sealHeader + keepAlive5
	case statesClose:
		head += "Connection: close\r\n"
	}
	body := "answer to " + id
	if stream {
		head, body = head+"Content-Type: text/event-stream\r\n", streamOf(id)
	}
	if r.fault == noLength {
		return "HTTP/1.1 200 OK\r\n" + head + "\r\n" + body
	}
	if !stream {
		return httpResponse("200 OK", head, body)
	}
	var chunks strings.Builder
	for event := range strings.SplitAfterSeq(body, "\n\n") {
		if event != "" {
			fmt.Fprintf(&chunks, "%x\r\n%s\r\n", len(event), event)
		}
	}
	return "HTTP/1.1 200 OK\r\n" + head + "Transfer-Encoding: chunked\r\n\r\n" + chunks.String() + "0\r\n\r\n"
}

// after does what follows a response, and reports whether the connection goes on.
func (r *keepingReplica) after(conn *net.TCPConn, response string) bool {
	switch r.fault {
	case resetsBetween:
		time.Sleep(5 * time.Millisecond) // Otherwise the reset could discard bytes that are still being sent.
		_ = conn.SetLinger(0)
		return false
	case closesBetween, statesClose, noLength:
		return false
	case closesSoon:
		time.Sleep(10 * time.Millisecond)
		return false
	case halfCloses:
		_ = conn.CloseWrite()
	case bytesAfter:
		_, _ = conn.Write([]byte("\r\n"))
	case bytesLater:
		time.Sleep(5 * time.Millisecond)
		_, _ = conn.Write([]byte(response))
	}
	return true
}

func streamOf(id string) string {
	var b strings.Builder
	for i := 1; i <= 5; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", i, id)
	}
	return b.String()
}

// keepingServer serves a model and a plain service with kept connections. Routes are named after what they allow.
type keepingServer struct {
	*Server
	front *httptest.Server
	ids   atomic.Int64
}

func newKeepingServer(t testing.TB, heads, plain []*keepingReplica) *keepingServer {
	c := clock.Boottime()
	registry := fleet.NewRegistry(c)
	engine := &fleet.Engine{Slots: 30, Stride: 1, Chunk: 2048, StepMs: 1, PromptTokensPerMs: 100, MeanOutputTokens: 10, Models: []fleet.Model{{Name: "m", Size: 1, TimeFactor: 1}}}
	services := map[string]*fleet.Service{"model": {Name: "model", MaxConnections: 100, Engine: engine}, "plain": {Name: "plain", MaxConnections: 100}}
	route := func(name, service string, repeat fleet.Repeat) fleet.Route {
		return fleet.Route{Name: name, Host: "x.example", Prefix: "/" + name + "/", Repeat: repeat, Timeout: 5 * time.Second, LatencyTarget: 250 * time.Millisecond,
			MaxAttempts: 2, Resumable: true, Backends: []fleet.Backend{{Service: service, Weight: 1}}}
	}
	registry.SetConfig(&fleet.Config{Version: 1, Services: services, Routes: []fleet.Route{route("stream", "model", fleet.RepeatStream),
		route("safe", "plain", fleet.RepeatSafe), route("unsafe", "plain", fleet.RepeatNever)}})
	var list []*fleet.Replica
	for i, r := range heads {
		id := fmt.Sprintf("h-%d", i)
		list = append(list, &fleet.Replica{ID: id, Service: "model", Address: r.address, Zone: "z", Slots: 30, Models: []string{"m"},
			Group: &fleet.Membership{Name: id, Epoch: 1, State: fleet.GroupOpen}})
	}
	for i, r := range plain {
		list = append(list, &fleet.Replica{ID: fmt.Sprintf("p-%d", i), Service: "plain", Address: r.address, Zone: "z", Slots: 30})
	}
	registry.Replace(list)
	log := logrus.New()
	log.SetOutput(io.Discard)
	statements := statement.New(statement.Options{})
	registry.FollowStatements(statements)
	pool, err := connpool.New(connpool.Options{Clock: c, MaxIdle: connpool.DefaultMaxIdle})
	quicktest.Assert(t, err, quicktest.IsNil)
	s := &keepingServer{Server: New(Options{Pool: pool, Codec: platform.Codec{}, Registry: registry, Table: balance.NewTable(c),
		Budget: retry.New(retry.Options{Burst: 1e6, FloorPerSecond: -1}), Crashes: crash.New(crash.Options{}), Statements: statements, OnBlocked: func() {},
		Clock: c, Log: log, Zone: "z", StoreAge: func() time.Duration { return 0 }, Nodes: func() int { return 1 }, LoadAge: func() time.Duration { return 0 }})}
	s.front = httptest.NewServer(s.Server)
	t.Cleanup(s.front.Close)
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	go func() {
		ticker := time.NewTicker(100 * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				s.sweepPool()
			}
		}
	}()
	return s
}

// ask sends a request on a route and returns its ID and an error unless it got its own complete answer.
func (s *keepingServer) ask(route string) (id string, err error) {
	id = fmt.Sprintf("%s-%d", route, s.ids.Add(1))
	req, err := http.NewRequest(http.MethodPost, s.front.URL+"/"+route+"/1", strings.NewReader("body"))
	if err != nil {
		return id, err
	}
	req.Host = "x.example"
	for name, value := range map[string]string{"X-Cassiadeal-Request-Id": id, "X-Cassiadeal-Deadline-Ms": "4000", "X-Cassiadeal-Model": "m", "X-Cassiadeal-Token-Usage": "100,20"} {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return id, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	want := "answer to " + id
	if route == "stream" {
		want = streamOf(id)
	}
	if err == nil && (resp.StatusCode != http.StatusOK || string(body) != want) {
		err = fmt.Errorf("%s got %d with %q", id, resp.StatusCode, body)
	}
	return id, err
}

// mixture returns the route of the n-th request of a load like that of a map service: mostly streams.
func mixture(n int) string {
	switch n % 12 {
	case 0:
		return "unsafe"
	case 6:
		return "safe"
	}
	return "stream"
}

// Guards against a connection for almost each request, and against any that is answered with the response to another: 25 requests per
// second from several clients to four heads and two plain replicas for 6 s.
func TestSteadyLoadReusesConnections(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	replicas := func(n int) (list []*keepingReplica) {
		for range n {
			list = append(list, newKeepingReplica(t, sound))
		}
		return list
	}
	heads, plain := replicas(4), replicas(2)
	s := newKeepingServer(t, heads, plain)
	const requests, interval = 150, 40 * time.Millisecond
	failures := make(chan error, requests)
	for i := range requests {
		go func() {
			_, err := s.ask(mixture(i))
			failures <- err
		}()
		time.Sleep(interval)
	}
	for range requests {
		c.Check(<-failures, quicktest.IsNil)
	}
	accepted, used := int64(0), int64(0)
	for _, r := range append(heads, plain...) {
		accepted += r.accepted.Load()
		used += r.used.Load()
	}
	stats := s.pool.TakeStats()
	t.Logf("%d connections, %d of them with a request, for %d requests, %+v", accepted, used, requests, stats)
	c.Check(int64(stats.Opened), quicktest.Equals, used) // Others may have opened too late, or not be of this server.
	c.Check(float64(accepted) <= 0.35*requests, quicktest.IsTrue)
}

// Guards against requests that get no answer, or that of another one, and against unsafe ones that run twice, when replicas break the
// connections that are kept: by resets, early ends, silence, and bytes that belong to no request.
func TestFaultyKeptConnections(t *testing.T) {
	for _, fault := range []string{resetsBetween, closesBetween, closesSoon, halfCloses, bytesAfter, bytesLater, earlierResponse, earlierWithoutID, silentLater,
		cutsLater, resetsLater, cutsBodyLater, statesClose, noLength, otherID, restarts} {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			c := quicktest.New(t)
			heads := []*keepingReplica{newKeepingReplica(t, fault), newKeepingReplica(t, fault), newKeepingReplica(t, sound)}
			plain := []*keepingReplica{newKeepingReplica(t, fault), newKeepingReplica(t, fault)}
			s := newKeepingServer(t, heads, plain)
			const clients, each = 3, 24
			var wait sync.WaitGroup
			failures := make(chan error, clients*each)
			for k := range clients {
				wait.Go(func() {
					for i := range each {
						_, err := s.ask(mixture(k*each + i))
						failures <- err
						time.Sleep(7 * time.Millisecond)
					}
				})
			}
			wait.Wait()
			close(failures)
			for err := range failures {
				c.Check(err, quicktest.IsNil)
			}
			for _, r := range append(heads, plain...) {
				r.mu.Lock()
				for id, n := range r.runs {
					if strings.HasPrefix(id, "unsafe") {
						c.Check(n, quicktest.Equals, 1, quicktest.Commentf("%s", id))
					}
					c.Check(n <= 2, quicktest.IsTrue, quicktest.Commentf("%s ran %d times", id, n))
				}
				r.mu.Unlock()
			}
			t.Logf("%+v", s.pool.TakeStats())
		})
	}
}

// Guards against an unsafe request on a connection that the replica may just have closed.
func TestUnsafeRequestsGetNewConnections(t *testing.T) {
	c := quicktest.New(t)
	r := newKeepingReplica(t, sound)
	s := newKeepingServer(t, nil, []*keepingReplica{r})
	for range 5 {
		_, err := s.ask("unsafe")
		c.Assert(err, quicktest.IsNil)
	}
	c.Check(r.accepted.Load(), quicktest.Equals, int64(5))
	_, err := s.ask("safe")
	c.Assert(err, quicktest.IsNil)
	c.Check(r.accepted.Load(), quicktest.Equals, int64(5))
}

// Guards against a client's end that the replica doesn't see, and against its connection in the pool: the rest of the response would come
// where that to another request is expected.
func TestConnectionOfADisconnectedClientIsClosed(t *testing.T) {
	for _, reused := range []bool{false, true} {
		t.Run(fmt.Sprintf("reused %v", reused), func(t *testing.T) {
			t.Parallel()
			c := quicktest.New(t)
			fault := neverAnswers
			if reused {
				fault = silentLater
			}
			r := newKeepingReplica(t, fault)
			s := newKeepingServer(t, []*keepingReplica{r}, nil)
			if reused {
				_, err := s.ask("stream")
				c.Assert(err, quicktest.IsNil)
			}
			conn, err := net.Dial("tcp", s.front.Listener.Addr().String())
			c.Assert(err, quicktest.IsNil)
			_, err = io.WriteString(conn, "POST /stream/1 HTTP/1.1\r\nHost: x.example\r\nX-Cassiadeal-Request-Id: gone\r\nX-Cassiadeal-Model: m\r\n"+
				"X-Cassiadeal-Token-Usage: 100,20\r\nX-Cassiadeal-Deadline-Ms: 4000\r\nContent-Length: 0\r\n\r\n")
			c.Assert(err, quicktest.IsNil)
			for r.count("gone") == 0 {
				time.Sleep(time.Millisecond)
			}
			closedAt := time.Now()
			conn.Close()
			for r.open.Load() > 0 && time.Since(closedAt) < 10*time.Second {
				time.Sleep(time.Millisecond)
			}
			c.Check(time.Unix(0, r.closedAt.Load()).Sub(closedAt) < 500*time.Millisecond, quicktest.IsTrue)
			c.Check(s.pool.Idle(), quicktest.Equals, 0)
			c.Check(r.count("gone"), quicktest.Equals, 1)
		})
	}
}

// Guards against a request that may have run on a kept connection and is reported as not run, because the replica, or the one that has
// started in its place, refuses the repeated one or doesn't accept its connection.
func TestRepeatedRequestThatIsRefusedMayHaveRun(t *testing.T) {
	for _, fault := range []string{cutsThenRefuses, cutsThenMisdirects, cutsThenEnds} {
		for _, route := range []string{"safe", "stream"} {
			t.Run(fault+" "+route, func(t *testing.T) {
				t.Parallel()
				c := quicktest.New(t)
				r := newKeepingReplica(t, fault)
				s := newKeepingServer(t, []*keepingReplica{r}, []*keepingReplica{r})
				id, err := s.ask(route)
				c.Assert(err, quicktest.IsNil, quicktest.Commentf("%s", id))
				id, err = s.ask(route)
				c.Check(err, quicktest.IsNotNil)
				for _, status := range []int{408, 421, 429, 503} {
					c.Check(err, quicktest.Not(quicktest.ErrorMatches), fmt.Sprintf("(?s)%s got %d .*", id, status))
				}
				c.Check(r.count(id) >= 1 && r.count(id) <= 2, quicktest.IsTrue)
			})
		}
	}
}

// Guards against connections that keep a replica from ending, or lead to one that must get no requests.
func TestConnectionsToAReplicaThatLeavesAreClosed(t *testing.T) {
	for name, leave := range map[string]func(*keepingServer, fleet.Replica){
		"drains": func(s *keepingServer, r fleet.Replica) {
			r.Draining = true
			s.opt.Registry.Apply([]fleet.Change{{ID: r.ID, Replica: &r}})
		},
		"restarts": func(s *keepingServer, r fleet.Replica) {
			r.StartedUnixMs++
			s.opt.Registry.Apply([]fleet.Change{{ID: r.ID, Replica: &r}})
		},
		"is gone": func(s *keepingServer, r fleet.Replica) { s.opt.Registry.Apply([]fleet.Change{{ID: r.ID}}) },
		"states that it leaves": func(s *keepingServer, r fleet.Replica) {
			s.opt.Statements.Record(r.Incarnation().Target(), statement.Statement{Leaving: true})
		},
		"is suspected": func(s *keepingServer, r fleet.Replica) { s.opt.Table.Suspect(balance.KeyOf(&r)) },
		"is evacuated": func(s *keepingServer, r fleet.Replica) { s.opt.Registry.SetEvacuated(map[string]bool{"z": true}) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := quicktest.New(t)
			r := newKeepingReplica(t, sound)
			s := newKeepingServer(t, []*keepingReplica{r}, nil)
			_, err := s.ask("stream")
			c.Assert(err, quicktest.IsNil)
			c.Assert(s.pool.Idle(), quicktest.Equals, 1)
			leave(s, *s.opt.Registry.View().Replicas["h-0"])
			for end := time.Now().Add(2 * time.Second); r.open.Load() > 0 && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			c.Check(r.open.Load(), quicktest.Equals, int64(0))
			c.Check(s.pool.Idle(), quicktest.Equals, 0)
		})
	}
}

// Guards against requests that are sent again to a replica which drains, is gone or is evacuated since it was chosen, because a kept connection
// to it is silent or fails.
func TestRequestsAreNotRepeatedAtAReplicaThatLeaves(t *testing.T) {
	for name, leave := range map[string]func(*keepingServer, fleet.Replica){
		"drains": func(s *keepingServer, r fleet.Replica) {
			r.Draining = true
			s.opt.Registry.Apply([]fleet.Change{{ID: r.ID, Replica: &r}})
		},
		"is gone":      func(s *keepingServer, r fleet.Replica) { s.opt.Registry.Apply([]fleet.Change{{ID: r.ID}}) },
		"is evacuated": func(s *keepingServer, r fleet.Replica) { s.opt.Registry.SetEvacuated(map[string]bool{"z": true}) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := quicktest.New(t)
			leaving, other := newKeepingReplica(t, silentLater), newKeepingReplica(t, sound)
			s := newKeepingServer(t, nil, []*keepingReplica{leaving})
			_, err := s.ask("safe")
			c.Assert(err, quicktest.IsNil)
			r := *s.opt.Registry.View().Replicas["p-0"]
			asked := make(chan error)
			go func() {
				id, err := s.ask("safe")
				c.Check(leaving.count(id), quicktest.Equals, 1)
				asked <- err
			}()
			time.Sleep(300 * time.Millisecond) // Less than the time after which the connection counts as silent.
			replacement := r
			replacement.ID, replacement.Address, replacement.Zone = "p-1", other.address, "y"
			s.opt.Registry.Apply([]fleet.Change{{ID: "p-1", Replica: &replacement}})
			leave(s, r)
			c.Check(<-asked, quicktest.IsNil)
		})
	}
}

// Guards against a request that waits for its time limit because a kept connection is silent while new ones work.
func TestSilentKeptConnectionCostsLittleTime(t *testing.T) {
	for _, route := range []string{"safe", "stream"} {
		t.Run(route, func(t *testing.T) {
			t.Parallel()
			c := quicktest.New(t)
			r := newKeepingReplica(t, silentLater)
			s := newKeepingServer(t, []*keepingReplica{r}, []*keepingReplica{r})
			_, err := s.ask(route)
			c.Assert(err, quicktest.IsNil)
			started := time.Now()
			_, err = s.ask(route)
			c.Check(err, quicktest.IsNil)
			c.Check(time.Since(started) < 1500*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("%v", time.Since(started)))
			c.Check(s.pool.Idle(), quicktest.Equals, 0) // Connections to this replica aren't kept for a while.
		})
	}
}

// Guards against idle times that are misread, so that a request meets a connection which the replica is closing.
func TestParseKeepAlive(t *testing.T) {
	for _, test := range []struct {
		values []string
		idle   time.Duration
		stated bool
	}{
		{nil, 0, false},
		{[]string{"max=5"}, 0, false},
		{[]string{"timeout=15"}, 15 * time.Second, true},
		{[]string{"max=5, Timeout = 7"}, 7 * time.Second, true},
		{[]string{"timeout=15, timeout=3", "timeout=9"}, 3 * time.Second, true},
		{[]string{`timeout="4"`}, 4 * time.Second, true},
		{[]string{"timeout"}, 0, true},
		{[]string{"timeout=-1"}, 0, true},
		{[]string{"timeout=1.5"}, 0, true},
		{[]string{"timeout=99999999999999999999"}, 0, true},
	} {
		idle, stated := parseKeepAlive(test.values)
		quicktest.Check(t, idle, quicktest.Equals, test.idle, quicktest.Commentf("%q", test.values))
		quicktest.Check(t, stated, quicktest.Equals, test.stated, quicktest.Commentf("%q", test.values))
	}
}

// Guards against requests that wait on connections which were kept before this node lost its own paths, and against a loss that isn't
// found because requests don't open connections.
func TestPathsThatAreLostWhileConnectionsAreKept(t *testing.T) {
	for _, how := range []cut{hanging, reset, live} {
		for _, repeat := range []fleet.Repeat{fleet.RepeatStream, fleet.RepeatSafe} {
			t.Run(fmt.Sprintf("%s, kind %v", how, repeat), func(t *testing.T) {
				t.Parallel()
				c := quicktest.New(t)
				r := newPathReplica(t)
				pool, err := connpool.New(connpool.Options{Clock: clock.Boottime(), MaxIdle: connpool.DefaultMaxIdle})
				c.Assert(err, quicktest.IsNil)
				s := newCutServerWithPool(t, pool, repeat, r)
				ask := func() time.Duration {
					started := time.Now()
					status, body, err := s.request(modelOf(repeat))
					c.Check(err, quicktest.IsNil)
					c.Check(status, quicktest.Equals, http.StatusOK, quicktest.Commentf("%s", body))
					return time.Since(started)
				}
				ask()
				c.Assert(pool.Idle(), quicktest.Equals, 1)
				s.own.lose(how)
				for range 3 {
					took := ask()
					c.Check(took < 3*time.Second, quicktest.IsTrue, quicktest.Commentf("%v", took))
				}
				c.Check(r.runs.Load(), quicktest.Equals, int32(4))
				lost := false
				for end := time.Now().Add(2 * time.Second); !lost && how != live && time.Now().Before(end); time.Sleep(time.Millisecond) {
					_, lost = s.opt.Paths.Lost(reach.TargetOf(s.opt.Registry.View().Replicas["i-0"])) // Attempts under way tell.
				}
				c.Check(lost, quicktest.Equals, how != live) // Kept connections live on then.
			})
		}
	}
}

// Guards against a request that fails on a kept connection and can't be repeated, since its route allows one attempt, or that waits on one for
// longer than its route tells.
func TestRoutesThatAllowNoRepetitionGetNewConnections(t *testing.T) {
	for name, change := range map[string]func(*fleet.Route){
		"one attempt":       func(r *fleet.Route) { r.MaxAttempts = 1 },
		"no latency target": func(r *fleet.Route) { r.LatencyTarget = 0 },
		"not resumable":     func(r *fleet.Route) { r.Resumable = false },
	} {
		c := quicktest.New(t)
		r := newKeepingReplica(t, sound)
		s := newKeepingServer(t, []*keepingReplica{r}, nil)
		cfg := *s.opt.Registry.View().Config
		cfg.Version++
		cfg.Routes = slices.Clone(cfg.Routes)
		for i := range cfg.Routes {
			change(&cfg.Routes[i])
		}
		s.opt.Registry.SetConfig(&cfg)
		for range 3 {
			_, err := s.ask("stream")
			c.Assert(err, quicktest.IsNil)
		}
		c.Check(r.used.Load(), quicktest.Equals, int64(3), quicktest.Commentf("%s", name))
	}
}

// Guards against idle connections that keep a replica from accepting new ones: it resets these while it has too many.
func TestIdleConnectionsGiveWayToNewOnes(t *testing.T) {
	c := quicktest.New(t)
	r := newKeepingReplica(t, resetsBeyondOne)
	s := newKeepingServer(t, nil, []*keepingReplica{r})
	_, err := s.ask("safe")
	c.Assert(err, quicktest.IsNil)
	_, err = s.ask("unsafe") // It isn't sent on the kept connection.
	c.Check(err, quicktest.IsNotNil)
	c.Check(s.pool.Idle(), quicktest.Equals, 0)
	for r.open.Load() > 0 {
		time.Sleep(time.Millisecond)
	}
	_, err = s.ask("unsafe")
	c.Check(err, quicktest.IsNil)
}

// Guards against new connections where an equal head has an idle one, and against a preference that wasn't asked for.
func TestPreferredConnections(t *testing.T) {
	for _, prefer := range []bool{false, true} {
		c := quicktest.New(t)
		var heads []*keepingReplica
		for range 8 {
			heads = append(heads, newKeepingReplica(t, sound))
		}
		s := newKeepingServer(t, heads, nil)
		s.opt.PreferConnected = prefer
		for range 24 {
			_, err := s.ask("stream")
			c.Assert(err, quicktest.IsNil)
			time.Sleep(10 * time.Millisecond) // The load of the request has been taken back by then.
		}
		accepted := int64(0)
		for _, r := range heads {
			accepted += r.accepted.Load()
		}
		c.Check(accepted <= 3, quicktest.Equals, prefer, quicktest.Commentf("prefer %v: %d connections", prefer, accepted))
	}
}

// Guards against a connection that is taken for silent because this process got no processor time until after the deadline, as on machines
// with a fifth of a core: the response has arrived meanwhile.
func TestResponseThatArrivedBeforeALateReadIsRead(t *testing.T) {
	c := quicktest.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	defer l.Close()
	here, err := net.Dial("tcp4", l.Addr().String())
	c.Assert(err, quicktest.IsNil)
	defer here.Close()
	there, err := l.Accept()
	c.Assert(err, quicktest.IsNil)
	defer there.Close()
	kept := connpool.NewConn(connpool.Target{}, here.(*net.TCPConn))
	r := &linkReader{link: &link{Conn: kept, kept: kept, reused: true}, clock: clock.Boottime(), giveUpAt: time.Now().Add(-time.Second),
		claimRepeat: func() bool { return true }}
	c.Assert(kept.SetDeadline(time.Now().Add(-time.Second)), quicktest.IsNil)
	b := make([]byte, 16)
	_, err = r.Read(b)
	c.Check(r.failure(err), quicktest.ErrorIs, errSilentConnection)
	_, err = there.Write([]byte("HTTP"))
	c.Assert(err, quicktest.IsNil)
	for !kept.Readable() {
		time.Sleep(time.Millisecond)
	}
	n, err := r.Read(b)
	c.Check(err, quicktest.IsNil)
	c.Check(string(b[:n]), quicktest.Equals, "HTTP")
}

// Guards against requests that were given up and reach their replica later: what the kernel hasn't delivered is discarded only if the connection
// is reset.
func TestConnectionsOfRequestsThatWereGivenUpAreReset(t *testing.T) {
	c := quicktest.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	defer l.Close()
	ended := make(chan error, 1)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			ended <- err
			return
		}
		defer conn.Close()
		_, err = io.Copy(io.Discard, conn)
		ended <- err
	}()
	s := newKeepingServer(t, nil, []*keepingReplica{{address: l.Addr().String()}})
	_, err = s.ask("unsafe")
	c.Check(err, quicktest.IsNotNil)
	c.Check(errors.Is(<-ended, syscall.ECONNRESET), quicktest.IsTrue)
}

package edge

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"cassiadeal.example/cassiadeal/internal/balance"
	"cassiadeal.example/cassiadeal/internal/connpool"
	"cassiadeal.example/cassiadeal/internal/fleet"
	"cassiadeal.example/cassiadeal/internal/reach"
	"cassiadeal.example/cassiadeal/internal/recovery"
)

// cut is what a node sees once its own paths to all replicas are lost.
type cut string

const (
	hanging cut = "open connections hang, no new ones open"
	reset   cut = "open connections are reset, new ones are refused"
	live    cut = "open connections live on, new ones are refused"
)

// cutTimeLimit is the time limit of requests, many times what they take, also on a busy machine.
const cutTimeLimit = 20 * time.Second

// ownPaths are the paths of a server to the replicas. Each connection leads through a relay, so that it can be cut while it is open.
type ownPaths struct {
	mu     sync.Mutex
	cut    cut // Empty while the paths work.
	relays map[string]net.Listener
	open   map[net.Conn]bool
	healed chan struct{} // Closed when the paths work again.
}

func newOwnPaths(t testing.TB) *ownPaths {
	p := &ownPaths{relays: map[string]net.Listener{}, open: map[net.Conn]bool{}, healed: make(chan struct{})}
	t.Cleanup(p.heal)
	return p
}

// lose cuts all paths.
func (p *ownPaths) lose(how cut) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = how
	if how != reset {
		return
	}
	for conn := range p.open {
		_ = conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
}

// heal makes all paths work again.
func (p *ownPaths) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cut != "" {
		p.cut = ""
		close(p.healed)
	}
}

func (p *ownPaths) state() cut {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut
}

// dial implements reach.Options.Direct.
func (p *ownPaths) dial(ctx context.Context, address string) (net.Conn, error) {
	switch p.state() {
	case hanging:
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: ctx.Err()}
	case reset, live:
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	relay, err := p.relay(address)
	if err != nil {
		return nil, err
	}
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", relay)
}

// relay returns the address of the relay to a replica.
func (p *ownPaths) relay(address string) (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.relays[address]; l != nil {
		return l.Addr().String(), nil
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	p.relays[address] = l
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go p.join(conn, address)
		}
	}()
	return l.Addr().String(), nil
}

func (p *ownPaths) join(conn net.Conn, address string) {
	replica, err := net.Dial("tcp", address)
	if err != nil {
		conn.Close()
		return
	}
	p.mu.Lock()
	p.open[conn] = true
	p.mu.Unlock()
	go p.copy(replica, conn)
	p.copy(conn, replica)
	p.mu.Lock()
	delete(p.open, conn)
	p.mu.Unlock()
}

// copy copies in one direction, and the end of the connection, while the path doesn't hang.
func (p *ownPaths) copy(to, from net.Conn) {
	defer to.Close()
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if p.state() == hanging {
			<-p.healed
		}
		if _, writeErr := to.Write(buffer[:n]); err != nil || writeErr != nil {
			return
		}
	}
}

// pathReplica is a replica that counts the requests that it runs. Streams have pathEvents events.
type pathReplica struct {
	replica
	runs   atomic.Int32
	gap    time.Duration // Between two events.
	events int
	ended  chan time.Time // Receives when the client of a stream has left.
	held   chan struct{}  // Answers that aren't streams wait until it is closed; nil for never.
}

const (
	pathEvents = 20
	pathGap    = 20 * time.Millisecond
)

func newPathReplica(t testing.TB) *pathReplica {
	r := &pathReplica{gap: pathGap, events: pathEvents, ended: make(chan time.Time, 8)}
	server := httptest.NewServer(r)
	t.Cleanup(server.Close)
	r.address = strings.TrimPrefix(server.URL, "http://")
	return r
}

func (r *pathReplica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	_, _ = io.Copy(io.Discard, q.Body) // Only then does net/http notice that the connection closes.
	r.runs.Add(1)
	w.Header().Set("X-Cassiadeal-Request-Id", q.Header.Get("X-Cassiadeal-Request-Id"))
	w.Header().Set("X-Cassiadeal-Response-Seal", "s")
	if q.Header.Get("X-Cassiadeal-Model") == "" {
		if r.held != nil {
			<-r.held
		}
		fmt.Fprint(w, "done")
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	for i := last + 1; i <= r.events; i++ {
		fmt.Fprint(w, events(i, i))
		_ = http.NewResponseController(w).Flush()
		select {
		case <-time.After(r.gap):
		case <-q.Context().Done():
			r.ended <- time.Now()
			return
		}
	}
}

// tunnelNode is another node, which reaches the replicas.
type tunnelNode struct {
	reach.Peer
	server *httptest.Server
}

func newTunnelNode(t testing.TB, name string, log logrus.FieldLogger) *tunnelNode {
	s := &reach.Server{Log: log, Panics: recovery.Recoverer{Log: log}, Allowed: func(reach.Target, bool) bool { return true }}
	server := httptest.NewUnstartedServer(s.Handler())
	server.Listener = trackingListener{server.Listener, &sync.Map{}}
	server.Start()
	t.Cleanup(server.Close)
	return &tunnelNode{reach.Peer{Name: name, Address: server.Listener.Addr().String()}, server}
}

// trackingListener knows the connections that it has accepted, also those that were taken over from the HTTP server.
type trackingListener struct {
	net.Listener
	conns *sync.Map
}

func (l trackingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.conns.Store(conn, true)
	}
	return conn, err
}

// end closes all connections of the node.
func (n *tunnelNode) end() {
	n.server.Listener.Close()
	n.server.Listener.(trackingListener).conns.Range(func(conn, _ any) bool {
		conn.(net.Conn).Close()
		return true
	})
}

// cutServer is a server with a tunnel node beside it.
type cutServer struct {
	*Server
	own   *ownPaths
	front *httptest.Server
	peer  *tunnelNode
	peers atomic.Pointer[[]reach.Peer] // Those that count as alive.
}

func newCutServer(t testing.TB, repeat fleet.Repeat, replicas ...*pathReplica) *cutServer {
	return newCutServerWithPool(t, nil, repeat, replicas...)
}

// newCutServerWithPool returns a server that keeps connections in the pool, or none if that is nil.
func newCutServerWithPool(t testing.TB, pool *connpool.Pool, repeat fleet.Repeat, replicas ...*pathReplica) *cutServer {
	var list []*replica
	for _, r := range replicas {
		list = append(list, &r.replica)
	}
	s := &cutServer{Server: newServerWithBudget(t, 10, repeat, list...).(*Server), own: newOwnPaths(t)}
	s.peer = newTunnelNode(t, "b", s.opt.Log)
	s.peers.Store(&[]reach.Peer{s.peer.Peer})
	cfg := *s.opt.Registry.View().Config
	cfg.Version++
	cfg.Routes = slices.Clone(cfg.Routes)
	cfg.Routes[0].Timeout = cutTimeLimit
	if pool != nil {
		s.pool, cfg.Routes[0].LatencyTarget = pool, 250*time.Millisecond
	}
	s.opt.Registry.SetConfig(&cfg)
	paths, err := reach.New(reach.Options{Clock: s.opt.Clock, Log: s.opt.Log, Panics: recovery.Recoverer{Log: s.opt.Log}, Direct: s.own.dial,
		Peers: func() []reach.Peer { return slices.Clone(*s.peers.Load()) }})
	quicktest.Assert(t, err, quicktest.IsNil)
	s.opt.Paths = paths
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	go s.sweepUntil(stop)
	s.front = httptest.NewServer(s.Server)
	t.Cleanup(s.front.Close)
	return s
}

// sweepUntil looks for silent targets as a node does.
func (s *cutServer) sweepUntil(stop <-chan struct{}) {
	const interval = 100 * time.Millisecond
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.Sweep(interval, func(balance.Key, balance.Load) time.Duration { return suspectAfter })
		case <-stop:
			return
		}
	}
}

// open sends a request of a client of its own and returns the head of the answer.
func (s *cutServer) open(ctx context.Context, model string) (*http.Response, error) {
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, s.front.URL+"/a/1", strings.NewReader("order"))
	if err != nil {
		return nil, err
	}
	q.Host = "x.example"
	for name, value := range map[string]string{"X-Cassiadeal-Request-Id": "q1", "X-Api-Key": "key", "X-Cassiadeal-Model": model, "X-Cassiadeal-Token-Usage": "100,20",
		"X-Cassiadeal-Deadline-Ms": strconv.FormatInt(cutTimeLimit.Milliseconds(), 10)} {
		q.Header.Set(name, value)
	}
	return (&http.Transport{DisableCompression: true, DisableKeepAlives: true}).RoundTrip(q)
}

// request sends a request and returns its answer.
func (s *cutServer) request(model string) (status int, body string, err error) {
	resp, err := s.open(context.Background(), model)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b), err
}

func modelOf(repeat fleet.Repeat) string {
	if repeat == fleet.RepeatStream {
		return "m"
	}
	return ""
}

// Guards against requests that are refused, run twice, broken off or never end because this node has lost its own paths to all replicas
// while another node reaches them.
func TestNodeThatHasLostItsPathsServes(t *testing.T) {
	t.Parallel()
	for _, how := range []cut{hanging, reset, live} {
		for _, repeat := range []fleet.Repeat{fleet.RepeatStream, fleet.RepeatSafe, fleet.RepeatNever} {
			t.Run(fmt.Sprintf("%s, new requests of kind %v", how, repeat), func(t *testing.T) {
				t.Parallel()
				testNewRequestsAfterACut(t, how, repeat)
			})
		}
		for _, heads := range []int{1, 2} {
			t.Run(fmt.Sprintf("%s, a stream runs, %d heads", how, heads), func(t *testing.T) {
				t.Parallel()
				testStreamThatRunsDuringACut(t, how, heads)
			})
		}
	}
	t.Run("reset, a safe request runs", testSafeRequestRunsDuringACut)
	t.Run("the client leaves", testClientLeavesDuringACut)
	for _, repeat := range []fleet.Repeat{fleet.RepeatStream, fleet.RepeatNever} {
		t.Run(fmt.Sprintf("the node between ends, kind %v", repeat), func(t *testing.T) { testNodeBetweenEnds(t, repeat) })
	}
}

func testNewRequestsAfterACut(t *testing.T, how cut, repeat fleet.Repeat) {
	c := quicktest.New(t)
	a, b := newPathReplica(t), newPathReplica(t)
	s := newCutServer(t, repeat, a, b)
	want := "done"
	if repeat == fleet.RepeatStream {
		want = events(1, pathEvents)
	}
	s.own.lose(how)
	const requests = 4
	for range requests {
		status, body, err := s.request(modelOf(repeat))
		c.Check(err, quicktest.IsNil)
		c.Check(status, quicktest.Equals, http.StatusOK)
		c.Check(body, quicktest.Equals, want)
	}
	c.Check(a.runs.Load()+b.runs.Load(), quicktest.Equals, int32(requests))
}

func testStreamThatRunsDuringACut(t *testing.T, how cut, heads int) {
	c := quicktest.New(t)
	var replicas []*pathReplica
	for range heads {
		replicas = append(replicas, newPathReplica(t))
	}
	s := newCutServer(t, fleet.RepeatStream, replicas...)
	resp, err := s.open(t.Context(), "m")
	c.Assert(err, quicktest.IsNil)
	defer resp.Body.Close()
	reader := bufio.NewReader(resp.Body)
	_, err = reader.Peek(1)
	c.Assert(err, quicktest.IsNil)
	s.own.lose(how)
	body, err := io.ReadAll(reader)
	c.Check(err, quicktest.IsNil)
	c.Check(string(body), quicktest.Equals, events(1, pathEvents))
}

func testSafeRequestRunsDuringACut(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	r := newPathReplica(t)
	r.held = make(chan struct{})
	s := newCutServer(t, fleet.RepeatSafe, r)
	go func() {
		for r.runs.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		s.own.lose(reset)
		close(r.held)
	}()
	status, body, err := s.request("")
	c.Check(err, quicktest.IsNil)
	c.Check(status, quicktest.Equals, http.StatusOK)
	c.Check(body, quicktest.Equals, "done")
}

func testClientLeavesDuringACut(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	r := newPathReplica(t)
	r.events = 1 << 20
	s := newCutServer(t, fleet.RepeatStream, r)
	s.own.lose(hanging)
	ctx, leave := context.WithCancel(t.Context())
	defer leave()
	resp, err := s.open(ctx, "m")
	c.Assert(err, quicktest.IsNil)
	defer resp.Body.Close()
	_, err = bufio.NewReader(resp.Body).Peek(1)
	c.Assert(err, quicktest.IsNil)
	left := time.Now()
	leave()
	select {
	case at := <-r.ended:
		c.Check(at.Sub(left) < 500*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("%v", at.Sub(left)))
	case <-time.After(10 * time.Second):
		t.Fatal("the replica still works for a client that has left")
	}
}

// testNodeBetweenEnds ends the node through which the only tunnel leads, while a request that may not be repeated runs.
func testNodeBetweenEnds(t *testing.T, repeat fleet.Repeat) {
	t.Parallel()
	c := quicktest.New(t)
	var s *cutServer
	began, end := make(chan struct{}), make(chan struct{})
	r := newPathReplica(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		_, _ = io.Copy(io.Discard, q.Body)
		r.runs.Add(1)
		w.Header().Set("X-Cassiadeal-Request-Id", q.Header.Get("X-Cassiadeal-Request-Id"))
		w.Header().Set("X-Cassiadeal-Response-Seal", "s")
		w.Header().Set("Connection", "close") // The answer has no length and ends with its connection.
		w.Header().Set("Transfer-Encoding", "identity")
		if repeat == fleet.RepeatStream {
			w.Header().Set("Content-Type", "text/event-stream")
		}
		fmt.Fprint(w, events(1, 1))
		_ = http.NewResponseController(w).Flush()
		close(began)
		<-end
	}))
	t.Cleanup(server.Close)
	t.Cleanup(func() { close(end) })
	r.address = strings.TrimPrefix(server.URL, "http://")
	s = newCutServer(t, repeat, r)
	s.opt.Registry.View().Config.Routes[0].Resumable = false
	s.own.lose(live)
	go func() {
		select {
		case <-began:
			time.Sleep(50 * time.Millisecond)
			s.peer.end()
		case <-t.Context().Done():
		}
	}()
	status, body, err := s.request(modelOf(repeat))
	c.Check(r.runs.Load(), quicktest.Equals, int32(1))
	if repeat == fleet.RepeatStream {
		c.Check(err, quicktest.IsNotNil, quicktest.Commentf("status %d, the answer looks complete: %q", status, body))
	} else if err == nil {
		c.Check(status < 300 || statesNotRun(status), quicktest.IsFalse, quicktest.Commentf("status %d with %q", status, body))
	}
}

// Guards against requests that are refused because they count as having crashed the replicas to which this node has lost its paths.
func TestLostPathsAreNoCrashes(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	a, b, d := newPathReplica(t), newPathReplica(t), newPathReplica(t)
	s := newCutServer(t, fleet.RepeatNever, a, b, d)
	release := make(chan struct{})
	for _, r := range []*pathReplica{a, b, d} {
		r.held = release
	}
	const requests = 6 // All have the same fingerprint.
	var running sync.WaitGroup
	for i := range requests {
		running.Go(func() {
			status, _, err := s.request("")
			c.Check(err, quicktest.IsNil)
			c.Check(status < 300 || statesNotRun(status), quicktest.IsFalse, quicktest.Commentf("status %d", status))
		})
		for a.runs.Load()+b.runs.Load()+d.runs.Load() == int32(i) {
			time.Sleep(time.Millisecond)
		}
	}
	s.own.lose(reset)
	running.Wait()
	close(release)
	status, body, err := s.request("")
	c.Check(err, quicktest.IsNil)
	c.Check(status, quicktest.Equals, http.StatusOK, quicktest.Commentf("%s", body))
}

// Guards against requests that go on to crash replicas because this node reaches these through another node only.
func TestCrashSeenThroughAnotherNodeCounts(t *testing.T) {
	t.Parallel()
	for _, how := range []cut{hanging, live} {
		t.Run(string(how), func(t *testing.T) {
			t.Parallel()
			c := quicktest.New(t)
			replicas, ended := crashReplicas(t, maxCrashes+2, "", func(*http.Request, string) bool { return true })
			var list []*pathReplica
			for _, r := range replicas {
				list = append(list, &pathReplica{replica: replica{address: r.address}})
			}
			s := newCutServer(t, fleet.RepeatSafe, list...)
			s.own.lose(how)
			for range maxCrashes + 2 {
				_, _, err := s.request("")
				c.Check(err, quicktest.IsNil)
			}
			c.Check(ended.Load(), quicktest.Equals, int32(maxCrashes))
		})
	}
}

// suspectsReported reports whether the server tells other nodes that it suspects a target.
func (s *cutServer) suspectsReported() bool { return len(s.opt.Table.LocalState().Suspected) > 0 }

// Guards against sound heads that all other nodes avoid because one node has lost its own paths to them.
func TestLostPathIsNotReportedAsAStall(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	r := newPathReplica(t)
	r.events = 1 << 20
	s := newCutServer(t, fleet.RepeatStream, r)
	resp, err := s.open(t.Context(), "m")
	c.Assert(err, quicktest.IsNil)
	defer resp.Body.Close()
	reader := bufio.NewReader(resp.Body)
	_, err = reader.Peek(1)
	c.Assert(err, quicktest.IsNil)
	s.own.lose(hanging)
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		c.Assert(s.suspectsReported(), quicktest.IsFalse)
	}
	c.Check(len(r.ended) == 0 && r.runs.Load() == 2, quicktest.IsTrue, quicktest.Commentf("%d runs, the stream goes on through the other node", r.runs.Load()))
}

// Guards against a stalled head that other nodes go on to use because this node doesn't tell them.
func TestStallIsReportedWhereThePathWorks(t *testing.T) {
	t.Parallel()
	for _, how := range []cut{"", live} {
		t.Run(string(how), func(t *testing.T) {
			t.Parallel()
			c := quicktest.New(t)
			r := newPathReplica(t)
			r.gap = time.Minute
			s := newCutServer(t, fleet.RepeatStream, r)
			if how != "" {
				s.own.lose(how) // The stream then leads through the other node.
			}
			resp, err := s.open(t.Context(), "m")
			c.Assert(err, quicktest.IsNil)
			defer resp.Body.Close()
			end := time.Now().Add(10 * time.Second)
			for !s.suspectsReported() && time.Now().Before(end) {
				time.Sleep(5 * time.Millisecond)
			}
			c.Check(s.suspectsReported(), quicktest.IsTrue)
		})
	}
}

// Guards against a stream that never ends because the node through which it is received is frozen.
func TestStreamLeavesAFrozenNodeBetween(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	r := newPathReplica(t)
	s := newCutServer(t, fleet.RepeatStream, r)
	other, link := newTunnelNode(t, "c", s.opt.Log), newOwnPaths(t)
	relay, err := link.relay(s.peer.Address)
	c.Assert(err, quicktest.IsNil)
	s.peers.Store(&[]reach.Peer{{Name: "b", Address: relay}})
	s.own.lose(live)
	resp, err := s.open(t.Context(), "m")
	c.Assert(err, quicktest.IsNil)
	defer resp.Body.Close()
	reader := bufio.NewReader(resp.Body)
	_, err = reader.Peek(1)
	c.Assert(err, quicktest.IsNil)
	link.lose(hanging)
	s.peers.Store(&[]reach.Peer{other.Peer})
	body, err := io.ReadAll(reader)
	c.Check(err, quicktest.IsNil)
	c.Check(string(body), quicktest.Equals, events(1, pathEvents))
}

// Guards against sound heads that this node and others avoid for seconds because the nodes that were asked first had lost their paths too.
func TestSuspicionEndsOnceASoundNodeIsFound(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	r := newPathReplica(t)
	r.events = 1 << 20
	s := newCutServer(t, fleet.RepeatStream, r)
	alsoCut := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusGatewayTimeout) }))
	t.Cleanup(alsoCut.Close)
	s.peers.Store(&[]reach.Peer{{Name: "c", Address: alsoCut.Listener.Addr().String()}})
	resp, err := s.open(t.Context(), "m")
	c.Assert(err, quicktest.IsNil)
	defer resp.Body.Close()
	reader := bufio.NewReader(resp.Body)
	_, err = reader.Peek(1)
	c.Assert(err, quicktest.IsNil)
	s.own.lose(hanging)
	wait := func(limit time.Duration, condition func() bool) {
		for end := time.Now().Add(limit); !condition(); time.Sleep(time.Millisecond) {
			c.Assert(time.Now().Before(end), quicktest.IsTrue, quicktest.Commentf("not within %v", limit))
		}
	}
	wait(10*time.Second, s.suspectsReported)
	s.peers.Store(&[]reach.Peer{s.peer.Peer})
	wait(3*time.Second, func() bool { return !s.suspectsReported() && r.runs.Load() == 2 })
}

// Guards against a stream that breaks off although its only head is sound: the node through which it was received has ended.
func TestStreamOutlastsTheNodeBetween(t *testing.T) {
	t.Parallel()
	for name, next := range map[string]func(*cutServer, reach.Peer){
		"the own path works again": func(s *cutServer, _ reach.Peer) { s.own.heal() },
		"another node is there":    func(s *cutServer, other reach.Peer) { s.peers.Store(&[]reach.Peer{other}) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := quicktest.New(t)
			r := newPathReplica(t)
			s := newCutServer(t, fleet.RepeatStream, r)
			other := newTunnelNode(t, "c", s.opt.Log)
			s.own.lose(live)
			resp, err := s.open(t.Context(), "m")
			c.Assert(err, quicktest.IsNil)
			defer resp.Body.Close()
			reader := bufio.NewReader(resp.Body)
			_, err = reader.Peek(1)
			c.Assert(err, quicktest.IsNil)
			next(s, other.Peer)
			s.peer.end()
			body, err := io.ReadAll(reader)
			c.Check(err, quicktest.IsNil)
			c.Check(string(body), quicktest.Equals, events(1, pathEvents))
		})
	}
}

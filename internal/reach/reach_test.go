package reach

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/internal/fleet"
	"cassiadeal.example/cassiadeal/internal/recovery"
)

func quietLog() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// testRequest is how the tests open connections.
var testRequest = Request{Timeout: 2 * time.Second, PeerDelay: 20 * time.Millisecond, Lifetime: 10 * time.Second}

// listen returns a listener on loopback that hands each connection to serve.
func listen(t *testing.T, serve func(*net.TCPConn)) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	quicktest.Assert(t, err, quicktest.IsNil)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serve(conn.(*net.TCPConn))
		}
	}()
	return l
}

// deadAddress returns an address at which nothing listens.
func deadAddress(t *testing.T) string {
	l := listen(t, func(*net.TCPConn) {})
	l.Close()
	return l.Addr().String()
}

// startPeer starts a node that opens tunnels, to the given address whatever address is asked for.
func startPeer(t *testing.T, name, reaches string) (Peer, *Server) {
	s := &Server{Log: quietLog(), Panics: recovery.Recoverer{Log: quietLog()}, Allowed: func(Target, bool) bool { return true }}
	h := s.Handler()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		query := r.URL.Query()
		query.Set("address", reaches)
		r.URL.RawQuery = query.Encode()
		h.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	return Peer{Name: name, Address: server.Listener.Addr().String()}, s
}

func newPaths(t *testing.T, c clock.Clock, peers ...Peer) *Paths {
	p, err := New(Options{Clock: c, Log: quietLog(), Peers: func() []Peer { return append([]Peer(nil), peers...) }, Panics: recovery.Recoverer{Log: quietLog()}})
	quicktest.Assert(t, err, quicktest.IsNil)
	return p
}

func targetAt(address string) Target {
	return Target{fleet.Incarnation{ID: "r", StartedUnixMs: 1}, address}
}

func echo(conn *net.TCPConn) {
	defer conn.Close()
	_, _ = io.Copy(conn, conn)
}

// Guards against a replica that counts as unreachable because only this node's own path to it is lost.
func TestReplicaIsReachedThroughAnotherNode(t *testing.T) {
	c := quicktest.New(t)
	replica := listen(t, echo)
	peer, _ := startPeer(t, "b", replica.Addr().String())
	now := clock.NewManual(time.Hour)
	p, to := newPaths(t, now, peer), targetAt(deadAddress(t))
	conn, err := p.Dial(t.Context(), to, testRequest)
	c.Assert(err, quicktest.IsNil)
	defer conn.Close()
	c.Check(conn.Through, quicktest.Equals, "b")
	_, lost := p.Lost(to)
	c.Check(lost, quicktest.IsTrue)
	_, err = io.WriteString(conn, "ping")
	c.Assert(err, quicktest.IsNil)
	buffer := make([]byte, 4)
	_, err = io.ReadFull(conn, buffer)
	c.Assert(err, quicktest.IsNil)
	c.Check(string(buffer), quicktest.Equals, "ping")
}

// Guards against tunnels where the direct path works.
func TestDirectPathIsUsedWhereItWorks(t *testing.T) {
	c := quicktest.New(t)
	replica := listen(t, echo)
	asked := atomic.Int64{}
	peer := Peer{Name: "b", Address: listen(t, func(conn *net.TCPConn) { asked.Add(1); conn.Close() }).Addr().String()}
	p := newPaths(t, clock.NewManual(time.Hour), peer)
	request := testRequest
	request.PeerDelay = time.Second
	conn, err := p.Dial(t.Context(), targetAt(replica.Addr().String()), request)
	c.Assert(err, quicktest.IsNil)
	conn.Close()
	c.Check(conn.Through, quicktest.Equals, "")
	c.Check(asked.Load(), quicktest.Equals, int64(0))
}

// Guards against an answer that looks complete although the node between, or the replica, broke it off.
func TestEndOfATunnelTellsHowTheReplicaEnded(t *testing.T) {
	for name, test := range map[string]struct {
		end  func(*net.TCPConn)
		want error
	}{
		"the replica closes": {func(conn *net.TCPConn) { conn.Close() }, io.EOF},
		"the replica resets": {func(conn *net.TCPConn) { _ = conn.SetLinger(0); conn.Close() }, syscall.ECONNRESET},
	} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			replica := listen(t, func(conn *net.TCPConn) {
				buffer := make([]byte, 4)
				_, _ = io.ReadFull(conn, buffer)
				_, _ = conn.Write([]byte("part"))
				time.Sleep(50 * time.Millisecond) // A reset may overtake data that haven't been read.
				test.end(conn)
			})
			peer, _ := startPeer(t, "b", replica.Addr().String())
			conn, err := newPaths(t, clock.NewManual(time.Hour), peer).Dial(t.Context(), targetAt(deadAddress(t)), testRequest)
			c.Assert(err, quicktest.IsNil)
			defer conn.Close()
			_, err = io.WriteString(conn, "send")
			c.Assert(err, quicktest.IsNil)
			got, err := io.ReadAll(conn)
			c.Check(string(got), quicktest.Equals, "part")
			if test.want == io.EOF {
				c.Check(err, quicktest.IsNil)
			} else {
				c.Check(errors.Is(err, test.want), quicktest.IsTrue, quicktest.Commentf("%v", err))
				c.Check(errors.Is(err, ErrTunnelLost), quicktest.IsFalse)
			}
		})
	}
	t.Run("the node between ends", func(t *testing.T) {
		c := quicktest.New(t)
		peer := Peer{Name: "b", Address: listen(t, func(conn *net.TCPConn) {
			_, _ = conn.Read(make([]byte, 4096))
			_, _ = io.WriteString(conn, "HTTP/1.1 101 Switching Protocols\r\n\r\n\x00\x04part")
			conn.Close()
		}).Addr().String()}
		conn, err := newPaths(t, clock.NewManual(time.Hour), peer).Dial(t.Context(), targetAt(deadAddress(t)), testRequest)
		c.Assert(err, quicktest.IsNil)
		defer conn.Close()
		got, err := io.ReadAll(conn)
		c.Check(string(got), quicktest.Equals, "part")
		c.Check(errors.Is(err, io.ErrUnexpectedEOF), quicktest.IsTrue, quicktest.Commentf("%v", err))
		c.Check(errors.Is(err, ErrTunnelLost), quicktest.IsTrue, quicktest.Commentf("%v", err))
	})
}

// Guards against replicas that go on with a request whose client has left: the connection to the replica ends with the tunnel.
func TestReplicaSeesThatTheTunnelIsClosed(t *testing.T) {
	c := quicktest.New(t)
	ended := make(chan error, 1)
	replica := listen(t, func(conn *net.TCPConn) {
		_, err := io.ReadAll(conn)
		ended <- err
	})
	peer, server := startPeer(t, "b", replica.Addr().String())
	conn, err := newPaths(t, clock.NewManual(time.Hour), peer).Dial(t.Context(), targetAt(deadAddress(t)), testRequest)
	c.Assert(err, quicktest.IsNil)
	_, err = io.WriteString(conn, "request")
	c.Assert(err, quicktest.IsNil)
	conn.Close()
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Fatal("the connection to the replica is still open")
	}
	for end := time.Now().Add(5 * time.Second); server.Open() > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	c.Check(server.Open(), quicktest.Equals, int64(0))
}

// Guards against a replica that counts as ended because this node's own connections to it are refused.
func TestRefusalIsConfirmedByAnotherNode(t *testing.T) {
	c := quicktest.New(t)
	dead := deadAddress(t)
	refuses, _ := startPeer(t, "b", dead)
	silent := Peer{Name: "c", Address: listen(t, func(conn *net.TCPConn) { _, _ = io.ReadAll(conn) }).Addr().String()}
	short := testRequest
	short.Timeout = 300 * time.Millisecond
	for _, test := range []struct {
		name               string
		peers              []Peer
		confirmed, refused bool
	}{
		{"no other node", nil, true, true},
		{"another node", []Peer{refuses}, true, true},
		{"a node that doesn't answer", []Peer{silent}, false, false},
		{"a node that has ended", []Peer{{Name: "d", Address: dead}}, false, false},
		{"one of two nodes answers", []Peer{silent, refuses}, true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := newPaths(t, clock.NewManual(time.Hour), test.peers...).Dial(t.Context(), targetAt(dead), short)
			c.Check(errors.Is(err, syscall.ECONNREFUSED), quicktest.Equals, test.refused, quicktest.Commentf("%v", err))
			c.Check(errors.Is(err, ErrUnconfirmed), quicktest.Equals, !test.confirmed, quicktest.Commentf("%v", err))
		})
	}
}

// Guards against an ended replica that counts as unreachable because this node's own path to it hangs, and against the opposite.
func TestRefusalFoundByAnotherNode(t *testing.T) {
	refused, unreached, gone := PeerError{"b", errPeerRefused}, PeerError{"c", errPeerNotReached}, PeerError{"d", syscall.ECONNREFUSED}
	for _, test := range []struct {
		direct error
		peers  []PeerError
		want   bool
	}{
		{context.DeadlineExceeded, []PeerError{refused}, true},
		{context.DeadlineExceeded, []PeerError{gone, refused}, true},
		{nil, []PeerError{refused}, true},
		{context.DeadlineExceeded, []PeerError{refused, unreached}, false},
		{context.DeadlineExceeded, []PeerError{gone}, false},
		{syscall.ECONNREFUSED, nil, false},
	} {
		failure := &DialError{Direct: test.direct, Peers: test.peers}
		quicktest.Check(t, failure.RefusedElsewhere(), quicktest.Equals, test.want, quicktest.Commentf("%v", failure))
	}
}

// Guards against a node that goes on to use tunnels after its own path works again, and against a direct connection before each of them.
func TestLostPathIsTriedAgain(t *testing.T) {
	c := quicktest.New(t)
	replica := listen(t, echo)
	address := deadAddress(t)
	peer, _ := startPeer(t, "b", replica.Addr().String())
	now := clock.NewManual(time.Hour)
	p, to := newPaths(t, now, peer), targetAt(address)
	dial := func() string {
		conn, err := p.Dial(t.Context(), to, testRequest)
		c.Assert(err, quicktest.IsNil)
		conn.Close()
		return conn.Through
	}
	c.Assert(dial(), quicktest.Equals, "b")
	back, err := net.Listen("tcp", address)
	c.Assert(err, quicktest.IsNil)
	defer back.Close()
	c.Check(dial(), quicktest.Equals, "b") // Not tried again yet.
	now.Advance(trialInterval)
	dial()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if _, lost := p.Lost(to); !lost {
			break
		}
	}
	_, lost := p.Lost(to)
	c.Check(lost, quicktest.IsFalse)
	c.Check(dial(), quicktest.Equals, "")
}

// Guards against a node that counts as cut off because some replicas have ended, or that doesn't know that it is.
func TestMostLost(t *testing.T) {
	c := quicktest.New(t)
	now := clock.NewManual(time.Hour)
	p := newPaths(t, now)
	note := func(id string, lost bool) {
		to := Target{fleet.Incarnation{ID: id, StartedUnixMs: 1}, "a"}
		p.begin(to)
		if lost {
			p.directFailed(to, "b", now.Now(), errors.New("timeout"))
		} else {
			p.directOpened(to)
		}
	}
	note("a", true)
	note("b", true)
	c.Check(p.MostLost(), quicktest.IsFalse)
	note("c", true)
	c.Check(p.MostLost(), quicktest.IsTrue)
	for _, id := range []string{"d", "e", "f"} {
		note(id, false)
	}
	c.Check(p.MostLost(), quicktest.IsFalse)
	now.Advance(pathMemory + time.Millisecond)
	c.Check(p.MostLost(), quicktest.IsFalse)
}

// Guards against a replica that isn't reached because the other nodes are gone, though this node's own path, which was lost, works again.
func TestLostPathIsTriedWhereNoOtherNodeHelps(t *testing.T) {
	for name, gone := range map[string]func(*net.TCPConn){
		"the node ends":    func(conn *net.TCPConn) { conn.Close() },
		"the node freezes": func(conn *net.TCPConn) { _, _ = io.ReadAll(conn) },
	} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			replica := listen(t, echo)
			address := deadAddress(t)
			peer, _ := startPeer(t, "b", replica.Addr().String())
			var present atomic.Pointer[Peer]
			present.Store(&peer)
			p := newPaths(t, clock.NewManual(time.Hour))
			p.opt.Peers = func() []Peer { return []Peer{*present.Load()} }
			conn, err := p.Dial(t.Context(), targetAt(address), testRequest)
			c.Assert(err, quicktest.IsNil)
			conn.Close()
			c.Assert(conn.Through, quicktest.Equals, "b")

			back, err := net.Listen("tcp", address)
			c.Assert(err, quicktest.IsNil)
			defer back.Close()
			present.Store(&Peer{Name: "b", Address: listen(t, gone).Addr().String()})
			conn, err = p.Dial(t.Context(), targetAt(address), testRequest)
			c.Assert(err, quicktest.IsNil)
			conn.Close()
			c.Check(conn.Through, quicktest.Equals, "")
		})
	}
}

// Guards against connections that stay open after the one that was used.
func TestClientThatLeavesEndsTheDial(t *testing.T) {
	c := quicktest.New(t)
	silent := Peer{Name: "c", Address: listen(t, func(conn *net.TCPConn) { _, _ = io.ReadAll(conn) }).Addr().String()}
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, cancel)
	started := time.Now()
	_, err := newPaths(t, clock.NewManual(time.Hour), silent).Dial(ctx, targetAt(deadAddress(t)), testRequest)
	c.Check(errors.Is(err, context.Canceled), quicktest.IsTrue)
	c.Check(time.Since(started) < time.Second, quicktest.IsTrue)
}

// Guards against connections that fail because the nodes that were asked first decline at once, while another one reaches the replica.
func TestNodesThatDeclineDoNotCount(t *testing.T) {
	c := quicktest.New(t)
	replica := listen(t, echo)
	address := deadAddress(t)
	var peers []Peer
	for _, name := range []string{"b", "c", "d", "e"} {
		peer, server := startPeer(t, name, replica.Addr().String())
		server.Allowed = func(Target, bool) bool { return false }
		peer.Near = true
		peers = append(peers, peer)
	}
	far, _ := startPeer(t, "far", replica.Addr().String())
	conn, err := newPaths(t, clock.NewManual(time.Hour), append(peers, far)...).Dial(t.Context(), targetAt(address), testRequest)
	c.Assert(err, quicktest.IsNil)
	conn.Close()
	c.Check(conn.Through, quicktest.Equals, "far")
}

// Guards against connections that fail because nodes are asked again which don't reach the replica either, while another one does.
func TestNodesThatReachTheReplicaAreAskedFirst(t *testing.T) {
	c := quicktest.New(t)
	replica := listen(t, echo)
	address := deadAddress(t)
	var peers []Peer
	for _, name := range []string{"b", "c", "d", "e"} {
		peer, _ := startPeer(t, name, address)
		peer.Near = true
		peers = append(peers, peer)
	}
	far, _ := startPeer(t, "far", replica.Addr().String())
	p := newPaths(t, clock.NewManual(time.Hour), append(peers, far)...)
	dial := func() (string, error) {
		conn, err := p.Dial(t.Context(), targetAt(address), testRequest)
		if err != nil {
			return "", err
		}
		conn.Close()
		return conn.Through, nil
	}
	failed := 0
	for _, err := dial(); err != nil; _, err = dial() {
		failed++
		c.Assert(failed < 3, quicktest.IsTrue, quicktest.Commentf("%v", err))
	}
	for range 5 {
		through, err := dial()
		c.Assert(err, quicktest.IsNil)
		c.Check(through, quicktest.Equals, "far")
	}
}

// Guards against a replica that counts as lost because all nodes that were asked lack the same paths: a failure domain that is cut off.
func TestNodeOfAnotherDomainIsAskedAboutTheReplica(t *testing.T) {
	c := quicktest.New(t)
	replica := listen(t, echo)
	address := deadAddress(t)
	var peers []Peer
	for _, name := range []string{"b", "c", "d", "e"} {
		peer, _ := startPeer(t, name, address)
		peer.Near = true
		peers = append(peers, peer)
	}
	far, _ := startPeer(t, "far", replica.Addr().String())
	request := testRequest
	request.Control = true
	for range 5 {
		conn, err := newPaths(t, clock.NewManual(time.Hour), append(peers, far)...).Dial(t.Context(), targetAt(address), request)
		c.Assert(err, quicktest.IsNil)
		conn.Close()
		c.Check(conn.Through, quicktest.Equals, "far")
	}
}

// Guards against a replica that counts as unreachable because a node that has lost its own paths too was asked.
func TestNodeWithoutPathsConfirmsNothing(t *testing.T) {
	c := quicktest.New(t)
	dead := deadAddress(t)
	for _, pathsLost := range []bool{false, true} {
		peer, server := startPeer(t, "b", dead)
		server.PathsLost = func() bool { return pathsLost }
		_, err := newPaths(t, clock.NewManual(time.Hour), peer).Dial(t.Context(), targetAt(dead), testRequest)
		c.Check(errors.Is(err, ErrUnconfirmed), quicktest.Equals, pathsLost, quicktest.Commentf("%v", err))
		c.Check(errors.Is(err, syscall.ECONNREFUSED), quicktest.Equals, !pathsLost, quicktest.Commentf("%v", err))
	}
}

// Guards against a node that has stopped answering and is asked first again and again.
func TestNodeThatDoesNotAnswerIsAskedLast(t *testing.T) {
	c := quicktest.New(t)
	replica := listen(t, echo)
	silent := Peer{Name: "silent", Near: true, Address: listen(t, func(conn *net.TCPConn) { _, _ = io.ReadAll(conn) }).Addr().String()}
	sound, _ := startPeer(t, "sound", replica.Addr().String())
	p, to := newPaths(t, clock.NewManual(time.Hour), silent, sound), targetAt(deadAddress(t))
	request := testRequest
	request.Timeout, request.PeerDelay = 100*time.Millisecond, 200*time.Millisecond
	_, err := p.Dial(t.Context(), to, request)
	c.Assert(err, quicktest.IsNotNil)
	for end := time.Now().Add(5 * time.Second); p.peersFor(to)[0].Name != "sound" && time.Now().Before(end); time.Sleep(time.Millisecond) {
	}
	conn, err := p.Dial(t.Context(), to, request)
	c.Assert(err, quicktest.IsNil)
	conn.Close()
	c.Check(conn.Through, quicktest.Equals, "sound")
}

// heldConn is a connection whose data are read some time after they have arrived, as by a process that was stopped.
type heldConn struct {
	net.Conn
	until time.Time
}

func (c heldConn) Read(p []byte) (int, error) {
	time.Sleep(time.Until(c.until))
	return c.Conn.Read(p)
}

// Guards against an order that a node which was stopped for a while delivers after its sender has given it up.
func TestDataReadAfterTheLifetimeAreDropped(t *testing.T) {
	for _, late := range []bool{false, true} {
		c := quicktest.New(t)
		received := make(chan struct{})
		var data string
		replica, err := net.Dial("tcp", listen(t, func(conn *net.TCPConn) {
			buffer := make([]byte, 16)
			n, _ := conn.Read(buffer)
			data = string(buffer[:n])
			close(received)
		}).Addr().String())
		c.Assert(err, quicktest.IsNil)
		node, sender := net.Pipe()
		now := time.Now()
		held, until := heldConn{node, now}, now.Add(10*time.Second)
		if late {
			until = now.Add(10 * time.Millisecond)
			held.until = until.Add(time.Millisecond)
		}
		go func() {
			_, _ = io.WriteString(sender, "order")
			<-received
			_ = sender.Close()
		}()
		copyToReplica(replica, held, until)
		<-received
		c.Check(data, quicktest.Equals, map[bool]string{false: "order", true: ""}[late])
	}
}

// Guards against connections that fail, and replicas that count as lost, because only nodes of this node's failure domain are asked, which
// has lost its paths as a whole.
func TestNodesOfOtherDomainsAreAskedAtOnce(t *testing.T) {
	c := quicktest.New(t)
	replica := listen(t, echo)
	address := deadAddress(t)
	var peers []Peer
	for i := range 20 {
		peer, _ := startPeer(t, fmt.Sprint("near", i), address)
		peer.Near = true
		peers = append(peers, peer)
	}
	far, _ := startPeer(t, "far", replica.Addr().String())
	p := newPaths(t, clock.NewManual(time.Hour), append(peers, far)...)
	for i := range 5 {
		to := targetAt(address)
		to.ID = fmt.Sprint("r", i)
		conn, err := p.Dial(t.Context(), to, testRequest)
		c.Assert(err, quicktest.IsNil)
		conn.Close()
		c.Check(conn.Through, quicktest.Equals, "far")
	}
}

// Guards against a path that counts as lost because an older direct connection failed after a newer one had opened.
func TestDirectConnectionThatFailsLateSaysNothingAboutTheTimeAfterItBegan(t *testing.T) {
	c := quicktest.New(t)
	replica := listen(t, echo)
	peer, _ := startPeer(t, "b", replica.Addr().String())
	now := clock.NewManual(time.Hour)
	p := newPaths(t, now, peer)
	to := targetAt(replica.Addr().String())
	hang := make(chan struct{})
	var calls atomic.Int64
	p.opt.Direct = func(ctx context.Context, address string) (net.Conn, error) {
		if calls.Add(1) == 1 {
			<-hang
			return nil, context.DeadlineExceeded
		}
		return net.Dial("tcp", address)
	}
	first, err := p.Dial(t.Context(), to, testRequest)
	c.Assert(err, quicktest.IsNil)
	first.Close()
	c.Assert(first.Through, quicktest.Equals, "b")
	now.Advance(50 * time.Millisecond)
	second, err := p.Dial(t.Context(), to, Request{Timeout: testRequest.Timeout, PeerDelay: time.Second, Lifetime: testRequest.Lifetime})
	c.Assert(err, quicktest.IsNil)
	second.Close()
	c.Assert(second.Through, quicktest.Equals, "")
	close(hang)
	time.Sleep(100 * time.Millisecond)
	_, lost := p.Lost(to)
	c.Check(lost, quicktest.IsFalse)
}

// Guards against orders that were given up and are sent to the replica later by a node that stood still meanwhile.
func TestBytesOfATunnelThatHasEndedAreNotPassedOn(t *testing.T) {
	for name, test := range map[string]struct {
		until time.Duration
		reset bool
	}{"reset by the other node": {time.Minute, true}, "its lifetime has ended": {-time.Millisecond, false}} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			got := make(chan int64, 1)
			replica := listen(t, func(conn *net.TCPConn) {
				n, _ := io.Copy(io.Discard, conn)
				got <- n
			})
			accepted := make(chan net.Conn, 1)
			node := listen(t, func(conn *net.TCPConn) { accepted <- conn })
			other, err := net.Dial("tcp", node.Addr().String())
			c.Assert(err, quicktest.IsNil)
			defer other.Close()
			held := <-accepted
			defer held.Close()
			_, err = io.WriteString(other, "order")
			c.Assert(err, quicktest.IsNil)
			if test.reset {
				c.Assert(other.(*net.TCPConn).SetLinger(0), quicktest.IsNil)
				other.Close()
			}
			time.Sleep(50 * time.Millisecond) // This node stands still.
			toReplica, err := net.Dial("tcp", replica.Addr().String())
			c.Assert(err, quicktest.IsNil)
			for _, conn := range []net.Conn{held, toReplica} {
				c.Assert(conn.SetDeadline(time.Now().Add(test.until)), quicktest.IsNil)
			}
			copyToReplica(toReplica, held, time.Now().Add(test.until))
			c.Check(<-got, quicktest.Equals, int64(0))
		})
	}
}

// Guards against a node that takes what it can't reach for lost although none of its own connections opens, while it has found no other node
// that reaches the replicas.
func TestNoneOpens(t *testing.T) {
	c := quicktest.New(t)
	now := clock.NewManual(time.Hour)
	replica := listen(t, echo)
	dead := deadAddress(t)
	p := newPaths(t, now)
	cut := false
	p.opt.Direct = func(context.Context, string) (net.Conn, error) {
		if cut {
			return nil, syscall.ECONNREFUSED
		}
		return net.Dial("tcp", replica.Addr().String())
	}
	dial := func(id string) {
		to := targetAt(dead)
		to.ID = id
		if conn, err := p.Dial(t.Context(), to, testRequest); err == nil {
			conn.Close()
		}
		now.Advance(time.Millisecond)
	}
	dial("a")
	cut = true
	dial("b")
	dial("c")
	c.Check(p.NoneOpens(), quicktest.IsFalse)
	dial("d")
	c.Check(p.NoneOpens(), quicktest.IsTrue)
	cut = false
	dial("a")
	c.Check(p.NoneOpens(), quicktest.IsFalse)
	cut = true
	dial("a")
	c.Check(p.NoneOpens(), quicktest.IsTrue)
	now.Advance(pathMemory + time.Millisecond)
	c.Check(p.NoneOpens(), quicktest.IsFalse)
}

// Guards against connections that cost the choice among hundreds of other nodes although none is needed.
func TestNodesAreChosenOnlyWhereTheyAreNeeded(t *testing.T) {
	c := quicktest.New(t)
	replica := listen(t, echo)
	p := newPaths(t, clock.NewManual(time.Hour))
	chosen := 0
	p.opt.Peers = func() []Peer { chosen++; return nil }
	request := testRequest
	request.PeerDelay = time.Second
	conn, err := p.Dial(t.Context(), targetAt(replica.Addr().String()), request)
	c.Assert(err, quicktest.IsNil)
	conn.Close()
	c.Check(chosen, quicktest.Equals, 0)
	_, err = p.Dial(t.Context(), targetAt(deadAddress(t)), request)
	c.Check(errors.Is(err, syscall.ECONNREFUSED), quicktest.IsTrue)
	c.Check(errors.Is(err, ErrUnconfirmed), quicktest.IsFalse)
	c.Check(chosen, quicktest.Equals, 1)
}

// Guards against lost replicas whose loss isn't confirmed because nodes that don't answer are asked before one that does, for each replica anew.
func TestNodesThatDoNotAnswerAreAskedLastForAllReplicas(t *testing.T) {
	c := quicktest.New(t)
	address := deadAddress(t)
	var peers []Peer
	for i := range 3 {
		peers = append(peers, Peer{Name: fmt.Sprint("silent", i), Near: true, Address: listen(t, func(conn *net.TCPConn) { _, _ = io.ReadAll(conn) }).Addr().String()})
	}
	sound, _ := startPeer(t, "sound", address)
	sound.Near = true
	p := newPaths(t, clock.NewManual(time.Hour), append(peers, sound)...)
	request := testRequest
	request.Control, request.Timeout, request.PeerDelay = true, 200*time.Millisecond, 20*time.Millisecond
	confirmed := 0
	for i := range 6 {
		to := targetAt(address)
		to.ID = fmt.Sprint("r", i)
		if _, err := p.Dial(t.Context(), to, request); !errors.Is(err, ErrUnconfirmed) {
			confirmed++
		}
		time.Sleep(20 * time.Millisecond) // The nodes that haven't answered are noted.
	}
	c.Check(confirmed >= 5, quicktest.IsTrue, quicktest.Commentf("%d of 6", confirmed))
}

// Guards against a node that counts as silent because a client left before it could answer.
func TestNodeThatWasNotWaitedForIsNotSilent(t *testing.T) {
	c := quicktest.New(t)
	slow := Peer{Name: "slow", Near: true, Address: listen(t, func(conn *net.TCPConn) { _, _ = io.ReadAll(conn) }).Addr().String()}
	far := Peer{Name: "far", Address: slow.Address}
	p, to := newPaths(t, clock.NewManual(time.Hour), slow, far), targetAt(deadAddress(t))
	request := testRequest
	request.PeerDelay = time.Second
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(30*time.Millisecond, cancel)
	_, err := p.Dial(ctx, to, request)
	c.Assert(errors.Is(err, context.Canceled), quicktest.IsTrue)
	time.Sleep(50 * time.Millisecond)
	c.Check(p.peersFor(to)[0].Name, quicktest.Equals, "slow")
}

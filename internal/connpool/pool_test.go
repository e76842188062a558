package connpool

import (
	"math/rand/v2"
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"golang.org/x/sys/unix"

	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/internal/fleet"
)

// peers opens loopback connections and holds their other ends.
type peers struct {
	t        testing.TB
	listener net.Listener
}

func newPeers(t testing.TB) *peers {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	quicktest.Assert(t, err, quicktest.IsNil)
	t.Cleanup(func() { l.Close() })
	return &peers{t, l}
}

// open returns both ends of a connection.
func (p *peers) open() (here, there *net.TCPConn) {
	conn, err := net.Dial("tcp4", p.listener.Addr().String())
	quicktest.Assert(p.t, err, quicktest.IsNil)
	other, err := p.listener.Accept()
	quicktest.Assert(p.t, err, quicktest.IsNil)
	p.t.Cleanup(func() { conn.Close(); other.Close() })
	return conn.(*net.TCPConn), other.(*net.TCPConn)
}

func testTarget(n int) Target {
	return Target{fleet.Incarnation{ID: "i-" + strconv.Itoa(n), StartedUnixMs: 1}, "127.0.0.1:1"}
}

func newTestPool(t testing.TB, maxIdle int) (*Pool, *clock.Manual) {
	c := clock.NewManual(time.Hour)
	p, err := New(Options{Clock: c, MaxIdle: maxIdle})
	quicktest.Assert(t, err, quicktest.IsNil)
	return p, c
}

// awaitReadable waits until the kernel has passed on what the other end did, without taking its error.
func awaitReadable(t testing.TB, conn *net.TCPConn) {
	raw, err := conn.SyscallConn()
	quicktest.Assert(t, err, quicktest.IsNil)
	ready := 0
	err = raw.Control(func(fd uintptr) {
		ready, _ = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 10_000)
	})
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Assert(t, ready, quicktest.Equals, 1)
}

// Guards against a request that is written to a connection which the replica has closed, reset, or sent bytes on that belong to no request.
func TestConnectionsThatAreNotSilentAreNotUsed(t *testing.T) {
	for name, test := range map[string]struct {
		do   func(there *net.TCPConn)
		want Reason
	}{
		"closed":           {func(there *net.TCPConn) { there.Close() }, ReasonEnded},
		"half-closed":      {func(there *net.TCPConn) { _ = there.CloseWrite() }, ReasonEnded},
		"reset":            {func(there *net.TCPConn) { _ = there.SetLinger(0); there.Close() }, ReasonReset},
		"bytes":            {func(there *net.TCPConn) { _, _ = there.Write([]byte("HTTP")) }, ReasonLeftover},
		"bytes and closed": {func(there *net.TCPConn) { _, _ = there.Write([]byte("H")); there.Close() }, ReasonLeftover},
	} {
		for _, when := range []string{"before Put", "before Take", "before Sweep"} {
			t.Run(name+" "+when, func(t *testing.T) {
				c := quicktest.New(t)
				pool, clk := newTestPool(t, 10)
				here, there := newPeers(t).open()
				if when == "before Put" {
					test.do(there)
					awaitReadable(t, here)
				}
				pool.Put(NewConn(testTarget(1), here), Usage{IdleSince: clk.Now(), KeepAlive: 10 * time.Second, Stated: true, MaxPerTarget: 2})
				if when != "before Put" {
					c.Assert(pool.Idle(), quicktest.Equals, 1)
					test.do(there)
					awaitReadable(t, here)
				}
				if when == "before Sweep" {
					clk.Advance(checkInterval)
					pool.Sweep(func(Target) Reason { return "" })
				} else {
					c.Check(pool.Take(testTarget(1)), quicktest.IsNil)
				}
				c.Check(pool.Idle(), quicktest.Equals, 0)
				c.Check(pool.TakeStats().Closed, quicktest.DeepEquals, map[Reason]int{test.want: 1})
				_, err := here.Write([]byte("x"))
				c.Check(err, quicktest.ErrorIs, net.ErrClosed)
			})
		}
	}
}

// Guards against a connection that is used when the replica may be closing it, and against one that is given up long before.
func TestIdleTimeIsUsedAlmostWhole(t *testing.T) {
	const ms = time.Millisecond
	for name, test := range map[string]struct {
		usage         Usage
		usable, ended time.Duration // After the time since which it has been idle.
	}{
		"stated":              {Usage{KeepAlive: 15 * time.Second, Stated: true}, 13_999 * ms, 14_000 * ms},
		"stated, two seconds": {Usage{KeepAlive: 2 * time.Second, Stated: true}, 999 * ms, 1000 * ms},
		"none stated":         {Usage{}, 799 * ms, 800 * ms},
		"one second":          {Usage{KeepAlive: time.Second, Stated: true}, -1, 0},
		"no time":             {Usage{Stated: true}, -1, 0},
	} {
		for _, swept := range []bool{false, true} {
			t.Run(name+", swept "+strconv.FormatBool(swept), func(t *testing.T) {
				c := quicktest.New(t)
				pool, clk := newTestPool(t, 10)
				here, _ := newPeers(t).open()
				usage := test.usage
				usage.IdleSince, usage.MaxPerTarget = clk.Now(), 1
				pool.Put(NewConn(testTarget(1), here), usage)
				if test.usable >= 0 {
					clk.Advance(test.usable)
					conn := pool.Take(testTarget(1))
					c.Assert(conn, quicktest.IsNotNil)
					conn.idleSince = clk.Now().Add(-test.usable)
					pool.add(conn, 1, clk.Now())
					clk.Advance(test.ended - test.usable)
				}
				if swept {
					pool.Sweep(func(Target) Reason { return "" })
					c.Check(pool.Idle(), quicktest.Equals, 0)
				}
				c.Check(pool.Take(testTarget(1)), quicktest.IsNil)
				c.Check(pool.TakeStats().Closed, quicktest.DeepEquals, map[Reason]int{ReasonExpired: 1})
			})
		}
	}
}

// Guards against an idle time that is forgotten because one response on the connection doesn't state it.
func TestIdleTimeOfAnEarlierResponseHolds(t *testing.T) {
	c := quicktest.New(t)
	pool, clk := newTestPool(t, 10)
	here, _ := newPeers(t).open()
	conn := NewConn(testTarget(1), here)
	pool.Put(conn, Usage{IdleSince: clk.Now(), KeepAlive: 4 * time.Second, Stated: true})
	c.Assert(pool.Take(testTarget(1)), quicktest.Equals, conn)
	pool.Put(conn, Usage{IdleSince: clk.Now()})
	clk.Advance(2900 * time.Millisecond)
	c.Assert(pool.Take(testTarget(1)), quicktest.Equals, conn)
}

// Guards against idle connections that take up what replicas accept, or this machine's descriptors.
func TestBounds(t *testing.T) {
	c := quicktest.New(t)
	pool, clk := newTestPool(t, 6)
	p := newPeers(t)
	put := func(target, perTarget int) *Conn {
		here, _ := p.open()
		conn := NewConn(testTarget(target), here)
		clk.Advance(time.Millisecond)
		pool.Put(conn, Usage{IdleSince: clk.Now(), KeepAlive: time.Minute, Stated: true, MaxPerTarget: perTarget})
		return conn
	}
	put(1, 1)
	newest := put(1, 1)
	c.Check(pool.Idle(), quicktest.Equals, 1)
	for range 10 {
		put(2, 1000)
	}
	c.Check(pool.Idle(), quicktest.Equals, 1+MaxPerTarget)
	put(3, 0)
	put(4, 0) // The connection to the first target has been idle for longest.
	c.Check(pool.Idle(), quicktest.Equals, 6)
	c.Check(pool.Take(testTarget(1)), quicktest.IsNil)
	_, err := newest.Write([]byte("x"))
	c.Check(err, quicktest.ErrorIs, net.ErrClosed)
	c.Check(pool.TakeStats().Closed, quicktest.DeepEquals, map[Reason]int{ReasonBound: 1 + 10 - MaxPerTarget + 1})

	none, clk := newTestPool(t, 0)
	here, _ := p.open()
	none.Put(NewConn(testTarget(1), here), Usage{IdleSince: clk.Now(), KeepAlive: time.Minute, Stated: true})
	c.Check(none.Take(testTarget(1)), quicktest.IsNil)
}

// Guards against connections to a replica that has ended or must not be asked, and against a request for one start of a replica that goes to
// another.
func TestConnectionsOfATargetAreDropped(t *testing.T) {
	c := quicktest.New(t)
	pool, clk := newTestPool(t, 10)
	p := newPeers(t)
	put := func(target Target) {
		here, _ := p.open()
		pool.Put(NewConn(target, here), Usage{IdleSince: clk.Now(), KeepAlive: time.Minute, Stated: true, MaxPerTarget: 2})
	}
	restarted := testTarget(1)
	restarted.StartedUnixMs++
	put(testTarget(1))
	c.Check(pool.Take(restarted), quicktest.IsNil)
	put(testTarget(2))
	put(testTarget(2))
	pool.Sweep(func(target Target) Reason {
		if target == testTarget(1) {
			return ReasonDraining
		}
		return ""
	})
	c.Check(pool.Idle(), quicktest.Equals, 2)
	pool.Avoid(testTarget(2), time.Second, ReasonSilent)
	c.Check(pool.Idle(), quicktest.Equals, 0)
	put(testTarget(2))
	c.Check(pool.Idle(), quicktest.Equals, 0)
	clk.Advance(time.Second)
	put(testTarget(2))
	c.Check(pool.Idle(), quicktest.Equals, 1)
	c.Check(pool.TakeStats().Closed, quicktest.DeepEquals, map[Reason]int{ReasonDraining: 1, ReasonSilent: 2, ReasonBound: 1})
}

// Guards against a pool that hardly saves connections at the rates at which one of 73 nodes asks each of 33 heads: 421 streams per second in
// all, that last 1.5 s, with idle times of 15 s. Idle times of 5 s or less can't save as much at this rate.
func TestReuseAtTheRateOfOneNodeOfMany(t *testing.T) {
	c := quicktest.New(t)
	pool, clk := newTestPool(t, DefaultMaxIdle)
	p := newPeers(t)
	random := rand.New(rand.NewPCG(1, 1))
	const heads, tick, lasts = 33, 10 * time.Millisecond, 1500 * time.Millisecond
	const perSecond = 421.0 / 73
	type running struct {
		conn *Conn
		end  clock.Time
	}
	var streams []running
	requests, opened := 0, 0
	for range int(2 * time.Minute / tick) {
		clk.Advance(tick)
		for len(streams) > 0 && streams[0].end <= clk.Now() {
			pool.Put(streams[0].conn, Usage{IdleSince: clk.Now(), KeepAlive: 15 * time.Second, Stated: true, MaxPerTarget: 670 / 73})
			streams = streams[1:]
		}
		if random.Float64() < perSecond*tick.Seconds() {
			target := testTarget(random.IntN(heads))
			conn := pool.Take(target)
			if conn == nil {
				here, _ := p.open()
				conn = NewConn(target, here)
				opened++
			}
			requests++
			streams = append(streams, running{conn, clk.Now().Add(lasts)})
		}
		pool.Sweep(func(Target) Reason { return "" })
	}
	t.Logf("%d connections for %d requests, %d idle at the end", opened, requests, pool.Idle())
	c.Check(float64(opened) <= 0.35*float64(requests), quicktest.IsTrue)
	c.Check(pool.Idle() <= heads*MaxPerTarget, quicktest.IsTrue)
}

// Guards against a host that is lost without notice and found only when a request has waited for its time limit.
func TestUnacknowledged(t *testing.T) {
	c := quicktest.New(t)
	here, there := newPeers(t).open()
	conn := NewConn(testTarget(1), here)
	_, err := conn.Write([]byte("request"))
	c.Assert(err, quicktest.IsNil)
	for end := time.Now().Add(10 * time.Second); conn.Unacknowledged() && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	c.Check(conn.Unacknowledged(), quicktest.IsFalse)
	// Bytes that no longer fit into the buffers of an end that doesn't read can't be acknowledged.
	c.Assert(here.SetWriteDeadline(time.Now().Add(200*time.Millisecond)), quicktest.IsNil)
	_, err = conn.Write(make([]byte, 64<<20))
	c.Check(err, quicktest.IsNotNil)
	c.Check(conn.Unacknowledged(), quicktest.IsTrue)
	there.Close()
}

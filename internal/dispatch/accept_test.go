package dispatch

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/result"
	"cassiadeal.example/cassiadeal/internal/rules"
	"cassiadeal.example/cassiadeal/internal/schema"
	"cassiadeal.example/cassiadeal/internal/target"
)

// listenWithoutBacklog listens on a free loopback port. The kernel drops connection attempts while one waits to be accepted.
func listenWithoutBacklog(t *testing.T) net.Listener {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), qt.IsNil)
	qt.Assert(t, syscall.Listen(fd, 0), qt.IsNil)
	file := os.NewFile(uintptr(fd), "listener")
	defer func() { _ = file.Close() }()
	l, err := net.FileListener(file)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// Guards against a request that is lost, or reported as run, because its target accepts no connections for a second. It is answered, or
// refused as not run and answered by the same target at the next attempt.
func TestASecondWithoutAcceptLosesNoRequest(t *testing.T) {
	for _, repeatable := range []bool{true, false} {
		t.Run(fmt.Sprintf("repeatable %t", repeatable), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			listener := listenWithoutBacklog(t)
			address := listener.Addr().String()
			var executed atomic.Int32
			gate := make(chan struct{}, 1)
			server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
				w.Header().Set("X-Request-Id", req.Header.Get("X-Request-Id"))
				if req.Method == http.MethodPost {
					executed.Add(1)
				}
				_, _ = io.WriteString(w, `{"incarnation":"i1"}`)
			})}
			go func() { _ = server.Serve(gatedListener{listener, gate}) }()
			defer func() { _ = server.Close() }()
			table := target.New(target.Options{})
			table.SetSpecs([]target.Spec{{ID: "t1", Destination: "service/s", Address: address, MaxQueue: 1, Limits: rules.Limits{Cold: 2, Full: 4}}})
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan struct{})
			go func() { defer close(ended); table.Run(ctx) }()
			defer func() { cancel(); <-ended }()
			run := func() *schema.DispatchEnd {
				slot, err := table.Acquire(ctx, target.SlotRequest{Destination: "service/s"})
				c.Assert(err, qt.IsNil)
				return New(Options{}).Run(ctx, slot, &schema.DispatchRequest{RequestId: "r1", Method: "POST", Path: "/", Body: []byte("{}"),
					Repeatable: repeatable, DeadlineMs: testTimeout.Milliseconds()}, new(receivedAnswer).sink)
			}
			c.Assert(result.Code(run().Code), qt.Equals, result.OK)

			gate <- struct{}{} // No connection is accepted until it is free again.
			for filled := false; !filled; {
				conn, err := net.DialTimeout("tcp", address, 100*time.Millisecond)
				if filled = err != nil; !filled {
					defer func() { _ = conn.Close() }()
				}
			}
			time.AfterFunc(silentTime, func() { <-gate })
			end := run()
			if result.Code(end.Code) != result.OK {
				c.Check(end.NotRun, qt.IsTrue, qt.Commentf("%v", end))
				c.Check(executed.Load(), qt.Equals, int32(1))
				end = run()
			}
			c.Check(result.Code(end.Code), qt.Equals, result.OK, qt.Commentf("%v", end))
			c.Check(executed.Load(), qt.Equals, int32(2))
		})
	}
}

// gatedListener accepts connections while nothing is in the gate.
type gatedListener struct {
	net.Listener
	gate chan struct{}
}

func (l gatedListener) Accept() (net.Conn, error) {
	l.gate <- struct{}{}
	<-l.gate
	return l.Listener.Accept()
}

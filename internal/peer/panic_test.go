package peer

import (
	"bytes"
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"cassiadeal.example/cassiadeal/internal/recovery"
	"cassiadeal.example/cassiadeal/internal/result"
	"cassiadeal.example/cassiadeal/internal/schema"
)

// panickingHandler panics in each RPC, after the given number of chunks.
type panickingHandler struct {
	Handler
	chunks int
}

func (h panickingHandler) Execute(_ context.Context, _ *schema.DispatchRequest, sink func(*schema.DispatchChunk) error) *schema.DispatchEnd {
	for range h.chunks {
		_ = sink(&schema.DispatchChunk{Part: &schema.DispatchChunk_Data{Data: []byte("part")}})
	}
	panic("test")
}

func (h panickingHandler) Config() *schema.Config { panic("test") }

// Guards against an RPC whose handler panics: it ended the process, and all requests of the node without an answer. The caller's node must
// not take the request for one that has not run.
func TestPanicEndsOnlyItsRPC(t *testing.T) {
	for name, test := range map[string]struct {
		request *schema.DispatchRequest
		chunks  int
		code    result.Code
	}{
		"once":         {&schema.DispatchRequest{}, 0, result.OutcomeUnknown},
		"repeatable":   {&schema.DispatchRequest{Repeatable: true}, 0, result.TargetFailed},
		"stream":       {&schema.DispatchRequest{Repeatable: true, Generate: true}, 0, result.StreamIncomplete},
		"begun stream": {&schema.DispatchRequest{Repeatable: true, Generate: true}, 3, result.StreamIncomplete},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			var log bytes.Buffer
			logger := logrus.New()
			logger.SetOutput(&log)
			ctx, stop := context.WithCancel(context.Background())
			done := make(chan error)
			go func() {
				done <- Serve(ctx, listener, panickingHandler{chunks: test.chunks}, recovery.Recoverer{Where: "peer", Log: logger})
			}()
			client := NewClient(listener.Addr(), 10*time.Second)
			callCtx, cancel := context.WithTimeout(ctx, 10*time.Second)
			defer cancel()
			received := 0
			end := client.Dispatch(callCtx, listener.Addr().String(), test.request, func(*schema.DispatchChunk) error { received++; return nil })
			c.Check(result.Code(end.Code), qt.Equals, test.code)
			c.Check(end.NotRun, qt.IsFalse)
			c.Check(received, qt.Equals, test.chunks)
			_, err = client.GetConfig(callCtx, listener.Addr().String())
			c.Check(err, qt.IsNotNil)
			c.Check(callCtx.Err(), qt.IsNil)
			stop()
			c.Check(<-done, qt.IsNil)
			c.Check(log.String(), qt.Contains, "recovered from a panic")
			_ = client.Close()
		})
	}
}

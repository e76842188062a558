package peer

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"cassiadeal.example/cassiadeal/internal/recovery"
	"cassiadeal.example/cassiadeal/internal/result"
	"cassiadeal.example/cassiadeal/internal/schema"
	"cassiadeal.example/cassiadeal/test/faultproxy"
)

const (
	lostAfter = 3500 * time.Millisecond // Default term and margin.
	tokens    = 60
	// dispatchLimit is the deadline of a request; a watchdog must end it before.
	dispatchLimit = 10 * time.Second
)

// fakeNode answers dispatches with tokens, 20 ms apart, after the request's path has been received.
type fakeNode struct {
	Handler
	firstToken time.Duration // Until the first token.
}

func (f fakeNode) Execute(ctx context.Context, _ *schema.DispatchRequest, sink func(*schema.DispatchChunk) error) *schema.DispatchEnd {
	wait := f.firstToken
	for i := range tokens {
		select {
		case <-ctx.Done():
			return &schema.DispatchEnd{Code: int32(result.StreamIncomplete)}
		case <-time.After(wait):
		}
		wait = 20 * time.Millisecond
		token := &schema.TokenEvent{Offset: uint64(i), Text: "t"}
		if sink(&schema.DispatchChunk{Part: &schema.DispatchChunk_Token{Token: token}}) != nil {
			return &schema.DispatchEnd{Code: int32(result.StreamIncomplete)}
		}
	}
	return &schema.DispatchEnd{}
}

// Guards against a begun stream, or a request that may not be repeated, that is given up while the node that runs it is silent for a second
// or two, though its lease hasn't ended and nothing can take over. What can be repeated is given up soon, and everything once the node is lost.
func TestRequestsOfASilentNodeAreKeptWhileNothingTakesOver(t *testing.T) {
	for _, test := range []struct {
		name       string
		firstToken time.Duration // Before it, keep-alive chunks arrive.
		repeatable bool
		silentFrom time.Duration
		silence    time.Duration
		complete   bool
		endsWithin time.Duration // After the start of the silence, if it isn't complete.
	}{
		{"begun stream, short silence", 0, true, 300 * time.Millisecond, 1200 * time.Millisecond, true, 0},
		{"begun stream", 0, true, 300 * time.Millisecond, 2500 * time.Millisecond, true, 0},
		{"may not be repeated", time.Second, false, 300 * time.Millisecond, 2500 * time.Millisecond, true, 0},
		{"not begun, short silence", time.Second, true, 300 * time.Millisecond, 1200 * time.Millisecond, true, 0},
		{"not begun", time.Second, true, 300 * time.Millisecond, dispatchLimit, false, 2500 * time.Millisecond},
		{"begun stream, lost", 0, true, 300 * time.Millisecond, dispatchLimit, false, 4 * time.Second},
		{"may not be repeated, lost", time.Second, false, 300 * time.Millisecond, dispatchLimit, false, 4 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			go func() {
				_ = Serve(t.Context(), listener, fakeNode{firstToken: test.firstToken}, recovery.Recoverer{Where: "peer", Log: logrus.New()})
			}() // Ends with the test.
			proxy, err := faultproxy.New(listener.Addr().String())
			c.Assert(err, qt.IsNil)
			defer proxy.Close()
			client := NewClient(listener.Addr(), lostAfter)
			defer func() { _ = client.Close() }()
			silentAt := time.Now().Add(test.silentFrom)
			silence := time.AfterFunc(test.silentFrom, func() { proxy.SetDelay(test.silence, 0) })
			defer silence.Stop()
			goesOn := time.AfterFunc(test.silentFrom+test.silence, func() { proxy.SetDelay(0, 0) })
			defer goesOn.Stop()
			ctx, cancel := context.WithTimeout(t.Context(), dispatchLimit)
			defer cancel()
			received := 0
			end := client.Dispatch(ctx, proxy.Addr(), &schema.DispatchRequest{Repeatable: test.repeatable, Generate: true}, func(chunk *schema.DispatchChunk) error {
				if got := chunk.GetToken().GetOffset(); got != uint64(received) {
					return fmt.Errorf("token %d instead of %d", got, received)
				}
				received++
				return nil
			})
			took := time.Since(silentAt)
			c.Check(result.Code(end.Code) == result.OK, qt.Equals, test.complete, qt.Commentf("%+v, %v after the start of the silence", end, took))
			c.Check(received == tokens, qt.Equals, test.complete)
			c.Check(end.NotRun, qt.IsFalse)
			if !test.complete {
				c.Check(took < test.endsWithin, qt.IsTrue, qt.Commentf("ended after %v", took))
			}
		})
	}
}

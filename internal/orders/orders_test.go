package orders

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func startEngine(t *testing.T, h http.HandlerFunc) string {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

func TestSendOutcomes(t *testing.T) {
	ctx := context.Background()
	sent := Order{Fence: 7, Action: Join, Group: "g", Number: 2, Rank: 1, Size: 2, Members: []string{"a:1", "b:1"}, Model: "m", Pool: "p"}
	t.Run("accepted", func(t *testing.T) {
		var got Order
		address := startEngine(t, func(w http.ResponseWriter, r *http.Request) {
			_ = json.NewDecoder(r.Body).Decode(&got)
			_, _ = w.Write([]byte(`{"accepted":true}`))
		})
		qt.Assert(t, New(Options{}).Send(ctx, address, sent), qt.IsNil)
		qt.Assert(t, got, qt.DeepEquals, sent)
	})
	t.Run("fenced", func(t *testing.T) {
		address := startEngine(t, func(w http.ResponseWriter, r *http.Request) {
			w.WriteHeader(http.StatusConflict)
			_, _ = w.Write([]byte(`{"accepted":false,"fence":9}`))
		})
		var fenced *FencedError
		err := New(Options{}).Send(ctx, address, sent)
		qt.Assert(t, errors.As(err, &fenced), qt.IsTrue)
		qt.Assert(t, *fenced, qt.Equals, FencedError{7, 9})
	})
	t.Run("not sent", func(t *testing.T) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		qt.Assert(t, err, qt.IsNil)
		l.Close()
		qt.Assert(t, New(Options{}).Send(ctx, l.Addr().String(), sent), qt.ErrorIs, ErrNotSent)
	})
	t.Run("silent engine", func(t *testing.T) {
		address := startEngine(t, func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body) // The server detects a closed connection only after it has read the body.
			<-r.Context().Done()
		})
		err := New(Options{Timeout: 50 * time.Millisecond}).Send(ctx, address, sent)
		qt.Assert(t, err, qt.ErrorIs, ErrOutcomeUnknown)
	})
}

// Guards against an order that net/http sends again after the engine closed the connection without an answer.
func TestSendIsNotReplayed(t *testing.T) {
	var calls atomic.Int32
	address := startEngine(t, func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		panic(http.ErrAbortHandler)
	})
	c := New(Options{})
	for range 3 {
		qt.Assert(t, c.Send(context.Background(), address, Order{}), qt.ErrorIs, ErrOutcomeUnknown)
	}
	qt.Assert(t, calls.Load(), qt.Equals, int32(3))
}

func TestState(t *testing.T) {
	address := startEngine(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write([]byte(`{"vm":"v","incarnation":"i","group":"g","number":3,"ready":true,"weights":["m"],"load_age_ms":5}`))
	})
	s, err := New(Options{}).State(context.Background(), address)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, s, qt.DeepEquals, State{
		VM: "v", Incarnation: "i", Group: "g", Number: 3, Ready: true, Weights: []string{"m"}, LoadAgeMS: 5,
	})
}

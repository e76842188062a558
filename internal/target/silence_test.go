package target

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/reach"
	"cassiadeal.example/cassiadeal/internal/result"
	"cassiadeal.example/cassiadeal/internal/rules"
)

// Guards against a sound target that counts as crashed because it is silent for a second after a connection broke: two such crashes block
// a request everywhere. A target that refuses connections, or stays silent, must still count.
func TestSilentSecondIsNoCrash(t *testing.T) {
	const crashCheckTimeout = 2500 * time.Millisecond // As in package dispatch.
	for _, test := range []struct {
		name    string
		silence time.Duration
		refuse  bool
		lost    bool
		within  time.Duration
	}{
		{"sound", 0, false, false, time.Second},
		{"silent for a second", 1200 * time.Millisecond, false, false, 2 * time.Second},
		{"silent", time.Minute, false, true, 2400 * time.Millisecond},
		{"refuses connections", 0, true, true, 700 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			var silentUntil atomic.Pointer[time.Time]
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
				if until := silentUntil.Load(); until != nil {
					select {
					case <-time.After(time.Until(*until)):
					case <-req.Context().Done():
						return
					}
				}
				_, _ = fmt.Fprint(w, `{"incarnation":"i1"}`)
			}))
			defer server.Close()
			table := New(Options{})
			table.SetSpecs([]Spec{{ID: "s1", Destination: "service/s", Address: server.Listener.Addr().String(), MaxQueue: 1, Limits: rules.Limits{Cold: 1, Full: 2}}})
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan struct{})
			go func() { defer close(ended); table.Run(ctx) }()
			defer func() { cancel(); <-ended }()
			slot, err := table.Acquire(ctx, SlotRequest{Destination: "service/s"}) // Blocks until the first report.
			qt.Assert(t, err, qt.IsNil)
			until := time.Now().Add(test.silence)
			silentUntil.Store(&until)
			if test.refuse {
				server.CloseClientConnections()
				_ = server.Listener.Close()
			}
			checkCtx, stop := context.WithTimeout(ctx, crashCheckTimeout)
			defer stop()
			start := time.Now()
			qt.Check(t, slot.TargetLost(checkCtx), qt.Equals, test.lost)
			took := time.Since(start)
			qt.Check(t, took < test.within, qt.IsTrue, qt.Commentf("known after %v", took))
			t.Logf("known after %v", took)
		})
	}
}

// Guards against requests that are refused because of their deadline while targets are silent for a second, as if these were lost. Once the
// silence is longer, they don't count any more.
func TestSilentTargetsCountForTheExpectedWait(t *testing.T) {
	for silence, want := range map[time.Duration]result.Code{0: result.OK, 1200 * time.Millisecond: result.OK, 2500 * time.Millisecond: result.DeadlineUnreachable} {
		t.Run(silence.String(), func(t *testing.T) {
			specs := []Spec{poolSpec("t1", 1, 1), poolSpec("t2", 1, 1), poolSpec("t3", 1, 1)}
			for i := range specs {
				specs[i].MaxQueue = 10
			}
			f := newFixture(t, nil, specs...)
			f.recordAllReady("t1", "t2", "t3")
			slots := f.acquireAll()
			qt.Assert(t, slots, qt.HasLen, 3)
			f.advance(time.Second) // The observed service time.
			f.recordAllReady("t1", "t2", "t3")
			slots[0].Release(Outcome{Completed: true})
			_, code := f.tryAcquire(SlotRequest{})
			qt.Assert(t, code, qt.Equals, result.OK)
			f.advance(silence)
			f.recordAllReady("t1")
			waitCtx, cancel := context.WithCancel(t.Context())
			defer cancel()
			for i := range 3 { // Each of the three targets ends one request a second, so the next one waits for 4/3 s.
				go func() { _, _ = f.table.Acquire(waitCtx, SlotRequest{Destination: "pool/p"}) }()
				f.waitQueued(i + 1)
			}
			ctx, stop := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer stop()
			_, err := f.table.Acquire(ctx, SlotRequest{Destination: "pool/p", Deadline: f.clock() + 3*time.Second})
			refusedEarly := ctx.Err() == nil
			qt.Check(t, refusedEarly, qt.Equals, want != result.OK, qt.Commentf("%v", err))
			qt.Check(t, result.From(err).Code, qt.Equals, result.DeadlineUnreachable)
		})
	}
}

// Guards against requests that are blocked everywhere as ones that crash targets, because their node has lost its paths to the targets and no
// other node can be asked.
func TestLossThatNoOtherNodeConfirmsIsNoCrash(t *testing.T) {
	refused := reach.DialError{Direct: syscall.ECONNREFUSED}
	onlyNode := reach.DialError{Direct: syscall.ECONNREFUSED, Alone: true}
	for name, test := range map[string]struct {
		failure *reach.DialError
		lost    bool
	}{"unconfirmed": {&refused, false}, "only node": {&onlyNode, true}} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, nil, poolSpec("t", 1, 1))
			f.recordAllReady("t")
			slot, code := f.tryAcquire(SlotRequest{})
			qt.Assert(t, code, qt.Equals, result.OK)
			f.advance(time.Second)
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			lost := make(chan bool, 1)
			go func() { lost <- slot.TargetLost(ctx) }()
			f.recordReport("t", 0, Report{}, -time.Millisecond, fmt.Errorf("probe: %w", test.failure))
			f.recordReport("t", 1, readyReport, -time.Millisecond, nil)
			qt.Check(t, <-lost, qt.Equals, test.lost)
		})
	}
}

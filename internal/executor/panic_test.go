package executor

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"cassiadeal.example/cassiadeal/internal/buffer"
	"cassiadeal.example/cassiadeal/internal/claims"
	"cassiadeal.example/cassiadeal/internal/crash"
	"cassiadeal.example/cassiadeal/internal/dispatch"
	"cassiadeal.example/cassiadeal/internal/platform"
	"cassiadeal.example/cassiadeal/internal/result"
	"cassiadeal.example/cassiadeal/internal/rules"
	"cassiadeal.example/cassiadeal/internal/schema"
	"cassiadeal.example/cassiadeal/internal/target"
)

// memoryStore holds claims.
type memoryStore struct {
	claims.Store // The methods that aren't needed.

	mu      sync.Mutex
	version uint64
	data    map[string][]byte
}

func (s *memoryStore) Get(_ context.Context, kind, name string) (*platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	data, ok := s.data[name]
	if !ok {
		return nil, platform.ErrNotFound
	}
	return &platform.Object{Kind: kind, Name: name, Version: s.version, Data: data}, nil
}

func (s *memoryStore) Create(ctx context.Context, kind, name string, data []byte) (uint64, error) {
	return s.Update(ctx, kind, name, 0, data)
}

func (s *memoryStore) Update(_ context.Context, _, name string, _ uint64, data []byte) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.data[name] = data
	return s.version, nil
}

// readyProber reports a target that is ready.
type readyProber struct{}

func (readyProber) Probe(context.Context, bool, string) (target.Report, error) {
	return target.Report{Incarnation: "i1", Ready: true}, nil
}

// Guards against a slot that is never given back, and a claim whose request is said to be running for ever, because the code that runs a
// request panics before it is sent, while it is sent or after it.
func TestPanicReleasesSlotAndClaim(t *testing.T) {
	for _, test := range []struct {
		name       string
		repeatable bool
		holds      int  // The call of Holds that panics; 0 for none.
		sink       bool // The sink panics.
		panics     bool // Execute itself panics, which its callers recover.
		code       result.Code
		claim      schema.ClaimState
	}{
		{name: "repeatable, before the send", repeatable: true, holds: 1, panics: true},
		{name: "repeatable, after the send", repeatable: true, sink: true, code: result.Internal},
		{name: "once, before the claim", holds: 1, panics: true},
		{name: "once, before the send", holds: 2, panics: true, claim: schema.ClaimState_CLAIM_STATE_UNKNOWN},
		{name: "once, after the answer was stored", sink: true, panics: true, claim: schema.ClaimState_CLAIM_STATE_ANSWERED},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
				w.Header().Set("X-Request-Id", q.Header.Get("X-Request-Id"))
				_, _ = io.WriteString(w, "done")
			}))
			defer server.Close()
			address := server.Listener.Addr().String()
			table := target.New(target.Options{ProbeInterval: 5 * time.Millisecond, Freshness: time.Minute, Prober: readyProber{}})
			table.SetSpecs([]target.Spec{{ID: "t1", Destination: "service/s", Address: address, MaxQueue: 1,
				Members: []target.Member{{Address: address, Incarnation: "i1"}}, Limits: rules.Limits{Cold: 1, Full: 1}}})
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			var running sync.WaitGroup
			defer running.Wait()
			running.Go(func() { table.Run(ctx) })
			defer cancel()
			store := &memoryStore{data: map[string][]byte{}}
			log := logrus.New()
			log.SetOutput(io.Discard)
			holds := 0
			e := New(Options{Answers: buffer.NewBudget(1 << 20), Targets: table, Runner: dispatch.New(dispatch.Options{}),
				Claims: claims.New(claims.Options{Node: "n", Store: store}), Crashes: crash.New(crash.Options{}), MayServe: func() *result.Error { return nil },
				Holds: func(string) bool {
					if holds++; holds == test.holds {
						panic("test")
					}
					return true
				},
				OnCrash: func(context.Context, *schema.CrashReport) {}, Clock: table.Now, Log: log})
			key, err := uuid.NewV7()
			c.Assert(err, qt.IsNil)
			req := &schema.DispatchRequest{RequestId: "r1", Destination: "service/s", Method: http.MethodPost, Path: "/x", Repeatable: test.repeatable,
				IdempotencyKey: key.String(), DeadlineMs: 10_000}
			var end *schema.DispatchEnd
			func() {
				defer func() { c.Check(recover() != nil, qt.Equals, test.panics) }()
				end = e.Execute(ctx, req, func(*schema.DispatchChunk) error {
					if test.sink {
						panic("test")
					}
					return nil
				})
			}()
			if !test.panics {
				c.Check(result.Code(end.Code), qt.Equals, test.code)
				c.Check(end.NotRun, qt.IsFalse)
			}
			_, err = table.Acquire(ctx, target.SlotRequest{Destination: "service/s", Deadline: table.Now() + 5*time.Second})
			c.Check(err, qt.IsNil)
			if test.claim == 0 {
				return
			}
			stored := &schema.Claim{}
			object, err := store.Get(ctx, "", req.IdempotencyKey)
			c.Assert(err, qt.IsNil)
			c.Assert(platform.Decode(object.Data, stored), qt.IsNil)
			c.Check(stored.State, qt.Equals, test.claim)
		})
	}
}

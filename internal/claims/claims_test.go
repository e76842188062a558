package claims

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"

	"cassiadeal.example/cassiadeal/internal/platform"
	"cassiadeal.example/cassiadeal/internal/result"
	"cassiadeal.example/cassiadeal/internal/schema"
)

// fixture is the state of a test that runs in a synctest bubble (with a fake clock): two nodes that share one store.
type fixture struct {
	*qt.C
	cluster *cluster
	a, b    *node
	key     string
}

// run calls f in a synctest bubble, with a fixture whose nodes have their Run method running.
func run(t *testing.T, f func(f *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		fx := &fixture{C: qt.New(t), cluster: c, a: c.start("a", "1"), b: c.start("b", "1"), key: newKey(0)}
		ctx, cancel := context.WithCancel(context.Background())
		for _, n := range []*node{fx.a, fx.b} {
			go n.manager.Run(ctx)
		}
		defer cancel()
		f(fx)
	})
}

// newKey returns a UUIDv7 with the current time. n distinguishes keys of the same millisecond.
func newKey(n int) string {
	var id uuid.UUID
	ms := time.Now().UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	id[6], id[8], id[14], id[15] = 0x70, 0x80, byte(n>>8), byte(n)
	return id.String()
}

func (f *fixture) acquire(n *node, limit time.Duration) (*Claim, *schema.Claim, *result.Error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return n.manager.Acquire(ctx, Request{Key: f.key, Account: "acc", Fingerprint: "fp"})
}

func (f *fixture) claim(n *node) *Claim {
	claim, _, err := f.acquire(n, 10*time.Second)
	f.Assert(err, qt.Equals, (*result.Error)(nil))
	f.Assert(claim, qt.IsNotNil)
	return claim
}

func (f *fixture) stored() *schema.Claim {
	o, err := f.cluster.store.get(f.key, false)
	f.Assert(err, qt.IsNil)
	claim := &schema.Claim{}
	f.Assert(platform.Decode(o.Data, claim), qt.IsNil)
	return claim
}

// injectFault injects a fault into the nth call of a method by the node, counted from 1.
func (n *node) injectFault(method string, nth int, f fault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var count atomic.Int64
	next := n.faultFor
	n.faultFor = func(m, name string) fault {
		if m == method && count.Add(1) == int64(nth) {
			return f
		}
		if next != nil {
			return next(m, name)
		}
		return fault{}
	}
}

// injectAlways injects the fault into every call of the methods by the node, and removes all other faults.
func (n *node) injectAlways(f fault, methods ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faultFor = func(m, _ string) fault {
		if strings.Contains(strings.Join(methods, " "), m) {
			return f
		}
		return fault{}
	}
}

// attemptCount returns the number of attempts that the node holds in memory.
func (n *node) attemptCount() int {
	n.manager.mu.Lock()
	defer n.manager.mu.Unlock()
	return len(n.manager.attempts)
}

func (s *fakeStore) reads() int { return s.count("get") }

func (s *fakeStore) count(method string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.callCounts[method]
}

func (s *fakeStore) size() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.objects)
}

var ctx = context.Background()

// Guards against a claim write that takes effect, at once or late, although it was reported as failed: the owner had removed
// the attempt, so repeats waited until that process ended.
func TestUncertainClaimWrites(t *testing.T) {
	for name, injected := range map[string]fault{
		"reply lost":           {errAfterWrite: platform.ErrOutcomeUnknown},
		"late":                 {writeDelay: 3 * time.Second},
		"conflict after stale": {errAfterWrite: platform.ErrConflict},
		"rejected second copy": {errAfterWrite: platform.ErrRejected},
	} {
		t.Run("create "+name, func(t *testing.T) {
			run(t, func(fx *fixture) {
				fx.a.injectFault("create", 1, injected)
				claim, _, _ := fx.acquire(fx.a, time.Second)
				time.Sleep(5 * time.Second)
				if claim == nil {
					claim = fx.claim(fx.b)
				}
				claim.Answer(ctx, Answer{Status: 200})
			})
		})
		t.Run("reclaim "+name, func(t *testing.T) {
			run(t, func(fx *fixture) {
				fx.claim(fx.b).Release(ctx)
				fx.a.injectFault("update", 1, injected)
				// A stale read returns the claim as it was before its release.
				fx.a.injectFault("get", 2, fault{staleRead: true})
				claim, _, _ := fx.acquire(fx.a, time.Second)
				time.Sleep(5 * time.Second)
				if claim == nil {
					claim = fx.claim(fx.b)
				}
				claim.Answer(ctx, Answer{Status: 200})
			})
		})
	}
}

// Guards against answers that the platform can't store: their claim stayed in the state claimed until its owner ended.
func TestAnswersThatCannotBeKept(t *testing.T) {
	for name, answer := range map[string]Answer{
		"header not UTF-8":  {Status: 200, Headers: []*schema.Header{{Name: "X-Name", Value: "\xff"}}},
		"headers too large": {Status: 200, Headers: []*schema.Header{{Name: "X-Large", Value: strings.Repeat("x", 2<<20)}}},
		"body too large":    {Status: 200, Body: make([]byte, MaxStoredAnswer+1)},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, func(f *fixture) {
				f.claim(f.a).Answer(ctx, answer)
				f.Check(f.stored().State, qt.Equals, schema.ClaimState_CLAIM_STATE_ANSWERED)
				_, stored, err := f.acquire(f.b, time.Second)
				f.Assert(err, qt.Equals, (*result.Error)(nil))
				f.Check(stored.AnswerDropped, qt.IsTrue)
			})
		})
	}
}

// Guards against attempts that stay in memory after their key is too old to be accepted: the platform fails after the
// dispatch and doesn't recover.
func TestOutageAfterDispatchEnds(t *testing.T) {
	run(t, func(f *fixture) {
		claim := f.claim(f.a)
		f.a.injectAlways(fault{failBefore: platform.ErrUnavailable}, "get", "update")
		claim.Answer(ctx, Answer{Status: 200})
		f.Check(f.a.manager.Status(claim.attempt.nonce).State, qt.Equals, schema.ClaimState_CLAIM_STATE_ANSWERED)
		time.Sleep(MaxKeyAge + 3*MaxClockSkew)
		f.Check(f.a.attemptCount(), qt.Equals, 0)
	})
}

// Guards against a settlement that waits forever for a platform call that never returns.
func TestStoreCallWithoutReply(t *testing.T) {
	run(t, func(f *fixture) {
		claim := f.claim(f.a)
		f.a.injectFault("update", 1, fault{blockUntilCancel: true})
		claim.Answer(ctx, Answer{Status: 200})
		time.Sleep(20 * time.Second)
		f.Check(f.stored().State, qt.Equals, schema.ClaimState_CLAIM_STATE_ANSWERED)
	})
}

// Guards against memory use and reads that grow with the number of claims that are refused during an outage of the platform.
func TestOutageIsBounded(t *testing.T) {
	run(t, func(f *fixture) {
		f.a.injectAlways(fault{failBefore: platform.ErrOutcomeUnknown}, "get", "update", "create")
		for i := range 5000 {
			f.key = newKey(i)
			_, _, err := f.acquire(f.a, time.Second)
			f.Assert(err.NotRun, qt.IsTrue)
		}
		f.Check(f.a.attemptCount() <= 1500, qt.IsTrue, qt.Commentf("%d attempts", f.a.attemptCount()))
		time.Sleep(time.Minute)
		f.Check(f.cluster.store.reads() <= 6000, qt.IsTrue, qt.Commentf("%d reads", f.cluster.store.reads()))
	})
}

// Guards against a second settlement that replaces the first: a release after an answer allowed a repeat to run.
func TestFirstSettlementCounts(t *testing.T) {
	run(t, func(f *fixture) {
		claim := f.claim(f.a)
		f.a.injectAlways(fault{failBefore: platform.ErrUnavailable}, "update")
		claim.Answer(ctx, Answer{Status: 201})
		claim.Release(ctx)
		second, stored, err := f.acquire(f.b, 10*time.Second)
		f.Check(err, qt.Equals, (*result.Error)(nil))
		f.Check(second, qt.IsNil)
		f.Check(stored.GetStatus(), qt.Equals, uint32(201))
	})
}

// Guards against reporting OutcomeUnknown, which guarantees that the request never runs again, before the state unknown is
// stored: the paused owner resumed and released the claim, and a later repeat ran.
func TestUnknownIsDurable(t *testing.T) {
	run(t, func(f *fixture) {
		claim := f.claim(f.a)
		f.a.pause(time.Minute)
		time.Sleep(10 * time.Second)
		f.b.injectFault("update", 1, fault{failBefore: platform.ErrUnavailable})
		_, _, err := f.acquire(f.b, time.Second)
		f.Check(err.Code, qt.Equals, result.RequestInProgress)
		_, _, err = f.acquire(f.b, time.Second)
		f.Check(err.Code, qt.Equals, result.OutcomeUnknown)
		time.Sleep(time.Minute)
		claim.Release(ctx) // Has no effect: the stored state is already unknown.
		_, _, err = f.acquire(f.b, time.Second)
		f.Check(err.Code, qt.Equals, result.OutcomeUnknown)
	})
}

// Guards against an error that states "not run" for a key that has an earlier claim, when that claim can't be read.
func TestEarlierClaimUnreadable(t *testing.T) {
	run(t, func(f *fixture) {
		f.claim(f.a).Answer(ctx, Answer{Status: 200})
		f.b.injectAlways(fault{failBefore: platform.ErrUnavailable}, "get")
		_, _, err := f.acquire(f.b, 30*time.Second)
		f.Check(err.NotRun, qt.IsFalse)
	})
}

// Guards against repeats that use up maxPending: the create of each one ends in a conflict and leaves an attempt whose outcome
// is uncertain.
func TestManyRepeats(t *testing.T) {
	run(t, func(f *fixture) {
		f.claim(f.a).Answer(ctx, Answer{Status: 200})
		for range 2 * maxPending {
			_, stored, err := f.acquire(f.b, time.Second)
			f.Assert(err, qt.Equals, (*result.Error)(nil))
			f.Assert(stored.GetStatus(), qt.Equals, uint32(200))
		}
		f.Check(f.b.attemptCount(), qt.Equals, 0)
		f.Check(f.cluster.store.reads(), qt.Equals, 2*maxPending)
	})
}

// Guards against repeats that overload the platform with reads while they wait for a long request.
func TestWaitingRepeatReadsLittle(t *testing.T) {
	run(t, func(f *fixture) {
		f.claim(f.a)
		_, _, err := f.acquire(f.b, time.Minute)
		f.Check(err.Code, qt.Equals, result.RequestInProgress)
		f.Check(f.cluster.store.reads() <= 100, qt.IsTrue, qt.Commentf("%d reads", f.cluster.store.reads()))
	})
}

// Guards against a claim that is deleted while its key is still accepted, or never, and against several nodes sweeping the
// same kind.
func TestSweep(t *testing.T) {
	run(t, func(f *fixture) {
		time.Sleep(time.Hour) // Sweeps kinds without claims.
		const claims = 200
		begin, lists := time.Now(), f.cluster.store.count("list")
		for i := range claims {
			f.key = newKey(i)
			f.claim([]*node{f.a, f.b}[i%2]) // Is never settled.
		}
		time.Sleep(time.Until(begin.Add(MaxKeyAge + MaxClockSkew)))
		f.Check(f.cluster.store.size(), qt.Equals, claims)
		f.a.end() // The other node has to delete all of them.
		time.Sleep(3 * time.Minute)
		f.Check(f.cluster.store.size(), qt.Equals, 0)
		f.Check(f.cluster.store.count("delete"), qt.Equals, claims)
		minutes := time.Since(begin).Minutes() + 1
		f.Check(float64(f.cluster.store.count("list")-lists) <= minutes*buckets*float64(len(passDelays)), qt.IsTrue)
	})
}

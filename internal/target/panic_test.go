package target

import (
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/result"
)

// panickingPolicy panics when it first chooses for a request with the prefix hash panicHash.
type panickingPolicy struct {
	LeastLoad
	panicked atomic.Bool
}

const panicHash = 13

func (p *panickingPolicy) Choose(prefixHash uint64, candidates []Candidate) int {
	if prefixHash == panicHash && !p.panicked.Swap(true) {
		panic("test")
	}
	return p.LeastLoad.Choose(prefixHash, candidates)
}

// checkPanics calls f, which must panic.
func checkPanics(c *qt.C, f func()) {
	defer func() { c.Check(recover(), qt.Equals, any("test")) }()
	f()
}

// Guards against a request that stays in the queue after a panic and gets a slot that nobody gives back.
func TestPanickingRequestLeavesTheQueue(t *testing.T) {
	c := qt.New(t)
	f := newFixture(t, &panickingPolicy{}, poolSpec("t1", 2, 2))
	f.recordAllReady("t1")
	checkPanics(c, func() { f.tryAcquire(SlotRequest{PrefixHash: panicHash}) })
	c.Check(f.table.queues["pool/p"].waiters, qt.HasLen, 0)
	c.Check(f.acquireAll(), qt.HasLen, 2)
}

// Guards against requests that get two slots, or none, because the choice for another one in their queue panics.
func TestPanicLeavesOtherRequestsOfTheQueue(t *testing.T) {
	c := qt.New(t)
	f := newFixture(t, &panickingPolicy{}, poolSpec("t1", 2, 2))
	f.recordAllReady("t1")
	slot, code := f.tryAcquire(SlotRequest{})
	c.Assert(code, qt.Equals, result.OK)
	slot.Release(Outcome{ConnectionLost: true}) // Requests wait until the target is probed again.
	queued := func() int {
		f.table.mu.Lock()
		defer f.table.mu.Unlock()
		return len(f.table.queues["pool/p"].waiters)
	}
	granted := make(chan *Slot, 2)
	for i, hash := range []uint64{0, panicHash} {
		go func() {
			slot, err := f.table.Acquire(t.Context(), SlotRequest{Destination: "pool/p", PrefixHash: hash})
			c.Check(err, qt.IsNil)
			granted <- slot
		}()
		for queued() != i+1 {
			time.Sleep(time.Millisecond)
		}
	}
	checkPanics(c, func() { f.recordAllReady("t1") })
	first := <-granted
	c.Check(queued(), qt.Equals, 1)
	f.recordAllReady("t1")
	second := <-granted
	c.Check(queued(), qt.Equals, 0)
	first.Release(Outcome{NotRun: true})
	second.Release(Outcome{NotRun: true})
	c.Check(f.acquireAll(), qt.HasLen, 2)
}

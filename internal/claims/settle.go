package claims

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"cassiadeal.example/cassiadeal/internal/platform"
	"cassiadeal.example/cassiadeal/internal/schema"
)

const (
	// answerStoreTimeout bounds how long an answer waits for its claim to be written. After that it is passed on, and Run
	// goes on with the write.
	answerStoreTimeout = 2 * time.Second
	// platformCallTimeout bounds one call to the platform in the background. The platform client makes up to four exchanges of 1 s
	// for a write whose reply is lost.
	platformCallTimeout = 5 * time.Second
	// Waits between two tries to settle one claim. Until the platform has it, this process still answers for the claim,
	// so that a long wait delays nobody.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = time.Minute
	// unsettledTTL is the time after which no node accepts the key of a claim any more: a key is at most MaxClockSkew in the
	// future when it is claimed, and is accepted up to Window later by a clock that is up to MaxClockSkew behind.
	unsettledTTL = MaxKeyAge + 2*MaxClockSkew
	// maxPending bounds the claims that wait for the platform. Each can hold an answer of MaxStoredAnswer: 64 MiB in total.
	maxPending = 1024
	// Run settles up to settleBatchSize claims each settleInterval, at most 64 calls a second for a node.
	settleInterval  = 500 * time.Millisecond
	settleBatchSize = 16
)

// attempt is one claim of this process until it is settled in the platform.
type attempt struct {
	nonce, key string
	// base is the version that the next write is conditional on. While the claim's own write is in doubt, it is the
	// version which that write was conditional on.
	baseVersion uint64
	removed     chan struct{} // Closed when the attempt is forgotten.

	// The rest is guarded by Manager.mu.
	claim          *schema.Claim // The state that Status reports; replaced, never changed.
	writeUncertain bool          // The claim's own write may not be in force.
	pending        bool          // Run has to settle it.
	nextTry        time.Time     // Next try of Run.
	retryDelay     time.Duration
	expires        time.Time // The attempt is forgotten then.
}

// Answer is the answer of a target to a claimed request.
type Answer struct {
	Status  uint32
	Headers []*schema.Header
	Body    []byte
}

// size returns the bytes of body and headers. As JSON they take up to six times as much, which is below the 1 MB of an
// object.
func (a Answer) size() int {
	n := len(a.Body)
	for _, h := range a.Headers {
		n += len(h.Name) + len(h.Value)
	}
	return n
}

// Answer stores the answer so that a repeat gets the same one. It returns when the answer is stored, or after answerStoreTimeout;
// then Run goes on with the write and other nodes get the answer from this process.
func (c *Claim) Answer(ctx context.Context, answer Answer) {
	settled := c.withState(schema.ClaimState_CLAIM_STATE_ANSWERED)
	settled.Status = answer.Status
	settled.Headers = answer.Headers
	settled.Answer = answer.Body
	if _, err := platform.Encode(settled); err != nil || answer.size() > MaxStoredAnswer {
		// An answer with a header that is not UTF-8 has no JSON form.
		settled.Headers, settled.Answer, settled.AnswerDropped = nil, nil, true
	}
	c.settle(ctx, settled)
}

// Release records that the request did not run. The caller must know that no byte of it reached a target.
func (c *Claim) Release(ctx context.Context) {
	c.settle(ctx, c.withState(schema.ClaimState_CLAIM_STATE_RELEASED))
}

// Unknown records that the request was sent and its answer is lost.
func (c *Claim) Unknown(ctx context.Context) {
	c.settle(ctx, c.withState(schema.ClaimState_CLAIM_STATE_UNKNOWN))
}

func (c *Claim) withState(state schema.ClaimState) *schema.Claim {
	c.m.mu.Lock()
	defer c.m.mu.Unlock()
	return cloneWithState(c.attempt.claim, state)
}

func cloneWithState(claim *schema.Claim, state schema.ClaimState) *schema.Claim {
	next := proto.Clone(claim).(*schema.Claim)
	next.State = state
	next.Nonce = uuid.NewString()
	return next
}

// settle makes the final state known to this process at once and writes it to the platform. The write must not be
// cut short by the caller's going away. Only the first settlement of a claim counts.
func (c *Claim) settle(ctx context.Context, settled *schema.Claim) {
	m, a := c.m, c.attempt
	m.mu.Lock()
	if a.claim.State != schema.ClaimState_CLAIM_STATE_CLAIMED {
		m.mu.Unlock()
		m.opts.Log.WithField("key", a.key).Errorf("claim is settled as %s already, not as %s", a.claim.State, settled.State)
		return
	}
	a.claim, a.expires = settled, m.opts.Now().Add(unsettledTTL)
	m.mu.Unlock()
	go m.settleOrEnqueue(context.WithoutCancel(ctx), a)
	timer := time.NewTimer(answerStoreTimeout)
	defer timer.Stop()
	select {
	case <-a.removed:
	case <-timer.C:
	}
}

// settleOrEnqueue tries until answerStoreTimeout has passed and then leaves the attempt to Run.
func (m *Manager) settleOrEnqueue(ctx context.Context, a *attempt) {
	start := time.Now()
	for wait := minRetryDelay; ; wait *= 2 {
		if m.tryWrite(ctx, a) {
			m.removeAttempt(a)
			return
		}
		if time.Since(start)+wait > answerStoreTimeout {
			m.enqueue(a, wait)
			return
		}
		time.Sleep(wait)
	}
}

// begin records a new attempt before its claim is written.
func (m *Manager) addAttempt(content *schema.Claim, baseVersion uint64) *attempt {
	a := &attempt{nonce: content.Nonce, key: content.Key, baseVersion: baseVersion, claim: content, removed: make(chan struct{})}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.attempts[a.nonce] = a
	return a
}

// abandon ends an attempt whose write may be in force or come into force, and that is never dispatched. It is known to be
// released at once. Run releases the platform's copy, so that the key stays usable after this process has ended.
func (m *Manager) abandon(a *attempt) {
	m.mu.Lock()
	a.claim, a.writeUncertain, a.expires = cloneWithState(a.claim, schema.ClaimState_CLAIM_STATE_RELEASED), true, m.opts.Now().Add(unsettledTTL)
	m.mu.Unlock()
	m.enqueue(a, minRetryDelay)
}

func (m *Manager) enqueue(a *attempt, wait time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	a.pending, a.retryDelay, a.nextTry = true, wait, m.opts.Now().Add(wait)
	m.pendingCount++
}

func (m *Manager) pendingFull() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.pendingCount >= maxPending
}

func (m *Manager) removeAttempt(a *attempt) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.attempts[a.nonce] != a {
		return // Run and a waiting repeat can both find out that nothing is left to do.
	}
	delete(m.attempts, a.nonce)
	if a.pending {
		m.pendingCount--
	}
	close(a.removed)
}

// Run settles the claims that could not be settled at once and deletes old claims, until ctx is done. Then it tries
// each unsettled claim once more.
func (m *Manager) Run(ctx context.Context) {
	var sweeping sync.WaitGroup
	sweeping.Go(func() { m.runSweeps(ctx) })
	defer sweeping.Wait()
	ticker := time.NewTicker(settleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			m.settleDue(ctx, m.due(m.opts.Now(), settleBatchSize))
		case <-ctx.Done():
			finalCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), answerStoreTimeout)
			defer cancel()
			m.settleDue(finalCtx, m.due(m.opts.Now().Add(maxRetryDelay), maxPending))
			return
		}
	}
}

// due returns up to limit pending attempts whose next try is due at the given time, longest due first.
func (m *Manager) due(at time.Time, limit int) []*attempt {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []*attempt
	for _, a := range m.attempts {
		if a.pending && !a.nextTry.After(at) {
			list = append(list, a)
		}
	}
	slices.SortFunc(list, func(a, b *attempt) int {
		return cmp.Or(a.nextTry.Compare(b.nextTry), strings.Compare(a.key, b.key))
	})
	return list[:min(limit, len(list))]
}

func (m *Manager) settleDue(ctx context.Context, due []*attempt) {
	for _, a := range due {
		if ctx.Err() != nil {
			return
		}
		if m.tryWrite(ctx, a) || !m.opts.Now().Before(a.expires) {
			m.removeAttempt(a)
			continue
		}
		m.mu.Lock()
		a.retryDelay = min(2*a.retryDelay, maxRetryDelay)
		a.nextTry = m.opts.Now().Add(a.retryDelay)
		m.mu.Unlock()
	}
}

// try writes the state of an attempt once and returns true if nothing is left to do. A conflict means that another write
// came after the claim's own: the condition can't hold again, since versions only grow.
func (m *Manager) tryWrite(ctx context.Context, a *attempt) bool {
	ctx, cancel := context.WithTimeout(ctx, platformCallTimeout)
	defer cancel()
	if a.writeUncertain {
		version, stored, err := m.readClaim(ctx, a.key)
		switch {
		case err != nil:
			return false
		case stored.Nonce != a.nonce:
			// A later version proves that the claim's own write is not in force and never will be. A version that is not
			// later proves nothing, as the read may be stale.
			return version > a.baseVersion
		}
		a.baseVersion, a.writeUncertain = version, false
	}
	data, err := platform.Encode(a.claim)
	if err != nil {
		m.opts.Log.WithError(err).WithField("key", a.key).Error("claim can't be encoded")
		return false
	}
	_, err = m.opts.Store.Update(ctx, kindForKey(a.key), a.key, a.baseVersion, data)
	return err == nil || errors.Is(err, platform.ErrConflict)
}

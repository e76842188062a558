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
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"cassiadeal.example/cassiadeal/internal/platform"
	"cassiadeal.example/cassiadeal/internal/recovery"
	"cassiadeal.example/cassiadeal/internal/schema"
)

const (
	// answerStoreTimeout bounds the time for which an answer is held back until its claim is written. After that, the answer
	// is sent to the client and Run continues to retry the write.
	answerStoreTimeout = 2 * time.Second
	// platformCallTimeout bounds one background call to the platform. It covers the platform client's up to four exchanges
	// of 1 s each for a write whose reply is lost.
	platformCallTimeout = 5 * time.Second
	// The delay between two tries to write the final state of a claim doubles from minRetryDelay to maxRetryDelay. A long
	// delay doesn't hold up other nodes, since Status returns the final state until it is written.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = time.Minute
	// unsettledTTL is the time after which no node accepts the key of a claim any more. A key is at most MaxClockSkew in the
	// future when it is claimed, and a node whose clock is up to MaxClockSkew behind accepts it for MaxKeyAge.
	unsettledTTL = MaxKeyAge + 2*MaxClockSkew
	// maxPending is the number of pending attempts at which Acquire refuses new requests. Each attempt can hold an answer of
	// MaxStoredAnswer, which is 64 MiB in total.
	maxPending = 1024
	// Run settles up to settleBatchSize claims per settleInterval. With a read and an update for each claim, this makes at
	// most 64 calls a second per node.
	settleInterval  = 500 * time.Millisecond
	settleBatchSize = 16
)

// attempt is a claim that this process has written, or tried to write, and that is not settled in the platform yet.
type attempt struct {
	nonce, key string
	// baseVersion is the version that the next write is conditional on. While writeUncertain is set, it is the version that
	// the write of the claim itself was conditional on.
	baseVersion uint64
	removed     chan struct{} // Closed when the attempt is removed from Manager.attempts.

	// The fields below are guarded by Manager.mu. Once the final state is set, claim and expires no longer change and only the
	// goroutine that settles the attempt uses writeUncertain, so these are then accessed without the lock.
	claim          *schema.Claim // The content that Status returns. It is replaced as a whole and never modified.
	writeUncertain bool          // The write of the claim itself may not have taken effect.
	pending        bool          // Run has to settle the attempt.
	nextTry        time.Time     // When Run tries next to settle it.
	retryDelay     time.Duration
	expires        time.Time // When the attempt is removed although it isn't settled.
}

// Answer is the response of a target to a claimed request.
type Answer struct {
	Status  uint32
	Headers []*schema.Header
	Body    []byte
	// TooLarge is set if the body has more than MaxStoredAnswer bytes; it may then be left out.
	TooLarge bool
}

// size returns the number of bytes of the body and headers. Their JSON encoding is up to six times as large. For an answer
// of MaxStoredAnswer this is below the platform's limit of 1 MB per object.
func (a Answer) size() int {
	n := len(a.Body)
	for _, h := range a.Headers {
		n += len(h.Name) + len(h.Value)
	}
	return n
}

// Answer stores the answer so that a repeat gets the same one. It returns when the answer is stored, or after
// answerStoreTimeout. In the latter case Run continues with the write, and until then other nodes get the answer from
// Status of this process. An answer that is too large or can't be encoded is not stored, only that there was one.
func (c *Claim) Answer(ctx context.Context, answer Answer) {
	settled := c.withState(schema.ClaimState_CLAIM_STATE_ANSWERED)
	settled.Status = answer.Status
	settled.Headers = answer.Headers
	settled.Answer = answer.Body
	dropped := answer.TooLarge || answer.size() > MaxStoredAnswer
	if !dropped { // A header that is not valid UTF-8 can't be encoded as JSON.
		_, err := platform.Encode(settled)
		dropped = err != nil
	}
	if dropped {
		settled.Headers, settled.Answer, settled.AnswerDropped = nil, nil, true
	}
	c.settle(ctx, settled)
}

// Release records that the request did not run, which allows a repeat to run. The caller must be certain that no byte of the
// request reached a target.
func (c *Claim) Release(ctx context.Context) {
	c.settle(ctx, c.withState(schema.ClaimState_CLAIM_STATE_RELEASED))
}

// Unknown records that the request was sent and that its answer is not known. It is not run again.
func (c *Claim) Unknown(ctx context.Context) {
	c.settle(ctx, c.withState(schema.ClaimState_CLAIM_STATE_UNKNOWN))
}

// withState returns a copy of the claim's current content with the given state and a new nonce.
func (c *Claim) withState(state schema.ClaimState) *schema.Claim {
	c.manager.mu.Lock()
	defer c.manager.mu.Unlock()
	return cloneWithState(c.attempt.claim, state)
}

// cloneWithState returns a copy of the claim with the given state and a new nonce, since each write needs a nonce of its own.
func cloneWithState(claim *schema.Claim, state schema.ClaimState) *schema.Claim {
	next := proto.Clone(claim).(*schema.Claim)
	next.State = state
	next.Nonce = uuid.NewString()
	return next
}

// settle sets the final state, which Status returns from then on, and waits up to answerStoreTimeout until it is written to
// the platform. The write goes on if the caller's context is canceled. Only the first settlement of a claim has an effect.
func (c *Claim) settle(ctx context.Context, settled *schema.Claim) {
	m, a := c.manager, c.attempt
	m.mu.Lock()
	if a.claim.State != schema.ClaimState_CLAIM_STATE_CLAIMED {
		m.mu.Unlock()
		m.opts.Log.WithField("key", a.key).Errorf("claim is already settled as %s; ignoring its settlement as %s", a.claim.State, settled.State)
		return
	}
	a.claim, a.expires = settled, m.opts.Now().Add(unsettledTTL)
	m.mu.Unlock()
	go func() {
		// After a panic, Status still states the final state, and the store's copy of the claim stays as it is.
		defer recovery.Recoverer{Where: "claims", Log: m.opts.Log, Metrics: m.opts.Panics}.Recover(logrus.Fields{"key": a.key})
		m.settleOrEnqueue(context.WithoutCancel(ctx), a)
	}()
	timer := time.NewTimer(answerStoreTimeout)
	defer timer.Stop()
	select {
	case <-a.removed:
	case <-timer.C:
	}
}

// settleOrEnqueue tries to write the final state until answerStoreTimeout has passed, and then enqueues the attempt for Run.
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

// addAttempt registers a new attempt. It is called before the claim is written.
func (m *Manager) addAttempt(content *schema.Claim, baseVersion uint64) *attempt {
	a := &attempt{nonce: content.Nonce, key: content.Key, baseVersion: baseVersion, claim: content, removed: make(chan struct{})}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.attempts[a.nonce] = a
	return a
}

// abandon gives up an attempt whose request is never dispatched, but whose claim write may have taken effect or may still do
// so. Status returns the state released at once. Run also releases the claim in the platform, because otherwise the key would
// be unusable after this process has ended.
func (m *Manager) abandon(a *attempt) {
	m.mu.Lock()
	a.claim, a.writeUncertain, a.expires = cloneWithState(a.claim, schema.ClaimState_CLAIM_STATE_RELEASED), true, m.opts.Now().Add(unsettledTTL)
	m.mu.Unlock()
	m.enqueue(a, minRetryDelay)
}

// enqueue marks the attempt as pending, so that Run tries to settle it after the given delay.
func (m *Manager) enqueue(a *attempt, wait time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	a.pending, a.retryDelay, a.nextTry = true, wait, m.opts.Now().Add(wait)
	m.pendingCount++
}

// pendingFull reports whether the number of pending attempts has reached maxPending.
func (m *Manager) pendingFull() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.pendingCount >= maxPending
}

// removeAttempt removes the attempt and closes its channel removed. It does nothing if the attempt is removed already.
func (m *Manager) removeAttempt(a *attempt) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.attempts[a.nonce] != a {
		return // Run and a waiting repeat (resolveExisting) can both remove an attempt.
	}
	delete(m.attempts, a.nonce)
	if a.pending {
		m.pendingCount--
	}
	close(a.removed)
}

// Run settles the pending attempts and deletes old claims until ctx is done. Then it tries each pending attempt once more,
// within answerStoreTimeout in total.
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

// due returns up to limit pending attempts whose next try is due at the given time, the longest overdue first.
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

// settleDue tries each attempt once. It removes those that are settled or expired, and doubles the delay of the others.
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

// tryWrite tries once to write the state of an attempt, and returns true if nothing is left to do. On a conflict nothing is
// left, unless a restore of the store has undone the write of the claim or given it another version: another write came after
// that of the claim, and since versions only grow, the condition can't hold again.
func (m *Manager) tryWrite(ctx context.Context, a *attempt) bool {
	ctx, cancel := context.WithTimeout(ctx, platformCallTimeout)
	defer cancel()
	if a.writeUncertain {
		version, stored, err := m.readClaim(ctx, a.key)
		switch {
		case err != nil:
			return false
		case stored.Nonce != a.nonce:
			// A version later than baseVersion proves that the write of the claim is not in force and never will be. Any
			// other version proves nothing, because the read may be stale.
			return version > a.baseVersion
		}
		a.baseVersion, a.writeUncertain = version, false
	}
	data, err := platform.Encode(settledClaim(a))
	if err != nil {
		m.opts.Log.WithError(err).WithField("key", a.key).Error("cannot encode the claim")
		return false
	}
	_, err = m.opts.Store.Update(ctx, kindForKey(a.key), a.key, a.baseVersion, data)
	if errors.Is(err, platform.ErrConflict) {
		return m.settleAfterConflict(ctx, a)
	}
	return err == nil
}

// settledClaim returns the final state to write. A released claim of a former era becomes unknown: the release may have been
// in force there, and the key been claimed again.
func settledClaim(a *attempt) *schema.Claim {
	if a.claim.State == schema.ClaimState_CLAIM_STATE_RELEASED && ofFormerEra(a.claim, a.baseVersion) {
		return cloneWithState(a.claim, schema.ClaimState_CLAIM_STATE_UNKNOWN)
	}
	return a.claim
}

// settleAfterConflict is the part of tryWrite after a conflict. If the claim was written in a former era, it takes the version
// that the restored store has for it, for the next try, or writes the lost claim again with its final state.
func (m *Manager) settleAfterConflict(ctx context.Context, a *attempt) bool {
	era, err := m.era(ctx)
	if err != nil {
		return false
	}
	if era.Era <= platform.EraOf(a.baseVersion) {
		return true
	}
	version, stored, err := m.readClaim(ctx, a.key)
	switch {
	case err == nil && stored.Nonce == a.nonce:
		a.baseVersion = version
		return false
	case err == nil:
		return true
	case !errors.Is(err, platform.ErrNotFound):
		return false
	case a.claim.State == schema.ClaimState_CLAIM_STATE_RELEASED:
		return true // The key is refused from now on, since its claim is missing.
	}
	data, err := platform.Encode(a.claim)
	if err != nil {
		m.opts.Log.WithError(err).WithField("key", a.key).Error("cannot encode the claim")
		return false
	}
	_, err = m.opts.Store.Create(ctx, kindForKey(a.key), a.key, data)
	return err == nil || errors.Is(err, platform.ErrConflict)
}

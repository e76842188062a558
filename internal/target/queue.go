package target

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"time"

	"cassiadeal.example/cassiadeal/internal/reach"
	"cassiadeal.example/cassiadeal/internal/result"
	"cassiadeal.example/cassiadeal/internal/rules"
	"cassiadeal.example/cassiadeal/internal/statement"
)

const (
	// priorityHeadStart is the head start of each priority level in the queue. A request is served after those of the next
	// higher level that arrive up to this much later, but before any that arrive after that, so low priorities never starve.
	priorityHeadStart = 2 * time.Second
	// serviceTimeWeight is the weight of the newest sample in the moving average of the service time.
	serviceTimeWeight = 0.1
	// minRetryAfter is the shortest retry delay that a refusal suggests, for example while no service time is known.
	minRetryAfter = 100 * time.Millisecond
)

// SlotRequest describes the slot that a request needs.
type SlotRequest struct {
	Destination string // "pool/NAME" or "service/NAME".
	PrefixHash  uint64 // 0 for none.
	Priority    rules.Priority
	Exclude     []string      // IDs of targets that must not get the request.
	Deadline    time.Duration // As a reading of Options.Now; 0 for none.
}

type waiter struct {
	request   SlotRequest
	arrivedAt time.Duration      // As a reading of Options.Now.
	sortKey   time.Duration      // arrivedAt less the head start of the priority; smaller is served first.
	seq       uint64             // Order of arrival; breaks ties of sortKey.
	granted   chan *Slot         // Capacity 1. Sent to with the table locked while the waiter is taken out of the queue.
	refused   chan *result.Error // Capacity 1. Sent to like granted.
}

// queue holds the waiters of one destination in the order in which they are served.
type queue struct {
	destination string
	waiters     []*waiter
	serviceTime time.Duration // Moving average of the time from grant to release of completed requests; 0 if unknown.
}

func (q *queue) insert(w *waiter) {
	index, _ := slices.BinarySearchFunc(q.waiters, w, func(a, b *waiter) int {
		return cmp.Or(cmp.Compare(a.sortKey, b.sortKey), cmp.Compare(a.seq, b.seq))
	})
	q.waiters = slices.Insert(q.waiters, index, w)
}

// remove takes the waiter out of the queue. It returns false if the waiter was already granted a slot or refused.
func (q *queue) remove(w *waiter) bool {
	index := slices.Index(q.waiters, w)
	if index < 0 {
		return false
	}
	q.waiters = slices.Delete(q.waiters, index, index+1)
	return true
}

func (q *queue) oldestAge(now time.Duration) time.Duration {
	var age time.Duration
	for _, w := range q.waiters {
		age = max(age, now-w.arrivedAt)
	}
	return age
}

func (q *queue) recordServiceTime(d time.Duration) {
	if q.serviceTime == 0 {
		q.serviceTime = d
		return
	}
	q.serviceTime += time.Duration(serviceTimeWeight * float64(d-q.serviceTime))
}

// Slot permits one request in flight at a target. It must be released; only the first call of Release has an effect.
type Slot struct {
	ID            string
	Destination   string
	FailureDomain string
	Address       string // host:port.
	Group         string
	Number        uint64
	Incarnation   string // Of the process at Address when the slot was granted.

	table        *Table
	target       *target
	members      []*member
	incarnations []string // Of members when the slot was granted, in the same order.
	resetCount   uint64
	grantedAt    time.Duration
	released     bool // Guarded by table.mu.
}

// Outcome describes how a request ended.
type Outcome struct {
	Completed      bool // The whole response was read. Counts towards raising the limit of the target.
	ConnectionLost bool // Connecting failed or the exchange broke. Resets the target to its cold limit.
	NotRun         bool // No byte was sent, or the target refused the request.
	// Cold is set if the response states that the target is cold. It resets the target to its cold limit: a target may turn cold
	// without a restart, and responses tell of it before the next probe does.
	Cold bool
}

// Now returns the reading of the clock of deadlines.
func (t *Table) Now() time.Duration { return t.options.Now() }

// Acquire waits for a slot. Errors are of type *result.Error with NotRun set: NoTarget if no target can serve the request,
// QueueFull if too many requests wait, DeadlineUnreachable if the request can't be served before its deadline or ctx ended.
func (t *Table) Acquire(ctx context.Context, request SlotRequest) (*Slot, error) {
	w := &waiter{request: request, granted: make(chan *Slot, 1), refused: make(chan *result.Error, 1)}
	returned := false
	defer func() {
		if !returned { // After a panic.
			t.abandon(w)
		}
	}()
	slot, err := t.await(ctx, w)
	returned = true
	return slot, err
}

// abandon takes a waiter out of the queue that it may be in.
func (t *Table) abandon(w *waiter) {
	t.mu.Lock()
	q := t.queues[w.request.Destination]
	t.mu.Unlock()
	if q != nil {
		t.leaveQueue(q, w)
	}
}

// await waits for a slot of a new waiter.
func (t *Table) await(ctx context.Context, w *waiter) (*Slot, error) {
	request := w.request
	q, timeout, slot, refusal := t.enqueue(w)
	if refusal != nil {
		increment(t.refusalCounter, "code", refusal.Code.String())
		return nil, refusal
	}
	if slot != nil {
		return slot, nil
	}
	var expired <-chan time.Time
	if timeout > 0 {
		timer := time.NewTimer(timeout)
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case slot := <-w.granted:
		return slot, nil
	case refusal = <-w.refused:
	case <-expired:
		refusal = result.New(result.DeadlineUnreachable, "no slot of %s became free before the deadline", request.Destination)
	case <-ctx.Done():
		refusal = result.New(result.DeadlineUnreachable, "the request was cancelled while it waited for %s", request.Destination).WithCause(ctx.Err())
	}
	t.leaveQueue(q, w)
	increment(t.refusalCounter, "code", refusal.Code.String())
	return nil, refusal
}

// enqueue adds the waiter to the queue and grants free slots. It returns the slot or refusal if there is one immediately,
// otherwise the queue and the time left until the deadline (0 for no deadline).
func (t *Table) enqueue(w *waiter) (*queue, time.Duration, *Slot, *result.Error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	destination := w.request.Destination
	q := t.queues[destination]
	if q == nil {
		if len(t.targetsLocked(destination)) == 0 {
			return nil, 0, nil, result.New(result.NoTarget, "this node holds no target of %s", destination)
		}
		q = &queue{destination: destination}
		t.queues[destination] = q
	}
	now := t.options.Now()
	timeLeft := time.Duration(0)
	if w.request.Deadline > 0 {
		if timeLeft = w.request.Deadline - now; timeLeft <= 0 {
			return nil, 0, nil, result.New(result.DeadlineUnreachable, "the deadline passed before a slot of %s was requested", destination)
		}
	}
	t.lastSeq++
	w.arrivedAt, w.seq = now, t.lastSeq
	w.sortKey = now - time.Duration(w.request.Priority)*priorityHeadStart
	q.insert(w)
	t.grantSlotsLocked(q)
	select {
	case slot := <-w.granted:
		return q, 0, slot, nil
	case refusal := <-w.refused:
		return q, 0, nil, refusal
	default:
	}
	if refusal := t.earlyRefusalLocked(q, w, timeLeft, now); refusal != nil {
		q.remove(w)
		return q, 0, nil, refusal
	}
	return q, timeLeft, nil, nil
}

func (t *Table) earlyRefusalLocked(q *queue, w *waiter, timeLeft, now time.Duration) *result.Error {
	maxQueue := 0
	for _, tgt := range t.targetsLocked(q.destination) {
		maxQueue = max(maxQueue, tgt.spec.MaxQueue)
	}
	perSecond := t.throughputLocked(q, now)
	ahead := slices.Index(q.waiters, w)
	if len(q.waiters) > maxQueue {
		wait := max(expectedWait(len(q.waiters), perSecond), minRetryAfter)
		return result.New(result.QueueFull, "%d requests already wait for %s", len(q.waiters)-1, q.destination).WithRetryAfter(wait)
	}
	if pause := t.shortestPauseLocked(q, now); timeLeft > 0 && pause > timeLeft {
		return result.New(result.TargetsLimited, "all targets of %s have asked for a pause of at least %v", q.destination, pause.Round(time.Millisecond)).WithRetryAfter(pause)
	}
	if wait := expectedWait(ahead+1, perSecond); timeLeft > 0 && wait+q.serviceTime > timeLeft {
		return q.deadlineRefusal(wait, timeLeft)
	}
	return nil
}

func (q *queue) deadlineRefusal(wait, timeLeft time.Duration) *result.Error {
	return result.New(result.DeadlineUnreachable, "the expected wait for %s is %v, a request takes %v and %v are left", q.destination,
		wait.Round(time.Millisecond), q.serviceTime.Round(time.Millisecond), timeLeft.Round(time.Millisecond)).WithRetryAfter(max(wait, minRetryAfter))
}

// missesDeadline reports whether a request that had to wait has less time left than the average service time. Running it
// would occupy a slot without completing. Under overload this would happen to every request: none would be answered, and
// since limits grow with completions, cold targets would never warm up.
func (q *queue) missesDeadline(w *waiter, now time.Duration) bool {
	return w.request.Deadline > 0 && now > w.arrivedAt && w.request.Deadline-now < q.serviceTime
}

// shortestPauseLocked returns the time after which the first usable target of a queue takes requests again, if all of them have asked
// for a pause, and 0 otherwise.
func (t *Table) shortestPauseLocked(q *queue, now time.Duration) (shortest time.Duration) {
	for i, tgt := range t.usableLocked(q, now) {
		if pause := t.pausedFor(tgt); i == 0 || pause < shortest {
			shortest = pause
		}
	}
	return shortest
}

// usableLocked returns the targets of a queue that requests may be sent to.
func (t *Table) usableLocked(q *queue, now time.Duration) []*target {
	return slices.DeleteFunc(t.targetsLocked(q.destination), func(tgt *target) bool { return t.unusableReason(tgt, now) != "" })
}

// soundSilence is how long a target without an answer to probes is expected to go on. A sound one may be silent for more than a second.
const soundSilence = 2 * time.Second

// throughputLocked estimates how many requests per second the targets of a queue take that are usable, or were so within soundSilence.
// It returns 0 if there are none, or if the service time of one that has stated no limit is unknown.
func (t *Table) throughputLocked(q *queue, now time.Duration) float64 {
	total := 0.0
	for _, tgt := range t.targetsLocked(q.destination) {
		if t.isLeaving(tgt) || !tgt.worthWaiting(t.unusableReason(tgt, now) == "", now, soundSilence) {
			continue
		}
		perSecond, known := float64(tgt.effectiveLimit())/q.serviceTime.Seconds(), q.serviceTime > 0
		if limit, limited := t.statedRate(tgt); limited && (!known || limit < perSecond) {
			perSecond, known = limit, true
		}
		if !known {
			return 0
		}
		total += perSecond
	}
	return total
}

// expectedWait estimates the time until the given number of slots become free, at a rate of 0 if it isn't known.
func expectedWait(slots int, perSecond float64) time.Duration {
	if perSecond <= 0 {
		return 0
	}
	return time.Duration(float64(slots) / perSecond * float64(time.Second))
}

// leaveQueue takes the waiter out of the queue. A slot that was granted in the meantime is released.
func (t *Table) leaveQueue(q *queue, w *waiter) {
	t.mu.Lock()
	removed := q.remove(w)
	t.mu.Unlock()
	if removed {
		return
	}
	select {
	case slot := <-w.granted:
		slot.Release(Outcome{NotRun: true})
	default:
	}
}

// grantSlotsLocked grants free slots to waiters in order. It refuses those that would miss their deadline and those for
// which no target is worth waiting for. A waiter whose allowed targets are all full doesn't block those behind it.
func (t *Table) grantSlotsLocked(q *queue) {
	if len(q.waiters) == 0 {
		return
	}
	now := t.options.Now()
	var usable, worthWaiting []*target
	for _, tgt := range t.targetsLocked(q.destination) {
		isUsable := t.unusableReason(tgt, now) == ""
		if isUsable {
			usable = append(usable, tgt)
		}
		if !t.isLeaving(tgt) && tgt.worthWaiting(isUsable, now, t.options.Freshness) {
			worthWaiting = append(worthWaiting, tgt)
		}
	}
	remaining, handled := q.waiters[:0], 0
	defer func() { // Also after a panic, which leaves the waiters that weren't handled.
		remaining = append(remaining, q.waiters[handled:]...)
		clear(q.waiters[len(remaining):])
		q.waiters = remaining
	}()
	for _, w := range q.waiters {
		if q.missesDeadline(w, now) {
			w.refused <- q.deadlineRefusal(0, max(w.request.Deadline-now, 0))
		} else if tgt := t.chooseTargetLocked(w.request, usable); tgt != nil {
			w.granted <- t.newSlotLocked(tgt, now)
		} else if !slices.ContainsFunc(worthWaiting, w.request.allows) {
			w.refused <- result.New(result.NoTarget, "no target of %s is serving", q.destination)
		} else {
			remaining = append(remaining, w)
		}
		handled++
	}
}

func (w SlotRequest) allows(tgt *target) bool { return !slices.Contains(w.Exclude, tgt.spec.ID) }

func (t *Table) chooseTargetLocked(request SlotRequest, usable []*target) *target {
	hasFree := func(tgt *target) bool { return t.hasFreeSlotLocked(tgt) && request.allows(tgt) }
	if !slices.ContainsFunc(usable, hasFree) {
		return nil
	}
	var allowed []*target
	var candidates []Candidate
	for _, tgt := range usable {
		if request.allows(tgt) && t.refusalByStatement(tgt) == statement.NotRefused {
			allowed = append(allowed, tgt)
			candidates = append(candidates, Candidate{ID: tgt.spec.ID, InFlight: tgt.inFlight, Limit: tgt.effectiveLimit()})
		}
	}
	index := t.options.Policy.Choose(request.PrefixHash, candidates)
	if index < 0 || !candidates[index].hasFreeSlot() {
		return nil
	}
	if receiver, known := allowed[index].receiver(); known &&
		t.options.Statements.Admit(receiver, allowed[index].limitPart()) != statement.NotRefused {
		return nil
	}
	return allowed[index]
}

func (t *Table) hasFreeSlotLocked(tgt *target) bool {
	return tgt.inFlight < tgt.effectiveLimit() && t.refusalByStatement(tgt) == statement.NotRefused
}

// worthWaiting reports whether the target may serve a waiting request: it isn't draining, its limit is above zero, and it
// is usable or was so within the given time. The latter covers a target that was just added, is silent, or is being probed again
// after a lost connection.
func (tgt *target) worthWaiting(usable bool, now, within time.Duration) bool {
	return !tgt.spec.Draining && tgt.effectiveLimit() > 0 && (usable || now-tgt.lastUsableAt < within)
}

func (t *Table) newSlotLocked(tgt *target, now time.Duration) *Slot {
	tgt.inFlight++
	tgt.lastUsableAt = now
	s := &Slot{ID: tgt.spec.ID, Destination: tgt.spec.Destination, FailureDomain: tgt.spec.FailureDomain, Address: tgt.spec.Address,
		Group: tgt.spec.Group, Number: tgt.spec.Number, table: t, target: tgt, members: tgt.members, resetCount: tgt.resetCount, grantedAt: now}
	for _, m := range tgt.members {
		s.incarnations = append(s.incarnations, m.report.Incarnation)
		if m.Address == s.Address {
			s.Incarnation = m.report.Incarnation
		}
	}
	return s
}

// Check returns an error unless the request may still be sent: the target is usable and not draining, its members and their
// incarnations are those of when the slot was granted, and its limit was not lowered below the number of requests in
// flight. The error is a *result.Error with NotRun set.
func (s *Slot) Check() error {
	s.table.mu.Lock()
	defer s.table.mu.Unlock()
	tgt := s.target
	reason := s.table.unusableReason(tgt, s.table.options.Now())
	switch {
	case reason != "":
	case tgt.spec.Group != s.Group || tgt.spec.Number != s.Number || !slices.Equal(tgt.members, s.members):
		reason = "the group changed"
	case s.restartedLocked():
		reason = "restarted"
	case tgt.inFlight > tgt.effectiveLimit():
		reason = "more requests in flight than its lowered limit"
	case s.table.pausedFor(tgt) > 0:
		reason = "it has asked for a pause"
	}
	if reason != "" {
		return result.New(result.NoTarget, "target %s can't take the request: %s", s.ID, reason)
	}
	return nil
}

// RecordStatement records what a response of the target states about it.
func (s *Slot) RecordStatement(resp *http.Response) {
	s.table.options.Statements.RecordResponse(s.Address, s.Incarnation, resp, s.grantedAt)
}

// PausedFor returns the time for which the target still wants no request from this node.
func (s *Slot) PausedFor() time.Duration {
	s.table.mu.Lock()
	defer s.table.mu.Unlock()
	return s.table.pausedFor(s.target)
}

// restartedLocked reports whether the incarnation of a member has changed since the slot was granted.
func (s *Slot) restartedLocked() bool {
	for i, m := range s.members {
		if m.report.Incarnation != s.incarnations[i] {
			return true
		}
	}
	return false
}

// Release returns the slot to the target. The outcome adjusts the target's limit and the average service time.
func (s *Slot) Release(outcome Outcome) {
	t, tgt := s.table, s.target
	t.mu.Lock()
	defer t.mu.Unlock()
	if s.released {
		return
	}
	s.released = true
	tgt.inFlight--
	q := t.queues[s.Destination]
	if outcome.Cold && s.resetCount == tgt.resetCount && s.sameMembersLocked() {
		t.resetToColdLocked(tgt, "cold_response")
	}
	if outcome.Completed {
		if !outcome.Cold {
			t.recordCompletionLocked(tgt, s.resetCount)
		}
		if q != nil {
			q.recordServiceTime(t.options.Now() - s.grantedAt)
		}
	}
	if outcome.ConnectionLost && s.sameMembersLocked() {
		t.connectionLostLocked(tgt)
	}
	if tgt.removed && tgt.inFlight == 0 && t.targets[s.ID] == tgt {
		delete(t.targets, s.ID)
	}
	tgt.notify()
	if q != nil {
		t.grantSlotsLocked(q)
	}
}

// sameMembersLocked reports whether the target's members have not been replaced since the slot was granted.
func (s *Slot) sameMembersLocked() bool { return slices.Equal(s.target.members, s.members) }

// connectionLostLocked resets the target to its cold limit after a broken exchange. Earlier reports don't show whether the
// target still runs, so it gets no requests until every member has responded to a probe sent since. Those probes are sent
// immediately.
func (t *Table) connectionLostLocked(tgt *target) {
	t.resetToColdLocked(tgt, "lost_connection")
	now := t.options.Now()
	tgt.lastUsableAt, tgt.connectionLostAt = now, now
	for _, m := range tgt.members {
		m.reportValid = false
		m.requestProbe()
	}
}

func (m *member) requestProbe() {
	select {
	case m.probeRequested <- struct{}{}:
	default: // A probe is already requested.
	}
}

// lostSilence is how long a member has answered no probe when another one without an answer shows that it is lost. A sound target may be
// silent for more than a second.
const lostSilence = 1750 * time.Millisecond

// TargetLost probes all members again and reports whether the target that the slot was granted for no longer runs: a member
// fails the probe, is silent for lostSilence or has another incarnation, or the members were replaced. It returns false if ctx ends
// before that is known, also if the probes fail only for this node as far as is known.
func (s *Slot) TargetLost(ctx context.Context) bool {
	t := s.table
	requestedAt := t.options.Now()
	for {
		t.mu.Lock()
		changed := s.target.changed
		allProbed := true
		for i, m := range s.members {
			switch {
			case m.report.Incarnation != s.incarnations[i]:
				t.mu.Unlock()
				return true
			case !m.everProbed || m.lastProbeSentAt < requestedAt:
				allProbed = false
				m.requestProbe()
			case isTimeout(m.lastProbeError) && t.options.Now()-m.reportSentAt < lostSilence:
				allProbed = false
				m.requestProbe()
			case errors.Is(m.lastProbeError, reach.ErrUnconfirmed):
				allProbed = false // The next regular probe may tell more.
			case m.lastProbeError != nil:
				t.mu.Unlock()
				return true
			}
		}
		replaced := !s.sameMembersLocked()
		t.mu.Unlock()
		if allProbed || replaced {
			return replaced
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// isTimeout reports whether a probe failed because no answer arrived in time.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.Is(err, context.DeadlineExceeded) || errors.As(err, &netErr) && netErr.Timeout()
}

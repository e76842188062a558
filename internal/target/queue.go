package target

import (
	"cmp"
	"context"
	"slices"
	"time"

	"cassiadeal.example/cassiadeal/internal/result"
	"cassiadeal.example/cassiadeal/internal/rules"
)

const (
	// priorityAge is the head start of each priority level in the queue. A request waits behind those of the next higher
	// level that arrive up to this much later, and before all that arrive after that, so low ones are never starved.
	priorityAge = 2 * time.Second
	// serviceTimeWeight is the weight of the newest sample in the moving average of the service time.
	serviceTimeWeight = 0.1
	// minRetryAfter is stated when no service time was observed yet.
	minRetryAfter = 100 * time.Millisecond
)

// Want describes a request that needs a slot.
type Want struct {
	Destination string // "pool/NAME" or "service/NAME".
	PrefixHash  uint64 // 0 for none.
	Priority    rules.Priority
	Exclude     []string      // Target IDs.
	Deadline    time.Duration // On the clock of Options.Now; 0 for none.
}

type waiter struct {
	want    Want
	at      time.Duration // Arrival.
	order   time.Duration // Arrival less the head start of the priority.
	seq     uint64
	granted chan *Slot         // Capacity 1. Sent to with the table locked, after the waiter left the queue.
	refused chan *result.Error // Likewise.
}

// queue holds the waiters of one destination, first to be served first.
type queue struct {
	destination string
	waiters     []*waiter
	serviceTime time.Duration // Moving average; 0 if unknown.
}

func (q *queue) insert(w *waiter) {
	at, _ := slices.BinarySearchFunc(q.waiters, w, func(a, b *waiter) int {
		return cmp.Or(cmp.Compare(a.order, b.order), cmp.Compare(a.seq, b.seq))
	})
	q.waiters = slices.Insert(q.waiters, at, w)
}

// remove returns false if the waiter was already served or refused.
func (q *queue) remove(w *waiter) bool {
	at := slices.Index(q.waiters, w)
	if at < 0 {
		return false
	}
	q.waiters = slices.Delete(q.waiters, at, at+1)
	return true
}

func (q *queue) oldest(now time.Duration) time.Duration {
	var age time.Duration
	for _, w := range q.waiters {
		age = max(age, now-w.at)
	}
	return age
}

func (q *queue) observe(d time.Duration) {
	if q.serviceTime == 0 {
		q.serviceTime = d
		return
	}
	q.serviceTime += time.Duration(serviceTimeWeight * float64(d-q.serviceTime))
}

// Slot is the right to have one request in flight at a target. It must be released exactly once; later calls of Release
// do nothing.
type Slot struct {
	ID            string
	Destination   string
	FailureDomain string
	Address       string // host:port.
	Group         string
	Number        uint64
	Incarnation   string // Of the process at Address when the slot was given.

	table        *Table
	target       *target
	members      []*member
	incarnations []string // By member.
	epoch        uint64
	start        time.Duration
	released     bool // Guarded by table.mu.
}

// Outcome tells the table how a request ended.
type Outcome struct {
	Completed      bool // The whole answer was read. Counts towards the warm-up.
	ConnectionLost bool // The target did not accept the connection, or the exchange broke. Puts the target back to cold.
	NotRun         bool // No byte was sent.
}

// Acquire waits for a slot. Errors are *result.Error with NotRun: NoTarget if there is no target to wait for, QueueFull
// if too many wait, DeadlineUnreachable if the expected wait is longer than the time left or ctx ended.
func (t *Table) Acquire(ctx context.Context, want Want) (*Slot, error) {
	w := &waiter{want: want, granted: make(chan *Slot, 1), refused: make(chan *result.Error, 1)}
	q, timeout, slot, refusal := t.enqueue(w)
	if refusal != nil {
		count(t.refusals, "code", refusal.Code.String())
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
		refusal = result.New(result.DeadlineUnreachable, "no slot of %s became free before the deadline", want.Destination)
	case <-ctx.Done():
		refusal = result.New(result.DeadlineUnreachable, "the request was cancelled while it waited for %s", want.Destination).WithCause(ctx.Err())
	}
	t.abandon(q, w)
	count(t.refusals, "code", refusal.Code.String())
	return nil, refusal
}

// enqueue adds the waiter and serves the queue. It returns a slot or a refusal if there is one at once.
func (t *Table) enqueue(w *waiter) (*queue, time.Duration, *Slot, *result.Error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	destination := w.want.Destination
	q := t.queues[destination]
	if q == nil {
		if len(t.ofLocked(destination)) == 0 {
			return nil, 0, nil, result.New(result.NoTarget, "this node holds no target of %s", destination)
		}
		q = &queue{destination: destination}
		t.queues[destination] = q
	}
	now := t.opt.Now()
	left := time.Duration(0)
	if w.want.Deadline > 0 {
		if left = w.want.Deadline - now; left <= 0 {
			return nil, 0, nil, result.New(result.DeadlineUnreachable, "the deadline passed before a slot of %s was asked for", destination)
		}
	}
	t.seq++
	w.at, w.seq = now, t.seq
	w.order = now - time.Duration(w.want.Priority)*priorityAge
	q.insert(w)
	t.serveLocked(q)
	select {
	case slot := <-w.granted:
		return q, 0, slot, nil
	case refusal := <-w.refused:
		return q, 0, nil, refusal
	default:
	}
	if refusal := t.refuseEarlyLocked(q, w, left, now); refusal != nil {
		q.remove(w)
		return q, 0, nil, refusal
	}
	return q, left, nil, nil
}

func (t *Table) refuseEarlyLocked(q *queue, w *waiter, left, now time.Duration) *result.Error {
	maxQueue, capacity := 0, 0
	for _, g := range t.ofLocked(q.destination) {
		maxQueue = max(maxQueue, g.spec.MaxQueue)
		if t.unusable(g, now) == "" {
			capacity += g.effectiveLimit()
		}
	}
	ahead := slices.Index(q.waiters, w)
	if len(q.waiters) > maxQueue {
		wait := max(q.expectedWait(len(q.waiters), capacity), minRetryAfter)
		return result.New(result.QueueFull, "%d requests already wait for %s", len(q.waiters)-1, q.destination).WithRetryAfter(wait)
	}
	if wait := q.expectedWait(ahead+1, capacity); left > 0 && wait+q.serviceTime > left {
		return q.unreachable(wait, left)
	}
	return nil
}

func (q *queue) unreachable(wait, left time.Duration) *result.Error {
	return result.New(result.DeadlineUnreachable, "the expected wait for %s is %v, a request takes %v and %v are left", q.destination,
		wait.Round(time.Millisecond), q.serviceTime.Round(time.Millisecond), left.Round(time.Millisecond)).WithRetryAfter(max(wait, minRetryAfter))
}

// tooLate tells whether a request that had to wait has less time left than requests take. Running it would occupy a slot
// without a completion. Under overload every request would run like that: nothing would be answered, and since limits
// grow with completions, cold targets would never warm up.
func (q *queue) tooLate(w *waiter, now time.Duration) bool {
	return w.want.Deadline > 0 && now > w.at && w.want.Deadline-now < q.serviceTime
}

// expectedWait is the time until the given number of slots became free, or 0 if that can't be told.
func (q *queue) expectedWait(slots, capacity int) time.Duration {
	if capacity <= 0 {
		return 0
	}
	return time.Duration(slots) * q.serviceTime / time.Duration(capacity)
}

// abandon takes the waiter out of the queue. A slot that was granted meanwhile is given back.
func (t *Table) abandon(q *queue, w *waiter) {
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

// serveLocked gives free slots to waiters in order and refuses those that have nothing to wait for. A waiter whose
// exclusions leave it no free target doesn't hold up those behind it.
func (t *Table) serveLocked(q *queue) {
	if len(q.waiters) == 0 {
		return
	}
	now := t.opt.Now()
	var usable, awaitable []*target
	for _, g := range t.ofLocked(q.destination) {
		serving := t.unusable(g, now) == ""
		if serving {
			usable = append(usable, g)
		}
		if g.awaitable(serving, now, t.opt.Freshness) {
			awaitable = append(awaitable, g)
		}
	}
	kept := q.waiters[:0]
	for _, w := range q.waiters {
		if q.tooLate(w, now) {
			w.refused <- q.unreachable(0, max(w.want.Deadline-now, 0))
		} else if g := t.chooseLocked(w.want, usable); g != nil {
			w.granted <- t.newSlotLocked(g, now)
		} else if !slices.ContainsFunc(awaitable, w.want.accepts) {
			w.refused <- result.New(result.NoTarget, "no target of %s is serving", q.destination)
		} else {
			kept = append(kept, w)
		}
	}
	clear(q.waiters[len(kept):])
	q.waiters = kept
}

func (w Want) accepts(g *target) bool { return !slices.Contains(w.Exclude, g.spec.ID) }

func (t *Table) chooseLocked(want Want, usable []*target) *target {
	hasFree := func(g *target) bool { return g.inFlight < g.effectiveLimit() && want.accepts(g) }
	if !slices.ContainsFunc(usable, hasFree) {
		return nil
	}
	var accepted []*target
	var candidates []Candidate
	for _, g := range usable {
		if want.accepts(g) {
			accepted = append(accepted, g)
			candidates = append(candidates, Candidate{ID: g.spec.ID, InFlight: g.inFlight, Limit: g.effectiveLimit()})
		}
	}
	at := t.opt.Policy.Choose(want.PrefixHash, candidates)
	if at < 0 || !candidates[at].free() {
		return nil
	}
	return accepted[at]
}

// awaitable tells whether the target may still serve a request that waits: it serves now or did so within the freshness
// bound. The latter covers a target that was just added or is being probed again after a lost connection.
func (g *target) awaitable(serving bool, now, freshness time.Duration) bool {
	return !g.spec.Draining && g.effectiveLimit() > 0 && (serving || now-g.usableAt < freshness)
}

func (t *Table) newSlotLocked(g *target, now time.Duration) *Slot {
	g.inFlight++
	g.usableAt = now
	s := &Slot{ID: g.spec.ID, Destination: g.spec.Destination, FailureDomain: g.spec.FailureDomain, Address: g.spec.Address,
		Group: g.spec.Group, Number: g.spec.Number, table: t, target: g, members: g.members, epoch: g.epoch, start: now}
	for _, m := range g.members {
		s.incarnations = append(s.incarnations, m.report.Incarnation)
		if m.Address == s.Address {
			s.Incarnation = m.report.Incarnation
		}
	}
	return s
}

// Check tells whether the request may still be sent: every member's report is fresh and unchanged, the target is not
// leaving, and its limit was not lowered below what is in flight. The error is a *result.Error with NotRun.
func (s *Slot) Check() error {
	s.table.mu.Lock()
	defer s.table.mu.Unlock()
	g := s.target
	reason := s.table.unusable(g, s.table.opt.Now())
	switch {
	case reason != "":
	case g.spec.Group != s.Group || g.spec.Number != s.Number || !slices.Equal(g.members, s.members):
		reason = "the group changed"
	case s.changedLocked():
		reason = "restarted"
	case g.inFlight > g.effectiveLimit():
		reason = "back at its cold limit"
	}
	if reason != "" {
		return result.New(result.NoTarget, "target %s can't take the request: %s", s.ID, reason)
	}
	return nil
}

// changedLocked tells whether a member reported another incarnation than when the slot was given.
func (s *Slot) changedLocked() bool {
	for i, m := range s.members {
		if m.report.Incarnation != s.incarnations[i] {
			return true
		}
	}
	return false
}

// Release gives the slot back and tells how the request ended.
func (s *Slot) Release(o Outcome) {
	t, g := s.table, s.target
	t.mu.Lock()
	defer t.mu.Unlock()
	if s.released {
		return
	}
	s.released = true
	g.inFlight--
	q := t.queues[s.Destination]
	if o.Completed {
		t.completedLocked(g, s.epoch)
		if q != nil {
			q.observe(t.opt.Now() - s.start)
		}
	}
	if o.ConnectionLost && s.current() {
		t.lostLocked(g)
	}
	if g.removed && g.inFlight == 0 && t.targets[s.ID] == g {
		delete(t.targets, s.ID)
	}
	g.notify()
	if q != nil {
		t.serveLocked(q)
	}
}

// current tells whether the target still consists of the processes that the slot was given for.
func (s *Slot) current() bool { return slices.Equal(s.target.members, s.members) }

// lostLocked puts the target back to cold after a broken exchange. Reports from before the break don't show whether the
// target survived, so it gets no work until every member answered a probe sent after it; those are sent at once.
func (t *Table) lostLocked(g *target) {
	t.resetLocked(g, "lost_connection")
	now := t.opt.Now()
	g.usableAt, g.lostAt = now, now
	for _, m := range g.members {
		m.reported = false
		m.askNow()
	}
}

func (m *member) askNow() {
	select {
	case m.kick <- struct{}{}:
	default: // A probe is already asked for.
	}
}

// Lost probes all members anew and tells whether the target that the slot was given for is gone: a member can't be
// reached or has another incarnation. It returns false if ctx ends before that is known.
func (s *Slot) Lost(ctx context.Context) bool {
	t := s.table
	asked := t.opt.Now()
	for {
		t.mu.Lock()
		changed := s.target.changed
		known := true
		for i, m := range s.members {
			switch {
			case m.report.Incarnation != s.incarnations[i]:
				t.mu.Unlock()
				return true
			case !m.probed || m.probedAt < asked:
				known = false
				m.askNow()
			case m.lastError != nil:
				t.mu.Unlock()
				return true
			}
		}
		replaced := !s.current()
		t.mu.Unlock()
		if known || replaced {
			return replaced
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

package placement

import (
	"fmt"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/internal/fleet"
)

const (
	tick = 100 * time.Millisecond
	// replyTimeout is the time after which the planner gives up the answer to an order. It sends no other order to the replica before.
	replyTimeout = 400 * time.Millisecond
	// queryInterval is the time after which a replica that hasn't answered a query is queried again.
	queryInterval = 400 * time.Millisecond
	// leaseWait is the time without a planner before another node takes over, and settleTime that for which it only queries replicas.
	leaseWait  = 2 * time.Second
	settleTime = 400 * time.Millisecond
	// The members of a group are probed if its head, at which requests run, is silent for probeAfterSilence, or one isn't listed.
	probeAfterSilence   = 250 * time.Millisecond
	probeInterval       = 700 * time.Millisecond
	failedProbeInterval = 300 * time.Millisecond
	// maxIgnoredFailures is the number of successive probes that fail for this node only and that the planner ignores.
	maxIgnoredFailures = 2
	// maxTunnelDelay is the longest time after which an order that was sent through another node is carried out.
	maxTunnelDelay = time.Second
)

// plannerState is what the emulated planner node keeps beside its plan. Another planner starts without it.
type plannerState struct {
	termStart    clock.Time // When its term began; 0 for the first planner.
	counts       map[fleet.Incarnation]int64
	uncertain    map[fleet.Incarnation]bool // Replicas that must be asked for their count.
	confirmed    map[fleet.Incarnation]int64
	queriedAt    map[fleet.Incarnation]clock.Time
	observations map[fleet.Incarnation]observation
	nextProbe    map[string]clock.Time
	waiting      []waitingOrder
	plannedAt    clock.Time // When the order that is being sent was planned.
	unanswered   []unansweredOrder
	// probeAnswers and queryAnswers are on their way from other nodes.
	probeAnswers []fleet.Incarnation
	queryAnswers []queryAnswer
	ignored      map[fleet.Incarnation]int // Successive failed probes that were ignored.
}

// queryAnswer is what a replica answered to a query and the number of orders that it had begun then.
type queryAnswer struct {
	reported    *fleet.Replica
	ordersBegun int64
}

// observation is what a replica answered to a query, and the entry that was listed then.
type observation struct{ reported, listed *fleet.Replica }

// waitingOrder is an order that waits for an earlier one to the same replica.
type waitingOrder struct {
	Order
	plannedAt clock.Time
}

// unansweredOrder is an order whose answer is given up at a time.
type unansweredOrder struct {
	due   clock.Time
	order Order
}

func newPlannerState() plannerState {
	return plannerState{counts: map[fleet.Incarnation]int64{}, uncertain: map[fleet.Incarnation]bool{}, confirmed: map[fleet.Incarnation]int64{},
		queriedAt: map[fleet.Incarnation]clock.Time{}, observations: map[fleet.Incarnation]observation{}, nextProbe: map[string]clock.Time{}, ignored: map[fleet.Incarnation]int{}}
}

// throughOthers reports whether the planner reaches a replica only by way of other nodes.
func (m *emulator) throughOthers(v *vm) bool {
	return m.detailed && m.otherWay && v.hidden && v.failedAt == 0 && !v.dark()
}

// chance reports whether something happens that does so in one of n cases, the same ones in each run.
func (m *emulator) chance(v *vm, what string, n int) bool { return m.drawFor(v, what).IntN(n) == 0 }

func (m *emulator) drawFor(v *vm, what string) *rand.Rand {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s %s %d", v.id, what, m.clock.Now())
	return rand.New(rand.NewPCG(m.seed, h.Sum64()))
}

// orderArrives reports whether an order to a replica that the planner reaches only by way of other nodes is carried out at once and answered, as
// half of them are. Of the rest, half is lost, and half is carried out without an answer some time later.
func (m *emulator) orderArrives(v *vm, o Order, expected *int64) bool {
	what := fmt.Sprintf("%s %s/%d", o.Action, o.Group, o.Epoch)
	if m.chance(v, what, 2) {
		return true
	}
	if m.chance(v, "lost "+what, 2) {
		m.note("%s of %s/%d to %s: lost on its way through another node", o.Action, o.Group, o.Epoch, v.id)
		return false
	}
	late := tick * time.Duration(m.drawFor(v, "late "+what).IntN(int(maxTunnelDelay/tick)))
	m.lateOrders = append(m.lateOrders, lateOrder{m.clock.Now().Add(late), m.planner.plannedAt, o, expected})
	m.note("%s of %s/%d to %s: no answer through another node, carried out %v later", o.Action, o.Group, o.Epoch, v.id, late)
	return false
}

// keepRecords writes the records that have changed to the store before the orders of the same step are sent.
func (m *emulator) keepRecords(p *Plan) {
	for fabric, r := range p.TakeRecords() {
		if m.records[fabric].Covers(r) {
			continue
		}
		if former, kept := m.records[fabric]; kept {
			m.formerRecords[fabric] = former
		}
		m.records[fabric] = r
	}
}

// foundRecords tells which records another planner finds.
type foundRecords int

const (
	lastRecords   foundRecords = iota
	formerRecords              // The store has lost the last write of each domain.
	noRecords                  // The former planner wrote none, as before an upgrade.
)

func (f foundRecords) String() string {
	return []string{"last records", "former records", "no records"}[f]
}

func (m *emulator) found(f foundRecords) map[string]Record {
	switch f {
	case lastRecords:
		return m.records
	case formerRecords:
		return m.formerRecords
	}
	return nil
}

// takeOver returns the plan of another planner after a time without any, in which the former one's orders are still carried out.
// newNode tells that its node has just been started, so that it doesn't know the entries that lapsed before.
func (m *emulator) takeOver(term int64, newNode bool, found foundRecords, eachTick func()) *Plan {
	m.planner = newPlannerState()
	m.note("the planner stops")
	m.wait(leaseWait, eachTick)
	if newNode {
		m.lastEntries = map[string]*fleet.Replica{}
	}
	m.planner.termStart = m.clock.Now()
	p := New(term)
	p.Restore(m.found(found), m.clock.Now())
	m.wait(settleTime, eachTick)
	m.note("another planner begins, term %d, new node: %t, %v", term, newNode, found)
	return p
}

// wait simulates without a planner.
func (m *emulator) wait(d time.Duration, eachTick func()) {
	for range int(d / tick) {
		m.advance(tick)
		if eachTick != nil {
			eachTick()
		}
		entries := m.listed()
		m.lapsed(entries)
		m.queryReplicas(entries)
	}
}

// uncertain reports whether entries may be outdated.
func (m *emulator) uncertain() bool {
	start := m.planner.termStart
	return m.mayBeOutdated || start != 0 && m.clock.Now().Sub(start) < m.entryTTL+settleTime
}

// queryUnconfirmed returns the listed replicas that have answered a query, and queries the others for the next step.
func (m *emulator) queryUnconfirmed(listed map[string]*fleet.Replica) map[fleet.Incarnation]bool {
	s, answered := &m.planner, map[fleet.Incarnation]bool{}
	arrived := s.queryAnswers
	s.queryAnswers = nil
	if !m.uncertain() {
		clear(s.confirmed)
		clear(s.queriedAt)
		return nil
	}
	for _, a := range arrived {
		if r := listed[a.reported.ID]; r != nil && r.Incarnation() == a.reported.Incarnation() {
			m.queryAnswered(r, a)
		}
	}
	for _, r := range listed {
		start := r.Incarnation()
		epoch, confirmed := s.confirmed[start]
		if answered[start] = confirmed && epochOf(r) >= epoch; answered[start] && m.storedEntries == nil {
			continue
		}
		if !answered[start] {
			delete(s.confirmed, start)
		}
		v := m.vms[r.ID]
		if at, queried := s.queriedAt[start]; queried && m.clock.Now().Sub(at) < queryInterval {
			continue
		}
		s.queriedAt[start] = m.clock.Now()
		if v.failedAt != 0 || !v.reached() && !m.throughOthers(v) || v.startedAt != r.StartedUnixMs {
			continue
		}
		if a := (queryAnswer{v.entry(), v.ordersBegun}); m.throughOthers(v) {
			s.queryAnswers = append(s.queryAnswers, a)
		} else {
			m.queryAnswered(r, a)
		}
	}
	return answered
}

// queryAnswered records the answer of a replica to a query.
func (m *emulator) queryAnswered(listed *fleet.Replica, a queryAnswer) {
	start := listed.Incarnation()
	if m.isNewer(a.reported, listed) {
		m.planner.observations[start] = observation{a.reported, listed}
	}
	m.planner.confirmed[start] = epochOf(a.reported)
	if _, known := m.orderCount(listed); !known {
		m.counted(start, a.ordersBegun)
	}
}

// isNewer reports whether an answer replaces an entry. While the store answers, it must state a later epoch, as an entry may be newer.
func (m *emulator) isNewer(reported, listed *fleet.Replica) bool {
	if m.storedEntries != nil {
		return reported.Group == nil || epochOf(reported) >= epochOf(listed)
	}
	return epochOf(reported) > epochOf(listed)
}

func epochOf(r *fleet.Replica) int64 {
	if r.Group == nil {
		return 0
	}
	return r.Group.Epoch
}

// withObservations returns the entries with those replaced that are older than what their replicas have answered.
func (m *emulator) withObservations(entries map[string]*fleet.Replica) map[string]*fleet.Replica {
	entries = maps.Clone(entries)
	for start, o := range m.planner.observations {
		r := entries[start.ID]
		if r == nil || r.Incarnation() != start {
			delete(m.planner.observations, start)
			continue
		}
		if !m.isNewer(o.reported, r) || m.storedEntries == nil && r.Group == nil && o.listed.Group != nil {
			delete(m.planner.observations, start)
			continue
		}
		merged := *r
		merged.Group, merged.Models, merged.Staged = o.reported.Group, o.reported.Models, o.reported.Staged
		entries[start.ID] = &merged
	}
	return entries
}

// orderCount returns the number of orders that a replica has begun as far as the planner knows it.
func (m *emulator) orderCount(r *fleet.Replica) (n int64, known bool) {
	n, known = m.planner.counts[r.Incarnation()]
	return n, known || !m.planner.uncertain[r.Incarnation()] && r.Group == nil && len(r.Models) == 0 && len(r.Staged) == 0
}

func (m *emulator) counted(start fleet.Incarnation, n int64) {
	m.planner.counts[start] = n
	delete(m.planner.uncertain, start)
}

// recordReplies records that orders haven't been answered in time.
func (m *emulator) recordReplies(p *Plan) {
	due := m.planner.unanswered
	m.planner.unanswered = nil
	for _, u := range due {
		if m.clock.Now() >= u.due {
			p.RecordOutcome(u.order, Unknown)
		} else {
			m.planner.unanswered = append(m.planner.unanswered, u)
		}
	}
}

// sendInTurn sends orders, each once the one before to the same replica has been answered or given up.
func (m *emulator) sendInTurn(p *Plan, orders []Order) {
	busy := map[string]bool{}
	for _, u := range m.planner.unanswered {
		busy[u.order.To.ID] = true
	}
	waiting := m.planner.waiting
	m.planner.waiting = nil
	for _, o := range orders {
		waiting = append(waiting, waitingOrder{o, m.clock.Now()})
	}
	for _, w := range waiting {
		o := w.Order
		if busy[o.To.ID] {
			m.planner.waiting = append(m.planner.waiting, w)
			continue
		}
		if !p.StillWants(o) {
			continue
		}
		m.planner.plannedAt = w.plannedAt
		outcome, sent := m.sendCounted(o)
		switch {
		case !sent:
		case outcome == Unknown:
			busy[o.To.ID] = true
			m.planner.unanswered = append(m.planner.unanswered, unansweredOrder{m.clock.Now().Add(replyTimeout), o})
		default:
			p.RecordOutcome(o, outcome)
		}
	}
}

// sendCounted sends an order, which states the number of orders that the replica has begun unless it is an order to leave. The replica is
// asked for the number if it isn't known or the order is refused. An order to a replica that has moved isn't sent.
func (m *emulator) sendCounted(o Order) (outcome Outcome, sent bool) {
	n, known := m.orderCount(o.To)
	if o.Action == Leave {
		return m.sendOnce(o, nil), true
	}
	if known {
		outcome = m.sendOnce(o, &n)
		if outcome != Refused || o.Action == Stage {
			return outcome, true
		}
	}
	v := m.vms[o.To.ID]
	if v.failedAt != 0 || !v.reached() && !(m.throughOthers(v) && m.chance(v, "count", 2)) {
		return Unknown, true
	}
	if v.startedAt != o.To.StartedUnixMs || o.Action == Join && o.HasMoved(v.entry().Group) {
		return Unknown, false
	}
	n = v.ordersBegun
	m.counted(o.To.Incarnation(), n)
	return m.sendOnce(o, &n), true
}

// sendOnce sends an order once, and records what its reply tells of the number of orders that the replica has begun.
func (m *emulator) sendOnce(o Order, expected *int64) Outcome {
	start, v := o.To.Incarnation(), m.vms[o.To.ID]
	before := v.ordersBegun
	outcome := m.transmit(o, expected)
	n, known := m.orderCount(o.To)
	switch begun := v.ordersBegun > before; {
	case outcome == Accepted && o.Action != Stage && begun && known:
		m.planner.counts[start] = n + 1
	case outcome == Accepted && !begun, outcome == Outdated, outcome == Refused && o.Action == Leave, outcome == Accepted && o.Action != Stage:
	default:
		delete(m.planner.counts, start)
		m.planner.uncertain[start] = true
	}
	return outcome
}

// probeInTime probes the members of the groups that seem to have stopped.
func (m *emulator) probeInTime(p *Plan, listed map[string]*fleet.Replica) {
	now := m.clock.Now()
	for name, members := range p.Groups() {
		if now < m.planner.nextProbe[name] || !p.AwaitsAnswers(name) && !m.seemsStopped(members, listed) {
			continue
		}
		m.planner.nextProbe[name] = now.Add(probeInterval)
		for _, member := range members {
			if member.LastEntry != nil && !m.probeMember(p, member.Incarnation) {
				m.planner.nextProbe[name] = now.Add(failedProbeInterval)
			}
		}
	}
}

// seemsStopped reports whether a member isn't listed, the group is broken, or its head is silent though requests run there.
func (m *emulator) seemsStopped(members []Member, listed map[string]*fleet.Replica) bool {
	for _, member := range members {
		if listed[member.Incarnation.ID] == nil {
			return true
		}
	}
	head := listed[members[0].Incarnation.ID]
	if head.Group == nil {
		return false
	}
	a := m.activity(head)
	return head.Group.State == fleet.GroupBroken || head.Head() && a.Begun > 0 && m.clock.Now().Sub(a.LastEvent) > probeAfterSilence
}

// probeMember probes a replica and reports whether it answers. Through other nodes it answers a tick later, or not at all once in a while,
// which the planner ignores.
func (m *emulator) probeMember(p *Plan, start fleet.Incarnation) bool {
	v, now := m.vms[start.ID], m.clock.Now()
	switch {
	case v != nil && m.throughOthers(v):
		if m.planner.ignored[start] < maxIgnoredFailures && m.chance(v, "probe", 4) {
			m.planner.ignored[start]++
			return false
		}
		delete(m.planner.ignored, start)
		m.planner.probeAnswers = append(m.planner.probeAnswers, start)
		return true
	case v == nil || v.failedAt != 0 || !v.reached():
		p.RecordProbeFailure(start, now)
		return false
	case v.startedAt != start.StartedUnixMs:
		p.RecordEnd(start, now)
		return false
	}
	p.RecordProbeAnswer(start, now)
	return true
}

// takeProbeAnswers records the answers to probes that have come through other nodes. The replica may have ended since.
func (m *emulator) takeProbeAnswers(p *Plan) {
	for _, start := range slices.Clone(m.planner.probeAnswers) {
		if m.vms[start.ID].startedAt == start.StartedUnixMs {
			p.RecordProbeAnswer(start, m.clock.Now())
		} else {
			p.RecordEnd(start, m.clock.Now())
		}
	}
	m.planner.probeAnswers = nil
}

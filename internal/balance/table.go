package balance

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/internal/demand"
	"cassiadeal.example/cassiadeal/internal/fleet"
)

const (
	// minStallSilence is the shortest time without an event after which a head is suspected of having stalled, and stallGaps
	// the number of predicted gaps between events that the silence must last.
	minStallSilence = 450 * time.Millisecond
	stallGaps       = 5
	// suspicionDuration is the time after which a suspected head that sent no event is tried again.
	suspicionDuration = 5 * time.Second
	// AvoidFor is the time for which a replica that couldn't be reached is used only if there is no other.
	AvoidFor = 2 * time.Second
	// fullDuration is the time for which a target that refused a request as full gets no other request. It spans some events,
	// during which slots become free.
	fullDuration = 300 * time.Millisecond
	// idleRetention is the time for which a target without requests is remembered.
	idleRetention = time.Minute
	// refusalTime is the time within which a target refuses a request that it doesn't queue.
	refusalTime = 150 * time.Millisecond
	// loadAgeCost is the part of the age of the loads in other failure domains that is added to the cost of their targets.
	loadAgeCost = 0.25
	// peerStateMaxAge is the age up to which the loads, suspicions and slow factors reported by another node count.
	peerStateMaxAge = 2 * time.Second
	// failureWeight is the weight of the newest outcome in a replica's share of failures.
	failureWeight = 0.1
	// minOverheadWeight is the least weight of the newest sample in the measured overhead of first events; the first samples
	// are weighted as in a mean. maxOverheadSample limits the amount of each sample.
	minOverheadWeight = 0.02
	maxOverheadSample = 300 * time.Millisecond
)

// Key identifies a target: a group in one epoch with its head, or one incarnation of a plain replica.
type Key string

// KeyOf returns the key of the target that the replica is or heads.
func KeyOf(r *fleet.Replica) Key {
	if r.Group == nil {
		return Key(fmt.Sprintf("%s@%d", r.ID, r.StartedUnixMs))
	}
	return Key(fmt.Sprintf("%s@%d", r.ID, r.StartedUnixMs) + groupSuffix(r.Group.Name, r.Group.Epoch))
}

func groupSuffix(name string, epoch int64) string { return fmt.Sprintf("/%s/%d", name, epoch) }

// targetState is what this node knows about a target from its own requests.
type targetState struct {
	load          Load
	tickets       map[*Ticket]struct{}
	lastActivity  clock.Time    // Last event, or the send that ended an idle time.
	lastEvent     clock.Time    // Last event; 0 if there was none.
	suspectUntil  clock.Time    // Until when the target is suspected of having stalled.
	suspicionHeld bool          // The suspicion isn't reported to other nodes until it is confirmed.
	suspicionTold bool          // The suspicion is due to a response, and not to silence.
	avoidUntil    clock.Time    // Until when the target is avoided.
	fullUntil     clock.Time    // Until when the target is treated as full.
	failureShare  float64       // Share of failed exchanges, weighted towards the newest.
	expectedFirst time.Duration // Expected time to the first event of the newest request; see Begin.
	model         string        // Empty for plain replicas.
	slowdown      slowdown
	wayEvents     map[string]clock.Time // Last event by the node through which it came.
}

// overhead is the measured time that first events of a model take beyond the prediction: network delay, and what the published
// figures of the engine leave out.
type overhead struct {
	value   time.Duration
	samples int
}

// PeerState is what another node reports about the targets that it uses.
type PeerState struct {
	Loads       map[Key]Load
	EventAges   map[Key]time.Duration // Time since the last event, for targets with a load that have sent one.
	Suspected   map[Key]bool
	SlowFactors map[Key]float64 // How many times slower than others of its model a target works; absent for those that aren't.
}

// Table holds the loads of all targets, as counted by this node and as reported by the other nodes. It is safe for concurrent
// use. The functions passed to it, such as the gap function of Sweep, are called under its lock and must not use the table.
type Table struct {
	clock clock.Clock

	mu        sync.Mutex
	targets   map[Key]*targetState
	peers     peerReports
	lastSweep clock.Time
	resumedAt clock.Time              // When this process last went on after a pause; 0 for never.
	heard     map[Key]clock.Time      // When any node last received an event from a target, as far as this node knows.
	coldSends map[string][]clock.Time // Sends to cold replicas within the last second, by ID.
	overheads map[string]*overhead    // By model.
	rates     map[string]*rate        // Of this node's sends, by model.
	medians   map[string]median       // Of the measured slowdowns, by model.
	steady    map[string]median       // The same of the steady ones.
}

// NewTable returns an empty table.
func NewTable(c clock.Clock) *Table {
	return &Table{clock: c, targets: map[Key]*targetState{}, peers: newPeerReports(), lastSweep: c.Now(), heard: map[Key]clock.Time{},
		coldSends: map[string][]clock.Time{}, overheads: map[string]*overhead{}, medians: map[string]median{}, steady: map[string]median{}, rates: map[string]*rate{}}
}

// Ticket is one request at a target, from its sending to its end.
type Ticket struct {
	table        *Table
	key          Key
	promptTokens int
	started      bool // No longer counted as waiting.
	ended        bool
	setAside     bool // Not counted in the load; see YieldTo and Strand.
	stranded     bool // See Strand.
	sentAt       clock.Time
	// Set by Connected; connectedAt is 0 before.
	replica     *fleet.Replica
	through     string
	connectedAt clock.Time
	// readBy is when the prompt is predicted to be read; 0 if there is no prediction.
	readBy clock.Time
	// expectedFirst is the time given to Begin; 0 if none was given.
	expectedFirst time.Duration
	// The time between events is predicted from engine and timeFactor. engine is nil if BeginHead didn't set it.
	engine     *fleet.Engine
	timeFactor float64
	lastEvent  clock.Time // Newest event; 0 before the first.
	answer     answer
}

// localLoad returns the load that this node has put on the target.
func (s *targetState) localLoad(now clock.Time) Load {
	l := s.load
	for ticket := range s.tickets {
		if !ticket.setAside {
			ticket.addWork(&l)
		}
		if !ticket.started && !ticket.stranded && (ticket.readBy == 0 || now < ticket.readBy) {
			l.UnreadTokens += ticket.promptTokens
		}
	}
	return l
}

func (t *Table) stateLocked(k Key) *targetState {
	s := t.targets[k]
	if s == nil {
		s = &targetState{tickets: map[*Ticket]struct{}{}, wayEvents: map[string]clock.Time{}}
		t.targets[k] = s
	}
	return s
}

// Begin counts a request that is about to be sent. promptTokens is 0 if the client states no prompt. expectedFirst is the
// predicted time to the first event, or the target latency where there is no prediction.
func (t *Table) Begin(k Key, promptTokens int, expectedFirst time.Duration) *Ticket {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stateLocked(k)
	now := t.clock.Now()
	if s.load.Running == 0 {
		s.lastActivity = now
	}
	s.load = s.load.Add(Load{Running: 1, Waiting: 1})
	s.expectedFirst = expectedFirst
	ticket := &Ticket{table: t, key: k, promptTokens: promptTokens, sentAt: now, expectedFirst: expectedFirst}
	s.tickets[ticket] = struct{}{}
	return ticket
}

// BeginHead counts a request that is about to be sent to a head.
func (t *Table) BeginHead(head *Selection, promptTokens int) *Ticket {
	ticket := t.Begin(head.Key, promptTokens, head.FirstEvent)
	if head.engine == nil {
		return ticket
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	ticket.readBy = ticket.sentAt.Add(ReadTime(head.engine, head.timeFactor*head.SlowFactor, head.Load, promptTokens))
	ticket.engine, ticket.timeFactor = head.engine, head.timeFactor
	t.stateLocked(head.Key).model = head.model
	r := t.rates[head.model]
	if r == nil {
		r = &rate{windowStart: ticket.sentAt}
		t.rates[head.model] = r
	}
	r.add(ticket.sentAt)
	return ticket
}

// RecordEvent records an event of the response.
func (k *Ticket) RecordEvent() {
	k.table.mu.Lock()
	defer k.table.mu.Unlock()
	s, now := k.table.stateLocked(k.key), k.table.clock.Now()
	k.countAgainLocked(s)
	s.lastActivity, s.lastEvent, s.suspectUntil = now, now, 0
	s.wayEvents[k.through] = now
	k.table.heard[k.key] = now
	k.markStartedLocked(s)
	if k.engine != nil {
		k.answer.written += k.engine.Stride // An event holds the tokens of one pass.
	}
	stranded := k.stranded
	k.stranded = false
	if k.lastEvent != 0 && k.engine != nil && !stranded {
		load := k.table.loadLocked(k.key, now)
		expected := k.timeFactor * passMillis(k.engine, load.Running)
		s.slowdown.record(float64(now.Sub(k.lastEvent))/float64(time.Millisecond)/max(expected, 1), load.UnreadTokens > 0, now)
	}
	k.lastEvent = now
}

func (k *Ticket) markStartedLocked(s *targetState) {
	if !k.started && !k.ended {
		if now := k.table.clock.Now(); k.promptTokens > 0 && k.expectedFirst > 0 && k.through == "" && !k.stranded && k.table.slowFactorLocked(k.key, now) == 1 {
			k.table.updateOverheadLocked(s.model, now.Sub(k.sentAt)-k.expectedFirst)
		}
		k.started = true
		s.load.Waiting--
	}
}

// updateOverheadLocked adds the difference of one first event to its prediction as a sample. Its amount is limited to
// maxOverheadSample, so that a single stall has little effect.
func (t *Table) updateOverheadLocked(model string, difference time.Duration) {
	o := t.overheads[model]
	if o == nil {
		o = &overhead{}
		t.overheads[model] = o
	}
	o.samples++
	difference = min(max(difference, -maxOverheadSample), maxOverheadSample)
	o.value = max(0, o.value+time.Duration(float64(difference)*max(minOverheadWeight, 1/float64(o.samples))))
}

func (t *Table) overheadLocked(model string) time.Duration {
	if o := t.overheads[model]; o != nil {
		return o.value
	}
	return 0
}

// End ends the request and removes it from the load. It may be called more than once.
func (k *Ticket) End() {
	k.table.mu.Lock()
	defer k.table.mu.Unlock()
	if k.ended {
		return
	}
	s := k.table.stateLocked(k.key)
	k.countAgainLocked(s)
	if !k.started {
		k.started = true // Without an event there is no sample for the overhead.
		s.load.Waiting--
	}
	k.ended = true
	s.load.Running--
	delete(s.tickets, k)
}

// YieldTo takes the request out of the load of its target, which is silent, once another target has accepted it: that one has had the time to
// refuse it, and has sent an event since, of whatever request. It reports whether the request is out of the load. The next event of the
// first target, or CountAgain, brings it back.
func (k *Ticket) YieldTo(other *Ticket) bool {
	t := k.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if !k.setAside && !k.ended && !other.ended && t.heard[other.key] >= other.sentAt.Add(refusalTime) {
		k.setAsideLocked(t.stateLocked(k.key))
	}
	return k.setAside
}

func (k *Ticket) setAsideLocked(s *targetState) {
	if k.setAside {
		return
	}
	k.setAside = true
	s.load.Running--
	if !k.started {
		s.load.Waiting--
	}
}

// CountAgain brings a request that YieldTo took out of the load of its target back into it, unless it is stranded.
func (k *Ticket) CountAgain() {
	k.table.mu.Lock()
	defer k.table.mu.Unlock()
	if !k.stranded {
		k.countAgainLocked(k.table.stateLocked(k.key))
	}
}

func (k *Ticket) countAgainLocked(s *targetState) {
	if !k.setAside {
		return
	}
	k.setAside = false
	s.load.Running++
	if !k.started {
		s.load.Waiting++
	}
}

// RecordOutcome records whether an exchange failed because of the target.
func (t *Table) RecordOutcome(k Key, failed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stateLocked(k)
	s.failureShare *= 1 - failureWeight
	if failed {
		s.failureShare += failureWeight
	}
}

// Avoid records that the target couldn't be reached.
func (t *Table) Avoid(k Key) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stateLocked(k).avoidUntil = t.clock.Now().Add(AvoidFor)
}

// MarkFull records that the target refused a request as full. The requests of other nodes, of which this node doesn't know yet,
// also fill it.
func (t *Table) MarkFull(k Key) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stateLocked(k).fullUntil = t.clock.Now().Add(fullDuration)
}

// Suspect records that a response told that the target has stalled.
func (t *Table) Suspect(k Key) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stateLocked(k)
	s.suspectUntil, s.suspicionHeld, s.suspicionTold = t.clock.Now().Add(suspicionDuration), false, true
}

// Sweep suspects targets that run requests but have sent no event for too long, and returns those that became suspected. It
// also drops what is known of targets that have been idle for idleRetention. It is called every interval; after a longer pause of this process
// silence proves nothing, since events may wait unread.
func (t *Table) Sweep(interval time.Duration, gap func(Key, Load) time.Duration) []Key {
	return t.sweep(interval, gap, false)
}

// SweepHeld is Sweep, but other nodes aren't told of a suspicion before ConfirmSuspicion is called.
func (t *Table) SweepHeld(interval time.Duration, gap func(Key, Load) time.Duration) []Key {
	return t.sweep(interval, gap, true)
}

func (t *Table) sweep(interval time.Duration, gap func(Key, Load) time.Duration, hold bool) []Key {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	paused := now.Sub(t.lastSweep) > 3*interval
	if paused {
		t.resumedAt = now
	}
	t.lastSweep = now
	maps.DeleteFunc(t.heard, func(_ Key, at clock.Time) bool { return now.Sub(at) > idleRetention })
	var suspected []Key
	for k, s := range t.targets {
		if s.load.Running == 0 {
			if now > s.avoidUntil && now > s.suspectUntil && now.Sub(s.lastActivity) > idleRetention {
				delete(t.targets, k)
			}
			continue
		}
		if paused {
			s.lastActivity = now
			continue
		}
		limit := t.stallLimitLocked(k, s, s.load.Running == s.load.Waiting, gap, now)
		if now.Sub(s.lastActivity) > limit && now > s.suspectUntil {
			s.suspectUntil, s.suspicionHeld, s.suspicionTold = now.Add(suspicionDuration), hold, false
			suspected = append(suspected, k)
		}
	}
	return suspected
}

// SetPeerState stores the state that another node reported.
func (t *Table) SetPeerState(node string, state PeerState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	t.peers.set(node, state, now)
	for k, age := range state.EventAges {
		t.heard[k] = max(t.heard[k], now.Add(-age))
	}
}

// LocalState returns the state of this node's targets, to be reported to the other nodes.
func (t *Table) LocalState() PeerState {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	local := PeerState{map[Key]Load{}, map[Key]time.Duration{}, map[Key]bool{}, map[Key]float64{}}
	for k, s := range t.targets {
		if s.load.Running > 0 {
			local.Loads[k] = s.localLoad(now)
			if s.lastEvent != 0 {
				local.EventAges[k] = now.Sub(s.lastEvent)
			}
		}
		if now < s.suspectUntil && !s.suspicionHeld {
			local.Suspected[k] = true
		}
		if slow := t.localSlowFactorLocked(s, now); slow > 1 {
			local.SlowFactors[k] = slow
		}
	}
	return local
}

// Activity is what all nodes know of the requests at a target.
type Activity struct {
	Running   int        // Requests that were sent to the target and haven't ended.
	Begun     int        // Those of them from which an event was received.
	LastEvent clock.Time // When a node last received an event from it; 0 if that isn't known.
}

// Activity returns what all nodes know of the requests at the target. An event that another node received counts from the time at
// which it was received there, as far as that is known.
func (t *Table) Activity(k Key) Activity {
	t.mu.Lock()
	defer t.mu.Unlock()
	load := t.loadLocked(k, t.clock.Now())
	return Activity{Running: load.Running, Begun: load.Running - load.Waiting, LastEvent: t.heard[k]}
}

// GroupActivity returns the same for the head of an epoch of a group, whichever replica that is.
func (t *Table) GroupActivity(name string, epoch int64) Activity {
	suffix := groupSuffix(name, epoch)
	for _, k := range t.knownKeys() {
		if strings.HasSuffix(string(k), suffix) {
			return t.Activity(k)
		}
	}
	return Activity{}
}

// knownKeys returns the targets that this node or another one has requests at, or has had an event from.
func (t *Table) knownKeys() []Key {
	t.mu.Lock()
	defer t.mu.Unlock()
	keys := map[Key]bool{}
	for k := range t.targets {
		keys[k] = true
	}
	for k := range t.peers.sums {
		keys[k] = true
	}
	for k := range t.heard {
		keys[k] = true
	}
	return slices.Collect(maps.Keys(keys))
}

// SilentTargets returns the targets with started requests from which this node has received no event for the given time.
func (t *Table) SilentTargets(silence time.Duration) map[Key]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now, silent := t.clock.Now(), map[Key]bool{}
	for k, s := range t.targets {
		if s.load.Running > s.load.Waiting && now.Sub(s.lastActivity) > silence {
			silent[k] = true
		}
	}
	return silent
}

// Suspected tells whether this node or another suspects the target of having stalled.
func (t *Table) Suspected(k Key) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.suspectedLocked(k, t.clock.Now())
}

func (t *Table) suspectedLocked(k Key, now clock.Time) bool {
	s := t.targets[k]
	if s != nil && now < s.suspectUntil {
		return true
	}
	if s != nil && s.load.Running > s.load.Waiting && now.Sub(s.lastActivity) < minStallSilence/2 {
		return false // This node receives events, whatever other nodes report.
	}
	return t.peers.sum(k, now).suspects > 0
}

// loadLocked returns the load that all nodes have put on a target.
func (t *Table) loadLocked(k Key, now clock.Time) Load {
	var l Load
	if s := t.targets[k]; s != nil {
		l = s.localLoad(now)
	}
	return l.Add(t.peers.sum(k, now).load)
}

// Selection is a selected head, with the prediction that led to its choice, or a selected plain replica.
type Selection struct {
	Replica    *fleet.Replica
	Key        Key
	Load       Load
	FirstEvent time.Duration // Predicted time to the first event.
	QueueDelay time.Duration // The part of FirstEvent that is due to other requests.
	SlowFactor float64       // How many times slower than others of its model the target works; 1 if it isn't.

	engine     *fleet.Engine
	model      string
	timeFactor float64
}

// Query describes a request for which a replica is selected.
type Query struct {
	View         *fleet.View
	Service      *fleet.Service
	Model        *fleet.Model
	PromptTokens int
	OutputTokens int    // Expected; 0 if unknown.
	Zone         string // Failure domain of this node.
	Exclude      map[Key]bool
	// Refused reports whether what a replica has stated in responses keeps the request from it; nil for never.
	Refused func(*fleet.Replica) bool
	// Limited reports whether a replica has stated a limit on its rate of requests, of which only a few nodes have a part, and
	// Connected whether this node has an idle connection to it; each nil for never.
	Limited, Connected func(*fleet.Replica) bool
	// ColdShare is the part of a cold replica's request rate that this node may use: one over the number of serving nodes.
	ColdShare float64
	// LoadAge is how old the loads reported by nodes of other failure domains may be. It also serves as the age of the loads of
	// the targets there.
	LoadAge time.Duration
	// GapTarget is the longest time between two events at which a response is on time; 0 for none.
	GapTarget time.Duration
	// Arrivals are the requests for the model at all nodes, as far as they report them.
	Arrivals demand.Arrivals
	// Suspected makes PickHead consider heads that are suspected of having stalled as well.
	Suspected bool
}

func (q *Query) refuses(r *fleet.Replica) bool { return q.Refused != nil && q.Refused(r) }
func (q *Query) limits(r *fleet.Replica) bool  { return q.Limited != nil && q.Limited(r) }

// remoteZoneCost is added to the cost of heads in other failure domains, to which links are slower and charged for.
const remoteZoneCost = 12 * time.Millisecond

// PickHead returns a head with an early predicted first event, or nil if no head of the model can take the request. Suspected
// heads are returned only if q.Suspected is set.
func (t *Table) PickHead(q Query) *Selection {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	var candidates []candidate
	for _, r := range q.View.ByService[q.Service.Name] {
		if !r.Head() || r.Models[0] != q.Model.Name {
			continue
		}
		k := KeyOf(r)
		if t.leftOutLocked(r, k, q, now) != "" {
			continue
		}
		candidates = append(candidates, t.candidateLocked(r, k, q, now))
	}
	candidates = withRoom(candidates)
	return preferConnected(choose(candidates, t.arrivalsLocked(q, now)), candidates, q.Connected)
}

// candidateLocked predicts the first event of the request at the head and its cost.
func (t *Table) candidateLocked(r *fleet.Replica, k Key, q Query, now clock.Time) candidate {
	load, slowFactor := t.loadLocked(k, now), t.slowFactorLocked(k, now)
	predict := func(l Load) time.Duration {
		first := t.overheadLocked(q.Model.Name) + FirstEvent(q.Service.Engine, q.Model.TimeFactor, l, q.PromptTokens)
		return time.Duration(slowFactor * float64(first))
	}
	first := predict(load)
	cost := time.Duration(t.smallFactorLocked(k, now) * float64(first))
	if gap := Gap(q.Service.Engine, slowFactor*q.Model.TimeFactor, load); slowFactor > 1 && q.GapTarget > 0 && gap > q.GapTarget {
		cost += gap // The response would be late even if its first event is on time.
	}
	if r.Zone != q.Zone {
		cost += remoteZoneCost + time.Duration(loadAgeCost*float64(q.LoadAge))
	}
	if s := t.targets[k]; s != nil {
		if now < s.avoidUntil {
			cost += AvoidFor
		}
		cost += time.Duration(s.failureShare * float64(time.Second))
	}
	costPerRequest := time.Duration(slowFactor * float64(delayPerRequest(q.Service.Engine, q.Model.TimeFactor, q.meanPromptTokens())))
	return candidate{&Selection{Replica: r, Key: k, Load: load, FirstEvent: first, QueueDelay: first - predict(Load{}), SlowFactor: slowFactor,
		engine: q.Service.Engine, model: q.Model.Name, timeFactor: q.Model.TimeFactor}, cost, costPerRequest, q.limits(r),
		exceedsMemory(q.Service.Engine, load, q.PromptTokens, q.OutputTokens)}
}

// PickPlain returns the plain replica with the least load for its slots, preferably in this failure domain, or nil.
func (t *Table) PickPlain(q Query) *fleet.Replica {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	var selected *fleet.Replica
	var selectedCost float64
	for _, r := range q.View.ByService[q.Service.Name] {
		k := KeyOf(r)
		if q.Exclude[k] || q.refuses(r) || t.coldLimitReachedLocked(r, q, now) {
			continue
		}
		// Another failure domain costs as much as half of the slots in use.
		cost := float64(t.loadLocked(k, now).Running) / float64(max(r.Slots, 1))
		if r.Zone != q.Zone {
			cost += 0.5
		}
		if s := t.targets[k]; s != nil {
			cost += 4 * s.failureShare
			if now < s.avoidUntil || now < s.suspectUntil {
				cost += 100
			}
		}
		cost += 0.05 * rand.Float64()
		if selected == nil || cost < selectedCost {
			selected, selectedCost = r, cost
		}
	}
	return selected
}

// UnloadedFirstEvent returns the predicted time to the first event for a request of the usual size on an idle group.
func (t *Table) UnloadedFirstEvent(e *fleet.Engine, m *fleet.Model) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.overheadLocked(m.Name) + FirstEvent(e, m.TimeFactor, Load{}, e.MeanPromptTokens)
}

// Load returns the load that all nodes have put on a target.
func (t *Table) Load(k Key) Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.loadLocked(k, t.clock.Now())
}

package placement

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/internal/fleet"
)

// emulator simulates the replicas of a model service in simulated time: orders, weight loads, groups and lapsing entries. It
// records violations of the rules for groups, which checkHeadReleased and checkMembersReady check.
type emulator struct {
	t                  testing.TB
	clock              *clock.Manual
	engine             *fleet.Engine
	vms                map[string]*vm
	violations         []string
	loads              []clock.Time               // Starts of weight loads.
	loadedBy           map[string]int             // Number of weight loads by VM.
	readyOnce          map[string]map[string]bool // Members that have been ready, by group and epoch.
	reportLag          time.Duration              // Age of the entries that the planner reads.
	entryTTL           time.Duration              // Time after which the entry of a stopped VM is removed.
	history            []snapshot
	beforeFirstRequest bool
	loseAnswer         func(Order) bool // Tells whether the answer to an order is lost and the order is carried out late.
	refuse             func(Order) bool // Tells whether the replica refuses an order.
	lateOrders         []lateOrder
	lastEntries        map[string]*fleet.Replica // Newest listed entries, by ID.
	incomplete         bool
	interruptions      []string                             // Orders that interrupted running requests.
	storedEntries      map[string]*fleet.Replica            // Outdated list of the store; nil if it is up to date.
	mayBeOutdated      bool                                 // Value of Input.MayBeOutdated.
	reports            map[fleet.Incarnation]*fleet.Replica // What replicas reported to the planner's direct queries.
	limited            map[string]bool                      // Replicas that limit their rate of requests, by ID.
	unheard            map[string]bool                      // Those of them that haven't stated it yet.
	aloneSince         clock.Time                           // When the planner was cut off from all other nodes; 0 if it isn't.
	activityInterval   time.Duration                        // How old what nodes report of their requests may be.
	// detailed makes heads whose members are gone break, lets events come only from heads at which requests run, and gives the planner the
	// order counts, delays, queries and probes of package planner.
	detailed           bool
	lateBy             func(Order) time.Duration // After which an order whose answer is lost is carried out; 4 s if nil.
	stateCounts        bool                      // Orders state how many the replica has begun, as those of package planner, also without the detailed mode.
	otherWay           bool                      // In the detailed mode: the planner reaches hidden replicas by way of other nodes.
	seed               uint64                    // Of what happens on the way through other nodes.
	planner            plannerState
	records            map[string]Record // What planners have kept in the store, by fabric domain.
	formerRecords      map[string]Record // The versions before the last ones.
	strictViolations   []string
	soundInterruptions []string // Orders that ended requests at sound heads.
	timeline           []string
	follow             bool              // Value of Input.Follow.
	wanted             map[string]int    // Value of Input.Wanted.
	givenUpDark        map[groupKey]bool // Epochs that the plan doesn't hold any more, and whether their heads were dark when they were given up.
}

// snapshot holds the entries of the replicas at one time.
type snapshot struct {
	takenAt  clock.Time
	replicas map[string]*fleet.Replica
}

// lateOrder is an order that is carried out after its answer was given up.
type lateOrder struct {
	due       clock.Time
	plannedAt clock.Time
	order     Order
	expected  *int64 // Number of orders that the replica must have begun; nil if it doesn't matter.
}

// vm is one emulated replica.
type vm struct {
	id, fabric   string
	startedAt    int64
	failedAt     clock.Time     // When it stopped answering; 0 while it runs.
	unlistedAt   clock.Time     // When its entry was removed, though it runs; 0 while it is listed.
	storeCutAt   clock.Time     // Since when it can't write its entry; 0 if it can.
	storedEntry  *fleet.Replica // Its entry at storeCutAt.
	cutOff       bool           // No node reaches it, though it runs, is listed and reaches the other members of its group.
	draining     bool
	staged       []string
	staging      string
	stagingDone  clock.Time
	model        string
	group        string
	epoch        int64
	rank         int
	members      []string
	state        fleet.GroupState
	readyAt      clock.Time // When it has joined its group.
	openAt       clock.Time // When an accepted open order takes effect; 0 if there is none.
	highestEpoch int64      // Highest epoch that it has joined.
	busyUntil    clock.Time // The head has running requests until then.
	busyFrom     clock.Time // When the oldest of them was sent; 0 if that doesn't matter.
	lastEvent    clock.Time // When a node last received an event from the head.
	eventEpoch   int64      // Epoch in which it was sent.
	silent       bool       // No data go in or out of it for a while, though it runs.
	hidden       bool       // The planner doesn't reach it directly, other nodes do.
	lastDark     clock.Time // When it was last silent or cut off.
	stalledSince clock.Time // Since when the group that it heads stands still; 0 if it doesn't.
	ordersBegun  int64
	lastGroup    groupKey // The epoch that it joined last, also if it has left it since.
	lastHead     string   // The head of lastGroup.
	leftDark     bool     // The head of lastGroup was dark when it left.
}

// followDemand lets all tests stage weights ahead, and allow moves, as with the setting --follow-demand.
var followDemand = flag.Bool("follow-demand", false, "replicas follow the demand for models")

// emulatorStart is the time at which an emulator starts.
const emulatorStart = clock.Time(time.Hour)

// aloneTimeout is the time after which a planner that hears of no other node knows it.
const aloneTimeout = 1200 * time.Millisecond

func newEmulator(t testing.TB, domains, size int, e *fleet.Engine) *emulator {
	m := &emulator{t: t, clock: clock.NewManual(time.Duration(emulatorStart)), engine: e, vms: map[string]*vm{}, readyOnce: map[string]map[string]bool{},
		loadedBy: map[string]int{}, lastEntries: map[string]*fleet.Replica{}, planner: newPlannerState(), records: map[string]Record{}, formerRecords: map[string]Record{}, givenUpDark: map[groupKey]bool{},
		follow: *followDemand, reportLag: 200 * time.Millisecond, entryTTL: 3600 * time.Millisecond, beforeFirstRequest: true}
	for d := range domains {
		for i := range size {
			m.add(fmt.Sprintf("vm-%d-%02d", d, i), fmt.Sprintf("domain-%d", d))
		}
	}
	return m
}

func (m *emulator) add(id, fabric string) *vm {
	v := &vm{id: id, fabric: fabric, startedAt: int64(m.clock.Now())}
	m.vms[id] = v
	return v
}

// advance moves the time forward and carries out what is due.
func (m *emulator) advance(d time.Duration) {
	m.clock.Advance(d)
	now := m.clock.Now()
	for _, l := range m.lateOrders {
		if now >= l.due {
			m.executeLate(l)
		}
	}
	m.lateOrders = slices.DeleteFunc(m.lateOrders, func(l lateOrder) bool { return now >= l.due })
	for _, v := range m.vms {
		if v.failedAt != 0 {
			continue
		}
		if v.staging != "" && now >= v.stagingDone {
			v.staged, v.staging = []string{v.staging}, ""
		}
		if v.state == fleet.GroupJoining && now >= v.readyAt {
			v.state = fleet.GroupReady
			key := fmt.Sprintf("%s/%d", v.group, v.epoch)
			if m.readyOnce[key] == nil {
				m.readyOnce[key] = map[string]bool{}
			}
			m.readyOnce[key][v.id] = true
		}
		if v.state == fleet.GroupClosing && now >= v.busyUntil {
			v.state = fleet.GroupReady
		}
		if v.openAt != 0 && now >= v.openAt && v.state == fleet.GroupReady {
			v.state, v.openAt = fleet.GroupOpen, 0
		}
	}
	for _, v := range m.vms {
		if v.dark() {
			v.lastDark = now
		}
		if v.failedAt != 0 || !v.serves() {
			v.stalledSince = 0
			continue
		}
		if m.detailed {
			m.breakStalled(v)
		}
		if v.serves() && m.sendsEvents(v) && (!m.detailed || now < v.busyUntil) {
			v.lastEvent, v.eventEpoch = now, v.epoch
		}
	}
	m.history = append(m.history, snapshot{now, m.entries()})
}

// serves reports whether the VM is a head whose group is open or closing. It may stand still.
func (v *vm) serves() bool { return v.state == fleet.GroupOpen || v.state == fleet.GroupClosing }

// breakStalled breaks the group of a serving head that has stood still for stallAfter.
func (m *emulator) breakStalled(head *vm) {
	now := m.clock.Now()
	switch {
	case m.complete(head):
		head.stalledSince = 0
	case head.stalledSince == 0:
		head.stalledSince = now
	case now.Sub(head.stalledSince) >= stallAfter:
		head.state, head.busyUntil = fleet.GroupBroken, min(head.busyUntil, now)
	}
}

// sendsEvents reports whether events of a serving head reach nodes.
func (m *emulator) sendsEvents(head *vm) bool { return m.complete(head) && !head.cutOff }

// complete reports whether no member of the group of a head is lost or silent, so that the group doesn't stand still.
func (m *emulator) complete(head *vm) bool {
	for _, id := range head.members {
		v := m.vms[id]
		if v == nil || v.failedAt != 0 || v.silent || v.group != head.group || v.epoch != head.epoch {
			return false
		}
	}
	return true
}

// activity returns what the nodes know of the requests at a head. A planner that is alone knows what was reported before.
func (m *emulator) activity(r *fleet.Replica) Activity {
	v := m.vms[r.ID]
	a := Activity{LastEvent: v.lastEvent}
	if r.Group != nil && r.Group.Epoch != v.eventEpoch {
		a.LastEvent = 0 // Events are known by the epoch of their head.
	}
	if m.clock.Now() < v.busyUntil {
		a.Running = 1
		if v.lastEvent >= v.busyFrom {
			a.Begun = 1
		}
	}
	if interval := m.activityInterval; interval > 0 {
		a.LastEvent = min(a.LastEvent, m.clock.Now()/clock.Time(interval)*clock.Time(interval))
	}
	if m.aloneSince == 0 {
		return a
	}
	a.LastEvent = min(a.LastEvent, m.aloneSince)
	if m.clock.Now().Sub(m.aloneSince) > aloneTimeout {
		a.Running, a.Begun, a.Unknown = 0, 0, true
	}
	return a
}

// groupActivity returns what the nodes know of the requests at the head of an epoch of a group.
func (m *emulator) groupActivity(name string, epoch int64) Activity {
	for _, v := range m.vms {
		if v.group == name && v.epoch == epoch && v.rank == 0 {
			return m.activity(&fleet.Replica{ID: v.id})
		}
	}
	return Activity{}
}

// reached reports whether a replica that runs answers the planner directly.
func (v *vm) reached() bool { return !v.dark() && !v.hidden }

// dark reports whether no node reaches a replica.
func (v *vm) dark() bool { return v.cutOff || v.silent }

// entry returns the state that a replica reports.
func (v *vm) entry() *fleet.Replica {
	r := &fleet.Replica{ID: v.id, Service: "pool", Address: v.id + ":1", Fabric: v.fabric, Zone: v.fabric, StartedUnixMs: v.startedAt,
		Draining: v.draining, Staged: slices.Clone(v.staged)}
	if v.group != "" {
		r.Group = &fleet.Membership{Name: v.group, Epoch: v.epoch, Rank: v.rank, State: v.state}
	}
	if v.model != "" {
		r.Models = []string{v.model}
	}
	return r
}

// entries returns the current entries of the replicas by ID. The entry of a VM that has stopped or can't reach the store stays for
// entryTTL.
func (m *emulator) entries() map[string]*fleet.Replica {
	now, list := m.clock.Now(), map[string]*fleet.Replica{}
	for id, v := range m.vms {
		switch {
		case v.failedAt != 0 && now.Sub(v.failedAt) > m.entryTTL, v.unlistedAt != 0 && now >= v.unlistedAt:
		case v.storeCutAt == 0:
			list[id] = v.entry()
		case now.Sub(v.storeCutAt) <= m.entryTTL:
			list[id] = v.storedEntry
		}
	}
	return list
}

// cutFromStore lets a replica write its entry no more.
func (m *emulator) cutFromStore(v *vm) {
	v.storeCutAt, v.storedEntry = m.clock.Now(), v.entry()
	m.note("%s (%s/%d, rank %d, %s) is cut off from the store", v.id, v.group, v.epoch, v.rank, v.state)
}

// listed returns the entries that the planner reads: older by reportLag, or the outdated list of the store changed by reports.
func (m *emulator) listed() map[string]*fleet.Replica {
	if m.storedEntries != nil && m.detailed {
		return m.withObservations(m.storedEntries)
	}
	if m.storedEntries != nil {
		list := maps.Clone(m.storedEntries)
		for incarnation, r := range m.reports {
			if list[incarnation.ID] != nil {
				list[incarnation.ID] = r
			}
		}
		return list
	}
	now := m.clock.Now()
	for i := len(m.history) - 1; i >= 0; i-- {
		if now.Sub(m.history[i].takenAt) >= m.reportLag {
			return m.withObservations(m.history[i].replicas)
		}
	}
	return map[string]*fleet.Replica{}
}

// execute carries out an order of the planner and returns its outcome.
func (m *emulator) execute(o Order) Outcome { return m.executeCounted(o, nil) }

// executeCounted carries out an order unless the replica has begun another number of orders than expected, if that is stated.
func (m *emulator) executeCounted(o Order, expected *int64) Outcome {
	v := m.vms[o.To.ID]
	if v == nil || v.failedAt != 0 || !v.reached() && !m.throughOthers(v) {
		return Unknown
	}
	if m.throughOthers(v) && !m.orderArrives(v, o, expected) {
		return Unknown
	}
	if v.startedAt != o.To.StartedUnixMs {
		return Refused
	}
	return m.carryOut(v, o, expected, m.planner.plannedAt)
}

// executeLate carries out an order that has reached the replica, or its network, before.
func (m *emulator) executeLate(l lateOrder) {
	if v := m.vms[l.order.To.ID]; v != nil && v.failedAt == 0 && !v.dark() && v.startedAt == l.order.To.StartedUnixMs {
		outcome := m.carryOut(v, l.order, l.expected, l.plannedAt)
		m.note("late %s of %s/%d to %s: outcome %d", l.order.Action, l.order.Group, l.order.Epoch, v.id, outcome)
	}
}

func (m *emulator) carryOut(v *vm, o Order, expected *int64, plannedAt clock.Time) Outcome {
	now := m.clock.Now()
	if expected != nil && *expected != v.ordersBegun {
		return Refused
	}
	if v.serves() && now < v.busyUntil && (o.Action == Join || o.Action == Leave) {
		m.interruptions = append(m.interruptions, fmt.Sprintf("%s to %s (%s)", o.Action, v.id, o.Reason))
	}
	switch o.Action {
	case Stage:
		v.staging, v.stagingDone = o.Model, now.Add(m.loadTime(o.Model))
		m.loads = append(m.loads, now)
		m.loadedBy[v.id]++
		v.ordersBegun++
		return Accepted
	case Join:
		return m.join(v, o, plannedAt)
	}
	if v.group != o.Group || v.epoch != o.Epoch {
		return Refused
	}
	switch {
	case o.Action == Leave:
		m.noteInterruption(v, o, plannedAt)
		v.leftDark = m.headIsDark(v.lastHead)
		v.group, v.epoch, v.state, v.members = "", 0, "", nil
	case o.Action == Open && v.state == fleet.GroupReady && v.openAt == 0:
		m.checkMembersReady(v)
		v.openAt = now.Add(m.engine.OpenTime)
	case o.Action == CloseGroup && v.state == fleet.GroupOpen:
		v.state = fleet.GroupClosing
	case o.Action == CloseGroup && v.state == fleet.GroupClosing, o.Action == Open && (v.state == fleet.GroupOpen || v.openAt != 0):
		return Accepted
	default:
		return Refused
	}
	v.ordersBegun++
	return Accepted
}

// loadTime returns the time to load weights from the weight store, which is a tenth before the first request of a client.
func (m *emulator) loadTime(model string) time.Duration {
	load := m.engine.Model(model).LoadTime
	if m.beforeFirstRequest {
		return load / 10
	}
	return load
}

func (m *emulator) join(v *vm, o Order, plannedAt clock.Time) Outcome {
	if o.Epoch < v.highestEpoch || o.Epoch == v.epoch && o.Group == v.group && !slices.Equal(o.Members, v.members) {
		return Outdated
	}
	if o.Epoch == v.epoch && o.Group == v.group {
		return Accepted
	}
	if v.group != "" && (v.group != o.Group || o.Epoch != v.epoch) {
		m.checkHeadReleased(v, o)
	}
	m.checkFormerHead(v, o)
	m.noteInterruption(v, o, plannedAt)
	ready := 200 * time.Millisecond
	now := m.clock.Now()
	switch {
	case v.model == o.Model:
	case slices.Contains(v.staged, o.Model):
		ready = m.engine.Model(o.Model).StagedLoadTime
	case v.staging == o.Model:
		ready = v.stagingDone.Sub(now) + m.engine.Model(o.Model).StagedLoadTime
	default:
		ready = m.loadTime(o.Model)
		v.staged = []string{o.Model}
		m.loads = append(m.loads, now)
		m.loadedBy[v.id]++
	}
	v.group, v.epoch, v.highestEpoch, v.model = o.Group, o.Epoch, o.Epoch, o.Model
	v.members, v.rank, v.state, v.readyAt, v.openAt = slices.Clone(o.Members), slices.Index(o.Members, v.id), fleet.GroupJoining, now.Add(ready), 0
	v.lastGroup, v.lastHead, v.leftDark = groupKey{o.Group, o.Epoch}, o.Members[0], false
	v.ordersBegun++
	return Accepted
}

// checkHeadReleased records a violation if a member is joined to another group while the head of its group serves, or if a head that
// serves is joined to a group with another name.
func (m *emulator) checkHeadReleased(v *vm, o Order) {
	head := m.vms[v.members[0]]
	if head != nil && (head != v || o.Group != v.group) && head.failedAt == 0 && head.group == v.group && head.epoch == v.epoch &&
		head.serves() {
		m.violations = append(m.violations, fmt.Sprintf("%s was joined to %s while %s of %s was %s", v.id, o.Group, v.group, head.id, head.state))
	}
}

// checkFormerHead records a strict violation if a replica is joined to another group or epoch while the head of the one that it joined last
// serves, or stands still and isn't broken yet, also if the replica has left it on an order. A head that was dark when its group was given up
// is allowed: nobody could tell it from one that has ended, and its members must be used again some time.
func (m *emulator) checkFormerHead(v *vm, o Order) {
	head := m.vms[v.lastHead]
	if head == nil || head == v && o.Group == v.lastGroup.name || head.failedAt != 0 || !head.serves() ||
		(groupKey{head.group, head.epoch}) != v.lastGroup || m.excused(v) {
		return
	}
	m.strictViolations = append(m.strictViolations, fmt.Sprintf("%.2f: %s was joined to %s/%d while %s/%d of %s was %s (stalled: %t)",
		m.clock.Now().Sub(emulatorStart).Seconds(), v.id, o.Group, o.Epoch, v.lastGroup.name, v.lastGroup.epoch, head.id, head.state, head.stalledSince != 0))
}

// excused reports whether the head of the group that a replica joined last was dark when the group was given up, or, if no plan of the
// present planner held the group, when the replica left it or now.
func (m *emulator) excused(v *vm) bool {
	dark, givenUp := m.givenUpDark[v.lastGroup]
	return givenUp && dark || !givenUp && (v.leftDark || m.headIsDark(v.lastHead))
}

// headIsDark reports whether a head has ended, no node reaches it, or none has received anything from it since it was out of reach.
func (m *emulator) headIsDark(id string) bool {
	head := m.vms[id]
	return head == nil || head.failedAt != 0 || head.dark() || head.lastDark == m.clock.Now()
}

// noteGivenUp records for the epochs that a step of the planner has given up whether their heads were dark.
func (m *emulator) noteGivenUp(before, after map[groupKey]bool) {
	for key := range before {
		if !after[key] {
			m.givenUpDark[key] = m.headIsDark(m.headOf(key))
		}
	}
	for key := range after {
		delete(m.givenUpDark, key)
	}
}

// headOf returns the ID of the head of an epoch, which the planner may not know, or "" if no replica has joined the epoch.
func (m *emulator) headOf(key groupKey) string {
	for _, v := range m.vms {
		if v.lastGroup == key {
			return v.lastHead
		}
	}
	return ""
}

// plannedEpochs returns the planned epochs, and the earlier ones that heads may still serve.
func (p *Plan) plannedEpochs() map[groupKey]bool {
	epochs := map[groupKey]bool{}
	for name, g := range p.groups {
		epochs[groupKey{name, g.epoch}] = true
		if g.formerEpoch != 0 {
			epochs[groupKey{name, g.formerEpoch}] = true
		}
	}
	return epochs
}

// noteInterruption records an order that ends requests at a sound head: all members of its group are in it and run, nodes receive its
// events, and the requests were sent before the order was planned.
func (m *emulator) noteInterruption(v *vm, o Order, plannedAt clock.Time) {
	if v.group == "" {
		return
	}
	head := m.vms[v.lastHead]
	if head == nil || head.failedAt != 0 || !head.serves() || head.group != v.group || head.epoch != v.epoch || m.clock.Now() >= head.busyUntil || head.busyFrom >= plannedAt ||
		!m.sendsEvents(head) || m.excused(v) {
		return
	}
	m.soundInterruptions = append(m.soundInterruptions, fmt.Sprintf("%.2f: %s to %s, which is in %s/%d of %s (%s)", m.clock.Now().Sub(emulatorStart).Seconds(), o.Action, v.id,
		v.group, v.epoch, head.id, o.Reason))
}

// checkMembersReady records a violation if a group is opened with a member that was never ready or with the wrong size.
func (m *emulator) checkMembersReady(head *vm) {
	key := fmt.Sprintf("%s/%d", head.group, head.epoch)
	for _, id := range head.members {
		if !m.readyOnce[key][id] {
			m.violations = append(m.violations, fmt.Sprintf("%s opened though %s was never ready", key, id))
		}
	}
	if want := m.engine.Model(head.model).Size; len(head.members) != want {
		m.violations = append(m.violations, fmt.Sprintf("%s opened with %d members", key, len(head.members)))
	}
}

// openGroups returns the number of open groups with all members running, by model.
func (m *emulator) openGroups() map[string]int {
	counts := map[string]int{}
	for _, v := range m.vms {
		if v.failedAt != 0 || v.state != fleet.GroupOpen {
			continue
		}
		complete := true
		for _, id := range v.members {
			member := m.vms[id]
			complete = complete && member != nil && member.failedAt == 0 && member.group == v.group && member.epoch == v.epoch
		}
		if complete {
			counts[v.model]++
		}
	}
	return counts
}

// run plans and simulates for the time, and calls eachTick, if set, in every tick before the planner's step.
func (m *emulator) run(p *Plan, d time.Duration, eachTick func()) {
	const step = 100 * time.Millisecond
	for range int(d / step) {
		m.advance(step)
		if eachTick != nil {
			eachTick()
		}
		m.step(p)
	}
}

// step runs one step of the planner and carries out its orders.
func (m *emulator) step(p *Plan) {
	need := map[string]float64{}
	for _, model := range m.engine.Models {
		need[model.Name] = model.Share
	}
	entries := m.listed()
	if m.detailed {
		m.recordReplies(p)
		m.takeProbeAnswers(p)
		m.probeInTime(p, entries)
	} else {
		m.probe(p, entries)
	}
	m.probeFormerMembers(p, entries)
	planned := p.plannedEpochs()
	orders := p.Step(Input{Now: m.clock.Now(), Engine: m.engine, Replicas: entries, Need: need, BeforeFirstRequest: m.beforeFirstRequest,
		Lapsed: m.lapsed(entries), Incomplete: m.incomplete, MayBeOutdated: m.uncertain(), Confirmed: m.queryReplicas(entries),
		LoadWindow: 5 * time.Second, StallAfter: stallAfter, HeadActivity: m.activity, GroupActivity: m.groupActivity,
		Limited: func(r *fleet.Replica) bool { return m.limited[r.ID] && !m.unheard[r.ID] }, Follow: m.follow, Wanted: m.wanted})
	m.noteGivenUp(planned, p.plannedEpochs())
	if m.detailed {
		m.keepRecords(p)
		m.sendInTurn(p, orders)
		return
	}
	for _, o := range orders {
		m.planner.plannedAt = m.clock.Now()
		p.RecordOutcome(o, m.transmit(o, nil))
	}
}

// note adds a line to the timeline that a failed test prints.
func (m *emulator) note(format string, values ...any) {
	m.timeline = append(m.timeline, fmt.Sprintf("%7.2f ", m.clock.Now().Sub(emulatorStart).Seconds())+fmt.Sprintf(format, values...))
}

// transmit sends an order, which may be refused or lost on the way as the test says, and returns its outcome.
func (m *emulator) transmit(o Order, expected *int64) Outcome {
	if m.refuse != nil && m.refuse(o) {
		return Refused
	}
	if m.loseAnswer != nil && m.loseAnswer(o) {
		if v := m.vms[o.To.ID]; m.stateCounts && v != nil && expected == nil && o.Action != Leave {
			n := v.ordersBegun
			expected = &n
		}
		late := 4 * time.Second
		if m.lateBy != nil {
			late = m.lateBy(o)
		}
		m.lateOrders = append(m.lateOrders, lateOrder{m.clock.Now().Add(late), m.planner.plannedAt, o, expected})
		m.note("%s of %s/%d %v to %s: no answer, carried out %v later (%s)", o.Action, o.Group, o.Epoch, o.Members, o.To.ID, late, o.Reason)
		return Unknown
	}
	outcome := m.executeCounted(o, expected)
	if o.Action != Stage && !strings.HasPrefix(o.Group, StandbyPrefix) {
		m.note("%s of %s/%d %v to %s: outcome %d (%s)", o.Action, o.Group, o.Epoch, o.Members, o.To.ID, outcome, o.Reason)
	}
	return outcome
}

// queryReplicas returns the replicas that answered the planner's last direct queries, and queries all for its next step. It
// does nothing unless Input.MayBeOutdated is set.
func (m *emulator) queryReplicas(listed map[string]*fleet.Replica) map[fleet.Incarnation]bool {
	if m.detailed {
		return m.queryUnconfirmed(listed)
	}
	if !m.mayBeOutdated {
		m.reports = nil
		return nil
	}
	answered := map[fleet.Incarnation]bool{}
	for incarnation := range m.reports {
		answered[incarnation] = true
	}
	m.reports = map[fleet.Incarnation]*fleet.Replica{}
	for id, r := range m.entries() {
		if v := m.vms[id]; v.failedAt == 0 && v.reached() {
			m.reports[r.Incarnation()] = r
		}
	}
	return answered
}

// lapsed returns the last entries of replicas that were listed earlier.
func (m *emulator) lapsed(listed map[string]*fleet.Replica) map[string]*fleet.Replica {
	lapsed := map[string]*fleet.Replica{}
	for id, r := range m.lastEntries {
		if listed[id] == nil {
			lapsed[id] = r
		}
	}
	maps.Copy(m.lastEntries, listed)
	return lapsed
}

// probe probes the members of groups that are unlisted or cut off, or whose answers the plan needs, as the planner does.
func (m *emulator) probe(p *Plan, listed map[string]*fleet.Replica) {
	for name, members := range p.Groups() {
		for _, member := range members {
			if v := m.vms[member.Incarnation.ID]; v != nil && v.failedAt == 0 && v.reached() && p.AwaitsAnswers(name) {
				delete(m.unheard, v.id)
				p.RecordProbeAnswer(member.Incarnation, m.clock.Now())
			} else if v == nil || listed[member.Incarnation.ID] != nil && v.reached() {
				continue
			} else if !v.reached() {
				p.RecordProbeFailure(member.Incarnation, m.clock.Now())
			} else if v.failedAt == 0 && v.startedAt == member.Incarnation.StartedUnixMs {
				p.RecordProbeAnswer(member.Incarnation, m.clock.Now())
			} else {
				p.RecordProbeFailure(member.Incarnation, m.clock.Now())
			}
		}
	}
}

// probeFormerMembers probes the members of groups that were given up, as the planner does.
func (m *emulator) probeFormerMembers(p *Plan, listed map[string]*fleet.Replica) {
	for _, former := range p.FormerMembers(listed) {
		if v := m.vms[former.Replica.ID]; m.throughOthers(v) {
			m.probeMember(p, former.Replica.Incarnation())
		} else if v.failedAt == 0 && v.reached() {
			p.RecordProbeAnswer(former.Replica.Incarnation(), m.clock.Now())
		} else {
			p.RecordProbeFailure(former.Replica.Incarnation(), m.clock.Now())
		}
	}
}

// assertNoViolations fails the test if a rule for groups was violated.
func (m *emulator) assertNoViolations() {
	m.t.Helper()
	if len(m.violations) > 0 {
		m.t.Fatalf("rules for groups violated: %v", m.violations)
	}
}

// assertNoStrictViolations fails the test if a replica was used in another group although the head of its former one could still serve.
func (m *emulator) assertNoStrictViolations() {
	m.t.Helper()
	if len(m.strictViolations) > 0 {
		m.t.Fatalf("replicas were joined to other groups before their heads had ended: %v", m.strictViolations)
	}
}

// kill stops a VM: it never answers again.
func (m *emulator) kill(id string) { m.vms[id].failedAt = m.clock.Now() }

// openHeads returns the open heads of a model in order of ID.
func (m *emulator) openHeads(model string) []*vm {
	var list []*vm
	for _, id := range slices.Sorted(maps.Keys(m.vms)) {
		if v := m.vms[id]; v.state == fleet.GroupOpen && v.model == model && v.failedAt == 0 {
			list = append(list, v)
		}
	}
	return list
}

// incarnation returns the present start of a VM.
func (m *emulator) incarnation(v *vm) fleet.Incarnation {
	return fleet.Incarnation{ID: v.id, StartedUnixMs: v.startedAt}
}

// logTimelineOnFailure prints the timeline at the end of the test if it has failed.
func (m *emulator) logTimelineOnFailure(t *testing.T) {
	t.Cleanup(func() {
		if t.Failed() || testing.Verbose() {
			t.Logf("timeline (seconds since the start of the system):\n%s", strings.Join(m.timeline, "\n"))
		}
	})
}

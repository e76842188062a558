package placement

import (
	"fmt"
	"maps"
	"slices"
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
}

// snapshot holds the entries of the replicas at one time.
type snapshot struct {
	takenAt  clock.Time
	replicas map[string]*fleet.Replica
}

// lateOrder is an order that is carried out after its answer was given up.
type lateOrder struct {
	due   clock.Time
	order Order
}

// vm is one emulated replica.
type vm struct {
	id, fabric   string
	startedAt    int64
	failedAt     clock.Time // When it stopped answering; 0 while it runs.
	unlistedAt   clock.Time // When its entry was removed, though it runs; 0 while it is listed.
	cutOff       bool       // No node reaches it, though it runs, is listed and reaches the other members of its group.
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
	lastEvent    clock.Time // When a node last received an event from the head.
	silent       bool       // No data go in or out of it for a while, though it runs.
	hidden       bool       // The planner doesn't reach it, other nodes do.
}

// aloneTimeout is the time after which a planner that hears of no other node knows it.
const aloneTimeout = 1200 * time.Millisecond

func newEmulator(t testing.TB, domains, size int, e *fleet.Engine) *emulator {
	m := &emulator{t: t, clock: clock.NewManual(time.Hour), engine: e, vms: map[string]*vm{}, readyOnce: map[string]map[string]bool{},
		loadedBy: map[string]int{}, lastEntries: map[string]*fleet.Replica{},
		reportLag: 200 * time.Millisecond, entryTTL: 3600 * time.Millisecond, beforeFirstRequest: true}
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
			m.execute(l.order)
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
		if servesGroup(&fleet.Replica{Group: &fleet.Membership{State: v.state}}) && m.sendsEvents(v) {
			v.lastEvent = now
		}
	}
	m.history = append(m.history, snapshot{now, m.entries()})
}

// sendsEvents reports whether events of a serving head reach nodes: no member of its group is lost or silent.
func (m *emulator) sendsEvents(head *vm) bool {
	for _, id := range head.members {
		v := m.vms[id]
		if v == nil || v.failedAt != 0 || v.silent || v.group != head.group || v.epoch != head.epoch {
			return false
		}
	}
	return !head.cutOff
}

// activity returns what the nodes know of the requests at a head. A planner that is alone knows what was reported before.
func (m *emulator) activity(r *fleet.Replica) Activity {
	v := m.vms[r.ID]
	a := Activity{LastEvent: v.lastEvent}
	if m.clock.Now() < v.busyUntil {
		a.Running, a.Begun = 1, 1
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

// reached reports whether a replica that runs answers the planner.
func (v *vm) reached() bool { return !v.cutOff && !v.silent && !v.hidden }

// entries returns the current entries of the replicas by ID. The entry of a stopped VM stays for entryTTL.
func (m *emulator) entries() map[string]*fleet.Replica {
	now, list := m.clock.Now(), map[string]*fleet.Replica{}
	for id, v := range m.vms {
		if v.failedAt != 0 && now.Sub(v.failedAt) > m.entryTTL || v.unlistedAt != 0 && now >= v.unlistedAt {
			continue
		}
		r := &fleet.Replica{ID: id, Service: "pool", Address: id + ":1", Fabric: v.fabric, Zone: v.fabric, StartedUnixMs: v.startedAt,
			Draining: v.draining, Staged: slices.Clone(v.staged)}
		if v.group != "" {
			r.Group = &fleet.Membership{Name: v.group, Epoch: v.epoch, Rank: v.rank, State: v.state}
		}
		if v.model != "" {
			r.Models = []string{v.model}
		}
		list[id] = r
	}
	return list
}

// listed returns the entries that the planner reads: older by reportLag, or the outdated list of the store changed by reports.
func (m *emulator) listed() map[string]*fleet.Replica {
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
			return m.history[i].replicas
		}
	}
	return map[string]*fleet.Replica{}
}

// execute carries out an order and returns its outcome.
func (m *emulator) execute(o Order) Outcome {
	v := m.vms[o.To.ID]
	if v == nil || v.failedAt != 0 || !v.reached() {
		return Unknown
	}
	now := m.clock.Now()
	if (v.state == fleet.GroupOpen || v.state == fleet.GroupClosing) && now < v.busyUntil && (o.Action == Join || o.Action == Leave) {
		m.interruptions = append(m.interruptions, fmt.Sprintf("%s to %s (%s)", o.Action, v.id, o.Reason))
	}
	switch o.Action {
	case Stage:
		v.staging, v.stagingDone = o.Model, now.Add(m.loadTime(o.Model))
		m.loads = append(m.loads, now)
		m.loadedBy[v.id]++
		return Accepted
	case Join:
		return m.join(v, o)
	}
	if v.group != o.Group || v.epoch != o.Epoch {
		return Refused
	}
	switch {
	case o.Action == Leave:
		v.group, v.epoch, v.state, v.members = "", 0, "", nil
	case o.Action == Open && v.state == fleet.GroupReady:
		m.checkMembersReady(v)
		v.openAt = now.Add(m.engine.OpenTime)
	case o.Action == CloseGroup && v.state == fleet.GroupOpen:
		v.state = fleet.GroupClosing
	case o.Action == CloseGroup && v.state == fleet.GroupClosing:
	case o.Action == Open && v.state == fleet.GroupOpen:
	default:
		return Refused
	}
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

func (m *emulator) join(v *vm, o Order) Outcome {
	if o.Epoch < v.highestEpoch || o.Epoch == v.epoch && o.Group == v.group && !slices.Equal(o.Members, v.members) {
		return Outdated
	}
	if o.Epoch == v.epoch && o.Group == v.group {
		return Accepted
	}
	if v.group != "" && (v.group != o.Group || o.Epoch != v.epoch) {
		m.checkHeadReleased(v, o)
	}
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
	return Accepted
}

// checkHeadReleased records a violation if a member is joined to another group while the head of its group serves, or if a head that
// serves is joined to a group with another name.
func (m *emulator) checkHeadReleased(v *vm, o Order) {
	head := m.vms[v.members[0]]
	if head != nil && (head != v || o.Group != v.group) && head.failedAt == 0 && head.group == v.group && head.epoch == v.epoch &&
		(head.state == fleet.GroupOpen || head.state == fleet.GroupClosing) {
		m.violations = append(m.violations, fmt.Sprintf("%s was joined to %s while %s of %s was %s", v.id, o.Group, v.group, head.id, head.state))
	}
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
	m.probe(p, entries)
	m.probeFormerMembers(p, entries)
	for _, o := range p.Step(Input{Now: m.clock.Now(), Engine: m.engine, Replicas: entries, Need: need, BeforeFirstRequest: m.beforeFirstRequest,
		Lapsed: m.lapsed(entries), Incomplete: m.incomplete, MayBeOutdated: m.mayBeOutdated, Confirmed: m.queryReplicas(),
		LoadWindow: 5 * time.Second, StallAfter: 4 * time.Second, HeadActivity: m.activity, GroupActivity: m.groupActivity,
		Limited: func(r *fleet.Replica) bool { return m.limited[r.ID] && !m.unheard[r.ID] }}) {
		if m.refuse != nil && m.refuse(o) {
			p.RecordOutcome(o, Refused)
			continue
		}
		if m.loseAnswer != nil && m.loseAnswer(o) {
			p.RecordOutcome(o, Unknown)
			m.lateOrders = append(m.lateOrders, lateOrder{m.clock.Now().Add(4 * time.Second), o})
			continue
		}
		p.RecordOutcome(o, m.execute(o))
	}
}

// queryReplicas returns the replicas that answered the planner's last direct queries, and queries all for its next step. It
// does nothing unless Input.MayBeOutdated is set.
func (m *emulator) queryReplicas() map[fleet.Incarnation]bool {
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
		if m.vms[id].failedAt == 0 {
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
		if v := m.vms[former.Replica.ID]; v.failedAt == 0 && v.reached() {
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

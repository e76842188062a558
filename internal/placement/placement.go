// Package placement plans the replica groups of a model service: which VMs form a group, how a group that lost a member is
// repaired, and which weights spare VMs stage. It does no I/O: Step takes the known state and returns the orders to send.
package placement

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/internal/fleet"
)

const (
	// reportTimeout is the time within which a replica's entry must show the effect of an order; after it, the order is sent
	// again. Entries listed by the store are some hundred milliseconds old.
	reportTimeout = 900 * time.Millisecond
	// openTimeout is the time after which an open order is sent again if the head doesn't report the group as open.
	openTimeout = 500 * time.Millisecond
	// closeTimeout is the longest time that a group's running requests are given to finish before a draining or slow member is
	// replaced. The platform keeps a draining VM for ten seconds at most.
	closeTimeout = 9 * time.Second
	// maxJoinAttempts is the number of join orders without an accepting answer above which a member counts as unreachable.
	maxJoinAttempts = 3
	// unresponsiveFor is the time for which a replica counts as unresponsive after a failed probe, unless it answers a probe, its
	// entry is removed or its entry shows a restart before.
	unresponsiveFor = 8 * time.Second
	// stallMargin is added to Input.StallAfter before an unreachable head counts as no longer serving.
	stallMargin = time.Second
	// maxSoundSilence is the longest time for which a sound replica may fall silent. A group without an event for longer has lost a member
	// that doesn't answer, whatever runs there.
	maxSoundSilence = 1500 * time.Millisecond
	// idleHeadSilence is the time without an event at any node after which a head that doesn't answer counts as lost if no request runs
	// there any more. minHeadSilence is the least time for which it must be missing or unresponsive.
	idleHeadSilence = time.Second
	minHeadSilence  = 500 * time.Millisecond
	// refusalSilence is how long before a refused connection the last event of the group must have been for the refusal to count. Events that
	// other nodes receive are known here after some hundred milliseconds.
	refusalSilence = 300 * time.Millisecond
	// StandbyPrefix begins the names of standby groups. Each has a spare as its only real member, so that the spare loads its
	// staged weights, and is never opened.
	StandbyPrefix = "standby-"
	// standbyTimeout is the time after which the join order is sent again to a spare that doesn't report its standby group.
	standbyTimeout = 3 * time.Second
	// minHeadProbeFailures is the number of successive probes that a listed head must fail before its group may be repaired
	// under another head or dissolved.
	minHeadProbeFailures = 2
	// stageRetryDelay is the time after which an order to stage weights that was refused or not answered is sent again. A replica
	// refuses it while it carries out another order.
	stageRetryDelay = time.Second
	// dissolvedRetention is the time for which a dissolved group is not adopted again. Orders are carried out some seconds late
	// at most.
	dissolvedRetention = 2 * time.Minute
	// probeAnswerValidity is the time for which an answered probe shows that a replica runs. missingTimeout is the time that an
	// unlisted member is given to answer a probe.
	probeAnswerValidity = 2 * time.Second
	missingTimeout      = 700 * time.Millisecond
	// headReturnTimeout is the time that the head of a group that was given up has to return after members that were unreachable too.
	// Entries that have lapsed are back within about two seconds. While the head's entry shows that it serves, they wait for
	// listedHeadTimeout: the entry of a head that has ended lapses earlier. A head that isn't listed is ordered to leave headLeaveAfter
	// after the return of a member: it may serve without an entry, because it was released.
	headReturnTimeout = 2500 * time.Millisecond
	listedHeadTimeout = 8 * time.Second
	headLeaveAfter    = 1500 * time.Millisecond
	// returnTimeout is the longest wait for an unlisted member that answers probes, if there are too few spares to replace it.
	returnTimeout = 12 * time.Second
	// minSlowdown is the reported slowdown factor from which on a member is replaced by a spare, as a group runs at the speed of
	// its slowest member. slowReportValidity is the time for which such a report counts.
	minSlowdown        = 2
	slowReportValidity = 6 * time.Second
	// minLimitedFor is the time for which a head must limit its rate of requests before another member takes its place. minHeadTerm is
	// the time after its join for which a head isn't replaced for that reason. maxLimitedShare is the part of a model's groups whose
	// heads may be limited without it.
	minLimitedFor   = 1500 * time.Millisecond
	minHeadTerm     = 8 * time.Second
	maxLimitedShare = 0.25
	// loadTimeFactor is the multiple of the configured load time after which the order to stage weights is sent again.
	loadTimeFactor = 3
)

// Action is the operation that an order requests from a replica.
type Action int

// Actions of an Order.
const (
	Join Action = iota + 1
	Open
	CloseGroup
	Leave
	Stage
)

var actionNames = map[Action]string{Join: "join", Open: "open", CloseGroup: "close", Leave: "leave", Stage: "stage"}

// String returns the name of the action as it is logged.
func (a Action) String() string { return actionNames[a] }

// Order is an order to one replica.
type Order struct {
	To      *fleet.Replica
	Action  Action
	Group   string
	Epoch   int64
	Model   string
	Members []string
	Reason  string
	// Activity is what was known of the requests at the group's head when the order was planned. An order to leave or join may end them.
	Activity Activity
}

// InGroup reports whether the replica was in the epoch that the order concerns when it was planned.
func (o Order) InGroup() bool {
	return groupKey{o.Group, o.Epoch}.reportedBy(o.To, o.To.Incarnation())
}

// HasMoved reports whether a replica that is in the current group has joined it, or begun to serve it, since the order was planned.
func (o Order) HasMoved(current *fleet.Membership) bool {
	if current == nil || strings.HasPrefix(current.Name, StandbyPrefix) || current.Name == o.Group && current.Epoch == o.Epoch {
		return false
	}
	planned := o.To.Group
	if planned == nil || planned.Epoch < current.Epoch || planned.Epoch == current.Epoch && planned.Name != current.Name {
		return true
	}
	return planned.Epoch == current.Epoch && current.Serves() && !planned.Serves()
}

// Input is the known state on which Plan.Step decides.
type Input struct {
	Now      clock.Time
	Engine   *fleet.Engine
	Replicas map[string]*fleet.Replica // Listed replicas of the engine service, by ID.
	// Need is the fraction of the replicas that each model should have. The fractions add up to 1.
	Need map[string]float64
	// BeforeFirstRequest is true until the first request of a client. Weight loads are then fast and their rate is not limited.
	BeforeFirstRequest bool
	// LoadWindow is the sliding window over which the rate of weight loads is limited.
	LoadWindow time.Duration
	// StallAfter is the time after the loss of a member after which the engine breaks the group.
	StallAfter time.Duration
	// Lapsed holds the last entries of replicas whose entries were removed recently, by ID.
	Lapsed map[string]*fleet.Replica
	// Incomplete is true while replicas that run may be absent from Replicas: after a start of this node or a store outage.
	Incomplete bool
	// MayBeOutdated is true while entries may be older than orders that a replica has carried out since: after a store outage, and
	// after another node became the planner. Only replicas in Confirmed, whose state was queried directly, are then joined to
	// groups or staged.
	MayBeOutdated bool
	Confirmed     map[fleet.Incarnation]bool
	// HeadActivity returns what all nodes know of the requests at a head. Nil if it isn't known for any.
	HeadActivity func(*fleet.Replica) Activity
	// GroupActivity returns the same for an epoch of a group whose head isn't known. Nil if it isn't known for any.
	GroupActivity func(name string, epoch int64) Activity
	// Limited tells whether a replica has stated a limit on its rate of requests. The limit of a group is that of its head. Nil if not
	// known.
	Limited func(*fleet.Replica) bool
	// Follow tells whether replicas may change the model as Wanted says. It has an effect only with two models. Wanted is the number of
	// groups that each model should have; nil if the present division is to stay.
	Follow bool
	Wanted map[string]int
}

// Outcome is the result of an order.
type Outcome int

// Outcomes of an Order.
const (
	Unknown           Outcome = iota // No answer; the order may still be carried out later.
	Accepted                         // Begun or completed.
	Refused                          // The order doesn't fit the replica's state, or another replica has the address.
	Outdated                         // The replica has seen a higher epoch.
	NotSent                          // Dropped before it was sent.
	ConnectionRefused                // As RecordRefusal. A draining head may still work on what runs in its group.
)

var outcomeNames = map[Outcome]string{Unknown: "not answered", Accepted: "accepted", Refused: "refused", Outdated: "refused as outdated",
	ConnectionRefused: "not received, since connections were refused"}

// String returns the outcome as it is logged.
func (o Outcome) String() string { return outcomeNames[o] }

// member is one VM of a planned group.
type member struct {
	incarnation  fleet.Incarnation
	lastEntry    *fleet.Replica // Last known entry; nil if there was none.
	missingSince clock.Time     // When the entry was first missing; 0 while it is listed.
	joinAccepted bool           // The member has accepted the join or reports the group.
	joinSentAt   clock.Time     // 0 if the join is to be sent at once.
	joinAttempts int
}

// group is a planned group.
type group struct {
	name           string
	epoch          int64
	model          string
	fabric         string
	members        []member   // The first is the head.
	formerEpoch    int64      // An earlier epoch that the head may still serve, because it may not have received the join; 0 if none.
	headFirst      bool       // The other members are joined only after the head has accepted this epoch and so left the old one.
	openSentAt     clock.Time // When the last open order was sent; 0 if none was.
	wasOpen        bool       // The head was seen to serve this epoch, or an earlier planner may have opened it.
	limitedSince   clock.Time // When the head was first known to limit its rate of requests; 0 if it doesn't.
	awaitsAnswers  bool       // The members must be probed, since one of them may become the head.
	closingSince   clock.Time // When a reason to repair the serving group was first found, such as a draining member; 0 if there is none.
	closeSentAt    clock.Time // When the last order to finish the running requests was sent; 0 if none was.
	leaveSentAt    clock.Time // When the last leave order was sent to the head; 0 if none was.
	dissolveReason string     // Why the group is being dissolved; empty if it isn't.
	// head is the last known entry of the head. A head whose entry was removed may still serve.
	head             *fleet.Replica
	headReleased     bool       // The head doesn't serve: it has answered an order to leave, or has ended.
	headMissingSince clock.Time // When the head was first unlisted or unresponsive; 0 if it isn't.
	adoptedAt        clock.Time // When the group was adopted from entries or a record; 0 if this planner formed it.
	adoptedAgain     bool       // This plan gave the group up before, and may have planned members of it elsewhere.
	// restored is set while only the record of an earlier planner says that the members were ordered to join.
	restored bool
}

// staging is an order to stage weights that isn't known to be completed.
type staging struct {
	model  string
	sentAt clock.Time
	failed bool // The order was refused or not answered; it is sent again after stageRetryDelay.
}

// dissolution records that an epoch of a group was given up.
type dissolution struct {
	at clock.Time
	// headUnheard is set if the head wasn't heard to have left: it was unreachable, and may still serve if only the nodes can't reach
	// it.
	headUnheard bool
	// headLost is set if members that leave needn't wait for the head: it didn't serve, counted as lost, or was never known, without a
	// record, and the group lacked other members too.
	headLost      bool
	restored      bool // Only the record of an earlier planner tells that it was given up.
	head          fleet.Incarnation
	headEntry     *fleet.Replica // Last known entry of the head; nil if there was none.
	fabric, model string
	members       []member // By rank.
	// returnedAt holds the members that were unreachable too, with the time when they were first usable again; 0 if they weren't.
	returnedAt map[fleet.Incarnation]clock.Time
}

// showsServing reports whether the entry of the group's head shows that it still serves the group.
func (d dissolution) showsServing(key groupKey, replicas map[string]*fleet.Replica) bool {
	r := replicas[d.head.ID]
	return key.reportedBy(r, d.head) && servesGroup(r)
}

// formerHead records an order to leave a group that is no longer planned.
type formerHead struct {
	sentAt clock.Time // When it was last sent.
	// left is set if the head has answered. Its entry may be older, or not be updated at all if the head can't reach the store.
	left bool
}

// groupKey identifies one epoch of a group.
type groupKey struct {
	name  string
	epoch int64
}

// compare orders epochs of groups by name and number.
func (k groupKey) compare(other groupKey) int {
	return cmp.Or(strings.Compare(k.name, other.name), cmp.Compare(k.epoch, other.epoch))
}

// reportedBy reports whether an entry is that of the given start of a replica, and shows it in this epoch of the group.
func (k groupKey) reportedBy(r *fleet.Replica, start fleet.Incarnation) bool {
	return r != nil && r.Incarnation() == start && r.Group != nil && (groupKey{r.Group.Name, r.Group.Epoch}) == k
}

// Plan is the planner's state between steps. It is not safe for concurrent use.
type Plan struct {
	term         int64
	epochCounter int64

	groups          map[string]*group
	dissolved       map[groupKey]dissolution
	staging         map[fleet.Incarnation]staging
	loadStarts      []clock.Time // Starts of weight loads within the window.
	unresponsive    map[fleet.Incarnation]probeFailures
	probeAnswers    map[fleet.Incarnation]clock.Time // When a replica, listed or not, last answered a probe.
	slowUntil       map[fleet.Incarnation]clock.Time // Time until which a replica counts as slow.
	standbyJoins    map[fleet.Incarnation]clock.Time // When a spare was last ordered to join its standby group.
	domains         map[string]domainSize            // By fabric domain.
	formerHeads     map[groupKey]formerHead          // Heads of groups that are no longer planned, as far as they were ordered to leave.
	ended           map[groupKey]clock.Time          // When the head of an epoch was last known not to serve it.
	memberLeaves    map[membership]memberLeave       // Members that were ordered to leave their group just before.
	outdatedRecords map[string]bool                  // Fabric domains whose Record has changed.
	events          []Event                          // Not yet taken.
	restoredRecords bool                             // Restore was called: a group that it didn't add was formed after the record was written.
	now             clock.Time                       // Time of the last step.
	probeSilence    map[fleet.Incarnation]clock.Time // When a replica, listed or not, last didn't answer a probe.
	entries         map[string]*fleet.Replica        // Input.Replicas of the last step.
	sortedIDs       []string                         // Of the replicas of the last step, in order.
	departures      map[fleet.Incarnation]departure  // Members that have left a group whose head may have served it.
	refusals        map[fleet.Incarnation]clock.Time // When a replica, listed or not, was last found to refuse connections.
	moves           map[string]*move                 // Moves of replicas between models, by fabric domain.
	moved           map[string]map[string]int        // Replicas by which the models differ from the configured division, by fabric domain.
	abandoned       map[string]clock.Time            // When a domain's last move was abandoned.
	residents       map[fleet.Incarnation]string     // Models that replicas have loaded while their hosts have staged another one.
	aheadAt         clock.Time                       // When hosts that should stage weights ahead were last looked for.
	moveEvents      []MoveEvent                      // Not yet taken.
	moveBlocked     string                           // Why a wanted move wasn't begun in the last step.
}

// epochsPerTerm is the size of the range of epochs of one term. The ranges of later terms lie above those of earlier ones.
const epochsPerTerm = 100_000

// New returns an empty plan. The term must be higher than that of every earlier planner, as epochs are derived from it.
func New(term int64) *Plan {
	return &Plan{term: term, groups: map[string]*group{}, dissolved: map[groupKey]dissolution{}, staging: map[fleet.Incarnation]staging{},
		unresponsive: map[fleet.Incarnation]probeFailures{}, probeAnswers: map[fleet.Incarnation]clock.Time{},
		probeSilence: map[fleet.Incarnation]clock.Time{},
		slowUntil:    map[fleet.Incarnation]clock.Time{}, standbyJoins: map[fleet.Incarnation]clock.Time{},
		domains: map[string]domainSize{}, formerHeads: map[groupKey]formerHead{},
		ended: map[groupKey]clock.Time{}, memberLeaves: map[membership]memberLeave{}, outdatedRecords: map[string]bool{},
		departures: map[fleet.Incarnation]departure{}, refusals: map[fleet.Incarnation]clock.Time{},
		moves: map[string]*move{}, moved: map[string]map[string]int{}, residents: map[fleet.Incarnation]string{}, abandoned: map[string]clock.Time{}}
}

// nextEpoch returns an epoch above all earlier ones.
func (p *Plan) nextEpoch() int64 {
	p.epochCounter++
	return p.term*epochsPerTerm + p.epochCounter
}

// probeFailures records the successive probes that a replica didn't answer.
type probeFailures struct {
	until  clock.Time // The replica counts as unresponsive until then.
	count  int
	first  clock.Time // When the first of them failed.
	newest clock.Time // When the newest of them failed.
	ended  bool       // The replica is known to have ended: it has been started anew.
}

// RecordProbeFailure records that a replica did not answer a probe.
func (p *Plan) RecordProbeFailure(incarnation fleet.Incarnation, now clock.Time) {
	f, known := p.unresponsive[incarnation]
	if !known {
		f.first = now
	}
	f.until, f.newest, f.count = now.Add(unresponsiveFor), now, f.count+1
	p.unresponsive[incarnation] = f
	p.probeSilence[incarnation] = now
}

// RecordEnd records that a probe has shown that this start of a replica has ended: another start has answered.
func (p *Plan) RecordEnd(incarnation fleet.Incarnation, now clock.Time) {
	p.RecordProbeFailure(incarnation, now)
	f := p.unresponsive[incarnation]
	f.ended = true
	p.unresponsive[incarnation] = f
}

// RecordRefusal records that connections to a replica were refused. It may have ended, or be cut off from the nodes by what refuses connections
// in its place.
func (p *Plan) RecordRefusal(incarnation fleet.Incarnation, now clock.Time) {
	p.RecordProbeFailure(incarnation, now)
	p.refusals[incarnation] = now
}

// RecordProbeAnswer records that a replica has answered a probe.
func (p *Plan) RecordProbeAnswer(incarnation fleet.Incarnation, now clock.Time) {
	delete(p.unresponsive, incarnation)
	delete(p.refusals, incarnation)
	p.probeAnswers[incarnation] = now
}

// answersProbes reports whether a replica, listed or not, has lately answered a probe, and none later than that has failed.
func (p *Plan) answersProbes(incarnation fleet.Incarnation) bool {
	answeredAt, answered := p.probeAnswers[incarnation]
	return answered && answeredAt >= p.probeSilence[incarnation]
}

// RecordSlowdown records by what factor a replica reports to be slower than usual; 0 if it reports none.
func (p *Plan) RecordSlowdown(incarnation fleet.Incarnation, slowdown float64, now clock.Time) {
	if slowdown >= minSlowdown {
		p.slowUntil[incarnation] = now.Add(slowReportValidity)
	} else {
		delete(p.slowUntil, incarnation)
	}
}

// RecordOutcome records the outcome of an order.
func (p *Plan) RecordOutcome(o Order, outcome Outcome) {
	if o.Action == Stage {
		if st, known := p.staging[o.To.Incarnation()]; known && outcome != Accepted {
			st.failed = true
			p.staging[o.To.Incarnation()] = st
		}
		return
	}
	if o.Action == Leave {
		p.recordLeave(o, outcome)
		return
	}
	if g := p.groups[o.Group]; g != nil && g.epoch == o.Epoch && o.Action == Join {
		p.recordJoin(g, o.To.Incarnation(), outcome)
	}
}

// recordJoin records the outcome of a join order to a member.
func (p *Plan) recordJoin(g *group, incarnation fleet.Incarnation, outcome Outcome) {
	for i := range g.members {
		m := &g.members[i]
		if m.incarnation != incarnation {
			continue
		}
		if outcome == NotSent {
			m.joinAttempts-- // Says nothing about the member.
			return
		}
		m.joinAccepted = m.joinAccepted || outcome == Accepted
		if i == 0 && outcome == Accepted {
			p.headJoined(g)
		}
		if outcome == Unknown {
			m.joinSentAt = 0 // Sent again at once: joins are idempotent.
		}
		if outcome == Outdated {
			// Another planner has used a higher epoch: the group is joined again under a new one.
			p.startEpoch(g, true)
			return
		}
	}
}

// startEpoch begins a new epoch and clears what was recorded under the one before. headStays tells that the head wasn't ordered to
// leave, so that it may serve that epoch until it joins the new one.
func (p *Plan) startEpoch(g *group, headStays bool) {
	opened := g.wasOpen || g.openSentAt != 0
	if !opened {
		p.headEnded(g.name, g.epoch, "it was never ordered to open")
	}
	if !headStays {
		g.formerEpoch = 0
	} else if opened {
		g.formerEpoch = g.epoch
	}
	g.epoch = p.nextEpoch()
	p.changed(g.fabric)
	for i := range g.members {
		g.members[i].joinAccepted, g.members[i].joinSentAt, g.members[i].joinAttempts = false, 0, 0
	}
	g.openSentAt, g.wasOpen, g.closingSince, g.closeSentAt, g.leaveSentAt, g.headMissingSince, g.headReleased = 0, false, 0, 0, 0, 0, false
}

// Member is one VM of a planned group.
type Member struct {
	Incarnation fleet.Incarnation
	LastEntry   *fleet.Replica // Last known entry; nil if there was none.
}

// Groups returns the members of each planned group by name, the head first.
func (p *Plan) Groups() map[string][]Member {
	all := map[string][]Member{}
	for name, g := range p.groups {
		for _, m := range g.members {
			all[name] = append(all[name], Member{m.incarnation, m.lastEntry})
		}
	}
	return all
}

// FormerMember is a member of a group that was given up.
type FormerMember struct{ Replica, Head *fleet.Replica }

// FormerMembers returns the members to probe of groups that were given up because their heads were unreachable, as long as the heads'
// entries show that they serve: a group whose head and members answer is adopted again.
func (p *Plan) FormerMembers(replicas map[string]*fleet.Replica) []FormerMember {
	var list []FormerMember
	for key, d := range p.dissolved {
		if !d.headUnheard || !d.showsServing(key, replicas) {
			continue
		}
		head := replicas[d.head.ID]
		list = append(list, FormerMember{head, head})
		for incarnation := range d.returnedAt {
			if _, unresponsive := p.unresponsive[incarnation]; unresponsive && key.reportedBy(replicas[incarnation.ID], incarnation) {
				list = append(list, FormerMember{replicas[incarnation.ID], head})
			}
		}
	}
	return list
}

// AwaitsAnswers reports whether the plan needs the members of a group to be probed.
func (p *Plan) AwaitsAnswers(name string) bool {
	g := p.groups[name]
	return g != nil && g.awaitsAnswers
}

// Summary counts the groups and the replicas outside groups by model.
type Summary struct {
	Open    map[string]int // Groups whose head reports that it serves.
	Forming map[string]int // All other groups: joining, opening, closing or being repaired.
	Spares  map[string]int // Replicas outside groups that have staged the weights.
	Loading map[string]int // Replicas that are staging weights.
	Idle    int            // Replicas without weights.
}

// Summarize returns the counts for the plan and the listed replicas.
func (p *Plan) Summarize(replicas map[string]*fleet.Replica) Summary {
	sum := Summary{map[string]int{}, map[string]int{}, map[string]int{}, map[string]int{}, 0}
	used := map[string]bool{}
	for _, g := range p.groups {
		head := replicas[g.members[0].incarnation.ID]
		if head != nil && head.Head() && head.Group.Epoch == g.epoch {
			sum.Open[g.model]++
		} else {
			sum.Forming[g.model]++
		}
		for _, m := range g.members {
			used[m.incarnation.ID] = true
		}
	}
	for _, st := range p.staging {
		sum.Loading[st.model]++
	}
	for id, r := range replicas {
		_, loading := p.staging[r.Incarnation()]
		switch {
		case used[id] || loading || r.Draining:
		case len(r.Staged) > 0:
			sum.Spares[r.Staged[len(r.Staged)-1]]++
		default:
			sum.Idle++
		}
	}
	return sum
}

// step is the state of one call of Step.
type step struct {
	*Plan
	Input
	used   map[string]bool           // Replicas in a planned group.
	quotas map[string]map[string]int // By fabric domain and model; nil until they are needed.
	served map[groupKey]bool         // Groups that are no longer planned, but that their heads still serve.
	orders []Order
	// indexed is the index of the step; nil until it is needed.
	indexed *stepIndex
}

// Step compares the plan with the entries of the replicas, changes the plan where it can no longer be carried out, and returns
// the orders to send now.
func (p *Plan) Step(in Input) []Order {
	p.now, p.entries = in.Now, in.Replicas
	s := &step{Plan: p, Input: in, used: map[string]bool{}, served: map[groupKey]bool{}}
	s.expire()
	s.expireLeaves()
	s.dropSupersededGroups()
	s.adoptReportedGroups()
	for _, name := range slices.Sorted(maps.Keys(p.groups)) {
		for _, m := range p.groups[name].members {
			s.used[m.incarnation.ID] = true
		}
	}
	s.noteResidents()
	s.releaseFormerHeads()
	s.noteReturns()
	s.beginMoves()
	for _, name := range slices.Sorted(maps.Keys(p.groups)) {
		if !s.closeForMove(p.groups[name]) {
			s.advance(p.groups[name])
		}
	}
	s.followMoves()
	s.formGroups()
	s.stageWeights()
	s.joinStandbys()
	s.stageAhead()
	return s.orders
}

// expire removes records that are too old to be used.
func (s *step) expire() {
	for incarnation, failures := range s.unresponsive {
		r := s.Replicas[incarnation.ID]
		if s.Now > failures.until || r == nil || r.StartedUnixMs != incarnation.StartedUnixMs {
			delete(s.unresponsive, incarnation)
		}
	}
	for incarnation, at := range s.probeAnswers {
		if s.Now.Sub(at) > probeAnswerValidity {
			delete(s.probeAnswers, incarnation)
		}
	}
	maps.DeleteFunc(s.refusals, func(_ fleet.Incarnation, at clock.Time) bool { return s.Now.Sub(at) > probeAnswerValidity })
	maps.DeleteFunc(s.probeSilence, func(_ fleet.Incarnation, at clock.Time) bool { return s.Now.Sub(at) > probeAnswerValidity })
	for g, d := range s.dissolved {
		if s.Now.Sub(d.at) > dissolvedRetention {
			delete(s.dissolved, g)
		}
	}
	for incarnation, until := range s.slowUntil {
		if s.Now > until {
			delete(s.slowUntil, incarnation)
		}
	}
	for incarnation, st := range s.staging {
		r := s.Replicas[incarnation.ID]
		limit := 10 * time.Second
		if m := s.Engine.Model(st.model); m != nil {
			limit += loadTimeFactor * m.LoadTime
		}
		if st.failed {
			limit = stageRetryDelay
		}
		if r == nil || r.StartedUnixMs != incarnation.StartedUnixMs || r.HasStaged(st.model) || s.Now.Sub(st.sentAt) > limit {
			delete(s.staging, incarnation)
		}
	}
	s.loadStarts = slices.DeleteFunc(s.loadStarts, func(t clock.Time) bool { return s.Now.Sub(t) > s.LoadWindow })
}

// usableReplica returns the entry of this start of a replica, or nil if it isn't listed or is unresponsive.
func (s *step) usableReplica(incarnation fleet.Incarnation) *fleet.Replica {
	r := s.Replicas[incarnation.ID]
	if r == nil || r.StartedUnixMs != incarnation.StartedUnixMs {
		return nil
	}
	if _, unresponsive := s.unresponsive[incarnation]; unresponsive {
		return nil
	}
	return r
}

// isSlow tells whether the replica has lately reported that it is slow.
func (s *step) isSlow(incarnation fleet.Incarnation) bool {
	_, slow := s.slowUntil[incarnation]
	return slow
}

// stateKnown tells whether the replica's entry shows its current state.
func (s *step) stateKnown(r *fleet.Replica) bool {
	return !s.MayBeOutdated || s.Confirmed[r.Incarnation()]
}

// addOrder adds an order that concerns a group's epoch.
func (s *step) addOrder(to *fleet.Replica, action Action, g *group, reason string) {
	s.addOrderForEpoch(to, action, g, g.epoch, reason)
}

func (s *step) addOrderForEpoch(to *fleet.Replica, action Action, g *group, epoch int64, reason string) {
	o := Order{To: to, Action: action, Group: g.name, Epoch: epoch, Model: g.model, Reason: reason, Activity: s.activity(g)}
	for _, m := range g.members {
		o.Members = append(o.Members, m.incarnation.ID)
	}
	s.orders = append(s.orders, o)
}

// Awaited returns the replicas for whose state changes the plan waits: members of groups that are forming or changing (soon),
// and replicas that load weights (later).
func (p *Plan) Awaited(replicas map[string]*fleet.Replica) (soon, later []fleet.Incarnation) {
	for _, g := range p.groups {
		head := replicas[g.members[0].incarnation.ID]
		serves := head != nil && head.Head() && head.Group.Name == g.name && head.Group.Epoch == g.epoch
		if serves && g.closingSince == 0 && g.dissolveReason == "" {
			continue
		}
		for _, m := range g.members {
			soon = append(soon, m.incarnation)
		}
	}
	for incarnation := range p.staging {
		later = append(later, incarnation)
	}
	for incarnation := range p.standbyJoins {
		if r := replicas[incarnation.ID]; r != nil && len(r.Models) == 0 {
			later = append(later, incarnation)
		}
	}
	return soon, later
}

// Package placement plans the replica groups of a model service: which VMs form a group, how a group that lost a member is
// repaired, and which weights spare VMs stage. It needs no network: Step takes what is known and returns orders.
package placement

import (
	"maps"
	"slices"
	"time"

	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/internal/fleet"
)

const (
	// reportTimeout is the time after an order in which the replica's report must show it, before the order is sent again. The
	// reports that the store lists are some hundred milliseconds old.
	reportTimeout = 900 * time.Millisecond
	// openTimeout is the time after which an unanswered open order is sent again.
	openTimeout = 500 * time.Millisecond
	// closeTimeout is the longest time that a group's requests are given to finish when a member leaves. The platform keeps such a
	// member for ten seconds at most.
	closeTimeout = 9 * time.Second
	// maxJoinAttempts is the number of unanswered joins after which a member is taken for unreachable.
	maxJoinAttempts = 3
	// unresponsiveFor is the time for which a replica that didn't answer is taken for dead, if its entry stays as it was.
	unresponsiveFor = 8 * time.Second
	// stallMargin is waited beyond the time after which a group with a lost member is broken.
	stallMargin = time.Second
	// minHeadSilence is the least time for which a head must not have answered before its silence at all nodes counts as its death.
	minHeadSilence = 500 * time.Millisecond
	// standbyPrefix begins the names of groups that spares join alone, so that they hold the weights ready. They never open.
	standbyPrefix = "standby-"
	// standbyTimeout is the time after which a spare that doesn't report its standby group is asked again.
	standbyTimeout = 3 * time.Second
	// minHeadProbeFailures is the number of probes in a row that a listed head must miss before its group is ended.
	minHeadProbeFailures = 2
	// stageRetryDelay is the time after which an order to stage weights that was refused or not answered is sent again. A replica
	// refuses it while it carries out another order.
	stageRetryDelay = time.Second
	// dissolvedRetention is the time for which a dissolved group is remembered. Orders are carried out some seconds late at most.
	dissolvedRetention = 2 * time.Minute
	// probeAnswerValidity is the time for which an answer shows that a replica lives, and missingTimeout what an unlisted member is given to
	// answer.
	probeAnswerValidity = 2 * time.Second
	missingTimeout      = 700 * time.Millisecond
	// returnTimeout is the longest wait for an unlisted member that answers, where no spare could replace it.
	returnTimeout = 12 * time.Second
	// minSlowdown is how many times slower than usual a member must report to be before a spare takes its place, and slowReportValidity the time
	// for which the report counts. A group works at the pace of its slowest member.
	minSlowdown        = 2
	slowReportValidity = 6 * time.Second
	// loadTimeFactor is how much longer than stated a load may take before the replica is asked again.
	loadTimeFactor = 3
)

// Action is what an order asks of a replica.
type Action int

// Actions.
const (
	Join Action = iota + 1
	Open
	CloseGroup
	Leave
	Stage
)

var actionNames = map[Action]string{Join: "join", Open: "open", CloseGroup: "close", Leave: "leave", Stage: "stage"}

// String returns the name of the action in logs.
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
}

// Input is what a step knows.
type Input struct {
	Now      clock.Time
	Engine   *fleet.Engine
	Replicas map[string]*fleet.Replica // Of the service.
	// Need is the part of the replicas that each model should have. The parts add up to 1.
	Need map[string]float64
	// Fresh is true until the first request of a client: loads are then cheap and not metered.
	Fresh bool
	// LoadWindow is the time over which weight loads are metered.
	LoadWindow time.Duration
	// StallAfter is the time after which a group whose member is gone is broken.
	StallAfter time.Duration
	// Lapsed holds the last entries of replicas that were removed from the list lately.
	Lapsed map[string]*fleet.Replica
	// Incomplete is true while replicas that aren't listed may yet come back, after an outage of the store or a start.
	Incomplete bool
	// Unsure is true while entries may be older than orders that a replica has carried out since: after an outage of the store,
	// and after a change of the planner. Only replicas in Confirmed, which were asked directly, are then joined to groups.
	Unsure    bool
	Confirmed map[fleet.Life]bool
	// Silent tells whether no node has heard from a head lately, though nodes have sent it requests. Nil: not known.
	Silent func(*fleet.Replica) bool
}

// Outcome is what became of an order.
type Outcome int

// Outcomes.
const (
	Unknown  Outcome = iota // No answer: the order may be carried out later.
	Accepted                // Begun or done.
	Refused                 // It doesn't fit the replica's state, or another replica has the address.
	Outdated                // A higher epoch was seen.
	NoOne                   // Nothing listens at the address.
)

// member is one VM of a group.
type member struct {
	incarnation  fleet.Life
	lastEntry    *fleet.Replica // Last known entry; nil if none was seen.
	missingSince clock.Time     // When its entry was first missing; 0 while it is listed.
	joinAccepted bool           // The join was answered.
	joinSentAt   clock.Time
	joinAttempts int
}

// group is a group as it is planned.
type group struct {
	name           string
	epoch          int64
	model          string
	fabric         string
	members        []member // The first is the head.
	headFirst      bool     // The other members are asked only after the head has left its old epoch.
	openSentAt     clock.Time
	wasOpen        bool
	closingSince   clock.Time // When a member of the serving group was first seen to leave; 0 if none was.
	closeSentAt    clock.Time // When the head was last asked to finish its requests; 0 if it wasn't.
	leaveSentAt    clock.Time // When the head was last asked to leave; 0 if it wasn't.
	dissolveReason string     // Why the group is dissolved; empty if it stands.
	// head is the last known entry of the head. A head whose entry is gone may still serve.
	head             *fleet.Replica
	headReleased     bool       // The head has stated that it doesn't serve this epoch, or nothing listens at its address.
	headMissingSince clock.Time // When the head was first asked to leave without its entry; 0 if it wasn't.
	adoptedAt        clock.Time // When the group was taken over from an earlier planner; 0 if it wasn't.
}

type staging struct {
	model  string
	sentAt clock.Time
	failed bool // The order was refused or not answered; it is sent again after stageRetryDelay.
}

type groupKey struct {
	name  string
	epoch int64
}

// Plan is the planner's memory. It is not safe for concurrent use.
type Plan struct {
	term         int64
	epochCounter int64

	groups       map[string]*group
	dissolved    map[groupKey]clock.Time // Groups that were dissolved, and when.
	staging      map[fleet.Life]staging
	loadStarts   []clock.Time // Starts of weight loads within the window.
	unresponsive map[fleet.Life]probeFailures
	probeAnswers map[fleet.Life]clock.Time // Replicas that have answered, whether they are listed or not.
	slowUntil    map[fleet.Life]clock.Time // Until when a replica counts as slow.
	standbyJoins map[fleet.Life]clock.Time // When a spare was last asked to hold its weights ready.
}

// epochsPerTerm leaves each planner a range of epochs above all of its predecessors.
const epochsPerTerm = 100_000

// New returns an empty plan. The term must be higher than that of every earlier planner.
func New(term int64) *Plan {
	return &Plan{term: term, groups: map[string]*group{}, dissolved: map[groupKey]clock.Time{}, staging: map[fleet.Life]staging{},
		unresponsive: map[fleet.Life]probeFailures{}, probeAnswers: map[fleet.Life]clock.Time{}, slowUntil: map[fleet.Life]clock.Time{}, standbyJoins: map[fleet.Life]clock.Time{}}
}

func (p *Plan) nextEpoch() int64 {
	p.epochCounter++
	return p.term*epochsPerTerm + p.epochCounter
}

// death is what is known of a replica that doesn't answer.
type probeFailures struct {
	until clock.Time
	count int // Probes in a row that were not answered.
}

// Dead notes that a replica doesn't answer.
func (p *Plan) Dead(incarnation fleet.Life, now clock.Time) {
	p.unresponsive[incarnation] = probeFailures{now.Add(unresponsiveFor), p.unresponsive[incarnation].count + 1}
}

// Lives notes that a replica has answered.
func (p *Plan) Lives(incarnation fleet.Life, now clock.Time) {
	delete(p.unresponsive, incarnation)
	p.probeAnswers[incarnation] = now
}

// Pace notes how many times slower than usual a replica says it works; 0 if it doesn't say.
func (p *Plan) Pace(incarnation fleet.Life, slowdown float64, now clock.Time) {
	if slowdown >= minSlowdown {
		p.slowUntil[incarnation] = now.Add(slowReportValidity)
	} else {
		delete(p.slowUntil, incarnation)
	}
}

// Answered notes what became of an order.
func (p *Plan) Answered(o Order, outcome Outcome) {
	if o.Action == Stage {
		if st, known := p.staging[o.To.Life()]; known && outcome != Accepted {
			st.failed = true
			p.staging[o.To.Life()] = st
		}
		return
	}
	g := p.groups[o.Group]
	if g == nil || g.epoch != o.Epoch {
		return
	}
	switch o.Action {
	case Leave:
		g.headReleased = g.headReleased || outcome != Unknown
	case Join:
		p.recordJoin(g, o.To.Life(), outcome)
	}
}

func (p *Plan) recordJoin(g *group, incarnation fleet.Life, outcome Outcome) {
	for i := range g.members {
		m := &g.members[i]
		if m.incarnation != incarnation {
			continue
		}
		m.joinAccepted = m.joinAccepted || outcome == Accepted
		if outcome == Unknown {
			m.joinSentAt = 0 // It is asked again at once: the same join twice does no harm.
		}
		if outcome == Outdated {
			// Another planner has used a higher epoch; the group is planned anew above it.
			g.epoch = p.nextEpoch()
			g.resetProgress()
			return
		}
	}
}

func (g *group) resetProgress() {
	for i := range g.members {
		g.members[i].joinAccepted, g.members[i].joinSentAt, g.members[i].joinAttempts = false, 0, 0
	}
	g.openSentAt, g.wasOpen, g.closingSince, g.closeSentAt, g.leaveSentAt, g.headMissingSince, g.headReleased = 0, false, 0, 0, 0, 0, false
}

// Member is a VM of a planned group.
type Member struct {
	Life fleet.Life
	Last *fleet.Replica // Its last known entry; nil if none was seen.
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

// Summary counts what the plan holds, by model.
type Summary struct {
	Open    map[string]int // Groups whose head reports to serve.
	Forming map[string]int // Groups that are joining, opening or being repaired.
	Spares  map[string]int // Replicas outside groups that hold the weights.
	Loading map[string]int // Replicas that are staging weights.
	Idle    int            // Replicas without weights.
}

// Summarize counts the plan's groups and spares among the replicas.
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
		_, loading := p.staging[r.Life()]
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

// step holds what one call of Step works on.
type step struct {
	*Plan
	Input
	used   map[string]bool // Replicas in a planned group.
	orders []Order
}

// Step compares the plan with what the replicas report, changes the plan where it no longer holds, and returns the orders
// to send now.
func (p *Plan) Step(in Input) []Order {
	s := &step{Plan: p, Input: in, used: map[string]bool{}}
	s.expire()
	s.adoptReportedGroups()
	for _, name := range slices.Sorted(maps.Keys(p.groups)) {
		for _, m := range p.groups[name].members {
			s.used[m.incarnation.ID] = true
		}
	}
	for _, name := range slices.Sorted(maps.Keys(p.groups)) {
		s.advance(p.groups[name])
	}
	s.formGroups()
	s.stageWeights()
	s.joinStandbys()
	return s.orders
}

func (s *step) expire() {
	for incarnation, failures := range s.unresponsive {
		r := s.Replicas[incarnation.ID]
		if s.Now > failures.until || r == nil || r.Born != incarnation.Born {
			delete(s.unresponsive, incarnation)
		}
	}
	for incarnation, at := range s.probeAnswers {
		if s.Now.Sub(at) > probeAnswerValidity {
			delete(s.probeAnswers, incarnation)
		}
	}
	for g, at := range s.dissolved {
		if s.Now.Sub(at) > dissolvedRetention {
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
			limit += loadTimeFactor * m.Load
		}
		if st.failed {
			limit = stageRetryDelay
		}
		if r == nil || r.Born != incarnation.Born || r.HasStaged(st.model) || s.Now.Sub(st.sentAt) > limit {
			delete(s.staging, incarnation)
		}
	}
	s.loadStarts = slices.DeleteFunc(s.loadStarts, func(t clock.Time) bool { return s.Now.Sub(t) > s.LoadWindow })
}

// find returns the living replica of this life, or nil.
func (s *step) usableReplica(incarnation fleet.Life) *fleet.Replica {
	r := s.Replicas[incarnation.ID]
	if r == nil || r.Born != incarnation.Born {
		return nil
	}
	if _, dead := s.unresponsive[incarnation]; dead {
		return nil
	}
	return r
}

// isSlow tells whether the replica has lately said that it is slow.
func (s *step) isSlow(incarnation fleet.Life) bool {
	_, slow := s.slowUntil[incarnation]
	return slow
}

// known tells whether the replica's entry shows its state.
func (s *step) stateKnown(r *fleet.Replica) bool { return !s.Unsure || s.Confirmed[r.Life()] }

// order adds an order about a group.
func (s *step) addOrder(to *fleet.Replica, action Action, g *group, reason string) {
	o := Order{To: to, Action: action, Group: g.name, Epoch: g.epoch, Model: g.model, Reason: reason}
	for _, m := range g.members {
		o.Members = append(o.Members, m.incarnation.ID)
	}
	s.orders = append(s.orders, o)
}

// Awaited returns the replicas whose reports the plan waits for: those that should change soon, and those that load weights.
func (p *Plan) Awaited(replicas map[string]*fleet.Replica) (soon, later []fleet.Life) {
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

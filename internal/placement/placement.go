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
	// reportWait is the time after an order in which the replica's report must show it, before the order is sent again. The
	// reports that the store lists are some hundred milliseconds old.
	reportWait = 900 * time.Millisecond
	// openWait is the time after which an unanswered open order is sent again.
	openWait = 500 * time.Millisecond
	// closeWait is the longest time that a group's requests are given to finish when a member leaves. The platform keeps such a
	// member for ten seconds at most.
	closeWait = 9 * time.Second
	// joinTries is the number of unanswered joins after which a member is taken for unreachable.
	joinTries = 3
	// deadFor is the time for which a replica that didn't answer is taken for dead, if its entry stays as it was.
	deadFor = 8 * time.Second
	// stallMargin is waited beyond the time after which a group with a lost member is broken.
	stallMargin = time.Second
	// darkAtLeast is the least time for which a head must not have answered before its silence at all nodes counts as its death.
	darkAtLeast = 500 * time.Millisecond
	// standbyPrefix begins the names of groups that spares join alone, so that they hold the weights ready. They never open.
	standbyPrefix = "standby-"
	// standbyWait is the time after which a spare that doesn't report its standby group is asked again.
	standbyWait = 3 * time.Second
	// headTries is the number of probes in a row that a listed head must miss before its group is ended.
	headTries = 2
	// stageAgain is the time after which an order to stage weights that was refused or not answered is sent again. A replica
	// refuses it while it carries out another order.
	stageAgain = time.Second
	// dissolvedFor is the time for which a dissolved group is remembered. Orders are carried out some seconds late at most.
	dissolvedFor = 2 * time.Minute
	// presentFor is the time for which an answer shows that a replica lives, and missingWait what an unlisted member is given to
	// answer.
	presentFor  = 2 * time.Second
	missingWait = 700 * time.Millisecond
	// returnWait is the longest wait for an unlisted member that answers, where no spare could replace it.
	returnWait = 12 * time.Second
	// slowPace is how many times slower than usual a member must report to be before a spare takes its place, and slowFor the time
	// for which the report counts. A group works at the pace of its slowest member.
	slowPace = 2
	slowFor  = 6 * time.Second
	// loadSlack is how much longer than stated a load may take before the replica is asked again.
	loadSlack = 3
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
	life    fleet.Life
	last    *fleet.Replica // Last known entry; nil if none was seen.
	missing clock.Time     // When its entry was first missing; 0 while it is listed.
	acked   bool           // The join was answered.
	asked   clock.Time
	tries   int
}

// group is a group as it is planned.
type group struct {
	name       string
	epoch      int64
	model      string
	fabric     string
	members    []member // The first is the head.
	headFirst  bool     // The other members are asked only after the head has left its old epoch.
	opened     clock.Time
	wasOpen    bool
	closing    clock.Time // When a member of the serving group was first seen to leave; 0 if none was.
	closeAsked clock.Time // When the head was last asked to finish its requests; 0 if it wasn't.
	leaving    clock.Time // When the head was last asked to leave; 0 if it wasn't.
	dissolving string     // Why the group is dissolved; empty if it stands.
	// head is the last known entry of the head. A head whose entry is gone may still serve.
	head     *fleet.Replica
	released bool       // The head has stated that it doesn't serve this epoch, or nothing listens at its address.
	dark     clock.Time // When the head was first asked to leave without its entry; 0 if it wasn't.
	adopted  clock.Time // When the group was taken over from an earlier planner; 0 if it wasn't.
}

type staging struct {
	model  string
	at     clock.Time
	failed bool // The order was refused or not answered; it is sent again after stageAgain.
}

type groupEpoch struct {
	name  string
	epoch int64
}

// Plan is the planner's memory. It is not safe for concurrent use.
type Plan struct {
	term    int64
	counter int64

	groups    map[string]*group
	dissolved map[groupEpoch]clock.Time // Groups that were dissolved, and when.
	staging   map[fleet.Life]staging
	loads     []clock.Time // Starts of weight loads within the window.
	dead      map[fleet.Life]death
	present   map[fleet.Life]clock.Time // Replicas that have answered, whether they are listed or not.
	slow      map[fleet.Life]clock.Time // Until when a replica counts as slow.
	standbys  map[fleet.Life]clock.Time // When a spare was last asked to hold its weights ready.
}

// epochsPerTerm leaves each planner a range of epochs above all of its predecessors.
const epochsPerTerm = 100_000

// New returns an empty plan. The term must be higher than that of every earlier planner.
func New(term int64) *Plan {
	return &Plan{term: term, groups: map[string]*group{}, dissolved: map[groupEpoch]clock.Time{}, staging: map[fleet.Life]staging{},
		dead: map[fleet.Life]death{}, present: map[fleet.Life]clock.Time{}, slow: map[fleet.Life]clock.Time{}, standbys: map[fleet.Life]clock.Time{}}
}

func (p *Plan) nextEpoch() int64 {
	p.counter++
	return p.term*epochsPerTerm + p.counter
}

// death is what is known of a replica that doesn't answer.
type death struct {
	until clock.Time
	tries int // Probes in a row that were not answered.
}

// Dead notes that a replica doesn't answer.
func (p *Plan) Dead(l fleet.Life, now clock.Time) {
	p.dead[l] = death{now.Add(deadFor), p.dead[l].tries + 1}
}

// Lives notes that a replica has answered.
func (p *Plan) Lives(l fleet.Life, now clock.Time) {
	delete(p.dead, l)
	p.present[l] = now
}

// Pace notes how many times slower than usual a replica says it works; 0 if it doesn't say.
func (p *Plan) Pace(l fleet.Life, pace float64, now clock.Time) {
	if pace >= slowPace {
		p.slow[l] = now.Add(slowFor)
	} else {
		delete(p.slow, l)
	}
}

// Answered notes what became of an order.
func (p *Plan) Answered(o Order, out Outcome) {
	if o.Action == Stage {
		if st, known := p.staging[o.To.Life()]; known && out != Accepted {
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
		g.released = g.released || out != Unknown
	case Join:
		p.joined(g, o.To.Life(), out)
	}
}

func (p *Plan) joined(g *group, l fleet.Life, out Outcome) {
	for i := range g.members {
		m := &g.members[i]
		if m.life != l {
			continue
		}
		m.acked = m.acked || out == Accepted
		if out == Unknown {
			m.asked = 0 // It is asked again at once: the same join twice does no harm.
		}
		if out == Outdated {
			// Another planner has used a higher epoch; the group is planned anew above it.
			g.epoch = p.nextEpoch()
			g.restart()
			return
		}
	}
}

func (g *group) restart() {
	for i := range g.members {
		g.members[i].acked, g.members[i].asked, g.members[i].tries = false, 0, 0
	}
	g.opened, g.wasOpen, g.closing, g.closeAsked, g.leaving, g.dark, g.released = 0, false, 0, 0, 0, 0, false
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
			all[name] = append(all[name], Member{m.life, m.last})
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
		head := replicas[g.members[0].life.ID]
		if head != nil && head.Head() && head.Group.Epoch == g.epoch {
			sum.Open[g.model]++
		} else {
			sum.Forming[g.model]++
		}
		for _, m := range g.members {
			used[m.life.ID] = true
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
	s.forget()
	s.adopt()
	for _, name := range slices.Sorted(maps.Keys(p.groups)) {
		for _, m := range p.groups[name].members {
			s.used[m.life.ID] = true
		}
	}
	for _, name := range slices.Sorted(maps.Keys(p.groups)) {
		s.tend(p.groups[name])
	}
	s.form()
	s.stage()
	s.standby()
	return s.orders
}

func (s *step) forget() {
	for l, d := range s.dead {
		r := s.Replicas[l.ID]
		if s.Now > d.until || r == nil || r.Born != l.Born {
			delete(s.dead, l)
		}
	}
	for l, at := range s.present {
		if s.Now.Sub(at) > presentFor {
			delete(s.present, l)
		}
	}
	for g, at := range s.dissolved {
		if s.Now.Sub(at) > dissolvedFor {
			delete(s.dissolved, g)
		}
	}
	for l, until := range s.slow {
		if s.Now > until {
			delete(s.slow, l)
		}
	}
	for l, st := range s.staging {
		r := s.Replicas[l.ID]
		limit := 10 * time.Second
		if m := s.Engine.Model(st.model); m != nil {
			limit += loadSlack * m.Load
		}
		if st.failed {
			limit = stageAgain
		}
		if r == nil || r.Born != l.Born || r.HasStaged(st.model) || s.Now.Sub(st.at) > limit {
			delete(s.staging, l)
		}
	}
	s.loads = slices.DeleteFunc(s.loads, func(t clock.Time) bool { return s.Now.Sub(t) > s.LoadWindow })
}

// find returns the living replica of this life, or nil.
func (s *step) find(l fleet.Life) *fleet.Replica {
	r := s.Replicas[l.ID]
	if r == nil || r.Born != l.Born {
		return nil
	}
	if _, dead := s.dead[l]; dead {
		return nil
	}
	return r
}

// isSlow tells whether the replica has lately said that it is slow.
func (s *step) isSlow(l fleet.Life) bool {
	_, slow := s.slow[l]
	return slow
}

// known tells whether the replica's entry shows its state.
func (s *step) known(r *fleet.Replica) bool { return !s.Unsure || s.Confirmed[r.Life()] }

// order adds an order about a group.
func (s *step) order(to *fleet.Replica, a Action, g *group, reason string) {
	o := Order{To: to, Action: a, Group: g.name, Epoch: g.epoch, Model: g.model, Reason: reason}
	for _, m := range g.members {
		o.Members = append(o.Members, m.life.ID)
	}
	s.orders = append(s.orders, o)
}

// Awaited returns the replicas whose reports the plan waits for: those that should change soon, and those that load weights.
func (p *Plan) Awaited(replicas map[string]*fleet.Replica) (soon, later []fleet.Life) {
	for _, g := range p.groups {
		head := replicas[g.members[0].life.ID]
		serves := head != nil && head.Head() && head.Group.Name == g.name && head.Group.Epoch == g.epoch
		if serves && g.closing == 0 && g.dissolving == "" {
			continue
		}
		for _, m := range g.members {
			soon = append(soon, m.life)
		}
	}
	for l := range p.staging {
		later = append(later, l)
	}
	for l := range p.standbys {
		if r := replicas[l.ID]; r != nil && len(r.Models) == 0 {
			later = append(later, l)
		}
	}
	return soon, later
}

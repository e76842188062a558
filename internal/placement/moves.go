package placement

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/internal/demand"
	"cassiadeal.example/cassiadeal/internal/fleet"
)

// moveTimeout is the time from the release of the members of a move after which it counts as unfinished, so that the domain may begin
// another one. Its groups are then still formed as soon as possible.
const moveTimeout = 20 * time.Second

// moveRetryDelay is the time after an abandoned move in which its domain begins no other: groups that close and open again serve less.
const moveRetryDelay = 30 * time.Second

// Outcomes of a MoveEvent.
const (
	MoveBegun      = "begun"
	MoveReleased   = "released"   // All groups have closed, and their members are used for the other model.
	MoveDone       = "done"       // The groups of the other model serve.
	MoveAbandoned  = "abandoned"  // Requests didn't end in time; the groups open again.
	MoveUnfinished = "unfinished" // The groups of the other model didn't all begin to serve in time.
)

// Reasons why a wanted move isn't begun.
const (
	MoveNotStaged  = "not_staged"  // No domain has a unit whose members have staged the other model.
	MoveDomainBusy = "domain_busy" // The domains that could move a unit are moving one, or have lately abandoned one.
	MoveUncertain  = "uncertain"   // Entries may be outdated or incomplete.
)

// MoveEvent is a step of a move of replicas between two models.
type MoveEvent struct {
	Fabric, From, To string
	Groups           []string // The groups that are given up.
	Outcome          string
	Took             time.Duration // Since its begin.
}

// move is a change of the model of some groups of a fabric domain.
type move struct {
	from, to string
	groups   []string
	begunAt  clock.Time
	// releasedAt is when all groups had closed, from which on their members are used for the other model; 0 before.
	releasedAt clock.Time
	// replicas is the number of replicas that change the model. recorded is set once the moved replicas of the domain include them:
	// together with the end of the last group, so that no later planner finds one without the other.
	replicas int
	recorded bool
	// leaves and makes are the numbers of groups of the two models that the domain has afterwards.
	leaves, makes int
}

// TakeMoveEvents returns the steps of moves since the last call.
func (p *Plan) TakeMoveEvents() []MoveEvent {
	list := p.moveEvents
	p.moveEvents = nil
	return list
}

// MoveBlocked returns why a wanted move wasn't begun in the last step, or "".
func (p *Plan) MoveBlocked() string { return p.moveBlocked }

// Moved returns by how many replicas the models differ from the configured division, over all domains.
func (p *Plan) Moved() map[string]int {
	total := map[string]int{}
	for _, fabric := range p.moved {
		for model, n := range fabric {
			total[model] += n
		}
	}
	return total
}

// Division returns the number of planned groups by model, as if all moves had been completed.
func (p *Plan) Division() map[string]int {
	counts := map[string]int{}
	for _, g := range p.groups {
		counts[g.model]++
	}
	for fabric, mv := range p.moves {
		present := p.countsOf(fabric)
		counts[mv.from] += min(mv.leaves-present[mv.from], 0)
		counts[mv.to] += max(mv.makes-present[mv.to], 0)
	}
	return counts
}

// countsOf returns the number of planned groups of a domain by model.
func (p *Plan) countsOf(fabric string) map[string]int {
	counts := map[string]int{}
	for _, g := range p.groups {
		if g.fabric == fabric {
			counts[g.model]++
		}
	}
	return counts
}

func (s *step) noteMove(fabric string, mv *move, outcome string) {
	if len(s.moveEvents) < maxEvents {
		s.moveEvents = append(s.moveEvents, MoveEvent{fabric, mv.from, mv.to, mv.groups, outcome, s.Now.Sub(mv.begunAt)})
	}
}

// beginMoves begins the moves that lead to the wanted number of groups of each model, at most one in a domain at a time.
func (s *step) beginMoves() {
	s.moveBlocked = ""
	if !s.follows() || s.Wanted == nil || s.BeforeFirstRequest {
		return
	}
	from, to, units := s.wantedUnits()
	if units == 0 {
		return
	}
	if s.MayBeOutdated || s.Incomplete {
		s.moveBlocked = MoveUncertain
		return
	}
	s.moveBlocked = MoveNotStaged
	for _, fabric := range s.byMoved(to.Name) {
		if at, abandoned := s.abandoned[fabric]; s.moves[fabric] != nil || abandoned && s.Now.Sub(at) < moveRetryDelay {
			s.moveBlocked = MoveDomainBusy
			continue
		}
		if !s.beginMove(fabric, from, to) {
			continue
		}
		if units--; units == 0 {
			s.moveBlocked = ""
			return
		}
	}
}

// wantedUnits returns how many units should move between which models.
func (s *step) wantedUnits() (from, to *fleet.Model, units int) {
	counts := s.Division()
	for i := range s.Engine.Models {
		from, to := &s.Engine.Models[i], s.otherModel(&s.Engine.Models[i])
		given, got := demand.Exchange(from, to)
		surplus, shortage := counts[from.Name]-s.Wanted[from.Name], s.Wanted[to.Name]-counts[to.Name]
		if got > 0 && surplus >= given && shortage >= got {
			return from, to, min(surplus/given, shortage/got)
		}
	}
	return nil, nil, 0
}

// byMoved returns the fabric domains: first those that have given replicas of the model away, then the others, by name.
func (s *step) byMoved(model string) []string {
	domains := s.fabricDomains()
	slices.SortStableFunc(domains, func(a, b string) int { return s.moved[a][model] - s.moved[b][model] })
	return domains
}

// beginMove begins a move if a unit of the domain has staged the other model. Spares may replace members that haven't, except the last
// spare.
func (s *step) beginMove(fabric string, from, to *fleet.Model) bool {
	groups := s.groupsByFabric()[fabric]
	u := s.unitOf(groups, from, to)
	if u.groups == nil || u.missing > max(len(s.spares(fabric, to.Name))-1, 0) {
		return false
	}
	given, got := demand.Exchange(from, to)
	mv := &move{from: from.Name, to: to.Name, begunAt: s.Now, leaves: countGroups(groups, from.Name) - given, makes: countGroups(groups, to.Name) + got}
	for _, g := range u.groups {
		mv.groups = append(mv.groups, g.name)
	}
	s.moves[fabric] = mv
	s.noteMove(fabric, mv, MoveBegun)
	return true
}

// closeForMove lets the head of a group that changes the model finish its requests, and keeps it closed until the whole unit is. It reports
// false if the group isn't part of a move, or needs a repair first.
func (s *step) closeForMove(g *group) bool {
	mv := s.moves[g.fabric]
	if mv == nil || mv.releasedAt != 0 || !slices.Contains(mv.groups, g.name) || s.MayBeOutdated || g.dissolveReason != "" {
		return false
	}
	head := s.usableReplica(g.members[0].incarnation)
	if head == nil || s.drainingMember(g) != "" || s.breakReason(g, head) != "" {
		return false
	}
	if !s.headServes(g, head) {
		return g.closeSentAt != 0 // One that was repaired opens first.
	}
	g.head, g.wasOpen = head, true
	s.noteServing(g)
	if g.closingSince == 0 {
		g.closingSince = s.Now
	}
	if head.Group.State == fleet.GroupOpen && (g.closeSentAt == 0 || s.Now.Sub(g.closeSentAt) > reportTimeout) {
		g.closeSentAt = s.Now
		s.addOrder(head, CloseGroup, g, mv.reason())
	}
	return true
}

func (mv *move) reason() string {
	return fmt.Sprintf("its replicas change from model %s to %s", mv.from, mv.to)
}

// followMoves releases the members of moves whose groups have closed, and ends moves that are complete or take too long.
func (s *step) followMoves() {
	for _, fabric := range slices.Sorted(maps.Keys(s.moves)) {
		mv := s.moves[fabric]
		switch {
		case mv.recorded:
			s.awaitGroups(fabric, mv)
		case mv.releasedAt != 0:
			s.recordMove(fabric, mv)
		case s.MayBeOutdated:
		case s.allClosed(mv):
			s.releaseMove(fabric, mv)
			s.recordMove(fabric, mv)
		case s.Now.Sub(mv.begunAt) > closeTimeout:
			s.abandonMove(fabric, mv)
		}
	}
}

// allClosed reports whether all groups of a move have finished their requests or are no longer planned, and at least one is planned.
func (s *step) allClosed(mv *move) bool {
	planned := 0
	for _, name := range mv.groups {
		g := s.groups[name]
		if g == nil {
			continue
		}
		planned++
		head := s.usableReplica(g.members[0].incarnation)
		if head == nil || g.closeSentAt == 0 || !(groupKey{g.name, g.epoch}).reportedBy(head, head.Incarnation()) || head.Group.State != fleet.GroupReady || !s.stateKnown(head) {
			return false
		}
	}
	return planned > 0
}

// recordMove adds the replicas of a move to those that its domain has moved, once all its groups are given up.
func (s *step) recordMove(fabric string, mv *move) {
	if slices.ContainsFunc(mv.groups, func(name string) bool { return s.groups[name] != nil }) {
		return
	}
	mv.recorded = true
	s.setMoved(fabric, addMoved(s.moved[fabric], mv))
	s.changed(fabric)
}

// releaseMove gives up the groups of a move. From now on their replicas count for the other model.
func (s *step) releaseMove(fabric string, mv *move) {
	mv.releasedAt = s.Now
	from, to := s.Engine.Model(mv.from), s.Engine.Model(mv.to)
	given, got := demand.Exchange(from, to)
	mv.replicas = min(given*from.Size, got*to.Size)
	for _, name := range mv.groups {
		g := s.groups[name]
		if g == nil {
			continue
		}
		for _, m := range g.members {
			if r := s.Replicas[m.incarnation.ID]; r != nil && r.HasStaged(mv.to) {
				delete(s.residents, m.incarnation)
			}
		}
		s.dissolve(g, mv.reason())
	}
	s.noteMove(fabric, mv, MoveReleased)
}

// addMoved returns the replicas that a domain has moved after a move. One back takes them out.
func addMoved(before map[string]int, mv *move) map[string]int {
	after := map[string]int{mv.from: before[mv.from] - mv.replicas, mv.to: before[mv.to] + mv.replicas}
	if after[mv.to] == 0 {
		return nil
	}
	return after
}

// movedOf returns the replicas that a domain has moved, with those of a move whose members are released.
func (s *step) movedOf(fabric string) map[string]int {
	if mv := s.moves[fabric]; mv != nil && mv.releasedAt != 0 && !mv.recorded {
		return addMoved(s.moved[fabric], mv)
	}
	return s.moved[fabric]
}

func (p *Plan) setMoved(fabric string, moved map[string]int) {
	if len(moved) == 0 {
		delete(p.moved, fabric)
		return
	}
	p.moved[fabric] = moved
}

// awaitGroups ends a move once the groups of the other model serve.
func (s *step) awaitGroups(fabric string, mv *move) {
	serving := 0
	for _, g := range s.groups {
		head := s.usableReplica(g.members[0].incarnation)
		if g.fabric == fabric && g.model == mv.to && head != nil && s.headServes(g, head) {
			serving++
		}
	}
	switch {
	case serving >= mv.makes:
		s.noteMove(fabric, mv, MoveDone)
		delete(s.moves, fabric)
	case s.Now.Sub(mv.releasedAt) > moveTimeout:
		s.noteMove(fabric, mv, MoveUnfinished)
		delete(s.moves, fabric)
	}
}

// abandonMove lets the groups of a move open again.
func (s *step) abandonMove(fabric string, mv *move) {
	s.noteMove(fabric, mv, MoveAbandoned)
	delete(s.moves, fabric)
	s.abandoned[fabric] = s.Now
	for _, name := range mv.groups {
		if g := s.groups[name]; g != nil {
			g.closingSince, g.closeSentAt = 0, 0
		}
	}
}

// withMoved adds the replicas that a domain has moved to its quota by model.
func (s *step) withMoved(fabric string, quota map[string]int) map[string]int {
	from, to, most := "", "", 0
	for model, n := range s.movedOf(fabric) {
		if n > 0 {
			to, most = model, n
		} else {
			from = model
		}
	}
	if to != "" {
		n := min(most, quota[from])
		quota[from] -= n
		quota[to] += n
	}
	return quota
}

// afterMove replaces the numbers of groups of a domain by those that it has after a move whose members are released.
func (s *step) afterMove(fabric string, counts map[string]int) map[string]int {
	if mv := s.moves[fabric]; mv != nil && mv.releasedAt != 0 {
		counts[mv.from], counts[mv.to] = mv.leaves, max(counts[mv.to], mv.makes)
	}
	return counts
}

// exceedsDivision reports whether another group of the model would exceed the replicas that a domain which is divided among the models has for
// it, while the other model lacks a group there. After hosts have restarted, they have what was staged last: without a bound, all would form
// groups of that model.
func (s *step) exceedsDivision(fabric string, m *fleet.Model) bool {
	if !s.follows() || s.BeforeFirstRequest {
		return false
	}
	whole := s.quotaByShare(s.domains[fabric].largest)
	if !s.fitsGroups(whole) {
		return false
	}
	counts, quota, other := s.countsOf(fabric), s.withMoved(fabric, whole), s.otherModel(m)
	return (counts[m.Name]+1)*m.Size > quota[m.Name] && (counts[other.Name]+1)*other.Size <= quota[other.Name]
}

// formerMembersFirst moves the former members of a released move to the front of the candidates of its domain, so that spares stay.
func (s *step) formerMembersFirst(fabric string, list []*fleet.Replica) {
	mv := s.moves[fabric]
	if mv == nil || mv.releasedAt == 0 {
		return
	}
	rank := func(r *fleet.Replica) int {
		if r.Group != nil && slices.Contains(mv.groups, r.Group.Name) {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(list, func(a, b *fleet.Replica) int { return rank(a) - rank(b) })
}

// changesModel reports whether replicas of a domain are between the groups of two models. They fit no quota meanwhile, and no spare should
// be restaged for that.
func (s *step) changesModel(fabric string) bool {
	mv := s.moves[fabric]
	return mv != nil && mv.releasedAt != 0
}

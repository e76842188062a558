// Package placement plans the replica groups of a model service: which VMs form a group, how a group that lost a member is
// repaired, and which weights spare VMs stage. It needs no network: Step takes what is known and returns orders.
package placement

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
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
	// closeWait is the longest time that a group's requests are given to finish when a member leaves.
	closeWait = 1500 * time.Millisecond
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
	// presentFor is the time for which an answer shows that a replica lives, and missingWait what an unlisted member is given to
	// answer.
	presentFor  = 2 * time.Second
	missingWait = 700 * time.Millisecond
	// returnWait is the longest wait for an unlisted member that answers, where no spare could replace it.
	returnWait = 12 * time.Second
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
	closing    clock.Time // When the head was asked to finish its requests; 0 if it wasn't.
	leaving    clock.Time // When the head was last asked to leave; 0 if it wasn't.
	dissolving string     // Why the group is dissolved; empty if it stands.
	// head is the last known entry of the head. A head whose entry is gone may still serve.
	head     *fleet.Replica
	released bool       // The head has stated that it doesn't serve this epoch, or nothing listens at its address.
	dark     clock.Time // When the head was first asked to leave without its entry; 0 if it wasn't.
	adopted  clock.Time // When the group was taken over from an earlier planner; 0 if it wasn't.
}

type staging struct {
	model string
	at    clock.Time
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
	dissolved map[groupEpoch]bool
	staging   map[fleet.Life]staging
	loads     []clock.Time // Starts of weight loads within the window.
	dead      map[fleet.Life]death
	present   map[fleet.Life]clock.Time // Replicas that have answered, whether they are listed or not.
	standbys  map[fleet.Life]clock.Time // When a spare was last asked to hold its weights ready.
}

// epochsPerTerm leaves each planner a range of epochs above all of its predecessors.
const epochsPerTerm = 100_000

// New returns an empty plan. The term must be higher than that of every earlier planner.
func New(term int64) *Plan {
	return &Plan{term: term, groups: map[string]*group{}, dissolved: map[groupEpoch]bool{}, staging: map[fleet.Life]staging{},
		dead: map[fleet.Life]death{}, present: map[fleet.Life]clock.Time{}, standbys: map[fleet.Life]clock.Time{}}
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

// Answered notes what became of an order.
func (p *Plan) Answered(o Order, out Outcome) {
	if o.Action == Stage {
		if out != Accepted {
			delete(p.staging, o.To.Life())
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
	g.opened, g.wasOpen, g.closing, g.leaving, g.dark, g.released = 0, false, 0, 0, 0, false
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
	for l, st := range s.staging {
		r := s.Replicas[l.ID]
		limit := 10 * time.Second
		if m := s.Engine.Model(st.model); m != nil {
			limit += loadSlack * m.Load
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

// adopt takes over groups that the replicas report and the plan doesn't know, as after a change of the planner.
func (s *step) adopt() {
	found := map[groupEpoch][]*fleet.Replica{}
	for _, id := range slices.Sorted(maps.Keys(s.Replicas)) {
		r := s.Replicas[id]
		if r.Group == nil || strings.HasPrefix(r.Group.Name, standbyPrefix) {
			continue
		}
		key := groupEpoch{r.Group.Name, r.Group.Epoch}
		g := s.groups[key.name]
		if g != nil && g.epoch == key.epoch {
			g.fill(r, s.Now)
		}
		if s.dissolved[key] || g != nil && g.epoch >= key.epoch {
			continue
		}
		found[key] = append(found[key], r)
	}
	for key, list := range found {
		model := reportedModel(list, s.Engine)
		if model == nil {
			continue // Joining with no weights shown yet; it is looked at again.
		}
		g := &group{name: key.name, epoch: key.epoch, model: model.Name, members: make([]member, model.Size), adopted: s.Now}
		for _, r := range s.Lapsed {
			if r.Group != nil && r.Group.Name == key.name && r.Group.Epoch == key.epoch {
				g.fill(r, s.Now)
			}
		}
		for _, r := range list {
			g.fill(r, s.Now)
		}
		g.wasOpen = true // An earlier planner may have opened it.
		s.groups[key.name] = g
	}
}

// fill enters a member that reports the group and that wasn't known.
func (g *group) fill(r *fleet.Replica, now clock.Time) {
	if r.Group.Rank >= len(g.members) || g.members[r.Group.Rank].life.ID != "" {
		return
	}
	g.members[r.Group.Rank] = member{life: r.Life(), last: r, acked: true, asked: now}
	g.fabric = r.Fabric
	if r.Group.Rank == 0 {
		g.head = r
	}
}

// reportedModel returns the model that the members of a group have loaded or, while they load, staged.
func reportedModel(list []*fleet.Replica, e *fleet.Engine) *fleet.Model {
	for _, r := range list {
		for _, name := range r.Models {
			if m := e.Model(name); m != nil {
				return m
			}
		}
	}
	return nil
}

// tend brings one group forward.
func (s *step) tend(g *group) {
	if g.dissolving != "" {
		s.dissolve(g, g.dissolving)
		return
	}
	head := s.find(g.members[0].life)
	if head != nil {
		g.head = head
	}
	if reason := s.broken(g, head); reason != "" {
		s.repair(g, head, reason)
		return
	}
	switch {
	case head == nil:
		// The list may be incomplete; the group is looked at again when it is whole.
	case head.Group != nil && head.Group.Epoch == g.epoch && head.Group.State == fleet.GroupOpen:
		g.wasOpen = true
		s.replaceLeaving(g, head)
	case s.allReady(g):
		if g.closing != 0 {
			s.replaceLeaving(g, head)
		} else if s.Now.Sub(g.opened) > openWait || g.opened == 0 {
			g.opened = s.Now
			s.order(head, Open, g, "all members are ready")
		}
	default:
		s.joinMembers(g)
	}
}

// broken tells why a group can't serve or become ready, or returns "".
func (s *step) broken(g *group, head *fleet.Replica) string {
	for i := range g.members {
		m := &g.members[i]
		r := s.find(m.life)
		if r == nil {
			if reason := s.missing(m, i); reason != "" {
				return reason
			}
			continue
		}
		m.last, m.missing = r, 0
		if m.tries > joinTries && !m.acked {
			return fmt.Sprintf("member %d (%s) doesn't answer joins", i, m.life.ID)
		}
		reports := r.Group != nil && r.Group.Name == g.name && r.Group.Epoch == g.epoch
		if m.acked && !reports && s.Now.Sub(m.asked) > 3*reportWait {
			return fmt.Sprintf("member %d (%s) reports another group", i, m.life.ID)
		}
		if reports && r.Group.State == fleet.GroupBroken {
			return fmt.Sprintf("member %d (%s) reports that the group is broken", i, m.life.ID)
		}
	}
	if head != nil && head.Draining {
		return "the head leaves"
	}
	return ""
}

// missing tells why a member without a usable entry breaks its group, or returns "" while it may be well. A member other than
// the head that answers does its part, though it is cut off from the store. A head must be listed to be sent requests.
func (s *step) missing(m *member, rank int) string {
	if _, dead := s.dead[m.life]; dead || s.Replicas[m.life.ID] != nil {
		return fmt.Sprintf("member %d (%s) is gone", rank, m.life.ID)
	}
	if s.Incomplete {
		return ""
	}
	if m.missing == 0 {
		m.missing = s.Now
	}
	if _, answers := s.present[m.life]; answers && rank > 0 || m.last != nil && s.Now.Sub(m.missing) < missingWait {
		return ""
	}
	return fmt.Sprintf("member %d (%s) is not listed", rank, m.life.ID)
}

// mayReturn tells whether all lost members of a group answer without being listed, so that they may come back soon.
func (s *step) mayReturn(g *group) bool {
	for i := range g.members {
		m := &g.members[i]
		if s.find(m.life) != nil {
			continue
		}
		if _, answers := s.present[m.life]; !answers || s.Now.Sub(m.missing) > returnWait {
			return false
		}
	}
	return true
}

func (s *step) allReady(g *group) bool {
	for i, m := range g.members {
		r := s.find(m.life)
		if r == nil || r.Group == nil || r.Group.Name != g.name || r.Group.Epoch != g.epoch {
			return false
		}
		if r.Group.State != fleet.GroupReady && !(i == 0 && r.Group.State == fleet.GroupClosing) {
			return false
		}
		if r.Group.State == fleet.GroupClosing {
			return false
		}
	}
	return true
}

// joinMembers asks the members that don't report the group yet. If members come from an older epoch, the head is asked first:
// no member may be taken from a group whose head still serves.
func (s *step) joinMembers(g *group) {
	for i := range g.members {
		m := &g.members[i]
		r := s.find(m.life)
		if r == nil || r.Group != nil && r.Group.Name == g.name && r.Group.Epoch == g.epoch {
			m.acked = m.acked || r != nil
			continue
		}
		if m.asked == 0 || s.Now.Sub(m.asked) > reportWait && !m.acked {
			m.asked = s.Now
			m.tries++
			if !s.Fresh && !r.HasStaged(g.model) {
				s.loads = append(s.loads, s.Now)
			}
			s.order(r, Join, g, "a member of the group")
		}
		if i == 0 && g.headFirst && !m.acked {
			return
		}
	}
}

// replaceLeaving replaces draining members of an open group once there are spares for them.
func (s *step) replaceLeaving(g *group, head *fleet.Replica) {
	leaving := 0
	for _, m := range g.members {
		if r := s.find(m.life); r != nil && r.Draining {
			leaving++
		}
	}
	if leaving == 0 || len(s.spares(g.fabric, g.model)) < leaving {
		g.closing = 0
		return
	}
	if g.closing == 0 {
		g.closing = s.Now
		s.order(head, CloseGroup, g, "a member leaves and a spare replaces it")
		return
	}
	done := head.Group != nil && head.Group.State == fleet.GroupReady
	if done || s.Now.Sub(g.closing) > closeWait {
		s.repair(g, head, "a member leaves")
	}
}

// repair replaces lost and leaving members by spares of the fabric domain that hold the weights, under a new epoch, or
// dissolves the group if there are too few.
func (s *step) repair(g *group, head *fleet.Replica, reason string) {
	var stay []*fleet.Replica
	for _, m := range g.members {
		if r := s.find(m.life); r != nil && !r.Draining && !(m.tries > joinTries && !m.acked) {
			stay = append(stay, r)
		}
	}
	model := s.Engine.Model(g.model)
	if model == nil {
		s.dissolve(g, "the model is no longer configured")
		return
	}
	spares := s.spares(g.fabric, g.model)
	missing := model.Size - len(stay)
	if missing > len(spares) && s.mayReturn(g) && !(head != nil && head.Draining) {
		return
	}
	if missing > len(spares) || len(stay) == 0 {
		s.dissolve(g, reason)
		return
	}
	headStays := head != nil && !head.Draining && stay[0].ID == head.ID
	if !headStays && !s.release(g, reason) {
		return
	}
	for _, m := range g.members {
		delete(s.used, m.life.ID)
	}
	g.members = g.members[:0]
	for _, r := range append(stay, spares[:max(missing, 0)]...)[:model.Size] {
		g.members = append(g.members, member{life: r.Life(), last: r})
		s.used[r.ID] = true
	}
	g.epoch = s.nextEpoch()
	g.restart()
	g.headFirst = headStays
	s.joinMembers(g)
	for i := range s.orders {
		if o := &s.orders[i]; o.Group == g.name && o.Epoch == g.epoch {
			o.Reason = reason
		}
	}
}

// release tells whether the members of a group may be taken: its head doesn't serve this epoch any more. A head that may
// still serve is asked to leave first. One that doesn't answer is waited for until its group must be broken.
func (s *step) release(g *group, reason string) bool {
	head := s.Replicas[g.members[0].life.ID]
	death, dead := s.dead[g.members[0].life]
	if head != nil && dead && death.tries < headTries {
		return false // An order to leave would end a group whose head has only missed one probe.
	}
	if head != nil && !dead {
		if head.Born != g.members[0].life.Born || head.Group == nil || head.Group.Name != g.name || head.Group.Epoch != g.epoch ||
			head.Group.State == fleet.GroupBroken {
			return true
		}
		g.head = head
	}
	if g.released || !g.wasOpen && g.opened == 0 {
		return true
	}
	if (head == nil || dead) && g.dark == 0 {
		g.dark = s.Now
	}
	if g.head == nil {
		// An adopted group whose head was never seen: nobody can be asked.
		return s.Now.Sub(g.adopted) > s.StallAfter+stallMargin
	}
	if dark := s.Now.Sub(g.dark); g.dark != 0 && (dark > s.StallAfter+stallMargin || dark > darkAtLeast && s.Silent != nil && s.Silent(g.head)) {
		return true
	}
	if g.leaving == 0 || s.Now.Sub(g.leaving) > reportWait {
		g.leaving = s.Now
		s.order(g.head, Leave, g, reason)
	}
	return false
}

// dissolve frees the members of a group.
func (s *step) dissolve(g *group, reason string) {
	g.dissolving = reason
	if !s.release(g, reason) {
		return
	}
	s.dissolved[groupEpoch{g.name, g.epoch}] = true
	delete(s.groups, g.name)
	for _, m := range g.members {
		delete(s.used, m.life.ID)
	}
}

// free returns the replicas of a fabric domain that are in no planned group, in order of ID.
func (s *step) free(fabric string) []*fleet.Replica {
	var list []*fleet.Replica
	for _, id := range slices.Sorted(maps.Keys(s.Replicas)) {
		r := s.Replicas[id]
		if r.Fabric != fabric || s.used[id] || r.Draining || s.find(r.Life()) == nil {
			continue
		}
		if r.Group != nil && !strings.HasPrefix(r.Group.Name, standbyPrefix) && !s.dissolved[groupEpoch{r.Group.Name, r.Group.Epoch}] && s.foreign(r) {
			continue
		}
		list = append(list, r)
	}
	return list
}

// foreign tells whether the replica reports a group that isn't the plan's older epoch of itself.
func (s *step) foreign(r *fleet.Replica) bool {
	g := s.groups[r.Group.Name]
	return g == nil || r.Group.Epoch > g.epoch
}

// spares returns the free replicas of the fabric domain that hold the model's weights.
func (s *step) spares(fabric, model string) []*fleet.Replica {
	return slices.DeleteFunc(s.free(fabric), func(r *fleet.Replica) bool { return !r.HasStaged(model) })
}

func (s *step) fabrics() []string {
	names := map[string]bool{}
	for _, r := range s.Replicas {
		names[r.Fabric] = true
	}
	return slices.Sorted(maps.Keys(names))
}

// held returns the number of replicas in groups of each model.
func (s *step) held() map[string]float64 {
	held := map[string]float64{}
	for _, g := range s.groups {
		held[g.model] += float64(len(g.members))
	}
	return held
}

// modelsByLack returns the models in order of the replicas that they hold for what they need.
func (s *step) modelsByLack(held map[string]float64) []*fleet.Model {
	var models []*fleet.Model
	for i := range s.Engine.Models {
		if m := &s.Engine.Models[i]; s.Need[m.Name] > 0 {
			models = append(models, m)
		}
	}
	slices.SortStableFunc(models, func(a, b *fleet.Model) int {
		return cmp.Compare(held[a.Name]/s.Need[a.Name], held[b.Name]/s.Need[b.Name])
	})
	return models
}

// form makes new groups of free replicas that hold the weights; while the system is fresh, of all free replicas.
func (s *step) form() {
	for again := true; again; {
		again = false
		held := s.held()
		for _, m := range s.modelsByLack(held) {
			if s.formOne(m) {
				again = true
				break
			}
		}
	}
}

func (s *step) formOne(m *fleet.Model) bool {
	var best []*fleet.Replica
	for _, fabric := range s.fabrics() {
		have := s.spares(fabric, m.Name)
		if s.Fresh {
			have = s.freshMembers(fabric, m)
		}
		// The domain with the most spares loses least by another group.
		if len(have) >= m.Size && len(have) > len(best) {
			best = have
		}
	}
	if best == nil {
		return false
	}
	epoch := s.nextEpoch()
	g := &group{name: fmt.Sprintf("g%d", epoch), epoch: epoch, model: m.Name, fabric: best[0].Fabric}
	for _, r := range best[:m.Size] {
		g.members = append(g.members, member{life: r.Life(), last: r})
		s.used[r.ID] = true
	}
	s.groups[g.name] = g
	s.joinMembers(g)
	return true
}

// freshMembers returns the replicas of a domain that may form a group of the model at the first start: those that the domain's
// share leaves for the model, without weights, or with the right ones staged or being staged.
func (s *step) freshMembers(fabric string, m *fleet.Model) []*fleet.Replica {
	lack := s.quota(fabric)[m.Name] - s.assigned(fabric)[m.Name]
	var list []*fleet.Replica
	for _, r := range s.free(fabric) {
		switch model := s.assignment(r); {
		case model == m.Name:
			list = append(list, r)
		case model == "" && lack > 0:
			lack--
			list = append(list, r)
		}
	}
	return list
}

// assignment returns the model that a free replica has staged or is staging, or "".
func (s *step) assignment(r *fleet.Replica) string {
	if st, ok := s.staging[r.Life()]; ok {
		return st.model
	}
	for _, name := range r.Staged {
		if s.Engine.Model(name) != nil {
			return name
		}
	}
	return ""
}

// assigned returns the number of replicas of a domain that each model has: in groups, staged or being staged.
func (s *step) assigned(fabric string) map[string]int {
	n := map[string]int{}
	for _, g := range s.groups {
		for _, m := range g.members {
			if r := s.Replicas[m.life.ID]; r != nil && r.Fabric == fabric {
				n[g.model]++
			}
		}
	}
	for _, r := range s.free(fabric) {
		if model := s.assignment(r); model != "" {
			n[model]++
		}
	}
	return n
}

// quota divides the replicas of a domain among the models by need, the largest remainders rounded up.
func (s *step) quota(fabric string) map[string]int {
	total := 0
	for _, r := range s.Replicas {
		if r.Fabric == fabric && !r.Draining && s.find(r.Life()) != nil {
			total++
		}
	}
	quota := map[string]int{}
	for range total {
		var best *fleet.Model
		var most float64
		for i := range s.Engine.Models {
			m := &s.Engine.Models[i]
			if lack := s.Need[m.Name]*float64(total) - float64(quota[m.Name]); best == nil || lack > most {
				best, most = m, lack
			}
		}
		if best != nil {
			quota[best.Name]++
		}
	}
	return quota
}

// stage lets free replicas load the weights that their domain lacks most: those without weights, and those that hold weights of
// which the domain has more than its share. A spare that waits for a second loss of one model is worth less than the first
// spare of another.
func (s *step) stage() {
	for _, fabric := range s.fabrics() {
		quota, assigned := s.quota(fabric), s.assigned(fabric)
		for _, r := range s.free(fabric) {
			has := s.assignment(r)
			if _, loading := s.staging[r.Life()]; loading || !s.mayLoad() {
				continue
			}
			best, lack := s.mostLacked(quota, assigned)
			if best == nil || best.Name == has || has != "" && (lack < 1 || assigned[has] <= quota[has]) {
				continue
			}
			assigned[best.Name]++
			if has != "" {
				assigned[has]--
			}
			s.staging[r.Life()] = staging{best.Name, s.Now}
			s.loads = append(s.loads, s.Now)
			s.orders = append(s.orders, Order{To: r, Action: Stage, Model: best.Name,
				Reason: fmt.Sprintf("domain %s lacks %d of %s", fabric, lack, best.Name)})
		}
	}
}

// mostLacked returns the model of which a domain has least for its quota, and how much it lacks.
func (s *step) mostLacked(quota, assigned map[string]int) (best *fleet.Model, lack int) {
	for i := range s.Engine.Models {
		m := &s.Engine.Models[i]
		if d := quota[m.Name] - assigned[m.Name]; best == nil || d > lack {
			best, lack = m, d
		}
	}
	return best, lack
}

// standby lets spares join a group of their own, which never opens: a member whose last group had the same model joins the next
// one much sooner than one that has only staged the weights.
func (s *step) standby() {
	for l := range s.standbys {
		if s.find(l) == nil {
			delete(s.standbys, l)
		}
	}
	for _, fabric := range s.fabrics() {
		for _, r := range s.free(fabric) {
			model := s.Engine.Model(s.assignment(r))
			if model == nil || !r.HasStaged(model.Name) || r.Group != nil || slices.Contains(r.Models, model.Name) {
				continue
			}
			if at, asked := s.standbys[r.Life()]; asked && s.Now.Sub(at) < standbyWait {
				continue
			}
			s.standbys[r.Life()] = s.Now
			members := []string{r.ID}
			for i := 1; i < model.Size; i++ {
				members = append(members, fmt.Sprintf("%s-none-%d", r.ID, i))
			}
			s.orders = append(s.orders, Order{To: r, Action: Join, Group: standbyPrefix + r.ID, Epoch: s.nextEpoch(), Model: model.Name,
				Members: members, Reason: "a spare holds its weights ready"})
		}
	}
}

// mayLoad tells whether another weight load may start within the stated rate and number.
func (s *step) mayLoad() bool {
	if s.Fresh {
		return true
	}
	running := 0
	for range s.staging {
		running++
	}
	return float64(len(s.loads)+1) <= s.Engine.LoadsPerS*s.LoadWindow.Seconds() && running < max(s.Engine.LoadsAtOnce, 1)
}

// order adds an order about a group.
func (s *step) order(to *fleet.Replica, a Action, g *group, reason string) {
	o := Order{To: to, Action: a, Group: g.name, Epoch: g.epoch, Model: g.model, Reason: reason}
	for _, m := range g.members {
		o.Members = append(o.Members, m.life.ID)
	}
	s.orders = append(s.orders, o)
}

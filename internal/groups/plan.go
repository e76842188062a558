// Package groups plans the replica groups of each fabric domain and sends engines the orders that form the groups. One
// node at a time is the controller of a fabric domain.
package groups

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"cassiadeal.example/cassiadeal/internal/platform"
	"cassiadeal.example/cassiadeal/internal/rules"
	"cassiadeal.example/cassiadeal/internal/schema"
)

// VM is one VM of a fabric domain in the platform's list.
type VM struct {
	Name          string
	Address       string // host:port of the engine; empty for a member that this node has never found listed.
	FabricDomain  string
	FailureDomain string
	Leaving       bool
	// Unlisted is set for a member that the last list lacks.
	Unlisted bool
}

// Report is the last state that the engine of a VM reported.
type Report struct {
	Incarnation string
	Group       string // Empty if the engine is in no group.
	Number      uint64 // Number of the group's composition that the engine joined.
	Rank        uint32
	Size        uint32
	Model       string
	Loading     bool
	Ready       bool
	Weights     []string // Models whose weights the VM holds.
	// Running and Waiting count the engine's requests, as of a short time before.
	Running, Waiting int
	// Age is the time since the report was requested, or since reports of the VM are collected if none has arrived.
	Age time.Duration
	// Seen is false if no report has arrived yet.
	Seen bool
	// Missed counts the requests for a report that were sent after the one that was answered last, and have failed.
	Missed int
	// Leaving is set if the engine has stated that it is leaving, whether or not the VM list shows it.
	Leaving bool
	// Limited is set if the engine has stated a limit on its rate of requests.
	Limited bool
}

// Share is a pool and the number of its replicas that this fabric domain should hold.
type Share struct {
	Pool     rules.Pool
	Replicas int
	// Placed is the sum of Replicas over all fabric domains.
	Placed int
	// ReadyElsewhere counts the pool's ready groups of other fabric domains.
	ReadyElsewhere int
}

// Policy selects how a group that has lost members is restored.
type Policy int

const (
	// RepairWithSpare keeps the remaining members and replaces the lost ones by spare VMs of the fabric domain.
	RepairWithSpare Policy = iota
	// RebuildWholeGroup dissolves the group and builds a new one.
	RebuildWholeGroup
)

// Timing holds the planner's time limits.
type Timing struct {
	Fresh time.Duration // An older report doesn't confirm a VM's state; 1 s if zero.
	Lost  time.Duration // A member without a report for this long, and with minMissed missed ones, is lost; 3 s if zero.
	Drain time.Duration // A retiring group keeps its VMs for at least this long; 30 s if zero.
	// MaxDrain is the longest time for which a retiring group keeps its VMs beyond Drain for the requests that still run, unless their
	// pool has a longer deadline; 10 min if zero.
	MaxDrain time.Duration
}

// minMissed is the number of missed reports without which a member isn't lost. A report can be old because the controller was paused or
// was late to ask. One missed report doesn't show more, since it may have been under way during the pause.
const minMissed = 2

func (t Timing) withDefaults() Timing {
	return Timing{
		Fresh: cmp.Or(t.Fresh, time.Second), Lost: cmp.Or(t.Lost, 3*time.Second),
		Drain: cmp.Or(t.Drain, 30*time.Second), MaxDrain: cmp.Or(t.MaxDrain, 10*time.Minute),
	}
}

// Input holds everything that Plan depends on.
type Input struct {
	Now              time.Time
	FabricDomain     string
	FailureDomain    string
	FailureDomainOut bool
	VMs              []VM // VMs of this fabric domain.
	Plan             *schema.FabricDomain
	// Version is the object version of Plan. It makes the IDs of new groups and the numbers of compositions unique.
	Version uint64
	Reports map[string]Report // By VM name.
	Shares  []Share
	// Budget is this fabric domain's part of the weight budget.
	Budget rules.WeightBudget
	Policy Policy
	Timing Timing
}

// Action is the kind of an order.
type Action string

// Actions of the engines' order protocol.
const (
	Join  Action = "join"
	Leave Action = "leave"
)

// Order is a command to the engine of one VM. The controller adds the fencing number.
type Order struct {
	VM      string
	Address string
	Action  Action
	Group   string
	Number  uint64 // Number of the group's composition.
	Rank    uint32
	Size    uint32
	Members []string // Addresses by rank.
	Model   string
	Pool    string
	// Load is true if the VM has to fetch the weights.
	Load bool
}

// Output is the result of Plan.
type Output struct {
	Plan    *schema.FabricDomain
	Changed bool
	// Orders are the orders that carry out Plan. They may be sent only after Plan was stored.
	Orders []Order
}

// planner computes the next plan from one Input.
type planner struct {
	input         Input
	plan          *schema.FabricDomain
	vms           map[string]VM    // By name.
	shares        map[string]Share // By pool.
	createdGroups int              // Part of the IDs of new groups.
}

// Plan computes the next plan of one fabric domain and the orders that carry it out. It doesn't change its arguments.
func Plan(in Input) Output {
	in.Timing = in.Timing.withDefaults()
	p := &planner{input: in, vms: map[string]VM{}, shares: map[string]Share{}}
	if in.Plan == nil {
		in.Plan = &schema.FabricDomain{Name: in.FabricDomain, FailureDomain: in.FailureDomain}
	}
	p.plan = proto.CloneOf(in.Plan)
	if p.plan.Assignments == nil {
		p.plan.Assignments = map[string]*schema.Assignment{}
	}
	if p.plan.Groups == nil {
		p.plan.Groups = map[string]*schema.Group{}
	}
	for _, vm := range in.VMs {
		p.vms[vm.Name] = vm
	}
	for _, s := range in.Shares {
		p.shares[s.Pool.Name] = s
	}
	for _, id := range p.groupIDs() {
		p.updateGroup(p.plan.Groups[id])
	}
	p.retireSurplus()
	p.repairGroups()
	p.createGroups()
	orders := p.missingOrders() // Also records the loads in the plan.
	return Output{Plan: p.plan, Changed: !proto.Equal(p.plan, in.Plan), Orders: orders}
}

func (p *planner) groupIDs() []string { return slices.Sorted(maps.Keys(p.plan.Groups)) }

// members returns the VM names of a group by rank, with an empty name for a vacant rank.
func members(plan *schema.FabricDomain, g *schema.Group) []string {
	names := make([]string, g.Size)
	for vm, a := range plan.Assignments {
		if a.Group == g.Id && a.Rank < g.Size {
			names[a.Rank] = vm
		}
	}
	return names
}

// isLost reports whether a member can no longer serve.
func (p *planner) isLost(vm string) bool { return p.isGone(vm) || p.isSilent(vm) }

// isGone reports whether a VM is no longer listed.
func (p *planner) isGone(vm string) bool {
	_, listed := p.vms[vm]
	return !listed
}

// isSilent reports whether a VM has sent no report for so long that it counts as lost. Timing.Lost also applies to a VM without any
// report, counted from the start of collection, so that a new controller doesn't dissolve all groups.
func (p *planner) isSilent(vm string) bool {
	r, ok := p.input.Reports[vm]
	return ok && r.Age > p.input.Timing.Lost && r.Missed >= minMissed
}

// freshReport returns the report of a VM, and whether it is recent enough to be relied upon.
func (p *planner) freshReport(vm string) (Report, bool) {
	r, ok := p.input.Reports[vm]
	return r, ok && r.Seen && r.Age <= p.input.Timing.Fresh
}

// isSpare reports whether a VM may join a group now. An engine that still reports an earlier group must leave it first.
func (p *planner) isSpare(vm VM) bool {
	_, assigned := p.plan.Assignments[vm.Name]
	r, fresh := p.freshReport(vm.Name)
	return !assigned && !vm.Leaving && fresh && r.Group == ""
}

// spares returns the VMs that may join a group, those that hold the model's weights first. Of these, VMs whose engines limit their rate
// of requests come last: the first may get rank 0, whose limit is that of the whole group.
func (p *planner) spares(model string) []string {
	var names []string
	for _, vm := range p.input.VMs {
		if p.isSpare(vm) {
			names = append(names, vm.Name)
		}
	}
	loadCost := func(vm string) int {
		if slices.Contains(p.input.Reports[vm].Weights, model) {
			return 0
		}
		return 1
	}
	limited := func(vm string) int {
		if p.input.Reports[vm].Limited {
			return 1
		}
		return 0
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(loadCost(a), loadCost(b)), cmp.Compare(limited(a), limited(b)), cmp.Compare(a, b))
	})
	return slices.Compact(names)
}

// renumber gives a group a new number, which invalidates all earlier reports and orders, and returns it to the planned
// state until all members have confirmed the new number. Members may report numbers of plans that a restore of the store has taken, so
// numbers begin anew, and higher, in each era.
func (p *planner) renumber(g *schema.Group) {
	g.Number = max(g.Number, platform.VersionIn(platform.EraOf(p.input.Version), 0)) + 1
	g.State = schema.GroupState_GROUP_STATE_PLANNED
	for _, a := range p.plan.Assignments {
		if a.Group == g.Id {
			a.Incarnation = ""
		}
	}
}

// dissolve removes a group and all its assignments.
func (p *planner) dissolve(g *schema.Group) {
	maps.DeleteFunc(p.plan.Assignments, func(_ string, a *schema.Assignment) bool { return a.Group == g.Id })
	delete(p.plan.Groups, g.Id)
}

// retire starts the retirement of a ready group and dissolves any other group.
func (p *planner) retire(g *schema.Group) {
	if g.State != schema.GroupState_GROUP_STATE_READY {
		p.dissolve(g)
		return
	}
	g.State = schema.GroupState_GROUP_STATE_RETIRING
	g.RetireUnixMs = p.input.Now.Add(p.input.Timing.Drain).UnixMilli()
}

// updateGroup updates one group according to the VM list, the reports and the rules.
func (p *planner) updateGroup(g *schema.Group) {
	var lost []string
	for _, vm := range members(p.plan, g) {
		if vm != "" && p.isLost(vm) {
			lost = append(lost, vm)
		}
	}
	if g.State == schema.GroupState_GROUP_STATE_RETIRING {
		if len(lost) > 0 || p.isDrained(g) {
			p.dissolve(g)
		}
		return
	}
	if _, wanted := p.shares[g.Pool]; !wanted {
		p.retire(g)
		return
	}
	ready := g.State == schema.GroupState_GROUP_STATE_READY
	if p.isOutdated(g) && (!ready || len(lost) > 0) || len(lost) > 0 && p.input.Policy == RebuildWholeGroup {
		p.dissolve(g)
		return
	}
	switch {
	case slices.ContainsFunc(lost, p.isGone):
		p.removeMissing(g)
		p.renumber(g)
	case len(lost) > 0:
		// The group keeps its silent members until spares replace them. If these report again before, unchanged, the group is
		// ready again without orders, which would end what runs there.
		g.State = schema.GroupState_GROUP_STATE_PLANNED
	case (ready || p.isSuspended(g)) && p.isContradicted(g):
		p.renumber(g)
	case !ready:
		p.checkPlanned(g)
	}
}

// removeMissing removes the members of a group that have to be replaced.
func (p *planner) removeMissing(g *schema.Group) {
	maps.DeleteFunc(p.plan.Assignments, func(vm string, a *schema.Assignment) bool { return a.Group == g.Id && p.isMissing(g, vm) })
}

// isMissing reports whether a member of a group has to be replaced: it is lost, or leaving while the group doesn't serve.
func (p *planner) isMissing(g *schema.Group, vm string) bool {
	return p.isLost(vm) || g.State == schema.GroupState_GROUP_STATE_PLANNED && p.vms[vm].Leaving
}

// isSuspended reports whether a planned group was ready and has not been renumbered since, so that its members may still run requests.
func (p *planner) isSuspended(g *schema.Group) bool {
	return g.State == schema.GroupState_GROUP_STATE_PLANNED && !slices.ContainsFunc(members(p.plan, g), func(vm string) bool {
		return p.plan.Assignments[vm].GetIncarnation() == ""
	})
}

// isDrained reports whether the VMs of a retiring group may be ordered away: its time is over, and by a fresh report of rank 0, which runs
// the requests, none is left. Requests may run for longer than Timing.Drain, up to the deadline of their pool.
func (p *planner) isDrained(g *schema.Group) bool {
	retired := time.UnixMilli(g.RetireUnixMs)
	if p.input.Now.Before(retired) {
		return false
	}
	names := members(p.plan, g)
	if len(names) == 0 {
		return true
	}
	r, fresh := p.freshReport(names[0])
	idle := fresh && r.Running == 0 && r.Waiting == 0
	maxDrain := max(p.input.Timing.MaxDrain, p.shares[g.Pool].Pool.Deadline)
	return idle || !p.input.Now.Before(retired.Add(maxDrain))
}

// isContradicted reports whether a fresh report contradicts the plan of a group that is ready or suspended.
func (p *planner) isContradicted(g *schema.Group) bool {
	for _, vm := range members(p.plan, g) {
		r, fresh := p.freshReport(vm)
		if !fresh {
			continue
		}
		a := p.plan.Assignments[vm]
		if r.Incarnation != a.Incarnation || !confirmsMembership(r, g, a.Rank) {
			return true
		}
	}
	return false
}

// confirmsMembership reports whether a VM reports the group, its current number and the given rank.
func confirmsMembership(r Report, g *schema.Group, rank uint32) bool {
	return r.Group == g.Id && r.Number == g.Number && r.Rank == rank
}

// checkPlanned makes a planned group ready if fresh reports of all members confirm the plan and are ready.
func (p *planner) checkPlanned(g *schema.Group) {
	names := members(p.plan, g)
	if slices.Contains(names, "") {
		return
	}
	for _, vm := range names {
		r, fresh := p.freshReport(vm)
		if !fresh || !r.Ready || !confirmsMembership(r, g, p.plan.Assignments[vm].Rank) {
			return
		}
	}
	g.State = schema.GroupState_GROUP_STATE_READY
	for _, vm := range names {
		p.plan.Assignments[vm].Incarnation = p.input.Reports[vm].Incarnation
	}
}

// isOutdated reports whether the rules have changed the group size or the model of the group's pool.
func (p *planner) isOutdated(g *schema.Group) bool {
	pool := p.shares[g.Pool].Pool
	return pool.VMs != int(g.Size) || pool.Model != g.Model
}

// needsReplacement reports whether a group has to be replaced by another one, because it is outdated or has a leaving
// member.
func (p *planner) needsReplacement(g *schema.Group) bool {
	return p.isOutdated(g) || slices.ContainsFunc(members(p.plan, g), func(vm string) bool { return p.vms[vm].Leaving })
}

// missingMembers counts the ranks of a group that are vacant or whose member has to be replaced.
func (p *planner) missingMembers(g *schema.Group) int {
	n := 0
	for _, vm := range members(p.plan, g) {
		if vm == "" || p.isMissing(g, vm) {
			n++
		}
	}
	return n
}

// poolGroups returns the groups of a pool that are not retiring.
func (p *planner) poolGroups(pool string) []*schema.Group {
	var gs []*schema.Group
	for _, id := range p.groupIDs() {
		if g := p.plan.Groups[id]; g.Pool == pool && g.State != schema.GroupState_GROUP_STATE_RETIRING {
			gs = append(gs, g)
		}
	}
	return gs
}

func (p *planner) poolNames() []string { return slices.Sorted(maps.Keys(p.shares)) }

// retireSurplus retires groups beyond each pool's share, in this order: incomplete groups, ready groups that need
// replacement, complete groups that aren't ready, other groups. A ready group is retired only if the pool has enough
// ready groups without it, so that a replacement is ready before the old group stops.
func (p *planner) retireSurplus() {
	if p.input.FailureDomainOut {
		return // A failure domain that is out keeps its groups for its return.
	}
	for _, pool := range p.poolNames() {
		share := p.shares[pool]
		groups := p.poolGroups(pool)
		retirePriority := func(g *schema.Group) int {
			ready := g.State == schema.GroupState_GROUP_STATE_READY
			switch {
			case !ready && p.missingMembers(g) > 0:
				return 0
			case ready && p.needsReplacement(g):
				return 1
			case !ready:
				return 2
			}
			return 3
		}
		slices.SortStableFunc(groups, func(a, b *schema.Group) int {
			return cmp.Or(cmp.Compare(retirePriority(a), retirePriority(b)), cmp.Compare(b.Id, a.Id))
		})
		surplus := len(groups) - share.Replicas
		replacing := 0
		for _, g := range groups {
			if p.needsReplacement(g) && g.State == schema.GroupState_GROUP_STATE_READY {
				replacing++
			}
		}
		for _, g := range groups {
			if surplus <= 0 {
				break
			}
			ready := g.State == schema.GroupState_GROUP_STATE_READY
			if ready && p.readyCount(pool)-1+share.ReadyElsewhere < share.Placed {
				continue
			}
			// A replacement under construction is not surplus while the group that it replaces still serves.
			if !ready && surplus <= replacing {
				continue
			}
			if ready && p.needsReplacement(g) {
				replacing--
			}
			p.retire(g)
			surplus--
		}
	}
}

func (p *planner) readyCount(pool string) int {
	n := 0
	for _, g := range p.poolGroups(pool) {
		if g.State == schema.GroupState_GROUP_STATE_READY {
			n++
		}
	}
	return n
}

// repairGroups fills the vacant ranks of planned groups and replaces their silent members, in groups that miss the fewest first. If the
// spares don't suffice for two or more groups, the one that misses the most is dissolved, so that its VMs can complete another.
func (p *planner) repairGroups() {
	var incomplete []*schema.Group
	for _, id := range p.groupIDs() {
		g := p.plan.Groups[id]
		if g.State != schema.GroupState_GROUP_STATE_PLANNED {
			continue
		}
		if !p.isSuspended(g) {
			p.dropLeaving(g)
		}
		if p.missingMembers(g) > 0 {
			incomplete = append(incomplete, g)
		}
	}
	slices.SortStableFunc(incomplete, func(a, b *schema.Group) int { return cmp.Compare(p.missingMembers(a), p.missingMembers(b)) })
	var unfilled []*schema.Group
	for _, g := range incomplete {
		if !p.fillVacancies(g) {
			unfilled = append(unfilled, g)
		}
	}
	if len(unfilled) > 1 && p.canComplete(unfilled) {
		p.dissolve(unfilled[len(unfilled)-1])
	}
}

// canComplete reports whether the VMs of incomplete groups, ordered by the members that they miss, can complete the first one. Only silent
// members need this: their groups may become ready without being touched.
func (p *planner) canComplete(incomplete []*schema.Group) bool {
	if !slices.ContainsFunc(members(p.plan, incomplete[len(incomplete)-1]), p.isSilent) {
		return true
	}
	available := len(p.spares(incomplete[0].Model))
	for _, g := range incomplete[1:] {
		available += int(g.Size) - p.missingMembers(g)
	}
	return available >= p.missingMembers(incomplete[0])
}

// dropLeaving removes leaving members from a planned group, which doesn't serve.
func (p *planner) dropLeaving(g *schema.Group) {
	changed := false
	for _, vm := range members(p.plan, g) {
		if vm != "" && p.vms[vm].Leaving {
			delete(p.plan.Assignments, vm)
			changed = true
		}
	}
	if changed {
		p.renumber(g)
	}
}

// fillVacancies assigns spares to all vacant ranks and those of lost members, or to none if there are too few spares.
func (p *planner) fillVacancies(g *schema.Group) bool {
	spares := p.spares(g.Model)
	if len(spares) < p.missingMembers(g) {
		return false
	}
	p.removeMissing(g)
	for rank, vm := range members(p.plan, g) {
		if vm == "" {
			p.plan.Assignments[spares[0]] = &schema.Assignment{Group: g.Id, Rank: uint32(rank)}
			spares = spares[1:]
		}
	}
	p.renumber(g)
	return true
}

// createGroups adds groups up to each pool's share. A group that needs replacement doesn't count, so that its replacement
// is built while it still serves.
func (p *planner) createGroups() {
	if p.input.FailureDomainOut {
		return
	}
	for _, pool := range p.poolNames() {
		share := p.shares[pool]
		remaining := 0
		for _, g := range p.poolGroups(pool) {
			if !p.needsReplacement(g) {
				remaining++
			}
		}
		for ; remaining < share.Replicas; remaining++ {
			// The ID contains the version of the plan that it is based on. It is unique, because only one write that is
			// based on a version succeeds.
			g := &schema.Group{
				Id:   fmt.Sprintf("%s.%s.%d.%d", pool, p.input.FabricDomain, p.input.Version, p.createdGroups),
				Pool: pool, Size: uint32(share.Pool.VMs), Model: share.Pool.Model,
				State: schema.GroupState_GROUP_STATE_PLANNED,
			}
			if g.Size == 0 {
				break
			}
			if !p.fillVacancies(g) {
				p.makeRoom(pool)
				break
			}
			p.createdGroups++
			p.plan.Groups[g.Id] = g
		}
	}
}

// makeRoom is called if too few spares are left to create a group of a pool. It retires one outdated group of the pool if
// all the pool's groups are ready, so that only one is replaced at a time. A group that only has a leaving member is
// not retired: it serves until that VM is lost.
func (p *planner) makeRoom(pool string) {
	var outdated *schema.Group
	for _, id := range p.groupIDs() {
		g := p.plan.Groups[id]
		switch {
		case g.Pool != pool:
		case g.State != schema.GroupState_GROUP_STATE_READY:
			return
		case p.isOutdated(g):
			outdated = g
		}
	}
	if outdated != nil {
		p.retire(outdated)
	}
}

// loadPeriod is the period for which rules.WeightBudget.PerMinute limits the loads.
const loadPeriod = time.Minute

// loadKey identifies an order that makes an engine load weights, however often it is sent.
func loadKey(vm string, r Report, g *schema.Group) string {
	return fmt.Sprintf("%s/%s/%s/%d", vm, r.Incarnation, g.Id, g.Number)
}

// startedLoad reports whether a load with a key of the plan's load starts was ordered within the last loadPeriod. The time may be of
// another controller's clock.
func (p *planner) startedLoad(key string) bool {
	start, ok := p.plan.LoadStartUnixMs[key]
	return ok && p.input.Now.Sub(time.UnixMilli(start)).Abs() < loadPeriod
}

// mayLoad reports whether the budget allows a load, and records it in the plan, so that a new controller counts it too. An order that is
// sent again is no other load.
func (p *planner) mayLoad(key string) bool {
	if p.startedLoad(key) {
		return true
	}
	recent := map[string]int64{}
	for k, start := range p.plan.LoadStartUnixMs {
		if p.startedLoad(k) {
			recent[k] = start
		}
	}
	if len(recent) >= p.input.Budget.PerMinute {
		return false
	}
	recent[key] = p.input.Now.UnixMilli()
	p.plan.LoadStartUnixMs = recent
	return true
}

// missingOrders returns the orders that engines have not carried out yet according to fresh reports. Orders that load
// weights are left out beyond the weight budget.
func (p *planner) missingOrders() []Order {
	var orders []Order
	loads := 0
	for vm := range p.vms {
		if p.input.Reports[vm].Loading {
			loads++
		}
	}
	for _, id := range p.groupIDs() {
		g := p.plan.Groups[id]
		names := members(p.plan, g)
		if g.State != schema.GroupState_GROUP_STATE_PLANNED || p.missingMembers(g) > 0 {
			continue
		}
		addresses := make([]string, len(names))
		for i, vm := range names {
			addresses[i] = p.vms[vm].Address
		}
		if slices.Contains(addresses, "") {
			continue
		}
		for rank, vm := range names {
			r, fresh := p.freshReport(vm)
			if !fresh || confirmsMembership(r, g, uint32(rank)) {
				continue
			}
			load := !slices.Contains(r.Weights, g.Model)
			if load && !r.Loading {
				if loads >= p.input.Budget.AtOnce || !p.mayLoad(loadKey(vm, r, g)) {
					continue
				}
				loads++
			}
			orders = append(orders, Order{
				VM: vm, Address: p.vms[vm].Address, Action: Join, Group: g.Id, Number: g.Number, Rank: uint32(rank),
				Size: g.Size, Members: addresses, Model: g.Model, Pool: g.Pool, Load: load,
			})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(p.vms)) {
		r, fresh := p.freshReport(name)
		if _, assigned := p.plan.Assignments[name]; !assigned && fresh && r.Group != "" {
			orders = append(orders, Order{
				VM: name, Address: p.vms[name].Address, Action: Leave, Group: r.Group, Number: r.Number,
			})
		}
	}
	return orders
}

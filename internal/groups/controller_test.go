package groups

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"cassiadeal.example/cassiadeal/internal/holder"
	"cassiadeal.example/cassiadeal/internal/orders"
	"cassiadeal.example/cassiadeal/internal/platform"
	"cassiadeal.example/cassiadeal/internal/rules"
	"cassiadeal.example/cassiadeal/internal/schema"
)

const (
	term   = 3 * time.Second
	margin = 500 * time.Millisecond
)

// controllerModel simulates one fabric domain with its platform, engines and controllers. Only the test's goroutine
// advances it.
type controllerModel struct {
	mu            sync.Mutex
	t             rapid.TB
	now           time.Duration
	version       uint64
	planObject    *Object
	loseNextReply bool
	fenced        bool
	rules         *rules.Rules
	vmList        []VM
	listAge       time.Duration   // Time since vmList was read.
	loads         []time.Duration // When engines began to load weights.
	engines       map[string]*engineState
	nodes         []*controllerNode
	violation     string // Found by Send, outside the test's goroutine.
	nextVM        int
	missed        string // VM whose last reports are missed.
	ordersArrived int    // Also counts orders to engines that are down or refuse them.
	// outdatedOrders counts the orders that engines have carried out after one of a later plan.
	outdatedOrders int
	// unchecked is true while orders are sent or arrive whose sender had its lease only before a pause. Nothing can keep engines that ignore
	// fencing numbers from carrying them out.
	unchecked bool
	// delayNextOrder delays the next order to the end of its delivery time; its sender learns no outcome.
	delayNextOrder bool
	delayedOrders  map[string]delayedOrder // By VM.
	copies         []storeCopy
}

// storeCopy is the state of the platform before an advance.
type storeCopy struct {
	version    uint64
	planObject *Object
}

// restore brings the platform back as it was the given number of advances ago, in the next era, with the versions that the platform
// client states.
func (m *controllerModel) restore(advances int) {
	copied := storeCopy{}
	if n := len(m.copies) - advances; n >= 0 && n < len(m.copies) {
		copied = m.copies[n]
	}
	era := platform.EraOf(m.version) + 1
	m.version, m.planObject, m.copies = platform.VersionIn(era, platform.StoreVersion(copied.version)), nil, nil
	if copied.planObject != nil {
		o := *copied.planObject
		o.Version = platform.VersionIn(era, platform.StoreVersion(o.Version))
		m.planObject = &o
	}
}

type delayedOrder struct {
	orders.Order
	due       time.Duration
	unchecked bool
}

type engineState struct {
	Report
	fence   uint64
	members []string // Addresses by rank, as in the last join.
	down    bool
	leaving bool
}

// controllerNode is one node. A paused node neither follows the plan nor plans, but keeps its last state.
type controllerNode struct {
	model *controllerModel
	*Controllers
	name      string
	paused    bool
	renewedAt time.Duration // When its record was last written.
	// leaseStart is the start of its last lease: a renewal counts once the plans were read after it.
	leaseStart time.Duration
	// cutOff is true while the node has no path to the platform. Its peers go on to answer its heartbeats.
	cutOff bool
	// watchSilent is true while the connection of its watch of the plans is silent, though others work.
	watchSilent bool
	// staleRight makes HasLease return true, as if it had been called just before the process was paused.
	staleRight bool
}

func (n *controllerNode) Nodes() []holder.Node {
	var list []holder.Node
	for _, other := range n.model.nodes {
		lapsed := n.model.now-other.renewedAt >= term+margin
		list = append(list, holder.Node{
			Identity: Identity{Name: other.name, Incarnation: "1"}, FailureDomain: "z", Live: !lapsed, Serving: true,
			LeaseLapsed: lapsed,
		})
	}
	return list
}

func (n *controllerNode) HasLease() bool { return n.staleRight || n.model.now-n.leaseStart < term }

var errNoPath = errors.New("no path to the platform")

// platformClient is the platform API as used by one node, the author of its writes.
type platformClient struct {
	model *controllerModel
	node  *controllerNode
}

func (c platformClient) Get(context.Context, string, string) (Object, error) {
	if c.node.cutOff {
		return Object{}, errNoPath
	}
	if c.model.planObject == nil {
		return Object{}, ErrNotFound
	}
	return *c.model.planObject, nil
}

func (c platformClient) List(context.Context, string) ([]Object, uint64, error) {
	if c.model.planObject == nil {
		return nil, c.model.version, nil
	}
	return []Object{*c.model.planObject}, c.model.version, nil
}

func (c platformClient) Create(_ context.Context, kind, name string, data []byte) (Object, error) {
	if c.model.planObject != nil {
		return Object{}, ErrConflict
	}
	return c.put(Object{Kind: kind, Name: name, Data: data})
}

func (c platformClient) Update(_ context.Context, o Object) (Object, error) {
	if c.model.planObject == nil || c.model.planObject.Version != o.Version {
		return Object{}, ErrConflict
	}
	return c.put(o)
}

func (c platformClient) Watch(context.Context, string, uint64, time.Duration) ([]Event, uint64, error) {
	return nil, 0, errors.New("not used")
}

// put accepts a write and checks that only the controller, or the successor of one whose lease has ended, changes a plan.
func (c platformClient) put(o Object) (Object, error) {
	if c.node.cutOff {
		return Object{}, errNoPath
	}
	if c.model.planObject != nil {
		previous, err := decodePlan(*c.model.planObject)
		must(c.model.t, err == nil, "%v", err)
		if previous.Controller != c.node.name {
			for _, n := range c.model.nodes {
				must(c.model.t, n.name != previous.Controller || c.model.now-n.renewedAt >= term,
					"%s replaces the plan of %s, whose lease has not ended", c.node.name, n.name)
			}
		}
	}
	c.model.version++
	o.Version = c.model.version
	c.model.planObject = &o
	if c.model.loseNextReply {
		c.model.loseNextReply = false
		return Object{}, ErrOutcomeUnknown
	}
	return o, nil
}

// Send delivers an order to its engine. It may be called from several goroutines.
func (m *controllerModel) Send(_ context.Context, address string, o orders.Order) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if d, ok := m.delayedOrders[address]; ok && !m.fenced {
		m.violation = fmt.Sprintf("%s has two unanswered orders: fencing numbers %d and %d", address, d.Fence, o.Fence)
	}
	if i := slices.IndexFunc(m.vmList, func(vm VM) bool { return vm.Name == address }); o.Action == orders.Join &&
		(i < 0 || m.vmList[i].Leaving) {
		m.violation = fmt.Sprintf("%s is leaving or missing, but was ordered to join %s", address, o.Group)
	}
	if m.delayNextOrder {
		m.delayNextOrder = false
		m.delayedOrders[address] = delayedOrder{o, m.now + defaultOrderDelivery, m.unchecked}
		return fmt.Errorf("%w: %s", orders.ErrOutcomeUnknown, address)
	}
	return m.receiveOrder(address, o)
}

func (m *controllerModel) receiveOrder(address string, o orders.Order) error {
	m.ordersArrived++
	e := m.engines[address]
	if e == nil || e.down {
		return fmt.Errorf("%w: %s", orders.ErrOutcomeUnknown, address)
	}
	if m.fenced && o.Fence < e.fence {
		return &orders.FencedError{Sent: o.Fence, Current: e.fence}
	}
	if o.Fence < e.fence && !m.unchecked {
		m.outdatedOrders++
	}
	e.fence = o.Fence
	if o.Action == orders.Leave {
		e.Report = Report{Incarnation: e.Incarnation, Seen: true, Weights: e.Weights}
		return nil
	}
	e.Group, e.Number, e.Rank, e.Size, e.Model, e.Ready = o.Group, o.Number, o.Rank, o.Size, o.Model, true
	e.members = o.Members
	if !slices.Contains(e.Weights, o.Model) {
		m.loads = append(m.loads, m.now)
	}
	e.Weights = []string{o.Model}
	return nil
}

func (m *controllerModel) report(vm string) Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.engines[vm]
	if e == nil || e.down {
		return Report{Age: time.Hour, Missed: minMissed}
	}
	if vm == m.missed {
		return Report{Age: time.Second, Missed: minMissed}
	}
	return e.Report
}

func newControllerModel(t rapid.TB, fenced bool) *controllerModel {
	m := &controllerModel{t: t, fenced: fenced, engines: map[string]*engineState{},
		delayedOrders: map[string]delayedOrder{}, now: time.Hour}
	pool := rules.Pool{Name: "p", Model: "m", VMs: 3, Replicas: 2, FencedOrders: fenced}
	m.rules = &rules.Rules{Pools: map[string]rules.Pool{"p": pool}, Weights: rules.WeightBudget{AtOnce: 100, PerMinute: 1000}}
	for range 8 {
		m.addVM()
	}
	m.publishVMList()
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	for _, name := range []string{"a", "b", "c"} {
		n := &controllerNode{model: m, name: name, renewedAt: m.now, leaseStart: m.now}
		n.Controllers = New(Options{
			Self: Identity{Name: name, Incarnation: "1"}, Platform: platformClient{m, n}, Members: n, Orders: m,
			VMs:    func() ([]VM, time.Duration, bool) { return slices.Clone(m.vmList), m.listAge, true },
			Report: m.report, Rules: func() *rules.Rules { return m.rules },
			WallClock: func() time.Time { return time.Unix(0, int64(m.now)) }, Now: func() time.Duration { return m.now },
			Term: term, Margin: margin, Log: log,
		})
		m.nodes = append(m.nodes, n)
	}
	return m
}

func (m *controllerModel) addVM() {
	m.nextVM++
	m.engines[fmt.Sprintf("vm%02d", m.nextVM)] = &engineState{Report: Report{Incarnation: "1", Seen: true}}
}

// publishVMList updates the platform's VM list, which doesn't follow the engines by itself.
func (m *controllerModel) publishVMList() {
	m.vmList = nil
	for vm, e := range m.engines {
		m.vmList = append(m.vmList, VM{Name: vm, Address: vm, FabricDomain: "f", FailureDomain: "z", Leaving: e.leaving})
	}
	slices.SortFunc(m.vmList, func(a, b VM) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
}

// advance moves the time on, delivers the delayed orders that are due and steps the nodes.
func (m *controllerModel) advance(d time.Duration) {
	m.now += d
	m.copies = append(m.copies, storeCopy{m.version, m.planObject})
	for vm, o := range m.delayedOrders {
		if m.now >= o.due {
			delete(m.delayedOrders, vm)
			m.unchecked = o.unchecked
			_ = m.receiveOrder(vm, o.Order) // The sender has already got an unknown outcome.
			m.unchecked = false
		}
	}
	m.stepNodes()
}

// stepNodes renews the leases of the nodes that aren't paused and runs one planning step on each of them.
func (m *controllerModel) stepNodes() {
	ctx := context.Background()
	for _, n := range m.nodes {
		if n.paused {
			continue
		}
		if !n.cutOff {
			n.renewedAt = m.now
			err := n.AfterRenew(ctx, m.version)
			must(m.t, err == nil, "%v", err)
			n.leaseStart = m.now
		}
		if !n.cutOff && !n.watchSilent {
			_, err := n.listPlans(ctx)
			must(m.t, err == nil, "%v", err)
		}
		m.stepNode(n)
	}
	m.checkInvariants()
}

func (m *controllerModel) stepNode(n *controllerNode) {
	_ = n.step(context.Background(), "f") // A conflict is an expected outcome.
	n.sends.Wait()
}

// checkInvariants verifies the plan in the platform and the groups to which requests would be dispatched.
func (m *controllerModel) checkInvariants() {
	must(m.t, m.violation == "", "%s", m.violation)
	must(m.t, m.outdatedOrders == 0, "%d orders were carried out after one of a later plan", m.outdatedOrders)
	if m.planObject == nil {
		return
	}
	plan, err := decodePlan(*m.planObject)
	must(m.t, err == nil, "%v", err)
	for _, g := range plan.Groups {
		if g.State != ready {
			continue
		}
		ranks := map[uint32]string{}
		for vm, a := range plan.Assignments {
			if a.Group == g.Id {
				must(m.t, ranks[a.Rank] == "", "two VMs have rank %d of %s", a.Rank, g.Id)
				must(m.t, a.Incarnation != "", "%s of ready group %s has no incarnation", vm, g.Id)
				ranks[a.Rank] = vm
			}
		}
		must(m.t, len(ranks) == int(g.Size), "ready group %s has %d of %d members", g.Id, len(ranks), g.Size)
		for vm, a := range plan.Assignments {
			if e := m.engines[vm]; a.Group == g.Id && e != nil && confirmsMembership(e.Report, g, a.Rank) {
				want := members(plan, g)
				must(m.t, slices.Equal(e.members, want), "%s was joined to number %d of %s with the members %v, but the plan has %v", vm, g.Number, g.Id, e.members, want)
			}
		}
	}
	for vm, a := range plan.Assignments {
		must(m.t, plan.Groups[a.Group] != nil, "%s is in group %s, which does not exist", vm, a.Group)
	}
}

// controller returns the node that the stored plan names as the controller.
func (m *controllerModel) controller() *controllerNode {
	plan, err := decodePlan(*m.planObject)
	must(m.t, err == nil, "%v", err)
	i := slices.IndexFunc(m.nodes, func(n *controllerNode) bool { return n.name == plan.Controller })
	must(m.t, i >= 0, "the controller %q is no node", plan.Controller)
	return m.nodes[i]
}

// advanceUntilServing advances until the given number of groups serves.
func (m *controllerModel) advanceUntilServing(groups int) {
	for deadline := m.now + time.Minute; m.planObject == nil || m.servingGroups() != groups; {
		m.advance(250 * time.Millisecond)
		must(m.t, m.now < deadline, "%d of %d groups serve after a minute", m.servingGroups(), groups)
	}
}

// servingGroups counts the ready groups whose members all report what the plan says.
func (m *controllerModel) servingGroups() int {
	if m.planObject == nil {
		return 0
	}
	return m.servingGroupsAt(m.controller())
}

// servingGroupsAt is servingGroups by the plan that a node knows.
func (m *controllerModel) servingGroupsAt(node *controllerNode) int {
	n := 0
	for _, v := range node.Groups() {
		whole := v.State == ready
		for rank, member := range v.Members {
			r := m.report(member.VM)
			whole = whole && r.Ready && r.Group == v.ID && r.Number == v.Number && r.Rank == uint32(rank) &&
				r.Incarnation == member.Incarnation
		}
		if whole {
			n++
		}
	}
	return n
}

// Guards against a VM in two groups, a ready group with missing members, and a plan changed by a controller that lost its
// lease, over random interleavings of faults and restores of the platform's store from an older copy. Once the faults stop, both groups must serve again.
func TestControllersModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newControllerModel(t, rapid.Bool().Draw(t, "fenced"))
		vm := func() *engineState {
			return m.engines[rapid.SampledFrom(slices.Sorted(engineNames(m.engines))).Draw(t, "vm")]
		}
		node := func() *controllerNode { return rapid.SampledFrom(m.nodes).Draw(t, "node") }
		t.Repeat(map[string]func(*rapid.T){
			"tick":        func(*rapid.T) { m.advance(250 * time.Millisecond) },
			"wait":        func(*rapid.T) { m.advance(2 * time.Second) },
			"fail":        func(*rapid.T) { vm().down = true },
			"restart":     func(*rapid.T) { e := vm(); e.Report = Report{Incarnation: e.Incarnation + "'", Seen: true} },
			"recover":     func(*rapid.T) { e := vm(); e.down = false },
			"leave":       func(*rapid.T) { vm().leaving = true },
			"publish":     func(*rapid.T) { m.publishVMList() },
			"lose reply":  func(*rapid.T) { m.loseNextReply = true },
			"restore":     func(t *rapid.T) { m.restore(rapid.IntRange(1, 20).Draw(t, "advances")) },
			"delay order": func(*rapid.T) { m.delayNextOrder = true },
			"pause":       func(*rapid.T) { node().paused = true },
			"resume":      func(*rapid.T) { node().paused = false },
			"cut off":     func(*rapid.T) { node().cutOff = true },
			"reconnect":   func(*rapid.T) { node().cutOff = false },
			"hang watch":  func(*rapid.T) { node().watchSilent = true },
			"watch again": func(*rapid.T) { node().watchSilent = false },
			"remove": func(t *rapid.T) {
				if len(m.engines) <= 4 {
					t.Skip("few VMs are left")
				}
				delete(m.engines, rapid.SampledFrom(slices.Sorted(engineNames(m.engines))).Draw(t, "vm"))
				m.addVM()
			},
			// A paused controller resumes with its old plan, after its right to serve was checked before the pause.
			"late write": func(t *rapid.T) {
				n := node()
				if !n.paused || m.planObject == nil {
					t.Skip("no paused node or no plan")
				}
				before := m.version
				n.staleRight, m.unchecked = true, true
				m.stepNode(n)
				n.staleRight, m.unchecked = false, false
				d, err := decodePlan(*m.planObject)
				must(t, err == nil, "%v", err)
				must(t, d.Controller == n.name || m.version == before, "write of %s accepted, which is not the controller", n.name)
			},
			"": func(*rapid.T) { m.checkInvariants() },
		})
		for _, n := range m.nodes {
			n.paused, n.cutOff, n.watchSilent = false, false, false
		}
		for range 8 {
			m.addVM()
		}
		m.publishVMList()
		for range 300 {
			m.advance(250 * time.Millisecond)
		}
		must(t, m.servingGroups() == 2, "%d of 2 groups serve after the faults", m.servingGroups())
	})
}

// TestMain fixes the seed of the model-based tests unless the command line sets one.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("20261204") // Cannot fail: the value is a number.
	}
	_ = flag.Set("rapid.nofailfile", "true")
	if checks := flag.Lookup("rapid.checks"); checks.Value.String() == checks.DefValue {
		_ = checks.Value.Set("50") // Takes about 10 s. Cannot fail: the value is a number.
	}
	os.Exit(m.Run())
}

func must(t rapid.TB, ok bool, format string, args ...any) {
	t.Helper()
	if !ok {
		t.Fatalf(format, args...)
	}
}

func engineNames(m map[string]*engineState) func(func(string) bool) {
	return func(yield func(string) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}

// Guards against orders of a new controller that are sent while those of the previous one may still arrive, if engines
// ignore fencing numbers. With fencing numbers the new controller must not wait.
func TestControllerWaitsForOldOrders(t *testing.T) {
	for _, fenced := range []bool{false, true} {
		t.Run(fmt.Sprintf("fenced=%v", fenced), func(t *testing.T) {
			m := newControllerModel(t, fenced)
			for m.planObject == nil || m.servingGroups() < 2 {
				m.advance(250 * time.Millisecond)
				must(t, m.now < 2*time.Hour, "the two groups did not serve within an hour")
			}
			plan, _ := decodePlan(*m.planObject)
			previous := m.nodes[slices.IndexFunc(m.nodes, func(n *controllerNode) bool { return n.name == plan.Controller })]
			previous.paused = true
			for vm := range plan.Assignments {
				m.engines[vm].Report = Report{Incarnation: "2", Seen: true}
			}
			taken, ordered := time.Duration(0), time.Duration(0)
			for before := m.ordersArrived; ordered == 0; {
				m.advance(250 * time.Millisecond)
				must(t, m.now < 2*time.Hour, "no order arrived within an hour")
				if plan, _ := decodePlan(*m.planObject); taken == 0 && plan.Controller != previous.name {
					taken = m.now
				}
				if m.ordersArrived > before {
					ordered = m.now
				}
			}
			wait := ordered - taken
			must(t, !fenced || wait <= time.Second, "waited %v although engines check fencing numbers", wait)
			must(t, fenced || wait >= term+margin+defaultOrderDelivery, "waited only %v", wait)
		})
	}
}

// Guards against orders by a plan that another controller has replaced: a node whose lease has lapsed renews its record, its peers have
// answered it throughout, and it hasn't read the plans yet. Its orders to leave would end a group that the other controller has formed.
func TestReturningControllerOrdersNothingByAnOldPlan(t *testing.T) {
	for _, fenced := range []bool{false, true} {
		t.Run(fmt.Sprintf("fenced=%v", fenced), func(t *testing.T) {
			m := newControllerModel(t, fenced)
			m.advanceUntilServing(2)
			former := m.controller()
			former.cutOff = true
			pool := m.rules.Pools["p"]
			pool.Replicas = 3
			m.rules.Pools["p"] = pool
			m.addVM()
			m.publishVMList()
			m.advanceUntilServing(3)
			must(t, m.controller() != former, "%s is still the controller", former.name)

			former.cutOff = false
			arrived := m.ordersArrived
			former.renewedAt = m.now
			m.stepNode(former)
			must(t, m.ordersArrived == arrived, "%d orders arrived before it read the plans", m.ordersArrived-arrived)
			must(t, former.AfterRenew(context.Background(), m.version+1) != nil, "a list older than its renewal was accepted")
			must(t, former.AfterRenew(context.Background(), m.version) == nil, "the plans could not be read")
			former.leaseStart = m.now
			m.stepNode(former)
			must(t, m.ordersArrived == arrived, "%d orders arrived after its return", m.ordersArrived-arrived)
			for range 40 {
				m.advance(250 * time.Millisecond)
				must(t, m.servingGroups() == 3, "%d of 3 groups serve after its return", m.servingGroups())
			}
		})
	}
}

// Guards against a group that serves although its members know different compositions: a restore of the store takes a repair, and the next
// one got the number of the first, which members that had carried out the first confirm at once.
func TestNumbersOfCompositionsAreNotGivenTwice(t *testing.T) {
	m := newControllerModel(t, true)
	m.advanceUntilServing(2)
	m.advance(250 * time.Millisecond)
	plan, _ := decodePlan(*m.planObject)
	copied := len(m.copies)
	repaired := slices.Min(slices.Collect(engineNames(m.engines)))
	group := plan.Assignments[repaired].GetGroup()
	must(t, group != "", "%s is in no group", repaired)
	m.engines[repaired].down = true
	m.advanceUntilServing(1)
	m.advanceUntilServing(2)
	m.engines[repaired].down = false
	m.restore(len(m.copies) - copied)
	for range 60 {
		m.advance(250 * time.Millisecond)
	}
	must(t, m.servingGroups() == 2, "%d of 2 groups serve after the restore", m.servingGroups())
}

// Guards against orders that end the requests of groups because a restore of the store has taken their latest plan, or the whole plan: the
// nodes know it, the engines serve by it, and its groups get requests until it is written again.
func TestGroupsServeOnAfterARestoreTookTheirPlan(t *testing.T) {
	for _, fenced := range []bool{false, true} {
		for _, copied := range []string{"before the repair", "before any plan"} {
			t.Run(fmt.Sprintf("fenced=%v/copy %s", fenced, copied), func(t *testing.T) {
				m := newControllerModel(t, fenced)
				m.advanceUntilServing(2)
				m.advance(250 * time.Millisecond)
				beforeRepair := len(m.copies)
				m.engines["vm01"].down = true
				m.advanceUntilServing(1)
				m.advanceUntilServing(2)
				m.advance(250 * time.Millisecond) // All nodes read the last plan.
				if copied == "before any plan" {
					m.restore(len(m.copies) + 1)
				} else {
					m.restore(len(m.copies) - beforeRepair)
				}
				arrived := m.ordersArrived
				for range 120 {
					m.advance(250 * time.Millisecond)
					serving := m.servingGroupsAt(m.nodes[0])
					must(t, serving == 2, "%d of 2 groups serve after the restore, %d orders", serving, m.ordersArrived-arrived)
				}
				must(t, m.ordersArrived == arrived, "%d orders arrived after the restore", m.ordersArrived-arrived)
				must(t, m.servingGroups() == 2, "%d of 2 groups are in the stored plan and serve", m.servingGroups())
			})
		}
	}
}

// Guards against a node that keeps the plan that a restore has taken although a later one was written since, and against one that trades it
// for the older copy.
func TestLaterWrittenPlanIsKept(t *testing.T) {
	at := platform.VersionIn
	for _, tc := range []struct {
		name                string
		knownEra, storedEra uint64 // In which the plan was written.
		known, stored       uint64 // Version of the stored object.
		keep                bool
	}{
		{"no restore", 0, 0, at(0, 5), at(0, 6), false},
		{"restored as it was", 0, 0, at(0, 5), at(1, 5), false},
		{"restored before the plan", 0, 0, at(0, 5), at(1, 4), true},
		{"written since the restore", 0, 1, at(0, 5), at(1, 3), false},
		{"written in an era that this node has missed", 0, 1, at(0, 5), at(2, 3), false},
		{"written in the last era, restored before", 1, 0, at(1, 3), at(2, 5), true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			known := storedPlan(tc.known, &schema.FabricDomain{Nonce: "known", Controller: "former", StoreEra: tc.knownEra})
			stored := storedPlan(tc.stored, &schema.FabricDomain{Nonce: "stored", Controller: "present", StoreEra: tc.storedEra})
			got := known.over(stored)
			c.Check(got.version, qt.Equals, tc.stored)
			c.Check(got.plan.Controller, qt.Equals, "present")
			c.Check(got.unstored, qt.Equals, tc.keep)
			c.Check(got.plan.Nonce == "known", qt.Equals, tc.keep)
			c.Check(known.plan.Controller, qt.Equals, "former")
		})
	}
}

// Guards against a controller that orders by a plan that a restore of the store has taken, beside the controller that the restored plan names:
// its lease is renewed, but the connection of its watch is silent, so that it hasn't read the plans since.
func TestControllerReadsThePlansAfterARestore(t *testing.T) {
	m := newControllerModel(t, false)
	m.advanceUntilServing(2)
	m.advance(250 * time.Millisecond)
	copied, restored := len(m.copies), m.controller()
	restored.cutOff = true
	pool := m.rules.Pools["p"]
	pool.Replicas = 3
	m.rules.Pools["p"] = pool
	m.rules.Weights.PerMinute = 1 // The third group waits for weights.
	m.addVM()
	m.publishVMList()
	ordered := m.ordersArrived
	for deadline := m.now + time.Minute; m.ordersArrived == ordered; m.advance(250 * time.Millisecond) {
		must(t, m.now < deadline, "nothing was ordered for the third group")
	}
	present := m.controller()
	must(t, present != restored, "%s is still the controller", restored.name)

	m.restore(len(m.copies) - copied)
	present.watchSilent, restored.cutOff = true, false
	for range 60 {
		m.advance(250 * time.Millisecond)
	}
	must(t, m.controller() == restored, "%s is the controller, want %s", m.controller().name, restored.name)
	must(t, m.outdatedOrders == 0, "%d orders were carried out after one of a later plan", m.outdatedOrders)
}

// Guards against orders that end the requests of a group because one list of the VMs lacks a member that serves: the list is late, or an entry
// of it can't be read. A new controller doesn't know that the VM was listed before.
func TestMemberThatOneListLacksStays(t *testing.T) {
	for _, successor := range []bool{false, true} {
		t.Run(fmt.Sprintf("successor=%v", successor), func(t *testing.T) {
			m := newControllerModel(t, true)
			m.advanceUntilServing(2)
			m.advance(250 * time.Millisecond)
			former := m.controller()
			for former.paused = successor; m.controller() == former && successor; m.advance(250 * time.Millisecond) {
				must(t, m.now < 2*time.Hour, "nobody took over")
				m.setListed("vm01", m.now < former.renewedAt+term+margin)
			}
			arrived, stored := m.ordersArrived, m.version
			m.setListed("vm01", false)
			for range 8 {
				m.advance(250 * time.Millisecond)
				must(t, m.servingGroups() == 2, "%d of 2 groups serve while a list lacks a member", m.servingGroups())
			}
			m.setListed("vm01", true)
			for range 40 {
				m.advance(250 * time.Millisecond)
				must(t, m.servingGroups() == 2, "%d of 2 groups serve after the list", m.servingGroups())
			}
			must(t, m.ordersArrived == arrived && m.version == stored, "%d orders and %d writes", m.ordersArrived-arrived, m.version-stored)

			m.setListed("vm01", false)
			m.advanceUntilServing(1)
			m.advanceUntilServing(2)
			plan, _ := decodePlan(*m.planObject)
			must(t, plan.Assignments["vm01"] == nil, "a VM that is listed no more is still a member")
		})
	}
}

// Guards against a removed VM that is replaced late because its last report isn't old yet: the list lacks it, and its reports are missed.
func TestUnlistedMemberThatMissesReportsIsReplacedAtOnce(t *testing.T) {
	m := newControllerModel(t, true)
	m.advanceUntilServing(2)
	m.advance(250 * time.Millisecond)
	m.missed = "vm01"
	for range 4 {
		m.advance(250 * time.Millisecond)
		plan, _ := decodePlan(*m.planObject)
		must(t, plan.Assignments["vm01"] != nil, "a listed member was replaced though its last report is new")
	}
	m.setListed("vm01", false)
	for range 2 {
		m.advance(250 * time.Millisecond)
	}
	plan, _ := decodePlan(*m.planObject)
	must(t, plan.Assignments["vm01"] == nil, "the member isn't replaced")
}

// Guards against a new controller that ends a group because a member isn't in its list of the VMs, which it can't read again: the member was
// listed later.
func TestOldListOfVMsEndsNoGroup(t *testing.T) {
	m := newControllerModel(t, true)
	m.advanceUntilServing(2)
	m.advance(250 * time.Millisecond)
	former, arrived := m.controller(), m.ordersArrived
	former.paused = true
	for _, n := range m.nodes {
		clear(n.memberVMs) // As in a process that has just started.
	}
	m.setListed("vm01", false)
	for range 120 {
		m.listAge += 250 * time.Millisecond
		m.advance(250 * time.Millisecond)
		must(t, m.servingGroups() == 2, "%d of 2 groups serve while the list can't be read", m.servingGroups())
	}
	must(t, m.controller() != former, "nobody took over")
	m.setListed("vm01", true)
	m.listAge = 0
	for range 40 {
		m.advance(250 * time.Millisecond)
		must(t, m.servingGroups() == 2, "%d of 2 groups serve after the list was read", m.servingGroups())
	}
	must(t, m.ordersArrived == arrived, "%d orders arrived", m.ordersArrived-arrived)
}

// Guards against a group that retires because the VMs of a list that lacks a member are too few for all groups.
func TestOneListThatLacksAMemberRetiresNoGroup(t *testing.T) {
	m := newControllerModel(t, true)
	delete(m.engines, "vm07")
	delete(m.engines, "vm08")
	m.publishVMList()
	m.advanceUntilServing(2)
	m.advance(250 * time.Millisecond)
	stored := m.version
	for i := range 40 {
		m.setListed("vm01", i >= 8)
		m.advance(250 * time.Millisecond)
		must(t, m.servingGroups() == 2, "%d of 2 groups serve", m.servingGroups())
	}
	must(t, m.version == stored, "the plan changed")
}

// setListed publishes the VM list with or without a VM.
func (m *controllerModel) setListed(vm string, listed bool) {
	m.publishVMList()
	if !listed {
		m.vmList = slices.DeleteFunc(m.vmList, func(v VM) bool { return v.Name == vm })
	}
}

// Guards against more loads in a minute than the weight store allows: a new controller doesn't know of those that its predecessor has ordered.
func TestNewControllerKeepsToTheLoadsOfAMinute(t *testing.T) {
	const perMinute = 3
	m := newControllerModel(t, true)
	m.rules.Weights.PerMinute = perMinute
	for len(m.loads) < perMinute {
		m.advance(250 * time.Millisecond)
		must(t, m.now < 2*time.Hour, "no weights were loaded within an hour")
	}
	former := m.controller()
	former.paused = true
	for end := m.now + 2*time.Minute; m.now < end; {
		m.advance(250 * time.Millisecond)
		last := slices.DeleteFunc(slices.Clone(m.loads), func(at time.Duration) bool { return m.now-at >= time.Minute })
		must(t, len(last) <= perMinute, "%d loads began within a minute, the budget has %d", len(last), perMinute)
	}
	must(t, m.controller() != former, "nobody took over")
	must(t, m.servingGroups() == 2, "%d of 2 groups serve", m.servingGroups())
}

package groups

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"cassiadeal.example/cassiadeal/internal/holder"
	"cassiadeal.example/cassiadeal/internal/orders"
	"cassiadeal.example/cassiadeal/internal/platform"
	"cassiadeal.example/cassiadeal/internal/rules"
	"cassiadeal.example/cassiadeal/internal/schema"
)

// Kind is the kind under which the object API stores plans. An object's name is its fabric domain.
const Kind = "domains"

const (
	defaultInterval      = 250 * time.Millisecond
	defaultOrderDelivery = 2 * time.Second
	watchWait            = 20 * time.Second
	maxConcurrentOrders  = 16
)

// Sender sends an order to an engine once, without retries.
type Sender interface {
	Send(ctx context.Context, address string, o orders.Order) error
}

// Options configures Controllers.
type Options struct {
	Self     Identity
	Platform Platform
	Members  Members
	Orders   Sender
	// VMs returns the VM list of all fabric domains and the time since it was last read; ok is false until it is known.
	VMs func() (vms []VM, age time.Duration, ok bool)
	// Report returns the last state read from a VM's engine, with its age.
	Report    func(vm string) Report
	Rules     func() *rules.Rules  // Nil until a configuration is known.
	WallClock func() time.Time     // For retirement times and the rotation of the weight budget; time.Now if nil.
	Now       func() time.Duration // Monotonic time since any fixed start; time since New if nil.
	// OrderDelivery is the longest time for which an order without an answer may still arrive; 2 s if zero.
	OrderDelivery time.Duration
	Term, Margin  time.Duration // Term of node leases, and the time added to it before a takeover.
	Interval      time.Duration // Between two planning steps of a fabric domain; 250 ms if zero.
	Policy        Policy
	Timing        Timing
	Log           logrus.FieldLogger
}

// Member is one VM of a group.
type Member struct {
	VM          string // Empty if the rank is vacant.
	Address     string
	Incarnation string // Reported when the group became ready; empty before.
	Leaving     bool
}

// View is one planned group, with its members' addresses from the VM list.
type View struct {
	ID            string
	Pool          string
	Model         string
	Number        uint64
	Size          int
	State         schema.GroupState
	FailureDomain string
	FabricDomain  string
	Members       []Member // By rank.
}

// cachedPlan is the last known plan of a fabric domain, with the version of the stored object, 0 if there is none.
type cachedPlan struct {
	version uint64
	plan    *schema.FabricDomain
	// writtenAt is the version at which plan was written. A restore of the store changes version only.
	writtenAt uint64
	// unstored is true if a restore has taken plan. The controller that the stored object names then writes plan again.
	unstored bool
}

// controlState is a node's state for a fabric domain that it controls.
type controlState struct {
	// activeFrom is the time from which this node plans and accepts reports. If engines of any pool ignore fencing
	// numbers, orders of the previous controller can no longer arrive by then.
	activeFrom  time.Duration
	orderStates map[string]*orderState // By VM name.
}

// absence records when a controller was first and last found to match no listed node.
type absence struct {
	first, last time.Duration
}

// orderState tracks a VM's last order, because a VM may have only one unanswered order.
type orderState struct {
	unanswered bool
	// settledAt is the time from which a report shows the effect of the last order.
	settledAt time.Duration
}

// Controllers follows the plans of all fabric domains and controls the fabric domains whose controller is this node.
type Controllers struct {
	options   Options
	sends     sync.WaitGroup // Orders being sent.
	sendSlots chan struct{}  // Limits concurrent sends.
	// stepMu is read-locked by step and write-locked by Release, so that Release waits for running steps. It is locked
	// before mu.
	stepMu sync.RWMutex

	mu            sync.Mutex
	plans         map[string]cachedPlan // By fabric domain.
	plansListed   bool
	controlStates map[string]*controlState // By fabric domain.
	running       map[string]bool          // Fabric domains whose control loop runs.
	absences      map[Identity]absence
	memberVMs     map[string]memberVM // By VM name.
	onChange      []func()
	released      bool // Set by Release; steps do nothing afterwards.
	era           uint64
	// quietUntil is when steps go on after the first plan or list of the present era of the store was read. Controllers that don't
	// know of the restore have stopped by then, and their orders can no longer arrive.
	quietUntil time.Duration
}

// New returns Controllers; call Run to start them.
func New(o Options) *Controllers {
	if o.WallClock == nil {
		o.WallClock = time.Now
	}
	if o.Now == nil {
		start := time.Now()
		o.Now = func() time.Duration { return time.Since(start) }
	}
	if o.OrderDelivery == 0 {
		o.OrderDelivery = defaultOrderDelivery
	}
	if o.Interval == 0 {
		o.Interval = defaultInterval
	}
	if o.Log == nil {
		o.Log = logrus.StandardLogger()
	}
	o.Timing = o.Timing.withDefaults()
	return &Controllers{
		options: o, sendSlots: make(chan struct{}, maxConcurrentOrders), plans: map[string]cachedPlan{},
		controlStates: map[string]*controlState{}, running: map[string]bool{}, absences: map[Identity]absence{},
		memberVMs: map[string]memberVM{},
	}
}

// OnChange registers a function that is called after every change of a plan. It must not block.
func (c *Controllers) OnChange(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onChange = append(c.onChange, f)
}

// Run follows the plans and controls fabric domains until ctx ends.
func (c *Controllers) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer c.sends.Wait()
	defer wg.Wait()
	wg.Go(func() { c.followPlans(ctx) })
	tick := time.NewTicker(c.options.Interval)
	defer tick.Stop()
	for {
		for _, fabric := range c.candidateDomains() {
			if c.markRunning(fabric) {
				wg.Go(func() { c.controlLoop(ctx, fabric) })
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// markRunning records that the control loop of a fabric domain runs. It returns false if it is running already.
func (c *Controllers) markRunning(fabric string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running[fabric] {
		return false
	}
	c.running[fabric] = true
	return true
}

// controlLoop runs the steps of one fabric domain for as long as this node controls it or should take it over.
func (c *Controllers) controlLoop(ctx context.Context, fabric string) {
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.running, fabric)
	}()
	tick := time.NewTicker(c.options.Interval)
	defer tick.Stop()
	for slices.Contains(c.candidateDomains(), fabric) {
		if err := c.step(ctx, fabric); err != nil {
			c.options.Log.WithError(err).WithField("fabric_domain", fabric).Warn("planning step failed")
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// capacities returns the capacity of all fabric domains, ordered by name.
func capacities(vms []VM, r *rules.Rules) []Capacity {
	byName := map[string]*Capacity{}
	for _, vm := range vms {
		capacity := byName[vm.FabricDomain]
		if capacity == nil {
			capacity = &Capacity{
				FabricDomain: vm.FabricDomain, FailureDomain: vm.FailureDomain, Out: r.FailureDomains[vm.FailureDomain].Out,
			}
			byName[vm.FabricDomain] = capacity
		}
		if !vm.Leaving {
			capacity.VMs++
		}
	}
	var list []Capacity
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		list = append(list, *byName[name])
	}
	return list
}

// candidateDomains returns the fabric domains that this node controls or should take over.
func (c *Controllers) candidateDomains() []string {
	vms, known := c.vms()
	if !known || c.options.Rules() == nil {
		return nil
	}
	failureDomainOf := map[string]string{}
	for _, vm := range vms {
		failureDomainOf[vm.FabricDomain] = vm.FailureDomain
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.plansListed || c.released {
		return nil
	}
	for name, d := range c.plans {
		failureDomainOf[name] = d.plan.FailureDomain
	}
	nodes := c.options.Members.Nodes()
	var names []string
	for name, fd := range failureDomainOf {
		if controllerOf(c.plans[name].plan) == c.options.Self || c.isPreferred(name, fd, nodes) {
			names = append(names, name)
		}
	}
	return names
}

// isPreferred reports whether this node ranks first among the nodes as the controller of a fabric domain.
func (c *Controllers) isPreferred(fabric, failureDomain string, nodes []holder.Node) bool {
	order := holder.Prefer(holder.Target{ID: "domains/" + fabric, FailureDomain: failureDomain}, nodes)
	return len(order) > 0 && order[0] == c.options.Self.Name
}

func controllerOf(plan *schema.FabricDomain) Identity {
	return Identity{Name: plan.GetController(), Incarnation: plan.GetControllerIncarnation()}
}

// mayControl reports whether this node may write plans and send orders now. Contact with a majority of the nodes is not
// enough, because another node takes over as soon as this node's lease in the platform has ended.
func (c *Controllers) mayControl() bool { return c.options.Members.HasLease() }

// AfterRenew makes a lease depend on the plans where they may name another controller than this node knows: after a gap between leases, in
// which other nodes may have taken fabric domains over, and after a restore of the store. It then reads them again. version is that of this
// node's renewed record; an older list is an error.
func (c *Controllers) AfterRenew(ctx context.Context, version uint64) error {
	if c.options.Members.HasLease() && platform.EraOf(version) == c.knownEra() {
		return nil // No other node can have found the lease lapsed.
	}
	listed, err := c.listPlans(ctx)
	if err == nil && listed < version {
		err = eris.Errorf("list of %s has version %d, below %d: stale", Kind, listed, version)
	}
	return err
}

// step plans one fabric domain once, or takes it over.
func (c *Controllers) step(ctx context.Context, fabric string) error {
	c.stepMu.RLock()
	defer c.stepMu.RUnlock()
	vms, known := c.vms()
	r := c.options.Rules()
	if !known || r == nil || !c.mayControl() {
		return nil
	}
	c.mu.Lock()
	current, inactive := c.plans[fabric], c.released || !c.plansListed || c.options.Now() < c.quietUntil
	c.mu.Unlock()
	if inactive {
		return nil
	}
	if current.plan == nil || controllerOf(current.plan) != c.options.Self {
		return c.takeOver(ctx, fabric, current, vms)
	}
	state := c.controlStateOf(fabric)
	in := c.planInput(fabric, current, state, vms, r)
	if c.options.Now() < state.activeFrom {
		return nil // Orders of the previous controller may still arrive.
	}
	out := Plan(in)
	if out.Changed || current.unstored {
		var err error
		if current, err = c.write(ctx, fabric, current.version, out.Plan); err != nil {
			return err
		}
	}
	c.sendOrders(ctx, fabric, current.version, state, out.Orders)
	return nil
}

// controlStateOf returns the state of a fabric domain that this node controls.
func (c *Controllers) controlStateOf(fabric string) *controlState {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.controlStates[fabric]
	if state == nil {
		// The takeover was stored but its reply was lost, so the previous controller is not known. Wait until its lease
		// has ended and its orders can no longer arrive.
		state = &controlState{activeFrom: c.options.Now() + c.options.Term + c.options.Margin + c.options.OrderDelivery,
			orderStates: map[string]*orderState{}}
		c.controlStates[fabric] = state
	}
	return state
}

// takeOver makes this node the controller if there is none or if the lease of the present one has certainly ended.
func (c *Controllers) takeOver(ctx context.Context, fabric string, current cachedPlan, vms []VM) error {
	nodes := c.options.Members.Nodes()
	i := slices.IndexFunc(vms, func(vm VM) bool { return vm.FabricDomain == fabric })
	plan := &schema.FabricDomain{Name: fabric}
	if i >= 0 {
		plan.FailureDomain = vms[i].FailureDomain
	}
	if current.plan != nil {
		plan = proto.CloneOf(current.plan)
	}
	previous := controllerOf(current.plan)
	if !c.isPreferred(fabric, plan.FailureDomain, nodes) || previous != (Identity{}) && !c.leaseEnded(previous, nodes) {
		return nil
	}
	c.mu.Lock()
	delete(c.controlStates, fabric)
	c.mu.Unlock()
	plan.Controller, plan.ControllerIncarnation = c.options.Self.Name, c.options.Self.Incarnation
	if _, err := c.write(ctx, fabric, current.version, plan); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	activeFrom := c.options.Now()
	if previous != (Identity{}) && c.anyPoolUnfenced() {
		activeFrom += c.options.Term + c.options.Margin + c.options.OrderDelivery
	}
	c.controlStates[fabric] = &controlState{activeFrom: activeFrom, orderStates: map[string]*orderState{}}
	c.options.Log.WithFields(logrus.Fields{"fabric_domain": fabric, "from": previous.Name}).
		Info("took over control of the fabric domain")
	return nil
}

// anyPoolUnfenced reports whether any pool's engines ignore fencing numbers.
func (c *Controllers) anyPoolUnfenced() bool {
	for _, p := range c.options.Rules().Pools {
		if !p.FencedOrders {
			return true
		}
	}
	return false
}

// leaseEnded reports whether the lease of a controller has ended: it lapsed, or no listed node has matched the
// controller for term + margin.
func (c *Controllers) leaseEnded(controller Identity, nodes []holder.Node) bool {
	i := slices.IndexFunc(nodes, func(n holder.Node) bool { return n.Identity == controller })
	c.mu.Lock()
	defer c.mu.Unlock()
	if i >= 0 {
		delete(c.absences, controller)
		return nodes[i].LeaseLapsed
	}
	now := c.options.Now()
	absent, known := c.absences[controller]
	if !known || now-absent.last > c.options.Term {
		absent.first = now // It may have been listed since the last check.
	}
	absent.last = now
	c.absences[controller] = absent
	return now-absent.first >= c.options.Term+c.options.Margin
}

// planInput collects the planner's input for one fabric domain.
func (c *Controllers) planInput(fabric string, current cachedPlan, state *controlState, vms []VM, r *rules.Rules) Input {
	in := Input{
		Now: c.options.WallClock(), FabricDomain: fabric, FailureDomain: current.plan.FailureDomain,
		FailureDomainOut: r.FailureDomains[current.plan.FailureDomain].Out, Plan: current.plan, Version: current.version,
		Reports: map[string]Report{}, Policy: c.options.Policy, Timing: c.options.Timing,
	}
	now := c.options.Now()
	for _, vm := range vms {
		if vm.FabricDomain == fabric && !(vm.Unlisted && c.options.Report(vm.Name).Missed >= minMissed) {
			vm.Leaving = vm.Leaving || c.options.Report(vm.Name).Leaving
			in.VMs = append(in.VMs, vm)
			if vm.Address != "" {
				in.Reports[vm.Name] = c.reportSince(vm.Name, now, state.activeFrom)
			}
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	loading := []string{fabric}
	readyElsewhere := map[string]int{}
	for name, d := range c.plans {
		hasPlanned := false
		for _, g := range d.plan.Groups {
			if g.State == schema.GroupState_GROUP_STATE_READY && name != fabric {
				readyElsewhere[g.Pool]++
			}
			hasPlanned = hasPlanned || g.State == schema.GroupState_GROUP_STATE_PLANNED
		}
		if hasPlanned && name != fabric {
			loading = append(loading, name)
		}
	}
	in.Budget = BudgetShare(r.Weights, fabric, loading, in.Now)
	in.Shares = poolShares(fabric, vms, r, readyElsewhere)
	return in
}

// reportSince returns the report of a VM, or an empty one of age now - since if it was read before since.
func (c *Controllers) reportSince(vm string, now, since time.Duration) Report {
	r := c.options.Report(vm)
	if now-r.Age < since {
		return Report{Age: max(now-since, 0), Missed: r.Missed}
	}
	return r
}

// poolShares returns the part of each pool that one fabric domain should hold.
func poolShares(fabric string, vms []VM, r *rules.Rules, readyElsewhere map[string]int) []Share {
	pools := slices.Collect(maps.Values(r.Pools))
	spread := Spread(pools, capacities(vms, r))
	list := make([]Share, 0, len(pools))
	for _, p := range pools {
		s := Share{Pool: p, Replicas: spread[fabric][p.Name], ReadyElsewhere: readyElsewhere[p.Name]}
		for _, f := range spread {
			s.Placed += f[p.Name]
		}
		list = append(list, s)
	}
	return list
}

// write stores a plan that is based on the given object version; version 0 creates the object. If the reply is lost, the
// nonce in the stored object shows whether the write succeeded.
func (c *Controllers) write(ctx context.Context, fabric string, version uint64, plan *schema.FabricDomain) (cachedPlan, error) {
	plan = proto.CloneOf(plan)
	plan.Nonce, plan.StoreEra = uuid.NewString(), c.knownEra()
	data, err := protojson.Marshal(plan)
	if err != nil {
		return cachedPlan{}, eris.Wrapf(err, "encode plan of fabric domain %q", fabric)
	}
	if !c.mayControl() {
		return cachedPlan{}, eris.Errorf("write plan of fabric domain %q: node has no lease", fabric)
	}
	o := Object{Kind: Kind, Name: fabric, Version: version, Data: data}
	var written Object
	if version == 0 {
		written, err = c.options.Platform.Create(ctx, Kind, fabric, data)
	} else {
		written, err = c.options.Platform.Update(ctx, o)
	}
	if errors.Is(err, ErrOutcomeUnknown) || errors.Is(err, ErrConflict) {
		written, err = c.readBack(ctx, fabric, plan.Nonce, err)
	}
	if err != nil {
		return cachedPlan{}, eris.Wrapf(err, "write plan of fabric domain %q from version %d", fabric, version)
	}
	o.Version = written.Version
	return storedPlan(o.Version, plan), c.cachePlan(o)
}

// readBack reads a plan after a write whose outcome is unknown, or that failed because the plan has changed.
func (c *Controllers) readBack(ctx context.Context, fabric, nonce string, cause error) (Object, error) {
	o, err := c.options.Platform.Get(ctx, Kind, fabric)
	if err != nil {
		return o, errors.Join(cause, err)
	}
	d, err := decodePlan(o)
	if err != nil {
		return o, err
	}
	if d.Nonce == nonce {
		return o, nil
	}
	if err := c.cachePlan(o); err != nil {
		return o, err
	}
	return o, cause
}

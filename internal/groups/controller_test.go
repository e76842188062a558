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

	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"cassiadeal.example/cassiadeal/internal/holder"
	"cassiadeal.example/cassiadeal/internal/orders"
	"cassiadeal.example/cassiadeal/internal/rules"
)

const (
	term   = 3 * time.Second
	margin = 500 * time.Millisecond
)

// world is one fabric domain with its platform, engines and controllers. Only the test's goroutine advances it.
type world struct {
	mu       sync.Mutex
	t        rapid.TB
	now      time.Duration
	version  uint64
	object   *Object
	loseNext bool
	fenced   bool
	list     []VM
	truth    map[string]*engineState
	nodes    []*ctlNode
	problem  string // Found outside the test's goroutine.
	nextVM   int
	orders   int // That arrived.
	// delay makes the next order arrive only when its delivery time ends.
	delay   bool
	delayed map[string]delayedOrder // By VM.
}

type delayedOrder struct {
	orders.Order
	due time.Duration
}

type engineState struct {
	Report
	fence   uint64
	down    bool
	leaving bool
}

// ctlNode is one node: a paused one neither follows the plan nor plans, but keeps what it last believed.
type ctlNode struct {
	w *world
	*Controllers
	name    string
	paused  bool
	renewed time.Duration // When its lease was last renewed.
	// late makes RightToServe answer as before the pause, once: the check ran just before the process was paused.
	late bool
}

func (n *ctlNode) Nodes() []holder.Node {
	var list []holder.Node
	for _, m := range n.w.nodes {
		lapsed := n.w.now-m.renewed >= term+margin
		list = append(list, holder.Node{
			Identity: Identity{Name: m.name, Incarnation: "1"}, FailureDomain: "z", Live: !lapsed, Serving: true,
			LeaseLapsed: lapsed,
		})
	}
	return list
}

func (n *ctlNode) RightToServe() bool      { return n.late || n.w.now-n.renewed < term }
func (n *ctlNode) PlatformReachable() bool { return true }

// client is the platform as one node sees it; the node's name tells whose write it is.
type client struct {
	w    *world
	node *ctlNode
}

func (c client) Get(context.Context, string, string) (Object, error) {
	if c.w.object == nil {
		return Object{}, ErrNotFound
	}
	return *c.w.object, nil
}

func (c client) List(context.Context, string) ([]Object, uint64, error) {
	if c.w.object == nil {
		return nil, c.w.version, nil
	}
	return []Object{*c.w.object}, c.w.version, nil
}

func (c client) Create(_ context.Context, kind, name string, data []byte) (Object, error) {
	if c.w.object != nil {
		return Object{}, ErrConflict
	}
	return c.put(Object{Kind: kind, Name: name, Data: data})
}

func (c client) Update(_ context.Context, o Object) (Object, error) {
	if c.w.object == nil || c.w.object.Version != o.Version {
		return Object{}, ErrConflict
	}
	return c.put(o)
}

func (c client) Watch(context.Context, string, uint64, time.Duration) ([]Event, uint64, error) {
	return nil, 0, errors.New("not used")
}

// put accepts a write and checks that only the controller, or a successor of one whose lease is over, changes a plan.
func (c client) put(o Object) (Object, error) {
	if c.w.object != nil {
		old, err := decode(*c.w.object)
		must(c.w.t, err == nil, "%v", err)
		if old.Controller != c.node.name {
			for _, n := range c.w.nodes {
				must(c.w.t, n.name != old.Controller || c.w.now-n.renewed >= term,
					"%s replaces the plan of %s, whose lease lasts", c.node.name, n.name)
			}
		}
	}
	c.w.version++
	o.Version = c.w.version
	c.w.object = &o
	if c.w.loseNext {
		c.w.loseNext = false
		return Object{}, ErrOutcomeUnknown
	}
	return o, nil
}

// Send carries an order out. It may be called from several goroutines.
func (w *world) Send(_ context.Context, address string, o orders.Order) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if d, ok := w.delayed[address]; ok && !w.fenced {
		w.problem = fmt.Sprintf("%s has two unanswered orders: fences %d and %d", address, d.Fence, o.Fence)
	}
	if i := slices.IndexFunc(w.list, func(vm VM) bool { return vm.Name == address }); o.Action == orders.Join &&
		(i < 0 || w.list[i].Leaving) {
		w.problem = fmt.Sprintf("%s, leaving or missing, is told to join %s", address, o.Group)
	}
	if w.delay {
		w.delay = false
		w.delayed[address] = delayedOrder{o, w.now + defaultOrderDelivery}
		return fmt.Errorf("%w: %s", orders.ErrOutcomeUnknown, address)
	}
	return w.arrive(address, o)
}

func (w *world) arrive(address string, o orders.Order) error {
	w.orders++
	e := w.truth[address]
	if e == nil || e.down {
		return fmt.Errorf("%w: %s", orders.ErrOutcomeUnknown, address)
	}
	if w.fenced && o.Fence < e.fence {
		return &orders.FencedError{Sent: o.Fence, Current: e.fence}
	}
	e.fence = o.Fence
	if o.Action == orders.Leave {
		e.Report = Report{Incarnation: e.Incarnation, Seen: true, Weights: e.Weights}
		return nil
	}
	e.Group, e.Number, e.Rank, e.Size, e.Model, e.Ready = o.Group, o.Number, o.Rank, o.Size, o.Model, true
	e.Weights = []string{o.Model}
	return nil
}

func (w *world) report(vm string) Report {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := w.truth[vm]
	if e == nil || e.down {
		return Report{Age: time.Hour}
	}
	return e.Report
}

func newWorld(t rapid.TB, fenced bool) *world {
	w := &world{t: t, fenced: fenced, truth: map[string]*engineState{}, delayed: map[string]delayedOrder{}, now: time.Hour}
	pool := rules.Pool{Name: "p", Model: "m", VMs: 3, Replicas: 2, FencedOrders: fenced}
	r := &rules.Rules{Pools: map[string]rules.Pool{"p": pool}, Weights: rules.WeightBudget{AtOnce: 100, PerMinute: 1000}}
	for range 8 {
		w.addVM()
	}
	w.publish()
	quiet := logrus.New()
	quiet.SetLevel(logrus.PanicLevel)
	for _, name := range []string{"a", "b", "c"} {
		n := &ctlNode{w: w, name: name, renewed: w.now}
		n.Controllers = New(Options{
			Self: Identity{Name: name, Incarnation: "1"}, Platform: client{w, n}, Members: n, Orders: w,
			VMs:    func() ([]VM, bool) { return slices.Clone(w.list), true },
			Report: w.report, Rules: func() *rules.Rules { return r },
			Clock: func() time.Time { return time.Unix(0, int64(w.now)) }, Now: func() time.Duration { return w.now },
			Term: term, Margin: margin, Log: quiet,
		})
		w.nodes = append(w.nodes, n)
	}
	return w
}

func (w *world) addVM() {
	w.nextVM++
	w.truth[fmt.Sprintf("vm%02d", w.nextVM)] = &engineState{Report: Report{Incarnation: "1", Seen: true}}
}

// publish brings the platform's lagging VM list up to date.
func (w *world) publish() {
	w.list = nil
	for vm, e := range w.truth {
		w.list = append(w.list, VM{Name: vm, Address: vm, FabricDomain: "f", FailureDomain: "z", Leaving: e.leaving})
	}
	slices.SortFunc(w.list, func(a, b VM) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
}

// advance lets time pass and delayed orders arrive.
func (w *world) advance(d time.Duration) {
	w.now += d
	for vm, o := range w.delayed {
		if w.now >= o.due {
			delete(w.delayed, vm)
			_ = w.arrive(vm, o.Order) // Nobody waits for the answer any more.
		}
	}
	w.tick()
}

// tick renews the leases of running nodes and lets each of them plan once.
func (w *world) tick() {
	ctx := context.Background()
	for _, n := range w.nodes {
		if n.paused {
			continue
		}
		n.renewed = w.now
		_, err := n.reread(ctx)
		must(w.t, err == nil, "%v", err)
		w.stepNode(n)
	}
	w.check()
}

func (w *world) stepNode(n *ctlNode) {
	_ = n.step(context.Background(), "f") // A conflict is an expected outcome.
	n.sending.Wait()
}

// check verifies the plan in the platform and the groups that a holder would dispatch to.
func (w *world) check() {
	must(w.t, w.problem == "", "%s", w.problem)
	if w.object == nil {
		return
	}
	plan, err := decode(*w.object)
	must(w.t, err == nil, "%v", err)
	for _, g := range plan.Groups {
		if g.State != ready {
			continue
		}
		ranks := map[uint32]string{}
		for vm, a := range plan.Assignments {
			if a.Group == g.Id {
				must(w.t, ranks[a.Rank] == "", "two VMs have rank %d of %s", a.Rank, g.Id)
				must(w.t, a.Incarnation != "", "%s of ready group %s has no incarnation", vm, g.Id)
				ranks[a.Rank] = vm
			}
		}
		must(w.t, len(ranks) == int(g.Size), "ready group %s has %d of %d members", g.Id, len(ranks), g.Size)
	}
	for vm, a := range plan.Assignments {
		must(w.t, plan.Groups[a.Group] != nil, "%s is in group %s, which does not exist", vm, a.Group)
	}
}

// serving counts the ready groups whose members all confirm the plan.
func (w *world) serving() int {
	n := 0
	for _, v := range w.nodes[0].Groups() {
		whole := v.State == ready
		for rank, m := range v.Members {
			r := w.report(m.VM)
			whole = whole && r.Ready && r.Group == v.ID && r.Number == v.Number && r.Rank == uint32(rank) &&
				r.Incarnation == m.Incarnation
		}
		if whole {
			n++
		}
	}
	return n
}

// Guards against a VM in two groups, a ready group that is not whole, and a plan changed by a controller that lost its
// lease, over random interleavings. Once faults stop, both groups must serve again.
func TestControllersModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.Bool().Draw(t, "fenced"))
		vm := func() *engineState {
			return w.truth[rapid.SampledFrom(slices.Sorted(mapKeys(w.truth))).Draw(t, "vm")]
		}
		node := func() *ctlNode { return rapid.SampledFrom(w.nodes).Draw(t, "node") }
		t.Repeat(map[string]func(*rapid.T){
			"tick":        func(*rapid.T) { w.advance(250 * time.Millisecond) },
			"wait":        func(*rapid.T) { w.advance(2 * time.Second) },
			"fail":        func(*rapid.T) { vm().down = true },
			"restart":     func(*rapid.T) { e := vm(); e.Report = Report{Incarnation: e.Incarnation + "'", Seen: true} },
			"recover":     func(*rapid.T) { e := vm(); e.down = false },
			"leave":       func(*rapid.T) { vm().leaving = true },
			"publish":     func(*rapid.T) { w.publish() },
			"lose reply":  func(*rapid.T) { w.loseNext = true },
			"delay order": func(*rapid.T) { w.delay = true },
			"pause":       func(*rapid.T) { node().paused = true },
			"resume":      func(*rapid.T) { node().paused = false },
			"remove": func(t *rapid.T) {
				if len(w.truth) <= 4 {
					t.Skip("few VMs are left")
				}
				delete(w.truth, rapid.SampledFrom(slices.Sorted(mapKeys(w.truth))).Draw(t, "vm"))
				w.addVM()
			},
			// A paused controller wakes up with its old plan and a check of its right that ran before the pause.
			"late write": func(t *rapid.T) {
				n := node()
				if !n.paused || w.object == nil {
					t.Skip("no paused node or no plan")
				}
				before := w.version
				n.late = true
				w.stepNode(n)
				n.late = false
				d, err := decode(*w.object)
				must(t, err == nil, "%v", err)
				must(t, d.Controller == n.name || w.version == before, "write of %s, not controller, accepted", n.name)
			},
			"": func(*rapid.T) { w.check() },
		})
		for _, n := range w.nodes {
			n.paused = false
		}
		for range 8 {
			w.addVM()
		}
		w.publish()
		for range 300 {
			w.advance(250 * time.Millisecond)
		}
		must(t, w.serving() == 2, "%d of 2 groups serve after the faults", w.serving())
	})
}

// TestMain fixes the seed of the model-based tests unless the command line sets one.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("20261204") // The value is a number.
	}
	_ = flag.Set("rapid.nofailfile", "true")
	if checks := flag.Lookup("rapid.checks"); checks.Value.String() == checks.DefValue {
		_ = checks.Value.Set("50") // About 10 s; the value is a number.
	}
	os.Exit(m.Run())
}

func must(t rapid.TB, ok bool, format string, args ...any) {
	t.Helper()
	if !ok {
		t.Fatalf(format, args...)
	}
}

func mapKeys(m map[string]*engineState) func(func(string) bool) {
	return func(yield func(string) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}

// Guards against orders of a new controller that meet those of the old one at engines that ignore fencing numbers.
func TestControllerWaitsForOldOrders(t *testing.T) {
	for _, fenced := range []bool{false, true} {
		t.Run(fmt.Sprintf("fenced=%v", fenced), func(t *testing.T) {
			w := newWorld(t, fenced)
			for w.object == nil || w.serving() < 2 {
				w.advance(250 * time.Millisecond)
				must(t, w.now < 2*time.Hour, "groups never served")
			}
			plan, _ := decode(*w.object)
			old := w.nodes[slices.IndexFunc(w.nodes, func(n *ctlNode) bool { return n.name == plan.Controller })]
			old.paused = true
			for vm := range plan.Assignments {
				w.truth[vm].Report = Report{Incarnation: "2", Seen: true}
			}
			taken, ordered := time.Duration(0), time.Duration(0)
			for before := w.orders; ordered == 0; {
				w.advance(250 * time.Millisecond)
				must(t, w.now < 2*time.Hour, "no orders")
				if plan, _ := decode(*w.object); taken == 0 && plan.Controller != old.name {
					taken = w.now
				}
				if w.orders > before {
					ordered = w.now
				}
			}
			wait := ordered - taken
			must(t, !fenced || wait <= time.Second, "waited %v although engines check fences", wait)
			must(t, fenced || wait >= term+margin+defaultOrderDelivery, "waited only %v", wait)
		})
	}
}

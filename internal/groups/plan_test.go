package groups

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/rules"
	"cassiadeal.example/cassiadeal/internal/schema"
)

// planSimulation is a fabric domain whose engines carry out orders at once, except that loads take loadTime.
type planSimulation struct {
	now      time.Duration
	loadTime time.Duration
	input    Input
	engines  map[string]*engine
	// retiredAt is when a test began to retire a group.
	retiredAt time.Duration
}

// missedEvery is the time between two missed reports of a silent engine.
const missedEvery = time.Second

type engine struct {
	Report
	readyAt     time.Duration
	silentSince time.Duration // Time from which it sends no reports; negative if it sends them.
}

func newPlanSimulation(vms, groups int, policy Policy) *planSimulation {
	pool := rules.Pool{Name: "p", Model: "m", VMs: 4, Replicas: groups}
	s := &planSimulation{loadTime: 90 * time.Second, engines: map[string]*engine{}, input: Input{
		FabricDomain: "f", FailureDomain: "z", Version: 1, Policy: policy,
		Shares: []Share{{Pool: pool, Replicas: groups, Placed: groups}},
		Budget: rules.WeightBudget{AtOnce: 4, PerMinute: 8},
	}}
	for i := range vms {
		s.addVM(fmt.Sprintf("vm%02d", i))
	}
	return s
}

func (s *planSimulation) addVM(vm string) {
	s.input.VMs = append(s.input.VMs, VM{Name: vm, Address: vm + ":1", FabricDomain: "f", FailureDomain: "z"})
	s.engines[vm] = &engine{Report: Report{Incarnation: "1", Seen: true}, silentSince: -1}
}

func (s *planSimulation) removeVM(vm string) {
	for i, v := range s.input.VMs {
		if v.Name == vm {
			s.input.VMs = append(s.input.VMs[:i:i], s.input.VMs[i+1:]...)
		}
	}
	delete(s.engines, vm)
}

func (s *planSimulation) restartEngine(vm string) {
	e := s.engines[vm]
	e.Report = Report{Incarnation: e.Incarnation + "'", Seen: true, Weights: e.Weights}
}

// step plans once, stores the plan and carries out the orders.
func (s *planSimulation) step() []Order {
	s.input.Now = time.UnixMilli(s.now.Milliseconds())
	s.input.Reports = map[string]Report{}
	for vm, e := range s.engines {
		if e.Loading && s.now >= e.readyAt {
			e.Loading, e.Ready, e.Weights = false, true, []string{e.Model}
		}
		r := e.Report
		if e.silentSince >= 0 {
			r.Age = s.now - e.silentSince
			r.Missed = int(r.Age / missedEvery)
		}
		s.input.Reports[vm] = r
	}
	out := Plan(s.input)
	if out.Changed {
		s.input.Plan = out.Plan
		s.input.Version++
	}
	for _, o := range out.Orders {
		e := s.engines[o.VM]
		if e == nil || e.silentSince >= 0 {
			continue
		}
		if o.Action == Leave {
			e.Report = Report{Incarnation: e.Incarnation, Seen: true, Weights: e.Weights}
			continue
		}
		e.Group, e.Number, e.Rank, e.Size, e.Model = o.Group, o.Number, o.Rank, o.Size, o.Model
		e.Ready = !o.Load
		if o.Load && !e.Loading {
			e.Loading, e.readyAt = true, s.now+s.loadTime
		}
	}
	return out.Orders
}

func (s *planSimulation) run(d time.Duration) {
	for end := s.now + d; s.now < end; s.now += time.Second {
		s.step()
	}
}

func (s *planSimulation) groupStates() map[schema.GroupState]int {
	n := map[schema.GroupState]int{}
	for _, g := range s.input.Plan.GetGroups() {
		n[g.State]++
	}
	return n
}

const (
	planned  = schema.GroupState_GROUP_STATE_PLANNED
	ready    = schema.GroupState_GROUP_STATE_READY
	retiring = schema.GroupState_GROUP_STATE_RETIRING
)

func (s *planSimulation) memberOfRankOne(t testing.TB) string {
	for vm, a := range s.input.Plan.Assignments {
		if a.Rank == 1 {
			return vm
		}
	}
	t.Fatal("no group has members")
	return ""
}

// Guards against more loads at once than the weight store allows.
func TestPlanBuildsWithinBudget(t *testing.T) {
	c := qt.New(t)
	s := newPlanSimulation(9, 2, RepairWithSpare)
	loads := 0
	for _, o := range s.step() {
		if o.Load {
			loads++
		}
	}
	c.Assert(loads, qt.Equals, 4)
	s.run(4 * time.Minute)
	c.Assert(s.groupStates(), qt.DeepEquals, map[schema.GroupState]int{ready: 2})
	c.Assert(s.step(), qt.HasLen, 0)
	c.Assert(Stranded(s.input.Plan, []string{"vm00", "vm08"}), qt.Equals, 1)
}

func TestPlanRepairs(t *testing.T) {
	for _, tc := range []struct {
		name   string
		vms    int
		fault  func(s *planSimulation, vm string)
		during time.Duration
		want   map[schema.GroupState]int
		number uint64
	}{
		{"restart needs a new number", 8, func(s *planSimulation, vm string) { s.restartEngine(vm) }, 3 * time.Second,
			map[schema.GroupState]int{ready: 2}, 2},
		{"silent member is replaced by a spare", 9,
			func(s *planSimulation, vm string) { s.engines[vm].silentSince = s.now }, 5 * time.Second,
			map[schema.GroupState]int{ready: 1, planned: 1}, 2},
		{"without a spare the group waits", 8, func(s *planSimulation, vm string) { s.removeVM(vm) }, time.Minute,
			map[schema.GroupState]int{ready: 1, planned: 1}, 2},
		{"leaving, no spare group: serves to the end", 9, func(s *planSimulation, vm string) { s.markLeaving(vm) }, time.Minute,
			map[schema.GroupState]int{ready: 2}, 1},
		{"leaving, spare group fits: built first", 12, func(s *planSimulation, vm string) { s.markLeaving(vm) }, time.Minute,
			map[schema.GroupState]int{ready: 2, planned: 1}, 1},
		{"leaving, replacement ready: old one retires", 12,
			func(s *planSimulation, vm string) { s.markLeaving(vm) }, 95 * time.Second,
			map[schema.GroupState]int{ready: 2, retiring: 1}, 1},
		{"leaving, retired", 12, func(s *planSimulation, vm string) { s.markLeaving(vm) }, 3 * time.Minute,
			map[schema.GroupState]int{ready: 2}, 0},
		{"failure domain out keeps groups", 12, func(s *planSimulation, vm string) {
			s.input.FailureDomainOut = true
			s.input.Shares[0].Replicas, s.input.Shares[0].Placed, s.input.Shares[0].ReadyElsewhere = 0, 2, 2
		}, time.Minute, map[schema.GroupState]int{ready: 2}, 1},
		{"surplus waits for the groups elsewhere", 8,
			func(s *planSimulation, vm string) { s.input.Shares[0].Replicas = 1 }, time.Minute,
			map[schema.GroupState]int{ready: 2}, 1},
		{"surplus retires", 8, func(s *planSimulation, vm string) {
			s.input.Shares[0].Replicas, s.input.Shares[0].ReadyElsewhere = 1, 1
		}, 2 * time.Second, map[schema.GroupState]int{ready: 1, retiring: 1}, 1},
		{"late order is a mismatch", 8, func(s *planSimulation, vm string) { s.engines[vm].Number = 0 }, 3 * time.Second,
			map[schema.GroupState]int{ready: 2}, 2},
		{"new model, no room: one group at a time", 8, func(s *planSimulation, vm string) { s.input.Shares[0].Pool.Model = "n" },
			20 * time.Second, map[schema.GroupState]int{ready: 1, retiring: 1}, 1},
		{"pool removed", 8,
			func(s *planSimulation, vm string) { s.input.Shares = nil }, 40 * time.Second, map[schema.GroupState]int{}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newPlanSimulation(tc.vms, 2, RepairWithSpare)
			s.run(4 * time.Minute)
			vm := s.memberOfRankOne(t)
			group := s.input.Plan.Assignments[vm].Group
			tc.fault(s, vm)
			s.run(tc.during)
			qt.Assert(t, s.groupStates(), qt.DeepEquals, tc.want)
			qt.Assert(t, s.input.Plan.Groups[group].GetNumber(), qt.Equals, tc.number)
		})
	}
}

func (s *planSimulation) markLeaving(vm string) {
	for i := range s.input.VMs {
		if s.input.VMs[i].Name == vm {
			s.input.VMs[i].Leaving = true
		}
	}
}

// Guards against a reload when a spare already has the weights.
func TestPlanPrefersVMsWithWeights(t *testing.T) {
	s := newPlanSimulation(10, 2, RepairWithSpare)
	s.engines["vm09"].Weights = []string{"m"}
	s.input.VMs = s.input.VMs[:9]
	s.run(4 * time.Minute)
	s.input.VMs = append(s.input.VMs, VM{Name: "vm09", Address: "vm09:1"})
	s.removeVM(s.memberOfRankOne(t))
	s.run(3 * time.Second)
	qt.Assert(t, s.groupStates(), qt.DeepEquals, map[schema.GroupState]int{ready: 2})
	qt.Assert(t, s.input.Plan.Assignments["vm09"], qt.IsNotNil)
}

// Guards against a group that takes few requests because its rank 0 limits its rate of requests, though another member doesn't.
func TestPlanGivesRankZeroToVMsWithoutALimit(t *testing.T) {
	s := newPlanSimulation(6, 1, RepairWithSpare)
	s.engines["vm00"].Limited, s.engines["vm01"].Limited, s.engines["vm03"].Limited = true, true, true
	s.step()
	for vm, a := range s.input.Plan.Assignments {
		qt.Check(t, a.Rank != 0 || !s.engines[vm].Limited, qt.IsTrue, qt.Commentf("%s has rank %d", vm, a.Rank))
	}
	qt.Check(t, s.input.Plan.Assignments, qt.HasLen, 4)
}

// Guards against two incomplete groups that each hold the VMs the other one needs.
func TestPlanMergesBrokenGroups(t *testing.T) {
	s := newPlanSimulation(8, 2, RepairWithSpare)
	s.run(4 * time.Minute)
	byGroup := map[string]string{}
	for vm, a := range s.input.Plan.Assignments {
		byGroup[a.Group] = vm
	}
	for _, vm := range byGroup {
		s.removeVM(vm)
	}
	s.run(20 * time.Second)
	qt.Assert(t, s.groupStates(), qt.DeepEquals, map[schema.GroupState]int{ready: 1})
}

func TestSpread(t *testing.T) {
	c := qt.New(t)
	pools := []rules.Pool{{Name: "a", VMs: 4, Replicas: 6}, {Name: "b", VMs: 2, Replicas: 3}, {Name: "c", VMs: 20, Replicas: 1}}
	fabrics := []Capacity{{"f1", "z1", 12, false}, {"f2", "z1", 12, false}, {"f3", "z2", 16, false}, {"f4", "z3", 3, false}}
	s := Spread(pools, fabrics)
	c.Assert(s["f1"]["a"]+s["f2"]["a"], qt.Equals, 3)
	c.Assert(s["f3"]["a"], qt.Equals, 3)
	c.Assert(s["f4"]["a"], qt.Equals, 0) // Fewer VMs than a group needs.
	c.Assert(s["f4"]["b"], qt.Equals, 1)
	for _, f := range fabrics {
		c.Assert(s[f.FabricDomain]["c"], qt.Equals, 0)
	}
	fabrics[2].Out = true
	s = Spread(pools, fabrics)
	c.Assert(s["f3"], qt.HasLen, 0)
	c.Assert(s["f1"], qt.DeepEquals, map[string]int{"a": 2, "b": 1})
	c.Assert(s["f2"], qt.DeepEquals, map[string]int{"a": 2, "b": 1})
}

func TestBudgetShareAddsUp(t *testing.T) {
	total, names := rules.WeightBudget{AtOnce: 2, PerMinute: 7}, []string{"x", "y", "z"}
	for minute := range 4 {
		var sum rules.WeightBudget
		for _, n := range names {
			b := BudgetShare(total, n, names, time.Unix(int64(minute)*60, 0))
			sum.AtOnce += b.AtOnce
			sum.PerMinute += b.PerMinute
		}
		qt.Assert(t, sum, qt.Equals, total)
	}
}

// TestPolicies compares the two ways to restore a broken group over a fixed fault script; run with -v for the figures.
func TestPolicies(t *testing.T) {
	usage := map[Policy]Usage{}
	for policy, name := range map[Policy]string{RepairWithSpare: "repair with spare", RebuildWholeGroup: "rebuild whole group"} {
		for _, tc := range []struct{ spares, loads int }{{0, 4}, {2, 4}, {6, 4}, {6, 1}} {
			u := runFaultScript(policy, tc.spares, tc.loads)
			usage[policy] = Usage{usage[policy].GroupDowntime + u.GroupDowntime, usage[policy].Stranded + u.Stranded}
			t.Logf("%s: spares %d, loads at once %d: group downtime %v, stranded %v", name, tc.spares, tc.loads,
				u.GroupDowntime, u.Stranded)
		}
	}
	repair, rebuild := usage[RepairWithSpare], usage[RebuildWholeGroup]
	qt.Assert(t, repair.GroupDowntime <= rebuild.GroupDowntime, qt.IsTrue)
	qt.Assert(t, repair.Stranded <= rebuild.Stranded, qt.IsTrue)
}

// runFaultScript runs six groups of four for an hour: eight restarts, four losses with a replacement after 10 min, and two
// leaving VMs.
func runFaultScript(policy Policy, spares, loads int) Usage {
	const groups = 6
	s := newPlanSimulation(4*groups+spares, groups, policy)
	s.run(20 * time.Minute)
	s.input.Budget.AtOnce = loads
	start, end := s.now, s.now+time.Hour
	var timeline []Sample
	for ; s.now < end; s.now += time.Second {
		second := int((s.now - start) / time.Second)
		vm := fmt.Sprintf("vm%02d", second/30*7%(4*groups))
		_, exists := s.engines[vm]
		switch {
		case second%450 == 100 && exists:
			s.restartEngine(vm)
		case second%900 == 300 && exists:
			s.removeVM(vm)
		case second%900 == 899:
			s.addVM(fmt.Sprintf("new%d", second))
		case second == 1000 || second == 2800:
			s.markLeaving(vm)
		case second == 1300 || second == 3100: // The VM that was marked as leaving 300 s earlier.
			s.removeVM(fmt.Sprintf("vm%02d", (second-300)/30*7%(4*groups)))
		}
		s.step()
		var healthy []string
		for v := range s.engines {
			healthy = append(healthy, v)
		}
		timeline = append(timeline, Sample{s.now - start, groups, s.servingGroups(), Stranded(s.input.Plan, healthy)})
	}
	return Measure(timeline, time.Hour)
}

// servingGroups counts the ready groups whose members all report what the plan says.
func (s *planSimulation) servingGroups() int {
	n := 0
	for _, g := range s.input.Plan.Groups {
		whole := g.State == ready
		for _, vm := range members(s.input.Plan, g) {
			e := s.engines[vm]
			whole = whole && e != nil && e.Ready && e.Group == g.Id && e.Number == g.Number &&
				e.Incarnation == s.input.Plan.Assignments[vm].Incarnation
		}
		if whole {
			n++
		}
	}
	return n
}

// Guards against orders that end the requests of every group of a controller that was paused, or was late to ask: the reports are old,
// but the engines haven't missed more than the one that was under way. A member that has missed more is lost as soon as its report is old.
func TestPlanKeepsGroupsWhoseReportsWereNotMissed(t *testing.T) {
	for missed, want := range map[int]bool{0: false, minMissed - 1: false, minMissed: true} {
		t.Run(fmt.Sprintf("%d missed", missed), func(t *testing.T) {
			s := newPlanSimulation(9, 2, RepairWithSpare)
			s.run(4 * time.Minute)
			qt.Assert(t, s.groupStates(), qt.DeepEquals, map[schema.GroupState]int{ready: 2})
			in := s.input
			for vm := range in.Plan.Assignments {
				r := in.Reports[vm]
				r.Age, r.Missed = 3100*time.Millisecond, missed
				in.Reports[vm] = r
			}
			qt.Check(t, Plan(in).Changed, qt.Equals, want)
			qt.Check(t, Plan(in).Orders, qt.HasLen, 0)
		})
	}
}

// Guards against a leave order that ends requests at a retiring group: they run for longer than the drain time, rank 0 is silent for a
// second when that is over, or its count of requests isn't known. The VMs are free once nothing runs, and after the longest drain time.
func TestPlanKeepsARetiringGroupWhileRequestsRun(t *testing.T) {
	const drain, maxDrain = 30 * time.Second, 10 * time.Minute // The defaults.
	for _, tc := range []struct {
		name      string
		head      func(s *planSimulation, head *engine) // Called each second after the start of the retirement.
		earliest  time.Duration
		dissolved time.Duration // Latest.
	}{
		{"idle", func(*planSimulation, *engine) {}, drain, drain + time.Second},
		{"runs for 45 s", func(s *planSimulation, head *engine) {
			if head.Running = 1; s.sinceRetirement() >= 45*time.Second {
				head.Running = 0
			}
		}, 45 * time.Second, 46 * time.Second},
		{"waits for 45 s", func(s *planSimulation, head *engine) {
			if head.Waiting = 1; s.sinceRetirement() >= 45*time.Second {
				head.Waiting = 0
			}
		}, 45 * time.Second, 46 * time.Second},
		{"silent for two seconds at the end", func(s *planSimulation, head *engine) {
			head.silentSince = -1
			if since := s.sinceRetirement(); since >= drain-time.Second && since <= drain+time.Second {
				head.silentSince = s.now - (since - (drain - time.Second)) - time.Second
			}
		}, drain + 2*time.Second, drain + 3*time.Second},
		{"runs on", func(_ *planSimulation, head *engine) { head.Running = 1 }, drain + maxDrain, drain + maxDrain + time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newPlanSimulation(4, 1, RepairWithSpare)
			s.run(4 * time.Minute)
			qt.Assert(t, s.groupStates(), qt.DeepEquals, map[schema.GroupState]int{ready: 1})
			var head *engine
			for vm, a := range s.input.Plan.Assignments {
				if a.Rank == 0 {
					head = s.engines[vm]
				}
			}
			s.input.Shares, s.retiredAt = nil, s.now
			for ; s.sinceRetirement() < 2*maxDrain; s.now += time.Second {
				tc.head(s, head)
				if s.step(); len(s.input.Plan.Groups) == 0 {
					break
				}
			}
			took := s.sinceRetirement()
			qt.Check(t, took >= tc.earliest && took <= tc.dissolved, qt.IsTrue, qt.Commentf("dissolved after %v", took))
		})
	}
}

func (s *planSimulation) sinceRetirement() time.Duration { return s.now - s.retiredAt }

// Guards against orders to engines that were silent for some seconds, for example because the controller was cut off from them, and have gone
// on with their requests: nothing has replaced them, so nothing must end what they run. Where spares can replace a silent member, they do so
// as soon as it counts as lost.
func TestPlanGivesSilentMembersUpOnlyForSpares(t *testing.T) {
	const silence = 10 * time.Second
	all := func(s *planSimulation) (vms []string) {
		for _, vm := range s.input.VMs {
			vms = append(vms, vm.Name)
		}
		return vms
	}
	one := func(s *planSimulation) []string { return []string{s.memberOfRankOneIn(s.firstGroup())} }
	oneOfEach := func(s *planSimulation) (vms []string) {
		for _, id := range slices.Sorted(maps.Keys(s.input.Plan.Groups)) {
			vms = append(vms, s.memberOfRankOneIn(id))
		}
		return vms
	}
	for _, tc := range []struct {
		name       string
		vms        int
		silent     func(s *planSimulation) []string
		restart    bool                  // The silent engines come back as other incarnations.
		during     func(*planSimulation) // Called halfway.
		replacedIn time.Duration         // From the start of the silence; 0 if the member isn't replaced.
		orders     int                   // Until 30 s after the silence.
		ready      int                   // Groups that are ready then.
	}{
		{"all, no spare", 8, all, false, nil, 0, 0, 2},
		{"one, no spare", 8, one, false, nil, 0, 0, 2},
		{"all, with a spare that is silent as well", 9, all, false, nil, 0, 0, 2},
		{"one, no spare, restarted", 8, one, true, nil, 0, 4, 2},
		{"one, with a spare", 9, one, false, nil, 4 * time.Second, 5, 2}, // Four join orders; the silent one leaves when it is back.
		{"one, a spare comes", 8, one, false, func(s *planSimulation) {
			s.addVM("vm08")
			s.engines["vm08"].Weights = []string{"m"}
		}, silence / 2, 5, 2},
		{"one of each group, no spare: one group completes the other", 8, oneOfEach, false, nil, 5 * time.Second, 13, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newPlanSimulation(tc.vms, 2, RepairWithSpare)
			s.run(4 * time.Minute)
			for _, e := range s.engines {
				e.Weights = []string{"m"}
			}
			qt.Assert(t, s.groupStates(), qt.DeepEquals, map[schema.GroupState]int{ready: 2})
			start, replacedIn, orders := s.now, time.Duration(0), 0
			silent := tc.silent(s)
			for _, vm := range silent {
				s.engines[vm].silentSince = s.now
			}
			for ; s.now < start+silence+30*time.Second; s.now += time.Second {
				switch since := s.now - start; {
				case since == silence/2 && tc.during != nil:
					tc.during(s)
				case since == silence:
					for _, vm := range silent {
						if s.engines[vm].silentSince = -1; tc.restart {
							s.restartEngine(vm)
						}
					}
				}
				for _, o := range s.step() {
					if s.engines[o.VM].silentSince < 0 {
						orders++
					}
				}
				if _, assigned := s.input.Plan.Assignments[silent[0]]; !assigned && len(silent) < tc.vms && replacedIn == 0 {
					replacedIn = s.now - start
				}
			}
			qt.Check(t, orders, qt.Equals, tc.orders)
			qt.Check(t, replacedIn, qt.Equals, tc.replacedIn)
			qt.Check(t, s.groupStates()[ready], qt.Equals, tc.ready)
			qt.Check(t, s.servingGroups(), qt.Equals, tc.ready)
		})
	}
}

func (s *planSimulation) firstGroup() string { return slices.Sorted(maps.Keys(s.input.Plan.Groups))[0] }

func (s *planSimulation) memberOfRankOneIn(group string) string {
	return members(s.input.Plan, s.input.Plan.Groups[group])[1]
}

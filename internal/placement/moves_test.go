package placement

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/internal/fleet"
)

// moveEngine has the models, sizes and load bounds of the deployments in docs/demand-and-clients.md.
func moveEngine() *fleet.Engine {
	return &fleet.Engine{Slots: 30, Stride: 7, Chunk: 2048, StepMs: 5.95, StepMsPerRequest: 0.0445, PromptTokensPerMs: 50.7, OpenTime: 300 * time.Millisecond,
		LoadsPerS: 18, LoadsAtOnce: 27, Models: []fleet.Model{
			{Name: "large", Size: 16, Share: 0.5, TimeFactor: 1, LoadTime: 16 * time.Second, StagedLoadTime: 1600 * time.Millisecond},
			{Name: "small", Size: 4, Share: 0.5, TimeFactor: 0.6, LoadTime: 12 * time.Second, StagedLoadTime: 1100 * time.Millisecond}}}
}

var usualDivision = map[string]int{"large": 6, "small": 24}

// followingSystem returns the replicas of a deployment with 222 replicas in 6 fabric domains, whose hosts have staged weights ahead.
func followingSystem(t testing.TB) (*emulator, *Plan) { return followingDomains(t, 6) }

// followingDomains returns the replicas of some of these domains.
func followingDomains(t testing.TB, domains int) (*emulator, *Plan) {
	m, p := newEmulator(t, domains, 37, moveEngine()), New(1)
	m.follow = true
	m.run(p, 20*time.Second, nil)
	m.beforeFirstRequest = false
	quicktest.New(t).Assert(m.openGroups(), quicktest.DeepEquals, map[string]int{"large": domains, "small": 4 * domains})
	return m, p
}

// spareCounts returns the number of VMs outside groups that have staged a model, by fabric domain and model.
func (m *emulator) spareCounts(p *Plan) map[string]map[string]int {
	counts := map[string]map[string]int{}
	for _, v := range m.vms {
		if v.failedAt != 0 || v.group != "" && !strings.HasPrefix(v.group, StandbyPrefix) && p.groups[v.group] != nil || len(v.staged) == 0 {
			continue
		}
		if counts[v.fabric] == nil {
			counts[v.fabric] = map[string]int{}
		}
		counts[v.fabric][v.staged[0]]++
	}
	return counts
}

// keepBusy lets requests of a second run at all open heads without a break.
func (m *emulator) keepBusy() {
	for _, model := range m.engine.Models {
		for _, head := range m.openHeads(model.Name) {
			if m.clock.Now() >= head.busyUntil {
				head.busyFrom, head.busyUntil = m.clock.Now(), m.clock.Now().Add(time.Second)
			}
		}
	}
}

// runUntil plans until the open groups are the wanted ones, and returns the time that this took.
func (m *emulator) runUntil(p *Plan, want map[string]int, limit time.Duration) (time.Duration, bool) {
	began := m.clock.Now()
	for m.clock.Now().Sub(began) < limit {
		m.run(p, tick, m.keepBusy)
		if maps.Equal(m.openGroups(), want) {
			return m.clock.Now().Sub(began), true
		}
	}
	return limit, false
}

// Load: steady demand for a minute after the start. Guards against groups, spares or orders that differ from those without the setting,
// apart from staging ahead, and against more loads at once than are allowed.
func TestFollowingChangesNothingWithSteadyDemand(t *testing.T) {
	c := quicktest.New(t)
	without, plan := newEmulator(t, 6, 37, moveEngine()), New(1)
	without.follow = false
	without.run(plan, 20*time.Second, nil)
	m, p := followingSystem(t)
	c.Check(m.openGroups(), quicktest.DeepEquals, without.openGroups())
	c.Check(m.spareCounts(p), quicktest.DeepEquals, without.spareCounts(plan))
	epochs := map[string]int64{}
	for id, v := range m.vms {
		epochs[id] = v.epoch
	}
	loads := len(m.loads)
	m.run(p, time.Minute, m.keepBusy)
	for id, v := range m.vms {
		c.Check(v.epoch, quicktest.Equals, epochs[id])
	}
	c.Check(len(m.loads), quicktest.Equals, loads)
	staged := map[string]int{}
	for _, v := range m.vms {
		if v.state == fleet.GroupOpen || v.state == fleet.GroupReady {
			if v.model != v.staged[0] && v.group != "" {
				staged[v.staged[0]]++
			}
		}
	}
	c.Check(staged, quicktest.DeepEquals, map[string]int{"large": 48, "small": 48})
	m.assertNoViolations()
}

// Load: requests run at all heads without a break while one model needs three units more, as in a peak of 1.8 and 0.4, and then the other
// one. Guards against moves that take longer than the peak allows, that end running requests or that use up spares, and against a way back
// that isn't staged.
func TestReplicasMoveInBothDirections(t *testing.T) {
	for name, wanted := range map[string]map[string]int{"to the small model": {"large": 3, "small": 36}, "to the large model": {"large": 9, "small": 12}} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			m, p := followingSystem(t)
			spares, loads := m.spareCounts(p), len(m.loads)
			m.wanted = wanted
			took, reached := m.runUntil(p, wanted, 10*time.Second)
			t.Logf("moved after %v", took)
			c.Assert(reached, quicktest.IsTrue, quicktest.Commentf("%v", m.openGroups()))
			c.Check(took <= 5*time.Second, quicktest.IsTrue, quicktest.Commentf("%v", took))
			c.Check(m.interruptions, quicktest.HasLen, 0)
			c.Check(m.spareCounts(p), quicktest.DeepEquals, spares)
			m.run(p, 50*time.Second, m.keepBusy)
			c.Check(len(m.loads)-loads, quicktest.Equals, 48) // The way back is staged.
			c.Check(m.openGroups(), quicktest.DeepEquals, wanted)
			m.wanted = usualDivision
			took, reached = m.runUntil(p, usualDivision, 10*time.Second)
			t.Logf("moved back after %v", took)
			c.Assert(reached, quicktest.IsTrue, quicktest.Commentf("%v", m.openGroups()))
			m.run(p, 50*time.Second, m.keepBusy)
			c.Check(m.openGroups(), quicktest.DeepEquals, usualDivision)
			c.Check(m.spareCounts(p), quicktest.DeepEquals, spares)
			c.Check(p.Moved()["large"], quicktest.Equals, 0)
			c.Check(m.interruptions, quicktest.HasLen, 0)
			m.assertNoViolations()
			m.assertNoStrictViolations()
		})
	}
}

// Load: a need that goes back as soon as the first groups have closed, and again each second. Guards against groups that are closed and
// opened in turns without a load in between, and against more than one move in a domain at a time.
func TestNeedThatChangesAtOnceIsBounded(t *testing.T) {
	c := quicktest.New(t)
	m, p := followingSystem(t)
	for i := range 10 {
		m.wanted = usualDivision
		if i%2 == 0 {
			m.wanted = map[string]int{"large": 3, "small": 36}
		}
		m.run(p, time.Second, m.keepBusy)
	}
	begun := map[string]int{}
	for _, e := range p.TakeMoveEvents() {
		if e.Outcome == MoveBegun {
			begun[e.Fabric]++
		}
	}
	for fabric, n := range begun {
		c.Check(n <= 2, quicktest.IsTrue, quicktest.Commentf("%d moves in %s", n, fabric))
	}
	m.run(p, time.Minute, m.keepBusy)
	m.assertNoViolations()
	m.assertNoStrictViolations()
}

// Guards against members that are taken from a head that is still working, and against a unit that stays closed: requests don't end.
func TestMoveIsAbandonedIfRequestsDontEnd(t *testing.T) {
	c := quicktest.New(t)
	m, p := followingSystem(t)
	m.wanted = map[string]int{"large": 7, "small": 20}
	m.run(p, closeTimeout+time.Second, func() {
		if len(p.abandoned) > 0 {
			m.wanted = nil
		}
		for _, v := range m.vms {
			if v.serves() {
				v.busyFrom, v.busyUntil = m.clock.Now(), m.clock.Now().Add(time.Second)
			}
		}
	})
	c.Check(p.TakeMoveEvents()[1].Outcome, quicktest.Equals, MoveAbandoned)
	m.run(p, 5*time.Second, nil)
	c.Check(m.openGroups(), quicktest.DeepEquals, usualDivision)
	c.Check(p.Moved(), quicktest.HasLen, 0)
	c.Check(m.interruptions, quicktest.HasLen, 0)
	m.assertNoViolations()
}

// Guards against a move that isn't completed, or leaves replicas unused, when a member is lost while groups close and after their members
// are released.
func TestMemberLostDuringMove(t *testing.T) {
	for _, direction := range []map[string]int{{"large": 1, "small": 12}, {"large": 3, "small": 4}} {
		for _, after := range []time.Duration{300 * time.Millisecond, time.Second, 2 * time.Second} {
			for _, rank := range []int{0, 2} {
				t.Run(fmt.Sprintf("%v, rank %d after %v", direction, rank, after), func(t *testing.T) {
					c := quicktest.New(t)
					m, p := followingDomains(t, 2)
					m.wanted = direction
					m.run(p, tick, m.keepBusy)
					var mv *move
					for _, mv = range p.moves {
					}
					c.Assert(mv, quicktest.IsNotNil)
					victim := p.groups[mv.groups[0]].members[rank].incarnation
					m.run(p, after, m.keepBusy)
					m.kill(victim.ID)
					p.RecordProbeFailure(victim, m.clock.Now())
					p.RecordProbeFailure(victim, m.clock.Now())
					took, reached := m.runUntil(p, direction, 20*time.Second)
					t.Logf("moved after %v", after+took)
					c.Check(reached, quicktest.IsTrue, quicktest.Commentf("%v", m.openGroups()))
					m.assertNoViolations()
					m.assertNoStrictViolations()
				})
			}
		}
	}
}

// Guards against a division that is lost with the planner, against spares that are restaged because of it, and against members that are used
// twice: the planner stops at each point of a move, and its successor has the record.
func TestPlannerChangesDuringMove(t *testing.T) {
	for ticks := 1; ticks < 40; ticks += 3 {
		t.Run(fmt.Sprintf("after %d ticks", ticks), func(t *testing.T) {
			c := quicktest.New(t)
			m, p := followingDomains(t, 2)
			spares := m.spareCounts(p)
			wanted := map[string]int{"large": 1, "small": 12}
			m.wanted = wanted
			m.run(p, time.Duration(ticks)*tick, m.keepBusy)
			p = m.successor(p)
			_, reached := m.runUntil(p, wanted, 12*time.Second)
			c.Assert(reached, quicktest.IsTrue, quicktest.Commentf("%v", m.openGroups()))
			m.run(p, 30*time.Second, m.keepBusy)
			c.Check(m.openGroups(), quicktest.DeepEquals, wanted)
			c.Check(m.spareCounts(p), quicktest.DeepEquals, spares)
			c.Check(p.Moved(), quicktest.DeepEquals, map[string]int{"large": -16, "small": 16})
			c.Check(m.interruptions, quicktest.HasLen, 0)
			m.assertNoViolations()
			m.assertNoStrictViolations()
		})
	}
}

// Guards against moves that are begun by outdated entries, and against a move that is stopped halfway: the store doesn't answer before a
// move or in the middle of one.
func TestStoreOutageDuringMove(t *testing.T) {
	c := quicktest.New(t)
	m, p := followingSystem(t)
	m.mayBeOutdated, m.storedEntries = true, m.listed()
	m.wanted = map[string]int{"large": 5, "small": 28}
	m.run(p, 5*time.Second, m.keepBusy)
	c.Check(m.openGroups(), quicktest.DeepEquals, usualDivision)
	c.Check(p.MoveBlocked(), quicktest.Equals, MoveUncertain)
	m.mayBeOutdated, m.storedEntries = false, nil
	m.run(p, 600*time.Millisecond, m.keepBusy)
	c.Assert(p.moves, quicktest.HasLen, 1)
	m.mayBeOutdated, m.storedEntries = true, m.listed()
	m.run(p, 10*time.Second, m.keepBusy)
	m.assertNoViolations()
	m.mayBeOutdated, m.storedEntries = false, nil
	_, reached := m.runUntil(p, m.wanted, 15*time.Second)
	c.Check(reached, quicktest.IsTrue, quicktest.Commentf("%v", m.openGroups()))
	m.assertNoViolations()
	c.Check(m.interruptions, quicktest.HasLen, 0)
}

// Guards against staged weights that change what becomes of a lost member: it returns with the weights that its host has staged last, and
// the spares of each model must be as many as before after a load.
func TestCrashedMemberWithOtherWeightsBecomesASpare(t *testing.T) {
	c := quicktest.New(t)
	m, p := followingSystem(t)
	spares := m.spareCounts(p)
	for _, model := range []string{"large", "small"} {
		for _, head := range m.openHeads(model) {
			victim := m.vms[head.members[len(head.members)-1]]
			if victim.staged[0] == model {
				continue
			}
			m.restart(p, victim)
			break
		}
	}
	m.run(p, 4*time.Second, m.keepBusy)
	c.Check(m.openGroups(), quicktest.DeepEquals, usualDivision)
	m.run(p, 40*time.Second, m.keepBusy)
	c.Check(m.spareCounts(p), quicktest.DeepEquals, spares)
	m.assertNoViolations()
}

// restart starts a VM anew at once, with the weights that its host has staged.
func (m *emulator) restart(p *Plan, v *vm) {
	p.RecordProbeFailure(m.incarnation(v), m.clock.Now())
	m.vms[v.id] = &vm{id: v.id, fabric: v.fabric, startedAt: int64(m.clock.Now()), staged: slices.Clone(v.staged)}
}

// Guards against a domain whose restarted hosts all form groups of the model that most of them have staged.
func TestRestartedDomainKeepsItsDivision(t *testing.T) {
	c := quicktest.New(t)
	m, p := followingSystem(t)
	for d := range 2 { // The domains have staged opposite models.
		for i := range 37 {
			m.restart(p, m.vms[fmt.Sprintf("vm-%d-%02d", d, i)])
		}
	}
	m.run(p, 80*time.Second, m.keepBusy)
	c.Check(m.openGroups(), quicktest.DeepEquals, usualDivision)
	m.assertNoViolations()
}

// Guards against more loads in a window than the platform allows, since staging ahead adds to those of spares: the system starts while
// clients send requests.
func TestStagingAheadIsBounded(t *testing.T) {
	c := quicktest.New(t)
	m, p := newEmulator(t, 6, 37, moveEngine()), New(1)
	m.follow = false
	m.run(p, 20*time.Second, nil)
	m.beforeFirstRequest = false
	m.follow = true
	loads := len(m.loads)
	m.run(p, 2*time.Minute, m.keepBusy)
	c.Check(len(m.loads)-loads, quicktest.Equals, 96)
	for i, at := range m.loads[loads:] {
		n := 0
		for _, other := range m.loads[loads+i:] {
			if other.Sub(at) <= 5*time.Second {
				n++
			}
		}
		c.Check(n <= 45, quicktest.IsTrue, quicktest.Commentf("%d loads within 5 s from %v", n, at.Sub(clock.Time(time.Hour))))
	}
	c.Check(m.openGroups(), quicktest.DeepEquals, usualDivision)
}

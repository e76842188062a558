package placement

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

var (
	faultSeeds = flag.Uint64("fault-seeds", 12, "number of seeds of each test of random faults")
	firstFault = flag.Uint64("first-fault-seed", 0, "first seed of the tests of random faults")
)

// faultyDay lets random faults happen while requests run and planners follow one another.
type faultyDay struct {
	*emulator
	t        *testing.T
	random   *rand.Rand
	plan     *Plan
	term     int64
	returnAt map[string]time.Duration // When a replica's faults end, since the start of the system, by ID.
	busyFor  time.Duration            // Mean time for which requests run at a head without a break; 0 if all are idle.
	replaced int
	hides    bool // Some replicas that are cut off from the store are cut off from the planner too, but not from other nodes.
}

func newFaultyDay(t *testing.T, seed uint64, hides bool) *faultyDay {
	return newFaultyDayOf(t, seed, hides, 10)
}

// newFaultyDayOf returns a day of three fabric domains of a size.
func newFaultyDayOf(t *testing.T, seed uint64, hides bool, size int) *faultyDay {
	random := rand.New(rand.NewPCG(seed, 43))
	m, p := startedDetailedSystem(t, 3, size)
	day := &faultyDay{emulator: m, t: t, random: random, plan: p, term: 1, returnAt: map[string]time.Duration{}, hides: hides}
	m.seed, m.otherWay = seed, true
	day.busyFor = []time.Duration{0, time.Second, 4 * time.Second}[random.IntN(3)]
	lostTenths := random.IntN(5)
	m.loseAnswer = func(Order) bool { return random.IntN(10) < lostTenths }
	m.lateBy = func(Order) time.Duration {
		if random.IntN(3) == 0 {
			return 0 // Only the answer is lost.
		}
		return day.duration(2*time.Second, 12*time.Second)
	}
	return day
}

// duration returns a random number of ticks between two times.
func (d *faultyDay) duration(low, high time.Duration) time.Duration {
	return low + time.Duration(d.random.IntN(int((high-low)/tick)))*tick
}

// sendRequests lets new requests run at open heads that are listed.
func (d *faultyDay) sendRequests() {
	entries := d.listed()
	for _, model := range d.engine.Models {
		for _, head := range d.openHeads(model.Name) {
			if listed := entries[head.id]; d.busyFor > 0 && listed != nil && listed.Head() && d.clock.Now() >= head.busyUntil && d.random.IntN(5) == 0 {
				head.busyFrom = d.clock.Now()
				head.busyUntil = d.clock.Now().Add(d.duration(d.busyFor/2, d.busyFor*3/2))
			}
		}
	}
}

// eachTick ends faults that are over and sends requests.
func (d *faultyDay) eachTick() {
	now := d.clock.Now().Sub(emulatorStart)
	for _, id := range slices.Sorted(maps.Keys(d.returnAt)) {
		if now >= d.returnAt[id] {
			d.heal(d.vms[id])
		}
	}
	d.sendRequests()
}

// heal ends the faults of a replica. Another one takes the place of one that has ended or drains.
func (d *faultyDay) heal(v *vm) {
	delete(d.returnAt, v.id)
	v.hidden, v.silent, v.cutOff, v.storeCutAt, v.storedEntry = false, false, false, 0, nil
	if v.failedAt != 0 || v.draining {
		if v.failedAt == 0 {
			d.kill(v.id)
		}
		d.replaced++
		d.add(fmt.Sprintf("%s-%d", v.id, d.replaced), v.fabric).staged = slices.Clone(v.staged)
	}
	d.note("faults of %s end", v.id)
}

// victim returns a running replica without a fault, mostly a member of a group.
func (d *faultyDay) victim() *vm {
	var heads, all []*vm
	for _, id := range slices.Sorted(maps.Keys(d.vms)) {
		v := d.vms[id]
		if _, faulty := d.returnAt[id]; faulty || v.failedAt != 0 {
			continue
		}
		all = append(all, v)
		if v.serves() {
			heads = append(heads, v)
		}
	}
	if len(heads) > 0 && d.random.IntN(2) == 0 {
		return heads[d.random.IntN(len(heads))]
	}
	return all[d.random.IntN(len(all))]
}

func (d *faultyDay) disturbReplica() {
	v := d.victim()
	lasts := d.duration(5*time.Second, 14*time.Second)
	kind := "is cut off from the store"
	switch d.random.IntN(8) {
	case 0, 1, 2, 3:
		d.cutFromStore(v)
		if v.hidden = d.hides && d.random.IntN(3) == 0; v.hidden {
			kind = "is cut off from the store and the planner"
		}
	case 4:
		kind, v.cutOff = "is cut off from all nodes", true
		lasts = d.duration(500*time.Millisecond, 8*time.Second)
	case 5:
		kind, v.silent = "is silent", true
		lasts = d.duration(200*time.Millisecond, 1500*time.Millisecond)
	case 6:
		kind = "ends"
		d.kill(v.id)
	case 7:
		kind, v.draining = "drains", true
		lasts = 10 * time.Second
	}
	d.returnAt[v.id] = d.clock.Now().Sub(emulatorStart) + lasts
	d.note("%s (%s/%d, rank %d, %s, busy %t) %s for %v", v.id, v.group, v.epoch, v.rank, v.state, d.clock.Now() < v.busyUntil, kind, lasts)
}

// changePlanner lets another node take over, which may reach other replicas.
func (d *faultyDay) changePlanner() {
	d.term++
	found := lastRecords
	if d.random.IntN(5) == 0 {
		found = formerRecords
	}
	d.plan = d.takeOver(d.term, d.random.IntN(2) == 0, found, d.eachTick)
}

// useOutdatedList lets the planner read an older list of the store.
func (d *faultyDay) useOutdatedList() {
	d.note("the list of the store is outdated from now on")
	clear(d.planner.confirmed) // As Planner.StoreRestored does.
	clear(d.planner.queriedAt)
	d.storedEntries, d.mayBeOutdated, d.incomplete = d.history[max(0, len(d.history)-d.random.IntN(30)-1)].replicas, true, true
	d.run(d.plan, d.duration(500*time.Millisecond, 2*time.Second), d.eachTick)
	d.storedEntries, d.mayBeOutdated, d.incomplete = nil, false, false
	d.note("the list of the store is up to date")
}

func (d *faultyDay) disturb() {
	switch d.random.IntN(8) {
	case 0, 1:
		d.changePlanner()
	case 2:
		d.useOutdatedList()
	default:
		for range 1 + d.random.IntN(3) {
			d.disturbReplica()
		}
	}
}

// runAndCheck simulates the day and checks the rules.
func (d *faultyDay) runAndCheck() {
	d.runAndCheckCommon()
	quicktest.Check(d.t, d.strictViolations, quicktest.HasLen, 0)
}

// runAndCheckCommon checks all rules but the strict one, which needs an answer from a head that the planner doesn't reach.
func (d *faultyDay) runAndCheckCommon() {
	c := quicktest.New(d.t)
	before := d.openGroups()
	for range 6 + d.random.IntN(8) {
		d.disturb()
		d.run(d.plan, d.duration(200*time.Millisecond, 4*time.Second), d.eachTick)
	}
	d.loseAnswer = nil
	d.run(d.plan, time.Minute, d.eachTick)
	c.Check(d.violations, quicktest.HasLen, 0)
	c.Check(d.soundInterruptions, quicktest.HasLen, 0)
	for model, n := range before {
		c.Check(d.openGroups()[model] >= n, quicktest.IsTrue, quicktest.Commentf("%d open groups of model %s, at first %d", d.openGroups()[model], model, n))
	}
}

// Simulates changes of the planner amid late orders, losses, drains and replicas that are cut off from the store or from all nodes: no
// replica may be used in another group before its head has ended, no requests at sound heads may be interrupted, and the groups open
// again.
func TestGroupRulesHoldAcrossPlanners(t *testing.T) {
	for seed := *firstFault; seed < *firstFault+*faultSeeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { newFaultyDay(t, seed, false).runAndCheck() })
	}
}

// Simulates the same, but the planner reaches some replicas that are cut off from the store only by way of other nodes.
func TestGroupRulesHoldWhereThePlannerReachesFewer(t *testing.T) {
	for seed := *firstFault; seed < *firstFault+*faultSeeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { newFaultyDay(t, seed, true).runAndCheck() })
	}
}

// Simulates the same, but no other node answers the planner. An idle head that it doesn't reach can't be told from a lost one then.
func TestGroupRulesHoldWhereNoOtherNodeAnswersThePlanner(t *testing.T) {
	for seed := *firstFault; seed < *firstFault+*faultSeeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			day := newFaultyDay(t, seed, true)
			day.otherWay = false
			day.runAndCheckCommon()
		})
	}
}

// Simulates the same with the strict check.
func TestGroupRulesHoldStrictlyWhereNoOtherNodeAnswersThePlanner(t *testing.T) {
	for seed := *firstFault; seed < *firstFault+*faultSeeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			day := newFaultyDay(t, seed, true)
			day.otherWay = false
			day.runAndCheck()
		})
	}
}

// Simulates the same while replicas move between two models to and fro: in addition, no replicas may be left unused at the end.
func TestGroupRulesHoldWhileReplicasMove(t *testing.T) {
	moves := 0
	for seed := *firstFault; seed < *firstFault+*faultSeeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := quicktest.New(t)
			day := newFaultyDayOf(t, seed, true, 14)
			day.follow = true
			day.run(day.plan, 40*time.Second, day.eachTick) // Weights are staged ahead.
			before := day.openGroups()
			for range 6 + day.random.IntN(8) {
				day.wanted = maps.Clone(before)
				if units := day.random.IntN(5) - 2; units != 0 {
					day.wanted["large"] += units
					day.wanted["small"] -= 2 * units
				}
				day.run(day.plan, day.duration(200*time.Millisecond, 4*time.Second), day.eachTick)
				day.disturb()
				for _, e := range day.plan.TakeMoveEvents() {
					if e.Outcome == MoveReleased {
						moves++
					}
				}
			}
			day.loseAnswer, day.wanted = nil, nil
			day.run(day.plan, 90*time.Second, day.eachTick)
			c.Check(day.violations, quicktest.HasLen, 0)
			c.Check(day.soundInterruptions, quicktest.HasLen, 0)
			c.Check(day.strictViolations, quicktest.HasLen, 0)
			used, usedBefore := 4*day.openGroups()["large"]+2*day.openGroups()["small"], 4*before["large"]+2*before["small"]
			c.Check(used >= usedBefore-4, quicktest.IsTrue, quicktest.Commentf("%d replicas in open groups, at first %d", used, usedBefore))
		})
	}
	quicktest.Check(t, moves > 0, quicktest.IsTrue)
	t.Logf("%d moves", moves)
}

// Package groups checks the promises about replica groups with separate processes. The records of the stand-ins decide.
package groups

import (
	"fmt"
	"os"
	"testing"
	"time"

	"cassiadeal.example/cassiadeal/internal/schema"
	"cassiadeal.example/cassiadeal/internal/standin/engine"
	"cassiadeal.example/cassiadeal/test/cluster"
	"cassiadeal.example/cassiadeal/test/harness"
)

const (
	freshnessBound = time.Second // Freshness bound of the design, section 4.
	// dispatchAllowance is allowed between the check before a dispatch and the receipt at the engine behind its proxy.
	dispatchAllowance = 250 * time.Millisecond
	absenceBound      = freshnessBound + dispatchAllowance
	maxPrinted        = 10               // Violations printed one by one.
	repairLimit       = 30 * time.Second // Covers a repair on a busy machine; no promise of the system.
)

// clusters bounds the clusters that run at once.
var clusterSlots = make(chan struct{}, 3)

func TestMain(m *testing.M) { os.Exit(harness.Main(m)) }

// parallel lets the test run beside at most two others.
func parallel(t *testing.T) {
	t.Parallel()
	clusterSlots <- struct{}{}
	t.Cleanup(func() { <-clusterSlots })
}

func nowMS() int64 { return time.Now().UnixMilli() }

// composition identifies one composition of a group.
type composition struct {
	group  string
	number uint64
}

// member is one rank of a composition.
type member struct{ vm, incarnation string }

// composed is a composition that the platform accepted as ready.
type readyGroup struct {
	members map[uint32]member // By rank.
	readyMS int64
}

// readyGroups returns every composition that became ready, and fails the test if one occurs with two sets of members.
func readyGroups(t *testing.T, plans []cluster.PlanWrite) map[composition]readyGroup {
	t.Helper()
	groups := map[composition]readyGroup{}
	for _, w := range plans {
		for id, g := range w.Plan.Groups {
			if g.State != schema.GroupState_GROUP_STATE_READY {
				continue
			}
			ready := readyGroup{members: map[uint32]member{}, readyMS: w.TimeUnixMS}
			for vm, a := range w.Plan.Assignments {
				if a.Group == id {
					ready.members[a.Rank] = member{vm, a.Incarnation}
				}
			}
			key := composition{id, g.Number}
			previous, known := groups[key]
			if known && fmt.Sprint(previous.members) != fmt.Sprint(ready.members) {
				t.Errorf("version %d: %v has members %v and had %v", w.Version, key, ready.members, previous.members)
			}
			if !known {
				groups[key] = ready
			}
		}
	}
	return groups
}

// absence is a time for which the test made a VM unreachable although its record shows no change.
type absence struct {
	vm    string
	from  int64 // Unix ms, taken after the fault was in force.
	until int64 // Unix ms, taken before the fault ended, and no part of the absence: a thawed VM may read in the same ms.
	cause string
}

// lastPresent returns until when, at or before the time, the member's record shows it in the composition; 0 for never.
func lastPresent(states []engine.StateRecord, m member, key composition, atMS int64) int64 {
	lastMS := int64(0)
	for i, s := range states {
		if s.TimeUnixMS > atMS {
			break
		}
		if s.Incarnation != m.incarnation || s.Group != key.group || s.Number != key.number || !s.Ready {
			continue
		}
		lastMS = atMS
		if i+1 < len(states) {
			lastMS = min(atMS, states[i+1].TimeUnixMS)
		}
	}
	return lastMS
}

// checkCompleteGroups checks each generate that any VM received, refused ones included. The composition that it names was accepted
// as ready by the platform before, and every member was present, with the incarnation, group and number of that plan, at
// the receipt or at most absenceBound earlier. A member whose VM the test made unreachable counts as absent meanwhile.
func checkCompleteGroups(t *testing.T, c *cluster.Cluster, absences []absence) (longestAbsence int64) {
	t.Helper()
	records, ready := c.Records(), readyGroups(t, c.Plans())
	bound, violations, generates := absenceBound.Milliseconds(), 0, 0
	reportViolation := func(format string, args ...any) {
		if violations++; violations <= maxPrinted {
			t.Errorf(format, args...)
		}
	}
	for vm, record := range records {
		for _, g := range record.Generates {
			generates++
			key := composition{g.Group, g.Number}
			group, known := ready[key]
			if !known || group.readyMS > g.TimeUnixMS {
				reportViolation("%s received a generate for %v at %d; it was ready from %d", vm, key, g.TimeUnixMS, group.readyMS)
				continue
			}
			for rank, m := range group.members {
				absentMS := g.TimeUnixMS - lastPresent(records[m.vm].States, m, key, g.TimeUnixMS)
				cause := "gone or changed"
				for _, a := range absences {
					if a.vm == m.vm && a.from <= g.TimeUnixMS && g.TimeUnixMS < a.until && g.TimeUnixMS-a.from > absentMS {
						absentMS, cause = g.TimeUnixMS-a.from, a.cause
					}
				}
				longestAbsence = max(longestAbsence, absentMS)
				if absentMS > bound {
					reportViolation("%s received a generate for %v (%s) %d ms after rank %d (%s) was %s; the bound is %d ms",
						vm, key, g.Outcome, absentMS, rank, m.vm, cause, bound)
				}
			}
		}
	}
	if violations > maxPrinted {
		t.Errorf("%d violations in all", violations)
	}
	t.Logf("%d generates; the latest came %d ms after a member was gone (bound %d ms)", generates, longestAbsence, bound)
	return longestAbsence
}

// current returns the newest accepted plan of each fabric domain.
func currentPlans(c *cluster.Cluster) map[string]*schema.FabricDomain {
	plans := map[string]*schema.FabricDomain{}
	for _, w := range c.Plans() {
		plans[w.Plan.Name] = w.Plan
	}
	return plans
}

// servingGroup returns a ready group of a fabric domain that received work within the last second, with its members by
// rank.
func servingGroup(t *testing.T, c *cluster.Cluster, fabric string) (key composition, vms map[uint32]string) {
	t.Helper()
	harness.Eventually(t, repairLimit, func() error {
		records, plan := c.Records(), currentPlans(c)[fabric]
		for id, g := range plan.GetGroups() {
			if g.State != schema.GroupState_GROUP_STATE_READY {
				continue
			}
			key, vms = composition{id, g.Number}, map[uint32]string{}
			for vm, a := range plan.Assignments {
				if a.Group == id {
					vms[a.Rank] = vm
				}
			}
			for _, r := range records[vms[0]].Generates {
				if r.Group == id && r.Number == g.Number && r.Outcome == "done" && r.TimeUnixMS > nowMS()-1000 {
					return nil
				}
			}
		}
		return fmt.Errorf("no ready group of %s received work within the last second", fabric)
	})
	return key, vms
}

// waitReplaced waits until no plan has the composition ready any more.
func waitReplaced(t *testing.T, c *cluster.Cluster, fabric string, key composition) {
	t.Helper()
	harness.Eventually(t, repairLimit, func() error {
		g := currentPlans(c)[fabric].Groups[key.group]
		if g.GetNumber() == key.number && g.GetState() == schema.GroupState_GROUP_STATE_READY {
			return fmt.Errorf("%v is still ready", key)
		}
		return nil
	})
}

func startGenerateLoad(c *cluster.Cluster, workers, tokens int) *cluster.Workers {
	return c.StartWorkers(workers, func(d *cluster.Daemon, n int64) cluster.Answer {
		return c.Generate(d, fmt.Sprintf("prompt %d", n), tokens)
	})
}

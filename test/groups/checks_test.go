// Package groups tests the guarantees about replica groups with separate processes. The checks rely on the records of the
// stand-ins.
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
	freshnessBound = time.Second // Age from which a report no longer permits a dispatch.
	// dispatchAllowance is the time allowed between the check before a dispatch and the receipt at the engine behind its
	// proxy.
	dispatchAllowance = 250 * time.Millisecond
	absenceBound      = freshnessBound + dispatchAllowance
	maxPrinted        = 10               // Violations printed individually; the rest are only counted.
	repairLimit       = 30 * time.Second // Covers a repair on a busy machine; not a guarantee of the system.
)

// clusterSlots limits the clusters that run at once.
var clusterSlots = make(chan struct{}, 3)

func TestMain(m *testing.M) { os.Exit(harness.Main(m)) }

// parallel marks the test as parallel and waits until at most two others run.
func parallel(t *testing.T) {
	t.Parallel()
	clusterSlots <- struct{}{}
	t.Cleanup(func() { <-clusterSlots })
}

func nowMS() int64 { return time.Now().UnixMilli() }

// composition identifies one set of members of a group; a group gets a new number when a member or its incarnation changes.
type composition struct {
	group  string
	number uint64
}

// member is one rank of a composition.
type member struct{ vm, incarnation string }

// readyGroup is a composition that the platform accepted as ready.
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

// absence is a period in which the test made a VM unreachable although the VM's record shows no change.
type absence struct {
	vm    string
	from  int64 // Unix ms, taken after the fault took effect.
	until int64 // Unix ms, exclusive, taken before the fault ended. A resumed VM may read a request in the same ms.
	cause string
}

// lastPresent returns the latest time, at most atMS, at which the member's states show it ready in the composition; 0 if none
// does.
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

// checkCompleteGroups checks each generate call that any VM received, refused ones included. The platform must have accepted
// the composition that the call names as ready before, and every member must have been present, with the incarnation, group
// and number of that plan, at the receipt or at most absenceBound earlier. A member whose VM the test made unreachable
// counts as absent meanwhile. It returns the longest absence in ms.
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
				reportViolation("%s received a generate for %v at %d; the platform accepted it as ready at %d (0: never)", vm, key, g.TimeUnixMS, group.readyMS)
				continue
			}
			for rank, m := range group.members {
				absentMS := g.TimeUnixMS - lastPresent(records[m.vm].States, m, key, g.TimeUnixMS)
				cause := "down, restarted or in another composition"
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
		t.Errorf("%d violations in total", violations)
	}
	t.Logf("%d generates; longest absence of a member at a receipt %d ms (bound %d ms)", generates, longestAbsence, bound)
	return longestAbsence
}

// currentPlans returns the newest accepted plan of each fabric domain.
func currentPlans(c *cluster.Cluster) map[string]*schema.FabricDomain {
	plans := map[string]*schema.FabricDomain{}
	for _, w := range c.Plans() {
		plans[w.Plan.Name] = w.Plan
	}
	return plans
}

// servingGroup returns a ready group of a fabric domain that completed a request received within the last second, with
// its VMs by rank.
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
		return fmt.Errorf("no ready group of %s completed a request received within the last second", fabric)
	})
	return key, vms
}

// waitReplaced waits until the current plan no longer has the composition as ready.
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

package groups

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"cassiadeal.example/cassiadeal/internal/schema"
	"cassiadeal.example/cassiadeal/internal/standin/engine"
	"cassiadeal.example/cassiadeal/test/cluster"
	"cassiadeal.example/cassiadeal/test/harness"
)

const (
	leavingBound     = 5 * time.Second // Invariant 8.
	listLag          = time.Second
	longAnswerTokens = 1000 // Tokens; about 2 s at 2 ms each.
)

// startCheckedLoad is a load with some long answers, each of which has to be whole.
func startCheckedLoad(t *testing.T, c *cluster.Cluster) *cluster.Workers {
	return c.StartWorkers(8, func(d *cluster.Daemon, n int64) cluster.Answer {
		prompt, tokens := fmt.Sprintf("prompt %d", n), 10
		if n%50 == 0 {
			tokens = longAnswerTokens
		}
		a := c.Generate(d, prompt, tokens)
		if want := strings.Join(engine.Text(cluster.Model, prompt, tokens), ""); a.Status == 200 && !strings.Contains(a.Body, want) {
			t.Errorf("prompt %d was not answered whole: %v", n, a)
		}
		return a
	})
}

// staying returns how many groups of a fabric domain are ready in a plan without the VM.
func readyGroupsWithout(plan *schema.FabricDomain, vm string) (n int) {
	for id, g := range plan.Groups {
		if g.State == schema.GroupState_GROUP_STATE_READY && plan.Assignments[vm].GetGroup() != id {
			n++
		}
	}
	return n
}

// leave marks a member of a group as leaving and waits until the bound has passed. It returns the time at which the list
// showed it.
func markLeaving(c *cluster.Cluster, vm string) (shownMS int64) {
	c.VMs[vm].State = schema.VMState_VM_STATE_LEAVING
	shownMS = c.SetVMsLate(listLag)
	endMS := shownMS + (leavingBound + time.Second).Milliseconds()
	harness.Eventually(c.T, repairLimit, func() error {
		if remaining := endMS - nowMS(); remaining > 0 {
			return fmt.Errorf("%d ms of the watch are left", remaining)
		}
		return nil
	})
	return shownMS
}

// received returns the generates for a group, in order of time.
func generatesFor(c *cluster.Cluster, group string) (generates []engine.GenerateRecord) {
	for _, record := range c.Records() {
		for _, g := range record.Generates {
			if g.Group == group {
				generates = append(generates, g)
			}
		}
	}
	slices.SortFunc(generates, func(a, b engine.GenerateRecord) int { return int(a.TimeUnixMS - b.TimeUnixMS) })
	return generates
}

// checkStopped checks that a group got no generate later than the bound after the list showed that a member leaves, and that
// all that it got ended whole.
func checkStopped(t *testing.T, generates []engine.GenerateRecord, shownMS int64) (lastMS int64) {
	t.Helper()
	if len(generates) == 0 || generates[len(generates)-1].TimeUnixMS < shownMS-listLag.Milliseconds() {
		t.Fatal("the group got no work before the notice")
	}
	longInFlight := false
	for _, g := range generates {
		if afterMS := g.TimeUnixMS - shownMS; afterMS > leavingBound.Milliseconds() {
			t.Errorf("a generate for %s came %d ms after the list showed the leaving member", g.Group, afterMS)
		}
		if g.Outcome != "done" {
			t.Errorf("a generate for %s at %d ended as %q", g.Group, g.TimeUnixMS, g.Outcome)
		}
		longInFlight = longInFlight || g.EndUnixMS > shownMS && g.EndUnixMS-g.TimeUnixMS > 1000
	}
	last := generates[len(generates)-1].TimeUnixMS
	t.Logf("last generate for %s %d ms after the list showed the leaving member; long answer in flight: %t",
		generates[0].Group, last-shownMS, longInFlight)
	return last
}

// Guards against new work for a leaving target, against cutting off its work in flight, and against a group that stops
// before its replacement is ready although a spare group fits.
func TestInvariantLeavingVM(t *testing.T) {
	parallel(t)
	o := cluster.Defaults()
	o.VMsPerDomain, o.Services = 6, 0
	c := cluster.Start(t, o)
	load := startCheckedLoad(t, c)
	key, vms := servingGroup(t, c, "fabric-fd-a")
	shownMS := markLeaving(c, vms[1])
	lastMS := checkStopped(t, generatesFor(c, key.group), shownMS)
	replacedMS := int64(0)
	for _, w := range c.Plans() {
		if replacedMS == 0 && w.Plan.Name == "fabric-fd-a" && w.TimeUnixMS >= shownMS-listLag.Milliseconds() && readyGroupsWithout(w.Plan, vms[1]) == 2 {
			replacedMS = w.TimeUnixMS
		}
	}
	if replacedMS == 0 || replacedMS > lastMS {
		t.Errorf("the group stopped at %d ms after the notice and its replacement was ready at %d ms", lastMS-shownMS, replacedMS-shownMS)
	}
	shares := load.PerSecond()
	for s := shownMS/1000 - 1; s < shownMS/1000+6; s++ {
		t.Logf("second %d after the notice: %+v", s-shownMS/1000, shares[s])
		if shares[s].Served == 0 || shares[s].Failed > 0 {
			t.Errorf("second %d after the notice: %+v", s-shownMS/1000, shares[s])
		}
	}

	// No spare group fits for the second one. It stops all the same, and is repaired when the VMs have gone.
	key, secondVMs := servingGroup(t, c, "fabric-fd-a")
	shownMS = markLeaving(c, secondVMs[0])
	checkStopped(t, generatesFor(c, key.group), shownMS)
	delete(c.VMs, vms[1])
	delete(c.VMs, secondVMs[0])
	c.SetVMsLate(listLag)
	harness.Eventually(t, repairLimit, func() error {
		if n := readyGroupsWithout(currentPlans(c)["fabric-fd-a"], ""); n != 2 {
			return fmt.Errorf("%d groups are ready", n)
		}
		return nil
	})
	load.Stop()
	t.Logf("%d served, %d failed", load.Served.Load(), load.Failed.Load())
}

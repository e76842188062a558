package groups

import (
	"fmt"
	"testing"

	"cassiadeal.example/cassiadeal/internal/standin/engine"
	"cassiadeal.example/cassiadeal/test/cluster"
	"cassiadeal.example/cassiadeal/test/harness"
)

// Guards against new requests for a group whose member states in its responses that it is leaving, while the VM list doesn't show it,
// and against a group that isn't replaced for it. Rank 0 gets the requests; the other member is only probed.
func TestInvariantVMThatStatesItIsLeaving(t *testing.T) {
	for i, name := range []string{"rank 0", "other member"} {
		t.Run(name, func(t *testing.T) {
			parallel(t)
			o := cluster.Defaults()
			o.VMsPerDomain, o.Services = 6, 0
			c := cluster.Start(t, o)
			load := startCheckedLoad(t, c)
			key, vms := servingGroup(t, c, "fabric-fd-a")
			leaving, statedMS, rank := true, nowMS(), uint32(i)
			c.Engines["fd-a"].SetFaults(engine.Faults{VM: vms[rank], Leaving: &leaving})
			harness.Eventually(t, repairLimit, func() error {
				if n := readyGroupsWithout(currentPlans(c)["fabric-fd-a"], vms[rank]); n != 2 {
					return fmt.Errorf("%d groups are ready without %s", n, vms[rank])
				}
				if remaining := statedMS + leavingBound.Milliseconds() + 1000 - nowMS(); remaining > 0 {
					return fmt.Errorf("%d ms of the observation period are left", remaining)
				}
				return nil
			})
			for _, g := range endedGeneratesFor(c, key.group) {
				if late := g.TimeUnixMS - statedMS; late > leavingBound.Milliseconds() {
					t.Errorf("a generate call for %s came %d ms after a member stated that it is leaving", key.group, late)
				}
				if g.Outcome != "done" && g.Outcome != "refused" {
					t.Errorf("a generate call for %s at %d ended as %q", g.Group, g.TimeUnixMS, g.Outcome)
				}
			}
			load.Stop()
			t.Logf("%d served, %d failed", load.Served.Load(), load.Failed.Load())
			if load.Failed.Load() > 0 {
				t.Errorf("%d requests failed", load.Failed.Load())
			}
		})
	}
}

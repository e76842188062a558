package groups

import (
	"fmt"
	"testing"

	"cassiadeal.example/cassiadeal/internal/standin/engine"
	"cassiadeal.example/cassiadeal/internal/standin/platform"
	"cassiadeal.example/cassiadeal/test/cluster"
	"cassiadeal.example/cassiadeal/test/faultproxy"
	"cassiadeal.example/cassiadeal/test/harness"
)

// memberFault makes one VM unable to serve and ends that. external means that the VM's own record doesn't show it.
type memberFault struct {
	name     string
	external bool
	begin    func(c *cluster.Cluster, vm string)
	end      func(c *cluster.Cluster, vm string)
}

func restore(c *cluster.Cluster, vm string) {
	if err := c.VMProxy[vm].Restore(); err != nil {
		c.T.Error(err)
	}
}

func cut(d faultproxy.Direction) func(*cluster.Cluster, string) {
	return func(c *cluster.Cluster, vm string) { c.VMProxy[vm].Cut(d) }
}

var memberFaults = []memberFault{
	{"down", false,
		func(c *cluster.Cluster, vm string) { c.VMFaults(vm, engine.Faults{Down: new(true)}) },
		func(c *cluster.Cluster, vm string) { c.VMFaults(vm, engine.Faults{Down: new(false)}) }},
	{"frozen", true,
		func(c *cluster.Cluster, vm string) { c.EngineOf(vm).Freeze() },
		func(c *cluster.Cluster, vm string) { c.EngineOf(vm).Thaw() }},
	{"restarted", false,
		func(c *cluster.Cluster, vm string) { c.VMFaults(vm, engine.Faults{Restart: true}) },
		func(*cluster.Cluster, string) {}},
	{"cut to the engine", true, cut(faultproxy.ToUpstream), restore},
	{"cut from the engine", true, cut(faultproxy.ToClient), restore},
	{"cut in both directions", true, cut(faultproxy.Both), restore},
}

// Guards against dispatch to a group that lacks a member, or in which a member has another incarnation, group or number.
func TestInvariantWholeGroups(t *testing.T) {
	for rank := range uint32(2) {
		t.Run(fmt.Sprintf("rank %d", rank), func(t *testing.T) {
			parallel(t)
			c := cluster.StartSeparate(t, cluster.Defaults())
			load := generateLoad(c, 12, 10)
			var absences []absence
			for i, f := range memberFaults {
				fabric := "fabric-" + c.Options.Domains[i%2]
				key, vms := servingGroup(t, c, fabric)
				f.begin(c, vms[rank])
				a := absence{vm: vms[rank], from: nowMS(), comment: f.name}
				waitReplaced(t, c, fabric, key)
				a.until = nowMS()
				if f.external {
					absences = append(absences, a)
				}
				f.end(c, vms[rank])
				c.WaitServing(c.Options.Replicas)
			}
			restartWithoutController(t, c, rank)
			absences = append(absences, darkDomain(t, c, c.Options.Domains[0])...)
			load.Stop()
			if load.Served.Load() == 0 {
				t.Error("the load was not served")
			}
			checkWhole(t, c, absences)
		})
	}
}

// restartWithoutController restarts a member while the platform is down, so that no new plan takes the group out of use and
// only the holder's check of the reports can.
func restartWithoutController(t *testing.T, c *cluster.Cluster, rank uint32) {
	_, vms := servingGroup(t, c, "fabric-fd-b")
	c.Platform.Faults(platform.Faults{Mode: platform.ModeDown})
	c.VMFaults(vms[rank], engine.Faults{Restart: true})
	end := nowMS() + 2*absentBound.Milliseconds()
	harness.Eventually(t, repairLimit, func() error {
		if left := end - nowMS(); left > 0 {
			return fmt.Errorf("%d ms of the fault are left", left)
		}
		return nil
	})
	c.Platform.Faults(platform.Faults{Mode: platform.ModeOK})
	c.WaitServing(c.Options.Replicas)
}

// darkDomain cuts all VMs of a failure domain off until their groups are given up, and reconnects them.
func darkDomain(t *testing.T, c *cluster.Cluster, domain string) (absences []absence) {
	key, _ := servingGroup(t, c, "fabric-"+domain)
	for name, vm := range c.VMs {
		if vm.FailureDomain == domain {
			c.VMProxy[name].Cut(faultproxy.Both)
			absences = append(absences, absence{vm: name, from: nowMS(), comment: "dark with its fabric domain"})
		}
	}
	waitReplaced(t, c, "fabric-"+domain, key)
	for i := range absences {
		absences[i].until = nowMS()
	}
	for _, a := range absences {
		restore(c, a.vm)
	}
	c.WaitServing(c.Options.Replicas)
	return absences
}

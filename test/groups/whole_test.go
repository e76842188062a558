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

// memberFault is a fault that makes one VM unable to serve. unrecorded means that the VM's own record doesn't show it.
type memberFault struct {
	name       string
	unrecorded bool
	begin      func(c *cluster.Cluster, vm string)
	end        func(c *cluster.Cluster, vm string)
}

func restore(c *cluster.Cluster, vm string) {
	if err := c.VMProxy[vm].Restore(); err != nil {
		c.T.Error(err)
	}
}

func cutConnections(d faultproxy.Direction) func(*cluster.Cluster, string) {
	return func(c *cluster.Cluster, vm string) { c.VMProxy[vm].Cut(d) }
}

var memberFaults = []memberFault{
	{"down", false,
		func(c *cluster.Cluster, vm string) { c.SetVMFaults(vm, engine.Faults{Down: new(true)}) },
		func(c *cluster.Cluster, vm string) { c.SetVMFaults(vm, engine.Faults{Down: new(false)}) }},
	{"frozen", true,
		func(c *cluster.Cluster, vm string) { c.EngineOf(vm).Freeze() },
		func(c *cluster.Cluster, vm string) { c.EngineOf(vm).Thaw() }},
	{"restarted", false,
		func(c *cluster.Cluster, vm string) { c.SetVMFaults(vm, engine.Faults{Restart: true}) },
		func(*cluster.Cluster, string) {}},
	{"cut to the engine", true, cutConnections(faultproxy.ToUpstream), restore},
	{"cut from the engine", true, cutConnections(faultproxy.ToClient), restore},
	{"cut in both directions", true, cutConnections(faultproxy.Both), restore},
}

// Guards against dispatch to a group with a missing member or with one that has another incarnation, group or number.
func TestInvariantWholeGroups(t *testing.T) {
	for rank := range uint32(2) {
		t.Run(fmt.Sprintf("rank %d", rank), func(t *testing.T) {
			parallel(t)
			c := cluster.StartEnginePerVM(t, cluster.Defaults())
			load := startGenerateLoad(c, 12, 10)
			var absences []absence
			for i, f := range memberFaults {
				fabric := "fabric-" + c.Options.Domains[i%2]
				key, vms := servingGroup(t, c, fabric)
				f.begin(c, vms[rank])
				a := absence{vm: vms[rank], from: nowMS(), cause: f.name}
				waitReplaced(t, c, fabric, key)
				a.until = nowMS()
				if f.unrecorded {
					absences = append(absences, a)
				}
				f.end(c, vms[rank])
				c.WaitServing(c.Options.Replicas)
			}
			restartDuringOutage(t, c, rank)
			absences = append(absences, disconnectDomain(t, c, c.Options.Domains[0])...)
			load.Stop()
			if load.Served.Load() == 0 {
				t.Error("the load was not served")
			}
			checkCompleteGroups(t, c, absences)
		})
	}
}

// restartDuringOutage restarts a member while the platform is down. No new plan can retire the group then, so the holder must
// stop dispatching because of the member's reports.
func restartDuringOutage(t *testing.T, c *cluster.Cluster, rank uint32) {
	_, vms := servingGroup(t, c, "fabric-fd-b")
	c.Platform.SetFaults(platform.Faults{Mode: platform.ModeDown})
	c.SetVMFaults(vms[rank], engine.Faults{Restart: true})
	endMS := nowMS() + 2*absenceBound.Milliseconds()
	harness.Eventually(t, repairLimit, func() error {
		if remaining := endMS - nowMS(); remaining > 0 {
			return fmt.Errorf("%d ms of the fault are left", remaining)
		}
		return nil
	})
	c.Platform.SetFaults(platform.Faults{Mode: platform.ModeOK})
	c.WaitServing(c.Options.Replicas)
}

// disconnectDomain cuts the connections of all VMs of a failure domain until the plan no longer has a group that served as
// ready, and reconnects them.
func disconnectDomain(t *testing.T, c *cluster.Cluster, domain string) (absences []absence) {
	key, _ := servingGroup(t, c, "fabric-"+domain)
	for name, vm := range c.VMs {
		if vm.FailureDomain == domain {
			c.VMProxy[name].Cut(faultproxy.Both)
			absences = append(absences, absence{vm: name, from: nowMS(), cause: "disconnected with its failure domain"})
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

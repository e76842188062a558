package groups

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"

	"cassiadeal.example/cassiadeal/internal/schema"
	"cassiadeal.example/cassiadeal/internal/standin/engine"
	"cassiadeal.example/cassiadeal/internal/standin/service"
	"cassiadeal.example/cassiadeal/test/cluster"
	"cassiadeal.example/cassiadeal/test/harness"
)

// coldOptions returns a cluster whose engines and services start cold with a limit of two requests in flight and are warm once
// their limit has risen to eight.
func coldOptions() cluster.Options {
	o := cluster.Defaults()
	o.EngineArgs = append(o.EngineArgs, "--bears-cold=2", "--slots-warm=8")
	o.ServiceArgs = []string{"--bears-cold=2", "--bears-warm=8"}
	o.ColdLimit, o.FullLimit = 2, 8
	return o
}

// startFullLoad sends enough requests to occupy every slot of the pool and of the service.
func startFullLoad(c *cluster.Cluster) (stop func()) {
	for _, s := range c.Services {
		s.SetFaults(service.Faults{DelayMS: new(int64(40))})
	}
	generates := startGenerateLoad(c, 48, 30)
	// Paths differ, because nodes refuse repeats of a request after two targets were lost while running it.
	serviceCalls := c.StartWorkers(24, func(d *cluster.Daemon, n int64) cluster.Answer {
		return c.Send(d, http.MethodGet, fmt.Sprintf("/v1/services/bookings/stock/%d", n), "", "")
	})
	return func() {
		generates.Stop()
		serviceCalls.Stop()
	}
}

// waitWarm waits until the records of every group and service instance show its full limit in flight within the last second.
func waitWarm(t *testing.T, c *cluster.Cluster) {
	t.Helper()
	c.WaitServing(c.Options.Replicas)
	fullLimit := c.Options.FullLimit
	harness.Eventually(t, repairLimit, func() error {
		records := c.Records()
		for _, plan := range currentPlans(c) {
			for vm, a := range plan.Assignments {
				if a.Rank != 0 || plan.Groups[a.Group].State != schema.GroupState_GROUP_STATE_READY {
					continue
				}
				isFull := func(g engine.GenerateRecord) bool {
					return g.InFlight >= fullLimit && g.Limit >= fullLimit && g.TimeUnixMS > nowMS()-1000 &&
						g.Group == a.Group && g.Number == plan.Groups[a.Group].Number
				}
				if !slices.ContainsFunc(records[vm].Generates, isFull) {
					return errNotFull(vm)
				}
			}
		}
		for i, s := range c.Services {
			isFull := func(e service.Execution) bool {
				return e.InFlight >= fullLimit && e.Limit >= fullLimit && e.TimeUnixMS > nowMS()-1000
			}
			if !slices.ContainsFunc(s.Record().Executions, isFull) {
				return errNotFull(c.ServiceProxy[i].Addr())
			}
		}
		return nil
	})
}

type errNotFull string

func (e errNotFull) Error() string {
	return string(e) + " did not have its full limit in flight within the last second"
}

// checkColdLimits checks that no cold target ever had more requests in flight than its limit, that requests reached cold
// targets, and that the load filled a warm one.
func checkColdLimits(t *testing.T, c *cluster.Cluster) {
	t.Helper()
	coldPeak, coldRequests, warmPeak, violations := 0, 0, 0, 0
	reportViolation := func(format string, args ...any) {
		if violations++; violations <= maxPrinted {
			t.Errorf(format, args...)
		}
	}
	for vm, record := range c.Records() {
		for _, o := range record.Overloads {
			reportViolation("%s was overloaded at %d: %d in flight, limit %d", vm, o.TimeUnixMS, o.InFlight, o.Limit)
		}
		for _, g := range record.Generates {
			if g.Limit == 0 || g.Limit >= c.Options.FullLimit { // Refused, or warm.
				warmPeak = max(warmPeak, g.InFlight)
				continue
			}
			coldRequests, coldPeak = coldRequests+1, max(coldPeak, g.InFlight)
			if g.InFlight > g.Limit {
				reportViolation("%s had %d in flight at %d, limit %d", vm, g.InFlight, g.TimeUnixMS, g.Limit)
			}
		}
	}
	for i, s := range c.Services {
		record := s.Record()
		for _, o := range record.Overloads {
			reportViolation("service %d was overloaded at %d: %d in flight, limit %d", i, o.TimeUnixMS, o.InFlight, o.Limit)
		}
		for _, e := range record.Executions {
			if e.Limit < c.Options.FullLimit {
				coldRequests, coldPeak = coldRequests+1, max(coldPeak, e.InFlight)
			} else {
				warmPeak = max(warmPeak, e.InFlight)
			}
		}
	}
	if violations > maxPrinted {
		t.Errorf("%d violations in total", violations)
	}
	if coldRequests == 0 {
		t.Error("no target was cold under load")
	}
	if warmPeak < c.Options.FullLimit {
		t.Errorf("the load took at most %d of %d slots of a warm target", warmPeak, c.Options.FullLimit)
	}
	t.Logf("%d requests reached cold targets; highest in flight there %d, at warm ones %d", coldRequests, coldPeak, warmPeak)
}

// vmsInDomain returns the VMs of a failure domain.
func vmsInDomain(c *cluster.Cluster, domain string) (names []string) {
	for name, vm := range c.VMs {
		if vm.FailureDomain == domain {
			names = append(names, name)
		}
	}
	return names
}

// restartDomain restarts all engines and services of a failure domain at once.
func restartDomain(c *cluster.Cluster, domain string) {
	var wg sync.WaitGroup
	for _, vm := range vmsInDomain(c, domain) {
		wg.Go(func() { c.SetVMFaults(vm, engine.Faults{Restart: true}) })
	}
	for i, s := range c.Services {
		if c.Options.Domains[i%len(c.Options.Domains)] == domain {
			wg.Go(func() { s.SetFaults(service.Faults{Restart: true}) })
		}
	}
	wg.Wait()
}

// Guards against more requests in flight than the cold limit at a target that has just started.
func TestInvariantColdLimitAfterRestart(t *testing.T) {
	parallel(t)
	c := cluster.Start(t, coldOptions())
	stop := startFullLoad(c)
	defer checkColdLimits(t, c) // Even if waitWarm fails because repeated overloads keep a target cold.
	defer stop()
	waitWarm(t, c)
	_, vms := servingGroup(t, c, "fabric-fd-a")
	c.SetVMFaults(vms[0], engine.Faults{Restart: true})
	c.Services[0].SetFaults(service.Faults{Restart: true})
	waitWarm(t, c)
	restartDomain(c, "fd-b")
	waitWarm(t, c)
	// Node 0 is one of the two nodes in fd-a, which hold its targets.
	var wg sync.WaitGroup
	wg.Go(func() { restartDomain(c, "fd-a") })
	wg.Go(c.Nodes[0].Kill)
	wg.Wait()
	c.Launch(c.Nodes[0])
	c.WaitMembers()
	waitWarm(t, c)
}

func turnAllCold(c *cluster.Cluster) {
	for name := range c.VMs {
		c.SetVMFaults(name, engine.Faults{TurnCold: true})
	}
	for _, s := range c.Services {
		s.SetFaults(service.Faults{TurnCold: true})
	}
}

// Guards against more requests in flight than the cold limit at a target that turned cold without a restart and has reported
// it.
func TestInvariantColdLimitAfterColdReport(t *testing.T) {
	parallel(t)
	c := cluster.Start(t, coldOptions())
	stop := startFullLoad(c)
	waitWarm(t, c)
	stop()
	turnAllCold(c)
	probedByMS := nowMS() + freshnessBound.Milliseconds() // By then each target has been probed, or it gets no requests.
	harness.Eventually(t, repairLimit, func() error {
		if remaining := probedByMS - nowMS(); remaining > 0 {
			return fmt.Errorf("%d ms are left until every target has reported", remaining)
		}
		return nil
	})
	stop = startFullLoad(c)
	defer checkColdLimits(t, c)
	defer stop()
	waitWarm(t, c)
}

// Guards against more requests in flight than the cold limit at a target that turns cold without a restart under full load.
// Requests in flight at that moment don't count; those that arrive before a report can reach the holder do.
func TestInvariantTurnedColdUnderLoad(t *testing.T) {
	parallel(t)
	c := cluster.Start(t, coldOptions())
	stop := startFullLoad(c)
	waitWarm(t, c)
	_, vms := servingGroup(t, c, "fabric-fd-a")
	defer checkColdLimits(t, c)
	defer stop()
	t.Logf("the targets turn cold at %d", nowMS())
	c.SetVMFaults(vms[0], engine.Faults{TurnCold: true})
	c.Services[0].SetFaults(service.Faults{TurnCold: true})
	waitWarm(t, c)
}

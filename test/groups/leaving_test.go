package groups

import (
	"encoding/json"
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
	leavingBound     = 5 * time.Second // From the change of the VM list to the last new request for a group with a leaving VM.
	listLag          = time.Second
	longAnswerTokens = 1000             // About 2 s at 2 ms for each token.
	answerLimit      = 20 * time.Second // Deadline of requests to the pool: by then each answer has ended.
	// idleLimit is the longest time without a new request at a group that serves. The load sends the next request right after
	// an answer, most answers have 10 tokens, and this is the time of five of them.
	idleLimit = 5 * 10 * 2 * time.Millisecond
)

// startCheckedLoad starts a load with some long answers and checks that each answer is complete.
func startCheckedLoad(t *testing.T, c *cluster.Cluster) *cluster.Workers {
	return c.StartWorkers(8, func(d *cluster.Daemon, n int64) cluster.Answer {
		prompt, tokens := fmt.Sprintf("prompt %d", n), 10
		if n%50 == 0 {
			tokens = longAnswerTokens
		}
		a := c.Generate(d, prompt, tokens)
		if want := strings.Join(engine.Text(cluster.Model, prompt, tokens), ""); a.Status == 200 && !strings.Contains(a.Body, want) {
			t.Errorf("prompt %d was not answered completely: %v", n, a)
		}
		return a
	})
}

// readyGroupsWithout returns how many ready groups of a plan don't have the VM as a member.
func readyGroupsWithout(plan *schema.FabricDomain, vm string) (n int) {
	for id, g := range plan.Groups {
		if g.State == schema.GroupState_GROUP_STATE_READY && plan.Assignments[vm].GetGroup() != id {
			n++
		}
	}
	return n
}

// markLeaving marks a VM as leaving and waits until leavingBound has passed. It returns the time from which the VM list shows
// the change to nodes.
func markLeaving(c *cluster.Cluster, vm string) (shownMS int64) {
	c.VMs[vm].State = schema.VMState_VM_STATE_LEAVING
	shownMS = c.SetVMsWithLag(listLag)
	endMS := shownMS + (leavingBound + time.Second).Milliseconds()
	harness.Eventually(c.T, repairLimit, func() error {
		if remaining := endMS - nowMS(); remaining > 0 {
			return fmt.Errorf("%d ms of the observation period are left", remaining)
		}
		return nil
	})
	return shownMS
}

// endedGeneratesFor waits until no generate call for a group is running, or until answerLimit has passed, and returns all calls.
func endedGeneratesFor(c *cluster.Cluster, group string) (generates []engine.GenerateRecord) {
	for end := time.Now().Add(answerLimit); ; time.Sleep(20 * time.Millisecond) {
		generates = generatesFor(c, group)
		running := slices.ContainsFunc(generates, func(g engine.GenerateRecord) bool { return g.Outcome == "running" })
		if !running || time.Now().After(end) {
			return generates
		}
	}
}

// generatesFor returns the generate calls that VMs received for a group, by time.
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

// checkStopped checks that a group received no generate call later than leavingBound after the VM list showed the leaving
// member, and that all calls ended normally. It returns the time of the last call.
func checkStopped(t *testing.T, generates []engine.GenerateRecord, shownMS int64) (lastMS int64) {
	t.Helper()
	if len(generates) == 0 || generates[len(generates)-1].TimeUnixMS < shownMS-listLag.Milliseconds() {
		t.Fatal("the group received no generate call after the leaving member was written to the VM list")
	}
	longInFlight := false
	for _, g := range generates {
		if afterMS := g.TimeUnixMS - shownMS; afterMS > leavingBound.Milliseconds() {
			t.Errorf("a generate call for %s came %d ms after the VM list showed the leaving member", g.Group, afterMS)
		}
		if g.Outcome != "done" {
			t.Errorf("a generate call for %s at %d ended as %q", g.Group, g.TimeUnixMS, g.Outcome)
		}
		longInFlight = longInFlight || g.EndUnixMS > shownMS && g.EndUnixMS-g.TimeUnixMS > 1000
	}
	last := generates[len(generates)-1].TimeUnixMS
	t.Logf("last generate call for %s %d ms after the VM list showed the leaving member; long answer in flight: %t",
		generates[0].Group, last-shownMS, longInFlight)
	return last
}

// stopTime returns when the first node stopped sending new requests to a group, by the nodes' logs. The group's last request
// may be earlier, because a group that serves gets no requests while no caller asks.
func stopTime(t *testing.T, c *cluster.Cluster, group string) (ms int64) {
	t.Helper()
	for _, d := range c.Nodes {
		for line := range strings.Lines(d.Output()) {
			var entry struct {
				Time        time.Time
				Msg, Target string
			}
			if json.Unmarshal([]byte(line), &entry) != nil || entry.Msg != "target gets no new requests" || !strings.HasSuffix(entry.Target, "/"+group) {
				continue
			}
			if at := entry.Time.UnixMilli(); ms == 0 || at < ms {
				ms = at
			}
		}
	}
	if ms == 0 {
		t.Fatalf("no node logged that %s gets no new requests", group)
	}
	return ms
}

// Guards against new requests for a group with a leaving VM, against cutting off its requests in flight, and against a group
// that stops before its replacement is ready although there are enough spare VMs for a replacement.
func TestInvariantLeavingVM(t *testing.T) {
	parallel(t)
	o := cluster.Defaults()
	o.VMsPerDomain, o.Services = 6, 0
	c := cluster.Start(t, o)
	load := startCheckedLoad(t, c)
	key, vms := servingGroup(t, c, "fabric-fd-a")
	shownMS := markLeaving(c, vms[1])
	lastMS := checkStopped(t, endedGeneratesFor(c, key.group), shownMS)
	replacedMS := int64(0)
	for _, w := range c.Plans() {
		if replacedMS == 0 && w.Plan.Name == "fabric-fd-a" && w.TimeUnixMS >= shownMS-listLag.Milliseconds() && readyGroupsWithout(w.Plan, vms[1]) == 2 {
			replacedMS = w.TimeUnixMS
		}
	}
	stoppedMS := stopTime(t, c, key.group)
	t.Logf("after the VM list showed the leaving member: replacement ready %d ms, group stopped %d ms", replacedMS-shownMS, stoppedMS-shownMS)
	if replacedMS == 0 || stoppedMS < replacedMS || replacedMS-lastMS > idleLimit.Milliseconds() {
		t.Errorf("the group stopped %d ms after the VM list showed the leaving member, its last request came at %d ms, and its replacement was ready at %d ms",
			stoppedMS-shownMS, lastMS-shownMS, replacedMS-shownMS)
	}
	counts := load.PerSecond()
	for s := shownMS/1000 - 1; s < shownMS/1000+6; s++ {
		t.Logf("second %d after the VM list showed the leaving member: %+v", s-shownMS/1000, counts[s])
		if counts[s].Served == 0 || counts[s].Failed > 0 {
			t.Errorf("second %d after the VM list showed the leaving member: %+v", s-shownMS/1000, counts[s])
		}
	}

	// No VMs are left for a replacement of the second group. It stops anyway, and is repaired when the leaving VMs are deleted.
	key, secondVMs := servingGroup(t, c, "fabric-fd-a")
	shownMS = markLeaving(c, secondVMs[0])
	checkStopped(t, endedGeneratesFor(c, key.group), shownMS)
	delete(c.VMs, vms[1])
	delete(c.VMs, secondVMs[0])
	c.SetVMsWithLag(listLag)
	harness.Eventually(t, repairLimit, func() error {
		if n := readyGroupsWithout(currentPlans(c)["fabric-fd-a"], ""); n != 2 {
			return fmt.Errorf("%d groups are ready", n)
		}
		return nil
	})
	load.Stop()
	t.Logf("%d served, %d failed", load.Served.Load(), load.Failed.Load())
}

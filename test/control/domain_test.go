// Package control checks membership, configuration and holders with separate processes. The stand-ins' records judge.
package control

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"cassiadeal.example/cassiadeal/internal/cli"
	"cassiadeal.example/cassiadeal/internal/standin/platform"
	"cassiadeal.example/cassiadeal/internal/standin/service"
	"cassiadeal.example/cassiadeal/test/cluster"
	"cassiadeal.example/cassiadeal/test/harness"
)

const (
	domainRemovalBound = 5 * time.Second // From the acceptance of an apply to the last new request of a domain taken out.
	configApplyBound   = 6 * time.Second // From the write of a configuration to its being in force everywhere.
	waitTimeout        = 30 * time.Second
	freezeDuration     = 8 * time.Second // Of a freeze.
	// restartFaultDuration is the time of a fault under which a restarted node gets its targets back, after term and margin.
	restartFaultDuration = 14 * time.Second
)

func TestMain(m *testing.M) { os.Exit(harness.Main(m)) }

// slots bounds the clusters that run at once.
var clusterSlots = make(chan struct{}, 3)

func runParallel(t *testing.T) {
	t.Parallel()
	clusterSlots <- struct{}{}
	t.Cleanup(func() { <-clusterSlots })
}

// run is a cluster under load. Node 2 is in fd-b, the domain taken out; it holds the targets there and gets the faults.
type loadedCluster struct {
	*cluster.Cluster
	load *cluster.Load
	node *cluster.Daemon
}

func startLoaded(t *testing.T) *loadedCluster {
	o := cluster.Defaults()
	o.EngineArgs = []string{"--token-delay=20ms", "--load-time=200ms"}
	c := cluster.Start(t, o)
	r := &loadedCluster{Cluster: c, node: c.Nodes[2]}
	t.Cleanup(func() {
		if overloads := c.Overloads(); len(overloads) > 0 {
			t.Errorf("%d times a cold target got more than it bears: %.600v", len(overloads), overloads)
		}
	})
	for _, s := range c.Services { // So that two holders' requests overlap.
		s.Faults(service.Faults{DelayMS: new(int64(200))})
	}
	r.load = c.StartLoad(cluster.LoadOptions{Generate: 14, Service: 6, Tokens: 8, LongTokens: 100, LongEvery: 10, Pause: 20 * time.Millisecond})
	harness.Eventually(t, waitTimeout, func() error {
		counts := map[string]int{}
		for _, req := range c.ReceivedRequests() {
			counts[req.Target]++
		}
		loaded := 0
		for _, n := range counts {
			if n >= 10 {
				loaded++
			}
		}
		if want := o.Replicas + o.Services; loaded < want {
			return fmt.Errorf("%d of %d targets are under load: %v", loaded, want, counts)
		}
		return nil
	})
	return r
}

// outcome is how one apply ended.
type applyResult struct {
	exitCode int
	output   string
	ended    time.Time
}

// apply starts an apply at a node.
func (r *loadedCluster) startApply(d *cluster.Daemon, name, text, base string) <-chan applyResult {
	file := filepath.Join(r.Dir, name+".ini")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		r.T.Fatal(err)
	}
	done := make(chan applyResult, 1)
	p := harness.Start(r.T, "cassiadeal", "--node", d.Operator, "apply", "--author", name, "--base", base, file)
	go func() {
		<-p.Exited()
		ended := time.Now()
		done <- applyResult{p.WaitExit(waitTimeout), p.Output(), ended}
	}()
	return done
}

// answered waits until the node has answered so many requests that began after a time and meet a condition.
func (r *loadedCluster) waitForAnswers(d *cluster.Daemon, after time.Time, count int, what string, match func(cluster.CompletedRequest) bool) {
	r.T.Helper()
	harness.Eventually(r.T, waitTimeout, func() error {
		n := 0
		for _, req := range r.load.Completed() {
			if req.Node == d && req.Start.After(after) && match(req) {
				n++
			}
		}
		if n < count {
			return fmt.Errorf("%s: %d of %d answers: %s", d.NodeName, n, count, what)
		}
		return nil
	})
}

func waitUntil(t *testing.T, at time.Time) {
	t.Helper()
	harness.Eventually(t, time.Until(at)+waitTimeout, func() error {
		if time.Now().Before(at) {
			return fmt.Errorf("time %s is not reached", at)
		}
		return nil
	})
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func isComplete(req cluster.CompletedRequest) bool { return req.Complete }

// configWritesStarted counts the writes of the configuration that have begun.
func (r *loadedCluster) configWritesStarted() (n int) {
	for _, c := range r.Platform.Record().Calls {
		if c.Method == "PUT" && c.Kind == "config" {
			n += c.Count
		}
	}
	return n
}

// cutNode cuts the node from its peers and the platform.
func cutNode(out, in bool) func(*loadedCluster) {
	return func(r *loadedCluster) {
		r.CutPeers(r.node, out, in)
		r.CutPlatform(r.node, out, in)
	}
}

func setConfigMode(mode string) func(*loadedCluster) {
	return func(r *loadedCluster) { r.Platform.Faults(platform.Faults{Mode: mode, Kinds: []string{"config"}}) }
}

func restorePlatform(r *loadedCluster) { r.Platform.Faults(platform.Faults{}) }

// Guards against a node that sends work to a failure domain after operators took it out, against a configuration that is
// not in force everywhere in time or reverts, and against work in flight that is cut off by the change.
func TestInvariantDomainOut(t *testing.T) {
	for _, tc := range []struct {
		name           string
		beforeApply    func(*loadedCluster) // Before the apply.
		duringWrite    func(*loadedCluster) // When the write has begun; it takes effect later.
		afterWrite     func(*loadedCluster) // When the write has taken effect.
		afterApply     func(*loadedCluster) // When the apply has ended.
		repair         func(*loadedCluster) // At the bound, and not before healAt after the write.
		repairAfter    time.Duration        // Since the write.
		exitCodes      []int                // Exit codes that the apply may have; 0 if empty.
		uninformed     bool                 // The node can't learn of the configuration before heal.
		mayLoseAnswers bool                 // Requests may end without their answer.
	}{
		{name: "plain"},
		{name: "killed", duringWrite: func(r *loadedCluster) { r.node.Kill() }, mayLoseAnswers: true},
		{name: "frozen", duringWrite: func(r *loadedCluster) { r.node.Freeze() }, repair: func(r *loadedCluster) { r.node.Thaw() }, repairAfter: freezeDuration, mayLoseAnswers: true},
		{name: "cut off", duringWrite: cutNode(true, true), repair: func(r *loadedCluster) { r.RestoreNetwork() }, uninformed: true, mayLoseAnswers: true},
		// A node that is heard isn't proved stopped, so the apply isn't accepted.
		{name: "hears nothing", duringWrite: cutNode(false, true), repair: func(r *loadedCluster) { r.RestoreNetwork() }, exitCodes: []int{cli.ExitNotInForce}, uninformed: true, mayLoseAnswers: true},
		{name: "is not heard", duringWrite: cutNode(true, false), repair: func(r *loadedCluster) { r.RestoreNetwork() }, mayLoseAnswers: true},
		{name: "reply lost", beforeApply: setConfigMode(platform.ModeLoseReplies), afterWrite: restorePlatform},
		{name: "platform down", afterWrite: func(r *loadedCluster) { r.Platform.Faults(platform.Faults{Mode: platform.ModeDown}) }, repair: restorePlatform,
			exitCodes: []int{cli.ExitOK, cli.ExitNotInForce}},
		{name: "stale reads", beforeApply: setConfigMode(platform.ModeStaleReads), repair: restorePlatform},
		{name: "restart at stale reads", beforeApply: setConfigMode(platform.ModeStaleReads), afterApply: func(r *loadedCluster) { r.node.Kill(); r.Launch(r.node) },
			repair: restorePlatform, repairAfter: restartFaultDuration, mayLoseAnswers: true},
		{name: "cut restart at stale reads", beforeApply: setConfigMode(platform.ModeStaleReads), afterApply: func(r *loadedCluster) {
			r.node.Kill()
			r.CutPeers(r.node, true, true)
			r.Launch(r.node)
		}, repair: func(r *loadedCluster) { r.RestoreNetwork(); restorePlatform(r) }, uninformed: true, mayLoseAnswers: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runParallel(t)
			r := startLoaded(t)
			writes, writesStarted := len(r.ConfigWrites()), r.configWritesStarted()
			switch {
			case tc.beforeApply != nil:
				tc.beforeApply(r)
			case tc.duringWrite != nil: // A slow write, so that the fault begins before any node learns of the revision.
				r.Platform.Faults(platform.Faults{Mode: platform.ModeSlow, DelayMS: 200, Kinds: []string{"config"}, Clients: []string{"node-0"}})
			}
			var faultStart time.Time // Of the fault.
			done := r.startApply(r.Nodes[0], "out", r.Rules([]string{"fd-b"}), "current")
			if tc.duringWrite != nil {
				r.waitFor("the write to begin", func() bool { return r.configWritesStarted() > writesStarted })
				faultStart = time.Now()
				tc.duringWrite(r)
			}
			r.waitFor("the write", func() bool { return len(r.ConfigWrites()) > writes })
			if tc.duringWrite != nil {
				restorePlatform(r)
			}
			if tc.afterWrite != nil {
				tc.afterWrite(r)
			}
			result := <-done
			if len(tc.exitCodes) == 0 {
				tc.exitCodes = []int{cli.ExitOK}
			}
			if !slices.Contains(tc.exitCodes, result.exitCode) {
				t.Fatalf("apply exited with %d: %s", result.exitCode, result.output)
			}
			if tc.afterApply != nil {
				tc.afterApply(r)
			}
			written := time.UnixMilli(r.ConfigWrites()[writes].TimeUnixMS)
			bound := written.Add(configApplyBound)
			if accepted := result.ended.Add(domainRemovalBound); result.exitCode == cli.ExitOK && accepted.Before(bound) {
				bound = accepted
			}
			if tc.repair != nil {
				waitUntil(t, latest(bound, written.Add(tc.repairAfter)))
				if tc.uninformed {
					r.waitForAnswers(r.node, bound, 10, "refused as not run", func(s cluster.CompletedRequest) bool { return s.Answer.NotRun })
				}
				repaired := time.Now()
				tc.repair(r)
				if tc.uninformed {
					r.checkNoneServed(bound, repaired)
				}
				r.waitForAnswers(r.node, repaired, 20, "whole", isComplete)
			}
			waitUntil(t, bound.Add(time.Second))
			r.waitForAnswers(r.Nodes[0], bound, 20, "whole", isComplete)
			r.load.Stop()
			if n := len(r.ConfigWrites()); n != writes+1 {
				t.Errorf("%d configurations were written, want 1", n-writes)
			}
			if tc.duringWrite == nil {
				faultStart = written
			}
			r.checkDomainOut("fd-b", faultStart, written, bound, !tc.mayLoseAnswers)
		})
	}
}

func (r *loadedCluster) waitFor(what string, done func() bool) {
	r.T.Helper()
	harness.Eventually(r.T, waitTimeout, func() error {
		if !done() {
			return fmt.Errorf("waiting for %s", what)
		}
		return nil
	})
}

// checkNoneServed checks that the node answered nothing that began within a time.
func (r *loadedCluster) checkNoneServed(from, to time.Time) {
	r.T.Helper()
	for _, req := range r.load.Completed() {
		if req.Node == r.node && req.Start.After(from) && req.End.Before(to) && !req.Answer.NotRun {
			r.T.Errorf("%s answered without the configuration, %s after the bound: %s", req.Node.NodeName, req.Start.Sub(from), req.Answer)
			return
		}
	}
}

// checkDomainOut checks by the stand-ins' records that a domain got no request after the bound, that it was under load when the
// fault or the change began, and that the other domain went on.
func (r *loadedCluster) checkDomainOut(domain string, faultStart, written, bound time.Time, wantComplete bool) {
	r.T.Helper()
	requestsAfterBound, inFlight, elsewhere := 0, 0, 0
	var last cluster.ReceivedRequest
	for _, req := range r.ReceivedRequests() {
		if req.Domain != domain {
			if req.Start.After(bound) {
				elsewhere++
			}
			continue
		}
		if req.Start.After(last.Start) {
			last = req
		}
		if req.Start.After(bound) {
			requestsAfterBound++
		}
		if req.Start.Before(faultStart) && req.End.After(faultStart) {
			inFlight++
		}
		if wantComplete && req.Outcome != "" && req.Outcome != "done" {
			r.T.Errorf("work at %s ended as %q, %s after the write", req.Target, req.Outcome, req.End.Sub(written))
		}
	}
	r.T.Logf("%s: last request in %s: %s after the write; bound %s; in flight then: %d; elsewhere after the bound: %d",
		r.T.Name(), domain, last.Start.Sub(written), bound.Sub(written), inFlight, elsewhere)
	if requestsAfterBound > 0 {
		r.T.Errorf("%s got %d requests after the bound, the last %s after it at %s", domain, requestsAfterBound, last.Start.Sub(bound), last.Target)
	}
	if inFlight == 0 || elsewhere == 0 {
		r.T.Errorf("the test proves nothing: %d in flight at the begin, %d elsewhere afterwards", inFlight, elsewhere)
	}
	for _, req := range r.load.Completed() {
		if wantComplete && !req.Complete && !req.Answer.NotRun {
			r.T.Errorf("%s after the write, %s gave neither the whole answer nor a refusal: %s", req.Start.Sub(written), req.Node.NodeName, req.Answer)
			break
		}
	}
}

// Guards against two operators who both believe that their change is in force, and against traces of the refused one.
func TestInvariantRacingOperators(t *testing.T) {
	runParallel(t)
	r := startLoaded(t)
	writes := len(r.ConfigWrites())
	// Both reads and both writes are slow, so that both operators read the same revision before either writes.
	r.Platform.Faults(platform.Faults{Mode: platform.ModeSlow, DelayMS: 200, Kinds: []string{"config"}})
	domains := r.Options.Domains
	var done []<-chan applyResult
	for i, domain := range domains {
		done = append(done, r.startApply(r.Nodes[i], domain, r.Rules([]string{domain}), "1"))
	}
	results := []applyResult{<-done[0], <-done[1]}
	restorePlatform(r)
	winner := slices.IndexFunc(results, func(o applyResult) bool { return o.exitCode == cli.ExitOK })
	if winner < 0 || results[1-winner].exitCode != cli.ExitConflict {
		t.Fatalf("want one accepted apply and one conflict: %+v", results)
	}
	record := r.ConfigWrites()[writes:]
	if len(record) != 1 || !strings.Contains(string(record[0].Data), domains[winner]+" = state=out") {
		t.Fatalf("the platform accepted %d configurations, want the winner's: %+v", len(record), record)
	}
	written := time.UnixMilli(record[0].TimeUnixMS)
	bound := results[winner].ended.Add(domainRemovalBound)
	waitUntil(t, bound.Add(time.Second))
	r.waitForAnswers(r.Nodes[0], bound, 20, "whole", isComplete)
	r.load.Stop()
	r.checkDomainOut(domains[winner], written, written, bound, true)
	served := map[string]bool{}
	for _, req := range r.ReceivedRequests() {
		if req.Domain == domains[1-winner] && req.Start.After(bound) {
			served[req.Target] = true
		}
	}
	if want := (r.Options.Replicas + r.Options.Services) / 2; len(served) != want {
		t.Errorf("%d of %d targets of %s got requests, though the change that takes it out was refused", len(served), want, domains[1-winner])
	}
}

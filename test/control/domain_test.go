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
	outBound    = 5 * time.Second // From the acceptance of an apply to the last new request of a domain taken out.
	configBound = 6 * time.Second // From the write of a configuration to its being in force everywhere.
	waitLimit   = 30 * time.Second
	faultTime   = 8 * time.Second // Of a freeze.
	// restartTime is the time of a fault under which a restarted node gets its targets back, after term and margin.
	restartTime = 14 * time.Second
)

func TestMain(m *testing.M) { os.Exit(harness.Main(m)) }

// slots bounds the clusters that run at once.
var slots = make(chan struct{}, 3)

func parallel(t *testing.T) {
	t.Parallel()
	slots <- struct{}{}
	t.Cleanup(func() { <-slots })
}

// run is a cluster under load. Node 2 is in fd-b, the domain taken out; it holds the targets there and gets the faults.
type run struct {
	*cluster.Cluster
	load *cluster.Load
	node *cluster.Daemon
}

func start(t *testing.T) *run {
	o := cluster.Defaults()
	o.EngineArgs = []string{"--token-delay=20ms", "--load-time=200ms"}
	c := cluster.Start(t, o)
	r := &run{Cluster: c, node: c.Nodes[2]}
	t.Cleanup(func() {
		if overloads := c.Overloads(); len(overloads) > 0 {
			t.Errorf("%d times a cold target got more than it bears: %.600v", len(overloads), overloads)
		}
	})
	for _, s := range c.Services { // So that two holders' requests overlap.
		s.Faults(service.Faults{DelayMS: new(int64(200))})
	}
	r.load = c.StartLoad(cluster.LoadOptions{Generate: 14, Service: 6, Tokens: 8, LongTokens: 100, LongEvery: 10, Pause: 20 * time.Millisecond})
	harness.Eventually(t, waitLimit, func() error {
		counts := map[string]int{}
		for _, receipt := range c.Receipts() {
			counts[receipt.Target]++
		}
		busy := 0
		for _, n := range counts {
			if n >= 10 {
				busy++
			}
		}
		if want := o.Replicas + o.Services; busy < want {
			return fmt.Errorf("%d of %d targets are under load: %v", busy, want, counts)
		}
		return nil
	})
	return r
}

// outcome is how one apply ended.
type outcome struct {
	code  int
	out   string
	ended time.Time
}

// apply starts an apply at a node.
func (r *run) apply(d *cluster.Daemon, name, text, base string) <-chan outcome {
	file := filepath.Join(r.Dir, name+".ini")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		r.T.Fatal(err)
	}
	done := make(chan outcome, 1)
	p := harness.Start(r.T, "cassiadeal", "--node", d.Operator, "apply", "--author", name, "--base", base, file)
	go func() {
		<-p.Exited()
		ended := time.Now()
		done <- outcome{p.WaitExit(waitLimit), p.Output(), ended}
	}()
	return done
}

// answered waits until the node has answered so many requests that began after a time and meet a condition.
func (r *run) answered(d *cluster.Daemon, after time.Time, count int, what string, meets func(cluster.Sent) bool) {
	r.T.Helper()
	harness.Eventually(r.T, waitLimit, func() error {
		n := 0
		for _, s := range r.load.Sent() {
			if s.Node == d && s.Begin.After(after) && meets(s) {
				n++
			}
		}
		if n < count {
			return fmt.Errorf("%s: %d of %d answers: %s", d.NodeName, n, count, what)
		}
		return nil
	})
}

func until(t *testing.T, at time.Time) {
	t.Helper()
	harness.Eventually(t, time.Until(at)+waitLimit, func() error {
		if time.Now().Before(at) {
			return fmt.Errorf("time %s is not reached", at)
		}
		return nil
	})
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func whole(s cluster.Sent) bool { return s.Whole }

// configPuts counts the writes of the configuration that have begun.
func (r *run) configPuts() (n int) {
	for _, c := range r.Platform.Record().Calls {
		if c.Method == "PUT" && c.Kind == "config" {
			n += c.Count
		}
	}
	return n
}

// cutNode cuts the node from its peers and the platform.
func cutNode(out, in bool) func(*run) {
	return func(r *run) {
		r.CutPeers(r.node, out, in)
		r.CutPlatform(r.node, out, in)
	}
}

func configMode(mode string) func(*run) {
	return func(r *run) { r.Platform.Faults(platform.Faults{Mode: mode, Kinds: []string{"config"}}) }
}

func platformUp(r *run) { r.Platform.Faults(platform.Faults{}) }

// Guards against a node that sends work to a failure domain after operators took it out, against a configuration that is
// not in force everywhere in time or reverts, and against work in flight that is cut off by the change.
func TestInvariantDomainOut(t *testing.T) {
	for _, tc := range []struct {
		name    string
		before  func(*run)    // Before the apply.
		during  func(*run)    // When the write has begun; it takes effect later.
		written func(*run)    // When the write has taken effect.
		ended   func(*run)    // When the apply has ended.
		heal    func(*run)    // At the bound, and not before healAt after the write.
		healAt  time.Duration // Since the write.
		codes   []int         // Exit codes that the apply may have; 0 if empty.
		ignores bool          // The node can't learn of the configuration before heal.
		broken  bool          // Requests may end without their answer.
	}{
		{name: "plain"},
		{name: "killed", during: func(r *run) { r.node.Kill() }, broken: true},
		{name: "frozen", during: func(r *run) { r.node.Freeze() }, heal: func(r *run) { r.node.Thaw() }, healAt: faultTime, broken: true},
		{name: "cut off", during: cutNode(true, true), heal: func(r *run) { r.Restore() }, ignores: true, broken: true},
		// A node that is heard isn't proved stopped, so the apply isn't accepted.
		{name: "hears nothing", during: cutNode(false, true), heal: func(r *run) { r.Restore() }, codes: []int{cli.ExitNotInForce}, ignores: true, broken: true},
		{name: "is not heard", during: cutNode(true, false), heal: func(r *run) { r.Restore() }, broken: true},
		{name: "reply lost", before: configMode(platform.ModeLoseReplies), written: platformUp},
		{name: "platform down", written: func(r *run) { r.Platform.Faults(platform.Faults{Mode: platform.ModeDown}) }, heal: platformUp,
			codes: []int{cli.ExitOK, cli.ExitNotInForce}},
		{name: "stale reads", before: configMode(platform.ModeStaleReads), heal: platformUp},
		{name: "restart at stale reads", before: configMode(platform.ModeStaleReads), ended: func(r *run) { r.node.Kill(); r.Launch(r.node) },
			heal: platformUp, healAt: restartTime, broken: true},
		{name: "cut restart at stale reads", before: configMode(platform.ModeStaleReads), ended: func(r *run) {
			r.node.Kill()
			r.CutPeers(r.node, true, true)
			r.Launch(r.node)
		}, heal: func(r *run) { r.Restore(); platformUp(r) }, ignores: true, broken: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			parallel(t)
			r := start(t)
			writes, puts := len(r.ConfigWrites()), r.configPuts()
			switch {
			case tc.before != nil:
				tc.before(r)
			case tc.during != nil: // A slow write, so that the fault begins before any node learns of the revision.
				r.Platform.Faults(platform.Faults{Mode: platform.ModeSlow, DelayMS: 200, Kinds: []string{"config"}, Clients: []string{"node-0"}})
			}
			var begun time.Time // Of the fault.
			done := r.apply(r.Nodes[0], "out", r.Rules([]string{"fd-b"}), "current")
			if tc.during != nil {
				r.await("the write to begin", func() bool { return r.configPuts() > puts })
				begun = time.Now()
				tc.during(r)
			}
			r.await("the write", func() bool { return len(r.ConfigWrites()) > writes })
			if tc.during != nil {
				platformUp(r)
			}
			if tc.written != nil {
				tc.written(r)
			}
			result := <-done
			if len(tc.codes) == 0 {
				tc.codes = []int{cli.ExitOK}
			}
			if !slices.Contains(tc.codes, result.code) {
				t.Fatalf("apply exited with %d: %s", result.code, result.out)
			}
			if tc.ended != nil {
				tc.ended(r)
			}
			written := time.UnixMilli(r.ConfigWrites()[writes].TimeUnixMS)
			bound := written.Add(configBound)
			if accepted := result.ended.Add(outBound); result.code == cli.ExitOK && accepted.Before(bound) {
				bound = accepted
			}
			if tc.heal != nil {
				until(t, later(bound, written.Add(tc.healAt)))
				if tc.ignores {
					r.answered(r.node, bound, 10, "refused as not run", func(s cluster.Sent) bool { return s.Answer.NotRun })
				}
				healed := time.Now()
				tc.heal(r)
				if tc.ignores {
					r.noneServed(bound, healed)
				}
				r.answered(r.node, healed, 20, "whole", whole)
			}
			until(t, bound.Add(time.Second))
			r.answered(r.Nodes[0], bound, 20, "whole", whole)
			r.load.Stop()
			if n := len(r.ConfigWrites()); n != writes+1 {
				t.Errorf("%d configurations were written, want 1", n-writes)
			}
			if tc.during == nil {
				begun = written
			}
			r.judgeOut("fd-b", begun, written, bound, !tc.broken)
		})
	}
}

func (r *run) await(what string, done func() bool) {
	r.T.Helper()
	harness.Eventually(r.T, waitLimit, func() error {
		if !done() {
			return fmt.Errorf("waiting for %s", what)
		}
		return nil
	})
}

// noneServed checks that the node answered nothing that began within a time.
func (r *run) noneServed(from, to time.Time) {
	r.T.Helper()
	for _, s := range r.load.Sent() {
		if s.Node == r.node && s.Begin.After(from) && s.End.Before(to) && !s.Answer.NotRun {
			r.T.Errorf("%s answered without the configuration, %s after the bound: %s", s.Node.NodeName, s.Begin.Sub(from), s.Answer)
			return
		}
	}
}

// judgeOut checks by the stand-ins' records that a domain got no request after the bound, that it was under load when the
// fault or the change began, and that the other domain went on.
func (r *run) judgeOut(domain string, begun, written, bound time.Time, unbroken bool) {
	r.T.Helper()
	late, inFlight, elsewhere := 0, 0, 0
	var last cluster.Receipt
	for _, receipt := range r.Receipts() {
		if receipt.Domain != domain {
			if receipt.Time.After(bound) {
				elsewhere++
			}
			continue
		}
		if receipt.Time.After(last.Time) {
			last = receipt
		}
		if receipt.Time.After(bound) {
			late++
		}
		if receipt.Time.Before(begun) && receipt.End.After(begun) {
			inFlight++
		}
		if unbroken && receipt.Outcome != "" && receipt.Outcome != "done" {
			r.T.Errorf("work at %s ended as %q, %s after the write", receipt.Target, receipt.Outcome, receipt.End.Sub(written))
		}
	}
	r.T.Logf("%s: last request in %s: %s after the write; bound %s; in flight then: %d; elsewhere after the bound: %d",
		r.T.Name(), domain, last.Time.Sub(written), bound.Sub(written), inFlight, elsewhere)
	if late > 0 {
		r.T.Errorf("%s got %d requests after the bound, the last %s after it at %s", domain, late, last.Time.Sub(bound), last.Target)
	}
	if inFlight == 0 || elsewhere == 0 {
		r.T.Errorf("the test proves nothing: %d in flight at the begin, %d elsewhere afterwards", inFlight, elsewhere)
	}
	for _, s := range r.load.Sent() {
		if unbroken && !s.Whole && !s.Answer.NotRun {
			r.T.Errorf("%s after the write, %s gave neither the whole answer nor a refusal: %s", s.Begin.Sub(written), s.Node.NodeName, s.Answer)
			break
		}
	}
}

// Guards against two operators who both believe that their change is in force, and against traces of the refused one.
func TestInvariantRacingOperators(t *testing.T) {
	parallel(t)
	r := start(t)
	writes := len(r.ConfigWrites())
	// Both reads and both writes are slow, so that both operators read the same revision before either writes.
	r.Platform.Faults(platform.Faults{Mode: platform.ModeSlow, DelayMS: 200, Kinds: []string{"config"}})
	domains := r.Options.Domains
	var done []<-chan outcome
	for i, domain := range domains {
		done = append(done, r.apply(r.Nodes[i], domain, r.Rules([]string{domain}), "1"))
	}
	results := []outcome{<-done[0], <-done[1]}
	platformUp(r)
	won := slices.IndexFunc(results, func(o outcome) bool { return o.code == cli.ExitOK })
	if won < 0 || results[1-won].code != cli.ExitConflict {
		t.Fatalf("want one accepted apply and one conflict: %+v", results)
	}
	record := r.ConfigWrites()[writes:]
	if len(record) != 1 || !strings.Contains(string(record[0].Data), domains[won]+" = state=out") {
		t.Fatalf("the platform accepted %d configurations, want the winner's: %+v", len(record), record)
	}
	written := time.UnixMilli(record[0].TimeUnixMS)
	bound := results[won].ended.Add(outBound)
	until(t, bound.Add(time.Second))
	r.answered(r.Nodes[0], bound, 20, "whole", whole)
	r.load.Stop()
	r.judgeOut(domains[won], written, written, bound, true)
	served := map[string]bool{}
	for _, receipt := range r.Receipts() {
		if receipt.Domain == domains[1-won] && receipt.Time.After(bound) {
			served[receipt.Target] = true
		}
	}
	if want := (r.Options.Replicas + r.Options.Services) / 2; len(served) != want {
		t.Errorf("%d of %d targets of %s got requests, though the change that takes it out was refused", len(served), want, domains[1-won])
	}
}

package cli_test

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"cassiadeal.example/cassiadeal/internal/cli"
	"cassiadeal.example/cassiadeal/internal/operator"
	"cassiadeal.example/cassiadeal/internal/result"
	"cassiadeal.example/cassiadeal/internal/schema"
)

// fakeBackend is the backend of node a, which is served by the real operator handler. Its status also lists a node b.
type fakeBackend struct {
	mu              sync.Mutex
	config          operator.Config
	otherBehind     bool // Node b never reports a new revision.
	otherStopped    bool // Node b is proved to have stopped.
	missing         []string
	replacementText string // Text of another author that is stored in place of an applied one.
	applyError      error
	vms             []*schema.VM
	targets         []operator.TargetStatus
}

func (b *fakeBackend) Healthy() error                            { return nil }
func (b *fakeBackend) Ready() error                              { return nil }
func (b *fakeBackend) VMs(context.Context) ([]*schema.VM, error) { return b.vms, nil }
func (b *fakeBackend) Config(context.Context) (operator.Config, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.config, nil
}

func (b *fakeBackend) Status(ctx context.Context) (operator.Status, error) {
	config, _ := b.Config(ctx)
	otherRevision := config.Revision
	if b.otherBehind {
		otherRevision = 0
	}
	return operator.Status{Node: "a", RightToServe: true, Targets: b.targets, Nodes: []operator.NodeStatus{
		{Name: "a", FailureDomain: "fd-a", ConfigRevision: config.Revision}, {Name: "b", FailureDomain: "fd-b", ConfigRevision: otherRevision, Stopped: b.otherStopped},
	}}, nil
}

func (b *fakeBackend) Apply(_ context.Context, change operator.Change) (operator.Applied, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.applyError != nil {
		return operator.Applied{}, b.applyError
	}
	change.Text = cmp.Or(b.replacementText, change.Text)
	b.config = operator.Config{Revision: change.BaseRevision + 1, Rules: change.Text, Author: change.Author}
	return operator.Applied{Revision: b.config.Revision, Missing: b.missing}, nil
}

// startServer serves the backend and returns the address. If loseApply is set, the connection of a POST request is closed
// after the backend has run it, without a reply.
func startServer(t *testing.T, backend *fakeBackend, loseApply bool) string {
	log := logrus.New()
	log.SetOutput(io.Discard)
	h := operator.NewHandler(operator.Options{Backend: backend, Metrics: http.NotFoundHandler(), Log: logrus.NewEntry(log)})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if loseApply && r.Method == http.MethodPost {
			h.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}
		h.ServeHTTP(w, r)
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

func run(args ...string) (code int, stdout, stderr string) {
	var out, err bytes.Buffer
	code = cli.Run(context.Background(), cli.Options{
		Stdout: &out, Stderr: &err, Getenv: func(string) string { return "" },
		Demo: func(_ context.Context, args []string, w, _ io.Writer) error {
			return errors.New(strings.Join(args, " "))
		},
	}, args)
	return code, out.String(), err.String()
}

func writeRulesFile(t *testing.T, text string) string {
	path := filepath.Join(t.TempDir(), "new.ini")
	qt.Assert(t, os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	return path
}

const (
	domains       = "[failure_domains]\nfd-a = state=in # Ann\nfd-b = state=in # Ann\n"
	domainsOneOut = "[failure_domains]\nfd-a = state=out # Bo\nfd-b = state=in # Ann\n"
	// unreachableAddress refuses connections: port 1 of the loopback interface has no listener.
	unreachableAddress = "127.0.0.1:1"
)

// Guards against an apply that reports success without proof, or failure although the text was written.
func TestApplyExitCodes(t *testing.T) {
	for _, test := range []struct {
		name      string
		backend   *fakeBackend
		text      string
		loseReply bool
		args      []string
		code      int
		want      string
	}{
		{"accepted", &fakeBackend{}, domainsOneOut, false, nil, cli.ExitOK, "revision 8 is in force everywhere"},
		{"same text", &fakeBackend{}, domains, false, nil, cli.ExitOK, "already written as revision 7"},
		{"same text, other stopped", &fakeBackend{otherBehind: true, otherStopped: true}, domains, false, nil, cli.ExitOK, "on every listed node"},
		{"same text, one behind", &fakeBackend{otherBehind: true}, domains, false, nil, cli.ExitNotInForce, "missing: b"},
		{"invalid", &fakeBackend{}, "x", false, nil, cli.ExitInvalid, "new.ini:1:1: expected"},
		{"conflict", &fakeBackend{applyError: result.New(result.RevisionConflict, "base 3")}, domainsOneOut, false, []string{"--base", "3"}, cli.ExitConflict, "nothing was written"},
		{"no revision", &fakeBackend{}, domainsOneOut, false, []string{"--base", "x"}, cli.ExitUsage, "must be a revision"},
		{"missing", &fakeBackend{missing: []string{"node-c"}}, domainsOneOut, false, nil, cli.ExitNotInForce, "missing: node-c"},
		{"refused as not run", &fakeBackend{applyError: result.New(result.PlatformUnavailable, "outage")}, domainsOneOut, false, nil, cli.ExitNoNode, "platform_unavailable (2009): outage"},
		{"outcome unknown to the node", &fakeBackend{applyError: result.New(result.ApplyUnknown, "x")}, domainsOneOut, false, nil, cli.ExitUnknown, "outcome is unknown"},
		{"reply lost, written", &fakeBackend{}, domainsOneOut, true, nil, cli.ExitOK, "revision 8 is in force on every listed node"},
		{"reply lost, one behind", &fakeBackend{otherBehind: true}, domainsOneOut, true, nil, cli.ExitNotInForce, "missing: b"},
		{"reply lost, other text", &fakeBackend{replacementText: domains}, domainsOneOut, true, nil, cli.ExitUnknown, "may still be written"},
		{"reply lost, not written", &fakeBackend{applyError: result.New(result.RevisionConflict, "x")}, domainsOneOut, true, nil, cli.ExitUnknown, "may still be written"},
	} {
		t.Run(test.name, func(t *testing.T) {
			test.backend.config = operator.Config{Revision: 7, Rules: domains}
			address := unreachableAddress + "," + startServer(t, test.backend, test.loseReply)
			args := append([]string{"apply", writeRulesFile(t, test.text), "--author", "Ann", "--node", address, "--timeout", "400ms", "--base", "7"}, test.args...)
			code, stdout, stderr := run(args...)
			qt.Check(t, code, qt.Equals, test.code, qt.Commentf("%s%s", stdout, stderr))
			qt.Check(t, stdout+stderr, qt.Contains, test.want)
		})
	}
}

// Guards against wrong exit codes and against messages that leave out what an operator needs.
func TestCommands(t *testing.T) {
	t.Setenv("CASSIADEAL_NODE", "")
	const service = domains + "[services]\ns = targets=10.0.0.1:80@fd-a,10.0.0.2:80@fd-b cold_limit=1 full_limit=8 # Ann\n"
	backend := &fakeBackend{config: operator.Config{Revision: 7, Rules: service, Author: "Ann"}}
	address := startServer(t, backend, false)
	stating := startServer(t, &fakeBackend{targets: []operator.TargetStatus{{ID: "t1", State: "warm", RatePerSecond: new(2.5), PausedMS: 1500}}}, false)
	changed := writeRulesFile(t, strings.Replace(service, "fd-a = state=in # Ann", "fd-a = state=out # Bo", 1))
	big := writeRulesFile(t, service+"[pools]\np = model=m vms=9 replicas=1 cold_limit=1 full_limit=1 # Cy\n")
	for _, test := range []struct {
		args string
		code int
		want string
	}{
		{"", cli.ExitUsage, "a subcommand is missing"},
		{"status --nodes x", cli.ExitUsage, "unknown argument --nodes"},
		{"status", cli.ExitUsage, "--node is missing"},
		{"status --node " + unreachableAddress, cli.ExitNoNode, "connection refused"},
		{"status --node " + address, cli.ExitOK, "right to serve: true"},
		{"status --node " + stating, cli.ExitOK, "2.5/s, pause 1.5s"},
		{"status --json --node " + stating, cli.ExitOK, `"rate_per_second": 2.5`},
		{"apply --help", cli.ExitOK, "--base REVISION"},
		{"check nowhere.ini", cli.ExitUsage, "no such file"},
		{"check --node " + address + " " + changed, cli.ExitOK, "fits the VM list"},
		{"check --node " + address + " " + big, cli.ExitInvalid, "find no fabric domain"},
		{"diff --node " + address + " " + changed, cli.ExitOK, "+ fd-a = state=out  # Bo\ncompared with revision 7"},
		{"diff --json " + changed + " " + changed, cli.ExitOK, `"changes": []`},
		{"why fd-a --node " + address, cli.ExitOK, "used by: services/s"},
		{"why services/s --json --node " + address, cli.ExitOK, `"comment": "Ann"`},
		{"why s POST /x --node " + address, cli.ExitOK, "counts as repeat=never"},
		{"why nothing --file " + changed, cli.ExitNotFound, `no rule is named "nothing"`},
		{"drain-plan fd-z --node " + address, cli.ExitNotFound, `named "fd-z"`},
		{"demo --fast x", cli.ExitUsage, "cassiadeal: --fast x"},
	} {
		t.Run(test.args, func(t *testing.T) {
			code, stdout, stderr := run(strings.Fields(test.args)...)
			qt.Check(t, code, qt.Equals, test.code, qt.Commentf("%s%s", stdout, stderr))
			qt.Check(t, stdout+stderr, qt.Contains, test.want)
		})
	}
}

// Guards against a plan that counts targets of a domain that is already out, or that doesn't count a group as lost if only
// one of its VMs is taken out.
func TestDrainPlan(t *testing.T) {
	backend := &fakeBackend{config: operator.Config{Revision: 7, Rules: domains + "fd-c = state=out # Bo\n" +
		"[pools]\np = model=m vms=2 replicas=2 cold_limit=1 full_limit=8 # Ann\n" +
		"[services]\ns = targets=10.0.0.1:80@fd-a,10.0.0.2:80@fd-b,10.0.0.3:80@fd-c cold_limit=1 full_limit=4 # Ann\n"}}
	for _, vm := range []string{"a1", "a2", "b1", "b2", "b3", "c1", "c2"} {
		backend.vms = append(backend.vms, &schema.VM{Name: vm, FabricDomain: "fabric-" + vm[:1], FailureDomain: "fd-" + vm[:1], State: schema.VMState_VM_STATE_LIVE})
	}
	backend.targets = []operator.TargetStatus{
		{Kind: "pool", Destination: "p", FailureDomain: "fd-a", FabricDomain: "fabric-a", VMs: []string{"a1", "a2"}, State: "warm"},
		{Kind: "pool", Destination: "p", FailureDomain: "fd-b", FabricDomain: "fabric-b", VMs: []string{"b1", "b2"}, State: "cold"},
		{Kind: "service", Destination: "s", FailureDomain: "fd-a", State: "warm"},
		{Kind: "service", Destination: "s", FailureDomain: "fd-b", State: "lost"},
		{Kind: "service", Destination: "s", FailureDomain: "fd-c", State: "warm"},
	}
	address := startServer(t, backend, false)
	type line struct {
		Serving, Lost, Remaining int
		RemainingCapacity        int `json:"remaining_capacity"`
		AfterRepair              int `json:"after_repair"`
	}
	for name, want := range map[string][]line{
		"fd-a":     {{2, 1, 1, 8, 1}, {1, 1, 0, 0, 0}},
		"fabric-b": {{2, 1, 1, 8, 1}, {1, 0, 1, 4, 1}},
		"b1":       {{2, 1, 1, 8, 2}, {1, 0, 1, 4, 1}},
		"fd-c":     {{2, 0, 2, 16, 2}, {1, 0, 1, 4, 1}},
	} {
		t.Run(name, func(t *testing.T) {
			code, stdout, stderr := run("drain-plan", name, "--json", "--node", address)
			qt.Assert(t, code, qt.Equals, cli.ExitOK, qt.Commentf("%s", stderr))
			var plan struct{ Destinations []line }
			qt.Assert(t, json.Unmarshal([]byte(stdout), &plan), qt.IsNil)
			qt.Check(t, plan.Destinations, qt.DeepEquals, want)
		})
	}
}

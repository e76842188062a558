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

// node is a fake backend behind the real operators' handler.
type node struct {
	mu      sync.Mutex
	config  operator.Config
	behind  bool // The other listed node never reports a new revision.
	stopped bool // The other listed node is proved stopped.
	missing []string
	other   string // Text that somebody else writes in place of an apply.
	failure error
	vms     []*schema.VM
	targets []operator.TargetStatus
}

func (n *node) Healthy() error                            { return nil }
func (n *node) Ready() error                              { return nil }
func (n *node) VMs(context.Context) ([]*schema.VM, error) { return n.vms, nil }
func (n *node) Config(context.Context) (operator.Config, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.config, nil
}

func (n *node) Status(ctx context.Context) (operator.Status, error) {
	config, _ := n.Config(ctx)
	other := config.Revision
	if n.behind {
		other = 0
	}
	return operator.Status{Node: "a", RightToServe: true, Targets: n.targets, Nodes: []operator.NodeStatus{
		{Name: "a", FailureDomain: "fd-a", ConfigRevision: config.Revision}, {Name: "b", FailureDomain: "fd-b", ConfigRevision: other, Stopped: n.stopped},
	}}, nil
}

func (n *node) Apply(_ context.Context, change operator.Change) (operator.Applied, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.failure != nil {
		return operator.Applied{}, n.failure
	}
	change.Text = cmp.Or(n.other, change.Text)
	n.config = operator.Config{Revision: change.BaseRevision + 1, Rules: change.Text, Author: change.Author}
	return operator.Applied{Revision: n.config.Revision, Missing: n.missing}, nil
}

// serve starts the node. If loseApply is set, the connection of an apply closes after the backend has run it.
func serve(t *testing.T, n *node, loseApply bool) string {
	log := logrus.New()
	log.SetOutput(io.Discard)
	h := operator.NewHandler(operator.Options{Backend: n, Metrics: http.NotFoundHandler(), Log: logrus.NewEntry(log)})
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

func write(t *testing.T, text string) string {
	path := filepath.Join(t.TempDir(), "new.ini")
	qt.Assert(t, os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	return path
}

const (
	domains   = "[failure_domains]\nfd-a = state=in # Ann\nfd-b = state=in # Ann\n"
	domainOut = "[failure_domains]\nfd-a = state=out # Bo\nfd-b = state=in # Ann\n"
	// unused refuses connections: port 1 of the loopback has no listener.
	unused = "127.0.0.1:1"
)

// Guards against an apply that reports success without proof, or failure although the text was written.
func TestApplyExitCodes(t *testing.T) {
	for _, test := range []struct {
		name string
		node *node
		text string
		lose bool
		args []string
		code int
		want string
	}{
		{"accepted", &node{}, domainOut, false, nil, cli.ExitOK, "revision 8 is in force everywhere"},
		{"same text", &node{}, domains, false, nil, cli.ExitOK, "already written as revision 7"},
		{"same text, other stopped", &node{behind: true, stopped: true}, domains, false, nil, cli.ExitOK, "on every listed node"},
		{"same text, one behind", &node{behind: true}, domains, false, nil, cli.ExitNotInForce, "missing: b"},
		{"invalid", &node{}, "x", false, nil, cli.ExitInvalid, "new.ini:1:1: expected"},
		{"conflict", &node{failure: result.New(result.RevisionConflict, "base 3")}, domainOut, false, []string{"--base", "3"}, cli.ExitConflict, "nothing was written"},
		{"no revision", &node{}, domainOut, false, []string{"--base", "x"}, cli.ExitUsage, "must be a revision"},
		{"missing", &node{missing: []string{"node-c"}}, domainOut, false, nil, cli.ExitNotInForce, "missing: node-c"},
		{"refused as not run", &node{failure: result.New(result.PlatformUnavailable, "outage")}, domainOut, false, nil, cli.ExitNoNode, "platform_unavailable (2009): outage"},
		{"node doesn't know", &node{failure: result.New(result.ApplyUnknown, "x")}, domainOut, false, nil, cli.ExitUnknown, "outcome is unknown"},
		{"reply lost, written", &node{}, domainOut, true, nil, cli.ExitOK, "revision 8 is in force on every listed node"},
		{"reply lost, one behind", &node{behind: true}, domainOut, true, nil, cli.ExitNotInForce, "missing: b"},
		{"reply lost, other text", &node{other: domains}, domainOut, true, nil, cli.ExitUnknown, "may still be written"},
		{"reply lost, not seen", &node{failure: result.New(result.RevisionConflict, "x")}, domainOut, true, nil, cli.ExitUnknown, "may still be written"},
	} {
		t.Run(test.name, func(t *testing.T) {
			test.node.config = operator.Config{Revision: 7, Rules: domains}
			address := unused + "," + serve(t, test.node, test.lose)
			args := append([]string{"apply", write(t, test.text), "--author", "Ann", "--node", address, "--timeout", "400ms", "--base", "7"}, test.args...)
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
	n := &node{config: operator.Config{Revision: 7, Rules: service, Author: "Ann"}}
	address := serve(t, n, false)
	changed := write(t, strings.Replace(service, "fd-a = state=in # Ann", "fd-a = state=out # Bo", 1))
	big := write(t, service+"[pools]\np = model=m vms=9 replicas=1 cold_limit=1 full_limit=1 # Cy\n")
	for _, test := range []struct {
		args string
		code int
		want string
	}{
		{"", cli.ExitUsage, "a subcommand is missing"},
		{"status --nodes x", cli.ExitUsage, "unknown argument --nodes"},
		{"status", cli.ExitUsage, "--node is missing"},
		{"status --node " + unused, cli.ExitNoNode, "connection refused"},
		{"status --node " + address, cli.ExitOK, "right to serve: true"},
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

// Guards against a plan that counts targets of a domain that is already out, or overlooks a group with one VM in the
// domain that is taken out.
func TestDrainPlan(t *testing.T) {
	n := &node{config: operator.Config{Revision: 7, Rules: domains + "fd-c = state=out # Bo\n" +
		"[pools]\np = model=m vms=2 replicas=2 cold_limit=1 full_limit=8 # Ann\n" +
		"[services]\ns = targets=10.0.0.1:80@fd-a,10.0.0.2:80@fd-b,10.0.0.3:80@fd-c cold_limit=1 full_limit=4 # Ann\n"}}
	for _, vm := range []string{"a1", "a2", "b1", "b2", "b3", "c1", "c2"} {
		n.vms = append(n.vms, &schema.VM{Name: vm, FabricDomain: "fabric-" + vm[:1], FailureDomain: "fd-" + vm[:1], State: schema.VMState_VM_STATE_LIVE})
	}
	n.targets = []operator.TargetStatus{
		{Kind: "pool", Destination: "p", FailureDomain: "fd-a", FabricDomain: "fabric-a", VMs: []string{"a1", "a2"}, State: "warm"},
		{Kind: "pool", Destination: "p", FailureDomain: "fd-b", FabricDomain: "fabric-b", VMs: []string{"b1", "b2"}, State: "cold"},
		{Kind: "service", Destination: "s", FailureDomain: "fd-a", State: "warm"},
		{Kind: "service", Destination: "s", FailureDomain: "fd-b", State: "lost"},
		{Kind: "service", Destination: "s", FailureDomain: "fd-c", State: "warm"},
	}
	address := serve(t, n, false)
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

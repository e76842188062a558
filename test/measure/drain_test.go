//go:build measure

// Package measure measures the figures quoted in the decision records. It is run by hand:
//
//	go test -tags measure -count=1 -v ./test/measure
package measure

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"cassiadeal.example/cassiadeal/test/cluster"
	"cassiadeal.example/cassiadeal/test/harness"
)

func TestMain(m *testing.M) { os.Exit(harness.Main(m)) }

// TestFailureDomainLeavesAndReturns prints the share of requests served in each second while fd-a is taken out and brought
// back. All requests enter at nodes of fd-a, so the targets of fd-b are cold when fd-a is taken out.
func TestFailureDomainLeavesAndReturns(t *testing.T) {
	o := cluster.Defaults()
	o.VMsPerDomain, o.VMsPerGroup, o.Replicas, o.Services, o.ColdLimit = 10, 2, 10, 0, 1
	o.EngineArgs = []string{"--token-delay=25ms", "--load-time=200ms", "--slots-warm=8", "--bears-cold=1"}
	c := cluster.Start(t, o)
	for name, out := range map[string][]string{"out": {"fd-a"}, "in": nil} {
		body := fmt.Sprintf(`{"base_revision":%d,"rules":%q,"author":"measure"}`, map[string]int{"out": 1, "in": 2}[name], c.Rules(out))
		if err := os.WriteFile(filepath.Join(c.Dir, name+".json"), []byte(body), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	experiment := fmt.Sprintf(`[experiment]
seed = 7
duration = 40s
warm_up = 10s
rate = 18
[entry]
addresses = %s
[traffic drafts]
kind = generate
token = %s
pool = drafts
share = 1
prompt_words = 20
max_tokens = 40
stream = yes
model = %s
timeout = 4s
[faults]
20s = POST http://%[4]s/v1/config @%[5]s/out.json
38s = POST http://%[4]s/v1/config @%[5]s/in.json
`, strings.Join([]string{c.Nodes[0].CallerAddr, c.Nodes[1].CallerAddr}, ","), cluster.Token, cluster.Model, c.Nodes[0].OperatorAddr, c.Dir)
	file := filepath.Join(c.Dir, "load.ini")
	if err := os.WriteFile(file, []byte(experiment), 0o600); err != nil {
		t.Fatal(err)
	}
	p := harness.Start(t, "cassiadeal", "load", file)
	p.WaitExit(90 * time.Second)
	t.Log(p.Output())
}

//go:build measure

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

// TestLatencyThroughTheSystem sends the same kind of request through the nodes and directly to one engine in the same run. The
// difference is the latency that the system adds.
func TestLatencyThroughTheSystem(t *testing.T) {
	o := cluster.Defaults()
	o.Services = 0
	// Direct requests don't count towards the limit that the nodes apply, so the cold limit of the engine must cover both.
	o.EngineArgs = []string{"--token-delay=20ms", "--load-time=200ms", "--prefill-per-token=1ms", "--bears-cold=8"}
	c := cluster.Start(t, o)
	var engineAddress string
	for vm, record := range c.Engines["fd-a"].Record() {
		if last := record.States[len(record.States)-1]; last.Ready && last.Group != "" && last.Rank == 0 {
			engineAddress = c.Engines["fd-a"].VMs[vm]
		}
	}
	var callers []string
	for _, d := range c.Nodes {
		callers = append(callers, d.CallerAddr)
	}
	common := "kind = generate\nprompt_words = 80-120\nmax_tokens = 30\nstream = yes\ntimeout = 10s\n"
	experiment := fmt.Sprintf("[experiment]\nseed = 3\nduration = 25s\nwarm_up = 15s\n[entry]\naddresses = %s\n[traffic system]\nrate = 8\npool = drafts\n"+
		"token = %s\nmodel = %s\n%s[traffic direct]\nmode = direct\nengine = %s\nrate = 2\n%s", strings.Join(callers, ","), cluster.Token, cluster.Model,
		common, engineAddress, common)
	file := filepath.Join(c.Dir, "load.ini")
	if err := os.WriteFile(file, []byte(experiment), 0o600); err != nil {
		t.Fatal(err)
	}
	p := harness.Start(t, "cassiadeal", "load", file)
	p.WaitExit(60 * time.Second)
	t.Log(p.Output())
}

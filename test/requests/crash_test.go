package requests

import (
	"sync"
	"testing"
	"time"

	"cassiadeal.example/cassiadeal/internal/result"
	"cassiadeal.example/cassiadeal/internal/standin/engine"
	"cassiadeal.example/cassiadeal/test/cluster"
)

// maxCrashesPerRequest is the number of engines that one request may crash before it is refused.
const maxCrashesPerRequest = 2

// countCrashedEngines returns the number of engine incarnations that requests crashed.
func countCrashedEngines(c *cluster.Cluster) int {
	incarnations := map[string]bool{}
	for _, e := range c.Engines {
		for _, vm := range e.Record() {
			for _, g := range vm.Generates {
				if g.Outcome == "crash" {
					incarnations[g.Incarnation] = true
				}
			}
		}
	}
	return len(incarnations)
}

// sendCrashingRequest sends a prompt through one node after the other until it is refused
// with result code crashing_request, is answered or requestDeadline has passed.
func sendCrashingRequest(c *cluster.Cluster, first int, prompt string) (last cluster.Answer) {
	for end, i := time.Now().Add(requestDeadline), first; time.Now().Before(end); i++ {
		if last = c.Generate(c.Nodes[i%len(c.Nodes)], prompt, 10); last.Code == int(result.CrashingRequest) || isAnswered(last) {
			break
		}
	}
	return last
}

// Guards against a request that crashes one engine after the other as its caller repeats it through other nodes.
func TestInvariantCrashingRequests(t *testing.T) {
	parallel(t)
	c := startPoolCluster(t)
	setEngineFaults(c, engine.Faults{CrashOnPrompt: new("poison")})
	before := countCrashedEngines(c)
	if a := sendCrashingRequest(c, 0, "poison, one caller"); a.Code != int(result.CrashingRequest) || !a.NotRun {
		t.Errorf("one caller: %v", a)
	}
	for _, d := range c.Nodes {
		if a := c.Generate(d, "poison, one caller", 10); a.Code != int(result.CrashingRequest) {
			t.Errorf("one caller again at %s: %v", d.NodeName, a)
		}
	}
	if n := countCrashedEngines(c) - before; n == 0 || n > maxCrashesPerRequest {
		t.Errorf("one caller crashed %d engines", n)
	}
	c.WaitServing(c.Options.Replicas)
	before = countCrashedEngines(c)
	var wg sync.WaitGroup
	for i := range 2 {
		wg.Go(func() {
			if a := sendCrashingRequest(c, i, "poison, two callers"); a.Code != int(result.CrashingRequest) {
				t.Errorf("caller %d of two: %v", i, a)
			}
		})
	}
	wg.Wait()
	// Logged but not checked: both requests can be running before the first crash is known, so the limit doesn't apply.
	t.Logf("two callers at once crashed %d engines", countCrashedEngines(c)-before)
	results := &outcomes{}
	results.sendJSON(t, c, c.Nodes[0], "harmless")
	if results.complete != 1 {
		t.Error("no complete answer to a harmless request afterwards")
	}
}

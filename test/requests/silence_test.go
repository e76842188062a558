package requests

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"cassiadeal.example/cassiadeal/internal/standin/engine"
	"cassiadeal.example/cassiadeal/test/cluster"
)

const (
	silentTime      = 1200 * time.Millisecond // A sound process may fall silent for so long.
	silentStreams   = 12                      // For each silence, besides as many requests to the service.
	silentTokens    = 300                     // At least 0.6 s at 2 ms for each token, so that the silence falls into the streams.
	silenceInterval = 40 * time.Millisecond   // Between two requests. A third comes before the silence, one during it, and one after it.
)

// process is a child process that can be stopped and continued.
type process interface {
	Freeze()
	Thaw()
}

// Guards against a silence of a second, of targets, nodes or the platform, that ends a stream, leaves a request without its answer, or
// takes a group apart. All that it may cost is time.
func TestASecondOfSilenceEndsNothing(t *testing.T) {
	for limits, name := range map[[2]int]string{{8, 16}: "free slots", {2, 4}: "requests wait for slots"} {
		t.Run(name, func(t *testing.T) {
			parallel(t)
			o := cluster.Defaults()
			o.ColdLimit, o.FullLimit = limits[0], limits[1]
			o.ServiceArgs = []string{fmt.Sprintf("--bears-cold=%d", o.ColdLimit)}
			o.EngineArgs = append(o.EngineArgs, o.ServiceArgs[0], fmt.Sprintf("--slots-warm=%d", o.FullLimit))
			checkSilences(t, cluster.Start(t, o))
		})
	}
}

func checkSilences(t *testing.T, c *cluster.Cluster) {
	var engines, services, nodes []process
	for _, domain := range c.Options.Domains {
		engines = append(engines, c.Engines[domain])
	}
	for _, s := range c.Services {
		services = append(services, s)
	}
	for _, d := range c.Nodes {
		nodes = append(nodes, d)
	}
	platform := []process{c.Platform}
	for _, test := range []struct {
		name   string
		silent []process
	}{
		{"the engines of one domain", engines[:1]}, {"all engines", engines}, {"one service target", services[:1]}, {"all service targets", services},
		{"one node", nodes[:1]}, {"another node", nodes[2:]}, {"all nodes", nodes}, {"the platform", platform},
		{"everything", slices.Concat(engines, services, nodes, platform)},
	} {
		t.Run(test.name, func(t *testing.T) {
			plans := len(c.Plans())
			var running sync.WaitGroup
			ticker := time.NewTicker(silenceInterval)
			defer ticker.Stop()
			for i := range 3 * silentStreams {
				d := c.Nodes[i%len(c.Nodes)]
				running.Go(func() { checkStream(t, c, d, fmt.Sprintf("%s: draft %d", test.name, i)) })
				running.Go(func() { checkService(t, c, d, i) })
				<-ticker.C
				if i != silentStreams {
					continue
				}
				for _, p := range test.silent {
					p.Freeze()
				}
				time.AfterFunc(silentTime, func() {
					for _, p := range test.silent {
						p.Thaw()
					}
				})
			}
			running.Wait()
			if n := len(c.Plans()) - plans; n > 0 {
				t.Errorf("%d plans were written", n)
			}
			for vm, record := range c.Records() {
				for _, g := range record.Generates {
					if g.Outcome != "done" && g.Outcome != "running" {
						t.Errorf("%s: request %s ended as %q", vm, g.RequestID, g.Outcome)
					}
				}
			}
			c.WaitServing(c.Options.Replicas)
		})
	}
}

func checkStream(t *testing.T, c *cluster.Cluster, d *cluster.Daemon, prompt string) {
	s := c.GenerateStream(d, prompt, silentTokens)
	if !s.Ended || !slices.Equal(s.Tokens, engine.Text(cluster.Model, prompt, silentTokens)) {
		t.Errorf("%s: %v", prompt, s)
	}
}

// checkService sends a request that may be repeated, or one that may not, in turn.
func checkService(t *testing.T, c *cluster.Cluster, d *cluster.Daemon, i int) {
	method, path, key := http.MethodGet, fmt.Sprintf("/v1/services/bookings/stock/%d", i), ""
	if i%2 == 0 {
		method, path, key = http.MethodPost, "/v1/services/bookings/confirm", newKeyAt(time.Now())
	}
	if a := c.Send(d, method, path, "{}", key); a.Status != http.StatusOK || a.Err != nil {
		t.Errorf("%s %s: %v", method, path, a)
	}
}

// Package integration tests the path from a caller through a node to engines and services, with separate processes.
package integration

import (
	"os"
	"strings"
	"testing"

	"github.com/google/uuid"

	"cassiadeal.example/cassiadeal/internal/result"
	"cassiadeal.example/cassiadeal/internal/standin/engine"
	"cassiadeal.example/cassiadeal/test/cluster"
	"cassiadeal.example/cassiadeal/test/harness"
)

func TestMain(m *testing.M) { os.Exit(harness.Main(m)) }

// Guards against requests that fail on the path through a node to an engine or service, and against a repeated request that
// gets another answer than the first.
func TestWholePath(t *testing.T) {
	c := cluster.Start(t, cluster.Defaults())
	want := strings.Join(engine.Text(cluster.Model, "a b c", 5), "")
	for _, d := range c.Nodes {
		if a := c.Send(d, "GET", "/v1/services/bookings/stock/x", "", ""); a.Status != 200 {
			t.Error(a)
		}
		key := uuid.Must(uuid.NewV7()).String()
		first := c.Send(d, "POST", "/v1/services/bookings/confirm", "{}", key)
		again := c.Send(c.Nodes[0], "POST", "/v1/services/bookings/confirm", "{}", key)
		if first.Status != 200 || first.Body != again.Body {
			t.Error(first, again)
		}
		if a := c.Generate(d, "a b c", 5); a.Status != 200 || !strings.Contains(a.Body, want) {
			t.Errorf("%v; want text %q", a, want)
		}
		if a := c.Send(d, "POST", "/v1/pools/none/generate", `{"prompt":"x","max_tokens":1}`, ""); a.Code != int(result.UnknownPool) || !a.NotRun {
			t.Error(a)
		}
	}
}

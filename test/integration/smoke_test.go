package integration

import (
	"testing"

	"github.com/google/uuid"

	"cassiadeal.example/cassiadeal/internal/result"
)

// Guards against a broken path from callers through nodes to services, and against a repeat that gets another answer.
func TestServices(t *testing.T) {
	o := defaults()
	o.replicas = 0
	c := start(t, o)
	for _, d := range c.nodes {
		if a := c.send(d, "GET", "/v1/services/bookings/stock/x", "", ""); a.status != 200 {
			t.Fatal(a)
		}
		key := uuid.Must(uuid.NewV7()).String()
		a := c.send(d, "POST", "/v1/services/bookings/confirm", "{}", key)
		b := c.send(c.nodes[0], "POST", "/v1/services/bookings/confirm", "{}", key)
		if a.status != 200 || a.body != b.body {
			t.Fatal(a, b)
		}
		if a := c.generate(d, "x", 1); a.code != int(result.UnknownPool) || !a.notRun {
			t.Fatal(a)
		}
	}
}

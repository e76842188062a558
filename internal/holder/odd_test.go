package holder

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// Guards against targets without a holder because the table of another failure domain can't be decoded, and against a second holder of
// those in a table that can't be decoded any more.
func TestUnreadableTables(t *testing.T) {
	for _, data := range []string{"", "{", `{"holders":7}`, strings.Repeat("[", 12_000) + strings.Repeat("]", 12_000)} {
		sim := &simulation{t: t, now: time.Hour, objects: map[string]Object{}}
		for i, name := range []string{"a", "b", "c"} {
			p := sim.start(name, []string{"x", "y"}[i%2], 0)
			p.majorityContactAt, p.startedAt = sim.now, 0
			sim.nodes = append(sim.nodes, p)
		}
		overwrite := func(name string) {
			sim.version++
			sim.objects[name] = Object{Kind: Kind, Name: name, Version: sim.version, Data: []byte(data)}
		}
		overwrite("odd")
		for range 20 {
			sim.advance(500 * time.Millisecond)
		}
		check := func() {
			t.Helper()
			for i := range 6 {
				id, holders := fmt.Sprintf("t%d", i), 0
				for _, p := range sim.nodes {
					if _, holds := p.Holds(id); holds {
						holders++
					}
				}
				if holders != 1 {
					t.Errorf("table %.20q: %d nodes hold %s", data, holders, id)
				}
			}
		}
		check()
		overwrite("x")
		for range 20 {
			sim.advance(500 * time.Millisecond)
			check()
		}
	}
}

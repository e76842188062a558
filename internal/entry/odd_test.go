package entry

import (
	"encoding/json"
	"io"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/internal/fleet"
	"cassiadeal.example/cassiadeal/platform"
)

// Guards against an odd entry that takes other replicas with it, or that a list treats in another way than a watch: the replica that had
// it before counts as removed, and an entry of no known replica is ignored.
func TestOddEntryNamesNoReplica(t *testing.T) {
	good := `{"service":"s","zone":"z","state":"ready","address":"10.0.0.1:80","slots":4,"born":7}`
	for _, odd := range []string{``, `null`, `{"service":"s","zone":"z","state":"ready","address":"10.0.0.1:99999"}`,
		`{"service":"s","zone":"z","state":"ready","address":"10.0.0.1:80","slots":9223372036854775807}`,
		`{"service":"s","zone":"z","state":"ready","address":"10.0.0.1:80","group":{"name":"g","epoch":1,"rank":-1,"state":"ready"}}`} {
		for _, list := range []bool{true, false} {
			c := quicktest.New(t)
			log := logrus.New()
			log.SetOutput(io.Discard)
			now := clock.NewManual(time.Hour)
			n := &Node{log: log, clock: now, registry: fleet.NewRegistry(now)}
			object := func(name, spec string) platform.Object {
				return platform.Object{Name: name, Spec: json.RawMessage(spec)}
			}
			n.replaceReplicas([]platform.Object{object("a", good), object("b", good), object("c", good)})
			now.Advance(time.Minute)
			if list {
				n.replaceReplicas([]platform.Object{object("a", good), object("b", odd), object("c", good), object("d", odd)})
			} else {
				n.applyReplicas([]platform.Object{object("b", odd), object("d", odd)})
			}
			c.Assert(slices.Sorted(maps.Keys(n.registry.View().Replicas)), quicktest.DeepEquals, []string{"a", "c"}, quicktest.Commentf("%s, list %v", odd, list))
			n.applyReplicas([]platform.Object{object("b", good)})
			c.Assert(n.registry.View().Replicas, quicktest.HasLen, 3)
		}
	}
}

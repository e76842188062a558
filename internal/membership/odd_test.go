package membership

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/platform"
)

// Guards against nodes that lose their right to serve because the record of another node, or their own, can't be decoded.
func TestUnreadableRecords(t *testing.T) {
	for _, data := range []string{"", "{", `{"incarnation":{}}`, strings.Repeat("[", 12_000) + strings.Repeat("]", 12_000)} {
		c := qt.New(t)
		cl := newCluster(3)
		cl.run(10*time.Second, cl.names...)
		overwrite := func(name string) {
			cl.store.version++
			cl.store.objects[Kind+"/"+name] = platform.Object{Kind: Kind, Name: name, Version: cl.store.version, Data: []byte(data)}
		}
		overwrite("odd")
		overwrite("n1")
		for range 20 {
			cl.run(time.Second, cl.names...)
			for _, name := range cl.names {
				c.Assert(cl.nodes[name].Right().InDoubt, qt.IsFalse, qt.Commentf("%s", name))
			}
		}
		c.Assert(string(cl.store.objects[Kind+"/n1"].Data), qt.Not(qt.Equals), data)
		c.Assert(cl.nodes["n0"].Nodes(), qt.HasLen, 3)
	}
}

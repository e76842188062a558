package entry

import (
	"encoding/json"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/internal/crash"
	"cassiadeal.example/cassiadeal/internal/gossip"
	"cassiadeal.example/cassiadeal/internal/schema"
	"cassiadeal.example/cassiadeal/platform"
)

// Guards against a record of a node with an address to which nothing can be sent, and against crash times that overflow.
func TestOddRecordsOfNodesAreIgnored(t *testing.T) {
	c := quicktest.New(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	now := clock.NewManual(time.Hour)
	mesh, err := gossip.New(gossip.Options{Address: "127.0.0.1:0", Clock: now, Log: log, LocalState: func() *schema.NodeGossip { return &schema.NodeGossip{} }, OnMessage: func(*schema.NodeGossip) {}})
	c.Assert(err, quicktest.IsNil)
	n := &Node{log: log, clock: now, mesh: mesh, crashes: crash.New(crash.Options{Now: func() time.Duration { return time.Duration(now.Now()) }})}
	var list []platform.Object
	for i, spec := range []string{`{"peer":"127.0.0.1:99999"}`, `{"peer":"127.0.0.1:"}`, `{"peer":"127.0.0.1:-1"}`, `{"peer":":80"}`, `{"peer":7}`, ``,
		`{"peer":"127.0.0.1:7001","crashes":[{"fingerprint":"f","target":"t","incarnation":"1","began":true,"crashed_unix_ms":-9223372036854775808},
		  {"fingerprint":"f","target":"u","incarnation":"1","began":true,"crashed_unix_ms":-9223372036854775808}]}`} {
		list = append(list, platform.Object{Name: fmt.Sprint(i), Spec: json.RawMessage(spec)})
	}
	n.applyNodes(list)
	c.Assert(mesh.Destinations(), quicktest.DeepEquals, []string{"127.0.0.1:7001"})
	c.Assert(n.crashes.BlockingReports(), quicktest.HasLen, 0)
}

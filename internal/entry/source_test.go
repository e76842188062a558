package entry

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"cassiadeal.example/cassiadeal/internal/mirror"
	"cassiadeal.example/cassiadeal/internal/schema"
	"cassiadeal.example/cassiadeal/platform"
)

// Guards against requests to a replica whose entry says that it is leaving, because the node has lost its mirror and waits for
// another one for longer than it may take to learn of it. The node that precedes it is alive, but serves as no mirror.
func TestNodeThatLostItsMirrorLearnsOfLeavingReplicasInTime(t *testing.T) {
	for name, bounds := range map[string]string{
		"replicas":       `"drain_ms":1000,"config_apply_ms":8000,"evacuate_ms":8000`,
		"configuration":  `"drain_ms":8000,"config_apply_ms":1000,"evacuate_ms":8000`,
		"evacuated zone": `"drain_ms":8000,"config_apply_ms":8000,"evacuate_ms":1000`,
	} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			const bound = time.Second
			probe, err := net.ListenPacket("udp", "127.0.0.1:0")
			c.Assert(err, quicktest.IsNil)
			port := probe.LocalAddr().(*net.UDPAddr).Port
			c.Assert(probe.Close(), quicktest.IsNil)
			settings := strings.NewReplacer(`"drain_ms":2000,`, bounds+",", `"config_apply_ms":2000,`, "", `"evacuate_ms":5000,`, "",
				"[0,9]", fmt.Sprintf("[%d,%d]", port, port+9)).Replace(testSettings)
			n := newNode(c, settings)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go n.mesh.Run(ctx)
			go sendAsPrecedingNode(ctx, n)
			waitFor(c, 3*time.Second, func() bool { return len(n.mesh.Alive()) == 1 && n.mesh.Uptime() > discoveryTime })

			f := &follower{node: n, mirrorCopy: mirror.New(), kind: platform.KindReplicas, lastAnswerAt: n.clock.Now(), source: "127.0.0.1:1"}
			start := time.Now()
			f.awaitSource(ctx)
			c.Check(time.Since(start) < bound, quicktest.IsTrue, quicktest.Commentf("read the store after %v", time.Since(start)))
		})
	}
}

// sendAsPrecedingNode sends datagrams of a node that should read the store before n, but states no address of a mirror.
func sendAsPrecedingNode(ctx context.Context, n *Node) {
	conn, err := net.Dial("udp", n.settings.Peer)
	if err != nil {
		return // The test then finds no live node.
	}
	defer conn.Close()
	for ctx.Err() == nil {
		datagram, err := proto.Marshal(&schema.NodeGossip{Node: "a", Zone: "z", Incarnation: 1, Capacity: 1000, PeerAddress: conn.LocalAddr().String()})
		if err != nil {
			return
		}
		_, _ = conn.Write(datagram) // A lost one is followed by others.
		sleep(ctx, 20*time.Millisecond)
	}
}

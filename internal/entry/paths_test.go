package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/balance"
	"cassiadeal.example/cassiadeal/internal/fleet"
	"cassiadeal.example/cassiadeal/internal/reach"
	"cassiadeal.example/cassiadeal/platform"
)

// Pattern: one of two nodes is partitioned from all replicas for a while, while clients, the store and the other node still reach it. Guards
// against requests that are refused there, and against connections through the other node after the paths have healed.
func TestNodeWithoutPathsServesThroughAnother(t *testing.T) {
	c := quicktest.New(t)
	const replicas = 3 // As many as make a node count as cut off.
	store := newFakeStore()
	store.put(platform.KindConfig, platform.ConfigName, json.RawMessage(drainConfig))
	for i := range replicas {
		address, _ := silentReplica(c)
		store.put(platform.KindReplicas, fmt.Sprint("i-", i), map[string]any{"service": "desk", "address": address, "zone": "z", "slots": 64, "state": "ready",
			"born": 7, "sequence": 1})
	}
	var cut atomic.Bool
	z := newZone(c, store)
	z.prepare = func(n *Node) {
		direct := n.dialDirectly
		if n.settings.Node != "n0" {
			return
		}
		n.dialDirectly = func(ctx context.Context, address string) (net.Conn, error) {
			if cut.Load() {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return direct(ctx, address)
		}
	}
	n0, _ := z.start(true)
	n1, _ := z.start(true)
	isCutOff := func() bool {
		alive := n1.mesh.Alive()
		return len(alive) == 1 && alive[0].PathsLost
	}
	waitFor(c, 10*time.Second, func() bool { return n0.ready() && n1.ready() && len(n0.mesh.Alive()) == 1 && len(n1.mesh.Alive()) == 1 })
	front := httptest.NewServer(n0.edge)
	c.Cleanup(front.Close)
	send := func() {
		r := sendToNode(strings.TrimPrefix(front.URL, "http://"), "/order/quick", drainTestTimeout)
		c.Check(r.err, quicktest.IsNil)
		c.Check(r.status, quicktest.Equals, http.StatusOK, quicktest.Commentf("%s", r.body))
	}
	send()
	c.Check(isCutOff(), quicktest.IsFalse)

	cut.Store(true)
	waitFor(c, 20*time.Second, func() bool {
		send()
		return isCutOff()
	})

	cut.Store(false)
	lost := func() (count int) {
		for _, r := range n0.registry.View().Replicas {
			if _, lost := n0.paths.Lost(reach.TargetOf(r)); lost {
				count++
			}
		}
		return count
	}
	waitFor(c, 20*time.Second, func() bool {
		send()
		return lost() == 0
	})
	n1.tunnels.Drain()
	for range 2 * replicas {
		send()
	}
	waitFor(c, 20*time.Second, func() bool { return !isCutOff() })
}

// Guards against sound heads that all nodes avoid because a node that has lost its own paths takes them for stalled.
func TestSuspicionsOfANodeWithoutPathsDoNotCount(t *testing.T) {
	c := quicktest.New(t)
	a, b := newNode(c, testSettings), newNode(c, testSettings)
	b.settings.Node = "b"
	key := balance.KeyOf(&fleet.Replica{ID: "head", Group: &fleet.Membership{Name: "g", Epoch: 1}})
	b.table.Suspect(key)
	msg := b.localGossip()
	msg.PathsLost = true
	a.applyPeerGossip(msg)
	c.Check(a.table.Suspected(key), quicktest.IsFalse)
	msg.PathsLost = false
	a.applyPeerGossip(msg)
	c.Check(a.table.Suspected(key), quicktest.IsTrue)
}

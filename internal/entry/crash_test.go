package entry

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/crash"
)

// Guards against copies of a crashing request that crash replicas at each node anew: crashes seen by different nodes count together,
// and a node that has just started learns of them from any other.
func TestNodesTellEachOtherOfCrashes(t *testing.T) {
	c := quicktest.New(t)
	a, b, started := newNode(c, testSettings), newNode(c, testSettings), newNode(c, testSettings)
	f := crash.Request{Fingerprint: "f"}
	a.crashes.Record(crash.Crash{Request: f, Target: "i-1", Incarnation: "1"})
	b.crashes.Record(crash.Crash{Request: f, Target: "i-2", Incarnation: "1", Age: time.Second})
	b.applyPeerGossip(a.localGossip())
	c.Check(b.crashes.Blocked(f), quicktest.IsTrue)
	c.Check(a.crashes.Blocked(f), quicktest.IsFalse)
	started.applyPeerGossip(b.localGossip())
	c.Check(started.crashes.Blocked(f), quicktest.IsTrue)
}

// Guards against requests that crash replicas again after all nodes have ended at once: no other node can tell them.
func TestBlockedRequestsStayBlockedWhenAllNodesRestart(t *testing.T) {
	c := quicktest.New(t)
	store := newFakeStore()
	nodes, stop := startZone(c, store, 2, true)
	for i := range 2 {
		nodes[0].crashes.Record(crash.Crash{Request: crash.Request{Fingerprint: fmt.Sprint("f", i), Parts: []string{"part"}}, Target: fmt.Sprint(i)})
	}
	nodes[0].announceBlocked()
	waitFor(c, 5*time.Second, func() bool {
		return slices.ContainsFunc(store.list(nodesKind), func(o wireObject) bool { return strings.Contains(string(o.Spec), "crashed_unix_ms") })
	})
	for _, s := range stop {
		s()
	}
	restarted, _ := startZone(c, store, 2, false)
	for _, n := range restarted {
		waitFor(c, 5*time.Second, func() bool { return n.crashes.Blocked(crash.Request{Fingerprint: "f9", Parts: []string{"part"}}) })
	}
	// The crashes outlast the next restart too.
	waitFor(c, 5*time.Second, func() bool {
		record, err := restarted[0].store.Get(context.Background(), nodesKind, restarted[0].settings.Node)
		return err == nil && strings.Contains(string(record.Spec), restarted[0].settings.Peer) && strings.Contains(string(record.Spec), "crashed_unix_ms")
	})
}

package entry

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/platform"
)

// testZone is a failure domain whose nodes run in this process. Each has an address of its own.
type testZone struct {
	c     *quicktest.C
	store string // Address of the store for the nodes that are started next.
	name  string // Of their failure domain.
	port  int    // The first of the internal ports.
	nodes int    // Started so far.
	// prepare is called with each node before it runs; nil for none.
	prepare func(*Node)
	// running counts the nodes that haven't stopped. All are told to stop before the first is waited for.
	running *sync.WaitGroup
}

func newZone(c *quicktest.C, store *fakeStore) *testZone {
	server := httptest.NewServer(store)
	c.Cleanup(server.Close)
	probe, err := net.Listen("tcp", "127.0.90.1:0")
	c.Assert(err, quicktest.IsNil)
	port := probe.Addr().(*net.TCPAddr).Port
	c.Assert(probe.Close(), quicktest.IsNil)
	z := &testZone{c: c, store: strings.TrimPrefix(server.URL, "http://"), name: "z", port: port, running: &sync.WaitGroup{}}
	c.Cleanup(z.running.Wait)
	return z
}

// start starts one node more, for the first time if firstRun is true.
func (z *testZone) start(firstRun bool) (*Node, context.CancelFunc) {
	c, i := z.c, z.nodes
	z.nodes++
	ip := fmt.Sprintf("127.0.90.%d", i+1)
	text := strings.NewReplacer("10.200.1.7:8223", z.store, `"zone":"z"`, fmt.Sprintf(`"zone":%q`, z.name), `"node_name":"n"`, fmt.Sprintf(`"bootstrap":%v,"node_name":"n%d"`, firstRun, i),
		"127.0.0.1:0", ip+":0", `"ip":"127.0.0.1"`, fmt.Sprintf(`"ip":%q`, ip), `[0,9]`, fmt.Sprintf("[%d,%d]", z.port, z.port+9)).Replace(testSettings)
	n := newNode(c, text)
	if z.prepare != nil {
		z.prepare(n)
	}
	ctx, cancel := context.WithCancel(context.Background())
	c.Cleanup(cancel)
	z.running.Go(func() { c.Check(n.Run(ctx), quicktest.IsNil) })
	return n, cancel
}

// startZone starts nodes of one failure domain, for the first time if firstRun is true.
func startZone(c *quicktest.C, store *fakeStore, count int, firstRun bool) (nodes []*Node, stop []context.CancelFunc) {
	z := newZone(c, store)
	for range count {
		n, cancel := z.start(firstRun)
		nodes, stop = append(nodes, n), append(stop, cancel)
	}
	return nodes, stop
}

// readers returns the nodes that have read a kind from the store itself since the last call.
func readers(nodes []*Node, kind string) (names []string) {
	for _, n := range nodes {
		if n.storeCalls.summary()["GET "+kind] > 0 {
			names = append(names, n.settings.Node)
		}
	}
	return names
}

// Pattern: all nodes of a failure domain start at once, and later lose their mirror at once. Guards against calls to the store in
// proportion to the number of nodes: with 295 nodes, each made 24 around the start, and these were the dearest price of the day.
func TestOneNodeReadsTheStoreForItsFailureDomain(t *testing.T) {
	c := quicktest.New(t)
	store := newFakeStore()
	nodes, stop := startZone(c, store, 6, true)
	allListed := func() bool {
		for _, n := range nodes {
			if !n.replicasListed.Load() {
				return false
			}
		}
		return true
	}
	waitFor(c, 3*time.Second, allListed)
	c.Check(readers(nodes, platform.KindReplicas), quicktest.DeepEquals, []string{"n0"})

	stop[0]()
	time.Sleep(200 * time.Millisecond) // The others learn that the node drains.
	store.put(platform.KindEvacuations, "zone-b", struct{}{})
	waitFor(c, nodes[0].settings.Bounds.ConfigApply, func() bool {
		for _, n := range nodes[1:] {
			if !n.registry.View().Evacuated["zone-b"] {
				return false
			}
		}
		return true
	})
	time.Sleep(nodes[0].settings.Bounds.Drain) // Every watch that was waiting has ended.
	c.Check(readers(nodes[1:], platform.KindReplicas), quicktest.DeepEquals, []string{"n1"})
}

// Pattern: the nodes of a failure domain are stopped and started in turn. Guards against a failure domain without a mirror: the next node's
// watches of the stopping mirror lasted up to nodesWatchWait, and meanwhile the other nodes learnt of no change, and then all read the store.
func TestNextMirrorServesSoonAfterTheFirstDrains(t *testing.T) {
	c := quicktest.New(t)
	store := newFakeStore()
	nodes, stop := startZone(c, store, 3, true)
	waitFor(c, 5*time.Second, func() bool { return nodes[0].mirrorAddress() != "" && nodes[2].replicasListed.Load() })
	waitFor(c, 5*time.Second, func() bool {
		return nodes[1].watchesMirror() && nodes[2].watchesMirror() && nodes[1].mirrorAddress() == ""
	})

	stop[0]()
	waitFor(c, 1500*time.Millisecond, func() bool { return nodes[1].mirrorAddress() != "" })
	waitFor(c, 3*time.Second, func() bool {
		return nodes[2].mirrorSource() == nodes[1].settings.Mirror && nodes[2].watchesMirror()
	})
}

// watchesMirror reports whether all followers of the node wait for changes at a mirror that they have listed.
func (n *Node) watchesMirror() bool {
	return !slices.ContainsFunc(n.followers, func(f *follower) bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return !f.listed || !f.watching || n.mirrorSource() == ""
	})
}

func waitFor(c *quicktest.C, limit time.Duration, condition func() bool) {
	c.Helper()
	for end := time.Now().Add(limit); !condition(); time.Sleep(5 * time.Millisecond) {
		c.Assert(time.Now().Before(end), quicktest.IsTrue, quicktest.Commentf("not within %v", limit))
	}
}

package entry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/gossip"
	"cassiadeal.example/cassiadeal/internal/mirror"
	"cassiadeal.example/cassiadeal/internal/schema"
	"cassiadeal.example/cassiadeal/platform"
)

// zoneOf returns live nodes of the failure domain z. The first mirrors ones serve as mirrors; they have more capacity than the test node.
func zoneOf(nodes, mirrors int) (alive []gossip.Peer) {
	for i := range nodes {
		p := gossip.Peer{NodeGossip: &schema.NodeGossip{Node: fmt.Sprintf("x%03d", i), Zone: "z"}}
		if i < mirrors {
			p.Capacity, p.MirrorAddress = uint32(9000-i), fmt.Sprintf("mirror-%d", i)
		}
		alive = append(alive, p)
	}
	return alive
}

// Load: a failure domain of 100 nodes. Guards against one mirror that serves all of them, readers that are spread unevenly, and readers that
// all move when one mirror goes.
func TestReadersOfALargeFailureDomainAreSpreadOverItsMirrors(t *testing.T) {
	c := quicktest.New(t)
	n, alive := newNode(c, testSettings), zoneOf(99, 4)
	n.settings.Capacity = 100
	before, counts := map[string]string{}, map[string]int{}
	for i := range 96 {
		n.settings.Node = fmt.Sprintf("reader-%03d", i)
		before[n.settings.Node] = n.chooseMirror(alive)
		counts[before[n.settings.Node]]++
	}
	c.Assert(counts, quicktest.HasLen, 4)
	for address, readers := range counts {
		c.Check(readers > 12 && readers < 40, quicktest.IsTrue, quicktest.Commentf("%s: %d readers", address, readers))
	}
	alive[1].MirrorAddress = ""
	for reader, address := range before {
		n.settings.Node = reader
		if address == "mirror-1" {
			c.Check(n.chooseMirror(alive), quicktest.Not(quicktest.Equals), address)
		} else {
			c.Check(n.chooseMirror(alive), quicktest.Equals, address)
		}
	}

	// One of the first nodes reads the store itself, whatever the others do. The planner isn't counted as a mirror.
	n.settings.Node, n.settings.Capacity = "n", 8998
	c.Check(n.chooseMirror(alive), quicktest.Equals, "")
	c.Check(n.precededByMirror(alive), quicktest.IsFalse)
	n.settings.Capacity = 8995
	c.Check(n.chooseMirror(alive), quicktest.Not(quicktest.Equals), "")
	alive[0].Planner = true
	c.Check(n.chooseMirror(alive), quicktest.Equals, "")
}

// Guards against a change where one mirror is enough: all nodes read that of the first node, and the others wait for it.
func TestSmallFailureDomainHasOneMirror(t *testing.T) {
	c := quicktest.New(t)
	n, alive := newNode(c, testSettings), zoneOf(singleMirrorNodes-1, 3)
	n.settings.Capacity = 8998
	c.Check(n.chooseMirror(alive), quicktest.Equals, "mirror-0")
	c.Check(n.precededByMirror(alive), quicktest.IsTrue)
	alive[0].Planner = true
	c.Check(n.chooseMirror(alive), quicktest.Equals, "mirror-0")
	n.avoidMirror("mirror-0")
	c.Check(n.chooseMirror(alive), quicktest.Equals, "mirror-1")
	alive[0].Draining = true
	c.Check(n.chooseMirror(alive), quicktest.Equals, "mirror-1")
	n.settings.Capacity = 9001
	c.Check(n.chooseMirror(alive), quicktest.Equals, "")
	c.Check(n.precededByMirror(alive), quicktest.IsFalse)
	c.Check(mirrorsWanted(singleMirrorNodes), quicktest.Equals, 1)
	c.Check(mirrorsWanted(singleMirrorNodes+1), quicktest.Equals, 3)
	c.Check(mirrorsWanted(100), quicktest.Equals, 4)
}

// Load: a failure domain with two strong nodes and 98 weak ones, as in a trial in which readers of a strong mirror that was slow turned to weak
// ones, whose links can't carry them. Guards against weak mirrors beside strong ones.
func TestWeakNodesAreNoMirrorsBesideStrongOnes(t *testing.T) {
	c := quicktest.New(t)
	n, alive := newNode(c, testSettings), zoneOf(99, 4)
	for i := range alive {
		alive[i].Capacity = 134
	}
	n.settings.Capacity, alive[0].Capacity, alive[1].Capacity = 134, 800, 800
	n.settings.Node = "y"
	sources := func() map[string]bool {
		found := map[string]bool{}
		for i := range 40 {
			n.settings.Node = fmt.Sprintf("y%d", i)
			found[n.chooseMirror(alive)] = true
		}
		return found
	}
	c.Check(sources(), quicktest.DeepEquals, map[string]bool{"mirror-0": true, "mirror-1": true})
	alive[0].Planner = true
	c.Check(sources(), quicktest.DeepEquals, map[string]bool{"mirror-1": true})
	n.avoidMirror("mirror-1")
	c.Check(sources(), quicktest.DeepEquals, map[string]bool{"": true}) // The store, for a while.
	c.Check(n.precededByMirror(alive), quicktest.IsFalse)
	alive[1].Draining = true
	c.Check(sources(), quicktest.DeepEquals, map[string]bool{"mirror-0": true}) // Better than weak ones.
	alive[0].Draining = true
	c.Check(sources(), quicktest.DeepEquals, map[string]bool{"mirror-2": true, "mirror-3": true})

	// A strong node that isn't the planner is a mirror whatever the planner does.
	alive[0].Draining, alive[1].Draining = false, false
	n.settings.Node, n.settings.Capacity = "x001", 800
	c.Check(n.chooseMirror(append(alive[:1:1], alive[2:]...)), quicktest.Equals, "")
}

// countedMirror serves a copy and counts lists and watches.
type countedMirror struct {
	copy           *mirror.Copy
	address        string
	lists, watches atomic.Int32
	damage         atomic.Bool // Answers can't be decoded.
}

func newCountedMirror(t *testing.T) *countedMirror {
	m := &countedMirror{copy: mirror.New()}
	handler := platform.MirrorHandler(map[string]platform.Source{"things": m.copy}, func() *platform.Object { return nil }, func(int64) {})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("watch") != "" {
			m.watches.Add(1)
		} else {
			m.lists.Add(1)
		}
		if m.damage.Load() {
			w.Header().Set("Content-Encoding", "gzip")
		}
		handler.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	m.address = strings.TrimPrefix(server.URL, "http://")
	return m
}

// Guards against lists of all entries by all readers of a mirror that has stopped, which no link carries with 3,000 entries, and against a
// reader that is its failure domain's mirror next and has no contents until it has listed. A source that doesn't know the position, and one
// whose answers can't be decoded, cost a list.
func TestFollowerGoesOnAtAnotherSourceWithoutAList(t *testing.T) {
	c := quicktest.New(t)
	n := newNode(c, testSettings)
	first, second, store := newCountedMirror(t), newCountedMirror(t), newCountedMirror(t)
	thing := func(name string, revision int64) platform.Object {
		return platform.Object{Name: name, Revision: revision, Spec: []byte("{}")}
	}
	for _, m := range []*countedMirror{first, second, store} {
		m.copy.Replace([]platform.Object{thing("a", 1)}, platform.Position{Revision: 2})
	}
	n.store = platform.NewStore(store.address)
	known := map[string]int64{}
	note := func(list []platform.Object) {
		for _, o := range list {
			known[o.Name] = o.Revision
		}
	}
	f := &follower{node: n, mirrorCopy: mirror.New(), kind: "things", maxWait: time.Second, replace: note, apply: note}
	read := func() error {
		ctx, cancel, watch := f.startCall(context.Background())
		defer cancel()
		next, err := f.poll(ctx, watch)
		if err == nil {
			f.position = next
		}
		return err
	}
	f.moveTo(first.address)
	c.Assert(read(), quicktest.IsNil)
	first.copy.Apply([]platform.Object{thing("b", 5)}, platform.Position{Revision: 6})
	c.Assert(read(), quicktest.IsNil)

	// The second mirror lags behind, and then has what the reader knows and more.
	f.moveTo(second.address)
	start := time.Now()
	c.Assert(read(), quicktest.IsNil)
	c.Check(time.Since(start) < f.maxWait/2, quicktest.IsTrue) // Tells at once that the source answers.
	second.copy.Apply([]platform.Object{thing("b", 5), thing("c", 8)}, platform.Position{Revision: 8})
	c.Assert(read(), quicktest.IsNil)
	c.Check(known, quicktest.DeepEquals, map[string]int64{"a": 1, "b": 5, "c": 8})
	c.Check(f.mirrorCopy.Fresh(), quicktest.IsFalse)

	// This node reads the store next and is a mirror with all contents.
	store.copy.Apply([]platform.Object{thing("b", 5), thing("c", 8), thing("d", 9)}, platform.Position{Revision: 9})
	f.moveTo("")
	c.Assert(read(), quicktest.IsNil)
	c.Check(f.mirrorCopy.Fresh(), quicktest.IsTrue)
	list, _, err := f.mirrorCopy.List(context.Background())
	c.Assert(err, quicktest.IsNil)
	c.Check(list, quicktest.HasLen, 4)
	c.Check([]int32{first.lists.Load(), second.lists.Load(), store.lists.Load()}, quicktest.DeepEquals, []int32{1, 0, 0})

	// Sources whose history begins later, and whose answers can't be decoded.
	first.copy.Replace([]platform.Object{thing("a", 1)}, platform.Position{Era: 1, Revision: 20})
	f.moveTo(first.address)
	c.Assert(errors.Is(read(), platform.ErrHistoryGone), quicktest.IsTrue)
	f.moveTo(second.address)
	second.damage.Store(true)
	err = read()
	c.Assert(err, quicktest.IsNotNil)
	f.leaveMirror(context.Background(), err)
	c.Check(f.listed, quicktest.IsFalse)
	c.Check(n.mirrorAvoided(second.address), quicktest.IsTrue)

	// One that is only busy is asked again before it is avoided.
	f.moveTo(first.address)
	for i := range maxBusyAnswers + 1 {
		c.Check(n.mirrorAvoided(first.address), quicktest.IsFalse, quicktest.Commentf("after %d answers", i))
		f.leaveMirror(context.Background(), platform.ErrBusy)
	}
	c.Check(n.mirrorAvoided(first.address), quicktest.IsTrue)
}

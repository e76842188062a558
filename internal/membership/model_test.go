package membership

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/internal/platform"
)

// table is the holder table of the model: one target and its holder.
type table struct{ Node, Incarnation, Nonce string }

// modelNode is a node with a minimal holder logic: the taker rules P and M of docs/design.md, section 4.
type modelNode struct {
	*testNode
	w         *world
	seen      table
	version   uint64     // Of the table that was read or written last.
	sure      bool       // The holder from the start, which never took over.
	writtenAt clock.Time // When this node knew that the table names it.
	takenByM  bool
	busy      bool // In a call; takes no other action.
}

// world runs the nodes and checks the property after every step.
type world struct {
	t                     *rapid.T
	c                     *cluster
	nodes                 []*modelNode
	nested                bool
	pathP, pathM, settled int
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, c: newCluster(0)}
	for i := range rapid.IntRange(2, 4).Draw(t, "nodes") {
		n := &modelNode{w: w, sure: i == 0}
		n.testNode = w.c.add(fmt.Sprintf("n%d", i), "1", func(tn *testNode, o *Options) {
			// Two clocks differ by at most 10%, less than margin/term.
			tn.rate = rapid.Float64Range(0.95, 1.05).Draw(t, "rate")
			tn.view.hook, tn.hook = func() { w.interleave(n, 15) }, func() { w.interleave(n, 60) }
			o.AfterRenew = n.reread
		})
		w.nodes = append(w.nodes, n)
	}
	data, _ := json.Marshal(table{Node: "n0", Incarnation: "1"})
	if _, err := w.c.s.write("holders", "t", 0, data); err != nil {
		t.Fatal(err)
	}
	w.nested = true // No interleaving while starting.
	w.c.run(2*time.Second, w.c.names...)
	w.nested = false
	return w
}

// reread is AfterRenew: it reads the table and gives up the target if another node holds it.
func (n *modelNode) reread(ctx context.Context, version uint64) error {
	objects, listVersion, err := n.view.List(ctx, "holders")
	if err != nil {
		return err
	}
	if listVersion < version {
		return errors.New("stale table")
	}
	n.adopt(objects[0])
	return nil
}

func (n *modelNode) adopt(o platform.Object) {
	if o.Version < n.version {
		return
	}
	var read table
	if err := json.Unmarshal(o.Data, &read); err != nil {
		n.w.t.Fatal(err)
	}
	if read.Node != n.name {
		n.sure = false
		n.takenByM = n.takenByM && o.Version == n.version
	} else if n.seen.Node != n.name && !n.sure {
		n.writtenAt, n.takenByM = n.clk.Now(), false
	}
	n.seen, n.version = read, o.Version
}

// take applies rule P, else rule M, and writes an earlier M takeover when the platform is back.
func (n *modelNode) take(ctx context.Context) {
	x := n.seen.Node
	if x == n.name || x == "" || !n.Right().Serve {
		return
	}
	switch {
	case n.PlatformReachable() && (n.takenByM || n.LeaseEnded(x, n.seen.Incarnation)):
		data, _ := json.Marshal(table{Node: n.name, Incarnation: "1", Nonce: fmt.Sprint(n.w.c.s.version)})
		version, err := n.view.Update(ctx, "holders", "t", n.version, data)
		if err == nil {
			n.adopt(platform.Object{Version: version, Data: data})
			n.w.pathP++
		}
	case !n.PlatformReachable() && n.Right().Majority && n.ConfirmedSilent(x):
		n.takenByM = true
		n.w.pathM++
	}
}

// notInDoubt tells whether the node would send to the target without halving its limit.
func (n *modelNode) notInDoubt() bool {
	right := n.Right()
	if !right.Serve || right.InDoubt || n.seen.Node != n.name {
		return false
	}
	return n.sure || n.clk.Now().Sub(n.writtenAt) >= DefaultTerm+DefaultMargin
}

func (w *world) check() {
	var sure []string
	for _, n := range w.nodes {
		if n.notInDoubt() {
			sure = append(sure, n.name)
			if !n.sure {
				w.settled++
			}
		}
	}
	if len(sure) > 1 {
		w.t.Fatalf("nodes %v hold the target, none of them in doubt", sure)
	}
}

// interleave runs other nodes, or time, in the middle of one in rarity calls of n.
func (w *world) interleave(n *modelNode, rarity int) {
	if w.nested {
		return
	}
	w.nested = true
	defer func() { w.nested = false }()
	w.check()
	if rapid.IntRange(1, rarity).Draw(w.t, "interrupt") != rarity {
		return
	}
	n.busy = true
	for range rapid.IntRange(1, 3).Draw(w.t, "nested steps") {
		if rapid.Bool().Draw(w.t, "paused") {
			w.live(nil)
		} else {
			w.step()
		}
	}
	n.busy = false
}

func (w *world) idle() []*modelNode {
	var idle []*modelNode
	for _, n := range w.nodes {
		if !n.busy {
			idle = append(idle, n)
		}
	}
	return idle
}

// step draws one action of one node.
func (w *world) step() {
	ctx := context.Background()
	n := rapid.SampledFrom(w.idle()).Draw(w.t, "node")
	other := rapid.SampledFrom(w.c.names).Draw(w.t, "other")
	actions := []func(){
		func() { w.c.advance(time.Duration(rapid.IntRange(1, 5000).Draw(w.t, "ms")) * time.Millisecond) },
		func() { n.cycle(ctx) },
		func() { n.take(ctx) },
		func() { n.view.cut = !n.view.cut },
		func() { n.view.lose = !n.view.lose },
		func() { w.c.cut[[2]string{n.name, other}] = !w.c.cut[[2]string{n.name, other}] },
		func() { w.c.isolate(n.name, true); n.view.cut = rapid.Bool().Draw(w.t, "cut platform") },
		func() { w.c.s.freeze() },
		func() { w.c.s.snapshot = nil },
		func() { w.live(n) }, // n is paused while the others go on.
		func() { w.live(n) },
		func() { w.live(nil) },
		w.heal,
	}
	if other != n.name {
		actions = append(actions, func() { n.beat(ctx, other, other) })
	}
	actions[rapid.IntRange(0, len(actions)-1).Draw(w.t, "action")]()
	w.check()
}

// live runs the idle nodes but the paused one for up to 6 s, with an attempt to take over after each interval.
func (w *world) live(paused *modelNode) {
	var names []string
	for _, n := range w.idle() {
		if n != paused {
			names = append(names, n.name)
		}
	}
	for range rapid.IntRange(1, 6).Draw(w.t, "seconds") {
		w.c.run(time.Second, names...)
		w.check()
		for _, n := range w.idle() {
			if n != paused {
				n.take(context.Background())
				w.check()
			}
		}
	}
}

func (w *world) heal() {
	w.c.cut = map[[2]string]bool{}
	w.c.s.snapshot = nil
	for _, n := range w.nodes {
		n.view.cut, n.view.lose = false, false
	}
}

// Guards against two nodes that both send their full limit to one target: over random interleavings of renewals,
// heartbeats, pauses, cuts, lost replies, stale reads and clocks of different speed, at most one node holds the target
// without being in doubt.
func TestModelOneHolderNotInDoubt(t *testing.T) {
	var pathP, pathM, settled int
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rt)
		for range rapid.IntRange(20, 60).Draw(rt, "steps") {
			w.step()
		}
		pathP, pathM, settled = pathP+w.pathP, pathM+w.pathM, settled+w.settled
	})
	t.Logf("takeovers by P or written: %d, by M: %d; checks with a new holder not in doubt: %d", pathP, pathM, settled)
	if pathP == 0 || pathM == 0 || settled == 0 {
		t.Fatal("the model did not exercise both takeover paths and their end")
	}
}

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
type holderTable struct{ Node, Incarnation, Nonce string }

// modelNode is a node with a minimal holder logic: the taker rules P and M of docs/design.md, section 4.
type modelNode struct {
	*testNode
	model           *model
	table           holderTable
	tableVersion    uint64     // Of the table that was read or written last.
	initialHolder   bool       // The holder from the start, which never took over.
	heldSince       clock.Time // When this node knew that the table names it.
	takenByMajority bool
	inCall          bool // In a call; takes no other action.
}

// world runs the nodes and checks the property after every step.
type model struct {
	t                                                         *rapid.T
	cluster                                                   *cluster
	nodes                                                     []*modelNode
	interleaving                                              bool
	platformTakeovers, majorityTakeovers, checksAfterTakeover int
}

func newModel(t *rapid.T) *model {
	m := &model{t: t, cluster: newCluster(0)}
	for i := range rapid.IntRange(2, 4).Draw(t, "nodes") {
		n := &modelNode{model: m, initialHolder: i == 0}
		n.testNode = m.cluster.addNode(fmt.Sprintf("n%d", i), "1", func(tn *testNode, o *Options) {
			// Two clocks differ by at most 10%, less than margin/term.
			tn.clockRate = rapid.Float64Range(0.95, 1.05).Draw(t, "rate")
			tn.platform.onCall, tn.onHeartbeat = func() { m.interleave(n, 15) }, func() { m.interleave(n, 60) }
			o.AfterRenew = n.rereadTable
		})
		m.nodes = append(m.nodes, n)
	}
	data, _ := json.Marshal(holderTable{Node: "n0", Incarnation: "1"})
	if _, err := m.cluster.store.write("holders", "t", 0, data); err != nil {
		t.Fatal(err)
	}
	m.interleaving = true // No interleaving while starting.
	m.cluster.run(2*time.Second, m.cluster.names...)
	m.interleaving = false
	return m
}

// reread is AfterRenew: it reads the table and gives up the target if another node holds it.
func (n *modelNode) rereadTable(ctx context.Context, version uint64) error {
	objects, listVersion, err := n.platform.List(ctx, "holders")
	if err != nil {
		return err
	}
	if listVersion < version {
		return errors.New("stale table")
	}
	n.applyTable(objects[0])
	return nil
}

func (n *modelNode) applyTable(object platform.Object) {
	if object.Version < n.tableVersion {
		return
	}
	var read holderTable
	if err := json.Unmarshal(object.Data, &read); err != nil {
		n.model.t.Fatal(err)
	}
	if read.Node != n.name {
		n.initialHolder = false
		n.takenByMajority = n.takenByMajority && object.Version == n.tableVersion
	} else if n.table.Node != n.name && !n.initialHolder {
		n.heldSince, n.takenByMajority = n.clk.Now(), false
	}
	n.table, n.tableVersion = read, object.Version
}

// take applies rule P, else rule M, and writes an earlier M takeover when the platform is back.
func (n *modelNode) tryTakeover(ctx context.Context) {
	holder := n.table.Node
	if holder == n.name || holder == "" || !n.Right().Serve {
		return
	}
	switch {
	case n.PlatformReachable() && (n.takenByMajority || n.LeaseEnded(holder, n.table.Incarnation)):
		data, _ := json.Marshal(holderTable{Node: n.name, Incarnation: "1", Nonce: fmt.Sprint(n.model.cluster.store.version)})
		version, err := n.platform.Update(ctx, "holders", "t", n.tableVersion, data)
		if err == nil {
			n.applyTable(platform.Object{Version: version, Data: data})
			n.model.platformTakeovers++
		}
	case !n.PlatformReachable() && n.Right().Majority && n.ConfirmedSilent(holder):
		n.takenByMajority = true
		n.model.majorityTakeovers++
	}
}

// notInDoubt tells whether the node would send to the target without halving its limit.
func (n *modelNode) notInDoubt() bool {
	right := n.Right()
	if !right.Serve || right.InDoubt || n.table.Node != n.name {
		return false
	}
	return n.initialHolder || n.clk.Now().Sub(n.heldSince) >= DefaultTerm+DefaultMargin
}

func (m *model) check() {
	var notInDoubt []string
	for _, n := range m.nodes {
		if n.notInDoubt() {
			notInDoubt = append(notInDoubt, n.name)
			if !n.initialHolder {
				m.checksAfterTakeover++
			}
		}
	}
	if len(notInDoubt) > 1 {
		m.t.Fatalf("nodes %v hold the target, none of them in doubt", notInDoubt)
	}
}

// interleave runs other nodes, or time, in the middle of one in rarity calls of n.
func (m *model) interleave(n *modelNode, rarity int) {
	if m.interleaving {
		return
	}
	m.interleaving = true
	defer func() { m.interleaving = false }()
	m.check()
	if rapid.IntRange(1, rarity).Draw(m.t, "interrupt") != rarity {
		return
	}
	n.inCall = true
	for range rapid.IntRange(1, 3).Draw(m.t, "nested steps") {
		if rapid.Bool().Draw(m.t, "paused") {
			m.runIdleNodes(nil)
		} else {
			m.step()
		}
	}
	n.inCall = false
}

func (m *model) idle() []*modelNode {
	var idle []*modelNode
	for _, n := range m.nodes {
		if !n.inCall {
			idle = append(idle, n)
		}
	}
	return idle
}

// step draws one action of one node.
func (m *model) step() {
	ctx := context.Background()
	n := rapid.SampledFrom(m.idle()).Draw(m.t, "node")
	other := rapid.SampledFrom(m.cluster.names).Draw(m.t, "other")
	actions := []func(){
		func() { m.cluster.advance(time.Duration(rapid.IntRange(1, 5000).Draw(m.t, "ms")) * time.Millisecond) },
		func() { n.renewalCycle(ctx) },
		func() { n.tryTakeover(ctx) },
		func() { n.platform.disconnected = !n.platform.disconnected },
		func() { n.platform.loseReplies = !n.platform.loseReplies },
		func() { m.cluster.blocked[[2]string{n.name, other}] = !m.cluster.blocked[[2]string{n.name, other}] },
		func() {
			m.cluster.isolate(n.name, true)
			n.platform.disconnected = rapid.Bool().Draw(m.t, "cut platform")
		},
		func() { m.cluster.store.freezeReads() },
		func() { m.cluster.store.snapshot = nil },
		func() { m.runIdleNodes(n) }, // n is paused while the others go on.
		func() { m.runIdleNodes(n) },
		func() { m.runIdleNodes(nil) },
		m.restoreConnections,
	}
	if other != n.name {
		actions = append(actions, func() { n.sendHeartbeat(ctx, other, other) })
	}
	actions[rapid.IntRange(0, len(actions)-1).Draw(m.t, "action")]()
	m.check()
}

// live runs the idle nodes but the paused one for up to 6 s, with an attempt to take over after each interval.
func (m *model) runIdleNodes(paused *modelNode) {
	var names []string
	for _, n := range m.idle() {
		if n != paused {
			names = append(names, n.name)
		}
	}
	for range rapid.IntRange(1, 6).Draw(m.t, "seconds") {
		m.cluster.run(time.Second, names...)
		m.check()
		for _, n := range m.idle() {
			if n != paused {
				n.tryTakeover(context.Background())
				m.check()
			}
		}
	}
}

func (m *model) restoreConnections() {
	m.cluster.blocked = map[[2]string]bool{}
	m.cluster.store.snapshot = nil
	for _, n := range m.nodes {
		n.platform.disconnected, n.platform.loseReplies = false, false
	}
}

// Guards against two nodes that both send their full limit to one target: over random interleavings of renewals,
// heartbeats, pauses, cuts, lost replies, stale reads and clocks of different speed, at most one node holds the target
// without being in doubt.
func TestModelOneHolderNotInDoubt(t *testing.T) {
	var platformTakeovers, majorityTakeovers, checksAfterTakeover int
	rapid.Check(t, func(rt *rapid.T) {
		m := newModel(rt)
		for range rapid.IntRange(20, 60).Draw(rt, "steps") {
			m.step()
		}
		platformTakeovers, majorityTakeovers, checksAfterTakeover = platformTakeovers+m.platformTakeovers, majorityTakeovers+m.majorityTakeovers, checksAfterTakeover+m.checksAfterTakeover
	})
	t.Logf("takeovers by P or written: %d, by M: %d; checks with a new holder not in doubt: %d", platformTakeovers, majorityTakeovers, checksAfterTakeover)
	if platformTakeovers == 0 || majorityTakeovers == 0 || checksAfterTakeover == 0 {
		t.Fatal("the model did not exercise both takeover paths and their end")
	}
}

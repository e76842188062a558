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

// holderTable is the holder table of the model. It contains one target, held by the named node and incarnation. The nonce
// makes the data of each write unique.
type holderTable struct{ Node, Incarnation, Nonce string }

// modelNode is a node with a minimal version of package holder's two ways to take over a target: through the platform once
// the holder's lease has ended (holder.PathPlatform), and without the platform once a majority confirms that the holder is
// silent (holder.PathMajority).
type modelNode struct {
	*testNode
	model           *model
	table           holderTable
	tableVersion    uint64     // Version of table.
	initialHolder   bool       // This node has held the target without interruption since the start.
	heldSince       clock.Time // When this node learned that the table names it.
	takenByMajority bool       // This node took over without the platform and has not written the table yet.
	inCall          bool       // The node is in the middle of a call and takes no other action.
}

// model runs the nodes and checks after every step that at most one node holds the target without being in doubt.
type model struct {
	t                                                         *rapid.T
	cluster                                                   *cluster
	nodes                                                     []*modelNode
	interleaving                                              bool // interleave is running or disabled.
	platformTakeovers, majorityTakeovers, checksAfterTakeover int
}

func newModel(t *rapid.T) *model {
	m := &model{t: t, cluster: newCluster(0)}
	for i := range rapid.IntRange(2, 4).Draw(t, "nodes") {
		n := &modelNode{model: m, initialHolder: i == 0}
		n.testNode = m.cluster.addNode(fmt.Sprintf("n%d", i), "1", func(tn *testNode, o *Options) {
			// The speeds of two clocks differ by at most 0.1, which is less than margin/term.
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
	m.interleaving = true // Disables interleave during the start.
	m.cluster.run(2*time.Second, m.cluster.names...)
	m.interleaving = false
	return m
}

// rereadTable is the AfterRenew callback. It reads the table, and releases the target if another node holds it.
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

// applyTable records a version of the table, unless it is older than the known one.
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

// tryTakeover takes over the target if the platform is reachable and the holder's lease has ended, or if the platform is
// unreachable and a majority that includes this node confirms that the holder is silent. In the latter case it writes the
// table once the platform is reachable again.
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

// notInDoubt reports whether the node holds the target by the table and isn't in doubt.
func (n *modelNode) notInDoubt() bool {
	right := n.Right()
	if !right.Serve || right.InDoubt || n.table.Node != n.name {
		return false
	}
	return n.initialHolder || n.clk.Now().Sub(n.heldSince) >= DefaultTerm+DefaultMargin
}

// check fails the test if more than one node holds the target without being in doubt.
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

// interleave is called in the middle of a call of n. In one of rarity cases it runs steps of the other nodes there, during
// which time may pass.
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

// idle returns the nodes that are not in the middle of a call.
func (m *model) idle() []*modelNode {
	var idle []*modelNode
	for _, n := range m.nodes {
		if !n.inCall {
			idle = append(idle, n)
		}
	}
	return idle
}

// step draws one action of one node or of the environment, and runs it.
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
		func() { m.runIdleNodes(n) }, // n is paused while the others run.
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

// runIdleNodes runs the idle nodes except the paused one for up to 6 s. Each of them calls tryTakeover after every second.
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

// restoreConnections restores all connections, replies and current reads.
func (m *model) restoreConnections() {
	m.cluster.blocked = map[[2]string]bool{}
	m.cluster.store.snapshot = nil
	for _, n := range m.nodes {
		n.platform.disconnected, n.platform.loseReplies = false, false
	}
}

// Guards against two nodes that both hold one target without being in doubt, over random interleavings of renewals,
// heartbeats, pauses, lost connections, lost replies, stale reads and clocks of different speed.
func TestModelOneHolderNotInDoubt(t *testing.T) {
	var platformTakeovers, majorityTakeovers, checksAfterTakeover int
	rapid.Check(t, func(rt *rapid.T) {
		m := newModel(rt)
		for range rapid.IntRange(20, 60).Draw(rt, "steps") {
			m.step()
		}
		platformTakeovers, majorityTakeovers, checksAfterTakeover = platformTakeovers+m.platformTakeovers, majorityTakeovers+m.majorityTakeovers, checksAfterTakeover+m.checksAfterTakeover
	})
	t.Logf("takeovers written to the platform: %d, by majority: %d; checks with a new holder not in doubt: %d",
		platformTakeovers, majorityTakeovers, checksAfterTakeover)
	if platformTakeovers == 0 || majorityTakeovers == 0 || checksAfterTakeover == 0 {
		t.Fatal("the model ran no platform takeover, no majority takeover or no check with a new holder not in doubt")
	}
}

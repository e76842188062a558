package entry

import (
	"cmp"
	"context"
	"errors"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/internal/gossip"
	"cassiadeal.example/cassiadeal/platform"
)

const (
	// singleMirrorNodes is the number of nodes of a failure domain up to which one mirror serves all. Beyond, there is one for each
	// nodesPerMirror nodes: with 100 readers and 1,000 replicas each, one used its whole link.
	singleMirrorNodes = 60
	nodesPerMirror    = 25
	// spreadStartNodes is the number of nodes from which on they don't all list the replicas from the store when they start at once after the
	// first run. Each then waits for a mirror for a random part of startSpread for each node: 300 lists of 1 MB take 2.4 s on the
	// store's link, and a list has 3 s.
	spreadStartNodes = 150
	startSpread      = 6 * time.Millisecond
	// sizeKnownTimeout is the longest wait of a node that has just started for the records of the nodes, which tell their number.
	sizeKnownTimeout = 250 * time.Millisecond
	// busyRetryDelay is the time after which a mirror that is busy is asked again, randomized by +-50%, and maxBusyAnswers how often. A mirror
	// lets a reader wait for up to a second before it says so.
	busyRetryDelay = 300 * time.Millisecond
	maxBusyAnswers = 2
	// firstWatchWait is the wait of the first watch at another source. It shows as soon as a list would whether the source answers.
	firstWatchWait = 10 * time.Millisecond
)

// mirrorsWanted returns the number of nodes of a failure domain that read the store for the others.
func mirrorsWanted(nodes int) int {
	if nodes <= singleMirrorNodes {
		return 1
	}
	return (nodes + nodesPerMirror - 1) / nodesPerMirror
}

// mirrorRanks returns the live nodes of this failure domain that precede this one and may serve as mirrors, in order, and the number of mirrors
// that the failure domain should have. In a large one, these are only nodes with at least half of the capacity of the strongest, and the
// planner only if there is no other: a weak node can't carry the readers of a strong one that is slow for a moment.
func (n *Node) mirrorRanks(alive []gossip.Peer) (preceding []gossip.Peer, wanted int) {
	nodes, strongest := 1, n.settings.Capacity
	for _, p := range alive {
		if p.Zone != n.settings.Zone || p.Draining {
			continue
		}
		nodes++
		strongest = max(strongest, int(p.Capacity))
		if n.precedes(p) {
			preceding = append(preceding, p)
		}
	}
	slices.SortStableFunc(preceding, func(a, b gossip.Peer) int { return cmp.Compare(b.Capacity, a.Capacity) }) // They are sorted by name.
	if wanted = mirrorsWanted(nodes); wanted == 1 {
		return preceding, wanted
	}
	preceding = slices.DeleteFunc(preceding, func(p gossip.Peer) bool { return isWeak(int(p.Capacity), strongest) })
	if others := slices.DeleteFunc(slices.Clone(preceding), func(p gossip.Peer) bool { return p.Planner }); len(others) > 0 || !isWeak(n.settings.Capacity, strongest) {
		preceding = others
	}
	if isWeak(n.settings.Capacity, strongest) {
		wanted = min(wanted, len(preceding)) // This node isn't one of them.
	}
	return preceding, wanted
}

// isWeak reports whether a node has less than half of the capacity of the strongest one.
func isWeak(capacity, strongest int) bool { return 2*capacity < strongest }

// mirrorSource returns the address of the mirror from which this node reads, or "" for the store itself. It is the mirror of
// the first node in its failure domain (see precedes) that follows the store itself, or one of the first where there are several. The planner
// always reads from the store, since a mirror's delay would hold up its repairs.
func (n *Node) mirrorSource() string {
	if n.planner.Active() {
		return ""
	}
	return n.chooseMirror(n.mesh.Alive())
}

func (n *Node) chooseMirror(alive []gossip.Peer) string {
	preceding, wanted := n.mirrorRanks(alive)
	if len(preceding) < wanted {
		return "" // This node is one of the mirrors.
	}
	usable := slices.DeleteFunc(preceding, func(p gossip.Peer) bool { return p.MirrorAddress == "" || n.mirrorAvoided(p.MirrorAddress) })
	if len(usable) == 0 {
		return ""
	}
	chosen := n.spread(usable[:min(len(usable), wanted)])
	n.mu.Lock()
	defer n.mu.Unlock()
	n.mirrorOf[chosen.Node] = chosen.MirrorAddress
	return chosen.MirrorAddress
}

// spread returns the one of several mirrors that this node reads, by rendezvous hashing: when one goes, only its own readers move.
func (n *Node) spread(mirrors []gossip.Peer) gossip.Peer {
	return slices.MaxFunc(mirrors, func(a, b gossip.Peer) int {
		return cmp.Compare(rendezvousWeight(n.settings.Node, a.Node), rendezvousWeight(n.settings.Node, b.Node))
	})
}

func rendezvousWeight(reader, mirror string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(mirror + "\x00" + reader)) // Never fails.
	x := h.Sum64()
	// FNV hardly mixes its last bytes into the high bits, by which weights compare.
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	return x ^ x>>33
}

// precededByMirror reports whether another node is to read the store before this one.
func (n *Node) precededByMirror(alive []gossip.Peer) bool {
	preceding, wanted := n.mirrorRanks(alive)
	if len(preceding) < wanted {
		return false
	}
	return slices.ContainsFunc(preceding, func(p gossip.Peer) bool { return !n.mirrorAvoided(n.peerMirror(p)) })
}

// awaitStartSlot delays the first list of the replicas after a restart of many nodes, until the time of this node or until there is a mirror.
func (n *Node) awaitStartSlot(ctx context.Context) {
	for ctx.Err() == nil && !n.nodesListed.Load() && n.mesh.Uptime() < sizeKnownTimeout && !n.storeContact.failing() {
		sleep(ctx, sourceCheckInterval/5)
	}
	nodes := len(n.mesh.Destinations()) + 1
	if nodes < spreadStartNodes {
		return
	}
	slot := time.Duration(n.startShare * float64(nodes) * float64(startSpread))
	for ctx.Err() == nil && n.mesh.Uptime() < slot && n.mirrorSource() == "" && !n.planner.Active() {
		sleep(ctx, sourceCheckInterval)
	}
}

// isFirstListAfterRestart reports whether the follower is about to list the replicas for the first time, while clients are waiting.
func (f *follower) isFirstListAfterRestart() bool {
	return f.kind == platform.KindReplicas && f.lastAnswerAt == clock.Time(0) && !f.node.settings.FirstRun
}

// moveTo sets the source of the next call. What was read before stays: revisions are those of the store in all sources, so the next call
// is a watch from the present position.
func (f *follower) moveTo(source string) {
	f.source = source
	f.mirrorCopy.SetDirect(source == "")
	f.mu.Lock()
	defer f.mu.Unlock()
	f.moved, f.cancelPending = true, nil
}

// leaveMirror avoids the present mirror for a while after a call failed. One that is only busy is asked again a few times. What it sent may be
// wrong if it can't be decoded, so all objects are listed then.
func (f *follower) leaveMirror(ctx context.Context, err error) {
	if f.busyAnswers++; errors.Is(err, platform.ErrBusy) && f.busyAnswers <= maxBusyAnswers {
		sleep(ctx, time.Duration((0.5+rand.Float64())*float64(busyRetryDelay)))
		return
	}
	f.busyAnswers = 0
	f.node.avoidMirror(f.source)
	if undecodable := new(platform.UndecodableError); errors.As(err, &undecodable) {
		f.setListed(false)
	}
}

// watchWait returns the longest wait of the next watch.
func (f *follower) watchWait() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.moved {
		return min(firstWatchWait, f.maxWait)
	}
	return f.maxWait
}

// noteSourceAnswered records that the present source has answered.
func (f *follower) noteSourceAnswered() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.moved, f.busyAnswers = false, 0
}

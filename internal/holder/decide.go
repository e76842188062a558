// Package holder assigns every target to one entry node, its holder, which sends the requests to it.
//
// The assignment is stored on the platform in holder tables, one per failure domain, which nodes change by conditional
// writes. A node may serve while it has a platform lease or is in contact with a majority of the nodes. If the platform is
// unreachable, a node takes over the targets of a node that a majority has found silent, announces that in heartbeats, and
// writes it to the table later. A target is in doubt while an earlier holder may still send to it.
package holder

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Identity identifies one process. A node keeps its name when it restarts and gets a new incarnation.
type Identity struct {
	Name, Incarnation string
}

// Target is a replica group or one back end of a service.
type Target struct {
	ID            string
	FailureDomain string
}

// Node is the state of an entry node as reported by membership.
type Node struct {
	Identity
	FailureDomain string
	// Live is true if membership counts the node as running.
	Live bool
	// Serving is false for a node that is starting or draining.
	Serving bool
	// LeaseLapsed is true if the node's lease record is known to have been unchanged for term + margin.
	LeaseLapsed bool
	// ConfirmedSilent is true if a majority of the listed nodes has received no heartbeat from the node for term + margin.
	ConfirmedSilent bool
}

// Entry is the assignment of a target to a node. Epoch increases with every change of holder.
type Entry struct {
	Identity
	Epoch uint64
}

// Score is the rendezvous weight of a node for a key.
func Score(key, node string) uint64 {
	hash := xxhash.New()
	_, _ = hash.WriteString(key) // Digest.Write never fails.
	_, _ = hash.Write([]byte{0})
	_, _ = hash.WriteString(node)
	return hash.Sum64()
}

// usable reports whether a node may be given targets. A node whose lease has lapsed can neither write itself into a holder
// table nor read that it was made a holder, even if its peers still receive its heartbeats. No lease is found to have lapsed
// while the platform is unreachable.
func (n Node) usable() bool { return n.Live && n.Serving && !n.LeaseLapsed }

// Prefer returns the names of the usable nodes in order of preference: those of the target's failure domain first, then
// the others, each by rendezvous hashing.
func Prefer(t Target, nodes []Node) []string {
	type ranked struct {
		name          string
		outsideDomain int
		score         uint64
	}
	var order []ranked
	for _, node := range nodes {
		if !node.usable() {
			continue
		}
		candidate := ranked{name: node.Name, score: Score(t.ID, node.Name)}
		if node.FailureDomain != t.FailureDomain {
			candidate.outsideDomain = 1
		}
		order = append(order, candidate)
	}
	slices.SortFunc(order, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.outsideDomain, b.outsideDomain), cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
	})
	names := make([]string, len(order))
	for i, candidate := range order {
		names[i] = candidate.name
	}
	return names
}

// Path is the way in which a node becomes the holder of a target.
type Path int

const (
	// PathFree is for a target that has no holder; the node writes itself into the table.
	PathFree Path = iota + 1
	// PathPlatform is for a target whose holder's lease has lapsed or whose holder's process is no longer in the node
	// list; the node writes itself into the table.
	PathPlatform
	// PathMajority is for a target whose holder was confirmed silent while the platform is unreachable; the node announces
	// the takeover to its peers and writes it to the table once the platform is reachable.
	PathMajority
)

// Acquisition is a decision to become the holder of a target. From is the entry that it replaces. InDoubt is true if an
// earlier holder may still send to the target.
type Acquisition struct {
	Target  Target
	From    Entry
	Path    Path
	InDoubt bool
}

// Move is a decision to make another node the holder of a target.
type Move struct {
	Target Target
	To     Identity
}

// Input is the state on which Decide bases its decision.
type Input struct {
	Self    Identity
	Nodes   []Node // Includes this node.
	Targets []Target
	// Entries is keyed by target ID. It holds the table's entries, overridden by takeovers that are not in the table yet.
	Entries map[string]Entry
	// Absent is true for holders that have matched no listed node for term + margin, such as earlier incarnations.
	Absent            map[Identity]bool
	RightToServe      bool
	PlatformReachable bool
	// Restored is true if the store was restored so recently that a target may have a holder whose entry was lost.
	Restored bool
	// EverRestored is true if the store was ever restored. A node that can't reach it may then hold a target whose entry was lost.
	EverRestored bool
	// Fixed is true for targets that must not be moved, for example because they are in doubt.
	Fixed map[string]bool
	// MaxMoves is the maximum number of targets in Decision.HandOver.
	MaxMoves int
}

// Decision lists the targets that this node takes, already holds (by target ID), and hands over to balance the load.
type Decision struct {
	Acquire  []Acquisition
	Keep     []string
	HandOver []Move
}

// maxImbalance is the number of targets that one node may hold in a failure domain, relative to the mean. Above it, targets
// are moved, provided that the node is also at least one whole target above the mean.
const maxImbalance = 1.25

// Decide returns which targets this node takes, keeps or hands over.
func Decide(in Input) Decision {
	var decision Decision
	nodes := make(map[string]Node, len(in.Nodes))
	for _, n := range in.Nodes {
		nodes[n.Name] = n
	}
	for _, target := range in.Targets {
		entry, hasHolder := in.Entries[target.ID]
		if hasHolder && entry.Identity == in.Self {
			decision.Keep = append(decision.Keep, target.ID)
			continue
		}
		if !in.RightToServe {
			continue
		}
		acquisition, ok := mayAcquire(in, nodes, entry, hasHolder)
		if !ok {
			continue
		}
		if order := Prefer(target, in.Nodes); len(order) > 0 && order[0] == in.Self.Name {
			acquisition.Target, acquisition.From = target, entry
			decision.Acquire = append(decision.Acquire, acquisition)
		}
	}
	if in.RightToServe && in.PlatformReachable && in.MaxMoves > 0 {
		decision.HandOver = balance(in, nodes)
	}
	return decision
}

// mayAcquire reports whether this node may replace the holder in entry: the holder has provably lost the target, or holds it
// only in doubt. The result has no Target and From yet.
func mayAcquire(in Input, nodes map[string]Node, entry Entry, hasHolder bool) (Acquisition, bool) {
	tableIsCurrent := in.PlatformReachable && !in.Restored
	if !hasHolder {
		return Acquisition{Path: PathFree, InDoubt: in.EverRestored && anyNodeCutOff(in.Nodes)}, tableIsCurrent
	}
	node, listed := nodes[entry.Name]
	if !listed || node.Incarnation != entry.Incarnation {
		// If the name is listed with another incarnation, the takeover is in doubt: peers can't confirm that the earlier
		// incarnation is silent, because they receive heartbeats of the other one under the same name. If the name isn't
		// listed, the holder has stopped: a node's record is only removed once that is proved.
		return Acquisition{Path: PathPlatform, InDoubt: listed || anyNodeCutOff(in.Nodes)}, tableIsCurrent && in.Absent[entry.Identity]
	}
	if in.PlatformReachable {
		return Acquisition{Path: PathPlatform, InDoubt: anyNodeCutOff(in.Nodes)}, node.LeaseLapsed && !in.Restored
	}
	return Acquisition{Path: PathMajority, InDoubt: true}, node.ConfirmedSilent
}

// anyNodeCutOff reports whether the lease of a node has lapsed while its contact with a majority may still allow it to
// serve. Such a node can't read on the platform that it has lost targets.
func anyNodeCutOff(nodes []Node) bool {
	return slices.ContainsFunc(nodes, func(n Node) bool { return n.LeaseLapsed && !n.ConfirmedSilent })
}

// balance selects targets of this node to move to nodes that hold fewer than the mean of their failure domain.
func balance(in Input, nodes map[string]Node) []Move {
	byDomain := map[string][]Target{}
	for _, t := range in.Targets {
		byDomain[t.FailureDomain] = append(byDomain[t.FailureDomain], t)
	}
	domains := make([]string, 0, len(byDomain))
	for d := range byDomain {
		domains = append(domains, d)
	}
	slices.Sort(domains)
	var moves []Move
	for _, d := range domains {
		moves = append(moves, balanceDomain(in, nodes, d, byDomain[d], in.MaxMoves-len(moves))...)
	}
	return moves
}

// eligibleNodes returns the nodes among which the targets of a failure domain are balanced: the usable nodes of the domain,
// or all usable nodes if it has none.
func eligibleNodes(nodes []Node, domain string) map[string]bool {
	sameDomain, all := map[string]bool{}, map[string]bool{}
	for _, n := range nodes {
		if !n.usable() {
			continue
		}
		all[n.Name] = true
		if n.FailureDomain == domain {
			sameDomain[n.Name] = true
		}
	}
	if len(sameDomain) > 0 {
		return sameDomain
	}
	return all
}

// balanceDomain returns up to maxMoves moves for the targets of one failure domain.
func balanceDomain(in Input, nodes map[string]Node, domain string, targets []Target, maxMoves int) []Move {
	candidates := eligibleNodes(in.Nodes, domain)
	if len(candidates) == 0 || maxMoves <= 0 {
		return nil
	}
	targetsPerNode := map[string]int{}
	for _, t := range targets {
		if e, ok := in.Entries[t.ID]; ok {
			targetsPerNode[e.Name]++
		}
	}
	mean := float64(len(targets)) / float64(len(candidates))
	overloaded := func() bool {
		own := float64(targetsPerNode[in.Self.Name])
		return own > 0 && (!candidates[in.Self.Name] || own > mean*maxImbalance && own >= mean+1)
	}
	var moves []Move
	for _, t := range targets {
		if len(moves) >= maxMoves || !overloaded() {
			break
		}
		if in.Entries[t.ID].Identity != in.Self || in.Fixed[t.ID] {
			continue
		}
		for _, name := range Prefer(t, in.Nodes) {
			if name != in.Self.Name && candidates[name] && float64(targetsPerNode[name]) < mean {
				targetsPerNode[name]++
				targetsPerNode[in.Self.Name]--
				moves = append(moves, Move{Target: t, To: nodes[name].Identity})
				break
			}
		}
	}
	return moves
}

// Package holder assigns every target to the one node that sends requests to it.
package holder

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Identity names one process: a node name is reused after a restart, an incarnation is not.
type Identity struct {
	Name, Incarnation string
}

// Target is a replica group or one back end of a service.
type Target struct {
	ID            string
	FailureDomain string
}

// Node is an entry node as membership sees it.
type Node struct {
	Identity
	FailureDomain string
	// Live is true if the node is heard or renews its lease.
	Live bool
	// Serving is false for a node that is starting or draining.
	Serving bool
	// LeaseLapsed is true if the lease record has been unchanged for term + margin.
	LeaseLapsed bool
	// ConfirmedSilent is true if a majority of the listed nodes has not heard the node for term + margin.
	ConfirmedSilent bool
}

// Entry is one assignment of a target. Epoch grows with every change of holder.
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

// usable tells whether a node may be given targets. A node whose lease has lapsed can't write itself as a holder or read
// that it is one, even if its peers still hear it. Without the platform, no lease is seen to lapse.
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
	for _, n := range nodes {
		if !n.usable() {
			continue
		}
		r := ranked{name: n.Name, score: Score(t.ID, n.Name)}
		if n.FailureDomain != t.FailureDomain {
			r.outsideDomain = 1
		}
		order = append(order, r)
	}
	slices.SortFunc(order, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.outsideDomain, b.outsideDomain), cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
	})
	names := make([]string, len(order))
	for i, r := range order {
		names[i] = r.name
	}
	return names
}

// Path tells how a target is taken.
type Path int

const (
	// PathFree takes a target that has no holder.
	PathFree Path = iota + 1
	// PathPlatform takes a target whose holder's lease has lapsed or whose process is gone from the node list.
	PathPlatform
	// PathMajority takes a target without the platform.
	PathMajority
)

// Take is a decision to become the holder of a target.
type Acquisition struct {
	Target  Target
	From    Entry
	Path    Path
	InDoubt bool
}

// Move is a decision to give a target to another node.
type Move struct {
	Target Target
	To     Identity
}

// Input is what Decide needs to know.
type Input struct {
	Self    Identity
	Nodes   []Node // Includes this node.
	Targets []Target
	// Entries is keyed by target ID: the table, overlaid with takeovers that are not written yet.
	Entries map[string]Entry
	// Absent lists holders that have not matched any listed node for term + margin, for example an earlier incarnation.
	Absent            map[Identity]bool
	RightToServe      bool
	PlatformReachable bool
	// Fixed lists targets that must not move, for example because they are in doubt.
	Fixed map[string]bool
	// MaxMoves bounds the moves for balance.
	MaxMoves int
}

// Decision lists what this node does with the targets.
type Decision struct {
	Acquire  []Acquisition
	Keep     []string
	HandOver []Move
}

// maxImbalance is the number of targets of a failure domain at one node, relative to the mean, above which targets move.
const maxImbalance = 1.25

// Decide says which targets this node takes, keeps or hands over.
func Decide(in Input) Decision {
	var decision Decision
	nodes := make(map[string]Node, len(in.Nodes))
	for _, n := range in.Nodes {
		nodes[n.Name] = n
	}
	for _, target := range in.Targets {
		entry, held := in.Entries[target.ID]
		if held && entry.Identity == in.Self {
			decision.Keep = append(decision.Keep, target.ID)
			continue
		}
		if !in.RightToServe {
			continue
		}
		acquisition, ok := mayAcquire(in, nodes, entry, held)
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

// mayAcquire tells whether the holder e of a target has provably lost it, or could only be sending in doubt.
func mayAcquire(in Input, nodes map[string]Node, entry Entry, held bool) (Acquisition, bool) {
	if !held {
		return Acquisition{Path: PathFree}, in.PlatformReachable
	}
	node, listed := nodes[entry.Name]
	if !listed || node.Incarnation != entry.Incarnation {
		// The silence of an earlier incarnation cannot be confirmed, because peers hear the later one under its name. A
		// record is only removed once its node is proved stopped.
		return Acquisition{Path: PathPlatform, InDoubt: listed || anyNodeCutOff(in.Nodes)}, in.PlatformReachable && in.Absent[entry.Identity]
	}
	if in.PlatformReachable {
		return Acquisition{Path: PathPlatform, InDoubt: anyNodeCutOff(in.Nodes)}, node.LeaseLapsed
	}
	return Acquisition{Path: PathMajority, InDoubt: true}, node.ConfirmedSilent
}

// anyNodeCutOff tells whether a node serves by the majority only. Such a node cannot read that it has lost targets.
func anyNodeCutOff(nodes []Node) bool {
	return slices.ContainsFunc(nodes, func(n Node) bool { return n.LeaseLapsed && !n.ConfirmedSilent })
}

// balance picks targets of this node to move to nodes that hold fewer than the mean.
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

// eligible returns the nodes that should share the targets of a failure domain.
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

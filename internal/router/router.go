// Package router chooses the entry node that runs a request, from the load that nodes report in heartbeats.
package router

import (
	"sort"
	"sync"

	"github.com/cespare/xxhash/v2"

	"cassiadeal.example/cassiadeal/internal/schema"
)

// maxLoadRatio is the highest ratio of a node's load to the mean load at which cache affinity still prefers the node.
const maxLoadRatio = 1.25

// Node is an entry node that can run requests.
type Node struct {
	Name          string
	PeerAddress   string
	FailureDomain string
	Self          bool
	// StatusSequence changes with every status received from the node.
	StatusSequence uint64
	// Pools is the load per pool and service: current for this node, and from the last heartbeat for other nodes.
	Pools []*schema.PoolSummary
}

// Router ranks nodes.
type Router struct {
	failureDomain string
	nodes         func() []Node

	mu sync.Mutex
	// sentCounts counts the requests sent to a node for a destination since its last status, which doesn't include them.
	sentCounts map[sentKey]sentCount
}

type sentKey struct{ node, destination string }

type sentCount struct {
	sequence uint64
	count    int
}

// New returns a Router for a node in the given failure domain. nodes lists the live nodes that take requests.
func New(failureDomain string, nodes func() []Node) *Router {
	return &Router{failureDomain: failureDomain, nodes: nodes, sentCounts: make(map[sentKey]sentCount)}
}

// candidate is a node with its summed load for one destination.
type candidate struct {
	node          Node
	freeSlots     int
	totalSlots    int
	queued        int
	affinityScore uint64
}

// Candidates returns the nodes that hold targets of the destination, best first. Nodes with free slots come first. Among
// them, nodes of this node's failure domain come first, because links to other failure domains have a cost and lose packets.
// Within these groups, requests with the same affinity prefer the same node unless its load is above maxLoadRatio times
// the mean; affinity 0 means that the least loaded node comes first.
func (r *Router) Candidates(destination string, affinity uint64) []Node {
	var candidates []candidate
	for _, n := range r.nodes() {
		if c, ok := r.newCandidate(n, destination, affinity); ok {
			candidates = append(candidates, c)
		}
	}
	mean := meanLoad(candidates)
	sort.SliceStable(candidates, func(i, j int) bool { return r.ranksBefore(candidates[i], candidates[j], affinity, mean) })
	ranked := make([]Node, len(candidates))
	for i, c := range candidates {
		ranked[i] = c.node
	}
	return ranked
}

// newCandidate returns the node with its summed load for the destination, or false if the node reports no slots for it. The
// affinity score is the node's rendezvous score for the affinity, whose bits are first mixed by Fibonacci hashing (the
// constant is 2^64 divided by the golden ratio).
func (r *Router) newCandidate(n Node, destination string, affinity uint64) (candidate, bool) {
	c := candidate{node: n, affinityScore: xxhash.Sum64String(n.Name) ^ affinity*0x9E3779B97F4A7C15}
	c.affinityScore = xxhash.Sum64(appendUint64(nil, c.affinityScore))
	for _, p := range n.Pools {
		if p.Name == destination {
			c.freeSlots += int(p.FreeSlots)
			c.totalSlots += int(p.TotalSlots)
			c.queued = max(c.queued, int(p.Queued)) // The node's summaries for one destination all report the same queue.
		}
	}
	c.freeSlots -= r.sentSinceStatus(n, destination)
	return c, c.totalSlots > 0
}

func appendUint64(b []byte, v uint64) []byte {
	for i := 0; i < 8; i++ {
		b = append(b, byte(v>>(8*i)))
	}
	return b
}

// load returns the share of slots in use; queued requests count as used slots.
func (c candidate) load() float64 {
	return float64(c.totalSlots-c.freeSlots+c.queued) / float64(c.totalSlots)
}

func meanLoad(candidates []candidate) float64 {
	used, total := 0, 0
	for _, c := range candidates {
		used += c.totalSlots - c.freeSlots + c.queued
		total += c.totalSlots
	}
	if total == 0 {
		return 0
	}
	return float64(used) / float64(total)
}

func (r *Router) ranksBefore(a, b candidate, affinity uint64, mean float64) bool {
	if hasFreeA, hasFreeB := a.freeSlots > 0, b.freeSlots > 0; hasFreeA != hasFreeB {
		return hasFreeA
	}
	localA, localB := a.node.FailureDomain == r.failureDomain, b.node.FailureDomain == r.failureDomain
	if localA != localB {
		return localA
	}
	if affinity == 0 {
		return a.load() < b.load()
	}
	if overA, overB := a.load() > maxLoadRatio*mean, b.load() > maxLoadRatio*mean; overA != overB {
		return overB
	}
	return a.affinityScore > b.affinityScore
}

// RecordSent counts a request that is sent to the node. Requests to this node aren't counted, since its summaries
// include them at once.
func (r *Router) RecordSent(n Node, destination string) {
	if n.Self {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	key := sentKey{n.Name, destination}
	s := r.sentCounts[key]
	if s.sequence != n.StatusSequence {
		s = sentCount{sequence: n.StatusSequence}
	}
	s.count++
	r.sentCounts[key] = s
}

func (r *Router) sentSinceStatus(n Node, destination string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.sentCounts[sentKey{n.Name, destination}]
	if s.sequence != n.StatusSequence {
		return 0
	}
	return s.count
}

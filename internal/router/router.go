// Package router chooses the entry node that runs a request, from the load that nodes report in heartbeats.
package router

import (
	"sort"
	"sync"

	"github.com/cespare/xxhash/v2"

	"cassiadeal.example/cassiadeal/internal/schema"
)

// loadBound is how far above the mean a node's load may be before cache affinity gives way to another node.
const loadBound = 1.25

// Node is an entry node that can run requests.
type Node struct {
	Name          string
	PeerAddress   string
	FailureDomain string
	Self          bool
	// StatusSequence changes with every status received from the node.
	StatusSequence uint64
	// Pools is current for the own node and as old as the last heartbeat for others.
	Pools []*schema.PoolSummary
}

// Router ranks nodes.
type Router struct {
	failureDomain string
	nodes         func() []Node

	mu sync.Mutex
	// sent counts the requests sent to a node for a destination since its last status, which doesn't know of them yet.
	sent map[sentKey]sentCount
}

type sentKey struct{ node, destination string }

type sentCount struct {
	sequence uint64
	count    int
}

// New returns a Router for a node in the given failure domain. nodes lists the live nodes that take requests.
func New(failureDomain string, nodes func() []Node) *Router {
	return &Router{failureDomain: failureDomain, nodes: nodes, sent: make(map[sentKey]sentCount)}
}

// candidate is a node with its summed load for one destination.
type candidate struct {
	node  Node
	free  int
	total int
	queue int
	score uint64
}

// Candidates returns the nodes that hold targets of the destination, best first. Nodes of the own failure domain come
// first while they have room, because the links to others cost and lose packets. Among nodes with room, those with
// equal affinity get equal requests; affinity 0 chooses the least loaded.
func (r *Router) Candidates(destination string, affinity uint64) []Node {
	var all []candidate
	for _, n := range r.nodes() {
		if c, ok := r.candidate(n, destination, affinity); ok {
			all = append(all, c)
		}
	}
	mean := meanLoad(all)
	sort.SliceStable(all, func(i, j int) bool { return r.better(all[i], all[j], affinity, mean) })
	ranked := make([]Node, len(all))
	for i, c := range all {
		ranked[i] = c.node
	}
	return ranked
}

func (r *Router) candidate(n Node, destination string, affinity uint64) (candidate, bool) {
	c := candidate{node: n, score: xxhash.Sum64String(n.Name) ^ affinity*0x9E3779B97F4A7C15}
	c.score = xxhash.Sum64(appendUint64(nil, c.score))
	for _, p := range n.Pools {
		if p.Name == destination {
			c.free += int(p.FreeSlots)
			c.total += int(p.TotalSlots)
			c.queue = max(c.queue, int(p.Queued)) // Every summary of a node repeats its one queue.
		}
	}
	c.free -= r.sentSince(n, destination)
	return c, c.total > 0
}

func appendUint64(b []byte, v uint64) []byte {
	for i := 0; i < 8; i++ {
		b = append(b, byte(v>>(8*i)))
	}
	return b
}

// load is the share of slots in use; queued requests count as used.
func (c candidate) load() float64 {
	return float64(c.total-c.free+c.queue) / float64(c.total)
}

func meanLoad(all []candidate) float64 {
	used, total := 0, 0
	for _, c := range all {
		used += c.total - c.free + c.queue
		total += c.total
	}
	if total == 0 {
		return 0
	}
	return float64(used) / float64(total)
}

func (r *Router) better(a, b candidate, affinity uint64, mean float64) bool {
	if roomA, roomB := a.free > 0, b.free > 0; roomA != roomB {
		return roomA
	}
	nearA, nearB := a.node.FailureDomain == r.failureDomain, b.node.FailureDomain == r.failureDomain
	if nearA != nearB {
		return nearA
	}
	if affinity == 0 {
		return a.load() < b.load()
	}
	if overA, overB := a.load() > loadBound*mean, b.load() > loadBound*mean; overA != overB {
		return overB
	}
	return a.score > b.score
}

// Sent notes that a request went to the node. The own node's summaries know of its requests at once.
func (r *Router) Sent(n Node, destination string) {
	if n.Self {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	key := sentKey{n.Name, destination}
	s := r.sent[key]
	if s.sequence != n.StatusSequence {
		s = sentCount{sequence: n.StatusSequence}
	}
	s.count++
	r.sent[key] = s
}

func (r *Router) sentSince(n Node, destination string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.sent[sentKey{n.Name, destination}]
	if s.sequence != n.StatusSequence {
		return 0
	}
	return s.count
}

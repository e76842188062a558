package target

import (
	"math"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// maxLoadRatio bounds the load up to which Affinity prefers a target for its prefix cache, relative to the mean load.
const maxLoadRatio = 1.25

// Candidate is a target that a Policy may choose for a request.
type Candidate struct {
	ID       string
	InFlight int
	Limit    int
}

func (c Candidate) hasFreeSlot() bool { return c.InFlight < c.Limit }

// Policy chooses the target of a request. Choose gets the usable targets that the request allows, sorted by ID and
// including full ones, and returns the index of one with a free slot, or -1 if there is none. It is called with the table
// locked and must not block.
type Policy interface {
	Choose(prefixHash uint64, candidates []Candidate) int
}

// LeastLoad chooses the target with the smallest share of its limit in use. Ties are broken in rotation.
type LeastLoad struct {
	lastStart atomic.Uint64
}

// Choose implements Policy.
func (p *LeastLoad) Choose(_ uint64, candidates []Candidate) int {
	best := -1
	start := int(p.lastStart.Add(1) % uint64(max(len(candidates), 1)))
	for i := range candidates {
		index := (start + i) % len(candidates)
		c := candidates[index]
		if !c.hasFreeSlot() {
			continue
		}
		if best < 0 || c.InFlight*candidates[best].Limit < candidates[best].InFlight*c.Limit {
			best = index
		}
	}
	return best
}

// RoundRobin chooses the targets in rotation and skips full ones. It ignores their load otherwise.
type RoundRobin struct {
	lastStart atomic.Uint64
}

// Choose implements Policy.
func (p *RoundRobin) Choose(_ uint64, candidates []Candidate) int {
	start := int(p.lastStart.Add(1) % uint64(max(len(candidates), 1)))
	for i := range candidates {
		if index := (start + i) % len(candidates); candidates[index].hasFreeSlot() {
			return index
		}
	}
	return -1
}

// Affinity sends requests with the same prefix to the same target by rendezvous hashing, so that they hit its prefix
// cache. A target that is full, or whose load would exceed maxLoadRatio times the mean, is skipped for the next in hash
// order. Requests without a prefix go to the least loaded target, as do those for which every target is skipped.
type Affinity struct {
	leastLoad LeastLoad
}

// Choose implements Policy.
func (p *Affinity) Choose(prefixHash uint64, candidates []Candidate) int {
	if prefixHash == 0 {
		return p.leastLoad.Choose(0, candidates)
	}
	total := 1 // Counts this request.
	for _, c := range candidates {
		total += c.InFlight
	}
	bound := int(math.Ceil(maxLoadRatio * float64(total) / float64(len(candidates))))
	best, bestScore := -1, uint64(0)
	for i, c := range candidates {
		if !c.hasFreeSlot() || c.InFlight+1 > bound {
			continue
		}
		if score := rendezvous(prefixHash, c.ID); best < 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	if best < 0 {
		return p.leastLoad.Choose(0, candidates)
	}
	return best
}

// rendezvous returns the rendezvous score of a target: its ID's hash combined with the prefix hash and mixed by the
// finalizer of MurmurHash3.
func rendezvous(prefixHash uint64, id string) uint64 {
	h := xxhash.Sum64String(id) ^ prefixHash
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

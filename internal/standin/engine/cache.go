package engine

import (
	"container/list"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"strings"
	"time"
)

const (
	blockTokens    = 16   // tokens per block of the prefix cache
	maxCacheEvents = 1024 // older events are discarded
)

// CacheEvent reports that one block was added to the prefix cache or evicted from it.
type CacheEvent struct {
	Seq        uint64 `json:"seq"`
	PrefixHash string `json:"prefix_hash"`
	Kind       string `json:"kind"` // add or evict

	at time.Time
}

// PrefixHashes returns one hash per full block of 16 prompt tokens. Each is the 64-bit FNV-1a hash, in 16 hex digits, of the
// prompt up to the end of the block, its tokens joined by single spaces. Prompt tokens are separated by white space.
func PrefixHashes(prompt string) []string {
	tokens := strings.Fields(prompt)
	h := fnv.New64a()
	var hashes []string
	for i, token := range tokens {
		if i > 0 {
			token = " " + token
		}
		_, _ = h.Write([]byte(token)) // Writing to a hash never fails.
		if (i+1)%blockTokens == 0 {
			hashes = append(hashes, fmt.Sprintf("%016x", h.Sum64()))
		}
	}
	return hashes
}

// prefixCache is an LRU cache of prompt blocks. Its events are reported after a delay, and some are lost.
type prefixCache struct {
	maxBlocks  int
	eventDelay time.Duration
	eventLoss  float64 // probability that an event is lost
	rng        *rand.Rand
	lru        *list.List // of block hashes (string), most recently used first
	byHash     map[string]*list.Element
	seq        uint64 // of the last event, lost or not
	events     []CacheEvent
}

func newPrefixCache(opts Options, rng *rand.Rand) *prefixCache {
	return &prefixCache{
		maxBlocks: opts.CacheTokens / blockTokens, eventDelay: opts.CacheEventDelay, eventLoss: opts.CacheEventLoss, rng: rng,
		lru: list.New(), byHash: map[string]*list.Element{},
	}
}

// lookUpAndAdd adds the blocks of a prompt that are not cached, and returns how many tokens at its start were cached.
func (c *prefixCache) lookUpAndAdd(prompt string) int {
	cachedTokens, allCached := 0, true
	for _, hash := range PrefixHashes(prompt) {
		if e := c.byHash[hash]; e != nil {
			c.lru.MoveToFront(e)
			if allCached {
				cachedTokens += blockTokens
			}
			continue
		}
		allCached = false
		c.byHash[hash] = c.lru.PushFront(hash)
		c.addEvent(hash, "add")
	}
	for c.lru.Len() > c.maxBlocks {
		oldest := c.lru.Remove(c.lru.Back()).(string)
		delete(c.byHash, oldest)
		c.addEvent(oldest, "evict")
	}
	return cachedTokens
}

// addEvent appends an event unless it is randomly chosen to be lost. A lost event uses up its sequence number.
func (c *prefixCache) addEvent(hash, kind string) {
	c.seq++
	if c.rng.Float64() < c.eventLoss {
		return
	}
	c.events = append(c.events, CacheEvent{Seq: c.seq, PrefixHash: hash, Kind: kind, at: time.Now()})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[1:]
	}
}

// eventsAfter returns the events after seq that are old enough to be reported, and the seq to pass to the next call.
func (c *prefixCache) eventsAfter(seq uint64) (events []CacheEvent, next uint64) {
	events, next = []CacheEvent{}, seq
	for _, e := range c.events {
		if e.Seq > seq && time.Since(e.at) >= c.eventDelay {
			events = append(events, e)
			next = e.Seq
		}
	}
	return events, next
}

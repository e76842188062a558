// Package cost learns how many output tokens requests have. It does no I/O. docs/design/request-cost.md describes the rules.
package cost

import (
	"container/list"
	"math"
	"sync"
)

const (
	// maxEntries bounds the remembered lengths; the least recently used one is dropped.
	maxEntries = 8192
	// priorWeight is the number of requests as which the estimate of the level above counts.
	priorWeight = 4
	// memoryRequests is the number of requests over which a mean is formed; older ones fade.
	memoryRequests = 64
	// initialError is the squared error, in powers of e, that is assumed of hints and of learned lengths until requests show it. It stands for
	// a factor of 2.7 either way. errorWeight is the weight of the newest error.
	initialError = 1.0
	errorWeight  = 0.1
	// minError keeps a weight finite after answers of constant length.
	minError = 0.01
)

// Kind is what the length of an answer is expected from.
type Kind struct {
	Route, Account string
	Part           string // First part of the prompt; empty if it is unknown.
	MaxOutput      int    // Bound that the request states; 0 for none.
	Hint           int    // The client's estimate; 0 for none.
}

// key is one level of a kind: with an empty Part, or an empty Account and Part, it stands for all of them.
type key struct{ route, account, part string }

// entry holds what was observed at one level.
type entry struct {
	key        key
	requests   float64 // Up to memoryRequests.
	meanTokens float64
	// hintError and learnedError are the mean squared logarithmic errors, of requests with a hint.
	hintError, learnedError float64
}

// Table learns the lengths of answers. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	prior   int
	entries map[key]*list.Element // Of *entry.
	recent  *list.List            // The most recently used entry first.
}

// New returns a table that expects prior tokens where it has learned nothing.
func New(prior int) *Table {
	return &Table{prior: prior, entries: map[key]*list.Element{}, recent: list.New()}
}

// SetPrior replaces the number of tokens that are expected where nothing was learned.
func (t *Table) SetPrior(prior int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prior = prior
}

// Expect returns the expected number of output tokens, at least 1.
func (t *Table) Expect(k Kind) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	expected := t.learnedLocked(k)
	if k.Hint > 0 {
		expected = t.blendLocked(k, expected)
	}
	return bound(expected, k.MaxOutput)
}

func bound(expected float64, maxOutput int) int {
	if maxOutput > 0 {
		expected = min(expected, float64(maxOutput))
	}
	return max(int(math.Round(expected)), 1)
}

func (k Kind) levels() []key {
	levels := []key{{route: k.Route}, {route: k.Route, account: k.Account}}
	if k.Part != "" {
		levels = append(levels, key{k.Route, k.Account, k.Part})
	}
	return levels
}

// learnedLocked returns the mean of the most specific level, each of which starts at the one above it.
func (t *Table) learnedLocked(k Kind) float64 {
	expected := float64(t.prior)
	for _, level := range k.levels() {
		if e := t.useLocked(level); e != nil {
			expected = (expected*priorWeight + e.meanTokens*e.requests) / (priorWeight + e.requests)
		}
	}
	return expected
}

// blendLocked weighs the hint against the learned length by the errors that both have had for the account.
func (t *Table) blendLocked(k Kind, learned float64) float64 {
	hintError, learnedError := initialError, initialError
	if e := t.useLocked(key{route: k.Route, account: k.Account}); e != nil {
		hintError, learnedError = e.hintError, e.learnedError
	}
	hintWeight := learnedError / (hintError + learnedError)
	return math.Exp(hintWeight*math.Log(float64(k.Hint)) + (1-hintWeight)*math.Log(max(learned, 1)))
}

// useLocked returns the entry and marks it as used, or nil if there is none.
func (t *Table) useLocked(k key) *entry {
	element := t.entries[k]
	if element == nil {
		return nil
	}
	t.recent.MoveToFront(element)
	return element.Value.(*entry)
}

// Observe records the number of output tokens of a complete answer.
func (t *Table) Observe(k Kind, tokens int) {
	if tokens <= 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	learned := t.learnedLocked(k)
	for _, level := range k.levels() {
		e := t.useLocked(level)
		if e == nil {
			e = t.addLocked(level)
		}
		e.requests = min(e.requests+1, memoryRequests)
		e.meanTokens += (float64(tokens) - e.meanTokens) / e.requests
		if k.Hint > 0 {
			e.hintError += errorWeight * (squaredError(float64(k.Hint), tokens) - e.hintError)
			e.learnedError += errorWeight * (squaredError(learned, tokens) - e.learnedError)
		}
	}
}

func squaredError(expected float64, tokens int) float64 {
	difference := math.Log(max(expected, 1) / float64(tokens))
	return max(difference*difference, minError)
}

func (t *Table) addLocked(k key) *entry {
	if len(t.entries) >= maxEntries {
		oldest := t.recent.Back()
		t.recent.Remove(oldest)
		delete(t.entries, oldest.Value.(*entry).key)
	}
	e := &entry{key: k, hintError: initialError, learnedError: initialError}
	t.entries[k] = t.recent.PushFront(e)
	return e
}

package claims

import (
	"context"
	"flag"
	"fmt"
	"hash/fnv"
	"maps"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"cassiadeal.example/cassiadeal/internal/platform"
	"cassiadeal.example/cassiadeal/internal/result"
	"cassiadeal.example/cassiadeal/internal/schema"
)

// Fixed, so that a run can be repeated; the flag still overrides it.
const modelSeed = "20261204"

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", modelSeed)
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.shrinktime", "5s")
	flag.Parse()
	os.Exit(m.Run())
}

// model is several processes over one store whose calls fail, with the record that the checks need.
type model struct {
	cluster *cluster
	seed    uint64
	healthy bool
	live    []*node
	started int
	stop    []context.CancelFunc
	keys    []string

	mu         sync.Mutex
	calls      map[string]int
	violations []string
	dispatched map[string]int           // By key.
	answers    map[string]uint32        // Status of the dispatched answer, by key.
	unknown    map[string]time.Time     // First report of an unknown outcome, by key.
	offset     map[string]time.Duration // Of each node's clock.
	wg         sync.WaitGroup
}

// draw returns a number below n that depends only on the seed and the text, not on the order of goroutines.
func (m *model) draw(n uint64, format string, args ...any) uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%d ", m.seed)
	_, _ = fmt.Fprintf(h, format, args...)
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x % n
}

func (m *model) violation(format string, args ...any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.violations = append(m.violations, fmt.Sprintf(format, args...))
}

// plan chooses the fault of a call by its position among the node's calls of that method and name.
func (m *model) plan(n *node) func(method, name string) fault {
	return func(method, name string) fault {
		m.mu.Lock()
		id := n.name + n.incarnation + method + name
		m.calls[id]++
		count, healthy := m.calls[id], m.healthy
		m.mu.Unlock()
		time.Sleep(time.Duration(1 + m.draw(20e6, "delay %s %d", id, count))) // Up to 20 ms.
		if healthy {
			return fault{}
		}
		x := m.draw(100, "fault %s %d", id, count)
		if method == "get" {
			switch {
			case x < 10:
				return fault{before: platform.ErrUnavailable}
			case x < 25:
				return fault{stale: true}
			}
			return fault{}
		}
		switch {
		case x < 10:
			return fault{before: platform.ErrUnavailable}
		case x < 15:
			return fault{before: platform.ErrOutcomeUnknown}
		case x < 30:
			return fault{after: platform.ErrOutcomeUnknown}
		case x < 33:
			return fault{after: platform.ErrConflict}
		case x < 45:
			return fault{late: time.Duration(1 + m.draw(uint64(2*time.Minute), "late %s %d", id, count))}
		case x < 48:
			return fault{late: time.Duration(1 + m.draw(uint64(30*time.Minute), "very late %s %d", id, count))}
		}
		return fault{}
	}
}

func (m *model) startNode() {
	m.started++
	n := m.cluster.start(fmt.Sprintf("n%d", m.started%3), fmt.Sprint(m.started))
	n.plan = m.plan(n)
	ctx, cancel := context.WithCancel(context.Background())
	m.stop = append(m.stop, cancel)
	m.wg.Go(func() { n.m.Run(ctx) })
	m.live = append(m.live, n)
}

// request sends one request with the key to the node, as the executor does.
func (m *model) request(n *node, key string, id int) {
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(1+m.draw(20, "deadline %d", id))*time.Second)
	defer cancel()
	claim, stored, refusal := n.m.Acquire(ctx, Request{Key: key, Account: "a", Fingerprint: key})
	n.gate()
	switch {
	case refusal != nil:
		m.refused(key, refusal)
	case stored != nil:
		m.replayed(key, stored)
	default:
		m.claimed(n, key, id, start, claim)
	}
}

func (m *model) refused(key string, refusal *result.Error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.unknown[key]; !ok && refusal.Code == result.OutcomeUnknown {
		m.unknown[key] = time.Now()
	}
}

func (m *model) replayed(key string, stored *schema.Claim) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if status, ok := m.answers[key]; !ok || status != stored.Status {
		m.violations = append(m.violations, fmt.Sprintf("key %s: replayed answer %d, ran with answer %d", key, stored.Status, status))
	}
}

func (m *model) claimed(n *node, key string, id int, start time.Time, claim *Claim) {
	ctx := context.Background()
	m.mu.Lock()
	if at, ok := m.unknown[key]; ok && at.Before(start) {
		m.violations = append(m.violations, fmt.Sprintf("key %s: claimed by a request that began after its outcome was reported unknown", key))
	}
	m.mu.Unlock()
	if m.draw(5, "refuse %d", id) == 0 {
		claim.Release(ctx) // No right to serve.
		n.gate()
		return
	}
	n.gate() // A pause between claim and dispatch.
	status := uint32(200 + id)
	m.mu.Lock()
	m.dispatched[key]++
	if m.dispatched[key] > 1 {
		m.violations = append(m.violations, fmt.Sprintf("key %s: dispatched %d times", key, m.dispatched[key]))
	}
	m.answers[key] = status
	m.mu.Unlock()
	time.Sleep(time.Duration(m.draw(uint64(5*time.Second), "run %d", id)))
	n.gate()
	if m.draw(5, "lost %d", id) == 0 {
		claim.Unknown(ctx)
		return
	}
	claim.Answer(ctx, Answer{Status: status})
}

// written checks that only the allowed changes of a claim's state are written, and that a key that ran is never released.
func (m *model) written(name string, before, after []byte) {
	if before != nil && after == nil {
		for node, offset := range m.offset {
			if err := CheckKey(name, time.Now().Add(offset)); err == nil || err.Code != result.KeyTooOld {
				m.violation("claim %s: deleted while node %s accepts the key", name, node)
			}
		}
	}
	if before == nil || after == nil {
		return
	}
	old, changed := &schema.Claim{}, &schema.Claim{}
	if platform.Decode(before, old) != nil || platform.Decode(after, changed) != nil {
		m.violation("claim %s: not decodable", name)
		return
	}
	final := old.State == schema.ClaimState_CLAIM_STATE_ANSWERED || old.State == schema.ClaimState_CLAIM_STATE_UNKNOWN
	m.mu.Lock()
	ran := m.dispatched[name] > 0
	m.mu.Unlock()
	if final || ran && changed.State == schema.ClaimState_CLAIM_STATE_RELEASED {
		m.violation("claim %s: changed from %s to %s, ran %t", name, old.State, changed.State, ran)
	}
}

// step is one action of the model. Its numbers are taken modulo what they choose from.
type step struct {
	action, node, key int
	time              time.Duration
}

var steps = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
	return step{
		action: rapid.IntRange(0, 11).Draw(t, "action"),
		node:   rapid.IntRange(0, 2).Draw(t, "node"),
		key:    rapid.IntRange(0, 3).Draw(t, "key"),
		time:   rapid.SampledFrom(times).Draw(t, "time"),
	}
}), 30, 80)

var times = []time.Duration{time.Millisecond, 30 * time.Millisecond, 300 * time.Millisecond, 2 * time.Second, 10 * time.Second, time.Minute}

func (m *model) do(id int, s step) {
	n := m.live[s.node]
	send := func(key string) { m.wg.Go(func() { m.request(n, key, id) }) }
	switch s.action {
	case 0, 1:
		m.keys = append(m.keys, newKey(len(m.keys)))
		send(m.keys[len(m.keys)-1])
	case 2, 3, 4, 5:
		if i := len(m.keys) - 1 - s.key; i >= 0 {
			send(m.keys[i])
		}
	case 6:
		n.pause(s.time)
	case 7:
		n.pause(15 * s.time)
	case 8:
		n.end()
		m.live = append(m.live[:s.node], m.live[s.node+1:]...)
		m.startNode()
	case 9, 10:
		time.Sleep(s.time)
	case 11:
		time.Sleep(4 * s.time)
	}
}

// settled checks, after all faults have ended, that each key that is young enough and never ran can run, unless its
// outcome counts as unknown, and that nothing is left behind in memory.
func (m *model) settled() {
	m.mu.Lock()
	m.healthy = true
	m.mu.Unlock()
	for _, n := range m.live {
		n.pause(0)
	}
	time.Sleep(time.Minute)
	m.mu.Lock()
	dispatched := maps.Clone(m.dispatched)
	m.mu.Unlock()
	for i, key := range m.keys {
		n := m.live[i%len(m.live)]
		if CheckKey(key, time.Now().Add(m.offset[n.name])) != nil {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		claim, stored, refusal := n.m.Acquire(ctx, Request{Key: key, Account: "a", Fingerprint: key})
		cancel()
		ran := dispatched[key]
		switch {
		case refusal != nil && refusal.Code != result.OutcomeUnknown:
			m.violation("key %s, ran %d: refused after all faults ended: %v", key, ran, refusal)
		case claim != nil && ran > 0:
			m.violation("key %s: claimed again after it ran", key)
		case stored != nil:
			m.replayed(key, stored)
		case claim != nil:
			m.mu.Lock()
			m.answers[key] = 1
			m.mu.Unlock()
			claim.Answer(context.Background(), Answer{Status: 1})
		}
	}
	time.Sleep(keepUnsettled + 2*time.Minute)
	for _, n := range m.live {
		if left := n.attempts(); left > 0 {
			m.violation("node %s keeps %d attempts", n.name, left)
		}
	}
}

// Guards against any sequence of lost, late and stale calls, ended and paused owners and repeats that runs a request twice,
// changes a stored answer, reports a wrong outcome, or leaves a key that never ran unusable.
func TestModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed, script := rapid.Uint64().Draw(rt, "seed"), steps.Draw(rt, "steps")
		m := &model{
			seed: seed, calls: map[string]int{}, dispatched: map[string]int{}, answers: map[string]uint32{},
			unknown: map[string]time.Time{}, offset: map[string]time.Duration{},
		}
		synctest.Test(t, func(*testing.T) { m.run(script) })
		if len(m.violations) > 0 {
			rt.Fatalf("%s", strings.Join(m.violations, "\n"))
		}
	})
}

func (m *model) run(script []step) {
	m.cluster = newCluster()
	for _, name := range []string{"n0", "n1", "n2"} {
		m.offset[name] = time.Duration(m.draw(uint64(MaxSkew), "clock of %s", name))
	}
	m.cluster.now = func(name string) time.Time { return time.Now().Add(m.offset[name]) }
	m.cluster.store.changed = m.written
	for range 3 {
		m.startNode()
	}
	for i, s := range script {
		m.do(i, s)
	}
	m.settled()
	for _, cancel := range m.stop {
		cancel()
	}
	m.wg.Wait()
}

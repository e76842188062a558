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

// modelSeed is fixed so that runs are reproducible. The flag rapid.seed overrides it.
const modelSeed = "20261204"

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", modelSeed)
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.shrinktime", "5s")
	flag.Parse()
	os.Exit(m.Run())
}

// model simulates several processes that share a store with injected faults. It records what the checks need.
type model struct {
	cluster     *cluster
	seed        uint64
	faultsEnded bool
	running     []*node
	startCount  int
	cancels     []context.CancelFunc
	keys        []string

	mu           sync.Mutex
	callCounts   map[string]int
	violations   []string
	dispatched   map[string]int           // Number of dispatches, by key.
	answers      map[string]uint32        // Status of the dispatched answer, by key.
	unknownSince map[string]time.Time     // First report of an unknown outcome, by key.
	clockOffset  map[string]time.Duration // Of each node's clock.
	wg           sync.WaitGroup
}

// draw returns a pseudo-random number below n. It depends only on the seed and the formatted text, and not on the order in
// which goroutines run.
func (m *model) draw(n uint64, format string, args ...any) uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%d ", m.seed)
	_, _ = fmt.Fprintf(h, format, args...)
	hash := h.Sum64()
	hash ^= hash >> 33
	hash *= 0xff51afd7ed558ccd
	hash ^= hash >> 33
	return hash % n
}

func (m *model) addViolation(format string, args ...any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.violations = append(m.violations, fmt.Sprintf(format, args...))
}

// faultPlan returns a function that chooses the fault of a call. The choice depends on the number of calls of the same method
// with the same name that the node made before.
func (m *model) faultPlan(n *node) func(method, name string) fault {
	return func(method, name string) fault {
		m.mu.Lock()
		callID := n.name + n.incarnation + method + name
		m.callCounts[callID]++
		count, faultsEnded := m.callCounts[callID], m.faultsEnded
		m.mu.Unlock()
		time.Sleep(time.Duration(1 + m.draw(20e6, "delay %s %d", callID, count))) // Up to 20 ms.
		if faultsEnded {
			return fault{}
		}
		percent := m.draw(100, "fault %s %d", callID, count)
		if method == "get" {
			switch {
			case percent < 10:
				return fault{failBefore: platform.ErrUnavailable}
			case percent < 25:
				return fault{staleRead: true}
			}
			return fault{}
		}
		switch {
		case percent < 10:
			return fault{failBefore: platform.ErrUnavailable}
		case percent < 15:
			return fault{failBefore: platform.ErrOutcomeUnknown}
		case percent < 30:
			return fault{errAfterWrite: platform.ErrOutcomeUnknown}
		case percent < 33:
			return fault{errAfterWrite: platform.ErrConflict}
		case percent < 45:
			return fault{writeDelay: time.Duration(1 + m.draw(uint64(2*time.Minute), "late %s %d", callID, count))}
		case percent < 48:
			return fault{writeDelay: time.Duration(1 + m.draw(uint64(30*time.Minute), "very late %s %d", callID, count))}
		}
		return fault{}
	}
}

func (m *model) startNode() {
	m.startCount++
	n := m.cluster.start(fmt.Sprintf("n%d", m.startCount%3), fmt.Sprint(m.startCount))
	n.faultFor = m.faultPlan(n)
	ctx, cancel := context.WithCancel(context.Background())
	m.cancels = append(m.cancels, cancel)
	m.wg.Go(func() { n.manager.Run(ctx) })
	m.running = append(m.running, n)
}

// request runs one request with the key at the node, with the same calls as package executor.
func (m *model) request(n *node, key string, id int) {
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(1+m.draw(20, "deadline %d", id))*time.Second)
	defer cancel()
	claim, stored, refusal := n.manager.Acquire(ctx, Request{Key: key, Account: "a", Fingerprint: key})
	n.blockWhilePaused()
	switch {
	case refusal != nil:
		m.recordRefusal(key, refusal)
	case stored != nil:
		m.checkReplay(key, stored)
	default:
		m.executeClaimed(n, key, id, start, claim)
	}
}

// recordRefusal records when an unknown outcome was first reported for the key.
func (m *model) recordRefusal(key string, refusal *result.Error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.unknownSince[key]; !ok && refusal.Code == result.OutcomeUnknown {
		m.unknownSince[key] = time.Now()
	}
}

// checkReplay checks that the stored answer is the one with which the request ran.
func (m *model) checkReplay(key string, stored *schema.Claim) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if status, ok := m.answers[key]; !ok || status != stored.Status {
		m.violations = append(m.violations, fmt.Sprintf("key %s: replayed answer %d, ran with answer %d", key, stored.Status, status))
	}
}

// executeClaimed simulates the dispatch of a claimed request, and checks that the key was not dispatched before and that no
// unknown outcome was reported for it before the request started.
func (m *model) executeClaimed(n *node, key string, id int, start time.Time, claim *Claim) {
	ctx := context.Background()
	m.mu.Lock()
	if at, ok := m.unknownSince[key]; ok && at.Before(start) {
		m.violations = append(m.violations, fmt.Sprintf("key %s: claimed by a request that began after its outcome was reported unknown", key))
	}
	m.mu.Unlock()
	if m.draw(5, "refuse %d", id) == 0 {
		claim.Release(ctx) // As if the node had no right to serve.
		n.blockWhilePaused()
		return
	}
	n.blockWhilePaused() // The node may be paused between claim and dispatch.
	status := uint32(200 + id)
	m.mu.Lock()
	m.dispatched[key]++
	if m.dispatched[key] > 1 {
		m.violations = append(m.violations, fmt.Sprintf("key %s: dispatched %d times", key, m.dispatched[key]))
	}
	m.answers[key] = status
	m.mu.Unlock()
	time.Sleep(time.Duration(m.draw(uint64(5*time.Second), "run %d", id)))
	n.blockWhilePaused()
	if m.draw(5, "lost %d", id) == 0 {
		claim.Unknown(ctx)
		return
	}
	claim.Answer(ctx, Answer{Status: status})
}

// checkWrite checks that a final state is never changed, that a claim whose request was dispatched is never released, and that
// no claim is deleted while a node accepts its key.
func (m *model) checkWrite(name string, before, after []byte) {
	if before != nil && after == nil {
		for node, offset := range m.clockOffset {
			if err := CheckKey(name, time.Now().Add(offset)); err == nil || err.Code != result.KeyTooOld {
				m.addViolation("claim %s: deleted while node %s accepts the key", name, node)
			}
		}
	}
	if before == nil || after == nil {
		return
	}
	old, changed := &schema.Claim{}, &schema.Claim{}
	if platform.Decode(before, old) != nil || platform.Decode(after, changed) != nil {
		m.addViolation("claim %s: not decodable", name)
		return
	}
	final := old.State == schema.ClaimState_CLAIM_STATE_ANSWERED || old.State == schema.ClaimState_CLAIM_STATE_UNKNOWN
	m.mu.Lock()
	ran := m.dispatched[name] > 0
	m.mu.Unlock()
	if final || ran && changed.State == schema.ClaimState_CLAIM_STATE_RELEASED {
		m.addViolation("claim %s: changed from %s to %s, ran %t", name, old.State, changed.State, ran)
	}
}

// step is one action of the model. nodeIndex is an index of model.running. keyOffset counts back from the newest of model.keys.
type step struct {
	action, nodeIndex, keyOffset int
	duration                     time.Duration
}

// scripts generates sequences of 30 to 80 steps.
var scripts = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
	return step{
		action:    rapid.IntRange(0, 12).Draw(t, "action"),
		nodeIndex: rapid.IntRange(0, 2).Draw(t, "node"),
		keyOffset: rapid.IntRange(0, 3).Draw(t, "key"),
		duration:  rapid.SampledFrom(stepDurations).Draw(t, "time"),
	}
}), 30, 80)

var stepDurations = []time.Duration{time.Millisecond, 30 * time.Millisecond, 300 * time.Millisecond, 2 * time.Second, 10 * time.Second, time.Minute}

// perform executes one step. id is its position in the script.
func (m *model) perform(id int, s step) {
	n := m.running[s.nodeIndex]
	send := func(key string) { m.wg.Go(func() { m.request(n, key, id) }) }
	switch s.action {
	case 0, 1:
		m.keys = append(m.keys, newKey(len(m.keys)))
		send(m.keys[len(m.keys)-1])
	case 2, 3, 4, 5:
		if i := len(m.keys) - 1 - s.keyOffset; i >= 0 {
			send(m.keys[i])
		}
	case 6:
		n.pause(s.duration)
	case 7:
		n.pause(15 * s.duration)
	case 8:
		n.end()
		m.running = append(m.running[:s.nodeIndex], m.running[s.nodeIndex+1:]...)
		m.startNode()
	case 9, 10:
		time.Sleep(s.duration)
	case 11:
		time.Sleep(4 * s.duration)
	case 12:
		m.cluster.store.restore(s.duration)
	}
}

// checkFinalState ends all faults. Then it checks that each key that is still accepted and never ran can run, unless its
// outcome was recorded as unknown, and that no attempts stay in memory.
func (m *model) checkFinalState() {
	m.mu.Lock()
	m.faultsEnded = true
	m.mu.Unlock()
	for _, n := range m.running {
		n.pause(0)
		n.noteEra() // As by the next renewal of its lease.
	}
	time.Sleep(time.Minute)
	m.mu.Lock()
	dispatched := maps.Clone(m.dispatched)
	m.mu.Unlock()
	for i, key := range m.keys {
		n := m.running[i%len(m.running)]
		if CheckKey(key, time.Now().Add(m.clockOffset[n.name])) != nil {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		claim, stored, refusal := n.manager.Acquire(ctx, Request{Key: key, Account: "a", Fingerprint: key})
		cancel()
		ran := dispatched[key]
		switch {
		case refusal != nil && refusal.Code != result.OutcomeUnknown:
			m.addViolation("key %s, ran %d: refused after all faults ended: %v", key, ran, refusal)
		case claim != nil && ran > 0:
			m.addViolation("key %s: claimed again after it ran", key)
		case stored != nil:
			m.checkReplay(key, stored)
		case claim != nil:
			m.mu.Lock()
			m.answers[key] = 1
			m.mu.Unlock()
			claim.Answer(context.Background(), Answer{Status: 1})
		}
	}
	time.Sleep(unsettledTTL + 2*time.Minute)
	for _, n := range m.running {
		if left := n.attemptCount(); left > 0 {
			m.addViolation("node %s keeps %d attempts", n.name, left)
		}
	}
}

// Guards against running a request twice, changing a stored answer, reporting a wrong outcome, and leaving a key unusable that
// never ran. It tries random sequences of lost, late and stale store calls, ended and paused owners, restores of the store from an older copy, and repeated requests.
func TestModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed, steps := rapid.Uint64().Draw(rt, "seed"), scripts.Draw(rt, "steps")
		m := &model{
			seed: seed, callCounts: map[string]int{}, dispatched: map[string]int{}, answers: map[string]uint32{},
			unknownSince: map[string]time.Time{}, clockOffset: map[string]time.Duration{},
		}
		synctest.Test(t, func(*testing.T) { m.run(steps) })
		if len(m.violations) > 0 {
			rt.Fatalf("%s", strings.Join(m.violations, "\n"))
		}
	})
}

func (m *model) run(steps []step) {
	m.cluster = newCluster()
	for _, name := range []string{"n0", "n1", "n2"} {
		m.clockOffset[name] = time.Duration(m.draw(uint64(MaxClockSkew), "clock of %s", name))
	}
	m.cluster.now = func(name string) time.Time { return time.Now().Add(m.clockOffset[name]) }
	m.cluster.store.onWrite = m.checkWrite
	for range 3 {
		m.startNode()
	}
	for i, s := range steps {
		m.perform(i, s)
	}
	m.checkFinalState()
	for _, cancel := range m.cancels {
		cancel()
	}
	m.wg.Wait()
}

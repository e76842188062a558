package planner

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/platform"
)

// fakeStore is a store of one object. It can reject the calls of a client, and drop the answers to writes that it carries out.
type fakeStore struct {
	mu          sync.Mutex
	revision    int64
	spec        json.RawMessage
	down        map[string]bool // Clients whose calls are rejected.
	loseAnswers bool
}

func (s *fakeStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	client, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	if s.down[client] {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if r.Method == http.MethodGet {
		s.answer(w)
		return
	}
	var in struct {
		Metadata struct {
			Revision int64 `json:"revision"`
		} `json:"metadata"`
		Spec json.RawMessage `json:"spec"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil || r.Method == http.MethodPost && s.revision != 0 ||
		r.Method == http.MethodPut && in.Metadata.Revision != s.revision {
		w.WriteHeader(http.StatusConflict)
		return
	}
	s.revision += 3
	s.spec = in.Spec
	if s.loseAnswers {
		panic(http.ErrAbortHandler)
	}
	s.answer(w)
}

func (s *fakeStore) answer(w http.ResponseWriter) {
	if s.revision == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"metadata": map[string]any{"name": leaseName, "revision": s.revision}, "spec": s.spec})
}

func (s *fakeStore) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// newLeases returns one store and two nodes' handles of the lease in it.
func newLeases(t *testing.T) (*fakeStore, *clock.Manual, *Lease, *Lease) {
	store := &fakeStore{down: map[string]bool{}}
	c := clock.NewManual(time.Hour)
	log := logrus.New()
	log.SetOutput(io.Discard)
	lease := func(name string) *Lease {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			r.URL.Path = "/" + name + r.URL.Path
			store.ServeHTTP(w, r)
		}))
		t.Cleanup(server.Close)
		return NewLease(platform.NewStore(strings.TrimPrefix(server.URL, "http://")), c, log, name, 1)
	}
	return store, c, lease("a"), lease("b")
}

// storeAnswersBoth returns what each node knows of a store that answers both.
func storeAnswersBoth(c *clock.Manual) StoreAccess {
	return StoreAccess{AnsweringSince: 1, PeerContact: c.Now(), PeerContactDelay: testContactDelay, Quorum: true}
}

// testContactDelay is the time within which a node learns that the store answers another node.
const testContactDelay = 1500 * time.Millisecond

// maintainBoth maintains both leases for the duration d and fails if both nodes may plan at once. gossip tells whether the
// announcements of node a reach node b.
func maintainBoth(t *testing.T, c *clock.Manual, d time.Duration, a, b *Lease, gossip bool) {
	t.Helper()
	ctx := context.Background()
	for range int(d / (100 * time.Millisecond)) {
		a.Maintain(ctx, !b.Valid(), storeAnswersBoth(c))
		b.Maintain(ctx, !a.Valid(), storeAnswersBoth(c))
		if a.Valid() && b.Valid() {
			t.Fatal("two nodes plan at once")
		}
		if gossip {
			if revision, resigned := a.Announcement(0); revision != 0 {
				b.ObserveHolder(0, revision, resigned)
			}
		}
		c.Advance(100 * time.Millisecond)
	}
}

// Guards against a planner without a successor, and against two planners, when the store rejects the planner's calls.
func TestLeasePassesWhenItsHolderLosesTheStore(t *testing.T) {
	c := quicktest.New(t)
	store, clk, a, b := newLeases(t)
	maintainBoth(t, clk, time.Second, a, b, true)
	c.Assert(a.Valid(), quicktest.IsTrue)
	term := a.Term()
	store.update(func() { store.down["a"] = true })
	maintainBoth(t, clk, resignAfter+renewInterval+500*time.Millisecond, a, b, true)
	c.Assert(b.Valid(), quicktest.IsTrue)
	c.Assert(b.Term() > term, quicktest.IsTrue)
}

// Guards against a takeover before the term of a holder whose messages don't arrive has passed.
func TestLeaseOfSilentHolderIsTakenAfterItsTerm(t *testing.T) {
	c := quicktest.New(t)
	store, clk, a, b := newLeases(t)
	maintainBoth(t, clk, time.Second, a, b, false)
	store.update(func() { store.down["a"] = true })
	holderDown := clk.Now()
	ctx := context.Background()
	for !b.Valid() && clk.Now().Sub(holderDown) < 10*time.Second {
		b.Maintain(ctx, true, storeAnswersBoth(clk))
		if b.Valid() && a.Valid() {
			t.Fatal("two nodes plan at once")
		}
		clk.Advance(100 * time.Millisecond)
	}
	c.Assert(b.Valid(), quicktest.IsTrue)
	c.Assert(clk.Now().Sub(holderDown) < LeaseTerm+leaseMargin+time.Second, quicktest.IsTrue)
}

// Guards against a holder that mistakes its own renewal, whose answer was lost, for that of another node.
func TestLostAnswerOfARenewalKeepsTheLease(t *testing.T) {
	c := quicktest.New(t)
	store, clk, a, b := newLeases(t)
	maintainBoth(t, clk, time.Second, a, b, true)
	store.update(func() { store.loseAnswers = true })
	maintainBoth(t, clk, 500*time.Millisecond, a, b, true)
	store.update(func() { store.loseAnswers = false })
	maintainBoth(t, clk, 3*time.Second, a, b, true)
	c.Assert(a.Valid(), quicktest.IsTrue)
}

// Guards against a stopping node whose lease can't be acquired until its term has passed.
func TestResignedLeaseIsTakenAtOnce(t *testing.T) {
	c := quicktest.New(t)
	_, clk, a, b := newLeases(t)
	maintainBoth(t, clk, time.Second, a, b, true)
	a.Resign("the node is stopping")
	c.Assert(a.Valid(), quicktest.IsFalse)
	revision, resigned := a.Announcement(0)
	b.ObserveHolder(0, revision, resigned)
	c.Assert(b.Maintain(context.Background(), true, storeAnswersBoth(clk)), quicktest.IsTrue)
	c.Assert(clk.Now() > 0, quicktest.IsTrue)
}

// outage simulates a store that rejects the calls of both nodes, and what each node learns of the store's answers to the other.
type outage struct {
	t              *testing.T
	store          *fakeStore
	clock          *clock.Manual
	a, b           *Lease
	down           map[string]bool
	contact        map[string]clock.Time // Latest answer of the store, by node.
	answeringSince map[string]clock.Time // Since when the store has answered each node; 0 while it doesn't.
	quorum         bool
}

func newOutage(t *testing.T) *outage {
	store, clk, a, b := newLeases(t)
	maintainBoth(t, clk, time.Second, a, b, true)
	now := clk.Now()
	o := &outage{t, store, clk, a, b, map[string]bool{}, map[string]clock.Time{"a": now, "b": now}, map[string]clock.Time{"a": now, "b": now}, true}
	o.setDown("a", true)
	o.setDown("b", true)
	return o
}

func (o *outage) setDown(node string, down bool) {
	o.down[node] = down
	o.store.update(func() { o.store.down[node] = down })
	o.answeringSince[node] = 0
	if !down {
		o.answeringSince[node] = o.clock.Now()
	}
}

// run advances the simulation by d. Each node learns of the store's answers to the other after the given delay.
func (o *outage) run(d, delay time.Duration) {
	o.t.Helper()
	const step = 50 * time.Millisecond
	history := map[string][]clock.Time{}
	for range int(d / step) {
		for _, node := range []string{"a", "b"} {
			if !o.down[node] {
				o.contact[node] = o.clock.Now()
			}
			history[node] = append(history[node], o.contact[node])
		}
		delaySteps := int(delay / step)
		delayedContact := func(node string) clock.Time { return history[node][max(0, len(history[node])-1-delaySteps)] }
		o.a.Maintain(context.Background(), !o.b.Valid(), StoreAccess{o.answeringSince["a"], delayedContact("b"), testContactDelay, o.quorum})
		o.b.Maintain(context.Background(), !o.a.Valid() && o.answeringSince["b"] != 0, StoreAccess{o.answeringSince["b"], delayedContact("a"), testContactDelay, o.quorum})
		if o.a.Valid() && o.b.Valid() {
			o.t.Fatal("two nodes plan at once")
		}
		o.clock.Advance(step)
	}
}

// Guards against broken groups that no node repairs while the store doesn't answer, since the lease can't be renewed. In one
// incident this lasted for eight seconds at peak load.
func TestHolderKeepsLeaseDuringStoreOutage(t *testing.T) {
	c := quicktest.New(t)
	o := newOutage(t)
	term := o.a.Term()
	o.run(LeaseTerm+testContactDelay, 300*time.Millisecond)
	c.Assert(o.a.Valid(), quicktest.IsTrue)
	o.run(20*time.Second, 300*time.Millisecond)
	c.Assert(o.a.Valid(), quicktest.IsTrue)
	o.setDown("a", false)
	o.setDown("b", false)
	o.run(3*time.Second, 300*time.Millisecond)
	c.Assert(o.a.Valid(), quicktest.IsTrue)
	c.Assert(o.a.Term(), quicktest.Equals, term)
}

// Guards against two planners after a store outage that ends for the other node first.
func TestHolderStopsBeforeAnotherNodeThatStoreAnswersAgain(t *testing.T) {
	c := quicktest.New(t)
	for _, delay := range []time.Duration{0, 500 * time.Millisecond, 1500 * time.Millisecond} {
		o := newOutage(t)
		o.run(8*time.Second, delay)
		c.Assert(o.a.Valid(), quicktest.IsTrue)
		o.setDown("b", false)
		o.run(5*time.Second, delay)
		c.Assert(o.a.Valid(), quicktest.IsFalse)
		c.Assert(o.b.Valid(), quicktest.IsTrue)
	}
}

// Guards against a planner that keeps planning when it is cut off together with a minority of the nodes, while the store answers
// the others.
func TestHolderWithoutQuorumStops(t *testing.T) {
	c := quicktest.New(t)
	o := newOutage(t)
	o.quorum = false
	o.run(LeaseTerm+100*time.Millisecond, 0)
	c.Assert(o.a.Valid(), quicktest.IsFalse)
	o.run(20*time.Second, 0)
	c.Assert(o.a.Valid(), quicktest.IsFalse)
}

// Guards against a planner whose process is paused in a store outage and afterwards takes the datagrams that queued up meanwhile
// for current ones.
func TestPausedHolderWaitsForNewContacts(t *testing.T) {
	c := quicktest.New(t)
	o := newOutage(t)
	o.run(8*time.Second, 0)
	o.clock.Advance(5 * time.Second)
	c.Assert(o.a.Valid(), quicktest.IsFalse)
	o.run(testContactDelay, 0)
	c.Assert(o.a.Valid(), quicktest.IsFalse)
	o.run(testContactDelay, 0)
	c.Assert(o.a.Valid(), quicktest.IsTrue)
}

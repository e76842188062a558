package planner

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/platform"
)

// storedLease is the content of a restoringStore.
type storedLease struct {
	counter  int64 // Revision of the store.
	revision int64 // Revision of the lease; 0 if there is none.
	spec     json.RawMessage
}

// write is a conditional write of the lease.
type write struct {
	create   bool
	revision int64
	spec     json.RawMessage
}

// lateWrite is a write that was not answered and is carried out later.
type lateWrite struct {
	due clock.Time
	write
}

// restoringStore is a store of one lease that can come back from an older copy. Each write raises the revision by one, so that revisions
// are given out again soon.
type restoringStore struct {
	clock *clock.Manual

	mu     sync.Mutex
	era    int64
	now    storedLease
	copies map[clock.Time]storedLease // What the store held at each step.
	down   bool
	cut    map[string]bool // Clients whose calls are rejected.
	late   []lateWrite
	// onWrite tells what happens to the next write of a client: whether it is carried out now, or after the given time, or never if it is
	// negative; and a channel to wait for before it is answered, or nil.
	onWrite func(client string) (delay time.Duration, answered bool, hold <-chan struct{})
}

func (s *restoringStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	client, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	status, body, era, hold := s.handle(client, r)
	if hold != nil {
		<-hold
	}
	if status == 0 {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Store-Era", strconv.FormatInt(era, 10))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

func (s *restoringStore) handle(client string, r *http.Request) (status int, body []byte, era int64, hold <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down || s.cut[client] {
		return 0, nil, 0, nil
	}
	if r.Method == http.MethodGet {
		status, body = s.answer(http.StatusOK)
		return status, body, s.era, nil
	}
	var in struct {
		Metadata struct {
			Revision int64 `json:"revision"`
		} `json:"metadata"`
		Spec json.RawMessage `json:"spec"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		return http.StatusBadRequest, nil, s.era, nil
	}
	order := write{r.Method == http.MethodPost, in.Metadata.Revision, in.Spec}
	delay, answered := time.Duration(0), true
	if s.onWrite != nil {
		delay, answered, hold = s.onWrite(client)
	}
	if delay != 0 {
		if delay > 0 {
			s.late = append(s.late, lateWrite{s.clock.Now().Add(delay), order})
		}
		return 0, nil, 0, nil
	}
	status = s.carryOut(order)
	if !answered {
		return 0, nil, 0, hold
	}
	status, body = s.answer(status)
	return status, body, s.era, hold
}

// carryOut carries out a write if its condition holds.
func (s *restoringStore) carryOut(o write) int {
	switch {
	case o.create && s.now.revision != 0:
		return http.StatusConflict
	case !o.create && s.now.revision == 0:
		return http.StatusNotFound
	case !o.create && s.now.revision != o.revision:
		return http.StatusConflict
	}
	s.now.counter++
	s.now.revision, s.now.spec = s.now.counter, o.spec
	return http.StatusOK
}

func (s *restoringStore) answer(status int) (int, []byte) {
	if status != http.StatusOK {
		return status, nil
	}
	if s.now.revision == 0 {
		return http.StatusNotFound, nil
	}
	return status, fmt.Appendf(nil, `{"metadata":{"name":%q,"revision":%d},"spec":%s}`, leaseName, s.now.revision, s.now.spec)
}

// step carries out late writes that are due and keeps a copy. It reports whether one of them changed the lease.
func (s *restoringStore) step() (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var waiting []lateWrite
	for _, l := range s.late {
		if l.due > s.clock.Now() || s.down {
			waiting = append(waiting, l)
		} else if s.carryOut(l.write) == http.StatusOK {
			changed = true
		}
	}
	s.late = waiting
	s.copies[s.clock.Now()] = s.now
	return changed
}

// restore brings back the copy of the given age and raises the era.
func (s *restoringStore) restore(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied, from := storedLease{counter: 1}, clock.Time(0)
	for at, c := range s.copies {
		if at >= from && at <= s.clock.Now().Add(-age) {
			copied, from = c, at
		}
	}
	s.now, s.era = copied, s.era+1
	for at := range s.copies {
		if at > from {
			delete(s.copies, at)
		}
	}
}

func (s *restoringStore) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// electionNode is one node of an election.
type electionNode struct {
	name           string
	store          *platform.Store
	lease          *Lease
	frozenUntil    clock.Time
	cutUntil       clock.Time
	answeringSince clock.Time
	contact        clock.Time // Last answer of the store.
	peerContact    clock.Time // As known from the other nodes.
	plannerSeen    clock.Time // When another node last announced that it plans.
	running        chan bool  // Gets the result of a call of Maintain that is still running; nil if there is none.
}

// election simulates nodes that share a lease in a store which comes back from older copies.
type election struct {
	t       *testing.T
	clock   *clock.Manual
	store   *restoringStore
	random  *rand.Rand
	nodes   []*electionNode
	started int64 // Processes so far.
	term    int64 // Highest term so far.

	// The lock of the store guards these, as its server uses them too.
	writeRandom *rand.Rand // Separate from random, so that a seed gives the same faults however writes and steps interleave.
	calm        clock.Time
	holds       []chan struct{}
}

// noteDisturbance records that a planner can't be expected before a while after the given time.
func (e *election) noteDisturbance(at clock.Time) {
	e.store.update(func() { e.calm = max(e.calm, at) })
}

const electionStep = 50 * time.Millisecond

func newElection(t *testing.T, nodes int, seed uint64) *election {
	c := clock.NewManual(time.Hour)
	e := &election{t: t, clock: c, random: rand.New(rand.NewPCG(seed, 0)), writeRandom: rand.New(rand.NewPCG(seed, 1)), calm: c.Now(),
		store: &restoringStore{clock: c, era: 1, now: storedLease{counter: 1}, copies: map[clock.Time]storedLease{}, cut: map[string]bool{}}}
	for i := range nodes {
		n := &electionNode{name: fmt.Sprintf("n%d", i)}
		e.nodes = append(e.nodes, n)
		e.start(n, true)
	}
	return e
}

// start starts a new process of a node.
func (e *election) start(n *electionNode, firstRun bool) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.URL.Path = "/" + n.name + r.URL.Path
		e.store.ServeHTTP(w, r)
	}))
	e.t.Cleanup(func() {
		e.releaseAnswers(math.MaxInt) // The server waits for them.
		server.Close()
	})
	log := logrus.New()
	log.SetOutput(io.Discard)
	e.started++
	store := platform.NewStore(strings.TrimPrefix(server.URL, "http://"))
	lease := NewLease(store, e.clock, log, n.name, e.started)
	lease.FirstRun = firstRun
	store.OnEra = lease.StoreRestored
	*n = electionNode{name: n.name, store: store, lease: lease, plannerSeen: e.clock.Now()}
}

// releaseAnswers releases up to n answers that are held back, the oldest first.
func (e *election) releaseAnswers(n int) {
	e.store.mu.Lock()
	defer e.store.mu.Unlock()
	for range min(n, len(e.holds)) {
		close(e.holds[0])
		e.holds = e.holds[1:]
		e.calm = max(e.calm, e.clock.Now())
	}
}

// answers reports whether the store answers a node.
func (e *election) answers(n *electionNode) bool { return !e.store.down && e.clock.Now() >= n.cutUntil }

func (e *election) frozen(n *electionNode) bool { return e.clock.Now() < n.frozenUntil }

// planners returns the nodes that may plan now.
func (e *election) planners() []*electionNode {
	var list []*electionNode
	for _, n := range e.nodes {
		if n.lease.Valid() {
			list = append(list, n)
		}
	}
	return list
}

// step advances the simulation.
func (e *election) step() {
	e.t.Helper()
	if e.store.step() {
		e.noteDisturbance(e.clock.Now())
	}
	for _, n := range e.nodes {
		e.store.update(func() { e.store.cut[n.name] = e.clock.Now() < n.cutUntil })
		switch {
		case !e.answers(n):
			n.answeringSince = 0
		case !e.frozen(n) && e.random.IntN(3) == 0: // A watch is answered.
			if n.answeringSince == 0 {
				n.answeringSince = e.clock.Now()
			}
			n.contact = e.clock.Now()
			if n.store.LearnEra(e.store.era) {
				n.lease.StoreRestored(e.store.era)
			}
		}
	}
	e.gossip()
	for _, n := range e.nodes {
		if !e.frozen(n) {
			e.maintain(n)
		}
	}
	if p := e.planners(); len(p) > 1 {
		e.t.Fatalf("%s and %s plan at once at %v in era %d, in terms %d and %d", p[0].name, p[1].name, time.Duration(e.clock.Now()), e.store.era, p[0].lease.Term(), p[1].lease.Term())
	}
	e.clock.Advance(electionStep)
}

// gossip passes the nodes' announcements on; one in four datagrams is lost.
func (e *election) gossip() {
	for _, from := range e.nodes {
		for _, to := range e.nodes {
			if from == to || e.frozen(from) || e.frozen(to) || e.random.IntN(4) == 0 {
				continue
			}
			era := from.store.Era()
			if to.store.LearnEra(era) {
				to.lease.StoreRestored(era)
			}
			if revision, resigned := from.lease.Announcement(era); revision != 0 {
				to.lease.ObserveHolder(era, revision, resigned)
			}
			to.peerContact = max(to.peerContact, from.contact)
			if from.lease.Valid() {
				to.plannerSeen = max(to.plannerSeen, e.clock.Now())
			}
		}
	}
}

// maintain calls Maintain of a node. If the store holds the answer back, the node counts as frozen until it arrives.
func (e *election) maintain(n *electionNode) {
	e.t.Helper()
	if n.running == nil {
		alive := 0
		for _, other := range e.nodes {
			if !e.frozen(other) {
				alive++
			}
		}
		access := StoreAccess{AnsweringSince: n.answeringSince, PeerContact: n.peerContact, PeerContactDelay: testContactDelay, Quorum: 2*alive > len(e.nodes)}
		candidate := e.clock.Now().Sub(n.plannerSeen) > 200*time.Millisecond && n.answeringSince != 0
		lease, done := n.lease, make(chan bool, 1)
		n.running = done
		go func() { done <- lease.Maintain(context.Background(), candidate, access) }()
	}
	select {
	case acquired := <-n.running:
		n.running = nil
		e.noteTerm(n, acquired)
	case <-time.After(20 * time.Millisecond): // The answer is held back.
	}
}

func (e *election) noteTerm(n *electionNode, acquired bool) {
	e.t.Helper()
	if !acquired {
		return
	}
	if term := n.lease.Term(); term <= e.term {
		e.t.Fatalf("%s plans in term %d after term %d", n.name, term, e.term)
	}
	e.term = n.lease.Term()
}

func (e *election) run(d time.Duration) {
	e.t.Helper()
	for range int(d / electionStep) {
		e.step()
	}
}

// runUntilPlanner advances the simulation until a node plans, for at most limit, and returns that node.
func (e *election) runUntilPlanner(limit time.Duration) *electionNode {
	e.t.Helper()
	for start := e.clock.Now(); e.clock.Now().Sub(start) <= limit; e.step() {
		if p := e.planners(); len(p) > 0 {
			return p[0]
		}
	}
	e.t.Fatalf("no node plans within %v", limit)
	return nil
}

// maxTakeover is the longest time without a planner after a restore, while no call fails and no process ends.
const maxTakeover = LeaseTerm + leaseMargin + leaseReadInterval + 300*time.Millisecond

// retire makes a node resign and not acquire the lease again for the given time.
func (e *election) retire(n *electionNode, d time.Duration) {
	n.lease.Resign("test")
	n.plannerSeen = e.clock.Now().Add(d)
}

// passLease makes another node than the holder the planner.
func (e *election) passLease() (former, holder *electionNode) {
	e.t.Helper()
	former = e.runUntilPlanner(maxTakeover)
	e.run(time.Second)
	e.retire(former, time.Second)
	holder = e.runUntilPlanner(maxTakeover)
	if holder == former {
		e.t.Fatal("the lease was not passed on")
	}
	return former, holder
}

// Guards against two planners after the store came back from a copy that holds the lease of a former holder: that node took the lease
// at once, while the present holder was still planning.
func TestFormerHolderInRestoredCopyDoesNotPlanAtOnce(t *testing.T) {
	c := quicktest.New(t)
	e := newElection(t, 3, 1)
	former, holder := e.passLease()
	e.run(1500 * time.Millisecond)
	holder.cutUntil = e.clock.Now().Add(300 * time.Millisecond)
	for _, n := range e.nodes {
		n.plannerSeen = 0 // As if the holder's announcements were lost.
	}
	e.store.restore(3 * time.Second)
	e.run(maxTakeover)
	c.Assert(former.lease.Valid(), quicktest.IsFalse)
	c.Assert(holder.lease.Valid(), quicktest.IsTrue)
}

// Guards against groups that no node plans while the holder waits for a lease that only it can still have: it wins the lease again in
// the store that came back, within its validity.
func TestHolderKeepsLeaseAcrossRestore(t *testing.T) {
	c := quicktest.New(t)
	for _, outage := range []time.Duration{0, 800 * time.Millisecond, 3 * time.Second} {
		e := newElection(t, 3, 2)
		holder := e.runUntilPlanner(maxTakeover)
		e.run(4 * time.Second)
		term := holder.lease.Term()
		e.store.down = true
		e.run(outage)
		e.store.restore(2 * time.Second)
		e.store.down = false
		for range int(5 * time.Second / electionStep) {
			e.step()
			c.Assert(holder.lease.Valid() || outage > LeaseTerm, quicktest.IsTrue, quicktest.Commentf("outage of %v", outage))
		}
		c.Assert(holder.lease.Valid(), quicktest.IsTrue, quicktest.Commentf("outage of %v", outage))
		c.Assert(holder.lease.Term(), quicktest.Equals, term)
	}
}

// Guards against a holder whose lease had ended, and which plans again because the store's copy is from before its end.
func TestExpiredHolderInRestoredCopyWaits(t *testing.T) {
	c := quicktest.New(t)
	e := newElection(t, 3, 3)
	former := e.runUntilPlanner(maxTakeover)
	e.run(2 * time.Second)
	former.frozenUntil = e.clock.Now().Add(4 * time.Second)
	e.run(LeaseTerm + electionStep)
	holder := e.runUntilPlanner(maxTakeover + time.Second)
	c.Assert(holder, quicktest.Not(quicktest.Equals), former)
	e.store.restore(5 * time.Second)
	former.frozenUntil = 0
	former.plannerSeen = 0
	e.run(maxTakeover)
	c.Assert(former.lease.Valid(), quicktest.IsFalse)
	c.Assert(holder.lease.Valid(), quicktest.IsTrue)
}

// Guards against two planners after the store came back from a copy without a lease, which another node created at once.
func TestLostLeaseIsNotCreatedWhileItsHolderPlans(t *testing.T) {
	c := quicktest.New(t)
	e := newElection(t, 2, 4)
	holder := e.runUntilPlanner(maxTakeover)
	other := e.nodes[0]
	if other == holder {
		other = e.nodes[1]
	}
	e.run(time.Second)
	holder.cutUntil = e.clock.Now().Add(500 * time.Millisecond)
	e.store.restore(time.Minute)
	e.start(other, false)
	other.plannerSeen = 0
	e.run(maxTakeover)
	c.Assert(holder.lease.Valid(), quicktest.IsTrue)
}

// Guards against epochs that replicas refuse, since a planner derives them from a term below one that the store has lost.
func TestTermsRiseAcrossRestore(t *testing.T) {
	e := newElection(t, 3, 5)
	for range 4 {
		holder := e.runUntilPlanner(maxTakeover)
		e.run(2 * time.Second)
		e.store.update(func() { e.store.now.counter += 100 }) // Writes of other kinds.
		e.retire(holder, 2*time.Second)
		e.runUntilPlanner(maxTakeover)
		e.store.restore(20 * time.Second)
		e.run(4 * time.Second)
	}
}

// Guards against terms whose epochs aren't exact as JSON numbers.
func TestTermsStayExact(t *testing.T) {
	for _, p := range []position{{0, 1}, {1, 1}, {maxTermEra, 1_000_000_000}, {1 << 60, 1_000_000_000}} {
		epoch := p.term() * 100_000
		quicktest.Assert(t, epoch > 0 && epoch < 1<<53, quicktest.IsTrue, quicktest.Commentf("%+v", p))
	}
}

// Guards against a renewal that is carried out in a later era, because the store has given out its revision again, and that counts as
// one of a lease which another node may have acquired since.
func TestRenewalInLaterEraDoesNotExtendLease(t *testing.T) {
	c := quicktest.New(t)
	e := newElection(t, 2, 6)
	holder := e.runUntilPlanner(maxTakeover)
	e.run(time.Second)
	holder.frozenUntil = e.clock.Now().Add(4 * time.Second)
	e.run(LeaseTerm + electionStep)
	other := e.runUntilPlanner(maxTakeover + time.Second)
	c.Assert(other, quicktest.Not(quicktest.Equals), holder)
	holder.lease.mu.Lock()
	revision := holder.lease.position.revision
	holder.lease.mu.Unlock()
	// The copy holds the former holder's lease at the revision that it knows.
	e.store.restore(2 * time.Second)
	e.store.update(func() { e.store.now.revision = revision })
	holder.frozenUntil = 0
	e.run(maxTakeover)
	c.Assert(holder.lease.Valid(), quicktest.IsFalse)
}

// Guards against groups that no node plans any more, since another writer has replaced the lease by a record that can't be read.
func TestUnreadableLeaseIsReplaced(t *testing.T) {
	c := quicktest.New(t)
	for _, spec := range []string{`{"node":7}`, `{"node":"n0","era":1e400}`, `[]`, `null`, strings.Repeat("[", 12_000) + strings.Repeat("]", 12_000)} {
		e := newElection(t, 3, 8)
		holder := e.runUntilPlanner(maxTakeover)
		overwrite := func() {
			e.store.update(func() {
				e.store.now.counter++
				e.store.now.revision, e.store.now.spec = e.store.now.counter, json.RawMessage(spec)
			})
		}
		overwrite()
		e.run(3 * time.Second)
		c.Assert(holder.lease.Valid(), quicktest.IsTrue)
		e.retire(holder, time.Minute)
		overwrite()
		e.runUntilPlanner(maxTakeover)
	}
}

// Guards against two planners in an outage of the store: one that was suspended took its lease for valid, although it heard that another
// node had acquired the lease since.
func TestResumedHolderThatHearsOfItsSuccessorStops(t *testing.T) {
	c := quicktest.New(t)
	e := newElection(t, 3, 7)
	former := e.runUntilPlanner(maxTakeover)
	e.run(time.Second)
	former.frozenUntil = e.clock.Now().Add(5 * time.Second)
	e.run(LeaseTerm + electionStep)
	holder := e.runUntilPlanner(maxTakeover + time.Second)
	e.run(500 * time.Millisecond)
	e.store.update(func() { e.store.down = true })
	e.run(10 * time.Second)
	c.Assert(former.lease.Valid(), quicktest.IsFalse)
	c.Assert(holder.lease.Valid(), quicktest.IsTrue)
}

// Guards against two planners, terms that don't rise and groups without a planner, over restores beside outages, frozen, cut and killed
// nodes, writes that are carried out late or not answered, and answers that arrive late.
func TestOneNodePlansAcrossRestores(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			e := newElection(t, 2+int(seed%3), 100+seed)
			e.disturbWrites()
			for range int(4 * time.Minute / electionStep) {
				e.disturb()
				e.step()
				e.checkPlannerExists()
			}
		})
	}
}

// disturbWrites makes the store carry out some writes late, not answer some, and hold some answers back.
func (e *election) disturbWrites() {
	e.store.onWrite = func(string) (time.Duration, bool, <-chan struct{}) {
		switch e.writeRandom.IntN(60) {
		case 0:
			e.calm = max(e.calm, e.clock.Now())
			return time.Duration(1+e.writeRandom.IntN(6000)) * time.Millisecond, false, nil
		case 1:
			e.calm = max(e.calm, e.clock.Now())
			return 0, false, nil
		case 2:
			e.calm = max(e.calm, e.clock.Now())
			hold := make(chan struct{})
			e.holds = append(e.holds, hold)
			return 0, true, hold
		}
		return 0, true, nil
	}
}

// disturb releases held answers, and restores, stops, cuts, freezes and kills at random. Phases without any of it allow a planner to be
// found.
func (e *election) disturb() {
	if e.random.IntN(4) == 0 {
		e.releaseAnswers(1)
	}
	if e.store.down {
		e.noteDisturbance(e.clock.Now())
		if e.random.IntN(30) == 0 {
			if e.random.IntN(2) == 0 {
				e.store.restore(time.Duration(e.random.IntN(15000)) * time.Millisecond)
			}
			e.store.update(func() { e.store.down = false })
		}
		return
	}
	n := e.nodes[e.random.IntN(len(e.nodes))]
	if p := e.planners(); len(p) > 0 && e.random.IntN(2) == 0 {
		n = p[0]
	}
	span := time.Duration(e.random.IntN(5000)) * time.Millisecond
	switch e.random.IntN(400) {
	case 0, 1:
		e.store.restore(time.Duration(e.random.IntN(15000)) * time.Millisecond)
		e.noteDisturbance(e.clock.Now())
	case 2:
		e.store.update(func() { e.store.down = true })
	case 3:
		n.cutUntil = e.clock.Now().Add(span)
		e.noteDisturbance(n.cutUntil)
	case 4:
		n.frozenUntil = e.clock.Now().Add(span)
		e.noteDisturbance(n.frozenUntil)
	case 5:
		if n.running == nil {
			e.start(n, false)
			e.noteDisturbance(e.clock.Now())
		}
	case 6:
		n.lease.Resign("test")
		e.noteDisturbance(e.clock.Now())
	}
}

// maxElection is the longest time without a planner after the last disturbance. The store may then hold a record of an earlier process,
// and its holder may learn of that by one more failed renewal.
const maxElection = 2*(LeaseTerm+leaseMargin) + time.Second

func (e *election) checkPlannerExists() {
	e.t.Helper()
	if len(e.planners()) > 0 {
		e.noteDisturbance(e.clock.Now())
	}
	var quiet time.Duration
	e.store.update(func() { quiet = e.clock.Now().Sub(e.calm) })
	if quiet > maxElection {
		e.t.Fatalf("no node has planned for %v in calm, in era %d", quiet, e.store.era)
	}
}

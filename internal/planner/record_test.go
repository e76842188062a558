package planner

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/internal/fleet"
	"cassiadeal.example/cassiadeal/internal/placement"
	"cassiadeal.example/cassiadeal/platform"
)

// recordWait is how long a test waits for a condition.
const recordWait = 20 * time.Second

// objectStore is a store of all kinds of objects.
type objectStore struct {
	mu       sync.Mutex
	era      int64
	revision int64
	objects  map[string]map[string]any // By kind and name.
	// onRecord tells what happens to a write of a record: whether it is carried out and whether it is answered. Nil for both.
	onRecord func() (carriedOut, answered bool)
	down     bool
	// refuse returns the status with which the store refuses a call; 0 if it doesn't. Nil if it refuses none.
	refuse  func(*http.Request) int
	records int // Writes of records that were carried out.
}

func newObjectStore() *objectStore { return &objectStore{era: 1, objects: map[string]map[string]any{}} }

func (s *objectStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if s.refuse != nil {
		if status := s.refuse(r); status != 0 {
			w.WriteHeader(status)
			return
		}
	}
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/cassiadeal/objects/"), "/")
	status, answer := s.handle(r, kind, name)
	if status == 0 {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(answer)
}

func (s *objectStore) handle(r *http.Request, kind, name string) (int, any) {
	if r.Method == http.MethodGet && name == "" {
		items := []any{}
		for key, o := range s.objects {
			if strings.HasPrefix(key, kind+"/") {
				items = append(items, o)
			}
		}
		return http.StatusOK, map[string]any{"items": items, "store_revision": s.revision}
	}
	if r.Method == http.MethodGet {
		if o := s.objects[kind+"/"+name]; o != nil {
			return http.StatusOK, o
		}
		return http.StatusNotFound, nil
	}
	var in struct {
		Metadata struct {
			Name     string `json:"name"`
			Revision int64  `json:"revision"`
		} `json:"metadata"`
		Spec json.RawMessage `json:"spec"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		return http.StatusBadRequest, nil
	}
	key := kind + "/" + in.Metadata.Name
	current := s.objects[key]
	if r.Method == http.MethodPost && current != nil {
		return http.StatusConflict, current
	}
	if r.Method == http.MethodPut && (current == nil || current["metadata"].(map[string]any)["revision"] != in.Metadata.Revision) {
		return http.StatusConflict, current
	}
	carriedOut, answered := true, true
	if kind == recordKind && s.onRecord != nil {
		carriedOut, answered = s.onRecord()
	}
	if carriedOut {
		s.revision++
		s.objects[key] = map[string]any{"metadata": map[string]any{"name": in.Metadata.Name, "revision": s.revision}, "spec": in.Spec}
		if kind == recordKind {
			s.records++
		}
	}
	if !answered {
		return 0, nil
	}
	return http.StatusOK, s.objects[key]
}

func (s *objectStore) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// carryOutLate carries out a write that wasn't answered, if its condition still holds.
func (s *objectStore) carryOutLate(c *quicktest.C, name string, revision int64, record storedRecord) {
	spec, err := json.Marshal(record)
	c.Assert(err, quicktest.IsNil)
	s.update(func() {
		if o := s.objects[recordKind+"/"+name]; o["metadata"].(map[string]any)["revision"] == revision {
			s.revision++
			s.objects[recordKind+"/"+name] = map[string]any{"metadata": map[string]any{"name": name, "revision": s.revision}, "spec": json.RawMessage(spec)}
		}
	})
}

// recordTest is a planner that keeps its record in an objectStore and sends orders to one replica.
type recordTest struct {
	c       *quicktest.C
	store   *objectStore
	clock   *clock.Manual
	planner *Planner
	replica *fakeReplica
	entry   *fleet.Replica
	failing atomic.Bool
}

func newRecordTest(t *testing.T, store *objectStore) *recordTest {
	log := logrus.New()
	log.SetOutput(io.Discard)
	replica := &fakeReplica{}
	replicaServer, storeServer := httptest.NewServer(replica), httptest.NewServer(store)
	t.Cleanup(replicaServer.Close)
	t.Cleanup(storeServer.Close)
	r := &recordTest{c: quicktest.New(t), store: store, clock: clock.NewManual(time.Hour), replica: replica,
		entry: &fleet.Replica{ID: "i-1", Address: strings.TrimPrefix(replicaServer.URL, "http://"), StartedUnixMs: 1, Fabric: "f/1"}}
	client := platform.NewStore(strings.TrimPrefix(storeServer.URL, "http://"))
	r.planner = New(Options{Lease: heldLease(client, r.clock, log), Store: client, StoreFailing: r.failing.Load, Clock: r.clock, Log: log,
		Replicas: platform.NewReplicaClient(func(fleet.Incarnation, fleet.Answer) {})})
	r.planner.startTerm()
	r.planner.setActive(true)
	return r
}

// heldLease returns a lease that this node holds in term 3 for an hour.
func heldLease(store *platform.Store, c clock.Clock, log logrus.FieldLogger) *Lease {
	lease := NewLease(store, c, log, "n", 1)
	lease.held, lease.term, lease.validUntil = true, 3, c.Now().Add(time.Hour)
	return lease
}

// plan makes the planner want an epoch of a group with the replica as head, and returns the order to join it.
func (r *recordTest) plan(epoch int64) placement.Order {
	record := recordOf(r.entry, epoch)
	r.planner.recorder.keep(context.Background(), map[string]placement.Record{r.entry.Fabric: record})
	return placement.Order{To: r.entry, Action: placement.Join, Group: "g1", Epoch: epoch, Model: "small", Members: []string{"i-1", "i-2"}}
}

func recordOf(head *fleet.Replica, epoch int64) placement.Record {
	return placement.Record{Groups: []placement.RecordedGroup{{Name: "g1", Epoch: epoch, Model: "small", Members: []placement.RecordedMember{
		{Incarnation: head.Incarnation(), Address: head.Address}, {Incarnation: fleet.Incarnation{ID: "i-2", StartedUnixMs: 5}, Address: "10.0.0.2:1"}}}}}
}

// send sends an order in the background and returns a channel that is closed once that has ended.
func (r *recordTest) send(o placement.Order) chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.planner.send(context.Background(), o)
	}()
	return done
}

func (r *recordTest) await(done chan struct{}) {
	r.c.Helper()
	select {
	case <-done:
	case <-time.After(recordWait):
		r.c.Fatal("the order is still being sent")
	}
}

// awaitWaitingOrder waits until an order waits for its record.
func (r *recordTest) awaitWaitingOrder() {
	r.c.Helper()
	waiting := func() int {
		r.planner.recorder.mu.Lock()
		defer r.planner.recorder.mu.Unlock()
		return len(r.planner.recorder.waiting)
	}
	for deadline := time.Now().Add(recordWait); waiting() == 0; time.Sleep(time.Millisecond) {
		r.c.Assert(time.Now().Before(deadline), quicktest.IsTrue)
	}
}

// awaitStored waits until the store holds an epoch of the group.
func (r *recordTest) awaitStored(epoch int64) {
	r.c.Helper()
	for deadline := time.Now().Add(recordWait); !r.stored().Holds("g1", epoch); time.Sleep(recordRetryInterval) {
		r.c.Assert(time.Now().Before(deadline), quicktest.IsTrue)
	}
}

func (r *recordTest) orders() int {
	r.replica.mu.Lock()
	defer r.replica.mu.Unlock()
	return r.replica.orders
}

// stored returns what the store holds for the replica's fabric domain.
func (r *recordTest) stored() placement.Record {
	records, err := r.planner.recorder.load(context.Background(), 3, recordCallTimeout)
	r.c.Assert(err, quicktest.IsNil)
	return records[r.entry.Fabric]
}

// Guards against an epoch that a later planner doesn't know: a join that is sent before its epoch is in the store.
func TestJoinWaitsForItsRecord(t *testing.T) {
	r := newRecordTest(t, newObjectStore())
	seen := make(chan struct{})
	var ordersAtWrite atomic.Int64
	r.store.onRecord = func() (bool, bool) {
		ordersAtWrite.Add(int64(r.orders()))
		select {
		case <-seen:
		default:
			close(seen)
			return false, false // The first write is lost.
		}
		return true, true
	}
	done := r.send(r.plan(300001))
	<-seen
	r.await(done)
	r.c.Assert(ordersAtWrite.Load(), quicktest.Equals, int64(0))
	r.c.Assert(r.orders(), quicktest.Equals, 1)
	r.c.Assert(r.stored(), quicktest.DeepEquals, recordOf(r.entry, 300001))
}

// Guards against a planner that takes its own record, whose answer was lost, for that of another, and against joins that wait for ever then.
func TestRecordWithLostAnswerCounts(t *testing.T) {
	for name, existing := range map[string]bool{"created": false, "updated": true} {
		t.Run(name, func(t *testing.T) {
			r := newRecordTest(t, newObjectStore())
			if existing {
				r.await(r.send(r.plan(300001)))
			}
			writes := 0
			r.store.update(func() {
				r.store.onRecord = func() (bool, bool) {
					writes++
					return true, writes > 1
				}
			})
			r.await(r.send(r.plan(300002)))
			r.c.Assert(r.stored(), quicktest.DeepEquals, recordOf(r.entry, 300002))
			r.store.update(func() { r.c.Check(writes, quicktest.Equals, 1) })
		})
	}
}

// Guards against a new planner that doesn't know the groups of its predecessor, and against records that one that can't be decoded hides.
func TestSuccessorRestoresRecords(t *testing.T) {
	store := newObjectStore()
	r := newRecordTest(t, store)
	r.await(r.send(r.plan(300001)))
	store.update(func() {
		for name, spec := range map[string]string{"domain-odd": `{"groups":7}`, "domain-other": `{"fabric":"f/1","groups":[]}`} {
			store.objects[recordKind+"/"+name] = map[string]any{"metadata": map[string]any{"name": name, "revision": 1}, "spec": json.RawMessage(spec)}
		}
	})
	next := newRecordTest(t, store)
	next.c.Assert(next.planner.recordRead, quicktest.IsFalse)
	next.planner.restorePlan(context.Background(), 3)
	next.c.Assert(next.planner.recordRead, quicktest.IsTrue)
	members := next.planner.plan.Groups()["g1"]
	next.c.Assert(members, quicktest.HasLen, 2)
	next.c.Assert(members[0].LastEntry.Address, quicktest.Equals, r.entry.Address)
	next.c.Assert(members[1].Incarnation, quicktest.Equals, fleet.Incarnation{ID: "i-2", StartedUnixMs: 5})
	next.planner.recordPlan(context.Background())
	next.entry = r.entry
	next.await(next.send(next.plan(300001)))
	time.Sleep(2 * recordRetryInterval)
	store.update(func() { next.c.Check(store.records, quicktest.Equals, 2) }) // The record is written once by the new planner.
}

// Guards against a former planner's write that is carried out late and makes every later one fail.
func TestLateRecordOfAFormerPlannerIsReplaced(t *testing.T) {
	store := newObjectStore()
	r := newRecordTest(t, store)
	r.await(r.send(r.plan(300001)))
	store.update(func() {
		store.revision++
		store.objects[recordKind+"/domain-f/1"]["metadata"] = map[string]any{"name": "domain-f/1", "revision": store.revision}
		store.objects[recordKind+"/domain-f/1"]["spec"] = json.RawMessage(`{"term":2,"fabric":"f/1","groups":[]}`)
	})
	r.await(r.send(r.plan(300002)))
	r.c.Assert(r.stored(), quicktest.DeepEquals, recordOf(r.entry, 300002))
}

// Guards against lost members that nobody replaces while the store is away, and against a record that stays behind after it.
func TestJoinsGoOnInAnOutageOfTheStore(t *testing.T) {
	r := newRecordTest(t, newObjectStore())
	r.store.update(func() { r.store.down = true })
	r.failing.Store(true)
	done := r.send(r.plan(300001))
	r.awaitWaitingOrder()
	r.c.Assert(r.orders(), quicktest.Equals, 0) // Another node may become the planner.
	lease := r.planner.opt.Lease
	lease.extendInOutage(r.clock.Now())
	r.await(done)
	r.c.Assert(r.orders(), quicktest.Equals, 1)
	r.store.update(func() { r.store.down = false })
	r.failing.Store(false)
	r.awaitStored(300001)
}

// Guards against records that are lost because the store has come back from an older copy.
func TestRecordsAreWrittenAgainAfterARestore(t *testing.T) {
	r := newRecordTest(t, newObjectStore())
	r.await(r.send(r.plan(300001)))
	r.store.update(func() {
		r.store.era, r.store.revision = 2, 0
		clear(r.store.objects)
	})
	r.planner.StoreRestored()
	r.planner.recorder.keep(context.Background(), nil) // As in each tick.
	r.awaitStored(300001)
}

// Guards against orders of a term that has ended, and against two copies of an order that waits.
func TestWaitingJoinsAreDropped(t *testing.T) {
	r := newRecordTest(t, newObjectStore())
	r.store.update(func() { r.store.down = true })
	o := r.plan(300001)
	first := r.send(o)
	r.awaitWaitingOrder()
	r.await(r.send(o)) // A copy.
	r.planner.opt.Lease.lose("the test ends the term")
	r.await(first)
	r.c.Assert(r.orders(), quicktest.Equals, 0)
}

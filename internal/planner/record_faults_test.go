package planner

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/fleet"
	"cassiadeal.example/cassiadeal/internal/placement"
)

// Guards against a planner that never plans, because its lease had ended for a moment while it read the record and was renewed later.
func TestPlanIsRestoredAfterALateRenewal(t *testing.T) {
	r := newRecordTest(t, newObjectStore())
	lease := r.planner.opt.Lease
	lease.validUntil = r.clock.Now()
	done := make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		defer close(done)
		r.planner.restorePlan(ctx, 3)
	}()
	time.Sleep(2 * recordRetryInterval)
	lease.mu.Lock()
	lease.validUntil = r.clock.Now().Add(time.Hour) // The renewal was answered: no other node has acquired the lease.
	lease.mu.Unlock()
	time.Sleep(4 * recordRetryInterval)
	cancel()
	<-done
	r.planner.mu.Lock()
	defer r.planner.mu.Unlock()
	r.c.Assert(r.planner.recordRead, quicktest.IsTrue)
}

// Guards against a restore of the plan that goes on for ever after the lease was lost.
func TestRestoreOfThePlanEndsWithTheLease(t *testing.T) {
	r := newRecordTest(t, newObjectStore())
	r.store.update(func() { r.store.down = true })
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.planner.restorePlan(context.Background(), 3)
	}()
	r.planner.opt.Lease.lose("the test ends the term")
	r.await(done)
}

// Guards against a join by a planner that was paused beyond its lease while the order waited: the tick after which it knows may come later.
func TestRecordedJoinIsDroppedAfterTheLeaseHasEnded(t *testing.T) {
	for name, end := range map[string]func(*recordTest){
		"expired":  func(r *recordTest) { r.clock.Advance(2 * time.Hour) },
		"resigned": func(r *recordTest) { r.planner.opt.Lease.Resign("the test ends the term") },
	} {
		t.Run(name, func(t *testing.T) {
			r := newRecordTest(t, newObjectStore())
			o := r.plan(300001)
			r.awaitStored(300001)
			end(r)
			done := r.send(o)
			time.Sleep(3 * recordRetryInterval)
			r.planner.opt.Lease.lose("another node has acquired it")
			r.await(done)
			r.c.Assert(r.orders(), quicktest.Equals, 0)
		})
	}
}

// refuseAll lets the store refuse all calls, and returns the number of calls since.
func (r *recordTest) refuseAll() (calls func() int) {
	n := 0
	r.store.update(func() {
		r.store.refuse = func(*http.Request) int {
			n++
			return http.StatusTooManyRequests
		}
	})
	return func() (count int) {
		r.store.update(func() { count = n })
		return count
	}
}

// Guards against a storm of priced calls while the store refuses records but answers other calls.
func TestRefusedRecordsAreRetriedLessAndLessOften(t *testing.T) {
	r := newRecordTest(t, newObjectStore())
	calls := r.refuseAll()
	r.plan(300001)
	time.Sleep(3 * time.Second)
	r.c.Assert(calls() <= 12, quicktest.IsTrue, quicktest.Commentf("%d calls in 3 s for one fabric domain", calls()))
	r.store.update(func() { r.store.refuse = nil })
	r.awaitStored(300001)
}

// Guards against a storm of priced calls by a new planner whose reads the store refuses.
func TestRefusedReadsOfTheRecordAreRetriedLessAndLessOften(t *testing.T) {
	r := newRecordTest(t, newObjectStore())
	calls := r.refuseAll()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.planner.restorePlan(ctx, 3)
	}()
	time.Sleep(3 * time.Second)
	cancel()
	<-done
	r.c.Assert(calls() <= 12, quicktest.IsTrue, quicktest.Commentf("%d calls in 3 s", calls()))
}

// Guards against a record that the planner takes for what the store holds, although a later write without an answer was carried out late.
func TestRecordWithoutAnAnswerIsntTakenForUnwritten(t *testing.T) {
	r := newRecordTest(t, newObjectStore())
	r.await(r.send(r.plan(300001)))
	first := recordOf(r.entry, 300001)
	givenUp := recordOf(r.entry, 300001)
	givenUp.Groups[0].GivenUp = true
	attempted := make(chan struct{})
	r.store.update(func() {
		r.store.onRecord = func() (bool, bool) {
			select {
			case <-attempted:
				return true, true
			default:
				close(attempted)
				return false, false // Carried out late.
			}
		}
	})
	recorder := r.planner.recorder
	recorder.keep(context.Background(), map[string]placement.Record{r.entry.Fabric: givenUp})
	<-attempted
	recorder.keep(context.Background(), map[string]placement.Record{r.entry.Fabric: first}) // The group was adopted again.
	time.Sleep(4 * recordRetryInterval)
	late := storedRecord{Term: 3, Fabric: r.entry.Fabric, Write: 2, Groups: encodeRecord(givenUp)}
	r.store.carryOutLate(r.c, recordNamePrefix+r.entry.Fabric, 1, late)
	time.Sleep(4 * recordRetryInterval)
	r.c.Assert(r.stored(), quicktest.DeepEquals, first)
}

// Guards against a record by a former planner that is carried out after its successor has read the record, and outlasts that planner.
func TestLateRecordOfAFormerPlannerIsRefusedAfterATakeover(t *testing.T) {
	store := newObjectStore()
	r := newRecordTest(t, store)
	r.await(r.send(r.plan(300001)))
	next := newRecordTest(t, store)
	next.entry = r.entry
	next.planner.restorePlan(context.Background(), 3)
	next.planner.recordPlan(context.Background())
	time.Sleep(4 * recordRetryInterval)
	late := storedRecord{Term: 2, Fabric: r.entry.Fabric, Write: 2, Groups: encodeRecord(recordOf(r.entry, 300002))}
	store.carryOutLate(next.c, recordNamePrefix+r.entry.Fabric, 1, late)
	time.Sleep(4 * recordRetryInterval)
	next.c.Assert(next.stored(), quicktest.DeepEquals, recordOf(r.entry, 300001))
}

// Guards against sound members that count as unreachable because the orders to join wait for their record.
func TestJoinsThatWaitForTheirRecordAreNoFailedAttempts(t *testing.T) {
	r := newRecordTest(t, newObjectStore())
	p := r.planner
	p.addRecords(nil, 3)
	other := *r.entry
	other.ID = "i-2"
	input := placement.Input{Engine: &fleet.Engine{Models: []fleet.Model{{Name: "small", Size: 2, Share: 1}}}, Need: map[string]float64{"small": 1},
		Replicas: map[string]*fleet.Replica{"i-1": r.entry, "i-2": &other}, LoadWindow: time.Second, StallAfter: time.Second}
	for _, replica := range input.Replicas {
		replica.Staged = []string{"small"}
	}
	r.refuseAll()
	names := map[string]bool{}
	for range 8 {
		input.Now = r.clock.Now()
		p.mu.Lock()
		orders := p.plan.Step(input)
		for name := range p.plan.Groups() {
			names[name] = true
		}
		p.mu.Unlock()
		p.recordPlan(context.Background())
		for _, o := range orders {
			go p.send(context.Background(), o)
		}
		time.Sleep(recordRetryInterval)
		r.clock.Advance(time.Second)
	}
	r.c.Assert(names, quicktest.HasLen, 1)
}

// Guards against joins that are never sent because the entry of a member names another fabric domain than that of its group.
func TestJoinOfAReplicaThatHasMovedIsSent(t *testing.T) {
	r := newRecordTest(t, newObjectStore())
	o := r.plan(300001)
	moved := *o.To
	moved.Fabric = "f/2"
	o.To = &moved
	r.await(r.send(o))
	r.c.Assert(r.orders(), quicktest.Equals, 1)
}

// Guards against a join that is dropped at the beginning of an outage, when the lease has ended and the outage isn't known yet.
func TestJoinOutlastsTheGapBeforeAnOutageIsKnown(t *testing.T) {
	r := newRecordTest(t, newObjectStore())
	r.store.update(func() { r.store.down = true })
	r.failing.Store(true)
	done := r.send(r.plan(300001))
	r.awaitWaitingOrder()
	lease := r.planner.opt.Lease
	lease.mu.Lock()
	lease.validUntil = r.clock.Now()
	lease.mu.Unlock()
	time.Sleep(3 * recordRetryInterval)
	r.c.Assert(r.orders(), quicktest.Equals, 0)
	lease.extendInOutage(r.clock.Now())
	r.await(done)
	r.c.Assert(r.orders(), quicktest.Equals, 1)
}

// Guards against records that count as written although the store has come back from an older copy since.
func TestAnswerOfAFormerEraDoesntCountAsRecorded(t *testing.T) {
	r := newRecordTest(t, newObjectStore())
	r.await(r.send(r.plan(300001)))
	r.refuseAll()
	recorder := r.planner.recorder
	recorder.store.LearnEra(2)
	r.planner.StoreRestored()
	recorder.mu.Lock()
	d := recorder.domains[r.entry.Fabric]
	recorder.mu.Unlock()
	recorder.finish(d, position{era: 1, revision: 1}, recordOf(r.entry, 300001)) // The answer came just before.
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	r.c.Assert(d.behind, quicktest.IsTrue)
}

// Guards against joins that wait because only this node's watches fail, as after an outage until the next of them is answered.
func TestRecordIsWrittenWhileOnlyWatchesFail(t *testing.T) {
	r := newRecordTest(t, newObjectStore())
	r.failing.Store(true)
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.planner.restorePlan(context.Background(), 3)
	}()
	r.await(done)
	r.await(r.send(r.plan(300001)))
	r.c.Assert(r.orders(), quicktest.Equals, 1)
}

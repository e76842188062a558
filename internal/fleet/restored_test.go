package fleet

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/internal/statement"
)

const (
	testLapse       = 4 * time.Second
	testEvacuations = 10 * time.Second
)

func newRestorable() (*Registry, *clock.Manual) {
	now := clock.NewManual(time.Hour)
	r := NewRegistry(now)
	r.FollowStatements(newTable(now))
	return r, now
}

func newTable(now *clock.Manual) *statement.Table {
	return statement.New(statement.Options{Now: func() time.Duration { return time.Duration(now.Now()) }})
}

func startOf(id string, born int64, draining bool) *Replica {
	r := plainReplica(id, "z")
	r.StartedUnixMs, r.Draining = born, draining
	return r
}

func (r *Registry) restoreForTest() {
	r.Restored(RestoreBounds{Lapse: testLapse, Evacuations: testEvacuations})
}

func usable(r *Registry) (ids []string) {
	for _, replica := range r.View().ByService["desk"] {
		ids = append(ids, replica.ID)
	}
	return ids
}

// Guards against replicas that are dropped because the copy from which the store came back lacks their entries, and against ones that are
// used for longer though they don't write theirs again.
func TestEntriesMissingInAnOlderCopyWait(t *testing.T) {
	c := quicktest.New(t)
	r, now := newRestorable()
	r.Replace([]*Replica{startOf("a", 1, false), startOf("b", 1, false)})
	now.Advance(time.Minute)
	r.restoreForTest()
	c.Check(r.Complete(), quicktest.IsFalse)
	r.Replace(nil)
	c.Check(usable(r), quicktest.DeepEquals, []string{"a", "b"})
	now.Advance(ReturnGrace / 2)
	r.Apply([]Change{{ID: "a", Replica: startOf("a", 1, false)}})
	now.Advance(ReturnGrace/2 - time.Millisecond)
	r.Expire()
	c.Check(usable(r), quicktest.DeepEquals, []string{"a", "b"})
	now.Advance(time.Millisecond)
	r.Expire()
	c.Check(usable(r), quicktest.DeepEquals, []string{"a"})
	c.Check(r.Complete(), quicktest.IsTrue)
	r.Apply([]Change{{ID: "a"}})
	c.Check(usable(r), quicktest.HasLen, 0)
}

// Guards against requests to a replica that has said that it drains, because the copy from which the store came back is older than that,
// also at a node that has started since.
func TestDrainingReplicasInAnOlderCopyStayDraining(t *testing.T) {
	c := quicktest.New(t)
	r, now := newRestorable()
	r.Replace([]*Replica{startOf("a", 1, false), startOf("b", 1, false), startOf("gone", 1, false)})
	r.Apply([]Change{{ID: "a", Replica: startOf("a", 1, true)}, {ID: "gone", Replica: startOf("gone", 1, true)}, {ID: "gone"}})
	for range 2 { // The store may come back from the same copy again.
		now.Advance(time.Second)
		r.restoreForTest()
		r.Replace([]*Replica{startOf("a", 1, false), startOf("b", 1, false), startOf("gone", 1, false)})
		c.Check(usable(r), quicktest.DeepEquals, []string{"b"})
	}
	restarted, _ := newRestorable()
	restarted.Replace([]*Replica{startOf("a", 1, false), startOf("b", 1, false)})
	restarted.statements.Merge(r.statements.Reports(time.Second))
	c.Check(usable(restarted), quicktest.DeepEquals, []string{"b"})

	now.Advance(testLapse + time.Minute)
	r.Expire()
	c.Check(usable(r), quicktest.DeepEquals, []string{"b"})
	r.Apply([]Change{{ID: "a", Replica: startOf("a", 2, false)}})
	c.Check(usable(r), quicktest.DeepEquals, []string{"a", "b"})
}

// Guards against requests to a replica that is gone, because the copy from which the store came back still lists it, and against leaving
// one out for good that runs.
func TestRemovedReplicasInAnOlderCopyAreNotUsedAtOnce(t *testing.T) {
	c := quicktest.New(t)
	r, now := newRestorable()
	r.Replace([]*Replica{startOf("a", 1, false), startOf("b", 1, false), startOf("c", 1, false)})
	r.Apply([]Change{{ID: "a"}, {ID: "b"}, {ID: "c"}})
	now.Advance(time.Second)
	r.restoreForTest()
	r.Replace([]*Replica{startOf("a", 1, false), startOf("b", 1, false), startOf("c", 2, false)})
	c.Check(usable(r), quicktest.DeepEquals, []string{"c"}) // Another start.
	c.Check(r.TakeDepartures().Returned, quicktest.DeepEquals, []string{"a", "b"})
	now.Advance(testLapse - time.Millisecond)
	r.Apply([]Change{{ID: "a"}}) // The store finds that it is gone.
	r.Expire()
	c.Check(usable(r), quicktest.DeepEquals, []string{"c"})
	now.Advance(time.Millisecond)
	r.Expire()
	c.Check(usable(r), quicktest.DeepEquals, []string{"b", "c"})
}

// Guards against a cold replica that counts as warm by the copy from which the store came back.
func TestColdTimeOutlastsAnOlderCopy(t *testing.T) {
	c := quicktest.New(t)
	r, now := newRestorable()
	cold := startOf("a", 1, false)
	cold.ColdFor = 5 * time.Second
	r.Replace([]*Replica{cold})
	end := now.Now().Add(5 * time.Second)
	now.Advance(time.Second)
	r.restoreForTest()
	for range 2 { // The copy may be listed more than once.
		r.Replace([]*Replica{startOf("a", 1, false)})
		c.Check(r.View().ColdUntil["a"], quicktest.Equals, end)
	}
	r.Apply([]Change{{ID: "a", Replica: startOf("a", 2, false)}})
	_, stillCold := r.View().ColdUntil["a"]
	c.Check(stillCold, quicktest.IsFalse)
	r.Apply([]Change{{ID: "a", Replica: startOf("a", 1, false)}})
	now.Advance(4 * time.Second)
	r.Expire()
	_, stillCold = r.View().ColdUntil["a"]
	c.Check(stillCold, quicktest.IsFalse)
}

// Guards against requests to an evacuated failure domain, because the copy from which the store came back is older than the evacuation, and
// against one that is left out after it was taken back.
func TestEvacuationsMissingInAnOlderCopyHold(t *testing.T) {
	c := quicktest.New(t)
	r, now := newRestorable()
	r.Replace([]*Replica{startOf("a", 1, false)})
	evacuated := map[string]bool{"z": true}
	lost := func() {
		r.SetEvacuated(evacuated)
		r.restoreForTest()
		r.SetEvacuated(map[string]bool{})
		c.Check(usable(r), quicktest.HasLen, 0)
	}
	lost()
	r.ChangeEvacuated("z", true) // Written again, and taken back.
	c.Check(usable(r), quicktest.HasLen, 0)
	r.ChangeEvacuated("z", false)
	c.Check(usable(r), quicktest.DeepEquals, []string{"a"})

	lost()
	r.SetEvacuated(evacuated)
	r.SetEvacuated(nil)
	c.Check(usable(r), quicktest.DeepEquals, []string{"a"})

	lost()
	now.Advance(testEvacuations - time.Millisecond)
	r.Expire()
	r.ChangeEvacuated("other", true)
	c.Check(usable(r), quicktest.HasLen, 0)
	now.Advance(time.Millisecond)
	r.Expire()
	c.Check(usable(r), quicktest.DeepEquals, []string{"a"})
}

// Guards against requests to the head of a group that a replica has left for a newer one, by the copy from which the store came back.
func TestGroupsInAnOlderCopyDoNotReplaceNewerOnes(t *testing.T) {
	c := quicktest.New(t)
	r, now := newRestorable()
	member := func(epoch, born int64) *Replica {
		replica := startOf("a", born, false)
		replica.Group, replica.Models = &Membership{Name: "g", Epoch: epoch, State: GroupOpen}, []string{"m"}
		return replica
	}
	epoch := func() int64 { return r.View().Replicas["a"].Group.Epoch }
	r.Replace([]*Replica{member(7, 1)})
	r.restoreForTest()
	r.Replace([]*Replica{member(5, 1)})
	c.Check(epoch(), quicktest.Equals, int64(7))
	r.Apply([]Change{{ID: "a", Replica: member(8, 1)}}) // Written again.
	c.Check(epoch(), quicktest.Equals, int64(8))
	r.Replace([]*Replica{member(5, 2)}) // Another start.
	c.Check(epoch(), quicktest.Equals, int64(5))
	now.Advance(ReturnGrace)
	r.Replace([]*Replica{member(4, 2)})
	c.Check(epoch(), quicktest.Equals, int64(4))
}

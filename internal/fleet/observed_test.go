package fleet

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/clock"
)

func groupMember(id string, epoch int64, state GroupState) *Replica {
	r := plainReplica(id, "z")
	r.StartedUnixMs, r.Models = 7, []string{"large"}
	r.Group = &Membership{Name: "g", Epoch: epoch, State: state}
	return r
}

func observationOf(r *Replica) Observation {
	return Observation{r.Incarnation(), r.Group, r.Models, r.Staged}
}

// Guards against repaired groups that get no requests until the end of a store outage, and against observations that replace
// entries written after it.
func TestObservationsReplaceEntriesDuringStoreOutage(t *testing.T) {
	c := quicktest.New(t)
	now := clock.NewManual(time.Hour)
	r := NewRegistry(now)
	old := groupMember("a", 5, GroupOpen)
	r.Replace([]*Replica{old})

	r.Observe([]Observation{observationOf(groupMember("a", 5, GroupClosing))})
	c.Assert(r.View().Replicas["a"].Group.State, quicktest.Equals, GroupOpen,
		quicktest.Commentf("the store answers, so the same epoch must not replace the entry"))

	r.StoreFailed()
	r.Observe([]Observation{observationOf(groupMember("a", 6, GroupReady))})
	r.Observe([]Observation{observationOf(groupMember("a", 6, GroupOpen))})
	c.Assert(r.View().ByService["desk"][0].Head(), quicktest.IsTrue)
	c.Assert(r.View().Replicas["a"].Group.Epoch, quicktest.Equals, int64(6))
	r.Observe([]Observation{observationOf(groupMember("a", 4, GroupOpen))})
	c.Assert(r.View().Replicas["a"].Group.Epoch, quicktest.Equals, int64(6), quicktest.Commentf("a lower epoch arrived late"))

	// The store answers again. It lists the entry first as it was before the outage, then as rewritten.
	r.Replace([]*Replica{groupMember("a", 5, GroupOpen)})
	r.StoreAnswered()
	c.Assert(r.View().Replicas["a"].Group.Epoch, quicktest.Equals, int64(6))
	r.Apply([]Change{{ID: "a", Replica: groupMember("a", 6, GroupBroken)}})
	c.Assert(r.View().Replicas["a"].Group.State, quicktest.Equals, GroupBroken)
	c.Assert(r.Observations(), quicktest.HasLen, 0)
}

// Guards against a new planner that uses the outdated entry of a spare which joined a group during a store outage.
func TestHigherEpochsReplaceEntriesWhileStoreAnswers(t *testing.T) {
	c := quicktest.New(t)
	r := NewRegistry(clock.NewManual(time.Hour))
	spare := plainReplica("a", "z")
	spare.StartedUnixMs = 7
	r.Replace([]*Replica{spare})
	r.Observe([]Observation{observationOf(groupMember("a", 6, GroupOpen))})
	c.Assert(r.View().Replicas["a"].Head(), quicktest.IsTrue)
	r.Observe([]Observation{{Incarnation: spare.Incarnation()}})
	c.Assert(r.View().Replicas["a"].Head(), quicktest.IsTrue)
}

// Guards against observations of another start of the replica, and against those that are kept too long after the outage.
func TestObservationsExpire(t *testing.T) {
	c := quicktest.New(t)
	now := clock.NewManual(time.Hour)
	r := NewRegistry(now)
	r.Replace([]*Replica{groupMember("a", 5, GroupOpen)})
	r.StoreFailed()
	other := groupMember("a", 6, GroupOpen)
	other.StartedUnixMs = 8
	r.Observe([]Observation{observationOf(other), {Incarnation: Incarnation{"b", 1}}})
	c.Assert(r.Observations(), quicktest.HasLen, 0)

	r.Observe([]Observation{observationOf(groupMember("a", 6, GroupOpen))})
	r.StoreAnswered()
	r.Expire()
	c.Assert(r.View().Replicas["a"].Group.Epoch, quicktest.Equals, int64(6))
	now.Advance(observationValidity + time.Second)
	r.Expire()
	c.Assert(r.View().Replicas["a"].Group.Epoch, quicktest.Equals, int64(5))
}

// Guards against entries that are dropped because a long outage's last failed call was more than ReturnGrace before its end.
func TestEntriesWaitAfterTheEndOfALongOutage(t *testing.T) {
	c := quicktest.New(t)
	now := clock.NewManual(time.Hour)
	r := NewRegistry(now)
	r.Replace([]*Replica{plainReplica("a", "z")})
	now.Advance(time.Minute)
	r.StoreFailed()
	now.Advance(ReturnGrace + time.Second) // This node rarely calls the store.
	c.Assert(r.Complete(), quicktest.IsFalse)
	r.Replace(nil)
	r.StoreAnswered()
	r.Expire()
	c.Assert(r.View().Replicas["a"], quicktest.IsNotNil)
	now.Advance(ReturnGrace)
	r.Expire()
	c.Assert(r.View().Replicas["a"], quicktest.IsNil)
	c.Assert(r.Complete(), quicktest.IsTrue)
}

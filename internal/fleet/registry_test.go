package fleet

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/internal/statement"
)

func plainReplica(id, zone string) *Replica {
	return &Replica{ID: id, Service: "desk", Zone: zone, Address: id + ":1"}
}

// Guards against replicas that are dropped because their entries lapsed during a store outage.
func TestMissingEntriesWaitAfterAnOutage(t *testing.T) {
	c := quicktest.New(t)
	now := clock.NewManual(time.Hour)
	r := NewRegistry(now)
	r.Replace([]*Replica{plainReplica("a", "z"), plainReplica("b", "z")})
	now.Advance(time.Minute)

	// Without an outage a removed entry is dropped at once and kept as lapsed.
	r.Apply([]Change{{ID: "a"}})
	c.Assert(r.View().Replicas["a"], quicktest.IsNil)
	c.Assert(r.View().Lapsed["a"], quicktest.IsNotNil)

	r.StoreFailed()
	now.Advance(time.Second)
	c.Assert(r.Complete(), quicktest.IsFalse)
	r.Replace(nil)
	r.Expire()
	c.Assert(r.View().Replicas["b"], quicktest.IsNotNil)
	r.Replace([]*Replica{plainReplica("b", "z")}) // It is written again in time.
	now.Advance(ReturnGrace)
	r.Expire()
	c.Assert(r.View().Replicas["b"], quicktest.IsNotNil)

	r.StoreFailed()
	r.Apply([]Change{{ID: "b"}})
	now.Advance(ReturnGrace)
	r.Expire()
	c.Assert(r.View().Replicas["b"], quicktest.IsNil)
}

// Guards against requests to replicas that drain or whose failure domain is evacuated.
func TestEvacuatedAndDrainingReplicasAreLeftOut(t *testing.T) {
	c := quicktest.New(t)
	r := NewRegistry(clock.NewManual(time.Hour))
	draining := plainReplica("c", "z")
	draining.Draining = true
	r.Replace([]*Replica{plainReplica("a", "z"), plainReplica("b", "out"), draining})
	r.SetEvacuated(map[string]bool{"out": true})
	c.Assert(r.View().ByService["desk"], quicktest.HasLen, 1)
	c.Assert(r.View().ByService["desk"][0].ID, quicktest.Equals, "a")
	r.SetEvacuated(nil)
	c.Assert(r.View().ByService["desk"], quicktest.HasLen, 2)
}

// Guards against a configuration that goes back to an older version.
func TestLowerVersionsAreNotAdopted(t *testing.T) {
	c := quicktest.New(t)
	r := NewRegistry(clock.NewManual(time.Hour))
	c.Assert(r.SetConfig(&Config{Version: 7}), quicktest.IsTrue)
	c.Assert(r.SetConfig(&Config{Version: 6}), quicktest.IsFalse)
	c.Assert(r.SetConfig(&Config{Version: 7}), quicktest.IsFalse)
	c.Assert(r.View().Config.Version, quicktest.Equals, int64(7))
}

// Guards against a cold replica that counts as warm, and against a cold time that outlasts an entry without one.
func TestColdTimeIsCountedFromTheEntry(t *testing.T) {
	c := quicktest.New(t)
	now := clock.NewManual(time.Hour)
	r := NewRegistry(now)
	cold := plainReplica("a", "z")
	cold.ColdFor = 3 * time.Second
	r.Replace([]*Replica{cold})
	c.Assert(r.View().ColdUntil["a"], quicktest.Equals, now.Now().Add(3*time.Second))
	r.Apply([]Change{{ID: "a", Replica: plainReplica("a", "z")}})
	_, stillCold := r.View().ColdUntil["a"]
	c.Assert(stillCold, quicktest.IsFalse)
}

// Guards against requests to a replica that states that it is leaving while the store lists it as ready, and against leaving out
// the replica's next start.
func TestReplicasThatStateTheyLeaveCountAsDraining(t *testing.T) {
	c := quicktest.New(t)
	r := NewRegistry(clock.NewManual(time.Hour))
	statements := statement.New(statement.Options{})
	r.FollowStatements(statements)
	r.Replace([]*Replica{plainReplica("a", "z"), plainReplica("b", "z")})
	statements.Record(plainReplica("a", "z").Incarnation().Target(), statement.Statement{Leaving: true})
	c.Assert(r.View().Replicas["a"].Draining, quicktest.IsTrue)
	c.Assert(r.View().ByService["desk"], quicktest.HasLen, 1)
	r.Apply([]Change{{ID: "a", Replica: plainReplica("a", "z")}}) // The store still says that it is ready.
	c.Assert(r.View().ByService["desk"], quicktest.HasLen, 1)
	restarted := plainReplica("a", "z")
	restarted.StartedUnixMs = 5
	r.Apply([]Change{{ID: "a", Replica: restarted}})
	c.Assert(r.View().ByService["desk"], quicktest.HasLen, 2)
}

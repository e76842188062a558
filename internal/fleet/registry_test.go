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

// Guards against requests to a replica more than the time that it serves after it has said that it leaves: its entry lapsed in an outage
// and isn't written again, or is removed soon after.
func TestMissingEntriesAreKeptFromTheEndOfTheOutage(t *testing.T) {
	const outage = 5 * time.Second
	for _, test := range []struct {
		name    string
		others  time.Duration // When the store answers other nodes, in each 100 ms from then on, after the start of the outage; 0 for not before.
		gap     time.Duration // Time without answers to others after the first one.
		answer  time.Duration // When the store answers this node, after the end of the outage.
		removal time.Duration // When the entry is removed, after the answer.
		kept    time.Duration // For how long the entry is kept after the end of the outage.
	}{
		{"missing in the first list", 0, 0, 0, 0, ReturnGrace},
		{"removed after the first list", 0, 0, 0, ReturnGrace - 100*time.Millisecond, ReturnGrace},
		{"missing in the list of a node that is answered late", outage, 0, 1900 * time.Millisecond, 0, ReturnGrace},
		{"missing in the list of a node that is answered very late", outage, 0, 3 * time.Second, 0, 3 * time.Second},
		{"only this node was cut off", time.Millisecond, 0, 0, 0, 0},
		{"the store was away again meanwhile", 500 * time.Millisecond, outage - 500*time.Millisecond, 100 * time.Millisecond, 0, ReturnGrace},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := quicktest.New(t)
			now := clock.NewManual(time.Hour)
			r := NewRegistry(now)
			r.Replace([]*Replica{plainReplica("a", "z"), plainReplica("b", "z")})
			now.Advance(time.Minute)
			r.StoreFailed()
			start, removed := now.Now(), false
			for elapsed := time.Duration(0); elapsed < 12*time.Second; elapsed += 100 * time.Millisecond {
				if elapsed > 0 {
					now.Advance(100 * time.Millisecond)
				}
				if sinceFirst := elapsed - test.others; test.others > 0 && sinceFirst >= 0 && (sinceFirst == 0 || sinceFirst > test.gap) {
					r.StoreAnsweredOther(time.Second)
					r.StoreAnsweredOther(time.Minute)
				}
				if elapsed == outage+test.answer {
					r.StoreAnswered()
				}
				if elapsed == outage+test.answer+test.removal {
					r.Replace([]*Replica{plainReplica("b", "z")})
				}
				r.Expire()
				if !removed && r.View().Replicas["a"] == nil {
					removed = true
					kept := now.Now().Sub(start) - outage
					c.Check(kept >= test.kept && kept <= test.kept+100*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("kept for %v", kept))
				}
			}
			c.Check(removed, quicktest.IsTrue)
		})
	}
}

// Guards against an outage that seems to go on because a call that was sent during it fails after others were answered.
func TestLateFailureDoesNotProlongTheOutage(t *testing.T) {
	c := quicktest.New(t)
	now := clock.NewManual(time.Hour)
	r := NewRegistry(now)
	r.Replace([]*Replica{plainReplica("a", "z"), plainReplica("b", "z")})
	now.Advance(time.Minute)
	r.StoreFailed()
	now.Advance(5 * time.Second)
	r.StoreAnswered()
	now.Advance(time.Second)
	r.StoreFailed()
	now.Advance(ReturnGrace - 1100*time.Millisecond)
	r.StoreAnswered()
	r.Replace([]*Replica{plainReplica("b", "z")})
	c.Check(r.View().Replicas["a"], quicktest.IsNotNil)
	now.Advance(100 * time.Millisecond)
	r.Expire()
	c.Check(r.View().Replicas["a"], quicktest.IsNil)
}

// Guards against a list that counts as complete while it may be old: the store answers other nodes, but hasn't answered this one for long.
func TestListIsIncompleteAfterAnOutageOfThisNode(t *testing.T) {
	c := quicktest.New(t)
	now := clock.NewManual(time.Hour)
	r := NewRegistry(now)
	r.Replace([]*Replica{plainReplica("a", "z")})
	now.Advance(time.Minute)
	c.Assert(r.Complete(), quicktest.IsTrue)
	r.StoreFailed()
	for range 5 {
		now.Advance(time.Second)
		r.StoreAnsweredOther(0)
	}
	c.Assert(r.Complete(), quicktest.IsFalse)
	r.StoreAnswered()
	c.Assert(r.Complete(), quicktest.IsFalse)
	now.Advance(ReturnGrace)
	c.Assert(r.Complete(), quicktest.IsTrue)
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

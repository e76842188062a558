package fleet

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/clock"
)

const testEntryLapse = 3600 * time.Millisecond

func newOrdered(entries ...*Replica) (*Registry, *clock.Manual) {
	now := clock.NewManual(time.Hour)
	r := NewRegistry(now)
	r.SetEntryLapse(testEntryLapse)
	r.Replace(entries)
	now.Advance(time.Minute)
	return r, now
}

// checkIn returns the entry that a check-in of the replica "a" writes.
func checkIn(born, sequence int64, change func(*Replica)) *Replica {
	r := startOf("a", born, false)
	r.Sequence, r.Slots = sequence, 8
	if change != nil {
		change(r)
	}
	return r
}

func draining(r *Replica) { r.Draining = true }

func (r *Registry) write(entries ...*Replica) {
	for _, entry := range entries {
		r.Apply([]Change{{ID: entry.ID, Replica: entry}})
	}
}

// pass lets time pass as a node does.
func pass(r *Registry, now *clock.Manual, d time.Duration) {
	for ; d > 0; d -= 100 * time.Millisecond {
		now.Advance(min(d, 100*time.Millisecond))
		r.Expire()
	}
}

// Guards against a check-in that is carried out after a newer one and takes back what that one told: requests went to a replica that had said
// that it leaves.
func TestLateCheckInTakesNothingBack(t *testing.T) {
	group := func(epoch int64, state GroupState) func(*Replica) {
		return func(r *Replica) {
			r.Group, r.Models = &Membership{Name: "g", Epoch: epoch, State: state}, []string{"m"}
		}
	}
	for _, test := range []struct {
		name       string
		older, now func(*Replica)
		same       func(a, b *Replica) bool
	}{
		{"state", nil, draining, func(a, b *Replica) bool { return a.Draining == b.Draining }},
		{"slots", nil, func(r *Replica) { r.Slots = 2 }, func(a, b *Replica) bool { return a.Slots == b.Slots }},
		{"end of a group", group(5, GroupOpen), nil, func(a, b *Replica) bool { return equalMemberships(a.Group, b.Group) }},
		{"epoch of a group", group(5, GroupOpen), group(6, GroupJoining), func(a, b *Replica) bool { return equalMemberships(a.Group, b.Group) }},
		{"state of a group", group(5, GroupOpen), group(5, GroupBroken), func(a, b *Replica) bool { return equalMemberships(a.Group, b.Group) }},
		{"staged weights", func(r *Replica) { r.Staged = []string{"m"} }, nil, func(a, b *Replica) bool { return len(a.Staged) == len(b.Staged) }},
	} {
		for _, listed := range []bool{false, true} {
			t.Run(test.name, func(t *testing.T) {
				c := quicktest.New(t)
				newest := checkIn(1, 10, test.now)
				r, now := newOrdered(checkIn(1, 5, test.older))
				r.write(newest)
				late := checkIn(1, 7, test.older)
				if listed { // The watch missed the newest entry's replacement.
					r.Replace([]*Replica{late})
				} else {
					r.write(late)
				}
				c.Check(test.same(r.View().Replicas["a"], newest), quicktest.IsTrue)
				pass(r, now, 1200*time.Millisecond)
				c.Check(test.same(r.View().Replicas["a"], newest), quicktest.IsTrue)

				// The replica checks in again, and later changes back in earnest.
				r.write(checkIn(1, 11, test.now), checkIn(1, 12, test.older))
				c.Check(test.same(r.View().Replicas["a"], late), quicktest.IsTrue)
				c.Check(r.TakeDepartures().Held, quicktest.DeepEquals, []Hold{{"a", HoldOlderCheckIn}})
			})
		}
	}
}

// Guards against a replica that counts as warm by a check-in from before it turned cold.
func TestLateCheckInDoesNotEndAColdTime(t *testing.T) {
	c := quicktest.New(t)
	r, now := newOrdered(checkIn(1, 5, nil))
	r.write(checkIn(1, 10, func(r *Replica) { r.ColdFor = 5 * time.Second }))
	end := now.Now().Add(5 * time.Second)
	r.write(checkIn(1, 7, nil))
	c.Check(r.View().ColdUntil["a"], quicktest.Equals, end)
	r.write(checkIn(1, 11, nil))
	_, cold := r.View().ColdUntil["a"]
	c.Check(cold, quicktest.IsFalse)
}

// Guards against a check-in of an earlier start of a replica that replaces the entry of the present one: its address may be another's by now.
func TestLateCheckInOfAnEarlierStart(t *testing.T) {
	c := quicktest.New(t)
	r, _ := newOrdered(checkIn(1, 50, nil))
	r.write(checkIn(2, 1, nil)) // It counts from the beginning.
	c.Check(r.View().Replicas["a"].StartedUnixMs, quicktest.Equals, int64(2))
	r.write(checkIn(1, 52, func(r *Replica) { r.Address = "former:1" }))
	c.Check(r.View().Replicas["a"].Address, quicktest.Equals, "a:1")
	r.Apply([]Change{{ID: "a"}})
	r.write(checkIn(1, 53, nil))
	c.Check(usable(r), quicktest.HasLen, 0)
	c.Check(r.TakeDepartures().Held, quicktest.DeepEquals, []Hold{{"a", HoldOlderStart}, {"a", HoldOlderStart}})
	r.write(checkIn(3, 1, nil))
	c.Check(usable(r), quicktest.DeepEquals, []string{"a"})
}

// Guards against requests to a replica that has left, by a check-in from before, whose sequence may be higher than any that was seen: the
// entry changes only when more than the sequence does.
func TestLateCheckInDoesNotBringBackARemovedReplica(t *testing.T) {
	for _, sequence := range []int64{7, 10, 14} {
		c := quicktest.New(t)
		r, now := newOrdered(checkIn(1, 5, nil))
		r.write(checkIn(1, 10, nil))
		r.Apply([]Change{{ID: "a"}})
		pass(r, now, 2*time.Second)
		r.write(checkIn(1, sequence, nil))
		pass(r, now, testEntryLapse-100*time.Millisecond)
		c.Check(usable(r), quicktest.HasLen, 0, quicktest.Commentf("sequence %d", sequence))
		r.Apply([]Change{{ID: "a"}}) // The store finds that nobody checks in.
		pass(r, now, time.Minute)
		c.Check(usable(r), quicktest.HasLen, 0)
		c.Check(r.View().Replicas["a"], quicktest.IsNil)
	}
}

// Guards against a replica that is shut out for good after it was gone: it couldn't reach the store for a while, it has taken back that it
// leaves, or another writer had spoilt its entry.
func TestReplicaThatIsBackInEarnestIsUsed(t *testing.T) {
	const sinceRemoval = 2 * time.Second
	for _, test := range []struct {
		name     string
		last     func(*Replica)
		spoilt   bool
		sequence int64
		after    time.Duration // Of the removal until it is written again.
		used     time.Duration // The longest time from then on until it is used.
	}{
		{"later than any late check-in", nil, false, 14, lateWriteTime, 0},
		{"had said that it leaves", draining, false, 14, sinceRemoval, 0},
		{"spoilt entry", nil, true, 14, sinceRemoval, 0},
		{"may be a late check-in", nil, false, 14, sinceRemoval, lateWriteTime - sinceRemoval + testEntryLapse + ReturnGrace},
		{"counts anew", nil, false, 2, sinceRemoval, lateWriteTime - sinceRemoval + testEntryLapse + ReturnGrace},
		{"counts anew, much later", nil, false, 2, lateWriteTime + time.Second, testEntryLapse + ReturnGrace},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := quicktest.New(t)
			r, now := newOrdered(checkIn(1, 5, nil))
			r.write(checkIn(1, 10, test.last))
			r.Apply([]Change{{ID: "a", Unreadable: test.spoilt}})
			pass(r, now, test.after)
			c.Check(usable(r), quicktest.HasLen, 0)
			r.write(checkIn(1, test.sequence, nil))
			pass(r, now, test.used)
			c.Check(usable(r), quicktest.DeepEquals, []string{"a"})
		})
	}
}

// Guards against a replica whose check-ins are taken for old ones for good, because another writer has stated a sequence far too high, or
// because its state went back to that of the late check-in, so that its later ones didn't change the entry.
func TestEntryThatStaysListedIsUsed(t *testing.T) {
	c := quicktest.New(t)
	r, now := newOrdered(checkIn(1, 10, draining))
	r.write(checkIn(1, 7, nil))
	const longest = lateWriteTime + testEntryLapse + ReturnGrace // After the entry in use, as that one arrived a minute before.
	pass(r, now, testEntryLapse+ReturnGrace-100*time.Millisecond)
	c.Check(usable(r), quicktest.HasLen, 0)
	pass(r, now, 100*time.Millisecond)
	c.Check(usable(r), quicktest.DeepEquals, []string{"a"})
	c.Check(r.TakeDepartures().HeldUsed, quicktest.DeepEquals, []string{"a"})

	r.write(checkIn(1, 1<<50, draining))
	for sequence := int64(11); len(usable(r)) == 0; sequence++ { // Each check-in changes the entry.
		r.write(checkIn(1, sequence, func(r *Replica) { r.Slots = int(sequence) }))
		c.Assert(sequence < 11+int64(longest/time.Second)+2, quicktest.IsTrue)
		pass(r, now, time.Second)
	}
}

// Guards against an old entry that is used because a replica couldn't replace it in an outage of the store.
func TestHeldEntryIsNotUsedAfterAnOutage(t *testing.T) {
	c := quicktest.New(t)
	r, now := newOrdered(checkIn(1, 10, draining))
	r.write(checkIn(1, 7, nil))
	r.StoreFailed()
	pass(r, now, time.Minute)
	c.Check(usable(r), quicktest.HasLen, 0)
	r.StoreAnswered()
	pass(r, now, testEntryLapse-100*time.Millisecond)
	c.Check(usable(r), quicktest.HasLen, 0)
	r.write(checkIn(1, 60, draining))
	pass(r, now, time.Minute)
	c.Check(usable(r), quicktest.HasLen, 0)
}

// Guards against entries that are taken for old ones after the store has come back from an older copy, which holds earlier check-ins.
func TestEarlierSequencesAreRightAfterARestore(t *testing.T) {
	c := quicktest.New(t)
	r, now := newOrdered(checkIn(1, 5, nil))
	r.FollowStatements(newTable(now))
	r.write(checkIn(1, 10, func(r *Replica) { r.Slots = 2 }))
	r.restoreForTest()
	r.Replace([]*Replica{checkIn(1, 5, nil)})
	c.Check(r.View().Replicas["a"].Slots, quicktest.Equals, 8)
	c.Check(usable(r), quicktest.DeepEquals, []string{"a"})
}

// Guards against a check-in from before a join that takes back the group that the replica itself has reported since.
func TestLateCheckInDoesNotReplaceANewerReport(t *testing.T) {
	c := quicktest.New(t)
	member := func(sequence, epoch int64) *Replica {
		return checkIn(1, sequence, func(r *Replica) {
			r.Group, r.Models = &Membership{Name: "g", Epoch: epoch, State: GroupOpen}, []string{"m"}
		})
	}
	r, _ := newOrdered(member(5, 5))
	r.Observe([]Observation{observationOf(member(0, 7))})
	late := member(6, 5)
	late.Staged = []string{"m"}
	r.write(late)
	c.Check(r.View().Replicas["a"].Group.Epoch, quicktest.Equals, int64(7))
	r.write(member(8, 8))
	c.Check(r.View().Replicas["a"].Group.Epoch, quicktest.Equals, int64(8))
	c.Check(r.Observations(), quicktest.HasLen, 0)
}

// Guards against a replica that waits for the time of late check-ins although it has answered that it is back, and against an answer from
// before its removal, or of another start, that brings it back.
func TestReplicaThatAnswersIsBackAtOnce(t *testing.T) {
	c := quicktest.New(t)
	r, now := newOrdered(checkIn(1, 10, nil))
	r.Apply([]Change{{ID: "a"}})
	beforeReturn := now.Now()
	pass(r, now, time.Second)
	r.write(checkIn(1, 14, nil))
	c.Assert(r.MayHaveReturned(), quicktest.HasLen, 1)
	c.Check(r.ConfirmReturn(Incarnation{"a", 1}, beforeReturn), quicktest.IsFalse)
	c.Check(r.ConfirmReturn(Incarnation{"a", 2}, now.Now()), quicktest.IsFalse)
	c.Check(usable(r), quicktest.HasLen, 0)
	c.Check(r.ConfirmReturn(Incarnation{"a", 1}, now.Now()), quicktest.IsTrue)
	c.Check(usable(r), quicktest.DeepEquals, []string{"a"})
	c.Check(r.MayHaveReturned(), quicktest.HasLen, 0)

	// An entry that is known to be older isn't confirmed by any answer, nor is one that says that the replica leaves.
	r.Apply([]Change{{ID: "a"}})
	r.write(checkIn(1, 12, nil))
	c.Check(r.MayHaveReturned(), quicktest.HasLen, 0)
	r.write(checkIn(1, 15, draining))
	c.Check(r.MayHaveReturned(), quicktest.HasLen, 0)
}

// Guards against requests to a replica that drains, or too many to a cold one, of which the node never hears: the store has carried out an old
// check-in that states the same, and the new one is no event then.
func TestWhatAHeldEntryWarnsOfCounts(t *testing.T) {
	c := quicktest.New(t)
	cold := func(r *Replica) { r.ColdFor = 5 * time.Second }
	r, now := newOrdered(checkIn(1, 10, draining))
	r.write(checkIn(1, 16, nil), checkIn(1, 14, draining))
	c.Check(usable(r), quicktest.HasLen, 0)
	r.write(checkIn(1, 17, nil)) // It doesn't drain.
	c.Check(usable(r), quicktest.DeepEquals, []string{"a"})

	r.write(checkIn(1, 15, cold))
	c.Check(r.View().ColdUntil["a"], quicktest.Equals, now.Now().Add(5*time.Second))
	r.write(checkIn(1, 18, nil))
	_, isCold := r.View().ColdUntil["a"]
	c.Check(isCold, quicktest.IsFalse)

	// Another start of the replica tells nothing of this one.
	r.write(checkIn(2, 1, nil), checkIn(1, 20, draining))
	c.Check(usable(r), quicktest.DeepEquals, []string{"a"})
}

// Guards against an old check-in that is used because another one that isn't used yet was newer.
func TestLateCheckInsAfterARemovalAreOrdered(t *testing.T) {
	c := quicktest.New(t)
	r, now := newOrdered(checkIn(1, 10, nil))
	r.Apply([]Change{{ID: "a"}})
	pass(r, now, lateWriteTime-time.Second)
	r.write(checkIn(1, 14, draining))
	pass(r, now, 3*time.Second)
	r.write(checkIn(1, 13, nil))
	pass(r, now, testEntryLapse)
	c.Check(usable(r), quicktest.HasLen, 0)
	r.write(checkIn(1, 18, nil))
	c.Check(usable(r), quicktest.DeepEquals, []string{"a"})
}

// Guards against a second removal that isn't noticed because the entry in between wasn't used.
func TestReplicaThatIsRemovedAgainStaysOut(t *testing.T) {
	c := quicktest.New(t)
	r, now := newOrdered(checkIn(1, 10, nil))
	r.Apply([]Change{{ID: "a"}})
	r.write(checkIn(1, 12, nil))
	pass(r, now, lateWriteTime)
	r.Apply([]Change{{ID: "a"}})
	r.write(checkIn(1, 14, nil))
	c.Check(usable(r), quicktest.HasLen, 0)
}

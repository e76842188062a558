package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/fleet"
)

// Guards against a member that a new planner takes from a head that serves: the former planner had recorded the repair of the group under
// another head, since this one was silent, and died before it sent the first order.
func TestNewPlannerReleasesAReturnedHeadBeforeItsMembers(t *testing.T) {
	for name, unlisted := range map[string]bool{"listed": false, "unlisted": true} {
		t.Run(name, func(t *testing.T) { testReturnedHead(t, unlisted) })
	}
}

func testReturnedHead(t *testing.T, unlisted bool) {
	c := quicktest.New(t)
	m, p := startedSystem(t, 1, 10)
	head, members := busyHead(m, 0)
	name, epoch := head.group, head.epoch
	head.hidden, head.silent = true, true
	m.loseAnswer = func(Order) bool { return true }
	for range 80 {
		if !p.isPlanned(name, epoch) {
			break
		}
		m.run(p, 100*time.Millisecond, func() { m.lateOrders = nil })
	}
	c.Assert(p.isPlanned(name, epoch), quicktest.IsFalse)
	m.loseAnswer, m.lateOrders = nil, nil
	head.hidden, head.silent = false, false
	c.Assert(head.state, quicktest.Equals, fleet.GroupOpen)
	if unlisted {
		head.unlistedAt = m.clock.Now()
	}
	p = m.successor(p)
	since := m.clock.Now()
	m.loseAnswer = func(o Order) bool { return o.To.ID == head.id && m.clock.Now().Sub(since) < time.Second } // The orders arrive late.
	m.watch(func(o Order) {
		for _, v := range members[1:] {
			serves := head.state == fleet.GroupOpen && head.epoch == epoch
			c.Check(o.To.ID == v.id && serves, quicktest.IsFalse, quicktest.Commentf("%s to %s: %s", o.Action, v.id, o.Reason))
		}
	})
	m.run(p, 6*time.Second, nil)
	m.assertNoViolations()
	c.Assert(m.openGroups()["large"], quicktest.Equals, 1)
}

func (p *Plan) isPlanned(name string, epoch int64) bool {
	g := p.groups[name]
	return g != nil && g.epoch == epoch
}

// Guards against a record that grows for ever: each planner hands on what was given up before, and begins anew to wait for its heads.
func TestRestoredPlanForgetsTheOldestGivenUpEpochs(t *testing.T) {
	c := quicktest.New(t)
	var r Record
	for epoch := range int64(10 * maxRestoredGivenUp) {
		member := RecordedMember{fleet.Incarnation{ID: fmt.Sprint(epoch), StartedUnixMs: 1}, "10.0.0.1:1"}
		r.Groups = append(r.Groups, RecordedGroup{Name: fmt.Sprintf("g%d", epoch), Epoch: epoch, Model: "small", GivenUp: true, Members: []RecordedMember{member}})
	}
	p := New(1)
	p.Restore(map[string]Record{"domain-0": r}, 1)
	kept := p.Records()["domain-0"]
	c.Assert(kept.Groups, quicktest.HasLen, maxRestoredGivenUp)
	newest := int64(10*maxRestoredGivenUp - 1)
	c.Assert(kept.Holds(fmt.Sprintf("g%d", newest), newest), quicktest.IsTrue)
}

// Guards against a join that has waited for its record, and takes a member from a head that serves again since.
func TestWaitingJoinIsDroppedOnceTheHeadServesAgain(t *testing.T) {
	c := quicktest.New(t)
	m, p := startedSystem(t, 1, 10)
	head, members := busyHead(m, 0)
	epoch := head.epoch
	var waiting []Order
	m.loseAnswer = func(o Order) bool {
		if o.Action == Join && o.Epoch > epoch {
			waiting = append(waiting, o)
			return true
		}
		return false
	}
	head.draining = true // It leaves, and its members join a later epoch.
	for range 40 {
		if len(waiting) == 0 {
			m.run(p, 100*time.Millisecond, func() { m.lateOrders = nil })
		}
	}
	c.Assert(waiting, quicktest.Not(quicktest.HasLen), 0)
	o := waiting[0]
	c.Assert(o.To.Group.Epoch, quicktest.Equals, epoch)
	m.reportLag = 0
	m.run(p, 100*time.Millisecond, nil) // The head's entry shows that it has left.
	c.Assert(p.StillWants(o), quicktest.IsTrue)
	head.group, head.epoch, head.rank, head.state = o.To.Group.Name, epoch, 0, fleet.GroupOpen // Orders were carried out late.
	head.members = []string{head.id, members[1].id, members[2].id, members[3].id}
	m.loseAnswer = func(Order) bool { return true }
	m.run(p, 100*time.Millisecond, nil)
	c.Assert(p.groups[o.Group].epoch, quicktest.Equals, o.Epoch)
	c.Assert(p.StillWants(o), quicktest.IsFalse)
}

// Guards against a head that a planner doesn't know although it is recorded, because the planner has planned one of its members in another
// group before it could read the record.
func TestRestoredEpochWithAMemberPlannedElsewhereIsKept(t *testing.T) {
	c := quicktest.New(t)
	m, p := startedSystem(t, 1, 10)
	head, members := busyHead(m, 0)
	key := groupKey{head.group, head.epoch}
	next := New(2)
	next.groups["g200001"] = &group{name: "g200001", epoch: 200001, model: "small", fabric: head.fabric, members: []member{{incarnation: m.incarnation(members[3])}}}
	next.Restore(p.Records(), m.clock.Now())
	c.Assert(next.isPlanned(key.name, key.epoch), quicktest.IsFalse)
	c.Assert(next.Records()[head.fabric].Holds(key.name, key.epoch), quicktest.IsTrue)
	c.Assert(next.dissolved[key].headEntry.Address, quicktest.Equals, head.id+":1")
}

// Guards against an epoch that gives way to a former one, because the planner has adopted that from outdated entries before it could read the
// record.
func TestRestoredEpochReplacesAFormerOne(t *testing.T) {
	c := quicktest.New(t)
	m, p := startedSystem(t, 1, 10)
	head, members := busyHead(m, 0)
	next := New(2)
	next.groups[head.group] = &group{name: head.group, epoch: head.epoch - 1, model: "large", fabric: head.fabric, members: []member{
		{incarnation: m.incarnation(members[1])}, {incarnation: m.incarnation(head)}, {}, {}}}
	next.Restore(p.Records(), m.clock.Now())
	c.Assert(next.isPlanned(head.group, head.epoch), quicktest.IsTrue)
	c.Assert(next.Records()[head.fabric].Holds(head.group, head.epoch-1), quicktest.IsTrue)
	assertPlannedOnce(c, next)
}

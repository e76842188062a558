package placement

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/fleet"
)

// outdate lets the planner read the given entries, which may be older than what the replicas have done since, beside their answers to queries.
func (m *emulator) outdate(entries map[string]*fleet.Replica) {
	m.storedEntries, m.mayBeOutdated = entries, true
}

// withholdReport drops the answer of a replica to the planner's last query.
func (m *emulator) withholdReport(v *vm) { delete(m.reports, m.incarnation(v)) }

// Guards against members that join another group while the head of their own serves: the head, which drains, is known only from an entry
// that is older than its last join.
func TestHeadWithAnOutdatedEntryIsReleasedFirst(t *testing.T) {
	for name, group := range map[string]*fleet.Membership{
		"no group": nil, "a former epoch": {Name: "g100001", Epoch: 1, State: fleet.GroupOpen}, "another group": {Name: "standby-x", Epoch: 2, State: fleet.GroupReady},
	} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			m, p := startedSystem(t, 1, 10)
			head := m.openHeads("large")[0]
			outdated := m.entries()
			outdated[head.id].Group, outdated[head.id].Draining = group, true
			head.draining = true
			m.outdate(outdated)
			m.run(p, 2*time.Second, func() { m.withholdReport(head) })
			m.assertNoViolations()
			m.run(p, 4*time.Second, nil)
			m.storedEntries, m.mayBeOutdated = nil, false
			m.run(p, 4*time.Second, nil)
			m.assertNoViolations()
			c.Assert(m.openGroups()["large"], quicktest.Equals, 1)
			c.Assert(head.state, quicktest.Not(quicktest.Equals), fleet.GroupOpen)
		})
	}
}

// Guards against requests that are broken off because a member, which drains, is known only from an entry that is older than its join.
func TestRequestsOfAMemberWithAnOutdatedEntryFinish(t *testing.T) {
	c := quicktest.New(t)
	m, p := startedSystem(t, 1, 10)
	head, members := busyHead(m, 3*time.Second)
	outdated := m.entries()
	outdated[members[1].id].Group, outdated[members[1].id].Draining = nil, true
	members[1].draining = true
	m.outdate(outdated)
	m.run(p, 6*time.Second, func() { m.withholdReport(members[1]) })
	m.storedEntries, m.mayBeOutdated = nil, false
	m.run(p, 4*time.Second, nil)
	m.assertNoViolations()
	c.Assert(m.interruptions, quicktest.HasLen, 0)
	c.Assert(m.openGroups()["large"], quicktest.Equals, 1)
	c.Assert(head.members, quicktest.Not(quicktest.Contains), members[1].id)
}

// Guards against requests that are broken off because an older copy of the store lists an earlier start of a member.
func TestRequestsOfAMemberWhoseEarlierStartIsListedFinish(t *testing.T) {
	c := quicktest.New(t)
	m, p := startedSystem(t, 1, 10)
	_, members := busyHead(m, time.Minute)
	outdated := m.entries()
	outdated[members[1].id].StartedUnixMs--
	m.outdate(outdated)
	m.run(p, 4*time.Second, func() { m.withholdReport(members[1]) })
	m.storedEntries, m.mayBeOutdated = nil, false
	m.run(p, 4*time.Second, nil)
	m.assertNoViolations()
	c.Assert(m.interruptions, quicktest.HasLen, 0)
}

// watch calls seen with each order before it is carried out.
func (m *emulator) watch(seen func(Order)) {
	m.refuse = func(o Order) bool {
		seen(o)
		return false
	}
}

// Guards against members that are taken from a sound, idle head: its entry has lapsed, and it hasn't received the order to leave, but it
// answers probes.
func TestIdleUnlistedHeadThatAnswersIsReleasedFirst(t *testing.T) {
	for name, spares := range map[string]int{"the group is repaired": 2, "the group is dissolved": 0} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			m, p := startedSystem(t, 1, 8+spares)
			m.activityInterval = time.Hour // No node has received an event since the start.
			head, members := busyHead(m, 0)
			since := m.clock.Now()
			m.loseAnswer = func(o Order) bool {
				return o.To.ID == head.id && o.Action == Leave && m.clock.Now().Sub(since) < 3*time.Second
			}
			m.watch(func(o Order) {
				for _, v := range members[1:] {
					c.Check(o.To.ID == v.id && head.state == fleet.GroupOpen, quicktest.IsFalse, quicktest.Commentf("%s to %s: %s", o.Action, v.id, o.Reason))
				}
			})
			head.unlistedAt = since
			m.run(p, 5*time.Second, nil)
			c.Assert(head.state, quicktest.Not(quicktest.Equals), fleet.GroupOpen)
			head.unlistedAt = 0
			m.run(p, 5*time.Second, nil)
			m.assertNoViolations()
			c.Assert(m.openGroups()["large"], quicktest.Equals, 1)
		})
	}
}

// Guards against members that wait for a head that answered probes while its entry had lapsed, and then stopped answering.
func TestUnlistedHeadThatStopsAnsweringIsReplaced(t *testing.T) {
	c := quicktest.New(t)
	m, p := startedSystem(t, 1, 10)
	head, _ := busyHead(m, 0)
	m.loseAnswer = func(o Order) bool { return o.To.ID == head.id && o.Action == Leave }
	group, epoch := head.group, head.epoch
	head.unlistedAt = m.clock.Now()
	m.run(p, time.Second, nil)
	c.Assert(p.groups[group].epoch, quicktest.Equals, epoch)
	m.kill(head.id)
	m.run(p, idleHeadSilence+200*time.Millisecond, nil)
	c.Assert(p.groups[group].epoch > epoch, quicktest.IsTrue)
	m.run(p, 3*time.Second, nil)
	m.assertNoViolations()
	c.Assert(m.openGroups()["large"], quicktest.Equals, 1)
}

// refuseConnections lets nothing listen at the address of a replica, which goes on with its work.
func (m *emulator) refuseConnections(p *Plan, v *vm) {
	m.loseAnswer = func(o Order) bool {
		if o.To.ID == v.id {
			p.RecordOutcome(o, ConnectionRefused)
		}
		return o.To.ID == v.id
	}
}

// Guards against members that are taken from a draining head: it listens no more, but works on what runs in its group.
func TestDrainingHeadThatNoLongerListensKeepsItsMembers(t *testing.T) {
	c := quicktest.New(t)
	m, p := startedSystem(t, 1, 10)
	head, members := busyHead(m, 8*time.Second)
	m.watch(func(o Order) {
		taken := o.To.ID == members[2].id || o.To.ID == members[3].id
		c.Check(taken && head.state == fleet.GroupClosing, quicktest.IsFalse, quicktest.Commentf("%s to %s: %s", o.Action, o.To.ID, o.Reason))
	})
	head.draining = true
	m.run(p, time.Second, nil)
	c.Assert(head.state, quicktest.Equals, fleet.GroupClosing)
	m.refuseConnections(p, head)
	m.kill(members[1].id)
	p.RecordEnd(m.incarnation(members[1]), m.clock.Now())
	m.run(p, 6*time.Second, func() { m.lateOrders = nil })
	c.Assert(head.state, quicktest.Equals, fleet.GroupClosing)
	m.run(p, 2*time.Second, func() { m.lateOrders = nil })
	m.kill(head.id)
	m.run(p, 4*time.Second, func() { m.lateOrders = nil })
	m.assertNoViolations()
	c.Assert(m.openGroups()["large"], quicktest.Equals, 1)
}

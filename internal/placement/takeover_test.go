package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/clock"
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

// watch calls seen with each order that isn't refused before it is carried out.
func (m *emulator) watch(seen func(Order)) {
	refuse := m.refuse
	m.refuse = func(o Order) bool {
		if refuse != nil && refuse(o) {
			return true
		}
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

// watchMoves fails the test if a member joins another group, of whatever name, less than the time to break a group after it has left one
// whose head still serves.
func (m *emulator) watchMoves(c *quicktest.C) {
	type departure struct {
		head  *vm
		epoch int64
		at    clock.Time
	}
	left := map[string]departure{}
	m.watch(func(o Order) {
		v := m.vms[o.To.ID]
		if o.Action == Leave && v.group == o.Group && v.epoch == o.Epoch && v.rank > 0 && v.reached() {
			left[v.id] = departure{m.vms[v.members[0]], v.epoch, m.clock.Now()}
		}
		d, has := left[v.id]
		if o.Action == Join && has && m.clock.Now().Sub(d.at) < stallAfter && d.head.epoch == d.epoch && d.head.failedAt == 0 {
			c.Errorf("%s was joined to %s %v after it had left %s, which is %s", v.id, o.Group, m.clock.Now().Sub(d.at), d.head.id, d.head.state)
		}
	})
}

// stallAfter is the time after which a group that has lost a member is broken, as in Input.StallAfter.
const stallAfter = 4 * time.Second

// Guards against members that join another group while the head of their own, of which a new planner has never known an entry, waits for
// them.
func TestMembersOfAnUnknownHeadWaitUntilItHasBroken(t *testing.T) {
	c := quicktest.New(t)
	m, p := startedSystem(t, 1, 10)
	head := m.openHeads("large")[0]
	m.watchMoves(c)
	head.cutOff, head.unlistedAt = true, m.clock.Now()
	m.run(p, 2*m.reportLag, nil)
	m.lastEntries = map[string]*fleet.Replica{}
	m.run(New(2), headReturnTimeout+stallAfter+4*time.Second, nil)
	m.assertNoViolations()
	c.Assert(m.openHeads("large"), quicktest.HasLen, 2) // The former head is cut off.
}

// Guards against a member that joins another group while the head of its own, which hasn't received its order to join a new epoch, waits for
// it.
func TestReplacedMemberWaitsForItsFormerHead(t *testing.T) {
	for name, others := range map[string]int{"it is needed": 1, "there are other spares": 2} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			m, p := startedSystem(t, 1, 8)
			head := m.openHeads("small")[0]
			member, epoch := m.vms[head.members[1]], head.epoch
			m.refuse = func(o Order) bool { return o.To.ID == head.id && o.Action == Join && o.Group == head.group }
			m.watchMoves(c)
			member.cutOff = true
			m.run(p, 300*time.Millisecond, nil)
			c.Assert(p.groups[head.group].epoch > epoch, quicktest.IsTrue)
			for i := range others {
				m.add(fmt.Sprint("z-spare-", i), head.fabric).staged = []string{"small"}
			}
			member.cutOff = false
			p.RecordProbeAnswer(m.incarnation(member), m.clock.Now())
			m.run(p, time.Second, nil)
			c.Assert(head.epoch, quicktest.Equals, epoch)
			c.Assert(member.group == head.group, quicktest.Equals, others > 1)
			m.run(p, 10*time.Second, nil)
			m.assertNoViolations()
			c.Assert(m.openGroups()["small"] >= 2, quicktest.IsTrue, quicktest.Commentf("%v", m.openGroups()))
		})
	}
}

// Guards against a group that opens later after the loss of its head because its members wait for it: a head that is silent for all nodes
// counts as lost.
func TestMembersOfALostHeadServeInTime(t *testing.T) {
	for _, test := range []struct {
		name          string
		betweenEpochs bool // The head hasn't received its order to join a new epoch.
		lost          int  // Members that are lost with the head.
		within        time.Duration
	}{
		{"the head", false, 0, 1900 * time.Millisecond},
		{"the head and a member", false, 1, 1900 * time.Millisecond},
		{"the head between two epochs", true, 0, 1600 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := quicktest.New(t)
			m, p := startedSystem(t, 1, 11)
			head, members := busyHead(m, 0)
			m.watchMoves(c)
			if test.betweenEpochs {
				m.loseAnswer = func(o Order) bool { return o.To.ID == head.id && o.Action == Join }
				m.kill(members[1].id)
				p.RecordProbeFailure(m.incarnation(members[1]), m.clock.Now())
				m.run(p, 300*time.Millisecond, nil)
			}
			for _, v := range members[:1+test.lost] {
				m.kill(v.id)
			}
			lost, openAfter := m.clock.Now(), time.Duration(0)
			m.run(p, 12*time.Second, func() {
				for _, v := range members[:1+test.lost] {
					p.RecordProbeFailure(m.incarnation(v), m.clock.Now())
				}
				if m.openGroups()["large"] == 1 && openAfter == 0 {
					openAfter = m.clock.Now().Sub(lost)
				}
			})
			m.assertNoViolations()
			c.Assert(openAfter > 0 && openAfter <= test.within, quicktest.IsTrue, quicktest.Commentf("after %v", openAfter))
		})
	}
}

// Guards against members that move without leaving their group because its head isn't in it yet: an order of an earlier planner to join it may
// be carried out later, and the next planner may find the group complete, and open it. Guards as well against members that are never released.
func TestMembersOfAHeadThatMayJoinLateLeaveFirst(t *testing.T) {
	for name, ordered := range map[string]bool{"it refuses to leave": true, "its entry shows no group": false} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			m, _ := startedSystem(t, 1, 10)
			other, head := m.add("a", "domain-0"), m.add("c", "domain-0")
			m.add("b", "domain-0").staged = []string{"small"}
			other.staged = []string{"small"}
			entries := m.entries()
			join := Order{To: entries[other.id], Action: Join, Group: "g100050", Epoch: 100050, Model: "small", Members: []string{head.id, other.id}}
			c.Assert(m.execute(join), quicktest.Equals, Accepted)
			m.advance(m.reportLag)
			if ordered {
				m.outdate(m.entries())
			}
			p := New(2)
			p.groups[join.Group] = &group{name: join.Group, epoch: join.Epoch, model: "small", fabric: head.fabric, head: entries[head.id],
				wasOpen: true, adoptedAt: m.clock.Now(), dissolveReason: "too few spares", members: []member{
					{incarnation: m.incarnation(head), lastEntry: entries[head.id]},
					{incarnation: m.incarnation(other), lastEntry: entries[other.id], joinAccepted: true},
				}}
			c.Check(other.group, quicktest.Equals, join.Group)
			m.watch(func(o Order) {
				moves := o.To.ID == other.id && o.Action == Join && other.group == join.Group
				c.Check(moves, quicktest.IsFalse, quicktest.Commentf("join to %s", o.Group))
				ordered = ordered && !(o.To.ID == head.id && o.Action == Leave)
			})
			m.run(p, time.Second, func() {
				if m.mayBeOutdated {
					m.withholdReport(head)
				}
			})
			c.Check(ordered, quicktest.IsFalse)
			m.storedEntries, m.mayBeOutdated = nil, false
			m.run(p, 2*time.Second, nil)
			m.assertNoViolations()
			c.Check(other.state, quicktest.Equals, fleet.GroupOpen)
			c.Check(other.group, quicktest.Not(quicktest.Equals), join.Group)
		})
	}
}

// Guards against a sound group that is formed anew because a new planner took one of its members for that of a former group, from an entry
// older than the orders of the planner before: the member has reported its group since.
func TestMemberAdoptedFromAnOutdatedEntryIsGivenBack(t *testing.T) {
	for _, rank := range []int{0, 1} {
		t.Run(fmt.Sprintf("rank %d of the former group", rank), func(t *testing.T) {
			c := quicktest.New(t)
			m, _ := startedSystem(t, 1, 10)
			head := m.openHeads("small")[0]
			head.busyUntil = m.clock.Now().Add(time.Minute)
			epoch, member := head.epoch, m.vms[head.members[1]]
			left := m.add("left", head.fabric) // Still in the former group.
			left.group, left.epoch, left.rank, left.state, left.model, left.staged = "g100000", 100000, 1-rank, fleet.GroupReady, "small", []string{"small"}
			left.members = []string{left.id, left.id}
			left.members[rank] = member.id
			m.readyOnce["g100000/100000"] = map[string]bool{left.id: true, member.id: true}
			opened := false
			m.watch(func(o Order) { opened = opened || o.Action == Open && o.Epoch == 100000 })
			outdated := m.entries()
			outdated[member.id].Group = &fleet.Membership{Name: left.group, Epoch: left.epoch, Rank: rank, State: fleet.GroupReady}
			m.outdate(outdated)
			m.incomplete = true // Members that aren't known are waited for.
			p, since := New(2), m.clock.Now()
			m.run(p, 2*time.Second, func() {
				if m.clock.Now().Sub(since) < time.Second {
					m.withholdReport(member)
				}
			})
			m.storedEntries, m.mayBeOutdated, m.incomplete = nil, false, false
			m.run(p, 6*time.Second, nil)
			m.assertNoViolations()
			c.Assert(m.interruptions, quicktest.HasLen, 0)
			c.Check(head.epoch, quicktest.Equals, epoch)
			c.Check(member.epoch, quicktest.Equals, epoch)
			c.Check(opened, quicktest.IsFalse)
			c.Check(p.groups["g100000"] == nil || p.groups["g100000"].epoch != 100000, quicktest.IsTrue)
		})
	}
}

// Guards against members that join another group while the head of their own serves, after changes of the planner with unlisted, lost and
// draining replicas and late orders. Nothing runs, and new planners have no earlier entries.
func TestNoMemberMovesFromAServingHeadAcrossPlanners(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := quicktest.New(t)
			r := rand.New(rand.NewPCG(seed, 3))
			m, p := startedSystem(t, 3, 8)
			m.watchMoves(c)
			m.activityInterval = time.Hour
			term := int64(1)
			loss := r.IntN(4)
			m.loseAnswer = func(Order) bool { return r.IntN(10) < loss }
			for range 8 {
				v := m.vms[fmt.Sprintf("vm-%d-%02d", r.IntN(3), r.IntN(8))]
				switch r.IntN(6) {
				case 0:
					m.kill(v.id)
					p.RecordProbeFailure(m.incarnation(v), m.clock.Now())
				case 1:
					v.draining = true
				case 2:
					v.unlistedAt = m.clock.Now()
				case 3:
					v.unlistedAt = 0
				case 4:
					term++
					p = New(term)
					m.lastEntries = map[string]*fleet.Replica{}
				case 5:
					v.unlistedAt = m.clock.Now()
					m.vms[fmt.Sprintf("vm-%d-%02d", r.IntN(3), r.IntN(8))].unlistedAt = m.clock.Now()
				}
				m.run(p, time.Duration(r.IntN(60))*100*time.Millisecond, nil)
			}
			m.assertNoViolations()
		})
	}
}

package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/internal/fleet"
)

// successor returns the plan of a new planner that has read the record of the given one.
func (m *emulator) successor(p *Plan) *Plan {
	next := New(p.term + 1)
	next.Restore(p.Records(), m.clock.Now())
	m.lastEntries = map[string]*fleet.Replica{}
	return next
}

// Guards against a new planner that breaks up a group that serves, since some of its members have no entry.
func TestNewPlannerKnowsUnlistedMembers(t *testing.T) {
	for name, ranks := range silenceCases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			m, p := startedSystem(t, 1, 10)
			head, members := busyHead(m, time.Minute)
			epoch := head.epoch
			for _, rank := range ranks {
				members[rank].unlistedAt = m.clock.Now()
			}
			m.run(p, time.Second, nil)
			m.run(m.successor(p), 10*time.Second, nil)
			m.assertNoViolations()
			c.Assert(m.interruptions, quicktest.HasLen, 0)
			for _, v := range members {
				c.Check(v.epoch, quicktest.Equals, epoch, quicktest.Commentf("%s", v.id))
			}
		})
	}
}

// Guards against a member that joins another group before its head, which has no entry, has left: the new planner knows where to send
// the order.
func TestNewPlannerOrdersUnlistedIdleHeadToLeave(t *testing.T) {
	c := quicktest.New(t)
	m, p := startedSystem(t, 1, 10)
	head := m.openHeads("large")[0]
	epoch, members := head.epoch, slices.Clone(head.members)
	head.unlistedAt = m.clock.Now()
	m.run(p, 400*time.Millisecond, nil)
	p = m.successor(p)
	m.run(p, 8*time.Second, func() {
		if head.epoch != epoch {
			return
		}
		for _, id := range members[1:] {
			c.Assert(m.vms[id].epoch, quicktest.Equals, epoch, quicktest.Commentf("%s moved before its head", id))
		}
	})
	m.assertNoViolations()
	c.Assert(head.epoch, quicktest.Not(quicktest.Equals), epoch)
	c.Assert(m.openGroups()["large"], quicktest.Equals, 1)
}

// Guards against a new planner that begins anew what its predecessor had begun: members of an epoch whose joins weren't all sent count as
// lost or free.
func TestNewPlannerFinishesEpochs(t *testing.T) {
	for _, unsent := range []int{1, 2, 3} {
		t.Run(fmt.Sprintf("%d joins weren't sent", unsent), func(t *testing.T) {
			c := quicktest.New(t)
			m, p := startedSystem(t, 1, 10)
			head := m.openHeads("large")[0]
			name := head.group
			m.kill(head.members[2])
			killed := fleet.Incarnation{ID: head.members[2], StartedUnixMs: m.vms[head.members[2]].startedAt}
			p.RecordProbeFailure(killed, m.clock.Now())
			sent := 0
			m.refuse = func(o Order) bool {
				if o.Action == Join && o.Group == name {
					sent++
				}
				return o.Action == Join && o.Group == name && sent > 4-unsent
			}
			m.run(p, 100*time.Millisecond, nil)
			for range 20 {
				if sent > 0 {
					break
				}
				p.RecordProbeFailure(killed, m.clock.Now())
				m.run(p, 100*time.Millisecond, nil)
			}
			c.Assert(sent, quicktest.Not(quicktest.Equals), 0)
			m.refuse = nil
			epoch := p.groups[name].epoch
			p = m.successor(p)
			m.run(p, 3*time.Second, nil)
			m.assertNoViolations()
			c.Assert(p.groups[name], quicktest.IsNotNil)
			c.Assert(p.groups[name].epoch, quicktest.Equals, epoch)
			c.Assert(m.openGroups()["large"], quicktest.Equals, 1)
		})
	}
}

// Guards against members that leave a group once more, or count as a group without a head, after a change of the planner, although the former
// planner had heard that their head left: they serve later.
func TestNewPlannerKnowsWhichHeadsHaveLeft(t *testing.T) {
	c := quicktest.New(t)
	m, p := startedSystem(t, 1, 10)
	head := m.openHeads("large")[0]
	group, epoch, members := head.group, head.epoch, slices.Clone(head.members)
	head.unlistedAt = m.clock.Now()
	for range 30 {
		if m.run(p, 100*time.Millisecond, nil); p.groups[group].epoch != epoch {
			break
		}
		m.refuse = func(o Order) bool { return o.To.ID != head.id } // Nothing is carried out after its order to leave.
	}
	c.Assert(head.group, quicktest.Not(quicktest.Equals), group)
	c.Assert(p.groups[group].epoch > epoch, quicktest.IsTrue)
	m.refuse = nil
	m.watch(func(o Order) {
		left := o.Action == Leave && o.Group == group && o.Epoch == epoch && slices.Contains(members, o.To.ID)
		c.Check(left, quicktest.IsFalse, quicktest.Commentf("%s is ordered to leave: %s", o.To.ID, o.Reason))
	})
	p = m.successor(p)
	m.run(p, 2*time.Second, nil)
	m.assertNoViolations()
	c.Assert(m.openGroups()["large"], quicktest.Equals, 1)
}

// Guards against members that are ordered to leave a group whose head has just left it on an order: the new planner has no entry of the head,
// but nodes have received events from it in that epoch.
func TestHeadThatHasServedIsKnownToHaveJoined(t *testing.T) {
	c := quicktest.New(t)
	m, p := startedSystem(t, 1, 10)
	head, members := busyHead(m, 0)
	epoch := head.epoch
	head.unlistedAt = m.clock.Now()
	m.run(p, 400*time.Millisecond, nil)
	p = m.successor(p)
	m.watch(func(o Order) {
		again := o.Action == Leave && o.Epoch == epoch && o.To.ID != head.id
		c.Check(again, quicktest.IsFalse, quicktest.Commentf("%s is ordered to leave: %s", o.To.ID, o.Reason))
	})
	m.run(p, 3*time.Second, nil)
	m.assertNoViolations()
	c.Assert(head.epoch, quicktest.Not(quicktest.Equals), epoch)
	c.Assert(members[1].epoch > epoch, quicktest.IsTrue)
	c.Assert(m.openGroups()["large"], quicktest.Equals, 1)
}

// Guards against a member that has left a group on the former planner's order, and joins another one while its head, which the new planner
// can't reach, still waits for it.
func TestNewPlannerKnowsWhoHasJustLeft(t *testing.T) {
	c := quicktest.New(t)
	m, p := startedSystem(t, 1, 10)
	head := m.openHeads("large")[0]
	key := groupKey{head.group, head.epoch}
	members := slices.Clone(head.members)
	head.unlistedAt, head.hidden = m.clock.Now(), true
	m.loseAnswer = func(o Order) bool { return o.To.ID == head.id }
	p.dissolved[key] = dissolution{at: m.clock.Now(), fabric: head.fabric, model: "large", head: m.incarnation(head), headEntry: p.groups[head.group].head,
		members: slices.Clone(p.groups[head.group].members), returnedAt: map[fleet.Incarnation]clock.Time{}}
	delete(p.groups, head.group)
	left := m.vms[members[1]]
	left.group, left.epoch, left.state, left.members = "", 0, "", nil
	leftAt := m.clock.Now()
	m.run(m.successor(p), 4*time.Second, func() {
		c.Assert(left.group == "", quicktest.IsTrue, quicktest.Commentf("%s joined %s %v after it had left", left.id, left.group, m.clock.Now().Sub(leftAt)))
	})
	m.assertNoViolations()
}

// Guards against a record that is older than the last orders, as after an outage of the store: replicas that report later epochs aren't
// taken back.
func TestOutdatedRecordGivesWayToLaterEpochs(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := quicktest.New(t)
			random := rand.New(rand.NewPCG(seed, 43))
			m, p := startedSystem(t, 2, 10)
			outdated := p.Records()
			for range 1 + random.IntN(2) {
				heads := m.openHeads("large")
				victim := m.vms[heads[random.IntN(len(heads))].members[random.IntN(4)]]
				m.kill(victim.id)
				for range 2 {
					p.RecordProbeFailure(m.incarnation(victim), m.clock.Now())
					m.run(p, 700*time.Millisecond, nil)
				}
				m.run(p, time.Duration(random.IntN(6))*time.Second, nil)
			}
			epochs := map[string]int64{}
			for id, v := range m.vms {
				if v.state == fleet.GroupOpen && v.failedAt == 0 && m.sendsEvents(v) {
					epochs[id] = v.epoch
				}
			}
			p = New(2)
			p.Restore(outdated, m.clock.Now())
			m.run(p, 8*time.Second, nil)
			m.assertNoViolations()
			for id, epoch := range epochs {
				c.Check(m.vms[id].epoch, quicktest.Equals, epoch, quicktest.Commentf("head %s", id))
			}
			assertPlannedOnce(c, p)
		})
	}
}

// assertPlannedOnce checks that no replica is a member of two planned groups.
func assertPlannedOnce(c *quicktest.C, p *Plan) {
	groups := map[string]string{}
	for name, members := range p.Groups() {
		for _, m := range members {
			if id := m.Incarnation.ID; id != "" {
				c.Check(groups[id], quicktest.Equals, "", quicktest.Commentf("%s is also in %s", id, name))
				groups[id] = name
			}
		}
	}
}

// Guards against an epoch that a successor doesn't know: whatever happens, the record written before an order to join holds the epoch
// and its members.
func TestRecordHoldsEveryEpoch(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := quicktest.New(t)
			random := rand.New(rand.NewPCG(seed, 44))
			m, p := newEmulator(t, 2, 9, testEngine()), New(1)
			written := map[string]Record{}
			check := func() {
				for fabric, r := range p.TakeRecords() {
					if !written[fabric].Covers(r) {
						written[fabric] = r
					}
				}
			}
			m.refuse = func(o Order) bool {
				check()
				if o.Action == Join && !strings.HasPrefix(o.Group, StandbyPrefix) {
					r := written[o.To.Fabric]
					c.Assert(r.Holds(o.Group, o.Epoch), quicktest.IsTrue, quicktest.Commentf("%s/%d", o.Group, o.Epoch))
					i := slices.IndexFunc(r.Groups, func(g RecordedGroup) bool { return g.Name == o.Group && g.Epoch == o.Epoch })
					var ids []string
					for _, m := range r.Groups[i].Members {
						ids = append(ids, m.Incarnation.ID)
						c.Assert(m.Address, quicktest.Not(quicktest.Equals), "")
					}
					c.Assert(ids, quicktest.DeepEquals, o.Members)
				}
				return o.Action != Leave && random.IntN(20) == 0 // A replica that is in the group carries an order to leave out.
			}
			m.run(p, 8*time.Second, nil)
			m.beforeFirstRequest = false
			for range 12 {
				ids := slices.Sorted(func(yield func(string) bool) {
					for id, v := range m.vms {
						if v.failedAt == 0 && !yield(id) {
							return
						}
					}
				})
				v := m.vms[ids[random.IntN(len(ids))]]
				switch random.IntN(4) {
				case 0:
					m.kill(v.id)
				case 1:
					v.draining = true
				case 2:
					v.unlistedAt = m.clock.Now()
				case 3:
					if v.unlistedAt != 0 {
						v.unlistedAt = 0
					}
				}
				m.run(p, time.Duration(random.IntN(2000))*time.Millisecond, nil)
				if random.IntN(4) == 0 {
					next := New(p.term + 1)
					next.Restore(written, m.clock.Now())
					p = next
				}
				assertPlannedOnce(c, p)
			}
			m.assertNoViolations()
		})
	}
}

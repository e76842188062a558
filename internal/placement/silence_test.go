package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/fleet"
)

// busyHead returns the head of a group of four that runs requests for the given time, and its members.
func busyHead(m *emulator, busyFor time.Duration) (head *vm, members []*vm) {
	head = m.openHeads("large")[0]
	head.busyUntil = m.clock.Now().Add(busyFor)
	for _, id := range head.members {
		members = append(members, m.vms[id])
	}
	return head, members
}

// fallSilent lets the members of the given ranks be silent for a while.
func (m *emulator) fallSilent(p *Plan, members []*vm, ranks []int, d time.Duration) {
	for _, rank := range ranks {
		members[rank].silent = true
	}
	m.run(p, d, nil)
	for _, v := range members {
		v.silent = false
	}
}

// silenceCases are ranks of the members of a group that are silent or can't be reached.
var silenceCases = map[string][]int{"a member": {1}, "two members": {2, 3}, "the head": {0}, "the head and a member": {0, 1}, "all members": {0, 1, 2, 3}}

// Guards against orders that end the running requests of a group because sound members of it were silent for a second.
func TestRequestsOutlastASilenceOfSoundMembers(t *testing.T) {
	for name, ranks := range silenceCases {
		for _, silentFor := range []time.Duration{300, 600, 900, 1200} {
			for _, spares := range []int{0, 2} {
				silentFor := silentFor * time.Millisecond
				t.Run(fmt.Sprintf("%s, %v, %d spares", name, silentFor, spares), func(t *testing.T) {
					c := quicktest.New(t)
					m, p := startedSystem(t, 1, 8+spares)
					head, members := busyHead(m, time.Minute)
					epoch := head.epoch
					m.fallSilent(p, members, ranks, silentFor)
					m.run(p, 10*time.Second, nil)
					m.assertNoViolations()
					c.Assert(m.interruptions, quicktest.HasLen, 0)
					c.Assert(head.epoch, quicktest.Equals, epoch)
					c.Assert(p.groups[head.group], quicktest.IsNotNil)
				})
			}
		}
	}
}

// Guards against orders that end the running requests of a group of which only the planner can't reach some members: the other nodes
// receive its events.
func TestRequestsOfMembersThatOnlyThePlannerCannotReachContinue(t *testing.T) {
	for name, ranks := range silenceCases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			m, p := startedSystem(t, 1, 10)
			head, members := busyHead(m, time.Minute)
			epoch := head.epoch
			for _, rank := range ranks {
				members[rank].hidden = true
			}
			m.run(p, 6*time.Second, nil)
			for _, v := range members {
				v.hidden = false
			}
			m.run(p, 4*time.Second, nil)
			m.assertNoViolations()
			c.Assert(m.interruptions, quicktest.HasLen, 0)
			c.Assert(head.epoch, quicktest.Equals, epoch)
		})
	}
}

// Guards against requests that are broken off because the entry of their head lapses: it has only lost its connection to the store.
func TestUnlistedHeadFinishesItsRequests(t *testing.T) {
	c := quicktest.New(t)
	m, p := startedSystem(t, 1, 10)
	before := m.openGroups()
	head, _ := busyHead(m, 2*time.Second)
	head.unlistedAt = m.clock.Now()
	m.run(p, 8*time.Second, nil)
	m.assertNoViolations()
	c.Assert(m.interruptions, quicktest.HasLen, 0)
	c.Assert(m.openGroups(), quicktest.DeepEquals, before) // Under another head.
	c.Assert(head.state, quicktest.Not(quicktest.Equals), fleet.GroupOpen)
}

// Guards against lost members that are replaced late because sound ones may be silent for as long: where nothing runs, or the loss is
// known, nothing is waited for, and otherwise no longer than a sound replica may be silent.
func TestLostMembersAreReplacedInTime(t *testing.T) {
	const step = 100 * time.Millisecond
	for _, test := range []struct {
		name   string
		rank   int
		busy   bool
		ended  bool // The replica's address refuses connections.
		within time.Duration
	}{
		{"a member, nothing runs", 1, false, false, step},
		{"a member, requests run", 1, true, false, maxSoundSilence + 2*step},
		{"a member that is known to have ended, requests run", 1, true, true, step},
		{"the head, nothing runs", 0, false, false, idleHeadSilence + 2*step},
		{"the head, requests run", 0, true, false, maxSoundSilence + 2*step},
		{"the head that is known to have ended, requests run", 0, true, true, minHeadProbeFailures * step},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := quicktest.New(t)
			m, p := startedSystem(t, 1, 10)
			head, members := busyHead(m, 0)
			if test.busy {
				head.busyUntil = m.clock.Now().Add(time.Minute)
			}
			before, group := head.epoch, head.group
			m.kill(members[test.rank].id)
			lost, replacedAfter := m.clock.Now(), time.Duration(0)
			m.run(p, 3*time.Second, func() {
				if g := p.groups[group]; g != nil && g.epoch != before && replacedAfter == 0 {
					replacedAfter = m.clock.Now().Sub(lost) - step // It was replaced in the step before.
				}
				if test.ended {
					p.RecordEnd(m.incarnation(members[test.rank]), m.clock.Now())
				} else {
					p.RecordProbeFailure(m.incarnation(members[test.rank]), m.clock.Now())
				}
			})
			m.assertNoViolations()
			c.Assert(replacedAfter > 0 && replacedAfter <= test.within, quicktest.IsTrue, quicktest.Commentf("after %v", replacedAfter))
		})
	}
}

// Guards against an order to leave that ends running requests although its reason has ended: it waited for an earlier order to the head,
// whose entry was listed again meanwhile.
func TestOrderToLeaveIsDroppedOnceTheHeadIsBack(t *testing.T) {
	c := quicktest.New(t)
	m, p := startedSystem(t, 1, 10)
	head, _ := busyHead(m, 0)
	var leave *Order
	m.loseAnswer = func(o Order) bool {
		if o.To.ID == head.id && o.Action == Leave {
			leave = &o
		}
		return leave != nil && o.To.ID == head.id
	}
	head.unlistedAt = m.clock.Now()
	m.run(p, missingTimeout+400*time.Millisecond, nil)
	c.Assert(leave, quicktest.IsNotNil)
	c.Assert(p.StillWants(*leave), quicktest.IsTrue)
	m.lateOrders = nil
	head.unlistedAt = 0
	m.run(p, 400*time.Millisecond, nil)
	c.Assert(p.StillWants(*leave), quicktest.IsFalse)
	c.Assert(p.StillWants(Order{To: leave.To, Action: Open, Group: leave.Group, Epoch: leave.Epoch}), quicktest.IsTrue)
	c.Assert(p.StillWants(Order{To: leave.To, Action: Join, Group: leave.Group, Epoch: leave.Epoch - 1}), quicktest.IsFalse)
}

// Guards against running requests that end because a draining member that listens no more, but stays while the head has work, counts as
// ended.
func TestDrainingMemberThatNoLongerListensStays(t *testing.T) {
	for _, rank := range []int{0, 1} {
		t.Run(fmt.Sprintf("rank %d", rank), func(t *testing.T) {
			c := quicktest.New(t)
			m, p := startedSystem(t, 1, 10)
			head, members := busyHead(m, 6*time.Second)
			epoch := head.epoch
			members[rank].draining = true
			m.run(p, 2*time.Second, nil)
			c.Assert(head.state, quicktest.Equals, fleet.GroupClosing)
			members[2].silent = true // Another member is silent for a moment, so that all are probed.
			n := 0
			m.run(p, 600*time.Millisecond, func() {
				if n++; n >= 3 {
					p.RecordEnd(m.incarnation(members[rank]), m.clock.Now())
				}
			})
			members[2].silent = false
			m.run(p, 2*time.Second, nil)
			m.assertNoViolations()
			c.Assert(m.interruptions, quicktest.HasLen, 0)
			c.Check(head.epoch, quicktest.Equals, epoch)
		})
	}
}

// Guards against requests that end because their group is dissolved for a silence during which nothing ran there.
func TestIdleGroupThatWasSilentStays(t *testing.T) {
	for name, ranks := range silenceCases {
		for _, silentFor := range []time.Duration{100, 200, 300, 600, 900} {
			for _, spares := range []int{0, 2} {
				silentFor := silentFor * time.Millisecond
				t.Run(fmt.Sprintf("%s, %v, %d spares", name, silentFor, spares), func(t *testing.T) {
					c := quicktest.New(t)
					m, p := startedSystem(t, 1, 8+spares)
					head, members := busyHead(m, 0)
					m.fallSilent(p, members, ranks, silentFor)
					head.busyUntil = m.clock.Now().Add(time.Minute)
					m.run(p, 10*time.Second, nil)
					m.assertNoViolations()
					c.Assert(m.interruptions, quicktest.HasLen, 0)
				})
			}
		}
	}
}

// Guards against requests that end because their group is dissolved after a silence that is over.
func TestGroupOfWhichOneProbeEachFailedStays(t *testing.T) {
	for _, headFails := range []int{0, 1, 2} {
		t.Run(fmt.Sprint(headFails), func(t *testing.T) {
			c := quicktest.New(t)
			m, p := startedSystem(t, 1, 8)
			head, members := busyHead(m, 0)
			for range headFails {
				p.RecordProbeFailure(m.incarnation(head), m.clock.Now())
			}
			p.RecordProbeFailure(m.incarnation(members[1]), m.clock.Now())
			m.step(p)
			m.advance(100 * time.Millisecond)
			p.RecordProbeAnswer(m.incarnation(head), m.clock.Now())
			p.RecordProbeAnswer(m.incarnation(members[1]), m.clock.Now())
			head.busyUntil = m.clock.Now().Add(time.Minute)
			m.step(p)
			m.run(p, 4*time.Second, nil)
			m.assertNoViolations()
			c.Assert(m.interruptions, quicktest.HasLen, 0)
		})
	}
}

// Guards against requests longer than closeTimeout that end because their group is slow.
func TestRequestsOfASlowGroupFinish(t *testing.T) {
	c := quicktest.New(t)
	m, p := startedSystem(t, 1, 10)
	_, members := busyHead(m, 15*time.Second)
	m.run(p, 20*time.Second, func() {
		p.RecordSlowdown(m.incarnation(members[1]), 12, m.clock.Now())
	})
	m.assertNoViolations()
	c.Assert(m.interruptions, quicktest.HasLen, 0)
	c.Assert(members[0].members, quicktest.Not(quicktest.Contains), members[1].id) // It was replaced.
}

// Guards against orders that end running requests because a planner which is cut off from all other nodes, and from some replicas, takes
// that for the silence of the replicas.
func TestPlannerThatIsCutOffGivesNothingUp(t *testing.T) {
	for name, ranks := range silenceCases {
		for _, cutFor := range []time.Duration{1000, 2500, 4000} {
			cutFor := cutFor * time.Millisecond
			t.Run(fmt.Sprintf("%s, %v", name, cutFor), func(t *testing.T) {
				c := quicktest.New(t)
				m, p := startedSystem(t, 1, 10)
				_, members := busyHead(m, time.Minute)
				m.aloneSince = m.clock.Now()
				for _, rank := range ranks {
					members[rank].hidden = true
				}
				m.run(p, cutFor, nil)
				for _, v := range members {
					v.hidden = false
				}
				m.aloneSince = 0
				m.run(p, 10*time.Second, nil)
				m.assertNoViolations()
				c.Assert(m.interruptions, quicktest.HasLen, 0)
			})
		}
	}
}

// Guards against a replica that is planned in two groups, each of which joins it again and again: its former head, which was silent, is back
// while the replica still reports its group, although it is already planned in another one.
func TestReplicaIsPlannedInOneGroup(t *testing.T) {
	c := quicktest.New(t)
	m, p := startedSystem(t, 1, 12)
	heads := m.openHeads("small")
	c.Assert(heads, quicktest.HasLen, 2)
	silent := []*vm{heads[0], m.vms[heads[1].members[1]]}
	for _, v := range silent {
		v.silent = true
	}
	m.run(p, 1100*time.Millisecond, nil)
	for _, v := range silent {
		v.silent = false
	}
	m.run(p, 10*time.Second, func() {
		planned := map[string]string{}
		for name, g := range p.groups {
			for _, member := range g.members {
				other, twice := planned[member.incarnation.ID]
				c.Assert(twice, quicktest.IsFalse, quicktest.Commentf("%s is in %s and %s", member.incarnation.ID, name, other))
				planned[member.incarnation.ID] = name
			}
		}
	})
	m.assertNoViolations()
	c.Assert(m.openGroups()["small"], quicktest.Equals, 2)
}

// Guards against orders that end running requests of a group because what other nodes report of its events is as old as the interval of
// their reports.
func TestRequestsOutlastASilenceThatIsReportedLate(t *testing.T) {
	for _, interval := range []time.Duration{200, 700, 1000} {
		for name, ranks := range silenceCases {
			for _, silentFor := range []time.Duration{300, 600, 900, 1200} {
				interval, silentFor := interval*time.Millisecond, silentFor*time.Millisecond
				t.Run(fmt.Sprintf("%v, %s, %v", interval, name, silentFor), func(t *testing.T) {
					c := quicktest.New(t)
					m, p := startedSystem(t, 1, 10)
					m.activityInterval = interval
					head, members := busyHead(m, time.Minute)
					m.run(p, 3*time.Second, nil)
					epoch := head.epoch
					m.fallSilent(p, members, ranks, silentFor)
					m.run(p, 10*time.Second, nil)
					m.assertNoViolations()
					c.Assert(m.interruptions, quicktest.HasLen, 0)
					c.Assert(head.epoch, quicktest.Equals, epoch)
				})
			}
		}
	}
}

// Guards against requests that end because a new planner doesn't know the head of their group.
func TestNewPlannerWaitsForUnlistedHead(t *testing.T) {
	c := quicktest.New(t)
	m, p := startedSystem(t, 1, 10)
	head, members := busyHead(m, 6*time.Second)
	epoch := head.epoch
	head.unlistedAt = m.clock.Now()
	m.run(p, time.Second, nil)
	m.lastEntries = map[string]*fleet.Replica{}
	p = New(2)
	m.run(p, 4*time.Second, nil)
	m.assertNoViolations()
	c.Assert(m.interruptions, quicktest.HasLen, 0)
	for _, v := range members {
		c.Check(v.epoch, quicktest.Equals, epoch, quicktest.Commentf("%s", v.id))
	}
}

// Guards against members that are joined to another group while the head of their own serves: it was idle, and silent to all nodes for no
// longer than a sound replica may be.
func TestMembersOfAnIdleHeadThatIsSilentForASecondStay(t *testing.T) {
	for _, silentFor := range []time.Duration{900, 1000, 1100, 1200, 1300, 1400, 1500} {
		for _, spares := range []int{0, 2} {
			silentFor := silentFor * time.Millisecond
			t.Run(fmt.Sprintf("%v, %d spares", silentFor, spares), func(t *testing.T) {
				c := quicktest.New(t)
				m, p := startedSystem(t, 1, 8+spares)
				head, members := busyHead(m, 0)
				own, taken := groupKey{head.group, head.epoch}, []string{}
				check := func() {
					for _, v := range members[1:] {
						if now := (groupKey{v.group, v.epoch}); head.serves() && (groupKey{head.group, head.epoch}) == own && now != own && v.group != "" {
							taken = append(taken, fmt.Sprintf("%v: %s is in %s/%d", m.clock.Now().Sub(emulatorStart), v.id, v.group, v.epoch))
						}
					}
				}
				head.silent = true
				m.run(p, silentFor, check)
				head.silent = false
				m.run(p, 3*time.Second, check)
				c.Check(taken, quicktest.DeepEquals, []string{})
			})
		}
	}
}

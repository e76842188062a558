package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/fleet"
)

// startedDetailedSystem is startedSystem with all details of the planner's node and of breaking heads.
func startedDetailedSystem(t *testing.T, domains, size int) (*emulator, *Plan) {
	m, p := newEmulator(t, domains, size, testEngine()), New(1)
	m.detailed = true
	m.logTimelineOnFailure(t)
	m.run(p, 8*time.Second, nil)
	m.beforeFirstRequest = false
	return m, p
}

// takeOverCase is a change of the planner while some members of a group have no entries.
type takeOverCase struct {
	ranks   []int // Members without entries.
	busy    bool  // Requests run at the head.
	hidden  bool  // The new planner doesn't reach the members without entries, nor the head, directly.
	others  bool  // It reaches them by way of other nodes.
	newNode bool  // The new planner's node has been started after the entries lapsed.
	found   foundRecords
}

func (c takeOverCase) String() string {
	return fmt.Sprintf("ranks %v, busy %t, hidden %t, other nodes answer %t, new node %t, %v", c.ranks, c.busy, c.hidden, c.others, c.newNode, c.found)
}

func takeOverCases() []takeOverCase {
	var list []takeOverCase
	for _, ranks := range [][]int{{0, 1}, {1, 2}, {0}} {
		for _, found := range []foundRecords{lastRecords, formerRecords, noRecords} {
			for i := range 8 {
				test := takeOverCase{ranks, i&1 != 0, i&2 != 0, false, i&4 != 0, found}
				list = append(list, test)
				if test.others = true; test.hidden {
					list = append(list, test)
				}
			}
		}
	}
	return list
}

// takeOverWithoutEntries cuts members of a group of four off from the store, and lets another planner take over once their entries have
// lapsed. They return to the store 12 s later.
func takeOverWithoutEntries(t *testing.T, test takeOverCase) (m *emulator, head *vm, orders *[]Order) {
	m, p := startedDetailedSystem(t, 1, 10)
	head, members := busyHead(m, 0)
	if test.busy {
		head.busyUntil = m.clock.Now().Add(time.Minute)
	}
	for _, rank := range test.ranks {
		m.cutFromStore(members[rank])
	}
	m.run(p, 3*time.Second, nil)
	if test.hidden {
		head.hidden = true
		for _, rank := range test.ranks {
			members[rank].hidden = true
		}
	}
	m.otherWay = test.others
	p = m.takeOver(2, test.newNode, test.found, nil)
	orders = &[]Order{}
	m.loseAnswer = func(o Order) bool {
		if o.InGroup() || o.Action == Join {
			*orders = append(*orders, o)
		}
		return false
	}
	m.run(p, 12*time.Second, nil)
	for _, v := range members {
		v.storeCutAt, v.hidden = 0, false
	}
	m.run(p, 10*time.Second, nil)
	return m, head, orders
}

// Guards against a new planner that breaks up a serving group because some of its members have no entries: they are cut off from the store,
// but answer the planner, or nodes receive events from the head.
func TestNewPlannerKeepsGroupsOfUnlistedMembers(t *testing.T) {
	for _, test := range takeOverCases() {
		if test.hidden && !test.busy {
			continue // See TestMembersOfAnIdleHeadThatThePlannerCannotReachWait.
		}
		t.Run(test.String(), func(t *testing.T) {
			c := quicktest.New(t)
			m, head, orders := takeOverWithoutEntries(t, test)
			m.assertNoViolations()
			m.assertNoStrictViolations()
			if headUnlisted := test.ranks[0] == 0; !test.busy && headUnlisted {
				// A head that isn't listed gets no requests, so it is replaced once it has left.
				c.Assert(m.openGroups()["large"], quicktest.Equals, 1)
				return
			}
			c.Assert(m.interruptions, quicktest.HasLen, 0)
			c.Assert(m.soundInterruptions, quicktest.HasLen, 0)
			c.Assert(head.state, quicktest.Equals, fleet.GroupOpen)
			for _, o := range *orders {
				c.Check(o.Group == head.group && (o.Action == Leave || o.Action == Join), quicktest.IsFalse, quicktest.Commentf("%s to %s: %s", o.Action, o.To.ID, o.Reason))
			}
		})
	}
}

// Guards against members that are joined elsewhere while the head of their group stands still: the planner can't reach it directly, and no
// requests run there, so that it seems to have ended. It breaks some time after they have left. Other nodes reach it.
func TestMembersOfAnIdleHeadThatThePlannerCannotReachWait(t *testing.T) {
	testMembersOfAnUnreachedIdleHeadWait(t, true)
}

// Guards against the same where no other node answers the planner either.
func TestMembersOfAnIdleHeadThatNoNodeAnswersForWait(t *testing.T) {
	testMembersOfAnUnreachedIdleHeadWait(t, false)
}

// testMembersOfAnUnreachedIdleHeadWait plays the cases in which the planner reaches the head by way of other nodes, or doesn't.
func testMembersOfAnUnreachedIdleHeadWait(t *testing.T, others bool) {
	for _, test := range takeOverCases() {
		if !test.hidden || test.others != others || test.busy {
			continue
		}
		t.Run(test.String(), func(t *testing.T) {
			c := quicktest.New(t)
			m, _, _ := takeOverWithoutEntries(t, test)
			m.assertNoViolations()
			m.assertNoStrictViolations()
			c.Assert(m.openGroups()["large"], quicktest.Equals, 1)
		})
	}
}

// Guards against members that are joined elsewhere while the head of their group serves: the former planner's order to open it is carried out
// after another planner has taken over, and the head has no entry.
func TestMembersOfALateOpenedHeadStay(t *testing.T) {
	for _, found := range []foundRecords{lastRecords, formerRecords, noRecords} {
		for _, openedAfter := range []time.Duration{5500, 6500, 7500, 8500} {
			openedAfter := openedAfter * time.Millisecond
			t.Run(fmt.Sprintf("%v, %v", openedAfter, found), func(t *testing.T) {
				c := quicktest.New(t)
				m, p := startedDetailedSystem(t, 1, 10)
				group := m.openHeads("large")[0].group
				m.openHeads("large")[0].draining = true
				var head *vm
				m.lateBy = func(Order) time.Duration { return openedAfter }
				m.loseAnswer = func(o Order) bool {
					if o.Action != Open || o.Group != group || head != nil {
						return false
					}
					head = m.vms[o.To.ID]
					return true
				}
				for range 80 {
					if m.run(p, tick, nil); head != nil {
						break
					}
				}
				c.Assert(head, quicktest.IsNotNil)
				m.cutFromStore(head)
				m.wait(m.entryTTL-leaseWait+time.Second, nil)
				p = m.takeOver(2, true, found, nil)
				m.run(p, 12*time.Second, nil)
				m.assertNoViolations()
				m.assertNoStrictViolations()
				head.storeCutAt = 0
				m.run(p, 10*time.Second, nil)
				m.assertNoViolations()
				m.assertNoStrictViolations()
				c.Assert(m.openGroups()["large"], quicktest.Equals, 1)
			})
		}
	}
}

// Guards against members that are joined elsewhere while their head stands still: it isn't known, and the planner changes after they have
// left it on an order.
func TestMembersOfAnUnknownHeadWaitAcrossPlanners(t *testing.T) {
	m, _ := startedDetailedSystem(t, 1, 10)
	head, members := busyHead(m, 0)
	m.cutFromStore(head)
	m.wait(m.entryTTL, nil)
	p := m.takeOver(2, true, noRecords, nil)
	for range 60 {
		if m.run(p, tick, nil); members[1].group != head.group {
			break
		}
	}
	p = m.takeOver(3, false, lastRecords, nil)
	m.run(p, 6*time.Second, nil)
	m.assertNoViolations()
	m.assertNoStrictViolations()
}

// listedAgain reports whether the up-to-date list of the store, as old as the planner reads it, has a replica.
func (m *emulator) listedAgain(v *vm) bool {
	for _, s := range m.history {
		if m.clock.Now().Sub(s.takenAt) == m.reportLag {
			return s.replicas[v.id] != nil
		}
	}
	return false
}

// Guards against members that are taken from a head which serves an epoch again: it had left the epoch on an order, and has been ordered
// to join it again because it was listed once more.
func TestHeadThatJoinsItsEpochAgainIsReleasedAgain(t *testing.T) {
	c := quicktest.New(t)
	m, p := startedDetailedSystem(t, 1, 10)
	head, _ := busyHead(m, 0)
	group, epoch := head.group, head.epoch
	m.cutFromStore(head)
	m.run(p, 2*time.Second, nil) // Its entry lapses before the next planner begins.
	p = m.takeOver(2, true, lastRecords, nil)
	m.run(p, 6*time.Second, func() {
		if head.group == "" && head.storeCutAt != 0 {
			head.storeCutAt, head.storedEntry = 0, nil
			m.storedEntries, m.mayBeOutdated, m.incomplete = m.listed(), true, true // Without the head.
		} else if head.storeCutAt == 0 && m.listedAgain(head) {
			m.storedEntries, m.mayBeOutdated, m.incomplete = nil, false, false
		}
	})
	c.Assert(head.group == group && head.epoch == epoch && head.serves(), quicktest.IsTrue, quicktest.Commentf("%s/%d %s", head.group, head.epoch, head.state))
	m.cutFromStore(head)
	m.run(p, 10*time.Second, nil)
	m.assertNoViolations()
	m.assertNoStrictViolations()
}

// Guards against a member that is joined elsewhere while its head, which isn't known, stands still: it has left on an order whose answer was
// lost.
func TestMemberWhoseLeaveIsNotAnsweredWaits(t *testing.T) {
	m, _ := startedDetailedSystem(t, 1, 10)
	head, _ := busyHead(m, 0)
	m.cutFromStore(head)
	m.wait(m.entryTTL, nil)
	p := m.takeOver(2, true, noRecords, nil)
	m.lateBy = func(Order) time.Duration { return 0 }
	m.loseAnswer = func(o Order) bool { return o.Action == Leave }
	m.run(p, 12*time.Second, nil)
	m.assertNoViolations()
	m.assertNoStrictViolations()
}

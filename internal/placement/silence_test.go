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
					for _, rank := range ranks {
						members[rank].silent = true
					}
					m.run(p, silentFor, nil)
					for _, v := range members {
						v.silent = false
					}
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
					for _, rank := range ranks {
						members[rank].silent = true
					}
					m.run(p, silentFor, nil)
					for _, v := range members {
						v.silent = false
					}
					m.run(p, 10*time.Second, nil)
					m.assertNoViolations()
					c.Assert(m.interruptions, quicktest.HasLen, 0)
					c.Assert(head.epoch, quicktest.Equals, epoch)
				})
			}
		}
	}
}

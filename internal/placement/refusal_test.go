package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/fleet"
)

// refuse lets all connections of nodes to the replicas be refused, which go on with their work.
func (m *emulator) refuseAll(p *Plan, refusing []*vm) {
	refuses := map[string]bool{}
	for _, v := range refusing {
		refuses[v.id] = true
	}
	m.loseAnswer = func(o Order) bool {
		if refuses[o.To.ID] {
			p.RecordOutcome(o, ConnectionRefused)
		}
		return refuses[o.To.ID]
	}
}

// runRefused runs the plan while connections to the replicas are refused, as probes find.
func (m *emulator) runRefused(p *Plan, refusing []*vm, d time.Duration) {
	m.refuseAll(p, refusing)
	m.run(p, d, func() {
		m.lateOrders = nil // They have reached nobody.
		for _, v := range refusing {
			p.RecordRefusal(m.incarnation(v), m.clock.Now())
		}
	})
	m.loseAnswer, m.lateOrders = nil, nil
	for _, v := range refusing {
		p.RecordProbeAnswer(m.incarnation(v), m.clock.Now())
	}
}

// Guards against members that join another group while the head of their own, which they haven't left, serves: connections to it were refused
// by a partition, which counted as the end of its process (TWO, issue 46).
func TestMembersOfAHeadThatRefusesConnectionsLeaveFirst(t *testing.T) {
	for name, ranks := range silenceCases {
		for _, unlisted := range []bool{false, true} {
			for _, spares := range []int{0, 2} {
				t.Run(fmt.Sprintf("%s, unlisted %v, %d spares", name, unlisted, spares), func(t *testing.T) {
					c := quicktest.New(t)
					m, p := startedSystem(t, 1, 8+spares)
					before := m.openGroups()
					head, members := busyHead(m, 0)
					var refusing []*vm
					for _, rank := range ranks {
						members[rank].hidden = true
						refusing = append(refusing, members[rank])
						if unlisted {
							members[rank].unlistedAt = m.clock.Now()
						}
					}
					m.runRefused(p, refusing, 5*time.Second)
					for _, v := range refusing {
						v.hidden, v.unlistedAt = false, 0
					}
					m.run(p, 20*time.Second, nil)
					m.assertNoViolations()
					for model, n := range before {
						c.Check(m.openGroups()[model] >= n, quicktest.IsTrue, quicktest.Commentf("%v, the head is %s", m.openGroups(), head.state))
					}
				})
			}
		}
	}
}

// Guards against requests that end because new connections to a replica of their group are refused, although events go on to come.
func TestRequestsOutlastRefusedConnections(t *testing.T) {
	for name, ranks := range silenceCases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			m, p := startedSystem(t, 1, 10)
			m.activityInterval = 200 * time.Millisecond
			head, members := busyHead(m, time.Minute)
			epoch := head.epoch
			var refusing []*vm
			for _, rank := range ranks {
				members[rank].hidden = true
				refusing = append(refusing, members[rank])
			}
			m.runRefused(p, refusing, 5*time.Second)
			for _, v := range refusing {
				v.hidden = false
			}
			m.run(p, 4*time.Second, nil)
			m.assertNoViolations()
			c.Assert(m.interruptions, quicktest.HasLen, 0)
			c.Check(head.epoch, quicktest.Equals, epoch)
		})
	}
}

// Guards against ended replicas that are replaced late because a refused connection doesn't show that they have ended.
func TestReplicasThatRefuseConnectionsAreReplacedInTime(t *testing.T) {
	const step = 100 * time.Millisecond
	for _, test := range []struct {
		name           string
		rank           int
		busy, unlisted bool
	}{
		{"a member, nothing runs", 1, false, false}, {"a member, requests run", 1, true, false},
		{"the head, nothing runs", 0, false, false}, {"the head, requests run", 0, true, false},
		{"an unlisted head", 0, false, true},
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
			if test.unlisted {
				members[test.rank].unlistedAt = m.clock.Now()
			}
			lost, replacedAfter, openAfter := m.clock.Now(), time.Duration(0), time.Duration(0)
			m.refuseAll(p, members[test.rank:test.rank+1])
			m.run(p, 4*time.Second, func() {
				if g := p.groups[group]; g != nil && g.epoch != before && replacedAfter == 0 {
					replacedAfter = m.clock.Now().Sub(lost) - step // It was replaced in the step before.
				}
				if openAfter == 0 && replacedAfter != 0 && m.openGroups()["large"] == 1 {
					openAfter = m.clock.Now().Sub(lost)
				}
				p.RecordRefusal(m.incarnation(members[test.rank]), m.clock.Now())
			})
			m.assertNoViolations()
			within := refusalSilence + 2*step
			if test.unlisted {
				within = missingTimeout + 3*step // Entries are older than what they show.
			}
			c.Check(replacedAfter > 0 && replacedAfter <= within, quicktest.IsTrue, quicktest.Commentf("after %v", replacedAfter))
			c.Check(openAfter > 0 && openAfter <= within+1200*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("open after %v", openAfter))
		})
	}
}

// Guards against running requests that end because a draining member refuses connections: it stays while the head has work.
func TestDrainingMemberThatRefusesConnectionsStays(t *testing.T) {
	for _, rank := range []int{0, 1} {
		t.Run(fmt.Sprintf("rank %d", rank), func(t *testing.T) {
			c := quicktest.New(t)
			m, p := startedSystem(t, 1, 10)
			head, members := busyHead(m, 6*time.Second)
			epoch := head.epoch
			members[rank].draining = true
			m.run(p, 2*time.Second, nil)
			c.Assert(head.state, quicktest.Equals, fleet.GroupClosing)
			m.run(p, 2*time.Second, func() { p.RecordRefusal(m.incarnation(members[rank]), m.clock.Now()) })
			m.assertNoViolations()
			c.Assert(m.interruptions, quicktest.HasLen, 0)
			c.Check(head.epoch, quicktest.Equals, epoch)
		})
	}
}

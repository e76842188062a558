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

package balance

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/internal/fleet"
)

func testEngine() *fleet.Engine {
	return &fleet.Engine{Slots: 26, Stride: 5, Chunk: 2048, StepMs: 6.07, StepMsPerRequest: 0.241, PromptTokensPerMs: 46, MsPerMillionPairs: 0.7,
		MeanPromptTokens: 1076, MeanOutputTokens: 116, Models: []fleet.Model{{Name: "m", Size: 4, TimeFactor: 1}}}
}

// queryWithHeads returns a view with n open heads of the model, all in failure domain "a", and the query for them.
func queryWithHeads(c clock.Clock, n int) Query {
	r := fleet.NewRegistry(c)
	service := &fleet.Service{Name: "pool", Engine: testEngine(), ColdPerSecond: 20}
	r.SetConfig(&fleet.Config{Version: 1, Services: map[string]*fleet.Service{"pool": service}})
	var list []*fleet.Replica
	for i := range n {
		id := fmt.Sprintf("head-%d", i)
		list = append(list, &fleet.Replica{ID: id, Service: "pool", Zone: "a", Models: []string{"m"},
			Group: &fleet.Membership{Name: id, Epoch: 1, State: fleet.GroupOpen}})
	}
	r.Replace(list)
	return Query{View: r.View(), Service: service, Model: &service.Engine.Models[0], PromptTokens: 1000, Zone: "a", ColdShare: 1}
}

// Guards against a head that gets far more than its share of many requests that arrive at once.
func TestBurstSpreadsOverHeads(t *testing.T) {
	c := clock.NewManual(time.Hour)
	q, table := queryWithHeads(c, 6), NewTable(c)
	for range 60 {
		head := table.PickHead(q)
		table.Begin(head.Key, q.PromptTokens, head.FirstEvent)
	}
	for _, r := range q.View.ByService["pool"] {
		if n := table.Load(KeyOf(r)).Running; n < 7 || n > 13 {
			t.Errorf("%s got %d of 60 requests, want about 10", r.ID, n)
		}
	}
}

// Guards against admitting more requests than the heads can read in time: first attempts must be refused once the first event
// would come too late, and those that are admitted must be predicted in time.
func TestBurstBeyondCapacityIsRefusedEarly(t *testing.T) {
	c := clock.NewManual(time.Hour)
	q, table := queryWithHeads(c, 4), NewTable(c)
	const target = 500 * time.Millisecond
	unloaded := table.UnloadedFirstEvent(q.Service.Engine, q.Model)
	admitted := 0
	for range 200 {
		head := table.PickHead(q)
		wait, refuse := Admission(target, 0, head.QueueDelay, unloaded)
		if refuse {
			if wait <= 0 || wait > maxRetryAfter {
				t.Fatalf("the client got a retry delay of %v", wait)
			}
			continue
		}
		admitted++
		table.Begin(head.Key, q.PromptTokens, head.FirstEvent)
		if limit := time.Duration(float64(target) * (1 + lateTolerance)); head.FirstEvent > limit+50*time.Millisecond {
			t.Fatalf("request %d was admitted with its first event predicted in %v", admitted, head.FirstEvent)
		}
	}
	if admitted < 4*5 || admitted > 4*20 {
		t.Fatalf("%d of 200 requests were admitted at 4 heads", admitted)
	}
}

// Guards against refusing the largest requests sooner than small ones under load. In all standard runs of the first series of
// load tests, the largest tenth of the requests of mixed sizes was served less than half as often as the rest.
func TestLargePromptsAreNotRefusedFirst(t *testing.T) {
	// refusedFrom returns the number of requests at the only head from which on one with the prompt is refused.
	refusedFrom := func(prompt int) int {
		q, table := queryWithHeads(clock.NewManual(time.Hour), 1), NewTable(clock.NewManual(time.Hour))
		unloaded := table.UnloadedFirstEvent(q.Service.Engine, q.Model)
		for n := range 60 {
			q.PromptTokens = prompt
			if _, refuse := Admission(500*time.Millisecond, 0, table.PickHead(q).QueueDelay, unloaded); refuse {
				return n
			}
			q.PromptTokens = q.Service.Engine.MeanPromptTokens
			head := table.PickHead(q)
			table.Begin(head.Key, q.PromptTokens, head.FirstEvent)
		}
		return 60
	}
	small, large := refusedFrom(100), refusedFrom(6000)
	if small >= 60 || large < small-1 {
		t.Fatalf("small requests are refused from %d at the head on, large ones from %d", small, large)
	}
}

// Guards against retries of refused requests that compete with first attempts: they are admitted only while the queue is
// shorter than first attempts may wait for.
func TestLateRetriesAreRefusedBeforeFirstAttempts(t *testing.T) {
	c := quicktest.New(t)
	const target, unloaded = 500 * time.Millisecond, 150 * time.Millisecond
	_, refuse := Admission(target, time.Second, 350*time.Millisecond, unloaded)
	c.Assert(refuse, quicktest.IsFalse)
	_, refuse = Admission(target, time.Second, 410*time.Millisecond, unloaded)
	c.Assert(refuse, quicktest.IsTrue)
	_, refuse = Admission(target, 0, 410*time.Millisecond, unloaded)
	c.Assert(refuse, quicktest.IsFalse)
}

// Guards against nodes that choose at the same time from old loads and send most of their requests to the head that seems a
// little less loaded. In a load test of a large system, some heads had 49 requests for 34 slots while others had 17. Within the
// age of the loads, 65 nodes send ten requests for each of nine heads; the head that has three requests fewer than the others
// should get thirteen of ninety.
func TestNodesWithOldLoadsSpread(t *testing.T) {
	c := clock.NewManual(time.Hour)
	q := queryWithHeads(c, 9)
	const nodes = 65
	q.LoadAge, q.ColdShare = 1400*time.Millisecond, 1.0/nodes
	reported := PeerState{Loads: map[Key]Load{}}
	lowest := KeyOf(q.View.ByService["pool"][4])
	for _, r := range q.View.ByService["pool"] {
		reported.Loads[KeyOf(r)] = Load{Running: 14, Waiting: 2, UnreadTokens: 1500}
	}
	reported.Loads[lowest] = Load{Running: 11, Waiting: 1, UnreadTokens: 0}
	table := NewTable(c)
	table.SetPeerState("other", reported)
	var candidates []candidate
	for _, r := range q.View.ByService["pool"] {
		candidates = append(candidates, table.candidateLocked(r, KeyOf(r), q, c.Now()))
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return int(a.cost - b.cost) })
	shares := waterFill(candidates, 90)
	if candidates[0].head.Key != lowest || len(shares) != 9 {
		t.Fatalf("%d heads take requests, the one with the lowest cost is %s", len(shares), candidates[0].head.Key)
	}
	if shares[0] < 1.0/9 || shares[0] > 1.0/3 {
		t.Fatalf("a share of %.3f goes to the head with the lowest reported load", shares[0])
	}
	// A node expects that every other node sends as many requests as itself.
	table.BeginHead(table.PickHead(q), q.PromptTokens).End()
	if n := table.arrivalsLocked(q, c.Now()); n < nodes/2 || n > nodes {
		t.Fatalf("%.1f arrivals within the age of the loads, want %.1f", n, nodes*0.7)
	}
}

// Guards against a wrong distribution of arrivals: few go to the head with the lowest cost, many raise the heads to a common
// cost.
func TestArrivalsFillHeadsToCommonCost(t *testing.T) {
	c := quicktest.New(t)
	list := []candidate{{cost: 100, costPerRequest: 10}, {cost: 120, costPerRequest: 10}, {cost: 400, costPerRequest: 20}}
	c.Assert(waterFill(list, 1), quicktest.DeepEquals, []float64{1})
	c.Assert(waterFill(list, 6), quicktest.DeepEquals, []float64{4.0 / 6, 2.0 / 6})
	shares := waterFill(list, 68)
	c.Assert(shares, quicktest.HasLen, 3)
	sum := 0.0
	for i, share := range shares {
		sum += share
		if level := float64(list[i].cost) + share*68*float64(list[i].costPerRequest); level < 439 || level > 441 {
			t.Errorf("head %d is filled to %.1f, want 440", i, level)
		}
	}
	c.Assert(sum > 0.999 && sum < 1.001, quicktest.IsTrue)
}

// Guards against a target that all nodes avoid because one of many measures it as slow; most of its users must report it.
func TestSlownessNeedsMajorityOfNodes(t *testing.T) {
	c := quicktest.New(t)
	table := NewTable(clock.NewManual(time.Hour))
	for i := range 5 {
		table.SetPeerState(fmt.Sprintf("node-%d", i), PeerState{Loads: map[Key]Load{"k": {Running: 1}}})
	}
	table.SetPeerState("node-0", PeerState{Loads: map[Key]Load{"k": {Running: 1}}, SlowFactors: map[Key]float64{"k": 2}})
	c.Assert(table.IsSlow("k"), quicktest.IsFalse)
	for i := range 3 {
		table.SetPeerState(fmt.Sprintf("node-%d", i), PeerState{SlowFactors: map[Key]float64{"k": 2}})
	}
	c.Assert(table.IsSlow("k"), quicktest.IsTrue)
}

// Guards against nodes that together send more requests in a second than the limit of a cold replica.
func TestColdReplicaGetsItsShareOnly(t *testing.T) {
	c := clock.NewManual(time.Hour)
	r := fleet.NewRegistry(c)
	service := &fleet.Service{Name: "desk", ColdPerSecond: 20}
	r.Replace([]*fleet.Replica{{ID: "cold", Service: "desk", Zone: "a", Slots: 6, ColdFor: 3 * time.Second}})
	const nodes = 4
	sent := 0
	for range nodes {
		table := NewTable(c)
		q := Query{View: r.View(), Service: service, Zone: "a", ColdShare: 1.0 / nodes}
		for range 50 {
			if p := table.PickPlain(q); p != nil {
				table.CountColdSend(p, q.View)
				sent++
			}
		}
	}
	quicktest.Assert(t, sent, quicktest.Equals, 20)
}

// Guards against a stalled head that neither this node nor the nodes to which it reports suspect after some missing events, and
// against a suspicion that outlasts the next event.
func TestSilentHeadIsSuspected(t *testing.T) {
	c := quicktest.New(t)
	now := clock.NewManual(time.Hour)
	q, table := queryWithHeads(now, 2), NewTable(now)
	gap := func(Key, Load) time.Duration { return 60 * time.Millisecond }
	head := table.PickHead(q)
	ticket := table.Begin(head.Key, q.PromptTokens, head.FirstEvent)
	ticket.RecordEvent()
	var suspected []Key
	for range 6 {
		now.Advance(100 * time.Millisecond)
		suspected = append(suspected, table.Sweep(100*time.Millisecond, gap)...)
	}
	c.Assert(suspected, quicktest.DeepEquals, []Key{head.Key})
	c.Assert(table.PickHead(q).Key, quicktest.Not(quicktest.Equals), head.Key)

	other := NewTable(now)
	other.SetPeerState("node-1", table.LocalState())
	c.Assert(other.Suspected(head.Key), quicktest.IsTrue)
	c.Assert(now.Now().Sub(other.Activity(head.Key).LastEvent), quicktest.Equals, 600*time.Millisecond)

	ticket.RecordEvent()
	c.Assert(table.Suspected(head.Key), quicktest.IsFalse)
}

// Guards against suspecting heads after a pause of this process, which finds all of them silent.
func TestNoSuspicionAfterOwnPause(t *testing.T) {
	now := clock.NewManual(time.Hour)
	q, table := queryWithHeads(now, 2), NewTable(now)
	head := table.PickHead(q)
	table.Begin(head.Key, q.PromptTokens, head.FirstEvent).RecordEvent()
	now.Advance(4 * time.Second)
	suspected := table.Sweep(100*time.Millisecond, func(Key, Load) time.Duration { return 60 * time.Millisecond })
	quicktest.Assert(t, suspected, quicktest.HasLen, 0)
	quicktest.Assert(t, table.Suspected(head.Key), quicktest.IsFalse)
}

// Guards against predictions without the time that first events take beyond the published figures.
func TestFirstEventOverheadIsMeasured(t *testing.T) {
	now := clock.NewManual(time.Hour)
	q, table := queryWithHeads(now, 1), NewTable(now)
	var predicted time.Duration
	for range 300 {
		head := table.PickHead(q)
		predicted = head.FirstEvent
		ticket := table.BeginHead(head, q.PromptTokens)
		now.Advance(FirstEvent(q.Service.Engine, 1, Load{}, q.PromptTokens) + 105*time.Millisecond)
		ticket.RecordEvent()
		ticket.End()
	}
	want := FirstEvent(q.Service.Engine, 1, Load{}, q.PromptTokens) + 105*time.Millisecond
	if off := predicted - want; off < -5*time.Millisecond || off > 5*time.Millisecond {
		t.Fatalf("predicted %v, want about %v", predicted, want)
	}
}

// Guards against a load that remains after all requests have ended, whatever the order of events and ends.
func TestTicketCountsReturnToZero(t *testing.T) {
	now := clock.NewManual(time.Hour)
	table := NewTable(now)
	for i := range 20 {
		ticket := table.Begin("k", 100, time.Second)
		if i%2 == 0 {
			ticket.RecordEvent()
			ticket.RecordEvent()
		}
		ticket.End()
		ticket.End()
		ticket.RecordEvent()
	}
	quicktest.Assert(t, table.Load("k"), quicktest.Equals, Load{})
}

// Guards against sending many requests to a slow head: of six heads one works four times as slow, as it did for three or more
// seconds in load tests. The head must get few requests from nodes that measure it and from a node that only receives their
// reports, and must be used again after it has recovered.
func TestSlowHeadIsAvoided(t *testing.T) {
	c := quicktest.New(t)
	now := clock.NewManual(time.Hour)
	q, table, reportOnly := queryWithHeads(now, 6), NewTable(now), NewTable(now)
	slowest := KeyOf(q.View.ByService["pool"][2])
	simulate := func(factor float64, d time.Duration) int {
		n := 0
		type run struct {
			ticket *Ticket
			key    Key
			next   clock.Time
			events int
		}
		var running []*run
		for end := now.Now().Add(d); now.Now() < end; now.Advance(10 * time.Millisecond) {
			for _, r := range running {
				if r.events < 27 && now.Now() >= r.next {
					r.ticket.RecordEvent()
					r.events++
					gap := Gap(q.Service.Engine, 1, table.Load(r.key))
					if r.key == slowest {
						gap = time.Duration(factor * float64(gap))
					}
					r.next = now.Now().Add(gap)
					if r.events == 27 {
						r.ticket.End()
					}
				}
			}
			if now.Now()%clock.Time(30*time.Millisecond) != 0 {
				continue
			}
			head := table.PickHead(q)
			running = append(running, &run{table.BeginHead(head, q.PromptTokens), head.Key, now.Now().Add(200 * time.Millisecond), 0})
			if head.Key == slowest {
				n++
			}
		}
		reportOnly.SetPeerState("node-1", table.LocalState())
		for _, r := range running {
			r.ticket.End()
		}
		return n
	}
	simulate(4, 2*time.Second)
	c.Assert(simulate(4, 2*time.Second) <= 4, quicktest.IsTrue) // Of 66; an even share is 11.
	picked := 0
	for range 60 {
		if head := reportOnly.PickHead(q); head.Key == slowest {
			picked++
		}
	}
	c.Assert(picked <= 6, quicktest.IsTrue, quicktest.Commentf("%d of 60", picked))
	now.Advance(slowdownMaxAge)
	simulate(1, 3*time.Second)
	n := simulate(1, 2*time.Second)
	c.Assert(n >= 5, quicktest.IsTrue, quicktest.Commentf("%d of 66", n))
}

// Guards against a send to an idle head that is taken for a sign of life of the head, here and at the nodes to which this one reports.
func TestSendIsNoActivityOfTheHead(t *testing.T) {
	c := quicktest.New(t)
	now := clock.NewManual(time.Hour)
	q, table, other := queryWithHeads(now, 1), NewTable(now), NewTable(now)
	head := table.PickHead(q)
	ticket := table.Begin(head.Key, q.PromptTokens, head.FirstEvent)
	report := func() { other.SetPeerState("node-1", table.LocalState()) }
	report()
	for _, known := range []*Table{table, other} {
		c.Check(known.Activity(head.Key), quicktest.Equals, Activity{Running: 1})
	}
	ticket.RecordEvent()
	heard := now.Now()
	ticket.End()
	now.Advance(2 * time.Second)
	table.Begin(head.Key, q.PromptTokens, head.FirstEvent)
	report()
	for _, known := range []*Table{table, other} {
		c.Check(known.Activity(head.Key), quicktest.Equals, Activity{Running: 1, LastEvent: heard})
	}
}

// Guards against a lost head that is replaced only after the engine must have broken its group, because the requests there have gone on at
// other targets and nobody remembers when it last sent an event.
func TestLastEventIsKnownAfterTheRequestsHaveEnded(t *testing.T) {
	c := quicktest.New(t)
	now := clock.NewManual(time.Hour)
	q, table, other := queryWithHeads(now, 1), NewTable(now), NewTable(now)
	head := table.PickHead(q)
	ticket := table.Begin(head.Key, q.PromptTokens, head.FirstEvent)
	ticket.RecordEvent()
	heard := now.Now()
	other.SetPeerState("node-1", table.LocalState())
	now.Advance(800 * time.Millisecond)
	ticket.End()
	other.SetPeerState("node-1", table.LocalState())
	c.Assert(other.Activity(head.Key), quicktest.Equals, Activity{LastEvent: heard})
	now.Advance(2 * idleRetention)
	other.Sweep(100*time.Millisecond, func(Key, Load) time.Duration { return time.Second })
	c.Assert(other.Activity(head.Key), quicktest.Equals, Activity{})
}

// Guards against requests that don't count because the head of their group has no entry: they are found by its epoch.
func TestActivityOfAGroupIsFoundWithoutItsHead(t *testing.T) {
	c := quicktest.New(t)
	now := clock.NewManual(time.Hour)
	head := &fleet.Replica{ID: "head", StartedUnixMs: 7, Group: &fleet.Membership{Name: "g1", Epoch: 12}}
	table, other := NewTable(now), NewTable(now)
	ticket := table.Begin(KeyOf(head), 100, time.Millisecond)
	for _, step := range []struct {
		change func()
		want   Activity
	}{
		{func() {}, Activity{Running: 1}},
		{ticket.RecordEvent, Activity{Running: 1, Begun: 1, LastEvent: now.Now()}},
		{ticket.End, Activity{LastEvent: now.Now()}},
	} {
		step.change()
		other.SetPeerState("node-1", table.LocalState())
		c.Check(table.GroupActivity("g1", 12), quicktest.Equals, step.want)
		c.Check(other.GroupActivity("g1", 12), quicktest.Equals, step.want)
		c.Check(other.GroupActivity("g1", 2), quicktest.Equals, Activity{})
		c.Check(other.GroupActivity("1", 12), quicktest.Equals, Activity{})
	}
}

// Guards against a lost group that is repaired late because streams count there that other targets have already accepted, and against one
// that counts as idle though its streams depend on it.
func TestStreamsThatOtherTargetsHaveAcceptedAreNoLoad(t *testing.T) {
	for _, test := range []struct {
		name     string
		after    time.Duration // When the other target sends an event, since it was asked; 0 for never.
		accepted bool
	}{
		{"the other target is silent", 0, false},
		{"its event may precede a refusal", refusalTime - time.Millisecond, false},
		{"it goes on with its work", refusalTime, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := quicktest.New(t)
			now := clock.NewManual(time.Hour)
			table := NewTable(now)
			running := func() int { return table.Load("silent").Running }
			first, beside := table.Begin("silent", 100, time.Second), table.Begin("other", 0, time.Second)
			beside.RecordEvent()
			other := table.Begin("other", 100, time.Second)
			now.Advance(test.after)
			if test.after > 0 {
				beside.RecordEvent()
			}
			now.Advance(time.Second)
			c.Assert(first.YieldTo(other), quicktest.Equals, test.accepted)
			c.Assert(running() == 0, quicktest.Equals, test.accepted)
			first.CountAgain()
			c.Assert(running(), quicktest.Equals, 1)
			first.YieldTo(other)
			first.RecordEvent()
			c.Assert(table.Activity("silent"), quicktest.Equals, Activity{Running: 1, Begun: 1, LastEvent: now.Now()})
			first.YieldTo(other)
			first.End()
			first.End()
			c.Assert(table.Load("silent"), quicktest.Equals, Load{})
			c.Assert(first.YieldTo(other), quicktest.IsFalse)
		})
	}
}

package precedence

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/internal/fleet"
)

func testEngine() *fleet.Engine {
	return &fleet.Engine{Slots: 30, Stride: 7, Chunk: 2048, StepMs: 5.95, StepMsPerRequest: 0.0445, PromptTokensPerMs: 50.7}
}

// offered returns the work of a number of requests a second.
func offered(perSecond float64, prompt, output float64) Work {
	return Work{perSecond, perSecond * prompt, perSecond * output}
}

var largeTrail, largeDigest = Class{"large", 1}, Class{"large", 2}

// mapWork is the work of the map service at its large model, with factor times the least urgent kind.
func mapWork(factor float64) map[Class]Work {
	return map[Class]Work{largeTrail: offered(24, 1460, 175), largeDigest: offered(16*factor, 2000, 21), {"small", 0}: offered(421, 714, 217)}
}

func digestRequest(id string, delay time.Duration) Request {
	return Request{Class: largeDigest, Account: "a", Draw: DrawOf(id), Delay: delay, Target: 800 * time.Millisecond, Unloaded: 120 * time.Millisecond,
		UrgentTarget: 250 * time.Millisecond, LongestUrgentTarget: 300 * time.Millisecond}
}

// Load: the calm load of both deployments. Guards against refusals by precedence of what is served without it, at whatever delay: the mean
// queue delay reached 91 ms on a played load of 1.5 times the calm one, and first events take longer than predicted by up to 50 ms for the network.
func TestNothingGivesWayInCalm(t *testing.T) {
	for delay := time.Duration(0); delay < time.Second; delay += 20 * time.Millisecond {
		for i := range 20 {
			r := digestRequest(fmt.Sprint(i), delay)
			r.Unloaded += 50 * time.Millisecond
			v := Decide(r, Model{Engine: testEngine(), TimeFactor: 1, Groups: 6, MeanDelay: 95 * time.Millisecond, Offered: Offered{mapWork(1), 1}})
			qt.Assert(t, v.Action, qt.Equals, Default)
			r = Request{Class: Class{Model: "small"}, Account: "a", Draw: r.Draw, Delay: delay, Target: 250 * time.Millisecond}
			v = Decide(r, Model{Engine: testEngine(), TimeFactor: 0.6, Groups: 27, MeanDelay: 95 * time.Millisecond, Offered: Offered{mapWork(1), 1}})
			qt.Assert(t, v.Action, qt.Equals, Default)
			pcb := map[Class]Work{{"large", 0}: offered(34+23, (34*1460+23*2000)/57.0, (34*175+23*21)/57.0)}
			r = Request{Class: Class{Model: "large"}, Account: "a", Draw: r.Draw, Delay: delay, Target: 300 * time.Millisecond}
			v = Decide(r, Model{Engine: testEngine(), TimeFactor: 1, Groups: 6, MeanDelay: 95 * time.Millisecond, Offered: Offered{pcb, 1}, OnePriority: true})
			qt.Assert(t, v.Action, qt.Equals, Default)
		}
	}
}

// Load: twice the capacity in one priority, from 24 equal accounts. Guards against a deployment with one priority that is decided otherwise
// than by its queues.
func TestEqualAccountsOfOnePriorityAreNotAffected(t *testing.T) {
	var accounts []AccountWork
	for i := range 24 {
		accounts = append(accounts, AccountWork{fmt.Sprint(i), 100 + float64(i%3)*4, 7000 + float64(i%3)*280})
	}
	for i := range 24 {
		for draw := 0.0; draw < 1; draw += 0.1 {
			r := Request{Class: Class{Model: "large"}, Account: fmt.Sprint(i), Draw: draw, Delay: 600 * time.Millisecond, Target: 300 * time.Millisecond}
			v := Decide(r, Model{Engine: testEngine(), TimeFactor: 1, Groups: 6, MeanDelay: 600 * time.Millisecond, OnePriority: true, Accounts: accounts,
				Offered: Offered{map[Class]Work{{"large", 0}: offered(170, 1460, 175), {"large", 4}: offered(1, 1460, 175)}, 1}})
			qt.Assert(t, v.Action, qt.Equals, Default, qt.Commentf("account %d, draw %g", i, draw))
		}
	}
}

// Guards against nodes that decide differently on the same request from the same shared load, and against verdicts that depend on the size.
func TestEqualNodesReachTheSameVerdict(t *testing.T) {
	c := qt.New(t)
	refused := 0
	for i := range 200 {
		r := digestRequest(fmt.Sprint("request-", i), 60*time.Millisecond) // Between served at once and the limit inside a share.
		r.Account = []string{"a", "c"}[i%2]
		var first Verdict
		for node := range 5 {
			accounts := []AccountWork{{"a", 40, 1800}, {"b", 41, 1845}, {"c", 200, 9000}, {"d", 3, 135}}
			v := Decide(r, Model{Engine: testEngine(), TimeFactor: 1, Groups: 6, MeanDelay: 200 * time.Millisecond, Offered: Offered{mapWork(8), 1},
				Accounts: slices.Concat(accounts[node%4:], accounts[:node%4])}) // Nodes list them in any order.
			if node == 0 {
				first = v
			}
			c.Assert(v.Action, qt.Equals, first.Action)
			c.Assert(v.RetryAfter, qt.Equals, first.RetryAfter)
		}
		if first.Action == Refuse {
			refused++
			c.Assert(first.RetryAfter >= minRetryAfter && first.RetryAfter <= maxRetryAfter, qt.IsTrue)
		}
	}
	c.Check(refused > 20 && refused < 180, qt.IsTrue, qt.Commentf("%d of 200", refused))
}

// Guards against refusals by a node that knows only its own few requests, and against less than what it knows of its queues.
func TestFewRequestsProveNothing(t *testing.T) {
	c := qt.New(t)
	own := map[Class]Work{largeDigest: offered(0.6, 2000, 21)} // Of one of 200 nodes.
	few := Model{Engine: testEngine(), TimeFactor: 1, Groups: 6, Offered: Offered{own, 200}}
	c.Check(Decide(digestRequest("x", time.Second), few).Reason, qt.Equals, ReasonCalm)
	c.Check(Decide(digestRequest("x", time.Second), Model{Engine: testEngine(), TimeFactor: 1, Groups: 6}).Reason, qt.Equals, ReasonCalm)
	c.Check(Decide(digestRequest("x", time.Second), Model{Engine: testEngine(), TimeFactor: 1, Offered: few.Offered}).Reason, qt.Equals, ReasonCalm)
	few.MeanDelay = 300 * time.Millisecond
	c.Check(Decide(digestRequest("x", time.Second), few).Reason, qt.Not(qt.Equals), ReasonCalm)
}

// Guards against a Retry-After that ignores how little is left by more urgent work.
func TestRetryAfterFollowsTheQueue(t *testing.T) {
	c := qt.New(t)
	r := digestRequest("x", time.Second)
	idle, busy := retryAfter(r, classShare{}), retryAfter(r, classShare{urgentLoad: 0.5})
	c.Check(idle > 900*time.Millisecond && idle < time.Second, qt.IsTrue, qt.Commentf("%v", idle))
	c.Check(busy, qt.Equals, 2*idle)
	r.Delay = 60 * time.Millisecond
	c.Check(retryAfter(r, classShare{}), qt.Equals, minRetryAfter)
}

// Guards against counts that keep old requests, and against memory that grows with the accounts.
func TestCounter(t *testing.T) {
	c := qt.New(t)
	manual := clock.NewManual(time.Second)
	counter := NewCounter(manual)
	for range 100 * 10 { // 100 a second for 10 s.
		counter.Offer(largeTrail, "a", 10, 20, 1)
		manual.Advance(10 * time.Millisecond)
	}
	got := counter.Local()[largeTrail]
	c.Check(got.Requests > 80 && got.Requests < 101, qt.IsTrue, qt.Commentf("%+v", got))
	c.Check(got.WriteTokens > 1600 && got.WriteTokens < 2020, qt.IsTrue, qt.Commentf("%+v", got))
	manual.Advance(time.Minute)
	c.Check(counter.Local()[largeTrail].Requests < 0.01, qt.IsTrue)
	for i := range 2 * maxAccounts {
		counter.Offer(largeTrail, fmt.Sprint(i), 1, 1, 1)
	}
	c.Check(len(counter.Accounts(largeTrail)) <= maxAccounts, qt.IsTrue)
	manual.Advance(2*accountRetention + time.Second)
	c.Check(counter.Accounts(largeTrail), qt.HasLen, 0)
}

// Guards against requests of public routes that count as one large account, and against a speed of reading that isn't configured.
func TestRequestsWithoutAccount(t *testing.T) {
	c := qt.New(t)
	accounts := []AccountWork{{"", 1000, 90_000}, {"a", 10, 900}, {"b", 10, 900}}
	share, over := accountShare("", accounts, classShare{short: true, first: true, share: 0.5})
	c.Check(share, qt.Equals, 1.0)
	c.Check(over, qt.IsFalse)
	share, over = accountShare("c", append(accounts, AccountWork{"c", 1000, 90_000}), classShare{short: true, share: 0.5})
	c.Check(share < 0.5, qt.IsTrue)
	c.Check(over, qt.IsTrue)
	c.Check(Work{ReadTokens: 1000}.Millis(&fleet.Engine{}, 1), qt.Equals, 0.0)
}

// Load: the most urgent priority alone at twice the capacity, on a model that the routes with more urgent priorities don't use. Guards against
// requests of it that go on beyond their own target, or give way to none.
func TestMostUrgentWorkOfAModelIsDecidedByItsQueue(t *testing.T) {
	for draw := 0.0; draw < 1; draw += 0.05 {
		r := Request{Class: largeTrail, Account: "a", Draw: draw, Delay: 260 * time.Millisecond, Target: 300 * time.Millisecond, Unloaded: 120 * time.Millisecond,
			UrgentTarget: 250 * time.Millisecond, LongestUrgentTarget: 250 * time.Millisecond}
		v := Decide(r, Model{Engine: testEngine(), TimeFactor: 1, Groups: 6, MeanDelay: 260 * time.Millisecond,
			Offered: Offered{map[Class]Work{largeTrail: offered(170, 1460, 175), largeDigest: offered(16, 2000, 21)}, 1}})
		qt.Assert(t, v.Action, qt.Equals, Default, qt.Commentf("draw %g: %s", draw, v.Reason))
	}
}

// Failure: half of the groups are lost, under a load that six groups can do and three can't. Guards against less urgent work that gives way only after
// the queues of the others have grown, and against urgent work that gives way too.
func TestLostGroupsLetLessUrgentWorkGiveWay(t *testing.T) {
	c := qt.New(t)
	refused := func(groups int, class Class) (n int) {
		for i := range 100 {
			r := digestRequest(fmt.Sprint(i), 100*time.Millisecond)
			if r.Class = class; class == largeTrail {
				r.UrgentTarget, r.LongestUrgentTarget, r.Target = 0, 0, 300*time.Millisecond
			}
			m := Model{Engine: testEngine(), TimeFactor: 1, Groups: groups, MeanDelay: 40 * time.Millisecond, Offered: Offered{mapWork(3.5), 1}}
			if Decide(r, m).Action == Refuse {
				n++
			}
		}
		return n
	}
	c.Check(refused(6, largeDigest), qt.Equals, 0)
	c.Check(refused(3, largeDigest) > 50, qt.IsTrue, qt.Commentf("%d", refused(3, largeDigest)))
	c.Check(refused(3, largeDigest) < 98, qt.IsTrue, qt.Commentf("%d", refused(3, largeDigest)))
	c.Check(refused(3, largeTrail), qt.Equals, 0)
}

package precedence_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/balance"
	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/internal/fleet"
	"cassiadeal.example/cassiadeal/internal/precedence"
)

// engine has the published figures of both deployments in docs/demand-and-clients.md.
func engine() *fleet.Engine {
	return &fleet.Engine{Slots: 30, Stride: 7, Chunk: 2048, StepMs: 5.95, StepMsPerRequest: 0.0445, PromptTokensPerMs: 50.7, MeanPromptTokens: 797,
		MeanOutputTokens: 210}
}

// kind is a kind of requests.
type kind struct {
	name           string
	priority       int
	perSecond      float64
	prompt, output int
	target         time.Duration
	accounts       []float64 // Weights of the accounts; one account if empty.
}

// result counts the requests of a kind, its accounts, and its requests with the largest prompts.
type result struct{ requests, inTime, served, refused int }

func (r result) inTimeShare() float64 { return float64(r.inTime) / float64(max(r.requests, 1)) }
func (r result) servedShare() float64 { return float64(r.served) / float64(max(r.requests, 1)) }

type arrival struct {
	kind     *kind
	account  string
	prompt   int
	first    time.Duration // Of the first attempt.
	attempts int
}

// load plays requests to groups that work off their queue in order of arrival, without the urgency that real heads consider.
type load struct {
	groups      int
	kinds       []kind
	onePriority bool
	pace        float64 // How many times longer the groups take than their figures say; 0 for 1.
	precedence  bool    // Otherwise balance.Admission decides alone.
	duration    time.Duration
	seed        uint64
}

type outcome struct {
	byKind    map[string]*result
	byAccount map[string]*result
	bySize    map[string]*result // By kind and tenth of the prompt sizes.
}

const tick = time.Millisecond

func (l load) play() outcome {
	random := rand.New(rand.NewPCG(l.seed, 1))
	manual := clock.NewManual(time.Second)
	counter, e := precedence.NewCounter(manual), engine()
	out := outcome{map[string]*result{}, map[string]*result{}, map[string]*result{}}
	count := func(a arrival, add func(*result)) {
		tenth := int(10 * (float64(a.prompt)/float64(a.kind.prompt) - 0.5))
		for m, k := range map[*map[string]*result]string{&out.byKind: a.kind.name, &out.byAccount: a.account, &out.bySize: fmt.Sprint(a.kind.name, "/", min(max(tenth, 0), 9))} {
			if (*m)[k] == nil {
				(*m)[k] = &result{}
			}
			add((*m)[k])
		}
	}
	backlog := make([]float64, l.groups) // Milliseconds.
	retries := map[int][]arrival{}       // By tick.
	serial := 0
	ticks := int(l.duration / tick)
	const warmUp = 5000
	for now := range ticks {
		manual.Advance(tick)
		for i := range backlog {
			backlog[i] = max(backlog[i]-1, 0)
		}
		list := retries[now]
		delete(retries, now)
		for i := range l.kinds {
			k := &l.kinds[i]
			for range poisson(random, k.perSecond/1000) {
				a := arrival{kind: k, account: pickAccount(random, k), prompt: int(float64(k.prompt) * (0.5 + random.Float64())), first: time.Duration(now) * tick}
				if now >= warmUp {
					count(a, func(r *result) { r.requests++ })
				}
				list = append(list, a)
			}
		}
		for _, a := range list {
			serial++
			a.attempts++
			group := pickGroup(random, backlog)
			wait, admitted := l.decide(e, a, counter, backlog, group, fmt.Sprint(l.seed, serial))
			counted := a.first >= warmUp*tick
			if !admitted {
				if counted {
					count(a, func(r *result) { r.refused++ })
				}
				if a.attempts < 3 && wait < time.Second {
					at := now + int(wait/tick) + 1
					retries[at] = append(retries[at], a)
				}
				continue
			}
			took := time.Duration(now)*tick - a.first + time.Duration(backlog[group])*tick + unloaded(e, a.prompt)
			backlog[group] += work(e, a).Millis(e, 1) * max(l.pace, 1)
			if counted {
				count(a, func(r *result) {
					r.served++
					if took <= a.kind.target {
						r.inTime++
					}
				})
			}
		}
	}
	return out
}

func unloaded(e *fleet.Engine, prompt int) time.Duration {
	return balance.FirstEvent(e, 1, balance.Load{}, prompt)
}

func work(_ *fleet.Engine, a arrival) precedence.Work {
	return precedence.Work{ReadTokens: float64(a.prompt), WriteTokens: float64(a.kind.output)}
}

// decide follows the order of edge.selectHead.
func (l load) decide(e *fleet.Engine, a arrival, counter *precedence.Counter, backlog []float64, group int, id string) (time.Duration, bool) {
	delay, sum := time.Duration(backlog[group])*tick, 0.0
	for _, b := range backlog {
		sum += b
	}
	class := precedence.Class{Model: "large", Priority: a.kind.priority}
	if l.onePriority {
		class.Priority = 0
	}
	counter.Offer(class, a.account, a.prompt, a.kind.output, work(e, a).Millis(e, 1))
	if l.precedence {
		r := precedence.Request{Class: class, Account: a.account, Draw: precedence.DrawOf(id), Delay: delay, Target: a.kind.target,
			Unloaded: unloaded(e, e.MeanPromptTokens)}
		if !l.onePriority {
			r.UrgentTarget, r.LongestUrgentTarget = l.urgentTargets(a.kind.priority)
		}
		v := precedence.Decide(r, precedence.Model{Engine: e, TimeFactor: 1, Groups: len(backlog), MeanDelay: time.Duration(sum/float64(len(backlog))) * tick,
			Offered: precedence.Offered{Work: counter.Local(), Scale: 1}, Accounts: counter.Accounts(class), OnePriority: l.onePriority})
		switch v.Action {
		case precedence.Go:
			return 0, true
		case precedence.Refuse:
			return v.RetryAfter, false
		}
	}
	wait, refuse := balance.Admission(a.kind.target, 0, delay, unloaded(e, e.MeanPromptTokens))
	return wait, !refuse
}

func (l load) urgentTargets(priority int) (shortest, longest time.Duration) {
	for _, k := range l.kinds {
		if k.priority < priority {
			longest = max(longest, k.target)
			if shortest == 0 || k.target < shortest {
				shortest = k.target
			}
		}
	}
	return shortest, longest
}

// pickGroup returns the less loaded of two groups, as nodes choose from loads that lag behind.
func pickGroup(random *rand.Rand, backlog []float64) int {
	a, b := random.IntN(len(backlog)), random.IntN(len(backlog))
	if backlog[b] < backlog[a] {
		return b
	}
	return a
}

func pickAccount(random *rand.Rand, k *kind) string {
	total := 0.0
	for _, w := range k.accounts {
		total += w
	}
	draw := random.Float64() * total
	for i, w := range k.accounts {
		if draw -= w; draw < 0 {
			return fmt.Sprint(k.name, "-", i)
		}
	}
	return k.name
}

func poisson(random *rand.Rand, mean float64) int {
	n := 0
	for t := random.ExpFloat64(); t < mean; t += random.ExpFloat64() {
		n++
	}
	return n
}

// mapService returns the kinds of the map service for its large model, with the load of the least urgent kind times factor.
func mapService(factor float64) []kind {
	return []kind{{name: "trail-brief", priority: 1, perSecond: 24, prompt: 1460, output: 175, target: 300 * time.Millisecond, accounts: accounts24()},
		{name: "season-digest", priority: 2, perSecond: 16 * factor, prompt: 2000, output: 21, target: 800 * time.Millisecond, accounts: accounts24()}}
}

// accounts24 are 24 accounts, two of them large.
func accounts24() []float64 {
	weights := make([]float64, 24)
	for i := range weights {
		weights[i] = 1
	}
	weights[0], weights[1] = 10, 6
	return weights
}

// Load: five to eight times the least urgent kind beside the urgent kind on the six groups of the large model. Guards against less urgent
// requests that fill the queues until urgent ones are refused, and against priorities, accounts and sizes that get nothing.
func TestUrgentKindBesideManyLessUrgentOnes(t *testing.T) {
	for _, factor := range []float64{5, 6, 8} {
		for _, seed := range []uint64{1, 2} {
			c := qt.New(t)
			l := load{groups: 6, kinds: mapService(factor), duration: 30 * time.Second, seed: seed}
			before := l.play()
			l.precedence = true
			after := l.play()
			urgent, other := after.byKind["trail-brief"], after.byKind["season-digest"]
			t.Logf("x%g seed %d: before urgent %.3f other %.3f; after urgent %.3f other %.3f (served %.3f, %.3f; refusals %d, %d)", factor, seed,
				before.byKind["trail-brief"].inTimeShare(), before.byKind["season-digest"].inTimeShare(), urgent.inTimeShare(), other.inTimeShare(),
				urgent.servedShare(), other.servedShare(), urgent.refused, other.refused)
			c.Check(urgent.inTimeShare() >= other.inTimeShare(), qt.IsTrue)
			c.Check(urgent.inTimeShare() >= before.byKind["trail-brief"].inTimeShare(), qt.IsTrue)
			c.Check(other.servedShare() >= 0.1, qt.IsTrue)
			for _, group := range []map[string]*result{after.byAccount, after.bySize} {
				for name, r := range group {
					c.Check(r.requests < 20 || r.servedShare() >= 0.1, qt.IsTrue, qt.Commentf("%s: %+v", name, *r))
				}
			}
		}
	}
}

// Load: the urgent kind alone at three times what the groups can do, beside the usual load of the less urgent kind. Guards against a less
// urgent kind that gets nothing, also if its target is the shorter one.
func TestLessUrgentKindKeepsATenth(t *testing.T) {
	for _, target := range []time.Duration{800 * time.Millisecond, 200 * time.Millisecond} {
		c := qt.New(t)
		kinds := mapService(1)
		kinds[0].perSecond, kinds[1].target = 250, target
		out := load{groups: 6, kinds: kinds, duration: 30 * time.Second, seed: 3, precedence: true}.play()
		urgent, other := out.byKind["trail-brief"], out.byKind["season-digest"]
		e := engine()
		served := precedence.Work{ReadTokens: 2000, WriteTokens: 21}.Millis(e, 1) * float64(other.served) / 25 / 6000
		t.Logf("target %v: urgent served %.3f, other served %.3f of its requests in %.3f of the capacity", target, urgent.servedShare(), other.servedShare(), served)
		c.Check(served >= 0.07 || other.servedShare() >= 0.99, qt.IsTrue) // A tenth of the usable three quarters.
	}
}

// Load: six times the least urgent kind at groups that take 1.5 times as long as their figures say. Guards against shares that rely on the
// figures alone.
func TestGroupsThatAreSlowerThanPublished(t *testing.T) {
	c := qt.New(t)
	out := load{groups: 6, kinds: mapService(6), duration: 30 * time.Second, seed: 4, precedence: true, pace: 1.5}.play()
	urgent, other := out.byKind["trail-brief"], out.byKind["season-digest"]
	t.Logf("urgent in time %.3f, other %.3f", urgent.inTimeShare(), other.inTimeShare())
	c.Check(urgent.inTimeShare() >= other.inTimeShare(), qt.IsTrue)
	c.Check(other.servedShare() >= 0.1, qt.IsTrue)
}

// Load: twice what the groups can do, all of one priority, half of it from one account. Guards against a large account that takes the
// capacity from the small ones, and against accounts without fair share.
func TestLargeAccountAmongEqualPriorities(t *testing.T) {
	c := qt.New(t)
	kinds := mapService(1)[:1]
	kinds[0].perSecond = 160
	kinds[0].accounts = make([]float64, 12)
	for i := range kinds[0].accounts {
		kinds[0].accounts[i] = 1
	}
	kinds[0].accounts[0] = 11
	l := load{groups: 6, kinds: kinds, onePriority: true, duration: 40 * time.Second, seed: 5}
	before := l.play()
	l.precedence = true
	after := l.play()
	smallest := func(o outcome) float64 {
		least := 1.0
		for name, r := range o.byAccount {
			if name != "trail-brief-0" {
				least = min(least, r.servedShare())
			}
		}
		return least
	}
	large := after.byAccount["trail-brief-0"]
	t.Logf("served of the large account %.3f, before %.3f; of the worst small one %.3f, before %.3f", large.servedShare(),
		before.byAccount["trail-brief-0"].servedShare(), smallest(after), smallest(before))
	c.Check(smallest(after) > smallest(before), qt.IsTrue)
	c.Check(large.servedShare() >= 0.1, qt.IsTrue)
}

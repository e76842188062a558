package balance

import (
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/internal/fleet"
)

func workEngine() *fleet.Engine {
	return &fleet.Engine{Slots: 30, Stride: 7, Chunk: 2048, StepMs: 5.95, StepMsPerRequest: 0.0445, PromptTokensPerMs: 50.7, MeanPromptTokens: 797,
		MeanOutputTokens: 210, KVCapacityTokens: 1_590_000}
}

// headQuery returns a query for a model with n heads, and their keys.
func headQuery(n int, e *fleet.Engine) (Query, []Key) {
	service := &fleet.Service{Name: "s", Engine: e}
	q := Query{View: &fleet.View{ByService: map[string][]*fleet.Replica{}}, Service: service, Model: &fleet.Model{Name: "m", TimeFactor: 1},
		PromptTokens: 1460, OutputTokens: 175, ColdShare: 1}
	var keys []Key
	for i := range n {
		r := &fleet.Replica{ID: fmt.Sprintf("i-%02d", i), Service: "s", Models: []string{"m"}, Group: &fleet.Membership{Name: "g", Epoch: int64(i), State: fleet.GroupOpen}}
		q.View.ByService["s"] = append(q.View.ByService["s"], r)
		keys = append(keys, KeyOf(r))
	}
	return q, keys
}

// Guards against work that doesn't fall with the events, and against an answer that is over because it is longer than expected.
func TestRemainingTokensFollowTheEvents(t *testing.T) {
	c := qt.New(t)
	table := NewTable(clock.NewManual(time.Hour))
	q, keys := headQuery(1, workEngine())
	ticket := table.BeginHead(table.PickHead(q), 1460)
	c.Check(table.Load(keys[0]).Measured, qt.Equals, 0)
	ticket.ExpectOutput(70, 300)
	c.Check(table.Load(keys[0]), qt.Equals, Load{Running: 1, Waiting: 1, UnreadTokens: 1460, Measured: 1, RemainingTokens: 70, HeldTokens: 1460})
	for range 4 {
		ticket.RecordEvent()
	}
	c.Check(table.Load(keys[0]), qt.Equals, Load{Running: 1, Measured: 1, RemainingTokens: 42, HeldTokens: 1488})
	for range 16 { // 140 tokens.
		ticket.RecordEvent()
	}
	c.Check(table.Load(keys[0]).RemainingTokens, qt.Equals, 35)
	for range 30 { // Beyond the maximum.
		ticket.RecordEvent()
	}
	c.Check(table.Load(keys[0]).RemainingTokens, qt.Equals, 1)
	ticket.End()
	c.Check(table.Load(keys[0]), qt.Equals, Load{})
}

// Guards against requests that count as work although they have left their target.
func TestRequestsSetAsideHoldNoTokens(t *testing.T) {
	c := qt.New(t)
	table := NewTable(clock.NewManual(time.Hour))
	q, keys := headQuery(1, workEngine())
	ticket := table.BeginHead(table.PickHead(q), 1460)
	ticket.ExpectOutput(70, 300)
	ticket.Connected(q.View.ByService["s"][0], "")
	table.clock.(*clock.Manual).Advance(time.Second)
	c.Assert(table.Strand(Way{Key: keys[0]}), qt.Equals, 1)
	c.Check(table.Load(keys[0]), qt.Equals, Load{})
	ticket.RecordEvent()
	c.Check(table.Load(keys[0]), qt.Equals, Load{Running: 1, Measured: 1, RemainingTokens: 63, HeldTokens: 1467})
}

// Load: two heads with as many requests each, all slots taken and ten waiting, that have about 20 or about 400 tokens left. Guards against
// a wait for a slot that counts both alike, and against another estimate than before for nodes of the previous version.
func TestSlotsBecomeFreeByRemainingTokens(t *testing.T) {
	c := qt.New(t)
	e := workEngine()
	full := Load{Running: 40, Waiting: 10}
	short, long := full.WithReported(40*20, 40*1500), full.WithReported(40*400, 40*1500)
	mean := FirstEvent(e, 1, full, 1460)
	c.Check(FirstEvent(e, 1, short, 1460) < mean, qt.IsTrue)
	c.Check(FirstEvent(e, 1, long, 1460) > mean, qt.IsTrue)
	usual := full.WithReported(10*210+30*105, 40*1500) // Half of the answers that are being generated is left.
	c.Check(FirstEvent(e, 1, usual, 1460), qt.Equals, mean)
	mixed := usual.Add(Load{Running: 8, Waiting: 2}) // Of nodes of the previous version.
	c.Check(math.Abs(answerTokens(e, mixed)-210) < 1e-9, qt.IsTrue)
	c.Check(FirstEvent(e, 1, Load{Running: 20}.WithReported(20*400, 0), 1460), qt.Equals, FirstEvent(e, 1, Load{Running: 20}, 1460))
}

// Load: one head whose memory is nearly full, and others that are slower to begin. Guards against a request that makes a group preempt another
// one, and against a refusal where no head has room.
func TestHeadWithoutMemoryIsPassedOver(t *testing.T) {
	c := qt.New(t)
	table := NewTable(clock.NewManual(time.Hour))
	e := workEngine()
	e.KVCapacityTokens = 50_000
	q, keys := headQuery(3, e)
	nearly := Load{Running: 2}.WithReported(200, 49_000)
	busy := Load{Running: 10, Waiting: 4, UnreadTokens: 8_000}.WithReported(1500, 15_000)
	table.SetPeerState("n", PeerState{Loads: map[Key]Load{keys[0]: nearly, keys[1]: busy, keys[2]: busy}})
	for range 50 {
		c.Assert(table.PickHead(q).Key, qt.Not(qt.Equals), keys[0])
	}
	small := q
	small.PromptTokens, small.OutputTokens = 100, 20
	c.Check(table.PickHead(small).Key, qt.Equals, keys[0])
	table.SetPeerState("n", PeerState{Loads: map[Key]Load{keys[0]: nearly, keys[1]: nearly, keys[2]: nearly}})
	c.Check(table.PickHead(q), qt.IsNotNil)
	e.KVCapacityTokens = 0 // Not stated.
	table.SetPeerState("n", PeerState{Loads: map[Key]Load{keys[0]: nearly, keys[1]: busy, keys[2]: busy}})
	c.Check(table.PickHead(q).Key, qt.Equals, keys[0])
}

// Guards against tokens of requests that nodes of the previous version don't report and that would make their targets look empty.
func TestUnreportedTokensCountAsTheMeanOfTheOthers(t *testing.T) {
	c := qt.New(t)
	own := Load{Running: 4, Measured: 4, RemainingTokens: 400, HeldTokens: 6000}
	remaining, held := own.Add(Load{Running: 4}).ReportedTokens()
	c.Check(remaining, qt.Equals, 800)
	c.Check(held, qt.Equals, 12_000)
	remaining, held = Load{Running: 4}.ReportedTokens()
	c.Check(remaining+held, qt.Equals, 0)
	c.Check(Load{Running: 4}.WithReported(0, 0), qt.Equals, Load{Running: 4})
	e := workEngine()
	e.KVCapacityTokens = 20_000
	c.Check(exceedsMemory(e, Load{Running: 20}, 100, 10), qt.IsTrue) // 20 usual requests hold 20,140 tokens.
	c.Check(exceedsMemory(e, Load{Running: 10}, 100, 10), qt.IsFalse)
}

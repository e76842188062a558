package placement

import (
	"testing"
	"time"

	"cassiadeal.example/cassiadeal/internal/fleet"
)

const (
	// fleetDomains fabric domains of fleetDomainSize replicas are about 3,000 replicas.
	fleetDomains    = 81
	fleetDomainSize = 37
)

// fleetEngine is the engine of the fleet: two models in groups of 16 and of 4 replicas, each with half of the replicas.
func fleetEngine() *fleet.Engine {
	return &fleet.Engine{Slots: 30, Stride: 7, Chunk: 2048, StepMs: 5.95, StepMsPerRequest: 0.0445, PromptTokensPerMs: 50.7, OpenTime: 300 * time.Millisecond,
		LoadsPerS: 18, LoadsAtOnce: 27, MeanPromptTokens: 797, MeanOutputTokens: 210, Models: []fleet.Model{
			{Name: "large", Size: 16, Share: 0.5, TimeFactor: 1, LoadTime: 16 * time.Second, StagedLoadTime: 1600 * time.Millisecond},
			{Name: "small", Size: 4, Share: 0.5, TimeFactor: 0.6, LoadTime: 12 * time.Second, StagedLoadTime: 1100 * time.Millisecond}}}
}

// fleetInput returns the input of a step in which the emulated replicas are as they report.
func (m *emulator) fleetInput() Input {
	return Input{Now: m.clock.Now(), Engine: m.engine, Replicas: m.entries(), Need: map[string]float64{"large": 0.5, "small": 0.5},
		BeforeFirstRequest: m.beforeFirstRequest, LoadWindow: 5 * time.Second, StallAfter: stallAfter, Lapsed: map[string]*fleet.Replica{},
		HeadActivity: m.activity, GroupActivity: m.groupActivity, Limited: func(*fleet.Replica) bool { return false }}
}

// benchmarkSteps measures steps of a plan for 3,000 replicas after the given time of an emulated start.
func benchmarkSteps(b *testing.B, after time.Duration) {
	m := newEmulator(b, fleetDomains, fleetDomainSize, fleetEngine())
	p := New(1)
	for range int(after / (100 * time.Millisecond)) {
		m.advance(100 * time.Millisecond)
		for _, o := range p.Step(m.fleetInput()) {
			p.RecordOutcome(o, m.execute(o))
		}
	}
	m.beforeFirstRequest = after < 10*time.Second
	in := m.fleetInput()
	b.Logf("%d groups", len(p.groups))
	for b.Loop() {
		in.Now = in.Now.Add(time.Microsecond)
		p.Step(in)
	}
}

// BenchmarkStepOfAServingFleet measures a step in calm.
func BenchmarkStepOfAServingFleet(b *testing.B) { benchmarkSteps(b, 40*time.Second) }

// BenchmarkStepWhileGroupsForm measures a step while most groups are being joined.
func BenchmarkStepWhileGroupsForm(b *testing.B) { benchmarkSteps(b, 1500*time.Millisecond) }

// maxFirstStep bounds the first step, in which all groups are formed. The planner holds a lease of some seconds and answers nothing meanwhile.
// The first step hadn't ended after 20 s before steps had an index, and takes 0.3 s at a load average of 30 on 7 cores since.
const maxFirstStep = 3 * time.Second

// Load: 3,000 replicas that start together, without weights. Guards against a step whose time grows with the product of groups and replicas:
// the planner then lost its lease before it had sent an order, and so did the next one.
func TestFirstStepOfALargeFleetIsShort(t *testing.T) {
	m := newEmulator(t, fleetDomains, fleetDomainSize, fleetEngine())
	p, longest := New(1), time.Duration(0)
	for range 40 {
		m.advance(100 * time.Millisecond)
		in, start := m.fleetInput(), time.Now()
		orders := p.Step(in)
		longest = max(longest, time.Since(start))
		for _, o := range orders {
			p.RecordOutcome(o, m.execute(o))
		}
	}
	t.Logf("the longest of 40 steps took %v, with %d groups", longest, len(p.groups))
	if longest > maxFirstStep {
		t.Fatalf("a step took %v", longest)
	}
	for fabric, replicas := range m.groupedByFabric(p) {
		if replicas < 32 {
			t.Errorf("%d replicas of %s are in groups, want at least 32 of %d", replicas, fabric, fleetDomainSize)
		}
	}
	m.assertNoViolations()
}

// groupedByFabric returns the number of replicas in planned groups by fabric domain.
func (m *emulator) groupedByFabric(p *Plan) map[string]int {
	n := map[string]int{}
	for _, v := range m.vms {
		n[v.fabric] += 0
	}
	for _, g := range p.groups {
		n[g.fabric] += len(g.members)
	}
	return n
}

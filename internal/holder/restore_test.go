package holder

import (
	"testing"
	"time"
)

func startSimulation(t *testing.T) *simulation {
	sim := &simulation{t: t, now: time.Hour, objects: map[string]Object{}}
	for i, name := range []string{"a", "b", "c", "d"} {
		p := sim.start(name, []string{"x", "y"}[i%2], 0)
		p.majorityContactAt, p.startedAt = sim.now, 0
		sim.nodes = append(sim.nodes, p)
	}
	return sim
}

// Guards against holders that change, or that stop sending for longer than two rounds of heartbeats, because a restore has taken the tables.
func TestHoldersStayAfterARestoreTookTheTables(t *testing.T) {
	sim := startSimulation(t)
	for range 10 {
		sim.advance(500 * time.Millisecond)
	}
	before := map[string]string{}
	for _, p := range sim.nodes {
		for id := range p.Held() {
			before[id] = p.id.Name
		}
	}
	sim.restore(len(sim.copies) + 1)
	sim.advance(500 * time.Millisecond)
	sim.advance(500 * time.Millisecond)
	held := 0
	for _, p := range sim.nodes {
		for id := range p.Held() {
			held++
			if before[id] != p.id.Name {
				t.Errorf("%s is held by %s, before the restore by %s", id, p.id.Name, before[id])
			}
		}
	}
	if held != 6 {
		t.Errorf("%d of 6 targets are held a second after the restore", held)
	}
	for range 20 {
		sim.advance(500 * time.Millisecond)
	}
	for _, p := range sim.nodes {
		for id, h := range p.Held() {
			if h.InDoubt {
				t.Errorf("%s is still in doubt at %s", id, p.id.Name)
			}
		}
	}
}

// Guards against a process that ends when a peer tells it of an entry of its own that a restore has taken before it read it.
func TestOwnLostEntryIsLearntFromAPeer(t *testing.T) {
	sim := startSimulation(t)
	p := sim.nodes[0]
	takeover := Takeover{Target: Target{ID: "t0", FailureDomain: "x"}, Entry: Entry{p.id, 5}}
	for _, peer := range []string{"b", "c", "b"} {
		p.NoteTakeovers(peer, []Takeover{takeover})
	}
	if holder, _ := p.HolderOf("t0"); holder != "a" {
		t.Errorf("t0 is held by %q, want a", holder)
	}
}

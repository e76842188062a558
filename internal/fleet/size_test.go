package fleet

import (
	"fmt"
	"testing"
	"time"

	"cassiadeal.example/cassiadeal/internal/clock"
)

const (
	sizeReplicas = 3000
	// sizeChanges is the number of entries that change between two reads of a mirror while groups form.
	sizeChanges = 150
)

func sizeEntry(i, sequence int) *Replica {
	state := GroupState([]GroupState{GroupJoining, GroupReady, GroupOpen}[sequence%3])
	return &Replica{ID: fmt.Sprintf("engine-%04d", i), Service: "engine", Address: fmt.Sprintf("10.1.%d.%d:1", i/250, i%250), Zone: "a", Slots: 30,
		StartedUnixMs: 5, Sequence: int64(sequence), Models: []string{"large"}, Staged: []string{"large"}, Fabric: fmt.Sprint(i / 37),
		Group: &Membership{Name: fmt.Sprint("g", i/16), Epoch: int64(sequence), Rank: i % 16, State: state}}
}

// BenchmarkApplyToALargeFleet measures the processing of one answer of a mirror with 3,000 replicas.
func BenchmarkApplyToALargeFleet(b *testing.B) {
	r := NewRegistry(clock.NewManual(time.Hour))
	var list []*Replica
	for i := range sizeReplicas {
		list = append(list, sizeEntry(i, 1))
	}
	r.Replace(list)
	sequence := 1
	for b.Loop() {
		sequence++
		var changes []Change
		for i := range sizeChanges {
			entry := sizeEntry((sequence*sizeChanges+i)%sizeReplicas, sequence)
			changes = append(changes, Change{ID: entry.ID, Replica: entry})
		}
		r.Apply(changes)
	}
}

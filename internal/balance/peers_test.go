package balance

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cassiadeal.example/cassiadeal/internal/clock"
)

// Guards against sums that drift from the reports they are made of: reports are replaced, expire, and name the same targets.
func TestPeerSumsEqualTheReports(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		reports, now := newPeerReports(), clock.Time(time.Hour)
		keys := []Key{"a", "b", "c"}
		for range rapid.IntRange(1, 30).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(rt, "ms")) * time.Millisecond)
			state := PeerState{Loads: map[Key]Load{}, Suspected: map[Key]bool{}, SlowFactors: map[Key]float64{}}
			for _, k := range keys {
				if rapid.Bool().Draw(rt, "has load") {
					state.Loads[k] = Load{Running: rapid.IntRange(0, 2).Draw(rt, "running"), Waiting: 1, UnreadTokens: 100}
				}
				if rapid.IntRange(0, 3).Draw(rt, "suspected") == 0 {
					state.Suspected[k] = true
				}
				if rapid.IntRange(0, 3).Draw(rt, "slow") == 0 {
					state.SlowFactors[k] = 2
				}
			}
			reports.set(fmt.Sprintf("node-%d", rapid.IntRange(0, 3).Draw(rt, "node")), state, now)
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(rt, "ms until the look-up")) * time.Millisecond)
			for _, k := range keys {
				want := peerSum{}
				var slow []string
				for node, r := range reports.byNode {
					if now.Sub(r.receivedAt) >= peerStateMaxAge {
						continue
					}
					want.load = want.load.Add(r.Loads[k])
					if r.Suspected[k] {
						want.suspects++
					}
					if r.SlowFactors[k] > 0 {
						slow = append(slow, node)
					}
					if r.SlowFactors[k] > 0 || r.Loads[k].Running > 0 {
						want.users++
					}
				}
				got := reports.sum(k, now)
				if got.load != want.load || got.suspects != want.suspects || got.users != want.users || len(got.slowFactors) != len(slow) {
					rt.Fatalf("target %s: sum %+v, want %+v with slow factors of %v", k, got, want, slices.Sorted(slices.Values(slow)))
				}
			}
		}
		now = now.Add(peerStateMaxAge)
		reports.expire(now)
		if len(reports.sums) != 0 || len(reports.arrivals) != 0 {
			rt.Fatalf("%d sums and %d arrivals are kept after all reports have expired", len(reports.sums), len(reports.arrivals))
		}
	})
}

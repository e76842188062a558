package balance

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/clock"
)

// Load: the queues at the heads are longer than predicted at the end of a peak. Guards against suspicions of heads that send events to other
// nodes: all nodes then avoid them, and the requests are sent twice.
func TestBusyTargetIsSuspectedLater(t *testing.T) {
	const expected = 100 * time.Millisecond
	gap := func(Key, Load) time.Duration { return 50 * time.Millisecond }
	for name, test := range map[string]struct {
		othersHear bool
		suspected  time.Duration // After the send.
	}{
		"silent to all":          {false, expected + minStallSilence},
		"sends events to others": {true, expected + busyStallSilence},
	} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			now := clock.NewManual(time.Hour)
			table := NewTable(now)
			table.Begin("a", 100, expected)
			for at := time.Duration(0); at < test.suspected+200*time.Millisecond; at += 10 * time.Millisecond {
				if test.othersHear {
					table.SetPeerState("n", PeerState{Loads: map[Key]Load{"a": {Running: 1}}, EventAges: map[Key]time.Duration{"a": 0}})
				}
				table.Sweep(10*time.Millisecond, gap)
				c.Assert(table.targets["a"].suspectUntil != 0, quicktest.Equals, at > test.suspected, quicktest.Commentf("after %v", at))
				now.Advance(10 * time.Millisecond)
			}
		})
	}
}

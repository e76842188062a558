package entry

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/fleet"
	"cassiadeal.example/cassiadeal/platform"
)

// Guards against requests to a replica that has said that it leaves, or has left, at a node that reads the store and at one that reads
// through it: an old check-in of the replica is carried out late. A later check-in makes the replica used again.
func TestLateCheckInBringsNoLeavingReplicaBack(t *testing.T) {
	for _, removed := range []bool{false, true} {
		t.Run(fmt.Sprintf("removed %v", removed), func(t *testing.T) {
			c := quicktest.New(t)
			store := newFakeStore()
			checkIn := func(sequence int, state string) {
				store.put(platform.KindReplicas, "i-1", map[string]any{"service": "s", "address": "127.0.0.1:1", "zone": "z", "state": state,
					"slots": 1, "born": 7, "sequence": sequence})
			}
			checkIn(5, "ready")
			nodes, _ := startZone(c, store, 2, true)
			used := func(n *Node) bool { return len(n.registry.View().ByService["s"]) == 1 }
			everywhere := func(want bool) func() bool {
				return func() bool { return used(nodes[0]) == want && used(nodes[1]) == want }
			}
			waitFor(c, 5*time.Second, everywhere(true))
			checkIn(10, "draining")
			waitFor(c, 5*time.Second, everywhere(false))
			if removed {
				store.remove(platform.KindReplicas, "i-1")
				waitFor(c, 5*time.Second, func() bool {
					return nodes[0].registry.View().Replicas["i-1"] == nil && nodes[1].registry.View().Replicas["i-1"] == nil
				})
			}
			checkIn(7, "ready")
			for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				c.Assert(everywhere(false)(), quicktest.IsTrue)
			}
			checkIn(11, "ready")
			waitFor(c, 5*time.Second, everywhere(true))
		})
	}
}

// Guards against a replica that stays without work after its entry had lapsed because it couldn't reach the store, and against requests to
// one that has left without saying so in its entry: its own answer tells which, and the entries are alike.
func TestReplicaWhoseEntryLapsedIsAskedWhetherItIsBack(t *testing.T) {
	for _, test := range []struct {
		name    string
		leaving bool
		born    int
		back    bool
	}{{"back", false, 7, true}, {"leaving", true, 7, false}, {"another start at the address", false, 8, false}} {
		t.Run(test.name, func(t *testing.T) {
			c := quicktest.New(t)
			replica := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if test.leaving {
					w.Header().Set("Server-Leaving", "1")
				}
				_, _ = fmt.Fprintf(w, `{"born":%d}`, test.born)
			}))
			defer replica.Close()
			store := newFakeStore()
			checkIn := func(sequence int) {
				store.put(platform.KindReplicas, "i-1", map[string]any{"service": "s", "address": strings.TrimPrefix(replica.URL, "http://"), "zone": "z",
					"state": "ready", "slots": 1, "born": 7, "sequence": sequence})
			}
			checkIn(5)
			nodes, _ := startZone(c, store, 2, true)
			used := func() (count int) {
				for _, n := range nodes {
					count += len(n.registry.View().ByService["s"])
				}
				return count
			}
			waitFor(c, 5*time.Second, func() bool { return used() == 2 })
			time.Sleep(fleet.ReturnGrace) // Removals count at once from then on.
			store.remove(platform.KindReplicas, "i-1")
			waitFor(c, 5*time.Second, func() bool { return used() == 0 })
			checkIn(9)
			if test.back {
				waitFor(c, 2*time.Second, func() bool { return used() == 2 })
				return
			}
			for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				c.Assert(used(), quicktest.Equals, 0)
			}
		})
	}
}

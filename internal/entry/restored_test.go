package entry

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/fleet"
	"cassiadeal.example/cassiadeal/platform"
)

// configSpec returns a configuration with one route for each name, which is also its host.
func configSpec(version int64, routes ...string) map[string]any {
	list := []any{}
	for _, name := range routes {
		list = append(list, map[string]any{"name": name, "host": name, "path_prefix": "/", "service": "s", "public": true})
	}
	return map[string]any{"version": version, "routes": list, "services": []any{map[string]any{"name": "s"}}}
}

func (n *Node) configVersion() int64 {
	if cfg := n.registry.View().Config; cfg != nil {
		return cfg.Version
	}
	return 0
}

// Guards against a node that is deaf after the store has come back from an older copy, until the store's revisions have passed those
// that it had read before: changes of the configuration weren't in force, and replicas that had left were sent requests.
func TestNodesFollowAStoreThatCameBackOlder(t *testing.T) {
	c := quicktest.New(t)
	store := newFakeStore()
	store.put(platform.KindConfig, platform.ConfigName, configSpec(1))
	nodes, _ := startZone(c, store, 3, true)
	inForce := func(version int64) func() bool {
		return func() bool {
			for _, n := range nodes {
				if n.configVersion() != version {
					return false
				}
			}
			return true
		}
	}
	waitFor(c, 5*time.Second, inForce(1))
	older := store.copy()
	for i := range 20 {
		store.put("other", fmt.Sprint(i), struct{}{})
	}
	store.put(platform.KindConfig, platform.ConfigName, configSpec(2))
	waitFor(c, nodes[0].settings.Bounds.ConfigApply, inForce(2))
	store.goAway()
	store.restore(older)
	store.put(platform.KindConfig, platform.ConfigName, configSpec(3))
	waitFor(c, nodes[0].settings.Bounds.ConfigApply, inForce(3))
}

// Guards against a watch from a revision that the store has given out again after it came back from an older copy: the node kept what
// the store no longer has, and missed what was written below that revision.
func TestWatchFromARevisionOfAFormerEraIsNotUsed(t *testing.T) {
	c := quicktest.New(t)
	store := newFakeStore()
	store.put(platform.KindConfig, platform.ConfigName, configSpec(1))
	nodes, _ := startZone(c, store, 1, true)
	waitFor(c, 5*time.Second, func() bool { return nodes[0].configVersion() == 1 })
	older := store.copy()
	store.put("other", "a", struct{}{})
	time.Sleep(nodes[0].settings.Bounds.ConfigApply) // The node watches from a later revision than that of the copy.
	store.goAway()
	older.revision++
	spec, err := json.Marshal(configSpec(2))
	c.Assert(err, quicktest.IsNil)
	o := wireObject{wireMetadata{platform.ConfigName, older.revision}, spec}
	older.objects = map[string]map[string]wireObject{platform.KindConfig: {platform.ConfigName: o}}
	older.events = append(older.events[:len(older.events):len(older.events)], storeEvent{platform.KindConfig, o, false})
	older.revision += 1000 // The store has passed the node's position again.
	store.restore(older)
	waitFor(c, nodes[0].settings.Bounds.ConfigApply, func() bool { return nodes[0].configVersion() == 2 })
}

// Guards against nodes that send to an evacuated failure domain, or to a replica that drains, after the store has come back from a copy
// that is older than the evacuation or the drain.
func TestNodesKeepWhatAnOlderCopyLacks(t *testing.T) {
	c := quicktest.New(t)
	store := newFakeStore()
	replica := func(state string) map[string]any {
		return map[string]any{"service": "s", "address": "127.0.0.1:1", "zone": "z", "state": state, "slots": 1, "born": 7, "sequence": 1}
	}
	store.put(platform.KindReplicas, "i-1", replica("ready"))
	store.put(platform.KindReplicas, "i-2", replica("ready"))
	nodes, _ := startZone(c, store, 2, true)
	all := func(condition func(*fleet.View) bool) func() bool {
		return func() bool {
			return !slices.ContainsFunc(nodes, func(n *Node) bool { return !condition(n.registry.View()) })
		}
	}
	waitFor(c, 5*time.Second, all(func(v *fleet.View) bool { return len(v.ByService["s"]) == 2 }))
	older := store.copy()
	store.put(platform.KindReplicas, "i-2", replica("draining"))
	store.put(platform.KindEvacuations, "zone-b", struct{}{})
	waitFor(c, 5*time.Second, all(func(v *fleet.View) bool { return v.Evacuated["zone-b"] && len(v.ByService["s"]) == 1 }))
	store.goAway()
	store.restore(older)
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, n := range nodes {
			v := n.registry.View()
			c.Assert(v.Evacuated["zone-b"], quicktest.IsTrue)
			c.Assert(v.ByService["s"], quicktest.HasLen, 1)
		}
	}
	c.Assert(nodes[0].store.Era(), quicktest.Equals, int64(2))
	store.put(platform.KindEvacuations, "zone-b", struct{}{})
	time.Sleep(nodes[0].settings.Bounds.ConfigApply)
	c.Assert(all(func(v *fleet.View) bool { return v.Evacuated["zone-b"] })(), quicktest.IsTrue)
	store.remove(platform.KindEvacuations, "zone-b")
	waitFor(c, nodes[0].settings.Bounds.ConfigApply, all(func(v *fleet.View) bool { return !v.Evacuated["zone-b"] }))
}

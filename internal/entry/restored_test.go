package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/crash"
	"cassiadeal.example/cassiadeal/internal/fleet"
	"cassiadeal.example/cassiadeal/internal/schema"
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

// answerStatus returns the status of the answer to a request for the host, which is sent to a node's front end.
func answerStatus(n *Node, host string) int {
	r := httptest.NewRequest(http.MethodGet, "http://"+host+"/", nil)
	w := httptest.NewRecorder()
	n.edge.ServeHTTP(w, r)
	return w.Code
}

// Guards against a node that starts after the store has come back from an older copy and serves by the configuration of that copy, though
// other nodes know a newer one.
func TestNodeThatStartsTakesTheNewestConfigurationOfOthers(t *testing.T) {
	c := quicktest.New(t)
	store := newFakeStore()
	store.put(platform.KindConfig, platform.ConfigName, configSpec(1, "a", "withdrawn"))
	zone := newZone(c, store)
	old, _ := zone.start(true)
	waitFor(c, 5*time.Second, func() bool { return old.configVersion() == 1 && len(store.list(nodesKind)) == 1 })
	older := store.copy()
	store.put(platform.KindConfig, platform.ConfigName, configSpec(2, "a", "added"))
	waitFor(c, old.settings.Bounds.ConfigApply, func() bool { return old.configVersion() == 2 })
	store.goAway()
	store.restore(older)
	waitFor(c, 5*time.Second, func() bool { return old.storeEra.age() > 0 && old.store.Era() == 2 })

	started, _ := zone.start(false)
	waitFor(c, discoveryTime, func() bool { return started.configVersion() == 2 })
	for _, n := range []*Node{old, started} {
		c.Check(answerStatus(n, "withdrawn"), quicktest.Not(quicktest.Equals), http.StatusOK)
		c.Check(answerStatus(n, "added"), quicktest.Equals, http.StatusServiceUnavailable) // There is no replica.
	}
}

// Guards against a node that serves by an old configuration for seconds, because the store turns it away while it answers other nodes.
func TestNodeThatTheStoreTurnsAwayTakesTheConfigurationOfOthers(t *testing.T) {
	c := quicktest.New(t)
	store := newFakeStore()
	store.put(platform.KindConfig, platform.ConfigName, configSpec(1, "a"))
	var turnedAway atomic.Bool
	gate := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if turnedAway.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		store.ServeHTTP(w, r)
	}))
	c.Cleanup(gate.Close)
	zone := newZone(c, store)
	reader, _ := zone.start(true)
	zone.name, zone.store = "other", strings.TrimPrefix(gate.URL, "http://")
	behind, _ := zone.start(true)
	waitFor(c, 10*time.Second, func() bool { return behind.configVersion() == 1 && len(behind.mesh.Alive()) == 1 })
	turnedAway.Store(true)
	gate.CloseClientConnections()
	store.put(platform.KindConfig, platform.ConfigName, configSpec(2, "a"))
	waitFor(c, reader.settings.Bounds.ConfigApply, func() bool { return reader.configVersion() == 2 })
	waitFor(c, behind.settings.Bounds.ConfigApply, func() bool { return behind.configVersion() == 2 })
}

// Guards against a node that puts an older configuration of the store into force though it knows, when it has read it, that another node
// has a newer one.
func TestOlderConfigurationIsNotInForceFirst(t *testing.T) {
	c := quicktest.New(t)
	n := newNode(c, testSettings)
	n.newest.notePeer(2, n.clock.Now())
	go func() {
		time.Sleep(peerConfigWait / 2)
		n.registry.SetConfig(&fleet.Config{Version: 2}) // Read from the other node.
	}()
	spec, err := json.Marshal(configSpec(1))
	c.Assert(err, quicktest.IsNil)
	applied := make(chan struct{})
	go func() {
		defer close(applied)
		n.applyConfig([]platform.Object{{Name: platform.ConfigName, Revision: 1, Spec: spec}})
	}()
	waitFor(c, 2*peerConfigWait, func() bool {
		c.Assert(n.configVersion(), quicktest.Not(quicktest.Equals), int64(1))
		return n.configVersion() == 2
	})
	<-applied
}

// Guards against 404 and 401 from a node that can't know that its configuration is the newest: the store has just come back from an older
// copy, or the node has started and can't know how long ago that was.
func TestUnknownRoutesAreRefusedTemporarilyWhileTheConfigurationMayBeOlder(t *testing.T) {
	c := quicktest.New(t)
	store := newFakeStore()
	store.put(platform.KindConfig, platform.ConfigName, configSpec(1, "a"))
	zone := newZone(c, store)
	n, stop := zone.start(true)
	waitFor(c, 5*time.Second, func() bool { return n.ready() && len(store.list(nodesKind)) == 1 })
	c.Check(answerStatus(n, "unknown"), quicktest.Equals, http.StatusNotFound)

	store.goAway()
	store.restore(store.copy())
	waitFor(c, 5*time.Second, func() bool { return n.store.Era() == 2 })
	restored := time.Now()
	c.Check(answerStatus(n, "unknown"), quicktest.Equals, http.StatusServiceUnavailable)
	waitFor(c, 2*configRewriteTime, func() bool { return answerStatus(n, "unknown") == http.StatusNotFound })
	c.Check(time.Since(restored) > configRewriteTime-time.Second, quicktest.IsTrue)

	// In calm, a node that starts learns from another one that the store has been back for long.
	second, stopSecond := zone.start(false)
	waitFor(c, 2*time.Second, func() bool { return second.ready() && answerStatus(second, "unknown") == http.StatusNotFound })

	// No node is left that can tell.
	stop()
	stopSecond()
	time.Sleep(n.settings.Bounds.Grace / 2)
	alone, _ := newZone(c, store).start(false)
	waitFor(c, 5*time.Second, alone.ready)
	started := time.Now()
	c.Check(answerStatus(alone, "unknown"), quicktest.Equals, http.StatusServiceUnavailable)
	waitFor(c, 2*configRewriteTime, func() bool { return answerStatus(alone, "unknown") == http.StatusNotFound })
	c.Check(time.Since(started) > configRewriteTime-time.Second, quicktest.IsTrue)
}

// Guards against 404 from a node whose calls for the configuration fail while others are answered, and from one that knows that another
// node has a newer configuration.
func TestUnknownRoutesAreRefusedTemporarilyByANodeThatIsBehind(t *testing.T) {
	c := quicktest.New(t)
	n := newNode(c, testSettings)
	cfg := &fleet.Config{Version: 3, Services: map[string]*fleet.Service{}}
	n.registry.SetConfig(cfg)
	n.learnEra(1)
	n.storeEra.settle()
	read := func(ago time.Duration) { n.newest.readAt.Store(int64(n.clock.Now().Add(-ago))) }
	read(0)
	c.Assert(answerStatus(n, "unknown"), quicktest.Equals, http.StatusNotFound)
	read(2 * time.Second)
	n.recordStoreAnswer(true) // To another follower.
	c.Assert(answerStatus(n, "unknown"), quicktest.Equals, http.StatusServiceUnavailable)
	read(0)
	n.applyPeerGossip(&schema.NodeGossip{Node: "b", Incarnation: 1, Zone: "z", StoreContactMs: -1, ConfigVersion: 4})
	c.Assert(answerStatus(n, "unknown"), quicktest.Equals, http.StatusServiceUnavailable)
	n.registry.SetConfig(&fleet.Config{Version: 4, Services: map[string]*fleet.Service{}})
	c.Assert(answerStatus(n, "unknown"), quicktest.Equals, http.StatusNotFound)
}

// Guards against nodes that start later and don't find the others, or send requests that crash replicas, because the store has come back
// from a copy that is older than the nodes' records.
func TestNodesWriteTheirRecordsAgain(t *testing.T) {
	c := quicktest.New(t)
	store := newFakeStore()
	empty := store.copy()
	nodes, _ := startZone(c, store, 2, true)
	nodes[0].crashes.Record(crash.Crash{Request: crash.Request{Fingerprint: "f"}, Target: "1"})
	nodes[0].crashes.Record(crash.Crash{Request: crash.Request{Fingerprint: "f"}, Target: "2"})
	nodes[0].announceBlocked()
	written := func() bool {
		records := store.list(nodesKind)
		return len(records) == 2 && strings.Contains(string(records[0].Spec), "crashed_unix_ms")
	}
	waitFor(c, 5*time.Second, written)
	for range 2 {
		store.goAway()
		store.restore(empty)
		waitFor(c, 5*time.Second, written)
	}
}

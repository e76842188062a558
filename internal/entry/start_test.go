package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/platform"
)

// recordStore holds objects by kind and name, and answers watches when an object is created.
type recordStore struct {
	mu       sync.Mutex
	revision int64
	objects  map[string][]map[string]any // By kind, in order of revision.
	changed  chan struct{}
}

func (s *recordStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind := strings.Split(strings.TrimPrefix(r.URL.Path, "/cassiadeal/objects/"), "/")[0]
	if _, name, single := strings.Cut(strings.TrimPrefix(r.URL.Path, "/cassiadeal/objects/"), "/"); single {
		s.serveObject(w, r, kind, name)
		return
	}
	if r.Method == http.MethodPost {
		var o map[string]any
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.create(kind, o)
		_ = json.NewEncoder(w).Encode(o)
		return
	}
	watch, err := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	if err != nil {
		items, revision, _ := s.since(kind, 0)
		_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "store_revision": revision})
		return
	}
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := true; waiting; {
		items, revision, changed := s.since(kind, watch)
		if len(items) > 0 {
			var events []any
			for _, o := range items {
				events = append(events, map[string]any{"object": o})
			}
			_ = json.NewEncoder(w).Encode(map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-end:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"store_revision": watch})
}

// serveObject answers a read, or an update under the condition of a revision, of one object.
func (s *recordStore) serveObject(w http.ResponseWriter, r *http.Request, kind, name string) {
	items, _, _ := s.since(kind, 0)
	i := slices.IndexFunc(items, func(o map[string]any) bool { return o["metadata"].(map[string]any)["name"] == name })
	if i < 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if r.Method == http.MethodPut {
		var o map[string]any
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if o["metadata"].(map[string]any)["revision"] != float64(items[i]["metadata"].(map[string]any)["revision"].(int64)) {
			w.WriteHeader(http.StatusConflict)
			return
		}
		s.remove(kind, name)
		s.create(kind, o)
		items[i] = o
	}
	_ = json.NewEncoder(w).Encode(items[i])
}

func (s *recordStore) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects[kind] = slices.DeleteFunc(slices.Clone(s.objects[kind]), func(o map[string]any) bool { return o["metadata"].(map[string]any)["name"] == name })
}

func (s *recordStore) create(kind string, o map[string]any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	o["metadata"].(map[string]any)["revision"] = s.revision
	s.objects[kind] = append(s.objects[kind], o)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *recordStore) since(kind string, revision int64) ([]map[string]any, int64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []map[string]any{}
	for _, o := range s.objects[kind] {
		if o["metadata"].(map[string]any)["revision"].(int64) > revision {
			items = append(items, o)
		}
	}
	return items, s.revision, s.changed
}

// startZone starts nodes of one failure domain in this process, for the first time if firstRun is true. Each has an address of its
// own.
func startZone(c *quicktest.C, store *recordStore, count int, firstRun bool) (nodes []*Node, stop []context.CancelFunc) {
	server := httptest.NewServer(store)
	c.Cleanup(server.Close)
	probe, err := net.Listen("tcp", "127.0.90.1:0")
	c.Assert(err, quicktest.IsNil)
	port := probe.Addr().(*net.TCPAddr).Port
	c.Assert(probe.Close(), quicktest.IsNil)
	var running sync.WaitGroup
	c.Cleanup(running.Wait)
	for i := range count {
		ip := fmt.Sprintf("127.0.90.%d", i+1)
		text := strings.NewReplacer("10.200.1.7:8223", strings.TrimPrefix(server.URL, "http://"), `"node_name":"n"`, fmt.Sprintf(`"bootstrap":%v,"node_name":"n%d"`, firstRun, i),
			"127.0.0.1:0", ip+":0", `"ip":"127.0.0.1"`, fmt.Sprintf(`"ip":%q`, ip), `[0,9]`, fmt.Sprintf("[%d,%d]", port, port+9)).Replace(testSettings)
		n := newNode(c, text)
		ctx, cancel := context.WithCancel(context.Background())
		c.Cleanup(cancel)
		running.Go(func() { c.Check(n.Run(ctx), quicktest.IsNil) })
		nodes, stop = append(nodes, n), append(stop, cancel)
	}
	return nodes, stop
}

// readers returns the nodes that have read a kind from the store itself since the last call.
func readers(nodes []*Node, kind string) (names []string) {
	for _, n := range nodes {
		if n.storeCalls.summary()["GET "+kind] > 0 {
			names = append(names, n.settings.Node)
		}
	}
	return names
}

// Pattern: all nodes of a failure domain start at once, and later lose their mirror at once. Guards against calls to the store in
// proportion to the number of nodes: with 295 nodes, each made 24 around the start, and these were the dearest price of the day.
func TestOneNodeReadsTheStoreForItsFailureDomain(t *testing.T) {
	c := quicktest.New(t)
	store := &recordStore{objects: map[string][]map[string]any{}, changed: make(chan struct{})}
	nodes, stop := startZone(c, store, 6, true)
	allListed := func() bool {
		for _, n := range nodes {
			if !n.replicasListed.Load() {
				return false
			}
		}
		return true
	}
	waitFor(c, 3*time.Second, allListed)
	c.Check(readers(nodes, platform.KindReplicas), quicktest.DeepEquals, []string{"n0"})

	stop[0]()
	time.Sleep(200 * time.Millisecond) // The others learn that the node drains.
	store.create(platform.KindEvacuations, map[string]any{"metadata": map[string]any{"name": "zone-b"}, "spec": map[string]any{}})
	waitFor(c, nodes[0].settings.Bounds.ConfigApply, func() bool {
		for _, n := range nodes[1:] {
			if !n.registry.View().Evacuated["zone-b"] {
				return false
			}
		}
		return true
	})
	time.Sleep(nodes[0].settings.Bounds.Drain) // Every watch that was waiting has ended.
	c.Check(readers(nodes[1:], platform.KindReplicas), quicktest.DeepEquals, []string{"n1"})
}

func waitFor(c *quicktest.C, limit time.Duration, condition func() bool) {
	c.Helper()
	for end := time.Now().Add(limit); !condition(); time.Sleep(5 * time.Millisecond) {
		c.Assert(time.Now().Before(end), quicktest.IsTrue, quicktest.Commentf("not within %v", limit))
	}
}

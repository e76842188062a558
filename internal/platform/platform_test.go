package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/schema"
)

// store is a minimal object API. beforeServe may answer a request itself and then returns true; afterWrite may drop the reply
// of a completed write. Both get the number of writes received so far.
type store struct {
	mu          sync.Mutex
	version     uint64
	objects     map[string]Object
	writes      int
	beforeServe func(n int, w http.ResponseWriter, r *http.Request) bool
	afterWrite  func(n int, r *http.Request)
}

func dropConnection() { panic(http.ErrAbortHandler) }

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method != http.MethodGet {
		s.writes++
	}
	if s.beforeServe != nil && s.beforeServe(s.writes, w, r) {
		return
	}
	status := s.serve(w, r)
	if r.Method != http.MethodGet && s.afterWrite != nil {
		s.afterWrite(s.writes, r)
	}
	w.WriteHeader(status)
	if object, ok := s.objects[r.URL.Path]; ok && r.Method == http.MethodGet {
		_, _ = w.Write(object.Data)
	}
}

func (s *store) serve(w http.ResponseWriter, r *http.Request) int {
	object, exists := s.objects[r.URL.Path]
	conditionMatches := r.Header.Get("If-Match") == strconv.FormatUint(object.Version, 10) || r.Header.Get("If-None-Match") == "*"
	switch {
	case r.Method == http.MethodGet && !exists:
		return http.StatusNotFound
	case r.Method == http.MethodGet:
	case !conditionMatches || exists == (r.Header.Get("If-None-Match") == "*"):
		return http.StatusPreconditionFailed
	case r.Method == http.MethodDelete:
		delete(s.objects, r.URL.Path)
		return http.StatusNoContent
	default:
		data, _ := io.ReadAll(r.Body)
		s.set(r.URL.Path, data)
	}
	w.Header().Set("X-Object-Version", strconv.FormatUint(s.objects[r.URL.Path].Version, 10))
	return http.StatusOK
}

func (s *store) set(path string, data []byte) {
	s.version++
	s.objects[path] = Object{Version: s.version, Data: data}
}

func startClient(t *testing.T, h http.Handler) *Client {
	server := httptest.NewServer(h)
	client := New(Options{BaseURL: server.URL, Client: "node-a", Timeout: 200 * time.Millisecond})
	t.Cleanup(func() { client.Close(); server.CloseClientConnections(); server.Close() })
	return client
}

const objectURLPath = "/v1/objects/claims/k"

// Guards against a wrong outcome reported for a write whose reply was lost or inconclusive.
func TestLostReplies(t *testing.T) {
	ctx := context.Background()
	respondUnavailable := func(w http.ResponseWriter) bool { w.WriteHeader(http.StatusServiceUnavailable); return true }
	dropFirstPuts := func(count int) func(int, http.ResponseWriter, *http.Request) bool {
		return func(n int, _ http.ResponseWriter, r *http.Request) bool {
			if r.Method == http.MethodPut && n <= count {
				dropConnection()
			}
			return false
		}
	}
	lostReply := func(s *store) { s.afterWrite = func(int, *http.Request) { dropConnection() } }
	tests := []struct {
		name    string
		prepare func(s *store)
		update  bool
		want    error
		writes  int
	}{
		{name: "plain create", writes: 1},
		{name: "plain update", update: true, writes: 1},
		{name: "create took effect, reply lost", prepare: lostReply, writes: 1},
		{name: "update took effect, reply lost", update: true, prepare: lostReply, writes: 1},
		{name: "request lost, second copy succeeds", update: true, writes: 2, prepare: func(s *store) { s.beforeServe = dropFirstPuts(1) }},
		{name: "both copies lost", want: ErrOutcomeUnknown, writes: 2, prepare: func(s *store) { s.beforeServe = dropFirstPuts(2) }},
		{name: "first copy takes effect after the read-back", writes: 2, prepare: func(s *store) {
			var delayedBody []byte
			s.beforeServe = func(n int, _ http.ResponseWriter, r *http.Request) bool {
				if r.Method == http.MethodPut && n == 1 {
					delayedBody, _ = io.ReadAll(r.Body)
					dropConnection()
				}
				if r.Method == http.MethodPut {
					s.set(objectURLPath, delayedBody)
				}
				return false
			}
		}},
		{name: "read-back fails", want: ErrOutcomeUnknown, writes: 2, prepare: func(s *store) {
			s.beforeServe = func(n int, w http.ResponseWriter, r *http.Request) bool {
				return dropFirstPuts(1)(n, w, r) || respondUnavailable(w)
			}
		}},
		{name: "overwritten by another write", update: true, want: ErrConflict, writes: 1, prepare: func(s *store) {
			s.afterWrite = func(int, *http.Request) { s.set(objectURLPath, []byte(`{"nonce":"other"}`)); dropConnection() }
		}},
		{name: "exists", want: ErrConflict, writes: 1, prepare: func(s *store) { s.set(objectURLPath, []byte(`{"nonce":"other"}`)) }},
		{name: "conflict with an earlier copy of the same write", writes: 1,
			prepare: func(s *store) { s.set(objectURLPath, []byte(` { "nonce": "mine" }`)) }},
		{name: "outage", want: ErrUnavailable, writes: 1, prepare: func(s *store) {
			s.beforeServe = func(_ int, w http.ResponseWriter, _ *http.Request) bool { return respondUnavailable(w) }
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := &store{objects: map[string]Object{}}
			if test.update {
				s.set(objectURLPath, []byte(`{"nonce":"old"}`))
			}
			if test.prepare != nil {
				test.prepare(s)
			}
			client := startClient(t, s)
			version, err := uint64(0), error(nil)
			if test.update {
				version, err = client.Update(ctx, "claims", "k", 1, []byte(`{"nonce":"mine"}`))
			} else {
				version, err = client.Create(ctx, "claims", "k", []byte(`{"nonce":"mine"}`))
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			c.Assert(s.writes, qt.Equals, test.writes)
			if test.want != nil {
				c.Assert(err, qt.ErrorIs, test.want)
				return
			}
			c.Assert(err, qt.IsNil)
			c.Assert(version, qt.Equals, s.objects[objectURLPath].Version)
		})
	}
}

// Guards against an HTTP transport that resends a write by itself when a reused connection breaks.
func TestTransportDoesNotReplayWrites(t *testing.T) {
	c := qt.New(t)
	s := &store{objects: map[string]Object{}}
	client := startClient(t, s)
	ctx := context.Background()
	_, err := client.Create(ctx, "claims", "k", []byte(`{"nonce":"a"}`)) // Leaves an idle connection that the next call reuses.
	c.Assert(err, qt.IsNil)
	received := 0
	s.beforeServe = func(_ int, _ http.ResponseWriter, r *http.Request) bool {
		if r.Method != http.MethodGet {
			received++
			dropConnection()
		}
		return false
	}
	c.Assert(client.Delete(ctx, "claims", "k", 1), qt.ErrorIs, ErrOutcomeUnknown)
	c.Assert(received, qt.Equals, 1)
	_, err = client.putOnce(ctx, write{"claims", "k", 1, []byte(`{"nonce":"b"}`)})
	c.Assert(err, qt.ErrorIs, ErrOutcomeUnknown)
	c.Assert(received, qt.Equals, 2)
}

// Guards against a refused connection being reported as a write of unknown outcome.
func TestNotSent(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	address := listener.Addr().String()
	c.Assert(listener.Close(), qt.IsNil)
	client := New(Options{BaseURL: "http://" + address, Timeout: time.Second})
	_, err = client.Create(context.Background(), "claims", "k", []byte(`{}`))
	c.Assert(err, qt.ErrorIs, ErrUnavailable)
	c.Assert(err, qt.Not(qt.ErrorIs), ErrOutcomeUnknown)
}

// Guards against a call that waits without end on a connection that no longer delivers data.
func TestSilentConnection(t *testing.T) {
	c := qt.New(t)
	release := make(chan struct{})
	defer close(release)
	var firstCall sync.Once
	client := startClient(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		blocked := false
		firstCall.Do(func() { blocked = true })
		if blocked {
			<-release
		}
		_, _ = fmt.Fprint(w, `{"version":3,"vms":[{"name":"vm-1","state":"VM_STATE_LEAVING"}]}`)
	}))
	_, _, err := client.VMs(context.Background())
	c.Assert(err, qt.ErrorIs, ErrUnavailable)
	vms, version, err := client.VMs(context.Background())
	c.Assert(err, qt.IsNil)
	c.Assert(version, qt.Equals, uint64(3))
	c.Assert(vms[0].State, qt.Equals, schema.VMState_VM_STATE_LEAVING)
	c.Assert(client.Stats(), qt.DeepEquals, map[CallKey]uint64{{"vms", "list", "timeout"}: 1, {"vms", "list", "200"}: 1})
}

// Guards against lost events, and against status 410 being reported as an outage.
func TestListAndWatch(t *testing.T) {
	c := qt.New(t)
	client := startClient(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		items := []map[string]any{{"name": "a", "version": 4, "data": map[string]string{"name": "a"}},
			{"name": "b", "version": 5, "deleted": true}}
		switch {
		case r.URL.Query().Get("since") == "1":
			w.WriteHeader(http.StatusGone)
		case r.URL.Query().Get("watch") == "1":
			_ = json.NewEncoder(w).Encode(map[string]any{"version": 9, "events": items})
		default:
			_ = json.NewEncoder(w).Encode(map[string]any{"version": 8, "items": items[:1]})
		}
	}))
	ctx := context.Background()
	objects, version, err := client.List(ctx, "nodes")
	c.Assert(err, qt.IsNil)
	c.Assert(version, qt.Equals, uint64(8))
	var node schema.Node
	c.Assert(Decode(objects[0].Data, &node), qt.IsNil)
	c.Assert(node.Name, qt.Equals, "a")
	events, next, err := client.Watch(ctx, "nodes", version, time.Second)
	c.Assert(err, qt.IsNil)
	c.Assert(next, qt.Equals, uint64(9))
	c.Assert(events, qt.HasLen, 2)
	c.Assert(events[1].Deleted, qt.IsTrue)
	_, _, err = client.Watch(ctx, "nodes", 1, time.Second)
	c.Assert(err, qt.ErrorIs, ErrTooOld)
}

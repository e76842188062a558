package untrusted

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxWatchWait bounds the wait of a watch.
const maxWatchWait = 30 * time.Second

// store stands in for the platform's store: it keeps objects and their history in memory.
type store struct {
	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]object // By kind and name.
	events   []event
	changed  chan struct{} // Closed and replaced at each change.
	away     bool          // Calls are answered with 503.
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
}

type metadata struct {
	Name     string `json:"name"`
	Revision int64  `json:"revision"`
}

type event struct {
	kind     string
	revision int64
	Object   object `json:"object"`
	Deleted  bool   `json:"deleted"`
}

func newStore() *store {
	return &store{revision: 1, objects: map[string]map[string]object{}, changed: make(chan struct{})}
}

// put writes an object without a condition.
func (s *store) put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err) // Specs of tests can be encoded.
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putLocked(kind, name, data)
}

func (s *store) putLocked(kind, name string, spec json.RawMessage) object {
	s.revision++
	o := object{metadata{name, s.revision}, spec}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][name] = o
	s.events = append(s.events, event{kind: kind, revision: s.revision, Object: o})
	close(s.changed)
	s.changed = make(chan struct{})
	return o
}

// setAway makes the store refuse all calls, or serve them again.
func (s *store) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
}

func (s *store) isAway() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.away
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.isAway() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	path, found := strings.CutPrefix(r.URL.Path, "/cassiadeal/objects/")
	kind, name, _ := strings.Cut(path, "/")
	switch {
	case !found:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind)
	default:
		s.single(w, r, kind, name)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // A caller that has left gets no answer.
}

func (s *store) list(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	items, revision := []object{}, s.revision
	for _, o := range s.objects[kind] {
		items = append(items, o)
	}
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "store_revision": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, fromErr := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, waitErr := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	if fromErr != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.After(min(time.Duration(wait)*time.Millisecond, maxWatchWait))
	for expired := false; ; {
		events, revision, changed := s.eventsAfter(kind, from)
		if len(events) > 0 || expired {
			reply(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) eventsAfter(kind string, from int64) (events []event, revision int64, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events = []event{}
	for _, e := range s.events {
		if e.kind == kind && e.revision > from {
			events = append(events, e)
		}
	}
	return events, s.revision, s.changed
}

// single answers calls that concern one object.
func (s *store) single(w http.ResponseWriter, r *http.Request, kind, name string) {
	var in object
	if r.Method == http.MethodPost || r.Method == http.MethodPut {
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	if r.Method == http.MethodPost {
		name = in.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, known := s.objects[kind][name]
	switch expected := in.Metadata.Revision; {
	case r.Method == http.MethodPost && known, r.Method == http.MethodPut && known && expected != 0 && expected != o.Metadata.Revision:
		reply(w, http.StatusConflict, o)
	case r.Method == http.MethodPost, r.Method == http.MethodPut && known:
		reply(w, http.StatusOK, s.putLocked(kind, name, in.Spec))
	case !known:
		w.WriteHeader(http.StatusNotFound)
	default:
		reply(w, http.StatusOK, o)
	}
}

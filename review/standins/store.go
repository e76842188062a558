package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// metadata describes an object of the store.
type metadata struct {
	Name       string   `json:"name"`
	Revision   int64    `json:"revision"`
	Created    int64    `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

// object is an object of the store.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type event struct {
	kind     string
	revision int64
	Object   object `json:"object"`
	Deleted  bool   `json:"deleted"`
}

// store stands in for the metadata store of the platform. It keeps its whole history.
type store struct {
	record *record

	mu       sync.Mutex
	revision int64
	kinds    map[string]map[string]object
	events   []event
	changed  chan struct{} // Closed and replaced at each change.
}

func newStore(r *record) *store {
	return &store{record: r, revision: 100, kinds: map[string]map[string]object{}, changed: make(chan struct{})}
}

// serve answers calls at an address until the returned function is called.
func (s *store) serve(address string) (stop func(), err error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: s}
	go func() { _ = server.Serve(listener) }() // Ends with Close.
	return func() { _ = server.Close() }, nil
}

// put writes an object without a condition and returns its revision.
func (s *store) put(kind, name string, spec any) int64 {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.putLocked(kind, name, data).Metadata.Revision
}

func (s *store) putLocked(kind, name string, spec json.RawMessage) object {
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]object{}
	}
	old, known := s.kinds[kind][name]
	if known && string(old.Spec) == string(spec) {
		return old // A write that changes nothing is no event.
	}
	s.revision++
	o := object{Metadata: metadata{Name: name, Revision: s.revision, Created: old.Metadata.Created, Finalizers: []string{}}, Spec: spec, Status: old.Status}
	if !known {
		o.Metadata.Created = s.revision
	}
	s.kinds[kind][name] = o
	s.notifyLocked(event{kind: kind, revision: s.revision, Object: o})
	return o
}

// removeLocked removes an object. The lock is held.
func (s *store) removeLocked(kind, name string) {
	o, known := s.kinds[kind][name]
	if !known {
		return
	}
	s.revision++
	delete(s.kinds[kind], name)
	s.notifyLocked(event{kind: kind, revision: s.revision, Object: o, Deleted: true})
}

func (s *store) notifyLocked(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path, ok := strings.CutPrefix(r.URL.Path, wire.PathObjects)
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kind, name, _ := strings.Cut(path, "/")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	switch {
	case r.Method == http.MethodGet && name == "" && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind, r.URL.Query().Get("after"))
	default:
		s.single(w, r, kind, name, body)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // A caller that has left gets no answer.
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	items := []object{}
	for _, o := range s.kinds[kind] {
		if o.Metadata.Name > after {
			items = append(items, o)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "store_revision": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, err1 := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	waitMs, err2 := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	if err1 != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(min(waitMs, 30_000)) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events, revision, changed := []event{}, s.revision, s.changed
		for _, e := range s.events {
			if e.kind == kind && e.revision > from {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		expired := false
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-timer.C:
				expired = true
			}
		}
		if len(events) > 0 || expired {
			reply(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
	}
}

// single answers calls that concern one object.
func (s *store) single(w http.ResponseWriter, r *http.Request, kind, name string, body []byte) {
	var in object
	if r.Method == http.MethodPost || r.Method == http.MethodPut {
		if json.Unmarshal(body, &in) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	if r.Method == http.MethodPost {
		name = in.Metadata.Name
	}
	expected := in.Metadata.Revision
	if v := r.URL.Query().Get("revision"); v != "" {
		expected, _ = strconv.ParseInt(v, 10, 64) // An unreadable one is 0, which is no condition.
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, known := s.kinds[kind][name]
	switch {
	case r.Method == http.MethodPost && known, r.Method != http.MethodPost && known && expected != 0 && expected != o.Metadata.Revision:
		reply(w, http.StatusConflict, o)
	case r.Method != http.MethodPost && !known:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodGet:
		reply(w, http.StatusOK, o)
	case r.Method == http.MethodDelete:
		s.removeLocked(kind, name)
		reply(w, http.StatusOK, o)
	case r.Method == http.MethodPost, r.Method == http.MethodPut:
		reply(w, http.StatusOK, s.putLocked(kind, name, in.Spec))
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

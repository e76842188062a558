package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

type object map[string]any

// store is a stand-in of the platform's store, as PROTOCOL.md describes it. It loses and delays nothing.
type store struct {
	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]object // By kind and name.
	events   []event
	changed  chan struct{}
	listener net.Listener
}

type event struct {
	kind     string
	revision int64
	object   object
	deleted  bool
}

func newStore(address string) (*store, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{revision: 100, objects: map[string]map[string]object{}, changed: make(chan struct{}), listener: l}
	go http.Serve(l, s)
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

func metadata(o object) map[string]any { m, _ := o["metadata"].(map[string]any); return m }

// put writes an object as the operator or a replica does. The call returns when the store has accepted it.
func (s *store) put(kind, name string, spec any) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.write(kind, name, spec, nil)
}

func (s *store) write(kind, name string, spec any, status any) int64 {
	s.revision++
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	o := object{"metadata": map[string]any{"name": name, "revision": s.revision, "created": time.Now().UnixMilli()}, "spec": spec, "status": status}
	s.objects[kind][name] = o
	s.note(event{kind, s.revision, o, false})
	return s.revision
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeLocked(kind, name)
}

func (s *store) removeLocked(kind, name string) {
	o := s.objects[kind][name]
	if o == nil {
		return
	}
	s.revision++
	delete(s.objects[kind], name)
	s.note(event{kind, s.revision, o, true})
}

func (s *store) note(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path, ok := strings.CutPrefix(r.URL.Path, wire["objects"])
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kind, name, _ := strings.Cut(path, "/")
	switch r.Method {
	case http.MethodGet:
		if r.URL.Query().Get("watch") != "" {
			s.watch(w, r, kind)
			return
		}
		s.read(w, r, kind, name)
	default:
		s.change(w, r, kind, strings.TrimSuffix(name, "/status"))
	}
}

func (s *store) read(w http.ResponseWriter, r *http.Request, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if name != "" {
		if o := s.objects[kind][name]; o != nil {
			reply(w, http.StatusOK, o)
			return
		}
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	names := []string{}
	for n := range s.objects[kind] {
		if n > r.URL.Query().Get("after") {
			names = append(names, n)
		}
	}
	sort.Strings(names)
	items := []object{}
	for _, n := range names {
		items = append(items, s.objects[kind][n])
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "store_revision": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		list, revision, changed := []map[string]any{}, s.revision, s.changed
		for _, e := range s.events {
			if e.kind == kind && e.revision > from {
				list = append(list, map[string]any{"object": e.object, "deleted": e.deleted})
			}
		}
		s.mu.Unlock()
		if len(list) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": list, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end:
			reply(w, http.StatusOK, map[string]any{"events": list, "store_revision": revision})
			return
		}
	}
}

func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var sent struct {
		Metadata struct {
			Name     string `json:"name"`
			Revision int64  `json:"revision"`
		} `json:"metadata"`
		Spec any `json:"spec"`
	}
	if len(data) > 0 && json.Unmarshal(data, &sent) != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodPost {
		name = sent.Metadata.Name
	}
	old := s.objects[kind][name]
	if q := r.URL.Query().Get("revision"); q != "" {
		sent.Metadata.Revision, _ = strconv.ParseInt(q, 10, 64)
	}
	switch {
	case r.Method == http.MethodPost && old != nil:
		reply(w, http.StatusConflict, old)
	case r.Method != http.MethodPost && old == nil:
		reply(w, http.StatusNotFound, map[string]any{})
	case r.Method != http.MethodPost && sent.Metadata.Revision != 0 && sent.Metadata.Revision != metadata(old)["revision"].(int64):
		reply(w, http.StatusConflict, old)
	case r.Method == http.MethodDelete:
		s.removeLocked(kind, name)
		reply(w, http.StatusOK, map[string]any{})
	default:
		s.write(kind, name, sent.Spec, nil)
		reply(w, http.StatusOK, s.objects[kind][name])
	}
}

package entry

import (
	"cmp"
	"encoding/json"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// fakeStore emulates the platform's store: lists, watches, and writes under the condition of a revision. It can go away, and come back
// from an older copy in a new era.
type fakeStore struct {
	mu      sync.Mutex
	content storeContent
	era     int64
	away    bool
	changed chan struct{} // Closed and replaced at each change, and when the store goes away or comes back.
}

// storeContent is what a copy of the store holds. Its maps and slices aren't modified once it is in use.
type storeContent struct {
	revision int64
	objects  map[string]map[string]wireObject // By kind and name.
	events   []storeEvent                     // In order of revision.
}

type storeEvent struct {
	kind    string
	object  wireObject
	deleted bool
}

type wireObject struct {
	Metadata wireMetadata    `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
}

type wireMetadata struct {
	Name     string `json:"name"`
	Revision int64  `json:"revision,omitempty"`
}

func newFakeStore() *fakeStore {
	return &fakeStore{era: 1, changed: make(chan struct{})}
}

// copy returns what the store holds now.
func (s *fakeStore) copy() storeContent {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.content
}

// goAway makes the store close all its connections and answer no call.
func (s *fakeStore) goAway() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	s.notifyLocked()
}

// restore makes the store answer from the copy, in a new era.
func (s *fakeStore) restore(from storeContent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.content, s.away = from, false
	s.era++
	s.notifyLocked()
}

func (s *fakeStore) notifyLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes an object. The revision stays if nothing changes.
func (s *fakeStore) put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err) // Specs of tests can be encoded.
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putLocked(kind, name, data)
}

func (s *fakeStore) putLocked(kind, name string, spec json.RawMessage) wireObject {
	if known, found := s.content.objects[kind][name]; found && string(known.Spec) == string(spec) {
		return known
	}
	s.content.revision++
	o := wireObject{wireMetadata{name, s.content.revision}, spec}
	s.changeLocked(storeEvent{kind: kind, object: o})
	return o
}

// remove deletes an object, if it exists.
func (s *fakeStore) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, found := s.content.objects[kind][name]; found {
		s.content.revision++
		s.changeLocked(storeEvent{kind, o, true})
	}
}

func (s *fakeStore) changeLocked(e storeEvent) {
	all := maps.Clone(s.content.objects)
	if all == nil {
		all = map[string]map[string]wireObject{}
	}
	objects := maps.Clone(all[e.kind])
	if objects == nil {
		objects = map[string]wireObject{}
	}
	if e.deleted {
		delete(objects, e.object.Metadata.Name)
		e.object.Metadata.Revision = s.content.revision
	} else {
		objects[e.object.Metadata.Name] = e.object
	}
	all[e.kind] = objects
	s.content.objects, s.content.events = all, append(slices.Clone(s.content.events), e)
	s.notifyLocked()
}

// list returns the objects of a kind in order of name.
func (s *fakeStore) list(kind string) []wireObject {
	return slices.SortedFunc(maps.Values(s.copy().objects[kind]), func(a, b wireObject) int { return cmp.Compare(a.Metadata.Name, b.Metadata.Name) })
}

func (s *fakeStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	away, era := s.away, s.era
	s.mu.Unlock()
	if away {
		panic(http.ErrAbortHandler)
	}
	kind, name, single := strings.Cut(strings.TrimPrefix(r.URL.Path, "/cassiadeal/objects/"), "/")
	var status int
	var answer any
	switch watch, err := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64); {
	case single:
		status, answer = s.serveObject(r, kind, name)
	case r.Method == http.MethodPost:
		status, answer = s.serveObject(r, kind, "")
	case err == nil:
		status, answer = s.watch(r, era, kind, watch)
	default:
		status, answer = http.StatusOK, map[string]any{"items": s.list(kind), "store_revision": s.copy().revision}
	}
	s.mu.Lock()
	away = s.away || s.era != era
	s.mu.Unlock()
	if away {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Store-Era", strconv.FormatInt(era, 10))
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(answer) // The reader may be gone.
}

// watch waits for changes. It returns early when the store has gone away.
func (s *fakeStore) watch(r *http.Request, era int64, kind string, from int64) (int, any) {
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		content, changed, gone := s.content, s.changed, s.away || s.era != era
		s.mu.Unlock()
		if gone || from > content.revision {
			return http.StatusGone, nil
		}
		events := []map[string]any{}
		for _, e := range content.events {
			if e.kind == kind && e.object.Metadata.Revision > from {
				events = append(events, map[string]any{"object": e.object, "deleted": e.deleted})
			}
		}
		answer := map[string]any{"events": events, "store_revision": content.revision}
		if len(events) > 0 {
			return http.StatusOK, answer
		}
		select {
		case <-changed:
		case <-end:
			return http.StatusOK, answer
		case <-r.Context().Done():
			return http.StatusOK, answer
		}
	}
}

// serveObject reads or writes one object. The name is empty if the body states it.
func (s *fakeStore) serveObject(r *http.Request, kind, name string) (int, any) {
	var body wireObject
	if r.Method == http.MethodPost || r.Method == http.MethodPut {
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
			return http.StatusBadRequest, nil
		}
	}
	if name == "" {
		name = body.Metadata.Name
	}
	name, err := url.PathUnescape(name)
	if err != nil {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	known, found := s.content.objects[kind][name]
	switch r.Method {
	case http.MethodPost:
		if found {
			return http.StatusConflict, known
		}
	case http.MethodPut:
		if found && body.Metadata.Revision != 0 && body.Metadata.Revision != known.Metadata.Revision {
			return http.StatusConflict, known
		}
	default:
		if !found {
			return http.StatusNotFound, nil
		}
		return http.StatusOK, known
	}
	return http.StatusOK, s.putLocked(kind, name, body.Spec)
}

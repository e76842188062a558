package platform

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"cassiadeal.example/cassiadeal/internal/standin"
)

// EraHeader states in all answers how often the store has been restored from a copy. In a write it is a condition.
const EraHeader = "X-Store-Era"

// Restore is the body of POST /admin/restore.
type Restore struct {
	AgeMS  int64 `json:"age_ms"`            // Age of the copy when the store goes away.
	DownMS int64 `json:"down_ms,omitempty"` // Time for which the store is away.
}

// change is one accepted write with the state before it, from which it can be undone.
type change struct {
	at            time.Time
	kind, name    string
	before        Item
	existed       bool
	versionBefore uint64
}

// logChange records the state before a write. The caller holds mu.
func (s *Server) logChange(kind, name string) {
	before, existed := s.current.objects[kind][name]
	s.changes = append(s.changes, change{time.Now(), kind, name, before, existed, s.current.version})
	if extra := len(s.changes) - s.opts.RecordLimit; extra > 0 {
		s.changes = s.changes[extra:]
		s.undoneLimit = s.changes[0].at
	}
}

// Restore takes the store away and brings it back from a copy. It returns when the store is back. The VM list stays.
func (s *Server) Restore(r Restore) error {
	if r.AgeMS < 0 || r.DownMS < 0 {
		return errors.New("age_ms and down_ms must not be negative")
	}
	copied := time.Now().Add(-time.Duration(r.AgeMS) * time.Millisecond)
	s.mu.Lock()
	if s.restoring || copied.Before(s.undoneLimit) {
		defer s.mu.Unlock()
		if s.restoring {
			return errors.New("a restore is running")
		}
		return errors.New("no copy of that age is kept")
	}
	s.restoring = true
	s.notifyWatches()
	s.mu.Unlock()
	time.Sleep(time.Duration(r.DownMS) * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.undoChanges(copied)
	s.era++
	s.restoring = false
	s.notifyWatches()
	return nil
}

// undoChanges brings the objects and their version counter back to their state at a time. The caller holds mu.
func (s *Server) undoChanges(to time.Time) {
	for n := len(s.changes); n > 0 && s.changes[n-1].at.After(to); n-- {
		c := s.changes[n-1]
		if c.existed {
			s.current.objects[c.kind][c.name] = c.before
		} else {
			delete(s.current.objects[c.kind], c.name)
		}
		s.current.version = c.versionBefore
		s.changes = s.changes[:n-1]
	}
	for _, h := range s.history {
		for n := len(h.events); n > 0 && h.events[n-1].Version > s.current.version; n-- {
			h.events = h.events[:n-1]
		}
		h.dropped = min(h.dropped, s.current.version)
	}
	s.current.vmVersion = s.current.version // Later lists get higher versions, which differ from it.
	s.staleState = nil
}

// postRestore handles POST /admin/restore. It answers when the store is back.
func (s *Server) postRestore(w http.ResponseWriter, r *http.Request) {
	var body Restore
	if !standin.ReadJSON(w, r, &body) {
		return
	}
	if err := s.Restore(body); err != nil {
		fail(w, http.StatusBadRequest, "%v", err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// stateEra sets the header with the present era. The caller holds mu.
func (s *Server) stateEra(w http.ResponseWriter) {
	w.Header().Set(EraHeader, strconv.FormatUint(s.era, 10))
}

// eraDiffers reports whether a write is meant for another era. The caller holds mu.
func (s *Server) eraDiffers(r *http.Request) bool {
	expected := r.Header.Get(EraHeader)
	return expected != "" && expected != strconv.FormatUint(s.era, 10)
}

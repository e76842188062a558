// Package standin holds what the stand-ins (test doubles of outside systems) share: JSON helpers, a restartable
// listener and the bound on requests in flight of a cold target.
package standin

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
)

// MaxBodyBytes bounds request bodies of every stand-in.
const MaxBodyBytes = 8 << 20

// listenRetryTimeout bounds the wait for a fixed port that is still being released by the previous listener.
const listenRetryTimeout = 5 * time.Second

// WriteJSON answers with a status and a JSON body.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // The caller has gone; there is nobody to tell.
}

// ReadJSON decodes the request body into v. On failure it answers 400 and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	// net/http notices that a client left only after the whole body was read, hence no json.Decoder.
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	if err == nil {
		err = json.Unmarshal(body, v)
	}
	if err != nil {
		WriteJSON(w, http.StatusBadRequest, map[string]string{"error": fmt.Sprintf("decode body: %v", err)})
		return false
	}
	return true
}

// NewIncarnation returns an identifier that is unique per process start.
func NewIncarnation() string { return uuid.NewString() }

// UnixMS returns t in Unix milliseconds, the time unit of all records.
func UnixMS(t time.Time) int64 { return t.UnixMilli() }

// Port is an HTTP listener that can be closed with all its connections and opened again on the same address.
type Listener struct {
	mu     sync.Mutex
	addr   string
	server *http.Server
}

// NewListener returns a closed port. Port number 0 is replaced by a free one at the first Up.
func NewListener(listen string) *Listener { return &Listener{addr: listen} }

// Addr returns the address; with port number 0 it is known after the first Up.
func (l *Listener) Addr() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.addr
}

// Up listens and serves h. It does nothing if the port is open.
func (l *Listener) Open(handler http.Handler) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.server != nil {
		return nil
	}
	listener, err := net.Listen("tcp", l.addr)
	for deadline := time.Now().Add(listenRetryTimeout); err != nil && time.Now().Before(deadline); {
		time.Sleep(20 * time.Millisecond)
		listener, err = net.Listen("tcp", l.addr)
	}
	if err != nil {
		return fmt.Errorf("listen on %q: %w", l.addr, err)
	}
	l.addr = listener.Addr().String()
	l.server = &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	go func(server *http.Server) {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			panic(fmt.Sprintf("stand-in on %s stopped: %v", listener.Addr(), err))
		}
	}(l.server)
	return nil
}

// Down closes the listener and all connections.
func (l *Listener) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.server != nil {
		_ = l.server.Close() // Errors of closing a listener have no consequence here.
		l.server = nil
	}
}

// Gate counts requests in flight against the bound that a cold target bears.
// The bound grows by one for each n completions, where n is the current bound, until it reaches the warm bound.
type InFlightTracker struct {
	mu                   sync.Mutex
	coldLimit, warmLimit int
	limit                int
	completions          int
	coldStarts           int
	sinceCold            int // in flight, entered since the target last turned cold
	total                int
	peak                 Peak
}

// Peak is the highest number of requests in flight.
type Peak struct {
	Cold  int `json:"cold"`
	Total int `json:"total"`
}

// Entry is one request admitted by a Gate, or the one that exceeded it.
type TrackedRequest struct {
	InFlight int // including this request
	Limit    int
	Overload bool

	coldStarts int
}

// NewInFlightTracker returns the gate of a target that starts cold.
func NewInFlightTracker(coldLimit, warmLimit int) *InFlightTracker {
	return &InFlightTracker{coldLimit: coldLimit, warmLimit: warmLimit, limit: min(coldLimit, warmLimit)}
}

// Enter counts a request. Overload is set if a cold target has more in flight than it bears.
func (t *InFlightTracker) Begin() TrackedRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sinceCold++
	t.total++
	cold := t.limit < t.warmLimit
	if cold {
		t.peak.Cold = max(t.peak.Cold, t.sinceCold)
	}
	t.peak.Total = max(t.peak.Total, t.total)
	return TrackedRequest{InFlight: t.sinceCold, Limit: t.limit, Overload: cold && t.sinceCold > t.limit, coldStarts: t.coldStarts}
}

// Leave ends a request. Only completed ones count towards warming up.
func (t *InFlightTracker) End(r TrackedRequest, completed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.total--
	if r.coldStarts != t.coldStarts {
		return
	}
	t.sinceCold--
	if !completed || t.limit >= t.warmLimit {
		return
	}
	if t.completions++; t.completions >= t.limit {
		t.limit++
		t.completions = 0
	}
}

// TurnCold lowers the bound to the cold one. Requests already in flight no longer count against it, because their
// sender could not have known.
func (t *InFlightTracker) TurnCold() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limit, t.completions, t.sinceCold = min(t.coldLimit, t.warmLimit), 0, 0
	t.coldStarts++
}

// Cold tells whether the bound is below the warm one.
func (t *InFlightTracker) IsCold() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.limit < t.warmLimit
}

// InFlight returns the number of requests in flight.
func (t *InFlightTracker) InFlight() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.total
}

// Peak returns the highest numbers of requests in flight so far.
func (t *InFlightTracker) Peak() Peak {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.peak
}

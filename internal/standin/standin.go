// Package standin holds the code that the stand-ins (test doubles of outside systems) share: JSON helpers, an HTTP listener
// that can be closed and reopened, and the limit on requests in flight of a cold target.
package standin

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"
)

// MaxBodyBytes is the largest request body that a stand-in reads.
const MaxBodyBytes = 8 << 20

// listenRetryTimeout is how long Open retries to bind a fixed port that the previous listener has not released yet.
const listenRetryTimeout = 5 * time.Second

// WriteJSON answers with a status and a JSON body.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // Fails only if the client has disconnected; the error has no recipient.
}

// ReadJSON decodes the request body into v. On failure it answers 400 and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	// Reads the whole body first, because net/http detects a client disconnect only after the body was read to its end, which
	// a json.Decoder does not do.
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

// UnixMS returns t in Unix milliseconds, the unit of time in all records.
func UnixMS(t time.Time) int64 { return t.UnixMilli() }

// Statements is what a simulated target states about itself in the headers of all responses.
type Statements struct {
	Leaving        bool
	LimitPerSecond float64 // 0 for none.
}

// WithStatements returns a handler that adds the headers of what statements returns, and the incarnation, to each response of h.
func WithStatements(incarnation string, statements func() Statements, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s := statements()
		w.Header().Set("X-Incarnation", incarnation)
		if s.Leaving {
			w.Header().Set("X-Leaving", "true")
		}
		if s.LimitPerSecond > 0 {
			w.Header().Set("X-Rate-Limit", strconv.FormatFloat(s.LimitPerSecond, 'f', -1, 64))
		}
		h.ServeHTTP(w, r)
	})
}

// Listener is an HTTP server on one address that can be closed with all its connections and opened again.
type Listener struct {
	mu       sync.Mutex
	addr     string
	server   *http.Server
	listener net.Listener // Of server; nil while closed.
}

// NewListener returns a closed listener. Port 0 is replaced by a free port at the first Open.
func NewListener(listen string) *Listener { return &Listener{addr: listen} }

// Addr returns the address. If the listener was created with port 0, the real port is known after the first Open.
func (l *Listener) Addr() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.addr
}

// Open listens on the address and serves requests with handler. It does nothing if the listener is open.
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
	l.addr, l.listener = listener.Addr().String(), listener
	l.server = &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	go func(server *http.Server) {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			panic(fmt.Sprintf("stand-in on %s stopped: %v", listener.Addr(), err))
		}
	}(l.server)
	return nil
}

// Close closes the listener and all connections.
func (l *Listener) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.server != nil {
		// The server closes its listener only if it has begun to serve, which its goroutine may do late.
		_ = l.listener.Close() // The listener and the server are discarded, so an error has no consequence.
		_ = l.server.Close()
		l.server, l.listener = nil, nil
	}
}

// InFlightTracker counts the requests in flight of a simulated target and detects when a cold target gets more than its limit.
// The limit rises by one after every n completions, where n is the current limit, until it reaches the warm limit. From then on
// the target is warm, and any number of requests may be in flight.
type InFlightTracker struct {
	mu                   sync.Mutex
	coldLimit, warmLimit int
	limit                int
	completions          int
	coldStarts           int // number of TurnCold calls
	sinceCold            int // in flight, begun since the target last turned cold
	total                int // in flight
	peak                 Peak
}

// Peak is the highest number of requests in flight. Cold counts, while the target is cold, only requests begun since it last
// turned cold; Total counts all.
type Peak struct {
	Cold  int `json:"cold"`
	Total int `json:"total"`
}

// TrackedRequest is one request that an InFlightTracker counts, even if it exceeds the limit.
type TrackedRequest struct {
	InFlight int  // including this request, without those begun before the target last turned cold
	Limit    int  // at the start of this request
	Overload bool // the target is cold and InFlight exceeds Limit

	coldStarts int // of the tracker at the start of this request
}

// NewInFlightTracker returns the tracker of a target that starts cold.
func NewInFlightTracker(coldLimit, warmLimit int) *InFlightTracker {
	return &InFlightTracker{coldLimit: coldLimit, warmLimit: warmLimit, limit: min(coldLimit, warmLimit)}
}

// Begin counts a request. Overload is set if the target is cold and has more requests in flight than its limit.
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

// End stops counting a request. Only completed requests raise the limit.
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

// TurnCold resets the limit to the cold limit. Requests already in flight no longer count against it, because they were sent
// before the sender could know of the lower limit.
func (t *InFlightTracker) TurnCold() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limit, t.completions, t.sinceCold = min(t.coldLimit, t.warmLimit), 0, 0
	t.coldStarts++
}

// IsCold returns whether the limit is below the warm limit.
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

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

// listenRetryTime bounds the wait for a fixed port that is still being released by the previous listener.
const listenRetryTime = 5 * time.Second

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
type Port struct {
	mu   sync.Mutex
	addr string
	srv  *http.Server
}

// NewPort returns a closed port. Port number 0 is replaced by a free one at the first Up.
func NewPort(listen string) *Port { return &Port{addr: listen} }

// Addr returns the address; with port number 0 it is known after the first Up.
func (p *Port) Addr() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.addr
}

// Up listens and serves h. It does nothing if the port is open.
func (p *Port) Up(h http.Handler) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.srv != nil {
		return nil
	}
	l, err := net.Listen("tcp", p.addr)
	for end := time.Now().Add(listenRetryTime); err != nil && time.Now().Before(end); {
		time.Sleep(20 * time.Millisecond)
		l, err = net.Listen("tcp", p.addr)
	}
	if err != nil {
		return fmt.Errorf("listen on %q: %w", p.addr, err)
	}
	p.addr = l.Addr().String()
	p.srv = &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	go func(srv *http.Server) {
		if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			panic(fmt.Sprintf("stand-in on %s stopped: %v", l.Addr(), err))
		}
	}(p.srv)
	return nil
}

// Down closes the listener and all connections.
func (p *Port) Down() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.srv != nil {
		_ = p.srv.Close() // Errors of closing a listener have no consequence here.
		p.srv = nil
	}
}

// Gate counts requests in flight against the bound that a cold target bears.
// The bound grows by one for each n completions, where n is the current bound, until it reaches the warm bound.
type Gate struct {
	mu          sync.Mutex
	cold, warm  int
	bears       int
	completions int
	generation  int
	current     int // in flight, entered since the target last turned cold
	total       int
	peak        Peak
}

// Peak is the highest number of requests in flight.
type Peak struct {
	Cold  int `json:"cold"`
	Total int `json:"total"`
}

// Entry is one request admitted by a Gate, or the one that exceeded it.
type Entry struct {
	InFlight int // including this request
	Bears    int
	Overload bool

	generation int
}

// NewGate returns the gate of a target that starts cold.
func NewGate(cold, warm int) *Gate {
	return &Gate{cold: cold, warm: warm, bears: min(cold, warm)}
}

// Enter counts a request. Overload is set if a cold target has more in flight than it bears.
func (g *Gate) Enter() Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.current++
	g.total++
	cold := g.bears < g.warm
	if cold {
		g.peak.Cold = max(g.peak.Cold, g.current)
	}
	g.peak.Total = max(g.peak.Total, g.total)
	return Entry{InFlight: g.current, Bears: g.bears, Overload: cold && g.current > g.bears, generation: g.generation}
}

// Leave ends a request. Only completed ones count towards warming up.
func (g *Gate) Leave(e Entry, completed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.total--
	if e.generation != g.generation {
		return
	}
	g.current--
	if !completed || g.bears >= g.warm {
		return
	}
	if g.completions++; g.completions >= g.bears {
		g.bears++
		g.completions = 0
	}
}

// TurnCold lowers the bound to the cold one. Requests already in flight no longer count against it, because their
// sender could not have known.
func (g *Gate) TurnCold() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.bears, g.completions, g.current = min(g.cold, g.warm), 0, 0
	g.generation++
}

// Cold tells whether the bound is below the warm one.
func (g *Gate) Cold() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.bears < g.warm
}

// InFlight returns the number of requests in flight.
func (g *Gate) InFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.total
}

// Peak returns the highest numbers of requests in flight so far.
func (g *Gate) Peak() Peak {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.peak
}

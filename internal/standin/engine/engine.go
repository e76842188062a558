// Package engine is the stand-in (test double) for the model engines. One server hosts several simulated VMs, each on its own
// address.
// docs/protocols.md describes the protocol.
package engine

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"time"

	"cassiadeal.example/cassiadeal/internal/standin"
)

// VM is one simulated VM.
type VM struct {
	Name   string
	Listen string // host:port; port 0 is replaced by a free one
}

// Options configures the stand-in. A zero value means the default.
type Options struct {
	VMs           []VM
	Admin         string   // address of POST /faults and GET /record that stays open while VMs are down, default 127.0.0.1:0
	ChecksFencing bool     // refuse orders with a lower fencing number than one accepted by the incarnation
	Weights       []string // models whose weights are on every VM's disk from the start

	BatchSlots      int           // maximum number of running requests, and limit at which the warm-up ends; default 8
	ColdLimit       int           // initial limit on requests in flight of a cold engine, which fails above it; default 2
	TokenDelay      time.Duration // duration of a batch step without prefill, default 5 ms
	PrefillPerToken time.Duration // per uncached prompt token, default 20 µs
	LoadTime        time.Duration // time to load a model's weights, default 500 ms
	RestartTime     time.Duration // from the end of an incarnation to the start of the next, default 200 ms
	LoadLag         time.Duration // minimum age of the load that GET /v1/state reports, default 200 ms
	CacheTokens     int           // capacity of the prefix cache, default 8192
	CacheEventDelay time.Duration // from a change of the cache to its report, default 300 ms
	CacheEventLoss  float64       // probability that an event is never reported, default 0.1
	OrphanTime      time.Duration // a request that has had no reader for this long is cancelled, default 2 s
	KeepEnded       int           // ended requests kept for POST /v1/resume, default 256
	Seed            uint64
}

func (o Options) withDefaults() Options {
	setDuration := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	setInt := func(n *int, v int) {
		if *n == 0 {
			*n = v
		}
	}
	setDuration(&o.TokenDelay, 5*time.Millisecond)
	setDuration(&o.PrefillPerToken, 20*time.Microsecond)
	setDuration(&o.LoadTime, 500*time.Millisecond)
	setDuration(&o.RestartTime, 200*time.Millisecond)
	setDuration(&o.LoadLag, 200*time.Millisecond)
	setDuration(&o.CacheEventDelay, 300*time.Millisecond)
	setDuration(&o.OrphanTime, 2*time.Second)
	setInt(&o.BatchSlots, 8)
	setInt(&o.ColdLimit, 2)
	setInt(&o.CacheTokens, 8192)
	setInt(&o.KeepEnded, 256)
	if o.CacheEventLoss == 0 {
		o.CacheEventLoss = 0.1
	}
	if o.Admin == "" {
		o.Admin = "127.0.0.1:0"
	}
	return o
}

// Faults is the body of POST /faults. An absent field leaves its switch unchanged. Restart and TurnCold act once; PauseMS and
// SilentStreams end by themselves; the other switches stay until changed.
type Faults struct {
	VM              string  `json:"vm,omitempty"`   // empty: the VM that serves this address, or at the admin address every VM
	Down            *bool   `json:"down,omitempty"` // true stops the VM; false starts a new incarnation unless one runs
	Restart         bool    `json:"restart,omitempty"`
	CrashOnPrompt   *string `json:"crash_on_prompt,omitempty"` // a prompt that contains this text crashes the engine; "" is off
	TurnCold        bool    `json:"turn_cold,omitempty"`
	PauseMS         int64   `json:"pause_ms,omitempty"`         // for this long the VM neither answers nor generates
	TokenDelayMS    *int64  `json:"token_delay_ms,omitempty"`   // 0 restores Options.TokenDelay
	SilentStreams   *int    `json:"silent_streams,omitempty"`   // the next N streams send their first token, then nothing
	CutStreamAfter  *int    `json:"cut_stream_after,omitempty"` // each stream's connection is closed after N tokens; 0 is off
	WrongRequestID  *bool   `json:"wrong_request_id,omitempty"` // streams carry another request id than that of the request
	NoEndMarker     *bool   `json:"no_end_marker,omitempty"`    // streams end without their last event
	DuplicateTokens *bool   `json:"duplicate_tokens,omitempty"` // streams send each token twice
	SlowStateMS     *int64  `json:"slow_state_ms,omitempty"`    // delay of each answer to GET /v1/state
	// What the current incarnation states in all responses.
	Leaving        *bool    `json:"leaving,omitempty"`
	LimitPerSecond *float64 `json:"limit_per_second,omitempty"` // 0 for none
}

// Server is the stand-in.
type Server struct {
	adminListener *standin.Listener
	machines      []*machine
	byName        map[string]*machine
}

// New returns a server whose VMs do not listen yet.
func New(opts Options) *Server {
	opts = opts.withDefaults()
	s := &Server{adminListener: standin.NewListener(opts.Admin), byName: map[string]*machine{}}
	for i, vm := range opts.VMs {
		m := newMachine(opts, vm, opts.Seed+uint64(i))
		s.machines = append(s.machines, m)
		s.byName[vm.Name] = m
	}
	return s
}

// Start listens on the admin address and on the addresses of all VMs.
func (s *Server) Start() error {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /faults", s.postFaults)
	mux.HandleFunc("GET /record", func(w http.ResponseWriter, _ *http.Request) {
		standin.WriteJSON(w, http.StatusOK, s.Record())
	})
	mux.HandleFunc("GET /healthz", healthz)
	if err := s.adminListener.Open(mux); err != nil {
		return err
	}
	for _, m := range s.machines {
		if err := m.start(); err != nil {
			s.Close()
			return fmt.Errorf("VM %q: %w", m.name, err)
		}
	}
	return nil
}

// Close stops all VMs and closes the admin address.
func (s *Server) Close() {
	for _, m := range s.machines {
		m.lifecycle.Lock()
		m.stop("closed")
		m.lifecycle.Unlock()
	}
	s.adminListener.Close()
}

// AdminAddr returns the address of POST /faults and GET /record that stays open while VMs are down.
func (s *Server) AdminAddr() string { return s.adminListener.Addr() }

// Addrs returns the address of each VM by name.
func (s *Server) Addrs() map[string]string {
	addrs := map[string]string{}
	for _, m := range s.machines {
		addrs[m.name] = m.listener.Addr()
	}
	return addrs
}

// SetFaults changes fault switches and returns once they are in effect.
func (s *Server) SetFaults(f Faults) error {
	if f.VM == "" {
		for _, m := range s.machines {
			if err := m.setFaults(f); err != nil {
				return err
			}
		}
		return nil
	}
	m := s.byName[f.VM]
	if m == nil {
		return fmt.Errorf("unknown VM %q", f.VM)
	}
	return m.setFaults(f)
}

func (s *Server) postFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !standin.ReadJSON(w, r, &f) {
		return
	}
	if err := s.SetFaults(f); err != nil {
		fail(w, http.StatusBadRequest, "%v", err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// Record returns a copy of the record of each VM.
func (s *Server) Record() Record {
	rec := Record{VMs: map[string]VMRecord{}}
	for _, m := range s.machines {
		rec.VMs[m.name] = m.snapshot()
	}
	return rec
}

func healthz(w http.ResponseWriter, _ *http.Request) {
	standin.WriteJSON(w, http.StatusOK, map[string]bool{"ok": true})
}

func fail(w http.ResponseWriter, status int, format string, args ...any) {
	standin.WriteJSON(w, status, map[string]string{"error": fmt.Sprintf(format, args...)})
}

const defaultMaxTokens = 16

// Text returns the tokens that an engine generates. It depends on nothing but its arguments, so that a test can
// compute what each caller must receive. maxTokens below 1 means 16.
func Text(model, prompt string, maxTokens int) []string {
	if maxTokens < 1 {
		maxTokens = defaultMaxTokens
	}
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%s\x00%s", model, prompt) // Writing to a hash never fails.
	rng := rand.New(rand.NewPCG(h.Sum64(), 0))
	tokens := make([]string, maxTokens)
	for i := range tokens {
		tokens[i] = fmt.Sprintf("%06x ", rng.Uint32N(1<<24))
	}
	return tokens
}

// Package platform is the stand-in (test double) for the platform's object API and VM list. It keeps all data in memory.
// docs/protocols.md describes the protocol.
package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"
	"google.golang.org/protobuf/encoding/protojson"

	"cassiadeal.example/cassiadeal/internal/schema"
	"cassiadeal.example/cassiadeal/internal/standin"
)

const (
	maxObjectBytes = 1 << 20
	vmListKind     = "vms"            // kind by which calls of the VM list are counted and matched with Faults.Kinds
	maxWatchTime   = 10 * time.Minute // upper bound of timeout_ms
)

// Options configures the stand-in. A zero value means the default.
type Options struct {
	HistoryLimit int    // events kept per kind, default 4096; a watch from an older version gets 410
	RecordLimit  int    // accepted writes kept in the record, default 20000
	WritesPerSec int    // calls above this rate are answered with 429; 0 means no limit
	ReadsPerSec  int    // calls above this rate are answered with 429; 0 means no limit; a watch counts as one read
	Seed         uint64 // of the random numbers for Faults.Probability
}

// Fault modes.
const (
	ModeOK          = "ok"           // no fault
	ModeDown        = "down"         // calls are answered with 503
	ModeSlow        = "slow"         // calls are delayed
	ModeLoseReplies = "lose_replies" // writes are carried out, but their connection is closed without a reply
	ModeStaleReads  = "stale_reads"  // reads are answered from the state at the start of this mode
)

// Faults is the body of POST /faults. It replaces the previous faults.
type Faults struct {
	Mode        string   `json:"mode"`
	DelayMS     int64    `json:"delay_ms,omitempty"`    // for ModeSlow
	Probability float64  `json:"probability,omitempty"` // that the fault applies to a call; 0 means always
	Kinds       []string `json:"kinds,omitempty"`       // empty means all; "x*" means all that begin with x; the VM list is "vms"
	Clients     []string `json:"clients,omitempty"`     // empty means all
}

// Event is one change that a watch reports.
type Event struct {
	Name    string          `json:"name"`
	Version uint64          `json:"version"`
	Deleted bool            `json:"deleted"`
	Data    json.RawMessage `json:"data,omitempty"`
}

// Item is one object of a list.
type Item struct {
	Name    string          `json:"name"`
	Version uint64          `json:"version"`
	Data    json.RawMessage `json:"data"`
}

// VMs is the body of PUT /admin/vms.
type VMs struct {
	VMs       []json.RawMessage `json:"vms"`                   // schema.VM as protojson
	ListLagMS int64             `json:"list_lag_ms,omitempty"` // delay until the list becomes visible
}

// CallCount is the number of calls of one client, method and kind. Methods are GET, LIST, WATCH, PUT and DELETE.
type CallCount struct {
	Client string `json:"client"`
	Method string `json:"method"`
	Kind   string `json:"kind"`
	Count  int    `json:"count"`
}

// Write is one accepted write.
type Write struct {
	TimeUnixMS int64           `json:"time_unix_ms"`
	Client     string          `json:"client"`
	Kind       string          `json:"kind"`
	Name       string          `json:"name"`
	Version    uint64          `json:"version"`
	Era        uint64          `json:"era"`
	Deleted    bool            `json:"deleted,omitempty"`
	Data       json.RawMessage `json:"data,omitempty"`
}

// Record is the answer to GET /record.
type Record struct {
	Calls          []CallCount `json:"calls"`
	WaitingWatches int         `json:"waiting_watches"`
	Writes         []Write     `json:"writes"`
	DroppedWrites  int         `json:"dropped_writes"` // oldest writes, removed because the record was full
	Era            uint64      `json:"era"`            // number of restores so far
}

// eventHistory holds the newest events of one kind.
type eventHistory struct {
	events  []Event
	dropped uint64 // version of the newest event that was discarded
}

// state is the data from which reads are answered. Reads in ModeStaleReads use a copy of it.
type state struct {
	version   uint64
	objects   map[string]map[string]Item // by kind and name
	vms       []json.RawMessage
	vmVersion uint64
}

// Server is the stand-in.
type Server struct {
	opts         Options
	listener     *standin.Listener
	mux          *http.ServeMux
	readLimiter  *rate.Limiter
	writeLimiter *rate.Limiter

	mu             sync.Mutex
	rng            *rand.Rand
	current        state
	staleState     *state // copy of current from the start of ModeStaleReads
	history        map[string]*eventHistory
	faults         Faults
	changed        chan struct{} // closed and replaced at each change
	calls          map[CallCount]int
	waitingWatches int
	acceptedWrites []Write
	droppedWrites  int
	era            uint64    // number of restores
	restoring      bool      // the store is away for a restore
	changes        []change  // newest writes, at most RecordLimit
	undoneLimit    time.Time // the oldest time to which changes can be undone
	lastVMPut      uint64    // number of SetVMs calls
	visibleVMPut   uint64    // number of the SetVMs call whose list is visible
}

// New returns a stand-in that does not listen yet.
func New(opts Options) *Server {
	if opts.HistoryLimit == 0 {
		opts.HistoryLimit = 4096
	}
	if opts.RecordLimit == 0 {
		opts.RecordLimit = 20000
	}
	s := &Server{
		opts: opts, mux: http.NewServeMux(), rng: rand.New(rand.NewPCG(opts.Seed, 1)),
		readLimiter: newLimiter(opts.ReadsPerSec), writeLimiter: newLimiter(opts.WritesPerSec),
		current: state{objects: map[string]map[string]Item{}}, history: map[string]*eventHistory{},
		changed: make(chan struct{}), calls: map[CallCount]int{}, faults: Faults{Mode: ModeOK},
	}
	s.mux.HandleFunc("GET /v1/objects/{kind}/{name}", s.api("GET", s.get))
	s.mux.HandleFunc("PUT /v1/objects/{kind}/{name}", s.api("PUT", s.put))
	s.mux.HandleFunc("DELETE /v1/objects/{kind}/{name}", s.api("DELETE", s.delete))
	s.mux.HandleFunc("GET /v1/objects/{kind}", s.api("LIST", s.list))
	s.mux.HandleFunc("GET /v1/vms", s.api("LIST", s.listVMs))
	s.mux.HandleFunc("PUT /admin/vms", s.putVMs)
	s.mux.HandleFunc("POST /admin/restore", s.postRestore)
	s.mux.HandleFunc("POST /faults", s.postFaults)
	s.mux.HandleFunc("GET /record", func(w http.ResponseWriter, _ *http.Request) {
		standin.WriteJSON(w, http.StatusOK, s.Record())
	})
	s.mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		standin.WriteJSON(w, http.StatusOK, map[string]bool{"ok": true})
	})
	return s
}

// newLimiter returns a limiter whose burst is one second's worth of calls; 0 means no limit.
func newLimiter(perSec int) *rate.Limiter {
	if perSec == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSec), perSec)
}

// Handler returns the HTTP handler of the stand-in.
func (s *Server) Handler() http.Handler { return s.mux }

// Start listens on an address, serves until Close, and returns the address with the real port.
func (s *Server) Start(listen string) (addr string, err error) {
	s.listener = standin.NewListener(listen)
	if err := s.listener.Open(s.mux); err != nil {
		return "", err
	}
	return s.listener.Addr(), nil
}

// Close closes the listener and all connections.
func (s *Server) Close() {
	if s.listener != nil {
		s.listener.Close()
	}
}

// call is one API call, with its body and the faults that apply to it.
type call struct {
	client, kind, name string
	body               []byte
	staleState         *state // nil unless the call reads stale data
	loseReply          bool
}

// api returns an HTTP handler that counts the call, applies the rate limit and the faults, and runs the given handler.
func (s *Server) api(method string, handler func(http.ResponseWriter, *http.Request, call)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c := call{client: r.Header.Get("X-Client"), kind: r.PathValue("kind"), name: r.PathValue("name")}
		if c.kind == "" {
			c.kind = vmListKind
		}
		write := method == "PUT" || method == "DELETE"
		countedMethod, limit := method, s.readLimiter
		if r.URL.Query().Get("watch") == "1" {
			countedMethod = "WATCH"
		}
		if write {
			limit = s.writeLimiter
		}
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxObjectBytes))
		if tooLarge := new(http.MaxBytesError); errors.As(err, &tooLarge) {
			fail(w, http.StatusRequestEntityTooLarge, "object %s/%s exceeds %d bytes", c.kind, c.name, maxObjectBytes)
			return
		} else if err != nil {
			fail(w, http.StatusBadRequest, "read body: %v", err)
			return
		}
		c.body = body
		faults := s.countCall(w, c, countedMethod)
		if !limit.Allow() {
			fail(w, http.StatusTooManyRequests, "rate limit")
			return
		}
		switch faults.Mode {
		case ModeDown:
			fail(w, http.StatusServiceUnavailable, "outage")
			return
		case ModeSlow:
			// The delay does not end when the client disconnects, so that a write can take effect after its client gave up.
			time.Sleep(time.Duration(faults.DelayMS) * time.Millisecond)
		case ModeLoseReplies:
			c.loseReply = write
		case ModeStaleReads:
			s.mu.Lock()
			c.staleState = s.staleState
			s.mu.Unlock()
		}
		if c.loseReply {
			handler(discardWriter{http.Header{}}, r, c)
			panic(http.ErrAbortHandler)
		}
		handler(w, r, c)
	}
}

// discardWriter is the response writer of a reply that is not sent.
type discardWriter struct{ header http.Header }

func (d discardWriter) Header() http.Header         { return d.header }
func (d discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (d discardWriter) WriteHeader(int)             {}

func fail(w http.ResponseWriter, status int, format string, args ...any) {
	standin.WriteJSON(w, status, map[string]string{"error": fmt.Sprintf(format, args...)})
}

// countCall counts the call, states the era and returns the faults that apply to the call.
func (s *Server) countCall(w http.ResponseWriter, c call, method string) Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stateEra(w)
	s.calls[CallCount{Client: c.client, Method: method, Kind: c.kind}]++
	return s.faultsFor(c)
}

// faultsFor returns the faults that apply to the call. The caller holds mu.
func (s *Server) faultsFor(c call) Faults {
	if s.restoring {
		return Faults{Mode: ModeDown}
	}
	f := s.faults
	matchesKind := func(pattern string) bool {
		prefix, isPrefix := strings.CutSuffix(pattern, "*")
		return pattern == c.kind || isPrefix && strings.HasPrefix(c.kind, prefix)
	}
	applies := (len(f.Kinds) == 0 || slices.ContainsFunc(f.Kinds, matchesKind)) &&
		(len(f.Clients) == 0 || slices.Contains(f.Clients, c.client))
	if !applies || f.Probability > 0 && s.rng.Float64() >= f.Probability {
		return Faults{Mode: ModeOK}
	}
	return f
}

// readState returns the state from which a read is answered. The caller holds mu.
func (s *Server) readState(c call) *state {
	if c.staleState != nil {
		return c.staleState
	}
	return &s.current
}

func (s *Server) get(w http.ResponseWriter, _ *http.Request, c call) {
	s.mu.Lock()
	s.stateEra(w)
	item, ok := s.readState(c).objects[c.kind][c.name]
	s.mu.Unlock()
	if !ok {
		fail(w, http.StatusNotFound, "object %s/%s does not exist", c.kind, c.name)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("X-Object-Version", strconv.FormatUint(item.Version, 10))
	_, _ = w.Write(item.Data) // Fails only if the client has disconnected; the error has no recipient.
}

func (s *Server) put(w http.ResponseWriter, r *http.Request, c call) {
	create, match := r.Header.Get("If-None-Match") == "*", r.Header.Get("If-Match")
	if create == (match != "") {
		fail(w, http.StatusBadRequest, "a PUT needs either If-None-Match: * or If-Match")
		return
	}
	if !json.Valid(c.body) {
		fail(w, http.StatusBadRequest, "object %s/%s is not JSON", c.kind, c.name)
		return
	}
	s.mu.Lock()
	s.stateEra(w)
	old, exists := s.current.objects[c.kind][c.name]
	if s.eraDiffers(r) || create && exists || !create && (!exists || match != strconv.FormatUint(old.Version, 10)) {
		era := s.era
		s.mu.Unlock()
		fail(w, http.StatusPreconditionFailed, "object %s/%s: exists %t, version %d, era %d", c.kind, c.name, exists, old.Version, era)
		return
	}
	version := s.applyWrite(c, Event{Name: c.name, Data: c.body})
	s.mu.Unlock()
	w.Header().Set("X-Object-Version", strconv.FormatUint(version, 10))
	w.WriteHeader(http.StatusOK)
}

func (s *Server) delete(w http.ResponseWriter, r *http.Request, c call) {
	s.mu.Lock()
	s.stateEra(w)
	old, exists := s.current.objects[c.kind][c.name]
	if !exists {
		s.mu.Unlock()
		fail(w, http.StatusNotFound, "object %s/%s does not exist", c.kind, c.name)
		return
	}
	if s.eraDiffers(r) || r.Header.Get("If-Match") != strconv.FormatUint(old.Version, 10) {
		era := s.era
		s.mu.Unlock()
		fail(w, http.StatusPreconditionFailed, "object %s/%s has version %d, era %d", c.kind, c.name, old.Version, era)
		return
	}
	s.applyWrite(c, Event{Name: c.name, Deleted: true})
	s.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// applyWrite applies and records an accepted write and returns the new version. The caller holds mu.
func (s *Server) applyWrite(c call, e Event) uint64 {
	s.logChange(c.kind, c.name)
	s.current.version++
	e.Version = s.current.version
	if s.current.objects[c.kind] == nil {
		s.current.objects[c.kind] = map[string]Item{}
	}
	if e.Deleted {
		delete(s.current.objects[c.kind], c.name)
	} else {
		s.current.objects[c.kind][c.name] = Item{Name: c.name, Version: e.Version, Data: e.Data}
	}
	kindHistory := s.history[c.kind]
	if kindHistory == nil {
		kindHistory = &eventHistory{}
		s.history[c.kind] = kindHistory
	}
	kindHistory.events = append(kindHistory.events, e)
	if extra := len(kindHistory.events) - s.opts.HistoryLimit; extra > 0 {
		kindHistory.dropped = kindHistory.events[extra-1].Version
		kindHistory.events = slices.Delete(kindHistory.events, 0, extra)
	}
	s.acceptedWrites = append(s.acceptedWrites, Write{
		TimeUnixMS: standin.UnixMS(time.Now()), Client: c.client, Kind: c.kind, Name: c.name,
		Version: e.Version, Era: s.era, Deleted: e.Deleted, Data: e.Data,
	})
	if len(s.acceptedWrites) > s.opts.RecordLimit {
		s.acceptedWrites = s.acceptedWrites[1:]
		s.droppedWrites++
	}
	s.notifyWatches()
	return e.Version
}

// notifyWatches makes waiting watches check for changes. The caller holds mu.
func (s *Server) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Server) list(w http.ResponseWriter, r *http.Request, c call) {
	if r.URL.Query().Get("watch") == "1" {
		s.watch(w, r, c)
		return
	}
	s.mu.Lock()
	s.stateEra(w)
	st := s.readState(c)
	version, items := st.version, make([]Item, 0, len(st.objects[c.kind]))
	for _, item := range st.objects[c.kind] {
		items = append(items, item)
	}
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b Item) int { return strings.Compare(a.Name, b.Name) })
	standin.WriteJSON(w, http.StatusOK, map[string]any{"version": version, "items": items})
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request, c call) {
	s.longPoll(w, r, c, func(since uint64, expired bool) (any, int) {
		events, version, tooOld := s.eventsAfter(c, since)
		if tooOld {
			return map[string]string{"error": "version too old, list again"}, http.StatusGone
		}
		if len(events) == 0 && !expired {
			return nil, 0
		}
		return map[string]any{"version": version, "events": events}, http.StatusOK
	})
}

// eventsAfter returns the events of a kind after version since, and the version up to which they are complete. If that is not
// possible, because events were discarded or since is in the future, tooOld is set. The caller holds mu.
func (s *Server) eventsAfter(c call, since uint64) (events []Event, version uint64, tooOld bool) {
	events = []Event{}
	if c.staleState != nil {
		return events, max(since, c.staleState.version), false
	}
	kindHistory := s.history[c.kind]
	if since > s.current.version || kindHistory != nil && since < kindHistory.dropped {
		return nil, 0, true
	}
	if kindHistory != nil {
		for _, e := range kindHistory.events {
			if e.Version > since {
				events = append(events, e)
			}
		}
	}
	return events, s.current.version, false
}

// longPoll calls poll, which runs with mu held, at once and after each change until it returns a status other than 0, and sends its
// result. After the timeout of the request it calls poll with expired set. If ModeDown applies to the call meanwhile, it answers
// with 503.
func (s *Server) longPoll(w http.ResponseWriter, r *http.Request, c call, poll func(since uint64, expired bool) (any, int)) {
	q := r.URL.Query()
	since, err := strconv.ParseUint(q.Get("since"), 10, 64)
	if err != nil {
		fail(w, http.StatusBadRequest, "since %q: %v", q.Get("since"), err)
		return
	}
	ms, _ := strconv.ParseInt(q.Get("timeout_ms"), 10, 64) // If absent or malformed, the answer is sent at once.
	timer := time.NewTimer(min(time.Duration(ms)*time.Millisecond, maxWatchTime))
	defer timer.Stop()
	expired := ms <= 0
	s.mu.Lock()
	s.waitingWatches++
	defer func() {
		s.waitingWatches--
		s.mu.Unlock()
	}()
	for {
		s.stateEra(w)
		if s.faultsFor(c).Mode == ModeDown {
			fail(w, http.StatusServiceUnavailable, "outage")
			return
		}
		if body, status := poll(since, expired); status != 0 {
			s.mu.Unlock()
			standin.WriteJSON(w, status, body)
			s.mu.Lock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			s.mu.Lock()
			return
		}
		s.mu.Lock()
	}
}

func (s *Server) listVMs(w http.ResponseWriter, r *http.Request, c call) {
	poll := func(since uint64, expired bool) (any, int) {
		st := s.readState(c)
		if st.vmVersion == since && !expired {
			return nil, 0
		}
		vms := append([]json.RawMessage{}, st.vms...)
		return map[string]any{"version": st.vmVersion, "vms": vms}, http.StatusOK
	}
	if r.URL.Query().Get("watch") == "1" {
		s.longPoll(w, r, c, poll)
		return
	}
	s.mu.Lock()
	s.stateEra(w)
	body, status := poll(0, true)
	s.mu.Unlock()
	standin.WriteJSON(w, status, body)
}

func (s *Server) putVMs(w http.ResponseWriter, r *http.Request) {
	var body VMs
	if !standin.ReadJSON(w, r, &body) {
		return
	}
	if err := s.SetVMs(body); err != nil {
		fail(w, http.StatusBadRequest, "%v", err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// SetVMs sets the VM list, which becomes visible to callers after ListLagMS.
func (s *Server) SetVMs(body VMs) error {
	for _, raw := range body.VMs {
		if err := protojson.Unmarshal(raw, &schema.VM{}); err != nil {
			return fmt.Errorf("VM %s: %w", raw, err)
		}
	}
	s.mu.Lock()
	s.lastVMPut++
	putNumber := s.lastVMPut
	s.mu.Unlock()
	publish := func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if putNumber < s.visibleVMPut {
			return // A later list with a shorter lag is already visible.
		}
		s.visibleVMPut = putNumber
		s.current.version++
		s.current.vms, s.current.vmVersion = body.VMs, s.current.version
		s.notifyWatches()
	}
	if body.ListLagMS > 0 {
		time.AfterFunc(time.Duration(body.ListLagMS)*time.Millisecond, publish)
	} else {
		publish()
	}
	return nil
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

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) error {
	if f.Mode == "" {
		f.Mode = ModeOK
	}
	if !slices.Contains([]string{ModeOK, ModeDown, ModeSlow, ModeLoseReplies, ModeStaleReads}, f.Mode) {
		return fmt.Errorf("unknown fault mode %q", f.Mode)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Mode == ModeStaleReads && s.faults.Mode != ModeStaleReads {
		s.staleState = s.current.copy()
	}
	s.faults = f
	s.notifyWatches()
	return nil
}

// copy returns a copy that later writes do not change.
func (st *state) copy() *state {
	c := *st
	c.objects = map[string]map[string]Item{}
	for kind, items := range st.objects {
		c.objects[kind] = map[string]Item{}
		for name, item := range items {
			c.objects[kind][name] = item
		}
	}
	return &c
}

// Record returns the counted calls and the accepted writes.
func (s *Server) Record() Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	rec := Record{WaitingWatches: s.waitingWatches, Writes: slices.Clone(s.acceptedWrites), DroppedWrites: s.droppedWrites, Calls: []CallCount{}, Era: s.era}
	for c, n := range s.calls {
		c.Count = n
		rec.Calls = append(rec.Calls, c)
	}
	slices.SortFunc(rec.Calls, func(a, b CallCount) int {
		return strings.Compare(a.Client+" "+a.Kind+" "+a.Method, b.Client+" "+b.Kind+" "+b.Method)
	})
	return rec
}

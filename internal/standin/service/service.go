// Package service is the stand-in for a plain service. docs/protocols.md describes the protocol.
package service

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"cassiadeal.example/cassiadeal/internal/standin"
)

// Options configures the stand-in. Zero values take the defaults.
type Options struct {
	Name        string
	Listen      string        // default 127.0.0.1:0
	Admin       string        // listen address for switches and records while the service is down, default 127.0.0.1:0
	BearsCold   int           // requests in flight that a cold instance bears, default 2
	BearsWarm   int           // bound up to which it warms up, default 16; a warm instance has no bound
	RestartTime time.Duration // between two incarnations, default 200 ms
	RecordLimit int           // executions kept in the record, default 50000
}

// Faults is the body of POST /faults. Absent fields leave a switch as it is. N counts requests.
type Faults struct {
	Down             *bool   `json:"down,omitempty"` // after true and false there is a new incarnation
	Restart          bool    `json:"restart,omitempty"`
	DelayMS          *int64  `json:"delay_ms,omitempty"`            // of every execution
	DropReply        *int    `json:"drop_reply,omitempty"`          // N executions whose connection is closed without a reply
	CloseBeforeRun   *int    `json:"close_before_run,omitempty"`    // N connections closed without an execution
	CrashOnBody      *string `json:"crash_on_body,omitempty"`       // such a request counts as executed; "" switches it off
	WrongRequestID   *int    `json:"wrong_request_id,omitempty"`    // N replies that echo another request number
	TruncateReply    *int    `json:"truncate_reply,omitempty"`      // N replies that end early
	Silent           *int    `json:"silent,omitempty"`              // N executions whose connection stays open without a reply
	ReplyDelayOnceMS *int64  `json:"reply_delay_once_ms,omitempty"` // delays the next reply, after its execution
	TurnCold         bool    `json:"turn_cold,omitempty"`
}

// Answer is the body of an answer.
type Answer struct {
	Service    string `json:"service"`
	Execution  int    `json:"execution"`
	Key        string `json:"key"`
	Method     string `json:"method"`
	Path       string `json:"path"`
	RequestID  string `json:"request_id"`
	BodySHA256 string `json:"body_sha256"`
}

// Execution is one request that ran.
type Execution struct {
	TimeUnixMS  int64  `json:"time_unix_ms"` // of arrival
	Incarnation string `json:"incarnation"`
	Execution   int    `json:"execution"`
	Key         string `json:"key"`
	RequestID   string `json:"request_id"`
	Method      string `json:"method"`
	Path        string `json:"path"`
	InFlight    int    `json:"in_flight"`
	Bears       int    `json:"bears"`
}

// Incarnation is one run of the instance; EndUnixMS is 0 while it runs.
type Incarnation struct {
	Incarnation string `json:"incarnation"`
	StartUnixMS int64  `json:"start_unix_ms"`
	EndUnixMS   int64  `json:"end_unix_ms"`
}

// Overload is one fall of a cold instance under more requests than it bears.
type Overload struct {
	TimeUnixMS  int64  `json:"time_unix_ms"`
	Incarnation string `json:"incarnation"`
	InFlight    int    `json:"in_flight"`
	Bears       int    `json:"bears"`
}

// Record is the answer to GET /record. All times are in Unix milliseconds.
type Record struct {
	ByKey        map[string]int `json:"by_key"`        // executions per Idempotency-Key
	ByRequestID  map[string]int `json:"by_request_id"` // executions per X-Request-Id
	Executions   []Execution    `json:"executions"`
	Dropped      int            `json:"dropped"`  // executions that no longer fit the list; the counts include them
	NotRun       int            `json:"not_run"`  // connections closed before a run, and requests of an overload
	Arrivals     []int64        `json:"arrivals"` // every request, run or not
	InFlight     standin.Peak   `json:"in_flight"`
	Incarnations []Incarnation  `json:"incarnations"`
	Overloads    []Overload     `json:"overloads"`
}

// process is one incarnation.
type process struct {
	incarnation string
	ctx         context.Context
	cancel      context.CancelFunc
	inFlight    *standin.InFlightTracker
}

// Server is the stand-in.
type Server struct {
	opts          Options
	listener      *standin.Listener
	adminListener *standin.Listener
	lifecycle     sync.Mutex // held while the process is being stopped or started; taken before mu

	mu     sync.Mutex
	proc   *process // nil while down
	faults struct {
		delay, replyDelayOnce                                            time.Duration
		dropReply, closeBeforeRun, wrongRequestID, truncateReply, silent int
		crashOnBody                                                      string
	}
	executions int
	record     Record
}

// New returns a stand-in that does not listen yet.
func New(opts Options) *Server {
	if opts.Listen == "" {
		opts.Listen = "127.0.0.1:0"
	}
	if opts.Admin == "" {
		opts.Admin = "127.0.0.1:0"
	}
	if opts.BearsCold == 0 {
		opts.BearsCold = 2
	}
	if opts.BearsWarm == 0 {
		opts.BearsWarm = 16
	}
	if opts.RestartTime == 0 {
		opts.RestartTime = 200 * time.Millisecond
	}
	if opts.RecordLimit == 0 {
		opts.RecordLimit = 50000
	}
	return &Server{
		opts: opts, listener: standin.NewListener(opts.Listen), adminListener: standin.NewListener(opts.Admin),
		record: Record{ByKey: map[string]int{}, ByRequestID: map[string]int{}},
	}
}

// Start opens the service's address and the admin address.
func (s *Server) Start() error {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /faults", s.postFaults(true))
	mux.HandleFunc("GET /record", s.getRecord)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		standin.WriteJSON(w, http.StatusOK, map[string]bool{"ok": true})
	})
	if err := s.adminListener.Open(mux); err != nil {
		return err
	}
	return s.startProcess()
}

// Close stops the stand-in.
func (s *Server) Close() {
	s.lifecycle.Lock()
	s.stopProcess()
	s.lifecycle.Unlock()
	s.adminListener.Close()
}

// Addr returns the service's address.
func (s *Server) Addr() string { return s.listener.Addr() }

// AdminAddr returns the address for switches and records.
func (s *Server) AdminAddr() string { return s.adminListener.Addr() }

func (s *Server) startProcess() error {
	p := &process{incarnation: standin.NewIncarnation(), inFlight: standin.NewInFlightTracker(s.opts.BearsCold, s.opts.BearsWarm)}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	s.mu.Lock()
	s.proc = p
	s.record.Incarnations = append(s.record.Incarnations,
		Incarnation{Incarnation: p.incarnation, StartUnixMS: standin.UnixMS(time.Now())})
	s.mu.Unlock()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /faults", s.postFaults(false))
	mux.HandleFunc("GET /record", s.getRecord)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		standin.WriteJSON(w, http.StatusOK, map[string]any{"incarnation": p.incarnation, "cold": p.inFlight.IsCold()})
	})
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) { s.handleRequest(w, r, p) })
	return s.listener.Open(mux)
}

// stop ends the incarnation and breaks all connections. The caller holds life.
func (s *Server) stopProcess() {
	s.mu.Lock()
	p := s.proc
	s.proc = nil
	if p != nil {
		s.record.InFlight = s.peakInFlight(p)
		s.record.Incarnations[len(s.record.Incarnations)-1].EndUnixMS = standin.UnixMS(time.Now())
	}
	s.mu.Unlock()
	if p != nil {
		p.cancel()
		s.listener.Close()
	}
}

// peak returns the highest numbers in flight of all incarnations. The caller holds mu.
func (s *Server) peakInFlight(p *process) standin.Peak {
	peak := p.inFlight.Peak()
	return standin.Peak{Cold: max(peak.Cold, s.record.InFlight.Cold), Total: max(peak.Total, s.record.InFlight.Total)}
}

// restart replaces an incarnation unless that already happened.
func (s *Server) restart(p *process) error {
	s.lifecycle.Lock()
	defer s.lifecycle.Unlock()
	s.mu.Lock()
	current := s.proc
	s.mu.Unlock()
	if current != p || p == nil {
		return nil
	}
	s.stopProcess()
	time.Sleep(s.opts.RestartTime)
	return s.startProcess()
}

// fall restarts the process in the background after an overload or a crash.
func (s *Server) restartInBackground(p *process) {
	go func() {
		if err := s.restart(p); err != nil {
			panic(fmt.Sprintf("service %s: %v", s.opts.Name, err))
		}
	}()
}

// SetFaults changes switches and waits until they are in force.
func (s *Server) SetFaults(f Faults) error {
	s.mu.Lock()
	switches := &s.faults
	setIfPresent(&switches.dropReply, f.DropReply)
	setIfPresent(&switches.closeBeforeRun, f.CloseBeforeRun)
	setIfPresent(&switches.wrongRequestID, f.WrongRequestID)
	setIfPresent(&switches.truncateReply, f.TruncateReply)
	setIfPresent(&switches.silent, f.Silent)
	setIfPresent(&switches.crashOnBody, f.CrashOnBody)
	if f.DelayMS != nil {
		switches.delay = time.Duration(*f.DelayMS) * time.Millisecond
	}
	if f.ReplyDelayOnceMS != nil {
		switches.replyDelayOnce = time.Duration(*f.ReplyDelayOnceMS) * time.Millisecond
	}
	p := s.proc
	if f.TurnCold && p != nil {
		p.inFlight.TurnCold()
	}
	s.mu.Unlock()
	if f.Down != nil {
		if err := s.setDown(*f.Down); err != nil {
			return err
		}
	}
	if f.Restart {
		return s.restart(p)
	}
	return nil
}

func setIfPresent[T any](to *T, from *T) {
	if from != nil {
		*to = *from
	}
}

func (s *Server) setDown(down bool) error {
	s.lifecycle.Lock()
	defer s.lifecycle.Unlock()
	if down {
		s.stopProcess()
		return nil
	}
	s.mu.Lock()
	running := s.proc != nil
	s.mu.Unlock()
	if running {
		return nil
	}
	return s.startProcess()
}

// postFaults answers before the switches are in force if they may close the connection that they came on.
func (s *Server) postFaults(waitUntilApplied bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if !standin.ReadJSON(w, r, &f) {
			return
		}
		if waitUntilApplied {
			if err := s.SetFaults(f); err != nil {
				standin.WriteJSON(w, http.StatusInternalServerError, map[string]string{"error": err.Error()})
				return
			}
			w.WriteHeader(http.StatusNoContent)
			return
		}
		w.WriteHeader(http.StatusNoContent)
		go func() {
			if err := s.SetFaults(f); err != nil {
				panic(fmt.Sprintf("service %s: %v", s.opts.Name, err))
			}
		}()
	}
}

func (s *Server) getRecord(w http.ResponseWriter, _ *http.Request) {
	standin.WriteJSON(w, http.StatusOK, s.Record())
}

// Record returns what the stand-in received and did.
func (s *Server) Record() Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := s.record
	copied.ByKey, copied.ByRequestID = copyCounts(copied.ByKey), copyCounts(copied.ByRequestID)
	copied.Executions = append([]Execution{}, copied.Executions...)
	copied.Arrivals = append([]int64{}, copied.Arrivals...)
	copied.Overloads = append([]Overload{}, copied.Overloads...)
	copied.Incarnations = slices.Clone(copied.Incarnations)
	if s.proc != nil {
		copied.InFlight = s.peakInFlight(s.proc)
	}
	return copied
}

func copyCounts(m map[string]int) map[string]int {
	c := make(map[string]int, len(m))
	for k, v := range m {
		c[k] = v
	}
	return c
}

// plan is what the switches demand of one request.
type outcome struct {
	execution                                               int // 0 if it must not run
	tracked                                                 standin.TrackedRequest
	crash, dropReply, wrongRequestID, truncateReply, silent bool
	delay, replyDelay                                       time.Duration
}

func (s *Server) handleRequest(w http.ResponseWriter, r *http.Request, p *process) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, standin.MaxBodyBytes))
	if err != nil {
		standin.WriteJSON(w, http.StatusBadRequest, map[string]string{"error": fmt.Sprintf("read body: %v", err)})
		return
	}
	result := s.admit(r, p, body)
	completed := false
	endRequest := sync.OnceFunc(func() { p.inFlight.End(result.tracked, completed) })
	defer endRequest()
	switch {
	case result.tracked.Overload:
		w.Header().Set("Connection", "close")
		standin.WriteJSON(w, http.StatusServiceUnavailable, map[string]string{"error": "fell over under too many requests"})
		_ = http.NewResponseController(w).Flush() // The caller has gone; there is nobody to tell.
		s.restartInBackground(p)
		return
	case result.execution == 0:
		panic(http.ErrAbortHandler)
	case result.crash:
		s.restartInBackground(p)
		<-p.ctx.Done()
		panic(http.ErrAbortHandler)
	}
	sleepUntilStopped(p, result.delay+result.replyDelay)
	if p.ctx.Err() != nil || result.dropReply {
		panic(http.ErrAbortHandler)
	}
	if result.silent {
		select {
		case <-r.Context().Done():
		case <-p.ctx.Done():
		}
		panic(http.ErrAbortHandler)
	}
	completed = true
	endRequest() // The slot is free before the caller can see the reply.
	s.writeReply(w, r, p, result, body)
}

// admit counts a request, decides what the switches do to it and records its execution.
func (s *Server) admit(r *http.Request, p *process, body []byte) outcome {
	now := standin.UnixMS(time.Now())
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.record.Arrivals) < s.opts.RecordLimit {
		s.record.Arrivals = append(s.record.Arrivals, now)
	}
	result := outcome{tracked: p.inFlight.Begin()}
	if result.tracked.Overload {
		s.record.NotRun++
		s.record.Overloads = append(s.record.Overloads,
			Overload{TimeUnixMS: now, Incarnation: p.incarnation, InFlight: result.tracked.InFlight, Bears: result.tracked.Limit})
		return result
	}
	switches := &s.faults
	if s.proc != p || decrement(&switches.closeBeforeRun) {
		s.record.NotRun++
		return result
	}
	s.executions++
	result.execution, result.delay = s.executions, switches.delay
	key, id := r.Header.Get("Idempotency-Key"), r.Header.Get("X-Request-Id")
	if key != "" {
		s.record.ByKey[key]++
	}
	s.record.ByRequestID[id]++
	if len(s.record.Executions) < s.opts.RecordLimit {
		s.record.Executions = append(s.record.Executions, Execution{
			TimeUnixMS: now, Incarnation: p.incarnation, Execution: result.execution, Key: key, RequestID: id,
			Method: r.Method, Path: r.URL.Path, InFlight: result.tracked.InFlight, Bears: result.tracked.Limit,
		})
	} else {
		s.record.Dropped++
	}
	result.crash = switches.crashOnBody != "" && strings.Contains(string(body), switches.crashOnBody)
	if result.crash {
		return result
	}
	result.replyDelay, switches.replyDelayOnce = switches.replyDelayOnce, 0
	result.dropReply = decrement(&switches.dropReply)
	result.silent = !result.dropReply && decrement(&switches.silent)
	if !result.dropReply && !result.silent {
		result.wrongRequestID = decrement(&switches.wrongRequestID)
		result.truncateReply = decrement(&switches.truncateReply)
	}
	return result
}

// take uses up one of n.
func decrement(n *int) bool {
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

func sleepUntilStopped(p *process, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-p.ctx.Done():
	}
}

func (s *Server) writeReply(w http.ResponseWriter, r *http.Request, p *process, result outcome, body []byte) {
	id := r.Header.Get("X-Request-Id")
	if result.wrongRequestID {
		id = "wrong-" + id
	}
	sum := sha256.Sum256(body)
	data, err := json.Marshal(Answer{
		Service: s.opts.Name, Execution: result.execution, Key: r.Header.Get("Idempotency-Key"), Method: r.Method,
		Path: r.URL.Path, RequestID: id, BodySHA256: hex.EncodeToString(sum[:]),
	})
	if err != nil {
		panic(err) // The type has no value that fails to marshal.
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Incarnation", p.incarnation)
	if result.truncateReply {
		data = data[:len(data)/2]
	}
	_, _ = w.Write(data) // The caller has gone; there is nobody to tell.
	if result.truncateReply {
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

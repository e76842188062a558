// Package service is the stand-in (test double) for a plain service, which answers each request with one JSON reply.
// docs/protocols.md describes the protocol.
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

// Options configures the stand-in. A zero value means the default.
type Options struct {
	Name        string
	Listen      string        // default 127.0.0.1:0
	Admin       string        // address of POST /faults and GET /record that stays open while the service is down, default 127.0.0.1:0
	ColdLimit   int           // initial limit on requests in flight of a cold instance, which fails above it; default 2
	WarmLimit   int           // limit at which the warm-up ends, default 16; a warm instance has no limit
	RestartTime time.Duration // from the end of an incarnation to the start of the next, default 200 ms
	RecordLimit int           // executions kept in the record, default 50000
}

// Faults is the body of POST /faults. An absent field leaves its switch unchanged. N is the number of requests that a switch
// still affects; each of them decrements it.
type Faults struct {
	Down             *bool   `json:"down,omitempty"` // true stops the instance; false starts a new incarnation unless one runs
	Restart          bool    `json:"restart,omitempty"`
	DelayMS          *int64  `json:"delay_ms,omitempty"`            // of every execution
	DropReply        *int    `json:"drop_reply,omitempty"`          // N executions whose connection is closed without a reply
	CloseBeforeRun   *int    `json:"close_before_run,omitempty"`    // N connections closed without an execution
	CrashOnBody      *string `json:"crash_on_body,omitempty"`       // a body that contains this text crashes the instance; counted as executed; "" is off
	WrongRequestID   *int    `json:"wrong_request_id,omitempty"`    // N replies with another request id than that of the request
	TruncateReply    *int    `json:"truncate_reply,omitempty"`      // N replies of which only the first half of the body is sent
	Silent           *int    `json:"silent,omitempty"`              // N executions whose connection stays open without a reply
	ReplyDelayOnceMS *int64  `json:"reply_delay_once_ms,omitempty"` // delay of the next reply, after its execution
	TurnCold         bool    `json:"turn_cold,omitempty"`
	// What the current incarnation states in all responses.
	Leaving        *bool    `json:"leaving,omitempty"`
	LimitPerSecond *float64 `json:"limit_per_second,omitempty"` // 0 for none
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

// Execution is one executed request. InFlight and Limit are those of standin.TrackedRequest.
type Execution struct {
	TimeUnixMS  int64  `json:"time_unix_ms"` // arrival of the request
	Incarnation string `json:"incarnation"`
	Execution   int    `json:"execution"`
	Key         string `json:"key"`
	RequestID   string `json:"request_id"`
	Method      string `json:"method"`
	Path        string `json:"path"`
	InFlight    int    `json:"in_flight"`
	Limit       int    `json:"bears"`
}

// Incarnation is one run of the instance; EndUnixMS is 0 while it runs.
type Incarnation struct {
	Incarnation string `json:"incarnation"`
	StartUnixMS int64  `json:"start_unix_ms"`
	EndUnixMS   int64  `json:"end_unix_ms"`
}

// Overload is one failure of a cold instance that had more requests in flight than its limit.
type Overload struct {
	TimeUnixMS  int64  `json:"time_unix_ms"`
	Incarnation string `json:"incarnation"`
	InFlight    int    `json:"in_flight"`
	Limit       int    `json:"bears"`
}

// Record is the answer to GET /record. All times are in Unix milliseconds.
type Record struct {
	ByKey        map[string]int `json:"by_key"`        // executions per Idempotency-Key
	ByRequestID  map[string]int `json:"by_request_id"` // executions per X-Request-Id
	Executions   []Execution    `json:"executions"`
	Dropped      int            `json:"dropped"`  // missing in Executions, which was full; the counts include them
	NotRun       int            `json:"not_run"`  // connections closed before execution, and overloads
	Arrivals     []int64        `json:"arrivals"` // every request, executed or not; bounded by RecordLimit
	InFlight     standin.Peak   `json:"in_flight"`
	Incarnations []Incarnation  `json:"incarnations"`
	Overloads    []Overload     `json:"overloads"`
}

// process is one incarnation of the instance.
type process struct {
	incarnation string
	ctx         context.Context
	cancel      context.CancelFunc
	inFlight    *standin.InFlightTracker
	statements  standin.Statements // guarded by Server.mu
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
	if opts.ColdLimit == 0 {
		opts.ColdLimit = 2
	}
	if opts.WarmLimit == 0 {
		opts.WarmLimit = 16
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

// Start listens on the admin address and on the service's address.
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

// AdminAddr returns the address of POST /faults and GET /record that stays open while the service is down.
func (s *Server) AdminAddr() string { return s.adminListener.Addr() }

func (s *Server) startProcess() error {
	p := &process{incarnation: standin.NewIncarnation(), inFlight: standin.NewInFlightTracker(s.opts.ColdLimit, s.opts.WarmLimit)}
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
	return s.listener.Open(standin.WithStatements(p.incarnation, func() standin.Statements {
		s.mu.Lock()
		defer s.mu.Unlock()
		return p.statements
	}, mux))
}

// stopProcess ends the incarnation, if one runs, and closes all connections. The caller holds lifecycle.
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

// peakInFlight returns the highest numbers of requests in flight of p and all earlier incarnations. The caller holds mu.
func (s *Server) peakInFlight(p *process) standin.Peak {
	peak := p.inFlight.Peak()
	return standin.Peak{Cold: max(peak.Cold, s.record.InFlight.Cold), Total: max(peak.Total, s.record.InFlight.Total)}
}

// restart stops p and starts a new incarnation, unless p is nil or no longer the current process.
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

// restartInBackground restarts the process after an overload or a crash without waiting for it.
func (s *Server) restartInBackground(p *process) {
	go func() {
		if err := s.restart(p); err != nil {
			panic(fmt.Sprintf("service %s: %v", s.opts.Name, err))
		}
	}()
}

// SetFaults changes fault switches and returns once they are in effect.
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
	if p != nil {
		setIfPresent(&p.statements.Leaving, f.Leaving)
		setIfPresent(&p.statements.LimitPerSecond, f.LimitPerSecond)
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

// postFaults handles POST /faults. With waitUntilApplied it answers once the switches are in effect. On the service's own address
// it has to answer before, because the switches may close the connection of the request.
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

// Record returns a copy of the record of received and executed requests.
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

// outcome is how one request is to be handled under the fault switches.
type outcome struct {
	execution                                               int // number of the execution; 0 if not executed
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
		standin.WriteJSON(w, http.StatusServiceUnavailable, map[string]string{"error": "cold instance failed: too many requests in flight"})
		_ = http.NewResponseController(w).Flush() // Fails only if the client has disconnected; the error has no recipient.
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
	endRequest() // Before the reply, so that a request sent after it does not find this one in flight.
	s.writeReply(w, r, p, result, body)
}

// admit counts a request, decides how it is handled under the fault switches and records its execution.
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
			Overload{TimeUnixMS: now, Incarnation: p.incarnation, InFlight: result.tracked.InFlight, Limit: result.tracked.Limit})
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
			Method: r.Method, Path: r.URL.Path, InFlight: result.tracked.InFlight, Limit: result.tracked.Limit,
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

// decrement lowers n by one if it is positive, and returns whether it was.
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
		panic(err) // Every Answer can be marshalled.
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Incarnation", p.incarnation)
	if p.inFlight.IsCold() {
		w.Header().Set("X-Cold", "true")
	}
	if result.truncateReply {
		data = data[:len(data)/2]
	}
	_, _ = w.Write(data) // Fails only if the client has disconnected; the error has no recipient.
	if result.truncateReply {
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

package engine

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"cassiadeal.example/cassiadeal/internal/standin"
)

// Order is the body of POST /v1/orders, which adds a VM to a group of VMs that serve a model together, or removes it.
type Order struct {
	Fence   uint64   `json:"fence"`  // fencing number; see Options.ChecksFencing
	Action  string   `json:"action"` // join or leave
	Group   string   `json:"group"`
	Number  uint64   `json:"number"` // of the group's composition; grows whenever a member or an incarnation changes
	Rank    int      `json:"rank"`   // position of the VM in the group; only rank 0 accepts generate requests
	Size    int      `json:"size"`
	Members []string `json:"members"`
	Model   string   `json:"model"`
	Pool    string   `json:"pool"`
}

// State is the answer to GET /v1/state. Running and Waiting are LoadAgeMS old; the other fields are current.
type State struct {
	VM          string   `json:"vm"`
	Incarnation string   `json:"incarnation"`
	Group       string   `json:"group"`
	Number      uint64   `json:"number"`
	Rank        int      `json:"rank"`
	Size        int      `json:"size"`
	Pool        string   `json:"pool"`
	Model       string   `json:"model"`
	Loading     bool     `json:"loading"`
	Ready       bool     `json:"ready"`
	Cold        bool     `json:"cold"`
	Running     int      `json:"running"`
	Waiting     int      `json:"waiting"`
	LoadAgeMS   int64    `json:"load_age_ms"`
	Weights     []string `json:"weights"`
	TimeUnixMS  int64    `json:"time_unix_ms"`
}

// switches are the fault switches of one VM.
type switches struct {
	crashOnPrompt   string
	pausedUntil     time.Time
	tokenDelay      time.Duration // 0 means Options.TokenDelay
	silentStreams   int
	cutStreamAfter  int
	wrongRequestID  bool
	noEndMarker     bool
	duplicateTokens bool
	slowState       time.Duration
}

// machine is one simulated VM. Its process is replaced at each restart. Lock order: lifecycle, mu, the tracker process.inFlight.
type machine struct {
	opts     Options
	name     string
	listener *standin.Listener

	lifecycle sync.Mutex // held while the process is being stopped or started

	mu       sync.Mutex
	rng      *rand.Rand
	proc     *process // nil while down
	weights  []string // on the VM's disk, so they survive a restart
	switches switches
	record   VMRecord
}

// process is one incarnation of an engine. The machine's mu guards its changing fields, except that inFlight has its own lock.
type process struct {
	m           *machine
	incarnation string
	ctx         context.Context
	cancel      context.CancelFunc
	inFlight    *standin.InFlightTracker
	cache       *prefixCache
	statements  standin.Statements
	failed      bool // by an overload or a crash; generate requests get no answer until the process is replaced

	maxFence          uint64
	assigned          Order // last join order, or zero if the VM is in no group
	loading           bool
	ready             bool
	assignmentChanges int // number of changes of assigned; lets a weight load detect that it is outdated

	requests map[string]*request // by id, including up to Options.KeepEnded ended ones
	ended    []*request          // oldest first
	waiting  []*request
	running  []*request
	wake     chan struct{} // has a value when the batch loop is to check for waiting requests

	reportedLoad, sampledLoad loadSample // the sample that GET /v1/state reports, and the next one to be reported
}

// loadSample is the number of running and waiting requests at one time.
type loadSample struct {
	at               time.Time
	running, waiting int
}

func newMachine(opts Options, vm VM, seed uint64) *machine {
	return &machine{
		opts: opts, name: vm.Name, listener: standin.NewListener(vm.Listen), rng: rand.New(rand.NewPCG(seed, 2)),
		weights: slices.Clone(opts.Weights),
	}
}

// start starts a new incarnation. The caller holds lifecycle, or no other goroutine uses the machine yet.
func (m *machine) start() error {
	p := &process{
		m: m, incarnation: standin.NewIncarnation(), inFlight: standin.NewInFlightTracker(m.opts.ColdLimit, m.opts.BatchSlots),
		requests: map[string]*request{}, wake: make(chan struct{}, 1),
	}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	p.sampledLoad.at = time.Now()
	p.reportedLoad = p.sampledLoad
	m.mu.Lock()
	p.cache = newPrefixCache(m.opts, m.rng)
	m.proc = p
	appendBounded(&m.record, &m.record.Incarnations, IncarnationRecord{Incarnation: p.incarnation, StartUnixMS: nowMS()})
	m.recordState()
	m.mu.Unlock()
	go p.batchLoop()
	return m.listener.Open(m.handler())
}

// stop ends the incarnation, if one runs: its unfinished requests get the outcome, and all connections are closed. The caller holds
// lifecycle.
func (m *machine) stop(outcome string) {
	m.mu.Lock()
	p := m.proc
	if p == nil {
		m.mu.Unlock()
		return
	}
	m.proc = nil
	p.endAll(outcome)
	m.record.InFlight = maxPeak(m.record.InFlight, p.inFlight.Peak())
	m.record.Incarnations[len(m.record.Incarnations)-1].EndUnixMS = nowMS()
	m.recordState()
	m.mu.Unlock()
	p.cancel()
	m.listener.Close()
}

// restart stops p and starts a new incarnation, unless p is nil or no longer the current process.
func (m *machine) restart(p *process, outcome string) error {
	m.lifecycle.Lock()
	defer m.lifecycle.Unlock()
	m.mu.Lock()
	current := m.proc
	m.mu.Unlock()
	if current != p || p == nil {
		return nil
	}
	m.stop(outcome)
	time.Sleep(m.opts.RestartTime)
	return m.start()
}

// currentProcess returns the running process, or nil while the VM is down.
func (m *machine) currentProcess() *process {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.proc
}

func (m *machine) setFaults(f Faults) error {
	m.mu.Lock()
	switches := &m.switches
	setIfPresent(&switches.crashOnPrompt, f.CrashOnPrompt)
	setIfPresent(&switches.silentStreams, f.SilentStreams)
	setIfPresent(&switches.cutStreamAfter, f.CutStreamAfter)
	setIfPresent(&switches.wrongRequestID, f.WrongRequestID)
	setIfPresent(&switches.noEndMarker, f.NoEndMarker)
	setIfPresent(&switches.duplicateTokens, f.DuplicateTokens)
	setMSIfPresent(&switches.tokenDelay, f.TokenDelayMS)
	setMSIfPresent(&switches.slowState, f.SlowStateMS)
	if f.PauseMS > 0 {
		switches.pausedUntil = time.Now().Add(time.Duration(f.PauseMS) * time.Millisecond)
	}
	if f.TurnCold && m.proc != nil {
		m.proc.inFlight.TurnCold()
	}
	if m.proc != nil {
		setIfPresent(&m.proc.statements.Leaving, f.Leaving)
		setIfPresent(&m.proc.statements.LimitPerSecond, f.LimitPerSecond)
	}
	m.mu.Unlock()
	if f.Down != nil {
		if err := m.setDown(*f.Down); err != nil {
			return err
		}
	}
	if f.Restart {
		return m.restart(m.currentProcess(), "lost")
	}
	return nil
}

func setIfPresent[T any](to *T, from *T) {
	if from != nil {
		*to = *from
	}
}

func setMSIfPresent(to *time.Duration, ms *int64) {
	if ms != nil {
		*to = time.Duration(*ms) * time.Millisecond
	}
}

func (m *machine) setDown(down bool) error {
	m.lifecycle.Lock()
	defer m.lifecycle.Unlock()
	if down {
		m.stop("lost")
		return nil
	}
	if m.currentProcess() != nil {
		return nil
	}
	return m.start()
}

// handler returns the HTTP handler of the VM's address.
func (m *machine) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/state", m.withProcess(m.getState))
	mux.HandleFunc("POST /v1/orders", m.withProcess(m.postOrder))
	mux.HandleFunc("POST /v1/generate", m.withProcess(m.generate))
	mux.HandleFunc("POST /v1/resume", m.withProcess(m.resume))
	mux.HandleFunc("POST /v1/cancel", m.withProcess(m.cancelRequest))
	mux.HandleFunc("GET /v1/cache-events", m.withProcess(m.cacheEvents))
	mux.HandleFunc("GET /healthz", m.withProcess(func(w http.ResponseWriter, r *http.Request, _ *process) { healthz(w, r) }))
	mux.HandleFunc("GET /record", func(w http.ResponseWriter, _ *http.Request) {
		standin.WriteJSON(w, http.StatusOK, Record{VMs: map[string]VMRecord{m.name: m.snapshot()}})
	})
	mux.HandleFunc("POST /faults", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if !standin.ReadJSON(w, r, &f) {
			return
		}
		if f.VM != "" && f.VM != m.name {
			fail(w, http.StatusBadRequest, "this is VM %q, not %q", m.name, f.VM)
			return
		}
		// Answers before the switches are in effect, because they may close the connection of this request.
		w.WriteHeader(http.StatusNoContent)
		go func() {
			if err := m.setFaults(f); err != nil {
				panic(fmt.Sprintf("VM %s: %v", m.name, err))
			}
		}()
	})
	return mux
}

// withProcess returns a handler that waits until a pause set by the fault switches is over and then calls h with the process.
// It closes the connection if the VM is down.
func (m *machine) withProcess(h func(http.ResponseWriter, *http.Request, *process)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p := m.currentProcess()
		if p == nil || !p.waitPause(r.Context()) {
			panic(http.ErrAbortHandler)
		}
		standin.WithStatements(p.incarnation, func() standin.Statements {
			m.mu.Lock()
			defer m.mu.Unlock()
			return p.statements
		}, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { h(w, r, p) })).ServeHTTP(w, r)
	}
}

// waitPause waits until a pause set by the fault switches is over. It returns false if the process stopped or ctx is done.
func (p *process) waitPause(ctx context.Context) bool {
	for {
		p.m.mu.Lock()
		remaining := time.Until(p.m.switches.pausedUntil)
		p.m.mu.Unlock()
		if remaining <= 0 {
			return p.ctx.Err() == nil && ctx.Err() == nil
		}
		if !p.sleep(ctx, remaining) {
			return false
		}
	}
}

// sleep waits for d. It returns false if the process stops or ctx is done first.
func (p *process) sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
	case <-p.ctx.Done():
	}
	return false
}

func (m *machine) getState(w http.ResponseWriter, r *http.Request, p *process) {
	m.mu.Lock()
	delay := m.switches.slowState
	m.mu.Unlock()
	if delay > 0 && !p.sleep(r.Context(), delay) {
		panic(http.ErrAbortHandler)
	}
	m.mu.Lock()
	now := time.Now()
	if now.Sub(p.sampledLoad.at) >= m.opts.LoadLag {
		p.reportedLoad = p.sampledLoad
		p.sampledLoad = loadSample{at: now, running: len(p.running), waiting: len(p.waiting)}
	}
	state := State{
		VM: m.name, Incarnation: p.incarnation, Group: p.assigned.Group, Number: p.assigned.Number,
		Rank: p.assigned.Rank, Size: p.assigned.Size, Pool: p.assigned.Pool, Model: p.assigned.Model,
		Loading: p.loading, Ready: p.ready, Cold: p.inFlight.IsCold(),
		Running: p.reportedLoad.running, Waiting: p.reportedLoad.waiting, LoadAgeMS: now.Sub(p.reportedLoad.at).Milliseconds(),
		Weights: append([]string{}, m.weights...), TimeUnixMS: standin.UnixMS(now),
	}
	m.mu.Unlock()
	standin.WriteJSON(w, http.StatusOK, state)
}

func (m *machine) postOrder(w http.ResponseWriter, r *http.Request, p *process) {
	var o Order
	if !standin.ReadJSON(w, r, &o) {
		return
	}
	m.mu.Lock()
	outcome := p.applyOrder(o)
	appendBounded(&m.record, &m.record.Orders,
		OrderRecord{TimeUnixMS: nowMS(), Incarnation: p.incarnation, Order: o, Outcome: outcome})
	fence := p.maxFence
	m.mu.Unlock()
	switch outcome {
	case "fenced":
		standin.WriteJSON(w, http.StatusConflict, map[string]any{"accepted": false, "fence": fence})
	case "invalid":
		fail(w, http.StatusBadRequest, "invalid order %+v", o)
	default:
		standin.WriteJSON(w, http.StatusOK, map[string]any{"accepted": true})
	}
}

// applyOrder carries an order out, unless it is invalid, fenced or repeated, and returns its outcome. The caller holds mu.
func (p *process) applyOrder(o Order) string {
	join := o.Action == "join"
	if !join && o.Action != "leave" || join && (o.Group == "" || o.Model == "" || o.Rank < 0 || o.Rank >= o.Size) {
		return "invalid"
	}
	if p.m.opts.ChecksFencing && o.Fence < p.maxFence {
		return "fenced"
	}
	p.maxFence = max(p.maxFence, o.Fence)
	if join && sameAssignment(p.assigned, o) || !join && p.assigned.Group == "" {
		return "repeated"
	}
	p.endAll("ordered_away")
	p.inFlight.TurnCold()
	p.assignmentChanges++
	p.loading, p.ready = false, false
	if !join {
		p.assigned = Order{}
		p.m.recordState()
		return "accepted"
	}
	p.assigned = o
	if slices.Contains(p.m.weights, o.Model) {
		p.ready = true
	} else {
		p.loading = true
		changesAtStart := p.assignmentChanges
		time.AfterFunc(p.m.opts.LoadTime, func() { p.finishLoad(changesAtStart) })
	}
	p.m.recordState()
	return "accepted"
}

func sameAssignment(a, b Order) bool {
	return a.Group == b.Group && a.Number == b.Number && a.Rank == b.Rank && a.Size == b.Size &&
		a.Model == b.Model && a.Pool == b.Pool && slices.Equal(a.Members, b.Members)
}

// finishLoad ends a weight load, unless the process has stopped or its assignment has changed since the load began.
func (p *process) finishLoad(changesAtStart int) {
	p.m.mu.Lock()
	defer p.m.mu.Unlock()
	if p.m.proc != p || p.assignmentChanges != changesAtStart {
		return
	}
	p.m.weights = append(p.m.weights, p.assigned.Model)
	p.loading, p.ready = false, true
	p.m.recordState()
}

func (m *machine) cacheEvents(w http.ResponseWriter, r *http.Request, p *process) {
	since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		fail(w, http.StatusBadRequest, "since: %v", err)
		return
	}
	m.mu.Lock()
	events, next := p.cache.eventsAfter(since)
	m.mu.Unlock()
	standin.WriteJSON(w, http.StatusOK, map[string]any{"next": next, "events": events})
}

package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"cassiadeal.example/cassiadeal/internal/standin"
)

// GenerateRequest is the body of POST /v1/generate.
type GenerateRequest struct {
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Priority  int    `json:"priority"` // requests with a higher one get a batch slot first
	Group     string `json:"group"`
	Number    uint64 `json:"number"` // see Order; the request is refused if group or number differ from the VM's
}

// StreamEvent is the data of one event of a stream: either a token, with RequestID, Offset and Token, or the end marker, with
// RequestID, End, Tokens, CachedTokens and Cold.
type StreamEvent struct {
	RequestID    string `json:"request_id"`
	Offset       *int   `json:"offset,omitempty"`
	Token        string `json:"token,omitempty"`
	End          bool   `json:"end,omitempty"`
	Tokens       *int   `json:"tokens,omitempty"`
	CachedTokens *int   `json:"cached_tokens,omitempty"`
	Cold         bool   `json:"cold,omitempty"`
}

// request is one generate request that was accepted. The machine's mu guards it.
type request struct {
	id          string
	prompt      string
	priority    int
	tokens      []string // complete output
	produced    int      // number of tokens generated so far
	cached      int      // number of prompt tokens found in the prefix cache
	tracked     standin.TrackedRequest
	recordIndex int           // index in VMRecord.Generates, or -1
	outcome     string        // empty until ended
	changed     chan struct{} // closed and replaced when produced or outcome changes
	readers     int           // streams being sent
	orphanTimer *time.Timer   // ends the request unless a reader is added before; nil if not started
}

func (m *machine) generate(w http.ResponseWriter, r *http.Request, p *process) {
	var body GenerateRequest
	if !standin.ReadJSON(w, r, &body) {
		return
	}
	id := r.Header.Get("X-Request-Id")
	if id == "" {
		fail(w, http.StatusBadRequest, "X-Request-Id is missing")
		return
	}
	m.mu.Lock()
	if m.proc != p || p.failed {
		m.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	record := GenerateRecord{
		TimeUnixMS: nowMS(), Incarnation: p.incarnation, RequestID: id, Group: body.Group, Number: body.Number,
	}
	assigned := p.assigned
	if !p.ready || assigned.Rank != 0 || assigned.Group != body.Group || assigned.Number != body.Number {
		record.Outcome, record.EndUnixMS = "refused", record.TimeUnixMS
		appendBounded(&m.record, &m.record.Generates, record)
		m.mu.Unlock()
		fail(w, http.StatusConflict, "request for group %q number %d; this VM is in %q number %d rank %d, ready %t",
			body.Group, body.Number, assigned.Group, assigned.Number, assigned.Rank, p.ready)
		return
	}
	tracked := p.inFlight.Begin()
	record.InFlight, record.Limit, record.Outcome = tracked.InFlight, tracked.Limit, "running"
	req := &request{
		id: id, prompt: body.Prompt, priority: body.Priority, tokens: Text(assigned.Model, body.Prompt, body.MaxTokens),
		tracked: tracked, changed: make(chan struct{}), recordIndex: appendBounded(&m.record, &m.record.Generates, record),
	}
	p.requests[id] = req
	crash := m.switches.crashOnPrompt != "" && strings.Contains(body.Prompt, m.switches.crashOnPrompt)
	switch {
	case tracked.Overload:
		p.failed = true
		p.end(req, "overload")
		appendBounded(&m.record, &m.record.Overloads, Overload{
			TimeUnixMS: nowMS(), Incarnation: p.incarnation, InFlight: tracked.InFlight, Limit: tracked.Limit,
		})
		m.mu.Unlock()
		w.Header().Set("Connection", "close")
		fail(w, http.StatusServiceUnavailable, "cold engine failed: %d requests in flight, limit %d", tracked.InFlight, tracked.Limit)
		_ = http.NewResponseController(w).Flush() // Fails only if the client has disconnected; the error has no recipient.
		go p.restartAfterFailure()
		return
	case crash:
		p.failed = true
		p.end(req, "crash")
		m.mu.Unlock()
		go p.restartAfterFailure()
		<-p.ctx.Done()
		panic(http.ErrAbortHandler)
	}
	p.waiting = append(p.waiting, req)
	p.wakeBatchLoop()
	m.mu.Unlock()
	p.stream(w, r, req, 0)
}

// restartAfterFailure replaces the process after an overload or a crash.
func (p *process) restartAfterFailure() {
	if err := p.m.restart(p, "lost"); err != nil {
		panic(fmt.Sprintf("VM %s: %v", p.m.name, err))
	}
}

func (m *machine) resume(w http.ResponseWriter, r *http.Request, p *process) {
	var body struct {
		RequestID string `json:"request_id"`
		Offset    int    `json:"offset"`
	}
	if !standin.ReadJSON(w, r, &body) {
		return
	}
	m.mu.Lock()
	m.record.Resumes++
	req := p.requests[body.RequestID]
	known := req != nil && (req.outcome == "" || req.outcome == "done") && body.Offset >= 0 && body.Offset <= len(req.tokens)
	m.mu.Unlock()
	if !known {
		fail(w, http.StatusNotFound, "request %q has no stream at offset %d", body.RequestID, body.Offset)
		return
	}
	p.stream(w, r, req, body.Offset)
}

func (m *machine) cancelRequest(w http.ResponseWriter, r *http.Request, p *process) {
	var body struct {
		RequestID string `json:"request_id"`
	}
	if !standin.ReadJSON(w, r, &body) {
		return
	}
	m.mu.Lock()
	m.record.Cancels++
	if req := p.requests[body.RequestID]; req != nil {
		p.end(req, "cancelled")
	}
	m.mu.Unlock()
	standin.WriteJSON(w, http.StatusOK, map[string]any{})
}

// wakeBatchLoop makes an idle batch loop check for waiting requests.
func (p *process) wakeBatchLoop() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// batchLoop runs one step after the other. Each step assigns waiting requests to free slots, sleeps for the time of their prefill
// and one token, and then adds one token to every running request.
func (p *process) batchLoop() {
	for {
		p.m.mu.Lock()
		cost := p.admit()
		idle := len(p.running) == 0
		p.m.mu.Unlock()
		if idle {
			select {
			case <-p.wake:
				continue
			case <-p.ctx.Done():
				return
			}
		}
		if !p.sleep(p.ctx, cost) || !p.waitPause(p.ctx) {
			return
		}
		p.m.mu.Lock()
		for _, req := range slices.Clone(p.running) {
			req.produced++
			if req.produced == len(req.tokens) {
				p.end(req, "done")
			} else {
				req.notifyReaders()
			}
		}
		p.m.mu.Unlock()
	}
}

// admit assigns waiting requests to free slots, higher priorities first, and returns the duration of the next step.
// The caller holds mu.
func (p *process) admit() time.Duration {
	opts := p.m.opts
	cost := opts.TokenDelay
	if d := p.m.switches.tokenDelay; d > 0 {
		cost = d
	}
	slices.SortStableFunc(p.waiting, func(a, b *request) int { return b.priority - a.priority })
	for len(p.waiting) > 0 && len(p.running) < opts.BatchSlots {
		req := p.waiting[0]
		p.waiting = p.waiting[1:]
		req.cached = p.cache.lookUpAndAdd(req.prompt)
		cost += time.Duration(len(strings.Fields(req.prompt))-req.cached) * opts.PrefillPerToken
		p.running = append(p.running, req)
	}
	return cost
}

// end ends a request unless it has ended. It frees the slot before readers are notified. The caller holds mu.
func (p *process) end(req *request, outcome string) {
	if req.outcome != "" {
		return
	}
	req.outcome = outcome
	matches := func(r *request) bool { return r == req }
	p.waiting = slices.DeleteFunc(p.waiting, matches)
	p.running = slices.DeleteFunc(p.running, matches)
	p.inFlight.End(req.tracked, outcome == "done")
	if req.recordIndex >= 0 {
		record := &p.m.record.Generates[req.recordIndex]
		record.Outcome, record.EndUnixMS = outcome, nowMS()
	}
	p.ended = append(p.ended, req)
	if len(p.ended) > p.m.opts.KeepEnded {
		oldest := p.ended[0]
		p.ended = p.ended[1:]
		if p.requests[oldest.id] == oldest {
			delete(p.requests, oldest.id)
		}
	}
	req.notifyReaders()
	p.wakeBatchLoop()
}

// endAll ends all requests that have not ended. The caller holds mu.
func (p *process) endAll(outcome string) {
	for _, req := range slices.Concat(p.running, p.waiting) {
		p.end(req, outcome)
	}
}

// notifyReaders wakes the streams that wait for more tokens or the end. The machine's mu is held.
func (r *request) notifyReaders() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// stream sends the events of a request, beginning with the token at offset, until the request ends or the client disconnects.
func (p *process) stream(w http.ResponseWriter, r *http.Request, req *request, offset int) {
	m := p.m
	m.mu.Lock()
	switches := m.switches
	silent := switches.silentStreams > 0
	if silent {
		m.switches.silentStreams--
	}
	p.addReader(req)
	m.mu.Unlock()
	defer p.removeReader(req)

	id := req.id
	if switches.wrongRequestID {
		id = "wrong-" + id
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Incarnation", p.incarnation)
	w.WriteHeader(http.StatusOK)
	flush := http.NewResponseController(w).Flush
	sent := 0
	for {
		m.mu.Lock()
		produced, outcome, notify := req.produced, req.outcome, req.changed
		m.mu.Unlock()
		for ; offset < produced; offset++ {
			event := StreamEvent{RequestID: id, Offset: new(offset), Token: req.tokens[offset]}
			writeEvent(w, event)
			if switches.duplicateTokens {
				writeEvent(w, event)
			}
			sent++
			if silent || sent == switches.cutStreamAfter {
				break
			}
		}
		_ = flush() // A client disconnect cancels the request's context, which is checked below.
		switch {
		case silent && sent > 0:
			p.keepOpen(r)
		case switches.cutStreamAfter > 0 && sent >= switches.cutStreamAfter:
			panic(http.ErrAbortHandler)
		case outcome == "done":
			if !switches.noEndMarker {
				writeEvent(w, StreamEvent{RequestID: id, End: true, Tokens: new(len(req.tokens)), CachedTokens: new(req.cached), Cold: p.inFlight.IsCold()})
			}
			return
		case outcome != "":
			panic(http.ErrAbortHandler)
		}
		select {
		case <-notify:
		case <-r.Context().Done():
			return
		case <-p.ctx.Done():
			panic(http.ErrAbortHandler)
		}
	}
}

// keepOpen keeps a connection open without sending anything until the client disconnects or the process stops.
func (p *process) keepOpen(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-p.ctx.Done():
	}
	panic(http.ErrAbortHandler)
}

func writeEvent(w http.ResponseWriter, e StreamEvent) {
	data, err := json.Marshal(e)
	if err != nil {
		panic(err) // Every StreamEvent can be marshalled.
	}
	_, _ = fmt.Fprintf(w, "data: %s\n\n", data) // A client disconnect cancels the request's context, which stream checks.
}

// addReader counts a reader and stops the orphan timer. The caller holds mu.
func (p *process) addReader(req *request) {
	req.readers++
	if req.orphanTimer != nil {
		req.orphanTimer.Stop()
		req.orphanTimer = nil
	}
}

// removeReader stops counting a reader. If none is left, the request ends after OrphanTime unless a reader is added before.
func (p *process) removeReader(req *request) {
	p.m.mu.Lock()
	defer p.m.mu.Unlock()
	req.readers--
	if req.readers > 0 || req.outcome != "" {
		return
	}
	req.orphanTimer = time.AfterFunc(p.m.opts.OrphanTime, func() {
		p.m.mu.Lock()
		defer p.m.mu.Unlock()
		if req.readers == 0 {
			p.end(req, "abandoned")
		}
	})
}

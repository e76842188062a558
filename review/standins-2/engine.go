package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// engineModel is a model that groups of replicas run.
type engineModel struct {
	name       string
	size       int
	share      float64
	load, warm time.Duration
}

func engineService(name string, models []engineModel, perDomain int) map[string]any {
	var list []map[string]any
	for _, m := range models {
		list = append(list, map[string]any{"name": m.name, "size": m.size, "share": m.share, "pace": 1.0, "load_s": m.load.Seconds(), "warm_s": m.warm.Seconds()})
	}
	return map[string]any{"name": name, "health_path": "/health", "max_connections": 300, "cold_start_s": 0, "cold_per_s": 0,
		"engine": map[string]any{"slots": 26, "stride": 5, "chunk": 2048, "step_ms": 6.07, "per_seq_ms": 0.241, "context_per_k": 0.00488, "read_per_s": 46000.0,
			"pairs_per_m": 0.7, "loads_per_s": 4.0, "loads_at_once": 6, "form_ms": 300.0, "kv_capacity_tokens": 1400000, "domain": perDomain, "keeps": 1,
			"report_lag_ms": 200.0, "usual": map[string]float64{"prompt": 1000, "answer": 100}, "models": list}}
}

// engines are the replicas of a model service. They share a lock, so that the check of a join knows the state of all.
type engines struct {
	mu       sync.Mutex
	rec      *record
	store    *store
	service  string
	models   []engineModel
	all      []*engine
	breaches []string // Of TWO and PARTIAL.
	begun    bool     // A client's request has come.
	events   int      // Of each stream.
	gap      time.Duration
	stall    time.Duration
}

type membership struct {
	name    string
	epoch   int64
	members []string
	rank    int
	state   string
}

func (m *membership) key() string { return fmt.Sprintf("%s/%d", m.name, m.epoch) }

// engine is a stand-in of one replica of a model service, as PROTOCOL.md describes it.
type engine struct {
	of           *engines
	id, zone     string
	domain       string
	born         int64
	listener     net.Listener
	sequence     int64 // Of check-ins.
	orders       int64
	staged       []string
	models       []string
	lastModel    string // Of its last group.
	group        *membership
	left         *membership // The group that it has left on an order, until it is broken.
	maxEpoch     int64
	busy         bool
	running      int
	wasReady     map[string]bool
	stillSince   time.Time // When the group of this head lost a member; zero if it hasn't.
	silentUntil  time.Time
	draining     bool
	ended        bool
	lastCheckIn  string
	acceptedJoin int
}

func newEngines(rec *record, s *store, service string, models []engineModel, zones []string, perZone int) (*engines, error) {
	es := &engines{rec: rec, store: s, service: service, models: models, events: 20, gap: 60 * time.Millisecond, stall: 4 * time.Second}
	for zi, zone := range zones {
		for i := 0; i < perZone; i++ {
			l, err := net.Listen("tcp", fmt.Sprintf("127.31.%d.%d:0", 120+zi, 10+i))
			if err != nil {
				return nil, err
			}
			e := &engine{of: es, id: fmt.Sprintf("i-%s-%02d", zone, i), zone: zone, domain: "fabric-" + zone, born: time.Now().UnixMilli(), listener: l,
				wasReady: map[string]bool{}}
			es.all = append(es.all, e)
		}
	}
	return es, nil
}

func (es *engines) serve() {
	for _, e := range es.all {
		go http.Serve(e.listener, e)
		es.mu.Lock()
		e.checkIn()
		es.mu.Unlock()
		go func() {
			for {
				time.Sleep(1200 * time.Millisecond)
				es.mu.Lock()
				if !time.Now().Before(e.silentUntil) {
					e.checkIn()
				}
				es.mu.Unlock()
			}
		}()
	}
}

func (es *engines) model(name string) *engineModel {
	for i := range es.models {
		if es.models[i].name == name {
			return &es.models[i]
		}
	}
	return nil
}

func (es *engines) byID(id string) *engine {
	for _, e := range es.all {
		if e.id == id {
			return e
		}
	}
	return nil
}

// state returns what a replica says of itself. The lock is held.
func (e *engine) state() map[string]any {
	models := []map[string]any{}
	for _, m := range e.models {
		models = append(models, map[string]any{"name": m, "version": 1, "adapters": []string{}})
	}
	s := map[string]any{"stage": "both", "models": models, "domain": e.domain, "staged": slices.Clone(e.staged), "born": e.born}
	if e.group != nil {
		s["group"] = map[string]any{"name": e.group.name, "epoch": e.group.epoch, "rank": e.group.rank, "state": e.group.state}
	}
	return s
}

// checkIn writes the entry. The lock is held.
func (e *engine) checkIn() {
	if e.ended {
		return
	}
	entry := e.state()
	state := "ready"
	if e.draining {
		state = "draining"
	}
	e.sequence++
	for k, v := range map[string]any{"service": e.of.service, "address": e.listener.Addr().String(), "zone": e.zone, "version": "1", "slots": 26, "state": state,
		wire["coldRemaining"]: 0} {
		entry[k] = v
	}
	text, _ := json.Marshal(entry)
	if string(text) == e.lastCheckIn {
		return // Only more than the sequence changes an entry.
	}
	e.lastCheckIn = string(text)
	entry["sequence"] = e.sequence
	e.of.store.put("servers", e.id, entry)
}

// awaitVoice waits while the replica is silent. It accepts connections then, as a process that stands still.
func (e *engine) awaitVoice() {
	for {
		e.of.mu.Lock()
		wait := time.Until(e.silentUntil)
		e.of.mu.Unlock()
		if wait <= 0 {
			return
		}
		time.Sleep(wait)
	}
}

func (e *engine) headers(w http.ResponseWriter, id string) {
	h := w.Header()
	h.Set(wire["instanceId"], e.id)
	if id != "" {
		h.Set(wire["requestId"], id)
	}
	e.of.mu.Lock()
	if e.draining {
		h.Set(wire["leaving"], "1")
	}
	e.of.mu.Unlock()
}

func (e *engine) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	e.awaitVoice()
	id := q.Header.Get(wire["requestId"])
	e.headers(w, id)
	if x := q.Header.Get(wire["expectInstance"]); x != "" && x != e.id {
		w.Header().Set(wire["notExecuted"], "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch q.URL.Path {
	case "/health":
	case wire["report"]:
		e.of.mu.Lock()
		report := e.state()
		for k, v := range map[string]any{"busy": e.busy, "sequence": e.orders, "waiting": 0, "running": e.running, "kv_used": 0, "kv_total": 1400000, "handles": 0, "pace": 1.0} {
			report[k] = v
		}
		e.of.mu.Unlock()
		reply(w, http.StatusOK, report)
	case wire["order"]:
		data, err := io.ReadAll(q.Body)
		var o order
		if err != nil || json.Unmarshal(data, &o) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		status := e.carryOut(o)
		e.of.rec.log("replica %s: order %s %s/%d %s %v -> %d", e.id, o.Operation, o.Group, o.Epoch, o.Model, o.Members, status)
		reply(w, status, map[string]any{})
	default:
		e.generate(w, q, id)
	}
}

type order struct {
	Operation string   `json:"operation"`
	Group     string   `json:"group"`
	Epoch     int64    `json:"epoch"`
	Model     string   `json:"model"`
	Members   []string `json:"members"`
	Expect    *int64   `json:"expect"`
}

// headOf returns the replica that heads an epoch of a group now, or nil. The lock is held.
func (es *engines) headOf(m *membership) *engine {
	if m == nil || len(m.members) == 0 {
		return nil
	}
	head := es.byID(m.members[0])
	if head == nil || head.ended || head.group == nil || head.group.key() != m.key() {
		return nil
	}
	return head
}

// serves reports whether the head of a group is open or closing, or stands still and isn't broken yet. The lock is held.
func (es *engines) serves(m *membership) bool {
	head := es.headOf(m)
	if head == nil {
		return false
	}
	head.breakIfDue()
	return head.group.state == "open" || head.group.state == "closing"
}

func (e *engine) breakIfDue() {
	if e.group != nil && !e.stillSince.IsZero() && time.Since(e.stillSince) >= e.of.stall {
		e.group.state = "broken"
		e.stillSince = time.Time{}
		e.checkIn()
	}
}

// lostMember notes at the head of a group that a member isn't in it any more. The lock is held.
func (es *engines) lostMember(m *membership, by *engine) {
	if head := es.headOf(m); head != nil && head != by && head.stillSince.IsZero() && (head.group.state == "open" || head.group.state == "closing") {
		head.stillSince = time.Now()
		es.rec.log("replica %s: its group %s stands still, as %s has gone", head.id, m.key(), by.id)
		go func() {
			time.Sleep(es.stall)
			es.mu.Lock()
			defer es.mu.Unlock()
			head.breakIfDue()
		}()
	}
}

func (e *engine) carryOut(o order) int {
	es := e.of
	es.mu.Lock()
	defer es.mu.Unlock()
	if o.Expect != nil && *o.Expect != e.orders {
		return http.StatusConflict
	}
	switch o.Operation {
	case "join":
		return e.join(o)
	case "open":
		switch {
		case e.group == nil || e.group.name != o.Group || e.group.epoch != o.Epoch || e.group.rank != 0:
			return http.StatusConflict
		case e.group.state == "open":
			return http.StatusOK
		case e.group.state != "ready" || e.busy:
			return http.StatusConflict
		}
		e.orders++
		e.later(300*time.Millisecond, func() { e.group.state = "open" })
		return http.StatusAccepted
	case "close":
		if e.group == nil || e.group.name != o.Group || e.group.epoch != o.Epoch || e.group.state != "open" {
			return http.StatusConflict
		}
		e.orders++
		e.group.state = "closing"
		e.checkIn()
		go e.finishClosing(e.group)
		return http.StatusAccepted
	case "leave":
		if e.group == nil || e.group.name != o.Group || e.group.epoch != o.Epoch {
			return http.StatusConflict
		}
		e.orders++
		e.leaveGroup()
		e.checkIn()
		return http.StatusOK
	case "stage":
		m := es.model(o.Model)
		switch {
		case m == nil:
			return http.StatusBadRequest
		case slices.Contains(e.staged, o.Model):
			return http.StatusOK
		case e.busy:
			return http.StatusConflict
		}
		e.orders++
		e.later(e.loadTime(m), func() { e.staged = []string{o.Model} })
		return http.StatusAccepted
	}
	return http.StatusBadRequest
}

func (e *engine) finishClosing(m *membership) {
	for {
		time.Sleep(20 * time.Millisecond)
		e.of.mu.Lock()
		if e.group != m || m.state != "closing" {
			e.of.mu.Unlock()
			return
		}
		if e.running == 0 {
			m.state = "ready"
			e.checkIn()
			e.of.mu.Unlock()
			return
		}
		e.of.mu.Unlock()
	}
}

func (e *engine) loadTime(m *engineModel) time.Duration {
	if !e.of.begun {
		return m.load / 10
	}
	return m.load
}

// later carries out the rest of an order. The lock is held, also during the call of done.
func (e *engine) later(after time.Duration, done func()) {
	e.busy = true
	n := e.orders
	go func() {
		time.Sleep(after)
		e.awaitVoice()
		e.of.mu.Lock()
		defer e.of.mu.Unlock()
		if e.orders != n || e.ended {
			return
		}
		e.busy = false
		done()
		e.checkIn()
	}()
}

// leaveGroup ends the membership. The lock is held.
func (e *engine) leaveGroup() {
	old := e.group
	e.group, e.busy, e.stillSince = nil, false, time.Time{}
	if old != nil {
		e.left = old
		e.of.lostMember(old, e)
	}
}

func (e *engine) join(o order) int {
	es := e.of
	m := es.model(o.Model)
	rank := slices.Index(o.Members, e.id)
	if m == nil || rank < 0 {
		return http.StatusBadRequest
	}
	if o.Epoch < e.maxEpoch {
		return http.StatusPreconditionFailed
	}
	if g := e.group; g != nil && g.name == o.Group && g.epoch == o.Epoch {
		if !slices.Equal(g.members, o.Members) {
			return http.StatusPreconditionFailed
		}
		return http.StatusOK
	}
	joined := &membership{o.Group, o.Epoch, o.Members, rank, "joining"}
	for _, former := range []*membership{e.group, e.left} {
		if former == nil || former.rank == 0 && former == e.group || former.name == o.Group && former.epoch == o.Epoch || !es.serves(former) {
			continue
		}
		head := es.headOf(former)
		text := fmt.Sprintf("TWO: replica %s takes a join of %s while %s, the head of its group %s, is %s (stands still: %v; left it on an order: %v)",
			e.id, joined.key(), head.id, former.key(), head.group.state, !head.stillSince.IsZero(), former == e.left)
		es.breaches = append(es.breaches, text)
		es.rec.log("%s", text)
	}
	e.maxEpoch, e.acceptedJoin = o.Epoch, e.acceptedJoin+1
	e.orders++
	if e.group != nil {
		e.leaveGroup()
	}
	e.left = nil
	e.group = joined
	took := 200 * time.Millisecond
	switch {
	case e.lastModel == o.Model:
	case slices.Contains(e.staged, o.Model):
		took = m.warm
	default:
		took = e.loadTime(m)
	}
	e.checkIn()
	e.later(took, func() {
		e.lastModel, e.models, e.staged = o.Model, []string{o.Model}, []string{o.Model}
		joined.state = "ready"
		e.wasReady[joined.key()] = true
	})
	return http.StatusAccepted
}

// generate answers a request with a stream of numbered events.
func (e *engine) generate(w http.ResponseWriter, q *http.Request, id string) {
	_, _ = io.Copy(io.Discard, q.Body)
	es := e.of
	es.mu.Lock()
	es.begun = true
	g := e.group
	if id == "" || g == nil || g.rank != 0 || g.state != "open" {
		es.mu.Unlock()
		w.Header().Set(wire["notExecuted"], "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	m := es.model(e.models[0])
	if len(g.members) != m.size {
		es.breaches = append(es.breaches, fmt.Sprintf("PARTIAL: request %s runs in %s of %d members", id, g.key(), len(g.members)))
	}
	for _, member := range g.members {
		if r := es.byID(member); r == nil || !r.wasReady[g.key()] {
			es.breaches = append(es.breaches, fmt.Sprintf("PARTIAL: request %s runs in %s, of which %s was never ready", id, g.key(), member))
		}
	}
	e.running++
	es.mu.Unlock()
	defer func() {
		es.mu.Lock()
		e.running--
		es.mu.Unlock()
	}()
	es.rec.log("replica %s: request %s runs in group %s, after event %q", e.id, id, g.key(), q.Header.Get("Last-Event-Id"))
	from, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	w.Header().Set(wire["seal"], "seal-"+id)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	for n := from + 1; n <= es.events; n++ {
		time.Sleep(es.gap)
		e.awaitVoice()
		es.mu.Lock()
		stands := !e.stillSince.IsZero()
		moved := e.group != g || g.state == "broken"
		es.mu.Unlock()
		for stands && !moved {
			time.Sleep(20 * time.Millisecond)
			es.mu.Lock()
			moved = e.group != g || g.state == "broken"
			es.mu.Unlock()
		}
		if moved {
			es.rec.log("replica %s: request %s is cut off after event %d", e.id, id, n-1)
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", n, id, n); err != nil {
			return
		}
		if http.NewResponseController(w).Flush() != nil || q.Context().Err() != nil {
			es.rec.log("replica %s: the channel of request %s is closed after event %d", e.id, id, n)
			return
		}
	}
	es.rec.log("replica %s: request %s is complete", e.id, id)
}

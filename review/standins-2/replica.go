package main

import (
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// replica is a stand-in of one server of a plain service. It behaves as PROTOCOL.md says of a sound one.
type replica struct {
	id, service, zone string
	slots             int
	store             *store
	rec               *record
	born              int64
	listener          net.Listener
	server            *http.Server
	sequence          atomic.Int64
	leaving           atomic.Bool
	stop              chan struct{}
	stopOnce          sync.Once
	// work answers a request that begins to run. Nil for one that takes 20 ms.
	work func(w http.ResponseWriter, r *http.Request, id string)

	mu       sync.Mutex
	arrivals []arrival
	runs     map[string]int
}

type arrival struct {
	at  time.Time
	id  string
	ran bool
}

func newReplica(rec *record, s *store, id, service, zone, address string, slots int) (*replica, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &replica{id: id, service: service, zone: zone, slots: slots, store: s, rec: rec, born: time.Now().UnixMilli(), listener: l,
		stop: make(chan struct{}), runs: map[string]int{}}, nil
}

// checkIn writes the replica's entry.
func (r *replica) checkIn() {
	state := "ready"
	if r.leaving.Load() {
		state = "draining"
	}
	r.store.put("servers", r.id, map[string]any{"service": r.service, "address": r.listener.Addr().String(), "zone": r.zone, "version": "1",
		"slots": r.slots, "state": state, wire["coldRemaining"]: 0, "sequence": r.sequence.Add(1), "born": r.born})
}

func (r *replica) serve() {
	r.server = &http.Server{Handler: r}
	go r.server.Serve(r.listener)
	r.checkIn()
	go func() {
		for {
			select {
			case <-r.stop:
				return
			case <-time.After(1200 * time.Millisecond):
				r.checkIn()
			}
		}
	}()
}

// drain reports that the replica leaves, and returns when the store has accepted that.
func (r *replica) drain() time.Time {
	r.leaving.Store(true)
	r.checkIn()
	r.rec.log("replica %s has reported draining; the store has accepted it", r.id)
	return time.Now()
}

// end ends the replica, as a process that exits.
func (r *replica) end() {
	r.stopOnce.Do(func() { close(r.stop) })
	_ = r.server.Close()
}

func (r *replica) headers(w http.ResponseWriter, id string) {
	h := w.Header()
	if id != "" {
		h.Set(wire["requestId"], id)
	}
	h.Set(wire["instanceId"], r.id)
	if r.leaving.Load() {
		h.Set(wire["leaving"], "1")
		h.Set("Connection", "close")
	} else {
		h.Set("Keep-Alive", "timeout=10")
	}
}

func (r *replica) notRun(w http.ResponseWriter, id string, status int) {
	w.Header().Set(wire["notExecuted"], "1")
	r.headers(w, id)
	w.WriteHeader(status)
}

func (r *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if q.URL.Path == "/health" {
		r.headers(w, "")
		return
	}
	at, id := time.Now(), q.Header.Get(wire["requestId"])
	body, err := io.ReadAll(q.Body)
	expects := q.Header.Get(wire["expectInstance"])
	ran := err == nil && id != "" && (expects == "" || expects == r.id)
	r.mu.Lock()
	r.arrivals = append(r.arrivals, arrival{at, id, ran})
	if ran {
		r.runs[id]++
	}
	n := r.runs[id]
	r.mu.Unlock()
	r.rec.log("replica %s: request %s arrives (%s %s, %d bytes); runs: %v (run %d)", r.id, id, q.Method, q.URL.Path, len(body), ran, n)
	switch {
	case err != nil:
		return
	case id == "":
		r.notRun(w, id, http.StatusBadRequest)
	case !ran:
		r.notRun(w, id, http.StatusMisdirectedRequest)
	case r.work != nil:
		r.work(w, q, id)
	default:
		time.Sleep(20 * time.Millisecond)
		r.answer(w, id, "done "+id)
	}
}

// answer sends a success with the replica's seal.
func (r *replica) answer(w http.ResponseWriter, id, body string) {
	r.headers(w, id)
	w.Header().Set(wire["seal"], "seal-"+id)
	_, _ = io.WriteString(w, body)
	r.rec.log("replica %s: request %s is answered", r.id, id)
}

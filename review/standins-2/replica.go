package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
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
	coldUntil         atomic.Int64 // Unix milliseconds.
	stop              chan struct{}
	stopOnce          sync.Once
	// work answers a request that begins to run. Nil for one that takes 20 ms.
	work func(w http.ResponseWriter, r *http.Request, id string)

	mu       sync.Mutex
	arrivals []arrival
	runs     map[string]int
	coldFrom time.Time
	crashAt  int // Requests within a second at which the cold replica crashes; 0 for never.
	crashed  bool
}

// startCold starts the replica, which is cold for a while. It crashes if it gets more requests within a second than given.
func (r *replica) startCold(d time.Duration, tolerated int) {
	r.coldFrom, r.crashAt, r.born = time.Now(), tolerated+1, time.Now().UnixMilli()
	r.coldUntil.Store(time.Now().Add(d).UnixMilli())
	r.rec.log("replica %s starts and is cold for %v", r.id, d)
	r.serve()
}

// mostWhileCold returns the most requests that have arrived within a second of the cold time, without those that got 421.
func (r *replica) mostWhileCold() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mostWhileColdLocked(0)
}

// mostWhileColdLocked looks at the arrivals from an index on.
func (r *replica) mostWhileColdLocked(from int) int {
	var times []time.Time
	for _, a := range r.arrivals[from:] {
		if a.ran && !r.coldFrom.IsZero() && a.at.After(r.coldFrom) && a.at.UnixMilli() < r.coldUntil.Load() {
			times = append(times, a.at)
		}
	}
	sort.Slice(times, func(i, j int) bool { return times[i].Before(times[j]) })
	most, end := 0, 0
	for start := range times {
		for end < len(times) && times[end].Sub(times[start]) < time.Second {
			end++
		}
		most = max(most, end-start)
	}
	return most
}

type arrival struct {
	at      time.Time
	id      string
	ran     bool
	expects string
}

func newReplica(rec *record, s *store, id, service, zone, address string, slots int) (*replica, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &replica{id: id, service: service, zone: zone, slots: slots, store: s, rec: rec, born: time.Now().UnixMilli(), listener: l,
		stop: make(chan struct{}), runs: map[string]int{}}, nil
}

func (r *replica) coldLeft() int64 { return max(0, r.coldUntil.Load()-time.Now().UnixMilli()) }

// checkIn writes the replica's entry.
func (r *replica) checkIn() {
	state := "ready"
	if r.leaving.Load() {
		state = "draining"
	}
	r.store.put("servers", r.id, map[string]any{"service": r.service, "address": r.listener.Addr().String(), "zone": r.zone, "version": "1",
		"slots": r.slots, "state": state, wire["coldRemaining"]: r.coldLeft(), "sequence": r.sequence.Add(1), "born": r.born})
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
	if cold := r.coldLeft(); cold > 0 {
		h.Set(wire["coldMs"], fmt.Sprint(cold))
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
	r.arrivals = append(r.arrivals, arrival{at, id, ran, expects})
	if ran {
		r.runs[id]++
	}
	n := r.runs[id]
	crash := r.crashAt > 0 && !r.crashed && r.mostWhileColdLocked(max(0, len(r.arrivals)-4*r.crashAt)) >= r.crashAt
	r.crashed = r.crashed || crash
	r.mu.Unlock()
	r.rec.log("replica %s: request %s arrives (%s %s, %d bytes); runs: %v (run %d)", r.id, id, q.Method, q.URL.Path, len(body), ran, n)
	switch {
	case err != nil:
		return
	case crash:
		r.rec.log("replica %s is cold and has got %d requests in a second: it crashes, with all that it runs", r.id, r.crashAt)
		go r.end()
		panic(http.ErrAbortHandler)
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

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// heartbeat is the time between two check-ins of a replica.
	heartbeat = 1200 * time.Millisecond
	// crashPause is the time for which a replica that has crashed is away.
	crashPause = 2 * time.Second
	// sealPart stands for the signature of an answer.
	sealPart = "3e1b.07.5a2.600.0."
)

// replica stands in for one replica of a plain service.
type replica struct {
	id, service, zone, address string

	store  *store
	record *record
	work   time.Duration // How long a request runs.
	slots  int
	cold   time.Duration // How long the replica stays cold after its start.

	mu       sync.Mutex
	born     time.Time
	state    string
	sequence int
	slotFree chan struct{}
	lives    []life // The last one is the present one.
	// coldFrom is when the replica last became cold: its start, or turnedAt.
	coldFrom time.Time
	turnedAt time.Time
	lastBeat time.Time
	// crashAt is the number of requests in one second at which the replica crashes while it is cold; 0 for never.
	crashAt  int
	crashes  int
	brokeOff int // Requests that ran when the replica crashed.
	runs     map[string]int
	server   *http.Server
	stopBeat chan struct{}
}

// life is one start of a replica.
type life struct {
	born     time.Time
	arrivals []time.Time // Of requests.
	crashed  bool
}

// since returns the number of requests that have arrived in the second before the last one of them, but not before a time.
func (l life) since(start time.Time) int {
	n := len(l.arrivals)
	for first := n; first > 0; first-- {
		if t := l.arrivals[first-1]; l.arrivals[n-1].Sub(t) >= time.Second || t.Before(start) {
			return n - first
		}
	}
	return n
}

func newReplica(s *store, r *record, id, service, zone string, work time.Duration, slots int, cold time.Duration) *replica {
	return &replica{id: id, service: service, zone: zone, store: s, record: r, work: work, slots: slots, cold: cold, runs: map[string]int{}}
}

// start starts a new life of the replica. It listens at its former address, if it had one.
func (p *replica) start() error {
	address := p.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.address, p.born, p.state, p.sequence = listener.Addr().String(), time.Now(), "ready", 0
	p.coldFrom = p.born
	p.lives = append(p.lives, life{born: p.born})
	p.slotFree, p.stopBeat = make(chan struct{}, p.slots), make(chan struct{})
	p.server = &http.Server{Handler: p}
	server, stop := p.server, p.stopBeat
	p.mu.Unlock()
	p.record.add("%s: started at %s, cold for %v", p.id, p.address, p.cold)
	go func() { _ = server.Serve(listener) }() // Ends with Close.
	p.beat()
	go func() {
		ticker := time.NewTicker(heartbeat)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
				p.beat()
			}
		}
	}()
	return nil
}

// crash ends the replica. It says nothing to the store, which removes the entry after three missed check-ins.
func (p *replica) crash() {
	p.mu.Lock()
	server, stop := p.server, p.stopBeat
	p.mu.Unlock()
	close(stop)
	_ = server.Close()
	p.record.add("%s: ended", p.id)
}

// entry returns what the replica writes to the store at its next check-in.
func (p *replica) entry() map[string]any {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sequence++
	return map[string]any{"service": p.service, "address": p.address, "zone": p.zone, "version": "v1", "slots": p.slots, "state": p.state,
		wire.ColdField: max(0, p.cold-time.Since(p.coldFrom)).Milliseconds(), "sequence": p.sequence, "born": p.born.UnixMilli()}
}

func (p *replica) beat() {
	p.store.put("servers", p.id, p.entry())
	p.mu.Lock()
	p.lastBeat = time.Now()
	p.mu.Unlock()
}

// awaitBeat waits until the given time after the next check-in.
func (p *replica) awaitBeat(after time.Duration) {
	p.mu.Lock()
	last := p.lastBeat
	p.mu.Unlock()
	for {
		p.mu.Lock()
		beat := p.lastBeat
		p.mu.Unlock()
		if beat != last {
			time.Sleep(time.Until(beat.Add(after)))
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// turnCold makes a running replica cold. The entry shows it from the next check-in on. crashAt replaces the field of that name.
func (p *replica) turnCold(cold time.Duration, crashAt int) {
	p.mu.Lock()
	p.turnedAt = time.Now()
	p.cold, p.coldFrom, p.crashAt = cold, p.turnedAt, crashAt
	p.mu.Unlock()
	p.record.say("%s: turns cold for %v", p.id, cold)
}

// mostWhileCold returns the most requests in any second since the replica turned cold, and when that second began. A replica that wasn't
// made cold has none.
func (p *replica) mostWhileCold() (most int, at time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cold == 0 {
		return 0, 0
	}
	// The life in which it turned cold is the first one.
	return mostInOneSecond(p.lives[0].arrivals, p.turnedAt, p.cold)
}

func (p *replica) isLeaving() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state == "draining"
}

// drain makes the replica report that it is leaving. It goes on to serve.
func (p *replica) drain() {
	p.mu.Lock()
	p.state = "draining"
	p.mu.Unlock()
	p.beat()
	p.record.add("%s: draining, acknowledged by the store", p.id)
}

// ServeHTTP implements http.Handler.
func (p *replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(wire.HeaderPrefix + "Request-Id")
	w.Header().Set(wire.HeaderPrefix+"Instance-Id", p.id)
	if id != "" {
		w.Header().Set(wire.HeaderPrefix+"Request-Id", id)
	}
	if p.isLeaving() {
		w.Header().Set("Server-Leaving", "1")
		w.Header().Set("Connection", "close")
	}
	if want := r.Header.Get(wire.HeaderPrefix + "Expect-Instance"); want != "" && want != p.id {
		w.Header().Set(wire.HeaderPrefix+"Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == wire.PathReport {
		reply(w, http.StatusOK, p.entry())
		return
	}
	p.mu.Lock()
	current := &p.lives[len(p.lives)-1]
	current.arrivals = append(current.arrivals, time.Now())
	slot, draining := p.slotFree, p.state == "draining"
	crashes := p.crashAt > 0 && !current.crashed && time.Since(p.coldFrom) < p.cold && current.since(p.coldFrom) == p.crashAt
	if crashes {
		current.crashed = true
		p.crashes++
		p.brokeOff += len(p.slotFree)
	}
	p.mu.Unlock()
	if crashes {
		p.record.say("%s: CRASHES, as it got %d requests within a second while cold", p.id, p.crashAt)
		p.crash()
		time.AfterFunc(crashPause, func() {
			if err := p.start(); err != nil {
				p.record.say("%s: could not start again: %v", p.id, err)
			}
		})
		return
	}
	p.record.add("%s: request %s from %s arrives (draining: %v)", p.id, id, r.RemoteAddr, draining)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	select {
	case slot <- struct{}{}:
		defer func() { <-slot }()
	case <-r.Context().Done():
		return
	}
	p.mu.Lock()
	p.runs[id]++
	p.mu.Unlock()
	select {
	case <-time.After(p.work):
	case <-r.Context().Done():
		p.record.add("%s: request %s is dropped", p.id, id)
		return
	}
	body := fmt.Sprintf("done %s by %s", id, p.id)
	w.Header().Set(wire.HeaderPrefix+"Response-Seal", sealPart+id)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body) // A caller that has left gets no answer.
	p.record.add("%s: request %s answered", p.id, id)
}

// mostInOneSecond returns the most requests in any second of the cold time of the lives from the given one on, and when after the start
// of its life that second began.
func (p *replica) mostInOneSecond(fromLife int) (most int, at time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.lives[fromLife:] {
		if n, t := mostInOneSecond(l.arrivals, l.born, p.cold); n > most {
			most, at = n, t
		}
	}
	return most, at
}

// mostInOneSecond returns the most arrivals in any second of the cold time from start on, and when after start that second began.
func mostInOneSecond(arrivals []time.Time, start time.Time, cold time.Duration) (most int, at time.Duration) {
	first := 0
	for last, t := range arrivals {
		if t.Sub(start) > cold {
			break
		}
		for first < last && (arrivals[first].Before(start) || t.Sub(arrivals[first]) >= time.Second) {
			first++
		}
		if n := last - first + 1; !t.Before(start) && n > most {
			most, at = n, arrivals[first].Sub(start)
		}
	}
	return most, at
}

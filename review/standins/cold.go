package main

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

// Figures of the sheet of pst-decals: its machines, its clients, and the cold time and rate of its model service.
const (
	sheetNodes    = 7
	sheetClients  = 104
	coldStartS    = 3.0
	sheetPerS     = 38
	coldOvershoot = 1.5
	coldSlack     = 5
	// smallPerS is the rate that a cold server of a small service tolerates.
	smallPerS = 12
)

// coldTime is how long a server stays cold.
func coldTime() time.Duration { return time.Duration(coldStartS * float64(time.Second)) }

// coldAfterRestart kills all processes of the system at the same moment while the server of a service is away, and starts them again when
// it comes back cold. Without the disruption only the server is restarted. Rule FAILBACK bounds the requests that reach a cold server in
// one second.
func coldAfterRestart(p *play) (bool, error) {
	server, err := p.beginWithOneServer(coldTime(), smallPerS)
	if err != nil {
		return false, err
	}
	server.crashAt = 3 * smallPerS
	load := p.startLoad(600 * time.Millisecond)
	time.Sleep(6 * time.Second)

	p.record.say("the server is away")
	server.crash()
	if p.trouble {
		for _, n := range p.nodes {
			n.kill()
		}
	}
	time.Sleep(500 * time.Millisecond)
	p.record.say("the server is back, cold")
	if err := server.start(); err != nil {
		return false, err
	}
	if p.trouble {
		var errs []error
		for _, n := range p.nodes {
			errs = append(errs, p.restart(n))
		}
		if err := errors.Join(errs...); err != nil {
			return false, err
		}
	}
	time.Sleep(6 * time.Second)
	load.end()
	most, at := server.mostInOneSecond(1)
	return p.judgeCold(server, load, smallPerS, most, at), nil
}

// beginWithOneServer starts the nodes of the sheet and a service with one server, which tolerates a rate of requests while it is cold.
func (p *play) beginWithOneServer(cold time.Duration, perS float64) (*replica, error) {
	p.store.put("config", "main", config(7, []map[string]any{route("r-stock", "/stock/", "safe", "shop", 2), route("r-order", "/order/", "unsafe", "shop", 1)},
		[]map[string]any{service("shop", coldStartS, perS)}))
	server := newReplica(p.store, p.record, "i-02d9e6b4", "shop", "perth-a", 60*time.Millisecond, 26, cold)
	if err := server.start(); err != nil {
		return nil, err
	}
	if err := p.begin(sheetNodes, sheetZones); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	return server, nil
}

var sheetZones = []string{"perth-a", "perth-b", "perth-c"}

// load is the clients of the sheet. Each one keeps one request under way.
type load struct {
	stop    chan struct{}
	clients sync.WaitGroup

	mu      sync.Mutex
	answers map[string]int // By method and status.
}

func (p *play) startLoad(pause time.Duration) *load {
	l := &load{stop: make(chan struct{}), answers: map[string]int{}}
	for i := range sheetClients {
		c := newClient(fmt.Sprintf("client-%d", i), sheetZones[i%len(sheetZones)], p.nodes, p.record)
		q := call{method: "GET", path: "/stock/2f", safe: true}
		if i%4 == 0 {
			q = call{method: "POST", path: "/order/2f", body: []byte("one sheet")}
		}
		l.clients.Go(func() {
			c.run(l.stop, q, 4*time.Second, pause, func(o outcome) {
				l.mu.Lock()
				l.answers[fmt.Sprintf("%s %d", q.method, o.status)]++
				l.mu.Unlock()
			})
		})
	}
	return l
}

func (l *load) end() {
	close(l.stop)
	l.clients.Wait()
}

// judgeCold compares the most requests in a second at the cold server with the bound of the rule.
func (p *play) judgeCold(server *replica, l *load, perS float64, most int, at time.Duration) (broken bool) {
	bound := perS*coldOvershoot + coldSlack
	p.record.say("answers by status, 0 for a channel that ended without one: %v", l.answers)
	p.record.say("the server crashed %d times; %d requests were running there", server.crashes, server.brokeOff)
	p.record.say("most requests in one second at the cold server: %d, from %.3f s after it became cold; the bound is %.0f", most, at.Seconds(), bound)
	return float64(most) > bound
}

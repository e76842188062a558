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
	coldPerS      = 38.0
	coldOvershoot = 1.5
	coldSlack     = 5
	// crashAt is the number of requests in a second at which the cold server crashes: twice the rate that it tolerates.
	crashAt = 2 * coldPerS
)

// coldAfterRestart kills all processes of the system at the same moment while the server of a service is away, and starts them again when
// it comes back cold. Without the disruption only the server is restarted. Rule FAILBACK bounds the requests that reach a cold server in one second.
func coldAfterRestart(p *play) (bool, error) {
	zones := []string{"perth-a", "perth-b", "perth-c"}
	p.store.put("config", "main", config(7, []map[string]any{route("r-stock", "/stock/", "safe", "shop", 2), route("r-order", "/order/", "unsafe", "shop", 1)},
		[]map[string]any{service("shop", coldStartS, coldPerS)}))
	server := newReplica(p.store, p.record, "i-02d9e6b4", "shop", "perth-a", 60*time.Millisecond, 26, time.Duration(coldStartS*float64(time.Second)))
	server.crashAt = crashAt
	if err := server.start(); err != nil {
		return false, err
	}
	if err := p.begin(sheetNodes, zones); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)

	stop, answers := make(chan struct{}), map[string]int{}
	var clients sync.WaitGroup
	var mu sync.Mutex
	for i := range sheetClients {
		c := newClient(fmt.Sprintf("client-%d", i), zones[i%len(zones)], p.nodes, p.record)
		q := call{method: "GET", path: "/stock/2f", safe: true}
		if i%4 == 0 {
			q = call{method: "POST", path: "/order/2f", body: []byte("one sheet")}
		}
		clients.Go(func() {
			c.run(stop, q, 4*time.Second, 600*time.Millisecond, func(o outcome) {
				mu.Lock()
				answers[fmt.Sprintf("%s %d", q.method, o.status)]++
				mu.Unlock()
			})
		})
	}
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
	close(stop)
	clients.Wait()
	most, at := server.mostInOneSecond(1)
	bound := coldPerS*coldOvershoot + coldSlack
	p.record.say("answers by status, 0 for a channel that ended without one: %v", answers)
	p.record.say("the server crashed %d times; %d requests were running there", server.crashes, server.brokeOff)
	p.record.say("most requests in one second at the cold server: %d, from %.3f s after its start; the bound is %.0f", most, at.Seconds(), bound)
	return float64(most) > bound, nil
}

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	configRoutes = 4300
	// Configs come in storms like those of the sheet: each gap for the length, and then nothing until the period is over.
	stormLength, stormGap, stormPeriod = 2 * time.Second, 80 * time.Millisecond, 2400 * time.Millisecond
	// calmGap is the time between two configs without the disruption: 17,000 a day.
	calmGap = 5 * time.Second
	// configTime is how long configs are written.
	configTime = 95 * time.Second
)

// manyConfigs changes a large config again and again. A process that exceeds its memory is killed and started again. The rule on faults bounds
// how often processes may end by themselves.
func manyConfigs(p *play) (bool, error) {
	zones := []string{"perth-a", "perth-b", "perth-c"}
	services := []map[string]any{service("shop", 0, 0)}
	routes := []map[string]any{route("r-order", "/order/", "unsafe", "shop", 1)}
	for i := range configRoutes {
		routes = append(routes, route(fmt.Sprintf("r-%05d", i), fmt.Sprintf("/added-%05d/", i), "unsafe", "shop", 1))
	}
	version := 7
	write := func() {
		version++
		routes[1]["timeout_ms"] = 4000 + version%2
		p.store.put("config", "main", config(version, routes, services))
	}
	write()
	size, err := json.Marshal(config(version, routes, services))
	if err != nil {
		return false, err
	}
	p.record.say("a config has %d bytes; the store holds %d at most", len(size), 1048576)
	for i, zone := range zones {
		if err := newReplica(p.store, p.record, fmt.Sprintf("i-02d9e6b%d", i), "shop", zone, 60*time.Millisecond, 6, 0).start(); err != nil {
			return false, err
		}
	}
	if err := p.begin(3, zones); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	watch := &memoryWatch{play: p, removed: map[*node]bool{}, kills: map[*node]int{}, most: map[*node]int{}}
	stop := make(chan struct{})
	var running sync.WaitGroup
	for _, n := range p.nodes {
		running.Go(func() { watch.run(n, stop) })
	}
	var mu sync.Mutex
	answers := map[string]int{}
	for i := range 15 {
		c := newClient(fmt.Sprintf("client-%d", i), zones[i%len(zones)], p.nodes, p.record)
		running.Go(func() {
			c.run(stop, call{method: "POST", path: "/order/2f", body: []byte("one sheet")}, 4*time.Second, 300*time.Millisecond, func(o outcome) {
				mu.Lock()
				defer mu.Unlock()
				switch {
				case errors.Is(o.err, syscall.ECONNREFUSED):
					answers["no process"]++
				case o.status == 0:
					answers["sent and lost"]++
				default:
					answers[fmt.Sprint(o.status)]++
				}
			})
		})
	}
	begin := time.Now()
	for due := time.Duration(0); due < configTime; {
		time.Sleep(time.Until(begin.Add(due)))
		write()
		due += stormGap
		if !p.trouble {
			due += calmGap - stormGap
		} else if inPeriod := due % stormPeriod; inPeriod >= stormLength {
			due += stormPeriod - inPeriod
		}
		due = max(due, time.Since(begin))
	}
	close(stop)
	running.Wait()
	p.record.say("configs written: %d; answers to orders: %v", version-7, answers)
	p.record.say("most memory and ends for want of it: %s", watch)
	often := 0
	for _, n := range p.nodes {
		if watch.kills[n] >= 3 {
			often++
		}
	}
	return often >= 2, errors.Join(watch.errs...)
}

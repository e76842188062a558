package main

import (
	"fmt"
	"sync"
	"time"
)

// lateBeat plays a server that leaves, of which a check-in that got no answer is carried out late. Rule DRAIN bounds for how long requests
// may reach it. Without the disruption the check-in is carried out at once.
func lateBeat(p *play) (bool, error) {
	const drain, lateBy = 2 * time.Second, 5500 * time.Millisecond
	p.store.put("config", "main", config(7, []map[string]any{route("r-order", "/order/", "unsafe", "shop", 1)}, []map[string]any{service("shop", 0, 0)}))
	var servers []*replica
	for i, zone := range []string{"perth-a", "perth-b"} {
		s := newReplica(p.store, p.record, fmt.Sprintf("i-02d9e6b%d", i), "shop", zone, 60*time.Millisecond, 6, 0)
		if err := s.start(); err != nil {
			return false, err
		}
		servers = append(servers, s)
	}
	if err := p.begin(3, []string{"perth-a", "perth-b", "perth-c"}); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)

	leaving := servers[0]
	// send sends orders to a node, at the same time.
	send := func(n *node, count int, done *sync.WaitGroup) {
		for i := range count {
			c := newClient(fmt.Sprintf("client-%d", i), n.zone, p.nodes, p.record)
			done.Go(func() {
				_, o := c.attempt(n.address(portFront), "POST", "/order/2f", []byte("one sheet"), 4*time.Second)
				p.record.add("answer of %s: %d %s", n.name, o.status, o.body)
			})
		}
	}
	sendToAll := func(count int) {
		var done sync.WaitGroup
		for _, n := range p.nodes {
			send(n, count, &done)
		}
		done.Wait()
	}
	sendToAll(2)

	// The store impairment loses the answer of one check-in; it ends before the server begins to leave.
	lost := leaving.entry()
	p.record.say("%s: check-in %v gets no answer", leaving.id, lost["sequence"])
	sentAt := time.Now()
	if !p.trouble {
		p.store.put("servers", leaving.id, lost)
	}
	time.Sleep(3200 * time.Millisecond) // The store has been stable for stable_window_ms.
	leaving.drain()
	acknowledged := time.Now()
	time.Sleep(time.Until(sentAt.Add(lateBy)))
	if p.trouble {
		p.store.put("servers", leaving.id, lost)
		p.record.say("%s: check-in %v is carried out, %.1f s after it was sent", leaving.id, lost["sequence"], time.Since(sentAt).Seconds())
	}
	time.Sleep(200 * time.Millisecond)
	sendToAll(4)
	broken := 0
	leaving.mu.Lock()
	for _, l := range leaving.lives {
		for _, t := range l.arrivals {
			if t.Sub(acknowledged) > drain {
				broken++
			}
		}
	}
	leaving.mu.Unlock()
	p.record.say("%d requests reached the server later than %v after the store had acknowledged that it is draining", broken, drain)
	return broken > 0, nil
}

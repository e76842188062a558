package main

import (
	"fmt"
	"net/http"
	"time"
)

// leaving plays a planned leave of a replica while it works on a long request. The request must not reach it again later than drain_ms after
// the store has accepted that it drains.
func leaving(rec *record, program string, trouble bool) (bool, error) {
	const (
		drain    = 2000 * time.Millisecond // drain_ms.
		workTime = 5 * time.Second
	)
	s, err := newStore("127.31.200.1:0")
	if err != nil {
		return false, err
	}
	zones := []string{"zone-a", "zone-b", "zone-c"}
	ns, err := newNodes(program, s, zones)
	if err != nil {
		return false, err
	}
	defer ns.end()
	writeConfig(s, 3, []route{{name: "search", prefix: "/search/", kind: "safe", service: "desk", timeoutMs: 15000, targetMs: 1500, attempts: 2}},
		[]map[string]any{plainService("desk", 0, 0)})
	var replicas []*replica
	for i, zone := range zones {
		r, err := newReplica(rec, s, fmt.Sprintf("i-desk-%d", i+1), "desk", zone, fmt.Sprintf("127.31.%d.20:0", 100+i), 6)
		if err != nil {
			return false, err
		}
		r.work = func(w http.ResponseWriter, q *http.Request, id string) {
			// A search over the whole stock takes long at any replica.
			took := 20 * time.Millisecond
			if q.URL.Path == "/search/whole-stock" {
				took = workTime
			}
			select {
			case <-time.After(took):
				r.answer(w, id, "found "+id)
			case <-q.Context().Done():
				rec.log("replica %s: the channel of request %s is closed; its run ends", r.id, id)
			}
		}
		r.serve()
		defer r.end()
		replicas = append(replicas, r)
	}
	if err := ns.startAll(); err != nil {
		return false, err
	}
	if err := ns.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	c := newClient(rec, ns.all[0].front(), hostName, apiKey)
	for i := 0; i < 3; i++ {
		if a := c.do(http.MethodGet, "/search/label", nil, 15*time.Second); a.status != http.StatusOK {
			return false, fmt.Errorf("a request before the disruption got %d, %v", a.status, a.err)
		}
		time.Sleep(100 * time.Millisecond)
	}
	answers := make(chan answer, 1)
	go func() { answers <- c.do(http.MethodGet, "/search/whole-stock", nil, 15*time.Second) }()
	time.Sleep(300 * time.Millisecond)
	var at *replica
	for _, r := range replicas {
		r.mu.Lock()
		if n := len(r.arrivals); n > 0 && time.Since(r.arrivals[n-1].at) < 350*time.Millisecond {
			at = r
		}
		r.mu.Unlock()
	}
	if at == nil {
		return false, errSetup
	}
	rec.log("replica %s works on the long request", at.id)
	var accepted time.Time
	if trouble {
		accepted = at.drain()
		// It serves for drain_ms and some seconds more, and exits.
		time.AfterFunc(drain+3*time.Second, func() {
			rec.log("replica %s exits", at.id)
			at.end()
		})
	}
	a := <-answers
	rec.log("the client's long request got %d after %v", a.status, a.took.Round(time.Millisecond))
	time.Sleep(500 * time.Millisecond)
	if !trouble {
		return false, nil
	}
	broken := false
	at.mu.Lock()
	defer at.mu.Unlock()
	for _, arrived := range at.arrivals {
		if late := arrived.at.Sub(accepted); late > drain {
			rec.log("DRAIN: request %s reached replica %s %v after the store had accepted that it drains (drain_ms %v)", arrived.id, at.id,
				late.Round(time.Millisecond), drain)
			broken = true
		}
	}
	return broken, nil
}

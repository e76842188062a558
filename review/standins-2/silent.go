package main

import (
	"fmt"
	"net/http"
	"time"
)

// silent makes the idle head of a group fall silent for a moment.
func silent(rec *record, program string, trouble bool) (bool, error) {
	const silence = 1300 * time.Millisecond
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
	models := []engineModel{{"m0", 4, 0.67, 16 * time.Second, 1600 * time.Millisecond}, {"m1", 2, 0.33, 12 * time.Second, 1100 * time.Millisecond}}
	writeConfig(s, 3, []route{{name: "draft", prefix: "/draft/", kind: "streaming", service: "pool", timeoutMs: 8000, targetMs: 500, attempts: 2, resumable: true}},
		[]map[string]any{engineService("pool", models, 8)})
	es, err := newEngines(rec, s, "pool", models, zones, 8)
	if err != nil {
		return false, err
	}
	es.serve()
	if err := ns.startAll(); err != nil {
		return false, err
	}
	if err := ns.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(9 * time.Second)
	c := newClient(rec, ns.all[0].front(), hostName, apiKey)
	c.model = "m0"
	for i := 0; i < 6; i++ {
		if a := c.do(http.MethodPost, "/draft/1", []byte("x"), 8*time.Second); a.status != http.StatusOK {
			return false, fmt.Errorf("a request before the disruption got %d, %v", a.status, a.err)
		}
	}
	time.Sleep(3 * time.Second)
	go c.do(http.MethodPost, "/draft/1", []byte("x"), 8*time.Second)
	time.Sleep(300 * time.Millisecond)
	es.mu.Lock()
	if len(es.breaches) > 0 {
		es.mu.Unlock()
		return false, fmt.Errorf("a rule was broken before the disruption: %s", es.breaches[0])
	}
	var head *engine
	for _, e := range es.all {
		if e.group != nil {
			rec.log("replica %s: %s rank %d %s", e.id, e.group.key(), e.group.rank, e.group.state)
		}
		if e.group != nil && e.group.rank == 0 && e.group.state == "open" && e.running > 0 {
			head = e
		}
	}
	if head == nil {
		es.mu.Unlock()
		return false, errSetup
	}
	if trouble {
		head.silentUntil = time.Now().Add(silence)
		rec.log("replica %s, the idle head of %s, falls silent for %v", head.id, head.group.key(), silence)
	}
	es.mu.Unlock()
	time.Sleep(8 * time.Second)
	es.mu.Lock()
	defer es.mu.Unlock()
	return len(es.breaches) > 0, nil
}

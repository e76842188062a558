package main

import (
	"fmt"
	"net/http"
	"sort"
	"sync"
	"syscall"
	"time"
)

// cold kills all nodes at the same moment while the replica of a service is cold. They start again while it still is.
func cold(rec *record, program string, trouble bool) (bool, error) {
	const (
		coldPerS, overshoot, slack = 10.0, 1.5, 5.0 // cold_per_s, cold_overshoot, cold_slack.
		coldFor                    = 12 * time.Second
		perNode                    = 60 // Requests a second.
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
	writeConfig(s, 3, []route{{name: "label", prefix: "/label/", kind: "safe", service: "desk", timeoutMs: 2000, targetMs: 300, attempts: 2}},
		[]map[string]any{plainService("desk", coldFor.Seconds(), coldPerS)})
	r, err := newReplica(rec, s, "i-desk-1", "desk", "zone-a", "127.31.101.20:0", 50)
	if err != nil {
		return false, err
	}
	r.coldUntil.Store(time.Now().Add(coldFor).UnixMilli())
	r.serve()
	defer r.end()
	if err := ns.startAll(); err != nil {
		return false, err
	}
	if err := ns.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for _, n := range ns.all {
		c := newClient(rec, n.front(), hostName, apiKey)
		wg.Add(1)
		go func() {
			defer wg.Done()
			tick := time.NewTicker(time.Second / perNode)
			defer tick.Stop()
			for {
				select {
				case <-stop:
					return
				case <-tick.C:
					go c.do(http.MethodGet, "/label/1", nil, 2*time.Second)
				}
			}
		}()
	}
	time.Sleep(2 * time.Second)
	if trouble {
		for _, n := range ns.all {
			n.signal(syscall.SIGKILL)
		}
		for _, n := range ns.all {
			<-n.done
		}
		rec.log("all nodes were killed")
		time.Sleep(500 * time.Millisecond)
		if err := ns.startAll(); err != nil {
			return false, err
		}
	}
	time.Sleep(4 * time.Second)
	close(stop)
	wg.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	sort.Slice(r.arrivals, func(i, j int) bool { return r.arrivals[i].at.Before(r.arrivals[j].at) })
	most, end := 0, 0
	for start := range r.arrivals {
		for end < len(r.arrivals) && r.arrivals[end].at.Sub(r.arrivals[start].at) < time.Second {
			end++
		}
		most = max(most, end-start)
	}
	limit := coldPerS*overshoot + slack
	rec.log("FAILBACK: the cold replica got up to %d requests in one second; allowed are %g", most, limit)
	fmt.Println("most in one second:", most, "allowed:", limit)
	return float64(most) > limit, nil
}

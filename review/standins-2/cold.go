package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// cold starts the replica of a service during traffic, and kills all nodes at the same moment while it is cold. They start again while it still is.
func cold(rec *record, program string, trouble bool) (bool, error) {
	const (
		coldPerS, overshoot, slack = 10.0, 1.5, 5.0  // cold_per_s, cold_overshoot, cold_slack.
		coldFor                    = 6 * time.Second // cold_start_s.
		perNode                    = 25              // Requests a second.
	)
	s, err := newStore("127.31.200.1:0")
	if err != nil {
		return false, err
	}
	zones := []string{"zone-a", "zone-a", "zone-a", "zone-b", "zone-b", "zone-c", "zone-c"}
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
					wg.Add(1)
					go func() {
						defer wg.Done()
						ask(c)
					}()
				}
			}
		}()
	}
	time.Sleep(time.Second)
	r.startCold(coldFor, int(coldPerS*overshoot+slack))
	defer r.end()
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
	limit := coldPerS*overshoot + slack
	most := r.mostWhileCold()
	rec.log("FAILBACK: the cold replica got up to %d requests in one second; allowed are %g", most, limit)
	fmt.Println("most in one second:", most, "allowed:", limit)
	return float64(most) > limit, nil
}

// ask sends a request as a client does: it tries again a few times within its time limit, and honours Retry-After.
func ask(c *client) {
	const limit, tries, pause = 2 * time.Second, 4, 250 * time.Millisecond
	end := time.Now().Add(limit)
	for range tries {
		a := c.do(http.MethodGet, "/label/1", nil, time.Until(end))
		if a.status != 0 && a.status != http.StatusServiceUnavailable {
			return
		}
		wait := pause
		if a.header != nil {
			if s, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64); err == nil {
				wait = time.Duration(s * float64(time.Second))
			}
		}
		if wait > time.Until(end)/3 {
			return
		}
		time.Sleep(wait)
	}
}

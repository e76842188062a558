package node

import (
	"sync"
	"time"

	"cassiadeal.example/cassiadeal/internal/rules"
)

// drainRamp is the time in which the share of a failure domain that is taken out falls to nothing. Requests move to other
// domains while this one still carries a part, so that their targets warm up under a growing load. Every node starts its
// ramp before the rules count as accepted, which leaves 2 s of the bound of 5 s.
const drainRamp = 3 * time.Second

// drains remembers since when failure domains are out.
type drains struct {
	mu    sync.Mutex
	known bool
	since map[string]time.Duration
}

// update notes which failure domains are out. A node that starts with a domain out has nothing to take away from it.
func (d *drains) update(domains map[string]rules.FailureDomain, now time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.known {
		now -= drainRamp
	}
	since := make(map[string]time.Duration)
	for name, domain := range domains {
		if !domain.Out {
			continue
		}
		since[name] = now
		if at, was := d.since[name]; was {
			since[name] = at
		}
	}
	d.since, d.known = since, true
}

// left returns the share of its limit that a domain still has, from 1 to 0.
func (d *drains) left(domain string, now time.Duration) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	at, out := d.since[domain]
	if !out {
		return 0 // Not reconciled yet; only the status asks as early as this.
	}
	return max(0, 1-float64(now-at)/float64(drainRamp))
}

package node

import (
	"sync"
	"time"

	"cassiadeal.example/cassiadeal/internal/rules"
)

// drainRamp is the time in which the share of a failure domain that is taken out falls to nothing. Requests move to other
// domains while this one still carries a part, so that their targets warm up under a growing load. Every node that ramps
// starts before the rules count as accepted, which leaves 3 s of the bound of 5 s.
const drainRamp = 2 * time.Second

const (
	// steadyTime is how long a node must have had the right to serve, without a gap, to know of new rules in time. A node
	// that returns after a cut or a pause may learn of them late, and gives the domain nothing more.
	steadyTime = 5 * time.Second
	// pauseGap between two updates shows that the process was paused.
	pauseGap = time.Second
)

// drains remembers since when failure domains are out.
type drains struct {
	mu      sync.Mutex
	updated time.Duration // Time of the last update.
	steady  time.Duration // Since when updates come without a gap and with the right to serve.
	since   map[string]time.Duration
}

// update notes which failure domains are out.
func (d *drains) update(domains map[string]rules.FailureDomain, mayServe bool, now time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !mayServe || now-d.updated > pauseGap {
		d.steady = now
	}
	d.updated = now
	if now-d.steady < steadyTime {
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
	d.since = since
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

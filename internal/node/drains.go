package node

import (
	"sync"
	"time"

	"cassiadeal.example/cassiadeal/internal/rules"
)

// drainRampTime is the time in which the share of a failure domain that is taken out falls to nothing. Requests move to other
// domains while this one still carries a part, so that their targets warm up under a growing load. Every node that ramps
// starts before the rules count as accepted, which leaves 3 s of the bound of 5 s.
const drainRampTime = 2 * time.Second

const (
	// minSteadyTime is how long a node must have had the right to serve, without a gap, to know of new rules in time. A node
	// that returns after a cut or a pause may learn of them late, and gives the domain nothing more.
	minSteadyTime = 5 * time.Second
	// pauseThreshold between two updates shows that the process was paused.
	pauseThreshold = time.Second
)

// drains remembers since when failure domains are out.
type domainDrains struct {
	mu          sync.Mutex
	lastUpdate  time.Duration // Time of the last update.
	steadySince time.Duration // Since when updates come without a gap and with the right to serve.
	outSince    map[string]time.Duration
}

// update notes which failure domains are out.
func (d *domainDrains) update(domains map[string]rules.FailureDomain, mayServe bool, now time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !mayServe || now-d.lastUpdate > pauseThreshold {
		d.steadySince = now
	}
	d.lastUpdate = now
	if now-d.steadySince < minSteadyTime {
		now -= drainRampTime
	}
	outSince := make(map[string]time.Duration)
	for name, domain := range domains {
		if !domain.Out {
			continue
		}
		outSince[name] = now
		if previous, wasOut := d.outSince[name]; wasOut {
			outSince[name] = previous
		}
	}
	d.outSince = outSince
}

// left returns the share of its limit that a domain still has, from 1 to 0.
func (d *domainDrains) remainingShare(domain string, now time.Duration) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	start, out := d.outSince[domain]
	if !out {
		return 0 // Not reconciled yet; only the status asks as early as this.
	}
	return max(0, 1-float64(now-start)/float64(drainRampTime))
}

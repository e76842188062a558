package node

import (
	"sync"
	"time"

	"cassiadeal.example/cassiadeal/internal/rules"
)

// drainRampTime is the time over which the in-flight limits of a failure domain that is taken out fall to zero. Requests move
// to other domains while this one still serves a part, so that the targets there warm up under a growing load. Every node that
// ramps starts before the rules count as accepted, so 3 s remain of the 5 s after which the domain must get no new request.
const drainRampTime = 2 * time.Second

const (
	// minSteadyTime is how long a node must have had the right to serve, without a gap between updates, to get new rules in
	// time. A node that was disconnected or paused may get them late, so it skips the ramp and sends the domain no
	// more requests.
	minSteadyTime = 5 * time.Second
	// pauseThreshold is the time between two updates above which the process counts as paused.
	pauseThreshold = time.Second
)

// domainDrains records since when failure domains have been out.
type domainDrains struct {
	mu          sync.Mutex
	lastUpdate  time.Duration            // Time of the last update.
	steadySince time.Duration            // Start of the updates without a gap and with the right to serve.
	outSince    map[string]time.Duration // Start of the ramp by failure domain.
}

// update records which failure domains are out. More than pauseThreshold between two updates restarts the steady time.
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

// remainingShare returns the share of its limit that a domain which is out still has, from 1 to 0.
func (d *domainDrains) remainingShare(domain string, now time.Duration) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	start, out := d.outSince[domain]
	if !out {
		return 0 // No update has recorded the domain yet; only a status request can come this early.
	}
	return max(0, 1-float64(now-start)/float64(drainRampTime))
}

// Package drain tells a node that is about to end which requests it can still complete.
package drain

import (
	"sync"
	"time"
)

const (
	// meanShare and deviationShare are the weights of a new duration in the moving averages, as in the timer of TCP (RFC 6298).
	meanShare      = 1.0 / 8
	deviationShare = 1.0 / 4
	// deviations is how many mean deviations beyond the mean a request is expected to take at most.
	deviations = 4
	// reserve is the multiple of the expected duration that must be left. Requests may become slower while a node ends.
	reserve = 2
)

// Durations estimates how long requests take, by kind. It is safe for concurrent use.
type Durations struct {
	mu     sync.Mutex
	byKind map[string]estimate
}

type estimate struct{ mean, deviation float64 } // In nanoseconds.

// Record records how long a request took.
func (d *Durations) Record(kind string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.byKind == nil {
		d.byKind = map[string]estimate{}
	}
	sample := float64(took)
	e, known := d.byKind[kind]
	if !known {
		d.byKind[kind] = estimate{mean: sample, deviation: sample / 2}
		return
	}
	difference := sample - e.mean
	e.deviation += deviationShare * (max(difference, -difference) - e.deviation)
	e.mean += meanShare * difference
	d.byKind[kind] = e
}

// Fit reports whether a request of the kind, which is given up at the deadline, is expected to end in the time that is left.
func (d *Durations) Fit(kind string, deadline, left time.Duration) bool {
	if deadline <= left {
		return true
	}
	d.mu.Lock()
	e, known := d.byKind[kind]
	d.mu.Unlock()
	return known && reserve*(e.mean+deviations*e.deviation) <= float64(left)
}

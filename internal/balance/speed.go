package balance

import (
	"maps"
	"slices"
	"time"

	"cassiadeal.example/cassiadeal/internal/clock"
)

const (
	// slowdownWeight is the weight of the newest event in the measured slowdown of a target, so that the last few dozen events
	// determine it.
	slowdownWeight = 0.05
	// minSlowdownEvents is the number of events from which on a measured slowdown counts.
	minSlowdownEvents = 20
	// slowdownMaxAge is the age of the newest event from which on a measured slowdown no longer counts, so that a target that
	// gets no requests is tried again.
	slowdownMaxAge = 3 * time.Second
	// slowThreshold is the ratio to the median of its model from which on a target counts as slow. Prompts read between events
	// make targets differ by less than that.
	slowThreshold = 1.6
	// medianMaxAge is the time for which the computed median of a model is reused.
	medianMaxAge = 50 * time.Millisecond
	// maxSlowFactor limits the slow factor of a target.
	maxSlowFactor = 20
)

// slowdown is the mean ratio of the measured to the predicted time between events, weighted towards the newest events.
type slowdown struct {
	ratio     float64
	events    int
	lastEvent clock.Time // Newest event.
	steady    steadySlowdown
}

func (s *slowdown) record(ratio float64, reading bool, now clock.Time) {
	if now.Sub(s.lastEvent) >= slowdownMaxAge {
		s.steady = steadySlowdown{}
	}
	s.events++
	s.lastEvent = now
	s.ratio += (ratio - s.ratio) * max(slowdownWeight, 1/float64(s.events))
	if !reading {
		s.steady.record(ratio)
	}
}

func (s *slowdown) known(now clock.Time) bool {
	return s.events >= minSlowdownEvents && now.Sub(s.lastEvent) < slowdownMaxAge
}

// localSlowFactorLocked returns how many times slower than the median of its model the target works, by the events that this
// node received. It is 1 if the target isn't slow and 0 if too little is known.
func (t *Table) localSlowFactorLocked(s *targetState, now clock.Time) float64 {
	if s.model == "" || !s.slowdown.known(now) {
		return 0
	}
	// The ratio to the median ignores a prediction that is too low for all targets. A fleet that is slow as a whole isn't
	// detected, as it looks the same.
	factor := s.slowdown.ratio / max(t.medianLocked(s.model, now), 1e-3)
	if factor < slowThreshold {
		return 1
	}
	return min(factor, maxSlowFactor)
}

// median is the median of the measured slowdowns of a model's targets.
type median struct {
	ratio      float64
	computedAt clock.Time
}

// medianLocked returns the median of the measured slowdowns of a model's targets, the lower of the two middle values if their
// number is even, and 0 if none is known.
func (t *Table) medianLocked(model string, now clock.Time) float64 {
	if m, ok := t.medians[model]; ok && now.Sub(m.computedAt) < medianMaxAge {
		return m.ratio
	}
	var ratios []float64
	for _, s := range t.targets {
		if s.model == model && s.slowdown.known(now) {
			ratios = append(ratios, s.slowdown.ratio)
		}
	}
	if len(ratios) == 0 {
		return 0
	}
	slices.Sort(ratios)
	m := median{ratios[(len(ratios)-1)/2], now}
	t.medians[model] = m
	return m.ratio
}

// slowFactorLocked returns how many times slower than others of its model the target works, as measured by this node or, if it
// has received too few events, as reported by more than half of the nodes that use the target: with many nodes, some always
// measure too high a value. It is 1 for targets that aren't slow.
func (t *Table) slowFactorLocked(k Key, now clock.Time) float64 {
	if s := t.targets[k]; s != nil {
		if local := t.localSlowFactorLocked(s, now); local > 0 {
			return local
		}
	}
	sum := t.peers.sum(k, now)
	if 2*len(sum.slowFactors) <= sum.users {
		return 1
	}
	reported := slices.Collect(maps.Values(sum.slowFactors))
	slices.Sort(reported)
	return reported[len(reported)/2]
}

// IsSlow tells whether the target works slower than others of its model, as measured by this node or reported by other nodes.
func (t *Table) IsSlow(k Key) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.slowFactorLocked(k, t.clock.Now()) > 1
}

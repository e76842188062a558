package balance

import (
	"slices"

	"cassiadeal.example/cassiadeal/internal/clock"
)

const (
	// steadyWeight is the weight of the newest event in the slowdown by which small differences are told, a fifth of slowdownWeight: single
	// passes differ by more than such targets do.
	steadyWeight = 0.01
	// minSteadyEvents is the number of events from which on it counts.
	minSteadyEvents = 100
	// minSmallDifference is the ratio to the median up to which targets count as equal.
	minSmallDifference = 1.1
	// smallDifferenceShare is the part of a small difference that counts in the cost of a head.
	smallDifferenceShare = 0.5
)

// steadySlowdown is a slowdown over more events, without those between which prompts were read.
type steadySlowdown struct {
	ratio  float64
	events int
}

func (s *steadySlowdown) record(ratio float64) {
	s.events++
	s.ratio += (ratio - s.ratio) * max(steadyWeight, 1/float64(s.events))
}

func (s *slowdown) steadyKnown(now clock.Time) bool {
	return s.steady.events >= minSteadyEvents && now.Sub(s.lastEvent) < slowdownMaxAge
}

// smallFactorLocked returns the factor to the cost of a target that works a little slower than others of its model, as measured by this node: 1 if it
// doesn't, if too little is known, and for targets that count as slow anyway. It affects the choice only, and neither predictions nor
// what other nodes are told.
func (t *Table) smallFactorLocked(k Key, now clock.Time) float64 {
	s := t.targets[k]
	if s == nil || s.model == "" || !s.slowdown.steadyKnown(now) {
		return 1
	}
	factor := s.slowdown.steady.ratio / max(t.steadyMedianLocked(s.model, now), 1e-3)
	// The newest events must show the difference too: a target that was much slower for a while is told from a slow one by them only.
	factor = min(factor, s.slowdown.ratio/max(t.medianLocked(s.model, now), 1e-3))
	if factor < minSmallDifference || factor >= slowThreshold {
		return 1
	}
	return 1 + smallDifferenceShare*(factor-1)
}

// steadyMedianLocked returns the median of the steady slowdowns of a model's targets, as medianLocked does. A model has at least the target for
// which it is called.
func (t *Table) steadyMedianLocked(model string, now clock.Time) float64 {
	if m, ok := t.steady[model]; ok && now.Sub(m.computedAt) < medianMaxAge {
		return m.ratio
	}
	var ratios []float64
	for _, s := range t.targets {
		if s.model == model && s.slowdown.steadyKnown(now) {
			ratios = append(ratios, s.slowdown.steady.ratio)
		}
	}
	if len(ratios) == 0 {
		return 0
	}
	slices.Sort(ratios)
	m := median{ratios[(len(ratios)-1)/2], now}
	t.steady[model] = m
	return m.ratio
}

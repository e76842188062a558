package balance

import (
	"slices"
	"time"

	"cassiadeal.example/cassiadeal/internal/clock"
)

const (
	// speedWeight is the weight of the newest event in a target's measured speed: some tens of events tell.
	speedWeight = 0.05
	// speedEvents is the number of events from which on a measured speed counts.
	speedEvents = 20
	// speedLasts is the age of the newest event from which on a measured speed no longer counts, so that a target that gets no
	// requests is tried again.
	speedLasts = 3 * time.Second
	// slowFrom is the factor above the median of its model from which on a target counts as slow. Reading of prompts between
	// events alone makes targets differ by less.
	slowFrom = 1.6
	// medianEvery is the time for which the median of a model is kept.
	medianEvery = 50 * time.Millisecond
	// slowAtMost bounds the factor.
	slowAtMost = 20
)

// speed is the mean time between events for the predicted time, weighted towards the newest.
type speed struct {
	ratio float64
	n     int
	at    clock.Time // Newest event.
}

func (s *speed) note(ratio float64, now clock.Time) {
	s.n++
	s.at = now
	s.ratio += (ratio - s.ratio) * max(speedWeight, 1/float64(s.n))
}

func (s *speed) known(now clock.Time) bool {
	return s.n >= speedEvents && now.Sub(s.at) < speedLasts
}

// ownSlowLocked returns how many times slower than the median of its model the target works by this node's events, 1 if it
// isn't slow and 0 if not enough is known.
func (t *Table) ownSlowLocked(s *targetState, now clock.Time) float64 {
	if s.model == "" || !s.speed.known(now) {
		return 0
	}
	// A whole fleet that is slower than predicted is not told from a prediction that is too low.
	factor := s.speed.ratio / max(t.medianLocked(s.model, now), 1e-3)
	if factor < slowFrom {
		return 1
	}
	return min(factor, slowAtMost)
}

// median is the median of the measured speeds of a model's targets.
type median struct {
	ratio float64
	at    clock.Time
}

// medianLocked returns the median of the measured speeds of a model's targets, the lower one of two.
func (t *Table) medianLocked(model string, now clock.Time) float64 {
	if m, ok := t.medians[model]; ok && now.Sub(m.at) < medianEvery {
		return m.ratio
	}
	var all []float64
	for _, s := range t.targets {
		if s.model == model && s.speed.known(now) {
			all = append(all, s.speed.ratio)
		}
	}
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	m := median{all[(len(all)-1)/2], now}
	t.medians[model] = m
	return m.ratio
}

// slowLocked returns how many times slower than others of its model the target works, by this node's events or, if those are too
// few, as most of the nodes tell that use the target: among many nodes some always measure too much. It is 1 for targets that
// aren't slow.
func (t *Table) slowLocked(k Key, now clock.Time) float64 {
	if s := t.targets[k]; s != nil {
		if own := t.ownSlowLocked(s, now); own > 0 {
			return own
		}
	}
	users := 0
	var told []float64
	for _, p := range t.peers {
		if now.Sub(p.at) >= peerLoadLasts {
			continue
		}
		slow := p.Slow[k]
		if slow > 0 {
			told = append(told, slow)
		}
		if slow > 0 || p.Loads[k].Running > 0 {
			users++
		}
	}
	if 2*len(told) <= users {
		return 1
	}
	slices.Sort(told)
	return told[len(told)/2]
}

// Slow tells whether the target works slower than others of its model, as this node or another has measured.
func (t *Table) Slow(k Key) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.slowLocked(k, t.clock.Now()) > 1
}

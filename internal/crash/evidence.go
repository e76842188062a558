package crash

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// suspicion is one crash as evidence against a fingerprint.
type suspicion struct {
	at     time.Duration
	weight int
	// others holds the fingerprints of all requests with the fingerprint that were running there, and of their parts.
	others map[string]bool
}

// evidence is what speaks against a fingerprint, by crash.
type evidence map[crashID]suspicion

// newest returns the time of the most recent crash.
func (e evidence) newest() time.Duration {
	newest := time.Duration(math.MinInt64)
	for _, s := range e {
		newest = max(newest, s.at)
	}
	return newest
}

// weight returns the sum of the weights of the crashes. Of those that follow each other within the window, the heaviest counts.
func (e evidence) weight(window time.Duration) int {
	list := slices.SortedFunc(maps.Values(e), func(a, b suspicion) int { return cmp.Compare(a.at, b.at) })
	sum, heaviest := 0, 0
	for i, s := range list {
		if i > 0 && s.at-list[i-1].at >= window {
			sum, heaviest = sum+heaviest, 0
		}
		heaviest = max(heaviest, s.weight)
	}
	return sum + heaviest
}

// common returns the fingerprints that were running at each of the crashes.
func (e evidence) common() []string {
	var common []string
	for first := range maps.Values(e) {
		common = slices.Collect(maps.Keys(first.others))
		break
	}
	return slices.DeleteFunc(common, func(f string) bool {
		for s := range maps.Values(e) {
			if !s.others[f] {
				return true
			}
		}
		return false
	})
}

// Blocked reports whether the request must be refused.
func (t *Table) Blocked(r Request) bool { return t.BlockedFor(r) > 0 }

// BlockedFor returns the time for which the request must still be refused, or 0.
//
// A part blocks a request only if the request holds all else that was running at each crash of the part and isn't cleared
// itself: of parts that came together in each of these requests, any may be the cause, and others may share one of them.
func (t *Table) BlockedFor(r Request) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.total == 0 {
		return 0
	}
	held := r.fingerprints()
	remaining := time.Duration(0)
	for _, f := range held {
		e := t.incriminatedLocked(f)
		if e == nil || slices.ContainsFunc(t.commonCausesLocked(f, e), func(other string) bool { return !slices.Contains(held, other) }) {
			continue
		}
		remaining = max(remaining, e.newest()+t.options.BlockFor-t.options.Now())
	}
	return remaining
}

// commonCausesLocked returns what, beside the part or request with the fingerprint, may be the cause of all of its crashes. If
// different requests with a part were running, one of them that was there each time is not the likelier cause.
func (t *Table) commonCausesLocked(fingerprint string, e evidence) []string {
	requests := map[string]bool{}
	for _, s := range e {
		for other := range s.others {
			if t.byPart[fingerprint][other] {
				requests[other] = true
			}
		}
	}
	return slices.DeleteFunc(e.common(), func(other string) bool {
		return len(requests) > 1 && requests[other] || t.incriminatedLocked(other) == nil
	})
}

// incriminatedLocked returns the crashes of the fingerprint after its last answer if they are enough to block it, or nil.
func (t *Table) incriminatedLocked(fingerprint string) evidence {
	answeredAt, answered := t.answers.get(fingerprint)
	after := time.Duration(math.MinInt64)
	if answered {
		after = answeredAt
	}
	e := t.evidenceLocked(fingerprint, after)
	if len(e) == 0 {
		return nil
	}
	window, needed := time.Duration(0), t.options.CrashThreshold*fullWeight
	if answered && e.newest()-answeredAt < t.options.AnsweredFor {
		window, needed = commonCauseWindow, needed*answeredFactor
		maps.DeleteFunc(e, func(_ crashID, s suspicion) bool { return t.explainedLocked(s, fingerprint) })
	}
	if e.weight(window) < needed {
		return nil
	}
	return e
}

// explainedLocked reports whether a part other than the one with the fingerprint is the more likely cause of the crash: it was
// never answered and has enough crashes to block requests.
func (t *Table) explainedLocked(s suspicion, fingerprint string) bool {
	for other := range s.others {
		if _, answered := t.answers.get(other); answered || other == fingerprint || t.byPart[other] == nil {
			continue
		}
		if t.evidenceLocked(other, math.MinInt64).weight(0) >= t.options.CrashThreshold*fullWeight {
			return true
		}
	}
	return false
}

// evidenceLocked returns the crashes after a time of the request or part with the fingerprint. A part is suspected only of the
// crashes of requests without a response, because it crashes a target that begins to write one.
func (t *Table) evidenceLocked(fingerprint string, after time.Duration) evidence {
	e := evidence{}
	for id, r := range t.crashes[fingerprint] {
		if r.at <= after {
			continue
		}
		weight := runningWeight
		if r.began {
			weight = beganWeight
		}
		e[id] = suspicion{at: r.at, weight: weight, others: map[string]bool{fingerprint: true}}
	}
	for request := range t.byPart[fingerprint] {
		for id, r := range t.crashes[request] {
			if r.began || r.at <= after {
				continue
			}
			s, ok := e[id]
			if !ok {
				s = suspicion{at: r.at, weight: runningWeight, others: map[string]bool{}}
			}
			s.at = min(s.at, r.at)
			s.others[request] = true
			for _, part := range r.parts {
				s.others[part] = true
			}
			e[id] = s
		}
	}
	return e
}

package crash

import "time"

// maxAnswers bounds the number of fingerprints in each of the two maps of answerTimes, about 100 bytes each.
const maxAnswers = 8192

// answerTimes holds the times of the last answers by fingerprint. When the current map is full, or older than the time for which
// answers count, it replaces the previous one, whose entries are dropped.
type answerTimes struct {
	current, previous map[string]time.Duration
	rotatedAt         time.Duration
}

func newAnswerTimes() answerTimes { return answerTimes{current: map[string]time.Duration{}} }

// set records an answer at the time, unless a later one is known.
func (a *answerTimes) set(fingerprint string, at, now, keep time.Duration) {
	if len(a.current) >= maxAnswers || now-a.rotatedAt >= keep {
		a.previous, a.current, a.rotatedAt = a.current, map[string]time.Duration{}, now
	}
	if known, ok := a.get(fingerprint); !ok || at > known {
		a.current[fingerprint] = at
	}
}

// get returns the time of the last answer and reports whether one is known.
func (a *answerTimes) get(fingerprint string) (time.Duration, bool) {
	at, ok := a.current[fingerprint]
	if !ok {
		at, ok = a.previous[fingerprint]
	}
	return at, ok
}

package balance

import (
	"time"

	"cassiadeal.example/cassiadeal/internal/clock"
)

// busyStallSilence replaces minStallSilence for requests that wait for their first events while the target sends events to others. Such a
// target hasn't stalled: its queue is longer than predicted. Suspicions at the end of an overload let the nodes avoid targets that worked, and
// send requests twice, which kept the rest overloaded. It is shorter than the two seconds after which clients leave, since the connection may be
// silent.
const busyStallSilence = time.Second

// stallLimitLocked returns how long the requests at a target may be silent; allWait tells that none of them has had an event yet.
func (t *Table) stallLimitLocked(k Key, s *targetState, allWait bool, gap func(Key, Load) time.Duration, now clock.Time) time.Duration {
	limit := max(minStallSilence, time.Duration(stallGaps*t.slowFactorLocked(k, now)*float64(gap(k, s.load))))
	if !allWait {
		return limit
	}
	if heard, known := t.heard[k]; known && now.Sub(heard) < minStallSilence {
		return max(limit, s.expectedFirst+busyStallSilence)
	}
	return max(limit, s.expectedFirst+minStallSilence)
}

package clock

import "time"

// Lease is valid from Start until Term later, by its owner's own clock. The zero Lease is never valid.
type Lease struct {
	Start Time
	Term  time.Duration
}

// ValidAt reports whether the lease has not ended at now.
func (l Lease) ValidAt(now Time) bool { return l.Remaining(now) > 0 }

// Remaining returns the time from now until the lease ends, or 0 if it has ended.
func (l Lease) Remaining(now Time) time.Duration {
	remaining := l.Term - now.Sub(l.Start)
	if remaining < 0 {
		return 0
	}
	return remaining
}

// LeaseLapsed reports whether another process's lease has certainly ended by now. lastSeen is when the observer last
// read a change of the lease; lastSeen and now are readings of the observer's clock. The lease starts when its owner sends
// the renewal, which is before anyone can read it, so it ends before lastSeen+term. margin covers the difference in speed
// between the two clocks.
func LeaseLapsed(lastSeen, now Time, term, margin time.Duration) bool {
	return now.Sub(lastSeen) >= term+margin
}

// Renewal is an attempt to extend a lease.
type Renewal struct{ sent Time }

// StartRenewal must be called before the first byte of the renewal is sent. Observers may read the renewal from that
// moment on and measure the term from then. A lease that started at a slow reply would still be valid after they consider
// it lapsed.
func StartRenewal(c Clock) Renewal { return Renewal{sent: c.Now()} }

// Sent returns the time of the StartRenewal call.
func (r Renewal) Sent() Time { return r.sent }

// Lease returns the lease that is obtained if the renewal succeeds. It starts when the renewal was sent.
func (r Renewal) Lease(term time.Duration) Lease { return Lease{Start: r.sent, Term: term} }

package clock

import "time"

// Lease is a right that ends Term after Start by the holder's own clock. The zero Lease is never valid.
type Lease struct {
	Start Time
	Term  time.Duration
}

// ValidAt tells whether the lease covers now.
func (l Lease) ValidAt(now Time) bool { return l.Remaining(now) > 0 }

// Remaining returns how long the lease still lasts; 0 if it has ended.
func (l Lease) Remaining(now Time) time.Duration {
	remaining := l.Term - now.Sub(l.Start)
	if remaining < 0 {
		return 0
	}
	return remaining
}

// LeaseLapsed tells whether a lease that was last seen to change at seen has ended for sure by now, both read from the
// observer's clock. The holder counts from the sending of its renewal, which precedes every sight of it, so its lease
// ends before seen+term. margin covers the difference in speed between the two clocks.
func LeaseLapsed(lastSeen, now Time, term, margin time.Duration) bool {
	return now.Sub(lastSeen) >= term+margin
}

// Renewal is an attempt to extend a lease.
type Renewal struct{ sent Time }

// StartRenewal must be called before the first byte of the renewal is sent. Others may see the renewal from that moment
// on and count from then; a lease that started at the reply would outlast their wait when the reply is slow.
func StartRenewal(c Clock) Renewal { return Renewal{sent: c.Now()} }

// Sent returns when the renewal started.
func (r Renewal) Sent() Time { return r.sent }

// Lease returns the lease that a successful renewal gives.
func (r Renewal) Lease(term time.Duration) Lease { return Lease{Start: r.sent, Term: term} }

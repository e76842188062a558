package edge

import "sync/atomic"

// Values of repeatState.
const (
	repeatUnsent  int32 = iota // Nothing has been sent.
	repeatOpen                 // One send has begun, which may repeat the request on another connection.
	repeatClosed               // Another send has begun or may begin.
	repeatClaimed              // The first send has repeated the request.
)

// repeatState decides whether the first send of a request may repeat it at the same replica. It may only as long as no other send has begun,
// so that both count before another one is admitted.
type repeatState struct{ value atomic.Int32 }

// begin notes that a send begins, and reports whether it is the first one.
func (s *repeatState) begin() (first bool) {
	if s.value.CompareAndSwap(repeatUnsent, repeatOpen) {
		return true
	}
	s.close()
	return false
}

// close forbids the repetition, unless it has happened. It is called before another send is admitted, and reports whether reopen may follow
// if none is.
func (s *repeatState) close() bool { return s.value.CompareAndSwap(repeatOpen, repeatClosed) }

// reopen allows the repetition again after close has reported true.
func (s *repeatState) reopen() { s.value.CompareAndSwap(repeatClosed, repeatOpen) }

// claim reports whether the first send may repeat the request now, which counts as one more arrival then.
func (s *repeatState) claim() bool { return s.value.CompareAndSwap(repeatOpen, repeatClaimed) }

// claimed reports whether the first send repeats the request.
func (s *repeatState) claimed() bool { return s.value.Load() == repeatClaimed }

// withdraw takes back a claim after which nothing was sent.
func (s *repeatState) withdraw() { s.value.CompareAndSwap(repeatClaimed, repeatClosed) }

// arrivals returns the number of sends that attempts doesn't count.
func (s *repeatState) arrivals() int {
	if s.value.Load() == repeatClaimed {
		return 1
	}
	return 0
}

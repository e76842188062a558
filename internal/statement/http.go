package statement

import (
	"net/http"
)

// Headers by which targets of the product's own interface state something about themselves, in every response.
const (
	HeaderIncarnation = "X-Incarnation"
	HeaderLeaving     = "X-Leaving" // "true" while the target is leaving.
)

// FromHeader returns what the headers of a response state.
func FromHeader(h http.Header) Statement {
	return Statement{Leaving: h.Get(HeaderLeaving) == "true"}
}

// RecordResponse records what a response of the process at an address states. incarnation is that of the process, which applies if the
// response doesn't name one.
func (t *Table) RecordResponse(address, incarnation string, resp *http.Response) {
	if named := resp.Header.Get(HeaderIncarnation); named != "" {
		incarnation = named
	}
	if incarnation != "" {
		t.Record(Target{address, incarnation}, FromHeader(resp.Header))
	}
}

// RemoveHeaders removes the headers of statements, which callers don't get.
func RemoveHeaders(h http.Header) {
	h.Del(HeaderLeaving)
}

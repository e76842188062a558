package statement

import (
	"net/http"
	"time"
)

// Headers by which targets of the product's own interface state something about themselves, in every response.
const (
	HeaderIncarnation = "X-Incarnation"
	HeaderLeaving     = "X-Leaving"    // "true" while the target is leaving.
	HeaderLimit       = "X-Rate-Limit" // Requests per second that the target takes from all nodes together.
)

// FromResponse returns what the status and the headers of a response state.
func FromResponse(resp *http.Response) Statement {
	h := resp.Header
	return Statement{Leaving: h.Get(HeaderLeaving) == "true", Limit: ParseLimit(h.Get(HeaderLimit)),
		Pause: ParsePause(resp.StatusCode, h.Get("Retry-After"), time.Now())}
}

// RecordResponse records what a response of the process at an address to a request that was sent at the given time states. incarnation
// is that of the process, which applies if the response doesn't name one.
func (t *Table) RecordResponse(address, incarnation string, resp *http.Response, sentAt time.Duration) {
	if named := resp.Header.Get(HeaderIncarnation); named != "" {
		incarnation = named
	}
	if incarnation == "" {
		return
	}
	t.RecordAnswer(Target{address, incarnation}, FromResponse(resp), resp.StatusCode, sentAt)
}

// RemoveHeaders removes the headers of statements, which callers don't get.
func RemoveHeaders(h http.Header) {
	h.Del(HeaderLeaving)
	h.Del(HeaderLimit)
}

// Package respstatus tells valid statuses of HTTP/1.1 responses from others, of which net/http accepts some.
package respstatus

import (
	"bytes"

	"github.com/rotisserie/eris"
)

// PrefixLen is the length of the shortest status line, of which CheckLine needs the beginning.
const PrefixLen = len("HTTP/1.1 200\n")

// ErrInvalid means that a response has no valid status. Whether the request has run isn't known then, whatever else the response states.
var ErrInvalid = eris.New("the response has an invalid status")

const (
	minFinal = 200
	maxFinal = 599
	// switching is 101 (Switching Protocols), which nothing asks for.
	switching = 101
)

// Final reports whether the status is one of a final response.
func Final(status int) bool { return status >= minFinal && status <= maxFinal }

// Interim reports whether the status is one of a response before the final one.
func Interim(status int) bool { return status >= 100 && status < minFinal && status != switching }

// CheckFinal returns an error that is ErrInvalid unless the status is one of a final response.
func CheckFinal(status int) error {
	if Final(status) {
		return nil
	}
	return eris.Wrapf(ErrInvalid, "status %d", status)
}

// CheckLine returns an error that is ErrInvalid if the status in the first bytes of a response isn't three digits after one blank. It leaves
// lines that aren't of HTTP/1 to net/http, which refuses them.
func CheckLine(start []byte) error {
	const codeAt = len("HTTP/1.1 ")
	if len(start) < PrefixLen || !bytes.HasPrefix(start, []byte("HTTP/1.")) {
		return nil
	}
	valid := start[codeAt-1] == ' ' && bytes.IndexByte([]byte(" \r\n"), start[codeAt+3]) >= 0
	for _, digit := range start[codeAt : codeAt+3] {
		valid = valid && digit >= '0' && digit <= '9'
	}
	if valid {
		return nil
	}
	return eris.Wrapf(ErrInvalid, "status line %q", start[:PrefixLen])
}

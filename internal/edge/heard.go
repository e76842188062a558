package edge

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// What was heard last of a target, as log lines state it.
const (
	heardNothing    = "nothing"
	heardConnection = "connection" // It has accepted the connection.
	heardHeader     = "header"
	heardBody       = "body"
)

// heard is what was last heard of the target of one send. It is safe for concurrent use. A nil *heard knows nothing.
type heard struct {
	mu   sync.Mutex
	what string
	at   time.Time
}

func newHeard() *heard { return &heard{what: heardNothing, at: time.Now()} }

// note records that something was heard of the target just now.
func (h *heard) note() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.at = time.Now()
}

// reach records how far the target has come.
func (h *heard) reach(what string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.what = what
}

// add adds what was heard to the fields, with a prefix.
func (h *heard) add(fields logrus.Fields, prefix string) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	fields[prefix+"last_heard"], fields[prefix+"silent_ms"] = h.what, time.Since(h.at).Milliseconds()
}

// heardReader records when bytes arrive from a target.
type heardReader struct {
	io.Reader
	heard *heard
}

func (r heardReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.heard.note()
	}
	return n, err
}

// incompleteFields returns what the log line of a request without a complete answer says beside outcomeFields.
func (c *call) incompleteFields() logrus.Fields {
	a := &c.attempts
	fields := logrus.Fields{"client_closed": c.clientClosed()}
	if c.progress != nil {
		fields["events"] = c.progress.events
	}
	if a.sends == 0 {
		return fields
	}
	fields["others_asked"], fields["takeovers"] = a.othersAsked, a.takeovers
	a.heard.add(fields, "")
	if a.other != "" {
		fields["other"] = a.other
		a.otherHeard.add(fields, "other_")
	}
	return fields
}

// clientClosed reports whether the client has closed its connection.
func (c *call) clientClosed() bool {
	return errors.Is(c.client.Err(), context.Canceled) && c.stopped.Err() == nil
}

// Package lastheard records how far the target of a request came, and when it was heard last, for the log line that ends the request.
package lastheard

import (
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// Stage is how far a target came.
type Stage string

// Stages, as log lines state them.
const (
	Nothing    Stage = "nothing"
	Connection Stage = "connection" // It has accepted the connection.
	Header     Stage = "header"
	Body       Stage = "body"
)

// Record is what was last heard of the target of one send. It is safe for concurrent use. A nil *Record records nothing.
type Record struct {
	mu      sync.Mutex
	stage   Stage
	at      time.Time
	through string // The node through which the connection leads; empty for a direct one.
}

// New returns a record of a send that starts now.
func New() *Record { return &Record{stage: Nothing, at: time.Now()} }

// Note records that something was heard of the target just now.
func (r *Record) Note() {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.at = time.Now()
}

// Connect records that the target has accepted a connection, which leads through the given node, or is a direct one if that is empty.
func (r *Record) Connect(through string) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stage, r.at, r.through = Connection, time.Now(), through
}

// Reach records how far the target has come.
func (r *Record) Reach(s Stage) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stage = s
}

// AddTo adds the record to the fields of a log line, whose names get the prefix.
func (r *Record) AddTo(fields logrus.Fields, prefix string) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	fields[prefix+"last_heard"], fields[prefix+"silent_ms"] = string(r.stage), time.Since(r.at).Milliseconds()
}

// AddThrough adds the node through which the connection leads to the fields of a log line, if there is one.
func (r *Record) AddThrough(fields logrus.Fields, prefix string) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.through != "" {
		fields[prefix+"through"] = r.through
	}
}

// Reader records when bytes arrive from a target.
type Reader struct {
	io.Reader
	Record *Record
}

// Read implements io.Reader.
func (r Reader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.Record.Note()
	}
	return n, err
}

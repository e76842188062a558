// Package recovery turns a panic in code that serves a request into the failure of that request alone. It counts the panic, logs it and
// gives the client an answer where that is still possible. Loops that serve no request aren't covered: their panics end the process.
package recovery

import (
	"errors"
	"fmt"
	"path"
	"runtime"

	"github.com/sirupsen/logrus"

	"cassiadeal.example/cassiadeal/internal/result"
)

const (
	// maxStackFrames and maxTextBytes limit the size of a log line.
	maxStackFrames = 32
	maxTextBytes   = 200
	// skippedFrames are those of runtime.Callers and of this package's own functions.
	skippedFrames = 2
)

// ErrPanic is the failure of a send whose code has panicked.
var ErrPanic = errors.New("a fault in cassiadeal ended this send")

// Metrics counts panics and refusals. telemetry.Metrics implements it.
type Metrics interface {
	Panic(where string)
	Refusal(code result.Code)
}

// Recoverer reports the panics of one part of the daemon.
type Recoverer struct {
	Where   string // Name of the part in log lines and metrics.
	Log     logrus.FieldLogger
	Metrics Metrics // May be nil.
}

// Report counts and logs a panic. It must be called by the deferred function that has recovered the value, so that the stack is still
// that of the panic.
func (r Recoverer) Report(value any, fields logrus.Fields) {
	if r.Metrics != nil {
		r.Metrics.Panic(r.Where)
	}
	r.Log.WithFields(fields).WithFields(logrus.Fields{"where": r.Where, "panic": describe(value), "stack": stack()}).Error("recovered from a panic")
}

// Recover recovers and reports a panic. It is deferred by goroutines that work for one request whose failure is noticed elsewhere.
func (r Recoverer) Recover(fields logrus.Fields) {
	if value := recover(); value != nil {
		r.Report(value, fields)
	}
}

// describe returns the text of a panic's value. Values that are neither an error nor a string may hold parts of a request, so only their
// type is named.
func describe(value any) string {
	switch v := value.(type) {
	case error:
		return truncate(v.Error())
	case string:
		return truncate(v)
	}
	return truncate(fmt.Sprintf("value of type %T", value))
}

func truncate(text string) string { return text[:min(len(text), maxTextBytes)] }

// stack returns the functions that were active at the panic, innermost first.
func stack() []string {
	callers := make([]uintptr, 2*maxStackFrames)
	frames := runtime.CallersFrames(callers[:runtime.Callers(skippedFrames, callers)])
	var list []string
	for {
		frame, more := frames.Next()
		if frame.Function == "runtime.gopanic" {
			list = nil // The frames so far are those of the recovery.
		} else {
			list = append(list, truncate(fmt.Sprintf("%s %s:%d", frame.Function, path.Base(frame.File), frame.Line)))
		}
		if !more {
			return list[:min(len(list), maxStackFrames)]
		}
	}
}

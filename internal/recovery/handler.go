package recovery

import (
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"cassiadeal.example/cassiadeal/internal/result"
)

// answerTimeout limits the writing of the answer after a panic.
const answerTimeout = 5 * time.Second

// Handler recovers the panics of a handler. A request without a response gets result.Internal, which doesn't state that the request has not
// run. The connection of an incomplete response is closed. A panic with http.ErrAbortHandler is passed on.
func (r Recoverer) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		t := &response{ResponseWriter: w, headRequest: req.Method == http.MethodHead}
		defer func() {
			value := recover()
			if value == nil {
				return
			}
			if value == http.ErrAbortHandler {
				panic(value)
			}
			r.finish(t, req, value)
		}()
		next.ServeHTTP(t, req)
	})
}

// finish reports the panic and ends the response.
func (r Recoverer) finish(t *response, req *http.Request, value any) {
	fields := logrus.Fields{"method": truncate(req.Method), "path": truncate(req.URL.Path)}
	for k, v := range t.details() {
		fields[k] = v
	}
	switch {
	case !t.wroteHeader:
		fields["response"] = "refused"
	case t.complete():
		fields["response"] = "complete"
	default:
		fields["response"] = "cut off"
	}
	r.Report(value, fields)
	switch {
	case !t.wroteHeader:
		r.refuse(t.ResponseWriter)
	case !t.complete():
		panic(http.ErrAbortHandler) // Closes the connection without completing the response.
	}
}

func (r Recoverer) refuse(w http.ResponseWriter) {
	if r.Metrics != nil {
		r.Metrics.Refusal(result.Internal)
	}
	clear(w.Header()) // It may hold headers of a target's response.
	w.Header().Set("Connection", "close")
	// Without these deadlines, a slow client could delay the answer: net/http reads the rest of the body first. An error means that the
	// connection is closed or, in tests, that there is none.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now())
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(answerTimeout))
	result.Write(w, result.New(result.Internal, "a fault in cassiadeal ended the request"))
}

// OnPanic sets the function that returns the fields of the log line if the handler panics. It is called in the handler's goroutine. w is
// the handler's writer; there is no effect if it isn't from Recoverer.Handler.
func OnPanic(w http.ResponseWriter, fields func() logrus.Fields) {
	if t := find(w); t != nil {
		t.onPanic = fields
	}
}

// Unwrap returns the writer that Recoverer.Handler has wrapped, or w if there is none. http.MaxBytesReader needs the server's own.
func Unwrap(w http.ResponseWriter) http.ResponseWriter {
	if t := find(w); t != nil {
		return t.ResponseWriter
	}
	return w
}

func find(w http.ResponseWriter) *response {
	for {
		switch v := w.(type) {
		case *response:
			return v
		case interface{ Unwrap() http.ResponseWriter }:
			w = v.Unwrap()
		default:
			return nil
		}
	}
}

// response records what was written of a response.
type response struct {
	http.ResponseWriter
	headRequest bool
	onPanic     func() logrus.Fields
	wroteHeader bool
	status      int
	length      int64 // Content-Length; negative if there is none.
	written     int64
}

// details returns the fields that the handler has offered for the log line.
func (t *response) details() (fields logrus.Fields) {
	if t.onPanic == nil {
		return nil
	}
	defer func() {
		if recover() != nil {
			fields = nil // What the handler knows is in disorder; the panic is still reported.
		}
	}()
	return t.onPanic()
}

func (t *response) noteHeader(status int) {
	if t.wroteHeader || status < http.StatusOK && status != http.StatusSwitchingProtocols {
		return
	}
	t.wroteHeader, t.status, t.length = true, status, -1
	if length, err := strconv.ParseInt(t.Header().Get("Content-Length"), 10, 64); err == nil {
		t.length = length
	}
}

// complete reports whether the whole response was written.
func (t *response) complete() bool {
	noBody := t.headRequest || t.status == http.StatusNoContent || t.status == http.StatusNotModified
	return t.wroteHeader && (noBody || t.written == t.length)
}

// WriteHeader implements http.ResponseWriter.
func (t *response) WriteHeader(status int) {
	t.noteHeader(status)
	t.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (t *response) Write(p []byte) (int, error) {
	t.noteHeader(http.StatusOK)
	n, err := t.ResponseWriter.Write(p)
	t.written += int64(n)
	return n, err
}

// FlushError is called by http.ResponseController.
func (t *response) FlushError() error {
	t.noteHeader(http.StatusOK)
	return http.NewResponseController(t.ResponseWriter).Flush()
}

// Unwrap is called by http.ResponseController.
func (t *response) Unwrap() http.ResponseWriter { return t.ResponseWriter }

package telemetry

import (
	"io"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// logQueueLines is the number of lines that are buffered while the underlying writer is slow.
	logQueueLines = 2048
	// logLinesPerSecond and logBurst limit the log volume under load. A node serves some tens of requests per second and logs
	// one to three lines for each.
	logLinesPerSecond = 400
	logBurst          = 1200
	// usualLineBytes is twice the size of the lines of requests. The bounds in lines also apply in bytes, for lines of this size: lines
	// contain what clients send, up to the limit of a head.
	usualLineBytes = 1 << 10
)

// BoundedWriter passes log lines to a writer without blocking its callers. Lines above the rate limit, and lines that don't
// fit into the buffer because the writer is slow, are dropped and counted.
type BoundedWriter struct {
	lines      chan []byte
	limiter    *rate.Limiter // Of lines.
	volume     *rate.Limiter // Of bytes.
	queued     atomic.Int64  // Bytes in lines.
	dropped    atomic.Int64
	writerDone chan struct{}
}

// NewBoundedWriter returns a BoundedWriter and starts the goroutine that writes its lines to w. Close ends the goroutine.
func NewBoundedWriter(w io.Writer) *BoundedWriter {
	b := &BoundedWriter{lines: make(chan []byte, logQueueLines), limiter: rate.NewLimiter(logLinesPerSecond, logBurst),
		volume: rate.NewLimiter(logLinesPerSecond*usualLineBytes, logBurst*usualLineBytes), writerDone: make(chan struct{})}
	go func() {
		defer close(b.writerDone)
		for line := range b.lines {
			// The error is ignored: a failure to write the log can't be reported anywhere else.
			_, _ = w.Write(line)
			b.queued.Add(-int64(len(line)))
		}
	}()
	return b
}

// Write implements io.Writer. It never returns an error, even for dropped lines.
func (b *BoundedWriter) Write(p []byte) (int, error) {
	now, size := time.Now(), int64(len(p))
	if !b.limiter.AllowN(now, 1) || !b.volume.AllowN(now, len(p)) {
		b.dropped.Add(1)
		return len(p), nil
	}
	if b.queued.Add(size) > logQueueLines*usualLineBytes {
		b.queued.Add(-size)
		b.dropped.Add(1)
		return len(p), nil
	}
	select {
	case b.lines <- append([]byte(nil), p...):
	default:
		b.queued.Add(-size)
		b.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of lines that were dropped.
func (b *BoundedWriter) Dropped() int64 { return b.dropped.Load() }

// Close waits until the buffered lines are written, for at most the limit. Write must not be called afterwards.
func (b *BoundedWriter) Close(limit time.Duration) {
	close(b.lines)
	select {
	case <-b.writerDone:
	case <-time.After(limit):
	}
}

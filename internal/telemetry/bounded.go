package telemetry

import (
	"io"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// logQueueLines is the number of lines that wait for a slow reader of the log.
	logQueueLines = 2048
	// logLinesPerSecond and logBurst bound the log under load: a node serves some tens of requests a second, with one to three
	// lines each.
	logLinesPerSecond = 400
	logBurst          = 1200
)

// BoundedWriter passes log lines to a writer without ever blocking. Lines beyond the rate, or beyond what a slow writer takes,
// are dropped and counted.
type BoundedWriter struct {
	lines      chan []byte
	limiter    *rate.Limiter
	dropped    atomic.Int64
	writerDone chan struct{}
}

// NewBoundedWriter starts a goroutine that writes to w.
func NewBoundedWriter(w io.Writer) *BoundedWriter {
	b := &BoundedWriter{lines: make(chan []byte, logQueueLines), limiter: rate.NewLimiter(logLinesPerSecond, logBurst), writerDone: make(chan struct{})}
	go func() {
		defer close(b.writerDone)
		for line := range b.lines {
			// There is nowhere to tell that the log can't be written.
			_, _ = w.Write(line)
		}
	}()
	return b
}

// Write implements io.Writer. It never fails.
func (b *BoundedWriter) Write(p []byte) (int, error) {
	if !b.limiter.AllowN(time.Now(), 1) {
		b.dropped.Add(1)
		return len(p), nil
	}
	select {
	case b.lines <- append([]byte(nil), p...):
	default:
		b.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of lines that were not written.
func (b *BoundedWriter) Dropped() int64 { return b.dropped.Load() }

// Close writes what waits, for at most the limit. Nothing may be written afterwards.
func (b *BoundedWriter) Close(limit time.Duration) {
	close(b.lines)
	select {
	case <-b.writerDone:
	case <-time.After(limit):
	}
}

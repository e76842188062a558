package telemetry

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// blockedWriter is a writer whose Write blocks until release is closed.
type blockedWriter struct{ release chan struct{} }

func (w blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return len(p), nil
}

// Guards against a slow log writer that blocks the requests being logged, and against unbounded log volume.
func TestLogNeverBlocks(t *testing.T) {
	c := quicktest.New(t)
	out := blockedWriter{make(chan struct{})}
	b := NewBoundedWriter(out)
	start := time.Now()
	for i := range 20_000 {
		n, err := fmt.Fprintf(b, "line %d\n", i)
		c.Assert(err, quicktest.IsNil)
		c.Assert(n > 0, quicktest.IsTrue)
	}
	c.Assert(time.Since(start) < 5*time.Second, quicktest.IsTrue)
	c.Assert(b.Dropped() > 10_000, quicktest.IsTrue)
	close(out.release)
	b.Close(10 * time.Second)
}

// Guards against lines with what clients send that fill the memory while the log is slow, or the log itself: 1200 lines of 96 KB have 112 MB.
func TestLongLinesAreBoundedTogether(t *testing.T) {
	c := quicktest.New(t)
	const lines, lineBytes, most = 1200, 96 << 10, 4 << 20
	out := blockedWriter{make(chan struct{})}
	b := NewBoundedWriter(out)
	for range lines {
		_, err := b.Write(make([]byte, lineBytes))
		c.Assert(err, quicktest.IsNil)
	}
	held := 0
	for range len(b.lines) {
		held += len(<-b.lines)
	}
	c.Check(held > 0 && held < most, quicktest.IsTrue, quicktest.Commentf("%d MB", held>>20))
	close(out.release)
	b.Close(10 * time.Second)
}

package telemetry

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// stuck is a writer that never returns.
type blockedWriter struct{ release chan struct{} }

func (s blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// Guards against a log that blocks the requests that it tells about, and against unbounded volume.
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

package target

import (
	"context"
	"testing"

	"github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/standin/endless"
)

// Pattern: many members answer probes without end at once. Guards against a node that keeps all that they send and runs out of memory.
func TestProbesThatAreAnsweredWithoutEnd(t *testing.T) {
	const members = 100
	for _, answer := range endless.Answers {
		t.Run(answer.Name, func(t *testing.T) {
			c := quicktest.New(t)
			prober := NewHTTPProber(nil)
			peak, err := endless.Calls(answer, members, DefaultFreshness/2, func(ctx context.Context, address string) {
				if r, err := prober.Probe(ctx, false, address); err == nil {
					c.Errorf("the probe returned %v", r)
				}
			})
			c.Check(err, quicktest.IsNil)
			c.Check(peak < endless.SmallestHeap, quicktest.IsTrue, quicktest.Commentf("%d MB of heap in use", peak>>20))
		})
	}
}

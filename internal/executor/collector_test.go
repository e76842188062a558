package executor

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/buffer"
	"cassiadeal.example/cassiadeal/internal/schema"
	"cassiadeal.example/cassiadeal/internal/standin/endless"
)

// Pattern: targets send the answers of requests that may run only once in small pieces, without end. Guards against a node that keeps them all,
// or the memory that each piece was read into, and runs out of it.
func TestAnswersInSmallPiecesFitIntoMemory(t *testing.T) {
	const answers, pieces, readSize, shared = 100, 10_000, 32 << 10, 4 << 20
	c := qt.New(t)
	budget := buffer.NewBudget(shared)
	piece := make([]byte, readSize)[:100]
	peak := endless.PeakHeap(func() {
		for range answers {
			kept := collector{body: budget.NewBuffer(readSize * pieces)}
			var err error
			for i := 0; i < pieces && err == nil; i++ {
				err = kept.add(&schema.DispatchChunk{Part: &schema.DispatchChunk_Data{Data: piece}})
			}
			defer kept.body.Release() // All are unfinished at the same time.
		}
	})
	c.Check(peak < endless.SmallestHeap, qt.IsTrue, qt.Commentf("%d MB of heap in use", peak>>20))
}

// Guards against an answer that is changed while it is kept for its claim.
func TestKeptAnswerIsPassedOnWhole(t *testing.T) {
	c := qt.New(t)
	kept := collector{body: buffer.NewBudget(1 << 20).NewBuffer(1 << 20)}
	defer kept.body.Release()
	c.Assert(kept.add(&schema.DispatchChunk{Part: &schema.DispatchChunk_Head{Head: &schema.DispatchHead{Status: 201}}}), qt.IsNil)
	sent := make([]byte, 3*buffer.Allowance/2)
	for i := range sent {
		sent[i] = byte(i)
	}
	c.Assert(kept.add(&schema.DispatchChunk{Part: &schema.DispatchChunk_Data{Data: sent}}), qt.IsNil)
	want := bytes.Clone(sent)
	clear(sent) // The memory of a part is used for the next one.
	sent = want
	c.Assert(kept.answer().Status, qt.Equals, uint32(201))
	c.Assert(kept.answer().Body, qt.DeepEquals, sent)
	var received []byte
	for _, chunk := range kept.chunks() {
		received = append(received, chunk.GetData()...)
	}
	c.Assert(received, qt.DeepEquals, sent)
	c.Assert(kept.chunks()[0].GetHead().GetStatus(), qt.Equals, uint32(201))
}

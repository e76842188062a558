package buffer

import (
	"bytes"
	"strings"
	"testing"

	"github.com/frankban/quicktest"
)

// Guards against buffers that hold more than their limit or than the budget, that are refused their allowance because others use up the
// budget, and against bytes that are never given back.
func TestBuffersShareTheirBudget(t *testing.T) {
	c := quicktest.New(t)
	const shared = 4 * Allowance
	budget := NewBudget(shared)
	part := bytes.Repeat([]byte("x"), Allowance)
	large, other := budget.NewBuffer(8*Allowance), budget.NewBuffer(2*Allowance)
	for range 5 { // Its allowance and the whole budget.
		c.Assert(large.Append(part), quicktest.IsNil)
	}
	c.Assert(large.Append(part[:1]), quicktest.Equals, ErrBudgetUsedUp)
	c.Assert(large.Bytes(), quicktest.HasLen, 5*Allowance)
	c.Assert(other.Append(part), quicktest.IsNil)
	c.Assert(other.Append(part[:1]), quicktest.Equals, ErrBudgetUsedUp)
	large.Release()
	large.Release()
	c.Assert(large.Bytes(), quicktest.HasLen, 0)
	c.Assert(other.Append(part), quicktest.IsNil)
	c.Assert(other.Append(part[:1]), quicktest.Equals, ErrTooLarge)
	other.Release()
	c.Assert(budget.free.Load(), quicktest.Equals, int64(shared))
	c.Assert(large.ReadAll(strings.NewReader("abc")), quicktest.IsNil)
	c.Assert(string(large.Bytes()), quicktest.Equals, "abc")
}

// Guards against bytes that are lost, repeated or reordered between the chunks of a buffer.
func TestBytesOfSeveralChunks(t *testing.T) {
	c := quicktest.New(t)
	b := NewBudget(1 << 20).NewBuffer(1 << 20)
	var want []byte
	for i := range 400 {
		part := bytes.Repeat([]byte{byte(i)}, i)
		c.Assert(b.Append(part), quicktest.IsNil)
		want = append(want, part...)
		c.Assert(b.Len(), quicktest.Equals, len(want))
	}
	for start := 0; start <= len(want); start += 997 {
		c.Assert(bytes.Equal(b.From(start), want[start:]), quicktest.IsTrue, quicktest.Commentf("from %d", start))
	}
	var written bytes.Buffer
	n, err := b.WriteTo(&written)
	c.Assert(err, quicktest.IsNil)
	c.Check(n, quicktest.Equals, int64(len(want)))
	c.Check(bytes.Equal(written.Bytes(), want), quicktest.IsTrue)
	for _, chunk := range b.Chunks() {
		c.Check(cap(chunk) <= 2*chunkBytes, quicktest.IsTrue)
	}
	b.Release()
	c.Check(b.Bytes(), quicktest.HasLen, 0)
}

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

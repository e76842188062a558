// Package buffer holds bytes of messages until they are complete, within a budget of memory that all of them share.
package buffer

import (
	"errors"
	"io"
	"sync/atomic"
)

const (
	// Allowance is what each buffer may hold in any case. Usual messages have a few KB, so they aren't affected by others that use up the
	// budget.
	Allowance = 32 << 10
	// readChunkBytes is the size of one read of ReadAll.
	readChunkBytes = 8 << 10
)

var (
	// ErrTooLarge means that the bytes exceed the limit of their buffer.
	ErrTooLarge = errors.New("the response or event exceeds the size limit")
	// ErrBudgetUsedUp means that the budget has no room for the bytes.
	ErrBudgetUsedUp = errors.New("too many bytes of unfinished responses are buffered")
)

// Budget is the memory that buffers share beyond their Allowance. It is safe for concurrent use.
type Budget struct{ free atomic.Int64 }

// NewBudget returns a budget of the given size.
func NewBudget(bytes int64) *Budget {
	b := &Budget{}
	b.free.Store(bytes)
	return b
}

// NewBuffer returns an empty buffer of the budget that holds up to limit bytes.
func (b *Budget) NewBuffer(limit int) *Buffer { return &Buffer{budget: b, limit: limit} }

func (b *Budget) take(n int64) bool {
	if b.free.Add(-n) >= 0 {
		return true
	}
	b.free.Add(n)
	return false
}

// Buffer collects bytes. What exceeds Allowance is taken from the budget until Release is called.
type Buffer struct {
	budget *Budget
	limit  int
	data   []byte
	taken  int64
}

// Bytes returns what was appended. It must not be used after Release.
func (b *Buffer) Bytes() []byte { return b.data }

// Append adds a copy of the bytes. It adds nothing if it returns an error.
func (b *Buffer) Append(p []byte) error {
	size := len(b.data) + len(p)
	if size > b.limit {
		return ErrTooLarge
	}
	if more := int64(size) - Allowance - b.taken; more > 0 {
		if !b.budget.take(more) {
			return ErrBudgetUsedUp
		}
		b.taken += more
	}
	b.data = append(b.data, p...)
	return nil
}

// Release empties the buffer and gives back what was taken from the budget.
func (b *Buffer) Release() {
	b.budget.free.Add(b.taken)
	b.taken, b.data = 0, nil
}

// ReadAll appends everything up to the end of r.
func (b *Buffer) ReadAll(r io.Reader) error {
	chunk := make([]byte, readChunkBytes)
	for {
		n, err := r.Read(chunk)
		if appendErr := b.Append(chunk[:n]); appendErr != nil {
			return appendErr
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

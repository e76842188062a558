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
	// chunkBytes is the size of the parts in which larger messages are held. Up to that size, a buffer grows as it needs.
	chunkBytes = 16 << 10
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

// Buffer collects bytes. What exceeds Allowance is taken from the budget until Release is called. It holds them in chunks, so that growing
// leaves no garbage of the size of the buffer.
type Buffer struct {
	budget *Budget
	limit  int
	chunks [][]byte
	size   int
	taken  int64
}

// Len returns the number of bytes.
func (b *Buffer) Len() int { return b.size }

// Bytes returns what was appended, as a copy if it is larger than a chunk. It must not be used after Release.
func (b *Buffer) Bytes() []byte { return b.From(0) }

// From returns what was appended from the given offset on, as a copy if it spans chunks. It must not be used after Release.
func (b *Buffer) From(start int) []byte {
	skip := start
	for i, chunk := range b.chunks {
		if skip >= len(chunk) {
			skip -= len(chunk)
			continue
		}
		if i == len(b.chunks)-1 {
			return chunk[skip:]
		}
		joined := make([]byte, 0, b.size-start)
		joined = append(joined, chunk[skip:]...)
		for _, rest := range b.chunks[i+1:] {
			joined = append(joined, rest...)
		}
		return joined
	}
	return nil
}

// Chunks returns what was appended in parts of up to chunkBytes. They must not be used after Release.
func (b *Buffer) Chunks() [][]byte { return b.chunks }

// WriteTo implements io.WriterTo. It doesn't empty the buffer.
func (b *Buffer) WriteTo(w io.Writer) (written int64, err error) {
	for _, chunk := range b.chunks {
		n, err := w.Write(chunk)
		written += int64(n)
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// Append adds a copy of the bytes. It adds nothing if it returns an error.
func (b *Buffer) Append(p []byte) error {
	size := b.size + len(p)
	if size > b.limit {
		return ErrTooLarge
	}
	if more := int64(size) - Allowance - b.taken; more > 0 {
		if !b.budget.take(more) {
			return ErrBudgetUsedUp
		}
		b.taken += more
	}
	b.size = size
	b.store(p)
	return nil
}

func (b *Buffer) store(p []byte) {
	if len(b.chunks) == 0 {
		b.chunks = append(b.chunks, nil)
	}
	for len(p) > 0 {
		last := &b.chunks[len(b.chunks)-1]
		n := min(len(p), chunkBytes-len(*last))
		if n == 0 {
			b.chunks = append(b.chunks, make([]byte, 0, chunkBytes))
			continue
		}
		*last = append(*last, p[:n]...) // Only the first chunk grows.
		p = p[n:]
	}
}

// Release empties the buffer and gives back what was taken from the budget.
func (b *Buffer) Release() {
	b.budget.free.Add(b.taken)
	b.taken, b.chunks, b.size = 0, nil, 0
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

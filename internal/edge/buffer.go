package edge

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"cassiadeal.example/cassiadeal/internal/buffer"
)

const (
	// maxResponseBytes limits a response that is buffered until it is complete. A longer one counts as incomplete.
	maxResponseBytes = 16 << 20
	// maxEventBytes limits the size of one event of a stream.
	maxEventBytes = 1 << 20
	// sharedBufferBytes is what all responses and events together may buffer beyond buffer.Allowance each. Replicas in trouble may
	// send bytes without end on many connections at once, and the smallest machines have 184 MB of memory.
	sharedBufferBytes = 16 << 20
)

// readEvent appends the bytes up to the blank line that ends an event, and returns the event's ID. If the response ends in the
// middle of an event, the error is io.ErrUnexpectedEOF.
func readEvent(r *bufio.Reader, b *buffer.Buffer) (id string, err error) {
	lineStart := 0
	for {
		part, err := r.ReadSlice('\n')
		if appendErr := b.Append(part); appendErr != nil {
			return id, appendErr
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue // The line goes on.
		case errors.Is(err, io.EOF) && b.Len() > 0:
			return id, io.ErrUnexpectedEOF
		case err != nil:
			return id, err
		}
		line := bytes.TrimRight(b.From(lineStart), "\r\n")
		lineStart = b.Len()
		if len(line) == 0 {
			return id, nil
		}
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
	}
}

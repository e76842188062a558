package intake

import "net/http"

// framing finds the end of the body of a request as its bytes arrive, so that what follows is counted as the next head.
type framing struct {
	left    int64 // Bytes that are due if the body has a length.
	chunks  *chunks
	unknown bool // The end can't be told; net/http reports why.
}

// framingOf returns the framing of the body that net/http expects.
func framingOf(r *http.Request) framing {
	switch {
	case r.Body == nil, r.Body == http.NoBody:
		return framing{}
	case r.ContentLength >= 0:
		return framing{left: r.ContentLength}
	}
	return framing{chunks: &chunks{}}
}

// ended reports whether the whole body has been received.
func (f *framing) ended() bool {
	return !f.unknown && f.left == 0 && (f.chunks == nil || f.chunks.state == chunksEnded)
}

// take returns how many of the bytes belong to the body.
func (f *framing) take(p []byte) int {
	switch {
	case f.unknown:
		return len(p)
	case f.chunks != nil:
		n := f.chunks.scan(p)
		f.unknown = f.chunks.state == chunksMalformed
		return n
	}
	n := int(min(f.left, int64(len(p))))
	f.left -= int64(n)
	return n
}

// chunkState is a part of the chunked transfer coding (RFC 9112, section 7.1).
type chunkState int

const (
	chunkSize       chunkState = iota // The digits of a size.
	chunkExtension                    // The rest of the line.
	chunkData                         // The data.
	chunkDataEnd                      // The line end behind the data.
	chunkTrailer                      // Trailer lines, and the blank line behind them.
	chunksEnded                       // Nothing more belongs to the body.
	chunksMalformed                   // net/http will refuse the body.
)

// maxChunkDigits bounds the digits of a size: an int64 has 15 that can't overflow.
const maxChunkDigits = 15

// chunks follows a body in the chunked transfer coding.
type chunks struct {
	state      chunkState
	digits     int
	left       int64 // Bytes of data that are due.
	lineLength int   // Of the present trailer line, without carriage returns.
}

// scan takes the next bytes and returns how many of them belong to the body.
func (c *chunks) scan(p []byte) int {
	for i := 0; i < len(p); {
		if c.state == chunksEnded {
			return i
		}
		if c.state == chunkData {
			n := min(c.left, int64(len(p)-i))
			i += int(n)
			if c.left -= n; c.left == 0 {
				c.state = chunkDataEnd
			}
			continue
		}
		c.next(p[i])
		if c.state == chunksMalformed {
			return len(p)
		}
		i++
	}
	return len(p)
}

// next takes a byte that isn't data.
func (c *chunks) next(b byte) {
	switch c.state {
	case chunkSize:
		if digit, ok := hexDigit(b); ok && c.digits < maxChunkDigits {
			c.digits++
			c.left = c.left<<4 | digit
			return
		}
		if c.digits == 0 || c.digits == maxChunkDigits {
			c.state = chunksMalformed
			return
		}
		c.state = chunkExtension
		c.next(b)
	case chunkExtension:
		if b != '\n' {
			return
		}
		c.digits, c.lineLength, c.state = 0, 0, chunkData
		if c.left == 0 {
			c.state = chunkTrailer
		}
	case chunkDataEnd:
		if b == '\n' {
			c.state = chunkSize
		}
	case chunkTrailer:
		c.nextOfTrailer(b)
	}
}

func (c *chunks) nextOfTrailer(b byte) {
	switch {
	case b == '\n' && c.lineLength == 0:
		c.state = chunksEnded
	case b == '\n':
		c.lineLength = 0
	case b != '\r':
		c.lineLength++
	}
}

func hexDigit(b byte) (int64, bool) {
	switch {
	case b >= '0' && b <= '9':
		return int64(b - '0'), true
	case b >= 'a' && b <= 'f':
		return int64(b-'a') + 10, true
	case b >= 'A' && b <= 'F':
		return int64(b-'A') + 10, true
	}
	return 0, false
}

package intake

import "bytes"

// head follows the head of a request as its bytes arrive. Blank lines before the request line count as part of that.
type head struct {
	requestLine int // Bytes before the header lines.
	fields      int // Bytes of the header lines.
	lines       int // Header lines.
	inFields    bool
	done        bool // The blank line at the end has arrived.

	lineLength int  // Of the present line so far.
	onlyCR     bool // The present line has been a carriage return so far.
}

// largest returns the size of the request line or that of the header lines, whichever is larger. The blank line at the end counts towards
// neither, also if only its carriage return has arrived.
func (h *head) largest() int {
	fields := h.fields
	if h.inFields && h.onlyCR {
		fields--
	}
	return max(h.requestLine, fields)
}

// scan takes the next bytes and returns how many of them belong to the head.
func (h *head) scan(p []byte) int {
	taken := 0
	for taken < len(p) && !h.done {
		rest := p[taken:]
		end := bytes.IndexByte(rest, '\n')
		if end < 0 {
			h.add(rest)
			return len(p)
		}
		h.add(rest[:end])
		h.endLine()
		taken += end + 1
	}
	return taken
}

func (h *head) add(p []byte) {
	if len(p) == 0 {
		return
	}
	h.onlyCR = h.lineLength == 0 && len(p) == 1 && p[0] == '\r'
	h.lineLength += len(p)
	h.grow(len(p))
}

func (h *head) grow(n int) {
	if h.inFields {
		h.fields += n
	} else {
		h.requestLine += n
	}
}

func (h *head) endLine() {
	blank := h.lineLength == 0 || h.onlyCR
	switch {
	case h.inFields && blank:
		h.fields -= h.lineLength
		h.done = true
	case h.inFields:
		h.lines++
		h.grow(1)
	default:
		h.grow(1)
		h.inFields = !blank
	}
	h.lineLength, h.onlyCR = 0, false
}

package intake

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against heads whose end is missed or seen too early, however their bytes are divided into reads.
func TestHeadEndsAtTheBlankLine(t *testing.T) {
	for name, tc := range map[string]struct {
		text                   string
		request, fields, lines int
		done                   bool
	}{
		"whole":                {"GET / HTTP/1.1\r\nA: b\r\nC:\r\n\r\nbody\r\n", 16, 10, 2, true},
		"line feeds only":      {"GET / HTTP/1.1\nA: b\n\n", 15, 5, 1, true},
		"no header lines":      {"GET / HTTP/1.1\r\n\r\n", 16, 0, 0, true},
		"blank lines before":   {"\r\n\nGET / HTTP/1.1\r\n\r\n", 19, 0, 0, true},
		"unfinished":           {"GET / HTTP/1.1\r\nA: b\r\nC:", 16, 8, 1, false},
		"carriage return only": {"GET / HTTP/1.1\r\nA: b\r\n\rx\r\n", 16, 10, 2, false},
		"two carriage returns": {"GET / HTTP/1.1\r\nA: b\r\n\r\r\n", 16, 9, 2, false},
		"blank lines alone":    {"\r\n\r\n\r\n", 6, 0, 0, false},
	} {
		for size := 1; size <= len(tc.text); size++ {
			var h head
			for i := 0; i < len(tc.text); i += size {
				h.scan([]byte(tc.text[i:min(i+size, len(tc.text))]))
			}
			got := []any{h.requestLine, h.fields, h.lines, h.done}
			qt.Check(t, got, qt.DeepEquals, []any{tc.request, tc.fields, tc.lines, tc.done}, qt.Commentf("%s, reads of %d bytes", name, size))
		}
	}
}

// Guards against a head at the limit that is refused because the two bytes of its last line arrive one after the other.
func TestLastLineCountsTowardsNeitherSizeAtAnyByte(t *testing.T) {
	c := qt.New(t)
	var h head
	const text = "GET / HTTP/1.1\r\nHost: a-long-name.example\r\n\r\n"
	for _, b := range []byte(text) {
		h.scan([]byte{b})
		c.Assert(h.largest() <= len("Host: a-long-name.example\r\n"), qt.IsTrue)
	}
	c.Check(h.done, qt.IsTrue)
}

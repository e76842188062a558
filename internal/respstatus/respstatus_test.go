package respstatus

import (
	"testing"

	"github.com/frankban/quicktest"
)

// Guards against status lines that net/http accepts although the status isn't three digits, and against sound ones that are refused.
func TestCheckLine(t *testing.T) {
	for line, valid := range map[string]bool{
		"HTTP/1.1 200 OK\r\n": true, "HTTP/1.1 200\r\n": true, "HTTP/1.1 200\n": true, "HTTP/1.0 503 No\r\n": true, "HTTP/1.1 999 No\r\n": true,
		"HTTP/1.1  200 OK\r\n": false, "HTTP/1.1 +20 OK\r\n": false, "HTTP/1.1 2000 OK\r\n": false, "HTTP/1.1 200\tOK\r\n": false, "HTTP/1.1 \r\n\r\n\r\n": false,
		"garbage garbage": true, "HTTP": true,
	} {
		err := CheckLine([]byte(line))
		quicktest.Check(t, err == nil, quicktest.Equals, valid, quicktest.Commentf("%q", line))
		if err != nil {
			quicktest.Check(t, err, quicktest.ErrorIs, ErrInvalid)
		}
	}
}

// Guards against statuses that reach a client although they are none of a final response.
func TestStatuses(t *testing.T) {
	for status, want := range map[int][2]bool{0: {}, 99: {}, 100: {false, true}, 101: {}, 103: {false, true}, 199: {false, true}, 200: {true, false}, 421: {true, false},
		599: {true, false}, 600: {}, 999: {}} {
		quicktest.Check(t, [2]bool{Final(status), Interim(status)}, quicktest.Equals, want, quicktest.Commentf("%d", status))
		quicktest.Check(t, CheckFinal(status) == nil, quicktest.Equals, want[0])
	}
}

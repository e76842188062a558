package load

import (
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const validFile = `[experiment]
duration = 2s
rate = 10
[entry]
addresses = 127.0.0.1:1,127.0.0.1:2
[traffic a]
kind = service
share = 1
token = t
service = s
`

// Guards against an example file that the parser rejects.
func TestExampleIsValid(t *testing.T) {
	text, err := os.ReadFile("../../examples/load.ini")
	qt.Assert(t, err, qt.IsNil)
	e, err := Parse("load.ini", string(text))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(e.Traffic), qt.Equals, 5)
	qt.Assert(t, e.Faults[1].Body, qt.Equals, `{"vm":"vm-3","down":false}`)
	qt.Assert(t, e.Traffic[3].Body, qt.Equals, `{"booking":{n}}`)
}

// Guards against invalid files that are accepted and run with other values than written, and against errors without a line
// number.
func TestFileErrors(t *testing.T) {
	for _, test := range []struct{ name, old, new, want string }{
		{"no number", "rate = 10", "rate = ten",
			`f.ini:3: rate: "ten" must be a number of requests/s above 0 and up to 1000000`},
		{"unknown key", "token = t", "tokn = t",
			`f.ini:9: unknown key "tokn" in section "traffic a"`},
		{"doubled key", "token = t", "token = t\ntoken = u",
			`f.ini:10: key "token" in section "traffic a" is already set on line 9`},
		{"unknown section", "[entry]", "[entries]",
			`f.ini:4: unknown section "entries"; known are experiment, entry, faults and traffic NAME`},
		{"missing key", "token = t\n", "", `f.ini:6: [traffic a] lacks token`},
		{"shares", "share = 1", "share = 0.5", `f.ini:3: the shares of the traffic sections add up to 0.5 instead of 1`},
		{"key of the other kind", "token = t", "token = t\nmax_tokens = 5", `f.ini:10: key "max_tokens" does not apply to kind=service`},
		{"no assignment", "rate = 10", "rate 10", `f.ini:3: expected "key = value", found "rate 10"`},
		{"address", "127.0.0.1:2", "127.0.0.1", `f.ini:5: addresses: "127.0.0.1" must be host:port`},
		{"second fault at the same time", "[entry]", "[faults]\n1s = GET http://a/ x\n1s = GET a\n[entry]",
			`f.ini:6: "GET a" must be METHOD URL BODY with an http URL`},
		{"late fault", "[entry]", "[faults]\n3s = GET http://a/\n[entry]",
			`f.ini:4: [faults] has a request at 3s, after the end of the run at 2s`},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := Parse("f.ini", strings.Replace(validFile, test.old, test.new, 1))
			qt.Assert(t, err, qt.ErrorMatches, `(?s)(.*\n)?`+regexp.QuoteMeta(test.want)+`(\n.*)?`)
		})
	}
	_, err := Parse("f.ini", validFile)
	qt.Assert(t, err, qt.IsNil)
}

// Guards against a schedule that differs between runs with the same seed, or whose rate is not the one in the file.
func TestScheduleIsFixedBySeed(t *testing.T) {
	e, err := Parse("f.ini", strings.Replace(validFile, "rate = 10", "rate = 5000", 1))
	qt.Assert(t, err, qt.IsNil)
	collect := func() (all []arrival) {
		s := newSchedule(e)
		for a, ok := s.next(); ok; a, ok = s.next() {
			all = append(all, a)
		}
		return all
	}
	first := collect()
	qt.Assert(t, slices.Equal(collect(), first), qt.IsTrue)
	// The number of arrivals has a mean of 10,000 and, as a Poisson process, a standard deviation of 100. The bound is four
	// times that.
	qt.Assert(t, len(first) > 9600 && len(first) < 10400, qt.IsTrue, qt.Commentf("%d", len(first)))
	e.Constant = true
	second := collect()
	qt.Assert(t, len(second), qt.Equals, 10000)
	qt.Assert(t, second[1].startOffset-second[0].startOffset, qt.Equals, 200*time.Microsecond)
}

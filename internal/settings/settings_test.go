package settings_test

import (
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/settings"
)

const exampleFile = "../../examples/cassiadeald.ini"

// Guards against an example file that the daemon refuses, and against comments in it that state wrong defaults.
func TestExample(t *testing.T) {
	c := qt.New(t)
	s, err := settings.Load(exampleFile)
	c.Assert(err, qt.IsNil)
	c.Check(s.Advertise, qt.Equals, s.Listen)
	c.Check(s.Timing.Term, qt.Equals, 3*time.Second)

	data, err := os.ReadFile(exampleFile)
	c.Assert(err, qt.IsNil)
	uncommented, err := settings.Parse("f", []byte(strings.ReplaceAll(string(data), "\n# ", "\n")))
	c.Assert(err, qt.IsNil)
	c.Check(uncommented, qt.DeepEquals, s)
}

// Guards against settings that are accepted although the daemon can't run safely with them.
func TestParseRefuses(t *testing.T) {
	const good = "[node]\nname = a\nfailure_domain = fd\n[listen]\ncaller = 127.0.0.1:1\npeer = 127.0.0.1:2\noperator = 127.0.0.1:3\n" +
		"[platform]\nurl = http://127.0.0.1:9\n"
	for _, test := range []struct{ name, text, want string }{
		{"empty", "", "f: [node] lacks name"},
		{"unknown section", good + "[time]\n", `f:10: unknown section "time"`},
		{"unknown key", good + "[timing]\n\nterms = 3s\n", `f:12: unknown key "terms" in section "timing"`},
		{"key before sections", "x = 1\n" + good, `f:1: unknown key "x" in section "DEFAULT"`},
		{"twice", good + "timeout = 1s\ntimeout = 2s\n", `f:11: key "timeout" in section "platform" is already set on line 10`},
		{"no delimiter", good + "[timing]\nterm\n", `f:11: expected "key = value", found "term`},
		{"type", good + "[timing]\nterm = 3\n", `f:11: [timing] term: "3" must be a time from 1ms`},
		{"range", good + "[limits]\nmax_in_flight = 0\n", `f:11: [limits] max_in_flight: "0" must be a whole number from 1`},
		{"term", good + "[timing]\nterm = 1900ms\n", "f:11: term 1.9s is below 2 x renew 1s"},
		{"freshness", good + "[timing]\nprobe = 600ms\n", "f: freshness 1s is below 2 x probe 600ms"},
		{"timeout", good + "timeout = 3s\n", "f:10: timeout 3s is not below term 3s"},
		{"same address", strings.Replace(good, "1:3", "1:2", 1), "f:7: [listen] peer and operator are both 127.0.0.1:2"},
		{"wildcard", strings.Replace(good, "127.0.0.1:1", ":1", 1), "f:5: [listen] caller=:1 binds every address"},
		{"advertise port 0", good + "[advertise]\npeer = 127.0.0.1:0\n", `f:11: [advertise] peer: port "0"`},
		{"name", strings.Replace(good, "= a", "= A/B", 1), `f:2: [node] name: "A/B" must have`},
		{"url", strings.Replace(good, "http:", "ftp:", 1), "f:9: [platform] url:"},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := settings.Parse("f", []byte(test.text))
			qt.Assert(t, err, qt.IsNotNil)
			qt.Check(t, err.Error(), qt.Contains, test.want)
		})
	}
	_, err := settings.Parse("f", []byte(good))
	qt.Check(t, err, qt.IsNil)
	_, err = settings.Parse("f", []byte("[node]\nname=\n[timing]\nterm = x\n"))
	qt.Check(t, strings.Count(err.Error(), "\n") >= 6, qt.IsTrue, qt.Commentf("not every problem is reported: %v", err))
}

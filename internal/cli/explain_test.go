package cli_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/cli"
	"cassiadeal.example/cassiadeal/internal/explain"
)

// Guards against questions that lose a parameter, and against output without the reason.
func TestExplain(t *testing.T) {
	c := qt.New(t)
	urgency := 4
	answer := explain.Answer{Route: "trail-brief", Service: "models", Priority: 1, Urgency: &urgency, ExpectedTokens: 175, Target: "i-1@5/g1/1", Why: "it can be served at once",
		Heads: []explain.Head{{Target: "i-1@5/g1/1", Zone: "z", CostMs: 133}, {Target: "i-2@5/g2/1", Zone: "y", LeftOut: "cold"}}}
	var asked map[string][]string
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked = r.URL.Query()
		c.Check(r.URL.Path, qt.Equals, explain.Path)
		c.Check(json.NewEncoder(w).Encode(answer), qt.IsNil)
	}))
	defer s.Close()
	run := func(args ...string) string {
		var out, errors bytes.Buffer
		code := cli.Run(context.Background(), cli.Options{Stdout: &out, Stderr: &errors, Getenv: func(string) string { return "" }},
			append([]string{"--node", strings.TrimPrefix(s.URL, "http://")}, args...))
		c.Assert(code, qt.Equals, cli.ExitOK, qt.Commentf("%s", errors.String()))
		return out.String()
	}
	text := run("explain", "x.example", "/trails/1", "--account", "hule", "--model", "large", "--prompt", "1460", "--max-output", "200", "--hint", "90", "--part", "5c")
	for _, want := range []string{"would go to i-1@5/g1/1", "it can be served at once", "priority 1, urgency 4", "175 output tokens", "cold"} {
		c.Check(text, qt.Contains, want)
	}
	c.Check(asked, qt.DeepEquals, map[string][]string{"host": {"x.example"}, "path": {"/trails/1"}, "account": {"hule"}, "model": {"large"}, "prompt": {"1460"},
		"max_output": {"200"}, "hint": {"90"}, "part": {"5c"}})
	var decoded explain.Answer
	c.Assert(json.Unmarshal([]byte(run("explain", "x.example", "/trails/1", "--json")), &decoded), qt.IsNil)
	c.Check(decoded, qt.DeepEquals, answer)
}

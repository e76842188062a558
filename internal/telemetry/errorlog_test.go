package telemetry_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/telemetry"
)

// serverErrorLines returns the JSON lines of a server whose handler is called n times.
func serverErrorLines(t *testing.T, n int, h http.HandlerFunc) (lines []map[string]any) {
	c := qt.New(t)
	var out bytes.Buffer
	log, err := telemetry.NewLogger(&out, "node-a", "info")
	c.Assert(err, qt.IsNil)
	server := httptest.NewUnstartedServer(h)
	server.Config.ErrorLog = telemetry.ServerErrorLog(log, "front")
	server.Start()
	for range n {
		resp, err := http.Get(server.URL)
		if err == nil {
			resp.Body.Close()
		}
	}
	server.Close() // Waits until the handlers have returned.
	for line := range strings.Lines(out.String()) {
		fields := map[string]any{}
		c.Assert(json.Unmarshal([]byte(line), &fields), qt.IsNil)
		lines = append(lines, fields)
	}
	return lines
}

// Guards against messages of net/http that are no JSON lines, or lines without bounds.
func TestServerErrorsAreStructuredLines(t *testing.T) {
	c := qt.New(t)
	lines := serverErrorLines(t, 1, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
		w.WriteHeader(http.StatusOK)
	})
	c.Assert(lines, qt.HasLen, 1)
	c.Check(lines[0]["listener"], qt.Equals, "front")
	c.Check(lines[0]["node"], qt.Equals, "node-a")
	c.Check(lines[0]["message"], qt.Contains, "superfluous")
	lines = serverErrorLines(t, 1, func(http.ResponseWriter, *http.Request) { panic(strings.Repeat("x", 100_000)) })
	c.Assert(lines, qt.HasLen, 1)
	c.Check(len(lines[0]["message"].(string)) <= 2048, qt.IsTrue)
}

// Guards against a log volume that clients determine.
func TestServerErrorsAreLimited(t *testing.T) {
	c := qt.New(t)
	lines := serverErrorLines(t, 500, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
		w.WriteHeader(http.StatusOK)
	})
	c.Check(len(lines) >= 10 && len(lines) < 100, qt.IsTrue, qt.Commentf("%d lines", len(lines)))
}

package telemetry_test

import (
	"bytes"
	"encoding/json"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/result"
	"cassiadeal.example/cassiadeal/internal/telemetry"
)

// Guards against metric names and labels that differ from the documented ones, and against a registry that is shared by two
// Metrics.
func TestMetricsAreExposed(t *testing.T) {
	c := qt.New(t)
	m, err := telemetry.New("node-a")
	c.Assert(err, qt.IsNil)
	_, err = telemetry.New("node-b")
	c.Assert(err, qt.IsNil)
	m.Refusal(result.QueueFull)
	m.Refusal(result.QueueFull)
	m.Retry("connection_refused")
	m.Request("drafts", result.OK, 400*time.Millisecond)
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	for _, line := range []string{
		`cassiadeal_refusals_total{code="queue_full"} 2`,
		`cassiadeal_retries_total{reason="connection_refused"} 1`,
		`cassiadeal_requests_total{code="ok",destination="drafts"} 1`,
		`cassiadeal_request_duration_seconds_bucket{destination="drafts",le="0.3"} 0`,
		`cassiadeal_request_duration_seconds_bucket{destination="drafts",le="0.42"} 1`,
		`cassiadeal_start_time_seconds{node="node-a"}`,
	} {
		c.Check(w.Body.String(), qt.Contains, line)
	}
	(*telemetry.Metrics)(nil).Refusal(result.QueueFull)
}

// Guards against log entries that are not exactly one JSON object on one line, and against an accepted unknown level.
func TestLoggerWritesJSONLines(t *testing.T) {
	var out bytes.Buffer
	log, err := telemetry.NewLogger(&out, "node-a", "info")
	qt.Assert(t, err, qt.IsNil)
	log.WithField("peer", "node-b").Info("peer lost\nunexpectedly")
	log.Debug("hidden")
	var line map[string]string
	qt.Assert(t, json.Unmarshal(out.Bytes(), &line), qt.IsNil)
	qt.Check(t, line["node"]+" "+line["peer"]+" "+line["msg"], qt.Equals, "node-a node-b peer lost\nunexpectedly")
	_, err = telemetry.NewLogger(&out, "node-a", "loud")
	qt.Check(t, err, qt.IsNotNil)
}

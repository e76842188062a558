package gateway

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"cassiadeal.example/cassiadeal/internal/recovery"
	"cassiadeal.example/cassiadeal/internal/result"
	"cassiadeal.example/cassiadeal/internal/schema"
	"cassiadeal.example/cassiadeal/internal/telemetry"
)

// Guards against a caller's request that ends without an answer, a count, a log line with its ID or the return of what it reserved because
// this node's code panics, and against a stream that looks complete then.
func TestPanicIsAnsweredAndReleasesTheRequest(t *testing.T) {
	token := &schema.DispatchChunk{Part: &schema.DispatchChunk_Token{Token: &schema.TokenEvent{Text: "x"}}}
	for name, test := range map[string]struct {
		path, body  string
		beforePanic []*schema.DispatchChunk
		answered    bool
	}{
		"service":             {"/v1/services/s/safe/x", "body", nil, true},
		"service with a head": {"/v1/services/s/safe/x", "body", []*schema.DispatchChunk{{Part: &schema.DispatchChunk_Head{Head: &schema.DispatchHead{Status: 200}}}}, true},
		"generate":            {"/v1/pools/p/generate", `{"prompt":"secret","max_tokens":1}`, []*schema.DispatchChunk{token}, true},
		"stream":              {"/v1/pools/p/generate", `{"prompt":"secret","max_tokens":1,"stream":true}`, nil, true},
		"begun stream":        {"/v1/pools/p/generate", `{"prompt":"secret","max_tokens":1,"stream":true}`, []*schema.DispatchChunk{token}, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newTestGateway(t)
			f.execute = func(_ int64, sink func(*schema.DispatchChunk) error) *schema.DispatchEnd {
				for _, chunk := range test.beforePanic {
					_ = sink(chunk)
				}
				panic("test")
			}
			var log bytes.Buffer
			logger := logrus.New()
			logger.SetOutput(&log)
			logger.SetFormatter(&logrus.JSONFormatter{})
			metrics := f.gateway.opts.Metrics.(*telemetry.Metrics)
			server := httptest.NewServer(recovery.Recoverer{Where: "caller", Log: logger, Metrics: metrics}.Handler(f.gateway.Handler()))
			req, err := http.NewRequest(http.MethodPost, server.URL+test.path, strings.NewReader(test.body))
			c.Assert(err, qt.IsNil)
			req.Header.Set("Authorization", "Bearer "+testToken)
			resp, err := (&http.Transport{}).RoundTrip(req)
			c.Assert(err, qt.IsNil)
			answer, err := io.ReadAll(resp.Body)
			resp.Body.Close()
			server.Close() // Waits until the handler has returned.
			if test.answered {
				c.Assert(err, qt.IsNil)
				c.Check(resp.StatusCode, qt.Equals, http.StatusInternalServerError)
				var body result.Body
				c.Assert(json.Unmarshal(answer, &body), qt.IsNil)
				c.Check(body.Code, qt.Equals, result.Internal)
				c.Check(body.NotRun, qt.IsFalse)
			} else {
				c.Check(err, qt.ErrorIs, io.ErrUnexpectedEOF)
			}
			c.Check(f.gateway.InFlight(), qt.Equals, 0)
			c.Check(f.gateway.bufferedBytes.Load(), qt.Equals, int64(0))
			line := map[string]any{}
			c.Assert(json.Unmarshal(log.Bytes(), &line), qt.IsNil)
			c.Check(line["request_id"], qt.Not(qt.IsNil))
			c.Check(line["destination"], qt.Not(qt.IsNil))
			c.Check(log.String(), qt.Not(qt.Contains), "secret")
			scraped := httptest.NewRecorder()
			metrics.Handler().ServeHTTP(scraped, httptest.NewRequest(http.MethodGet, "/metrics", nil))
			c.Check(scraped.Body.String(), qt.Contains, `cassiadeal_panics_total{where="caller"} 1`)
			c.Check(scraped.Body.String(), qt.Contains, `cassiadeal_requests_total{code="internal"`)
		})
	}
}

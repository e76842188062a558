package gateway

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"cassiadeal.example/cassiadeal/internal/admission"
	"cassiadeal.example/cassiadeal/internal/crash"
	"cassiadeal.example/cassiadeal/internal/result"
	"cassiadeal.example/cassiadeal/internal/retry"
	"cassiadeal.example/cassiadeal/internal/router"
	"cassiadeal.example/cassiadeal/internal/rules"
	"cassiadeal.example/cassiadeal/internal/schema"
	"cassiadeal.example/cassiadeal/internal/telemetry"
)

const testToken = "t"

// testGateway is a gateway with one pool, one service and one account, whose requests are run by the function execute.
type testGateway struct {
	*httptest.Server
	gateway  *Gateway
	executed atomic.Int64
	execute  func(attempt int64, sink func(*schema.DispatchChunk) error) *schema.DispatchEnd
}

func newTestGateway(t *testing.T) *testGateway {
	t.Helper()
	sum := sha256.Sum256([]byte(testToken))
	r := &rules.Rules{
		Pools:    map[string]rules.Pool{"p": {Name: "p", Deadline: time.Second}},
		Services: map[string]rules.Service{"s": {Name: "s", Deadline: time.Second}},
		Accounts: map[string]rules.Account{"a": {Name: "a", TokenSHA256: hex.EncodeToString(sum[:]), Rate: 1000, Burst: 1000, Concurrency: 100}},
		Routes:   []rules.Route{{Service: "s", Method: "*", Path: "/safe/*", Repeat: true}, {Service: "s", Method: "*", Path: "/once"}},
	}
	f := &testGateway{}
	f.execute = func(_ int64, sink func(*schema.DispatchChunk) error) *schema.DispatchEnd {
		_ = sink(&schema.DispatchChunk{Part: &schema.DispatchChunk_Head{Head: &schema.DispatchHead{Status: 200}}})
		return &schema.DispatchEnd{}
	}
	admissionController := admission.New("n", nil)
	admissionController.SetAccounts(r.Accounts)
	metrics, err := telemetry.New("n")
	qt.Assert(t, err, qt.IsNil)
	log := logrus.New()
	log.SetOutput(io.Discard)
	summary := []*schema.PoolSummary{{Name: "pool/p", FreeSlots: 1, TotalSlots: 1}, {Name: "service/s", FreeSlots: 1, TotalSlots: 1}}
	nodes := func() []router.Node {
		return []router.Node{{Name: "n", Self: true, Pools: summary}, {Name: "m", Pools: summary}}
	}
	g := New(Options{
		Rules: func() (*rules.Rules, uint64) { return r, 1 }, Admission: admissionController, Router: router.New("fd", nodes),
		Execute: func(_ context.Context, _ router.Node, _ *schema.DispatchRequest, sink func(*schema.DispatchChunk) error) *schema.DispatchEnd {
			return f.execute(f.executed.Add(1), sink)
		},
		Crashes: crash.New(crash.Options{}), Budget: retry.New(retry.Options{}), MayServe: func() *result.Error { return nil },
		EndsAt:    func() (time.Time, bool) { return time.Time{}, false },
		Addresses: func(string) Addresses { return Addresses{} }, Metrics: metrics, Log: log,
		MaxHeaderBytes: 4096, MaxBodyBytes: 1000, MaxBufferedBytes: 1500, MaxAnswerBytes: 1000, MaxInFlight: 10,
		BodyReadTimeout: 300 * time.Millisecond, WriteTimeout: time.Second,
	})
	f.gateway, f.Server = g, httptest.NewServer(g.Handler())
	t.Cleanup(f.Close)
	return f
}

// Guards against invalid requests that are executed, refused with a wrong code, or read without a limit.
func TestBadInput(t *testing.T) {
	authHeader := "Authorization: Bearer " + testToken + "\r\n"
	generate := "POST /v1/pools/p/generate HTTP/1.1\r\nHost: x\r\n"
	for name, tc := range map[string]struct {
		raw  string // Sent byte for byte; the client doesn't close the connection afterwards.
		code result.Code
	}{
		"no token":        {generate + "Content-Length: 0\r\n\r\n", result.UnknownAccount},
		"unknown token":   {generate + "Authorization: Bearer x\r\nContent-Length: 0\r\n\r\n", result.UnknownAccount},
		"wrong method":    {"GET /v1/pools/p/generate HTTP/1.1\r\nHost: x\r\n\r\n", result.MethodNotAllowed},
		"unknown path":    {"GET /v2/x HTTP/1.1\r\nHost: x\r\n\r\n", result.NotFound},
		"unknown pool":    {"POST /v1/pools/q/generate HTTP/1.1\r\nHost: x\r\n" + authHeader + "Content-Length: 0\r\n\r\n", result.UnknownPool},
		"unknown service": {"GET /v1/services/q/x HTTP/1.1\r\nHost: x\r\n" + authHeader + "\r\n", result.UnknownService},
		"announced size":  {generate + authHeader + "Content-Length: 1001\r\n\r\n", result.BodyTooLarge},
		"chunked size":    {generate + authHeader + "Transfer-Encoding: chunked\r\n\r\n7d0\r\n" + strings.Repeat("x", 2000) + "\r\n0\r\n\r\n", result.BodyTooLarge},
		"slow body":       {generate + authHeader + "Content-Length: 100\r\n\r\n{", result.BodyIncomplete},
		"not JSON":        {generate + authHeader + "Content-Length: 3\r\n\r\n{x}", result.BadRequest},
		"empty prompt":    {generate + authHeader + "Content-Length: 28\r\n\r\n{\"prompt\":\"\",\"max_tokens\":1}", result.BadRequest},
		"many headers":    {generate + authHeader + "X: " + strings.Repeat("y", 5000) + "\r\nContent-Length: 0\r\n\r\n", result.HeadersTooLarge},
		"bad timeout":     {"GET /v1/services/s/safe/x HTTP/1.1\r\nHost: x\r\nX-Timeout-Ms: -1\r\n" + authHeader + "\r\n", result.BadRequest},
		"no key":          {"POST /v1/services/s/once HTTP/1.1\r\nHost: x\r\n" + authHeader + "Content-Length: 0\r\n\r\n", result.KeyMissing},
		"escaped route":   {"POST /v1/services/s/%73afe/../once HTTP/1.1\r\nHost: x\r\n" + authHeader + "Content-Length: 0\r\n\r\n", result.KeyMissing},
		"malformed key":   {"POST /v1/services/s/once HTTP/1.1\r\nHost: x\r\nIdempotency-Key: 7\r\n" + authHeader + "Content-Length: 0\r\n\r\n", result.KeyMalformed},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newTestGateway(t)
			conn, err := net.Dial("tcp", f.Listener.Addr().String())
			c.Assert(err, qt.IsNil)
			defer func() { _ = conn.Close() }()
			c.Assert(conn.SetDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
			_, err = io.WriteString(conn, tc.raw)
			c.Assert(err, qt.IsNil)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			c.Assert(err, qt.IsNil)
			var body result.Body
			c.Assert(json.NewDecoder(resp.Body).Decode(&body), qt.IsNil)
			c.Check(body.Code, qt.Equals, tc.code)
			c.Check(body.NotRun, qt.IsTrue)
			c.Check(resp.StatusCode, qt.Equals, tc.code.HTTPStatus())
			c.Check(f.executed.Load(), qt.Equals, int64(0))
		})
	}
}

// Guards against a retry of a non-idempotent request that may have run, and against a request that isn't retried although
// it did not run.
func TestRetries(t *testing.T) {
	for name, tc := range map[string]struct {
		path string
		end  *schema.DispatchEnd
		want int64
	}{
		"failed, idempotent":      {"/safe/x", &schema.DispatchEnd{Code: int32(result.TargetFailed)}, 2},
		"not run, idempotent":     {"/safe/x", &schema.DispatchEnd{Code: int32(result.QueueFull), NotRun: true}, 2},
		"unknown, non-idempotent": {"/once", &schema.DispatchEnd{Code: int32(result.OutcomeUnknown)}, 1},
		"failed, non-idempotent":  {"/once", &schema.DispatchEnd{Code: int32(result.TargetFailed)}, 1},
		"not run, non-idempotent": {"/once", &schema.DispatchEnd{Code: int32(result.QueueFull), NotRun: true}, 2},
		"refused, not retryable":  {"/safe/x", &schema.DispatchEnd{Code: int32(result.CrashingRequest), NotRun: true}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newTestGateway(t)
			succeed := f.execute
			f.execute = func(attempt int64, sink func(*schema.DispatchChunk) error) *schema.DispatchEnd {
				if attempt == 1 {
					return tc.end
				}
				return succeed(attempt, sink)
			}
			req, err := http.NewRequest(http.MethodPost, f.URL+"/v1/services/s"+tc.path, nil)
			c.Assert(err, qt.IsNil)
			req.Header.Set("Authorization", "Bearer "+testToken)
			req.Header.Set("Idempotency-Key", newKey(time.Now()))
			resp, err := http.DefaultClient.Do(req)
			c.Assert(err, qt.IsNil)
			_ = resp.Body.Close()
			c.Check(f.executed.Load(), qt.Equals, tc.want)
			c.Check(resp.StatusCode == http.StatusOK, qt.Equals, tc.want == 2)
		})
	}
}

func newKey(at time.Time) string {
	ms := at.UnixMilli()
	return fmt.Sprintf("%08x-%04x-7000-8000-000000000000", ms>>16, ms&0xffff)
}

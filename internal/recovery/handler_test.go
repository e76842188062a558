package recovery

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"cassiadeal.example/cassiadeal/internal/result"
)

// counts records what was counted.
type counts struct {
	mu   sync.Mutex
	list []string
}

func (m *counts) add(what string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.list = append(m.list, what)
}

func (m *counts) Panic(where string)       { m.add("panic " + where) }
func (m *counts) Refusal(code result.Code) { m.add("refusal " + code.String()) }

// exchange is what a client and the log got of one request to a handler.
type exchange struct {
	resp   *http.Response
	body   string
	err    error // Also if the response is incomplete.
	lines  []map[string]any
	counts []string
}

func serve(t *testing.T, method string, h http.HandlerFunc) exchange {
	var log bytes.Buffer
	logger := logrus.New()
	logger.SetOutput(&log)
	logger.SetFormatter(&logrus.JSONFormatter{})
	m := &counts{}
	server := httptest.NewServer(Recoverer{Where: "front", Log: logger, Metrics: m}.Handler(h))
	req, err := http.NewRequest(method, server.URL+"/a/"+strings.Repeat("p", 3000)+"?query=secret", strings.NewReader("secret body"))
	qt.Assert(t, err, qt.IsNil)
	req.Header.Set("X-Api-Key", "secret")
	x := exchange{}
	if x.resp, x.err = (&http.Transport{}).RoundTrip(req); x.err == nil {
		var body []byte
		body, x.err = io.ReadAll(x.resp.Body)
		x.body = string(body)
	}
	server.Close() // Waits until the handler has returned.
	for line := range strings.Lines(log.String()) {
		fields := map[string]any{}
		qt.Assert(t, json.Unmarshal([]byte(line), &fields), qt.IsNil)
		x.lines = append(x.lines, fields)
	}
	x.counts = m.list
	return x
}

// failingFunction panics with a runtime error.
func failingFunction() { _ = []int{}[len("x")] }

// Guards against a request that ends without an answer because its handler panics, and against headers of a target's response in the
// refusal.
func TestPanicBeforeTheResponseIsAnswered(t *testing.T) {
	c := qt.New(t)
	x := serve(t, http.MethodPost, func(w http.ResponseWriter, _ *http.Request) {
		OnPanic(w, func() logrus.Fields { return logrus.Fields{"request_id": "q1"} })
		w.Header().Set("X-Seal", "s")
		w.Header().Set("Content-Length", "7")
		failingFunction()
	})
	c.Assert(x.err, qt.IsNil)
	c.Check(x.resp.StatusCode, qt.Equals, http.StatusInternalServerError)
	c.Check(x.resp.Header.Get("X-Seal"), qt.Equals, "")
	c.Check(x.resp.Close, qt.IsTrue)
	var body result.Body
	c.Assert(json.Unmarshal([]byte(x.body), &body), qt.IsNil)
	c.Check(body.Code, qt.Equals, result.Internal)
	c.Check(body.NotRun, qt.IsFalse)
	c.Check(x.counts, qt.DeepEquals, []string{"panic front", "refusal internal"})
	c.Assert(x.lines, qt.HasLen, 1)
	line := x.lines[0]
	c.Check(line["level"], qt.Equals, "error")
	c.Check(line["request_id"], qt.Equals, "q1")
	c.Check(line["response"], qt.Equals, "refused")
	c.Check(line["panic"], qt.Contains, "index out of range")
	c.Check(fmt.Sprint(line["stack"].([]any)[:3]), qt.Contains, "recovery.failingFunction")
}

// Guards against a part of a response that looks complete, and against the loss of one that is complete.
func TestPanicAfterTheHeader(t *testing.T) {
	for _, test := range []struct {
		name, method, length, written string
		status                        int
		complete                      bool
	}{
		{"without a length", http.MethodPost, "", "part", http.StatusOK, false},
		{"no body yet", http.MethodPost, "4", "", http.StatusOK, false},
		{"part of the length", http.MethodPost, "8", "part", http.StatusOK, false},
		{"large part of the length", http.MethodPost, "80000", strings.Repeat("x", 70_000), http.StatusOK, false},
		{"whole length", http.MethodPost, "5", "whole", http.StatusOK, true},
		{"whole failure", http.MethodPost, "5", "whole", http.StatusBadGateway, true},
		{"answer to HEAD", http.MethodHead, "", "", http.StatusOK, true},
		{"no content", http.MethodPost, "", "", http.StatusNoContent, true},
	} {
		for _, flush := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, flush %v", test.name, flush), func(t *testing.T) {
				c := qt.New(t)
				x := serve(t, test.method, func(w http.ResponseWriter, _ *http.Request) {
					if test.length != "" {
						w.Header().Set("Content-Length", test.length)
					}
					w.WriteHeader(test.status)
					_, _ = io.WriteString(w, test.written)
					if flush {
						_ = http.NewResponseController(w).Flush()
					}
					failingFunction()
				})
				if test.complete {
					c.Assert(x.err, qt.IsNil)
					c.Check(x.resp.StatusCode, qt.Equals, test.status)
					c.Check(x.body, qt.Equals, test.written)
				} else {
					c.Check(x.err, qt.IsNotNil)
				}
				c.Check(x.counts, qt.DeepEquals, []string{"panic front"})
				c.Assert(x.lines, qt.HasLen, 1)
				c.Check(x.lines[0]["response"], qt.Equals, map[bool]string{true: "complete", false: "cut off"}[test.complete])
			})
		}
	}
}

// Guards against an answer, a count or a log line for a handler that closes its connection on purpose.
func TestAbortIsPassedOn(t *testing.T) {
	c := qt.New(t)
	x := serve(t, http.MethodPost, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	c.Check(x.err, qt.IsNotNil)
	c.Check(x.counts, qt.HasLen, 0)
	c.Check(x.lines, qt.HasLen, 0)
}

// Guards against log lines without bounds, and against keys, bodies and queries in them.
func TestLogLineOfAPanicIsBounded(t *testing.T) {
	var deep func(n int)
	deep = func(n int) {
		if n == 0 {
			panic(strings.Repeat("x", 10_000))
		}
		deep(n - 1)
	}
	for name, h := range map[string]http.HandlerFunc{
		"long text":  func(http.ResponseWriter, *http.Request) { panic(strings.Repeat("x", 10_000)) },
		"long error": func(http.ResponseWriter, *http.Request) { panic(fmt.Errorf("%s", strings.Repeat("x", 10_000))) },
		"deep stack": func(http.ResponseWriter, *http.Request) { deep(10_000) },
		"request":    func(_ http.ResponseWriter, q *http.Request) { panic(q) },
		"header":     func(_ http.ResponseWriter, q *http.Request) { panic(q.Header) },
		"bad details": func(w http.ResponseWriter, _ *http.Request) {
			OnPanic(w, func() logrus.Fields { panic("again") })
			panic("x")
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			x := serve(t, http.MethodPost, h)
			c.Check(x.resp.StatusCode, qt.Equals, http.StatusInternalServerError)
			c.Assert(x.lines, qt.HasLen, 1)
			line, err := json.Marshal(x.lines[0])
			c.Assert(err, qt.IsNil)
			c.Check(len(line) < 8<<10, qt.IsTrue, qt.Commentf("%d bytes", len(line)))
			c.Check(string(line), qt.Not(qt.Contains), "secret")
		})
	}
}

// Guards against an answer that waits for a body that doesn't arrive.
func TestPanicIsAnsweredBeforeTheBodyArrives(t *testing.T) {
	c := qt.New(t)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	server := httptest.NewServer(Recoverer{Log: logger}.Handler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic("x") })))
	defer server.Close()
	body, unsent := io.Pipe()
	defer unsent.Close()
	req, err := http.NewRequest(http.MethodPost, server.URL, body)
	c.Assert(err, qt.IsNil)
	resp, err := (&http.Transport{}).RoundTrip(req)
	c.Assert(err, qt.IsNil)
	c.Check(resp.StatusCode, qt.Equals, http.StatusInternalServerError)
	resp.Body.Close()
}

package node

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"cassiadeal.example/cassiadeal/internal/settings"
	"cassiadeal.example/cassiadeal/internal/telemetry"
)

// newTestNode returns a node that doesn't run and whose platform doesn't answer.
func newTestNode(t *testing.T) *Node {
	s := settings.Defaults()
	s.Node = settings.Node{Name: "n", FailureDomain: "fd"}
	s.Listen = settings.Addresses{Caller: "127.0.0.1:0", Peer: "127.0.0.1:0", Operator: "127.0.0.1:0"}
	s.Advertise = s.Listen
	s.Platform.URL = "http://127.0.0.1:1"
	log := logrus.New()
	log.SetOutput(io.Discard)
	n, err := New(&s, logrus.NewEntry(log))
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(n.listeners.close)
	return n
}

// Guards against a listener whose requests end without an answer when their handler panics.
func TestEachListenerAnswersAfterAPanic(t *testing.T) {
	c := qt.New(t)
	n := newTestNode(t)
	n.gateway, n.config = nil, nil // Requests that need them panic now.
	for _, test := range []struct {
		method, path string
		server       *http.Server
	}{
		{http.MethodPost, "/v1/pools/p/generate", n.callerServer()},
		{http.MethodGet, "/v1/config", n.operatorServer()},
	} {
		s := httptest.NewUnstartedServer(nil)
		s.Config = test.server
		s.Start()
		req, err := http.NewRequest(test.method, s.URL+test.path, http.NoBody)
		c.Assert(err, qt.IsNil)
		resp, err := (&http.Transport{}).RoundTrip(req)
		c.Assert(err, qt.IsNil, qt.Commentf(test.path))
		c.Check(resp.StatusCode, qt.Equals, http.StatusInternalServerError, qt.Commentf(test.path))
		resp.Body.Close()
		s.Close()
	}
	recorder := httptest.NewRecorder()
	n.metrics.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	c.Check(recorder.Body.String(), qt.Contains, `cassiadeal_panics_total{where="caller"} 1`)
	c.Check(recorder.Body.String(), qt.Contains, `cassiadeal_panics_total{where="operator"} 1`)
}

// Guards against a listener whose server errors are no JSON lines.
func TestServerErrorsOfEachListenerAreLogged(t *testing.T) {
	c := qt.New(t)
	n := newTestNode(t)
	var out bytes.Buffer
	log, err := telemetry.NewLogger(&out, "n", "info")
	c.Assert(err, qt.IsNil)
	n.log = log
	for listener, server := range map[string]*http.Server{"caller": n.callerServer(), "operator": n.operatorServer()} {
		out.Reset()
		server.ErrorLog.Print("an error")
		line := map[string]any{}
		c.Assert(json.Unmarshal(out.Bytes(), &line), qt.IsNil)
		c.Check(line["listener"], qt.Equals, listener)
		c.Check(line["message"], qt.Equals, "an error")
	}
}

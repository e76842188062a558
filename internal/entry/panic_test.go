package entry

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/telemetry"
)

// Guards against a listener whose requests end without an answer when their handler panics.
func TestEachListenerAnswersAfterAPanic(t *testing.T) {
	c := quicktest.New(t)
	n := newNode(c, testSettings)
	n.edge = nil // Any request to the front listener panics now.
	var panics http.HandlerFunc = func(http.ResponseWriter, *http.Request) { panic("test") }
	for name, server := range map[string]*http.Server{"front": n.newServer("front", n.edge), "other": n.newServer("other", panics)} {
		s := httptest.NewUnstartedServer(nil)
		s.Config = server
		s.Start()
		resp, err := http.Get(s.URL + "/x")
		c.Assert(err, quicktest.IsNil, quicktest.Commentf(name))
		c.Check(resp.StatusCode, quicktest.Equals, http.StatusInternalServerError)
		resp.Body.Close()
		s.Close()
	}
	recorder := httptest.NewRecorder()
	n.metrics.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	c.Check(recorder.Body.String(), quicktest.Contains, `cassiadeal_panics_total{where="front"} 1`)
	c.Check(recorder.Body.String(), quicktest.Contains, `cassiadeal_refusals_total{code="internal"} 2`)
}

// Guards against a listener whose server errors are no JSON lines.
func TestServerErrorsOfAListenerAreLogged(t *testing.T) {
	c := quicktest.New(t)
	n := newNode(c, testSettings)
	var out bytes.Buffer
	log, err := telemetry.NewLogger(&out, "n", "info")
	c.Assert(err, quicktest.IsNil)
	n.log = log
	n.newServer("front", nil).ErrorLog.Print("an error")
	line := map[string]any{}
	c.Assert(json.Unmarshal(out.Bytes(), &line), quicktest.IsNil)
	c.Check(line["listener"], quicktest.Equals, "front")
	c.Check(line["message"], quicktest.Equals, "an error")
}

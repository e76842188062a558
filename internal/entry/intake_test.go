package entry

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/fleet"
	"cassiadeal.example/cassiadeal/internal/intake"
)

// serveListener serves the named listener of a node on a free port.
func serveListener(t *testing.T, n *Node, name string, h http.Handler) string {
	t.Helper()
	s := httptest.NewUnstartedServer(nil)
	s.Config, s.Listener = n.newServer(name, h), n.limitListener(s.Listener, name)
	s.Start()
	t.Cleanup(s.Close)
	return s.URL
}

func statusOf(c *quicktest.C, method, url string, headBytes, bodyBytes int) int {
	req, err := http.NewRequest(method, url, strings.NewReader(strings.Repeat("x", bodyBytes)))
	c.Assert(err, quicktest.IsNil)
	if headBytes > 0 {
		req.Header.Set("X-Filler", strings.Repeat("y", headBytes))
	}
	resp, err := http.DefaultClient.Do(req)
	c.Assert(err, quicktest.IsNil)
	_, err = io.Copy(io.Discard, resp.Body)
	c.Check(err, quicktest.IsNil)
	c.Check(resp.Body.Close(), quicktest.IsNil)
	return resp.StatusCode
}

// Guards against limits of the configuration that aren't in force, or only from a restart on, and against a configuration that cuts off the
// platform's checks or other nodes.
func TestLimitsOfTheConfigurationAreInForce(t *testing.T) {
	c := quicktest.New(t)
	n := newNode(c, testSettings)
	front := serveListener(t, n, "front", n.edge)
	checks := serveListener(t, n, "readiness", n.readinessHandler())
	directory := serveListener(t, n, "directory", n.directoryHandler())
	for i, limits := range []fleet.Limits{{HeaderBytes: 2048, BodyBytes: 1000, HeaderTimeout: time.Second}, {HeaderBytes: 512, BodyBytes: 500, HeaderTimeout: time.Second}} {
		c.Assert(n.registry.SetConfig(&fleet.Config{Version: int64(i + 1), Limits: limits, Services: map[string]*fleet.Service{}}), quicktest.IsTrue)
		for url, listener := range map[string]string{front: "front", directory: "directory"} {
			at := quicktest.Commentf("%s, %+v", listener, limits)
			c.Check(statusOf(c, http.MethodGet, url+"/x", limits.HeaderBytes+1, 0), quicktest.Equals, http.StatusRequestHeaderFieldsTooLarge, at)
			c.Check(statusOf(c, http.MethodGet, url+"/x", limits.HeaderBytes-300, 0), quicktest.Not(quicktest.Equals), http.StatusRequestHeaderFieldsTooLarge, at)
		}
		c.Check(statusOf(c, http.MethodPost, front+"/x", 0, int(limits.BodyBytes)+1), quicktest.Equals, http.StatusRequestEntityTooLarge)
		c.Check(statusOf(c, http.MethodPost, front+"/x", 0, int(limits.BodyBytes)), quicktest.Not(quicktest.Equals), http.StatusRequestEntityTooLarge)
		c.Check(statusOf(c, http.MethodGet, checks+"/x", 4096, 0), quicktest.Equals, http.StatusNotFound)
	}
	recorder := httptest.NewRecorder()
	n.metrics.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, line := range []string{`cassiadeal_intake_refusals_total{reason="head_too_large"} 4`, `cassiadeal_intake_refusals_total{reason="body_too_large"} 2`,
		`cassiadeal_refusals_total{code="headers_too_large"} 4`, `cassiadeal_refusals_total{code="body_too_large"} 2`} {
		c.Check(recorder.Body.String(), quicktest.Contains, line)
	}
}

// Guards against bounds that don't follow from the settings, and against a tunnel whose connection the handler can't take over.
func TestBoundsFollowFromTheSettings(t *testing.T) {
	c := quicktest.New(t)
	s := strings.Replace(testSettings, `"zone"`, `"limits":{"memory_mb":136,"max_fds":2870},"zone"`, 1)
	c.Assert(s, quicktest.Not(quicktest.Equals), testSettings)
	n := newNode(c, s)
	c.Check(fmt.Sprint(n.settings.MemoryMB, n.settings.MaxFDs), quicktest.Equals, "136 2870")
	c.Check(intake.Derive(n.settings.MemoryMB, n.settings.MaxFDs).Clients, quicktest.Equals, 1076)
	inner := httptest.NewUnstartedServer(nil).Listener
	defer inner.Close()
	c.Check(n.limitListener(inner, "tunnel"), quicktest.Equals, inner)
	c.Check(n.limitListener(inner, "front"), quicktest.Not(quicktest.Equals), inner)
}

package operator_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"cassiadeal.example/cassiadeal/internal/operator"
	"cassiadeal.example/cassiadeal/internal/result"
	"cassiadeal.example/cassiadeal/internal/schema"
)

type backend struct {
	ready      error
	config     operator.Config
	vms        []*schema.VM
	vmsErr     error
	applied    operator.Applied
	applyError error
	changes    []operator.Change
}

func (b *backend) Healthy() error { return nil }
func (b *backend) Ready() error   { return b.ready }
func (b *backend) Status(context.Context) (operator.Status, error) {
	return operator.Status{Node: "node-a"}, nil
}
func (b *backend) Config(context.Context) (operator.Config, error) { return b.config, nil }
func (b *backend) VMs(context.Context) ([]*schema.VM, error)       { return b.vms, b.vmsErr }
func (b *backend) Apply(_ context.Context, change operator.Change) (operator.Applied, error) {
	b.changes = append(b.changes, change)
	return b.applied, b.applyError
}

const pool = "[pools]\np = model=m vms=2 replicas=1 cold_limit=1 full_limit=1 # Ann\n"

func body(base any, text string) string {
	data, _ := json.Marshal(map[string]any{"base_revision": base, "rules": text, "author": "Ann"})
	return string(data)
}

// Guards against outcomes of an apply that an operator can't distinguish, and against rules that are written unchecked.
func TestRoutes(t *testing.T) {
	oneVM := []*schema.VM{{Name: "vm", FabricDomain: "a", State: schema.VMState_VM_STATE_LIVE}}
	for _, test := range []struct {
		name, method, path, body string
		backend                  backend
		status                   int
		want                     string
		applies                  int
	}{
		{"health", "GET", "/healthz", "", backend{}, 200, "ok", 0},
		{"not ready", "GET", "/readyz", "", backend{ready: errors.New("no lease")}, 503, "no lease", 0},
		{"status", "GET", "/v1/status", "", backend{}, 200, `"node":"node-a"`, 0},
		{"config", "GET", "/v1/config", "", backend{config: operator.Config{Revision: 7}}, 200, `{"revision":7,"rules":"","author":""}`, 0},
		{"vms", "GET", "/v1/vms", "", backend{vms: oneVM}, 200, `VM_STATE_LIVE`, 0},
		{"no vms", "GET", "/v1/vms", "", backend{vmsErr: result.New(result.PlatformUnavailable, "x")}, 503, `"code":2009`, 0},
		{"accepted", "POST", "/v1/config", body(7, ""), backend{applied: operator.Applied{Revision: 8}}, 200, `{"revision":8,"accepted":true}`, 1},
		{"missing", "POST", "/v1/config", body(7, ""), backend{applied: operator.Applied{Revision: 8, Missing: []string{"b"}}}, 504, `{"revision":8,"accepted":false,"missing":["b"]}`, 1},
		{"conflict", "POST", "/v1/config", body(7, ""), backend{applyError: result.New(result.RevisionConflict, "x")}, 409, `"not_run":true`, 1},
		{"unknown", "POST", "/v1/config", body(7, ""), backend{applyError: result.New(result.ApplyUnknown, "x")}, 502, `"not_run":false`, 1},
		{"invalid", "POST", "/v1/config", body(7, "x"), backend{}, 422, `"problems":[{"file":"rules.ini","line":1,"column":1`, 0},
		{"no base", "POST", "/v1/config", body(nil, ""), backend{}, 400, "base_revision is missing", 0},
		{"no JSON", "POST", "/v1/config", "[pools]", backend{}, 400, `"bad_request"`, 0},
		{"too large", "POST", "/v1/config", body(7, strings.Repeat("x", 6_000_000)), backend{}, 413, `"body_too_large"`, 0},
		{"pool grows beyond VMs", "POST", "/v1/config", body(7, pool), backend{vms: oneVM}, 422, "find no fabric domain", 0},
		{"pool unchanged, VMs missing", "POST", "/v1/config", body(7, pool), backend{config: operator.Config{Rules: pool}}, 200, "accepted", 1},
		{"pool grows, VMs unknown", "POST", "/v1/config", body(7, pool), backend{vmsErr: errors.New("x")}, 200, "accepted", 1},
		{"check", "POST", "/v1/config/check", `{"rules":""}`, backend{}, 200, `{"capacity_checked":true}`, 0},
		{"check capacity", "POST", "/v1/config/check", body(7, pool), backend{config: operator.Config{Rules: pool}}, 422, "find no fabric domain", 0},
		{"unknown path", "GET", "/v2", "", backend{}, 404, `"not_found"`, 0},
		{"unsupported method", "DELETE", "/v1/config", "", backend{}, 405, `"method_not_allowed"`, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			log := logrus.New()
			log.SetOutput(io.Discard)
			h := operator.NewHandler(operator.Options{Backend: &test.backend, Metrics: http.NotFoundHandler(), Log: logrus.NewEntry(log)})
			w := httptest.NewRecorder()
			h.ServeHTTP(w, httptest.NewRequest(test.method, test.path, strings.NewReader(test.body)))
			qt.Check(t, w.Code, qt.Equals, test.status, qt.Commentf("%s", w.Body))
			qt.Check(t, w.Body.String(), qt.Contains, test.want)
			qt.Check(t, test.backend.changes, qt.HasLen, test.applies)
		})
	}
}

// contextBackend is a backend whose Apply fails if its context has ended.
type contextBackend struct{ backend }

func (b *contextBackend) Apply(ctx context.Context, _ operator.Change) (operator.Applied, error) {
	return operator.Applied{Revision: 8}, ctx.Err()
}

// Guards against a revision that is relayed to some nodes only because the operator's connection was lost during the apply,
// and against a saved rules file that isn't the exact text in force.
func TestApplyCompletesAfterDisconnectAndConfigIsText(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	b := &contextBackend{backend{config: operator.Config{Revision: 7, Rules: pool}}}
	h := operator.NewHandler(operator.Options{Backend: b, Metrics: http.NotFoundHandler(), Log: logrus.NewEntry(log)})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest("POST", "/v1/config", strings.NewReader(body(7, ""))).WithContext(ctx))
	qt.Check(t, w.Body.String(), qt.Contains, `"accepted":true`)

	r := httptest.NewRequest("GET", "/v1/config", nil)
	r.Header.Set("Accept", "text/plain")
	w = httptest.NewRecorder()
	h.ServeHTTP(w, r)
	qt.Check(t, w.Body.String()+w.Header().Get("X-Config-Revision"), qt.Equals, pool+"7")
}

package edge

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/fleet"
)

// Guards against an urgency that a client sets itself, one that is stated though all routes of the service have one priority, and one
// of the route's priority where the account has its own.
func TestUrgencyOfASend(t *testing.T) {
	const name = "X-Cassiadeal-Request-Urgency"
	second := fleet.Route{Name: "other", Host: "x.example", Prefix: "/b/", Priority: 2, Backends: []fleet.Backend{{Service: "s", Weight: 1}}}
	for _, test := range []struct {
		routes  []fleet.Route
		account fleet.Tenant
		want    []string
	}{
		{nil, fleet.Tenant{Name: "hule"}, nil},
		{[]fleet.Route{second}, fleet.Tenant{Name: "hule"}, []string{"4"}},
		{[]fleet.Route{second}, fleet.Tenant{Name: "hule", Priority: 2, HasPriority: true}, []string{"6"}},
	} {
		c := qt.New(t)
		a := newReplica(t, false, func(*http.Request) string { return streamHead + events(1, 2) })
		h := newServer(t, fleet.RepeatStream, a)
		cfg := *h.(*Server).opt.Registry.View().Config
		cfg.Version++
		cfg.Routes = append(cfg.Routes, test.routes...)
		cfg.Tenants = map[string]fleet.Tenant{"key": test.account}
		h.(*Server).opt.Registry.SetConfig(&cfg)
		resp, _, err := sendRequest(t, h, http.MethodPost, name, "0")
		c.Assert(err, qt.IsNil)
		c.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
		c.Assert(a.received(), qt.HasLen, 1)
		c.Check(a.received()[0].Header.Values(name), qt.DeepEquals, test.want)
	}
}

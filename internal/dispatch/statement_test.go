package dispatch

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/rules"
	"cassiadeal.example/cassiadeal/internal/schema"
	"cassiadeal.example/cassiadeal/internal/target"
)

// Guards against requests to a target that has stated in a response that it is leaving, while neither probes nor the platform show it.
func TestLeavingTargetGetsNoNewRequests(t *testing.T) {
	const leaving = "X-Request-Id: r1\r\nX-Incarnation: i1\r\nX-Leaving: true\r\n"
	for _, test := range []struct {
		name, answer string
		generate     bool
	}{
		{"success", "HTTP/1.1 200 OK\r\n" + leaving + "Content-Length: 5\r\n\r\nhello", false},
		{"failure", "HTTP/1.1 500 No\r\n" + leaving + "Content-Length: 1\r\n\r\nx", false},
		{"cut response", "HTTP/1.1 200 OK\r\n" + leaving + "Content-Length: 5\r\n\r\nhe", false},
		{"stream", "HTTP/1.1 200 OK\r\n" + leaving + "\r\n" + `data: {"request_id":"r1","end":true,"tokens":0}` + "\n\n", true},
		{"refused stream", "HTTP/1.1 409 Conflict\r\n" + leaving + "Content-Length: 0\r\n\r\n", true},
		{"failed stream", "HTTP/1.1 500 No\r\n" + leaving + "Content-Length: 0\r\n\r\n", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			answer := func(conn net.Conn, req *http.Request, _ string) {
				if req.URL.Path != "/v1/cancel" {
					_, _ = conn.Write([]byte(test.answer))
				}
			}
			first, second := newRawServer(t, nil, answer), newRawServer(t, nil, answer)
			prober := &fakeProber{}
			prober.incarnation.Store("i1")
			table := target.New(target.Options{ProbeInterval: 5 * time.Millisecond, Freshness: testTimeout, Prober: prober})
			var specs []target.Spec
			for _, address := range []string{first.address, second.address} {
				specs = append(specs, target.Spec{ID: address, Destination: "pool/p", Address: address, Group: "g", Number: 7, MaxQueue: 1,
					Members: []target.Member{{Address: address, Incarnation: "i1"}}, Limits: rules.Limits{Cold: 2, Full: 4}})
			}
			table.SetSpecs(specs)
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() { defer close(done); table.Run(ctx) }()
			defer func() { cancel(); <-done }()
			for range 6 {
				slot, err := table.Acquire(ctx, target.SlotRequest{Destination: "pool/p"})
				if err != nil {
					continue // Both targets have stated that they are leaving.
				}
				New(Options{}).Run(ctx, slot, &schema.DispatchRequest{RequestId: "r1", Method: "POST", Path: "/", Generate: test.generate,
					Body: []byte("{}"), Repeatable: true}, (&receivedAnswer{}).sink)
			}
			for _, server := range []*rawServer{first, second} {
				sent := 0
				for _, request := range server.received() {
					if request == "POST /" || request == "POST /v1/generate" {
						sent++
					}
				}
				c.Check(sent, qt.Equals, 1)
			}
		})
	}
}

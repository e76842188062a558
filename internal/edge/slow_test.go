package edge

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"cassiadeal.example/cassiadeal/internal/fleet"
)

// Guards against a client that holds a request for ever by not reading its response, and against a failure that is recorded for the replica.
func TestClientThatDoesNotReadIsCutOff(t *testing.T) {
	c := quicktest.New(t)
	r := newReplica(t, false, func(*http.Request) string {
		return httpResponse("200 OK", sealHeader, strings.Repeat("x", maxResponseBytes-1)) // Beyond what the socket buffers take.
	})
	handler := newServer(t, fleet.RepeatNever, r).(*Server)
	var log bytes.Buffer
	handler.opt.Log.(*logrus.Logger).SetOutput(&log)
	server := httptest.NewServer(handler)
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	c.Assert(err, quicktest.IsNil)
	defer conn.Close()
	_, err = io.WriteString(conn, "GET /a/1 HTTP/1.1\r\nHost: x.example\r\nX-Api-Key: key\r\nX-Cassiadeal-Deadline-Ms: 1000\r\n\r\n")
	c.Assert(err, quicktest.IsNil)
	awaitInFlight(c, handler, 1)
	awaitInFlight(c, handler, 0)
	c.Check(log.String(), quicktest.Contains, `outcome=client_gone`)
	c.Check(log.String(), quicktest.Not(quicktest.Contains), "send got no usable response")
}

func awaitInFlight(c *quicktest.C, s *Server, want int64) {
	const limit = 20 * time.Second // Not a stated limit; the machine may be busy.
	for end := time.Now().Add(limit); s.InFlight() != want; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			c.Fatalf("%d requests in flight, want %d", s.InFlight(), want)
		}
	}
}

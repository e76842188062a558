package edge

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/fleet"
)

// Guards against bodies that arrive changed at a replica, on both sides of the size from which on they are written apart from the head.
func TestBodiesOfAllSizesArriveWhole(t *testing.T) {
	for _, size := range []int{0, 1, inlineBodyBytes, inlineBodyBytes + 1, 1 << 20} {
		c := quicktest.New(t)
		r := newReplica(t, false, nil)
		r.answer = func(req *http.Request) string {
			return httpResponse("200 OK", sealHeader, fmt.Sprint(req.ContentLength))
		}
		server := httptest.NewServer(newServer(t, fleet.RepeatNever, r))
		req, err := http.NewRequest(http.MethodPost, server.URL+"/a/1", bytes.NewReader(make([]byte, size)))
		c.Assert(err, quicktest.IsNil)
		req.Host = "x.example"
		req.Header.Set("X-Api-Key", "key")
		resp, err := http.DefaultClient.Do(req)
		c.Assert(err, quicktest.IsNil)
		body, err := io.ReadAll(resp.Body)
		c.Check(err, quicktest.IsNil)
		c.Check(string(body), quicktest.Equals, fmt.Sprint(size))
		resp.Body.Close()
		server.Close()
	}
}

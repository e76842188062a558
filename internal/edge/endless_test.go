package edge

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/fleet"
	"cassiadeal.example/cassiadeal/internal/standin/endless"
)

const (
	okHead     = "HTTP/1.1 200 OK\r\n" + sealHeader
	eventsHead = okHead + "Content-Type: text/event-stream\r\n"
)

var endlessAnswers = []struct {
	name   string
	repeat fleet.Repeat
	answer endless.Answer
}{
	{"body that ends with the connection", fleet.RepeatNever, endless.Answer{Start: okHead + "\r\n", Repeated: "x"}},
	{"chunks", fleet.RepeatNever, endless.Answer{Start: okHead + "Transfer-Encoding: chunked\r\n\r\n", Repeated: "5\r\nabcde\r\n"}},
	{"chunk extension", fleet.RepeatNever, endless.Answer{Start: okHead + "Transfer-Encoding: chunked\r\n\r\n5;", Repeated: "x"}},
	{"trailers", fleet.RepeatNever, endless.Answer{Start: okHead + "Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n0\r\n", Repeated: "A: b\r\n"}},
	{"status line", fleet.RepeatNever, endless.Answer{Start: "HTTP/1.1 200 ", Repeated: "x"}},
	{"header line", fleet.RepeatNever, endless.Answer{Start: "HTTP/1.1 200 OK\r\nA: ", Repeated: "x"}},
	{"header lines", fleet.RepeatNever, endless.Answer{Start: okHead, Repeated: "A: b\r\n"}},
	{"informational responses", fleet.RepeatNever, endless.Answer{Start: "", Repeated: "HTTP/1.1 103 Early Hints\r\n\r\n"}},
	{"bytes that are no answer", fleet.RepeatNever, endless.Answer{Start: "", Repeated: "\x00\xff"}},
	{"body of a failed stream", fleet.RepeatStream, endless.Answer{Start: "HTTP/1.1 400 Bad Request\r\n\r\n", Repeated: "x"}},
	{"line of an event", fleet.RepeatStream, endless.Answer{Start: eventsHead + "\r\ndata: ", Repeated: "x"}},
	{"lines of an event", fleet.RepeatStream, endless.Answer{Start: eventsHead + "\r\n", Repeated: "data: x\n"}},
	{"header of a stream", fleet.RepeatStream, endless.Answer{Start: eventsHead, Repeated: "A: b\r\n"}},
}

// Guards against an answer without end that is cut and passed on as complete, that is reported as not run, or whose connection
// stays open.
func TestAnswersWithoutEnd(t *testing.T) {
	for _, test := range endlessAnswers {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := quicktest.New(t)
			replicaServer, err := endless.Start(test.answer)
			c.Assert(err, quicktest.IsNil)
			defer replicaServer.Close()
			resp, _, err := sendRequest(t, newServer(t, test.repeat, &replica{address: replicaServer.Address}), http.MethodPost)
			if err == nil {
				c.Check(resp.StatusCode >= 500 && !statesNotRun(resp.StatusCode), quicktest.IsTrue, quicktest.Commentf("status %d", resp.StatusCode))
			}
			c.Check(replicaServer.Requests() > 0, quicktest.IsTrue)
			for end := time.Now().Add(5 * time.Second); replicaServer.Open() > 0; time.Sleep(10 * time.Millisecond) {
				c.Assert(time.Now().Before(end), quicktest.IsTrue, quicktest.Commentf("the connection to the replica is still open"))
			}
		})
	}
}

// Pattern: many replicas send answers without end at once, at a node with 184 MB of memory. Guards against a node that runs out of
// memory.
func TestManyAnswersWithoutEndFitIntoMemory(t *testing.T) {
	const concurrent = 100
	for _, test := range endlessAnswers {
		t.Run(test.name, func(t *testing.T) {
			c := quicktest.New(t)
			replicaServer, err := endless.Start(test.answer)
			c.Assert(err, quicktest.IsNil)
			defer replicaServer.Close()
			server := httptest.NewServer(newServer(t, test.repeat, &replica{address: replicaServer.Address}))
			defer server.Close()
			peak := endless.PeakHeap(func() {
				var wg sync.WaitGroup
				for range concurrent {
					wg.Go(func() {
						req, err := http.NewRequest(http.MethodPost, server.URL+"/a/1", strings.NewReader("order"))
						c.Check(err, quicktest.IsNil)
						req.Host = "x.example"
						req.Header = http.Header{"X-Cassiadeal-Request-Id": {"q1"}, "X-Cassiadeal-Deadline-Ms": {"1000"}, "X-Api-Key": {"key"},
							"X-Cassiadeal-Model": {"m"}, "X-Cassiadeal-Token-Usage": {"100,20"}}
						if resp, err := http.DefaultTransport.RoundTrip(req); err == nil {
							_, _ = io.Copy(io.Discard, resp.Body)
							resp.Body.Close()
						}
					})
				}
				wg.Wait()
			})
			t.Logf("%d MB of heap in use at most", peak>>20)
			c.Check(peak < endless.SmallestHeap, quicktest.IsTrue, quicktest.Commentf("%d MB of heap in use", peak>>20))
		})
	}
}

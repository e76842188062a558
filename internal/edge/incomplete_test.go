package edge

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/fleet"
	"cassiadeal.example/cassiadeal/internal/lastheard"
)

// Guards against the log line of a request without a complete answer that doesn't tell how far its target came, how long it has been silent
// and who closed first.
func TestLogTellsHowFarTheTargetCame(t *testing.T) {
	const limit, clientLimit = 600 * time.Millisecond, 300 * time.Millisecond
	for _, test := range []struct {
		name         string
		repeat       fleet.Repeat
		answer       string
		clientCloses bool
		outcome      string
		lastHeard    string
		events       any // Nil for other requests than streams.
	}{
		{"buffered, no byte", fleet.RepeatNever, "", false, "deadline_exceeded", string(lastheard.Connection), nil},
		{"buffered, part of the header", fleet.RepeatNever, "HTTP/1.1 200", false, "deadline_exceeded", string(lastheard.Connection), nil},
		{"buffered, header", fleet.RepeatNever, "HTTP/1.1 200 OK\r\n" + sealHeader + "Content-Length: 9\r\n\r\n", false, "deadline_exceeded", string(lastheard.Header), nil},
		{"buffered, part of the body", fleet.RepeatNever, httpResponse("200 OK", sealHeader, "whole")[:len(httpResponse("200 OK", sealHeader, "whole"))-2], false, "deadline_exceeded", string(lastheard.Body), nil},
		{"buffered, client closes", fleet.RepeatNever, "", true, "outcome_unknown", string(lastheard.Connection), nil},
		{"stream, no byte", fleet.RepeatStream, "", false, "deadline_exceeded", string(lastheard.Connection), 0.0},
		{"stream, header", fleet.RepeatStream, streamHead, false, "deadline_exceeded", string(lastheard.Header), 0.0},
		{"stream, client closes", fleet.RepeatStream, streamHead, true, "client_gone", string(lastheard.Header), 0.0},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := quicktest.New(t)
			ended := make(chan struct{})
			s := newServer(t, test.repeat, haltingReplica(t, func(string) string { return test.answer }, ended)).(*Server)
			log := logTo(s)
			server := httptest.NewServer(s)
			defer server.Close()
			defer close(ended)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL+"/a/1", strings.NewReader("order"))
			c.Assert(err, quicktest.IsNil)
			req.Host = "x.example"
			for name, value := range map[string]string{"X-Cassiadeal-Request-Id": "q1", "X-Api-Key": "key", "X-Cassiadeal-Model": "m",
				"X-Cassiadeal-Deadline-Ms": strconv.FormatInt(limit.Milliseconds(), 10)} {
				req.Header.Set(name, value)
			}
			if test.clientCloses {
				time.AfterFunc(clientLimit, cancel)
			}
			resp, err := (&http.Transport{}).RoundTrip(req)
			if err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
			}
			waitUntil(t, func() bool { return len(log.lines(t, `"outcome"`)) == 1 })
			line := log.lines(t, `"outcome"`)[0]
			c.Check(line["outcome"], quicktest.Equals, test.outcome)
			c.Check(line["last_heard"], quicktest.Equals, test.lastHeard)
			c.Check(line["silent_ms"].(float64) >= 100, quicktest.IsTrue, quicktest.Commentf("%v", line["silent_ms"]))
			c.Check(line["client_closed"], quicktest.Equals, test.clientCloses)
			c.Check(line["events"], quicktest.Equals, test.events)
			c.Check(line["target"], quicktest.Matches, "i-0.*")
		})
	}
}

// haltingReplica returns a replica that answers a request with bytes, and is then silent until ended is closed.
func haltingReplica(t testing.TB, answer func(address string) string, ended <-chan struct{}) *replica {
	server := httptest.NewUnstartedServer(nil)
	address := server.Listener.Addr().String()
	server.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		_, _ = io.Copy(io.Discard, q.Body)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, answer(address))
		<-ended
	})
	server.Start()
	t.Cleanup(server.Close)
	return &replica{address: address}
}

// Guards against the log line of a broken stream that doesn't tell that another target was asked, or has taken over, and how long that one
// has been silent.
func TestLogTellsOfTheOtherTarget(t *testing.T) {
	for _, test := range []struct {
		name      string
		second    string // What the second head answers before it is silent.
		events    float64
		takeovers float64
		other     string // What was heard last of it.
	}{
		{"silent too", "", 2, 0, string(lastheard.Connection)},
		{"only a header", streamHead, 2, 0, string(lastheard.Header)},
		{"takes over and falls silent", streamHead + events(3, 4), 4, 1, string(lastheard.Body)},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := quicktest.New(t)
			ended, silent := make(chan struct{}), make(chan string, 2)
			var requests atomic.Int32
			answer := func(address string) string {
				if requests.Add(1) == 1 {
					silent <- address
					return streamHead + events(1, 2)
				}
				return test.second
			}
			s := newServer(t, fleet.RepeatStream, haltingReplica(t, answer, ended), haltingReplica(t, answer, ended)).(*Server)
			log := logTo(s)
			go suspectWhenSilent(s, silent, ended)
			_, body, err := sendRequest(t, s, http.MethodPost, "X-Cassiadeal-Deadline-Ms", "1500")
			close(ended)
			c.Check(err, quicktest.IsNotNil)
			c.Check(body, quicktest.Equals, events(1, int(test.events)))
			lines := log.lines(t, `"outcome"`)
			c.Assert(lines, quicktest.HasLen, 1)
			line := lines[0]
			c.Check(line["outcome"], quicktest.Equals, "stream_incomplete")
			c.Check(line["events"], quicktest.Equals, test.events)
			c.Check(line["last_heard"], quicktest.Equals, string(lastheard.Body))
			c.Check(line["silent_ms"].(float64) >= 100, quicktest.IsTrue, quicktest.Commentf("%v", line["silent_ms"]))
			c.Check(line["others_asked"], quicktest.Equals, 1.0)
			c.Check(line["takeovers"], quicktest.Equals, test.takeovers)
			c.Check(line["other_last_heard"], quicktest.Equals, test.other)
			c.Check(line["other_silent_ms"].(float64) >= 100, quicktest.IsTrue, quicktest.Commentf("%v", line["other_silent_ms"]))
			c.Check(line["target"] == line["other"], quicktest.Equals, test.takeovers > 0)
			c.Check(line["client_closed"], quicktest.Equals, false)
		})
	}
}

// failingWriter fails the writes of a response's body.
type failingWriter struct{ http.ResponseWriter }

func (failingWriter) Write([]byte) (int, error) { return 0, errors.New("connection reset by peer") }

// Guards against a log line that blames the target for a client whose connection is seen to be lost when an answer is written.
func TestLogTellsThatAWriteFailed(t *testing.T) {
	for repeat, answer := range map[fleet.Repeat]string{fleet.RepeatNever: httpResponse("200 OK", sealHeader, "done"), fleet.RepeatStream: streamHead + events(1, 4)} {
		c := quicktest.New(t)
		s := newServer(t, repeat, newReplica(t, false, func(*http.Request) string { return answer })).(*Server)
		log := logTo(s)
		_, _, err := sendRequest(t, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { s.ServeHTTP(failingWriter{w}, q) }), http.MethodPost)
		c.Check(err, quicktest.IsNotNil)
		lines := log.lines(t, `"outcome"`)
		c.Assert(lines, quicktest.HasLen, 1)
		c.Check(lines[0]["outcome"], quicktest.Equals, "client_gone")
		c.Check(lines[0]["client_closed"], quicktest.Equals, true)
	}
}

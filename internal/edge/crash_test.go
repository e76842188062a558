package edge

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/crash"
	"cassiadeal.example/cassiadeal/internal/fleet"
)

// maxCrashes is the number of replicas that copies of one request may crash before all nodes refuse it (docs/design.md, section 8).
const maxCrashes = 2

// crashReplicas returns replicas that end without a response, and listen no longer, when they run a request that crashes selects.
// Other requests get the response. ended counts the replicas that have ended.
func crashReplicas(t testing.TB, count int, response string, crashes func(q *http.Request, body string) bool) (replicas []*replica, ended *atomic.Int32) {
	ended = &atomic.Int32{}
	for range count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		quicktest.Assert(t, err, quicktest.IsNil)
		t.Cleanup(func() { l.Close() })
		replicas = append(replicas, &replica{address: l.Addr().String()})
		go func() {
			for {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				go func() {
					defer conn.Close()
					q, err := http.ReadRequest(bufio.NewReader(conn))
					if err != nil {
						return
					}
					body, err := io.ReadAll(q.Body)
					if err != nil {
						return
					}
					if crashes(q, string(body)) {
						if l.Close() == nil {
							ended.Add(1)
						}
						return
					}
					fmt.Fprint(conn, response)
				}()
			}
		}()
	}
	return replicas, ended
}

// sendBody sends a request with the ID and body and returns the status of the response.
func sendBody(t testing.TB, server *httptest.Server, id, body string, headers ...string) int {
	req, err := http.NewRequest(http.MethodPost, server.URL+"/a/1", strings.NewReader(body))
	quicktest.Assert(t, err, quicktest.IsNil)
	req.Host = "x.example"
	for name, value := range map[string]string{"X-Cassiadeal-Request-Id": id, "X-Cassiadeal-Deadline-Ms": "2000", "X-Api-Key": "key",
		"X-Cassiadeal-Model": "m", "X-Cassiadeal-Token-Usage": "100,20"} {
		req.Header.Set(name, value)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := (&http.Transport{DisableCompression: true}).RoundTrip(req)
	quicktest.Assert(t, err, quicktest.IsNil)
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	quicktest.Assert(t, err, quicktest.IsNil)
	return resp.StatusCode
}

// Guards against a request whose copies crash one replica after the other because each copy is sent again (incident inc1 on
// pst-decals, rule BUDGET), and against refusing other requests of the same client account for it.
func TestCopiesOfACrashingRequestAreRefused(t *testing.T) {
	for name, test := range map[string]struct {
		repeat   fleet.Repeat
		response string
	}{
		"safe":   {fleet.RepeatSafe, httpResponse("200 OK", sealHeader, "done")},
		"unsafe": {fleet.RepeatNever, httpResponse("200 OK", sealHeader, "done")},
		"stream": {fleet.RepeatStream, streamHead + events(1, 2)},
	} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			replicas, ended := crashReplicas(t, 12, test.response, func(_ *http.Request, body string) bool { return body == "crash" })
			server := httptest.NewServer(newServer(t, test.repeat, replicas...))
			defer server.Close()
			for i := range 10 {
				status := sendBody(t, server, fmt.Sprint("copy", i), "crash")
				c.Check(status >= 500, quicktest.IsTrue, quicktest.Commentf("copy %d: status %d", i, status))
			}
			c.Check(sendBody(t, server, "other", "sound"), quicktest.Equals, http.StatusOK)
			c.Check(int(ended.Load()) <= maxCrashes, quicktest.IsTrue, quicktest.Commentf("%d replicas crashed, want %d at most", ended.Load(), maxCrashes))
		})
	}
}

// Guards against refusing a request for minutes because it was running at replicas that ended for another reason, though copies of
// it are answered: a stock lookup that many clients of one account send is running whenever a replica ends.
func TestAnsweredRequestsAreNotRefusedForOtherCrashes(t *testing.T) {
	c := quicktest.New(t)
	var failing atomic.Bool
	replicas, _ := crashReplicas(t, 8, httpResponse("200 OK", sealHeader, "done"), func(*http.Request, string) bool { return failing.Load() })
	server := httptest.NewServer(newServer(t, fleet.RepeatSafe, replicas...))
	defer server.Close()
	c.Assert(sendBody(t, server, "first", "lookup"), quicktest.Equals, http.StatusOK)
	failing.Store(true)
	c.Assert(sendBody(t, server, "unlucky", "lookup"), quicktest.Equals, http.StatusBadGateway)
	failing.Store(false)
	c.Assert(sendBody(t, server, "last", "lookup"), quicktest.Equals, http.StatusOK)
}

// maxCrashesOfPart is the number of replicas that requests with one part of a prompt may crash before all nodes refuse them.
const maxCrashesOfPart = 3

// Guards against a part of prompts that crashes one replica after the other in requests of which no two are alike, and against
// refusing sound requests that share the other parts.
func TestPromptPartThatCrashesReplicasIsRefused(t *testing.T) {
	prefix := func(parts ...string) string { return strings.Join(parts, ":100,") + ":100" }
	for name, test := range map[string]struct {
		first    func(i int) string // First part of the i-th request with the crashing part.
		answered bool               // The first part was in an answered request before.
	}{
		"one first part":                 {func(int) string { return "f0" }, true},
		"one first part, never answered": {func(int) string { return "f0" }, false},
		"many first parts":               {func(i int) string { return fmt.Sprint("f", i) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			replicas, ended := crashReplicas(t, 16, streamHead+events(1, 2), func(q *http.Request, _ string) bool {
				return strings.Contains(q.Header.Get("X-Cassiadeal-Prompt-Prefix"), "deadly")
			})
			server := httptest.NewServer(newServer(t, fleet.RepeatStream, replicas...))
			defer server.Close()
			if test.answered {
				c.Assert(sendBody(t, server, "before", "before", "X-Cassiadeal-Prompt-Prefix", prefix("f0", "l")), quicktest.Equals, http.StatusOK)
			}
			for i := range 6 {
				id := fmt.Sprint("deadly", i)
				status := sendBody(t, server, id, id, "X-Cassiadeal-Prompt-Prefix", prefix(test.first(i), "deadly", id))
				c.Check(status >= 500, quicktest.IsTrue, quicktest.Commentf("%s: status %d", id, status))
			}
			for i := range 3 {
				id := fmt.Sprint("sound", i)
				status := sendBody(t, server, id, id, "X-Cassiadeal-Prompt-Prefix", prefix(test.first(i), id))
				c.Check(status, quicktest.Equals, http.StatusOK, quicktest.Commentf("%s", id))
			}
			c.Check(int(ended.Load()) <= maxCrashesOfPart, quicktest.IsTrue, quicktest.Commentf("%d replicas crashed, want %d at most", ended.Load(), maxCrashesOfPart))
		})
	}
}

// Guards against requests with a crashing part that reach a replica before the part is known and crash it later, when the replica
// has read their prompts.
func TestWaitingRequestsWithACrashingPartAreEnded(t *testing.T) {
	c := quicktest.New(t)
	arrived, ended := make(chan struct{}), make(chan struct{})
	waiting := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, q *http.Request) {
		_, _ = io.Copy(io.Discard, q.Body) // Only then does the server notice that the connection closes.
		close(arrived)
		<-q.Context().Done()
		close(ended)
	}))
	defer waiting.Close()
	h := newServer(t, fleet.RepeatStream, &replica{address: strings.TrimPrefix(waiting.URL, "http://")})
	server := httptest.NewServer(h)
	defer server.Close()
	status := make(chan int, 1)
	go func() { status <- sendBody(t, server, "q1", "q1", "X-Cassiadeal-Prompt-Prefix", "f:40,deadly:100,l:1") }()
	<-arrived
	sent := time.Now()
	for i := range 2 {
		h.(*Server).opt.Crashes.Record(crash.Crash{Request: crash.Request{Fingerprint: fmt.Sprint("other", i), Parts: []string{crash.PartFingerprint("deadly")}}, Target: fmt.Sprint(i)})
	}
	<-ended
	c.Check(time.Since(sent) < time.Second, quicktest.IsTrue, quicktest.Commentf("ended after %v; its deadline is 2 s", time.Since(sent)))
	c.Check(<-status, quicktest.Equals, http.StatusBadGateway) // It may have run.
}

package edge

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/fleet"
)

// Guards against an earlier refusal that a faulty replica writes once more, before or after its response: the client would be told
// that a request has not run that did, or it would run at a second replica.
func TestEarlierRefusalIsNotBelieved(t *testing.T) {
	const done = "X-Cassiadeal-Request-Id: q1\r\n"
	for _, status := range []string{"503 Service Unavailable", "429 Too Many Requests", "408 Request Timeout", "421 Misdirected Request"} {
		for name, id := range map[string]string{"of another request": "X-Cassiadeal-Request-Id: q0\r\n", "without an ID": ""} {
			refusal := httpResponse(status, "X-Cassiadeal-Not-Executed: 1\r\nRetry-After: 0.1\r\n"+id, "")
			for order, answer := range map[string]string{
				"before the response": refusal + httpResponse("200 OK", sealHeader+done, "done"),
				"after the response":  httpResponse("200 OK", sealHeader+done, "done") + refusal,
				"alone":               refusal,
			} {
				t.Run(fmt.Sprintf("%s, %s, %s", status, name, order), func(t *testing.T) {
					c := quicktest.New(t)
					a := newReplica(t, false, func(*http.Request) string { return answer })
					b := newReplica(t, false, func(*http.Request) string { return answer })
					resp, body, err := sendRequest(t, newServer(t, fleet.RepeatNever, a, b), http.MethodPost)
					c.Check(len(a.received())+len(b.received()), quicktest.Equals, 1)
					c.Assert(err, quicktest.IsNil)
					if order == "after the response" {
						c.Check(body, quicktest.Equals, "done")
					} else {
						c.Check(statesNotRun(resp.StatusCode) || resp.StatusCode < 300, quicktest.IsFalse, quicktest.Commentf("the client got %d", resp.StatusCode))
					}
				})
			}
		}
	}
}

// Guards against bytes of an error in the middle of a stream, and against a stream that ends as if it were complete: it has begun and
// broken off, and the next replica answers with an error.
func TestStreamThatResumesAtAnError(t *testing.T) {
	const eventStream = "Content-Type: text/event-stream\r\n"
	for _, test := range []struct{ name, answer string }{
		{"failure", httpResponse("500 Internal Server Error", sealHeader, "failed\n\n")},
		{"failure as events", httpResponse("500 Internal Server Error", sealHeader+eventStream, "id: 9\ndata: failed\n\n")},
		{"failure without a body", httpResponse("500 Internal Server Error", sealHeader, "")},
		{"refusal", httpResponse("503 Service Unavailable", "X-Cassiadeal-Not-Executed: 1\r\nX-Cassiadeal-Request-Id: q1\r\n", "full\n\n")},
		{"success that is no stream", httpResponse("200 OK", sealHeader+"Content-Type: application/json\r\n", "{\"error\":\"failed\"}\n\n")},
		{"success without a type", httpResponse("200 OK", sealHeader, "failed\n\n")},
		{"empty success that is no stream", httpResponse("200 OK", sealHeader+"Content-Type: application/json\r\n", "")},
		{"no content", "HTTP/1.1 204 No Content\r\n" + sealHeader + "\r\n"},
		{"partial content", httpResponse("206 Partial Content", sealHeader+eventStream, "id: 9\ndata: x\n\n")},
		{"head among the events", httpResponse("200 OK", sealHeader+eventStream, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 6\r\n\r\nfailed")},
		{"events without IDs", httpResponse("200 OK", sealHeader+eventStream, "event: error\ndata: failed\n\n")},
		{"events without a seal", httpResponse("200 OK", eventStream, "id: 9\ndata: failed\n\n")},
		{"bytes that are no answer", "failed\r\n\r\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := quicktest.New(t)
			broken := newReplica(t, true, func(*http.Request) string { return streamHead + events(1, 3) + "id: 4\nda" })
			next := newReplica(t, false, func(*http.Request) string { return test.answer })
			next.otherZone = true
			_, body, err := sendRequest(t, newServer(t, fleet.RepeatStream, broken, next), http.MethodPost)
			c.Assert(next.received(), quicktest.HasLen, 1)
			c.Check(err, quicktest.IsNotNil, quicktest.Commentf("the stream ended as if it were complete"))
			c.Check(strings.HasPrefix(events(1, 3), body), quicktest.IsTrue, quicktest.Commentf("%q", body))
		})
	}
}

// Guards against a success with an empty or short body for an answer whose head was cut at any byte.
func TestAnswerCutInItsHead(t *testing.T) {
	const length = "Content-Length: 14\r\n"
	stream := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + sealHeader + "Transfer-Encoding: chunked\r\n\r\n"
	for _, test := range []struct {
		name   string
		repeat fleet.Repeat
		head   string
	}{
		{"length first", fleet.RepeatNever, "HTTP/1.1 200 OK\r\n" + length + sealHeader + "\r\n"},
		{"length last", fleet.RepeatSafe, "HTTP/1.1 200 OK\r\n" + sealHeader + length + "\r\n"},
		{"bare line feeds", fleet.RepeatNever, strings.ReplaceAll("HTTP/1.1 200 OK\r\n"+sealHeader+length+"\r\n", "\r\n", "\n")},
		{"chunked stream", fleet.RepeatStream, stream},
		{"stream without a length", fleet.RepeatStream, strings.Replace(stream, "Transfer-Encoding: chunked\r\n", "", 1)},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			for cut := range len(test.head) {
				a := newReplica(t, cut%3 == 0, func(*http.Request) string { return test.head[:cut] })
				b := newReplica(t, cut%3 == 1, func(*http.Request) string { return test.head[:cut] })
				resp, body, err := sendRequest(t, newServer(t, test.repeat, a, b), http.MethodPost)
				if err == nil && (resp.StatusCode < 500 || statesNotRun(resp.StatusCode)) {
					t.Fatalf("cut at %d (%q): the client got %d with %q", cut, test.head[:cut], resp.StatusCode, body)
				}
			}
		})
	}
}

// Guards against repeated events: a stream whose events have no IDs breaks off, and no replica can go on after the last one.
func TestStreamWithoutIDsIsNotResumed(t *testing.T) {
	c := quicktest.New(t)
	const events = "data: 1\n\ndata: 2\n\n"
	broken := newReplica(t, true, func(*http.Request) string { return streamHead + ": comment\n\n" + events + "da" })
	next := newReplica(t, false, func(*http.Request) string { return streamHead + events })
	next.otherZone = true
	_, body, err := sendRequest(t, newServer(t, fleet.RepeatStream, broken, next), http.MethodPost)
	c.Check(err, quicktest.IsNotNil)
	c.Check(body, quicktest.Equals, ": comment\n\n"+events)
	c.Check(next.received(), quicktest.HasLen, 0)
}

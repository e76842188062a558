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

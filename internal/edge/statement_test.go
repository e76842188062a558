package edge

import (
	"net/http"
	"testing"

	"github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/fleet"
)

const leavingHeader = "Server-Leaving: 1\r\n"

// leavingAnswers are responses of a replica that is leaving.
var leavingAnswers = []struct {
	name   string
	repeat fleet.Repeat
	answer string
}{
	{"success", fleet.RepeatSafe, httpResponse("200 OK", sealHeader+leavingHeader, "done")},
	{"success of a request that may run once", fleet.RepeatNever, httpResponse("200 OK", sealHeader+leavingHeader, "done")},
	{"failure", fleet.RepeatNever, httpResponse("500 Internal Server Error", sealHeader+leavingHeader, "failed")},
	{"unusable success", fleet.RepeatSafe, httpResponse("200 OK", leavingHeader, "no seal")},
	{"cut response", fleet.RepeatSafe, "HTTP/1.1 200 OK\r\n" + sealHeader + leavingHeader + "Content-Length: 5\r\n\r\ndo"},
	{"refusal", fleet.RepeatNever, httpResponse("503 Service Unavailable", "X-Cassiadeal-Not-Executed: 1\r\n"+leavingHeader, "")},
	{"stream", fleet.RepeatStream, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + sealHeader + leavingHeader + "\r\n" + events(1, 4)},
	{"stream that breaks off", fleet.RepeatStream, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + sealHeader + leavingHeader + "\r\n" + events(1, 2) + "id: 3\nda"},
	{"refused stream", fleet.RepeatStream, httpResponse("503 Service Unavailable", "X-Cassiadeal-Not-Executed: 1\r\n"+leavingHeader, "")},
	{"failed stream", fleet.RepeatStream, httpResponse("500 Internal Server Error", sealHeader+leavingHeader, "failed")},
}

// Guards against requests to a replica that has stated in a response that it is leaving, while the store still lists it as ready.
func TestLeavingReplicaGetsNoNewRequests(t *testing.T) {
	for _, test := range leavingAnswers {
		t.Run(test.name, func(t *testing.T) {
			c := quicktest.New(t)
			leaving := newReplica(t, false, func(*http.Request) string { return test.answer })
			other := newReplica(t, false, func(*http.Request) string {
				if test.repeat == fleet.RepeatStream {
					return streamHead + events(1, 4)
				}
				return httpResponse("200 OK", sealHeader, "done")
			})
			other.otherZone = true
			h := newServer(t, test.repeat, leaving, other)
			for range 6 {
				_, _, _ = sendRequest(t, h, http.MethodPost) // Only what the replicas receive counts.
			}
			c.Check(len(leaving.received()), quicktest.Equals, 1)
			c.Check(len(other.received()) >= 5, quicktest.IsTrue)
		})
	}
}

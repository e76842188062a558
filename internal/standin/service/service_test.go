package service_test

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/standin/service"
)

func start(t *testing.T) (*qt.C, *service.Server) {
	s := service.New(service.Options{Name: "bookings", RestartTime: time.Millisecond})
	qt.Assert(t, s.Start(), qt.IsNil)
	t.Cleanup(s.Close)
	return qt.New(t), s
}

// call sends a request and returns the request id of the reply and its body, or an error if the connection broke or the body is
// incomplete.
func call(s *service.Server, key, body string) (string, service.Answer, error) {
	var a service.Answer
	r, err := http.NewRequest("POST", "http://"+s.Addr()+"/orders", strings.NewReader(body))
	if err != nil {
		return "", a, err
	}
	r.Header.Set("X-Request-Id", "id-"+key)
	// Without GetBody, http.Client cannot rewind the body and does not retry the request on another connection.
	r.GetBody = nil
	r.Header.Set("Idempotency-Key", key)
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}).Do(r)
	if err != nil {
		return "", a, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err == nil {
		err = json.Unmarshal(data, &a)
	}
	return resp.Header.Get("X-Request-Id"), a, err
}

// Guards against fault switches whose effect on execution and reply differs from what tests assume.
func TestSwitches(t *testing.T) {
	for _, tc := range []struct {
		name     string
		faults   service.Faults
		executed int
		broken   bool
		echoedID string
	}{
		{"none", service.Faults{}, 1, false, "id-k"},
		{"close before run", service.Faults{CloseBeforeRun: new(1)}, 0, true, ""},
		{"drop reply", service.Faults{DropReply: new(1)}, 1, true, ""},
		{"truncate reply", service.Faults{TruncateReply: new(1)}, 1, true, "id-k"},
		{"wrong request id", service.Faults{WrongRequestID: new(1)}, 1, false, "wrong-id-k"},
		{"crash", service.Faults{CrashOnBody: new("bod")}, 1, true, ""},
		{"late reply", service.Faults{ReplyDelayOnceMS: new(int64(5))}, 1, false, "id-k"},
		{"silent", service.Faults{Silent: new(1)}, 1, true, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c, s := start(t)
			c.Assert(s.SetFaults(tc.faults), qt.IsNil)
			echoedID, answer, err := call(s, "k", "body")
			c.Check(err != nil, qt.Equals, tc.broken, qt.Commentf("error %v", err))
			c.Check(echoedID, qt.Equals, tc.echoedID)
			c.Check(s.Record().ByKey["k"], qt.Equals, tc.executed)
			if !tc.broken {
				c.Check(answer.Execution, qt.Equals, 1)
				c.Check(answer.BodySHA256, qt.Equals, "230d8358dc8e8890b4c58deeb62912ee2f20357ae92a5cc861b98e68fe31acb5")
			}
		})
	}
}

// Guards against a restart that keeps the incarnation or loses the record.
func TestRestart(t *testing.T) {
	c, s := start(t)
	_, _, err := call(s, "k", "")
	c.Assert(err, qt.IsNil)
	c.Assert(s.SetFaults(service.Faults{Restart: true}), qt.IsNil)
	_, answer, err := call(s, "k", "")
	c.Assert(err, qt.IsNil)
	c.Check(answer.Execution, qt.Equals, 2)
	c.Check(s.Record().ByKey["k"], qt.Equals, 2)
	c.Check(s.Record().Incarnations, qt.HasLen, 2)
}

package edge

import (
	"bytes"
	"encoding/json"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"cassiadeal.example/cassiadeal/internal/fleet"
)

// Guards against a waiting time that depends on what other clients state: two first attempts with deadlines that differ by 700 ms
// have both just arrived.
func TestWaitedIsTheTimeAtThisNode(t *testing.T) {
	c := qt.New(t)
	a := newReplica(t, false, func(*http.Request) string { return streamHead + events(1, 2) })
	h := newServer(t, fleet.RepeatStream, a)
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	log.SetFormatter(&logrus.JSONFormatter{})
	h.(*Server).opt.Log = log
	for _, deadline := range []string{"2900", "2200"} {
		out.Reset()
		resp, _, err := sendRequest(t, h, http.MethodPost, "X-Cassiadeal-Deadline-Ms", deadline)
		c.Assert(err, qt.IsNil)
		c.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
		var line struct {
			WaitedMs *float64 `json:"waited_ms"`
			TookMs   float64  `json:"took_ms"`
		}
		c.Assert(json.Unmarshal(out.Bytes(), &line), qt.IsNil)
		c.Assert(line.WaitedMs, qt.IsNotNil)
		c.Check(*line.WaitedMs <= line.TookMs, qt.IsTrue, qt.Commentf("%s", out.String()))
	}
}

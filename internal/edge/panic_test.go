package edge

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"cassiadeal.example/cassiadeal/internal/balance"
	"cassiadeal.example/cassiadeal/internal/fleet"
	"cassiadeal.example/cassiadeal/internal/recovery"
	"cassiadeal.example/cassiadeal/internal/telemetry"
)

// panickingCodec panics in the function of the given name, in the first calls of it that aren't skipped.
type panickingCodec struct {
	Codec
	in         string
	skip, left atomic.Int64
}

func (p *panickingCodec) panicIn(name string) {
	if p.in == name && p.skip.Add(-1) < 0 && p.left.Add(-1) >= 0 {
		panic("test: " + name)
	}
}

func (p *panickingCodec) DecodeRequest(q *http.Request) *fleet.Request {
	p.panicIn("DecodeRequest")
	return p.Codec.DecodeRequest(q)
}

func (p *panickingCodec) EncodeHeader(q *fleet.Request, o fleet.SendOptions) http.Header {
	p.panicIn("EncodeHeader")
	return p.Codec.EncodeHeader(q, o)
}

func (p *panickingCodec) DecodeAnswer(resp *http.Response) fleet.Answer {
	p.panicIn("DecodeAnswer")
	return p.Codec.DecodeAnswer(resp)
}

func (p *panickingCodec) CopyHeaders(from, to http.Header) {
	p.Codec.CopyHeaders(from, to)
	p.panicIn("CopyHeaders")
}

// panickingWriter panics at the given write.
type panickingWriter struct {
	http.ResponseWriter
	at, writes int
}

func (p *panickingWriter) Unwrap() http.ResponseWriter { return p.ResponseWriter }

func (p *panickingWriter) Write(b []byte) (int, error) {
	if p.writes++; p.writes == p.at {
		panic("test: Write")
	}
	return p.ResponseWriter.Write(b)
}

// syncBuffer is a buffer for a log.
type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// lines returns the lines that contain the text.
func (b *syncBuffer) lines(t testing.TB, text string) (list []map[string]any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for line := range strings.Lines(b.buf.String()) {
		if strings.Contains(line, text) {
			fields := map[string]any{}
			quicktest.Assert(t, json.Unmarshal([]byte(line), &fields), quicktest.IsNil)
			list = append(list, fields)
		}
	}
	return list
}

// logTo makes the server write its log to the buffer that is returned.
func logTo(s *Server) *syncBuffer {
	out := &syncBuffer{}
	logger := logrus.New()
	logger.SetOutput(out)
	logger.SetFormatter(&logrus.JSONFormatter{})
	s.opt.Log = logger
	return out
}

// targetsInUse returns the targets at which the server still counts requests.
func targetsInUse(s *Server) (keys []balance.Key) {
	for key := range s.opt.Table.LocalState().Loads {
		keys = append(keys, key)
	}
	return keys
}

// Guards against a request that ends without an answer, a count, a log line with its ID or the end of its send because this node's code
// panics, and against an answer that promises that it has not run or that bears the replica's seal.
func TestPanicIsAnsweredAndEndsTheSend(t *testing.T) {
	whole := httpResponse("200 OK", sealHeader+"X-Cassiadeal-Request-Id: q1\r\n", "done")
	for _, test := range []struct {
		repeat   fleet.Repeat
		in       string
		write    int // The write to the client that panics; 0 for none.
		status   int // 0 if the response is incomplete.
		sends    int
		inSend   bool // The goroutine of a send panics, which fails only that send.
		received int
	}{
		{repeat: fleet.RepeatNever, in: "DecodeRequest", status: 500},
		{repeat: fleet.RepeatNever, in: "EncodeHeader", status: 502, inSend: true},
		{repeat: fleet.RepeatNever, in: "DecodeAnswer", status: 502, inSend: true, received: 1},
		{repeat: fleet.RepeatSafe, in: "DecodeAnswer", status: 502, inSend: true, received: 1},
		{repeat: fleet.RepeatNever, in: "CopyHeaders", status: 500, sends: 1, received: 1},
		{repeat: fleet.RepeatNever, write: 1, sends: 1, received: 1},
		{repeat: fleet.RepeatStream, in: "DecodeRequest", status: 500},
		{repeat: fleet.RepeatStream, in: "CopyHeaders", status: 500, sends: 1, received: 1},
		{repeat: fleet.RepeatStream, write: 1, sends: 1, received: 1},
		{repeat: fleet.RepeatStream, write: 3, sends: 1, received: 1},
	} {
		t.Run(fmt.Sprintf("repeat %v, %s, write %d", test.repeat, test.in, test.write), func(t *testing.T) {
			c := quicktest.New(t)
			handled := make(chan struct{})
			r := newReplica(t, false, func(*http.Request) string {
				if test.repeat == fleet.RepeatStream {
					return streamHead + events(1, 4)
				}
				return whole
			})
			s := newServer(t, test.repeat, r).(*Server)
			codec := &panickingCodec{Codec: s.opt.Codec, in: test.in}
			codec.left.Store(1)
			s.opt.Codec = codec
			log := logTo(s)
			metrics, err := telemetry.New("n")
			c.Assert(err, quicktest.IsNil)
			s.opt.Metrics = metrics
			h := recovery.Recoverer{Where: "front", Log: s.opt.Log, Metrics: metrics}.Handler(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
				defer close(handled)
				s.ServeHTTP(&panickingWriter{ResponseWriter: w, at: test.write}, q)
			}))
			resp, body, err := sendRequest(t, h, http.MethodPost, "X-Api-Key", "key")
			<-handled
			if test.status == 0 {
				c.Check(err, quicktest.IsNotNil, quicktest.Commentf("the client got %q", body))
			} else {
				c.Assert(err, quicktest.IsNil)
				c.Check(resp.StatusCode, quicktest.Equals, test.status)
				c.Check(resp.Header.Get("X-Cassiadeal-Response-Seal"), quicktest.Equals, "")
			}
			c.Check(r.received(), quicktest.HasLen, test.received)
			waitUntil(t, func() bool { return len(targetsInUse(s)) == 0 })
			c.Check(s.InFlight(), quicktest.Equals, int64(0))
			lines := log.lines(t, "recovered from a panic")
			c.Assert(lines, quicktest.HasLen, 1)
			if test.in != "DecodeRequest" {
				c.Check(lines[0]["request_id"], quicktest.Equals, "q1")
				c.Check(lines[0]["route"], quicktest.Equals, "r")
				if test.inSend {
					c.Check(lines[0]["target"], quicktest.IsNotNil)
				} else {
					c.Check(lines[0]["sends"], quicktest.Equals, float64(test.sends))
				}
			}
			c.Check(fmt.Sprint(lines), quicktest.Not(quicktest.Contains), "order")
			where := "front"
			if test.inSend {
				where = "exchange"
			}
			c.Check(scrape(metrics), quicktest.Contains, fmt.Sprintf(`cassiadeal_panics_total{where=%q} 1`, where))
		})
	}
}

// Guards against a panic in the goroutine that receives a stream: it ended the process, and all its requests without an answer.
func TestPanicWhileReceivingFailsOnlyThatSend(t *testing.T) {
	for _, test := range []struct {
		name     string
		replicas int
		panics   int64  // Number of calls of the codec that panic.
		in       string // The function of the codec.
		status   int
		body     string // Of a success.
		received int
	}{
		{"before the send", 1, 9, "EncodeHeader", http.StatusBadGateway, "", 0},
		{"after the send", 1, 9, "DecodeAnswer", http.StatusBadGateway, "", 1},
		{"after the send, another target", 2, 1, "DecodeAnswer", http.StatusOK, events(1, 4), 2},
		{"after the send, at both targets", 2, 9, "DecodeAnswer", http.StatusBadGateway, "", 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := quicktest.New(t)
			var replicas []*replica
			for range test.replicas {
				replicas = append(replicas, newReplica(t, false, func(*http.Request) string { return streamHead + events(1, 4) }))
			}
			s := newServer(t, fleet.RepeatStream, replicas...).(*Server)
			codec := &panickingCodec{Codec: s.opt.Codec, in: test.in}
			codec.left.Store(test.panics)
			s.opt.Codec = codec
			log := logTo(s)
			resp, body, err := sendRequest(t, s, http.MethodPost)
			c.Assert(err, quicktest.IsNil)
			c.Check(resp.StatusCode, quicktest.Equals, test.status)
			if test.status == http.StatusOK {
				c.Check(body, quicktest.Equals, test.body)
			}
			received := 0
			for _, r := range replicas {
				received += len(r.received())
			}
			c.Check(received, quicktest.Equals, test.received)
			waitUntil(t, func() bool { return len(targetsInUse(s)) == 0 })
			lines := log.lines(t, "recovered from a panic")
			c.Assert(len(lines) > 0, quicktest.IsTrue)
			c.Check(lines[0]["request_id"], quicktest.Equals, "q1")
			c.Check(lines[0]["target"], quicktest.Matches, "i-.*")
		})
	}
}

// Guards against a stream that is given up because the code of a second send panics, which was made while the first target was silent.
func TestPanicOfASecondSendLeavesTheFirst(t *testing.T) {
	c := quicktest.New(t)
	s := silentHeads(t, 2, 4, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, events(3, 4)) }).(*Server)
	codec := &panickingCodec{Codec: s.opt.Codec, in: "DecodeAnswer"}
	codec.skip.Store(1)
	codec.left.Store(1)
	s.opt.Codec = codec
	log := logTo(s)
	resp, body, err := sendRequest(t, s, http.MethodPost, "X-Cassiadeal-Deadline-Ms", strconv.FormatInt(silentTimeout.Milliseconds(), 10))
	c.Assert(err, quicktest.IsNil)
	c.Check(resp.StatusCode, quicktest.Equals, http.StatusOK)
	c.Check(body, quicktest.Equals, events(1, 4))
	c.Check(log.lines(t, "recovered from a panic"), quicktest.HasLen, 1)
	waitUntil(t, func() bool { return len(targetsInUse(s)) == 0 })
}

// Guards against a stream that ends as if it were complete, and against the end of the process, when the code that receives it panics
// between two events.
func TestPanicBetweenEventsDoesNotCompleteTheStream(t *testing.T) {
	c := quicktest.New(t)
	answer := func(*http.Request) string { return streamHead + events(1, 4) }
	s := newServer(t, fleet.RepeatStream, newReplica(t, false, answer), newReplica(t, false, answer)).(*Server)
	s.buffers = nil // Releasing the buffer of an event panics now.
	log := logTo(s)
	_, body, err := sendRequest(t, s, http.MethodPost)
	c.Check(err, quicktest.IsNotNil)
	c.Check(strings.HasPrefix(events(1, 4), body), quicktest.IsTrue, quicktest.Commentf("%q", body))
	waitUntil(t, func() bool { return len(targetsInUse(s)) == 0 })
	c.Check(log.lines(t, "recovered from a panic"), quicktest.HasLen, 2)
	c.Check(log.lines(t, "the stream broke off"), quicktest.HasLen, 1)
}

// waitUntil waits for a condition.
func waitUntil(t testing.TB, ok func() bool) {
	for end := time.Now().Add(10 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the condition isn't met after 10 s")
		}
	}
}

func scrape(m *telemetry.Metrics) string {
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	return w.Body.String()
}

// String returns all that was written.
func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

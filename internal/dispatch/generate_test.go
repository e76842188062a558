package dispatch

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/result"
	"cassiadeal.example/cassiadeal/internal/schema"
)

// rawStream returns the raw response of an engine up to and including the given events. Each is the offset of a token or
// the text of a whole event.
func rawStream(incarnation string, events ...any) string {
	var b strings.Builder
	b.WriteString(okHead + "X-Incarnation: " + incarnation + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	for _, ev := range events {
		text := fmt.Sprintf(`{"request_id":"r1","offset":%v,"token":"t"}`, ev)
		if s, ok := ev.(string); ok {
			text = s
		}
		line := "data: " + text + "\n\n"
		fmt.Fprintf(&b, "%x\r\n%s\r\n", len(line), line)
	}
	return b.String()
}

func endEvent(tokens int) string {
	return fmt.Sprintf(`{"request_id":"r1","end":true,"tokens":%d,"cached_tokens":3}`, tokens)
}

const (
	lastChunk = "0\r\n\r\n"
	keepOpen  = "silent" // Suffix of a response after which the server keeps the connection open without sending more.
)

// Guards against streams that lose or repeat tokens or contain those of another request, and against treating a
// stream without an end marker as complete.
func TestGenerateEndings(t *testing.T) {
	plain := func(status string) string {
		return "HTTP/1.1 " + status + "\r\nX-Request-Id: r1\r\nContent-Length: 0\r\n\r\n"
	}
	for _, test := range []struct {
		name    string
		answers []string // One per request except cancel calls; the last one repeats.
		tokens  int
		code    result.Code
		notRun  bool
		resumes []string // Bodies of the resume requests.
	}{
		{"whole", []string{rawStream("i1", 0, 1, endEvent(2)) + lastChunk}, 2, result.OK, false, nil},
		{"no tokens", []string{rawStream("i1", endEvent(0)) + lastChunk}, 0, result.OK, false, nil},
		{"duplicates", []string{rawStream("i1", 0, 0, 1, 0, endEvent(2)) + lastChunk}, 2, result.OK, false, nil},
		{"gap", []string{rawStream("i1", 0, 2, endEvent(3)) + lastChunk}, 1, result.StreamIncomplete, false, nil},
		{"end too early", []string{rawStream("i1", 0, endEvent(2)) + lastChunk}, 1, result.StreamIncomplete, false, nil},
		{"event of another request", []string{rawStream("i1", 0, `{"request_id":"r2","offset":1,"token":"t"}`)}, 1, result.AnswerMismatch, false, nil},
		{"head of another request", []string{strings.Replace(rawStream("i1", 0), "r1", "r2", 1)}, 0, result.AnswerMismatch, false, nil},
		{"malformed event", []string{rawStream("i1", 0, `{`)}, 1, result.StreamIncomplete, false, nil},
		{"long event", []string{rawStream("i1", 0, strings.Repeat("x", maxEventLine))}, 1, result.StreamIncomplete, false, nil},
		{"other incarnation", []string{rawStream("i2", 0)}, 0, result.TargetFailed, false, nil},
		{"not ready", []string{plain("409 Conflict")}, 0, result.TargetUnreachable, true, nil},
		{"overloaded engine", []string{plain("503 Overload")}, 0, result.TargetFailed, false, nil},
		{"cut, resumed", []string{rawStream("i1", 0, 1), rawStream("i1", 2, endEvent(3)) + lastChunk}, 3, result.OK, false,
			[]string{`{"offset":2,"request_id":"r1"}`}},
		{"no end marker, resumed", []string{rawStream("i1", 0) + lastChunk, rawStream("i1", endEvent(1)) + lastChunk}, 1, result.OK, false,
			[]string{`{"offset":1,"request_id":"r1"}`}},
		{"no more data, resumed", []string{rawStream("i1", 0) + keepOpen, rawStream("i1", 1, endEvent(2)) + lastChunk}, 2, result.OK, false,
			[]string{`{"offset":1,"request_id":"r1"}`}},
		{"no response, resume refused", []string{keepOpen, plain("404 Not Found")}, 0, result.TargetFailed, false,
			[]string{`{"offset":0,"request_id":"r1"}`}},
		{"cut, other incarnation", []string{rawStream("i1", 0), rawStream("i2", 1, endEvent(2)) + lastChunk}, 1, result.TargetFailed, false,
			[]string{`{"offset":1,"request_id":"r1"}`}},
		{"cut, no more tokens", []string{rawStream("i1", 0), rawStream("i1")}, 1, result.StreamIncomplete, false,
			[]string{`{"offset":1,"request_id":"r1"}`, `{"offset":1,"request_id":"r1"}`}},
	} {
		t.Run(test.name, func(t *testing.T) {
			var resumes []string
			served := 0
			server := newRawServer(t, nil, func(conn net.Conn, req *http.Request, body string) {
				switch req.URL.Path {
				case "/v1/cancel":
					_, _ = io.WriteString(conn, plain("200 OK"))
					return
				case "/v1/resume":
					resumes = append(resumes, body)
				}
				reply, hang := strings.CutSuffix(test.answers[min(served, len(test.answers)-1)], keepOpen)
				served++
				_, _ = io.WriteString(conn, reply)
				if hang {
					_, _ = io.Copy(io.Discard, conn)
				}
			})
			slot, _, table := acquireSlot(t, server.address, "pool/p")
			var got receivedAnswer
			end := New(Options{IdleTimeout: 100 * time.Millisecond, MaxResumeTries: 2}).Run(t.Context(), slot, &schema.DispatchRequest{RequestId: "r1",
				Body: []byte(`{"prompt":"p"}`), Repeatable: true, Generate: true}, got.sink)
			qt.Assert(t, result.Code(end.GetCode()), qt.Equals, test.code, qt.Commentf("%s", end.GetMessage()))
			qt.Assert(t, end.GetNotRun(), qt.Equals, test.notRun)
			qt.Assert(t, end.GetTokens(), qt.Equals, uint64(test.tokens))
			qt.Assert(t, end.GetCacheHit(), qt.Equals, test.code == result.OK)
			qt.Assert(t, got.tokens, qt.HasLen, test.tokens)
			for i, token := range got.tokens {
				qt.Assert(t, token, qt.Equals, fmt.Sprintf("%dt", i))
			}
			qt.Assert(t, resumes, qt.DeepEquals, test.resumes)
			qt.Assert(t, table.InFlight("t1"), qt.Equals, 0)
		})
	}
}

// Guards against an engine that continues to generate after the caller has cancelled the request.
func TestGenerateCancel(t *testing.T) {
	server := newRawServer(t, nil, func(conn net.Conn, req *http.Request, _ string) {
		if req.URL.Path == "/v1/generate" {
			_, _ = io.WriteString(conn, rawStream("i1", 0))
			_, _ = io.Copy(io.Discard, conn)
		}
	})
	slot, _, _ := acquireSlot(t, server.address, "pool/p")
	ctx, cancel := context.WithCancel(t.Context())
	end := New(Options{IdleTimeout: testTimeout}).Run(ctx, slot, &schema.DispatchRequest{RequestId: "r1", Body: []byte("{}"), Generate: true, Repeatable: true},
		func(chunk *schema.DispatchChunk) error {
			if chunk.GetToken() != nil {
				cancel()
			}
			return nil
		})
	qt.Assert(t, result.Code(end.GetCode()), qt.Equals, result.StreamIncomplete)
	qt.Assert(t, end.GetCrashed(), qt.IsFalse)
	qt.Assert(t, server.received(), qt.DeepEquals, []string{"POST /v1/generate", "POST /v1/cancel"})
}

// Guards against unbounded memory use per stream: while the sink blocks, the engine must not be able to send more than the
// buffers hold.
func TestGenerateBackpressure(t *testing.T) {
	const limit = 64 << 20 // Far more than the socket buffers of both sides hold.
	blocked := make(chan int, 1)
	server := newRawServer(t, nil, func(conn net.Conn, req *http.Request, _ string) {
		if req.URL.Path != "/v1/generate" {
			return
		}
		sent := 0
		comment := ":" + strings.Repeat("x", 60<<10) + "\n"
		chunk := fmt.Sprintf("%x\r\n%s\r\n", len(comment), comment)
		_, _ = io.WriteString(conn, rawStream("i1", 0))
		for sent < limit {
			_ = conn.SetWriteDeadline(time.Now().Add(200 * time.Millisecond))
			n, err := io.WriteString(conn, chunk)
			if sent += n; err != nil {
				break
			}
		}
		blocked <- sent
	})
	slot, _, _ := acquireSlot(t, server.address, "pool/p")
	var sent int
	New(Options{}).Run(t.Context(), slot, &schema.DispatchRequest{RequestId: "r1", Body: []byte("{}"), Generate: true, Repeatable: true},
		func(chunk *schema.DispatchChunk) error {
			if chunk.GetToken() != nil {
				sent = <-blocked
			}
			return nil
		})
	qt.Assert(t, sent > 0 && sent < limit, qt.IsTrue, qt.Commentf("the engine sent %d bytes", sent))
}

// Guards against altering the caller's fields, against a group set by the caller, and against a panic or dispatch if the
// body is not a JSON object.
func TestGenerateBody(t *testing.T) {
	for body, want := range map[string]string{
		`null`: "", `[]`: "", `{`: "", ``: "",
		`{"prompt":"\ud800","seed":12345678901234567890,"group":"x"}`: `{"group":"g","number":7,"priority":2,"prompt":"\ud800","seed":12345678901234567890}`,
	} {
		var got []string
		server := newRawServer(t, nil, func(conn net.Conn, _ *http.Request, body string) {
			got = append(got, body)
			_, _ = io.WriteString(conn, rawStream("i1", endEvent(0))+lastChunk)
		})
		slot, _, _ := acquireSlot(t, server.address, "pool/p")
		end := New(Options{}).Run(t.Context(), slot, &schema.DispatchRequest{RequestId: "r1", Body: []byte(body), Priority: 2, Generate: true, Repeatable: true}, new(receivedAnswer).sink)
		qt.Assert(t, strings.Join(got, " "), qt.Equals, want)
		qt.Assert(t, end.GetNotRun(), qt.Equals, want == "")
		qt.Assert(t, end.GetCode() == int32(result.BadRequest), qt.Equals, want == "")
	}
}

package intake

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/result"
)

const (
	testBody = 1 << 20
	testWait = 20 * time.Second // Not a stated limit; the machine may be busy.
	// testWriteTime leaves clients that read time enough on a busy machine.
	testWriteTime = 3 * time.Second
)

// server is an HTTP server on loopback that answers with the length of the body.
type server struct {
	*Limiter
	address string
	limits  atomic.Pointer[HeadLimits]
	handled atomic.Int64
	// hold delays the response of requests to /held until it is closed.
	hold chan struct{}

	mu      sync.Mutex
	counts  map[Reason]int
	refused map[result.Code]int
}

func newServer(t *testing.T, b Bounds, bodies Bodies, bodyTime time.Duration) *server {
	t.Helper()
	s := &server{hold: make(chan struct{}), counts: map[Reason]int{}, refused: map[result.Code]int{}}
	s.limits.Store(&HeadLimits{Bytes: 4096, Time: testWait})
	start := time.Now()
	s.Limiter = New(Options{Bounds: b, Now: func() time.Duration { return time.Since(start) }, Count: func(r Reason) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.counts[r]++
	}})
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	s.address = inner.Addr().String()
	h := &http.Server{ReadHeaderTimeout: testWait, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.handle(w, r, bodies, bodyTime)
	})}
	Serve(h, bodies)
	listener := s.Listen(inner, Listening{From: Clients, WriteTime: testWriteTime, HeadLimits: func() HeadLimits { return *s.limits.Load() }, Refused: func(code result.Code) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.refused[code]++
	}})
	go func() { _ = h.Serve(listener) }() // Ends with Close.
	t.Cleanup(func() { _ = h.Close() })
	return s
}

func (s *server) handle(w http.ResponseWriter, r *http.Request, bodies Bodies, bodyTime time.Duration) {
	s.handled.Add(1)
	length := 0
	switch bodies {
	case ReadBodies:
		body, err := ReadBody(r, testBody, bodyTime, nil)
		if err != nil {
			result.Write(w, Refusal(err, testBody))
			return
		}
		length = len(body)
	case AnyBodies:
		n, err := io.Copy(io.Discard, r.Body)
		if err != nil {
			result.Write(w, Refusal(err, testBody))
			return
		}
		length = int(n)
	}
	switch r.URL.Path {
	case "/held":
		<-s.hold
	case "/large":
		_, _ = w.Write(make([]byte, 64<<10)) // The client has left if that fails.
		return
	}
	fmt.Fprint(w, length)
}

func (s *server) count(r Reason) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts[r]
}

// dial opens a connection and sends the text.
func (s *server) dial(t *testing.T, text string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", s.address)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = conn.Close() })
	qt.Assert(t, conn.SetDeadline(time.Now().Add(testWait)), qt.IsNil)
	_, err = io.WriteString(conn, text)
	qt.Assert(t, err, qt.IsNil)
	return conn
}

// answer reads a response and its body.
func answer(t *testing.T, r *bufio.Reader) (*http.Response, string) {
	t.Helper()
	resp, err := http.ReadResponse(r, nil)
	qt.Assert(t, err, qt.IsNil)
	body, err := io.ReadAll(resp.Body)
	qt.Assert(t, err, qt.IsNil)
	return resp, string(body)
}

// awaitUsage waits until the limiter accounts for the given usage.
func (s *server) awaitUsage(t *testing.T, reached func(Usage) bool) {
	t.Helper()
	for end := time.Now().Add(testWait); !reached(s.Usage()); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("usage %+v", s.Usage())
		}
	}
}

var ample = Bounds{Bytes: 64 << 20, Clients: 1000, Checks: 100, Parts: 500}

// Guards against refusals with another status than that of their reason, refusals that don't reach the client, and requests that
// reach the handler although they are refused.
func TestLimitsAreEnforced(t *testing.T) {
	const start = "POST / HTTP/1.1\r\nHost: x\r\n"
	for name, tc := range map[string]struct {
		text    string
		headMs  int
		bodyMs  int
		status  int
		reason  Reason
		handled int64
	}{
		"many header lines":       {start + strings.Repeat("a:\r\n", 2000), 0, 0, 431, HeadTooLarge, 0},
		"one long line":           {start + "A: " + strings.Repeat("x", 5000), 0, 0, 431, HeadTooLarge, 0},
		"long request line":       {"GET /" + strings.Repeat("x", 5000), 0, 0, 431, HeadTooLarge, 0},
		"whole head over limit":   {start + strings.Repeat("a:\r\n", 2000) + "\r\n", 0, 0, 431, HeadTooLarge, 0},
		"slow head":               {start, 50, 0, 408, HeadTooSlow, 0},
		"body over the limit":     {start + fmt.Sprintf("Content-Length: %d\r\n\r\n", testBody+1), 0, 0, 413, BodyTooLarge, 1},
		"chunks over the limit":   {start + "Transfer-Encoding: chunked\r\n\r\n100001\r\n" + strings.Repeat("x", testBody+1) + "\r\n", 0, 0, 413, BodyTooLarge, 1},
		"slow body":               {start + "Content-Length: 10\r\n\r\nx", 0, 50, 408, BodyTooSlow, 1},
		"slow chunks":             {start + "Transfer-Encoding: chunked\r\n\r\n5\r\nx", 0, 50, 408, BodyTooSlow, 1},
		"more lines than allowed": {start + strings.Repeat("abc: d\r\n", 600) + "\r\n", 0, 0, 431, HeadTooLarge, 0},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			bodyTime := testWait
			if tc.bodyMs > 0 {
				bodyTime = time.Duration(tc.bodyMs) * time.Millisecond
			}
			s := newServer(t, ample, ReadBodies, bodyTime)
			if tc.headMs > 0 {
				s.limits.Store(&HeadLimits{Bytes: 4096, Time: time.Duration(tc.headMs) * time.Millisecond})
			}
			resp, body := answer(t, bufio.NewReader(s.dial(t, tc.text)))
			c.Check(resp.StatusCode, qt.Equals, tc.status)
			c.Check(resp.Close, qt.IsTrue)
			c.Check(body, qt.Contains, `"not_run":true`)
			c.Check(s.count(tc.reason), qt.Equals, 1)
			c.Check(s.handled.Load(), qt.Equals, tc.handled)
			s.awaitUsage(t, func(u Usage) bool { return u == Usage{} })
		})
	}
}

// Guards against requests inside the limits that are refused: sizes at the limit, all ways to send a body, bytes that arrive one by one, and
// requests that follow others on a connection, also without waiting for the responses.
func TestRequestsInsideTheLimitsAreServed(t *testing.T) {
	c := qt.New(t)
	s := newServer(t, ample, ReadBodies, testWait)
	body := strings.Repeat("x", testBody)
	head := "POST / HTTP/1.1\r\nHost: x\r\n"
	filler := func(used int) string { return "A: " + strings.Repeat("y", 4096-used-len("A: \r\n")) + "\r\n" }
	requests := []struct {
		text   string
		length int
	}{
		{"GET / HTTP/1.1\r\nHost: x\r\n\r\n", 0},
		{"GET / HTTP/1.1\r\nHost: x\r\n" + filler(len("Host: x\r\n")) + "\r\n", 0},
		{head + "Content-Length: 0\r\n\r\n", 0},
		{head + fmt.Sprintf("Content-Length: %d\r\n\r\n", testBody) + body, testBody},
		{head + "Transfer-Encoding: chunked\r\n\r\n100000\r\n" + body + "\r\n0\r\n\r\n", testBody},
		{head + "Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n1\r\nf\r\n0\r\n\r\n", 6},
	}
	all, conn := "", s.dial(t, "")
	r := bufio.NewReader(conn)
	for i, q := range requests {
		_, err := io.WriteString(conn, q.text)
		c.Assert(err, qt.IsNil)
		resp, got := answer(t, r)
		c.Check(resp.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("request %d", i))
		c.Check(got, qt.Equals, fmt.Sprint(q.length))
		c.Check(resp.Close, qt.IsFalse)
		all += q.text
	}
	pipelined := s.dial(t, "")
	go func() { _, _ = io.WriteString(pipelined, all) }() // An error shows as a missing response.
	r = bufio.NewReader(pipelined)
	for _, q := range requests {
		resp, got := answer(t, r)
		c.Check(resp.StatusCode, qt.Equals, http.StatusOK)
		c.Check(got, qt.Equals, fmt.Sprint(q.length))
	}
	slow := s.dial(t, "")
	r = bufio.NewReader(slow)
	for _, b := range []byte(requests[5].text) {
		_, err := slow.Write([]byte{b})
		c.Assert(err, qt.IsNil)
	}
	_, got := answer(t, r)
	c.Check(got, qt.Equals, "6")
	s.mu.Lock()
	c.Check(s.counts, qt.HasLen, 0)
	s.mu.Unlock()
	s.awaitUsage(t, func(u Usage) bool { return u.Bytes == 3*connBytes && u.Parts == 0 })
}

// Guards against limits that are read only when the server starts.
func TestLimitsFollowTheConfiguration(t *testing.T) {
	c := qt.New(t)
	s := newServer(t, ample, ReadBodies, testWait)
	request := "GET / HTTP/1.1\r\nHost: x\r\nA: " + strings.Repeat("y", 1000) + "\r\n\r\n"
	conn := s.dial(t, request)
	r := bufio.NewReader(conn)
	resp, _ := answer(t, r)
	c.Check(resp.StatusCode, qt.Equals, http.StatusOK)
	s.limits.Store(&HeadLimits{Bytes: 512, Time: testWait})
	_, err := io.WriteString(conn, request)
	c.Assert(err, qt.IsNil)
	resp, _ = answer(t, r)
	c.Check(resp.StatusCode, qt.Equals, http.StatusRequestHeaderFieldsTooLarge)
}

// Guards against stalled bodies that keep ordinary requests out, and against refusals of these bodies that are missing or don't state that
// the request has not run. The load: stalled bodies that use up all room for large ones.
func TestStalledBodiesGiveWay(t *testing.T) {
	c := qt.New(t)
	s := newServer(t, Bounds{Bytes: 3 << 20, Clients: 100, Checks: 10, Parts: 50}, ReadBodies, testWait)
	head := fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", testBody)
	var stalled []net.Conn
	for range 2 {
		stalled = append(stalled, s.dial(t, head+strings.Repeat("x", testBody-1)))
	}
	s.awaitUsage(t, func(u Usage) bool { return u.Bytes > 2*testBody })
	time.Sleep(minStall + 100*time.Millisecond)
	conn := s.dial(t, head+strings.Repeat("x", testBody))
	resp, body := answer(t, bufio.NewReader(conn))
	c.Check(resp.StatusCode, qt.Equals, http.StatusOK, qt.Commentf(body))
	c.Check(s.count(EndedMemory) >= 1, qt.IsTrue)
	ended := make(chan *http.Response, len(stalled)) // Which one depends on the order in which their bytes arrived.
	for _, conn := range stalled {
		go func() {
			if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
				ended <- resp
			}
		}()
	}
	select {
	case resp = <-ended:
	case <-time.After(testWait):
		t.Fatal("no stalled request was answered")
	}
	data, err := io.ReadAll(resp.Body)
	c.Assert(err, qt.IsNil)
	body = string(data)
	c.Check(resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	c.Check(resp.Header.Get("Retry-After"), qt.Equals, "1")
	c.Check(body, qt.Contains, `"not_run":true`)
}

// Guards against room that a complete request gives back before its response: its body is kept for retries.
func TestBodiesAreHeldUntilTheResponse(t *testing.T) {
	c := qt.New(t)
	s := newServer(t, ample, ReadBodies, testWait)
	conn := s.dial(t, "POST /held HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\n"+strings.Repeat("x", 100000))
	s.awaitUsage(t, func(u Usage) bool { return u.Parts == 0 && u.Bytes > 100000 })
	close(s.hold)
	_, body := answer(t, bufio.NewReader(conn))
	c.Check(body, qt.Equals, "100000")
	s.awaitUsage(t, func(u Usage) bool { return u.Bytes == connBytes })
}

// Guards against room and connections that are never given back after clients have reset or left their connections at any byte.
func TestClientsThatLeaveGiveEverythingBack(t *testing.T) {
	s := newServer(t, ample, ReadBodies, testWait)
	text := "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nabcde"
	for cut := range len(text) + 1 {
		conn := s.dial(t, text[:cut])
		if cut%2 == 0 {
			_ = conn.(*net.TCPConn).SetLinger(0) // Resets the connection; otherwise it is closed.
		}
		_ = conn.Close()
	}
	s.awaitUsage(t, func(u Usage) bool { return u == Usage{} })
}

// Guards against connections beyond the bound that are accepted, and against a refusal that promises something else.
func TestConnectionsBeyondTheBoundAreRefused(t *testing.T) {
	c := qt.New(t)
	s := newServer(t, Bounds{Bytes: 64 << 20, Clients: 2, Checks: 1, Parts: 2}, ReadBodies, testWait)
	for range 2 { // Complete requests aren't ended for others.
		s.dial(t, "GET /held HTTP/1.1\r\nHost: x\r\n\r\n")
	}
	s.awaitUsage(t, func(u Usage) bool { return s.handled.Load() == 2 })
	resp, body := answer(t, bufio.NewReader(s.dial(t, "")))
	c.Check(resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	c.Check(body, qt.Contains, `"name":"no_room"`)
	c.Check(s.count(NoConnection), qt.Equals, 1)
	close(s.hold)
}

// Guards against a body where none is taken that delays the response or is taken for the next request.
func TestBodiesThatAreNotTakenCloseTheConnection(t *testing.T) {
	for _, text := range []string{
		"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 18\r\n\r\nGET / HTTP/1.1\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n",
	} {
		c := qt.New(t)
		s := newServer(t, ample, NoBodies, testWait)
		r := bufio.NewReader(s.dial(t, text))
		resp, _ := answer(t, r)
		c.Check(resp.StatusCode, qt.Equals, http.StatusOK)
		c.Check(resp.Close, qt.IsTrue)
		c.Check(s.handled.Load(), qt.Equals, int64(1))
	}
}

// Guards against bodies that a handler reads itself and that aren't accounted for.
func TestBodiesThatHandlersReadAreCharged(t *testing.T) {
	c := qt.New(t)
	s := newServer(t, Bounds{Bytes: 1 << 20, Clients: 10, Checks: 10, Parts: 10}, AnyBodies, testWait)
	text := "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n"
	resp, body := answer(t, bufio.NewReader(s.dial(t, fmt.Sprintf(text, 1000)+strings.Repeat("x", 1000))))
	c.Check(resp.StatusCode, qt.Equals, http.StatusOK)
	c.Check(body, qt.Equals, "1000")
	conn := s.dial(t, fmt.Sprintf(text, 4<<20))
	go func() { _, _ = conn.Write(make([]byte, 4<<20)) }() // The server stops reading.
	resp, _ = answer(t, bufio.NewReader(conn))
	c.Check(resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
}

// Guards against requests that escape the limits since they arrive in one piece with an earlier request: a body that stalls and is never
// ended, and a head of many lines that isn't charged.
func TestRequestsBehindOthersAreLimitedToo(t *testing.T) {
	first := "GET / HTTP/1.1\r\nHost: x\r\n\r\n"
	t.Run("stalled body", func(t *testing.T) {
		c := qt.New(t)
		s := newServer(t, Bounds{Bytes: 64 << 20, Clients: 10, Checks: 1, Parts: 1}, ReadBodies, testWait)
		conn := s.dial(t, first+"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nabc")
		r := bufio.NewReader(conn)
		answer(t, r)
		s.awaitUsage(t, func(u Usage) bool { return u.Parts == 1 && s.handled.Load() == 2 })
		time.Sleep(minStall + 100*time.Millisecond)
		s.dial(t, "POST / HTTP/1.1\r\n")
		resp, _ := answer(t, r)
		c.Check(resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
		c.Check(s.count(EndedStalled), qt.Equals, 1)
	})
	t.Run("many lines", func(t *testing.T) {
		s := newServer(t, ample, ReadBodies, testWait)
		lines := ""
		for i := range 300 {
			lines += fmt.Sprintf("%x:\r\n", i)
		}
		s.dial(t, first+"GET /held HTTP/1.1\r\nHost: x\r\n"+lines+"\r\n")
		s.awaitUsage(t, func(u Usage) bool { return s.handled.Load() == 2 && u.Bytes > 300*lineBytes })
		close(s.hold)
		s.awaitUsage(t, func(u Usage) bool { return u.Bytes == connBytes })
	})
}

// Guards against requests that net/http answers without the handler: what follows them on their connection isn't bounded.
func TestRequestsForTheServerItselfAreAccountedFor(t *testing.T) {
	c := qt.New(t)
	s := newServer(t, ample, NoBodies, testWait)
	conn := s.dial(t, "OPTIONS * HTTP/1.1\r\nHost: x\r\n\r\n")
	r := bufio.NewReader(conn)
	answer(t, r)
	c.Check(s.handled.Load(), qt.Equals, int64(1))
	s.awaitUsage(t, func(u Usage) bool { return u.Parts == 0 })
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\nA: "+strings.Repeat("y", 8192))
	c.Assert(err, qt.IsNil)
	resp, _ := answer(t, r)
	c.Check(resp.StatusCode, qt.Equals, http.StatusRequestHeaderFieldsTooLarge)
}

// Guards against clients that keep connections for ever because they don't read responses for which the handler sets no deadline.
func TestResponsesThatAreNotReadEnd(t *testing.T) {
	s := newServer(t, ample, NoBodies, testWait)
	for range 2 {
		conn := s.dial(t, "")
		qt.Assert(t, conn.(*net.TCPConn).SetReadBuffer(4096), qt.IsNil)
		for err := error(nil); err == nil; {
			_, err = io.WriteString(conn, strings.Repeat("GET /large HTTP/1.1\r\nHost: x\r\n\r\n", 1000))
		}
		s.awaitUsage(t, func(u Usage) bool { return u == Usage{} })
	}
	qt.Check(t, s.count(WriteTooSlow), qt.Equals, 2)
}

// Guards against room that is given to others while net/http still holds a refused request: it closes the connection only after 500 ms.
func TestRefusedRequestsKeepTheirRoomUntilTheirConnectionCloses(t *testing.T) {
	const lines = 100
	s := newServer(t, ample, ReadBodies, testWait)
	head := "POST / HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("a:\r\n", lines)
	conn := s.dial(t, head+fmt.Sprintf("Content-Length: %d\r\n\r\n", testBody+1))
	resp, _ := answer(t, bufio.NewReader(conn))
	qt.Check(t, resp.StatusCode, qt.Equals, http.StatusRequestEntityTooLarge)
	s.awaitUsage(t, func(u Usage) bool {
		qt.Check(t, u.Clients == 0 || u.Bytes >= lines*lineBytes, qt.IsTrue, qt.Commentf("%+v", u))
		return u == Usage{}
	})
}

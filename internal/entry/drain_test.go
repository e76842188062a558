package entry

import (
	"bufio"
	"context"
	"encoding/json"
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

	"cassiadeal.example/cassiadeal/platform"
)

// drainTestTimeout ends the wait for an answer that never comes.
const drainTestTimeout = 12 * time.Second

const drainConfig = `{"version":1,"routes":[
	{"name":"order","host":"x.example","path_prefix":"/order/","type":"unsafe","service":"desk","max_attempts":1},
	{"name":"stream","host":"x.example","path_prefix":"/stream/","type":"streaming","service":"desk","max_attempts":2,"resumable":true}],
	"services":[{"name":"desk"}],"limits":{}}`

// silentReplica answers requests for /quick only, begins a stream for /begun, and is silent otherwise.
func silentReplica(c *quicktest.C) (address string, received *atomic.Int64) {
	received = &atomic.Int64{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received.Add(1)
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("X-Cassiadeal-Response-Seal", "s")
		w.Header().Set("X-Cassiadeal-Request-Id", r.Header.Get("X-Cassiadeal-Request-Id"))
		if strings.HasSuffix(r.URL.Path, "/quick") {
			return
		}
		if strings.HasSuffix(r.URL.Path, "/begun") {
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, "id: 1\ndata: token\n\n")
			_ = http.NewResponseController(w).Flush()
		}
		<-r.Context().Done()
	}))
	c.Cleanup(server.Close)
	return server.Listener.Addr().String(), received
}

// startDrainingNode starts a node with the replica and a grace period of 4 s.
func startDrainingNode(c *quicktest.C, replica string) (front string, terminate context.CancelFunc, ended <-chan struct{}) {
	store := newFakeStore()
	store.put(platform.KindConfig, platform.ConfigName, json.RawMessage(drainConfig))
	store.put(platform.KindReplicas, "i-1", map[string]any{"service": "desk", "address": replica, "zone": "z", "slots": 64, "state": "ready"})
	return startServingNode(c, store, `"grace_s":8`, `"grace_s":4`)
}

// startServingNode starts a node with the store, and with the settings of tests in which texts are replaced, and waits until it is ready.
func startServingNode(c *quicktest.C, store *fakeStore, replaced ...string) (front string, terminate context.CancelFunc, ended <-chan struct{}) {
	server := httptest.NewServer(store)
	c.Cleanup(server.Close)
	probe, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	front = probe.Addr().String()
	c.Assert(probe.Close(), quicktest.IsNil)
	n := newNode(c, strings.NewReplacer(append(replaced, `"front":"127.0.0.1:0"`, fmt.Sprintf(`"front":%q`, front),
		"10.200.1.7:8223", strings.TrimPrefix(server.URL, "http://"))...).Replace(testSettings))
	ctx, terminate := context.WithCancel(context.Background())
	c.Cleanup(terminate)
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.Check(n.Run(ctx), quicktest.IsNil)
	}()
	waitFor(c, 5*time.Second, n.ready)
	return front, terminate, done
}

// drainReply is what a client got for its request.
type drainReply struct {
	status     int
	retryAfter string
	body       string
	err        error // Also if the response is incomplete.
	took       time.Duration
}

func sendToNode(front, path string, limit time.Duration) (r drainReply) {
	start := time.Now()
	defer func() { r.took = time.Since(start) }()
	req, err := http.NewRequest(http.MethodPost, "http://"+front+path, strings.NewReader("order"))
	if err != nil {
		return drainReply{err: err}
	}
	req.Host = "x.example"
	req.Header.Set("X-Cassiadeal-Request-Id", "q")
	req.Header.Set("X-Cassiadeal-Deadline-Ms", fmt.Sprint(limit.Milliseconds()))
	ctx, cancel := context.WithTimeout(context.Background(), drainTestTimeout)
	defer cancel()
	resp, err := (&http.Transport{}).RoundTrip(req.WithContext(ctx))
	if err != nil {
		return drainReply{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return drainReply{status: resp.StatusCode, retryAfter: resp.Header.Get("Retry-After"), body: string(body), err: err}
}

// sendPartOfABody sends a request without the end of its body.
func sendPartOfABody(front string) (r drainReply) {
	conn, err := net.Dial("tcp", front)
	if err != nil {
		return drainReply{err: err}
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(drainTestTimeout)); err != nil {
		return drainReply{err: err}
	}
	if _, err := io.WriteString(conn, "POST /order/part HTTP/1.1\r\nHost: x.example\r\nContent-Length: 10\r\n\r\npart"); err != nil {
		return drainReply{err: err}
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return drainReply{err: err}
	}
	defer resp.Body.Close()
	return drainReply{status: resp.StatusCode}
}

// Guards against requests that a stopping node takes, passes on and cuts at the end of its grace period without an answer, among
// them ones that may not be repeated.
func TestRequestsAtTheEndOfADrainAreAnswered(t *testing.T) {
	c := quicktest.New(t)
	replica, received := silentReplica(c)
	front, terminate, ended := startDrainingNode(c, replica)
	const limit = 8 * time.Second
	inFlight := map[string]chan drainReply{}
	for _, path := range []string{"/order/waiting", "/stream/waiting", "/stream/begun"} {
		reply := make(chan drainReply, 1)
		inFlight[path] = reply
		go func() { reply <- sendToNode(front, path, limit) }()
	}
	partOfABody := make(chan drainReply, 1)
	go func() { partOfABody <- sendPartOfABody(front) }()
	waitFor(c, 5*time.Second, func() bool { return received.Load() == int64(len(inFlight)) })

	terminate()
	time.Sleep(300 * time.Millisecond)
	for _, path := range []string{"/order/late", "/stream/late"} {
		r := sendToNode(front, path, limit)
		c.Check(r.err, quicktest.IsNil, quicktest.Commentf(path))
		c.Check(r.status, quicktest.Equals, http.StatusServiceUnavailable, quicktest.Commentf(path))
		c.Check(r.retryAfter, quicktest.Not(quicktest.Equals), "", quicktest.Commentf(path))
		c.Check(r.took < time.Second, quicktest.IsTrue, quicktest.Commentf("%s was refused after %v", path, r.took))
	}
	c.Check(received.Load(), quicktest.Equals, int64(len(inFlight)), quicktest.Commentf("late requests were passed on"))
	short := sendToNode(front, "/order/quick", 1500*time.Millisecond)
	c.Check(short.err, quicktest.IsNil)
	c.Check(short.status, quicktest.Equals, http.StatusOK, quicktest.Commentf("its time limit ends before the node"))

	<-ended
	for _, path := range []string{"/order/waiting", "/stream/waiting"} {
		r := <-inFlight[path]
		c.Check(r.err, quicktest.IsNil, quicktest.Commentf(path))
		c.Check(r.status == http.StatusBadGateway || r.status == http.StatusGatewayTimeout, quicktest.IsTrue, quicktest.Commentf("%s: status %d", path, r.status))
	}
	begun := <-inFlight["/stream/begun"]
	c.Check(begun.body, quicktest.Equals, "id: 1\ndata: token\n\n")
	c.Check(begun.err, quicktest.ErrorIs, io.ErrUnexpectedEOF, quicktest.Commentf("a part of a stream looks complete"))
	part := <-partOfABody
	c.Check(part.err, quicktest.IsNil)
	c.Check(part.status, quicktest.Equals, http.StatusServiceUnavailable)
}

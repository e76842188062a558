package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

var lastID atomic.Int64

func newID() string { return fmt.Sprintf("%08x%08x", time.Now().UnixNano()&0xffffffff, lastID.Add(1)) }

// client sends requests on kept channels to one address.
type client struct {
	rec    *record
	http   *http.Client
	target string
	host   string
	key    string
}

type answer struct {
	id     string
	status int // 0 without a complete answer.
	body   string
	seal   string
	header http.Header
	err    error
	took   time.Duration
}

func newClient(rec *record, target, host, key string) *client {
	return &client{rec: rec, target: target, host: host, key: key, http: &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxIdleConnsPerHost: 64, DisableCompression: true}}}
}

func (c *client) do(method, path string, body []byte, limit time.Duration) answer {
	id, started := newID(), time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, method, "http://"+c.target+path, bytes.NewReader(body))
	if err != nil {
		return answer{id: id, err: err}
	}
	q.Host = c.host
	q.Header.Set(wire["requestId"], id)
	q.Header.Set(wire["deadline"], fmt.Sprint(limit.Milliseconds()))
	if c.key != "" {
		q.Header.Set(wire["apiKey"], c.key)
	}
	c.rec.log("client: request %s sent to %s (%s %s)", id, c.target, method, path)
	resp, err := c.http.Do(q)
	if err != nil {
		c.rec.log("client: request %s gets no answer: %v", id, err)
		return answer{id: id, err: err, took: time.Since(started)}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	a := answer{id: id, status: resp.StatusCode, body: string(data), seal: resp.Header.Get(wire["seal"]), header: resp.Header, err: err, took: time.Since(started)}
	if err != nil {
		a.status = 0
	}
	c.rec.log("client: request %s gets %d, %d bytes, seal %q, complete: %v, after %v", id, resp.StatusCode, len(data), a.seal, err == nil, a.took.Round(time.Millisecond))
	return a
}

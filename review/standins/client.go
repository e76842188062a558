package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	clientHost = "ficu95.example"
	clientKey  = "n2ctnfzs989anu6wsjnb"
	tenantName = "hule930"
)

// client stands in for one caller. It asks the directory for addresses, keeps the answer for its time, and keeps its channel.
type client struct {
	name, zone string
	nodes      []*node // Whose directories it asks; those of its zone first.
	record     *record
	http       *http.Client

	mu        sync.Mutex
	addresses []string
	until     time.Time
	current   string
	failed    map[string]time.Time
}

func newClient(name, zone string, nodes []*node, r *record) *client {
	var own, others []*node
	for _, n := range nodes {
		if n.zone == zone {
			own = append(own, n)
		} else {
			others = append(others, n)
		}
	}
	dialer := &net.Dialer{Timeout: time.Second}
	return &client{name: name, zone: zone, nodes: append(own, others...), record: r, failed: map[string]time.Time{},
		http: &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableCompression: true, MaxIdleConnsPerHost: 1}}}
}

// resolve asks up to three directories, the nearest first, for one second each.
func (c *client) resolve() {
	ask := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, n := range c.nodes[:min(3, len(c.nodes))] {
		resp, err := ask.Get("http://" + n.address(portDirectory) + wire.PathResolve + "?name=" + clientHost + "&region=wa-west&zone=" + c.zone)
		if err != nil {
			continue
		}
		var answer struct {
			Addresses []string `json:"addresses"`
			TTL       float64  `json:"ttl_s"`
		}
		err = json.NewDecoder(resp.Body).Decode(&answer)
		_ = resp.Body.Close()
		if err == nil && len(answer.Addresses) > 0 {
			c.mu.Lock()
			c.addresses, c.until = answer.Addresses, time.Now().Add(time.Duration(min(answer.TTL, 5)*float64(time.Second)))
			c.mu.Unlock()
			return
		}
	}
}

// pick returns the address to send to: that of the open channel, or a random one that hasn't just failed.
func (c *client) pick() string {
	c.mu.Lock()
	expired := time.Now().After(c.until)
	c.mu.Unlock()
	if expired {
		c.resolve()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var usable []string
	for _, a := range c.addresses {
		if a == c.current {
			return a
		}
		if time.Since(c.failed[a]) > time.Second {
			usable = append(usable, a)
		}
	}
	if len(usable) == 0 {
		usable = c.addresses
	}
	if len(usable) == 0 {
		return ""
	}
	c.current = usable[rand.IntN(len(usable))]
	return c.current
}

func (c *client) drop(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failed[address] = time.Now()
	if c.current == address {
		c.current = ""
	}
}

// outcome is what a client has seen of one attempt.
type outcome struct {
	status     int // 0 if the channel ended without an answer.
	body       string
	sealed     bool
	retryAfter time.Duration
	err        error
}

// attempt sends one request to the given node's front address, or to one that the directory names if it is empty.
func (c *client) attempt(address, method, path string, body []byte, limit time.Duration) (id string, o outcome) {
	id = fmt.Sprintf("%016x", rand.Uint64())
	if address == "" {
		address = c.pick()
	}
	if address == "" {
		return id, outcome{err: fmt.Errorf("no address is known")}
	}
	req, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return id, outcome{err: err}
	}
	req.Host = clientHost
	req.Header.Set(wire.HeaderPrefix+"Request-Id", id)
	req.Header.Set(wire.HeaderPrefix+"Deadline-Ms", strconv.FormatInt(limit.Milliseconds(), 10))
	req.Header.Set("X-Api-Key", clientKey)
	c.record.add("%s: %s %s, request %s, sent to %s", c.name, method, path, id, address)
	timer := &http.Client{Transport: c.http.Transport, Timeout: limit}
	resp, err := timer.Do(req)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		o = outcome{status: resp.StatusCode, body: string(data), sealed: resp.Header.Get(wire.HeaderPrefix+"Response-Seal") != ""}
		if s, parseErr := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); parseErr == nil {
			o.retryAfter = time.Duration(s * float64(time.Second))
		}
	}
	if err != nil {
		o = outcome{err: err}
		c.drop(address)
	}
	c.record.add("%s: request %s ends: status %d, error %v", c.name, id, o.status, o.err)
	return id, o
}

// call is what a client sends.
type call struct {
	method, path string
	body         []byte
	safe         bool // May be repeated after any failure; otherwise only after a promise that it has not run.
}

func (o outcome) repeatable(safe bool) bool {
	return safe || o.status == 503 || o.status == 429 || o.status == 408 || o.status == 421
}

// run sends one request after the other until stop is closed, each with the pause after it. It repeats a request within its time
// limit where it may, and waits as Retry-After asks, for a third of the time that is left at most.
func (c *client) run(stop <-chan struct{}, q call, limit, pause time.Duration, seen func(outcome)) {
	for {
		deadline := time.Now().Add(limit)
		for {
			left := time.Until(deadline)
			if left <= 0 {
				break
			}
			_, o := c.attempt("", q.method, q.path, q.body, left)
			seen(o)
			if o.status >= 200 && o.status < 300 || !o.repeatable(q.safe) {
				break
			}
			wait := 50 * time.Millisecond
			if o.retryAfter > 0 {
				wait = min(o.retryAfter, time.Until(deadline)/3)
			}
			select {
			case <-stop:
				return
			case <-time.After(wait):
			}
		}
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(float64(pause) * (0.5 + rand.Float64()))):
		}
	}
}

package cluster

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"cassiadeal.example/cassiadeal/internal/standin/engine"
	"cassiadeal.example/cassiadeal/internal/standin/platform"
	"cassiadeal.example/cassiadeal/test/faultproxy"
)

// CutPeers drops the data that a node sends to its peers (out), that they send to it (in), or both.
func (c *Cluster) CutPeers(d *Daemon, out, in bool) {
	for _, other := range c.Nodes {
		if other == d {
			continue
		}
		if out { // Requests to the others, and answers to theirs.
			other.PeerProxy.CutClient(d.IP, faultproxy.ToUpstream)
			d.PeerProxy.CutClient(other.IP, faultproxy.ToClient)
		}
		if in {
			other.PeerProxy.CutClient(d.IP, faultproxy.ToClient)
			d.PeerProxy.CutClient(other.IP, faultproxy.ToUpstream)
		}
	}
}

// CutPlatform drops the data that a node sends to the platform (out), that the platform sends to it (in), or both.
func (c *Cluster) CutPlatform(d *Daemon, out, in bool) {
	if out {
		d.PlatformProxy.Cut(faultproxy.ToUpstream)
	}
	if in {
		d.PlatformProxy.Cut(faultproxy.ToClient)
	}
}

// RestoreNetwork ends the cuts between nodes and between nodes and the platform.
func (c *Cluster) RestoreNetwork() {
	for _, d := range c.Nodes {
		for _, p := range []*faultproxy.Proxy{d.PeerProxy, d.PlatformProxy} {
			if err := p.Restore(); err != nil {
				c.T.Error(err)
			}
		}
	}
}

// ConfigWrites returns the writes of the configuration that the platform accepted.
func (c *Cluster) ConfigWrites() (writes []platform.Write) {
	for _, w := range c.Platform.Record().Writes {
		if w.Kind == "config" {
			writes = append(writes, w)
		}
	}
	return writes
}

// ReceivedRequest is one request that an engine or service received. Outcome is empty and End is zero for services, whose
// records have arrival times only; End is also zero while a request runs at an engine.
type ReceivedRequest struct {
	Target, Domain, Outcome string
	Start, End              time.Time
}

// ReceivedRequests returns the requests that engines and services have received, including those that they refused.
func (c *Cluster) ReceivedRequests() (list []ReceivedRequest) {
	for domain, e := range c.Engines {
		for vm, record := range e.Record() {
			for _, g := range record.Generates {
				r := ReceivedRequest{Target: vm, Domain: domain, Outcome: g.Outcome, Start: time.UnixMilli(g.TimeUnixMS)}
				if g.EndUnixMS > 0 {
					r.End = time.UnixMilli(g.EndUnixMS)
				}
				list = append(list, r)
			}
		}
	}
	for i, s := range c.Services {
		for _, ms := range s.Record().Arrivals {
			list = append(list, ReceivedRequest{Target: fmt.Sprintf("service-%d", i), Domain: c.Options.Domains[i%len(c.Options.Domains)], Start: time.UnixMilli(ms)})
		}
	}
	return list
}

// Overloads lists the failures of cold engines and services that had more requests in flight than their limit.
func (c *Cluster) Overloads() (list []string) {
	for _, e := range c.Engines {
		for vm, record := range e.Record() {
			for _, o := range record.Overloads {
				list = append(list, fmt.Sprintf("%s: %+v", vm, o))
			}
		}
	}
	for i, s := range c.Services {
		for _, o := range s.Record().Overloads {
			list = append(list, fmt.Sprintf("service-%d: %+v", i, o))
		}
	}
	return list
}

// CompletedRequest is an ended request of a Load with its answer.
type CompletedRequest struct {
	Node       *Daemon
	Start, End time.Time
	Answer     Answer
	Complete   bool // Whether the answer has status 200 and is valid JSON with the expected text.
}

// Load is a closed-loop load: each caller sends its next request after the answer to the previous one.
type Load struct {
	stop      chan struct{}
	wg        sync.WaitGroup
	mu        sync.Mutex
	completed []CompletedRequest
}

// LoadOptions describes a load. Every LongEvery-th generate request of a caller has LongTokens instead of Tokens.
type LoadOptions struct {
	Generate, Service             int // Callers per node.
	Tokens, LongTokens, LongEvery int
	Interval                      time.Duration // Between the requests of one caller; longer if an answer takes longer.
}

// StartLoad starts callers at every node. They stop at Stop or at the end of the test.
func (c *Cluster) StartLoad(o LoadOptions) *Load {
	l := &Load{stop: make(chan struct{})}
	for _, d := range c.Nodes {
		for i := range o.Generate {
			l.startCaller(c, d, o.Interval, func(n int) (Answer, string) {
				tokens := o.Tokens
				if o.LongEvery > 0 && n%o.LongEvery == 0 {
					tokens = o.LongTokens
				}
				prompt := fmt.Sprintf("%s caller %d request %d", d.NodeName, i, n)
				return c.Generate(d, prompt, tokens), strings.Join(engine.Text(Model, prompt, tokens), "")
			})
		}
		for i := range o.Service {
			l.startCaller(c, d, o.Interval, func(n int) (Answer, string) {
				// Paths differ, because nodes refuse repeats of a request after two targets were lost while running it.
				return c.Send(d, http.MethodGet, fmt.Sprintf("/v1/services/bookings/stock/%s-%d-%d", d.NodeName, i, n), "", ""), ""
			})
		}
	}
	c.T.Cleanup(l.Stop)
	return l
}

// startCaller runs a caller in the background. send makes request n and returns its answer and the text that a complete
// answer contains.
func (l *Load) startCaller(c *Cluster, d *Daemon, interval time.Duration, send func(n int) (Answer, string)) {
	l.wg.Go(func() {
		tick := time.NewTicker(interval)
		defer tick.Stop()
		for n := 1; ; n++ {
			select {
			case <-l.stop:
				return
			case <-tick.C:
			}
			r := CompletedRequest{Node: d, Start: time.Now()}
			var want string
			r.Answer, want = send(n)
			r.End = time.Now()
			r.Complete = r.Answer.Status == http.StatusOK && r.Answer.Err == nil && json.Valid([]byte(r.Answer.Body)) && strings.Contains(r.Answer.Body, want)
			l.mu.Lock()
			l.completed = append(l.completed, r)
			l.mu.Unlock()
		}
	})
}

// Completed returns the requests that have ended.
func (l *Load) Completed() []CompletedRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]CompletedRequest{}, l.completed...)
}

// Stop ends the load and waits for the requests in flight.
func (l *Load) Stop() {
	select {
	case <-l.stop:
	default:
		close(l.stop)
	}
	l.wg.Wait()
}

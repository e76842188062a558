package target

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

const (
	// probeJitter spreads the probes of all holders; a fraction of the interval in both directions.
	probeJitter = 0.2
	// maxProbeAnswer bounds the body of a probe's answer in bytes.
	maxProbeAnswer = 64 << 10
	// probeIdleConn closes probe connections that nothing uses any more, for example after a target was removed.
	probeIdleConn = 10 * time.Second
)

// Report is what one member says about itself.
type Report struct {
	Incarnation string `json:"incarnation"`
	Group       string `json:"group"`
	Number      uint64 `json:"number"`
	Ready       bool   `json:"ready"`
	Loading     bool   `json:"loading"`
	Cold        bool   `json:"cold"`
	Running     int    `json:"running"`
	Waiting     int    `json:"waiting"`
}

// Prober asks one member for its state. Probe returns an error if there is no valid answer before ctx ends.
type Prober interface {
	Probe(ctx context.Context, service bool, address string) (Report, error)
}

// HTTPProber probes over HTTP/1.1 with kept connections. When ctx ends before the answer, the connection is closed, so a
// connection that went silent costs one missed probe.
type HTTPProber struct {
	client *http.Client
}

// NewHTTPProber returns an HTTPProber with its own connections.
func NewHTTPProber() *HTTPProber {
	return &HTTPProber{client: &http.Client{
		Transport: &http.Transport{
			DialContext:         (&net.Dialer{}).DialContext,
			MaxIdleConnsPerHost: 1,
			IdleConnTimeout:     probeIdleConn,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Probe implements Prober: GET /v1/state for members of groups, GET /healthz for services.
func (p *HTTPProber) Probe(ctx context.Context, service bool, address string) (Report, error) {
	path := "/v1/state"
	if service {
		path = "/healthz"
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return Report{}, fmt.Errorf("probe %s: %w", address, err)
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return Report{}, fmt.Errorf("probe %s: %w", address, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return Report{}, fmt.Errorf("probe %s: status %d", address, resp.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxProbeAnswer))
	if err != nil {
		return Report{}, fmt.Errorf("probe %s: %w", address, err)
	}
	var r Report
	if err := json.Unmarshal(body, &r); err != nil {
		return Report{}, fmt.Errorf("probe %s: %w", address, err)
	}
	if r.Incarnation == "" {
		return Report{}, fmt.Errorf("probe %s: no incarnation in the answer", address)
	}
	return r, nil
}

// Run probes all members until ctx ends and returns when the last probe has ended. It may be called once.
func (t *Table) Run(ctx context.Context) {
	t.mu.Lock()
	t.runCtx = ctx
	for _, g := range t.targets {
		if !g.removed {
			t.startMembersLocked(g)
		}
	}
	t.mu.Unlock()
	<-ctx.Done()
	t.mu.Lock()
	for _, g := range t.targets {
		t.stopMembersLocked(g)
	}
	t.mu.Unlock()
	t.wg.Wait()
}

func (t *Table) startMembersLocked(g *target) {
	if t.runCtx.Err() != nil {
		return
	}
	for _, m := range g.members {
		ctx, cancel := context.WithCancel(t.runCtx)
		m.cancel = cancel
		t.wg.Add(1)
		go t.probeMember(ctx, g, m)
	}
}

func (t *Table) stopMembersLocked(g *target) {
	for _, m := range g.members {
		if m.cancel != nil {
			m.cancel()
		}
	}
}

func (t *Table) probeMember(ctx context.Context, g *target, m *member) {
	defer t.wg.Done()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-m.kick:
		}
		t.probeOnce(ctx, g, m)
		spread := 1 + probeJitter*(2*rand.Float64()-1)
		timer.Reset(time.Duration(float64(t.opt.Probe) * spread))
	}
}

func (t *Table) probeOnce(ctx context.Context, g *target, m *member) {
	t.mu.Lock()
	service := g.spec.service()
	t.mu.Unlock()
	probeCtx, cancel := context.WithTimeout(ctx, t.opt.ProbeTimeout)
	defer cancel()
	sent := t.opt.Now()
	report, err := t.opt.Prober.Probe(probeCtx, service, m.Address)
	if ctx.Err() != nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if ctx.Err() != nil { // The member was replaced while the probe ran.
		return
	}
	t.recordLocked(g, m, report, sent, err)
	g.notify()
	if q := t.queues[g.spec.Destination]; q != nil {
		t.serveLocked(q)
	}
}

// recordLocked takes in the result of one probe that was sent at the given time.
func (t *Table) recordLocked(g *target, m *member, report Report, sent time.Duration, err error) {
	m.probedAt, m.probed, m.lastError = sent, true, err
	if err != nil {
		count(t.probes, "result", "missed")
		t.resetLocked(g, "missed_probe")
		return
	}
	count(t.probes, "result", "ok")
	switch {
	case m.report.Incarnation != "" && m.report.Incarnation != report.Incarnation:
		t.resetLocked(g, "incarnation")
	case report.Cold && (m.Address == g.spec.Address || !m.report.Cold):
		t.resetLocked(g, "cold_report")
	case m.reported && sent-m.sentAt >= t.opt.Freshness: // Probes are missing, for example because this node was paused.
		t.resetLocked(g, "missed_probe")
	}
	m.report, m.reported, m.sentAt = report, sent >= g.lostAt, sent
	if now := t.opt.Now(); t.unusable(g, now) == "" {
		g.usableAt = now
	}
}

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
	// maxProbeResponse bounds the body of a probe's answer in bytes.
	maxProbeResponse = 64 << 10
	// probeIdleTimeout closes probe connections that nothing uses any more, for example after a target was removed.
	probeIdleTimeout = 10 * time.Second
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
			IdleConnTimeout:     probeIdleTimeout,
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
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxProbeResponse))
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
	for _, tgt := range t.targets {
		if !tgt.removed {
			t.startMembersLocked(tgt)
		}
	}
	t.mu.Unlock()
	<-ctx.Done()
	t.mu.Lock()
	for _, tgt := range t.targets {
		t.stopMembersLocked(tgt)
	}
	t.mu.Unlock()
	t.probers.Wait()
}

func (t *Table) startMembersLocked(tgt *target) {
	if t.runCtx.Err() != nil {
		return
	}
	for _, m := range tgt.members {
		ctx, cancel := context.WithCancel(t.runCtx)
		m.stopProbing = cancel
		t.probers.Add(1)
		go t.probeMember(ctx, tgt, m)
	}
}

func (t *Table) stopMembersLocked(tgt *target) {
	for _, m := range tgt.members {
		if m.stopProbing != nil {
			m.stopProbing()
		}
	}
}

func (t *Table) probeMember(ctx context.Context, tgt *target, m *member) {
	defer t.probers.Done()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-m.probeRequested:
		}
		t.probeOnce(ctx, tgt, m)
		jitter := 1 + probeJitter*(2*rand.Float64()-1)
		timer.Reset(time.Duration(float64(t.options.Probe) * jitter))
	}
}

func (t *Table) probeOnce(ctx context.Context, tgt *target, m *member) {
	t.mu.Lock()
	service := tgt.spec.service()
	t.mu.Unlock()
	probeCtx, cancel := context.WithTimeout(ctx, t.options.ProbeTimeout)
	defer cancel()
	sentAt := t.options.Now()
	report, err := t.options.Prober.Probe(probeCtx, service, m.Address)
	if ctx.Err() != nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if ctx.Err() != nil { // The member was replaced while the probe ran.
		return
	}
	t.recordProbeLocked(tgt, m, report, sentAt, err)
	tgt.notify()
	if q := t.queues[tgt.spec.Destination]; q != nil {
		t.grantSlotsLocked(q)
	}
}

// recordProbeLocked takes in the result of one probe that was sent at the given time.
func (t *Table) recordProbeLocked(tgt *target, m *member, report Report, sentAt time.Duration, err error) {
	m.lastProbeSentAt, m.everProbed, m.lastProbeError = sentAt, true, err
	if err != nil {
		increment(t.probeCounter, "result", "missed")
		t.resetToColdLocked(tgt, "missed_probe")
		return
	}
	increment(t.probeCounter, "result", "ok")
	switch {
	case m.report.Incarnation != "" && m.report.Incarnation != report.Incarnation:
		t.resetToColdLocked(tgt, "incarnation")
	case report.Cold && (m.Address == tgt.spec.Address || !m.report.Cold):
		t.resetToColdLocked(tgt, "cold_report")
	case m.reportValid && sentAt-m.reportSentAt >= t.options.Freshness: // Probes are missing, for example because this node was paused.
		t.resetToColdLocked(tgt, "missed_probe")
	}
	m.report, m.reportValid, m.reportSentAt = report, sentAt >= tgt.connectionLostAt, sentAt
	if now := t.options.Now(); t.unusableReason(tgt, now) == "" {
		tgt.lastUsableAt = now
	}
}

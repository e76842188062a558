package target

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"cassiadeal.example/cassiadeal/internal/statement"
	"cassiadeal.example/cassiadeal/internal/wholebody"
)

const (
	// probeJitter is the largest random deviation of a probe interval, as a fraction of it in both directions. It keeps the
	// holders from probing in step.
	probeJitter = 0.2
	// maxProbeHeader and maxProbeResponse bound the header and the body of a probe response in bytes.
	maxProbeHeader   = 64 << 10
	maxProbeResponse = 64 << 10
	// probeIdleTimeout is the time after which an unused probe connection is closed, for example one to a removed target.
	probeIdleTimeout = 10 * time.Second
)

// Report is the state that one member returns to a probe.
type Report struct {
	Incarnation string `json:"incarnation"`
	Group       string `json:"group"`
	Number      uint64 `json:"number"`
	Ready       bool   `json:"ready"`
	Loading     bool   `json:"loading"`
	Cold        bool   `json:"cold"`
	Running     int    `json:"running"`
	Waiting     int    `json:"waiting"`
	// Statement is what the headers of the response state. It is also set if Probe returns an error but there was a response, and
	// Incarnation then is that which the headers name.
	Statement statement.Statement `json:"-"`
}

// Prober fetches the state of one member. Probe returns an error if no valid response arrives before ctx ends.
type Prober interface {
	Probe(ctx context.Context, service bool, address string) (Report, error)
}

// HTTPProber probes over persistent HTTP/1.1 connections. If ctx ends before the response, the connection is closed, so an
// unresponsive connection causes only one missed probe.
type HTTPProber struct {
	client *http.Client
}

// NewHTTPProber returns an HTTPProber that shares no connections with other clients. dial opens a TCP connection to a member; nil for
// net.Dialer.
func NewHTTPProber(dial func(ctx context.Context, address string) (net.Conn, error)) *HTTPProber {
	dialContext := (&net.Dialer{}).DialContext
	if dial != nil {
		dialContext = func(ctx context.Context, _, address string) (net.Conn, error) { return dial(ctx, address) }
	}
	return &HTTPProber{client: &http.Client{
		Transport: &http.Transport{
			DialContext:            dialContext,
			MaxIdleConnsPerHost:    1,
			IdleConnTimeout:        probeIdleTimeout,
			MaxResponseHeaderBytes: maxProbeHeader,
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
	headers := Report{Incarnation: resp.Header.Get(statement.HeaderIncarnation), Statement: statement.FromResponse(resp)}
	if resp.StatusCode != http.StatusOK {
		return headers, fmt.Errorf("probe %s: status %d", address, resp.StatusCode)
	}
	body, err := wholebody.Read(resp.Body, maxProbeResponse)
	if err != nil {
		return headers, fmt.Errorf("probe %s: %w", address, err)
	}
	r := Report{Statement: headers.Statement}
	if err := json.Unmarshal(body, &r); err != nil {
		return headers, fmt.Errorf("probe %s: %w", address, err)
	}
	if r.Incarnation == "" {
		return Report{}, fmt.Errorf("probe %s: the response has no incarnation", address)
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
		timer.Reset(time.Duration(float64(t.options.ProbeInterval) * jitter))
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
	if report.Incarnation != "" {
		// A limit is lifted only by responses to requests.
		t.options.Statements.Record(statement.Target{ID: m.Address, Incarnation: report.Incarnation}, report.Statement)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if ctx.Err() != nil { // The member was replaced or Run ended while the probe ran.
		return
	}
	t.recordProbeLocked(tgt, m, report, sentAt, err)
	tgt.notify()
	if q := t.queues[tgt.spec.Destination]; q != nil {
		t.grantSlotsLocked(q)
	}
}

// recordProbeLocked stores the result of a probe that was sent at sentAt. It resets the target to its cold limit if the
// probe failed, the member restarted, the member that gets the requests reports cold or another one turned cold, or the
// last report is as old as the freshness bound.
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
	case m.reportValid && sentAt-m.reportSentAt >= t.options.Freshness: // No probe in between, for example because this node was paused.
		t.resetToColdLocked(tgt, "missed_probe")
	}
	m.report, m.reportValid, m.reportSentAt = report, sentAt >= tgt.connectionLostAt, sentAt
	if m == tgt.members[0] {
		tgt.othersInFlight = max(0, report.Running+report.Waiting-tgt.inFlight)
	}
	if now := t.options.Now(); t.unusableReason(tgt, now) == "" {
		tgt.lastUsableAt = now
	}
}

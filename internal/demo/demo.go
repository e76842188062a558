// Package demo runs three nodes with stand-ins for the platform, the engines and a service in one process on loopback. It
// sends requests as a caller and as an operator, and prints the results.
package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"cassiadeal.example/cassiadeal/internal/node"
	"cassiadeal.example/cassiadeal/internal/settings"
)

const (
	demoTimeout  = 28 * time.Second // The demo must end in less than 30 s, even if it fails.
	readyTimeout = 15 * time.Second
	drainTimeout = 5 * time.Second // Time in which a failure domain must stop or resume serving after its state changed.
	pollInterval = 50 * time.Millisecond
	callerToken  = "demo-token"
)

// demo is the state of one run.
type demo struct {
	out        io.Writer
	standins   *standins
	nodes      []*node.Node
	runResults chan error
	revision   uint64 // Last applied revision of the rules.
	nextNode   int    // Round-robin counter of callerURL.
	client     *http.Client
}

// Main implements the subcommand.
func Main(ctx context.Context, _ []string, stdout, _ io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	d := &demo{out: stdout, client: &http.Client{Timeout: 15 * time.Second}}
	if err := d.start(); err != nil {
		return err
	}
	defer d.standins.close()
	nodesCtx, stopNodes := context.WithCancel(context.Background())
	d.runNodes(nodesCtx)
	defer func() {
		stopNodes()
		for range d.nodes {
			<-d.runResults
		}
	}()
	return d.runSteps(ctx)
}

func (d *demo) start() (err error) {
	if d.standins, err = startStandins(); err != nil {
		return err
	}
	for i, domain := range []string{"fd-a", "fd-b", "fd-b"} {
		n, err := node.New(d.settings(fmt.Sprintf("node-%c", 'a'+i), domain), discardLog())
		if err != nil {
			d.standins.close()
			return eris.Wrapf(err, "starting node %d", i)
		}
		d.nodes = append(d.nodes, n)
	}
	return nil
}

func (d *demo) settings(name, domain string) *settings.Settings {
	s := settings.Defaults()
	s.Node = settings.Node{Name: name, FailureDomain: domain}
	s.Listen = settings.Addresses{Caller: "127.0.0.1:0", Peer: "127.0.0.1:0", Operator: "127.0.0.1:0"}
	s.Advertise = s.Listen
	s.Platform.URL = "http://" + d.standins.platformAddress
	// Short times, so that the nodes don't wait long at shutdown for callers that have cached their address.
	s.Timing.AddressKeep = 500 * time.Millisecond
	s.Timing.ShutdownLimit = 3 * time.Second
	return &s
}

func discardLog() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

func (d *demo) runNodes(ctx context.Context) {
	d.runResults = make(chan error, len(d.nodes))
	for _, n := range d.nodes {
		go func() { d.runResults <- n.Run(ctx) }()
	}
}

// runSteps runs the steps in order and prints the result of each. It stops at the first that fails.
func (d *demo) runSteps(ctx context.Context) error {
	steps := []struct {
		name string
		run  func(context.Context) (string, error)
	}{
		{"apply the rules", func(ctx context.Context) (string, error) { return d.applyRules(ctx, "in") }},
		{"wait for 4 ready replicas", d.waitForReplicas},
		{"get the entry addresses", d.addresses},
		{"generate, streamed", d.generateStream},
		{"generate, JSON", d.generateJSON},
		{"stock lookup (repeatable)", d.stockLookup},
		{"booking, sent twice with one key", d.booking},
		{"take failure domain fd-a out", func(ctx context.Context) (string, error) { return d.applyRules(ctx, "out") }},
		{"serve without fd-a", d.serveWithoutDomainA},
		{"put failure domain fd-a back in", func(ctx context.Context) (string, error) { return d.applyRules(ctx, "in") }},
		{"serve with fd-a again", d.serveWithDomainA},
	}
	for i, step := range steps {
		started := time.Now()
		text, err := step.run(ctx)
		if err != nil {
			fmt.Fprintf(d.out, "%2d. %-34s FAILED: %v\n", i+1, step.name, err)
			return eris.Wrapf(err, "step %d, %s", i+1, step.name)
		}
		fmt.Fprintf(d.out, "%2d. %-34s %s (%d ms)\n", i+1, step.name, text, time.Since(started).Milliseconds())
	}
	return nil
}

// poll repeats attempt until it succeeds. After the timeout it returns the last error.
func poll(ctx context.Context, timeout time.Duration, attempt func() error) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		err := attempt()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-ticker.C:
		}
	}
}

func (d *demo) waitForReplicas(ctx context.Context) (string, error) {
	const wanted = 4
	err := poll(ctx, readyTimeout, func() error {
		status, err := d.status(ctx)
		if err != nil {
			return err
		}
		for _, dest := range status.Destinations {
			if dest.Kind == "pool" && dest.Serving >= wanted && dest.Limit > 0 {
				return nil
			}
		}
		return eris.Errorf("not all replicas serve yet: %+v", status.Destinations)
	})
	return "pool drafts serves", err
}

func (d *demo) addresses(ctx context.Context) (string, error) {
	var answer struct {
		Addresses []struct {
			Address string `json:"address"`
		} `json:"addresses"`
		KeepSeconds float64 `json:"keep_seconds"`
	}
	body, err := d.callGateway(ctx, http.MethodGet, "/v1/addresses", "", nil)
	if err != nil {
		return "", err
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		return "", err
	}
	if len(answer.Addresses) == 0 {
		return "", eris.New("the answer has no address")
	}
	return fmt.Sprintf("%d addresses, first %s, keep for %g s", len(answer.Addresses), answer.Addresses[0].Address, answer.KeepSeconds), nil
}

func (d *demo) stockLookup(ctx context.Context) (string, error) {
	body, err := d.callGateway(ctx, http.MethodGet, "/v1/services/bookings/stock/grabbers", "", nil)
	return shorten(body), err
}

// booking sends one request twice with the same idempotency key, and checks that it ran once and both answers are equal.
func (d *demo) booking(ctx context.Context) (string, error) {
	key, err := uuid.NewV7()
	if err != nil {
		return "", err
	}
	header := http.Header{"Idempotency-Key": {key.String()}}
	first, err := d.callGateway(ctx, http.MethodPost, "/v1/services/bookings/confirm", `{"kit":"hoops","count":12}`, header)
	if err != nil {
		return "", err
	}
	second, err := d.callGateway(ctx, http.MethodPost, "/v1/services/bookings/confirm", `{"kit":"hoops","count":12}`, header)
	if err != nil {
		return "", err
	}
	if string(first) != string(second) {
		return "", eris.Errorf("different answers for one idempotency key: %s and %s", first, second)
	}
	if n := d.standins.executionCount(key.String()); n != 1 {
		return "", eris.Errorf("the booking ran %d times, want 1", n)
	}
	return "same answer twice, ran once: " + shorten(first), nil
}

// serveWithoutDomainA waits until ten requests in a row are served without an engine of fd-a.
func (d *demo) serveWithoutDomainA(ctx context.Context) (string, error) {
	const wantedInARow = 10
	started := time.Now()
	served, inARow := 0, 0
	domainACount := d.standins.generateCount("fd-a")
	err := poll(ctx, drainTimeout, func() error {
		if _, err := d.generateJSON(ctx); err != nil {
			return err
		}
		served, inARow = served+1, inARow+1
		if n := d.standins.generateCount("fd-a"); n != domainACount {
			domainACount, inARow = n, 0
		}
		if inARow < wantedInARow {
			return eris.New("fd-a still receives requests")
		}
		return nil
	})
	return fmt.Sprintf("%d requests served, the last %d without fd-a, after %d ms", served, wantedInARow, time.Since(started).Milliseconds()), err
}

func (d *demo) serveWithDomainA(ctx context.Context) (string, error) {
	initialCount := d.standins.generateCount("fd-a")
	served := 0
	err := poll(ctx, drainTimeout, func() error {
		if _, err := d.generateJSON(ctx); err != nil {
			return err
		}
		served++
		if d.standins.generateCount("fd-a") == initialCount {
			return eris.New("fd-a has received no request")
		}
		return nil
	})
	return fmt.Sprintf("%d requests served, fd-a serves again", served), err
}

func shorten(body []byte) string {
	const maxBytes = 110
	if len(body) > maxBytes {
		return string(body[:maxBytes]) + "..."
	}
	return string(body)
}

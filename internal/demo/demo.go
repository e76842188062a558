// Package demo runs three nodes with stand-ins of the platform, engines and a service in one process on loopback, and
// shows what a caller and an operator see.
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
	limit        = 28 * time.Second // The demo must end in under 30 s, also when it fails.
	readyLimit   = 15 * time.Second
	drainLimit   = 5 * time.Second // The bound for a failure domain that is taken out.
	pollInterval = 50 * time.Millisecond
	token        = "demo-token"
)

// demo is one run.
type demo struct {
	out      io.Writer
	stand    *standins
	nodes    []*node.Node
	stopped  chan error
	revision uint64
	turn     int
	client   *http.Client
}

// Main implements the subcommand.
func Main(ctx context.Context, _ []string, stdout, _ io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	d := &demo{out: stdout, client: &http.Client{Timeout: 15 * time.Second}}
	if err := d.start(); err != nil {
		return err
	}
	defer d.stand.close()
	running, stop := context.WithCancel(context.Background())
	d.run(running)
	defer func() {
		stop()
		for range d.nodes {
			<-d.stopped
		}
	}()
	return d.show(ctx)
}

func (d *demo) start() (err error) {
	if d.stand, err = startStandins(); err != nil {
		return err
	}
	for i, domain := range []string{"fd-a", "fd-b", "fd-b"} {
		n, err := node.New(d.settings(fmt.Sprintf("node-%c", 'a'+i), domain), quietLog())
		if err != nil {
			d.stand.close()
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
	s.Platform.URL = "http://" + d.stand.platformAddress
	// Short times, so that the demo doesn't wait at its end for callers that keep an address.
	s.Timing.AddressKeep = 500 * time.Millisecond
	s.Timing.ShutdownLimit = 3 * time.Second
	return &s
}

func quietLog() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

func (d *demo) run(ctx context.Context) {
	d.stopped = make(chan error, len(d.nodes))
	for _, n := range d.nodes {
		go func() { d.stopped <- n.Run(ctx) }()
	}
}

// show goes through the steps and prints each result.
func (d *demo) show(ctx context.Context) error {
	steps := []struct {
		name string
		run  func(context.Context) (string, error)
	}{
		{"apply the rules", func(ctx context.Context) (string, error) { return d.apply(ctx, "in") }},
		{"wait for 4 whole replicas", d.waitForReplicas},
		{"ask which node to use", d.addresses},
		{"generate, streamed", d.generateStream},
		{"generate, JSON", d.generateJSON},
		{"stock lookup (may repeat)", d.stockLookup},
		{"booking, sent twice with one key", d.booking},
		{"take failure domain fd-a out", func(ctx context.Context) (string, error) { return d.apply(ctx, "out") }},
		{"serve without fd-a", d.serveWithout},
		{"bring failure domain fd-a back", func(ctx context.Context) (string, error) { return d.apply(ctx, "in") }},
		{"serve with fd-a again", d.serveWith},
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

// poll repeats f until it succeeds or the time is over.
func poll(ctx context.Context, limit time.Duration, f func() error) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		err := f()
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
	err := poll(ctx, readyLimit, func() error {
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
	body, err := d.call(ctx, http.MethodGet, "/v1/addresses", "", nil)
	if err != nil {
		return "", err
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		return "", err
	}
	if len(answer.Addresses) == 0 {
		return "", eris.New("no address was named")
	}
	return fmt.Sprintf("%d addresses, first %s, keep for %g s", len(answer.Addresses), answer.Addresses[0].Address, answer.KeepSeconds), nil
}

func (d *demo) stockLookup(ctx context.Context) (string, error) {
	body, err := d.call(ctx, http.MethodGet, "/v1/services/bookings/stock/grabbers", "", nil)
	return shorten(body), err
}

// booking sends one request twice and checks that it ran once.
func (d *demo) booking(ctx context.Context) (string, error) {
	key, err := uuid.NewV7()
	if err != nil {
		return "", err
	}
	header := http.Header{"Idempotency-Key": {key.String()}}
	first, err := d.call(ctx, http.MethodPost, "/v1/services/bookings/confirm", `{"kit":"hoops","count":12}`, header)
	if err != nil {
		return "", err
	}
	second, err := d.call(ctx, http.MethodPost, "/v1/services/bookings/confirm", `{"kit":"hoops","count":12}`, header)
	if err != nil {
		return "", err
	}
	if string(first) != string(second) {
		return "", eris.Errorf("two answers for one key: %s and %s", first, second)
	}
	if n := d.stand.executions(key.String()); n != 1 {
		return "", eris.Errorf("the booking ran %d times", n)
	}
	return "same answer twice, ran once: " + shorten(first), nil
}

// serveWithout waits until ten requests in a row are served without fd-a.
func (d *demo) serveWithout(ctx context.Context) (string, error) {
	const inARow = 10
	started := time.Now()
	served, quiet := 0, 0
	seen := d.stand.generates("fd-a")
	err := poll(ctx, drainLimit, func() error {
		if _, err := d.generateJSON(ctx); err != nil {
			return err
		}
		served, quiet = served+1, quiet+1
		if n := d.stand.generates("fd-a"); n != seen {
			seen, quiet = n, 0
		}
		if quiet < inARow {
			return eris.New("fd-a still gets new work")
		}
		return nil
	})
	return fmt.Sprintf("%d requests served, the last %d without fd-a, after %d ms", served, inARow, time.Since(started).Milliseconds()), err
}

func (d *demo) serveWith(ctx context.Context) (string, error) {
	before := d.stand.generates("fd-a")
	served := 0
	err := poll(ctx, drainLimit, func() error {
		if _, err := d.generateJSON(ctx); err != nil {
			return err
		}
		served++
		if d.stand.generates("fd-a") == before {
			return eris.New("fd-a got no request")
		}
		return nil
	})
	return fmt.Sprintf("%d requests served, fd-a takes part", served), err
}

func shorten(body []byte) string {
	const longest = 110
	if len(body) > longest {
		return string(body[:longest]) + "..."
	}
	return string(body)
}

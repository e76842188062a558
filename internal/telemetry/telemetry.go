// Package telemetry sets up JSON line logging and Prometheus metrics.
package telemetry

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/attribute"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"

	"cassiadeal.example/cassiadeal/internal/result"
)

// NewLogger returns a logger that writes one JSON object per line, each with the node's name. The level is a logrus level
// name such as "debug", "info", "warning" or "error"; an unknown name is an error.
func NewLogger(w io.Writer, node, level string) (*logrus.Entry, error) {
	parsedLevel, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, eris.Wrapf(err, "parse log level %q", level)
	}
	logger := logrus.New()
	logger.SetOutput(w)
	logger.SetLevel(parsedLevel)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	return logger.WithField("node", node), nil
}

// latencyBucketsSeconds are the upper bounds of the latency histogram's buckets. They are close together around the design
// targets of 33 ms and 0.42 s.
var latencyBucketsSeconds = []float64{0.001, 0.0025, 0.005, 0.01, 0.02, 0.033, 0.05, 0.1, 0.2, 0.3, 0.42, 0.6, 1, 2, 5, 10, 30, 60}

// Metrics holds the metric instruments of one daemon. It is safe for concurrent use. Refusal, Retry, Verdict, Request and Panic do nothing on a
// nil *Metrics.
type Metrics struct {
	registry  *prometheus.Registry
	provider  *sdkmetric.MeterProvider
	refusals  metric.Int64Counter
	retries   metric.Int64Counter
	verdicts  metric.Int64Counter
	requests  metric.Int64Counter
	panics    metric.Int64Counter
	latencies metric.Float64Histogram
}

// New returns metrics with a registry of their own, so that several daemons can run in one process.
func New(node string) (*Metrics, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry), otelprom.WithoutScopeInfo(), otelprom.WithoutTargetInfo())
	if err != nil {
		return nil, eris.Wrap(err, "create metrics exporter")
	}
	m := &Metrics{registry: registry, provider: sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter))}
	meter := m.Meter()
	// The exporter appends _total to counters and the unit to histograms.
	if m.refusals, err = meter.Int64Counter("cassiadeal_refusals", metric.WithDescription("Refusals by result code.")); err != nil {
		return nil, eris.Wrap(err, "create refusals counter")
	}
	if m.retries, err = meter.Int64Counter("cassiadeal_retries", metric.WithDescription("Repeated attempts by reason.")); err != nil {
		return nil, eris.Wrap(err, "create retries counter")
	}
	if m.verdicts, err = meter.Int64Counter("cassiadeal_precedence_verdicts", metric.WithDescription("Decisions on precedence by reason.")); err != nil {
		return nil, eris.Wrap(err, "create precedence verdicts counter")
	}
	if m.requests, err = meter.Int64Counter("cassiadeal_requests", metric.WithDescription("Finished requests by destination and result code.")); err != nil {
		return nil, eris.Wrap(err, "create requests counter")
	}
	if m.panics, err = meter.Int64Counter("cassiadeal_panics", metric.WithDescription("Recovered panics by part of the daemon.")); err != nil {
		return nil, eris.Wrap(err, "create panics counter")
	}
	m.latencies, err = meter.Float64Histogram("cassiadeal_request_duration", metric.WithUnit("s"),
		metric.WithDescription("Time from the arrival of a request to the end of its answer."),
		metric.WithExplicitBucketBoundaries(latencyBucketsSeconds...))
	if err != nil {
		return nil, eris.Wrap(err, "create latency histogram")
	}
	start, err := meter.Float64Gauge("cassiadeal_start_time", metric.WithUnit("s"), metric.WithDescription("Unix time of the start, by node."))
	if err != nil {
		return nil, eris.Wrap(err, "create start time gauge")
	}
	now := time.Now()
	start.Record(context.Background(), float64(now.UnixMilli())/1000, metric.WithAttributes(attribute.String("node", node)))
	return m, nil
}

// Meter returns the meter with which other packages create their instruments.
func (m *Metrics) Meter() metric.Meter { return m.provider.Meter("cassiadeal") }

// Handler serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Shutdown shuts down the meter provider.
func (m *Metrics) Shutdown(ctx context.Context) error {
	return eris.Wrap(m.provider.Shutdown(ctx), "shut down metrics")
}

// Refusal counts one refused request by its result code.
func (m *Metrics) Refusal(code result.Code) {
	if m != nil {
		m.refusals.Add(context.Background(), 1, metric.WithAttributes(attribute.String("code", code.String())))
	}
}

// Retry counts one repeated attempt. The reason must be a constant without variable parts, because each distinct reason
// creates a time series.
func (m *Metrics) Retry(reason string) {
	if m != nil {
		m.retries.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", reason)))
	}
}

// Verdict counts one decision on precedence. The reason must be a constant, as for Retry.
func (m *Metrics) Verdict(reason string) {
	if m != nil {
		m.verdicts.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", reason)))
	}
}

// Panic counts one recovered panic by the part of the daemon, which must be a constant.
func (m *Metrics) Panic(where string) {
	if m != nil {
		m.panics.Add(context.Background(), 1, metric.WithAttributes(attribute.String("where", where)))
	}
}

// Request counts one finished request and records its latency. The destination is the name of a configured pool or service.
func (m *Metrics) Request(destination string, code result.Code, latency time.Duration) {
	if m == nil {
		return
	}
	ctx, destinationLabel := context.Background(), attribute.String("destination", destination)
	m.requests.Add(ctx, 1, metric.WithAttributes(destinationLabel, attribute.String("code", code.String())))
	m.latencies.Record(ctx, latency.Seconds(), metric.WithAttributes(destinationLabel))
}

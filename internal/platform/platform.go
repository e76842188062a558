// Package platform is the client of the platform's object API and VM list. docs/protocols.md describes the wire format.
// Nodes on the users' platform (cassiadeald --platform) use the package platform at the module's root instead.
package platform

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// Errors of the client, for errors.Is.
var (
	// ErrNotFound: the object does not exist.
	ErrNotFound = errors.New("platform object not found")
	// ErrConflict: the object has another version or content than the write expected. The write is not in force. It may
	// have taken effect and been overwritten if its first reply was lost.
	ErrConflict = errors.New("platform object conflict")
	// ErrUnavailable: the read failed, or the write certainly did not take effect.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrOutcomeUnknown: the write may have taken effect or may still do so.
	ErrOutcomeUnknown = errors.New("outcome of platform write unknown")
	// ErrTooOld: the version to watch from is no longer kept; list again.
	ErrTooOld = errors.New("watch version too old")
	// ErrRejected: the platform refused the request as invalid, for example because it is above 1 MB.
	ErrRejected = errors.New("platform rejected the request")
)

const (
	defaultTimeout = time.Second
	maxHeaderBytes = 64 << 10 // Of a response.
	// maxResponseBytes bounds a response. It exceeds the size of a list of a few dozen objects of 1 MB.
	maxResponseBytes = 64 << 20
	// maxIdleConns is the number of idle connections kept; a node has a handful of concurrent calls.
	maxIdleConns = 16
	// idleConnTimeout bounds how long an unused connection is kept. Load balancers and NAT drop idle flows silently.
	idleConnTimeout = 20 * time.Second
)

// Object is a stored object. Data is its JSON value. Versions of Client only grow, also when the store gives its own out
// again after a restore.
type Object struct {
	Kind, Name string
	Version    uint64
	Data       []byte
}

// Event is a change of an object. Data is nil if Deleted.
type Event struct {
	Object
	Deleted bool
}

// Options configures a Client.
type Options struct {
	// BaseURL is scheme and authority of the platform, for example "http://10.0.0.1:7000".
	BaseURL string
	// Client names this node in the header X-Client.
	Client string
	// Timeout bounds each call, connection setup included; for a watch its wait is added. Default 1 s.
	Timeout time.Duration
	// Meter counts calls; nil counts in memory only.
	Meter metric.Meter
	Log   logrus.FieldLogger
}

// CallKey identifies a counter of calls.
type CallKey struct{ Kind, Operation, Result string }

// Client calls the platform. It is safe for concurrent use.
type Client struct {
	opts      Options
	http      *http.Client
	transport *http.Transport
	counter   metric.Int64Counter

	restoreCounter metric.Int64Counter

	mu         sync.Mutex // Guards the fields below.
	callCounts map[CallKey]uint64
	era        uint64 // Highest era that an answer has stated.
	eraKnown   bool   // An answer has stated era.
	onRestore  []func()
	eraStart   EraStart // Of the era that it names; valid if that is the present one.
}

// New returns a client.
func New(opts Options) *Client {
	if opts.Timeout <= 0 {
		opts.Timeout = defaultTimeout
	}
	if opts.Log == nil {
		discardLogger := logrus.New()
		discardLogger.SetOutput(io.Discard)
		opts.Log = discardLogger
	}
	if opts.Meter == nil {
		opts.Meter = noop.NewMeterProvider().Meter("platform")
	}
	opts.BaseURL = strings.TrimRight(opts.BaseURL, "/")
	counter, err := opts.Meter.Int64Counter("cassiadeal.platform.calls",
		metric.WithDescription("Calls to the platform by kind, method and result"), metric.WithUnit("{call}"))
	if err != nil {
		opts.Log.WithError(err).Error("cannot create the counter of platform calls")
		counter = noop.Int64Counter{}
	}
	restores, err := opts.Meter.Int64Counter("cassiadeal.platform.restores",
		metric.WithDescription("Returns of the platform's store from an older copy that this node has noticed"), metric.WithUnit("{restore}"))
	if err != nil {
		opts.Log.WithError(err).Error("cannot create the counter of restores")
		restores = noop.Int64Counter{}
	}
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: opts.Timeout}).DialContext,
		MaxIdleConns:        maxIdleConns,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleConnTimeout,

		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	return &Client{
		opts:       opts,
		http:       &http.Client{Transport: transport},
		transport:  transport,
		counter:    counter,
		callCounts: map[CallKey]uint64{},

		restoreCounter: restores,
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Stats returns the number of calls so far by kind, operation and result. The VM list has the kind "vms".
func (c *Client) Stats() map[CallKey]uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := make(map[CallKey]uint64, len(c.callCounts))
	for k, n := range c.callCounts {
		counts[k] = n
	}
	return counts
}

func (c *Client) countCall(ctx context.Context, kind, operation, result string) {
	c.mu.Lock()
	c.callCounts[CallKey{kind, operation, result}]++
	c.mu.Unlock()
	c.counter.Add(context.WithoutCancel(ctx), 1, metric.WithAttributes(
		attribute.String("kind", kind), attribute.String("method", operation), attribute.String("result", result)))
}

// Encode returns the protojson form of a stored object.
func Encode(m proto.Message) ([]byte, error) {
	data, err := protojson.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode %s: %w", m.ProtoReflect().Descriptor().Name(), err)
	}
	return data, nil
}

// Decode parses the protojson form of a stored object. Unknown fields are ignored, so that a newer node may add some.
func Decode(data []byte, m proto.Message) error {
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(data, m); err != nil {
		return fmt.Errorf("decode %s: %w", m.ProtoReflect().Descriptor().Name(), err)
	}
	return nil
}

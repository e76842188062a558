package load

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// answerGrace is the time after the request's timeout in which the system's own refusal may still arrive.
	answerGrace = 500 * time.Millisecond
	// dialTimeout bounds the time to connect to an address that drops packets.
	dialTimeout = time.Second
	// maxAttempts is the number of addresses to which one request is sent at most.
	maxAttempts = 4
	// maxAnswerBytes bounds one answer held in memory.
	maxAnswerBytes = 16 << 20
)

// newClient returns a client that keeps enough idle connections for the requests in flight.
func newClient(experiment *Experiment) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConns:        experiment.MaxInFlight,
		MaxIdleConnsPerHost: experiment.MaxInFlight,
		DisableCompression:  true,
	}}
}

// request is one request. Its content depends only on its section, the seed and its number, except for the
// Idempotency-Key, which is new in each run, and for direct traffic the X-Request-Id and the engine's current group.
type request struct {
	traffic       *Traffic
	number        uint64
	intendedStart time.Time // Latency is measured from here.
	rng           *rand.Rand

	method            string
	path              string
	body              string
	header            http.Header
	key               string // Idempotency-Key, only set for services with repeat=never.
	prompt            string
	resendAfterAnswer bool
	readResponse      func(*request, *http.Response) (out outcome, err error)
}

// send performs the request, at several addresses if necessary. It calls onFailover with the name of each outcome that
// made it use another address.
func (r *request) send(ctx context.Context, client *http.Client, resolver *addressResolver,
	onFailover func(name string)) outcome {
	ctx, cancel := context.WithTimeout(ctx, r.traffic.Timeout+answerGrace)
	defer cancel()
	out := r.tryAddresses(ctx, client, resolver, onFailover)
	out.wholeResponse = time.Since(r.intendedStart)
	return out
}

func (r *request) tryAddresses(ctx context.Context, client *http.Client, resolver *addressResolver,
	onFailover func(name string)) outcome {
	if r.traffic.Direct {
		return r.sendTo(ctx, client, r.traffic.Engine)
	}
	addresses := resolver.resolve(ctx)
	if len(addresses) == 0 {
		return transportOutcome(ctx, false)
	}
	first := r.rng.IntN(len(addresses))
	var out outcome
	for i := range min(len(addresses), maxAttempts) {
		if i > 0 {
			onFailover(out.name)
		}
		out = r.sendTo(ctx, client, addresses[(first+i)%len(addresses)])
		if !out.retryElsewhere {
			break
		}
	}
	return out
}

func (r *request) sendTo(ctx context.Context, client *http.Client, address string) outcome {
	// The wrapper hides the body's type, so that the transport can't resend the request by itself after a connection failed.
	var body io.Reader
	if r.body != "" {
		body = struct{ io.Reader }{strings.NewReader(r.body)}
	}
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+address+r.path, body)
	if err != nil {
		return clientOutcome(fmt.Sprintf("client_request: %v", err))
	}
	req.ContentLength = int64(len(r.body))
	req.Header = r.header
	resp, err := client.Do(req)
	if err != nil {
		return transportOutcome(ctx, false)
	}
	defer func() { _ = resp.Body.Close() }()
	out, err := r.readResponse(r, resp)
	if err != nil {
		failure := transportOutcome(ctx, true)
		failure.firstToken, failure.tokenGaps = out.firstToken, out.tokenGaps
		return failure
	}
	return out
}

// readBody reads a whole answer. The error for an answer beyond maxAnswerBytes makes it count as truncated.
func readBody(resp *http.Response) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err == nil && len(data) > maxAnswerBytes {
		return nil, fmt.Errorf("the answer is larger than %d bytes", maxAnswerBytes)
	}
	return data, err
}

func callerHeader(traffic *Traffic) http.Header {
	header := http.Header{}
	header.Set("Authorization", "Bearer "+traffic.Token)
	header.Set("X-Timeout-Ms", strconv.FormatInt(max(1, traffic.Timeout.Milliseconds()), 10))
	return header
}

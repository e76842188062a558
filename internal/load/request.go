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
	// answerGrace lets the system's own refusal arrive before the tool gives up.
	answerGrace = 500 * time.Millisecond
	// dialTimeout bounds the wait for an address that drops packets.
	dialTimeout = time.Second
	// maxAttempts bounds the addresses that one request tries.
	maxAttempts = 4
	// maxAnswerBytes bounds one answer held in memory.
	maxAnswerBytes = 16 << 20
)

// newClient returns a client that keeps enough connections for the requests in flight.
func newClient(e *Experiment) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConns:        e.MaxInFlight,
		MaxIdleConnsPerHost: e.MaxInFlight,
		DisableCompression:  true,
	}}
}

// request is one request with its content, which depends on the seed and its number alone.
type request struct {
	t      *Traffic
	number uint64
	start  time.Time // Intended.
	rng    *rand.Rand

	method string
	path   string
	body   string
	header http.Header
	key    string // Idempotency-Key, empty for calls that may be repeated.
	prompt string
	resend bool
	read   func(*request, *http.Response) (out outcome, err error)
}

// send performs the request, at several addresses if necessary. failed is told the name of each result that led to
// another address.
func (r *request) send(ctx context.Context, client *http.Client, book *addressBook, failed func(name string)) outcome {
	ctx, cancel := context.WithTimeout(ctx, r.t.Timeout+answerGrace)
	defer cancel()
	out := r.try(ctx, client, book, failed)
	out.whole = time.Since(r.start)
	return out
}

func (r *request) try(ctx context.Context, client *http.Client, book *addressBook, failed func(name string)) outcome {
	if r.t.Direct {
		return r.attempt(ctx, client, r.t.Engine)
	}
	addresses := book.addresses(ctx)
	if len(addresses) == 0 {
		return transportOutcome(ctx, false)
	}
	first := r.rng.IntN(len(addresses))
	var out outcome
	for i := range min(len(addresses), maxAttempts) {
		if i > 0 {
			failed(out.name)
		}
		out = r.attempt(ctx, client, addresses[(first+i)%len(addresses)])
		if !out.another {
			break
		}
	}
	return out
}

func (r *request) attempt(ctx context.Context, client *http.Client, address string) outcome {
	// The body's type is hidden, so that the transport never sends a request again by itself on a dead connection.
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
	out, err := r.read(r, resp)
	if err != nil {
		failure := transportOutcome(ctx, true)
		failure.firstToken, failure.gaps = out.firstToken, out.gaps
		return failure
	}
	return out
}

// readBounded reads a whole answer. An answer beyond the bound counts as cut off.
func readBounded(resp *http.Response) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err == nil && len(data) > maxAnswerBytes {
		return nil, fmt.Errorf("the answer is larger than %d bytes", maxAnswerBytes)
	}
	return data, err
}

func callerHeader(t *Traffic) http.Header {
	h := http.Header{}
	h.Set("Authorization", "Bearer "+t.Token)
	h.Set("X-Timeout-Ms", strconv.FormatInt(max(1, t.Timeout.Milliseconds()), 10))
	return h
}

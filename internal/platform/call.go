package platform

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"cassiadeal.example/cassiadeal/internal/wholebody"
)

// request describes one HTTP request to the platform.
type request struct {
	kind, operation                 string // Counter labels.
	httpMethod, path                string
	conditionHeader, conditionValue string // Condition header of a write, if any.
	era                             string // Era for which a write is meant; empty if it has no such condition.
	body                            []byte
	timeout                         time.Duration
}

// response is a complete HTTP response.
type response struct {
	status  int
	era     uint64
	version uint64
	body    []byte
}

// callError is the error of a request without a complete response.
type callError struct {
	err error
	// sent is false if no connection was obtained, so that the platform can't have received the request.
	sent bool
}

func (e *callError) Error() string { return e.err.Error() }
func (e *callError) Unwrap() error { return e.err }

func objectPath(kind, name string) string {
	return "/v1/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

// do sends a request, receives its response and counts the call.
func (c *Client) do(ctx context.Context, r request) (*response, error) {
	resp, err := c.exchange(ctx, r)
	resultLabel := "error"
	if err == nil {
		resultLabel = strconv.Itoa(resp.status)
	} else if errors.Is(err, context.DeadlineExceeded) {
		resultLabel = "timeout"
	}
	c.countCall(ctx, r.kind, r.operation, resultLabel)
	return resp, err
}

func (c *Client) exchange(ctx context.Context, r request) (*response, error) {
	if r.timeout == 0 {
		r.timeout = c.opts.Timeout
	}
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	req, err := c.newRequest(httptrace.WithClientTrace(ctx, trace), r)
	if err != nil {
		return nil, &callError{err: err}
	}
	httpResp, err := c.http.Do(req)
	if err != nil {
		return nil, c.transportError(ctx, err, sent.Load())
	}
	defer func() { _ = httpResp.Body.Close() }() // After an incomplete read this discards the connection.
	body, err := wholebody.Read(httpResp.Body, maxResponseBytes)
	if err != nil {
		return nil, c.transportError(ctx, err, true)
	}
	resp := &response{status: httpResp.StatusCode, body: body}
	if resp.era, err = c.readEra(httpResp.Header); err != nil {
		return nil, &callError{err: err, sent: true}
	}
	if v := httpResp.Header.Get("X-Object-Version"); v != "" {
		if resp.version, err = strconv.ParseUint(v, 10, 64); err != nil {
			return nil, &callError{err: fmt.Errorf("header X-Object-Version %q: %w", v, err), sent: true}
		}
		resp.version = VersionIn(resp.era, resp.version)
	}
	return resp, nil
}

// newRequest builds the HTTP request. The body of a write has no GetBody, so http.Transport can't send it a second time
// on another connection; only the code of this package repeats a write.
func (c *Client) newRequest(ctx context.Context, r request) (*http.Request, error) {
	var body io.Reader
	if r.body != nil {
		body = io.NopCloser(bytes.NewReader(r.body))
	}
	req, err := http.NewRequestWithContext(ctx, r.httpMethod, c.opts.BaseURL+r.path, body)
	if err != nil {
		return nil, err
	}
	if r.body != nil {
		req.ContentLength = int64(len(r.body))
		req.Header.Set("Content-Type", "application/json")
	}
	if r.conditionHeader != "" {
		req.Header.Set(r.conditionHeader, r.conditionValue)
	}
	if r.era != "" {
		req.Header.Set(eraHeader, r.era)
	}
	req.Header.Set("X-Client", c.opts.Client)
	return req, nil
}

// transportError wraps an error of the HTTP transport. After a timeout or cancellation it also closes the idle connections:
// when one connection stops responding, those opened to the same address before are likely to be unresponsive too.
func (c *Client) transportError(ctx context.Context, err error, sent bool) error {
	if ctx.Err() != nil {
		c.transport.CloseIdleConnections()
	}
	return &callError{err: err, sent: sent}
}

// readError maps a failed read to an error of this package.
func readError(operation string, resp *response, err error) error {
	switch {
	case err != nil:
		return fmt.Errorf("%s: %w: %w", operation, ErrUnavailable, err)
	case resp.status == http.StatusNotFound:
		return fmt.Errorf("%s: %w", operation, ErrNotFound)
	case resp.status == http.StatusGone:
		return fmt.Errorf("%s: %w", operation, ErrTooOld)
	case resp.status >= 400 && resp.status < 500 && resp.status != http.StatusTooManyRequests:
		return fmt.Errorf("%s: %w: status %d", operation, ErrRejected, resp.status)
	default:
		return fmt.Errorf("%s: %w: status %d", operation, ErrUnavailable, resp.status)
	}
}

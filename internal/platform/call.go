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
)

// request is one HTTP exchange with the platform.
type request struct {
	kind, method string // Counter labels.
	verb, path   string
	header, val  string // Condition header of a write, if any.
	body         []byte
	timeout      time.Duration
}

// answer is a complete HTTP answer.
type answer struct {
	status  int
	version uint64
	body    []byte
}

// callError tells of an exchange without a complete answer.
type callError struct {
	err error
	// sent is false if no connection was obtained, so that the platform can't have seen the request.
	sent bool
}

func (e *callError) Error() string { return e.err.Error() }
func (e *callError) Unwrap() error { return e.err }

func objectPath(kind, name string) string {
	return "/v1/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

// do performs one exchange and counts it.
func (c *Client) do(ctx context.Context, r request) (*answer, error) {
	a, err := c.exchange(ctx, r)
	label := "error"
	if err == nil {
		label = strconv.Itoa(a.status)
	} else if errors.Is(err, context.DeadlineExceeded) {
		label = "timeout"
	}
	c.count(ctx, r.kind, r.method, label)
	return a, err
}

func (c *Client) exchange(ctx context.Context, r request) (*answer, error) {
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
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, c.failed(ctx, err, sent.Load())
	}
	defer func() { _ = resp.Body.Close() }() // The body was read or the connection is given up.
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBody+1))
	if err == nil && len(body) > maxBody {
		err = fmt.Errorf("answer above %d bytes", maxBody)
	}
	if err != nil {
		return nil, c.failed(ctx, err, true)
	}
	a := &answer{status: resp.StatusCode, body: body}
	if v := resp.Header.Get("X-Object-Version"); v != "" {
		if a.version, err = strconv.ParseUint(v, 10, 64); err != nil {
			return nil, &callError{err: fmt.Errorf("header X-Object-Version %q: %w", v, err), sent: true}
		}
	}
	return a, nil
}

// newRequest builds the HTTP request. The body of a write has no GetBody, so http.Transport can't send it a second time
// on another connection; a repeated write is always this package's own decision.
func (c *Client) newRequest(ctx context.Context, r request) (*http.Request, error) {
	var body io.Reader
	if r.body != nil {
		body = io.NopCloser(bytes.NewReader(r.body))
	}
	req, err := http.NewRequestWithContext(ctx, r.verb, c.opts.BaseURL+r.path, body)
	if err != nil {
		return nil, err
	}
	if r.body != nil {
		req.ContentLength = int64(len(r.body))
		req.Header.Set("Content-Type", "application/json")
	}
	if r.header != "" {
		req.Header.Set(r.header, r.val)
	}
	req.Header.Set("X-Client", c.opts.Client)
	return req, nil
}

// failed wraps a transport error. After a timeout the idle connections are dropped too: when one connection went silent,
// those opened to the same address before are likely to be silent as well.
func (c *Client) failed(ctx context.Context, err error, sent bool) error {
	if ctx.Err() != nil {
		c.transport.CloseIdleConnections()
	}
	return &callError{err: err, sent: sent}
}

// readError maps a failed read to an error of this package.
func readError(what string, a *answer, err error) error {
	switch {
	case err != nil:
		return fmt.Errorf("%s: %w: %w", what, ErrUnavailable, err)
	case a.status == http.StatusNotFound:
		return fmt.Errorf("%s: %w", what, ErrNotFound)
	case a.status == http.StatusGone:
		return fmt.Errorf("%s: %w", what, ErrTooOld)
	case a.status >= 400 && a.status < 500 && a.status != http.StatusTooManyRequests:
		return fmt.Errorf("%s: %w: status %d", what, ErrRejected, a.status)
	default:
		return fmt.Errorf("%s: %w: status %d", what, ErrUnavailable, a.status)
	}
}

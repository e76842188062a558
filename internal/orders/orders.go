// Package orders sends fenced orders to model engines and reads their state.
package orders

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"cassiadeal.example/cassiadeal/internal/wholebody"
)

// Action is the kind of an order.
type Action string

// Actions that engines accept.
const (
	Join  Action = "join"
	Leave Action = "leave"
)

// Order is the body of POST /v1/orders.
type Order struct {
	// Fence is the fencing number: the version of the plan that the order follows from. An engine that checks fencing numbers
	// refuses an order whose number is lower than that of one it has accepted.
	Fence   uint64   `json:"fence"`
	Action  Action   `json:"action"`
	Group   string   `json:"group"`
	Number  uint64   `json:"number"` // Number of the group's composition.
	Rank    uint32   `json:"rank"`
	Size    uint32   `json:"size"`
	Members []string `json:"members"` // host:port by rank.
	Model   string   `json:"model"`
	Pool    string   `json:"pool"`
}

// State is the answer to GET /v1/state.
type State struct {
	VM          string   `json:"vm"`
	Incarnation string   `json:"incarnation"`
	Group       string   `json:"group"` // Empty if the engine is in no group.
	Number      uint64   `json:"number"`
	Rank        uint32   `json:"rank"`
	Size        uint32   `json:"size"`
	Pool        string   `json:"pool"`
	Model       string   `json:"model"`
	Loading     bool     `json:"loading"`
	Ready       bool     `json:"ready"`
	Cold        bool     `json:"cold"`
	Running     int      `json:"running"`     // Requests being run, as of LoadAgeMS ago.
	Waiting     int      `json:"waiting"`     // Requests waiting in the engine, as of LoadAgeMS ago.
	LoadAgeMS   int64    `json:"load_age_ms"` // Age of Running and Waiting in milliseconds.
	Weights     []string `json:"weights"`     // Models whose weights the VM holds.
	TimeUnixMS  int64    `json:"time_unix_ms"`
}

// FencedError means that the engine refused an order because it has accepted one with a higher fencing number.
type FencedError struct {
	Sent, Current uint64
}

// Error implements error.
func (e *FencedError) Error() string {
	return fmt.Sprintf("order with fencing number %d refused: engine has accepted number %d", e.Sent, e.Current)
}

// ErrOutcomeUnknown means that an order may have been carried out, or may still be.
var ErrOutcomeUnknown = errors.New("outcome of the order unknown")

// ErrNotSent means that an order did not reach the engine.
var ErrNotSent = errors.New("order not sent")

const (
	defaultTimeout = 2 * time.Second // The default of order_delivery.
	// maxHeaderBytes and maxResponseBytes bound the header and the body of a response. Many engines are called at the same time.
	maxHeaderBytes   = 64 << 10
	maxResponseBytes = 64 << 10
)

// Options configures a Client.
type Options struct {
	Timeout time.Duration // Limit for one call, including connecting; 2 s if zero.
	// Heard is called with each response of the engine at an address, whatever its status, before its body is read; nil for none.
	Heard func(address string, resp *http.Response)
	// Dial opens a TCP connection to an engine; nil for net.Dialer.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Client calls engines over HTTP. Every call has its own connection, because http.Transport may send a request again if a
// reused connection turns out to be closed.
type Client struct {
	http  *http.Client
	heard func(address string, resp *http.Response)
}

// New returns a Client.
func New(o Options) *Client {
	if o.Timeout == 0 {
		o.Timeout = defaultTimeout
	}
	if o.Heard == nil {
		o.Heard = func(string, *http.Response) {}
	}
	if o.Dial == nil {
		o.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", address)
		}
	}
	return &Client{heard: o.Heard, http: &http.Client{
		Timeout: o.Timeout,
		Transport: &http.Transport{
			DisableKeepAlives:      true,
			DialContext:            dialEngine(o),
			MaxResponseHeaderBytes: maxHeaderBytes,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// dialError means that no connection to an engine was opened, so that nothing was sent.
type dialError struct{ error }

// Unwrap supports errors.Is and errors.As.
func (e *dialError) Unwrap() error { return e.error }

func dialEngine(o Options) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, o.Timeout)
		defer cancel()
		conn, err := o.Dial(ctx, address)
		if err != nil {
			return nil, &dialError{err}
		}
		return conn, nil
	}
}

// singleUseBody hides the type of the reader, so that net/http sets no GetBody and cannot replay the request.
type singleUseBody struct{ io.Reader }

// Send sends one order without retries. It returns nil if the engine accepted it, a *FencedError if the engine refused it,
// an error that wraps ErrNotSent if nothing was sent, and one that wraps ErrOutcomeUnknown otherwise.
func (c *Client) Send(ctx context.Context, address string, o Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return fmt.Errorf("%w: encode order for %s: %w", ErrNotSent, address, err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/orders",
		singleUseBody{bytes.NewReader(body)})
	if err != nil {
		return fmt.Errorf("%w: create request for engine %q: %w", ErrNotSent, address, err)
	}
	req.ContentLength = int64(len(body))
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		if _, notConnected := errors.AsType[*dialError](err); notConnected {
			return fmt.Errorf("%w: connect to engine %s: %w", ErrNotSent, address, err)
		}
		return fmt.Errorf("%w: engine %s: %w", ErrOutcomeUnknown, address, err)
	}
	defer resp.Body.Close()
	c.heard(address, resp)
	var result struct {
		Accepted bool   `json:"accepted"`
		Fence    uint64 `json:"fence"`
	}
	err = decode(resp, &result)
	switch {
	case err != nil:
		return fmt.Errorf("%w: engine %s: status %d, decode response: %w", ErrOutcomeUnknown, address, resp.StatusCode, err)
	case resp.StatusCode == http.StatusConflict && !result.Accepted:
		return &FencedError{Sent: o.Fence, Current: result.Fence}
	case resp.StatusCode != http.StatusOK || !result.Accepted:
		return fmt.Errorf("%w: engine %s: status %d", ErrOutcomeUnknown, address, resp.StatusCode)
	}
	return nil
}

// decode decodes the whole body of a response.
func decode(resp *http.Response, value any) error {
	body, err := wholebody.Read(resp.Body, maxResponseBytes)
	if err != nil {
		return err
	}
	return json.Unmarshal(body, value)
}

// State reads the state of the engine at address.
func (c *Client) State(ctx context.Context, address string) (State, error) {
	var s State
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/state", nil)
	if err != nil {
		return s, eris.Wrapf(err, "create request for engine %q", address)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return s, eris.Wrapf(err, "get state of engine %s", address)
	}
	defer resp.Body.Close()
	c.heard(address, resp)
	if resp.StatusCode != http.StatusOK {
		return s, eris.Errorf("get state of engine %s: status %d", address, resp.StatusCode)
	}
	if err := decode(resp, &s); err != nil {
		return s, eris.Wrapf(err, "decode state of engine %s", address)
	}
	return s, nil
}

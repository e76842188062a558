package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"cassiadeal.example/cassiadeal/internal/operator"
	"cassiadeal.example/cassiadeal/internal/schema"
)

const (
	// readTimeout limits one read, so that a node that doesn't answer leaves time for reads from the next one.
	readTimeout = 3 * time.Second
	// maxReplyBytes limits a reply. The status of a system of the design size (11,000 replicas) has a few MB.
	maxReplyBytes = 64 << 20
	// pollInterval is the time between two reads while waiting for an outcome.
	pollInterval = 200 * time.Millisecond
)

// client sends requests to the operator listeners of the nodes given with --node.
type client struct {
	addresses []string
	timeout   time.Duration
	http      *http.Client
}

func newClient(addresses string, timeout time.Duration) *client {
	c := &client{timeout: timeout, http: &http.Client{
		// One connection per request: a reused one may be closed by the server, and it is then unknown whether the request
		// was sent.
		Transport:     &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
	for _, address := range strings.Split(addresses, ",") {
		if address = strings.TrimSpace(address); address != "" {
			c.addresses = append(c.addresses, address)
		}
	}
	return c
}

// reply is a complete HTTP response.
type reply struct {
	status int
	body   []byte
}

func (c *client) call(ctx context.Context, address, method, path string, body any, timeout time.Duration) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var content io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return reply{}, fmt.Errorf("encode request: %w", err)
		}
		content = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, content)
	if err != nil {
		return reply{}, exitf(ExitUsage, "node address %q: %v", address, err)
	}
	request.Header.Set("Content-Type", "application/json")
	answer, err := c.http.Do(request)
	if err != nil {
		return reply{}, err
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(io.LimitReader(answer.Body, maxReplyBytes+1))
	if err != nil {
		return reply{}, fmt.Errorf("read reply of %s: %w", address, err)
	}
	if len(data) > maxReplyBytes {
		return reply{}, fmt.Errorf("reply of %s has more than %d bytes", address, maxReplyBytes)
	}
	return reply{answer.StatusCode, data}, nil
}

// notSent reports whether the request was certainly not sent because no connection was made.
func notSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// getJSON decodes the JSON body from the first node that answers with status 200 and returns that node's address.
func (c *client) getJSON(ctx context.Context, path string, result any) (string, error) {
	var failures []string
	for _, address := range c.addresses {
		answer, err := c.call(ctx, address, http.MethodGet, path, nil, min(readTimeout, c.timeout))
		if err == nil && answer.status == http.StatusOK {
			err = json.Unmarshal(answer.body, result)
		} else if err == nil {
			err = errors.New(refusalText(answer))
		}
		if err == nil {
			return address, nil
		}
		failures = append(failures, fmt.Sprintf("%s: %v", address, err))
	}
	return "", c.noNodeError(failures)
}

// noNodeError returns the error for a request that failed at every node.
func (c *client) noNodeError(failures []string) error {
	if len(c.addresses) == 0 {
		return exitf(ExitUsage, "--node is missing")
	}
	return exitf(ExitNoNode, "no node accepted the request: %s", strings.Join(failures, "; "))
}

// refusalText describes an answer that is not a success.
func refusalText(answer reply) string {
	var refusal operator.Refusal
	if json.Unmarshal(answer.body, &refusal) != nil || refusal.Name == "" {
		return fmt.Sprintf("unexpected status %d", answer.status)
	}
	return fmt.Sprintf("%s (%d): %s", refusal.Name, refusal.Code, refusal.Message)
}

func (c *client) config(ctx context.Context) (config operator.Config, address string, err error) {
	address, err = c.getJSON(ctx, "/v1/config", &config)
	return config, address, err
}

func (c *client) status(ctx context.Context) (operator.Status, error) {
	var status operator.Status
	_, err := c.getJSON(ctx, "/v1/status", &status)
	return status, err
}

func (c *client) vms(ctx context.Context) ([]*schema.VM, error) {
	var list struct {
		VMs []json.RawMessage `json:"vms"`
	}
	if _, err := c.getJSON(ctx, "/v1/vms", &list); err != nil {
		return nil, err
	}
	vms := make([]*schema.VM, 0, len(list.VMs))
	for _, data := range list.VMs {
		vm := &schema.VM{}
		if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(data, vm); err != nil {
			return nil, fmt.Errorf("VM %s: %w", data, err)
		}
		vms = append(vms, vm)
	}
	return vms, nil
}

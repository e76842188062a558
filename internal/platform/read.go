package platform

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"cassiadeal.example/cassiadeal/internal/schema"
)

// Get returns an object.
func (c *Client) Get(ctx context.Context, kind, name string) (*Object, error) {
	operation := fmt.Sprintf("get %s/%s", kind, name)
	resp, err := c.do(ctx, request{kind: kind, operation: "get", httpMethod: http.MethodGet, path: objectPath(kind, name)})
	if err != nil || resp.status != http.StatusOK {
		return nil, readError(operation, resp, err)
	}
	if resp.version == 0 {
		return nil, fmt.Errorf("%s: %w: response without version", operation, ErrUnavailable)
	}
	return &Object{Kind: kind, Name: name, Version: resp.version, Data: resp.body}, nil
}

// List returns all objects of a kind and the version of the list, from which Watch can continue.
func (c *Client) List(ctx context.Context, kind string) ([]Object, uint64, error) {
	operation := "list " + kind
	resp, err := c.do(ctx, request{kind: kind, operation: "list", httpMethod: http.MethodGet,
		path: "/v1/objects/" + url.PathEscape(kind)})
	if err != nil || resp.status != http.StatusOK {
		return nil, 0, readError(operation, resp, err)
	}
	var parsed listResponse
	if err := parsed.decode(resp.body); err != nil {
		return nil, 0, readError(operation, nil, err)
	}
	objects := make([]Object, 0, len(parsed.Items))
	for _, item := range parsed.Items {
		objects = append(objects, Object{Kind: kind, Name: item.Name, Version: VersionIn(resp.era, item.Version), Data: item.Data})
	}
	return objects, VersionIn(resp.era, parsed.Version), nil
}

// Watch waits up to wait for changes after the version since and returns them with the version to continue from. It returns
// no event when nothing changed. After ErrTooOld, also after a restore of the store, the caller lists again.
func (c *Client) Watch(ctx context.Context, kind string, since uint64, wait time.Duration) ([]Event, uint64, error) {
	operation := fmt.Sprintf("watch %s since %d", kind, since)
	if EraOf(since) < c.Era() {
		return nil, 0, fmt.Errorf("%s: %w: the store was restored", operation, ErrTooOld)
	}
	resp, err := c.do(ctx, c.watchRequest(kind, "/v1/objects/"+url.PathEscape(kind), since, wait))
	if err != nil || resp.status != http.StatusOK {
		return nil, 0, readError(operation, resp, err)
	}
	if resp.era != EraOf(since) {
		// The restored store may have passed the version again, so the changes that it states can be incomplete.
		return nil, 0, fmt.Errorf("%s: %w: the store was restored", operation, ErrTooOld)
	}
	var parsed listResponse
	if err := parsed.decode(resp.body); err != nil {
		return nil, 0, readError(operation, nil, err)
	}
	events := make([]Event, 0, len(parsed.Events))
	for _, item := range parsed.Events {
		event := Event{Object: Object{Kind: kind, Name: item.Name, Version: VersionIn(resp.era, item.Version)}, Deleted: item.Deleted}
		if !item.Deleted {
			event.Data = item.Data
		}
		events = append(events, event)
	}
	return events, VersionIn(resp.era, parsed.Version), nil
}

func (c *Client) watchRequest(kind, path string, since uint64, wait time.Duration) request {
	query := url.Values{
		"watch":      {"1"},
		"since":      {strconv.FormatUint(StoreVersion(since), 10)},
		"timeout_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	return request{kind: kind, operation: "watch", httpMethod: http.MethodGet, path: path + "?" + query.Encode(),
		timeout: wait + c.opts.Timeout}
}

// VMs returns the VM list and its version. The list lags behind the actual state of the VMs.
func (c *Client) VMs(ctx context.Context) ([]*schema.VM, uint64, error) {
	return c.vms(ctx, request{kind: "vms", operation: "list", httpMethod: http.MethodGet, path: "/v1/vms"})
}

// WatchVMs waits up to wait for a version of the VM list after since and returns the whole list.
func (c *Client) WatchVMs(ctx context.Context, since uint64, wait time.Duration) ([]*schema.VM, uint64, error) {
	if EraOf(since) < c.Era() {
		return c.VMs(ctx)
	}
	return c.vms(ctx, c.watchRequest("vms", "/v1/vms", since, wait))
}

func (c *Client) vms(ctx context.Context, r request) ([]*schema.VM, uint64, error) {
	resp, err := c.do(ctx, r)
	if err != nil || resp.status != http.StatusOK {
		return nil, 0, readError(r.operation+" VMs", resp, err)
	}
	var parsed vmListResponse
	if err := parsed.decode(resp.body); err != nil {
		return nil, 0, readError(r.operation+" VMs", nil, err)
	}
	vms := make([]*schema.VM, 0, len(parsed.VMs))
	for _, raw := range parsed.VMs {
		vm, err := decodeVM(raw)
		if err != nil {
			c.opts.Log.WithError(err).Warning("an invalid VM in the platform's list is left out")
			continue
		}
		vms = append(vms, vm)
	}
	return vms, VersionIn(resp.era, parsed.Version), nil
}

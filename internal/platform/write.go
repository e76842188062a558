package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
)

// write is a create (version 0) or a conditional update.
type write struct {
	kind, name string
	version    uint64
	data       []byte
}

func (w write) String() string {
	if w.version == 0 {
		return fmt.Sprintf("create %s/%s", w.kind, w.name)
	}
	return fmt.Sprintf("update %s/%s version %d", w.kind, w.name, w.version)
}

// Create stores a new object and returns its version. It returns ErrConflict if the object exists with other content.
// data must contain a nonce that no other write has.
func (c *Client) Create(ctx context.Context, kind, name string, data []byte) (uint64, error) {
	return c.put(ctx, write{kind: kind, name: name, data: data})
}

// Update replaces the object if it still has the given version, and returns the new version. data must contain a nonce
// that no other write has.
func (c *Client) Update(ctx context.Context, kind, name string, version uint64, data []byte) (uint64, error) {
	if version == 0 {
		return 0, fmt.Errorf("update %s/%s without a version: %w", kind, name, ErrRejected)
	}
	return c.put(ctx, write{kind: kind, name: name, version: version, data: data})
}

// put sends a write. After a missing or inconclusive reply it reads the object back to determine the outcome. If the
// outcome is still unknown, the same write is sent once more: both copies have the same condition, so at most one takes
// effect.
func (c *Client) put(ctx context.Context, w write) (uint64, error) {
	version, err := c.putOnce(ctx, w)
	if !errors.Is(err, ErrOutcomeUnknown) || ctx.Err() != nil {
		return version, err
	}
	retryVersion, retryErr := c.putOnce(ctx, w)
	if errors.Is(retryErr, ErrUnavailable) {
		// The second copy had no effect, which doesn't decide the outcome of the first.
		return 0, err
	}
	return retryVersion, retryErr
}

func (c *Client) putOnce(ctx context.Context, w write) (uint64, error) {
	r := request{kind: w.kind, operation: "update", httpMethod: http.MethodPut, path: objectPath(w.kind, w.name), body: w.data,
		conditionHeader: "If-Match", conditionValue: strconv.FormatUint(StoreVersion(w.version), 10)}
	r.era = c.eraCondition(w.version)
	if w.version == 0 {
		r.operation, r.conditionHeader, r.conditionValue = "create", "If-None-Match", "*"
	}
	resp, err := c.do(ctx, r)
	switch {
	case err != nil && !wasSent(err):
		return 0, fmt.Errorf("%s: %w: %w", w, ErrUnavailable, err)
	case err != nil:
		return c.resolveLostReply(ctx, w, err)
	case resp.status == http.StatusOK && resp.version > 0:
		return resp.version, nil
	case resp.status == http.StatusPreconditionFailed && w.version == 0 && r.era != "" && r.era != strconv.FormatUint(resp.era, 10):
		return 0, fmt.Errorf("%s: %w: the store was restored", w, ErrUnavailable)
	case resp.status == http.StatusPreconditionFailed:
		// The object may contain an earlier copy of this write, which the caller sent before.
		return c.resolveConflict(ctx, w)
	}
	if err := writeStatusError(w, resp); !errors.Is(err, ErrOutcomeUnknown) {
		return 0, err
	}
	return c.resolveLostReply(ctx, w, fmt.Errorf("status %d", resp.status))
}

// writeStatusError maps a final status to an error. A status that an intermediary may have generated leaves the outcome
// unknown.
func writeStatusError(w write, resp *response) error {
	switch {
	case resp.status == http.StatusServiceUnavailable || resp.status == http.StatusTooManyRequests:
		return fmt.Errorf("%s: %w: status %d", w, ErrUnavailable, resp.status)
	case resp.status >= 400 && resp.status < 500:
		return fmt.Errorf("%s: %w: status %d", w, ErrRejected, resp.status)
	default:
		return fmt.Errorf("%s: %w: status %d", w, ErrOutcomeUnknown, resp.status)
	}
}

func wasSent(err error) bool {
	var callErr *callError
	return !errors.As(err, &callErr) || callErr.sent
}

// readBack reads an object after a write of unknown outcome. The write may have failed because the caller's context ended, so
// the read has its own timeout.
func (c *Client) readBack(ctx context.Context, w write) (*Object, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.opts.Timeout)
	defer cancel()
	return c.Get(ctx, w.kind, w.name)
}

// resolveLostReply determines the outcome of a write whose reply was lost. Equal content proves that it took effect, because of
// the nonce. A later version with other content proves that it is not in force and never will be: versions only grow, also across
// restores, since a write names its era, so its condition can't hold again. Everything else leaves the outcome unknown: the platform may still receive the request, and
// the read may be stale.
func (c *Client) resolveLostReply(ctx context.Context, w write, cause error) (uint64, error) {
	found, err := c.readBack(ctx, w)
	switch {
	case err != nil:
		return 0, fmt.Errorf("%s: %w: %w; read-back: %w", w, ErrOutcomeUnknown, cause, withoutErrorClass(err))
	case sameJSON(found.Data, w.data):
		return found.Version, nil
	case found.Version > w.version:
		return 0, fmt.Errorf("%s: %w: version is %d", w, ErrConflict, found.Version)
	default:
		return 0, fmt.Errorf("%s: %w: %w; version is still %d", w, ErrOutcomeUnknown, cause, found.Version)
	}
}

// resolveConflict determines the outcome after the status "precondition failed": success if the object contains this same
// write.
func (c *Client) resolveConflict(ctx context.Context, w write) (uint64, error) {
	found, err := c.readBack(ctx, w)
	switch {
	case errors.Is(err, ErrNotFound):
		return 0, fmt.Errorf("%s: %w: the object no longer exists", w, ErrConflict)
	case err != nil:
		return 0, fmt.Errorf("%s: %w: precondition failed; read-back: %w", w, ErrOutcomeUnknown, withoutErrorClass(err))
	case sameJSON(found.Data, w.data):
		return found.Version, nil
	default:
		return 0, fmt.Errorf("%s: %w: version is %d", w, ErrConflict, found.Version)
	}
}

// Delete removes the object if it still has the given version. If the reply is lost,
// Delete succeeds if the object no longer exists.
func (c *Client) Delete(ctx context.Context, kind, name string, version uint64) error {
	w := write{kind: kind, name: name, version: version}
	era := c.eraCondition(version)
	resp, err := c.do(ctx, request{kind: kind, operation: "delete", httpMethod: http.MethodDelete, path: objectPath(kind, name),
		conditionHeader: "If-Match", conditionValue: strconv.FormatUint(StoreVersion(version), 10), era: era})
	switch {
	case err != nil && !wasSent(err):
		return fmt.Errorf("delete %s/%s: %w: %w", kind, name, ErrUnavailable, err)
	case err != nil:
		return c.resolveLostDelete(ctx, w, err)
	case resp.status == http.StatusNoContent || resp.status == http.StatusOK:
		return nil
	case resp.status == http.StatusNotFound:
		return fmt.Errorf("delete %s/%s: %w", kind, name, ErrNotFound)
	case resp.status == http.StatusPreconditionFailed:
		return fmt.Errorf("delete %s/%s version %d: %w", kind, name, version, ErrConflict)
	default:
		return writeStatusError(w, resp)
	}
}

func (c *Client) resolveLostDelete(ctx context.Context, w write, cause error) error {
	found, err := c.readBack(ctx, w)
	switch {
	case errors.Is(err, ErrNotFound):
		return nil
	case err == nil && found.Version > w.version:
		return fmt.Errorf("delete %s/%s: %w: version is %d", w.kind, w.name, ErrConflict, found.Version)
	default:
		return fmt.Errorf("delete %s/%s: %w: %w", w.kind, w.name, ErrOutcomeUnknown, cause)
	}
}

// withoutErrorClass returns an error with the text of a read-back error but without its class, so that an unknown outcome
// doesn't also match ErrUnavailable or ErrNotFound, which state that nothing was written.
func withoutErrorClass(err error) error { return errors.New(err.Error()) }

// sameJSON compares two JSON values; the platform may store them with other white space.
func sameJSON(a, b []byte) bool {
	if bytes.Equal(a, b) {
		return true
	}
	var compactA, compactB bytes.Buffer
	return json.Compact(&compactA, a) == nil && json.Compact(&compactB, b) == nil && bytes.Equal(compactA.Bytes(), compactB.Bytes())
}

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

// put sends a write and settles a missing or doubtful reply by reading the object back. If the object doesn't show the
// write yet, the same write is sent once more: both copies carry the same condition, so at most one takes effect.
func (c *Client) put(ctx context.Context, w write) (uint64, error) {
	version, err := c.putOnce(ctx, w)
	if !errors.Is(err, ErrOutcomeUnknown) || ctx.Err() != nil {
		return version, err
	}
	again, againErr := c.putOnce(ctx, w)
	if errors.Is(againErr, ErrUnavailable) {
		// Says nothing about the first copy.
		return 0, err
	}
	return again, againErr
}

func (c *Client) putOnce(ctx context.Context, w write) (uint64, error) {
	r := request{kind: w.kind, method: "update", verb: http.MethodPut, path: objectPath(w.kind, w.name), body: w.data,
		header: "If-Match", val: strconv.FormatUint(w.version, 10)}
	if w.version == 0 {
		r.method, r.header, r.val = "create", "If-None-Match", "*"
	}
	a, err := c.do(ctx, r)
	switch {
	case err != nil && !wasSent(err):
		return 0, fmt.Errorf("%s: %w: %w", w, ErrUnavailable, err)
	case err != nil:
		return c.settle(ctx, w, err)
	case a.status == http.StatusOK && a.version > 0:
		return a.version, nil
	case a.status == http.StatusPreconditionFailed:
		// An earlier copy of this write, sent by the caller before, may be what the object now contains.
		return c.settleConflict(ctx, w)
	}
	if err := writeStatus(w, a); !errors.Is(err, ErrOutcomeUnknown) {
		return 0, err
	}
	return c.settle(ctx, w, fmt.Errorf("status %d", a.status))
}

// writeStatus maps a final status to an error. A status that an intermediary may have made up leaves the outcome open.
func writeStatus(w write, a *answer) error {
	switch {
	case a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests:
		return fmt.Errorf("%s: %w: status %d", w, ErrUnavailable, a.status)
	case a.status >= 400 && a.status < 500:
		return fmt.Errorf("%s: %w: status %d", w, ErrRejected, a.status)
	default:
		return fmt.Errorf("%s: %w: status %d", w, ErrOutcomeUnknown, a.status)
	}
}

func wasSent(err error) bool {
	var ce *callError
	return !errors.As(err, &ce) || ce.sent
}

// readBack reads an object after a doubtful write. The caller's context may be what ended the write, so the read has its
// own time limit.
func (c *Client) readBack(ctx context.Context, w write) (*Object, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.opts.Timeout)
	defer cancel()
	return c.Get(ctx, w.kind, w.name)
}

// settle decides the outcome of a write whose reply was lost. Equal content proves that it took effect, because of the
// nonce. A later version with other content proves that it is not in force and never will be: versions only grow, so its
// condition can't hold again. Everything else proves nothing: the request may still be on its way, and a read may be
// stale.
func (c *Client) settle(ctx context.Context, w write, cause error) (uint64, error) {
	found, err := c.readBack(ctx, w)
	switch {
	case err != nil:
		return 0, fmt.Errorf("%s: %w: %w; read-back: %w", w, ErrOutcomeUnknown, cause, maskClass(err))
	case sameJSON(found.Data, w.data):
		return found.Version, nil
	case found.Version > w.version:
		return 0, fmt.Errorf("%s: %w: version is %d", w, ErrConflict, found.Version)
	default:
		return 0, fmt.Errorf("%s: %w: %w; version is still %d", w, ErrOutcomeUnknown, cause, found.Version)
	}
}

// settleConflict decides a reply "precondition failed": it is success if the object holds this very write.
func (c *Client) settleConflict(ctx context.Context, w write) (uint64, error) {
	found, err := c.readBack(ctx, w)
	switch {
	case errors.Is(err, ErrNotFound):
		return 0, fmt.Errorf("%s: %w: the object is gone", w, ErrConflict)
	case err != nil:
		return 0, fmt.Errorf("%s: %w: precondition failed; read-back: %w", w, ErrOutcomeUnknown, maskClass(err))
	case sameJSON(found.Data, w.data):
		return found.Version, nil
	default:
		return 0, fmt.Errorf("%s: %w: version is %d", w, ErrConflict, found.Version)
	}
}

// Delete removes the object if it still has the given version. A lost reply counts as success once the object is gone.
func (c *Client) Delete(ctx context.Context, kind, name string, version uint64) error {
	w := write{kind: kind, name: name, version: version}
	a, err := c.do(ctx, request{kind: kind, method: "delete", verb: http.MethodDelete, path: objectPath(kind, name),
		header: "If-Match", val: strconv.FormatUint(version, 10)})
	switch {
	case err != nil && !wasSent(err):
		return fmt.Errorf("delete %s/%s: %w: %w", kind, name, ErrUnavailable, err)
	case err != nil:
		return c.settleDelete(ctx, w, err)
	case a.status == http.StatusNoContent || a.status == http.StatusOK:
		return nil
	case a.status == http.StatusNotFound:
		return fmt.Errorf("delete %s/%s: %w", kind, name, ErrNotFound)
	case a.status == http.StatusPreconditionFailed:
		return fmt.Errorf("delete %s/%s version %d: %w", kind, name, version, ErrConflict)
	default:
		return writeStatus(w, a)
	}
}

func (c *Client) settleDelete(ctx context.Context, w write, cause error) error {
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

// maskClass keeps the text of a read-back error but not its class, so that an unknown outcome doesn't also match
// ErrUnavailable or ErrNotFound, which state that nothing was written.
func maskClass(err error) error { return errors.New(err.Error()) }

// sameJSON compares two JSON values; the platform may store them with other white space.
func sameJSON(a, b []byte) bool {
	if bytes.Equal(a, b) {
		return true
	}
	var x, y bytes.Buffer
	return json.Compact(&x, a) == nil && json.Compact(&y, b) == nil && bytes.Equal(x.Bytes(), y.Bytes())
}

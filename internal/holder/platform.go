package holder

import (
	"context"
	"errors"
	"time"
)

// Object is one object of the platform.
type Object struct {
	Kind, Name string
	Version    uint64
	Data       []byte
}

// Event is one change of an object.
type Event struct {
	Object  Object
	Deleted bool
}

// Errors of a Platform.
var (
	ErrNotFound       = errors.New("object not found")
	ErrConflict       = errors.New("object version conflict")
	ErrUnavailable    = errors.New("platform unavailable")
	ErrOutcomeUnknown = errors.New("outcome of the write unknown")
)

// Platform is the part of the object API client that this package needs.
type Platform interface {
	Get(ctx context.Context, kind, name string) (Object, error)
	List(ctx context.Context, kind string) ([]Object, uint64, error)
	Create(ctx context.Context, kind, name string, data []byte) (Object, error)
	Update(ctx context.Context, o Object) (Object, error)
	Watch(ctx context.Context, kind string, since uint64, wait time.Duration) ([]Event, uint64, error)
}

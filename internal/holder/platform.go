package holder

import (
	"context"
	"time"

	"cassiadeal.example/cassiadeal/internal/platform"
)

// Types of the object API client.
type (
	Object = platform.Object
	Event  = platform.Event
)

// Errors that the methods of a Platform return or wrap.
var (
	ErrNotFound       = platform.ErrNotFound
	ErrConflict       = platform.ErrConflict
	ErrUnavailable    = platform.ErrUnavailable
	ErrOutcomeUnknown = platform.ErrOutcomeUnknown
)

// Platform is the part of the object API client that this package needs.
type Platform interface {
	Get(ctx context.Context, kind, name string) (Object, error)
	List(ctx context.Context, kind string) ([]Object, uint64, error)
	Create(ctx context.Context, kind, name string, data []byte) (Object, error)
	Update(ctx context.Context, o Object) (Object, error)
	Watch(ctx context.Context, kind string, since uint64, wait time.Duration) ([]Event, uint64, error)
}

package groups

import "cassiadeal.example/cassiadeal/internal/holder"

// Types of the platform client and of the node list, shared with package holder.
type (
	Object   = holder.Object
	Event    = holder.Event
	Platform = holder.Platform
	Identity = holder.Identity
)

// Members provides the state of the entry nodes.
type Members interface {
	// Nodes returns all listed nodes, this one included.
	Nodes() []holder.Node
	// HasLease reports whether this node's lease in the platform is valid. A lease must count only once AfterRenew has returned without
	// an error after its renewal.
	HasLease() bool
}

// Errors of a Platform.
var (
	ErrNotFound       = holder.ErrNotFound
	ErrConflict       = holder.ErrConflict
	ErrOutcomeUnknown = holder.ErrOutcomeUnknown
)

package groups

import "cassiadeal.example/cassiadeal/internal/holder"

// Types of the platform client and of the node list, shared with package holder.
type (
	Object   = holder.Object
	Event    = holder.Event
	Platform = holder.Platform
	Members  = holder.Members
	Identity = holder.Identity
)

// Errors of a Platform.
var (
	ErrNotFound       = holder.ErrNotFound
	ErrConflict       = holder.ErrConflict
	ErrOutcomeUnknown = holder.ErrOutcomeUnknown
)

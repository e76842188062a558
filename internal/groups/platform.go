package groups

import "cassiadeal.example/cassiadeal/internal/holder"

// The platform client's types, shared with the holder tables.
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

// Package operator serves the operators' listener: health, metrics, status and configuration.
package operator

import (
	"context"

	"cassiadeal.example/cassiadeal/internal/result"
	"cassiadeal.example/cassiadeal/internal/rules"
	"cassiadeal.example/cassiadeal/internal/schema"
)

// Backend is the node as the operators' listener uses it. An error is a *result.Error if a more specific code than
// Internal applies.
type Backend interface {
	// Healthy returns nil while the process works. On an error the process should be replaced.
	Healthy() error
	// Ready returns nil while the node takes new requests, else the reason.
	Ready() error
	Status(ctx context.Context) (Status, error)
	// Config returns the configuration that this node applies; revision 0 and no rules before the first one.
	Config(ctx context.Context) (Config, error)
	// VMs returns the latest known VM list, or PlatformUnavailable if none is known.
	VMs(ctx context.Context) ([]*schema.VM, error)
	// Apply writes checked rules as the successor of the base revision and waits until they are in force everywhere or
	// its time limit ends. RevisionConflict and PlatformUnavailable: nothing was written. ApplyUnknown: the write may have
	// taken effect. NotInForce: the change was written, but is not in force everywhere.
	Apply(ctx context.Context, change Change) (Applied, error)
}

// Change is a change of the configuration whose rules have been checked.
type Change struct {
	BaseRevision uint64
	Text         string // The rules file.
	Rules        *rules.Rules
	Author       string
}

// Applied is the outcome of a written change.
type Applied struct {
	Revision uint64
	// Missing names the nodes that neither reported the revision nor are proved stopped. If it is empty, the revision is in
	// force everywhere.
	Missing []string
}

// Config is the body of GET /v1/config.
type Config struct {
	Revision uint64 `json:"revision"`
	Rules    string `json:"rules"`
	Author   string `json:"author"`
}

// ApplyRequest is the body of POST /v1/config and, without base revision and author, of POST /v1/config/check.
type ApplyRequest struct {
	BaseRevision *uint64 `json:"base_revision,omitempty"`
	Rules        string  `json:"rules"`
	Author       string  `json:"author,omitempty"`
}

// ApplyAnswer is the response body of POST /v1/config if Backend.Apply returned no error: 200 if Missing is empty, else 504.
type ApplyAnswer struct {
	Revision uint64   `json:"revision"`
	Accepted bool     `json:"accepted"`
	Missing  []string `json:"missing,omitempty"`
}

// Refusal is the response body of a refused or failed request.
type Refusal struct {
	result.Body
	Problems []rules.Problem `json:"problems,omitempty"`
}

// CheckAnswer is the body of 200 responses to POST /v1/config/check.
type CheckAnswer struct {
	// CapacityChecked is false if the node has no VM list.
	CapacityChecked bool `json:"capacity_checked"`
}

// Status is the response body of GET /v1/status. It describes the cluster as known to one node.
type Status struct {
	Node              string `json:"node"`
	Incarnation       string `json:"incarnation"`
	FailureDomain     string `json:"failure_domain"`
	State             string `json:"state"` // starting, serving or draining.
	RightToServe      bool   `json:"right_to_serve"`
	Basis             string `json:"basis"`    // platform, majority, both or none.
	InDoubt           bool   `json:"in_doubt"` // Not both of the platform lease and the majority grant the right to serve.
	ConfigRevision    uint64 `json:"config_revision"`
	PlatformContactMS int64  `json:"platform_contact_ms"` // Time since the node list from the platform was last known to be current; negative if never.

	Nodes        []NodeStatus        `json:"nodes"`
	Destinations []DestinationStatus `json:"destinations"`
	Targets      []TargetStatus      `json:"targets"`
	// StrandedVMs are live VMs in no ready group.
	StrandedVMs []string `json:"stranded_vms"`
}

// NodeStatus is the state of an entry node as known to the reporting node.
type NodeStatus struct {
	Name            string `json:"name"`
	FailureDomain   string `json:"failure_domain"`
	OperatorAddress string `json:"operator_address"`
	State           string `json:"state"` // starting, serving or draining.
	ConfigRevision  uint64 `json:"config_revision"`
	LastContactMS   int64  `json:"last_heard_ms"` // Since the last heartbeat, or since the reporting node's start if there was none.
	// Stopped is true if the node is proved stopped: its lease record has not changed for its term and the margin, and a
	// majority of the nodes has received no heartbeat from it for as long. Such a node needn't report a revision.
	Stopped bool `json:"stopped"`
}

// DestinationStatus summarizes one pool or service.
type DestinationStatus struct {
	Kind     string `json:"kind"` // pool or service.
	Name     string `json:"name"`
	Wanted   int    `json:"wanted"`  // Replicas or targets that the rules require.
	Serving  int    `json:"serving"` // Targets whose state is neither draining nor lost.
	InFlight int    `json:"in_flight"`
	Limit    int    `json:"limit"` // Sum of the current limits of the serving targets.
	Queued   int    `json:"queued"`
}

// TargetStatus is one replica group or service target.
type TargetStatus struct {
	ID            string   `json:"id"`
	Kind          string   `json:"kind"` // pool or service.
	Destination   string   `json:"destination"`
	FailureDomain string   `json:"failure_domain"`
	FabricDomain  string   `json:"fabric_domain,omitempty"`
	VMs           []string `json:"vms,omitempty"` // Members of a replica group by rank.
	Holder        string   `json:"holder"`
	State         string   `json:"state"` // cold, warming, warm, draining or lost; unknown or draining if this node doesn't hold the target.
	InFlight      int      `json:"in_flight"`
	Limit         int      `json:"limit"`
	InDoubt       bool     `json:"in_doubt"` // Another node may still send to the target. Known only to the holder.
	// What the target has stated about itself in responses. Known only to the holder.
	RatePerSecond *float64 `json:"rate_per_second,omitempty"` // Requests per second that the holder may send; absent if the target has stated no limit.
	PausedMS      int64    `json:"paused_ms,omitempty"`       // For how long it still wants no request.
}

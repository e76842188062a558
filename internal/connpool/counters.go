package connpool

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// Reason is why a connection to a replica was closed. It is a label of the counter, so that only constants may be used.
type Reason string

// Reasons for closing idle connections.
const (
	ReasonExpired  Reason = "idle_time"
	ReasonLeftover Reason = "bytes_left_over" // Bytes arrived that belong to no request.
	ReasonEnded    Reason = "ended"           // The replica has closed it.
	ReasonReset    Reason = "reset"           // The replica has reset it.
	ReasonFailed   Reason = "failed"          // It got no response to probes, or failed otherwise.
	ReasonBound    Reason = "bound"           // There are too many, or none are kept.
)

// Reasons for closing the idle connections to a replica that callers give.
const (
	ReasonReplicaGone Reason = "replica_gone" // The entry is removed, or of another start or address.
	ReasonDraining    Reason = "draining"
	ReasonSuspected   Reason = "suspected"
	ReasonPathLost    Reason = "path_lost"
	ReasonRefused     Reason = "refused" // It has refused a request, or states that it wants none.
	ReasonSilent      Reason = "silent"  // It didn't respond on a kept connection.
)

// Reasons for closing a connection after its request.
const (
	ReasonUnused     Reason = "incomplete" // No complete response was read.
	ReasonStated     Reason = "stated"     // The replica has stated that it closes the connection.
	ReasonUnframed   Reason = "unframed"
	ReasonUnknownID  Reason = "request_id" // The response carries another request ID, or none.
	ReasonBadStatus  Reason = "status"     // The response tells of a failure.
	ReasonTunnel     Reason = "tunnel"
	ReasonNotEnabled Reason = "off"
)

const (
	eventOpened = "opened"
	eventReused = "reused"
	eventClosed = "closed"
)

// Stats counts events since the last call of TakeStats.
type Stats struct {
	Opened int            `json:"opened"`
	Reused int            `json:"reused"`
	Closed map[Reason]int `json:"closed"`
	Idle   int            `json:"idle"` // At the time of the call.
}

func newStats() Stats { return Stats{Closed: map[Reason]int{}} }

// Opened counts a new connection.
func (p *Pool) Opened() { p.count(eventOpened, "") }

// Closed counts a connection that was closed after its request.
func (p *Pool) Closed(reason Reason) { p.count(eventClosed, reason) }

func (p *Pool) count(event string, reason Reason) {
	p.mu.Lock()
	switch event {
	case eventOpened:
		p.sinceLast.Opened++
	case eventReused:
		p.sinceLast.Reused++
	default:
		p.sinceLast.Closed[reason]++
	}
	p.mu.Unlock()
	if p.counter != nil {
		p.counter.Add(context.Background(), 1, metric.WithAttributes(attribute.String("event", event), attribute.String("reason", string(reason))))
	}
}

// TakeStats returns what was counted since its last call.
func (p *Pool) TakeStats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	taken := p.sinceLast
	taken.Idle = p.total
	p.sinceLast = newStats()
	return taken
}

// Package fleet holds a node's view of the replicas that it sends requests to: their entries in the store, their group
// memberships and the configuration in force. It is independent of wire formats.
package fleet

import (
	"strconv"
	"time"

	"cassiadeal.example/cassiadeal/internal/statement"
)

// GroupState is the state of a group as one of its members reports it.
type GroupState string

// Group states. Only the head of a group is ever Open or Closing.
const (
	GroupJoining GroupState = "joining"
	GroupReady   GroupState = "ready"
	GroupOpen    GroupState = "open"
	GroupClosing GroupState = "closing"
	GroupBroken  GroupState = "broken"
)

// Membership is the group that a replica reports to be in.
type Membership struct {
	Name  string
	Epoch int64
	Rank  int // 0 is the head, to which requests are sent.
	State GroupState
}

// Serves reports whether the member is a head that serves its group, or finishes the requests of it.
func (m *Membership) Serves() bool {
	return m.Rank == 0 && (m.State == GroupOpen || m.State == GroupClosing)
}

// Replica is one VM that runs a model engine, or one back end of a plain service.
type Replica struct {
	ID       string
	Service  string
	Address  string // host:port
	Zone     string // Failure domain.
	Slots    int
	Draining bool
	// ColdFor is the time for which the replica stays cold, counted from the arrival of its entry.
	ColdFor time.Duration
	// StartedUnixMs is the replica's start in Unix milliseconds. It distinguishes two starts under the same ID.
	StartedUnixMs int64
	// Sequence is the number of the check-in that wrote the entry, counted from the replica's start; 0 if the entry states none.
	Sequence int64
	Fabric   string      // Fabric domain; empty for plain services.
	Staged   []string    // Models whose weights are on the replica's host.
	Models   []string    // Models whose weights are loaded.
	Group    *Membership // Nil if the replica is in no group.
}

// Head tells whether the replica is the serving head of a group.
func (r *Replica) Head() bool {
	return r.Group != nil && r.Group.Rank == 0 && r.Group.State == GroupOpen && len(r.Models) > 0
}

// HasStaged tells whether the weights of the model are on the replica's host.
func (r *Replica) HasStaged(model string) bool {
	for _, m := range r.Staged {
		if m == model {
			return true
		}
	}
	return false
}

// Incarnation identifies one start of a replica.
type Incarnation struct {
	ID            string
	StartedUnixMs int64
}

// Incarnation returns the identity of this start of the replica.
func (r *Replica) Incarnation() Incarnation { return Incarnation{r.ID, r.StartedUnixMs} }

// Target returns the identity under which the statements of this start of the replica are kept.
func (i Incarnation) Target() statement.Target {
	return statement.Target{ID: i.ID, Incarnation: strconv.FormatInt(i.StartedUnixMs, 10)}
}

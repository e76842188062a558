package planner

import (
	"errors"
	"maps"
	"time"

	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/internal/fleet"
	"cassiadeal.example/cassiadeal/internal/reach"
)

const (
	// minUnconfirmedFailures is the number of successive failed probes that count against a replica although no other node has confirmed any
	// of them: the other nodes may not answer either.
	minUnconfirmedFailures = 3
	// unconfirmedValidity is the time after which such a failure says nothing any more.
	unconfirmedValidity = 3 * time.Second
)

// unconfirmedFailures holds the successive failed probes of replicas that no other node has tried to reach meanwhile. It is not safe for
// concurrent use.
type unconfirmedFailures map[fleet.Incarnation]unconfirmedFailure

type unconfirmedFailure struct {
	count  int
	newest clock.Time
}

// confirmed reports whether the error of a call tells of the replica, and not only of this node's own path to it.
func confirmed(err error) bool { return !errors.Is(err, reach.ErrUnconfirmed) }

// provesFailure records a failed probe and reports whether it counts against the replica. pathsLost tells that this node lacks its own paths to
// most replicas.
func (u unconfirmedFailures) provesFailure(of fleet.Incarnation, err error, pathsLost bool, now clock.Time) bool {
	if confirmed(err) {
		delete(u, of)
		return true
	}
	u.prune(now)
	u[of] = unconfirmedFailure{u[of].count + 1, now}
	return u[of].count >= minUnconfirmedFailures && !pathsLost
}

// prune drops what says nothing any more.
func (u unconfirmedFailures) prune(now clock.Time) {
	maps.DeleteFunc(u, func(_ fleet.Incarnation, f unconfirmedFailure) bool { return now.Sub(f.newest) > unconfirmedValidity })
}

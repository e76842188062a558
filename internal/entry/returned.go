package entry

import (
	"context"
	"time"

	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/internal/fleet"
)

const (
	// returnQueryInterval is the time between two queries of one replica that may have returned, and returnQueryTimeout the limit of one.
	returnQueryInterval = 500 * time.Millisecond
	returnQueryTimeout  = 400 * time.Millisecond
	// maxReturnQueries bounds the queries that are started in one sweep.
	maxReturnQueries = 16
)

// returnQueries asks replicas whose entries are held since a check-in from before their removal may have written them: the answer of one
// that is leaving says so. It is used by one goroutine.
type returnQueries struct {
	node      *Node
	queriedAt map[fleet.Incarnation]clock.Time
}

// start starts the queries that are due.
func (q *returnQueries) start(ctx context.Context) {
	now, started := q.node.clock.Now(), 0
	held := map[fleet.Incarnation]bool{}
	for _, r := range q.node.registry.MayHaveReturned() {
		incarnation := r.Incarnation()
		held[incarnation] = true
		if at, queried := q.queriedAt[incarnation]; queried && now.Sub(at) < returnQueryInterval || started >= maxReturnQueries {
			continue
		}
		q.queriedAt[incarnation] = now
		started++
		go q.node.queryReturned(ctx, r)
	}
	for incarnation := range q.queriedAt {
		if !held[incarnation] {
			delete(q.queriedAt, incarnation)
		}
	}
}

// queryReturned uses the entry of a replica that answers and doesn't say that it leaves.
func (n *Node) queryReturned(ctx context.Context, r *fleet.Replica) {
	ctx, cancel := context.WithTimeout(ctx, returnQueryTimeout)
	defer cancel()
	incarnation, askedAt := r.Incarnation(), n.clock.Now()
	log := n.log.WithField("replica", r.ID)
	report, err := n.replicas.Report(ctx, incarnation, r.Address)
	switch {
	case err != nil:
		log.WithError(err).Debug("a replica that may have returned doesn't answer")
	case report.StartedUnixMs != incarnation.StartedUnixMs:
		log.WithField("born", report.StartedUnixMs).Debug("another start of a replica that may have returned answers")
	case n.statements.Leaving(incarnation.Target()):
		log.Debug("a replica that may have returned is leaving")
	case n.registry.ConfirmReturn(incarnation, askedAt):
		log.Info("a replica has returned")
	}
}

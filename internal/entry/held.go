package entry

import (
	"context"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"cassiadeal.example/cassiadeal/internal/fleet"
)

func newHeldCounter(m metric.Meter) (metric.Int64Counter, error) {
	held, err := m.Int64Counter("cassiadeal_replica_entries_held",
		metric.WithDescription("Entries of replicas that weren't used for a while, since a late check-in may have written them, by reason."))
	return held, eris.Wrap(err, "create the counter of held entries")
}

// recordHeld counts and logs the entries that aren't used for a while, and those that are used after all.
func (n *Node) recordHeld(d fleet.Departures) {
	ids := map[fleet.HoldReason][]string{}
	for _, h := range d.Held {
		ids[h.Reason] = append(ids[h.Reason], h.ID)
	}
	for reason, held := range ids {
		n.heldEntries.Add(context.Background(), int64(len(held)), metric.WithAttributes(attribute.String("reason", string(reason))))
		n.log.WithFields(logrus.Fields{"reason": string(reason), "count": len(held), "replicas": held[:min(len(held), maxLoggedDepartures)]}).
			Info("entries that a late check-in may have written aren't used for a while")
	}
	if used := d.HeldUsed; len(used) > 0 {
		n.log.WithFields(logrus.Fields{"count": len(used), "replicas": used[:min(len(used), maxLoggedDepartures)]}).
			Info("entries that weren't used for a while are still listed and used now")
	}
}

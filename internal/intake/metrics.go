package intake

import (
	"context"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// NewCounter returns a function for Options.Count that counts by reason.
func NewCounter(m metric.Meter) (func(Reason), error) {
	counter, err := m.Int64Counter("cassiadeal_intake_refusals", metric.WithDescription("Requests refused and connections ended before a request was complete, by reason."))
	if err != nil {
		return nil, eris.Wrap(err, "create the counter of refused requests")
	}
	return func(r Reason) {
		counter.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", string(r))))
	}, nil
}

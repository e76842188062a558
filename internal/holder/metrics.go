package holder

import "go.opentelemetry.io/otel/attribute"

// pathKey is the metric label for the way in which a holder changed: platform, majority or handover.
const pathKey = attribute.Key("path")

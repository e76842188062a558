package holder

import "go.opentelemetry.io/otel/attribute"

// pathKey labels changes of holders with the path taken: platform, majority or handover.
const pathKey = attribute.Key("path")

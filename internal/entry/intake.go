package entry

import (
	"net"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"cassiadeal.example/cassiadeal/internal/intake"
)

// newIntake bounds what clients make this node hold, by the memory and descriptors that the settings state.
func (n *Node) newIntake() error {
	count, err := intake.NewCounter(n.metrics.Meter())
	if err != nil {
		return err
	}
	bounds := intake.Derive(n.settings.MemoryMB, n.settings.MaxFDs)
	n.intake = intake.New(intake.Options{Bounds: bounds, Now: func() time.Duration { return time.Duration(n.clock.Now()) }, Count: count})
	n.log.WithFields(logrus.Fields{"request_bytes": bounds.Bytes, "client_connections": bounds.Clients, "check_connections": bounds.Checks, "partly_received": bounds.Parts}).Info("limits on what clients send")
	return nil
}

// configuredHead returns the limits of the configuration in force on heads.
func (n *Node) configuredHead() intake.HeadLimits {
	if cfg := n.registry.View().Config; cfg != nil {
		return intake.HeadLimits{Bytes: cfg.Limits.HeaderBytes, Time: cfg.Limits.HeaderTimeout}
	}
	return intake.HeadLimits{}
}

// tunnelHeadBytes bounds the heads of requests for tunnels, which only nodes send. Their connections are taken over by the handler as they
// are, so package intake doesn't account for them; internal/reach bounds their number.
const tunnelHeadBytes = 16 << 10

// limitListener accounts for the connections of a listener.
func (n *Node) limitListener(inner net.Listener, name string) net.Listener {
	o := intake.Listening{Refused: n.metrics.Refusal}
	switch name {
	case "tunnel":
		return inner
	case "front", "directory":
		o.From, o.HeadLimits = intake.Clients, n.configuredHead
	case "readiness":
		o.From = intake.Checks
	}
	return n.intake.Listen(inner, o)
}

// limitServer accounts for the requests of a listener's server.
func (n *Node) limitServer(server *http.Server, name string) {
	switch name {
	case "tunnel":
		server.MaxHeaderBytes = tunnelHeadBytes
	case "front":
		intake.Serve(server, intake.ReadBodies)
	default:
		intake.Serve(server, intake.NoBodies)
	}
}

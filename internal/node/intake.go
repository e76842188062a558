package node

import (
	"net"
	"net/http"

	"github.com/sirupsen/logrus"

	"cassiadeal.example/cassiadeal/internal/intake"
)

// bounds returns the bounds on what clients send, by the memory and descriptors that the settings state.
func (n *Node) bounds() intake.Bounds {
	return intake.Derive(int(n.settings.Limits.MemoryMB), int(n.settings.Limits.MaxFDs))
}

func (n *Node) newIntake() error {
	count, err := intake.NewCounter(n.metrics.Meter())
	if err != nil {
		return err
	}
	bounds := n.bounds()
	n.intake = intake.New(intake.Options{Bounds: bounds, Now: n.now, Count: count})
	n.log.WithFields(logrus.Fields{"request_bytes": bounds.Bytes, "client_connections": bounds.Clients, "check_connections": bounds.Checks,
		"partly_received": bounds.Parts}).Info("limits on what clients send")
	return nil
}

// limitCallers accounts for the connections and requests of callers.
func (n *Node) limitCallers(server *http.Server) net.Listener {
	limits := intake.HeadLimits{Bytes: int(n.settings.Limits.MaxHeaderBytes), Time: readHeaderTimeout}
	intake.Serve(server, intake.ReadBodies)
	return n.intake.Listen(n.listeners.caller, intake.Listening{From: intake.Clients, HeadLimits: func() intake.HeadLimits { return limits },
		Refused: n.metrics.Refusal})
}

// limitOperators accounts for the connections and requests of operators, and of checks.
func (n *Node) limitOperators(server *http.Server) net.Listener {
	intake.Serve(server, intake.AnyBodies)
	return n.intake.Listen(n.listeners.operator, intake.Listening{From: intake.Checks, Refused: n.metrics.Refusal})
}

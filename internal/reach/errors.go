package reach

import (
	"errors"
	"fmt"
	"net"
	"strings"
	"syscall"
)

// ErrUnconfirmed means that a connection to a replica was refused, or not opened in time, and that no other node has confirmed it: only this
// node's own path may be at fault.
var ErrUnconfirmed = errors.New("no other node has confirmed that the replica can't be reached")

// ErrTunnelLost means that the connection between the nodes has ended, and that of the replica hasn't as far as is known.
var ErrTunnelLost = errors.New("the tunnel to the replica is lost")

// tunnelError is the error of the connection between the nodes.
type tunnelError struct{ err error }

// Error implements error.
func (e *tunnelError) Error() string { return ErrTunnelLost.Error() + ": " + e.err.Error() }

// Unwrap returns the error of the connection.
func (e *tunnelError) Unwrap() error { return e.err }

// Is reports whether target is ErrTunnelLost.
func (e *tunnelError) Is(target error) bool { return target == ErrTunnelLost }

// Errors of a node that was asked for a tunnel.
var (
	errPeerNotReached = errors.New("the node doesn't reach the replica either")
	errPeerRefused    = errors.New("the node found that nothing listens there")
	errPeerDeclined   = errors.New("the node opens no tunnel to the replica")
	errOwnPaths       = errors.New("this node may have lost its own paths to all replicas")
)

// answered reports whether the error of a node that was asked for a tunnel is its answer.
func answered(err error) bool {
	return errors.Is(err, errPeerNotReached) || errors.Is(err, errPeerRefused) || errors.Is(err, errPeerDeclined)
}

// PeerError is the error of one node that was asked for a tunnel.
type PeerError struct {
	Peer string
	Err  error
}

// DialError means that no connection to a replica opened, neither directly nor through another node.
type DialError struct {
	Direct error // Nil if no direct connection was tried.
	Peers  []PeerError
	// Alone is set if there was no other node to ask.
	Alone bool
}

// Error implements error.
func (e *DialError) Error() string {
	parts := []string{}
	if e.Direct != nil {
		parts = append(parts, e.Direct.Error())
	}
	for _, p := range e.Peers {
		parts = append(parts, fmt.Sprintf("through %s: %v", p.Peer, p.Err))
	}
	return strings.Join(parts, "; ")
}

// Confirmed reports whether another node has found that it doesn't reach the replica either, or there is none to ask.
func (e *DialError) Confirmed() bool {
	if e.Alone {
		return true
	}
	for _, p := range e.Peers {
		if errors.Is(p.Err, errPeerNotReached) || errors.Is(p.Err, errPeerRefused) {
			return true
		}
	}
	return false
}

// RefusedElsewhere reports whether another node found that nothing listens at the address, and none that it doesn't reach the replica. This
// node's own connection may not have opened in time.
func (e *DialError) RefusedElsewhere() bool {
	refused := false
	for _, p := range e.Peers {
		if errors.Is(p.Err, errPeerNotReached) {
			return false
		}
		refused = refused || errors.Is(p.Err, errPeerRefused)
	}
	return refused
}

// refused reports whether every node that tried found that nothing listens at the address.
func (e *DialError) refused() bool {
	if e.Direct != nil && !errors.Is(e.Direct, syscall.ECONNREFUSED) || !e.Confirmed() {
		return false
	}
	for _, p := range e.Peers {
		if errors.Is(p.Err, errPeerNotReached) {
			return false
		}
	}
	return e.Direct != nil || len(e.Peers) > 0
}

// Is reports whether the error means the same as target. It is ECONNREFUSED only if nothing listens at the address as far as all nodes that
// tried can tell, and ErrUnconfirmed if none but this node has tried.
func (e *DialError) Is(target error) bool {
	switch target {
	case syscall.ECONNREFUSED:
		return e.refused()
	case ErrUnconfirmed:
		return !e.Confirmed()
	}
	return false
}

// Timeout implements net.Error: it reports whether a connection wasn't opened in time.
func (e *DialError) Timeout() bool {
	for _, err := range append([]error{e.Direct}, e.peerErrors()...) {
		if timeout, ok := errors.AsType[net.Error](err); ok && timeout.Timeout() || errors.Is(err, errPeerNotReached) {
			return true
		}
	}
	return false
}

// Temporary implements net.Error.
func (e *DialError) Temporary() bool { return e.Timeout() }

func (e *DialError) peerErrors() []error {
	list := make([]error, 0, len(e.Peers))
	for _, p := range e.Peers {
		list = append(list, p.Err)
	}
	return list
}

package edge

import (
	"context"
	"errors"
	"net"
	"time"

	"cassiadeal.example/cassiadeal/internal/fleet"
	"cassiadeal.example/cassiadeal/internal/reach"
)

const (
	// dialTimeout limits the wait for a connection to a replica. TCP resends a lost SYN only after a second, and another
	// replica is reached sooner.
	dialTimeout = 300 * time.Millisecond
	// peerDelay is the time without a direct connection after which another node is asked for a tunnel as well.
	peerDelay = 75 * time.Millisecond
	// tunnelReserve is the time for which a tunnel outlasts the deadline of its request.
	tunnelReserve = time.Second
)

// dial opens a connection for the request to the replica, directly or through another node, which it names.
func (c *call) dial(ctx context.Context, replica *fleet.Replica) (conn net.Conn, through string, err error) {
	timeout := min(dialTimeout, max(c.timeLeft()/2, time.Millisecond))
	if c.opt.Paths == nil {
		dialer := net.Dialer{Timeout: timeout}
		conn, err = dialer.DialContext(ctx, "tcp", replica.Address)
		return conn, "", err
	}
	opened, err := c.opt.Paths.Dial(ctx, reach.TargetOf(replica),
		reach.Request{Timeout: timeout, PeerDelay: peerDelay, Lifetime: c.timeLeft() + tunnelReserve})
	if err != nil {
		return nil, "", err
	}
	return opened, opened.Through, nil
}

// mayOpenLater reports whether an error of dial leaves open that the replica is sound: no connection opened in time, or only this node's own
// path may be at fault.
func mayOpenLater(err error) bool {
	timeout, ok := errors.AsType[net.Error](err)
	return ok && timeout.Timeout() || errors.Is(err, reach.ErrUnconfirmed)
}

package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"storj.io/drpc/drpcmigrate"
)

const (
	// tunnelPreface is what a connection for a tunnel begins with, on the port that RPCs use as well.
	tunnelPreface = "tunnel/1"
	// acceptRetryDelay is the wait after a connection could not be accepted, for example because too many files are open.
	acceptRetryDelay = 20 * time.Millisecond
)

// Mux separates the connections for tunnels from those of RPCs, which share a port.
type Mux struct {
	RPCs, Tunnels net.Listener
	mux           *drpcmigrate.ListenMux
}

// NewMux returns a Mux, which Run starts.
func NewMux(base net.Listener) *Mux {
	mux := drpcmigrate.NewListenMux(retryingListener{base}, len(tunnelPreface))
	return &Mux{RPCs: mux.Default(), Tunnels: mux.Route(tunnelPreface), mux: mux}
}

// Run accepts connections until ctx ends, and then closes the listeners.
func (m *Mux) Run(ctx context.Context) error { return eris.Wrap(m.mux.Run(ctx), "accepting peers") }

// retryingListener accepts until it is closed. ListenMux ends with the first error.
type retryingListener struct{ net.Listener }

// Accept implements net.Listener.
func (l retryingListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		time.Sleep(acceptRetryDelay)
	}
}

// DialTunnel opens a connection for a tunnel to the node at address.
func (c *Client) DialTunnel(ctx context.Context, address string) (net.Conn, error) {
	conn, err := c.connect(ctx, address)
	if err != nil {
		return nil, err
	}
	if _, err := io.WriteString(conn, tunnelPreface); err != nil {
		conn.Close()
		return nil, eris.Wrapf(err, "asking node at %s for a tunnel", address)
	}
	return conn, nil
}

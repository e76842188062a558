// Package peer carries the RPCs between entry nodes over drpc.
package peer

import (
	"context"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcwire"

	"cassiadeal.example/cassiadeal/internal/result"
	"cassiadeal.example/cassiadeal/internal/schema"
)

const (
	maxMessageBytes = 4 << 20 // Above the default limits of a request body (1 MiB) and its headers (64 KiB) together.
	idleConnExpiry  = 2 * time.Second
	// maxPooledBytes is the size up to which bodies use pooled connections.
	maxPooledBytes      = 64 << 10
	maxIdleConnsPerNode = 64
	keepAliveInterval   = 500 * time.Millisecond
	// chunkTimeout is the time without a chunk after which a dispatch that can be repeated elsewhere is cancelled. It covers three
	// keep-alive intervals and the delay of a lossy link. A request that can't be repeated has Client.lostAfter.
	chunkTimeout = 2 * time.Second
	dialTimeout  = time.Second
)

// Client calls other nodes. drpc runs one RPC at a time on a connection, so concurrent calls have their own
// connections and a slow stream doesn't delay another.
type Client struct {
	pool         *drpcpool.Pool[string, *drpcconn.Conn]
	localAddress net.Addr
	lostAfter    time.Duration // Time without a chunk after which a node has certainly lost its right to serve.
}

// NewClient returns a client that calls from the IP of listenAddress, so that a node with several networks listens and
// calls on the same one. If that IP is unspecified, the operating system chooses the source address. lostAfter is the time after which
// a silent node is lost: the term of its lease and the margin.
func NewClient(listenAddress net.Addr, lostAfter time.Duration) *Client {
	c := &Client{lostAfter: max(lostAfter, chunkTimeout)}
	if tcp, ok := listenAddress.(*net.TCPAddr); ok && !tcp.IP.IsUnspecified() {
		c.localAddress = &net.TCPAddr{IP: tcp.IP}
	}
	c.pool = drpcpool.New[string, *drpcconn.Conn](drpcpool.Options{
		Expiration:  idleConnExpiry,
		KeyCapacity: maxIdleConnsPerNode,
	})
	return c
}

// Close closes all pooled connections.
func (c *Client) Close() error { return c.pool.Close() }

func (c *Client) connect(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, LocalAddr: c.localAddress}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	return conn, eris.Wrapf(err, "connecting to node at %s", address)
}

func (c *Client) dial(ctx context.Context, address string) (*drpcconn.Conn, error) {
	conn, err := c.connect(ctx, address)
	if err != nil {
		return nil, err
	}
	return drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: managerOptions()}), nil
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes}}
}

func (c *Client) call(ctx context.Context, address string, invoke func(schema.DRPCPeerClient) error) error {
	conn := c.pool.Get(ctx, address, c.dial)
	defer func() { _ = conn.Close() }() // Returns the connection to the pool.
	return eris.Wrapf(invoke(schema.NewDRPCPeerClient(conn)), "calling node at %s", address)
}

// Heartbeat exchanges the state of two nodes.
func (c *Client) Heartbeat(ctx context.Context, address string, req *schema.HeartbeatRequest) (resp *schema.HeartbeatResponse, err error) {
	err = c.call(ctx, address, func(p schema.DRPCPeerClient) error {
		resp, err = p.Heartbeat(ctx, req)
		return err
	})
	return resp, err
}

// GetConfig returns the configuration that a node applies.
func (c *Client) GetConfig(ctx context.Context, address string) (cfg *schema.Config, err error) {
	err = c.call(ctx, address, func(p schema.DRPCPeerClient) error {
		cfg, err = p.GetConfig(ctx, &schema.GetConfigRequest{})
		return err
	})
	return cfg, err
}

// RelayConfig pushes a configuration and returns the revision that the node then applies.
func (c *Client) RelayConfig(ctx context.Context, address string, cfg *schema.Config) (revision uint64, err error) {
	err = c.call(ctx, address, func(p schema.DRPCPeerClient) error {
		resp, err := p.RelayConfig(ctx, cfg)
		revision = resp.GetRevision()
		return err
	})
	return revision, err
}

// ReportCrash sends a crash report to a node before the request is retried.
func (c *Client) ReportCrash(ctx context.Context, address string, report *schema.CrashReport) error {
	return c.call(ctx, address, func(p schema.DRPCPeerClient) error {
		_, err := p.ReportCrash(ctx, report)
		return err
	})
}

// ClaimStatus requests the state of a claim from the node that wrote it.
func (c *Client) ClaimStatus(ctx context.Context, address string, req *schema.ClaimStatusRequest) (resp *schema.ClaimStatusResponse, err error) {
	err = c.call(ctx, address, func(p schema.DRPCPeerClient) error {
		resp, err = p.ClaimStatus(ctx, req)
		return err
	})
	return resp, err
}

// Dispatch runs a request on a target held by the node at address. It passes the response chunks to sink and returns the
// end. A request that is not repeatable uses a new connection: on a pooled connection that no longer delivers data, a
// lost request could not be distinguished from a lost response. So does a large one, as drpc keeps the buffers of a connection.
func (c *Client) Dispatch(ctx context.Context, address string, req *schema.DispatchRequest, sink func(*schema.DispatchChunk) error) *schema.DispatchEnd {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	var conn drpc.Conn
	if req.Repeatable && len(req.Body) <= maxPooledBytes {
		conn = c.pool.Get(ctx, address, c.dial)
	} else {
		newConn, err := c.dial(ctx, address)
		if err != nil {
			return errorEnd(result.NodeUnreachable, true, err)
		}
		conn = newConn
	}
	defer func() { _ = conn.Close() }()
	stream, err := schema.NewDRPCPeerClient(conn).Dispatch(ctx, req)
	if err != nil {
		return errorEnd(connectionLostCode(req), false, err)
	}
	return c.receiveChunks(cancel, stream, req, sink)
}

// receiveChunks passes chunks to sink until the end chunk. The watchdog cancels the stream if no chunk arrives within
// chunkTimeout, or within lostAfter if the request may not be repeated or its answer has begun: nothing can take it over then.
func (c *Client) receiveChunks(cancel context.CancelFunc, stream schema.DRPCPeer_DispatchClient, req *schema.DispatchRequest, sink func(*schema.DispatchChunk) error) *schema.DispatchEnd {
	timeout := chunkTimeout
	if !req.Repeatable {
		timeout = c.lostAfter
	}
	watchdog := time.AfterFunc(timeout, cancel)
	defer watchdog.Stop()
	for {
		chunk, err := stream.Recv()
		if err != nil {
			return errorEnd(connectionLostCode(req), false, err)
		}
		watchdog.Stop() // Time in sink is back pressure from the caller and must not count against the node.
		if end := chunk.GetEnd(); end != nil {
			return end
		}
		if chunk.GetPart() != nil {
			if err := sink(chunk); err != nil {
				return errorEnd(connectionLostCode(req), false, err)
			}
			timeout = c.lostAfter
		}
		watchdog.Reset(timeout)
	}
}

// connectionLostCode returns the result code of a request whose stream failed before its end chunk arrived.
func connectionLostCode(req *schema.DispatchRequest) result.Code {
	switch {
	case !req.Repeatable:
		return result.OutcomeUnknown
	case req.Generate:
		return result.StreamIncomplete
	default:
		return result.TargetFailed
	}
}

func errorEnd(code result.Code, notRun bool, err error) *schema.DispatchEnd {
	return &schema.DispatchEnd{Code: int32(code), NotRun: notRun, Message: err.Error()}
}

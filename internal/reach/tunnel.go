package reach

import (
	"bufio"
	"context"
	"encoding/binary"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// A tunnel is opened by an HTTP request that is upgraded. After it, the bytes for the replica follow as they are. Those of the replica come in
// frames, since the end of a connection doesn't tell whether the replica or the node between has ended it: two bytes with the length, then
// the data; or one of the marks below.
const (
	tunnelProtocol = "cassiadeal-tunnel"
	tunnelPath     = "/tunnel/"
	// frameEnd marks that the replica has closed its connection, frameReset that the connection to it was reset.
	frameEnd   = 0
	frameReset = 0xffff
	// frameBytes is the largest frame with its length.
	frameBytes = 4 << 10
)

// openTunnel asks a node for a tunnel to a replica.
func (p *Paths) openTunnel(ctx context.Context, peer Peer, to Target, request Request) (*Conn, error) {
	conn, err := p.opt.DialPeer(ctx, peer.Address)
	if err != nil {
		return nil, eris.Wrap(err, "connect to the node")
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	reader, err := requestTunnel(ctx, conn, to, request)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	tcp, _ := conn.(*net.TCPConn)
	return &Conn{Conn: &tunnelConn{Conn: conn, reader: reader}, Through: peer.Name, tcp: tcp}, nil
}

func requestTunnel(ctx context.Context, conn net.Conn, to Target, request Request) (*bufio.Reader, error) {
	query := url.Values{"address": {to.Address}, "started": {strconv.FormatInt(to.StartedUnixMs, 10)},
		"lifetime_ms": {strconv.FormatInt(request.Lifetime.Milliseconds(), 10)}, "control": {strconv.FormatBool(request.Control)}}
	if deadline, ok := ctx.Deadline(); ok {
		query.Set("timeout_ms", strconv.FormatInt(time.Until(deadline).Milliseconds()*3/4, 10)) // The answer has to come back in time.
	}
	head := "GET " + tunnelPath + url.PathEscape(to.ID) + "?" + query.Encode() + " HTTP/1.1\r\nHost: " + conn.RemoteAddr().String() +
		"\r\nConnection: Upgrade\r\nUpgrade: " + tunnelProtocol + "\r\n\r\n"
	if _, err := io.WriteString(conn, head); err != nil {
		return nil, eris.Wrap(err, "ask for a tunnel")
	}
	reader := bufio.NewReaderSize(conn, frameBytes)
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return nil, eris.Wrap(err, "ask for a tunnel")
	}
	switch resp.StatusCode {
	case http.StatusSwitchingProtocols:
		return reader, nil
	case http.StatusBadGateway:
		return nil, errPeerRefused
	case http.StatusGatewayTimeout:
		return nil, errPeerNotReached
	}
	return nil, eris.Wrapf(errPeerDeclined, "status %d", resp.StatusCode)
}

// tunnelConn is this node's end of a tunnel.
type tunnelConn struct {
	net.Conn
	reader *bufio.Reader
	left   int   // Bytes of the present frame that haven't been read.
	ended  error // Set once the replica's end has been read.
}

// Read implements net.Conn.
func (c *tunnelConn) Read(p []byte) (int, error) {
	if c.ended != nil || len(p) == 0 {
		return 0, c.ended
	}
	if c.left == 0 {
		if err := c.readFrameLength(); err != nil {
			return 0, err
		}
	}
	n, err := c.reader.Read(p[:min(len(p), c.left)])
	c.left -= n
	return n, c.unexpected(err)
}

func (c *tunnelConn) readFrameLength() error {
	var length [2]byte
	if _, err := io.ReadFull(c.reader, length[:]); err != nil {
		return c.unexpected(err)
	}
	switch n := binary.BigEndian.Uint16(length[:]); n {
	case frameEnd:
		c.ended = io.EOF
	case frameReset:
		c.ended = &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: syscall.ECONNRESET}
	default:
		c.left = int(n)
	}
	return c.ended
}

// unexpected turns the end of the connection between the nodes into a *tunnelError: the replica may have more to send.
func (c *tunnelConn) unexpected(err error) error {
	switch err {
	case nil:
		return nil
	case io.EOF:
		err = io.ErrUnexpectedEOF
	}
	return &tunnelError{err}
}

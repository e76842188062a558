package connpool

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// peek returns why an idle connection can't be used, or "": there are bytes that belong to no request, the other end has closed or reset
// it, or probes got no response. It doesn't block.
func peek(conn *net.TCPConn) Reason {
	raw, err := conn.SyscallConn()
	if err != nil {
		return ReasonFailed
	}
	var n int
	var peekErr error
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		for {
			if n, _, peekErr = unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT); !errors.Is(peekErr, syscall.EINTR) {
				return
			}
		}
	})
	switch {
	case err != nil:
		return ReasonFailed
	case errors.Is(peekErr, syscall.EAGAIN):
		return ""
	case errors.Is(peekErr, syscall.ECONNRESET):
		return ReasonReset
	case peekErr != nil:
		return ReasonFailed
	case n == 0:
		return ReasonEnded
	}
	return ReasonLeftover
}

// Readable reports whether bytes have arrived that haven't been read.
func (c *Conn) Readable() bool { return peek(c.TCPConn) == ReasonLeftover }

// probe makes the kernel probe an idle connection. It returns a reason if the connection can't be used.
func probe(conn *net.TCPConn) Reason {
	err := conn.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: maxProbes})
	if err != nil {
		return ReasonFailed
	}
	return ""
}

// Unacknowledged reports whether the other host hasn't acknowledged all that was written. It reports false if the kernel doesn't tell.
func (c *Conn) Unacknowledged() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	queued := 0
	var queuedErr error
	err = raw.Control(func(fd uintptr) { queued, queuedErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	return err == nil && queuedErr == nil && queued > 0
}

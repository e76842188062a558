package dispatch

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	dialTimeout = 2 * time.Second
	// maxAnswerHeaders bounds the header of an answer in bytes.
	maxAnswerHeaders = 64 << 10
)

var (
	errSecondDial = errors.New("the exchange already had its connection")
	errSealed     = errors.New("the exchange was given up before its first byte")
)

// exchange is the one connection of one HTTP/1.1 exchange. It refuses a second connection, so that http.Transport can
// never send a request twice, and knows whether a byte of the request may have been sent.
type exchange struct {
	idle  time.Duration // Longest wait of one read or write; 0 for none.
	check func() error  // Called right before the first byte is written; an error seals the exchange. May be nil.

	mu     sync.Mutex
	dialed bool
	conn   net.Conn
	wrote  bool
	sealed bool
	refuse error // Error of check.
}

// transport returns the transport of this exchange only.
func (x *exchange) transport() *http.Transport {
	return &http.Transport{
		DialContext:            x.dial,
		DisableKeepAlives:      true,
		DisableCompression:     true, // The answer is passed on as it is.
		MaxResponseHeaderBytes: maxAnswerHeaders,
	}
}

func (x *exchange) dial(ctx context.Context, network, address string) (net.Conn, error) {
	x.mu.Lock()
	second := x.dialed || x.sealed
	x.dialed = true
	x.mu.Unlock()
	if second {
		return nil, errSecondDial
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.sealed {
		conn.Close()
		return nil, errSealed
	}
	x.conn = conn
	return &watchedConn{Conn: conn, exchange: x}, nil
}

// seal ends the exchange. It returns true if a byte of the request may have been sent; otherwise none ever will be.
func (x *exchange) seal() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.sealed = true
	if x.conn != nil {
		x.conn.Close()
	}
	return x.wrote
}

// watchedConn notes the first write and limits the wait of each read and write. A read waits only while the reader of
// the answer wants data, so a slow receiver of the answer doesn't count as a silent target.
type watchedConn struct {
	net.Conn
	exchange *exchange
}

func (c *watchedConn) Read(p []byte) (int, error) {
	if c.exchange.idle > 0 {
		if err := c.Conn.SetReadDeadline(time.Now().Add(c.exchange.idle)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Read(p)
}

func (c *watchedConn) Write(p []byte) (int, error) {
	if err := c.exchange.mayWrite(); err != nil {
		return 0, err
	}
	if c.exchange.idle > 0 {
		if err := c.Conn.SetWriteDeadline(time.Now().Add(c.exchange.idle)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(p)
}

// mayWrite is called before each write. check runs without the lock, since it takes the lock of the target table.
func (x *exchange) mayWrite() error {
	x.mu.Lock()
	first := !x.wrote && !x.sealed && x.check != nil
	x.mu.Unlock()
	var refuse error
	if first {
		refuse = x.check()
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if refuse != nil {
		x.sealed, x.refuse = true, refuse
		return refuse
	}
	if x.sealed {
		return errSealed
	}
	x.wrote = true
	return nil
}

// refusal returns the error of check, or nil.
func (x *exchange) refusal() error {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.refuse
}

// singleUse hides the type of a body from net/http, which could otherwise rewind it.
type singleUse struct{ io.Reader }

func (singleUse) Close() error { return nil }

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
	// maxResponseHeader bounds the header of an answer in bytes.
	maxResponseHeader = 64 << 10
)

var (
	errSecondDial = errors.New("the exchange already had its connection")
	errClosed     = errors.New("the exchange was given up before its first byte")
)

// exchange is the one connection of one HTTP/1.1 exchange. It refuses a second connection, so that http.Transport can
// never send a request twice, and knows whether a byte of the request may have been sent.
type exchange struct {
	idleTimeout time.Duration // Longest wait of one read or write; 0 for none.
	checkTarget func() error  // Called right before the first byte is written; an error seals the exchange. May be nil.

	mu         sync.Mutex
	dialed     bool
	conn       net.Conn
	wrote      bool
	closed     bool
	checkError error // Error of check.
}

// transport returns the transport of this exchange only.
func (ex *exchange) transport() *http.Transport {
	return &http.Transport{
		DialContext:            ex.dial,
		DisableKeepAlives:      true,
		DisableCompression:     true, // The answer is passed on as it is.
		MaxResponseHeaderBytes: maxResponseHeader,
	}
}

func (ex *exchange) dial(ctx context.Context, network, address string) (net.Conn, error) {
	ex.mu.Lock()
	second := ex.dialed || ex.closed
	ex.dialed = true
	ex.mu.Unlock()
	if second {
		return nil, errSecondDial
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	ex.mu.Lock()
	defer ex.mu.Unlock()
	if ex.closed {
		conn.Close()
		return nil, errClosed
	}
	ex.conn = conn
	return &exchangeConn{Conn: conn, exchange: ex}, nil
}

// seal ends the exchange. It returns true if a byte of the request may have been sent; otherwise none ever will be.
func (ex *exchange) close() bool {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	ex.closed = true
	if ex.conn != nil {
		ex.conn.Close()
	}
	return ex.wrote
}

// exchangeConn notes the first write and limits the wait of each read and write. A read waits only while the reader of
// the answer wants data, so a slow receiver of the answer doesn't count as a silent target.
type exchangeConn struct {
	net.Conn
	exchange *exchange
}

func (c *exchangeConn) Read(p []byte) (int, error) {
	if c.exchange.idleTimeout > 0 {
		if err := c.Conn.SetReadDeadline(time.Now().Add(c.exchange.idleTimeout)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Read(p)
}

func (c *exchangeConn) Write(p []byte) (int, error) {
	if err := c.exchange.beforeWrite(); err != nil {
		return 0, err
	}
	if c.exchange.idleTimeout > 0 {
		if err := c.Conn.SetWriteDeadline(time.Now().Add(c.exchange.idleTimeout)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(p)
}

// beforeWrite is called before each write. check runs without the lock, since it takes the lock of the target table.
func (ex *exchange) beforeWrite() error {
	ex.mu.Lock()
	first := !ex.wrote && !ex.closed && ex.checkTarget != nil
	ex.mu.Unlock()
	var checkError error
	if first {
		checkError = ex.checkTarget()
	}
	ex.mu.Lock()
	defer ex.mu.Unlock()
	if checkError != nil {
		ex.closed, ex.checkError = true, checkError
		return checkError
	}
	if ex.closed {
		return errClosed
	}
	ex.wrote = true
	return nil
}

// refusal returns the error of check, or nil.
func (ex *exchange) targetRefusal() error {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	return ex.checkError
}

// singleUseBody hides the type of a body from net/http, which could otherwise rewind it.
type singleUseBody struct{ io.Reader }

func (singleUseBody) Close() error { return nil }

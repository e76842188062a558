package dispatch

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"cassiadeal.example/cassiadeal/internal/lastheard"
	"cassiadeal.example/cassiadeal/internal/recovery"
	"cassiadeal.example/cassiadeal/internal/respstatus"
)

const (
	dialTimeout = 2 * time.Second
	// maxResponseHeader bounds the header of a response in bytes.
	maxResponseHeader = 64 << 10
)

var (
	errSecondDial = errors.New("the exchange has already used its only connection")
	errClosed     = errors.New("the exchange is closed")
)

// exchange holds the only connection of one HTTP/1.1 exchange. It refuses to dial a second one, so that http.Transport can
// never send a request twice, and records whether a byte of the request may have been sent.
type exchange struct {
	open        func(ctx context.Context, address string) (net.Conn, error)
	idleTimeout time.Duration // Timeout of each read and write; 0 for none.
	checkTarget func() error  // Called right before the first byte is written; an error closes the exchange. May be nil.
	onPanic     func(any)     // Reports a panic of checkTarget.
	heard       *lastheard.Record

	mu         sync.Mutex
	dialed     bool
	conn       net.Conn
	wrote      bool
	closed     bool
	checkError error // Returned by checkTarget.
}

func dialDirectly(ctx context.Context, address string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "tcp", address)
}

// transport returns an http.Transport that serves only this exchange.
func (ex *exchange) transport() *http.Transport {
	return &http.Transport{
		DialContext:            ex.dial,
		DisableKeepAlives:      true,
		DisableCompression:     true, // The response is forwarded as it is.
		MaxResponseHeaderBytes: maxResponseHeader,
	}
}

func (ex *exchange) dial(ctx context.Context, _, address string) (net.Conn, error) {
	ex.mu.Lock()
	second := ex.dialed || ex.closed
	ex.dialed = true
	ex.mu.Unlock()
	if second {
		return nil, errSecondDial
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := ex.open(ctx, address)
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
	ex.heard.Note()
	ex.heard.Reach(lastheard.Connection)
	return &exchangeConn{Conn: conn, exchange: ex}, nil
}

// close ends the exchange and closes its connection. It returns true if a byte of the request may have been sent;
// otherwise none will be sent.
func (ex *exchange) close() bool {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	ex.closed = true
	if ex.conn != nil {
		ex.conn.Close()
	}
	return ex.wrote
}

// exchangeConn calls beforeWrite and applies the idle timeout to each read and write. The timeout of a read starts when the
// response's reader requests data, so a slow receiver of the response doesn't count as an idle target.
type exchangeConn struct {
	net.Conn
	exchange *exchange
	start    []byte // The first bytes of the response, up to respstatus.PrefixLen.
}

func (c *exchangeConn) Read(p []byte) (int, error) {
	if c.exchange.idleTimeout > 0 {
		if err := c.Conn.SetReadDeadline(time.Now().Add(c.exchange.idleTimeout)); err != nil {
			return 0, err
		}
	}
	n, err := lastheard.Reader{Reader: c.Conn, Record: c.exchange.heard}.Read(p)
	if missing := respstatus.PrefixLen - len(c.start); missing > 0 && n > 0 {
		c.start = append(c.start, p[:min(n, missing)]...)
		if invalid := respstatus.CheckLine(c.start); invalid != nil {
			return 0, invalid
		}
	}
	return n, err
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

// beforeWrite is called before each write and returns an error if nothing may be written. It calls checkTarget before the
// first write, without holding mu, since checkTarget takes the lock of the target table.
func (ex *exchange) beforeWrite() error {
	ex.mu.Lock()
	first := !ex.wrote && !ex.closed && ex.checkTarget != nil
	ex.mu.Unlock()
	var checkError error
	if first {
		checkError = ex.checkRecovered()
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

// checkRecovered calls checkTarget. http.Transport writes in a goroutine of its own, where a panic would end the process.
func (ex *exchange) checkRecovered() (err error) {
	defer func() {
		if value := recover(); value != nil {
			ex.onPanic(value)
			err = recovery.ErrPanic
		}
	}()
	return ex.checkTarget()
}

// targetRefusal returns the error of checkTarget, or nil.
func (ex *exchange) targetRefusal() error {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	return ex.checkError
}

// singleUseBody hides the type of a request body from net/http, which could otherwise rewind the body and send it again.
type singleUseBody struct{ io.Reader }

func (singleUseBody) Close() error { return nil }

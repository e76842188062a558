package intake

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"cassiadeal.example/cassiadeal/internal/result"
)

const (
	// RetryAfter is the Retry-After delay of requests that are refused for want of room: requests that stall are ended after minStall.
	RetryAfter = minStall
	// DefaultHeadBytes and DefaultHeadTime apply until a configuration sets the limits. checkHeadBytes applies on listeners for checks,
	// operators and other nodes, whose heads have some 100 bytes: heads of 64 KB on a readiness listener took 134 of 136 MB.
	DefaultHeadBytes = 64 << 10
	checkHeadBytes   = 16 << 10
	DefaultHeadTime  = 10 * time.Second
	// refusalTime limits the writing of a refusal, and the reading of what the client has still sent: if the connection were closed with
	// unread bytes, the client might lose the refusal. lingerBytes limits the latter too.
	refusalTime = 250 * time.Millisecond
	lingerBytes = 64 << 10
	// DefaultWriteTime limits a write for which the handler has set no deadline, as for refusals before a request is known, and for checks.
	// Their responses have a few KB.
	DefaultWriteTime = 10 * time.Second
)

// HeadLimits are the limits of the head of a request.
type HeadLimits struct {
	Bytes int // Of the request line, and of all header lines together.
	Time  time.Duration
}

// orDefaults replaces values that aren't set.
func (h HeadLimits) orDefaults() HeadLimits {
	if h.Bytes <= 0 {
		h.Bytes = DefaultHeadBytes
	}
	if h.Time <= 0 {
		h.Time = DefaultHeadTime
	}
	return h
}

// Listening configures a listener.
type Listening struct {
	// From tells who uses the listener.
	From Origin
	// HeadLimits returns the limits in force. It is called for each request. Nil for those of checks and other nodes.
	HeadLimits func() HeadLimits
	// WriteTime limits each write for which no deadline is set. 0 for DefaultWriteTime. It doesn't apply to other nodes.
	WriteTime time.Duration
	// Refused is called with the code of each refusal that package intake sends itself. It may be nil.
	Refused func(result.Code)
}

// Listen returns a listener whose connections are accounted for.
func (l *Limiter) Listen(inner net.Listener, o Listening) net.Listener {
	if o.WriteTime <= 0 {
		o.WriteTime = DefaultWriteTime
	}
	return &listener{Listener: inner, limiter: l, opt: o}
}

type listener struct {
	net.Listener
	limiter *Limiter
	opt     Listening
}

// Accept implements net.Listener. Connections for which there is no room are refused.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := conn.(*net.TCPConn)
		if !ok {
			return conn, nil
		}
		c := &Conn{TCPConn: tcp, listener: l}
		account, refused := l.limiter.Open(l.opt.From, c.interrupt)
		if account == nil {
			c.refuse(noRoom(string(refused)))
			_ = tcp.Close() // Nothing more is sent on it.
			continue
		}
		c.account = account
		return c, nil
	}
}

type phase int

const (
	phaseIdle    phase = iota // Before the first byte of a request.
	phaseHead                 // Until the handler is called.
	phaseBody                 // Until the body has been read.
	phaseServing              // Until the handler returns.
	phaseClosing              // The rest of a body is unread. No other request follows.
)

// Conn is an accepted connection that counts what it holds before its request is complete.
type Conn struct {
	*net.TCPConn
	listener *listener
	account  *Account

	mu           sync.Mutex
	phase        phase
	head         head
	limits       HeadLimits // Of the present head.
	headDeadline time.Time
	charged      int64 // Bytes of the head that the account holds.
	unmarked     int   // Bytes since the last progress.
	ended        Reason
	writeLimited bool // A write deadline is set.
	body         framing
	// The fields below are used only by Read, which net/http doesn't call concurrently.
	pending []byte // Of a head, not passed on yet.
	early   []byte // Of the next head, passed on already: while a request is served, net/http reads a byte to notice that the client leaves.
	ahead   []byte // Received behind the present head or body. Bytes before aheadAt have been passed on.
	aheadAt int
}

// errClosed makes net/http close the connection without a response: it takes it as a failed read.
var errClosed = &net.OpError{Op: "read", Net: "tcp", Err: ErrEnded}

// interrupt makes the present or next read fail.
func (c *Conn) interrupt(why Reason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = why
	_ = c.TCPConn.SetReadDeadline(time.Unix(1, 0)) // An error means that the connection is closed.
}

// SetReadDeadline implements net.Conn. While a head is received, its own deadline holds if it is earlier.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended != reasonNothing || c.phase == phaseClosing {
		return nil // Reads fail for good.
	}
	if c.phase == phaseHead && !c.head.done && (t.IsZero() || t.After(c.headDeadline)) {
		t = c.headDeadline
	}
	return c.TCPConn.SetReadDeadline(t)
}

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeLimited = !t.IsZero()
	return c.TCPConn.SetWriteDeadline(t)
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.account.Close()
	return c.TCPConn.Close()
}

// limitWrite sets a deadline for the next write unless the handler has set one.
func (c *Conn) limitWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.writeLimited && c.listener.opt.From != Peers {
		_ = c.TCPConn.SetWriteDeadline(time.Now().Add(c.listener.opt.WriteTime)) // An error shows at the write.
	}
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.limitWrite()
	n, err := c.TCPConn.Write(p)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.listener.limiter.count(WriteTooSlow)
	}
	return n, err
}

// Read implements net.Conn. A head is passed on only when it is complete, so that unfinished ones and those over the limit aren't parsed. One
// read never returns bytes of two messages.
func (c *Conn) Read(p []byte) (int, error) {
	for {
		if n := c.takePending(p); n > 0 {
			return n, nil
		}
		n, err := c.receive(c.limitToMessage(p))
		c.mu.Lock()
		at, ended, between := c.phase, c.ended, c.betweenMessages()
		c.mu.Unlock()
		switch {
		case ended != reasonNothing:
			return 0, c.endRead(at)
		case between:
			c.early = append(c.early, p[:n]...)
		case at == phaseIdle && n > 0, at == phaseHead:
			whole, headErr := c.readHead(at == phaseIdle || c.head.done, p[:n], err)
			if whole > 0 {
				return whole, headErr
			}
			if headErr != nil {
				return 0, headErr
			}
			continue
		case at == phaseBody:
			n = c.takeBody(p[:n])
		}
		return n, err
	}
}

// limitToMessage returns the part of a read's buffer that bytes of the present message may fill.
func (c *Conn) limitToMessage(p []byte) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.phase == phaseClosing:
		c.ahead, c.aheadAt = nil, 0 // No other request follows.
	case len(p) > 0 && c.betweenMessages():
		return p[:1]
	case c.phase == phaseBody && c.body.chunks == nil && !c.body.unknown:
		return p[:min(c.body.left, int64(len(p)))]
	}
	return p
}

// betweenMessages reports whether a whole request has been passed on, so that what is read now is the first byte of the next one. The lock is
// held.
func (c *Conn) betweenMessages() bool {
	if len(c.early) > 0 {
		return false
	}
	return c.phase == phaseServing || c.phase == phaseHead && c.head.done || c.phase == phaseBody && c.body.ended()
}

// receive reads what has been received ahead, or else from the connection.
func (c *Conn) receive(p []byte) (int, error) {
	if c.aheadAt < len(c.ahead) {
		n := copy(p, c.ahead[c.aheadAt:])
		c.aheadAt += n
		return n, nil
	}
	c.ahead, c.aheadAt = nil, 0
	return c.TCPConn.Read(p)
}

// keepAhead keeps bytes that were received and belong to the next message.
func (c *Conn) keepAhead(rest []byte) {
	switch {
	case len(rest) == 0:
	case c.aheadAt > 0: // They come from there.
		c.aheadAt -= len(rest)
	default:
		c.ahead = append([]byte(nil), rest...)
	}
}

// takeBody keeps what follows the body, and returns the number of bytes before it.
func (c *Conn) takeBody(p []byte) int {
	c.mu.Lock()
	n := c.body.take(p)
	c.mu.Unlock()
	c.keepAhead(p[n:])
	c.noteProgress(n)
	return n
}

// takePending returns bytes of a head that has become complete.
func (c *Conn) takePending(p []byte) int {
	if len(c.pending) == 0 || !c.head.done {
		return 0
	}
	n := copy(p, c.pending)
	if c.pending = c.pending[n:]; len(c.pending) == 0 {
		c.pending = nil
	}
	return n
}

// endRead ends a connection that was interrupted. If a head was being received, it answers the client. The handler does so for a body.
func (c *Conn) endRead(at phase) error {
	if at == phaseHead {
		c.refuse(noRoom(string(c.ended)))
	}
	return errClosed
}

// beginHead records the first byte of a request.
func (c *Conn) beginHead() error {
	limits := c.headLimits()
	c.mu.Lock()
	if c.writeLimited { // For the response to the request before.
		c.writeLimited = false
		_ = c.TCPConn.SetWriteDeadline(time.Time{}) // An error shows at the next write.
	}
	c.phase, c.head, c.limits, c.charged, c.unmarked = phaseHead, head{}, limits, 0, 0
	c.headDeadline = time.Now().Add(limits.Time)
	c.head.scan(c.early)
	c.early = nil
	c.mu.Unlock()
	return c.account.Begin()
}

func (c *Conn) headLimits() HeadLimits {
	if c.listener.opt.HeadLimits == nil {
		return HeadLimits{Bytes: checkHeadBytes}.orDefaults()
	}
	return c.listener.opt.HeadLimits().orDefaults()
}

// readHead takes bytes of a head, the first ones if first is set, and of what follows it. whole is the number of bytes of a complete head that
// can be passed on as they are; otherwise they are pending. The deadline is set only if the head isn't complete, which is rare. An error ends
// the read.
func (c *Conn) readHead(first bool, p []byte, err error) (whole int, _ error) {
	if first {
		if beginErr := c.beginHead(); beginErr != nil {
			return 0, c.refuseRead(noRoom(beginErr.Error()))
		}
	}
	if len(p) == 0 && errors.Is(err, os.ErrDeadlineExceeded) && !time.Now().Before(c.headDeadline) {
		c.listener.limiter.count(HeadTooSlow)
		return 0, c.refuseRead(result.New(result.BodyIncomplete, "the head of the request did not arrive within %v", c.limits.Time))
	}
	n := c.scan(p)
	c.keepAhead(p[n:])
	if c.head.largest() > c.limits.Bytes {
		c.listener.limiter.count(HeadTooLarge)
		return 0, c.refuseRead(result.New(result.HeadersTooLarge, "the head of the request has more than %d bytes", c.limits.Bytes))
	}
	if growErr := c.chargeHead(int64(c.head.requestLine + c.head.fields + c.head.lines*lineBytes)); growErr != nil {
		return 0, c.refuseRead(noRoom(growErr.Error()))
	}
	if c.head.done && len(c.pending) == 0 {
		return n, err
	}
	c.pending = append(c.pending, p[:n]...)
	if !c.head.done {
		c.noteProgress(n)
		if first {
			_ = c.SetReadDeadline(time.Time{}) // That of the head. An error shows at the next read.
		}
	}
	return 0, err
}

func (c *Conn) scan(p []byte) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.scan(p)
}

// chargeHead charges what the head takes in all once it is parsed.
func (c *Conn) chargeHead(total int64) error {
	more := total - c.charged
	if more <= 0 {
		return nil
	}
	c.charged = total
	return c.account.Grow(more)
}

func (c *Conn) noteProgress(n int) {
	c.unmarked += n
	if c.unmarked >= progressBytes {
		c.unmarked = 0
		c.account.Progress()
	}
}

// refuseRead answers a request whose head is not complete, and returns the error of the read.
func (c *Conn) refuseRead(e *result.Error) error {
	c.pending, c.ahead, c.aheadAt = nil, nil, 0
	c.refuse(e)
	c.mu.Lock()
	c.phase = phaseClosing
	c.mu.Unlock()
	return errClosed
}

// noRoom returns a refusal that any request may be sent again after: it was not sent to a replica.
func noRoom(why string) *result.Error {
	return result.New(result.NoRoom, "this node has no room for the request: %s", why).WithRetryAfter(RetryAfter)
}

// refuse writes a refusal to a client whose request has not reached a handler, and takes what the client has sent until then.
func (c *Conn) refuse(e *result.Error) {
	c.noteRefusal(e)
	end := time.Now().Add(refusalTime)
	// Errors mean that the client is gone.
	_ = c.TCPConn.SetDeadline(end)
	if _, err := c.TCPConn.Write(encodeRefusal(e)); err != nil {
		return
	}
	_ = c.CloseWrite()
	if c.account == nil {
		return // Accept must go on.
	}
	var buffer [512]byte
	for read := 0; read < lingerBytes; {
		n, err := c.TCPConn.Read(buffer[:])
		if err != nil {
			return
		}
		read += n
	}
}

func (c *Conn) noteRefusal(e *result.Error) {
	if c.listener.opt.Refused != nil {
		c.listener.opt.Refused(e.Code)
	}
}

// encodeRefusal returns the response for a refusal.
func encodeRefusal(e *result.Error) []byte {
	body, err := json.Marshal(e.Body())
	if err != nil {
		body = nil // The status tells enough.
	}
	retry := ""
	if e.RetryAfter > 0 {
		retry = fmt.Sprintf("Retry-After: %d\r\n", (e.RetryAfter+time.Second-1)/time.Second)
	}
	status := e.Code.HTTPStatus()
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nConnection: close\r\n%sContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), retry, len(body), body)
}

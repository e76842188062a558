package intake

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"cassiadeal.example/cassiadeal/internal/result"
)

// Bodies tells what the handler of a listener does with the bodies of requests.
type Bodies int

// What handlers do with bodies.
const (
	NoBodies   Bodies = iota // It takes none. The connection is closed after the response to a request that has one.
	ReadBodies               // It reads them with ReadBody.
	AnyBodies                // It reads them from the request; each byte is charged as it is read.
)

// maxHeadBytes bounds heads in net/http. The limits of Conn are lower.
const maxHeadBytes = 16 << 20

type contextKey struct{}

// Serve makes a server account for the requests that it serves. Its listener must be one of Listen.
func Serve(server *http.Server, bodies Bodies) {
	next := server.Handler
	server.MaxHeaderBytes = maxHeadBytes
	// Otherwise net/http answers OPTIONS * itself, so that the request never ends here and the next head isn't bounded.
	server.DisableGeneralOptionsHandler = true
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		if c, ok := conn.(*Conn); ok {
			return context.WithValue(ctx, contextKey{}, c)
		}
		return ctx
	}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r)
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		if refusal := c.startRequest(w, r, bodies); refusal != nil {
			c.noteRefusal(refusal)
			w.Header().Set("Connection", "close")
			c.abandon()
			result.Write(w, refusal)
			r.Header = nil // As in endRequest.
			return
		}
		defer c.endRequest(r)
		next.ServeHTTP(w, r)
	})
}

func connOf(r *http.Request) *Conn {
	c, _ := r.Context().Value(contextKey{}).(*Conn)
	return c
}

// startRequest records that the head of a request is complete, and returns a refusal if there is no room for the request.
func (c *Conn) startRequest(w http.ResponseWriter, r *http.Request, bodies Bodies) *result.Error {
	if refusal := c.checkParsed(r); refusal != nil {
		return refusal
	}
	if err := c.admit(w, r, bodies); err != nil {
		return noRoom(err.Error())
	}
	return nil
}

// checkParsed checks and charges a head by what was parsed.
func (c *Conn) checkParsed(r *http.Request) *result.Error {
	size, lines := 0, 0
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v) + len(":\r\n")
			lines++
		}
	}
	limit := c.headLimits().Bytes
	if size > limit {
		c.listener.limiter.count(HeadTooLarge)
		return result.New(result.HeadersTooLarge, "the head of the request has more than %d bytes", limit)
	}
	if err := c.chargeHead(int64(size + lines*lineBytes)); err != nil {
		return noRoom(err.Error())
	}
	return nil
}

// admit records whether the request is complete.
func (c *Conn) admit(w http.ResponseWriter, r *http.Request, bodies Bodies) error {
	hasBody := r.Body != nil && r.Body != http.NoBody
	if hasBody && bodies != NoBodies {
		c.startBody(framingOf(r))
		if err := c.account.Begin(); err != nil {
			return err
		}
		if bodies == AnyBodies {
			r.Body = &chargedBody{r.Body, c}
		}
		return nil
	}
	c.setPhase(phaseServing)
	if hasBody {
		w.Header().Set("Connection", "close")
		c.abandon()
	}
	return c.account.Complete()
}

func (c *Conn) startBody(f framing) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.body = phaseBody, f
}

func (c *Conn) setPhase(p phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = p
}

// abandon makes all further reads fail: the rest of a body isn't read. net/http would otherwise wait for it before it sends the response.
func (c *Conn) abandon() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = phaseClosing
	_ = c.TCPConn.SetReadDeadline(time.Unix(1, 0)) // An error means that the connection is closed.
}

// endRequest records that the handler has returned. If the connection ends after the response, the request keeps its room until then: net/http
// waits for 500 ms before it closes a connection with an unread body, and holds the request meanwhile.
func (c *Conn) endRequest(r *http.Request) {
	c.mu.Lock()
	if c.phase == phaseBody { // The body was not read to its end.
		c.phase = phaseClosing
		_ = c.TCPConn.SetReadDeadline(time.Unix(1, 0)) // As in abandon.
	}
	closing := c.phase == phaseClosing
	c.mu.Unlock()
	if closing {
		r.Header = nil // Most of what net/http holds.
		return
	}
	c.account.Finish() // Before the next head may begin.
	c.mu.Lock()
	c.charged, c.phase = 0, phaseIdle
	c.mu.Unlock()
}

// complete records that the whole request has arrived.
func (c *Conn) complete() error {
	if err := c.account.Complete(); err != nil {
		return err
	}
	c.setPhase(phaseServing)
	return nil
}

// firstBodyBytes is the size of the first buffer of a body. Bodies that arrive at once have a few KB.
const firstBodyBytes = 4 << 10

// ReadBody reads the body of a request that a handler of Serve got. It reserves room as the body arrives, and keeps it until the handler
// returns. The body must arrive within the given time and have at most limit bytes. If ReadBody fails, nothing more can be read, and the
// connection ends after the response. reserve, which may be nil, is called before the body takes further bytes; its error ends the read.
func ReadBody(r *http.Request, limit int64, within time.Duration, reserve func(bytes int64) error) ([]byte, error) {
	c, grow := connOf(r), func(n int64) error { return nil }
	if reserve != nil {
		grow = reserve
	}
	if c == nil {
		return collect(r.Body, r.ContentLength, limit, grow)
	}
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	_ = c.SetReadDeadline(time.Now().Add(within)) // An error shows at the next read.
	data, err := collect(r.Body, r.ContentLength, limit, func(n int64) error {
		if err := grow(n); err != nil {
			return err
		}
		return c.account.Grow(n)
	})
	if err == nil {
		err = c.complete()
	}
	if err != nil {
		err = c.bodyError(err)
		c.abandon()
		return nil, err
	}
	_ = c.SetReadDeadline(time.Time{}) // As above.
	return data, nil
}

// bodyError returns why a body could not be read, and counts it.
func (c *Conn) bodyError(err error) error {
	c.mu.Lock()
	ended := c.ended
	c.mu.Unlock()
	count := c.listener.limiter.count
	switch {
	case ended != reasonNothing:
		return ErrEnded
	case errors.Is(err, ErrBodyTooLarge):
		count(BodyTooLarge)
	case errors.Is(err, os.ErrDeadlineExceeded):
		count(BodyTooSlow)
		return ErrBodyTooSlow
	}
	return err
}

// collect reads a body into a buffer that doubles up to the stated length. grow reserves the room of each larger buffer.
func collect(body io.Reader, stated, limit int64, grow func(int64) error) ([]byte, error) {
	if body == nil {
		return nil, nil
	}
	if stated > limit {
		return nil, ErrBodyTooLarge
	}
	most := limit + 1 // One more shows that a body of unknown length is too large.
	if stated >= 0 {
		most = stated + 1 // The last read returns the end of the body.
	}
	var data []byte
	for {
		if len(data) == cap(data) {
			size := min(max(2*int64(cap(data)), firstBodyBytes), most)
			if err := grow(size - int64(cap(data))); err != nil {
				return nil, err
			}
			data = append(make([]byte, 0, size), data...)
		}
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case int64(len(data)) > limit:
			return nil, ErrBodyTooLarge
		case errors.Is(err, io.EOF):
			return data, nil
		case err != nil:
			return nil, err
		}
	}
}

// Refusal returns the refusal for an error of ReadBody. limit is that of the body.
func Refusal(err error, limit int64) *result.Error {
	switch {
	case errors.Is(err, ErrBodyTooLarge):
		return result.New(result.BodyTooLarge, "the body has more than %d bytes", limit)
	case errors.Is(err, ErrNoRoom), errors.Is(err, ErrEnded):
		return noRoom(err.Error())
	}
	return result.New(result.BodyIncomplete, "the body could not be read: %v", err)
}

// chargedBody charges each byte of a body that a handler reads.
type chargedBody struct {
	io.ReadCloser
	conn *Conn
}

// Read implements io.Reader.
func (b *chargedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		if growErr := b.conn.account.Grow(int64(n)); growErr != nil {
			b.conn.abandon()
			return 0, growErr
		}
	}
	if errors.Is(err, io.EOF) {
		if completeErr := b.conn.complete(); completeErr != nil {
			return 0, completeErr
		}
	}
	return n, err
}

package gateway

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"cassiadeal.example/cassiadeal/internal/intake"
	"cassiadeal.example/cassiadeal/internal/result"
)

// readBody reads the whole request body, bounded in size and time. Nothing is dispatched before it is complete, so a
// truncated or slow body is refused as not run. The caller calls release when it no longer needs the body; its size then no
// longer counts towards MaxBufferedBytes.
func (g *Gateway) readBody(w http.ResponseWriter, req *http.Request) (body []byte, release func(), err *result.Error) {
	var reserved int64
	release = func() { g.bufferedBytes.Add(-reserved) }
	body, err = g.readLimited(w, req, func(n int64) error {
		if g.bufferedBytes.Add(n) > g.opts.MaxBufferedBytes {
			g.bufferedBytes.Add(-n)
			return result.New(result.QueueFull, "the body would exceed this node's limit of %d bytes for buffered bodies", g.opts.MaxBufferedBytes).
				WithRetryAfter(time.Second)
		}
		reserved += n
		return nil
	})
	if err != nil {
		release()
		return nil, nil, err
	}
	return body, release, nil
}

func (g *Gateway) readLimited(w http.ResponseWriter, req *http.Request, reserve func(int64) error) ([]byte, *result.Error) {
	response := http.NewResponseController(w)
	// If the ResponseWriter doesn't support deadlines (in tests), the server's read timeout applies.
	_ = response.SetReadDeadline(time.Now().Add(g.opts.BodyReadTimeout))

	body, err := intake.ReadBody(req, g.opts.MaxBodyBytes, g.opts.BodyReadTimeout, reserve)
	var refusal *result.Error
	switch {
	case err == nil:
		_ = response.SetReadDeadline(time.Time{})
		return body, nil
	case errors.As(err, &refusal):
		return nil, refusal
	case errors.Is(err, intake.ErrBodyTooLarge), errors.Is(err, intake.ErrNoRoom), errors.Is(err, intake.ErrEnded):
		return nil, intake.Refusal(err, g.opts.MaxBodyBytes)
	default:
		return nil, result.New(result.BodyIncomplete, "the body was not received completely within %s", g.opts.BodyReadTimeout).WithCause(err)
	}
}

// trackedBody records whether a request body was read to its end.
type trackedBody struct {
	io.ReadCloser
	readToEnd bool
}

func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.readToEnd = b.readToEnd || err == io.EOF
	return n, err
}

// closeUnreadBody closes the connection after a refusal if the request body was not read to its end. net/http would
// otherwise wait for the rest of the body before it sends the refusal, and a slow caller could delay that without limit.
func closeUnreadBody(w http.ResponseWriter, req *http.Request) {
	if b, ok := req.Body.(*trackedBody); ok && !b.readToEnd {
		w.Header().Set("Connection", "close")
		_ = http.NewResponseController(w).SetReadDeadline(time.Now())
	}
}

// extendWriteDeadline sets the deadline for sending the next part of an answer to WriteTimeout from now. Without a
// deadline, a caller that stopped reading would occupy a slot at a target for ever.
func (g *Gateway) extendWriteDeadline(w http.ResponseWriter) {
	// If the ResponseWriter doesn't support deadlines (in tests), there is no limit.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(g.opts.WriteTimeout))
}

// parsePositiveMs parses a number of milliseconds from 1 to 24 hours.
func parsePositiveMs(s string) (int64, error) {
	ms, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		return 0, err
	}
	if ms <= 0 || ms > int64(24*time.Hour/time.Millisecond) {
		return 0, strconv.ErrRange
	}
	return ms, nil
}

package gateway

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"cassiadeal.example/cassiadeal/internal/result"
)

// readBody reads the whole request body, bounded in size and time. Nothing is dispatched before it is complete, so a
// truncated or slow body is refused as not run.
func (g *Gateway) readBody(w http.ResponseWriter, req *http.Request) ([]byte, *result.Error) {
	controller := http.NewResponseController(w)
	// Without support for deadlines (in tests), the server's own read timeout applies.
	_ = controller.SetReadDeadline(time.Now().Add(g.opts.BodyReadTimeout))
	defer func() { _ = controller.SetReadDeadline(time.Time{}) }()

	body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, g.opts.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return body, nil
	case errors.As(err, &tooLarge):
		return nil, result.New(result.BodyTooLarge, "the body is larger than %d bytes", g.opts.MaxBodyBytes)
	default:
		return nil, result.New(result.BodyIncomplete, "the body did not arrive whole within %s", g.opts.BodyReadTimeout).WithCause(err)
	}
}

func parsePositive(s string) (int64, error) {
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		return 0, err
	}
	if n <= 0 || n > int64(24*time.Hour/time.Millisecond) {
		return 0, strconv.ErrRange
	}
	return n, nil
}

package edge

import (
	"context"
	"net/http"
	"time"

	"cassiadeal.example/cassiadeal/internal/result"
)

// retryAfterStopping is the Retry-After delay of a node that stops: other nodes can take the request at once.
const retryAfterStopping = 20 * time.Millisecond

// Drain makes all later responses ask the client to open a new connection. Requests that can't be expected to end by the given time
// are refused when they arrive, and those that still run then are ended with an answer.
func (s *Server) Drain(end time.Time) {
	s.drainEnd.Store(&end)
	time.AfterFunc(time.Until(end), s.stop)
}

// announceClose makes the response ask the client to open a new connection if the server drains.
func (c *call) announceClose() {
	if c.drainEnd.Load() != nil {
		c.w.Header().Set("Connection", "close")
	}
}

// limitToDrain returns the refusal of a request that would outlast this server, or limits its deadline.
func (c *call) limitToDrain() *result.Error {
	end := c.drainEnd.Load()
	if end == nil {
		return nil
	}
	if left := time.Until(*end); left <= 0 || !c.durations.Fit(c.route.Name, c.timeLeft(), left) {
		return c.stoppingRefusal()
	}
	if c.deadline.After(*end) {
		c.deadline = *end
	}
	return nil
}

// drainEnded reports whether the time has come at which this server ends the requests that still run. The deadlines of those that it took
// while it drained end then too.
func (c *call) drainEnded() bool {
	end := c.drainEnd.Load()
	return end != nil && !time.Now().Before(*end)
}

// endReadWhenStopped makes the read of the body fail once the server has stopped. The function that it returns must be called
// after the read, and reports whether that has happened.
func (c *call) endReadWhenStopped() (stopped func() bool) {
	stop := context.AfterFunc(c.stopped, func() {
		// An error means that the connection is closed, which ends the read as well.
		_ = http.NewResponseController(c.w).SetReadDeadline(time.Now())
	})
	return func() bool { return !stop() }
}

func (c *call) stoppingRefusal() *result.Error {
	return result.New(result.NodeStopping, "this node is shutting down; use another address").WithRetryAfter(retryAfterStopping)
}

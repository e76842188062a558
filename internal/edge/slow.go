package edge

import (
	"net/http"
	"time"
)

const (
	// writeGrace is the time after the deadline of a request within which its client must have read the response.
	writeGrace = time.Second
	// blockedWrite is the time for which a client keeps a write waiting before a broken response is no sign against the replica: replicas cut
	// off responses that aren't read for some seconds. Lost packets delay a write by up to 400 ms.
	blockedWrite = time.Second
)

// limitWrites cuts off a client that doesn't read its response in the time that its request has.
func (c *call) limitWrites() {
	// Without support for deadlines (in tests), there is no limit.
	_ = http.NewResponseController(c.w).SetWriteDeadline(c.deadline.Add(writeGrace))
}

// noteWrite records how long the client has kept a write of its stream waiting.
func (p *progress) noteWrite(started time.Time) {
	p.longestWrite = max(p.longestWrite, time.Since(started))
}

// clientBlocked reports whether the client has read its stream so slowly that the replica may have cut it off for that.
func (c *call) clientBlocked() bool {
	return c.progress != nil && c.progress.longestWrite >= blockedWrite
}

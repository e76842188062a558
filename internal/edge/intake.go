package edge

import (
	"net"
	"time"
)

const (
	// maxBodyTime bounds the time for which a body may arrive, whatever deadline its request states.
	maxBodyTime = 2 * time.Minute
	// inlineBodyBytes is the size up to which a body is written together with the head. Larger ones aren't copied, since bodies use most
	// of the memory that requests may use.
	inlineBodyBytes = 32 << 10
)

// bodyTime returns the time within which the body must have arrived: the request's deadline, since its client doesn't wait for longer.
func (c *call) bodyTime() time.Duration {
	if c.req.Deadline <= 0 {
		return defaultDeadline
	}
	return min(c.req.Deadline, maxBodyTime)
}

// inlineBody returns the body if it is written together with the head.
func (c *call) inlineBody() []byte {
	if len(c.req.Body) > inlineBodyBytes {
		return nil
	}
	return c.req.Body
}

// writeRequest writes an encoded request, and the body if that isn't part of it.
func (c *call) writeRequest(conn net.Conn, encoded []byte) error {
	if _, err := conn.Write(encoded); err != nil {
		return err
	}
	if len(c.req.Body) <= inlineBodyBytes {
		return nil
	}
	_, err := conn.Write(c.req.Body)
	return err
}

package edge

import "time"

// maxBodyTime bounds the time for which a body may arrive, whatever deadline its request states.
const maxBodyTime = 2 * time.Minute

// bodyTime returns the time within which the body must have arrived: the request's deadline, since its client doesn't wait for longer.
func (c *call) bodyTime() time.Duration {
	if c.req.Deadline <= 0 {
		return defaultDeadline
	}
	return min(c.req.Deadline, maxBodyTime)
}

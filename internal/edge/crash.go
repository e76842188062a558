package edge

import (
	"errors"
	"net"
	"strconv"
	"syscall"
	"time"

	"cassiadeal.example/cassiadeal/internal/crash"
	"cassiadeal.example/cassiadeal/internal/fleet"
	"cassiadeal.example/cassiadeal/internal/result"
)

// crashCheckTimeout limits the wait for a connection that shows whether a replica still runs. A host whose process has ended
// refuses it after one round trip.
const crashCheckTimeout = 200 * time.Millisecond

// recordAnswer records that a replica has answered this request.
func (c *call) recordAnswer() { c.opt.Crashes.RecordAnswer(c.fingerprint) }

// recordCrash records this request with the replica that it was sent to, if the replica has ended, and reports whether it has.
// A replica that still listens broke off only this exchange. One that doesn't respond at all may be cut off from this node.
func (c *call) recordCrash(replica *fleet.Replica) bool {
	conn, err := net.DialTimeout("tcp", replica.Address, crashCheckTimeout)
	if err == nil {
		conn.Close()
		return false
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return false
	}
	c.opt.Crashes.Record(crash.Crash{Fingerprint: c.fingerprint, Target: replica.ID, Incarnation: strconv.FormatInt(replica.StartedUnixMs, 10), Began: c.attempts.began})
	return true
}

// crashRefusal returns the refusal of a request whose copies have crashed replicas, or nil.
func (c *call) crashRefusal() *result.Error {
	wait := c.opt.Crashes.BlockedFor(c.fingerprint)
	if wait <= 0 {
		return nil
	}
	return result.New(result.CrashingRequest, "copies of this request (fingerprint %s) crashed replicas", c.fingerprint).WithRetryAfter(wait)
}

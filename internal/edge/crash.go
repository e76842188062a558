package edge

import (
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"cassiadeal.example/cassiadeal/internal/crash"
	"cassiadeal.example/cassiadeal/internal/fleet"
	"cassiadeal.example/cassiadeal/internal/reach"
	"cassiadeal.example/cassiadeal/internal/result"
)

// crashCheckTimeout limits the wait for a connection that shows whether a replica still runs. A host whose process has ended
// refuses it after one round trip.
const crashCheckTimeout = 200 * time.Millisecond

// suspectOf returns what identifies a request of the client account, and the parts of its prompt that other requests may share.
func suspectOf(account string, q *fleet.Request) crash.Request {
	path := strings.Join(append([]string{q.Method, q.Host, q.URI}, q.PromptParts...), " ")
	r := crash.Request{Fingerprint: crash.Fingerprint(account, path, q.Body)}
	for i := 0; i+1 < len(q.PromptParts); i++ {
		if part := crash.PartFingerprint(q.PromptParts[i]); !slices.Contains(r.Parts, part) {
			r.Parts = append(r.Parts, part)
		}
	}
	return r
}

// recordAnswer records that a replica has answered this request.
func (c *call) recordAnswer() { c.opt.Crashes.RecordAnswer(c.suspect.Fingerprint) }

// recordBegin records that a replica has begun to answer this request.
func (c *call) recordBegin() {
	if !c.attempts.began {
		c.opt.Crashes.RecordAnswer(c.suspect.Parts...)
	}
	c.attempts.began = true
}

// connectionLost reports whether the error of an exchange may come from the end of the replica. A response that is wrong or late
// shows that it runs, or says nothing.
func connectionLost(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// recordCrash records this request with the replica that it was sent to, if the replica has ended, and reports whether it has.
// A replica that still listens broke off only this exchange. One that doesn't respond at all may be cut off from this node.
func (c *call) recordCrash(replica *fleet.Replica) bool {
	if !c.hasEnded(replica) {
		return false
	}
	c.opt.Crashes.Record(crash.Crash{Request: c.suspect, Target: replica.ID, Incarnation: strconv.FormatInt(replica.StartedUnixMs, 10), Began: c.attempts.began})
	if wait := c.opt.Crashes.BlockedFor(c.suspect); wait > 0 {
		c.opt.Log.WithFields(logrus.Fields{"request_id": c.req.ID, "target": replica.ID, "fingerprint": c.suspect.Fingerprint,
			"prompt_parts": c.suspect.Parts, "blocked_ms": wait.Milliseconds()}).Warning("requests like this one crash replicas and are refused")
		c.opt.OnBlocked()
	}
	return true
}

// hasEnded reports whether nothing listens at the replica's address. Another node has to confirm it where there is one: connections of this
// node may be refused because its own path is lost.
func (c *call) hasEnded(replica *fleet.Replica) bool {
	conn, err := c.dialToCheck(replica)
	if err == nil {
		conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

func (c *call) dialToCheck(replica *fleet.Replica) (net.Conn, error) {
	if c.opt.Paths == nil {
		return net.DialTimeout("tcp", replica.Address, crashCheckTimeout)
	}
	return c.opt.Paths.Dial(context.Background(), reach.TargetOf(replica),
		reach.Request{Timeout: crashCheckTimeout, PeerDelay: peerDelay, Lifetime: crashCheckTimeout, Control: true})
}

// crashRefusal returns the refusal of a request whose copies have crashed replicas, or nil.
func (c *call) crashRefusal() *result.Error {
	wait := c.opt.Crashes.BlockedFor(c.suspect)
	if wait <= 0 {
		return nil
	}
	return result.New(result.CrashingRequest, "copies of this request, or others with the same parts, crashed replicas (fingerprint %s, parts %v)",
		c.suspect.Fingerprint, c.suspect.Parts).WithRetryAfter(wait)
}

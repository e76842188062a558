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

// recordCrash records this request with the replica that it was sent to.
func (c *call) recordCrash(replica *fleet.Replica) {
	c.opt.Crashes.Record(crash.Crash{Request: c.suspect, Target: replica.ID, Incarnation: strconv.FormatInt(replica.StartedUnixMs, 10), Began: c.attempts.began})
	if wait := c.opt.Crashes.BlockedFor(c.suspect); wait > 0 {
		c.opt.Log.WithFields(logrus.Fields{"request_id": c.req.ID, "target": replica.ID, "fingerprint": c.suspect.Fingerprint,
			"prompt_parts": c.suspect.Parts, "blocked_ms": wait.Milliseconds()}).Warning("requests like this one crash replicas and are refused")
		c.opt.OnBlocked()
	}
}

// finding is what a connection that is opened after a lost one tells of the replica.
type finding int

const (
	// replicaListens means that the replica broke off only this exchange, or may be cut off from all nodes.
	replicaListens finding = iota
	replicaEnded
	// wayLost means that only the way to the replica was lost, and that it is reached on another one.
	wayLost
)

// check finds out why a connection to the replica was lost with the error. That the replica has ended has to be confirmed by another node where there is one:
// connections of this node may be refused because its own path is lost.
func (c *call) check(replica *fleet.Replica, lost error) finding {
	through, err := c.dialToCheck(replica)
	switch {
	case isRefusal(err):
		return replicaEnded
	case through != "", err == nil && errors.Is(lost, reach.ErrTunnelLost):
		return wayLost
	}
	return replicaListens
}

// isRefusal reports whether an error of dialToCheck shows that nothing listens at the replica's address. A connection of this node that isn't
// opened in time doesn't speak against what another node has found.
func isRefusal(err error) bool {
	failure, ok := errors.AsType[*reach.DialError](err)
	return errors.Is(err, syscall.ECONNREFUSED) || ok && failure.RefusedElsewhere()
}

// dialToCheck opens and closes a connection to the replica, and names the node through which it leads, if there is one.
func (c *call) dialToCheck(replica *fleet.Replica) (through string, err error) {
	if c.opt.Paths == nil {
		conn, err := net.DialTimeout("tcp", replica.Address, crashCheckTimeout)
		if err == nil {
			conn.Close()
		}
		return "", err
	}
	conn, err := c.opt.Paths.Dial(context.Background(), reach.TargetOf(replica),
		reach.Request{Timeout: crashCheckTimeout, PeerDelay: peerDelay, Lifetime: crashCheckTimeout, Control: true})
	if err != nil {
		return "", err
	}
	conn.Close()
	return conn.Through, nil
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

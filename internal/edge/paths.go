package edge

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"cassiadeal.example/cassiadeal/internal/balance"
	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/internal/reach"
	"cassiadeal.example/cassiadeal/internal/recovery"
)

const (
	// pathCheckTimeout limits the wait for a direct connection that shows whether this node's own path to a silent target works.
	pathCheckTimeout = 200 * time.Millisecond
	// pathCheckInterval is the time between two such checks of a target if the first one found that the path works.
	pathCheckInterval = time.Second
	// confirmingChecks is the number of checks in a row without a connection after which a silent target counts as unreachable for all.
	confirmingChecks = 2
)

// pathChecks are the checks of this node's own paths to silent targets. A target is checked once at a time.
type pathChecks struct {
	mu       sync.Mutex
	byTarget map[reach.Target]*pathCheck
}

type pathCheck struct {
	running  bool
	endedAt  clock.Time // Of the last check.
	opened   bool       // The last check opened a direct connection.
	failures int        // Checks in a row after which no node was found to reach the target, and another one found that it doesn't.
}

// begin reports whether a check of the target is to start.
func (p *pathChecks) begin(to reach.Target, now clock.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for checked, known := range p.byTarget {
		if !known.running && now.Sub(known.endedAt) >= pathCheckInterval {
			delete(p.byTarget, checked)
		}
	}
	known := p.byTarget[to]
	if known == nil {
		known = &pathCheck{}
		p.byTarget[to] = known
	}
	if known.running || known.opened {
		return false
	}
	known.running = true
	return true
}

// end records the end of a check, and reports whether the target's own silence counts now. Nodes that have lost their paths too may have
// been asked at first.
func (p *pathChecks) end(to reach.Target, now clock.Time, conn *reach.Conn, err error) (stalled bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.byTarget[to]
	known.running, known.endedAt = false, now
	known.opened = err == nil && conn.Through == ""
	if err == nil || errors.Is(err, reach.ErrUnconfirmed) {
		known.failures = 0
	} else {
		known.failures++
	}
	return known.opened || known.failures >= confirmingChecks
}

// Sweep looks for silent targets as Table.Sweep does, and returns those that became suspected of having stalled. Where only the way to a
// target is lost, it ends the suspicion and lets the requests on that way be sent again. It is called every interval.
func (s *Server) Sweep(interval time.Duration, gap func(balance.Key, balance.Load) time.Duration) []balance.Key {
	s.sweepPool()
	if s.opt.Paths == nil {
		return s.opt.Table.Sweep(interval, gap)
	}
	suspected := s.opt.Table.SweepHeld(interval, gap)
	for _, way := range s.opt.Table.SilentWays(gap) {
		s.handleSilentWay(way)
	}
	return suspected
}

func (s *Server) handleSilentWay(way balance.Way) {
	to := reach.TargetOf(way.Replica)
	if way.Through != "" {
		if s.opt.Paths.HasPeer(way.Through) {
			s.opt.Table.ConfirmSuspicion(way.Key)
		} else {
			s.strand(way)
		}
		return
	}
	if _, lost := s.opt.Paths.Lost(to); lost {
		s.strand(way)
		return
	}
	if s.checks.begin(to, s.opt.Clock.Now()) {
		go func() {
			defer recovery.Recoverer{Where: "path check", Log: s.opt.Log, Metrics: s.opt.Metrics}.Recover(nil)
			s.checkPath(way.Key, to)
		}()
	}
}

// checkPath finds out whether the silence of a target may be due to this node's own path. If only the path is lost, Paths.Lost tells so soon
// after it.
func (s *Server) checkPath(key balance.Key, to reach.Target) {
	var conn *reach.Conn
	err := recovery.ErrPanic
	defer func() { // Also after a panic.
		if s.checks.end(to, s.opt.Clock.Now(), conn, err) {
			s.opt.Table.ConfirmSuspicion(key)
		}
	}()
	conn, err = s.opt.Paths.Dial(context.Background(), to,
		reach.Request{Timeout: pathCheckTimeout, PeerDelay: peerDelay, Lifetime: pathCheckTimeout, Control: true})
	if err == nil {
		conn.Close()
	}
}

// strand lets the requests on a lost way be sent again.
func (s *Server) strand(way balance.Way) {
	if n := s.opt.Table.Strand(way); n > 0 {
		s.opt.Log.WithFields(logrus.Fields{"target": string(way.Key), "through": way.Through, "requests": n}).
			Warning("the way to a target is lost; its requests may be sent again")
	}
}

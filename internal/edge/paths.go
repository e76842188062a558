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
	// pathCheckInterval is the time between two such checks of a target.
	pathCheckInterval = time.Second
)

// pathChecks are the checks of this node's own paths to silent targets. A target is checked once at a time.
type pathChecks struct {
	mu      sync.Mutex
	running map[reach.Target]bool
	endedAt map[reach.Target]clock.Time // Checks that ended within pathCheckInterval and needn't be repeated at once.
}

// begin reports whether a check of the target is to start.
func (p *pathChecks) begin(to reach.Target, now clock.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for checked, at := range p.endedAt {
		if now.Sub(at) >= pathCheckInterval {
			delete(p.endedAt, checked)
		}
	}
	if _, recent := p.endedAt[to]; recent || p.running[to] {
		return false
	}
	p.running[to] = true
	return true
}

// end records the end of a check, and whether it tells why the target is silent.
func (p *pathChecks) end(to reach.Target, now clock.Time, conclusive bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.running, to)
	if conclusive {
		p.endedAt[to] = now
	}
}

// Sweep looks for silent targets as Table.Sweep does, and returns those that became suspected of having stalled. Where only the way to a
// target is lost, it ends the suspicion and lets the requests on that way be sent again. It is called every interval.
func (s *Server) Sweep(interval time.Duration, gap func(balance.Key, balance.Load) time.Duration) []balance.Key {
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
	conclusive := false
	defer func() { s.checks.end(to, s.opt.Clock.Now(), conclusive) }()
	conn, err := s.opt.Paths.Dial(context.Background(), to,
		reach.Request{Timeout: pathCheckTimeout, PeerDelay: peerDelay, Lifetime: pathCheckTimeout, Control: true})
	if err == nil {
		conn.Close()
		conclusive = conn.Through == ""
	} else {
		conclusive = !errors.Is(err, reach.ErrUnconfirmed)
	}
	if conclusive {
		s.opt.Table.ConfirmSuspicion(key)
	}
}

// strand lets the requests on a lost way be sent again.
func (s *Server) strand(way balance.Way) {
	if n := s.opt.Table.Strand(way); n > 0 {
		s.opt.Log.WithFields(logrus.Fields{"target": string(way.Key), "through": way.Through, "requests": n}).
			Warning("the way to a target is lost; its requests may be sent again")
	}
}

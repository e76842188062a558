package entry

import (
	"sync"

	"github.com/sirupsen/logrus"

	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/platform"
)

const (
	// maxUnreadableLogs is the number of unreadable objects that are logged within summaryInterval, and maxLoggedText the length to which
	// their names and errors are cut: another writer may change such objects all the time, and errors quote them.
	maxUnreadableLogs = 20
	maxLoggedText     = 200
)

// unreadableCounter bounds the log lines about unreadable objects.
type unreadableCounter struct {
	mu      sync.Mutex
	since   clock.Time // Start of the interval.
	logged  int        // In this interval.
	omitted int        // Since the last line.
}

// next reports whether an object is to be logged at the time, and how many were omitted since the last one that was.
func (c *unreadableCounter) next(now clock.Time) (omitted int, log bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.since == 0 || now.Sub(c.since) >= summaryInterval {
		c.since, c.logged = now, 0
	}
	if c.logged >= maxUnreadableLogs {
		c.omitted++
		return 0, false
	}
	omitted = c.omitted
	c.logged, c.omitted = c.logged+1, 0
	return omitted, true
}

// logUnreadable logs an object that can't be decoded or lacks a required field.
func (n *Node) logUnreadable(o platform.Object, err error) {
	omitted, log := n.unreadable.next(n.clock.Now())
	if !log {
		return
	}
	fields := logrus.Fields{"object": shorten(o.Name), "revision": o.Revision}
	if err != nil {
		fields["error"] = shorten(err.Error())
	}
	if omitted > 0 {
		fields["omitted"] = omitted
	}
	n.log.WithFields(fields).Warning("invalid object in the store")
}

func shorten(text string) string { return text[:min(len(text), maxLoggedText)] }

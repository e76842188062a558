package entry

import (
	"sync"
	"time"

	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/internal/planner"
)

// contact is what this node knows of its access to the store. It may be used concurrently.
type contact struct {
	clock clock.Clock

	mu        sync.Mutex
	answered  clock.Time // Last answer, from the store itself or through a mirror that follows it.
	direct    clock.Time // Last answer of the store itself; 0 if there was none.
	answering clock.Time // Since when no call has failed; 0 while they do.
	failed    bool       // The last call got no answer.
}

func newContact(c clock.Clock) *contact { return &contact{clock: c, answered: c.Now()} }

// success notes an answer, and tells whether the last call got none.
func (c *contact) success(direct bool) (again bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	again = c.failed
	if c.failed || c.answering == 0 {
		c.answering = now
	}
	c.answered, c.failed = now, false
	if direct {
		c.direct = now
	}
	return again
}

// failure notes that the store could not be reached.
func (c *contact) failure() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failed, c.answering = true, 0
}

func (c *contact) failing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failed
}

// age returns 0 while the store answers, and the time since its last answer otherwise.
func (c *contact) age() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.failed {
		return 0
	}
	return c.clock.Now().Sub(c.answered)
}

// directAge returns the time since the store itself last answered, and -1 ms if it never did.
func (c *contact) directAge() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.direct == 0 {
		return -time.Millisecond
	}
	return c.clock.Now().Sub(c.direct)
}

func (c *contact) since() clock.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answering
}

// witness returns what the other nodes tell about the store. A node that reaches the store itself shows it at the latest when
// a watch of the configuration ends and the next datagram has come.
func (n *Node) witness() planner.Witness {
	w := planner.Witness{Answering: n.contact.since(), Delay: n.settings.Bounds.ConfigApply/2 + watchSlack + 2*n.mesh.Age()}
	staying := 0
	for _, p := range n.mesh.Alive() {
		if !p.Draining {
			staying++
		}
		if p.StoreContactMs >= 0 {
			w.Contact = max(w.Contact, p.Heard.Add(-time.Duration(p.StoreContactMs)*time.Millisecond))
		}
	}
	w.Quorum = 2*(staying+1) > n.mesh.Known()+1
	return w
}

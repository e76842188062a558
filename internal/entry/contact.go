package entry

import (
	"sync"
	"time"

	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/internal/planner"
)

// contact is what this node knows of its access to the store. It may be used concurrently.
type storeContact struct {
	clock clock.Clock

	mu               sync.Mutex
	lastAnswer       clock.Time // Last answer, from the store itself or through a mirror that follows it.
	lastDirectAnswer clock.Time // Last answer of the store itself; 0 if there was none.
	answeringFrom    clock.Time // Since when no call has failed; 0 while they do.
	lastCallFailed   bool       // The last call got no answer.
}

func newStoreContact(c clock.Clock) *storeContact {
	return &storeContact{clock: c, lastAnswer: c.Now()}
}

// success notes an answer, and tells whether the last call got none.
func (c *storeContact) recordAnswer(direct bool) (recovered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	recovered = c.lastCallFailed
	if c.lastCallFailed || c.answeringFrom == 0 {
		c.answeringFrom = now
	}
	c.lastAnswer, c.lastCallFailed = now, false
	if direct {
		c.lastDirectAnswer = now
	}
	return recovered
}

// failure notes that the store could not be reached.
func (c *storeContact) recordFailure() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastCallFailed, c.answeringFrom = true, 0
}

func (c *storeContact) failing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastCallFailed
}

// age returns 0 while the store answers, and the time since its last answer otherwise.
func (c *storeContact) outageAge() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.lastCallFailed {
		return 0
	}
	return c.clock.Now().Sub(c.lastAnswer)
}

// directAnswerAge returns the time since the store itself last answered, and -1 ms if it never did.
func (c *storeContact) directAnswerAge() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastDirectAnswer == 0 {
		return -time.Millisecond
	}
	return c.clock.Now().Sub(c.lastDirectAnswer)
}

func (c *storeContact) answeringSince() clock.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answeringFrom
}

// witness returns what the other nodes tell about the store. A node that reaches the store itself shows it at the latest when
// a watch of the configuration ends and the next datagram has come.
func (n *Node) storeReachability() planner.Witness {
	w := planner.Witness{Answering: n.storeContact.answeringSince(), Delay: n.settings.Bounds.ConfigApply/2 + watchSlack + 2*n.mesh.OtherZoneInterval()}
	activePeers := 0
	for _, p := range n.mesh.Alive() {
		if !p.Draining {
			activePeers++
		}
		if p.StoreContactMs >= 0 {
			w.Contact = max(w.Contact, p.ReceivedAt.Add(-time.Duration(p.StoreContactMs)*time.Millisecond))
		}
	}
	w.Quorum = 2*(activePeers+1) > n.mesh.KnownCount()+1
	return w
}

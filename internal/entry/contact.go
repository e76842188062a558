package entry

import (
	"sync"
	"time"

	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/internal/planner"
)

// storeContact records when the store last answered this node and whether it is reachable. It may be used concurrently.
type storeContact struct {
	clock clock.Clock

	mu               sync.Mutex
	lastAnswer       clock.Time // Last answer from the store or from a mirror that follows it; at first the start of this process.
	lastDirectAnswer clock.Time // Last answer from the store itself; 0 if there was none.
	answeringFrom    clock.Time // First answer since the last failure; 0 while calls fail and before the first answer.
	lastCallFailed   bool       // Set by a failed call to the store itself; reset by any answer.
}

func newStoreContact(c clock.Clock) *storeContact {
	return &storeContact{clock: c, lastAnswer: c.Now()}
}

// recordAnswer records an answer, from the store itself if direct is true, and returns whether calls failed until then.
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

// recordFailure records a failed call to the store itself.
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

// outageAge returns 0 while the store answers, and the time since its last answer otherwise.
func (c *storeContact) outageAge() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.lastCallFailed {
		return 0
	}
	return c.clock.Now().Sub(c.lastAnswer)
}

// directAnswerAge returns the time since the store itself last answered, or -1 ms if it never did.
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

// storeReachability returns whether the store answers this node and, from their gossip, the other nodes. The delay is the time
// after which an answer of the store to another node is known here: that node's watch of the configuration has to end, and its
// next datagram has to arrive.
func (n *Node) storeReachability() planner.StoreAccess {
	access := planner.StoreAccess{AnsweringSince: n.storeContact.answeringSince(), PeerContactDelay: n.settings.Bounds.ConfigApply/2 + watchSlack + 2*n.mesh.OtherZoneInterval()}
	activePeers := 0
	for _, p := range n.mesh.Alive() {
		if !p.Draining {
			activePeers++
		}
		if p.StoreContactMs >= 0 {
			access.PeerContact = max(access.PeerContact, p.ReceivedAt.Add(-time.Duration(p.StoreContactMs)*time.Millisecond))
		}
	}
	access.Quorum = 2*(activePeers+1) > n.mesh.KnownCount()+1
	return access
}

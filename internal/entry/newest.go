package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/internal/gossip"
	"cassiadeal.example/cassiadeal/platform"
)

const (
	// peerConfigDelay is the time for which another node has a higher version of the configuration until it is read from that node. In
	// calm, the store or a mirror tells of it sooner.
	peerConfigDelay   = 2 * sweepInterval
	peerConfigTimeout = time.Second
	// peerConfigWait is the time after its start for which a node that knows that another has a higher version than the store waits for
	// that one. It doesn't wait to hear of others: when all nodes start at once, clients are waiting too.
	peerConfigWait = 3 * gossip.Interval
)

// newestConfig records which version of the configuration other nodes have, and keeps the object of the one in force here for them: the
// store may have lost it. It may be used concurrently.
type newestConfig struct {
	inForce  atomic.Pointer[platform.Object]
	readAt   atomic.Int64 // clock.Time of the last answer of the store or a mirror to the configuration's follower; 0 if there was none.
	fetching atomic.Bool  // A configuration is being read from another node.
	applying sync.Mutex   // Held while a configuration is put into force.

	mu          sync.Mutex
	peerVersion int64      // Highest version that another node has stated.
	firstHeard  clock.Time // When it was first stated.
	lastHeard   clock.Time
}

// notePeer records the version that another node states.
func (c *newestConfig) notePeer(version int64, now clock.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version > c.peerVersion {
		c.peerVersion, c.firstHeard = version, now
	}
	if version == c.peerVersion {
		c.lastHeard = now
	}
}

// higherThan returns the highest version that other nodes state if it is above the given one, and since when; otherwise 0. It counts for
// configRewriteTime after the last node has stated it: if no one has it any more by then, it is lost for good.
func (c *newestConfig) higherThan(version int64, now clock.Time) (higher int64, since clock.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.peerVersion <= version || now.Sub(c.lastHeard) > configRewriteTime {
		return 0, 0
	}
	return c.peerVersion, c.firstHeard
}

// configVersion returns the version of the configuration in force; 0 if there is none.
func (n *Node) configVersion() int64 {
	if cfg := n.registry.View().Config; cfg != nil {
		return cfg.Version
	}
	return 0
}

// maxConfigAge returns the longest time between two answers to watches of the configuration, also through a mirror, that are in time.
func maxConfigAge(b platform.Bounds) time.Duration { return b.ConfigApply/2 + 2*watchSlack }

// configDoubt tells why there may be a newer configuration than the one in force, or returns "". A route or key that the one in force lacks
// may be in it.
func (n *Node) configDoubt() string {
	now := n.clock.Now()
	if higher, _ := n.newest.higherThan(n.configVersion(), now); higher > 0 {
		return fmt.Sprintf("another node has configuration version %d", higher)
	}
	if !n.storeEra.isSettled() {
		return fmt.Sprintf("the store is known to answer in its present era for %v only", n.storeEra.age().Round(time.Millisecond))
	}
	if n.newest.readAt.Load() == 0 {
		return "neither the store nor a mirror has told the configuration yet"
	}
	if age, limit := now.Sub(clock.Time(n.newest.readAt.Load())), maxConfigAge(n.settings.Bounds); age > limit {
		return fmt.Sprintf("the configuration was last read more than %v ago", limit)
	}
	return ""
}

// logConfigDoubt logs when it changes whether there may be a newer configuration. It returns whether there may be one.
func (n *Node) logConfigDoubt(before bool) bool {
	doubt := n.configDoubt()
	switch {
	case doubt != "" && !before:
		n.log.WithFields(logrus.Fields{"why": doubt, "config_version": n.configVersion()}).Info("there may be a newer configuration; unknown routes and keys are refused only temporarily")
	case doubt == "" && before:
		n.log.WithField("config_version", n.configVersion()).Info("the configuration in force is known to be the newest")
	}
	return doubt != ""
}

// awaitPeerVersion waits at the start of a node, for up to peerConfigWait, while another node is known to have a higher version than the
// given one, which the store holds: a key may not be withdrawn yet in the latter.
func (n *Node) awaitPeerVersion(version int64) {
	for n.configVersion() == 0 && n.mesh.Uptime() < peerConfigWait {
		if higher, _ := n.newest.higherThan(version, n.clock.Now()); higher == 0 {
			return
		}
		time.Sleep(sourceCheckInterval)
	}
}

// readNewerConfig starts to read the configuration from another node that has had a higher version than this one for peerConfigDelay. A
// node that has just started doesn't wait.
func (n *Node) readNewerConfig(ctx context.Context) {
	own, now := n.configVersion(), n.clock.Now()
	higher, since := n.newest.higherThan(own, now)
	if higher == 0 || n.mesh.Uptime() > discoveryTime && now.Sub(since) < peerConfigDelay || !n.newest.fetching.CompareAndSwap(false, true) {
		return
	}
	var sources []string
	for _, p := range n.mesh.Alive() {
		if p.ConfigVersion == higher {
			sources = append(sources, n.configSource(p))
		}
	}
	if len(sources) == 0 {
		n.newest.fetching.Store(false)
		return
	}
	go func() {
		defer n.newest.fetching.Store(false)
		n.readConfigFrom(ctx, sources[rand.IntN(len(sources))])
	}()
}

func (n *Node) readConfigFrom(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, peerConfigTimeout)
	defer cancel()
	o, err := n.mirrorClient(address).Get(ctx, platform.KindConfig, platform.ConfigName)
	if err != nil {
		n.log.WithError(err).WithField("from", address).Info("could not read the configuration from another node")
		return
	}
	if cfg := n.decodeConfig(o); cfg != nil {
		n.putInForce(o, cfg, address)
	}
}

// configSource returns the address at which another node hands on its configuration. All nodes use the same port.
func (n *Node) configSource(p gossip.Peer) string {
	host, _, err := net.SplitHostPort(p.PeerAddress)
	if err != nil {
		return ""
	}
	_, port, err := net.SplitHostPort(n.settings.Mirror)
	if err != nil {
		return ""
	}
	return net.JoinHostPort(host, port)
}

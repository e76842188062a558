package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"cassiadeal.example/cassiadeal/internal/gossip"
	"cassiadeal.example/cassiadeal/internal/mirror"
	"cassiadeal.example/cassiadeal/platform"
)

const (
	// watchSlack is what the answer to a watch may take beyond its wait.
	watchSlack  = 300 * time.Millisecond
	listTimeout = 3 * time.Second
	// initialRetryDelay is the first wait after a failed call, doubled up to the node's maxRetryDelay.
	initialRetryDelay = 150 * time.Millisecond
	// outageListFraction and retryDelayFraction are the parts of the time in which a configuration must be in force that a call may take while
	// the store is away, and that the wait after it may take: a call that was sent in an outage may never be answered, and one
	// that is sent after it must still be in time. Waits vary by half.
	outageListFraction = 1.0 / 3
	retryDelayFraction = 1.0 / 5
	// slowRetryDelay replaces it in nodes that have fastRetryNodes nodes of their failure domain before them in order.
	slowRetryDelay = 3 * time.Second
	fastRetryNodes = 2
	// backOffCheckInterval is how often a waiting follower looks whether a mirror can be read.
	backOffCheckInterval = 100 * time.Millisecond
)

// follower keeps a copy of one kind of the store.
type follower struct {
	node *Node
	kind string
	// wait is the longest wait of one watch. A watch that the store has forgotten is answered by nothing, so the wait must be
	// well below the time in which a change has to be known here.
	maxWait     time.Duration
	minInterval func() time.Duration // Least time between two watches, as each call is priced; nil for none.
	replace     func([]platform.Object)
	apply       func([]platform.Object)
	mirrorCopy  *mirror.Kind // What other nodes read through this one.

	source          string // Mirror that is read; empty for the store itself.
	highestRevision int64  // Highest revision of an object of this kind. A mirror that is behind it isn't read.

	mu            sync.Mutex
	listed        bool // The copy is as of the revision to watch from.
	cancelPending context.CancelFunc
}

// relist gives up the waiting watch and lists anew, after another follower has found that the store's history is gone.
func (f *follower) relist() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listed = false
	if f.cancelPending != nil {
		f.cancelPending()
	}
}

// begin returns the context of the next call and whether it is a watch.
func (f *follower) startCall(ctx context.Context) (context.Context, context.CancelFunc, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	timeout := listTimeout
	switch {
	case f.listed:
		timeout = f.maxWait + watchSlack
	case f.node.storeContact.failing():
		timeout = fraction(f.node.settings.Bounds.ConfigApply, outageListFraction)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	f.cancelPending = cancel
	return ctx, cancel, f.listed
}

func fraction(d time.Duration, share float64) time.Duration { return time.Duration(share * float64(d)) }

// retry gives up a list that may have been asked for in an outage of the store, now that another call was answered.
func (f *follower) cancelPendingList() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.listed && f.cancelPending != nil {
		f.cancelPending()
	}
}

func (f *follower) setListed(listed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listed, f.cancelPending = listed, nil
}

// run lists and watches until the context is done.
func (f *follower) run(ctx context.Context) {
	revision, failing, retryDelay := int64(0), false, initialRetryDelay
	log := f.node.log.WithField("kind", f.kind)
	for ctx.Err() == nil {
		f.selectSource()
		callCtx, cancel, watch := f.startCall(ctx)
		next, err := f.poll(callCtx, revision, watch)
		interrupted := errors.Is(callCtx.Err(), context.Canceled)
		cancel()
		switch {
		case err == nil:
			if failing {
				log.Info("the store answers again")
			}
			revision, failing, retryDelay = next, false, initialRetryDelay
			if f.node.recordStoreAnswer(f.source == "") {
				f.node.cancelOtherLists(f)
			}
			if f.minInterval != nil && f.source == "" {
				sleep(ctx, f.minInterval())
			}
			continue
		case errors.Is(err, platform.ErrHistoryGone):
			log.WithField("mirror", f.source).Info("the history is gone; listing anew")
			f.setListed(false)
			if f.source == "" {
				f.node.relistOthers(f)
			}
			continue
		case ctx.Err() != nil || interrupted:
			continue
		case f.source != "":
			// The store itself is asked next, at once.
			log.WithError(err).WithField("mirror", f.source).Info("a mirror can't be read")
			f.node.avoidMirror(f.source)
			continue
		}
		f.mirrorCopy.Stale()
		f.node.recordStoreFailure()
		if !failing {
			log.WithError(err).Warning("the store doesn't answer")
		}
		failing = true
		f.backOff(ctx, time.Duration(float64(retryDelay)*(0.5+rand.Float64())))
		retryDelay = min(2*retryDelay, f.node.maxRetryDelay())
	}
}

// backOff waits, but not when a mirror can be read or another follower was answered. While the store doesn't answer, only the
// follower of the configuration tries it.
func (f *follower) backOff(ctx context.Context, delay time.Duration) {
	if f.kind != platform.KindConfig {
		delay = slowRetryDelay
	}
	for end := time.Now().Add(delay); ctx.Err() == nil && time.Now().Before(end) && f.node.mirrorSource() == f.source; {
		sleep(ctx, min(backOffCheckInterval, time.Until(end)))
		if !f.node.storeContact.failing() {
			return
		}
	}
}

// maxRetryDelay returns the longest wait after a failed call to the store. Only the first nodes of a failure domain try often in an
// outage, as refused calls are priced too; the others learn from them that it is over.
func (n *Node) maxRetryDelay() time.Duration {
	preceding := 0
	for _, p := range n.mesh.Alive() {
		if p.Zone == n.settings.Zone && n.precedes(p) && !p.Draining {
			preceding++
		}
	}
	if preceding < fastRetryNodes {
		return fraction(n.settings.Bounds.ConfigApply, retryDelayFraction)
	}
	return slowRetryDelay
}

// choose sets the source of the next call. A change of the source makes the follower list anew.
func (f *follower) selectSource() {
	source := f.node.mirrorSource()
	if source == f.source {
		return
	}
	f.source = source
	if source != "" {
		f.mirrorCopy.Stale()
	}
	f.setListed(false)
}

// client returns the client of the current source.
func (f *follower) client() *platform.Store {
	if f.source == "" {
		return f.node.store
	}
	return f.node.mirrorClient(f.source)
}

// errStaleList: a mirror is behind what this node has seen.
var errStaleList = errors.New("the mirror is behind")

func (f *follower) poll(ctx context.Context, revision int64, watch bool) (int64, error) {
	if !watch {
		items, next, err := f.client().List(ctx, f.kind)
		if err == nil && next < f.highestRevision {
			err = errStaleList
		}
		if err != nil {
			return 0, err
		}
		f.raiseHighestRevision(items, next)
		f.replace(items)
		f.setListed(true)
		if f.source == "" {
			f.mirrorCopy.Replace(items, next)
		}
		return next, nil
	}
	events, next, err := f.client().Watch(ctx, f.kind, revision, f.maxWait)
	if err != nil {
		return 0, err
	}
	if len(events) > 0 {
		f.raiseHighestRevision(events, next)
		f.apply(events)
	}
	if f.source == "" {
		f.mirrorCopy.Apply(events, next)
	}
	return next, nil
}

// note raises the highest revision by objects that were read up to the store's revision at. The revision counts the changes of
// all kinds, so a mirror that has seen all changes of this kind may still state a lower one. A removal has no revision of its
// own, and at stands for it.
func (f *follower) raiseHighestRevision(objects []platform.Object, at int64) {
	for _, o := range objects {
		if o.Deleted {
			f.highestRevision = max(f.highestRevision, at)
		} else {
			f.highestRevision = max(f.highestRevision, o.Revision)
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// unreadable logs an object of the store that can't be used, once for each revision.
func (n *Node) logUnreadable(o platform.Object, err error) {
	n.log.WithError(err).WithFields(logrus.Fields{"object": o.Name, "revision": o.Revision}).Warning("an object of the store can't be used")
}

const (
	// mirrorRetryDelay is the time for which a mirror that could not be read isn't tried again.
	mirrorRetryDelay = 3 * time.Second
	// mirrorStartDelay is the time after its start from which a node reads mirrors: until then it doesn't know the other nodes.
	mirrorStartDelay = time.Second
)

// mirrorSource returns the address at which this node reads the store: that of the first node of its failure domain in order
// that follows the store itself, or "" for the store. The planner always asks the store, since its repairs wait for the news.
func (n *Node) mirrorSource() string {
	if n.planner.Holds() || n.mesh.Uptime() < mirrorStartDelay {
		return ""
	}
	var best gossip.Peer
	for _, p := range n.mesh.Alive() {
		usable := p.Zone == n.settings.Zone && p.MirrorAddress != "" && !p.Draining && n.precedes(p) && !n.mirrorAvoided(p.MirrorAddress)
		if usable && (best.NodeGossip == nil || p.Capacity > best.Capacity) {
			best = p // Peers come in order of name.
		}
	}
	if best.NodeGossip == nil {
		return ""
	}
	return best.MirrorAddress
}

func (n *Node) avoidMirror(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.mirrorAvoidedUntil[address] = n.clock.Now().Add(mirrorRetryDelay)
}

func (n *Node) mirrorAvoided(address string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.clock.Now() < n.mirrorAvoidedUntil[address]
}

func (n *Node) mirrorClient(address string) *platform.Store {
	n.mu.Lock()
	defer n.mu.Unlock()
	client := n.mirrorClients[address]
	if client == nil {
		client = platform.NewStore(address)
		n.mirrorClients[address] = client
	}
	return client
}

// mirrorAddress returns the address at which others can read the store through this node, or "".
func (n *Node) mirrorAddress() string {
	if n.draining.Load() {
		return ""
	}
	for _, f := range n.followers {
		if !f.mirrorCopy.Fresh() {
			return ""
		}
	}
	return n.settings.Mirror
}

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
	watchSlack = 300 * time.Millisecond
	listCall   = 3 * time.Second
	// retryStore is the first wait after a failed call, doubled up to the node's retryMost.
	retryStore = 150 * time.Millisecond
	// hungPart and retryPart are the parts of the time in which a configuration must be in force that a call may take while
	// the store is away, and that the wait after it may take: a call that was sent in an outage may never be answered, and one
	// that is sent after it must still be in time. Waits vary by half.
	hungPart  = 1.0 / 3
	retryPart = 1.0 / 5
	// retryStoreSeldom replaces it in nodes that have eagerNodes nodes of their failure domain before them in order.
	retryStoreSeldom = 3 * time.Second
	eagerNodes       = 2
	// backOffStep is how often a waiting follower looks whether a mirror can be read.
	backOffStep = 100 * time.Millisecond
)

// follower keeps a copy of one kind of the store.
type follower struct {
	node *Node
	kind string
	// wait is the longest wait of one watch. A watch that the store has forgotten is answered by nothing, so the wait must be
	// well below the time in which a change has to be known here.
	wait    time.Duration
	pace    func() time.Duration // Least time between two watches, as each call is priced; nil for none.
	replace func([]platform.Object)
	apply   func([]platform.Object)
	copy    *mirror.Kind // What other nodes read through this one.

	source  string // Mirror that is read; empty for the store itself.
	highest int64  // Highest revision of an object of this kind. A mirror that is behind it isn't read.

	mu      sync.Mutex
	listed  bool // The copy is as of the revision to watch from.
	pending context.CancelFunc
}

// relist gives up the waiting watch and lists anew, after another follower has found that the store's history is gone.
func (f *follower) relist() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listed = false
	if f.pending != nil {
		f.pending()
	}
}

// begin returns the context of the next call and whether it is a watch.
func (f *follower) begin(ctx context.Context) (context.Context, context.CancelFunc, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	limit := listCall
	switch {
	case f.listed:
		limit = f.wait + watchSlack
	case f.node.contact.failing():
		limit = part(f.node.settings.Bounds.ConfigApply, hungPart)
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	f.pending = cancel
	return ctx, cancel, f.listed
}

func part(d time.Duration, p float64) time.Duration { return time.Duration(p * float64(d)) }

// retry gives up a list that may have been asked for in an outage of the store, now that another call was answered.
func (f *follower) retry() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.listed && f.pending != nil {
		f.pending()
	}
}

func (f *follower) setListed(listed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listed, f.pending = listed, nil
}

// run lists and watches until the context is done.
func (f *follower) run(ctx context.Context) {
	revision, lost, wait := int64(0), false, retryStore
	log := f.node.log.WithField("kind", f.kind)
	for ctx.Err() == nil {
		f.choose()
		call, cancel, watch := f.begin(ctx)
		next, err := f.once(call, revision, watch)
		interrupted := errors.Is(call.Err(), context.Canceled)
		cancel()
		switch {
		case err == nil:
			if lost {
				log.Info("the store answers again")
			}
			revision, lost, wait = next, false, retryStore
			if f.node.storeAnswered(f.source == "") {
				f.node.retryOthers(f)
			}
			if f.pace != nil && f.source == "" {
				sleep(ctx, f.pace())
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
		f.copy.Stale()
		f.node.storeFailed()
		if !lost {
			log.WithError(err).Warning("the store doesn't answer")
		}
		lost = true
		f.backOff(ctx, time.Duration(float64(wait)*(0.5+rand.Float64())))
		wait = min(2*wait, f.node.retryMost())
	}
}

// backOff waits, but not when a mirror can be read or another follower was answered. While the store doesn't answer, only the
// follower of the configuration tries it.
func (f *follower) backOff(ctx context.Context, d time.Duration) {
	if f.kind != platform.KindConfig {
		d = retryStoreSeldom
	}
	for end := time.Now().Add(d); ctx.Err() == nil && time.Now().Before(end) && f.node.mirrorSource() == f.source; {
		sleep(ctx, min(backOffStep, time.Until(end)))
		if !f.node.contact.failing() {
			return
		}
	}
}

// retryMost returns the longest wait after a failed call to the store. Only the first nodes of a failure domain try often in an
// outage, as refused calls are priced too; the others learn from them that it is over.
func (n *Node) retryMost() time.Duration {
	before := 0
	for _, p := range n.mesh.Alive() {
		if p.Zone == n.settings.Zone && n.precedes(p) && !p.Draining {
			before++
		}
	}
	if before < eagerNodes {
		return part(n.settings.Bounds.ConfigApply, retryPart)
	}
	return retryStoreSeldom
}

// choose sets the source of the next call. A change of the source makes the follower list anew.
func (f *follower) choose() {
	source := f.node.mirrorSource()
	if source == f.source {
		return
	}
	f.source = source
	if source != "" {
		f.copy.Stale()
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

// errBehind: a mirror is behind what this node has seen.
var errBehind = errors.New("the mirror is behind")

func (f *follower) once(ctx context.Context, revision int64, watch bool) (int64, error) {
	if !watch {
		items, next, err := f.client().List(ctx, f.kind)
		if err == nil && next < f.highest {
			err = errBehind
		}
		if err != nil {
			return 0, err
		}
		f.note(items, next)
		f.replace(items)
		f.setListed(true)
		if f.source == "" {
			f.copy.Replace(items, next)
		}
		return next, nil
	}
	events, next, err := f.client().Watch(ctx, f.kind, revision, f.wait)
	if err != nil {
		return 0, err
	}
	if len(events) > 0 {
		f.note(events, next)
		f.apply(events)
	}
	if f.source == "" {
		f.copy.Apply(events, next)
	}
	return next, nil
}

// note raises the highest revision by objects that were read up to the store's revision at. The revision counts the changes of
// all kinds, so a mirror that has seen all changes of this kind may still state a lower one. A removal has no revision of its
// own, and at stands for it.
func (f *follower) note(objects []platform.Object, at int64) {
	for _, o := range objects {
		if o.Deleted {
			f.highest = max(f.highest, at)
		} else {
			f.highest = max(f.highest, o.Revision)
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
func (n *Node) unreadable(o platform.Object, err error) {
	n.log.WithError(err).WithFields(logrus.Fields{"object": o.Name, "revision": o.Revision}).Warning("an object of the store can't be used")
}

const (
	// avoidMirrorFor is the time for which a mirror that could not be read isn't tried again.
	avoidMirrorFor = 3 * time.Second
	// mirrorSettle is the time after its start from which a node reads mirrors: until then it doesn't know the other nodes.
	mirrorSettle = time.Second
)

// mirrorSource returns the address at which this node reads the store: that of the first node of its failure domain in order
// that follows the store itself, or "" for the store. The planner always asks the store, since its repairs wait for the news.
func (n *Node) mirrorSource() string {
	if n.planner.Holds() || n.mesh.Uptime() < mirrorSettle {
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
	n.avoided[address] = n.clock.Now().Add(avoidMirrorFor)
}

func (n *Node) mirrorAvoided(address string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.clock.Now() < n.avoided[address]
}

func (n *Node) mirrorClient(address string) *platform.Store {
	n.mu.Lock()
	defer n.mu.Unlock()
	client := n.mirrors[address]
	if client == nil {
		client = platform.NewStore(address)
		n.mirrors[address] = client
	}
	return client
}

// mirrorAddress returns the address at which others can read the store through this node, or "".
func (n *Node) mirrorAddress() string {
	if n.draining.Load() {
		return ""
	}
	for _, f := range n.followers {
		if !f.copy.Fresh() {
			return ""
		}
	}
	return n.settings.Mirror
}

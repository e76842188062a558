package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/internal/gossip"
	"cassiadeal.example/cassiadeal/internal/mirror"
	"cassiadeal.example/cassiadeal/platform"
)

const (
	// watchSlack is the time that the answer to a watch may take in addition to its wait.
	watchSlack  = 300 * time.Millisecond
	listTimeout = 3 * time.Second
	// initialRetryDelay is the delay after the first failed call. It doubles with each further failure, up to
	// Node.maxRetryDelay.
	initialRetryDelay = 150 * time.Millisecond
	// outageListFraction and retryDelayFraction are fractions of the time within which a change in the store must be known here.
	// They bound a list call while the store is unreachable, and the delay after it: a call sent during an outage
	// may never be answered, and the next one must still be in time if it is sent after the outage. Delays are randomized by
	// +-50%.
	outageListFraction = 1.0 / 3
	retryDelayFraction = 1.0 / 5
	// slowRetryDelay is the longest retry delay on a node that fastRetryNodes or more nodes of its failure domain precede, and
	// the retry delay of all followers but that of the configuration.
	slowRetryDelay = 3 * time.Second
	fastRetryNodes = 2
	// backOffCheckInterval is the time between two checks of a waiting follower whether its source has changed or the store
	// answers.
	backOffCheckInterval = 100 * time.Millisecond
)

// follower reads all objects of one kind, first by a list and then by watches, and passes them to replace and apply. While it
// reads the store itself, it also keeps a copy for other nodes.
type follower struct {
	node *Node
	kind string
	// maxWait is the longest wait of one watch. It must be well below the time within which a change has to be known here,
	// since the store may drop a watch, for example in a compaction, and never answer it.
	maxWait     time.Duration
	minInterval func() time.Duration // Minimum time between two calls to the store, as each one is charged for; nil for none.
	replace     func([]platform.Object)
	apply       func([]platform.Object)
	mirrorCopy  *mirror.Copy // The copy that other nodes read through this one.

	source       string            // Address of the mirror that is read; empty for the store itself.
	lastAnswerAt clock.Time        // Last answer of any source; 0 if there was none.
	position     platform.Position // Where the next watch starts; valid while listed is set.
	busyAnswers  int               // Successive answers of the present source that it is busy.
	// newest is the position of the newest object of this kind that was read. A list of an earlier position isn't used.
	newest platform.Position

	mu            sync.Mutex
	listed        bool // The objects have been listed, so that the next call is a watch.
	watching      bool // The pending call is a watch.
	moved         bool // The present source hasn't answered yet.
	cancelPending context.CancelFunc
}

// relist cancels a pending watch and makes the follower list again, after the store's history was found gone or the store has come
// back from an older copy. A pending list goes on: its answer tells whether it can be used.
func (f *follower) relist() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listed = false
	if f.watching && f.cancelPending != nil {
		f.cancelPending()
	}
}

// startCall returns the context of the next call and whether that call is a watch. It is a list if the position is from a former
// era of the store.
func (f *follower) startCall(ctx context.Context) (context.Context, context.CancelFunc, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listed = f.listed && f.position.Era == f.node.store.Era()
	f.watching = f.listed
	timeout := listTimeout
	switch {
	case f.listed && !f.moved:
		timeout = f.maxWait + watchSlack
	case f.node.storeContact.failing():
		timeout = fraction(f.node.settings.Bounds.ChangeKnown(), outageListFraction)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	f.cancelPending = cancel
	return ctx, cancel, f.listed
}

func fraction(d time.Duration, share float64) time.Duration { return time.Duration(share * float64(d)) }

// cancelPendingList cancels a list that may have been sent during an outage of the store, after another call was answered.
func (f *follower) cancelPendingList() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if (!f.listed || f.moved) && f.cancelPending != nil {
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
	failing, retryDelay := false, initialRetryDelay
	log := f.node.log.WithField("kind", f.kind)
	for ctx.Err() == nil {
		f.awaitSource(ctx)
		f.selectSource()
		callCtx, cancel, watch := f.startCall(ctx)
		next, err := f.poll(callCtx, watch)
		f.countRead(watch, err)
		interrupted := errors.Is(callCtx.Err(), context.Canceled)
		cancel()
		switch {
		case err == nil:
			if failing {
				log.Info("the store is reachable again")
			}
			f.position, failing, retryDelay = next, false, initialRetryDelay
			f.lastAnswerAt = f.node.clock.Now()
			if f.kind == platform.KindConfig {
				f.node.newest.readAt.Store(int64(f.lastAnswerAt))
			}
			if f.node.recordStoreAnswer(f.source == "") {
				f.node.cancelOtherLists(f)
			}
			if f.minInterval != nil && f.source == "" {
				sleep(ctx, f.minInterval())
			}
			continue
		case errors.Is(err, platform.ErrHistoryGone):
			log.WithField("mirror", f.source).Info("the source's history no longer holds the revision; listing again")
			f.setListed(false)
			if f.source == "" {
				f.node.relistOthers(f)
			}
			continue
		case ctx.Err() != nil || interrupted:
			continue
		case f.source != "":
			// The next call goes to another mirror or the store itself, without a delay.
			log.WithError(err).WithField("mirror", f.source).Info("could not read from a mirror; switching to another source")
			f.leaveMirror(ctx, err)
			continue
		}
		f.mirrorCopy.MarkStale()
		f.node.recordStoreFailure()
		if !failing {
			log.WithError(err).Warning("calls to the store fail; retrying")
		}
		failing = true
		f.backOff(ctx, time.Duration(float64(retryDelay)*(0.5+rand.Float64())))
		retryDelay = min(2*retryDelay, f.node.maxRetryDelay())
	}
}

// backOff waits for the delay, or until the source changes or another follower gets an answer. Only the follower of the
// configuration uses the given delay; the others wait for slowRetryDelay, so that few calls are made during an outage.
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

// maxRetryDelay returns the longest delay after a failed call to the store. Only the first nodes of a failure domain retry
// often during an outage, as refused calls are charged for too; the others notice its end by the mirrors of those nodes.
func (n *Node) maxRetryDelay() time.Duration {
	preceding := 0
	for _, p := range n.mesh.Alive() {
		if p.Zone == n.settings.Zone && n.precedes(p) && !p.Draining {
			preceding++
		}
	}
	if preceding < fastRetryNodes {
		return fraction(n.settings.Bounds.ChangeKnown(), retryDelayFraction)
	}
	return slowRetryDelay
}

// selectSource sets the source of the next call.
func (f *follower) selectSource() {
	if source := f.node.mirrorSource(); source != f.source {
		f.moveTo(source)
	}
}

// client returns the client of the current source.
func (f *follower) client() *platform.Store {
	if f.source == "" {
		return f.node.store
	}
	return f.node.mirrorClient(f.source)
}

// errStaleList means that a list is older than an object that this node has already read in the same era of the store.
var errStaleList = errors.New("the list is older than the objects read before")

func (f *follower) poll(ctx context.Context, watch bool) (platform.Position, error) {
	if !watch {
		items, next, err := f.client().List(ctx, f.kind)
		if err == nil && next.Before(f.newest) {
			err = errStaleList
		}
		if err = f.checkEra(next, err); err != nil {
			return platform.Position{}, err
		}
		f.noteRead(items, next)
		f.replace(items)
		f.setListed(true)
		f.mirrorCopy.Replace(items, next)
		f.noteSourceAnswered()
		return next, nil
	}
	events, next, err := f.client().Watch(ctx, f.kind, f.position, f.watchWait())
	if err = f.checkEra(next, err); err != nil {
		return platform.Position{}, err
	}
	if len(events) > 0 {
		f.noteRead(events, next)
		f.apply(events)
	}
	f.mirrorCopy.Apply(events, next)
	f.noteSourceAnswered()
	return next, nil
}

// checkEra returns err, or platform.ErrHistoryGone for an answer that was overtaken while it was decoded: the store has come back from an
// older copy since.
func (f *follower) checkEra(at platform.Position, err error) error {
	if err == nil && at.Era < f.node.store.Era() {
		return platform.ErrHistoryGone
	}
	return err
}

// noteRead raises newest to the positions of the given objects, which were read at the store's position at. It doesn't use at for all
// of them: its revision counts the changes of all kinds, so a mirror that has all changes of this kind may still state a lower one. A
// removal has no revision of its own, so at is used for it.
func (f *follower) noteRead(objects []platform.Object, at platform.Position) {
	for _, o := range objects {
		read := platform.Position{Era: o.Era, Revision: o.Revision}
		if o.Deleted {
			read = at
		}
		if f.newest.Before(read) {
			f.newest = read
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

const (
	// mirrorRetryDelay is the time before a mirror that could not be read is tried again.
	mirrorRetryDelay = 3 * time.Second
	// firstRunMirrorWait is how long a node waits for a mirror before it reads the store itself in the first run of the system,
	// when all nodes start at once and clients come later. After a restart clients are waiting, so the store is read at once.
	firstRunMirrorWait = 4 * time.Second
	// discoveryTime is the time in which a node that has just started gets datagrams of the other nodes. Until then it doesn't
	// know whether one precedes it.
	discoveryTime = 600 * time.Millisecond
	// mirrorWaitFraction is the fraction of the time within which a change in the store must be known here, counted from the last
	// answer, for which a node that has lost its mirror waits for another one before it reads the store itself.
	mirrorWaitFraction = 0.75
	// sourceCheckInterval is the time between two checks whether there is a mirror to read.
	sourceCheckInterval = 25 * time.Millisecond
)

// awaitSource waits until there is a mirror to read, or this node is to read the store itself. Calls to the store are charged for,
// and when all nodes of a failure domain lose their mirror at once, or start at once, one of them is enough to read the store for
// all. The records of the nodes are first read from the store, since mirrors aren't known before.
func (f *follower) awaitSource(ctx context.Context) {
	if f.kind == nodesKind && f.lastAnswerAt == 0 && f.node.settings.FirstRun {
		select {
		case <-ctx.Done():
		case <-f.node.registered: // Of two nodes, the one that registers later then finds the other's record.
		}
		return
	}
	if f.lastAnswerAt != 0 && f.source == "" {
		return // This follower reads the store already.
	}
	if f.isFirstListAfterRestart() {
		f.node.awaitStartSlot(ctx)
	}
	for ctx.Err() == nil && f.node.mirrorSource() == "" && !f.node.readsStore(f.lastAnswerAt) {
		sleep(ctx, sourceCheckInterval)
	}
}

// readsStore reports whether a follower whose last answer came at lastAnswer, 0 for never, is to read the store itself if there is
// no mirror: no other node of this failure domain is to do so first, or it has waited long enough.
func (n *Node) readsStore(lastAnswer clock.Time) bool {
	uptime := n.mesh.Uptime()
	if lastAnswer != 0 {
		if n.clock.Now().Sub(lastAnswer) >= fraction(n.settings.Bounds.ChangeKnown(), mirrorWaitFraction) {
			return true
		}
	} else if !n.settings.FirstRun || uptime >= firstRunMirrorWait {
		return true
	}
	if n.planner.Active() || n.storeContact.failing() {
		return true
	}
	if uptime < discoveryTime {
		return false
	}
	return !n.precededByMirror(n.mesh.Alive())
}

// peerMirror returns the address at which a node serves as a mirror when it does, whether or not it does now: that at which it was
// last read, or the one that it states.
func (n *Node) peerMirror(p gossip.Peer) string {
	if p.MirrorAddress != "" {
		return p.MirrorAddress
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.mirrorOf[p.Node]
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
		client = n.store.Mirror(address)
		n.mirrorClients[address] = client
	}
	return client
}

// mirrorAddress returns the address at which other nodes can read the store through this one, or "" if they can't now.
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

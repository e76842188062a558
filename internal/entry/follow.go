package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"cassiadeal.example/cassiadeal/platform"
)

const (
	// watchSlack is what the answer to a watch may take beyond its wait.
	watchSlack = 300 * time.Millisecond
	listCall   = 3 * time.Second
	// retryStore is the first wait after a failed call, doubled up to retryStoreMost.
	retryStore     = 150 * time.Millisecond
	retryStoreMost = 800 * time.Millisecond
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
	if f.listed {
		limit = f.wait + watchSlack
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	if f.listed {
		f.pending = cancel
	}
	return ctx, cancel, f.listed
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
			f.node.storeAnswered()
			if f.pace != nil {
				sleep(ctx, f.pace())
			}
			continue
		case errors.Is(err, platform.ErrHistoryGone):
			log.Info("the store's history is gone; listing anew")
			f.setListed(false)
			f.node.relistOthers(f)
			continue
		case ctx.Err() != nil || interrupted:
			continue
		}
		f.node.storeFailed()
		if !lost {
			log.WithError(err).Warning("the store doesn't answer")
		}
		lost = true
		sleep(ctx, time.Duration(float64(wait)*(0.5+rand.Float64())))
		wait = min(2*wait, retryStoreMost)
	}
}

func (f *follower) once(ctx context.Context, revision int64, watch bool) (int64, error) {
	if !watch {
		items, next, err := f.node.store.List(ctx, f.kind)
		if err == nil {
			f.replace(items)
			f.setListed(true)
		}
		return next, err
	}
	events, next, err := f.node.store.Watch(ctx, f.kind, revision, f.wait)
	if err == nil && len(events) > 0 {
		f.apply(events)
	}
	return next, err
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

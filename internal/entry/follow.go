package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"cassiadeal.example/cassiadeal/platform"
)

const (
	// watchWait is the longest wait of one watch and watchSlack what its answer may take beyond it. A watch that hangs in a
	// store that has come back is given up within both.
	watchWait  = 4 * time.Second
	watchSlack = 700 * time.Millisecond
	listCall   = 3 * time.Second
	// retryStore is the first wait after a failed call, doubled up to retryStoreMost.
	retryStore     = 150 * time.Millisecond
	retryStoreMost = 800 * time.Millisecond
)

// follower keeps a copy of one kind of the store.
type follower struct {
	node    *Node
	kind    string
	pace    time.Duration // Least time between two watches: each call is priced.
	replace func([]platform.Object)
	apply   func([]platform.Object)
}

// run lists and watches until the context is done.
func (f *follower) run(ctx context.Context) {
	revision, listed, lost := int64(0), false, false
	wait := retryStore
	for ctx.Err() == nil {
		next, err := f.once(ctx, revision, listed)
		if err == nil {
			if lost {
				f.node.log.WithField("kind", f.kind).Info("the store answers again")
			}
			revision, listed, lost, wait = next, true, false, retryStore
			f.node.storeAnswered()
			sleep(ctx, f.pace)
			continue
		}
		if errors.Is(err, platform.ErrHistoryGone) {
			f.node.log.WithField("kind", f.kind).Info("the store's history is gone; listing anew")
			listed = false
			continue
		}
		if ctx.Err() != nil {
			return
		}
		f.node.storeFailed()
		if !lost {
			f.node.log.WithError(err).WithField("kind", f.kind).Warning("the store doesn't answer")
		}
		lost = true
		sleep(ctx, time.Duration(float64(wait)*(0.5+rand.Float64())))
		wait = min(2*wait, retryStoreMost)
	}
}

func (f *follower) once(ctx context.Context, revision int64, listed bool) (int64, error) {
	if !listed {
		ctx, cancel := context.WithTimeout(ctx, listCall)
		defer cancel()
		items, next, err := f.node.store.List(ctx, f.kind)
		if err == nil {
			f.replace(items)
		}
		return next, err
	}
	ctx, cancel := context.WithTimeout(ctx, watchWait+watchSlack)
	defer cancel()
	events, next, err := f.node.store.Watch(ctx, f.kind, revision, watchWait)
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

package claims

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"golang.org/x/time/rate"

	"cassiadeal.example/cassiadeal/internal/platform"
)

const (
	// buckets divides the claims of one minute into kinds, so that one list stays below the 64 MiB that the platform client
	// accepts: at 300 claims a second 563 claims, 49 MB if each has an answer of MaxStoredAnswer.
	buckets = 32
	// A node sweeps one bucket a second; missed seconds are made up for, up to maxCatchUp of them.
	sweepInterval = time.Second
	maxCatchUp    = 60
	// deletesPerSecond bounds the deletes of one node, as they count against the platform's few hundred writes a second.
	deletesPerSecond = 20
	listTimeout      = 10 * time.Second
)

// passes are the times after which a minute is swept again, by another node each time: for claims that were written late,
// whose delete failed, or whose node ended. The last one comes after the longest outage of the platform (24 h).
var passDelays = []time.Duration{0, 15 * time.Minute, 2 * time.Hour, 25 * time.Hour}

// kindForKey returns the kind of the object that holds the claim of a key: the minute of the key and a bucket.
func kindForKey(key string) string {
	id, _ := uuid.Parse(key) // A malformed key was refused before.
	return kindName(keyTime(id).Unix()/60, int64(xxhash.Sum64String(key)%buckets))
}

func kindName(minute, bucket int64) string { return fmt.Sprintf("claims-%d-%02d", minute, bucket) }

// runSweeps deletes old claims until ctx is done. What a node sweeps follows from the time alone: second s of each minute
// is for bucket s.
//
// Deleting a claim is safe, in whatever state it is, once its key's age is above Window + MaxClockSkew by this node's clock: two
// clocks differ by at most MaxClockSkew, so by every node's clock the age is above Window by then, and Acquire refuses the key
// after any write that comes later than the delete (confirm). A request that was claimed before the delete and is still
// running, or not yet sent, keeps its only right to be dispatched. A claim that is settled after the delete gets a
// conflict. The delete is conditional on the version only so that a stale list does no harm.
func (m *Manager) runSweeps(ctx context.Context) {
	limiter := rate.NewLimiter(deletesPerSecond, 1)
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	lastSwept := m.opts.Now().Unix()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := m.opts.Now().Unix()
		for lastSwept = min(max(lastSwept, now-maxCatchUp), now); lastSwept < now && ctx.Err() == nil; {
			lastSwept++
			m.sweepSecond(ctx, limiter, lastSwept)
		}
	}
}

func (m *Manager) sweepSecond(ctx context.Context, limiter *rate.Limiter, second int64) {
	bucket := second % 60
	if bucket >= buckets {
		return
	}
	for pass, delay := range passDelays {
		minute := expiredMinute(time.Unix(second, 0).Add(-delay))
		if m.sweeper(minute, bucket, pass) != m.opts.Node {
			continue
		}
		if err := m.sweepKind(ctx, limiter, kindName(minute, bucket)); err != nil && ctx.Err() == nil {
			m.opts.Log.WithError(err).WithField("kind", kindName(minute, bucket)).Info("old claims are left to a later pass")
		}
	}
}

// expiredMinute returns the latest minute whose keys are all older than Window + MaxClockSkew.
func expiredMinute(now time.Time) int64 { return now.Add(-MaxKeyAge-MaxClockSkew).Unix()/60 - 1 }

// sweeper returns the node with the highest rendezvous weight for one pass over a minute and bucket. Nodes that see other
// live nodes may both sweep or both leave it to a later pass.
func (m *Manager) sweeper(minute, bucket int64, pass int) string {
	if m.opts.Nodes == nil {
		return m.opts.Node
	}
	var best string
	var highest uint64
	for _, name := range m.opts.Nodes() {
		weight := xxhash.Sum64String(fmt.Sprintf("%s %d %d %d", name, minute, bucket, pass))
		if best == "" || weight > highest || weight == highest && name < best {
			best, highest = name, weight
		}
	}
	return best
}

func (m *Manager) sweepKind(ctx context.Context, limiter *rate.Limiter, kind string) error {
	listCtx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	objects, _, err := m.opts.Store.List(listCtx, kind)
	if err != nil {
		return err
	}
	for _, o := range objects {
		if err := limiter.Wait(ctx); err != nil {
			return err
		}
		callCtx, cancel := context.WithTimeout(ctx, platformCallTimeout)
		err := m.opts.Store.Delete(callCtx, kind, o.Name, o.Version)
		cancel()
		if err != nil && !errors.Is(err, platform.ErrConflict) && !errors.Is(err, platform.ErrNotFound) {
			return err
		}
	}
	return nil
}

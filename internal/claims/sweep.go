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
	// buckets is the number of object kinds among which the claims of one minute are divided, so that a list of one kind
	// stays below the 64 MiB that the platform client accepts. At 300 claims a second, a list has 563 claims, which are 49 MB
	// if each has an answer of MaxStoredAnswer.
	buckets = 32
	// Nodes sweep the bucket of the current second every sweepInterval. Seconds that were missed, for example during a
	// pause, are swept afterwards, up to maxCatchUp of them.
	sweepInterval = time.Second
	maxCatchUp    = 60
	// deletesPerSecond limits the deletes of one node, because they count towards the platform's limit of a few hundred
	// writes a second.
	deletesPerSecond = 20
	// listTimeout bounds one list of a kind.
	listTimeout = 10 * time.Second
)

// passDelays are the delays, from the expiry of a minute's keys, after which its claims are swept. The repeated passes delete
// claims that were written late, whose delete failed, or whose sweeper ended; a hash chooses the sweeper of each pass, so it
// is usually another node. The last pass comes after the longest outage of the platform (24 h).
var passDelays = []time.Duration{0, 15 * time.Minute, 2 * time.Hour, 25 * time.Hour}

// kindForKey returns the kind of the object that holds the claim of a key. It consists of the minute in which the key was
// created and a bucket, which is a hash of the key.
func kindForKey(key string) string {
	id, _ := uuid.Parse(key) // CheckKey has already refused malformed keys.
	return kindName(keyTime(id).Unix()/60, int64(xxhash.Sum64String(key)%buckets))
}

func kindName(minute, bucket int64) string { return fmt.Sprintf("claims-%d-%02d", minute, bucket) }

// runSweeps deletes old claims until ctx is done. The time alone determines the bucket to sweep: second s of each minute is
// for bucket s.
//
// A claim in any state can be deleted safely once the age of its key is above MaxKeyAge + MaxClockSkew by this node's clock.
// Two clocks differ by at most MaxClockSkew, so by every node's clock the age is then above MaxKeyAge, and Acquire refuses
// the key after any claim write that comes later than the delete (recheck). A request that was claimed before the
// delete, and is still running or not yet sent, may continue, since no other request can get the claim. Settling it after
// the delete results in a conflict. The delete is conditional on the version only to be correct after a stale list.
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

// sweepSecond sweeps the bucket of the given Unix second for each of passDelays for which this node is the sweeper.
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
			m.opts.Log.WithError(err).WithField("kind", kindName(minute, bucket)).Info("could not delete all old claims of a kind in this pass")
		}
	}
}

// expiredMinute returns the latest minute whose keys are all older than MaxKeyAge + MaxClockSkew.
func expiredMinute(now time.Time) int64 { return now.Add(-MaxKeyAge-MaxClockSkew).Unix()/60 - 1 }

// sweeper returns the node with the highest rendezvous hash for one pass over a minute and bucket. If nodes have different
// lists of live nodes, it can happen that several of them sweep, or none before a later pass.
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

// sweepKind deletes all claims of a kind, at the rate of the limiter. It skips claims that have changed or were deleted since
// they were listed.
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

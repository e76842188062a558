package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/internal/fleet"
)

const (
	// evacuationHoldBounds is the number of times the bound for an evacuation to take effect for which an evacuation is kept that an older
	// copy of the store lacks. The operator writes it again within seconds. One that was also ended meanwhile leaves no event, and a failure
	// domain that is left out for longer costs little.
	evacuationHoldBounds = 2
	// configRewriteTime is the time for which the store must have answered in an era until the configuration that it holds counts as the
	// newest one: the operator has then written again what the store had lost. Replicas take up to half of it for their entries.
	configRewriteTime = 2 * fleet.ReturnGrace
)

// eraRecord records for how long the store is known to answer in its present era. It may be used concurrently.
type eraRecord struct {
	clock clock.Clock
	// maxGap is the longest time between two answers to any nodes in which the store counts as answering. After a longer one, the time in
	// which the operator can write counts anew.
	maxGap time.Duration

	mu  sync.Mutex
	era int64 // Highest known era; 0 if none is known.
	// The store is known to have answered some node in the era from since to lastAnswer, without a gap above maxGap.
	since, lastAnswer clock.Time
	// settled is set once that has lasted for configRewriteTime.
	settled bool
}

// learn records an era, which an answer or another node has stated, and returns the one that was known before.
func (r *eraRecord) learn(era int64) (former int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	former = r.era
	if era > former {
		r.era, r.since, r.lastAnswer, r.settled = era, r.clock.Now(), r.clock.Now(), false
	}
	return former
}

// settle records that the store holds the newest configuration in the present era.
func (r *eraRecord) settle() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settled = true
}

// noteAnswer records that the store answers this node.
func (r *eraRecord) noteAnswer() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	if now.Sub(r.lastAnswer) > r.maxGap {
		r.since = now
	}
	r.lastAnswer = now
	r.settleIfDue()
}

// noteAge records that another node knows the store to answer in the era for the given time.
func (r *eraRecord) noteAge(era int64, age time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if era == r.era && age > r.ageLocked() {
		r.lastAnswer = r.clock.Now()
		r.since = r.lastAnswer.Add(-age)
		r.settleIfDue()
	}
}

// settleIfDue is called after each answer. The lock is held.
func (r *eraRecord) settleIfDue() {
	r.settled = r.settled || r.era != 0 && r.ageLocked() >= configRewriteTime
}

// age returns the time for which the store is known to answer in the present era.
func (r *eraRecord) age() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.settled {
		return max(configRewriteTime, r.ageLocked())
	}
	return r.ageLocked()
}

// ageLocked returns 0 if the store hasn't answered for longer than maxGap. The lock is held.
func (r *eraRecord) ageLocked() time.Duration {
	if r.clock.Now().Sub(r.lastAnswer) > r.maxGap {
		return 0
	}
	return r.lastAnswer.Sub(r.since)
}

// isSettled reports whether the store can be taken to hold the newest configuration. It is always so if the store states no era.
func (r *eraRecord) isSettled() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.settled || r.era == 0
}

// eraMetrics counts what tells of restores of the store.
type eraMetrics struct{ restores, formerAnswers metric.Int64Counter }

func newEraMetrics(m metric.Meter) (eraMetrics, error) {
	restores, err := m.Int64Counter("cassiadeal_store_restores", metric.WithDescription("Times that the store was seen to come back from an older copy."))
	if err != nil {
		return eraMetrics{}, eris.Wrap(err, "create the counter of restores")
	}
	former, err := m.Int64Counter("cassiadeal_store_former_answers", metric.WithDescription("Answers refused as ones of a former era of the store, by method and kind."))
	return eraMetrics{restores, former}, eris.Wrap(err, "create the counter of former answers")
}

func (m eraMetrics) countFormer(method, kind string) {
	m.formerAnswers.Add(context.Background(), 1, metric.WithAttributes(attribute.String("method", method), attribute.String("kind", kind)))
}

// learnEra records an era of the store that an answer of the store or of a mirror, or another node, has stated. A higher one than the
// known one means that the store has come back from an older copy; see platform.Store.Era. No answer of the new era is used before all parts
// know of it, since callers wait here until then. It is safe for concurrent use.
func (n *Node) learnEra(era int64) {
	n.eraEvent.Lock()
	defer n.eraEvent.Unlock()
	former := n.storeEra.learn(era)
	if era <= former {
		return
	}
	defer n.store.LearnEra(era)
	if former == 0 {
		if n.settings.FirstRun {
			n.storeEra.settle() // Nothing was written before that could have been lost.
		}
		return // The first era that this process learns of says nothing about a restore.
	}
	n.log.WithFields(logrus.Fields{"era": era, "former_era": former, "entries_held_ms": fleet.ReturnGrace.Milliseconds(),
		"unknown_routes_held_ms": configRewriteTime.Milliseconds()}).Warning("the store has come back from an older copy")
	n.eraMetrics.restores.Add(context.Background(), 1)
	n.storeRestored(era)
}

// storeRestored tells all parts that rely on the store's contents that it has come back from an older copy. What was written after
// that copy is lost, also what was acknowledged, until its writers write it again; revisions of former eras mean nothing any more.
func (n *Node) storeRestored(era int64) {
	n.lease.StoreRestored(era)
	n.planner.StoreRestored()
	bounds := n.settings.Bounds
	n.registry.Restored(fleet.RestoreBounds{Lapse: bounds.EntryTTL + fleet.ReturnGrace, Evacuations: evacuationHoldBounds * bounds.Evacuate})
	for _, f := range n.followers {
		f.mirrorCopy.Restored(era)
		f.relist()
	}
	// All nodes write their records again, so they do it at different times.
	time.AfterFunc(rand.N(recordInterval), n.rewriteRecord)
}

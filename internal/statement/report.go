package statement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"cassiadeal.example/cassiadeal/internal/schema"
)

const (
	// reportFor is the time since it was last heard for which a statement is told to other nodes. It exceeds the time that a
	// leaving target takes to finish its requests, so that a node that restarts meanwhile learns of it.
	reportFor = 30 * time.Second
	// maxReports bounds the statements in one message to another node, about 80 bytes each.
	maxReports = 256
	// A change is in the messages of spreadIntervals, so that each node gets it even if a message is lost. Afterwards statements are
	// repeated in the messages of repeatIntervals, once in every minRepeatCycle or repeatCycleIntervals, whichever is longer. An
	// interval is the longest time between two messages to the same node.
	spreadIntervals      = 2
	repeatIntervals      = 1.5
	repeatCycleIntervals = 6
	minRepeatCycle       = 3 * time.Second
)

// Reports returns the statements for a message to other nodes, those heard last first. interval is the longest time between two
// messages to the same node. Each message holds the statements that have changed lately, and some hold all. They include statements
// that other nodes told this one, because some nodes may not reach each other.
func (t *Table) Reports(interval time.Duration) []*schema.TargetStatement {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.options.Now()
	repeatFor := time.Duration(repeatIntervals * float64(interval))
	all := now%max(minRepeatCycle, repeatCycleIntervals*interval) < repeatFor || t.nodeStartedAt != 0 && now-t.nodeStartedAt < repeatFor
	var list []*schema.TargetStatement
	for target, s := range t.targets {
		if now-s.heardAt <= reportFor && (all || now-s.changedAt < spreadIntervals*interval) {
			list = append(list, s.report(target, now))
		}
	}
	slices.SortFunc(list, func(a, b *schema.TargetStatement) int {
		return cmp.Or(cmp.Compare(a.AgeMs, b.AgeMs), cmp.Compare(a.Target, b.Target))
	})
	return list[:min(len(list), maxReports)]
}

// NoteNode makes the next messages hold all statements if the node hasn't been seen before, or has started since it was last seen.
// start identifies a start of the node.
func (t *Table) NoteNode(name, start string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if last, known := t.nodeStarts[name]; !known || start != last {
		t.nodeStarts[name], t.nodeStartedAt = start, t.options.Now()
	}
}

func (s *state) report(target Target, now time.Duration) *schema.TargetStatement {
	r := &schema.TargetStatement{Target: target.ID, Incarnation: target.Incarnation, AgeMs: (now - s.heardAt).Milliseconds(), Leaving: s.leaving}
	if s.limitAt != 0 {
		r.LimitAgeMs = proto.Int64((now - s.limitAt).Milliseconds())
	}
	if s.limit.Stated {
		r.LimitPerSecond = proto.Float64(s.limit.PerSecond)
	}
	return r
}

// Merge records the statements that another node reported.
func (t *Table) Merge(reports []*schema.TargetStatement) {
	for _, r := range reports {
		target := Target{r.GetTarget(), r.GetIncarnation()}
		if target.ID == "" {
			continue
		}
		t.mu.Lock()
		news := t.mergeLocked(target, r)
		t.noteChangeLocked(target, news)
		t.mu.Unlock()
		t.announce(target, news, "node")
	}
}

// mergeLocked records the statement that another node reported. Of two nodes that have heard different limits, the one that heard last
// is right, up to the time that a message takes.
func (t *Table) mergeLocked(target Target, r *schema.TargetStatement) (n news) {
	now := t.options.Now()
	if age := milliseconds(r.GetAgeMs()); age <= retention && r.GetLeaving() {
		n = t.recordLocked(target, Statement{Leaving: true}, now-age)
	}
	age := milliseconds(r.GetLimitAgeMs())
	if r.LimitAgeMs == nil || age > retention {
		return n
	}
	var limit Limit
	if r.LimitPerSecond != nil && r.GetLimitPerSecond() >= 0 {
		limit = Limit{Stated: true, PerSecond: min(r.GetLimitPerSecond(), maxLimit)}
	}
	known := t.targets[target]
	switch {
	case known == nil && !limit.Stated, known != nil && now-age <= known.limitAt:
		return n
	case known == nil || known.limit != limit:
		n.limit = &limit
	}
	t.stateLocked(target).setLimit(limit, now-age)
	return n
}

// milliseconds returns a duration that a message states, or 0 if it is negative.
func milliseconds(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), math.MaxInt64/int64(time.Millisecond))) * time.Millisecond
}

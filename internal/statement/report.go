package statement

import (
	"cmp"
	"slices"
	"time"

	"cassiadeal.example/cassiadeal/internal/schema"
)

const (
	// reportFor is the time since it was last heard for which a statement is told to other nodes. It exceeds the time that a
	// leaving target takes to finish its requests, so that a node that restarts meanwhile learns of it.
	reportFor = 30 * time.Second
	// maxReports bounds the statements in one message to another node, about 80 bytes each.
	maxReports = 256
)

// Reports returns the statements to tell other nodes, those heard last first. They include statements that other nodes told this
// one, because some nodes may not reach each other.
func (t *Table) Reports() []*schema.TargetStatement {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.targets) == 0 {
		return nil
	}
	now := t.options.Now()
	var list []*schema.TargetStatement
	for target, s := range t.targets {
		if age := now - s.heardAt; age <= reportFor {
			list = append(list, &schema.TargetStatement{Target: target.ID, Incarnation: target.Incarnation, AgeMs: age.Milliseconds(), Leaving: s.leaving})
		}
	}
	slices.SortFunc(list, func(a, b *schema.TargetStatement) int {
		return cmp.Or(cmp.Compare(a.AgeMs, b.AgeMs), cmp.Compare(a.Target, b.Target))
	})
	return list[:min(len(list), maxReports)]
}

// Merge records the statements that another node reported.
func (t *Table) Merge(reports []*schema.TargetStatement) {
	for _, r := range reports {
		target := Target{r.GetTarget(), r.GetIncarnation()}
		age := time.Duration(max(r.GetAgeMs(), 0)) * time.Millisecond
		if target.ID == "" || age > retention {
			continue
		}
		t.mu.Lock()
		news := t.recordLocked(target, Statement{Leaving: r.GetLeaving()}, t.options.Now()-age)
		t.mu.Unlock()
		t.announce(target, news, "node")
	}
}

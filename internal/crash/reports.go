package crash

import (
	"cmp"
	"slices"
	"time"

	"cassiadeal.example/cassiadeal/internal/schema"
)

// Reports returns the most recent crashes, up to Options.MaxReports, for a heartbeat, and the last answers of their
// fingerprints. The newest crash comes first.
func (t *Table) Reports() ([]*schema.CrashReport, []*schema.AnswerReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeExpiredLocked()
	now := t.options.Now()
	crashes := make([]*schema.CrashReport, 0, t.total)
	for fingerprint, rs := range t.crashes {
		for id, r := range rs {
			crashes = append(crashes, &schema.CrashReport{Fingerprint: fingerprint, Target: id.target, Incarnation: id.incarnation,
				Began: r.began, AgeMs: (now - r.at).Milliseconds()})
		}
	}
	slices.SortFunc(crashes, func(a, b *schema.CrashReport) int { return cmp.Compare(a.GetAgeMs(), b.GetAgeMs()) })
	crashes = crashes[:min(len(crashes), t.options.MaxReports)]
	var answers []*schema.AnswerReport
	reported := map[string]bool{}
	for _, c := range crashes {
		if at, ok := t.answers.get(c.Fingerprint); ok && !reported[c.Fingerprint] {
			answers = append(answers, &schema.AnswerReport{Fingerprint: c.Fingerprint, AgeMs: (now - at).Milliseconds()})
		}
		reported[c.Fingerprint] = true
	}
	return crashes, answers
}

// Merge records the crashes and answers that a peer reported.
func (t *Table) Merge(crashes []*schema.CrashReport, answers []*schema.AnswerReport) {
	for _, r := range crashes {
		t.Record(CrashOf(r))
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.options.Now()
	for _, r := range answers {
		t.answers.set(r.GetFingerprint(), now-max(0, time.Duration(r.GetAgeMs())*time.Millisecond), now, t.options.AnsweredFor)
	}
}

// CrashOf returns the crash that a report describes.
func CrashOf(r *schema.CrashReport) Crash {
	return Crash{Fingerprint: r.GetFingerprint(), Target: r.GetTarget(), Incarnation: r.GetIncarnation(), Began: r.GetBegan(),
		Age: time.Duration(r.GetAgeMs()) * time.Millisecond}
}

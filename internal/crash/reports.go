package crash

import (
	"cmp"
	"slices"
	"time"

	"cassiadeal.example/cassiadeal/internal/schema"
)

// blockingInterval is the time between two searches for crashes that block requests, if none was recorded in between.
const blockingInterval = time.Second

// maxReportedFingerprints limits the fingerprints in all crashes of a report, and those of its answers, each about 40 bytes: a
// client may list many parts, and a datagram must hold the report.
const maxReportedFingerprints = 256

// Reports returns crashes for a heartbeat, up to Options.MaxReports, and the last answers of their requests and parts: those that
// block requests, so that nodes that start later learn of them, and those that are at most reportFor old. Crashes that block
// requests come first, then those of requests without a response, then the newest.
func (t *Table) Reports(reportFor time.Duration) ([]*schema.CrashReport, []*schema.AnswerReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.total == 0 {
		return nil, nil
	}
	t.removeExpiredLocked()
	now, blocking := t.options.Now(), t.blockingLocked()
	var crashes []*schema.CrashReport
	for fingerprint, rs := range t.crashes {
		if now-rs.newest() >= t.options.BlockFor {
			continue
		}
		for id, r := range rs {
			// One crash after the response had begun says too little to be reported.
			if !blocking[fingerprint] && (now-r.at > reportFor || r.began && len(rs) == 1) {
				continue
			}
			crashes = append(crashes, &schema.CrashReport{Fingerprint: fingerprint, PartFingerprints: r.parts, Target: id.target,
				Incarnation: id.incarnation, Began: r.began, AgeMs: (now - r.at).Milliseconds()})
		}
	}
	rank := func(c *schema.CrashReport) int {
		switch {
		case blocking[c.GetFingerprint()]:
			return 0
		case !c.GetBegan():
			return 1
		}
		return 2
	}
	slices.SortFunc(crashes, func(a, b *schema.CrashReport) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.GetAgeMs(), b.GetAgeMs()))
	})
	crashes = truncate(crashes, t.options.MaxReports)
	return crashes, t.answerReportsLocked(crashes, now)
}

// truncate returns the first crashes, up to a number, that have maxReportedFingerprints at most.
func truncate(crashes []*schema.CrashReport, limit int) []*schema.CrashReport {
	fingerprints := 0
	for i, c := range crashes {
		fingerprints += 1 + len(c.GetPartFingerprints())
		if i == limit || fingerprints > maxReportedFingerprints {
			return crashes[:i]
		}
	}
	return crashes
}

// BlockingReports returns the crashes that block requests, up to Options.MaxReports. The newest comes first.
func (t *Table) BlockingReports() []*schema.CrashReport {
	crashes, _ := t.Reports(0)
	t.mu.Lock()
	defer t.mu.Unlock()
	blocking := t.blockingLocked()
	return slices.DeleteFunc(crashes, func(c *schema.CrashReport) bool { return !blocking[c.GetFingerprint()] })
}

// blockingLocked returns the fingerprints of the requests that are blocked or have a part that blocks requests.
func (t *Table) blockingLocked() map[string]bool {
	now := t.options.Now()
	if t.blocking != nil && now-t.blockingAt < blockingInterval {
		return t.blocking
	}
	blocking := map[string]bool{}
	t.blocking, t.blockingAt = blocking, now
	for fingerprint := range t.crashes {
		if t.incriminatedLocked(fingerprint) != nil {
			blocking[fingerprint] = true
		}
	}
	for part, requests := range t.byPart {
		if t.incriminatedLocked(part) == nil {
			continue
		}
		for fingerprint := range requests {
			blocking[fingerprint] = true
		}
	}
	return blocking
}

// answerReportsLocked returns the last answers of the requests and parts of the crashes.
func (t *Table) answerReportsLocked(crashes []*schema.CrashReport, now time.Duration) []*schema.AnswerReport {
	var answers []*schema.AnswerReport
	reported := map[string]bool{}
	for _, c := range crashes {
		for _, f := range append([]string{c.GetFingerprint()}, c.GetPartFingerprints()...) {
			if at, ok := t.answers.get(f); ok && !reported[f] {
				answers = append(answers, &schema.AnswerReport{Fingerprint: f, AgeMs: (now - at).Milliseconds()})
			}
			reported[f] = true
		}
	}
	return answers
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
	return Crash{Request: Request{Fingerprint: r.GetFingerprint(), Parts: r.GetPartFingerprints()}, Target: r.GetTarget(),
		Incarnation: r.GetIncarnation(), Began: r.GetBegan(), Age: time.Duration(r.GetAgeMs()) * time.Millisecond}
}

// Package crash recognises requests that crash the targets that run them, so that a caller who sends such a request again
// and again can't take down one target after the other.
package crash

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"maps"
	"slices"
	"sync"
	"time"

	"cassiadeal.example/cassiadeal/internal/schema"
)

// Defaults of Options.
const (
	DefaultBlockFor = 10 * time.Minute
	DefaultCrashes  = 2
	// DefaultMaxCrashes bounds the memory of crashes: about 250 bytes each.
	DefaultMaxCrashes = 4096
	// DefaultMaxReports bounds what each heartbeat carries.
	DefaultMaxReports = 32
)

// Options configures a Table. Zero values get the defaults.
type Options struct {
	Crashes    int                  // Crashes after which a fingerprint is blocked.
	BlockFor   time.Duration        // Time that a crash counts, and that a fingerprint is blocked after the last crash.
	MaxCrashes int                  // Crashes remembered; the oldest are forgotten first.
	MaxReports int                  // Crashes in Reports.
	Now        func() time.Duration // Monotonic clock. Default: time since New.
}

// Table remembers crashes. It may be used concurrently. Its only lock is held by no call to others.
type Table struct {
	opt Options

	mu      sync.Mutex
	crashes map[string]history // By fingerprint; never empty ones.
	total   int
}

// death identifies one crash of a fingerprint: a target incarnation dies once.
type death struct{ target, incarnation string }

// history holds the time of each crash on the clock of Options.Now.
type history map[death]time.Duration

// newest returns the time of the last crash.
func (h history) newest() time.Duration {
	return slices.Max(slices.Collect(maps.Values(h)))
}

// oldest returns the first crash.
func (h history) oldest() death {
	return slices.MinFunc(slices.Collect(maps.Keys(h)), func(a, b death) int { return cmp.Compare(h[a], h[b]) })
}

// New returns an empty table.
func New(opt Options) *Table {
	if opt.Crashes <= 0 {
		opt.Crashes = DefaultCrashes
	}
	if opt.BlockFor <= 0 {
		opt.BlockFor = DefaultBlockFor
	}
	if opt.MaxCrashes <= 0 {
		opt.MaxCrashes = DefaultMaxCrashes
	}
	if opt.MaxReports <= 0 {
		opt.MaxReports = DefaultMaxReports
	}
	if opt.Now == nil {
		start := time.Now()
		opt.Now = func() time.Duration { return time.Since(start) }
	}
	return &Table{opt: opt, crashes: map[string]history{}}
}

// Fingerprint identifies a request by account, path and body. Equal requests have equal fingerprints on every node.
func Fingerprint(account, path string, body []byte) string {
	h := sha256.New()
	writePart(h, []byte(account))
	writePart(h, []byte(path))
	writePart(h, body)
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// writePart writes the length first, so that different parts can't add up to the same bytes.
func writePart(h hash.Hash, part []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(part)))
	h.Write(length[:])
	h.Write(part)
}

// Record counts a crash that happened age ago. A crash of the same target incarnation by the same fingerprint counts once.
// It returns true if the crash was not known.
func (t *Table) Record(fingerprint, target, incarnation string, age time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	// A peer keeps the first crash of a blocked fingerprint for up to twice BlockFor.
	if fingerprint == "" || age >= 2*t.opt.BlockFor {
		return false
	}
	t.forgetLocked()
	d := death{target, incarnation}
	if _, known := t.crashes[fingerprint][d]; known {
		return false
	}
	if t.total >= t.opt.MaxCrashes {
		t.forgetOldestLocked()
	}
	if t.crashes[fingerprint] == nil {
		t.crashes[fingerprint] = history{}
	}
	t.crashes[fingerprint][d] = t.opt.Now() - max(age, 0)
	t.total++
	return true
}

// Blocked tells whether requests with the fingerprint must be refused.
func (t *Table) Blocked(fingerprint string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.crashes[fingerprint]
	return len(h) >= t.opt.Crashes && t.opt.Now()-h.newest() < t.opt.BlockFor
}

// Reports returns the newest crashes for a heartbeat, newest first.
func (t *Table) Reports() []*schema.CrashReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forgetLocked()
	now := t.opt.Now()
	reports := make([]*schema.CrashReport, 0, t.total)
	for fingerprint, h := range t.crashes {
		for d, at := range h {
			reports = append(reports, &schema.CrashReport{Fingerprint: fingerprint, Target: d.target, Incarnation: d.incarnation,
				AgeMs: (now - at).Milliseconds()})
		}
	}
	slices.SortFunc(reports, func(a, b *schema.CrashReport) int { return cmp.Compare(a.GetAgeMs(), b.GetAgeMs()) })
	return reports[:min(len(reports), t.opt.MaxReports)]
}

// Merge records the crashes that a peer reported.
func (t *Table) Merge(reports []*schema.CrashReport) {
	for _, r := range reports {
		t.Record(r.GetFingerprint(), r.GetTarget(), r.GetIncarnation(), time.Duration(r.GetAgeMs())*time.Millisecond)
	}
}

// forgetLocked drops the fingerprints whose last crash no longer counts.
func (t *Table) forgetLocked() {
	now := t.opt.Now()
	for fingerprint, h := range t.crashes {
		if now-h.newest() >= t.opt.BlockFor {
			t.total -= len(h)
			delete(t.crashes, fingerprint)
		}
	}
}

func (t *Table) forgetOldestLocked() {
	var fingerprint string
	var oldest death
	for f, h := range t.crashes {
		if d := h.oldest(); fingerprint == "" || h[d] < t.crashes[fingerprint][oldest] {
			fingerprint, oldest = f, d
		}
	}
	t.total--
	if delete(t.crashes[fingerprint], oldest); len(t.crashes[fingerprint]) == 0 {
		delete(t.crashes, fingerprint)
	}
}

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
	DefaultBlockFor       = 10 * time.Minute
	DefaultCrashThreshold = 2
	// DefaultMaxCrashes bounds the memory of crashes: about 250 bytes each.
	DefaultMaxCrashes = 4096
	// DefaultMaxReports bounds what each heartbeat carries.
	DefaultMaxReports = 32
)

// Options configures a Table. Zero values get the defaults.
type Options struct {
	CrashThreshold int                  // Crashes after which a fingerprint is blocked.
	BlockFor       time.Duration        // Time that a crash counts, and that a fingerprint is blocked after the last crash.
	MaxCrashes     int                  // Crashes remembered; the oldest are forgotten first.
	MaxReports     int                  // Crashes in Reports.
	Now            func() time.Duration // Monotonic clock. Default: time since New.
}

// Table remembers crashes. It may be used concurrently. Its only lock is held by no call to others.
type Table struct {
	options Options

	mu      sync.Mutex
	crashes map[string]crashTimes // By fingerprint; never empty ones.
	total   int
}

// death identifies one crash of a fingerprint: a target incarnation dies once.
type crashID struct{ target, incarnation string }

// history holds the time of each crash on the clock of Options.Now.
type crashTimes map[crashID]time.Duration

// newest returns the time of the last crash.
func (h crashTimes) newest() time.Duration {
	return slices.Max(slices.Collect(maps.Values(h)))
}

// oldest returns the first crash.
func (h crashTimes) oldest() crashID {
	return slices.MinFunc(slices.Collect(maps.Keys(h)), func(a, b crashID) int { return cmp.Compare(h[a], h[b]) })
}

// New returns an empty table.
func New(options Options) *Table {
	if options.CrashThreshold <= 0 {
		options.CrashThreshold = DefaultCrashThreshold
	}
	if options.BlockFor <= 0 {
		options.BlockFor = DefaultBlockFor
	}
	if options.MaxCrashes <= 0 {
		options.MaxCrashes = DefaultMaxCrashes
	}
	if options.MaxReports <= 0 {
		options.MaxReports = DefaultMaxReports
	}
	if options.Now == nil {
		start := time.Now()
		options.Now = func() time.Duration { return time.Since(start) }
	}
	return &Table{options: options, crashes: map[string]crashTimes{}}
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
	if fingerprint == "" || age >= 2*t.options.BlockFor {
		return false
	}
	t.removeExpiredLocked()
	id := crashID{target, incarnation}
	if _, known := t.crashes[fingerprint][id]; known {
		return false
	}
	if t.total >= t.options.MaxCrashes {
		t.removeOldestLocked()
	}
	if t.crashes[fingerprint] == nil {
		t.crashes[fingerprint] = crashTimes{}
	}
	t.crashes[fingerprint][id] = t.options.Now() - max(age, 0)
	t.total++
	return true
}

// Blocked tells whether requests with the fingerprint must be refused.
func (t *Table) Blocked(fingerprint string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	times := t.crashes[fingerprint]
	return len(times) >= t.options.CrashThreshold && t.options.Now()-times.newest() < t.options.BlockFor
}

// Reports returns the newest crashes for a heartbeat, newest first.
func (t *Table) Reports() []*schema.CrashReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeExpiredLocked()
	now := t.options.Now()
	reports := make([]*schema.CrashReport, 0, t.total)
	for fingerprint, times := range t.crashes {
		for id, crashedAt := range times {
			reports = append(reports, &schema.CrashReport{Fingerprint: fingerprint, Target: id.target, Incarnation: id.incarnation,
				AgeMs: (now - crashedAt).Milliseconds()})
		}
	}
	slices.SortFunc(reports, func(a, b *schema.CrashReport) int { return cmp.Compare(a.GetAgeMs(), b.GetAgeMs()) })
	return reports[:min(len(reports), t.options.MaxReports)]
}

// Merge records the crashes that a peer reported.
func (t *Table) Merge(reports []*schema.CrashReport) {
	for _, r := range reports {
		t.Record(r.GetFingerprint(), r.GetTarget(), r.GetIncarnation(), time.Duration(r.GetAgeMs())*time.Millisecond)
	}
}

// removeExpiredLocked drops the fingerprints whose last crash no longer counts.
func (t *Table) removeExpiredLocked() {
	now := t.options.Now()
	for fingerprint, times := range t.crashes {
		if now-times.newest() >= t.options.BlockFor {
			t.total -= len(times)
			delete(t.crashes, fingerprint)
		}
	}
}

func (t *Table) removeOldestLocked() {
	var fingerprint string
	var oldest crashID
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

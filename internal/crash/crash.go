// Package crash identifies requests that crash the targets that run them and blocks them, so that a caller who repeats
// such a request can't crash one target after another.
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
	// DefaultMaxCrashes bounds the memory used for recorded crashes, about 250 bytes each.
	DefaultMaxCrashes = 4096
	// DefaultMaxReports bounds the number of crashes in each heartbeat.
	DefaultMaxReports = 32
)

// Options configures a Table. Zero values are replaced by the defaults.
type Options struct {
	CrashThreshold int                  // Number of recorded crashes at which a fingerprint is blocked.
	BlockFor       time.Duration        // Time from a fingerprint's last crash until it is unblocked and its crashes are dropped.
	MaxCrashes     int                  // Maximum number of recorded crashes; the oldest are dropped first.
	MaxReports     int                  // Maximum number of crashes that Reports returns.
	Now            func() time.Duration // Monotonic clock. Default: time since New.
}

// Table records crashes by request fingerprint. It is safe for concurrent use. While its lock is held, the only function
// of a caller that it calls is Options.Now, which must not call the Table.
type Table struct {
	options Options

	mu      sync.Mutex
	crashes map[string]crashTimes // Keyed by fingerprint; no value is empty.
	total   int                   // Number of crashes in all values of crashes.
}

// crashID identifies one crash of a fingerprint. A target incarnation can crash only once.
type crashID struct{ target, incarnation string }

// crashTimes maps each crash of a fingerprint to its time on the clock Options.Now.
type crashTimes map[crashID]time.Duration

// newest returns the time of the most recent crash.
func (times crashTimes) newest() time.Duration {
	return slices.Max(slices.Collect(maps.Values(times)))
}

// oldest returns the earliest crash.
func (times crashTimes) oldest() crashID {
	return slices.MinFunc(slices.Collect(maps.Keys(times)), func(a, b crashID) int { return cmp.Compare(times[a], times[b]) })
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

// writePart writes a part with its length in front, so that different parts can't concatenate to the same bytes.
func writePart(h hash.Hash, part []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(part)))
	h.Write(length[:])
	h.Write(part)
}

// Record adds a crash that happened age ago and returns true if it was not recorded yet. Repeated reports of the same
// fingerprint and target incarnation count as one crash. A crash with an age of twice BlockFor or more is ignored.
func (t *Table) Record(fingerprint, target, incarnation string, age time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	// Crashes older than BlockFor are accepted: with the default threshold of two, the first crash of a blocked fingerprint
	// can be up to twice BlockFor old while the second one still blocks it, and a peer reports both.
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

// Blocked reports whether requests with the fingerprint must be refused.
func (t *Table) Blocked(fingerprint string) bool { return t.BlockedFor(fingerprint) > 0 }

// BlockedFor returns the time for which requests with the fingerprint must still be refused, or 0.
func (t *Table) BlockedFor(fingerprint string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	times := t.crashes[fingerprint]
	if len(times) < t.options.CrashThreshold {
		return 0
	}
	return max(0, times.newest()+t.options.BlockFor-t.options.Now())
}

// Reports returns the most recent crashes, up to Options.MaxReports, for a heartbeat. The newest comes first.
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

// removeExpiredLocked drops the fingerprints whose last crash is at least BlockFor old, with all their crashes.
func (t *Table) removeExpiredLocked() {
	now := t.options.Now()
	for fingerprint, times := range t.crashes {
		if now-times.newest() >= t.options.BlockFor {
			t.total -= len(times)
			delete(t.crashes, fingerprint)
		}
	}
}

// removeOldestLocked drops the earliest crash of all fingerprints.
func (t *Table) removeOldestLocked() {
	var fingerprint string
	var oldest crashID
	for f, times := range t.crashes {
		if id := times.oldest(); fingerprint == "" || times[id] < t.crashes[fingerprint][oldest] {
			fingerprint, oldest = f, id
		}
	}
	t.total--
	if delete(t.crashes[fingerprint], oldest); len(t.crashes[fingerprint]) == 0 {
		delete(t.crashes, fingerprint)
	}
}

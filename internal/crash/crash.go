// Package crash identifies requests that crash the targets that run them and blocks them, so that a caller who repeats
// such a request can't crash one target after another. A target that ends for another reason was running sound requests; they
// are told apart by the responses to their other copies.
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
)

// Defaults of Options.
const (
	DefaultBlockFor       = 10 * time.Minute
	DefaultCrashThreshold = 2
	DefaultAnsweredFor    = time.Minute
	// DefaultMaxCrashes bounds the memory used for recorded crashes, about 300 bytes each.
	DefaultMaxCrashes = 4096
	// DefaultMaxReports bounds the number of crashes in each heartbeat.
	DefaultMaxReports = 32
)

const (
	// answeredFactor multiplies CrashThreshold for a fingerprint that was answered within AnsweredFor before its newest crash.
	answeredFactor = 2
	// commonCauseWindow is the time between two crashes of such a fingerprint within which they count as one: a rack, a fabric
	// domain or a failure domain that fails ends many targets at once.
	commonCauseWindow = 200 * time.Millisecond
	// beganWeight and runningWeight are the weights of a crash of a request whose response had begun, and of one without a
	// response. fullWeight is that of one crash in CrashThreshold.
	beganWeight, runningWeight = 1, 2
	fullWeight                 = runningWeight
)

// Options configures a Table. Zero values are replaced by the defaults.
type Options struct {
	CrashThreshold int                  // Number of recorded crashes at which a fingerprint is blocked.
	BlockFor       time.Duration        // Time from a fingerprint's last crash until it is unblocked and its crashes are dropped.
	AnsweredFor    time.Duration        // Time for which an answer makes it less likely that a request crashes targets.
	MaxCrashes     int                  // Maximum number of recorded crashes; the oldest are dropped first.
	MaxReports     int                  // Maximum number of crashes that Reports returns.
	Now            func() time.Duration // Monotonic clock. Default: time since New.
}

// Crash is the end of a target while it ran a request.
type Crash struct {
	Fingerprint string
	Target      string
	Incarnation string        // Of the target. One incarnation ends only once.
	Began       bool          // The target had sent a part of its response.
	Age         time.Duration // Time since the crash.
}

// crashID identifies the end of one target incarnation.
type crashID struct{ target, incarnation string }

// record is a recorded Crash.
type record struct {
	began bool
	at    time.Duration // On the clock Options.Now.
}

// weight returns how much the crash counts against the request.
func (r record) weight() int {
	if r.began {
		return beganWeight
	}
	return runningWeight
}

// records maps each crash of a fingerprint to its record.
type records map[crashID]record

// newest returns the time of the most recent crash.
func (rs records) newest() time.Duration {
	return slices.MaxFunc(slices.Collect(maps.Values(rs)), func(a, b record) int { return cmp.Compare(a.at, b.at) }).at
}

// oldest returns the earliest crash.
func (rs records) oldest() crashID {
	return slices.MinFunc(slices.Collect(maps.Keys(rs)), func(a, b crashID) int { return cmp.Compare(rs[a].at, rs[b].at) })
}

// Table records crashes and answers by request fingerprint. It is safe for concurrent use. While its lock is held, the only
// function of a caller that it calls is Options.Now, which must not call the Table.
type Table struct {
	options Options

	mu      sync.Mutex
	crashes map[string]records // Keyed by fingerprint; no value is empty.
	total   int                // Number of crashes in all values of crashes.
	answers answerTimes
}

// New returns an empty table.
func New(options Options) *Table {
	if options.CrashThreshold <= 0 {
		options.CrashThreshold = DefaultCrashThreshold
	}
	if options.BlockFor <= 0 {
		options.BlockFor = DefaultBlockFor
	}
	if options.AnsweredFor <= 0 {
		options.AnsweredFor = DefaultAnsweredFor
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
	return &Table{options: options, crashes: map[string]records{}, answers: newAnswerTimes()}
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

// Record adds a crash and reports whether it was not recorded yet. Repeated reports of the same fingerprint and target
// incarnation count as one crash. A crash with an age of twice BlockFor or more is ignored.
func (t *Table) Record(c Crash) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	// Crashes older than BlockFor are accepted: with the default threshold of two, the first crash of a blocked fingerprint
	// can be up to twice BlockFor old while the second one still blocks it, and a peer reports both.
	if c.Fingerprint == "" || c.Age >= 2*t.options.BlockFor {
		return false
	}
	t.removeExpiredLocked()
	id := crashID{c.Target, c.Incarnation}
	if known, ok := t.crashes[c.Fingerprint][id]; ok {
		if known.began && !c.Began { // Two copies of the request were running there.
			t.crashes[c.Fingerprint][id] = record{began: false, at: known.at}
		}
		return false
	}
	if t.total >= t.options.MaxCrashes {
		t.removeOldestLocked()
	}
	if t.crashes[c.Fingerprint] == nil {
		t.crashes[c.Fingerprint] = records{}
	}
	t.crashes[c.Fingerprint][id] = record{began: c.Began, at: t.options.Now() - max(c.Age, 0)}
	t.total++
	return true
}

// RecordAnswer records that a target has answered a request with the fingerprint. Crashes before it no longer count.
func (t *Table) RecordAnswer(fingerprint string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.options.Now()
	t.answers.set(fingerprint, now, now, t.options.AnsweredFor)
}

// Blocked reports whether requests with the fingerprint must be refused.
func (t *Table) Blocked(fingerprint string) bool { return t.BlockedFor(fingerprint) > 0 }

// BlockedFor returns the time for which requests with the fingerprint must still be refused, or 0.
func (t *Table) BlockedFor(fingerprint string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	counted := t.countedLocked(fingerprint)
	if counted == nil {
		return 0
	}
	return max(0, counted.newest()+t.options.BlockFor-t.options.Now())
}

// countedLocked returns the crashes of the fingerprint after its last answer if they are enough to block it, or nil.
func (t *Table) countedLocked(fingerprint string) records {
	all := t.crashes[fingerprint]
	if len(all) == 0 {
		return nil
	}
	answeredAt, answered := t.answers.get(fingerprint)
	counted := records{}
	for id, r := range all {
		if !answered || r.at > answeredAt {
			counted[id] = r
		}
	}
	if len(counted) == 0 {
		return nil
	}
	window, needed := time.Duration(0), t.options.CrashThreshold*fullWeight
	if answered && counted.newest()-answeredAt < t.options.AnsweredFor {
		window, needed = commonCauseWindow, needed*answeredFactor
	}
	if counted.weight(window) < needed {
		return nil
	}
	return counted
}

// weight returns the sum of the weights of the crashes. Of those that follow each other within the window, the heaviest counts.
func (rs records) weight(window time.Duration) int {
	list := slices.SortedFunc(maps.Values(rs), func(a, b record) int { return cmp.Compare(a.at, b.at) })
	sum, heaviest := 0, 0
	for i, r := range list {
		if i > 0 && r.at-list[i-1].at >= window {
			sum, heaviest = sum+heaviest, 0
		}
		heaviest = max(heaviest, r.weight())
	}
	return sum + heaviest
}

// removeExpiredLocked drops the fingerprints whose last crash is at least BlockFor old, with all their crashes.
func (t *Table) removeExpiredLocked() {
	now := t.options.Now()
	for fingerprint, rs := range t.crashes {
		if now-rs.newest() >= t.options.BlockFor {
			t.total -= len(rs)
			delete(t.crashes, fingerprint)
		}
	}
}

// removeOldestLocked drops the earliest crash of all fingerprints.
func (t *Table) removeOldestLocked() {
	var fingerprint string
	var oldest crashID
	for f, rs := range t.crashes {
		if id := rs.oldest(); fingerprint == "" || rs[id].at < t.crashes[fingerprint][oldest].at {
			fingerprint, oldest = f, id
		}
	}
	t.total--
	if delete(t.crashes[fingerprint], oldest); len(t.crashes[fingerprint]) == 0 {
		delete(t.crashes, fingerprint)
	}
}

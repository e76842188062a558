// Package crash identifies requests that crash the targets that run them and blocks them, so that a caller who repeats
// such a request can't crash one target after another. A target that ends for another reason was running sound requests; they
// are told apart by the responses to their other copies.
package crash

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"math"
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
	// maxPartIDBytes is the length up to which fingerprints of parts hold the ID itself, for the log.
	maxPartIDBytes = 24
	// expiryInterval is the time between two searches for requests whose last crash has expired.
	expiryInterval = time.Second
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

// Request identifies a request by what may crash targets.
type Request struct {
	// Fingerprint is that of the whole request.
	Fingerprint string
	// Parts holds the fingerprints of the parts of its prompt that other requests may share.
	Parts []string
}

// fingerprints returns the fingerprints of the request and of its parts.
func (r Request) fingerprints() []string { return append([]string{r.Fingerprint}, r.Parts...) }

// Crash is the end of a target while it ran a request.
type Crash struct {
	Request
	Target      string
	Incarnation string        // Of the target. One incarnation ends only once.
	Began       bool          // The target had sent a part of its response.
	Age         time.Duration // Time since the crash.
}

// crashID identifies the end of one target incarnation.
type crashID struct{ target, incarnation string }

// record is a recorded Crash of a request.
type record struct {
	began bool
	at    time.Duration // On the clock Options.Now.
	parts []string
}

// records maps each crash of a request to its record.
type records map[crashID]record

// newest returns the time of the most recent crash.
func (rs records) newest() time.Duration {
	newest := time.Duration(math.MinInt64)
	for _, r := range rs {
		newest = max(newest, r.at)
	}
	return newest
}

// Table records crashes and answers by request. It is safe for concurrent use. While its lock is held, the only function of a
// caller that it calls is Options.Now, which must not call the Table.
type Table struct {
	options Options

	mu      sync.Mutex
	crashes map[string]records         // Keyed by the fingerprint of the request; no value is empty.
	byPart  map[string]map[string]bool // Fingerprints of the requests in crashes, by the fingerprint of a part.
	total   int                        // Number of crashes in all values of crashes.
	answers answerTimes

	expiryCheckedAt time.Duration
	// blocking is the result of blockingLocked at blockingAt. It is nil if a crash was recorded since.
	blocking   map[string]bool
	blockingAt time.Duration
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
	return &Table{options: options, crashes: map[string]records{}, byPart: map[string]map[string]bool{}, answers: newAnswerTimes()}
}

// PartFingerprint identifies a part of prompts by its ID, which clients choose. It differs from the fingerprints of requests.
func PartFingerprint(id string) string {
	if len(id) <= maxPartIDBytes {
		return "part:" + id
	}
	hash := sha256.Sum256([]byte(id))
	return "part:sha256:" + hex.EncodeToString(hash[:8])
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

// Record adds a crash and reports whether it was not recorded yet. Repeated reports of the same request and target incarnation
// count as one crash. A crash with an age of twice BlockFor or more is ignored.
func (t *Table) Record(c Crash) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	// Crashes older than BlockFor are accepted: with the default threshold of two, the first crash of a blocked request can be
	// up to twice BlockFor old while the second one still blocks it, and a peer reports both.
	if c.Fingerprint == "" || c.Age >= 2*t.options.BlockFor {
		return false
	}
	id := crashID{c.Target, c.Incarnation}
	known, recorded := t.crashes[c.Fingerprint][id]
	if recorded && (c.Began || !known.began) {
		return false
	}
	if recorded { // Two copies of the request were running there; this one had no response yet.
		known.began = false
		t.crashes[c.Fingerprint][id], t.blocking = known, nil
		return false
	}
	t.removeExpiredLocked()
	t.removeIfExpiredLocked(c.Fingerprint)
	if t.total >= t.options.MaxCrashes {
		t.removeOldestLocked()
	}
	if t.crashes[c.Fingerprint] == nil {
		t.crashes[c.Fingerprint] = records{}
	}
	t.crashes[c.Fingerprint][id] = record{began: c.Began, at: t.options.Now() - max(c.Age, 0), parts: c.Parts}
	t.total++
	t.blocking = nil
	for _, part := range c.Parts {
		if t.byPart[part] == nil {
			t.byPart[part] = map[string]bool{}
		}
		t.byPart[part][c.Fingerprint] = true
	}
	return true
}

// RecordAnswer records that a target has answered a request with the fingerprint, or has begun to answer one with a part that
// has it. Crashes before it no longer count.
func (t *Table) RecordAnswer(fingerprints ...string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.options.Now()
	for _, f := range fingerprints {
		t.answers.set(f, now, now, t.options.AnsweredFor)
	}
}

// removeExpiredLocked drops the requests whose last crash is at least BlockFor old, at most once an expiryInterval.
func (t *Table) removeExpiredLocked() {
	now := t.options.Now()
	if now-t.expiryCheckedAt < expiryInterval {
		return
	}
	t.expiryCheckedAt = now
	for fingerprint := range t.crashes {
		t.removeIfExpiredLocked(fingerprint)
	}
}

// removeIfExpiredLocked drops all crashes of the request if the last one is at least BlockFor old.
func (t *Table) removeIfExpiredLocked(fingerprint string) {
	rs := t.crashes[fingerprint]
	if len(rs) == 0 || t.options.Now()-rs.newest() < t.options.BlockFor {
		return
	}
	for id := range rs {
		t.removeLocked(fingerprint, id)
	}
}

// removeOldestLocked drops the earliest crash of all requests.
func (t *Table) removeOldestLocked() {
	var fingerprint string
	var oldest crashID
	for f, rs := range t.crashes {
		for id, r := range rs {
			if fingerprint == "" || r.at < t.crashes[fingerprint][oldest].at {
				fingerprint, oldest = f, id
			}
		}
	}
	t.removeLocked(fingerprint, oldest)
}

// removeLocked drops one crash of a request.
func (t *Table) removeLocked(fingerprint string, id crashID) {
	parts := t.crashes[fingerprint][id].parts
	t.total--
	if delete(t.crashes[fingerprint], id); len(t.crashes[fingerprint]) > 0 {
		return // All crashes of a request have the same parts.
	}
	delete(t.crashes, fingerprint)
	for _, part := range parts {
		if delete(t.byPart[part], fingerprint); len(t.byPart[part]) == 0 {
			delete(t.byPart, part)
		}
	}
}

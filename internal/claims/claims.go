// Package claims makes sure that a request which must not repeat runs at most once.
//
// A request is claimed in the platform's object API before it is dispatched. The claim is one create-if-absent, so two
// nodes cannot both hold it. The claim moves from claimed to answered, released or unknown, and never back except
// from released to claimed, which is one conditional update.
package claims

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"cassiadeal.example/cassiadeal/internal/platform"
	"cassiadeal.example/cassiadeal/internal/result"
	"cassiadeal.example/cassiadeal/internal/schema"
)

const (
	// Window is the age up to which an Idempotency-Key is accepted.
	MaxKeyAge = 10 * time.Minute
	// MaxClockSkew bounds the difference between two clocks, of callers and of nodes.
	MaxClockSkew = time.Minute
	// MaxStoredAnswer is the size in bytes, headers included, up to which an answer is kept with its claim.
	MaxStoredAnswer = 64 << 10

	// A repeat that waits for a running request asks again after minPollInterval, and then less and less often up to maxPollInterval:
	// one read and one call to the owner each time.
	minPollInterval = 100 * time.Millisecond
	maxPollInterval = time.Second
	// maxFailedReads is the number of failed reads in a row after which a waiting repeat gives up.
	maxFailedReads   = 3
	ownerCallTimeout = time.Second
)

// Store is the part of the platform's object API that claims use.
type Store interface {
	Get(ctx context.Context, kind, name string) (*platform.Object, error)
	Create(ctx context.Context, kind, name string, data []byte) (version uint64, err error)
	Update(ctx context.Context, kind, name string, version uint64, data []byte) (newVersion uint64, err error)
	Delete(ctx context.Context, kind, name string, version uint64) error
	List(ctx context.Context, kind string) (objects []platform.Object, version uint64, err error)
}

// Owners reaches the node that wrote a claim.
type Owners interface {
	// ClaimStatus asks the node that wrote the claim. alive is false if that incarnation of the node is known to have
	// ended. A nil response means that the node could not be asked.
	ClaimStatus(ctx context.Context, claim *schema.Claim) (resp *schema.ClaimStatusResponse, alive bool)
}

// Options configures a Manager.
type Options struct {
	Node        string
	Incarnation string
	Store       Store
	Owners      Owners
	// Nodes returns the names of the live nodes, which share the deletion of old claims. Nil means this node alone.
	Nodes func() []string
	Now   func() time.Time
	Log   logrus.FieldLogger
}

// Manager claims requests for one node. Run must be running.
type Manager struct {
	opts Options

	mu sync.Mutex
	// mine holds the attempts of this process that are not settled in the platform, by nonce: two attempts for one
	// Idempotency-Key at this node must not be confused, since one can be running while the other is released.
	attempts map[string]*attempt
	// pending counts the attempts that Run has to settle.
	pendingCount int
}

// New returns a Manager.
func New(opts Options) *Manager {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.Log == nil {
		log := logrus.New()
		log.SetOutput(io.Discard)
		opts.Log = log
	}
	return &Manager{opts: opts, attempts: make(map[string]*attempt)}
}

// Request identifies a non-idempotent request.
type Request struct {
	Key         string
	Account     string
	Fingerprint string // Hash of method, path and body.
	// OnWait, if set, is called once before Acquire waits for the end of an earlier run.
	OnWait func()
}

// Claim is the right to dispatch a request once.
type Claim struct {
	m       *Manager
	attempt *attempt
}

// CheckKey refuses keys that are missing, malformed or outside the window. The time in the key makes it safe to
// delete old claims: a key that old is never accepted again.
func CheckKey(key string, now time.Time) *result.Error {
	if key == "" {
		return result.New(result.KeyMissing, "this call may not be repeated and needs an Idempotency-Key header with a UUIDv7")
	}
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 || id.Variant() != uuid.RFC4122 || id.String() != key {
		return result.New(result.KeyMalformed, "Idempotency-Key %.64q is not a UUIDv7 in lower-case canonical form", key)
	}
	created := keyTime(id)
	switch {
	case created.Before(now.Add(-MaxKeyAge)):
		return result.New(result.KeyTooOld, "Idempotency-Key was made at %s, more than %s ago; an earlier attempt with it may have run", created.Format(time.RFC3339), MaxKeyAge)
	case created.After(now.Add(MaxClockSkew)):
		return result.New(result.KeyInFuture, "Idempotency-Key was made at %s, in the future", created.Format(time.RFC3339))
	}
	return nil
}

// keyTime returns the Unix time in milliseconds that the first 48 bits of a UUIDv7 hold.
func keyTime(id uuid.UUID) time.Time {
	var ms int64
	for _, b := range id[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms).UTC()
}

// Acquire claims the request. It returns a Claim that must be ended by Answer, Release or Unknown, or the stored answer
// of an earlier run, or an error that says what is known of the earlier run.
func (m *Manager) Acquire(ctx context.Context, req Request) (*Claim, *schema.Claim, *result.Error) {
	if err := CheckKey(req.Key, m.opts.Now()); err != nil {
		return nil, nil, err
	}
	if m.pendingFull() {
		return nil, nil, result.New(result.PlatformUnavailable, "%d earlier claims of this node wait for the platform", maxPending)
	}
	a, err := m.writeClaim(ctx, req, 0)
	switch {
	case err == nil:
		return m.recheckKeyAge(ctx, a)
	case errors.Is(err, platform.ErrConflict):
		return m.resolveExisting(ctx, req, a)
	default:
		return nil, nil, result.New(result.PlatformUnavailable, "the claim could not be written").WithCause(err)
	}
}

// Earlier tells what is known of an earlier run of the request without claiming it: its stored answer, or an error if it
// may have run, or neither if there is no claim that says so.
func (m *Manager) Earlier(ctx context.Context, req Request) (*schema.Claim, *result.Error) {
	if CheckKey(req.Key, m.opts.Now()) != nil {
		return nil, nil
	}
	_, stored, err := m.readClaim(ctx, req.Key)
	switch {
	case err != nil:
		// Not found, or unreadable: unlike after a conflicting create, nothing suggests that there is an earlier claim.
		return nil, nil
	case !sameRequest(stored, req):
		return nil, result.New(result.KeyReused, "Idempotency-Key %s was used for another request", req.Key)
	}
	switch stored.State {
	case schema.ClaimState_CLAIM_STATE_ANSWERED:
		return stored, nil
	case schema.ClaimState_CLAIM_STATE_CLAIMED:
		return nil, result.New(result.RequestInProgress, "an earlier request with this key is still running")
	case schema.ClaimState_CLAIM_STATE_UNKNOWN:
		return nil, unknownOutcome(req.Key)
	}
	return nil, nil
}

func (m *Manager) newClaim(req Request) *schema.Claim {
	return &schema.Claim{
		Key:         req.Key,
		Account:     req.Account,
		Fingerprint: req.Fingerprint,
		Node:        m.opts.Node,
		Incarnation: m.opts.Incarnation,
		State:       schema.ClaimState_CLAIM_STATE_CLAIMED,
		Nonce:       uuid.NewString(),
	}
}

// claim writes a claim: a create if base is 0, or else an update that is conditional on the version base. Unless the
// write certainly took no effect, the attempt is abandoned on an error. This includes a conflict, because a stale read-back
// makes the platform client report one for a write that is in force. The abandoned attempt is returned with the error.
func (m *Manager) writeClaim(ctx context.Context, req Request, baseVersion uint64) (*attempt, error) {
	content := m.newClaim(req)
	data, err := platform.Encode(content)
	if err != nil {
		return nil, err
	}
	a := m.addAttempt(content, baseVersion)
	var version uint64
	if baseVersion == 0 {
		version, err = m.opts.Store.Create(ctx, kindForKey(req.Key), req.Key, data)
	} else {
		version, err = m.opts.Store.Update(ctx, kindForKey(req.Key), req.Key, baseVersion, data)
	}
	switch {
	case err == nil:
		a.baseVersion = version
		return a, nil
	case errors.Is(err, platform.ErrUnavailable) && !errors.Is(err, platform.ErrOutcomeUnknown):
		m.removeAttempt(a)
		return nil, err
	}
	m.abandon(a)
	return a, err
}

// confirm checks the key's age again after the claim was written. Without it, a node that was paused before the write
// could claim a key whose earlier claim had been deleted as too old, and run the request a second time.
func (m *Manager) recheckKeyAge(ctx context.Context, a *attempt) (*Claim, *schema.Claim, *result.Error) {
	claim := &Claim{m: m, attempt: a}
	if err := CheckKey(a.key, m.opts.Now()); err != nil {
		claim.Release(ctx)
		return nil, nil, err
	}
	return claim, nil, nil
}

// existing decides what an earlier claim with the same key means for this request. It waits while the owner of the claim
// is still running the request. Its refusals don't say "not run" before the earlier claim is known, as that one may have run.
// own is the attempt whose create met the earlier claim. Once another claim is seen, a create is not and will not be in
// force.
func (m *Manager) resolveExisting(ctx context.Context, req Request, ownAttempt *attempt) (*Claim, *schema.Claim, *result.Error) {
	failedReads := 0
	for wait := minPollInterval; ; wait = min(2*wait, maxPollInterval) {
		version, stored, err := m.readClaim(ctx, req.Key)
		switch {
		case err != nil:
			if failedReads++; failedReads == maxFailedReads {
				return nil, nil, result.New(result.RequestInProgress, "an earlier claim of this key could not be read").WithCause(err)
			}
		case !sameRequest(stored, req):
			m.removeAttempt(ownAttempt)
			return nil, nil, result.New(result.KeyReused, "Idempotency-Key %s was used for another request", req.Key)
		default:
			failedReads = 0
			if stored.Nonce != ownAttempt.nonce {
				m.removeAttempt(ownAttempt)
			}
			claim, answer, readAgain, failure := m.resolveState(ctx, req, version, stored)
			if !readAgain {
				return claim, answer, failure
			}
		}
		if req.OnWait != nil {
			req.OnWait()
			req.OnWait = nil
		}
		select {
		case <-ctx.Done():
			return nil, nil, result.New(result.RequestInProgress, "an earlier request with this key is still running")
		case <-time.After(wait):
		}
	}
}

func sameRequest(stored *schema.Claim, req Request) bool {
	return stored.Account == req.Account && stored.Fingerprint == req.Fingerprint
}

// decide handles one observed state of an earlier claim. again is true if the claim is still running or has just changed.
func (m *Manager) resolveState(ctx context.Context, req Request, version uint64, stored *schema.Claim) (claim *Claim, answer *schema.Claim, readAgain bool, failure *result.Error) {
	switch stored.State {
	case schema.ClaimState_CLAIM_STATE_ANSWERED:
		return nil, stored, false, nil
	case schema.ClaimState_CLAIM_STATE_UNKNOWN:
		return nil, nil, false, unknownOutcome(req.Key)
	case schema.ClaimState_CLAIM_STATE_RELEASED:
		return m.reclaim(ctx, req, version)
	}
	status, alive := m.ownerStatus(ctx, stored)
	if !alive {
		return m.markUnknown(ctx, version, stored)
	}
	switch status.GetState() {
	case schema.ClaimState_CLAIM_STATE_RELEASED:
		return m.reclaim(ctx, req, version)
	case schema.ClaimState_CLAIM_STATE_ANSWERED:
		if status.GetClaim() != nil {
			return nil, status.GetClaim(), false, nil
		}
	case schema.ClaimState_CLAIM_STATE_UNKNOWN:
		return nil, nil, false, unknownOutcome(req.Key)
	}
	return nil, nil, true, nil
}

func unknownOutcome(key string) *result.Error {
	return result.New(result.OutcomeUnknown, "the request with key %s may have run; it is not run again", key)
}

// owner asks the process that wrote the claim. A process that runs but knows nothing of the claim has settled it since it
// was read, so the caller reads it again.
func (m *Manager) ownerStatus(ctx context.Context, stored *schema.Claim) (*schema.ClaimStatusResponse, bool) {
	if stored.Node == m.opts.Node && stored.Incarnation == m.opts.Incarnation {
		return m.Status(stored.Nonce), true
	}
	ctx, cancel := context.WithTimeout(ctx, ownerCallTimeout)
	defer cancel()
	return m.opts.Owners.ClaimStatus(ctx, stored)
}

// reclaim takes over a claim that is proved not run. The conditional update lets one of several takers win.
func (m *Manager) reclaim(ctx context.Context, req Request, version uint64) (*Claim, *schema.Claim, bool, *result.Error) {
	a, err := m.writeClaim(ctx, req, version)
	switch {
	case err == nil:
		claim, answer, failure := m.recheckKeyAge(ctx, a)
		return claim, answer, false, failure
	case errors.Is(err, platform.ErrConflict):
		return nil, nil, true, nil
	default:
		return nil, nil, false, result.New(result.PlatformUnavailable, "the claim could not be written").WithCause(err)
	}
}

// markUnknown settles the claim of an owner that has ended. The owner may only be paused, and could still release the
// claim; so "outcome unknown", after which the request never runs again, is reported only once the mark is written.
func (m *Manager) markUnknown(ctx context.Context, version uint64, stored *schema.Claim) (*Claim, *schema.Claim, bool, *result.Error) {
	changed := proto.Clone(stored).(*schema.Claim)
	changed.State = schema.ClaimState_CLAIM_STATE_UNKNOWN
	changed.Nonce = uuid.NewString()
	data, err := platform.Encode(changed)
	if err == nil {
		_, err = m.opts.Store.Update(ctx, kindForKey(stored.Key), stored.Key, version, data)
	}
	switch {
	case err == nil:
		return nil, nil, false, unknownOutcome(stored.Key)
	case errors.Is(err, platform.ErrConflict):
		return nil, nil, true, nil
	default:
		return nil, nil, false, result.New(result.RequestInProgress,
			"the node that claimed this key has ended, which could not be recorded").WithCause(err)
	}
}

func (m *Manager) readClaim(ctx context.Context, key string) (version uint64, stored *schema.Claim, err error) {
	obj, err := m.opts.Store.Get(ctx, kindForKey(key), key)
	if err != nil {
		return 0, nil, err
	}
	stored = &schema.Claim{}
	if err := platform.Decode(obj.Data, stored); err != nil {
		return 0, nil, eris.Wrapf(err, "claim %s", key)
	}
	return obj.Version, stored, nil
}

// Status tells what this process knows of its own claim, named by the nonce of the attempt.
func (m *Manager) Status(nonce string) *schema.ClaimStatusResponse {
	m.mu.Lock()
	defer m.mu.Unlock()
	a, ok := m.attempts[nonce]
	if !ok {
		return &schema.ClaimStatusResponse{}
	}
	return &schema.ClaimStatusResponse{State: a.claim.State, Known: true, Claim: proto.Clone(a.claim).(*schema.Claim)}
}

// Fingerprint identifies the content of a request, so that a key used for other content is refused.
func Fingerprint(destination, method, path string, body []byte) string {
	h := sha256.New()
	for _, part := range []string{destination, method, path} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

// Package claims ensures that a non-idempotent request is run at most once.
//
// A node creates a claim object in the platform's object API before it dispatches the request. The object is created only
// if it doesn't exist, so two nodes can't both hold the claim. Its state changes from claimed to answered, released or
// unknown. Answered and unknown are final. A released claim can be claimed again by a conditional update.
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
	"cassiadeal.example/cassiadeal/internal/recovery"
	"cassiadeal.example/cassiadeal/internal/result"
	"cassiadeal.example/cassiadeal/internal/schema"
)

const (
	// MaxKeyAge is the age up to which an Idempotency-Key is accepted.
	MaxKeyAge = 10 * time.Minute
	// MaxClockSkew is the largest difference between any two clocks of callers and nodes that is tolerated.
	MaxClockSkew = time.Minute
	// MaxStoredAnswer is the size in bytes, headers included, up to which an answer is stored in its claim.
	MaxStoredAnswer = 64 << 10

	// A repeat of a running request polls the claim. The interval starts at minPollInterval and doubles up to
	// maxPollInterval. Each poll costs one read and one call to the owner.
	minPollInterval = 100 * time.Millisecond
	maxPollInterval = time.Second
	// maxFailedReads is the number of consecutive failed reads after which a waiting repeat fails.
	maxFailedReads = 3
	// ownerCallTimeout bounds one Owners.ClaimStatus call.
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

// Owners sends queries to the nodes that wrote claims.
type Owners interface {
	// ClaimStatus queries the node that wrote the claim. alive is false if that incarnation of the node is known to have
	// ended. A nil response with alive true means that the query failed.
	ClaimStatus(ctx context.Context, claim *schema.Claim) (resp *schema.ClaimStatusResponse, alive bool)
}

// Options configures a Manager.
type Options struct {
	Node        string
	Incarnation string
	Store       Store
	Owners      Owners
	// Era returns the present era of the store. If it is nil, the store never loses an acknowledged write.
	Era func(ctx context.Context) (platform.EraStart, error)
	// Nodes returns the names of the live nodes, which share the deletion of old claims. If it is nil, this node deletes
	// them all.
	Nodes func() []string
	Now   func() time.Time
	Log   logrus.FieldLogger
	// Panics counts recovered panics. May be nil.
	Panics recovery.Metrics
}

// Manager claims requests for one node. Run must be active while it is used.
type Manager struct {
	opts Options

	mu sync.Mutex
	// attempts holds the attempts of this process that are not settled in the platform. The map key is the nonce and not
	// the Idempotency-Key, because of two attempts with the same key one can be running while the other is released.
	attempts map[string]*attempt
	// pendingCount is the number of attempts that Run has to settle.
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
	Fingerprint string // Hash of destination, method, path and body; see Fingerprint.
	// OnWait, if set, is called once, before Acquire waits for an earlier run of the request to end.
	OnWait func()
}

// Claim is the right to dispatch a request once.
type Claim struct {
	manager *Manager
	attempt *attempt
}

// CheckKey returns an error if the key is missing, malformed, older than MaxKeyAge or more than MaxClockSkew in the future.
// The creation time in the key makes it safe to delete old claims, because such an old key is never accepted again.
func CheckKey(key string, now time.Time) *result.Error {
	if key == "" {
		return result.New(result.KeyMissing, "a non-idempotent call needs an Idempotency-Key header with a UUIDv7")
	}
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 || id.Variant() != uuid.RFC4122 || id.String() != key {
		return result.New(result.KeyMalformed, "Idempotency-Key %.64q is not a UUIDv7 in lower-case canonical form", key)
	}
	created := keyTime(id)
	switch {
	case created.Before(now.Add(-MaxKeyAge)):
		return result.New(result.KeyTooOld, "Idempotency-Key was created at %s, more than %s ago; an earlier request with it may have run", created.Format(time.RFC3339), MaxKeyAge)
	case created.After(now.Add(MaxClockSkew)):
		return result.New(result.KeyInFuture, "Idempotency-Key was created at %s, in the future", created.Format(time.RFC3339))
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

// Acquire claims the request. It returns a Claim, which the caller must settle with Answer, Release or Unknown; or the
// stored claim with the answer of an earlier run; or an error, whose code says what is known about an earlier run.
func (m *Manager) Acquire(ctx context.Context, req Request) (*Claim, *schema.Claim, *result.Error) {
	if err := CheckKey(req.Key, m.opts.Now()); err != nil {
		return nil, nil, err
	}
	if m.pendingFull() {
		return nil, nil, result.New(result.PlatformUnavailable, "%d claims of this node are still waiting to be written to the platform", maxPending)
	}
	era, err := m.era(ctx)
	if err != nil {
		return nil, nil, result.New(result.PlatformUnavailable, "the era of the store could not be read").WithCause(err)
	}
	if claimMayBeLost(req.Key, era) {
		return m.resolveExisting(ctx, req, nil)
	}
	a, err := m.writeClaim(ctx, req, 0, era.Era)
	switch {
	case err == nil:
		return m.recheck(ctx, a)
	case errors.Is(err, platform.ErrConflict):
		return m.resolveExisting(ctx, req, a)
	default:
		return nil, nil, result.New(result.PlatformUnavailable, "the claim could not be written").WithCause(err)
	}
}

// LookUpEarlier reads the claim of an earlier run of the request, if any. It returns the stored claim if the run was answered,
// an error if the request is running or may have run or the key was used for another request, and neither otherwise, for
// example if the claim was released or can't be read.
func (m *Manager) LookUpEarlier(ctx context.Context, req Request) (*schema.Claim, *result.Error) {
	if CheckKey(req.Key, m.opts.Now()) != nil {
		return nil, nil
	}
	version, stored, err := m.readClaim(ctx, req.Key)
	switch {
	case errors.Is(err, platform.ErrNotFound):
		era, err := m.era(ctx)
		if err != nil {
			return nil, result.New(result.RequestInProgress, "whether an earlier claim of this key was lost could not be read").WithCause(err)
		}
		if claimMayBeLost(req.Key, era) {
			return nil, unknownOutcome(req.Key)
		}
		return nil, nil
	case err != nil:
		// The claim is not readable. Unlike after a conflicting create, nothing indicates that one exists.
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
	if ofFormerEra(stored, version) {
		return nil, unknownOutcome(req.Key)
	}
	return nil, nil
}

// era returns the present era of the store.
func (m *Manager) era(ctx context.Context) (platform.EraStart, error) {
	if m.opts.Era == nil {
		return platform.EraStart{}, nil
	}
	return m.opts.Era(ctx)
}

// claimMayBeLost reports whether a claim of the key may have been written in a former era and lost with it. A key that was
// created later than the present era was noticed, by any two clocks, can have no such claim.
func claimMayBeLost(key string, era platform.EraStart) bool {
	id, _ := uuid.Parse(key) // CheckKey has already refused malformed keys.
	return era.Era > 0 && !keyTime(id).After(era.NoticedAt.Add(MaxClockSkew))
}

// ofFormerEra reports whether the request was claimed in an era before the one in which its claim was read. Later states of
// such a claim, and claims of later attempts, may be lost.
func ofFormerEra(stored *schema.Claim, version uint64) bool {
	return stored.GetStoreEra() < platform.EraOf(version)
}

// newClaim returns the content of a claim in the state claimed, with a new nonce.
func (m *Manager) newClaim(req Request, era uint64) *schema.Claim {
	return &schema.Claim{
		Key:         req.Key,
		Account:     req.Account,
		Fingerprint: req.Fingerprint,
		Node:        m.opts.Node,
		Incarnation: m.opts.Incarnation,
		State:       schema.ClaimState_CLAIM_STATE_CLAIMED,
		Nonce:       uuid.NewString(),
		StoreEra:    era,
	}
}

// writeClaim writes a new claim: a create if baseVersion is 0, otherwise an update that is conditional on baseVersion. On an
// error, the attempt is abandoned and returned with the error, unless the write certainly had no effect. A conflict is not
// certain: after a stale read-back, the platform client reports one for a write that did take effect.
func (m *Manager) writeClaim(ctx context.Context, req Request, baseVersion, era uint64) (*attempt, error) {
	content := m.newClaim(req, era)
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

// recheck checks the key again after its claim was written, and releases the claim if the key is too old by now.
// Without it, a node that was paused before the write could claim a key whose earlier claim had been deleted as too old,
// and run the request a second time. A claim that was written in a later era than the one for which the key was checked
// becomes unknown, since an earlier claim may have been lost in between.
func (m *Manager) recheck(ctx context.Context, a *attempt) (*Claim, *schema.Claim, *result.Error) {
	claim := &Claim{manager: m, attempt: a}
	if ofFormerEra(a.claim, a.baseVersion) {
		claim.Unknown(ctx)
		return nil, nil, unknownOutcome(a.key)
	}
	if err := CheckKey(a.key, m.opts.Now()); err != nil {
		claim.Release(ctx)
		return nil, nil, err
	}
	return claim, nil, nil
}

// resolveExisting handles a request whose claim could not be created because of an earlier claim with the same key. It
// waits while the owner of the earlier claim is still running the request. As long as the earlier claim could not be read,
// the error doesn't state that the request was not run, because the earlier one may have run.
//
// ownAttempt is the attempt whose create got the conflict. Reading a claim with another nonce proves that this create
// is not in force and never will be, so the attempt is removed. It is nil for a key whose claim may be lost: a claim is read but
// none is created.
func (m *Manager) resolveExisting(ctx context.Context, req Request, ownAttempt *attempt) (*Claim, *schema.Claim, *result.Error) {
	failedReads := 0
	for wait := minPollInterval; ; wait = min(2*wait, maxPollInterval) {
		version, stored, err := m.readClaim(ctx, req.Key)
		switch {
		case ownAttempt == nil && errors.Is(err, platform.ErrNotFound):
			return nil, nil, unknownOutcome(req.Key)
		case err != nil:
			if failedReads++; failedReads == maxFailedReads {
				return nil, nil, result.New(result.RequestInProgress, "an earlier claim of this key could not be read").WithCause(err)
			}
		case !sameRequest(stored, req):
			m.removeAttempt(ownAttempt)
			return nil, nil, result.New(result.KeyReused, "Idempotency-Key %s was used for another request", req.Key)
		default:
			failedReads = 0
			if ownAttempt != nil && stored.Nonce != ownAttempt.nonce {
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

// sameRequest reports whether the stored claim is for this request, and not for another one with the same key.
func sameRequest(stored *schema.Claim, req Request) bool {
	return stored.Account == req.Account && stored.Fingerprint == req.Fingerprint
}

// resolveState handles the state of an earlier claim that was read at the given version. readAgain is true if the request is
// still running or the claim has changed since.
func (m *Manager) resolveState(ctx context.Context, req Request, version uint64, stored *schema.Claim) (claim *Claim, answer *schema.Claim, readAgain bool, failure *result.Error) {
	former := ofFormerEra(stored, version)
	switch stored.State {
	case schema.ClaimState_CLAIM_STATE_ANSWERED:
		return nil, stored, false, nil
	case schema.ClaimState_CLAIM_STATE_UNKNOWN:
		return nil, nil, false, unknownOutcome(req.Key)
	case schema.ClaimState_CLAIM_STATE_RELEASED:
		if former { // A later attempt may have claimed it again.
			return m.markUnknown(ctx, version, stored)
		}
		return m.reclaim(ctx, req, version)
	}
	status, alive := m.ownerStatus(ctx, stored)
	settled := status != nil && (!status.GetKnown() || status.GetState() == schema.ClaimState_CLAIM_STATE_RELEASED)
	if !alive || former && settled { // What the owner has settled is lost, or a later attempt with it.
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

// ownerStatus queries the process that wrote the claim. If that process is running but doesn't know the claim, it has
// settled the claim since it was read, so the caller has to read it again.
func (m *Manager) ownerStatus(ctx context.Context, stored *schema.Claim) (*schema.ClaimStatusResponse, bool) {
	if stored.Node == m.opts.Node && stored.Incarnation == m.opts.Incarnation {
		return m.Status(stored.Nonce), true
	}
	ctx, cancel := context.WithTimeout(ctx, ownerCallTimeout)
	defer cancel()
	return m.opts.Owners.ClaimStatus(ctx, stored)
}

// reclaim claims a released request again. The update is conditional on the version, so only one of several concurrent
// callers succeeds.
func (m *Manager) reclaim(ctx context.Context, req Request, version uint64) (*Claim, *schema.Claim, bool, *result.Error) {
	a, err := m.writeClaim(ctx, req, version, platform.EraOf(version))
	switch {
	case err == nil:
		claim, answer, failure := m.recheck(ctx, a)
		return claim, answer, false, failure
	case errors.Is(err, platform.ErrConflict):
		return nil, nil, true, nil
	default:
		return nil, nil, false, result.New(result.PlatformUnavailable, "the claim could not be written").WithCause(err)
	}
}

// markUnknown writes the state unknown to the claim of an owner whose lease has ended. That owner may only be paused and
// could still release the claim, after which a repeat could run. So OutcomeUnknown, which guarantees that the request is not
// run again, is returned only after the state was written.
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
			"the node that claimed this key has ended, but the claim could not be marked as unknown").WithCause(err)
	}
}

// readClaim returns the stored claim of the key and its version. The read may be stale.
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

// Status returns the state of the attempt of this process that has the nonce. Known is false in the response if there is no
// such attempt, which includes attempts that are settled in the platform.
func (m *Manager) Status(nonce string) *schema.ClaimStatusResponse {
	m.mu.Lock()
	defer m.mu.Unlock()
	a, ok := m.attempts[nonce]
	if !ok {
		return &schema.ClaimStatusResponse{}
	}
	return &schema.ClaimStatusResponse{State: a.claim.State, Known: true, Claim: proto.Clone(a.claim).(*schema.Claim)}
}

// Fingerprint returns a hash of the destination and the content of a request. It serves to refuse a key that was used for
// another request.
func Fingerprint(destination, method, path string, body []byte) string {
	h := sha256.New()
	for _, part := range []string{destination, method, path} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

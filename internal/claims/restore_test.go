package claims

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/platform"
	"cassiadeal.example/cassiadeal/internal/result"
	"cassiadeal.example/cassiadeal/internal/schema"
)

// lost is the age of the copies in these tests. It is above the time that each test needs before the restore.
const lost = time.Minute

func (f *fixture) restore(age time.Duration) {
	f.cluster.store.restore(age)
	f.a.noteEra()
	f.b.noteEra()
}

func (f *fixture) checkUnknown(n *node) {
	f.Helper()
	claim, stored, err := f.acquire(n, 10*time.Second)
	f.Check(claim, qt.IsNil)
	f.Check(stored, qt.IsNil)
	f.Assert(err, qt.Not(qt.Equals), (*result.Error)(nil))
	f.Check(err.Code, qt.Equals, result.OutcomeUnknown)
	f.Check(err.NotRun, qt.IsFalse)
}

// Guards against a request that runs a second time because the store has lost the claim of the first run.
func TestLostClaimIsNotRunAgain(t *testing.T) {
	run(t, func(f *fixture) {
		f.claim(f.a).Answer(t.Context(), Answer{Status: 200})
		f.restore(lost)
		f.checkUnknown(f.b)
		_, err := f.b.manager.LookUpEarlier(t.Context(), Request{Key: f.key, Account: "acc", Fingerprint: "fp"})
		f.Assert(err, qt.Not(qt.Equals), (*result.Error)(nil))
		f.Check(err.Code, qt.Equals, result.OutcomeUnknown)
		time.Sleep(MaxClockSkew)
		f.checkUnknown(f.b)
		f.key = newKey(1)
		f.checkUnknown(f.a) // Another clock may have given the key before the restore.
		time.Sleep(time.Second)
		f.key = newKey(2)
		f.claim(f.a)
	})
}

// Guards against a request that runs a second time because its claim is released in the copy, though it was claimed again.
func TestReleasedClaimOfAFormerEraIsNotRunAgain(t *testing.T) {
	run(t, func(f *fixture) {
		f.claim(f.a).Release(t.Context())
		time.Sleep(time.Second)
		f.claim(f.b).Answer(t.Context(), Answer{Status: 200})
		f.restore(time.Second)
		f.Check(f.stored().State, qt.Equals, schema.ClaimState_CLAIM_STATE_RELEASED)
		f.checkUnknown(f.a)
		f.Check(f.stored().State, qt.Equals, schema.ClaimState_CLAIM_STATE_UNKNOWN)
	})
}

// Guards against a request that waits without end, or runs again, because its answer is lost and its claim is back.
func TestLostAnswerOfARestoredClaim(t *testing.T) {
	run(t, func(f *fixture) {
		claim := f.claim(f.a)
		time.Sleep(time.Second)
		claim.Answer(t.Context(), Answer{Status: 200})
		f.restore(time.Second)
		f.Check(f.stored().State, qt.Equals, schema.ClaimState_CLAIM_STATE_CLAIMED)
		f.checkUnknown(f.b)
	})
}

// Guards against an answer that isn't kept because the restore came while its request ran.
func TestAnswerAfterARestoreIsKept(t *testing.T) {
	for _, age := range []time.Duration{0, lost} {
		run(t, func(f *fixture) {
			claim := f.claim(f.a)
			time.Sleep(time.Second)
			f.restore(age)
			claim.Answer(t.Context(), Answer{Status: 201})
			_, stored, err := f.acquire(f.b, 10*time.Second)
			f.Assert(err, qt.Equals, (*result.Error)(nil))
			f.Check(stored.GetStatus(), qt.Equals, uint32(201))
		})
	}
}

// Guards against a release that is repeated after a restore, when the key was claimed again and ran.
func TestReleaseIsNotRepeatedInALaterEra(t *testing.T) {
	run(t, func(f *fixture) {
		claim := f.claim(f.a)
		time.Sleep(time.Second)
		f.a.injectFault("update", 1, fault{errAfterWrite: platform.ErrOutcomeUnknown})
		go claim.Release(t.Context())
		time.Sleep(50 * time.Millisecond) // The release is in force, and its next try is due in 50 ms.
		f.claim(f.b).Answer(t.Context(), Answer{Status: 200})
		f.restore(500 * time.Millisecond)
		time.Sleep(10 * time.Second)
		f.checkUnknown(f.b)
	})
}

// Guards against a claim for which the key was checked in one era, and that was written in the next.
func TestClaimWrittenInALaterEraIsNotRun(t *testing.T) {
	run(t, func(f *fixture) {
		f.a.injectFault("create", 1, fault{onCall: func() { f.restore(lost) }})
		f.checkUnknown(f.a)
		f.Check(f.stored().State, qt.Equals, schema.ClaimState_CLAIM_STATE_UNKNOWN)
		f.checkUnknown(f.b)
	})
}

// Guards against a request that has run and is refused as not run: its claim is lost, and the era can't be read.
func TestLookUpWithoutTheEraPromisesNothing(t *testing.T) {
	run(t, func(f *fixture) {
		f.claim(f.a).Answer(t.Context(), Answer{Status: 200})
		f.restore(lost)
		f.b.manager.opts.Era = func(context.Context) (platform.EraStart, error) { return platform.EraStart{}, platform.ErrUnavailable }
		_, err := f.b.manager.LookUpEarlier(t.Context(), Request{Key: f.key, Account: "acc", Fingerprint: "fp"})
		f.Assert(err, qt.Not(qt.Equals), (*result.Error)(nil))
		f.Check(err.NotRun, qt.IsFalse)
	})
}

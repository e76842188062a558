package claims

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"cassiadeal.example/cassiadeal/internal/platform"
	"cassiadeal.example/cassiadeal/internal/schema"
)

// Answer is the answer of a target to a claimed request.
type Answer struct {
	Status  uint32
	Headers map[string]string
	Body    []byte
}

// Answer stores the answer so that a repeat gets the same one. It returns when the answer is stored, or after storeWait;
// then the write goes on in the background and other nodes get the answer from this process.
func (c *Claim) Answer(ctx context.Context, answer Answer) {
	settled := proto.Clone(c.content).(*schema.Claim)
	settled.State = schema.ClaimState_CLAIM_STATE_ANSWERED
	settled.Status = answer.Status
	settled.Headers = answer.Headers
	if len(answer.Body) <= MaxKeptAnswer {
		settled.Answer = answer.Body
	} else {
		settled.AnswerDropped = true
	}
	c.settle(ctx, settled)
}

// Release records that the request did not run. The caller must know that no byte of it reached a target.
func (c *Claim) Release(ctx context.Context) {
	settled := proto.Clone(c.content).(*schema.Claim)
	settled.State = schema.ClaimState_CLAIM_STATE_RELEASED
	c.settle(ctx, settled)
}

// Unknown records that the request was sent and its answer is lost.
func (c *Claim) Unknown(ctx context.Context) {
	settled := proto.Clone(c.content).(*schema.Claim)
	settled.State = schema.ClaimState_CLAIM_STATE_UNKNOWN
	c.settle(ctx, settled)
}

// settle makes the final state known to this process at once and writes it to the platform. The write must not be
// cut short by the caller's going away.
func (c *Claim) settle(ctx context.Context, settled *schema.Claim) {
	settled.Nonce = uuid.NewString()
	c.m.set(c.content.Nonce, settled)
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.m.write(context.WithoutCancel(ctx), c.content, c.version, settled)
	}()
	select {
	case <-done:
	case <-time.After(storeWait):
	}
}

// write repeats the conditional update until the platform has it or the key is too old to be used.
func (m *Manager) write(ctx context.Context, from *schema.Claim, version uint64, settled *schema.Claim) {
	data, err := platform.Encode(settled)
	if err != nil {
		m.opts.Log.WithError(err).Error("claim could not be encoded")
		return
	}
	deadline := m.opts.Now().Add(Window + 2*MaxSkew)
	for m.opts.Now().Before(deadline) {
		_, err := m.opts.Store.Update(ctx, kind, from.Key, version, data)
		if err == nil {
			m.forget(from.Nonce)
			return
		}
		if errors.Is(err, platform.ErrConflict) {
			current, lost := m.current(ctx, from, version)
			if lost {
				m.forget(from.Nonce)
				return
			}
			version = current
		}
		time.Sleep(retryInterval)
	}
}

// current returns the version of a claim after a conflict on an older version, or that older one if the claim can't be read.
// lost is true if somebody else has settled or taken over the claim, or if it was deleted.
func (m *Manager) current(ctx context.Context, from *schema.Claim, older uint64) (version uint64, lost bool) {
	version, stored, err := m.read(ctx, from.Key)
	if err != nil {
		return older, errors.Is(err, platform.ErrNotFound)
	}
	return version, stored.Nonce != from.Nonce
}

// abandon keeps a claim whose write has an unknown outcome and that is not dispatched. It is known to be released at
// once, and the platform's copy is released when it can be reached, if the write took effect. base is the version that
// the write was conditional on.
func (m *Manager) abandon(content *schema.Claim, base uint64) {
	released := proto.Clone(content).(*schema.Claim)
	released.State = schema.ClaimState_CLAIM_STATE_RELEASED
	m.set(content.Nonce, released)
	released.Nonce = uuid.NewString()
	go m.releaseWhenFound(content, released, base)
}

func (m *Manager) releaseWhenFound(content, released *schema.Claim, base uint64) {
	ctx := context.Background()
	deadline := m.opts.Now().Add(Window + 2*MaxSkew)
	for m.opts.Now().Before(deadline) {
		version, stored, err := m.read(ctx, content.Key)
		switch {
		case err != nil:
		case stored.Nonce == content.Nonce:
			m.write(ctx, content, version, released)
			return
		case version != base:
			// Another write came first, so the lost one can't take effect any more.
			m.forget(content.Nonce)
			return
		}
		time.Sleep(retryInterval)
	}
	m.forget(content.Nonce)
}

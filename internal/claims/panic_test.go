package claims

import (
	"context"
	"io"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"cassiadeal.example/cassiadeal/internal/result"
	"cassiadeal.example/cassiadeal/internal/schema"
)

// panickingStore panics at each update of an object.
type panickingStore struct {
	Store
}

func (panickingStore) Create(context.Context, string, string, []byte) (uint64, error) { return 1, nil }

func (panickingStore) Update(context.Context, string, string, uint64, []byte) (uint64, error) {
	panic("test")
}

// countedPanics passes on where panics were recovered.
type countedPanics chan string

func (p countedPanics) Panic(where string)  { p <- where }
func (p countedPanics) Refusal(result.Code) {}

// Guards against a panic while the final state of a claim is written: it ended the process, and all requests of the node without an answer.
func TestPanicWhileSettlingLeavesTheProcess(t *testing.T) {
	c := qt.New(t)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	panics := make(countedPanics, 1)
	m := New(Options{Node: "n", Incarnation: "i", Store: panickingStore{}, Log: logger, Panics: panics})
	key, err := uuid.NewV7()
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	claim, _, refusal := m.Acquire(ctx, Request{Key: key.String(), Account: "a"})
	c.Assert(refusal == nil, qt.IsTrue)
	nonce := claim.attempt.nonce
	claim.Unknown(ctx) // Returns after answerStoreTimeout.
	c.Check(m.Status(nonce).State, qt.Equals, schema.ClaimState_CLAIM_STATE_UNKNOWN)
	c.Check(<-panics, qt.Equals, "claims")
}

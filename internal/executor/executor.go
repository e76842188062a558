// Package executor runs requests on the targets whose holder is this node.
package executor

import (
	"context"
	"errors"
	"math"
	"time"

	"github.com/sirupsen/logrus"

	"cassiadeal.example/cassiadeal/internal/buffer"
	"cassiadeal.example/cassiadeal/internal/claims"
	"cassiadeal.example/cassiadeal/internal/crash"
	"cassiadeal.example/cassiadeal/internal/dispatch"
	"cassiadeal.example/cassiadeal/internal/result"
	"cassiadeal.example/cassiadeal/internal/rules"
	"cassiadeal.example/cassiadeal/internal/schema"
	"cassiadeal.example/cassiadeal/internal/target"
)

// settleTimeout is added to a request's timeout to bound the writes that settle its claim.
const settleTimeout = 5 * time.Second

// lookupTimeout bounds the read of an earlier claim when a request is refused.
const lookupTimeout = time.Second

// Sink receives the chunks of an answer. The end isn't passed to it. It must not keep a chunk's data, which is overwritten by later chunks.
type Sink func(*schema.DispatchChunk) error

// Options configures an Executor.
type Options struct {
	Answers *buffer.Budget // For answers that are kept until their claims are settled.
	Targets *target.Table
	Runner  *dispatch.Runner
	Claims  *claims.Manager
	Crashes *crash.Table
	// MayServe returns an error if this node has lost the right to serve. It is called before every dispatch.
	MayServe func() *result.Error
	// Holds returns whether this node is the holder of a target now. The target table is updated later than this.
	Holds func(target string) bool
	// OnCrash is called when a target was lost while it ran a request.
	OnCrash func(context.Context, *schema.CrashReport)
	// Clock is the clock of the target table.
	Clock func() time.Duration
	Log   logrus.FieldLogger
}

// Executor runs requests.
type Executor struct {
	opts Options
}

// New returns an Executor.
func New(opts Options) *Executor { return &Executor{opts: opts} }

// Execute runs a request on one of this node's targets and passes its answer to sink.
func (e *Executor) Execute(ctx context.Context, req *schema.DispatchRequest, sink Sink) *schema.DispatchEnd {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(req.DeadlineMs)*time.Millisecond)
	defer cancel()
	if err := e.checkAllowed(req); err != nil {
		return errorEnd(err)
	}
	slot, err := e.acquireSlot(ctx, req)
	if err != nil {
		return e.endWithoutSlot(ctx, req, result.From(err), sink)
	}
	defer slot.Release(target.Outcome{NotRun: true}) // Has an effect only if nothing else has released it, for example after a panic.
	if err := e.recheck(slot, req); err != nil {
		return errorEnd(err)
	}
	if req.Repeatable {
		return e.run(ctx, slot, req, sink)
	}
	return e.runOnce(ctx, slot, req, sink)
}

func (e *Executor) checkAllowed(req *schema.DispatchRequest) *result.Error {
	if err := e.opts.MayServe(); err != nil {
		return err
	}
	if e.opts.Crashes.Blocked(crash.Request{Fingerprint: req.Fingerprint}) {
		return result.New(result.CrashingRequest, "this request crashed targets before and is refused")
	}
	return nil
}

// recheck repeats the checks after the wait for a slot, which can be long. The holder is checked while the slot is counted as
// in flight: a handover first removes this node as holder and then waits for the requests in flight, so that it either waits
// for this request or this check refuses it.
func (e *Executor) recheck(slot *target.Slot, req *schema.DispatchRequest) *result.Error {
	if !e.opts.Holds(slot.ID) {
		return result.New(result.NoTarget, "target %s is changing its holder", slot.ID)
	}
	return e.checkAllowed(req)
}

func (e *Executor) acquireSlot(ctx context.Context, req *schema.DispatchRequest) (*target.Slot, error) {
	return e.opts.Targets.Acquire(ctx, target.SlotRequest{
		Destination: req.Destination,
		PrefixHash:  req.PrefixHash,
		Priority:    rules.Priority(req.Priority),
		Exclude:     req.ExcludeTargets,
		Deadline:    e.opts.Clock() + time.Duration(req.DeadlineMs)*time.Millisecond,
	})
}

// endWithoutSlot ends a request that got no slot. A repeat of a non-idempotent request needs none if the answer of an earlier
// attempt is stored, and must not be refused as not run if an earlier attempt may have run.
func (e *Executor) endWithoutSlot(ctx context.Context, req *schema.DispatchRequest, refusal *result.Error, sink Sink) *schema.DispatchEnd {
	if req.Repeatable {
		return errorEnd(refusal)
	}
	// The deadline of ctx may have passed during the wait for a slot.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), lookupTimeout)
	defer cancel()
	stored, earlier := e.opts.Claims.LookUpEarlier(ctx, claimRequest(req))
	switch {
	case stored != nil:
		return replayStored(stored, sink)
	case earlier != nil:
		return errorEnd(earlier)
	}
	return errorEnd(refusal)
}

// run dispatches a request, records its answer, and calls OnCrash if the target crashed.
func (e *Executor) run(ctx context.Context, slot *target.Slot, req *schema.DispatchRequest, sink Sink) *schema.DispatchEnd {
	began := false
	end := e.opts.Runner.Run(ctx, slot, req, func(chunk *schema.DispatchChunk) error {
		began = true
		return sink(chunk)
	})
	if end.Code == int32(result.OK) {
		e.opts.Crashes.RecordAnswer(req.Fingerprint)
	}
	if end.Crashed {
		e.opts.OnCrash(context.WithoutCancel(ctx), &schema.CrashReport{
			Fingerprint: req.Fingerprint,
			Target:      end.Target,
			Incarnation: slot.Incarnation,
			Began:       began,
		})
	}
	return end
}

// runOnce claims a non-idempotent request, dispatches it once and stores the answer with the claim. The exchange with the
// target continues if the caller disconnects, since a repeat needs its answer.
func (e *Executor) runOnce(ctx context.Context, slot *target.Slot, req *schema.DispatchRequest, sink Sink) *schema.DispatchEnd {
	claimReq := claimRequest(req)
	// A repeat that waits for an earlier run doesn't need its slot meanwhile, but other requests do.
	slotReleased := false
	claimReq.OnWait = func() {
		slotReleased = true
		slot.Release(target.Outcome{NotRun: true})
	}
	claim, stored, refusal := e.opts.Claims.Acquire(ctx, claimReq)
	if claim == nil {
		slot.Release(target.Outcome{NotRun: true})
		if stored != nil {
			return replayStored(stored, sink)
		}
		return errorEnd(refusal)
	}
	settleCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Duration(req.DeadlineMs)*time.Millisecond+settleTimeout)
	defer cancel()
	returned := false
	defer func() {
		if !returned { // After a panic the request may have run.
			claim.Unknown(settleCtx)
		}
	}()
	end := e.runClaimed(ctx, settleCtx, claim, slot, slotReleased, req, sink)
	returned = true
	return end
}

// runClaimed dispatches a claimed request and settles its claim. It acquires another slot if that of the request was released.
func (e *Executor) runClaimed(ctx, settleCtx context.Context, claim *claims.Claim, slot *target.Slot, slotReleased bool, req *schema.DispatchRequest, sink Sink) *schema.DispatchEnd {
	if slotReleased {
		var err error
		if slot, err = e.acquireSlot(ctx, req); err != nil {
			claim.Release(settleCtx)
			return errorEnd(result.From(err))
		}
		defer slot.Release(target.Outcome{NotRun: true}) // See Execute.
	}
	if err := e.checkBeforeDispatch(ctx, slot, req); err != nil {
		slot.Release(target.Outcome{NotRun: true})
		claim.Release(settleCtx)
		return errorEnd(err)
	}

	collected := collector{body: e.opts.Answers.NewBuffer(math.MaxInt)} // The runner limits the size of one answer.
	defer collected.body.Release()
	exchangeCtx, stopExchange := withoutCallerCancel(ctx)
	defer stopExchange()
	end := e.run(exchangeCtx, slot, req, collected.add)
	switch {
	case end.Code == int32(result.OK):
		claim.Answer(settleCtx, collected.answer())
		return sendChunks(collected.chunks(), sink, end)
	case end.NotRun:
		claim.Release(settleCtx)
	default:
		end.Code = int32(result.OutcomeUnknown)
		claim.Unknown(settleCtx)
	}
	return end
}

// checkBeforeDispatch checks the conditions that may have changed while the claim was written.
func (e *Executor) checkBeforeDispatch(ctx context.Context, slot *target.Slot, req *schema.DispatchRequest) *result.Error {
	if ctx.Err() != nil {
		return result.New(result.DeadlineUnreachable, "the deadline passed before the request was sent")
	}
	return e.recheck(slot, req)
}

// withoutCallerCancel returns a context with the deadline of ctx that isn't cancelled with it, unless the cause is a
// *result.Error: then this node itself ended the request.
func withoutCallerCancel(ctx context.Context) (context.Context, context.CancelFunc) {
	detached, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stopAfterFunc := context.AfterFunc(ctx, func() {
		var nodeErr *result.Error
		if errors.As(context.Cause(ctx), &nodeErr) {
			cancel()
		}
	})
	stop := func() {
		stopAfterFunc()
		cancel()
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		return detached, stop
	}
	limited, cancelLimit := context.WithDeadline(detached, deadline)
	return limited, func() {
		cancelLimit()
		stop()
	}
}

func claimRequest(req *schema.DispatchRequest) claims.Request {
	return claims.Request{
		Key:         req.IdempotencyKey,
		Account:     req.Account,
		Fingerprint: claims.Fingerprint(req.Destination, req.Method, req.Path, req.Body),
	}
}

// collector keeps the answer of a service until its claim is settled.
type collector struct {
	head *schema.DispatchHead
	body *buffer.Buffer
}

func (c *collector) add(chunk *schema.DispatchChunk) error {
	if head := chunk.GetHead(); head != nil {
		c.head = head
	}
	return c.body.Append(chunk.GetData())
}

func (c *collector) answer() claims.Answer {
	a := claims.Answer{Status: c.head.GetStatus(), Headers: c.head.GetHeaders(), TooLarge: c.body.Len() > claims.MaxStoredAnswer}
	if !a.TooLarge {
		a.Body = c.body.Bytes()
	}
	return a
}

// chunks returns the answer in parts that can be sent to another node.
func (c *collector) chunks() []*schema.DispatchChunk {
	list := []*schema.DispatchChunk{{Part: &schema.DispatchChunk_Head{Head: c.head}}}
	for _, part := range c.body.Chunks() {
		list = append(list, &schema.DispatchChunk{Part: &schema.DispatchChunk_Data{Data: part}})
	}
	return list
}

func sendChunks(chunks []*schema.DispatchChunk, sink Sink, end *schema.DispatchEnd) *schema.DispatchEnd {
	for _, chunk := range chunks {
		if err := sink(chunk); err != nil {
			return errorEnd(result.New(result.OutcomeUnknown, "the answer could not be delivered; a repeat of the request returns it").WithCause(err))
		}
	}
	return end
}

// replayStored passes the answer that was stored with a claim to the sink.
func replayStored(stored *schema.Claim, sink Sink) *schema.DispatchEnd {
	if stored.AnswerDropped {
		return errorEnd(result.New(result.AnswerNotKept, "the request ran and was answered; its answer was too large to keep"))
	}
	head := &schema.DispatchHead{Status: stored.Status, Headers: stored.Headers}
	chunks := []*schema.DispatchChunk{
		{Part: &schema.DispatchChunk_Head{Head: head}},
		{Part: &schema.DispatchChunk_Data{Data: stored.Answer}},
	}
	return sendChunks(chunks, sink, &schema.DispatchEnd{})
}

func errorEnd(err *result.Error) *schema.DispatchEnd {
	return &schema.DispatchEnd{
		Code:         int32(err.Code),
		Message:      err.Message,
		NotRun:       err.NotRun,
		RetryAfterMs: err.RetryAfter.Milliseconds(),
	}
}

package edge

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"cassiadeal.example/cassiadeal/internal/balance"
	"cassiadeal.example/cassiadeal/internal/buffer"
	"cassiadeal.example/cassiadeal/internal/fleet"
	"cassiadeal.example/cassiadeal/internal/lastheard"
	"cassiadeal.example/cassiadeal/internal/retry"
)

// bufferedSend is one send of a request whose response is buffered until it is complete.
type bufferedSend struct {
	replica *fleet.Replica
	key     balance.Key
	ticket  *balance.Ticket
	heard   *lastheard.Record
	cancel  context.CancelFunc

	// What follows is set when the send has ended.
	response *replicaResponse
	body     *buffer.Buffer
	sent     bool // The replica may have received a byte of the request.
	began    bool // The replica has sent the header of a response.
	err      error
}

// close closes the connection and releases the response.
func (s *bufferedSend) close() {
	s.cancel()
	s.response.close()
	s.body.Release()
	s.ticket.End()
}

// bufferedSends are the sends of one request that are under way at the same time. The first complete response counts: a replica that is
// silent may go on, and another one that is asked as well may refuse the request, fail or be silent too.
type bufferedSends struct {
	*call
	exclude map[balance.Key]bool
	running []*bufferedSend
	ended   chan *bufferedSend
	failed  *bufferedSend // Has a complete response, which states a failure, while others are under way; nil if there is none.
}

// trySend sends the request to the replica, and also to others if it may be repeated and has no response after half of the time. done
// tells that the client has its response, retryable that another replica may be tried.
func (c *call) trySend(replica *fleet.Replica, key balance.Key, exclude map[balance.Key]bool) (done, retryable bool) {
	sends := &bufferedSends{call: c, exclude: exclude, ended: make(chan *bufferedSend)}
	defer sends.drop()
	sends.start(replica, key)
	silent := time.NewTimer(c.timeLeft() / 2)
	defer silent.Stop()
	for {
		select {
		case <-silent.C:
			if sends.failed != nil {
				return sends.forwardFailure(false), false // The client may come back while it has time.
			}
			silent.Reset(sends.askAnother())
		case s := <-sends.ended:
			done, retryable = sends.handleEnd(s)
			if done || len(sends.running) == 0 {
				return sends.forwardFailure(done), retryable
			}
			if sends.failed == s {
				silent.Reset(c.timeLeft() / 2)
			}
		}
	}
}

// start sends the request to the replica.
func (b *bufferedSends) start(replica *fleet.Replica, key balance.Key) {
	ctx, cancel := context.WithCancel(b.ctx)
	s := &bufferedSend{replica: replica, key: key, heard: lastheard.New(), cancel: cancel, body: b.buffers.NewBuffer(maxResponseBytes),
		ticket: b.opt.Table.Begin(key, b.req.PromptTokens, b.route.LatencyTarget)}
	b.attempts.startSend(key, s.heard)
	b.opt.Table.CountColdSend(replica, b.view)
	b.running = append(b.running, s)
	b.attempts.running++
	go func() {
		b.exchangeRecovered(ctx, s)
		b.ended <- s
	}()
}

// exchange sends the request once and reads the response.
func (c *call) exchange(ctx context.Context, s *bufferedSend) {
	s.response, s.sent, s.err = c.send(ctx, s.replica, "", s.ticket, s.heard)
	if s.err != nil || s.response.header.NotRun {
		return
	}
	s.began = true
	if s.err = s.body.ReadAll(s.response.resp.Body); s.err != nil {
		if s.body.Len() > 0 {
			s.heard.Reach(lastheard.Body)
		}
		return
	}
	if problem := c.unusableReason(s.response); problem != "" {
		s.err = errors.New(problem)
		return
	}
	s.response.release()
}

// askAnother sends the request to one more replica if that is possible, and returns the time until the next one may be asked.
func (b *bufferedSends) askAnother() time.Duration {
	if b.route.Repeat != fleet.RepeatSafe || b.ctx.Err() != nil || b.crashRefusal() != nil {
		return stallCheckInterval
	}
	closed := b.repeat.close()
	replica := b.chooseAnother()
	if replica == nil {
		if closed {
			b.repeat.reopen()
		}
		return stallCheckInterval
	}
	for _, s := range b.running {
		b.opt.Table.RecordOutcome(s.key, true)
	}
	key := balance.KeyOf(replica)
	b.exclude[key] = true
	b.opt.Metrics.Retry("target_stalled")
	b.opt.Log.WithFields(logrus.Fields{"request_id": b.req.ID, "target": b.attempts.lastTarget, "other": string(key)}).
		Info("no response in half of the time; asking another replica as well")
	b.start(replica, key)
	return b.timeLeft() / 2
}

// chooseAnother returns a replica to be asked beside those that are silent, which counts as a retry, or nil.
func (b *bufferedSends) chooseAnother() *fleet.Replica {
	b.attempts.readmit(b.exclude)
	if b.availableReplica(b.exclude) == nil || !b.allowRetry(retry.ReasonTargetFailed) {
		return nil
	}
	return b.chooseReplica(b.exclude)
}

// handleEnd handles the end of one send.
func (b *bufferedSends) handleEnd(s *bufferedSend) (done, retryable bool) {
	b.remove(s)
	defer func() {
		if s != b.failed {
			s.close()
		}
	}()
	b.attempts.lastTarget, b.attempts.began, b.attempts.heard = string(s.key), s.began, s.heard
	if s.err != nil {
		b.recordFailure(s.replica, s.sent, s.err)
		return false, !s.sent || b.route.Idempotent()
	}
	status := s.response.resp.StatusCode
	if s.response.header.NotRun {
		b.attempts.lastFailure = "not run, status " + strconv.Itoa(status)
		return false, true
	}
	b.recordAnswer()
	b.opt.Table.RecordOutcome(s.key, status >= 500)
	b.attempts.maybeRun++
	if status >= 500 && b.route.Idempotent() {
		b.attempts.lastFailure = "status " + strconv.Itoa(status)
		switch {
		case len(b.running) > 0 && b.failed == nil:
			b.failed = s
			return false, true
		case len(b.running) > 0 || b.reserveRetry():
			return false, true
		}
	}
	b.attempts.maybeRun += len(b.running)
	for _, other := range b.running {
		other.cancel()
	}
	b.writeResponse(s.response, s.body)
	return true, false
}

// reserveRetry reports whether the request may be sent to another replica in time. If so, the retry is granted.
func (b *bufferedSends) reserveRetry() bool {
	if b.timeLeft() <= b.route.LatencyTarget || b.availableReplica(b.exclude) == nil || !b.allowRetry(retry.ReasonTargetFailed) {
		return false
	}
	b.attempts.granted++
	return true
}

// forwardFailure forwards the response of a replica that failed, if there is one and the client has no other response. It reports whether the
// client has its response.
func (b *bufferedSends) forwardFailure(done bool) bool {
	if done || b.failed == nil {
		return done
	}
	b.attempts.lastTarget = string(b.failed.key)
	b.attempts.maybeRun += len(b.running)
	b.writeResponse(b.failed.response, b.failed.body)
	return true
}

func (b *bufferedSends) remove(s *bufferedSend) {
	for i, other := range b.running {
		if other == s {
			b.running = append(b.running[:i], b.running[i+1:]...)
			b.attempts.running--
			return
		}
	}
}

// drop ends the sends that are under way. It returns once they have released what they use.
func (b *bufferedSends) drop() {
	for _, s := range b.running {
		s.cancel()
	}
	for len(b.running) > 0 {
		s := <-b.ended
		b.remove(s)
		s.close()
	}
	if b.failed != nil {
		b.failed.close()
	}
}

package edge

import (
	"context"

	"github.com/sirupsen/logrus"

	"cassiadeal.example/cassiadeal/internal/balance"
	"cassiadeal.example/cassiadeal/internal/recovery"
)

// receiveRecovered is receive in a goroutine of its own, where a panic would end the process. It becomes the failure of the send, which may
// have run.
func (c *call) receiveRecovered(ctx context.Context, s *streamSend, lastEventID string, resumed bool, steps chan<- streamStep) {
	defer func() {
		value := recover()
		if value == nil {
			return
		}
		c.reportPanic("stream", value, s.head.Key)
		select {
		case steps <- streamStep{from: s, sent: true, err: recovery.ErrPanic}:
		case <-ctx.Done():
		}
	}()
	c.receive(ctx, s, lastEventID, resumed, steps)
}

// exchangeRecovered is exchange in a goroutine of its own. A panic becomes the failure of the send, which may have run.
func (c *call) exchangeRecovered(ctx context.Context, s *bufferedSend) {
	defer func() {
		if value := recover(); value != nil {
			c.reportPanic("exchange", value, s.key)
			s.sent, s.err = true, recovery.ErrPanic
		}
	}()
	c.exchange(ctx, s)
}

// reportPanic counts and logs the panic of a goroutine that works on a send to the target.
func (c *call) reportPanic(where string, value any, target balance.Key) {
	recovery.Recoverer{Where: where, Log: c.opt.Log, Metrics: c.opt.Metrics}.Report(value,
		logrus.Fields{"request_id": c.req.ID, "route": c.route.Name, "target": string(target)})
}

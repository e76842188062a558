package edge

import (
	"context"

	"github.com/sirupsen/logrus"

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
		recovery.Recoverer{Where: "stream", Log: c.opt.Log, Metrics: c.opt.Metrics}.Report(value,
			logrus.Fields{"request_id": c.req.ID, "route": c.route.Name, "target": string(s.head.Key)})
		select {
		case steps <- streamStep{sent: true, err: recovery.ErrPanic}:
		case <-ctx.Done():
		}
	}()
	c.receive(ctx, s, lastEventID, resumed, steps)
}

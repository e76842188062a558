package edge

import (
	"context"
	"errors"

	"github.com/sirupsen/logrus"
)

// incompleteFields returns what the log line of a request without a complete answer says beside outcomeFields.
func (c *call) incompleteFields() logrus.Fields {
	a := &c.attempts
	fields := logrus.Fields{"client_closed": c.clientClosed()}
	if c.progress != nil {
		fields["events"] = c.progress.events
	}
	if a.sends == 0 {
		return fields
	}
	fields["others_asked"], fields["takeovers"] = a.othersAsked, a.takeovers
	a.heard.AddTo(fields, "")
	if a.other != "" {
		fields["other"] = a.other
		a.otherHeard.AddTo(fields, "other_")
		a.otherHeard.AddThrough(fields, "other_")
	}
	return fields
}

// clientClosed reports whether the client has closed its connection.
func (c *call) clientClosed() bool {
	return errors.Is(c.client.Err(), context.Canceled) && c.stopped.Err() == nil
}

package orders

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/standin/endless"
)

// Pattern: many engines answer orders and reads of their state without end at once. Guards against a node that keeps all that they send and
// runs out of memory, and against an order that counts as carried out or refused by such an answer.
func TestEnginesThatAnswerWithoutEnd(t *testing.T) {
	const engines, callTimeout = 100, 500 * time.Millisecond
	for name, call := range map[string]func(context.Context, *Client, string) error{
		"order": func(ctx context.Context, client *Client, address string) error {
			err := client.Send(ctx, address, Order{Action: Join, Group: "g"})
			if errors.Is(err, ErrOutcomeUnknown) || errors.Is(err, ErrNotSent) {
				return err
			}
			return nil
		},
		"state": func(ctx context.Context, client *Client, address string) error {
			_, err := client.State(ctx, address)
			return err
		},
	} {
		for _, answer := range endless.Answers {
			t.Run(name+", "+answer.Name, func(t *testing.T) {
				c := quicktest.New(t)
				client := New(Options{})
				peak, err := endless.Calls(answer, engines, callTimeout, func(ctx context.Context, address string) {
					if call(ctx, client, address) == nil {
						c.Error("the call has succeeded")
					}
				})
				c.Check(err, quicktest.IsNil)
				c.Check(peak < endless.SmallestHeap, quicktest.IsTrue, quicktest.Commentf("%d MB of heap in use", peak>>20))
			})
		}
	}
}

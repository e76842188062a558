package groups

import (
	"context"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// oddPlatform lists one plan that can't be decoded, and then a readable one.
type oddPlatform struct {
	Platform
	data string
}

func (p oddPlatform) plans() []Object {
	return []Object{{Kind: Kind, Name: "odd", Version: 4, Data: []byte(p.data)}, {Kind: Kind, Name: "f", Version: 5, Data: []byte(`{"controller":"a"}`)}}
}

func (p oddPlatform) List(context.Context, string) ([]Object, uint64, error) {
	return p.plans(), 5, nil
}

func (p oddPlatform) Watch(context.Context, string, uint64, time.Duration) ([]Event, uint64, error) {
	var events []Event
	for _, o := range p.plans() {
		events = append(events, Event{Object: o})
	}
	return events, 6, nil
}

// Guards against fabric domains without a plan because the plan of another one can't be decoded.
func TestUnreadablePlanDoesNotHideOthers(t *testing.T) {
	for _, data := range []string{"", "{", `{"assignments":7}`, strings.Repeat("[", 12_000) + strings.Repeat("]", 12_000)} {
		for _, watch := range []bool{false, true} {
			c := qt.New(t)
			controllers := New(Options{Platform: oddPlatform{data: data}})
			var err error
			if watch {
				_, err = controllers.watchPlans(context.Background(), 1)
			} else {
				_, err = controllers.listPlans(context.Background())
			}
			c.Assert(err, qt.IsNil)
			c.Assert(controllers.plans["f"].version, qt.Equals, uint64(5))
		}
	}
}

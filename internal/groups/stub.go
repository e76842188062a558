package groups

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/metric"

	"cassiadeal.example/cassiadeal/internal/orders"
	"cassiadeal.example/cassiadeal/internal/rules"
	"cassiadeal.example/cassiadeal/internal/schema"
)

type ViewMember struct {
	VM, Address, Incarnation string
	Leaving                  bool
}
type View struct {
	ID, Pool, FailureDomain, FabricDomain string
	Number                                uint64
	State                                 schema.GroupState
	Members                               []ViewMember
}
type Options struct {
	Self                        Identity
	Platform                    Platform
	Members                     Members
	Orders                      *orders.Client
	VMs                         func() []*schema.VM
	Rules                       func() *rules.Rules
	OrderDelivery, Term, Margin time.Duration
	Log                         logrus.FieldLogger
	Meter                       metric.Meter
}
type Controller struct{}

func New(Options) *Controller                 { return &Controller{} }
func (c *Controller) Groups() []View          { return nil }
func (c *Controller) Run(ctx context.Context) { <-ctx.Done() }

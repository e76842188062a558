package node

import (
	"context"
	"time"

	"cassiadeal.example/cassiadeal/internal/holder"
	"cassiadeal.example/cassiadeal/internal/membership"
	"cassiadeal.example/cassiadeal/internal/platform"
	"cassiadeal.example/cassiadeal/internal/schema"
)

// objectAPI adapts the platform client to the packages that work with whole objects.
type objectAPI struct{ client *platform.Client }

func (a objectAPI) Get(ctx context.Context, kind, name string) (platform.Object, error) {
	obj, err := a.client.Get(ctx, kind, name)
	if err != nil {
		return platform.Object{}, err
	}
	return *obj, nil
}

func (a objectAPI) List(ctx context.Context, kind string) ([]platform.Object, uint64, error) {
	return a.client.List(ctx, kind)
}

func (a objectAPI) Create(ctx context.Context, kind, name string, data []byte) (platform.Object, error) {
	version, err := a.client.Create(ctx, kind, name, data)
	return platform.Object{Kind: kind, Name: name, Version: version, Data: data}, err
}

func (a objectAPI) Update(ctx context.Context, obj platform.Object) (platform.Object, error) {
	version, err := a.client.Update(ctx, obj.Kind, obj.Name, obj.Version, obj.Data)
	obj.Version = version
	return obj, err
}

func (a objectAPI) Watch(ctx context.Context, kind string, since uint64, wait time.Duration) ([]platform.Event, uint64, error) {
	return a.client.Watch(ctx, kind, since, wait)
}

// holderMembers adapts membership to the interfaces of packages holder and groups.
type holderMembers struct{ membership *membership.Membership }

func (h holderMembers) RightToServe() bool      { return h.membership.Right().Serve }
func (h holderMembers) PlatformReachable() bool { return h.membership.PlatformReachable() }
func (h holderMembers) HasLease() bool          { return h.membership.Right().PlatformLease }

func (h holderMembers) Nodes() []holder.Node {
	var nodes []holder.Node
	for _, info := range h.membership.Nodes() {
		nodes = append(nodes, holder.Node{
			Identity:        holder.Identity{Name: info.Record.Name, Incarnation: info.Record.Incarnation},
			FailureDomain:   info.Record.FailureDomain,
			Live:            info.Live,
			Serving:         nodeState(info) == schema.NodeState_NODE_STATE_SERVING,
			LeaseLapsed:     info.LeaseLapsed,
			ConfirmedSilent: h.membership.ConfirmedSilent(info.Record.Name),
		})
	}
	return nodes
}

// nodeState returns the newest known state of a node. The status in a live node's heartbeats is newer than its record.
func nodeState(info membership.NodeInfo) schema.NodeState {
	if info.Live && info.Status != nil {
		return info.Status.State
	}
	return info.Record.State
}

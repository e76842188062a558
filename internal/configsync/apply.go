package configsync

import (
	"context"
	"errors"
	"sort"
	"strings"
	"sync"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/internal/membership"
	"cassiadeal.example/cassiadeal/internal/platform"
	"cassiadeal.example/cassiadeal/internal/result"
	"cassiadeal.example/cassiadeal/internal/schema"
)

// ApplyResult describes a configuration that Apply wrote to the platform. Missing names the nodes on which it isn't known
// to be in force.
type ApplyResult struct {
	Revision uint64
	Missing  []string
}

// Apply writes a new configuration on top of the revision base, relays it, and waits until every listed node has reported
// it or is proved stopped: its lease has lapsed, and a majority of the nodes has had no contact with it for the lease's
// term and margin. Errors are *result.Error: RulesInvalid, RevisionConflict or PlatformUnavailable if nothing was written,
// ApplyUnknown if it isn't known whether the configuration was written, and NotInForce if it was written but not every node
// is known to have it. Internal means that decoding, encoding or adopting a configuration failed. The returned Revision is
// not 0 if the configuration is known to be written.
func (s *Sync) Apply(ctx context.Context, base uint64, text, author string) (ApplyResult, error) {
	if _, err := s.opts.Parse(text); err != nil {
		return ApplyResult{}, result.New(result.RulesInvalid, "the rules are invalid").WithCause(err)
	}
	if s.opts.Era() > 0 {
		// This writes a configuration again that a restore has taken.
		if err := s.Refresh(ctx, 0); err != nil {
			return ApplyResult{}, result.New(result.PlatformUnavailable, "the current revision can't be read").WithCause(err)
		}
	}
	stored, version, err := s.readCurrent(ctx)
	if err != nil {
		return ApplyResult{}, err
	}
	era := s.opts.Era()
	if err := s.checkBase(base, stored, era); err != nil {
		return ApplyResult{}, err
	}
	config := &schema.Config{Revision: nextRevision(stored, era), Rules: text, Nonce: uuid.NewString(), Author: author, StoreEra: era}
	if err := s.write(ctx, config, version); err != nil {
		return ApplyResult{}, err
	}
	applied := ApplyResult{Revision: config.GetRevision()}
	if err := s.adopt(config); err != nil {
		return applied, result.New(result.Internal, "revision %d is written but not in force on this node", applied.Revision).WithCause(err)
	}
	missing, listCurrent := s.distribute(ctx, config)
	applied.Missing = missing
	switch {
	case len(missing) > 0:
		return applied, result.New(result.NotInForce, "revision %d is written but not reported by %s within %v",
			applied.Revision, strings.Join(missing, ", "), s.opts.ApplyTimeout)
	case !listCurrent:
		return applied, result.New(result.NotInForce, "revision %d is written, but the list of nodes could not be read within %v",
			applied.Revision, s.opts.ApplyTimeout)
	}
	return applied, nil
}

// readCurrent returns the stored configuration and its object version, or an empty configuration and 0 if none is stored.
func (s *Sync) readCurrent(ctx context.Context) (*schema.Config, uint64, error) {
	stored := &schema.Config{}
	o, err := s.opts.Platform.Get(ctx, Kind, Name)
	switch {
	case errors.Is(err, platform.ErrNotFound):
		return stored, 0, nil
	case err != nil:
		return nil, 0, result.New(result.PlatformUnavailable, "the current revision can't be read").WithCause(err)
	}
	if err := platform.Decode(o.Data, stored); err != nil {
		return nil, 0, result.New(result.Internal, "decoding the stored configuration").WithCause(err)
	}
	return stored, o.Version, nil
}

// revisionGap is added to the first revision that is applied after a restore of the store. It is far above the number of
// revisions that a copy of the store can lack, so that no lost revision's number is given out again, even if no node knows it.
const revisionGap = 1000

// nextRevision returns the revision that follows the stored one.
func nextRevision(stored *schema.Config, era uint64) uint64 {
	if stored.GetStoreEra() < era {
		return stored.GetRevision() + revisionGap + 1
	}
	return stored.GetRevision() + 1
}

// checkBase returns an error unless base is the stored revision. It also returns one if the stored revision is lower than
// one that a node has, or has other content than on this node: the platform returned a stale read or lost data, and an
// apply would use a revision number twice. After a restore of the store the peers' revisions must be known too.
func (s *Sync) checkBase(base uint64, stored *schema.Config, era uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if era > 0 && !s.checkPeersKnown() {
		return result.New(result.PlatformUnavailable, "the platform's store was restored, and the revisions of the other nodes are not known yet")
	}
	highestRevision := max(s.highestKnown, s.config.GetRevision())
	if stored.GetRevision() < highestRevision {
		return result.New(result.RevisionConflict, "the platform has revision %d, but nodes have %d: it lost data or returned a stale read",
			stored.GetRevision(), highestRevision)
	}
	if s.config != nil && stored.GetRevision() == s.config.GetRevision() && !sameContent(stored, s.config) {
		return result.New(result.RevisionConflict, "the platform has other content for revision %d than this node", stored.GetRevision())
	}
	if stored.GetRevision() != base {
		return result.New(result.RevisionConflict, "base revision is %d, current is %d", base, stored.GetRevision())
	}
	return nil
}

func (s *Sync) write(ctx context.Context, config *schema.Config, version uint64) error {
	data, err := platform.Encode(config)
	if err != nil {
		return result.New(result.Internal, "configuration").WithCause(err)
	}
	if version == 0 {
		_, err = s.opts.Platform.Create(ctx, Kind, Name, data)
	} else {
		_, err = s.opts.Platform.Update(ctx, Kind, Name, version, data)
	}
	switch {
	case err == nil:
		return nil
	case errors.Is(err, platform.ErrConflict):
		// An earlier attempt of this write may have taken effect and been overwritten. The other author then read this
		// revision and based the next one on it, so a conflict is the correct result in that case too.
		return result.New(result.RevisionConflict, "another configuration was written after revision %d", config.GetRevision()-1).WithCause(err)
	case errors.Is(err, platform.ErrRejected):
		return result.New(result.RulesInvalid, "the platform refuses the configuration of %d bytes", len(data)).WithCause(err)
	case errors.Is(err, platform.ErrUnavailable):
		return result.New(result.PlatformUnavailable, "the configuration can't be written").WithCause(err)
	default:
		return result.New(result.ApplyUnknown, "it is not known whether revision %d was written", config.GetRevision()).WithCause(err)
	}
}

// distribute relays the configuration until every listed node has it in force or ApplyTimeout has passed. It returns the
// missing nodes, and whether the list of nodes was read after the write. A node that is absent from such a list joins
// after the write: it reads the configuration after its first renewal and before its lease counts.
func (s *Sync) distribute(ctx context.Context, config *schema.Config) (missing []string, listCurrent bool) {
	writtenAt := s.clk.Now()
	s.opts.Members.Renew() // Without it, the list may be up to one renew interval old.
	deadline := writtenAt.Add(s.opts.ApplyTimeout)
	ctx, cancel := context.WithCancel(ctx)
	r := &relayGroup{sync: s, config: config, acked: map[string]bool{}, started: map[string]bool{}}
	defer r.wg.Wait()
	defer cancel()
	for {
		listCurrentAt, ok := s.opts.Members.ListCurrentAt()
		listCurrent = ok && listCurrentAt >= writtenAt
		nodes := r.missingNodes()
		if (len(nodes) == 0 && listCurrent) || s.clk.Now() >= deadline {
			return nodeNames(nodes), listCurrent
		}
		r.startRelays(ctx, nodes)
		if clock.Sleep(ctx, s.clk, checkInterval) != nil {
			return nodeNames(nodes), listCurrent
		}
	}
}

// relayGroup relays one configuration to the peers, with one goroutine per node.
type relayGroup struct {
	sync   *Sync
	config *schema.Config
	wg     sync.WaitGroup

	mu sync.Mutex // Guards the fields below.
	// acked holds the nodes that answered a relay with this revision or a higher one. The keys name the incarnation too,
	// because a restarted node has to report the revision again.
	acked map[string]bool
	// started holds the nodes whose relay goroutine was started, with the same keys.
	started map[string]bool
}

func incarnationKey(n membership.NodeInfo) string {
	return n.Record.GetName() + "/" + n.Record.GetIncarnation()
}

// missingNodes returns the listed nodes that neither reported the revision nor are proved stopped.
func (r *relayGroup) missingNodes() []membership.NodeInfo {
	var missing []membership.NodeInfo
	for _, n := range r.sync.opts.Members.Nodes() {
		name := n.Record.GetName()
		r.mu.Lock()
		acked := r.acked[incarnationKey(n)]
		r.mu.Unlock()
		reported := n.Status.GetConfigRevision() >= r.config.GetRevision() &&
			n.Status.GetIncarnation() == n.Record.GetIncarnation()
		stopped := n.LeaseLapsed && r.sync.opts.Members.ConfirmedSilent(name)
		if name != r.sync.opts.Self && !acked && !reported && !stopped {
			missing = append(missing, n)
		}
	}
	return missing
}

func (r *relayGroup) startRelays(ctx context.Context, missing []membership.NodeInfo) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, n := range missing {
		if r.started[incarnationKey(n)] {
			continue
		}
		r.started[incarnationKey(n)] = true
		r.wg.Go(func() { r.relayUntilAcked(ctx, incarnationKey(n), n.Record.GetPeerAddress()) })
	}
}

func (r *relayGroup) relayUntilAcked(ctx context.Context, nodeKey, address string) {
	for {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		revision, err := r.sync.opts.Peers.RelayConfig(callCtx, address, proto.Clone(r.config).(*schema.Config))
		cancel()
		if err == nil && revision >= r.config.GetRevision() {
			r.mu.Lock()
			r.acked[nodeKey] = true
			r.mu.Unlock()
			return
		}
		if clock.Sleep(ctx, r.sync.clk, relayInterval) != nil {
			return
		}
	}
}

func nodeNames(nodes []membership.NodeInfo) []string {
	var out []string
	for _, n := range nodes {
		out = append(out, n.Record.GetName())
	}
	sort.Strings(out)
	return out
}

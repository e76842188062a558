package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"cassiadeal.example/cassiadeal/internal/explain"
	"cassiadeal.example/cassiadeal/internal/gossip"
	"cassiadeal.example/cassiadeal/platform"
)

const (
	// headerTimeout bounds the reading of a request's headers; clients need far less.
	headerTimeout = 10 * time.Second
	// idleTimeout is longer than any idle limit that configurations set, so that a client never sends a request on a connection
	// that this node is closing.
	idleTimeout = 2 * time.Minute
	// directoryTTL is the time for which clients may keep an answer of the directory, unless the platform allows less. Some
	// clients keep it clientTTLFactor times as long.
	directoryTTL    = time.Second
	clientTTLFactor = 3
	// exitReserve is the part of the shutdown grace period that is left for the exit of the process. answerReserve is the part
	// before it in which requests that can't be completed get their answers.
	exitReserve   = 300 * time.Millisecond
	answerReserve = 100 * time.Millisecond
	// tunnelPollInterval is how often a draining node checks whether the tunnels through it are closed.
	tunnelPollInterval = 20 * time.Millisecond
	// minZoneAddresses is the number of nodes in the client's failure domain from which on the directory names only these.
	minZoneAddresses = 2
)

func (n *Node) answerTTL() time.Duration { return min(directoryTTL, n.settings.Bounds.DirectoryTTL) }

// readinessHandler answers the platform's readiness checks.
func (n *Node) readinessHandler() http.Handler {
	r := chi.NewRouter()
	r.Get(platform.PathReady, func(w http.ResponseWriter, _ *http.Request) {
		if !n.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return r
}

// directoryHandler answers clients that request the addresses of nodes.
func (n *Node) directoryHandler() http.Handler {
	r := chi.NewRouter()
	r.Get(platform.PathResolve, func(w http.ResponseWriter, r *http.Request) {
		addresses := n.addresses(platform.ResolveZone(r))
		if len(addresses) == 0 {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		answer := platform.Resolution{Addresses: addresses, TTLSeconds: n.answerTTL().Seconds()}
		if err := json.NewEncoder(w).Encode(answer); err != nil {
			n.log.WithError(err).Debug("could not write a directory answer")
		}
	})
	return r
}

// addresses returns the front addresses of the nodes that accept new connections: only those in the client's failure domain if
// there are at least minZoneAddresses.
func (n *Node) addresses(zone string) []string {
	var sameZone, all []string
	add := func(address, addressZone string) {
		all = append(all, address)
		if addressZone == zone {
			sameZone = append(sameZone, address)
		}
	}
	if n.ready() {
		add(n.settings.Front, n.settings.Zone)
	}
	for _, p := range n.mesh.Alive() {
		if p.Ready && !p.Draining {
			add(p.FrontAddress, p.Zone)
		}
	}
	if len(sameZone) >= minZoneAddresses {
		return sameZone
	}
	return all
}

// mirrorHandler serves this node's copies of the store's objects to other nodes.
func (n *Node) mirrorHandler() http.Handler {
	sources := map[string]platform.Source{}
	for _, f := range n.followers {
		sources[f.kind] = f.mirrorCopy
	}
	return n.mirrorMetrics.handler(platform.MirrorHandler(sources, n.newest.inForce.Load, n.learnEra))
}

// metricsHandler serves metrics, and tells where requests would go.
func (n *Node) metricsHandler() http.Handler {
	r := chi.NewRouter()
	r.Handle("/metrics", n.metrics.Handler())
	r.Get(explain.Path, n.serveExplain)
	return r
}

// drain takes this node out of service: other nodes remove it from their directory answers, and clients move to other nodes
// while this one still serves them, unless their requests can be expected to last longer than this node. The front listener
// closes when the directory answers with its address have expired at the clients, or when half of the grace period is over.
// Requests that still run answerReserve before the last exitReserve of the period get an answer then. The other listeners close
// when all requests are done.
func (n *Node) drain(servers []*http.Server) {
	started := time.Now()
	n.draining.Store(true)
	for _, f := range n.followers {
		f.mirrorCopy.Close()
	}
	limit := n.settings.Bounds.Grace - exitReserve
	n.edge.Drain(started.Add(limit - answerReserve))
	n.tunnels.Drain()
	n.log.WithField("in_flight", n.edge.InFlight()).Info("draining")
	time.Sleep(min(clientTTLFactor*n.answerTTL()+gossip.Interval, limit/2))
	ctx, cancel := context.WithDeadline(context.Background(), started.Add(limit))
	defer cancel()
	front := servers[0]
	if err := front.Shutdown(ctx); err != nil && n.edge.InFlight() > 0 {
		n.log.WithError(err).WithField("in_flight", n.edge.InFlight()).Warning("requests were still in flight at the end of the shutdown grace period")
	}
	n.awaitTunnels(ctx)
	for _, s := range servers {
		if err := s.Close(); err != nil {
			n.log.WithError(err).Debug("could not close an HTTP server")
		}
	}
}

// awaitTunnels waits until the tunnels of other nodes through this one are closed, or the context is done.
func (n *Node) awaitTunnels(ctx context.Context) {
	ticker := time.NewTicker(tunnelPollInterval)
	defer ticker.Stop()
	for n.tunnels.Open() > 0 {
		select {
		case <-ctx.Done():
			n.log.WithField("tunnels", n.tunnels.Open()).Warning("tunnels of other nodes were still open at the end of the shutdown grace period")
			return
		case <-ticker.C:
		}
	}
}

// callCounter counts the calls to the store.
type callCounter struct {
	counter metric.Int64Counter

	mu     sync.Mutex
	recent map[string]int // By method and kind, since the last summary.
}

func newCallCounter(m metric.Meter) (*callCounter, error) {
	counter, err := m.Int64Counter("cassiadeal_store_calls", metric.WithDescription("Calls to the platform's store by method, kind and status; 0 is no answer."))
	return &callCounter{counter: counter, recent: map[string]int{}}, eris.Wrap(err, "create the store call counter")
}

func (c *callCounter) record(method, kind string, status int) {
	c.counter.Add(context.Background(), 1, metric.WithAttributes(attribute.String("method", method), attribute.String("kind", kind),
		attribute.Int("status", status)))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recent[method+" "+kind]++
}

// summary returns the calls since the last summary.
func (c *callCounter) summary() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	recent := c.recent
	c.recent = map[string]int{}
	return recent
}

// Reload reads the settings file again and logs whether the file can be used and whether addresses in it have changed. The
// running process keeps the settings of its start.
func (n *Node) Reload() {
	s, err := platform.LoadSettings()
	if err != nil {
		n.log.WithError(err).Error("could not load the settings file; the process keeps its settings")
		return
	}
	changed := s.Front != n.settings.Front || s.Store != n.settings.Store || s.Peer != n.settings.Peer
	n.log.WithFields(logrus.Fields{"addresses_changed": changed}).Info("settings file checked; the process keeps the settings of its start")
}

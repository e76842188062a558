package reach

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/sirupsen/logrus"

	"cassiadeal.example/cassiadeal/internal/fleet"
	"cassiadeal.example/cassiadeal/internal/recovery"
)

const (
	// maxTunnels bounds the tunnels that are open at one node, for its memory and descriptors.
	maxTunnels = 1000
	// maxTunnelDial and maxLifetime bound what a node may ask for.
	maxTunnelDial = 400 * time.Millisecond
	maxLifetime   = 2 * time.Minute
	// requestBytes is the size of the pieces in which the bytes for a replica are copied.
	requestBytes = 4 << 10
)

// Server opens tunnels to replicas for other nodes.
type Server struct {
	Log    logrus.FieldLogger
	Panics recovery.Recoverer
	// Allowed reports whether a replica may be connected to for another node; for control, if no request of a client is sent.
	Allowed func(to Target, control bool) bool
	// PathsLost reports whether this node lacks most of its own paths, so that its failures tell nothing of a replica; nil for never.
	PathsLost func() bool
	// Direct opens a TCP connection of this node's own; nil for net.Dialer. Tests cut paths with it.
	Direct func(ctx context.Context, address string) (net.Conn, error)

	open     atomic.Int64
	draining atomic.Bool
}

// Open returns the number of open tunnels.
func (s *Server) Open() int64 { return s.open.Load() }

// Drain makes the server open no more tunnels. Those that are open stay.
func (s *Server) Drain() { s.draining.Store(true) }

// Handler returns the HTTP handler that opens tunnels.
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get(tunnelPath+"{replica}", s.serve)
	return r
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	to, number := s.targetOf(r), func(name string, limit time.Duration) time.Duration {
		ms, err := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
		if err != nil || ms <= 0 {
			return limit
		}
		return min(time.Duration(min(ms, limit.Milliseconds()))*time.Millisecond, limit)
	}
	if s.open.Add(1) > maxTunnels || s.draining.Load() {
		s.open.Add(-1)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.open.Add(-1)
	if r.Header.Get("Upgrade") != tunnelProtocol || !s.Allowed(to, r.URL.Query().Get("control") == "true") {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	replica, err := s.dial(r.Context(), to.Address, number("timeout_ms", maxTunnelDial))
	switch {
	case err != nil && s.PathsLost != nil && s.PathsLost():
		w.WriteHeader(http.StatusServiceUnavailable)
	case errors.Is(err, syscall.ECONNREFUSED):
		w.WriteHeader(http.StatusBadGateway)
	case err != nil:
		w.WriteHeader(http.StatusGatewayTimeout)
	default:
		defer replica.Close()
		s.join(w, replica, time.Now().Add(number("lifetime_ms", maxLifetime)))
	}
}

func (s *Server) dial(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if s.Direct != nil {
		return s.Direct(ctx, address)
	}
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", address)
}

// targetOf returns the target that a request names.
func (s *Server) targetOf(r *http.Request) Target {
	started, err := strconv.ParseInt(r.URL.Query().Get("started"), 10, 64)
	if err != nil {
		started = 0 // No start of a replica; Allowed refuses it.
	}
	return Target{fleet.Incarnation{ID: chi.URLParam(r, "replica"), StartedUnixMs: started}, r.URL.Query().Get("address")}
}

// join copies between the other node and the replica until one of them ends the connection.
func (s *Server) join(w http.ResponseWriter, replica net.Conn, until time.Time) {
	node, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		s.Log.WithError(err).Error("a tunnel could not take over its connection")
		return
	}
	defer node.Close()
	if buffered.Reader.Buffered() > 0 {
		s.Log.Warning("a node has sent data before its tunnel was open; the tunnel is closed")
		return
	}
	for _, conn := range []net.Conn{node, replica} {
		if err := conn.SetDeadline(until); err != nil {
			return // The connection has ended.
		}
	}
	if _, err := io.WriteString(node, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: "+tunnelProtocol+"\r\n\r\n"); err != nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		defer s.Panics.Recover(nil)
		defer cancel()
		copyToReplica(replica, node)
	}()
	copyFrames(node, replica)
	node.Close()
	<-ctx.Done()
}

// copyToReplica copies what the other node sends. When that node has ended, the connection to the replica is reset, so that a request that
// is still held up on its way is lost, and one that runs ends.
func copyToReplica(replica, node net.Conn) {
	buffer := make([]byte, requestBytes)
	for {
		n, err := node.Read(buffer)
		if n > 0 {
			if _, writeErr := replica.Write(buffer[:n]); writeErr != nil {
				return // What the replica has answered may still be read.
			}
		}
		if err != nil {
			reset(replica)
			return
		}
	}
}

// copyFrames copies what the replica sends, in frames, and then how it has ended.
func copyFrames(node, replica net.Conn) {
	buffer := make([]byte, frameBytes)
	for {
		n, err := replica.Read(buffer[2:])
		if n > 0 {
			binary.BigEndian.PutUint16(buffer, uint16(n))
			if _, writeErr := node.Write(buffer[:2+n]); writeErr != nil {
				reset(replica)
				return
			}
		}
		if err == nil {
			continue
		}
		end := uint16(frameReset)
		if errors.Is(err, io.EOF) {
			end = frameEnd
		}
		binary.BigEndian.PutUint16(buffer, end)
		// If it can't be written, the other node sees a connection without an end.
		_, _ = node.Write(buffer[:2])
		return
	}
}

// reset closes a connection so that unsent data is discarded.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // Fails only if the connection has ended.
	}
	_ = conn.Close()
}

package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"storj.io/drpc"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"cassiadeal.example/cassiadeal/internal/recovery"
	"cassiadeal.example/cassiadeal/internal/schema"
)

// Handler answers the RPCs of other nodes.
type Handler interface {
	HandleHeartbeat(ctx context.Context, req *schema.HeartbeatRequest) (*schema.HeartbeatResponse, error)
	// Config returns the configuration that this node applies; an empty one if there is none.
	Config() *schema.Config
	// OfferConfig passes a configuration to this node and returns the revision that the node then applies.
	OfferConfig(ctx context.Context, cfg *schema.Config) uint64
	// Execute runs a request on a target that this node holds. It passes the response chunks to sink and returns the end.
	Execute(ctx context.Context, req *schema.DispatchRequest, sink func(*schema.DispatchChunk) error) *schema.DispatchEnd
	RecordCrash(report *schema.CrashReport)
	ClaimStatus(ctx context.Context, req *schema.ClaimStatusRequest) *schema.ClaimStatusResponse
}

// Serve answers RPCs on listener until ctx ends. A panic in an RPC ends only that RPC, with an error.
func Serve(ctx context.Context, listener net.Listener, h Handler, r recovery.Recoverer) error {
	mux := drpcmux.New()
	if err := schema.DRPCRegisterPeer(mux, &server{handler: h, recoverer: r}); err != nil {
		return eris.Wrap(err, "registering the peer service")
	}
	srv := drpcserver.NewWithOptions(recoveringHandler{mux, r}, drpcserver.Options{Manager: managerOptions()})
	return eris.Wrap(srv.Serve(ctx, listener), "serving peers")
}

// recoveringHandler recovers the panics of a handler. drpc doesn't, so that they would end the process.
type recoveringHandler struct {
	drpc.Handler
	recoverer recovery.Recoverer
}

// HandleRPC implements drpc.Handler.
func (h recoveringHandler) HandleRPC(stream drpc.Stream, rpc string) (err error) {
	defer func() {
		if value := recover(); value != nil {
			h.recoverer.Report(value, logrus.Fields{"rpc": rpc})
			err = recovery.ErrPanic
		}
	}()
	return h.Handler.HandleRPC(stream, rpc)
}

type server struct {
	handler   Handler
	recoverer recovery.Recoverer
}

func (s *server) Heartbeat(ctx context.Context, req *schema.HeartbeatRequest) (*schema.HeartbeatResponse, error) {
	return s.handler.HandleHeartbeat(ctx, req)
}

func (s *server) GetConfig(context.Context, *schema.GetConfigRequest) (*schema.Config, error) {
	return s.handler.Config(), nil
}

func (s *server) RelayConfig(ctx context.Context, cfg *schema.Config) (*schema.RelayConfigResponse, error) {
	return &schema.RelayConfigResponse{Revision: s.handler.OfferConfig(ctx, cfg)}, nil
}

func (s *server) ReportCrash(_ context.Context, report *schema.CrashReport) (*schema.CrashReportResponse, error) {
	s.handler.RecordCrash(report)
	return &schema.CrashReportResponse{}, nil
}

func (s *server) ClaimStatus(ctx context.Context, req *schema.ClaimStatusRequest) (*schema.ClaimStatusResponse, error) {
	return s.handler.ClaimStatus(ctx, req), nil
}

func (s *server) Dispatch(req *schema.DispatchRequest, stream schema.DRPCPeer_DispatchStream) error {
	sender := &chunkSender{stream: stream}
	stopKeepAlive := sender.keepAlive(stream.Context(), s.recoverer)
	defer stopKeepAlive()
	end := s.handler.Execute(stream.Context(), req, sender.send)
	return sender.send(&schema.DispatchChunk{Part: &schema.DispatchChunk_End{End: end}})
}

// chunkSender serialises the response chunks and the keep-alive chunks on one stream.
type chunkSender struct {
	mu     sync.Mutex
	stream schema.DRPCPeer_DispatchStream
}

func (c *chunkSender) send(chunk *schema.DispatchChunk) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stream.Send(chunk)
}

// keepAlive sends empty chunks until stop is called, so that the client can distinguish a slow target from a failed node.
func (c *chunkSender) keepAlive(ctx context.Context, r recovery.Recoverer) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		defer r.Recover(nil) // The client ends the request when no chunk arrives.
		ticker := time.NewTicker(keepAliveInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				if c.send(&schema.DispatchChunk{}) != nil {
					return
				}
			}
		}
	}()
	return cancel
}

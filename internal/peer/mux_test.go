package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"cassiadeal.example/cassiadeal/internal/recovery"
	"cassiadeal.example/cassiadeal/internal/schema"
)

// configHandler answers only GetConfig.
type configHandler struct{ Handler }

func (configHandler) Config() *schema.Config { return &schema.Config{Revision: 7} }

// flakyListener fails at first, as if too many files were open.
type flakyListener struct {
	net.Listener
	failures int
}

func (l *flakyListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, errors.New("too many open files")
	}
	return l.Listener.Accept()
}

// Guards against RPCs that don't arrive, or a node that ends, because tunnels use the same port: beside connections that send nothing, and
// after a connection could not be accepted.
func TestRPCsAndTunnelsShareAPort(t *testing.T) {
	c := qt.New(t)
	base, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	address := base.Addr().String()
	ctx, stop := context.WithCancel(t.Context())
	mux, ended := NewMux(&flakyListener{Listener: base, failures: 2}), make(chan error, 2)
	go func() { ended <- mux.Run(ctx) }()
	go func() {
		ended <- Serve(ctx, mux.RPCs, configHandler{}, recovery.Recoverer{Where: "peer", Log: logrus.New()})
	}()
	silent, err := net.Dial("tcp", address)
	c.Assert(err, qt.IsNil)
	defer silent.Close()
	client := NewClient(base.Addr(), time.Second)
	defer client.Close()
	callCtx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()

	conn, err := client.DialTunnel(callCtx, address)
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	_, err = io.WriteString(conn, "GET /tunnel/")
	c.Assert(err, qt.IsNil)
	accepted, err := mux.Tunnels.Accept()
	c.Assert(err, qt.IsNil)
	defer accepted.Close()
	buffer := make([]byte, len("GET /tunnel/"))
	_, err = io.ReadFull(accepted, buffer)
	c.Assert(err, qt.IsNil)
	c.Check(string(buffer), qt.Equals, "GET /tunnel/")

	cfg, err := client.GetConfig(callCtx, address)
	c.Assert(err, qt.IsNil)
	c.Check(cfg.Revision, qt.Equals, uint64(7))

	stop()
	for range cap(ended) {
		c.Check(<-ended, qt.IsNil)
	}
	_, err = mux.Tunnels.Accept()
	c.Check(err, qt.IsNotNil)
}

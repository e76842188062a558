package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"cassiadeal.example/cassiadeal/internal/result"
	"cassiadeal.example/cassiadeal/internal/router"
	"cassiadeal.example/cassiadeal/internal/schema"
)

// Guards against the log line of a request without a complete answer that doesn't tell which target it was at, how much of the answer had
// arrived, how many attempts were made and whether the caller had closed first.
func TestLogTellsHowFarARequestCame(t *testing.T) {
	for name, closes := range map[string]bool{"target fails": false, "caller closes": true} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newTestGateway(t)
			var log bytes.Buffer
			logger := logrus.New()
			logger.SetOutput(&log)
			logger.SetFormatter(&logrus.JSONFormatter{})
			f.gateway.opts.Log = logger
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			received := make(chan struct{})
			f.gateway.opts.Execute = func(runCtx context.Context, _ router.Node, _ *schema.DispatchRequest, sink func(*schema.DispatchChunk) error) *schema.DispatchEnd {
				for i := range 2 {
					_ = sink(&schema.DispatchChunk{Part: &schema.DispatchChunk_Token{Token: &schema.TokenEvent{Offset: uint64(i), Text: "x"}}})
				}
				if closes {
					close(received)
					<-runCtx.Done()
				}
				return &schema.DispatchEnd{Code: int32(result.StreamIncomplete), Target: "t1"}
			}
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, f.URL+"/v1/pools/p/generate", strings.NewReader(`{"prompt":"p","max_tokens":3,"stream":true}`))
			c.Assert(err, qt.IsNil)
			req.Header.Set("Authorization", "Bearer "+testToken)
			resp, err := (&http.Transport{}).RoundTrip(req)
			c.Assert(err, qt.IsNil)
			if closes {
				<-received
				cancel()
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			f.Close() // Waits until the handler has returned.
			line := map[string]any{}
			c.Assert(json.Unmarshal(log.Bytes(), &line), qt.IsNil)
			c.Check(line["target"], qt.Equals, "t1")
			c.Check(line["attempts"], qt.Equals, 1.0)
			c.Check(line["holder"], qt.Not(qt.Equals), "")
			c.Check(line["tokens"], qt.Equals, 2.0)
			c.Check(line["client_closed"], qt.Equals, closes)
			c.Check(line["result"], qt.Equals, "stream_incomplete")
		})
	}
}

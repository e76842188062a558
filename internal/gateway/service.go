package gateway

import (
	"cmp"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-chi/chi/v5"

	"cassiadeal.example/cassiadeal/internal/buffer"
	"cassiadeal.example/cassiadeal/internal/claims"
	"cassiadeal.example/cassiadeal/internal/crash"
	"cassiadeal.example/cassiadeal/internal/result"
	"cassiadeal.example/cassiadeal/internal/schema"
)

// unforwardedHeaders are set by this system or apply to one connection only. They are not passed on between callers and
// services.
var unforwardedHeaders = map[string]bool{
	"Authorization": true, "Connection": true, "Keep-Alive": true, "Proxy-Authorization": true, "Proxy-Connection": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "X-Request-Id": true,
	"Expect": true,
}

// handleService handles a request to a plain service.
func (g *Gateway) handleService(w http.ResponseWriter, req *http.Request) {
	serviceName := chi.URLParam(req, "service")
	c, release, err := g.admit(req, "service/"+serviceName)
	if err != nil {
		g.refuse(w, req, c, err)
		return
	}
	defer release()
	g.describePanic(w, c)
	releaseBody, err := g.prepareService(w, req, c, serviceName)
	if err != nil {
		g.refuse(w, req, c, err)
		return
	}
	defer releaseBody()
	if err := g.checkShutdown(c); err != nil {
		g.refuse(w, req, c, err)
		return
	}
	g.opts.Budget.RecordRequest(c.destination)
	answer := &bufferedAnswer{body: g.opts.Answers.NewBuffer(g.opts.MaxAnswerBytes)}
	defer answer.body.Release()
	end := g.runWithRetries(req.Context(), c, answer)
	if end.Code != int32(result.OK) {
		g.refuse(w, req, c, errorFromEnd(end))
		return
	}
	g.extendWriteDeadline(w)
	answer.write(w, c.id)
	g.recordOutcome(c, result.OK, end.Target)
}

func (g *Gateway) prepareService(w http.ResponseWriter, req *http.Request, c *callerRequest, serviceName string) (releaseBody func(), err *result.Error) {
	service, ok := c.rules.Services[serviceName]
	if !ok {
		c.setUnknownDestination()
		return nil, result.New(result.UnknownService, "service %.100q does not exist", serviceName)
	}
	if err := c.setDeadline(service.Deadline, req); err != nil {
		return nil, err
	}
	path := cmp.Or(strings.TrimPrefix(req.URL.EscapedPath(), "/v1/services/"+serviceName), "/")
	// Routes match the decoded path, so that a path with escaped characters can't bypass its route.
	decoded := strings.TrimPrefix(req.URL.Path, "/v1/services/"+serviceName)
	route := c.rules.Match(serviceName, req.Method, cmp.Or(decoded, "/"))
	c.dispatch.Repeatable = route.Repeat
	if route.HasPriority {
		c.dispatch.Priority = uint32(route.Priority)
	}
	c.dispatch.IdempotencyKey = req.Header.Get("Idempotency-Key")
	if !c.dispatch.Repeatable {
		if err := claims.CheckKey(c.dispatch.IdempotencyKey, time.Now()); err != nil {
			return nil, err
		}
		// A repeat is routed by its key, because the node that ran the request can answer it without reading the platform.
		c.affinity = xxhash.Sum64String(c.dispatch.IdempotencyKey)
	}
	body, releaseBody, err := g.readBody(w, req)
	if err != nil {
		return nil, err
	}
	c.dispatch.Path = path
	if req.URL.RawQuery != "" {
		c.dispatch.Path += "?" + req.URL.RawQuery
	}
	c.dispatch.Body = body
	c.dispatch.Headers = forwardHeaders(req.Header)
	c.dispatch.Fingerprint = crash.Fingerprint(c.account.Name, req.Method+" "+c.destination+c.dispatch.Path, body)
	return releaseBody, nil
}

func forwardHeaders(h http.Header) []*schema.Header {
	var list []*schema.Header
	for name, values := range h {
		if unforwardedHeaders[name] {
			continue
		}
		for _, v := range values {
			list = append(list, &schema.Header{Name: name, Value: v})
		}
	}
	return list
}

// bufferedAnswer holds an answer until it is complete, so that a caller never receives a part of one.
type bufferedAnswer struct {
	head *schema.DispatchHead
	body *buffer.Buffer
}

func (b *bufferedAnswer) addPart(chunk *schema.DispatchChunk) error {
	if head := chunk.GetHead(); head != nil {
		b.head = head
	}
	if err := b.body.Append(chunk.GetData()); err != nil {
		return result.New(result.TargetFailed, "the answer can't be buffered: %v", err)
	}
	return nil
}

func (b *bufferedAnswer) started() bool { return false }

func (b *bufferedAnswer) reset() {
	b.head = nil
	b.body.Release()
}

func (b *bufferedAnswer) write(w http.ResponseWriter, requestID string) {
	for _, h := range b.head.GetHeaders() {
		if !unforwardedHeaders[http.CanonicalHeaderKey(h.Name)] {
			w.Header().Add(h.Name, h.Value)
		}
	}
	w.Header().Set("X-Request-Id", requestID)
	w.Header().Set("Content-Length", strconv.Itoa(b.body.Len()))
	w.WriteHeader(int(b.head.GetStatus()))
	_, _ = b.body.WriteTo(w) // A write error means that the caller has disconnected; it may repeat the request.
}

func errorFromEnd(end *schema.DispatchEnd) *result.Error {
	return &result.Error{
		Code:       result.Code(end.Code),
		NotRun:     end.NotRun,
		Message:    end.Message,
		RetryAfter: time.Duration(end.RetryAfterMs) * time.Millisecond,
	}
}

var _ output = (*bufferedAnswer)(nil)

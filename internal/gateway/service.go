package gateway

import (
	"cmp"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-chi/chi/v5"

	"cassiadeal.example/cassiadeal/internal/claims"
	"cassiadeal.example/cassiadeal/internal/crash"
	"cassiadeal.example/cassiadeal/internal/result"
	"cassiadeal.example/cassiadeal/internal/schema"
)

// ownHeaders are set by this system or belong to one connection, and are not passed on to services.
var ownHeaders = map[string]bool{
	"Authorization": true, "Connection": true, "Keep-Alive": true, "Proxy-Authorization": true, "Proxy-Connection": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "X-Request-Id": true,
	"Expect": true,
}

// service handles a call to a plain service.
func (g *Gateway) service(w http.ResponseWriter, req *http.Request) {
	name := chi.URLParam(req, "service")
	c, release, err := g.accept(req, "service/"+name)
	if err != nil {
		g.refuse(w, req, c, err)
		return
	}
	defer release()
	done, err := g.prepareService(w, req, c, name)
	if err != nil {
		g.refuse(w, req, c, err)
		return
	}
	defer done()
	g.opts.Budget.Request(c.destination)
	out := &bufferedAnswer{limit: g.opts.MaxAnswerBytes}
	end := g.run(req.Context(), c, out)
	if end.Code != int32(result.OK) {
		g.refuse(w, req, c, errorOf(end))
		return
	}
	g.allowWrite(w)
	out.write(w, c.id)
	g.finish(c, result.OK, end.Target)
}

func (g *Gateway) prepareService(w http.ResponseWriter, req *http.Request, c *call, name string) (done func(), err *result.Error) {
	service, ok := c.rules.Services[name]
	if !ok {
		return nil, result.New(result.UnknownService, "service %.100q does not exist", name)
	}
	if err := c.setDeadline(service.Deadline, req); err != nil {
		return nil, err
	}
	path := cmp.Or(strings.TrimPrefix(req.URL.EscapedPath(), "/v1/services/"+name), "/")
	// Routes match the decoded path, so that an escaped spelling of a path can't evade its rule.
	decoded := strings.TrimPrefix(req.URL.Path, "/v1/services/"+name)
	route := c.rules.Match(name, req.Method, cmp.Or(decoded, "/"))
	c.request.Repeatable = route.Repeat
	if route.HasPriority {
		c.request.Priority = uint32(route.Priority)
	}
	c.request.IdempotencyKey = req.Header.Get("Idempotency-Key")
	if !c.request.Repeatable {
		if err := claims.CheckKey(c.request.IdempotencyKey, time.Now()); err != nil {
			return nil, err
		}
		// Repeats prefer the node that ran the request, which can answer them without reading the platform.
		c.affinity = xxhash.Sum64String(c.request.IdempotencyKey)
	}
	body, done, err := g.readBody(w, req)
	if err != nil {
		return nil, err
	}
	c.request.Path = path
	if req.URL.RawQuery != "" {
		c.request.Path += "?" + req.URL.RawQuery
	}
	c.request.Body = body
	c.request.Headers = forwardHeaders(req.Header)
	c.request.Fingerprint = crash.Fingerprint(c.account.Name, req.Method+" "+c.destination+c.request.Path, body)
	return done, nil
}

func forwardHeaders(h http.Header) []*schema.Header {
	var list []*schema.Header
	for name, values := range h {
		if ownHeaders[name] {
			continue
		}
		for _, v := range values {
			list = append(list, &schema.Header{Name: name, Value: v})
		}
	}
	return list
}

// bufferedAnswer keeps an answer until it is whole, so that a caller never sees part of one.
type bufferedAnswer struct {
	limit int
	head  *schema.DispatchHead
	body  []byte
}

func (b *bufferedAnswer) part(chunk *schema.DispatchChunk) error {
	if head := chunk.GetHead(); head != nil {
		b.head = head
	}
	if len(b.body)+len(chunk.GetData()) > b.limit {
		return result.New(result.TargetFailed, "the answer is larger than %d bytes", b.limit)
	}
	b.body = append(b.body, chunk.GetData()...)
	return nil
}

func (b *bufferedAnswer) started() bool { return false }

func (b *bufferedAnswer) reset() {
	b.head = nil
	b.body = nil
}

func (b *bufferedAnswer) write(w http.ResponseWriter, id string) {
	for _, h := range b.head.GetHeaders() {
		if !ownHeaders[http.CanonicalHeaderKey(h.Name)] {
			w.Header().Add(h.Name, h.Value)
		}
	}
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("Content-Length", strconv.Itoa(len(b.body)))
	w.WriteHeader(int(b.head.GetStatus()))
	_, _ = w.Write(b.body) // The caller has gone; a repeat is up to it.
}

func errorOf(end *schema.DispatchEnd) *result.Error {
	return &result.Error{
		Code:       result.Code(end.Code),
		NotRun:     end.NotRun,
		Message:    end.Message,
		RetryAfter: time.Duration(end.RetryAfterMs) * time.Millisecond,
	}
}

var _ output = (*bufferedAnswer)(nil)

package operator

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"unicode"

	"github.com/go-chi/chi/v5"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/encoding/protojson"

	"cassiadeal.example/cassiadeal/internal/result"
	"cassiadeal.example/cassiadeal/internal/rules"
)

// Options configures the listener's handler.
type Options struct {
	Backend Backend
	Metrics http.Handler // Serves /metrics.
	Log     *logrus.Entry
}

const (
	// maxRequestBytes admits the largest rules file even if JSON escapes most of its characters.
	maxRequestBytes = 6*rules.MaxFileBytes + 4096
	maxAuthorLength = 100
	// RulesFile labels problems of a text that arrived without a file name.
	RulesFile = "rules.ini"
)

type server struct{ Options }

// NewHandler returns the router of the operators' listener.
func NewHandler(o Options) http.Handler {
	s := &server{o}
	r := chi.NewRouter()
	r.NotFound(func(w http.ResponseWriter, q *http.Request) {
		s.refuse(w, q, result.New(result.NotFound, "no page %s", q.URL.Path))
	})
	r.MethodNotAllowed(func(w http.ResponseWriter, q *http.Request) {
		s.refuse(w, q, result.New(result.MethodNotAllowed, "%s is not allowed on %s", q.Method, q.URL.Path))
	})
	r.Get("/healthz", s.probe(o.Backend.Healthy))
	r.Get("/readyz", s.probe(o.Backend.Ready))
	r.Method(http.MethodGet, "/metrics", o.Metrics)
	r.Get("/v1/status", s.status)
	r.Get("/v1/vms", s.vms)
	r.Get("/v1/config", s.config)
	r.Post("/v1/config", s.apply)
	r.Post("/v1/config/check", s.check)
	return r
}

// probe answers 200 "ok", or 503 with the reason as plain text.
func (s *server) probe(check func() error) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		text := "ok\n"
		if err := check(); err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			text = err.Error() + "\n"
		}
		_, _ = w.Write([]byte(text)) // The prober has gone; it will ask again.
	}
}

func (s *server) status(w http.ResponseWriter, q *http.Request) {
	status, err := s.Backend.Status(q.Context())
	s.answer(w, q, status, err)
}

// config answers JSON, or the bare rules text to a request that accepts text/plain.
func (s *server) config(w http.ResponseWriter, q *http.Request) {
	config, err := s.Backend.Config(q.Context())
	if err == nil && q.Header.Get("Accept") == "text/plain" {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		w.Header().Set("X-Config-Revision", strconv.FormatUint(config.Revision, 10))
		_, _ = w.Write([]byte(config.Rules)) // The reader has gone; there is nobody to tell.
		return
	}
	s.answer(w, q, config, err)
}

func (s *server) vms(w http.ResponseWriter, q *http.Request) {
	vms, err := s.Backend.VMs(q.Context())
	list := struct {
		VMs []json.RawMessage `json:"vms"`
	}{[]json.RawMessage{}}
	for _, vm := range vms {
		data, encodeErr := protojson.Marshal(vm)
		err = errors.Join(err, encodeErr)
		list.VMs = append(list.VMs, data)
	}
	s.answer(w, q, list, err)
}

func (s *server) check(w http.ResponseWriter, q *http.Request) {
	request, err := decode(w, q)
	if err != nil {
		s.refuse(w, q, err)
		return
	}
	checked, problems := rules.Parse(RulesFile, request.Rules)
	answer := CheckAnswer{}
	if len(problems) == 0 {
		answer.CapacityChecked, problems = s.capacity(q.Context(), checked)
	}
	if len(problems) > 0 {
		s.refuseRules(w, q, problems)
		return
	}
	s.answer(w, q, answer, nil)
}

func (s *server) capacity(ctx context.Context, checked *rules.Rules) (known bool, problems []rules.Problem) {
	vms, err := s.Backend.VMs(ctx)
	if err != nil {
		s.Log.WithError(err).Warn("capacity not checked: no VM list")
		return false, nil
	}
	return true, rules.CheckCapacity(checked, vms)
}

func (s *server) apply(w http.ResponseWriter, q *http.Request) {
	request, err := decode(w, q)
	if err == nil {
		err = checkApply(request)
	}
	if err != nil {
		s.refuse(w, q, err)
		return
	}
	checked, problems := rules.Parse(RulesFile, request.Rules)
	if len(problems) == 0 && s.demandGrows(q.Context(), checked) {
		_, problems = s.capacity(q.Context(), checked)
	}
	if len(problems) > 0 {
		s.refuseRules(w, q, problems)
		return
	}
	// A written revision must reach every node even if the operator's connection is lost.
	applied, failure := s.Backend.Apply(context.WithoutCancel(q.Context()), Change{
		BaseRevision: *request.BaseRevision, Text: request.Rules, Rules: checked, Author: request.Author,
	})
	if failure != nil {
		s.refuse(w, q, result.From(failure))
		return
	}
	answer := ApplyAnswer{Revision: applied.Revision, Accepted: len(applied.Missing) == 0, Missing: applied.Missing}
	log := s.Log.WithFields(logrus.Fields{"revision": applied.Revision, "author": request.Author, "missing": applied.Missing})
	if answer.Accepted {
		log.Info("configuration in force everywhere")
		s.write(w, http.StatusOK, answer)
		return
	}
	log.Warn("configuration written but not in force everywhere")
	s.write(w, result.NotInForce.HTTPStatus(), answer)
}

// demandGrows is true if the change asks for more VMs than the rules in force, which are unknown before the first apply.
// Only then does capacity count: a failure domain must be removable while VMs are missing.
func (s *server) demandGrows(ctx context.Context, changed *rules.Rules) bool {
	config, err := s.Backend.Config(ctx)
	if err != nil {
		return true
	}
	old, problems := rules.Parse(RulesFile, config.Rules)
	return len(problems) > 0 || rules.DemandGrows(old, changed)
}

func decode(w http.ResponseWriter, q *http.Request) (ApplyRequest, *result.Error) {
	var request ApplyRequest
	decoder := json.NewDecoder(http.MaxBytesReader(w, q.Body, maxRequestBytes))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&request)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return request, result.New(result.BodyTooLarge, "the body has more than %d bytes", maxRequestBytes)
	case err != nil:
		return request, result.New(result.BadRequest, "the body is not the expected JSON object: %v", err)
	}
	return request, nil
}

func checkApply(request ApplyRequest) *result.Error {
	if request.BaseRevision == nil {
		return result.New(result.BadRequest, "base_revision is missing; it is the revision that the change was made from")
	}
	author := request.Author
	if strings.TrimSpace(author) == "" || len(author) > maxAuthorLength || strings.ContainsFunc(author, unicode.IsControl) {
		return result.New(result.BadRequest, "author must have 1 to %d bytes without control characters", maxAuthorLength)
	}
	return nil
}

func (s *server) answer(w http.ResponseWriter, q *http.Request, body any, err error) {
	if err != nil {
		s.refuse(w, q, result.From(err))
		return
	}
	s.write(w, http.StatusOK, body)
}

func (s *server) refuse(w http.ResponseWriter, q *http.Request, e *result.Error) {
	s.Log.WithFields(logrus.Fields{"path": q.URL.Path, "code": e.Code.String()}).Info(e.Message)
	result.Write(w, e)
}

func (s *server) refuseRules(w http.ResponseWriter, q *http.Request, problems []rules.Problem) {
	e := result.New(result.RulesInvalid, "the rules have %d problems", len(problems))
	s.Log.WithFields(logrus.Fields{"path": q.URL.Path, "code": e.Code.String()}).Info(e.Message)
	s.write(w, e.Code.HTTPStatus(), Refusal{Body: e.Body(), Problems: problems})
}

func (s *server) write(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(body); err != nil {
		s.Log.WithError(err).Debug("answer not sent")
	}
}

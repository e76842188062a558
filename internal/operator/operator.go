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

	"cassiadeal.example/cassiadeal/internal/recovery"
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
	// RulesFile is the file name in the problems of a rules text that was sent without one.
	RulesFile = "rules.ini"
)

type server struct{ Options }

// NewHandler returns the router of the operators' listener.
func NewHandler(options Options) http.Handler {
	s := &server{options}
	router := chi.NewRouter()
	router.NotFound(func(w http.ResponseWriter, req *http.Request) {
		s.respondError(w, req, result.New(result.NotFound, "path %s does not exist", req.URL.Path))
	})
	router.MethodNotAllowed(func(w http.ResponseWriter, req *http.Request) {
		s.respondError(w, req, result.New(result.MethodNotAllowed, "%s is not allowed on %s", req.Method, req.URL.Path))
	})
	router.Get("/healthz", s.probe(options.Backend.Healthy))
	router.Get("/readyz", s.probe(options.Backend.Ready))
	router.Method(http.MethodGet, "/metrics", options.Metrics)
	router.Get("/v1/status", s.status)
	router.Get("/v1/vms", s.vms)
	router.Get("/v1/config", s.config)
	router.Post("/v1/config", s.apply)
	router.Post("/v1/config/check", s.check)
	return router
}

// probe returns a handler that answers 200 "ok", or 503 with the error of check as plain text.
func (s *server) probe(check func() error) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		text := "ok\n"
		if err := check(); err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			text = err.Error() + "\n"
		}
		_, _ = w.Write([]byte(text)) // On an error the client has disconnected; it repeats the probe.
	}
}

func (s *server) status(w http.ResponseWriter, req *http.Request) {
	status, err := s.Backend.Status(req.Context())
	s.respond(w, req, status, err)
}

// config answers with JSON, or with the rules text alone if the request accepts text/plain.
func (s *server) config(w http.ResponseWriter, req *http.Request) {
	config, err := s.Backend.Config(req.Context())
	if err == nil && req.Header.Get("Accept") == "text/plain" {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		w.Header().Set("X-Config-Revision", strconv.FormatUint(config.Revision, 10))
		_, _ = w.Write([]byte(config.Rules)) // On an error the client has disconnected; it can't be notified.
		return
	}
	s.respond(w, req, config, err)
}

func (s *server) vms(w http.ResponseWriter, req *http.Request) {
	vms, err := s.Backend.VMs(req.Context())
	list := struct {
		VMs []json.RawMessage `json:"vms"`
	}{[]json.RawMessage{}}
	for _, vm := range vms {
		data, encodeErr := protojson.Marshal(vm)
		err = errors.Join(err, encodeErr)
		list.VMs = append(list.VMs, data)
	}
	s.respond(w, req, list, err)
}

func (s *server) check(w http.ResponseWriter, req *http.Request) {
	body, err := decodeRequest(w, req)
	if err != nil {
		s.respondError(w, req, err)
		return
	}
	parsed, problems := rules.Parse(RulesFile, body.Rules)
	response := CheckAnswer{}
	if len(problems) == 0 {
		response.CapacityChecked, problems = s.checkCapacity(req.Context(), parsed)
	}
	if len(problems) > 0 {
		s.respondRulesInvalid(w, req, problems)
		return
	}
	s.respond(w, req, response, nil)
}

// checkCapacity compares the rules with the VM list; vmListKnown is false if there is none.
func (s *server) checkCapacity(ctx context.Context, parsed *rules.Rules) (vmListKnown bool, problems []rules.Problem) {
	vms, err := s.Backend.VMs(ctx)
	if err != nil {
		s.Log.WithError(err).Warn("capacity not checked: no VM list")
		return false, nil
	}
	return true, rules.CheckCapacity(parsed, vms)
}

func (s *server) apply(w http.ResponseWriter, req *http.Request) {
	body, err := decodeRequest(w, req)
	if err == nil {
		err = validateApply(body)
	}
	if err != nil {
		s.respondError(w, req, err)
		return
	}
	parsed, problems := rules.Parse(RulesFile, body.Rules)
	if len(problems) == 0 && s.demandGrows(req.Context(), parsed) {
		_, problems = s.checkCapacity(req.Context(), parsed)
	}
	if len(problems) > 0 {
		s.respondRulesInvalid(w, req, problems)
		return
	}
	// A written revision must reach every node even if the operator's connection is lost.
	applied, applyErr := s.Backend.Apply(context.WithoutCancel(req.Context()), Change{
		BaseRevision: *body.BaseRevision, Text: body.Rules, Rules: parsed, Author: body.Author,
	})
	if applyErr != nil {
		s.respondError(w, req, result.From(applyErr))
		return
	}
	response := ApplyAnswer{Revision: applied.Revision, Accepted: len(applied.Missing) == 0, Missing: applied.Missing}
	log := s.Log.WithFields(logrus.Fields{"revision": applied.Revision, "author": body.Author, "missing": applied.Missing})
	if response.Accepted {
		log.Info("configuration in force everywhere")
		s.writeJSON(w, http.StatusOK, response)
		return
	}
	log.Warn("configuration written but not in force everywhere")
	s.writeJSON(w, result.NotInForce.HTTPStatus(), response)
}

// demandGrows reports whether newRules need more VMs than the rules in force; unreadable rules in force count as growth.
// Capacity is checked only in this case: it must be possible to take out a failure domain while VMs are missing.
func (s *server) demandGrows(ctx context.Context, newRules *rules.Rules) bool {
	config, err := s.Backend.Config(ctx)
	if err != nil {
		return true
	}
	currentRules, problems := rules.Parse(RulesFile, config.Rules)
	return len(problems) > 0 || rules.DemandGrows(currentRules, newRules)
}

func decodeRequest(w http.ResponseWriter, req *http.Request) (ApplyRequest, *result.Error) {
	var body ApplyRequest
	decoder := json.NewDecoder(http.MaxBytesReader(recovery.Unwrap(w), req.Body, maxRequestBytes))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&body)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return body, result.New(result.BodyTooLarge, "the body has more than %d bytes", maxRequestBytes)
	case err != nil:
		return body, result.New(result.BadRequest, "the body is not the expected JSON object: %v", err)
	}
	return body, nil
}

func validateApply(request ApplyRequest) *result.Error {
	if request.BaseRevision == nil {
		return result.New(result.BadRequest, "base_revision is missing; it is the revision that the change was made from")
	}
	author := request.Author
	if strings.TrimSpace(author) == "" || len(author) > maxAuthorLength || strings.ContainsFunc(author, unicode.IsControl) {
		return result.New(result.BadRequest, "author must have 1 to %d bytes without control characters", maxAuthorLength)
	}
	return nil
}

func (s *server) respond(w http.ResponseWriter, req *http.Request, body any, err error) {
	if err != nil {
		s.respondError(w, req, result.From(err))
		return
	}
	s.writeJSON(w, http.StatusOK, body)
}

func (s *server) respondError(w http.ResponseWriter, req *http.Request, e *result.Error) {
	s.Log.WithFields(logrus.Fields{"path": req.URL.Path, "code": e.Code.String()}).Info(e.Message)
	result.Write(w, e)
}

func (s *server) respondRulesInvalid(w http.ResponseWriter, req *http.Request, problems []rules.Problem) {
	e := result.New(result.RulesInvalid, "the rules have %d problems", len(problems))
	s.Log.WithFields(logrus.Fields{"path": req.URL.Path, "code": e.Code.String()}).Info(e.Message)
	s.writeJSON(w, e.Code.HTTPStatus(), Refusal{Body: e.Body(), Problems: problems})
}

func (s *server) writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(body); err != nil {
		s.Log.WithError(err).Debug("response not sent")
	}
}

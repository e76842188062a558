package entry

import (
	"encoding/json"
	"net/http"
	"strconv"

	"cassiadeal.example/cassiadeal/internal/explain"
	"cassiadeal.example/cassiadeal/internal/fleet"
	"cassiadeal.example/cassiadeal/internal/result"
)

// maxExplainTokens bounds the token counts of a question.
const maxExplainTokens = 1 << 30

// serveExplain tells where a request would go now, and why.
func (n *Node) serveExplain(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	req := &fleet.Request{Method: http.MethodPost, Host: q.Get(explain.Host), Path: q.Get(explain.RequestPath), Model: q.Get(explain.Model)}
	if part := q.Get(explain.Part); part != "" {
		req.PromptParts = []string{part}
	}
	for name, value := range map[string]*int{explain.Prompt: &req.PromptTokens, explain.MaxOutput: &req.MaxOutput, explain.Hint: &req.LengthHint} {
		text := q.Get(name)
		if text == "" {
			continue
		}
		number, err := strconv.Atoi(text)
		if err != nil || number < 0 || number > maxExplainTokens {
			e := result.New(result.BadRequest, "%s is %q, want a number of tokens", name, text)
			result.WriteBody(w, e.Code.HTTPStatus(), e)
			return
		}
		*value = number
	}
	answer, e := n.edge.Explain(req, q.Get(explain.Account))
	if e != nil {
		result.WriteBody(w, e.Code.HTTPStatus(), e)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(answer); err != nil {
		n.log.WithError(err).Debug("could not write an explanation")
	}
}

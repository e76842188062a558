package entry

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/frankban/quicktest"
)

// Guards against questions that are answered with guesses: with a number that can't be read, or without a configuration.
func TestExplainNeedsAConfigurationAndNumbers(t *testing.T) {
	c := quicktest.New(t)
	n := newNode(c, testSettings)
	for query, want := range map[string]int{"?host=x&path=/a/&prompt=many": http.StatusBadRequest, "?host=x&path=/a/&hint=-1": http.StatusBadRequest,
		"?host=x&path=/a/&prompt=10": http.StatusServiceUnavailable} {
		w := httptest.NewRecorder()
		n.metricsHandler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/explain"+query, nil))
		c.Check(w.Code, quicktest.Equals, want, quicktest.Commentf("%s", query))
	}
}

package entry

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/platform"
)

// Guards against operators who can't see which node serves lists, and how many bytes that takes.
func TestAnswersOfAMirrorAreCounted(t *testing.T) {
	c := quicktest.New(t)
	n := newNode(c, testSettings)
	n.followers[0].mirrorCopy.Replace([]platform.Object{{Name: "a", Revision: 1, Spec: []byte("{}")}}, platform.Position{Revision: 2})
	for _, path := range []string{"/cassiadeal/objects/" + platform.KindReplicas, "/cassiadeal/objects/" + platform.KindEvacuations, "/x"} {
		n.mirrorHandler().ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, path, nil))
	}
	n.followers[0].countRead(true, nil)
	recorder := httptest.NewRecorder()
	n.metrics.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, want := range []string{`cassiadeal_mirror_answers_total{call="list",encoding="",kind="servers",status="200"} 1`,
		`cassiadeal_mirror_answers_total{call="list",encoding="",kind="evacuations",status="503"} 1`,
		`cassiadeal_source_reads_total{call="watch",kind="servers",result="answered",source="store"} 1`} {
		c.Check(recorder.Body.String(), quicktest.Contains, want)
	}
	c.Check(recorder.Body.String(), quicktest.Not(quicktest.Contains), `status="404"`)
}

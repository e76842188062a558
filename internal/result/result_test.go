package result_test

import (
	"errors"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/result"
)

// Guards against two codes with the same name, and against 3xxx codes that are marked as not run.
func TestCodesAreConsistent(t *testing.T) {
	c := qt.New(t)
	names := map[string]result.Code{}
	for _, code := range result.All() {
		name := code.String()
		other, duplicate := names[name]
		c.Check(duplicate, qt.IsFalse, qt.Commentf("%d and %d are both named %q", code, other, name))
		names[name] = code
		if code >= 3000 && code < 4000 {
			c.Check(code.NotRun(), qt.IsFalse, qt.Commentf("code %s", code))
		}
	}
}

// Guards against an unclassified error being reported as not run, and against losing the NotRun flag of a wrapped Error.
func TestFromKeepsNotRunFalseForUnknownErrors(t *testing.T) {
	c := qt.New(t)
	c.Check(result.From(errors.New("boom")).NotRun, qt.IsFalse)
	wrapped := fmt.Errorf("routing: %w", result.New(result.QueueFull, "queue of %d is full", 4))
	c.Check(result.From(wrapped).NotRun, qt.IsTrue)
}

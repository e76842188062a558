package wholebody

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/frankban/quicktest"
)

// Guards against a body that is cut at the limit or at an error and passed on as complete.
func TestRead(t *testing.T) {
	broken := errors.New("connection reset")
	for _, test := range []struct {
		name     string
		body     io.Reader
		want     string
		tooLarge bool
		err      error
	}{
		{"empty", strings.NewReader(""), "", false, nil},
		{"shorter", strings.NewReader("abc"), "abc", false, nil},
		{"at the limit", strings.NewReader("abcd"), "abcd", false, nil},
		{"longer", strings.NewReader("abcde"), "", true, nil},
		{"broken", io.MultiReader(strings.NewReader("ab"), iotest.ErrReader(broken)), "", false, broken},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := quicktest.New(t)
			data, err := Read(test.body, 4)
			c.Check(string(data), quicktest.Equals, test.want)
			c.Check(IsTooLarge(err), quicktest.Equals, test.tooLarge)
			if !test.tooLarge {
				c.Check(err, quicktest.Equals, test.err)
			}
		})
	}
}

package result_test

import (
	"fmt"
	"os"
	"regexp"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/result"
)

// Guards against a number, name, HTTP status or "not run" in docs/result-codes.md that differs from the source, and against
// missing or extra rows.
func TestDocumentedCodes(t *testing.T) {
	data, err := os.ReadFile("../../docs/result-codes.md")
	qt.Assert(t, err, qt.IsNil)
	var got, want []string
	row := regexp.MustCompile(`(?m)^\| (\d+ \| \w+ \| \d+ \| (?:yes|no)) \| [^|]+ \| [^|]+ \|$`)
	for _, match := range row.FindAllStringSubmatch(string(data), -1) {
		got = append(got, match[1])
	}
	codes := result.All()
	slices.Sort(codes)
	for _, code := range codes {
		notRun := "no"
		if code.NotRun() {
			notRun = "yes"
		}
		want = append(want, fmt.Sprintf("%d | %s | %d | %s", code, code, code.HTTPStatus(), notRun))
	}
	qt.Check(t, got, qt.DeepEquals, want)
}

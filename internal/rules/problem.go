package rules

import (
	"cmp"
	"fmt"
	"slices"
)

// Problem is one reason why a rules file is refused.
type Problem struct {
	File   string `json:"file"`
	Line   int    `json:"line,omitempty"`   // From 1; 0 if the problem concerns the whole file.
	Column int    `json:"column,omitempty"` // From 1, in characters; 0 if not known.
	Reason string `json:"reason"`
}

// String returns "FILE:LINE:COLUMN: reason", without the line and column if they are not known.
func (p Problem) String() string {
	switch {
	case p.Line == 0:
		return fmt.Sprintf("%s: %s", p.File, p.Reason)
	case p.Column == 0:
		return fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.Reason)
	default:
		return fmt.Sprintf("%s:%d:%d: %s", p.File, p.Line, p.Column, p.Reason)
	}
}

// maxProblems limits the memory and the reply size for input that is not a rules file: 900 KB of one-letter lines would
// otherwise yield 450,000 problems.
const maxProblems = 1000

// sortProblems sorts the problems by position and replaces those above maxProblems by one that gives their number.
func sortProblems(file string, problems []Problem) []Problem {
	slices.SortStableFunc(problems, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	if omitted := len(problems) - maxProblems; omitted > 0 {
		problems = append(problems[:maxProblems:maxProblems],
			Problem{File: file, Reason: fmt.Sprintf("%d more problems are not listed", omitted)})
	}
	return problems
}

package rules

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// ChangeKind is the way in which a rule differs between two revisions.
type ChangeKind string

// Kinds of changes.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
	// Moved marks a route whose position among the other routes changed. The order matters because the first match applies.
	Moved ChangeKind = "moved"
)

// Change is one difference between two revisions of the rules.
type Change struct {
	Kind    ChangeKind `json:"kind"`
	Section string     `json:"section"`
	Name    string     `json:"name"`
	Old     string     `json:"old,omitempty"`
	New     string     `json:"new,omitempty"`
	// Comment is the new comment, or the old one of a removed rule.
	Comment    string `json:"comment"`
	OldComment string `json:"old_comment,omitempty"` // Set only if the comment changed.
}

// String returns a header line, followed by the old rule marked with - and the new one marked with +.
func (c Change) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s [%s] %s", c.Kind, c.Section, c.Name)
	if c.Kind == Moved {
		fmt.Fprintf(&b, "  # %s", c.Comment)
		return b.String()
	}
	if c.Old != "" {
		fmt.Fprintf(&b, "\n- %s  # %s", c.Old, cmp.Or(c.OldComment, c.Comment))
	}
	if c.New != "" {
		fmt.Fprintf(&b, "\n+ %s  # %s", c.New, c.Comment)
	}
	return b.String()
}

// Diff returns the differences sorted by section and name. It ignores spacing and the order of rules other than routes.
func Diff(old, changed *Rules) []Change {
	var changes []Change
	for key, after := range changed.Origins {
		section, name, _ := strings.Cut(key, "/")
		before, existed := old.Origins[key]
		change := Change{Kind: Changed, Section: section, Name: name, Old: before.Text, New: after.Text, Comment: after.Comment}
		switch {
		case !existed:
			change.Kind = Added
		case before.Text == after.Text && before.Comment == after.Comment:
			continue
		case before.Comment != after.Comment:
			change.OldComment = before.Comment
		}
		changes = append(changes, change)
	}
	for key, before := range old.Origins {
		if _, kept := changed.Origins[key]; !kept {
			section, name, _ := strings.Cut(key, "/")
			changes = append(changes, Change{Kind: Removed, Section: section, Name: name, Old: before.Text, Comment: before.Comment})
		}
	}
	changes = append(changes, movedRoutes(old, changed)...)
	slices.SortFunc(changes, func(a, b Change) int {
		return cmp.Or(cmp.Compare(a.Section, b.Section), cmp.Compare(a.Name, b.Name), cmp.Compare(a.Kind, b.Kind))
	})
	return changes
}

// movedRoutes reports the routes whose index among the routes common to both revisions changed.
func movedRoutes(old, changed *Rules) []Change {
	before, after := commonRoutes(old, changed), commonRoutes(changed, old)
	var changes []Change
	for i, name := range after {
		if before[i] != name {
			changes = append(changes, Change{
				Kind: Moved, Section: SectionRoutes, Name: name, Comment: changed.Origins[SectionRoutes+"/"+name].Comment,
			})
		}
	}
	return changes
}

// commonRoutes returns the names of the routes of a that b also has, in the order of a.
func commonRoutes(a, b *Rules) []string {
	var names []string
	for _, route := range a.Routes {
		if _, ok := b.Origins[SectionRoutes+"/"+route.Name]; ok {
			names = append(names, route.Name)
		}
	}
	return names
}

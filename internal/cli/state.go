package cli

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"cassiadeal.example/cassiadeal/internal/operator"
	"cassiadeal.example/cassiadeal/internal/rules"
)

func (a *app) status(ctx context.Context, c *statusCommand) error {
	status, err := a.client.status(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		return a.printJSON(status)
	}
	a.printStatus(&status)
	return nil
}

func (a *app) printStatus(s *operator.Status) {
	colour := green
	if !s.RightToServe {
		colour = red
	} else if s.InDoubt {
		colour = yellow
	}
	fmt.Fprintln(a.Stdout, a.colourText(colour, fmt.Sprintf("%s in %s: %s, right to serve: %t (%s), in doubt: %t, revision %d, age of the node list from the platform: %s",
		s.Node, s.FailureDomain, s.State, s.RightToServe, s.Basis, s.InDoubt, s.ConfigRevision, formatAge(s.PlatformContactMS))))
	a.printTable("NODE\tFAILURE DOMAIN\tREVISION\tLAST CONTACT\tSTATE", func(w io.Writer) {
		for _, n := range s.Nodes {
			fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\n", n.Name, n.FailureDomain, n.ConfigRevision, formatAge(n.LastContactMS), a.colourState(n.State))
		}
	})
	a.printTable("DESTINATION\tKIND\tWANTED\tIN FLIGHT\tLIMIT\tQUEUED\tSERVING", func(w io.Writer) {
		for _, d := range s.Destinations {
			serving := a.colourText(green, fmt.Sprint(d.Serving))
			if d.Serving < d.Wanted {
				serving = a.colourText(red, fmt.Sprint(d.Serving))
			}
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%s\n", d.Name, d.Kind, d.Wanted, d.InFlight, d.Limit, d.Queued, serving)
		}
	})
	a.printTable("TARGET\tDESTINATION\tFAILURE DOMAIN\tHOLDER\tIN FLIGHT\tLIMIT\tSTATED\tSTATE", func(w io.Writer) {
		for _, t := range s.Targets {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%s\t%s\n", t.ID, t.Destination, t.FailureDomain, t.Holder, t.InFlight, t.Limit, stated(t), a.colourState(t.State))
		}
	})
	fmt.Fprintf(a.Stdout, "stranded VMs: %s\n", orNone(s.StrandedVMs))
}

// stated returns what a target has stated about the requests that it takes.
func stated(t operator.TargetStatus) string {
	var list []string
	if t.RatePerSecond != nil {
		list = append(list, fmt.Sprintf("%.3g/s", *t.RatePerSecond))
	}
	if t.PausedMS > 0 {
		list = append(list, "pause "+(time.Duration(t.PausedMS)*time.Millisecond).String())
	}
	return orNone(list)
}

// printTable prints aligned columns. Only the last column may be coloured, because tabwriter counts escape sequences as
// width.
func (a *app) printTable(header string, rows func(io.Writer)) {
	w := tabwriter.NewWriter(a.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, header)
	rows(w)
	_ = w.Flush() // A failure to write to standard output can't be reported there.
	fmt.Fprintln(a.Stdout)
}

func (a *app) colourState(state string) string {
	switch state {
	case "serving", "warm":
		return a.colourText(green, state)
	case "lost":
		return a.colourText(red, state)
	default:
		return a.colourText(yellow, state)
	}
}

// formatAge formats milliseconds as seconds; a negative age stands for an event that never happened.
func formatAge(ms int64) string {
	if ms < 0 {
		return "never"
	}
	return fmt.Sprintf("%.1fs", float64(ms)/1000)
}

// explanation is the output of why for one rule. It has only a Note if no route matches the call.
type explanation struct {
	Rule     string   `json:"rule"` // SECTION/NAME.
	Line     int      `json:"line"`
	Text     string   `json:"text"`
	Comment  string   `json:"comment"`
	Revision uint64   `json:"revision,omitempty"`
	Author   string   `json:"author,omitempty"`
	UsedBy   []string `json:"used_by"`
	Note     string   `json:"note,omitempty"`
}

func (a *app) why(ctx context.Context, c *whyCommand) (err error) {
	var r *rules.Rules
	var revision uint64
	var author string
	if c.File != "" {
		r, _, err = a.readRules(c.File)
	} else {
		r, revision, author, err = a.rulesInForce(ctx)
	}
	if err != nil {
		return err
	}
	var found []explanation
	if c.Method != "" {
		found, err = explainCall(r, c)
	} else {
		found = explainName(r, c.Name)
	}
	if err != nil {
		return err
	}
	if len(found) == 0 {
		return exitf(ExitNotFound, "no rule is named %q", c.Name)
	}
	for i := range found {
		found[i].Revision, found[i].Author = revision, author
	}
	if c.JSON {
		return a.printJSON(found)
	}
	a.printExplanations(found)
	return nil
}

func (a *app) printExplanations(found []explanation) {
	for _, e := range found {
		if e.Rule != "" {
			fmt.Fprintf(a.Stdout, "%s (line %d): %s\n  asked for by: %s\n  used by: %s\n", e.Rule, e.Line, e.Text, e.Comment, orNone(e.UsedBy))
		}
		if e.Note != "" {
			fmt.Fprintf(a.Stdout, "  %s\n", e.Note)
		}
		if e.Revision > 0 {
			fmt.Fprintf(a.Stdout, "  in force with revision %d, applied by %s\n", e.Revision, e.Author)
		}
	}
}

func explainName(r *rules.Rules, name string) []explanation {
	sections := []string{
		rules.SectionPools, rules.SectionServices, rules.SectionAccounts, rules.SectionRoutes,
		rules.SectionFailureDomains, rules.SectionWeights,
	}
	var found []explanation
	for _, section := range sections {
		shortName := strings.TrimPrefix(name, section+"/")
		if origin, ok := r.Origins[section+"/"+shortName]; ok {
			found = append(found, explain(r, section, shortName, origin))
		}
	}
	return found
}

func explain(r *rules.Rules, section, name string, origin rules.Origin) explanation {
	explained := explanation{Rule: section + "/" + name, Line: origin.Line, Text: origin.Text, Comment: origin.Comment, UsedBy: []string{}}
	switch section {
	case rules.SectionServices:
		for _, route := range r.Routes {
			if route.Service == name {
				explained.UsedBy = append(explained.UsedBy, rules.SectionRoutes+"/"+route.Name)
			}
		}
	case rules.SectionFailureDomains:
		for service, s := range r.Services {
			if slices.ContainsFunc(s.Targets, func(t rules.ServiceTarget) bool { return t.FailureDomain == name }) {
				explained.UsedBy = append(explained.UsedBy, rules.SectionServices+"/"+service)
			}
		}
		slices.Sort(explained.UsedBy)
	}
	return explained
}

func explainCall(r *rules.Rules, c *whyCommand) ([]explanation, error) {
	if c.Path == "" {
		return nil, exitf(ExitUsage, "METHOD needs PATH")
	}
	if _, ok := r.Services[c.Name]; !ok {
		return nil, exitf(ExitNotFound, "no service is named %q", c.Name)
	}
	route := r.Match(c.Name, c.Method, c.Path)
	if route.Name == "" {
		return []explanation{{UsedBy: []string{}, Note: "no route covers this call, so it counts as repeat=never"}}, nil
	}
	return []explanation{explain(r, rules.SectionRoutes, route.Name, r.Origins[rules.SectionRoutes+"/"+route.Name])}, nil
}

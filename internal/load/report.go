package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// namedLatency is the summary of one histogram of a section with its label.
type namedLatency struct {
	name string
	Latency
}

func (s *Section) latencies() []namedLatency {
	return []namedLatency{
		{"first token", s.FirstToken}, {"between tokens", s.BetweenTokens}, {"whole", s.WholeResponse}, {"start delay", s.StartDelay},
	}
}

// Print writes the result as a text table.
func (r *Result) Print(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "section\trate/s\tdue\tsent\tserved\trefused\tfailed\tnot started\tserved %\twrong\tdifferent\t")
	for _, s := range r.Sections {
		fmt.Fprintf(table, "%s\t%.1f\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t%d\t%d\t\n", s.Name, s.Rate, s.Due, s.Sent, s.Served, s.Refused,
			s.Failed, s.NotStarted, 100*s.ShareServed, s.WrongAnswers, s.DifferentAnswers)
	}
	fmt.Fprintln(table, "\nlatency in ms\t\tcount\tmean\tp50\tp90\tp95\tp99\tp99.9\tmax\t")
	for _, s := range r.Sections {
		for _, latency := range s.latencies() {
			if latency.Count > 0 {
				fmt.Fprintf(table, "%s\t%s\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t\n", s.Name, latency.name, latency.Count, latency.MeanMS,
					latency.P50MS, latency.P90MS, latency.P95MS, latency.P99MS, latency.P999MS, latency.MaxMS)
			}
		}
	}
	fmt.Fprintln(table, "\nresults\tcode\tname\tnot run\tcount\t")
	for _, s := range r.Sections {
		printResults(table, s.Name, s.Results)
		printResults(table, s.Name+" resent", s.Resends)
		for _, name := range slices.Sorted(maps.Keys(s.Failovers)) {
			fmt.Fprintf(table, "%s\t\tfailover after %s\t\t%d\t\n", s.Name, name, s.Failovers[name])
		}
	}
	r.printSeconds(table)
	for _, f := range r.Faults {
		fmt.Fprintf(table, "\nfault at %d ms: %s %s: status %d, ended at %.0f ms%s", f.AtMS, f.Method, f.URL, f.Status, f.EndedMS,
			errorSuffix(f.Error))
	}
	if r.AddressFailures > 0 {
		fmt.Fprintf(table, "\n%d times no address gave a valid answer to GET /v1/addresses", r.AddressFailures)
	}
	fmt.Fprintln(table)
	return table.Flush()
}

func printResults(w io.Writer, label string, results []ResultCount) {
	for _, c := range results {
		fmt.Fprintf(w, "%s\t%d\t%s\t%t\t%d\t\n", label, c.Code, c.Name, c.NotRun, c.Count)
	}
}

// printSeconds prints the seconds in which a due request was not served; the JSON result has all seconds.
func (r *Result) printSeconds(w io.Writer) {
	fmt.Fprintln(w, "\nsecond\tsent\tserved\trefused\tfailed\tnot started\tserved %\t")
	fullyServed := 0
	for i, c := range r.Seconds {
		if c.Served == c.Due {
			fullyServed++
			continue
		}
		fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t\n", i, c.Sent, c.Served, c.Refused, c.Failed, c.NotStarted,
			100*c.ShareServed)
	}
	fmt.Fprintf(w, "\n%d of %d seconds had all requests served\n", fullyServed, len(r.Seconds))
}

func errorSuffix(text string) string {
	if text == "" {
		return ""
	}
	return ": " + strings.ReplaceAll(text, "\n", " ")
}

package load

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// metric is one value of a section that is compared.
type metric struct {
	name  string
	value float64
}

func (s *Section) metrics() []metric {
	list := []metric{
		{"due", float64(s.Due)}, {"sent", float64(s.Sent)}, {"served", float64(s.Served)}, {"refused", float64(s.Refused)},
		{"failed", float64(s.Failed)}, {"not started", float64(s.NotStarted)}, {"served %", 100 * s.ShareServed},
		{"wrong answers", float64(s.WrongAnswers)}, {"different answers", float64(s.DifferentAnswers)},
	}
	for _, l := range s.latencies() {
		for _, m := range []metric{
			{"mean", l.MeanMS}, {"p50", l.P50MS}, {"p95", l.P95MS}, {"p99", l.P99MS}, {"p99.9", l.P999MS}, {"max", l.MaxMS},
		} {
			list = append(list, metric{l.name + " " + m.name + " ms", m.value})
		}
	}
	return list
}

// Compare prints two results side by side, section by section.
func Compare(w io.Writer, before, after *Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	if before.Experiment != after.Experiment {
		fmt.Fprintln(t, "The two experiment files differ.")
	}
	newer := map[string]*Section{}
	for i := range after.Sections {
		newer[after.Sections[i].Name] = &after.Sections[i]
	}
	fmt.Fprintln(t, "section\tmetric\told\tnew\tchange\t")
	for i := range before.Sections {
		s := &before.Sections[i]
		other := newer[s.Name]
		if other == nil {
			fmt.Fprintf(t, "%s\tonly in the old result\t\t\t\t\n", s.Name)
			continue
		}
		delete(newer, s.Name)
		compareSection(t, s, other)
	}
	for _, s := range after.Sections {
		if newer[s.Name] != nil {
			fmt.Fprintf(t, "%s\tonly in the new result\t\t\t\t\n", s.Name)
		}
	}
	return t.Flush()
}

func compareSection(w io.Writer, before, after *Section) {
	second := after.metrics()
	for i, m := range before.metrics() {
		value := second[i].value
		if m.value == 0 && value == 0 {
			continue
		}
		fmt.Fprintf(w, "%s\t%s\t%.2f\t%.2f\t%s\t\n", before.Name, m.name, m.value, value, change(m.value, value))
	}
}

// change returns the difference in percent of the old value.
func change(before, after float64) string {
	if before == 0 {
		return "from 0"
	}
	return fmt.Sprintf("%+.1f%%", 100*(after-before)/before)
}

package load

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// metric is one value of a section in a comparison.
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
	for _, latency := range s.latencies() {
		for _, stat := range []metric{
			{"mean", latency.MeanMS}, {"p50", latency.P50MS}, {"p95", latency.P95MS}, {"p99", latency.P99MS},
			{"p99.9", latency.P999MS}, {"max", latency.MaxMS},
		} {
			list = append(list, metric{latency.name + " " + stat.name + " ms", stat.value})
		}
	}
	return list
}

// Compare prints two results side by side, section by section.
func Compare(w io.Writer, before, after *Result) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	if before.Experiment != after.Experiment {
		fmt.Fprintln(table, "The two experiment files differ.")
	}
	afterByName := map[string]*Section{}
	for i := range after.Sections {
		afterByName[after.Sections[i].Name] = &after.Sections[i]
	}
	fmt.Fprintln(table, "section\tmetric\told\tnew\tchange\t")
	for i := range before.Sections {
		beforeSection := &before.Sections[i]
		afterSection := afterByName[beforeSection.Name]
		if afterSection == nil {
			fmt.Fprintf(table, "%s\tonly in the old result\t\t\t\t\n", beforeSection.Name)
			continue
		}
		delete(afterByName, beforeSection.Name)
		compareSection(table, beforeSection, afterSection)
	}
	for _, s := range after.Sections {
		if afterByName[s.Name] != nil {
			fmt.Fprintf(table, "%s\tonly in the new result\t\t\t\t\n", s.Name)
		}
	}
	return table.Flush()
}

func compareSection(w io.Writer, before, after *Section) {
	afterMetrics := after.metrics()
	for i, beforeMetric := range before.metrics() {
		afterValue := afterMetrics[i].value
		if beforeMetric.value == 0 && afterValue == 0 {
			continue
		}
		fmt.Fprintf(w, "%s\t%s\t%.2f\t%.2f\t%s\t\n", before.Name, beforeMetric.name, beforeMetric.value, afterValue,
			percentChange(beforeMetric.value, afterValue))
	}
}

// percentChange returns the difference in percent of the old value.
func percentChange(before, after float64) string {
	if before == 0 {
		return "from 0"
	}
	return fmt.Sprintf("%+.1f%%", 100*(after-before)/before)
}

package load

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// WriteTable writes a row for each kind.
func (r *Report) WriteTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "KIND\tSENT\tP50 MS\tP95 MS\tP99 MS\tP99.9 MS\tNOT OWN OR NOT WHOLE\tANSWERS")
	for _, k := range r.Kinds {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%s\t%s\t%s\t%s\t%d\t%s\n", k.Name, k.Sent,
			ms(k.Latency, 50), ms(k.Latency, 95), ms(k.Latency, 99), ms(k.Latency, 99.9),
			k.Foreign, verdicts(k.Verdicts))
	}
	return table.Flush()
}

func ms(h *hdrhistogram.Histogram, quantile float64) string {
	return fmt.Sprintf("%.2f", float64(h.ValueAtQuantile(quantile))/1000)
}

func verdicts(counts map[string]int) string {
	names := make([]string, 0, len(counts))
	for name := range counts {
		names = append(names, name)
	}
	slices.Sort(names)
	parts := make([]string, len(names))
	for i, name := range names {
		parts[i] = fmt.Sprintf("%s: %d", name, counts[name])
	}
	return strings.Join(parts, ", ")
}

const (
	plotWidth = 50
	plotSteps = 12
)

// WritePlot draws the latencies of each kind by quantile.
func (r *Report) WritePlot(w io.Writer) error {
	for _, k := range r.Kinds {
		longest := max(k.Latency.Max(), 1)
		_, _ = fmt.Fprintf(w, "%s\n", k.Name)
		for i := range plotSteps {
			quantile := 100 * (1 - 1/float64(int(1)<<i))
			value := k.Latency.ValueAtQuantile(quantile)
			bar := strings.Repeat("#", int(value*plotWidth/longest))
			if _, err := fmt.Fprintf(w, "  p%-8.4g %9.2f ms %s\n", quantile, float64(value)/1000, bar); err != nil {
				return err
			}
		}
	}
	return nil
}

// Failed says whether any answer was not the own or not whole.
func (r *Report) Failed() bool {
	return slices.ContainsFunc(r.Kinds, func(k *KindReport) bool { return k.Foreign > 0 })
}

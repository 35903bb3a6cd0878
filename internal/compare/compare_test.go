package compare_test

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"text/tabwriter"
	"time"

	. "github.com/onsi/gomega"
)

func sortedKeys[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

var (
	homePlain = homeGrants("D home grants", homeOptions{})
	homeHedge = homeGrants("D with hedges", homeOptions{hedge: true})
	allWays   = []way{ownCounts, homePlain, homeHedge, ideal}
)

var table = flag.Bool("table", false, "write the whole comparison")

// TestTable writes every way in every case; it is run by hand with -table.
func TestTable(t *testing.T) {
	if !*table {
		t.Log("run with -table for the whole comparison")
		return
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	for _, d := range []deployment{studio, loblolly} {
		for _, c := range cases(d) {
			_, _ = fmt.Fprintf(w, "\n%s, %s\nWAY\tP50\tP95\tP99\tP99.9\tLOST\tLOOKUP P99\tLOOKUP LOST\tGOODPUT\tTRIES\tMESSAGES\n", d.name, c.name)
			for _, way := range allWays {
				writeRow(w, c, way)
			}
		}
	}
	_ = w.Flush()
}

func writeRow(w *tabwriter.Writer, c testCase, way way) {
	r := play(c, way, 1)
	first, second := c.kinds[0].name, c.kinds[1].name
	total := r.sent[first] + r.sent[second]
	ms := func(d time.Duration) string { return fmt.Sprintf("%.1f", float64(d.Microseconds())/1000) }
	capacity := c.length.Seconds() * float64(c.targets*slotsEach)
	_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%.2f%%\t%s\t%.2f%%\t%.1f%%\t%.3f\t%.2f\n", way.name,
		ms(r.quantile(first, 50)), ms(r.quantile(first, 95)), ms(r.quantile(first, 99)), ms(r.quantile(first, 99.9)),
		100*r.lost(first), ms(r.quantile(second, 99)), 100*r.lost(second),
		100*r.goodWork.Seconds()/capacity, float64(r.tries)/float64(total),
		float64(r.messages)/float64(total))
}

// The bounds below are on virtual time, so they don't move with the machine.

const roundTrip = 2 * betweenHall

func TestTheHomeIsCloseToTheIdealQueue(t *testing.T) {
	g := NewWithT(t)
	for _, d := range []deployment{studio, loblolly} {
		for _, c := range cases(d) {
			if c.name != "steady 70%" && c.name != "steady 85%" {
				continue
			}
			kind := c.kinds[0].name
			got := play(c, homeHedge, 1).quantile(kind, 99)
			best := play(c, ideal, 1).quantile(kind, 99)
			g.Expect(got).To(BeNumerically("<=", best*11/10+roundTrip), "%s, %s", d.name, c.name)
		}
	}
}

func TestTheHomeIsNeverWorseThanOwnCounts(t *testing.T) {
	g := NewWithT(t)
	for _, d := range []deployment{studio, loblolly} {
		for _, c := range cases(d) {
			kind := c.kinds[0].name
			home, own := play(c, homeHedge, 1), play(c, ownCounts, 1)
			g.Expect(home.quantile(kind, 99)).To(BeNumerically("<=", own.quantile(kind, 99)), "%s, %s: p99", d.name, c.name)
			g.Expect(home.lost(kind)).To(BeNumerically("<=", own.lost(kind)+0.0005), "%s, %s: lost", d.name, c.name)
		}
	}
}

func TestRefusedClientsAreServedWhenTheyComeBackAsTold(t *testing.T) {
	g := NewWithT(t)
	for _, d := range []deployment{studio, loblolly} {
		c := testCase{name: "come back", deployment: d, load: 1.3, length: 20 * time.Second, comeBack: true}
		r := play(c, homeHedge, 1)
		for _, k := range d.kinds {
			g.Expect(r.lost(k.name)).To(BeZero(), "%s, %s: every request is served in the end", d.name, k.name)
		}
		slices.Sort(r.comeBack)
		slices.Sort(r.refusals)
		g.Expect(r.refusals).NotTo(BeEmpty())
		t.Logf("%s: %d refusals after p50 %s, p99 %s; repeats p50 %d, p99 %d, most %d", d.name, len(r.refusals),
			at(r.refusals, 50), at(r.refusals, 99), at(r.comeBack, 50), at(r.comeBack, 99), at(r.comeBack, 100))
		g.Expect(at(r.comeBack, 99)).To(BeNumerically("<=", 4), d.name)
	}
}

// TestAttemptsStayFewThroughAFullOutage lets every target fail fast for five
// seconds: retries are a share of the successes, so they do not bury it.
func TestAttemptsStayFewThroughAFullOutage(t *testing.T) {
	g := NewWithT(t)
	for _, d := range []deployment{studio, loblolly} {
		c := testCase{name: "outage", deployment: d, load: 0.7, length: 20 * time.Second, fault: func(s *sim) {
			for _, one := range s.targets {
				s.after(5*time.Second, func() { one.failFast = true })
				s.after(10*time.Second, func() { one.failFast = false })
			}
		}}
		home, own := play(c, homeHedge, 1), play(c, ownCounts, 1)
		tries := func(r *result) float64 {
			return float64(r.tries) / float64(r.sent[d.kinds[0].name]+r.sent[d.kinds[1].name])
		}
		t.Logf("%s: %.3f tries a request, own counts with three tries each %.3f", d.name, tries(home), tries(own))
		g.Expect(tries(home)).To(BeNumerically("<=", 1.1), d.name)
		g.Expect(home.quantile(d.kinds[0].name, 99)).To(BeNumerically("<=", own.quantile(d.kinds[0].name, 99)), "after it ends")
	}
}

// at is a quantile of sorted values.
func at[T any](sorted []T, percent int) T { return sorted[(len(sorted)-1)*percent/100] }

package ledger_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// bound limits the first kind of a case: its p99 and the share of its requests
// that are lost. The figures come from runs of seed 1 in virtual time, so they do
// not depend on the machine. They are those of power-of-two-choices balancing on
// a box's own counts; for the steady cases of 70 and 85% they are those of a
// single queue with immediate global knowledge plus a tenth and a round trip,
// which is lower.
type bound struct {
	p99  time.Duration
	lost float64
}

var studioBounds = map[string]bound{
	"steady 50%":           {111295 * time.Microsecond, 0.0005},
	"steady 70%":           {107754 * time.Microsecond, 0.0005},
	"steady 85%":           {109795 * time.Microsecond, 0.0005},
	"steady 95%":           {177535 * time.Microsecond, 0.002670},
	"bursts 70%":           {165887 * time.Microsecond, 0.010527},
	"overload 130%":        {206719 * time.Microsecond, 0.232914},
	"slow targets 60%":     {347391 * time.Microsecond, 0.0005},
	"one fails fast 60%":   {128831 * time.Microsecond, 0.0005},
	"one hangs 60%":        {126335 * time.Microsecond, 0.002852},
	"half unreachable 40%": {127359 * time.Microsecond, 0.088176},
	"home killed 70%":      {130687 * time.Microsecond, 0.0005},
}

var loblollyBounds = map[string]bound{
	"steady 50%":           {134399 * time.Microsecond, 0.0005},
	"steady 70%":           {136195 * time.Microsecond, 0.0005},
	"steady 85%":           {139856 * time.Microsecond, 0.0005},
	"steady 95%":           {202879 * time.Microsecond, 0.001474},
	"bursts 70%":           {203263 * time.Microsecond, 0.029633},
	"overload 130%":        {238079 * time.Microsecond, 0.233275},
	"slow targets 60%":     {378879 * time.Microsecond, 0.0005},
	"one fails fast 60%":   {152703 * time.Microsecond, 0.0005},
	"one hangs 60%":        {157311 * time.Microsecond, 0.004829},
	"half unreachable 40%": {152703 * time.Microsecond, 0.034688},
	"home killed 70%":      {154623 * time.Microsecond, 0.0005},
}

func TestLatencyAndLossStayWithinBounds(t *testing.T) {
	for _, d := range []struct {
		deployment
		bounds map[string]bound
	}{{studio, studioBounds}, {loblolly, loblollyBounds}} {
		for _, c := range cases(d.deployment) {
			t.Run(d.name+", "+c.name, func(t *testing.T) {
				g := NewWithT(t)
				want, ok := d.bounds[c.name]
				g.Expect(ok).To(BeTrue(), "the case has a bound")
				kind := c.kinds[0].name
				got := runCase(c, 1)
				g.Expect(got.quantile(kind, 99)).To(BeNumerically("<=", want.p99), "p99")
				g.Expect(got.lossRate(kind)).To(BeNumerically("<=", want.lost), "lost")
			})
		}
	}
}

func TestRefusedClientsAreServedWhenTheyRetryAfterTheGivenDelay(t *testing.T) {
	g := NewWithT(t)
	for _, d := range []deployment{studio, loblolly} {
		c := testCase{name: "refused clients retry", deployment: d, load: 1.3, length: 20 * time.Second, retryRefused: true}
		r := runCase(c, 1)
		for _, k := range d.kinds {
			g.Expect(r.lossRate(k.name)).To(BeZero(), "%s, %s: every request is eventually served", d.name, k.name)
		}
		slices.Sort(r.repeats)
		slices.Sort(r.refusals)
		g.Expect(r.refusals).NotTo(BeEmpty())
		t.Logf("%s: %d refusals after p50 %s, p99 %s; repeats p50 %d, p99 %d, most %d", d.name, len(r.refusals),
			percentile(r.refusals, 50), percentile(r.refusals, 99), percentile(r.repeats, 50), percentile(r.repeats, 99), percentile(r.repeats, 100))
		g.Expect(percentile(r.repeats, 99)).To(BeNumerically("<=", 4), d.name)
	}
}

// TestAttemptsAreBoundedInAFullOutage has every target fail fast for five seconds.
// Retries are limited to a share of the successes, so they do not overload the
// targets. The bound on the p99 is that of balancing on a box's own counts with
// three tries per request.
func TestAttemptsAreBoundedInAFullOutage(t *testing.T) {
	g := NewWithT(t)
	for _, d := range []struct {
		deployment
		p99 time.Duration
	}{{studio, 128703 * time.Microsecond}, {loblolly, 148735 * time.Microsecond}} {
		c := testCase{name: "outage", deployment: d.deployment, load: 0.7, length: 20 * time.Second, fault: func(s *sim) {
			for _, one := range s.targets {
				s.after(5*time.Second, func() { one.failFast = true })
				s.after(10*time.Second, func() { one.failFast = false })
			}
		}}
		r := runCase(c, 1)
		tries := float64(r.tries) / float64(r.sent[d.kinds[0].name]+r.sent[d.kinds[1].name])
		g.Expect(tries).To(BeNumerically("<=", 1.1), d.name)
		g.Expect(r.quantile(d.kinds[0].name, 99)).To(BeNumerically("<=", d.p99), "%s, after it ends", d.name)
	}
}

// percentile returns a percentile of sorted values.
func percentile[T any](sorted []T, percent int) T { return sorted[(len(sorted)-1)*percent/100] }

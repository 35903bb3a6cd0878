package retry_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/core/gateway/load"
	"github.com/sprucecrank/sprucecrank/core/gateway/placement"
	"github.com/sprucecrank/sprucecrank/core/gateway/retry"
	"github.com/sprucecrank/sprucecrank/verdict"
)

const usual = 100 * time.Millisecond

func TestDecide(t *testing.T) {
	for name, c := range map[string]struct {
		change func(s *retry.State)
		want   retry.Decision
	}{
		"not run":                       {func(*retry.State) {}, retry.Again},
		"may have run":                  {func(s *retry.State) { s.Verdict = verdict.MayHaveRun }, retry.MayHaveRun},
		"ran":                           {func(s *retry.State) { s.Verdict = verdict.Ran }, retry.MayHaveRun},
		"may have run, but is safe":     {func(s *retry.State) { s.Verdict, s.Repeatable = verdict.MayHaveRun, true }, retry.Again},
		"half of the usual time left":   {func(s *retry.State) { s.Left = usual / 2 }, retry.Again},
		"less than that left":           {func(s *retry.State) { s.Left = usual/2 - 1 }, retry.TooLate},
		"all attempts used":             {func(s *retry.State) { s.Sends = 2 }, retry.AttemptsUsed},
		"more than all, by a hedge":     {func(s *retry.State) { s.Sends = 3 }, retry.AttemptsUsed},
		"may have run, with no time":    {func(s *retry.State) { s.Verdict, s.Left = verdict.MayHaveRun, 0 }, retry.MayHaveRun},
		"not run, with nothing at all ": {func(s *retry.State) { s.Sends, s.Left = 2, 0 }, retry.TooLate},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := retry.State{Verdict: verdict.NotRun, Sends: 1, MaxAttempts: 2, Left: time.Second, Usual: usual}
			c.change(&s)
			g.Expect(retry.Decide(s)).To(Equal(c.want))
		})
	}
}

func TestHedgeDelay(t *testing.T) {
	for name, c := range map[string]struct {
		change func(f *retry.First)
		delay  time.Duration
		ok     bool
	}{
		"what the objective leaves":      {func(*retry.First) {}, 850 * time.Millisecond, true},
		"less what has passed":           {func(f *retry.First) { f.Held = 200 * time.Millisecond }, 650 * time.Millisecond, true},
		"never before the first is late": {func(f *retry.First) { f.Held = time.Second }, usual + usual/3, true},
		"not what may run once only":     {func(f *retry.First) { f.Repeatable = false }, 0, false},
		"not without an objective":       {func(f *retry.First) { f.Objective = 0 }, 0, false},
		"not beyond the attempts":        {func(f *retry.First) { f.Sends = 1 }, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := retry.First{Repeatable: true, MaxAttempts: 2, Objective: time.Second, Usual: usual}
			c.change(&f)
			delay, ok := retry.HedgeDelay(f)
			g.Expect(delay).To(Equal(c.delay))
			g.Expect(ok).To(Equal(c.ok))
		})
	}
}

func TestWhenAndWhereAHedgeGoes(t *testing.T) {
	g := NewWithT(t)
	g.Expect(retry.Overdue(5*usual/2, usual)).To(BeFalse())
	g.Expect(retry.Overdue(5*usual/2+1, usual)).To(BeTrue())
	g.Expect(retry.Overdue(1, 0)).To(BeTrue(), "nothing was predicted")

	g.Expect(retry.HedgeNow(false, false)).To(BeTrue())
	g.Expect(retry.HedgeNow(true, false)).To(BeFalse(), "requests wait that have had no target")
	g.Expect(retry.HedgeNow(true, true)).To(BeTrue())

	idle := &placement.Candidate{Report: load.New(0, 0, 3, 1, time.Time{}), HasReport: true, Healthy: true}
	slow := &placement.Candidate{Report: load.New(0, 0, 3, 5, time.Time{}), HasReport: true, Healthy: true}
	full := &placement.Candidate{Report: load.New(3, 0, 3, 1, time.Time{}), HasReport: true, Healthy: true}
	g.Expect(retry.HedgeSuits(idle, false)).To(BeTrue())
	g.Expect(retry.HedgeSuits(slow, false)).To(BeFalse())
	g.Expect(retry.HedgeSuits(slow, true)).To(BeTrue())
	g.Expect(retry.HedgeSuits(full, true)).To(BeFalse())

	g.Expect(retry.SearchPause(usual)).To(Equal(30 * time.Millisecond))
	g.Expect(retry.SearchPause(0)).To(Equal(4 * time.Millisecond))
}

func ExampleDecide() {
	decision := retry.Decide(retry.State{
		Verdict: verdict.MayHaveRun, Sends: 1, MaxAttempts: 3, Left: time.Second, Usual: 90 * time.Millisecond,
	})
	fmt.Println(decision == retry.MayHaveRun)
	// Output: true
}

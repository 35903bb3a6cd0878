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
		change   func(s *retry.State)
		decision retry.Decision
	}{
		"not run":                                      {func(*retry.State) {}, retry.SendAgain},
		"may have run":                                 {func(s *retry.State) { s.Verdict = verdict.MayHaveRun }, retry.MayHaveRun},
		"ran":                                          {func(s *retry.State) { s.Verdict = verdict.Ran }, retry.MayHaveRun},
		"may have run, but is repeatable":              {func(s *retry.State) { s.Verdict, s.Repeatable = verdict.MayHaveRun, true }, retry.SendAgain},
		"half of the usual time left":                  {func(s *retry.State) { s.Left = usual / 2 }, retry.SendAgain},
		"less than half of the usual time left":        {func(s *retry.State) { s.Left = usual/2 - 1 }, retry.TooLate},
		"all attempts used":                            {func(s *retry.State) { s.Sends = 2 }, retry.AttemptsUsed},
		"more than all attempts used, by a hedge":      {func(s *retry.State) { s.Sends = 3 }, retry.AttemptsUsed},
		"may have run, with no time left":              {func(s *retry.State) { s.Verdict, s.Left = verdict.MayHaveRun, 0 }, retry.MayHaveRun},
		"not run, with neither time nor attempts left": {func(s *retry.State) { s.Sends, s.Left = 2, 0 }, retry.TooLate},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := retry.State{Verdict: verdict.NotRun, Sends: 1, MaxAttempts: 2, Left: time.Second, Usual: usual}
			c.change(&s)
			g.Expect(retry.Decide(s)).To(Equal(c.decision))
		})
	}
}

func TestHedgeDelay(t *testing.T) {
	for name, c := range map[string]struct {
		change func(s *retry.FirstSend)
		delay  time.Duration
		ok     bool
	}{
		"the time that the objective leaves":  {func(*retry.FirstSend) {}, 850 * time.Millisecond, true},
		"less the elapsed time":               {func(s *retry.FirstSend) { s.Elapsed = 200 * time.Millisecond }, 650 * time.Millisecond, true},
		"never before the first send is late": {func(s *retry.FirstSend) { s.Elapsed = time.Second }, usual + usual/3, true},
		"no hedge if not repeatable":          {func(s *retry.FirstSend) { s.Repeatable = false }, 0, false},
		"no hedge without an objective":       {func(s *retry.FirstSend) { s.Objective = 0 }, 0, false},
		"no hedge beyond the attempts":        {func(s *retry.FirstSend) { s.Sends = 1 }, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := retry.FirstSend{Repeatable: true, MaxAttempts: 2, Objective: time.Second, Usual: usual}
			c.change(&s)
			delay, ok := retry.HedgeDelay(s)
			g.Expect(delay).To(Equal(c.delay))
			g.Expect(ok).To(Equal(c.ok))
		})
	}
}

func TestHedgeTimingAndTargetSelection(t *testing.T) {
	g := NewWithT(t)
	g.Expect(retry.Overdue(5*usual/2, usual)).To(BeFalse())
	g.Expect(retry.Overdue(5*usual/2+1, usual)).To(BeTrue())
	g.Expect(retry.Overdue(1, 0)).To(BeTrue(), "no prediction")

	g.Expect(retry.MayHedge(false, false)).To(BeTrue())
	g.Expect(retry.MayHedge(true, false)).To(BeFalse(), "requests without any target are waiting")
	g.Expect(retry.MayHedge(true, true)).To(BeTrue())

	idle := &placement.Candidate{Report: load.New(0, 0, 3, 1, time.Time{}), HasReport: true, Healthy: true}
	slow := &placement.Candidate{Report: load.New(0, 0, 3, 5, time.Time{}), HasReport: true, Healthy: true}
	full := &placement.Candidate{Report: load.New(3, 0, 3, 1, time.Time{}), HasReport: true, Healthy: true}
	g.Expect(retry.SuitsHedge(idle, false)).To(BeTrue())
	g.Expect(retry.SuitsHedge(slow, false)).To(BeFalse())
	g.Expect(retry.SuitsHedge(slow, true)).To(BeTrue())
	g.Expect(retry.SuitsHedge(full, true)).To(BeFalse())

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

package outcome_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/core/gateway/outcome"
	"github.com/sprucecrank/sprucecrank/verdict"
)

func TestOutcomeOfAnswerDependsOnStatusAndNotRun(t *testing.T) {
	for _, c := range []struct {
		status          int
		notRun          bool
		outcome         outcome.Outcome
		hasTargetAnswer bool
		reason          verdict.Reason // of the failure, if any
	}{
		{200, false, outcome.Served, true, ""},
		{404, false, outcome.Served, true, ""},
		{500, false, outcome.Failed, true, verdict.ReasonTargetFailed},
		{503, true, outcome.Shed, false, verdict.ReasonShed},
		{429, true, outcome.Shed, false, verdict.ReasonShed},
		{421, false, outcome.Misdirected, false, verdict.ReasonShed},
		{421, true, outcome.Misdirected, false, verdict.ReasonShed},
	} {
		t.Run(fmt.Sprint(c.status, c.notRun), func(t *testing.T) {
			g := NewWithT(t)
			o := outcome.FromAnswer(c.status, c.notRun)
			g.Expect(o).To(Equal(c.outcome))
			g.Expect(o.HasTargetAnswer()).To(Equal(c.hasTargetAnswer))
			failure := o.Failure()
			if c.reason == "" {
				g.Expect(failure).To(BeNil())
				return
			}
			g.Expect(failure.Reason()).To(Equal(c.reason))
			g.Expect(failure.Verdict() == verdict.NotRun).To(Equal(c.outcome != outcome.Failed), "only the target can guarantee that it did not run")
		})
	}
}

func TestOutcomeOfSendWithoutAnswer(t *testing.T) {
	g := NewWithT(t)
	for reason, want := range map[verdict.Reason]outcome.Outcome{
		verdict.ReasonTargetFailed: outcome.Broken,
		verdict.ReasonDeadline:     outcome.Abandoned,
		verdict.ReasonClientGone:   outcome.Abandoned,
	} {
		o := outcome.FromFailure(verdict.New(verdict.MayHaveRun, reason, "for a test"))
		g.Expect(o).To(Equal(want), string(reason))
		g.Expect(o.HasTargetAnswer()).To(BeFalse())
	}
}

func ExampleFromAnswer() {
	fmt.Println(outcome.FromAnswer(503, true).Failure())
	// Output: target-shed (not-run): the target did not run the request
}

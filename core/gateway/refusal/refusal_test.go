package refusal_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/core/gateway/refusal"
	"github.com/sprucecrank/sprucecrank/verdict"
)

const retryAfter = 200 * time.Millisecond

var errCause = errors.New("reset by peer")

func TestFinal(t *testing.T) {
	full := verdict.New(verdict.NotRun, verdict.ReasonTooLate, "full")
	late := verdict.New(verdict.NotRun, verdict.ReasonDeadline, "late")
	disconnected := verdict.New(verdict.NotRun, verdict.ReasonClientGone, "gone")
	broken := verdict.New(verdict.MayHaveRun, verdict.ReasonTargetFailed, "broken").WithCause(errCause)
	timedOut := verdict.New(verdict.MayHaveRun, verdict.ReasonDeadline, "timed out")
	shed := verdict.New(verdict.NotRun, verdict.ReasonShed, "shed")
	for name, c := range map[string]struct {
		ending  refusal.Ending
		verdict verdict.Verdict
		reason  verdict.Reason
		detail  string
		after   time.Duration
	}{
		"no target":                                             {refusal.Ending{Failure: full}, verdict.NotRun, verdict.ReasonTooLate, "full", retryAfter},
		"shed by the last target":                               {refusal.Ending{Failure: shed, Last: shed}, verdict.NotRun, verdict.ReasonShed, "shed", retryAfter},
		"the deadline, not run":                                 {refusal.Ending{Failure: late}, verdict.NotRun, verdict.ReasonTooLate, "late", retryAfter},
		"a send whose connection broke":                         {refusal.Ending{Failure: broken, Last: broken, MayHaveRun: true}, verdict.MayHaveRun, verdict.ReasonTargetFailed, "broken", 0},
		"a send that timed out":                                 {refusal.Ending{Failure: timedOut, Last: timedOut, MayHaveRun: true}, verdict.MayHaveRun, verdict.ReasonDeadline, "timed out", 0},
		"no target after a broken send":                         {refusal.Ending{Failure: full, Last: broken, MayHaveRun: true}, verdict.MayHaveRun, verdict.ReasonTargetFailed, "broken", 0},
		"shed after a broken send":                              {refusal.Ending{Failure: shed, Last: shed, MayHaveRun: true}, verdict.MayHaveRun, verdict.ReasonTargetFailed, "shed", 0},
		"the client disconnected":                               {refusal.Ending{Failure: disconnected}, verdict.NotRun, verdict.ReasonClientGone, "gone", 0},
		"the client disconnected, and the request may have run": {refusal.Ending{Failure: disconnected, Last: broken, MayHaveRun: true}, verdict.NotRun, verdict.ReasonClientGone, "gone", 0},
		"may have run, but no send recorded":                    {refusal.Ending{Failure: full, MayHaveRun: true}, verdict.MayHaveRun, verdict.ReasonTargetFailed, "full", 0},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			c.ending.RetryAfter = retryAfter
			got := refusal.Final(c.ending)
			g.Expect(got.Verdict()).To(Equal(c.verdict))
			g.Expect(got.Reason()).To(Equal(c.reason))
			g.Expect(got.Detail()).To(Equal(c.detail))
			g.Expect(got.RetryAfter()).To(Equal(c.after))
		})
	}
	NewWithT(t).Expect(refusal.Final(refusal.Ending{Failure: broken, Last: broken, MayHaveRun: true})).To(MatchError(errCause))
}

func TestTargetAnswerIsForwardedUnlessClientDisconnected(t *testing.T) {
	g := NewWithT(t)
	for reason, want := range map[verdict.Reason]bool{
		verdict.ReasonTooLate: true, verdict.ReasonTargetFailed: true, verdict.ReasonDeadline: true, verdict.ReasonClientGone: false,
	} {
		g.Expect(refusal.MayForwardTargetAnswer(verdict.New(verdict.MayHaveRun, reason, "for a test"))).To(Equal(want), string(reason))
	}
}

func TestRetryAfterIsSpreadOverAThirdOfTheTimeLeft(t *testing.T) {
	g := NewWithT(t)
	const left = 3 * time.Second
	g.Expect(refusal.RetryAfter(left, 0)).To(BeNumerically("~", 300*time.Millisecond, time.Microsecond))
	g.Expect(refusal.RetryAfter(left, 0.999999)).To(BeNumerically("~", time.Second, time.Millisecond))
	g.Expect(refusal.RetryAfter(0, 0.5)).To(Equal(150*time.Millisecond), "the minimum")
	g.Expect(refusal.RetryAfter(-time.Second, 0.5)).To(Equal(150 * time.Millisecond))
}

func TestShedRequestIsRetriedImmediatelyIfSlotsAreFree(t *testing.T) {
	for name, c := range map[string]struct {
		load     refusal.ServiceLoad
		retryNow bool
	}{
		"free slots, occasional sheds":     {refusal.ServiceLoad{ShedShare: 0.2}, true},
		"more than half of the sends shed": {refusal.ServiceLoad{ShedShare: 0.55}, true},
		"nearly all sends shed":            {refusal.ServiceLoad{ShedShare: 0.8}, false},
		"all slots are taken":              {refusal.ServiceLoad{Contended: true}, false},
	} {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(c.load.AllowsImmediateRetry()).To(Equal(c.retryNow))
		})
	}
	g := NewWithT(t)
	g.Expect(refusal.ImmediateRetryAfter(0)).To(Equal(5 * time.Millisecond))
	g.Expect(refusal.ImmediateRetryAfter(0.5)).To(Equal(15 * time.Millisecond))
}

func TestRetryAfterUnavailableIsSpreadAfterTargetsBecomeAvailable(t *testing.T) {
	const left = 6 * time.Second
	for name, c := range map[string]struct{ availableIn, earliest, latest time.Duration }{
		"soon":                                {100 * time.Millisecond, 100 * time.Millisecond, 3050 * time.Millisecond},
		"beyond a third of the client's time": {3 * time.Second, 3 * time.Second, 4500 * time.Millisecond},
		"beyond the client's time":            {7 * time.Second, 7 * time.Second, 7150 * time.Millisecond},
		"after an hour":                       {time.Hour, time.Minute, time.Minute + 150*time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(refusal.RetryAfterUnavailable(c.availableIn, left, 0)).To(Equal(c.earliest))
			g.Expect(refusal.RetryAfterUnavailable(c.availableIn, left, 0.999999)).To(BeNumerically("~", c.latest, time.Millisecond))
		})
	}
}

func ExampleFinal() {
	broken := verdict.New(verdict.MayHaveRun, verdict.ReasonTargetFailed, "the connection broke")
	full := verdict.New(verdict.NotRun, verdict.ReasonTooLate, "every target is full")
	fmt.Println(refusal.Final(refusal.Ending{Failure: full, Last: broken, MayHaveRun: true}))
	// Output: target-failed (may-have-run): the connection broke
}

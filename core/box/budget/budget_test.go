package budget_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sprucecrank/sprucecrank/core/box/budget"
)

// TestProbesOfAllBoxesStayWithinTheTimeBudget has boxes probe one target with random
// durations up to the reserved cost, transfer their tokens, lose them in transit,
// and be replaced: the sum must never exceed the budget.
func TestProbesOfAllBoxesStayWithinTheTimeBudget(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const perSecond, most, boxes = 10.0, 20 * time.Millisecond, 4
		start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		now := start
		fresh := func() *budget.TimeBudget {
			b := budget.NewTimeBudget(perSecond/boxes, 5*most)
			b.Level(now)
			return b
		}
		all := make([]*budget.TimeBudget, boxes)
		for i := range all {
			all[i] = fresh()
		}
		var spent time.Duration
		for range rapid.IntRange(1, 200).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(rt, "ms")) * time.Millisecond)
			one := rapid.IntRange(0, boxes-1).Draw(rt, "box")
			switch rapid.IntRange(0, 3).Draw(rt, "step") {
			case 0, 1:
				if all[one].Reserve(now, most) {
					took := time.Duration(rapid.IntRange(1, 20).Draw(rt, "took")) * time.Millisecond
					spent += took
					all[one].Settle(most, took)
				}
			case 2:
				drained := all[one].Drain(now)
				if rapid.Bool().Draw(rt, "arrives") {
					all[rapid.IntRange(0, boxes-1).Draw(rt, "home")].Add(drained)
				}
			case 3:
				all[one] = fresh()
			}
			allowed := time.Duration(perSecond * now.Sub(start).Seconds() * float64(time.Millisecond))
			if spent > allowed {
				rt.Fatalf("%s spent, allowed are %s", spent, allowed)
			}
		}
	})
}

func TestRetriesAreLimitedToAShareOfSuccesses(t *testing.T) {
	s := budget.NewRetryBudget(0.1, 10)
	spent := 0
	for range 1000 {
		if s.Spend() {
			spent++
		}
	}
	for range 100 {
		s.Earn()
	}
	for range 1000 {
		if s.Spend() {
			spent++
		}
	}
	if spent < 19 || spent > 20 {
		t.Fatalf("%d extra tries for 100 successes and an initial level of 10", spent)
	}
}

package budget_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sprucecrank/sprucecrank/core/gateway/budget"
)

const (
	ratio      = 0.2
	hedgeShare = 0.7
	// rounding is the error of a sum of ratios.
	rounding = 1e-9
)

func TestSecondSendsAreLimitedToAShareOfRequests(t *testing.T) {
	g := NewWithT(t)
	b := budget.New(ratio, hedgeShare, 1)
	g.Expect(b.SpendRetry()).To(BeTrue(), "the allowance")
	g.Expect(b.SpendRetry()).To(BeFalse())
	for range 4 {
		b.RecordRequest()
	}
	g.Expect(b.SpendRetry()).To(BeFalse(), "four requests allow less than one")
	b.RecordRequest()
	g.Expect(b.CanSpendHedge()).To(BeTrue())
	g.Expect(b.SpendHedge()).To(BeTrue())
	g.Expect(b.SpendRetry()).To(BeFalse(), "hedges and retries share the budget")
	for range 5 {
		b.RecordRequest()
	}
	g.Expect(b.CanSpendHedge()).To(BeFalse(), "the share of hedges allows less than one")
	g.Expect(b.SpendHedge()).To(BeFalse())
	g.Expect(b.SpendRetry()).To(BeTrue(), "the rest is reserved for retries")
	g.Expect(b.Used()).To(Equal(3))
	g.Expect(b.Allowed()).To(BeNumerically("~", 3, rounding))
}

func TestRequestsThatNeededNoSecondSendSaveUpNoMoreThanOne(t *testing.T) {
	g := NewWithT(t)
	b := budget.New(ratio, hedgeShare, 1)
	for range 1000 {
		b.RecordRequest()
	}
	g.Expect(b.SpendRetry()).To(BeTrue())
	g.Expect(b.SpendRetry()).To(BeFalse())
}

// event is a request, or a second send that was allowed.
type event int

const (
	request event = iota
	retried
	hedged
)

// In no span of events, wherever it begins and ends, are there more second sends than the
// ratio of its requests, plus one; nor more hedges than their share of it, plus one.
func TestNoSpanExceedsTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := budget.New(ratio, hedgeShare, 1)
		var events []event
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			switch event(rapid.IntRange(int(request), int(hedged)).Draw(t, "event")) {
			case request:
				b.RecordRequest()
				events = append(events, request)
			case retried:
				if b.SpendRetry() {
					events = append(events, retried)
				}
			case hedged:
				if b.SpendHedge() {
					events = append(events, hedged)
				}
			}
		}
		for begin := range events {
			var counts [hedged + 1]int
			for _, e := range events[begin:] {
				counts[e]++
				allowed := ratio*float64(counts[request]) + 1 + rounding
				if n := counts[retried] + counts[hedged]; float64(n) > allowed {
					t.Fatalf("%d second sends, %v allowed", n, allowed)
				}
				allowed = ratio*hedgeShare*float64(counts[request]) + 1 + rounding
				if n := counts[hedged]; float64(n) > allowed {
					t.Fatalf("%d hedges, %v allowed", n, allowed)
				}
			}
		}
	})
}

func ExampleBudget() {
	b := budget.New(0.2, 0.7, 0)
	for range 5 {
		b.RecordRequest()
	}
	fmt.Println(b.SpendRetry(), b.SpendRetry())
	// Output: true false
}

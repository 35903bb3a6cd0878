package budget_test

import (
	"fmt"
	"testing"
	"time"
	"unsafe"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sprucecrank/sprucecrank/core/gateway/budget"
)

func TestSecondSendsAreLimitedToAShareOfRequests(t *testing.T) {
	g := NewWithT(t)
	w := budget.New(10*time.Second, 0.2, 1)
	now := time.Unix(1000, 0)
	g.Expect(w.Spend(now, 1)).To(BeTrue(), "the allowance")
	g.Expect(w.Spend(now, 1)).To(BeFalse())
	for range 10 {
		w.RecordRequest(now)
	}
	g.Expect(w.Spend(now, 0.5)).To(BeFalse(), "half of three is less than two")
	g.Expect(w.Spend(now, 1)).To(BeTrue())
	g.Expect(w.Spend(now, 1)).To(BeTrue())
	g.Expect(w.Spend(now, 1)).To(BeFalse())
	g.Expect(w.Spend(now.Add(10*time.Second), 1)).To(BeFalse(), "the first span has not ended")
	g.Expect(w.Spend(now.Add(11*time.Second), 1)).To(BeTrue(), "the new span has its own allowance")
}

// The wall clock may jump while the monotonic clock continues: what was spent must stay
// spent.
func TestWallClockStepDoesNotClearCounts(t *testing.T) {
	g := NewWithT(t)
	w := budget.New(10*time.Second, 0.2, 1)
	now := time.Now()
	g.Expect(w.Spend(now, 1)).To(BeTrue())
	stepped := stepWallClock(now.Add(time.Second), time.Minute)
	g.Expect(stepped.Sub(now)).To(Equal(time.Second))
	g.Expect(w.Spend(stepped, 1)).To(BeFalse())
	g.Expect(w.Spend(stepWallClock(now.Add(11*time.Second), -time.Hour), 1)).To(BeTrue(), "the span has ended")
}

// stepWallClock moves the wall clock of a time and keeps its monotonic reading, which
// nothing in package time can do: in a Time with a monotonic reading, the first word
// holds the seconds of the wall clock above 30 bits of nanoseconds.
func stepWallClock(at time.Time, by time.Duration) time.Time {
	const nanosecondBits = 30
	*(*uint64)(unsafe.Pointer(&at)) += uint64(by/time.Second) << nanosecondBits
	return at
}

// In no span of the window's length are there more second sends than the ratio of the
// requests of the same span, plus the allowance.
func TestNoSpanExceedsTheBudget(t *testing.T) {
	const length, ratio, allowance = 10 * time.Second, 0.2, 1.0
	rapid.Check(t, func(t *rapid.T) {
		w := budget.New(length, ratio, allowance)
		var requests, spent []time.Time
		now := time.Unix(1000, 0)
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				w.RecordRequest(now)
				requests = append(requests, now)
			} else if w.Spend(now, 1) {
				spent = append(spent, now)
			}
		}
		for _, end := range spent {
			allowed := ratio*float64(countWithin(requests, end, length)) + allowance
			if got := float64(countWithin(spent, end, length)); got > allowed+1e-9 {
				t.Fatalf("%v second sends, %v allowed", got, allowed)
			}
		}
	})
}

func countWithin(times []time.Time, end time.Time, length time.Duration) int {
	n := 0
	for _, at := range times {
		if !at.After(end) && end.Sub(at) < length {
			n++
		}
	}
	return n
}

func ExampleWindow() {
	now := time.Unix(1000, 0)
	b := budget.New(10*time.Second, 0.2, 1)
	for range 5 {
		b.RecordRequest(now)
	}
	fmt.Println(b.Spend(now, 1), b.Spend(now, 1), b.Spend(now, 1))
	// Output: true true false
}

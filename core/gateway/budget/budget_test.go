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

func TestSecondSendsAreAShareOfTheRequests(t *testing.T) {
	g := NewWithT(t)
	w := budget.New(10*time.Second, 0.2, 1)
	now := time.Unix(1000, 0)
	g.Expect(w.Spend(now, 1)).To(BeTrue(), "the allowance")
	g.Expect(w.Spend(now, 1)).To(BeFalse())
	for range 10 {
		w.Request(now)
	}
	g.Expect(w.Spend(now, 0.5)).To(BeFalse(), "half of three is less than two")
	g.Expect(w.Spend(now, 1)).To(BeTrue())
	g.Expect(w.Spend(now, 1)).To(BeTrue())
	g.Expect(w.Spend(now, 1)).To(BeFalse())
	g.Expect(w.Spend(now.Add(10*time.Second), 1)).To(BeFalse(), "the span has not ended")
	g.Expect(w.Spend(now.Add(11*time.Second), 1)).To(BeTrue(), "a new span has its own allowance")
}

// The time of day may jump while the steady clock goes on: what was spent stays
// spent.
func TestAJumpOfTheTimeOfDayForgetsNothing(t *testing.T) {
	g := NewWithT(t)
	w := budget.New(10*time.Second, 0.2, 1)
	now := time.Now()
	g.Expect(w.Spend(now, 1)).To(BeTrue())
	jumped := stepTimeOfDay(now.Add(time.Second), time.Minute)
	g.Expect(jumped.Sub(now)).To(Equal(time.Second))
	g.Expect(w.Spend(jumped, 1)).To(BeFalse())
	g.Expect(w.Spend(stepTimeOfDay(now.Add(11*time.Second), -time.Hour), 1)).To(BeTrue(), "the span has ended")
}

// stepTimeOfDay moves the time of day of a moment and leaves its steady clock,
// which nothing in package time can do: with a steady clock, the first word of a
// Time holds the seconds of the time of day above 30 bits of nanoseconds.
func stepTimeOfDay(at time.Time, by time.Duration) time.Time {
	const nanosecondBits = 30
	*(*uint64)(unsafe.Pointer(&at)) += uint64(by/time.Second) << nanosecondBits
	return at
}

// In no span of the window's length are there more second sends than the ratio
// of the requests of that very span, and the allowance.
func TestNoSpanHoldsMore(t *testing.T) {
	const length, ratio, allowance = 10 * time.Second, 0.2, 1.0
	rapid.Check(t, func(t *rapid.T) {
		w := budget.New(length, ratio, allowance)
		var requests, spent []time.Time
		now := time.Unix(1000, 0)
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				w.Request(now)
				requests = append(requests, now)
			} else if w.Spend(now, 1) {
				spent = append(spent, now)
			}
		}
		for _, end := range spent {
			most := ratio*float64(within(requests, end, length)) + allowance
			if got := float64(within(spent, end, length)); got > most+1e-9 {
				t.Fatalf("%v second sends, %v allowed", got, most)
			}
		}
	})
}

func within(times []time.Time, end time.Time, length time.Duration) int {
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
		b.Request(now)
	}
	fmt.Println(b.Spend(now, 1), b.Spend(now, 1), b.Spend(now, 1))
	// Output: true true false
}

package budget_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sprucecrank/sprucecrank/core/gateway/budget"
)

// Limits of the users for all processes together.
const (
	fleetWindow = 10 * time.Second
	fleetRatio  = 0.2
	fleetSlack  = 62
	fleetSize   = 17
)

// fleet is some processes, each with its own budget, and what all of them did.
type fleet struct {
	budgets               []*budget.Budget
	requests, secondSends []time.Time
}

func newFleet() *fleet {
	f := &fleet{}
	f.budgets = make([]*budget.Budget, fleetSize)
	for process := range f.budgets {
		f.start(process)
	}
	return f
}

// start begins a life of a process.
func (f *fleet) start(process int) { f.budgets[process] = budget.New(fleetRatio, hedgeShare, 0) }

func (f *fleet) request(process int, now time.Time) {
	f.budgets[process].RecordRequest()
	f.requests = append(f.requests, now)
}

func (f *fleet) spend(process int, now time.Time) {
	if f.budgets[process].SpendRetry() {
		f.secondSends = append(f.secondSends, now)
	}
}

// worstSpan returns the greatest excess of second sends over what the users allow, in any span
// that begins with one; the requests of a span are those in it, in the span before, or in the
// one half a span earlier, whichever are most.
func (f *fleet) worstSpan() (excess float64) {
	for _, first := range f.secondSends {
		requests := 0
		for _, shift := range []time.Duration{0, -fleetWindow / 2, -fleetWindow} {
			requests = max(requests, countFrom(f.requests, first.Add(shift), fleetWindow))
		}
		sent := countFrom(f.secondSends, first, fleetWindow)
		excess = max(excess, float64(sent)-fleetRatio*float64(requests)-fleetSlack)
	}
	return excess
}

// countFrom counts the times, which are in order, that lie in a span.
func countFrom(times []time.Time, start time.Time, length time.Duration) int {
	begin, _ := slices.BinarySearchFunc(times, start, time.Time.Compare)
	end, _ := slices.BinarySearchFunc(times, start.Add(length), time.Time.Compare)
	return end - begin
}

// traffic has each process get requests at a rate for a time, of which a share fails once.
func (f *fleet) traffic(from time.Time, length, interval time.Duration, fail bool) {
	for at := from; at.Before(from.Add(length)); at = at.Add(interval) {
		for process := range f.budgets {
			f.request(process, at)
			if fail {
				f.spend(process, at)
			}
		}
	}
}

func TestBurstDoesNotSpendTheBudgetOfAnEarlierBurst(t *testing.T) {
	g := NewWithT(t)
	f, start := newFleet(), time.Unix(1000, 0)
	const burst, calm = 20 * time.Millisecond, 200 * time.Millisecond
	f.traffic(start, 2500*time.Millisecond, burst, false)
	f.traffic(start.Add(2500*time.Millisecond), 4700*time.Millisecond, calm, false)
	f.traffic(start.Add(7200*time.Millisecond), 2500*time.Millisecond, burst, true)
	f.traffic(start.Add(9700*time.Millisecond), 10*time.Second, calm, false)
	g.Expect(f.worstSpan()).To(BeZero())
}

func TestStartsOfProcessesAllowNoSecondSends(t *testing.T) {
	const starts = 6
	g := NewWithT(t)
	f, now := newFleet(), time.Unix(1000, 0)
	for range starts {
		for process := range f.budgets {
			f.start(process)
		}
		f.traffic(now, time.Second, time.Second, true)
		now = now.Add(fleetWindow / starts)
	}
	g.Expect(f.worstSpan()).To(BeZero())
}

// In no span, wherever it begins, do all processes together make more second sends than the
// users allow.
func TestNoSpanOfAFleetExceedsTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f, now := newFleet(), time.Unix(1000, 0)
		for range rapid.IntRange(1, 8).Draw(t, "phases") {
			length := time.Duration(rapid.IntRange(100, 6000).Draw(t, "ms")) * time.Millisecond
			interval := time.Duration(rapid.IntRange(20, 500).Draw(t, "interval in ms")) * time.Millisecond
			f.traffic(now, length, interval, rapid.Bool().Draw(t, "requests fail"))
			now = now.Add(length)
		}
		if excess := f.worstSpan(); excess > 0 {
			t.Fatalf("%v second sends too many", excess)
		}
	})
}

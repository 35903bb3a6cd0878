// Package budget bounds the second sends of requests (retries and hedges), so that they
// don't overload a failing service.
//
// It owns the bound alone; core/gateway/retry decides when a second send is worthwhile.
// Each process has its own budget for each service; because it counts only its own
// requests, the totals over all processes keep the same ratio without coordination. It
// does no I/O and reads no clock; times should carry Go's monotonic reading, so that a
// change of the wall clock does not clear the counts.
//
// # Usage
//
//	b := budget.New(10*time.Second, 0.2, 1) // a fifth of the requests, and one more
//	b.RecordRequest(now)
//	if b.Spend(now, 1) {
//		// one second send
//	}
package budget

import "time"

// windowSteps is the number of steps in which a Window slides. One more step is kept:
// second sends are counted for at least the whole length, requests for at most the whole
// length, so that the bound holds for every span, wherever in a step it begins.
const (
	windowSteps = 20
	keptSteps   = windowSteps + 1
)

// Window bounds second sends: in every span of its length they are at most a ratio of the
// requests in that span, plus a fixed allowance. Each process has its own; because it
// counts only its own requests, the totals over all processes keep the same ratio without
// coordination.
type Window struct {
	ratio       float64
	allowance   float64
	stepLength  time.Duration
	startedAt   time.Time // time of the first event
	currentStep int64
	requests    [keptSteps]int
	secondSends [keptSteps]int
}

// New returns a budget for spans of the given length.
func New(length time.Duration, ratio, allowance float64) *Window {
	return &Window{ratio: ratio, allowance: allowance, stepLength: length / windowSteps}
}

// RecordRequest counts a request, whatever its result.
func (w *Window) RecordRequest(now time.Time) {
	w.advance(now)
	w.requests[w.currentStep%keptSteps]++
}

// Spend takes one second send from the budget and reports whether it could: no more than
// the given share of the budget may be used afterwards.
func (w *Window) Spend(now time.Time, share float64) bool {
	w.advance(now)
	if !w.CanSpend(share) {
		return false
	}
	w.secondSends[w.currentStep%keptSteps]++
	return true
}

// CanSpend reports whether Spend would have succeeded at the time of the latest call of
// Spend or RecordRequest.
func (w *Window) CanSpend(share float64) bool {
	return float64(w.total(&w.secondSends)+1) <= share*w.Allowed()
}

// Allowed returns how many second sends the current span may hold.
func (w *Window) Allowed() float64 {
	oldest := w.requests[(w.currentStep+1)%keptSteps]
	return w.ratio*float64(w.total(&w.requests)-oldest) + w.allowance
}

// Used returns how many second sends the current span holds.
func (w *Window) Used() int { return w.total(&w.secondSends) }

func (w *Window) total(counts *[keptSteps]int) int {
	sum := 0
	for _, n := range counts {
		sum += n
	}
	return sum
}

// advance clears the counts that are older than the window.
func (w *Window) advance(now time.Time) {
	if w.startedAt.IsZero() {
		w.startedAt = now
	}
	step := int64(now.Sub(w.startedAt) / w.stepLength) // by the monotonic clock, if now has its reading
	for i := max(w.currentStep+1, step-keptSteps+1); i <= step; i++ {
		w.requests[i%keptSteps] = 0
		w.secondSends[i%keptSteps] = 0
	}
	w.currentStep = max(w.currentStep, step)
}

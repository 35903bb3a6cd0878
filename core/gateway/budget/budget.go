// Package budget bounds the second sends of requests (retries and hedges), so
// that a failing service is not buried under them.
//
// It owns the bound alone: what a second send is worth stands in
// core/gateway/retry. Each process keeps a budget of its own for each service;
// since it counts only its own requests, the sums over all processes keep the same
// ratio without any agreement. It does no I/O and reads no clock; times should
// carry Go's monotonic reading, so that a step of the time of day forgets nothing.
//
// # Usage
//
//	b := budget.New(10*time.Second, 0.2, 1) // a fifth of the requests, and one more
//	b.Request(now)
//	if b.Spend(now, 1) {
//		// one second send
//	}
package budget

import "time"

// windowSteps is how finely a Window forgets. One step more is kept: second
// sends are counted for the whole length at least, requests for it at most, so
// that the bound holds for every span, wherever it begins within a step.
const (
	windowSteps = 20
	keptSteps   = windowSteps + 1
)

// Window bounds second sends: in every span of its length they are at most a
// ratio of the requests in that span, and a fixed allowance. Each process keeps
// its own; since it counts only its own requests, the sums over all processes
// keep the same ratio without any agreement.
type Window struct {
	ratio     float64
	allowance float64
	step      time.Duration
	began     time.Time // of the first event
	current   int64
	requests  [keptSteps]int
	seconds   [keptSteps]int
}

// New makes a budget for spans of the given length.
func New(length time.Duration, ratio, allowance float64) *Window {
	return &Window{ratio: ratio, allowance: allowance, step: length / windowSteps}
}

// Request counts a request, whatever becomes of it.
func (w *Window) Request(now time.Time) {
	w.turn(now)
	w.requests[w.current%keptSteps]++
}

// Spend takes one second send if no more than share of the budget is then used.
func (w *Window) Spend(now time.Time, share float64) bool {
	w.turn(now)
	if !w.CanSpend(share) {
		return false
	}
	w.seconds[w.current%keptSteps]++
	return true
}

// CanSpend says whether Spend would have granted one when the budget was last
// asked or a request last counted.
func (w *Window) CanSpend(share float64) bool {
	return float64(w.total(&w.seconds)+1) <= share*w.Allowed()
}

// Allowed is how many second sends the present span may hold.
func (w *Window) Allowed() float64 {
	oldest := w.requests[(w.current+1)%keptSteps]
	return w.ratio*float64(w.total(&w.requests)-oldest) + w.allowance
}

// Used is how many second sends the present span holds.
func (w *Window) Used() int { return w.total(&w.seconds) }

func (w *Window) total(counts *[keptSteps]int) int {
	sum := 0
	for _, n := range counts {
		sum += n
	}
	return sum
}

// turn forgets what is older than the window.
func (w *Window) turn(now time.Time) {
	if w.began.IsZero() {
		w.began = now
	}
	step := int64(now.Sub(w.began) / w.step) // by the steady clock, where now has one
	for i := max(w.current+1, step-keptSteps+1); i <= step; i++ {
		w.requests[i%keptSteps] = 0
		w.seconds[i%keptSteps] = 0
	}
	w.current = max(w.current, step)
}

// Package budget holds the two budgets that keep a failing service from being
// overloaded: TimeBudget bounds how much of a target's time probes may take, and
// RetryBudget bounds retries and hedges to a share of the successes.
//
// It owns both budgets of one box. Its callers pass the time; it does no I/O and
// reads no clock.
//
// # Usage
//
//	t := budget.NewTimeBudget(0.5, 20*time.Millisecond) // 0.5 ms a second
//	if t.Reserve(now, 20*time.Millisecond) {
//		took := probe()
//		t.Settle(20*time.Millisecond, took)
//	}
package budget

import "time"

// TimeBudget is a token bucket whose tokens are a target's time. It starts empty, so
// that a box that is replaced repeatedly gains no tokens by it.
type TimeBudget struct {
	perSecond time.Duration
	capacity  time.Duration
	level     time.Duration
	last      time.Time
}

// NewTimeBudget returns an empty bucket that is refilled with perSecondMS
// milliseconds each second, up to capacity.
func NewTimeBudget(perSecondMS float64, capacity time.Duration) *TimeBudget {
	return &TimeBudget{perSecond: time.Duration(perSecondMS * float64(time.Millisecond)), capacity: capacity}
}

// SetRate changes the refill rate and keeps the level.
func (t *TimeBudget) SetRate(perSecondMS float64) {
	t.perSecond = time.Duration(perSecondMS * float64(time.Millisecond))
}

func (t *TimeBudget) refill(now time.Time) {
	if !t.last.IsZero() {
		earned := time.Duration(now.Sub(t.last).Seconds() * float64(t.perSecond))
		t.level = min(t.level+max(earned, 0), t.capacity)
	}
	t.last = now
}

// Reserve takes cost, the maximum cost of a probe, from the bucket. It returns false
// and takes nothing if the level is lower.
func (t *TimeBudget) Reserve(now time.Time, cost time.Duration) bool {
	t.refill(now)
	if t.level < cost {
		return false
	}
	t.level -= cost
	return true
}

// Settle returns the unused part of a reservation to the bucket. A probe that took
// longer than reserved is charged the difference.
func (t *TimeBudget) Settle(reserved, took time.Duration) {
	t.level = min(t.level+reserved-took, t.capacity)
}

// Drain empties the bucket and returns its content, to transfer it to another box.
func (t *TimeBudget) Drain(now time.Time) time.Duration {
	t.refill(now)
	drained := max(t.level, 0)
	t.level -= drained
	return drained
}

// Add adds what another box transferred.
func (t *TimeBudget) Add(d time.Duration) { t.level = min(t.level+max(d, 0), t.capacity) }

// Level is the content of the bucket.
func (t *TimeBudget) Level(now time.Time) time.Duration {
	t.refill(now)
	return t.level
}

// RetryBudget limits additional tries to a share of the successes.
type RetryBudget struct {
	perSuccess float64
	capacity   float64
	level      float64
}

// NewRetryBudget returns a budget that gains perSuccess tries for each success, up to
// capacity. It starts full, so that a service with little traffic can retry.
func NewRetryBudget(perSuccess, capacity float64) *RetryBudget {
	return &RetryBudget{perSuccess: perSuccess, capacity: capacity, level: capacity}
}

// Earn records a success.
func (b *RetryBudget) Earn() { b.level = min(b.level+b.perSuccess, b.capacity) }

// Spend takes one try from the budget, or returns false if less than one is left.
func (b *RetryBudget) Spend() bool {
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// Package budget holds the two budgets that keep a failing service from being
// overloaded: Time bounds how much of a target's time probes may take, and Share
// bounds retries and hedges to a share of the successes.
//
// It owns both budgets of one box. Its callers pass the time; it does no I/O and
// reads no clock.
//
// # Usage
//
//	t := budget.NewTime(0.5, 20*time.Millisecond) // 0.5 ms a second
//	if t.Reserve(now, 20*time.Millisecond) {
//		took := probe()
//		t.Settle(20*time.Millisecond, took)
//	}
package budget

import "time"

// Time is a token bucket whose tokens are a target's time. It starts empty, so that
// a box that is replaced repeatedly gains no tokens by it.
type Time struct {
	perSecond time.Duration
	most      time.Duration
	level     time.Duration
	last      time.Time
}

// NewTime returns an empty bucket that is refilled with perSecondMS milliseconds
// each second, up to most.
func NewTime(perSecondMS float64, most time.Duration) *Time {
	return &Time{perSecond: time.Duration(perSecondMS * float64(time.Millisecond)), most: most}
}

// SetRate changes the refill rate and keeps the level.
func (t *Time) SetRate(perSecondMS float64) {
	t.perSecond = time.Duration(perSecondMS * float64(time.Millisecond))
}

func (t *Time) fill(now time.Time) {
	if !t.last.IsZero() {
		earned := time.Duration(now.Sub(t.last).Seconds() * float64(t.perSecond))
		t.level = min(t.level+max(earned, 0), t.most)
	}
	t.last = now
}

// Reserve takes cost, the maximum cost of a probe, from the bucket. It returns false
// and takes nothing if the level is lower.
func (t *Time) Reserve(now time.Time, cost time.Duration) bool {
	t.fill(now)
	if t.level < cost {
		return false
	}
	t.level -= cost
	return true
}

// Settle returns the unused part of a reservation to the bucket. A probe that took
// longer than reserved is charged the difference.
func (t *Time) Settle(reserved, took time.Duration) {
	t.level = min(t.level+reserved-took, t.most)
}

// Take empties the bucket and returns its content, to transfer it to another box.
func (t *Time) Take(now time.Time) time.Duration {
	t.fill(now)
	taken := max(t.level, 0)
	t.level -= taken
	return taken
}

// Add adds what another box transferred.
func (t *Time) Add(d time.Duration) { t.level = min(t.level+max(d, 0), t.most) }

// Level is the content of the bucket.
func (t *Time) Level(now time.Time) time.Duration {
	t.fill(now)
	return t.level
}

// Share limits additional tries to a share of the successes.
type Share struct {
	perSuccess float64
	most       float64
	level      float64
}

// NewShare returns a budget that gains perSuccess tries for each success and holds
// at most most. It starts full, so that a service with little traffic can retry.
func NewShare(perSuccess, most float64) *Share {
	return &Share{perSuccess: perSuccess, most: most, level: most}
}

// Earn records a success.
func (s *Share) Earn() { s.level = min(s.level+s.perSuccess, s.most) }

// Spend takes one try from the budget, or returns false if less than one is left.
func (s *Share) Spend() bool {
	if s.level < 1 {
		return false
	}
	s.level--
	return true
}

// Package budget holds the two budgets that keep a failing service from being
// buried: Time bounds how much of a target's time measuring may take, and Share
// bounds retries and hedges to a part of the successes.
//
// It owns both budgets of one box. It relies on its caller for the time, does no I/O
// and reads no clock.
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

// Time is a bucket of a target's time. It starts empty, so that a box that is
// replaced again and again cannot mint any.
type Time struct {
	perSecond time.Duration
	most      time.Duration
	level     time.Duration
	last      time.Time
}

// NewTime makes a bucket filled with perSecondMS milliseconds each second, up
// to most.
func NewTime(perSecondMS float64, most time.Duration) *Time {
	return &Time{perSecond: time.Duration(perSecondMS * float64(time.Millisecond)), most: most}
}

// SetRate changes the rate; what is in the bucket stays.
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

// Reserve takes the greatest cost that a probe may have, or reports false.
func (t *Time) Reserve(now time.Time, cost time.Duration) bool {
	t.fill(now)
	if t.level < cost {
		return false
	}
	t.level -= cost
	return true
}

// Settle gives back what a probe did not use. A probe that took longer than
// was reserved is charged for it.
func (t *Time) Settle(reserved, took time.Duration) {
	t.level = min(t.level+reserved-took, t.most)
}

// Take empties the bucket, to hand its content to another box.
func (t *Time) Take(now time.Time) time.Duration {
	t.fill(now)
	taken := max(t.level, 0)
	t.level -= taken
	return taken
}

// Add puts in what another box handed over.
func (t *Time) Add(d time.Duration) { t.level = min(t.level+max(d, 0), t.most) }

// Level is what the bucket holds.
func (t *Time) Level(now time.Time) time.Duration {
	t.fill(now)
	return t.level
}

// Share lets extra tries be at most a share of the successes.
type Share struct {
	perSuccess float64
	most       float64
	level      float64
}

// NewShare makes a budget that earns perSuccess tries for each success and
// holds at most most. It starts full, so that a quiet service can retry.
func NewShare(perSuccess, most float64) *Share {
	return &Share{perSuccess: perSuccess, most: most, level: most}
}

// Earn notes a success.
func (s *Share) Earn() { s.level = min(s.level+s.perSuccess, s.most) }

// Spend takes one try, or reports false.
func (s *Share) Spend() bool {
	if s.level < 1 {
		return false
	}
	s.level--
	return true
}

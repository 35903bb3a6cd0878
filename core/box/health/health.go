// Package health tracks the health of one target by the durations and outcomes
// of its requests. It reads no clock and does no I/O: callers pass the time.
//
// A cold target ramps up from one slot. A fast failure never counts as a fast
// answer. Consecutive failures eject the target for an increasing time, after
// which one trial request decides. A target that is much slower than expected is
// suspect and limited to one slot.
//
// It owns the state of one target as one home observes it. It relies on the outcomes
// that boxes report.
//
// # Usage
//
//	tracker := health.New(3)
//	tracker.Observe(now, health.OK, 40*time.Millisecond, 50*time.Millisecond)
//	free := tracker.Limit(now) - inFlight
package health

import (
	"time"

	"github.com/sprucecrank/sprucecrank/core/backoff"
)

// Result is how a request at a target ended.
type Result string

// The results that a box reports with a returned slot.
const (
	// OK is a complete answer.
	OK Result = "ok"
	// Failed is an answer that reports a failure of the target, or a truncated one.
	Failed Result = "failed"
	// Shed is a refusal by the target because of its load.
	Shed Result = "shed"
	// Unreachable is a failure to connect.
	Unreachable Result = "unreachable"
	// Cancelled is a request that the box cancelled; it says little about the target.
	Cancelled Result = "cancelled"
	// Unused is a slot that was released without a request.
	Unused Result = "unused"
)

const (
	failureThreshold = 3
	minEjection      = 100 * time.Millisecond
	maxEjection      = 5 * time.Second
	shedPause        = 20 * time.Millisecond
	smoothingFactor  = 0.3
	suspectRatio     = 4.0
	suspectDuration  = 500 * time.Millisecond
)

// Tracker holds the health of one target.
type Tracker struct {
	slots         int
	ramp          int // slots allowed so far; grows with each complete answer
	failures      int // consecutive
	ejectedUntil  time.Time
	ejectedFor    time.Duration
	connectFailed bool // the last connection attempt failed
	shedUntil     time.Time
	backOff       backoff.Window
	ratio         float64 // smoothed ratio of the measured to the expected duration
	lastSlow      time.Time
}

// New returns the tracker of a cold target.
func New(slots int) *Tracker { return &Tracker{slots: slots, ramp: 1, ratio: 1} }

// SetSlots changes how many slots the target has.
func (t *Tracker) SetSlots(slots int) { t.slots = slots }

// Restart resets the state, because a restarted target is cold.
func (t *Tracker) Restart() { *t = *New(t.slots) }

// Observe records the result and the duration of a request. expected is the
// expected duration of its kind, 0 when unknown.
func (t *Tracker) Observe(now time.Time, r Result, took, expected time.Duration) {
	switch r {
	case OK:
		t.recordSuccess(now, took, expected)
	case Failed, Unreachable:
		t.recordFailure(now, r)
	case Shed:
		t.shedUntil = now.Add(shedPause)
	case Cancelled:
		if expected > 0 && took > expected {
			t.updateRatio(now, took, expected)
		}
	}
}

func (t *Tracker) recordSuccess(now time.Time, took, expected time.Duration) {
	t.failures = 0
	t.connectFailed = false
	t.ejectedFor = 0
	t.ejectedUntil = time.Time{}
	t.ramp = min(t.ramp+1, t.slots)
	t.updateRatio(now, took, expected)
}

func (t *Tracker) updateRatio(now time.Time, took, expected time.Duration) {
	if expected <= 0 {
		return
	}
	t.ratio += smoothingFactor * (float64(took)/float64(expected) - t.ratio)
	if t.ratio > suspectRatio {
		t.lastSlow = now
	}
}

func (t *Tracker) recordFailure(now time.Time, r Result) {
	t.failures++
	t.connectFailed = r == Unreachable
	if r != Unreachable && t.failures < failureThreshold {
		return
	}
	t.ejectedFor = min(max(2*t.ejectedFor, minEjection), maxEjection)
	t.ejectedUntil = now.Add(t.ejectedFor)
	t.ramp = 1
}

// BackOff records a back-off of d that the target advertised; 0 for none.
func (t *Tracker) BackOff(now time.Time, d time.Duration) { t.backOff.Extend(now, d) }

// BacksOff reports whether an advertised back-off of the target is in effect.
func (t *Tracker) BacksOff(now time.Time) bool { return t.backOff.Remaining(now) > 0 }

// Ejected reports whether the target is currently ejected.
func (t *Tracker) Ejected(now time.Time) bool { return now.Before(t.ejectedUntil) }

// Unreachable reports whether the target is ejected because no connection could
// be made. Unlike a failed answer, the request cannot be the cause of that.
func (t *Tracker) Unreachable(now time.Time) bool { return t.connectFailed && t.Ejected(now) }

// EjectedUntil is when the ejection ends; zero if the last request succeeded or
// the target was never ejected.
func (t *Tracker) EjectedUntil() time.Time { return t.ejectedUntil }

// Suspect reports whether the target has recently been much slower than expected.
func (t *Tracker) Suspect(now time.Time) bool {
	return t.ratio > suspectRatio && now.Sub(t.lastSlow) < suspectDuration
}

// Ratio is the smoothed ratio of the measured to the expected duration.
func (t *Tracker) Ratio() float64 { return t.ratio }

// Limit is how many requests may currently be in flight at the target.
func (t *Tracker) Limit(now time.Time) int {
	switch {
	case t.Ejected(now), now.Before(t.shedUntil), t.BacksOff(now):
		return 0
	case t.failures >= failureThreshold, t.Suspect(now):
		return 1
	default:
		return min(t.ramp, t.slots)
	}
}

// Package health judges one target from the durations and outcomes of its
// requests. It reads no clock and does no I/O: time comes in as an argument.
//
// A cold target ramps up from one slot. A quick failure never counts as a quick
// answer. Failures in a row eject the target for a growing time, after
// which one trial request decides. A target that is much slower than usual is
// suspect and is trusted with one slot.
//
// It owns the state of one target as one home sees it. It relies on the outcomes that
// boxes report.
//
// # Usage
//
//	tracker := health.New(3)
//	tracker.Observe(now, health.OK, 40*time.Millisecond, 50*time.Millisecond)
//	free := tracker.Limit(now) - promised
package health

import (
	"time"

	"github.com/sprucecrank/sprucecrank/core/backoff"
)

// Result is how a request at a target ended.
type Result string

// The results that a box reports with a returned slot.
const (
	// OK is a whole answer.
	OK Result = "ok"
	// Failed is an answer that says that the target failed, or a cut one.
	Failed Result = "failed"
	// Shed is a target's own refusal for load.
	Shed Result = "shed"
	// Unreachable is a failure to connect.
	Unreachable Result = "unreachable"
	// Cancelled is a request that the box gave up; it says little of the target.
	Cancelled Result = "cancelled"
	// Unused is a slot that was returned without a request.
	Unused Result = "unused"
)

const (
	failuresInRow   = 3
	firstEjection   = 100 * time.Millisecond
	longestEjection = 5 * time.Second
	shedPause       = 20 * time.Millisecond
	smoothing       = 0.3
	suspectRatio    = 4.0
	suspectForgives = 500 * time.Millisecond
)

// Tracker holds what is known of one target.
type Tracker struct {
	slots        int
	ramp         int // slots trusted so far; grows with each whole answer
	failures     int // in a row
	ejectedUntil time.Time
	ejectedFor   time.Duration
	unreached    bool // no connection could be made the last time
	shedUntil    time.Time
	backOff      backoff.Window
	ratio        float64 // smoothed duration over the usual duration
	slowAt       time.Time
}

// New makes the tracker of a cold target.
func New(slots int) *Tracker { return &Tracker{slots: slots, ramp: 1, ratio: 1} }

// SetSlots changes how many slots the target has.
func (t *Tracker) SetSlots(slots int) { t.slots = slots }

// Restart forgets everything: the target has begun anew and is cold.
func (t *Tracker) Restart() { *t = *New(t.slots) }

// Observe takes in the end of a request that took took, where usual is the
// usual duration of its kind.
func (t *Tracker) Observe(now time.Time, r Result, took, usual time.Duration) {
	switch r {
	case OK:
		t.succeed(now, took, usual)
	case Failed, Unreachable:
		t.fail(now, r)
	case Shed:
		t.shedUntil = now.Add(shedPause)
	case Cancelled:
		if usual > 0 && took > usual {
			t.smooth(now, took, usual)
		}
	}
}

func (t *Tracker) succeed(now time.Time, took, usual time.Duration) {
	t.failures = 0
	t.unreached = false
	t.ejectedFor = 0
	t.ejectedUntil = time.Time{}
	t.ramp = min(t.ramp+1, t.slots)
	t.smooth(now, took, usual)
}

func (t *Tracker) smooth(now time.Time, took, usual time.Duration) {
	if usual <= 0 {
		return
	}
	t.ratio += smoothing * (float64(took)/float64(usual) - t.ratio)
	if t.ratio > suspectRatio {
		t.slowAt = now
	}
}

func (t *Tracker) fail(now time.Time, r Result) {
	t.failures++
	t.unreached = r == Unreachable
	if r != Unreachable && t.failures < failuresInRow {
		return
	}
	t.ejectedFor = min(max(2*t.ejectedFor, firstEjection), longestEjection)
	t.ejectedUntil = now.Add(t.ejectedFor)
	t.ramp = 1
}

// BackOff notes that the target asks to be sent nothing for a time; 0 for not.
func (t *Tracker) BackOff(now time.Time, d time.Duration) { t.backOff.Extend(now, d) }

// BacksOff says whether the target has asked to be sent nothing now.
func (t *Tracker) BacksOff(now time.Time) bool { return t.backOff.Remaining(now) > 0 }

// Ejected says whether the target is ejected now.
func (t *Tracker) Ejected(now time.Time) bool { return now.Before(t.ejectedUntil) }

// Unreachable says whether the target is ejected because no connection could
// be made. Unlike a failed answer, that cannot be the request's own fault.
func (t *Tracker) Unreachable(now time.Time) bool { return t.unreached && t.Ejected(now) }

// EjectedUntil is when the target may be tried again; zero when not ejected.
func (t *Tracker) EjectedUntil() time.Time { return t.ejectedUntil }

// Suspect says whether the target has lately been much slower than usual.
func (t *Tracker) Suspect(now time.Time) bool {
	return t.ratio > suspectRatio && now.Sub(t.slowAt) < suspectForgives
}

// Ratio is the smoothed duration over the usual one; 1 is usual.
func (t *Tracker) Ratio() float64 { return t.ratio }

// Limit is how many requests the target may be trusted with now.
func (t *Tracker) Limit(now time.Time) int {
	switch {
	case t.Ejected(now), now.Before(t.shedUntil), t.BacksOff(now):
		return 0
	case t.failures >= failuresInRow, t.Suspect(now):
		return 1
	default:
		return min(t.ramp, t.slots)
	}
}

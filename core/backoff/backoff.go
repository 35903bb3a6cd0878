// Package backoff decides for how long a target is sent nothing because it asked for
// back-off: neither requests nor probes, even if no other target is left. That
// distinguishes it from an ejection, which depends on failures and may be overridden.
//
// A Window is the back-off of one target, a Tracker holds those of many, by a key that
// identifies one incarnation of a target: a target that restarts has not asked for
// back-off. The package does no I/O and reads no clock.
//
// # Usage
//
//	tracker := backoff.New[catalog.Life]()
//	tracker.Extend(now, target.Life(), 3*time.Second)
//	if left := tracker.Remaining(now, target.Life()); left > 0 {
//		// send to another target
//	}
package backoff

import "time"

// maxFullDuration is the longest back-off that is always applied in full.
const maxFullDuration = time.Hour

// effectiveDuration returns for how long a target that asks for d is sent nothing. A very
// long back-off is halved, because it may be a mistake: a single request then finds out,
// and no second one is sent before d has passed.
func effectiveDuration(d time.Duration) time.Duration { return min(d, max(maxFullDuration, d/2)) }

// Window is the back-off of one target; the zero value means none.
type Window struct{ until time.Time }

// Extend applies a target's request for back-off, and reports whether it starts a new
// one. An earlier back-off that ends later stays in effect, because both were asked for.
func (window *Window) Extend(now time.Time, d time.Duration) (begins bool) {
	if d <= 0 {
		return false
	}
	begins = window.Remaining(now) == 0
	if until := now.Add(effectiveDuration(d)); until.After(window.until) {
		window.until = until
	}
	return begins
}

// Remaining returns for how much longer the target is sent nothing; 0 if it may be sent
// to.
func (window Window) Remaining(now time.Time) time.Duration { return max(window.until.Sub(now), 0) }

// Tracker holds the back-offs of targets by their keys. It is not safe for concurrent use.
type Tracker[K comparable] struct {
	windows map[K]Window
}

// New returns a tracker without back-offs.
func New[K comparable]() *Tracker[K] { return &Tracker[K]{windows: map[K]Window{}} }

// Extend applies a target's request for back-off, and reports whether it starts a new
// one.
func (t *Tracker[K]) Extend(now time.Time, key K, d time.Duration) (begins bool) {
	if d <= 0 {
		return false
	}
	window := t.windows[key]
	begins = window.Extend(now, d)
	t.windows[key] = window
	return begins
}

// Remaining returns for how much longer a target is sent nothing; 0 if it may be sent to.
func (t *Tracker[K]) Remaining(now time.Time, key K) time.Duration {
	return t.windows[key].Remaining(now)
}

// Active returns the targets that are sent nothing and for how much longer, and deletes
// the back-offs that have ended.
func (t *Tracker[K]) Active(now time.Time) map[K]time.Duration {
	all := make(map[K]time.Duration, len(t.windows))
	for key, window := range t.windows {
		left := window.Remaining(now)
		if left == 0 {
			delete(t.windows, key)
			continue
		}
		all[key] = left
	}
	return all
}

// Len returns the number of back-offs held, including those that have ended since the
// last call of Active.
func (t *Tracker[K]) Len() int { return len(t.windows) }

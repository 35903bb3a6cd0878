// Package backoff decides for how long a target is sent nothing since it asked for back-off: neither
// requests nor probes, also where no other target is left. That sets it apart from an ejection, which
// goes by failures and may be overruled.
//
// A Window is the back-off of one target, a Tracker holds those of many by a key that names one start
// of a target: one that starts again has asked for nothing. The package does no I/O and reads no clock.
//
// # Usage
//
//	tracker := backoff.New[catalog.Life]()
//	tracker.Ask(now, target.Life(), 3*time.Second)
//	if left := tracker.Left(now, target.Life()); left > 0 {
//		// send to another target
//	}
package backoff

import "time"

// wholeFor is the longest time that is held as it was asked for.
const wholeFor = time.Hour

// hold is for how long a target that asks for d is sent nothing. Half of a very long time is, since it
// may be asked for by mistake: one request finds out, and no more than one before d is over.
func hold(d time.Duration) time.Duration { return min(d, max(wholeFor, d/2)) }

// Window is the back-off of one target; the zero value is none.
type Window struct{ until time.Time }

// Ask takes in that the target asks for back-off, and says whether it begins one that was not under
// way. An earlier one that ends later holds: both were asked for.
func (w *Window) Ask(now time.Time, d time.Duration) (begins bool) {
	if d <= 0 {
		return false
	}
	begins = w.Left(now) == 0
	if until := now.Add(hold(d)); until.After(w.until) {
		w.until = until
	}
	return begins
}

// Left is for how much longer the target is sent nothing; 0 if it may be sent to.
func (w Window) Left(now time.Time) time.Duration { return max(w.until.Sub(now), 0) }

// Tracker holds the back-offs of targets by their keys. It is not safe for concurrent use.
type Tracker[K comparable] struct {
	windows map[K]Window
}

// New makes a tracker of no back-offs.
func New[K comparable]() *Tracker[K] { return &Tracker[K]{windows: map[K]Window{}} }

// Ask takes in that a target asks for back-off, and says whether it begins one that was not under way.
func (t *Tracker[K]) Ask(now time.Time, key K, d time.Duration) (begins bool) {
	if d <= 0 {
		return false
	}
	w := t.windows[key]
	begins = w.Ask(now, d)
	t.windows[key] = w
	return begins
}

// Left is for how much longer a target is sent nothing; 0 if it may be sent to.
func (t *Tracker[K]) Left(now time.Time, key K) time.Duration { return t.windows[key].Left(now) }

// All lists the targets that are sent nothing and for how much longer, and forgets those whose
// back-offs have ended.
func (t *Tracker[K]) All(now time.Time) map[K]time.Duration {
	all := make(map[K]time.Duration, len(t.windows))
	for key, w := range t.windows {
		left := w.Left(now)
		if left == 0 {
			delete(t.windows, key)
			continue
		}
		all[key] = left
	}
	return all
}

// Len is how many back-offs are remembered, those among them that have ended since the last look
// at all.
func (t *Tracker[K]) Len() int { return len(t.windows) }

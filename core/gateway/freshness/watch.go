package freshness

import "time"

// Watch is how one watch of the store stands.
type Watch struct {
	// began is when the call under way began; zero when there is none.
	began time.Time
	// answered is when the latest call that succeeded ended.
	answered time.Time
	failing  bool
	// confirmed is the latest moment up to which nothing was missed; it is kept
	// when the watch rests.
	confirmed time.Time
}

// Begin notes that a call begins.
func (w *Watch) Begin(now time.Time) { w.began = now }

// End notes that the call under way has ended, whatever came of it.
func (w *Watch) End() { w.began = time.Time{} }

// SetFailing notes whether the latest call failed and says whether that is new.
func (w *Watch) SetFailing(failing bool) (changed bool) {
	changed = failing != w.failing
	w.failing = failing
	return changed
}

// Failing says whether the latest call failed.
func (w *Watch) Failing() bool { return w.failing }

// InStep says whether the latest call was answered, so that the next one can wait
// for changes; the first, and one after a failure, should confirm at once.
func (w *Watch) InStep() bool { return !w.answered.IsZero() && !w.failing }

// Rest notes that the gateway no longer makes the calls of the watch.
func (w *Watch) Rest() { *w = Watch{confirmed: w.confirmed} }

// pinged notes that a ping that began at a moment reached the store.
func (w *Watch) pinged(at time.Time, t Timing) {
	waiting := !w.failing && !w.began.IsZero() && w.began.Before(at)
	if waiting && w.live(at, t) && at.After(w.confirmed) {
		w.confirmed = at
	}
}

// live says whether the watch would report a change at once.
func (w *Watch) live(now time.Time, t Timing) bool {
	if !w.InStep() {
		return false
	}
	if w.began.IsZero() {
		return now.Sub(w.answered) < t.WatchSlack
	}
	return now.Sub(w.began) < t.Watch+t.WatchSlack
}

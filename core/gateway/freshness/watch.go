package freshness

import "time"

// Watch is the state of one watch of the store.
type Watch struct {
	// startedAt is when the call in progress started; zero if there is none.
	startedAt time.Time
	// answered is when the latest call that succeeded ended.
	answered time.Time
	failing  bool
	// confirmed is the latest time up to which no change was missed; it is kept when the
	// watch stops.
	confirmed time.Time
}

// Begin records that a call starts.
func (w *Watch) Begin(now time.Time) { w.startedAt = now }

// End records that the call in progress ended, with or without success.
func (w *Watch) End() { w.startedAt = time.Time{} }

// SetFailing records whether the latest call failed and reports whether that changed.
func (w *Watch) SetFailing(failing bool) (changed bool) {
	changed = failing != w.failing
	w.failing = failing
	return changed
}

// Failing reports whether the latest call failed.
func (w *Watch) Failing() bool { return w.failing }

// Synced reports whether the latest call was answered, so that the next one can wait for
// changes; the first call, and one after a failure, should confirm the state at once.
func (w *Watch) Synced() bool { return !w.answered.IsZero() && !w.failing }

// Stop records that the gateway no longer makes the calls of the watch.
func (w *Watch) Stop() { *w = Watch{confirmed: w.confirmed} }

// confirmByPing records that a ping sent at the given time reached the store.
func (w *Watch) confirmByPing(at time.Time, t Timing) {
	waiting := !w.failing && !w.startedAt.IsZero() && w.startedAt.Before(at)
	if waiting && w.isLive(at, t) && at.After(w.confirmed) {
		w.confirmed = at
	}
}

// isLive reports whether the watch would report a change at once.
func (w *Watch) isLive(now time.Time, t Timing) bool {
	if !w.Synced() {
		return false
	}
	if w.startedAt.IsZero() {
		return now.Sub(w.answered) < t.WatchSlack
	}
	return now.Sub(w.startedAt) < t.Watch+t.WatchSlack
}

package discovery

import "time"

// reading is how one of the watches stands; the follower's lock guards it.
type reading struct {
	// began is when the call under way began; zero when there is none.
	began time.Time
	// answered is when the latest call that succeeded ended.
	answered time.Time
	broken   bool
	// confirmed is the latest moment up to which nothing was missed; it is kept
	// when the watch rests.
	confirmed time.Time
}

// pinged notes that the store was reached by a ping that began at a moment: a
// watch that waited then had nothing to tell.
func (r *reading) pinged(at time.Time, t Timing) {
	waiting := !r.broken && !r.began.IsZero() && r.began.Before(at)
	if waiting && r.live(at, t) && at.After(r.confirmed) {
		r.confirmed = at
	}
}

// live says whether the watch would tell of a change at once.
func (r *reading) live(now time.Time, t Timing) bool {
	if r.answered.IsZero() || r.broken {
		return false
	}
	if r.began.IsZero() {
		return now.Sub(r.answered) < t.WatchSlack
	}
	return now.Sub(r.began) < t.Watch+t.WatchSlack
}

// Package backoff decides for how long a target is sent nothing since it asked this gateway for
// back-off: neither requests nor probes, also where no other target is left. That sets it apart
// from core/gateway/ejection, which goes by failures and may be overruled.
//
// It owns these times, for the targets of all services. A back-off belongs to one start of a target:
// one that starts again has asked for nothing. It does no I/O and reads no clock.
//
// # Usage
//
//	tracker := backoff.New()
//	tracker.Ask(now, target.Life(), 3*time.Second)
//	if left := tracker.Left(now, target.Life()); left > 0 {
//		// send to another target
//	}
package backoff

import (
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
)

// longest bounds a back-off: a target that asks for more is sent a request so often, by which it
// may ask again.
const longest = time.Hour

// Tracker holds the back-offs of targets. It is not safe for concurrent use.
type Tracker struct {
	until map[catalog.Life]time.Time
}

// New makes a tracker of no back-offs.
func New() *Tracker { return &Tracker{until: map[catalog.Life]time.Time{}} }

// Ask takes in that a target asks for back-off, and says whether it begins one that was not under
// way. An earlier one that ends later holds: both were asked for.
func (t *Tracker) Ask(now time.Time, life catalog.Life, d time.Duration) (begins bool) {
	if d <= 0 {
		return false
	}
	begins = t.Left(now, life) == 0
	if until := now.Add(min(d, longest)); until.After(t.until[life]) {
		t.until[life] = until
	}
	return begins
}

// Left is for how much longer a target is sent nothing; 0 if it may be sent to.
func (t *Tracker) Left(now time.Time, life catalog.Life) time.Duration {
	return max(t.until[life].Sub(now), 0)
}

// All lists the targets that are sent nothing and for how much longer, and forgets those whose
// back-offs have ended.
func (t *Tracker) All(now time.Time) map[catalog.Life]time.Duration {
	all := make(map[catalog.Life]time.Duration, len(t.until))
	for life, until := range t.until {
		if !now.Before(until) {
			delete(t.until, life)
			continue
		}
		all[life] = until.Sub(now)
	}
	return all
}

// Len is how many back-offs are remembered, those among them that have ended since the last look
// at all.
func (t *Tracker) Len() int { return len(t.until) }

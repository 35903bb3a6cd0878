package freshness

import "time"

// Entries of targets lapse in the store while nobody can renew them there. After
// an outage they are made again within a known time; a list that is read sooner
// lacks targets that are alive and well.

// NoteFailed notes that a call to the store, of whomever, had failed at a moment.
func (t *Tracker) NoteFailed(at time.Time) { t.failed = latest(t.failed, at) }

// IsOutage says whether calls failed, and nobody confirmed what is believed, for so
// long that entries of targets may have lapsed. knowsTargets says whether any were
// known: without, there is nothing to lose. Others' failures count as well as own: few
// gateways call a store that is away.
func (t *Tracker) IsOutage(now time.Time, knowsTargets bool) bool {
	failing := t.Failing() || t.failed.After(t.confirmed)
	return failing && t.Confirmed() && knowsTargets && t.Age(now) > t.timing.Outage
}

// NoteAway notes that a call failed: the return that an outage waits for is still
// to come.
func (t *Tracker) NoteAway(now time.Time, knowsTargets bool) {
	if t.IsOutage(now, knowsTargets) {
		t.returned = time.Time{}
	}
}

// NoteReturn notes that the store answered and says whether that was its return
// from an outage. It goes before what the answer confirms.
func (t *Tracker) NoteReturn(now time.Time, knowsTargets bool) (returned bool) {
	if !t.IsOutage(now, knowsTargets) || t.returned.After(t.confirmed) {
		return false
	}
	t.returned = now
	return true
}

// UntilRestored is how long the targets should not be read, by how long after the
// store's return from an outage (delay) their entries are there again; 0 or less
// if they can be read.
func (t *Tracker) UntilRestored(now time.Time, delay time.Duration) time.Duration {
	if t.returned.IsZero() {
		return 0
	}
	return t.returned.Add(delay).Sub(now)
}

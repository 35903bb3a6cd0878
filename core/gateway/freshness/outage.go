package freshness

import "time"

// Entries of targets expire in the store while they cannot be renewed there. After an
// outage they are created again within a known time; a list that is read sooner lacks
// targets that are running and healthy.

// RecordFailure records that a call to the store, made by any gateway, failed at the
// given time.
func (t *Tracker) RecordFailure(at time.Time) { t.failedAt = latest(t.failedAt, at) }

// IsOutage reports whether calls failed, and the known state was not confirmed, for so
// long that entries of targets may have expired. knowsTargets says whether any targets
// were known; without any, there is nothing to lose. Failures of other gateways count
// like this gateway's own, because only a few gateways call an unreachable store.
func (t *Tracker) IsOutage(now time.Time, knowsTargets bool) bool {
	failing := t.Failing() || t.failedAt.After(t.confirmed)
	return failing && t.Confirmed() && knowsTargets && t.Age(now) > t.timing.Outage
}

// RecordUnavailable records that a call failed: the store has not yet returned from the
// outage, if there is one.
func (t *Tracker) RecordUnavailable(now time.Time, knowsTargets bool) {
	if t.IsOutage(now, knowsTargets) {
		t.returnedAt = time.Time{}
	}
}

// RecordReturn records that the store answered and reports whether that was its return
// from an outage. It must be called before the answer is recorded as a confirmation.
func (t *Tracker) RecordReturn(now time.Time, knowsTargets bool) (returned bool) {
	if !t.IsOutage(now, knowsTargets) || t.returnedAt.After(t.confirmed) {
		return false
	}
	t.returnedAt = now
	return true
}

// UntilRestored returns for how long the targets should not be read yet, given the delay
// after the store's return from an outage until their entries exist again; 0 or less if
// they can be read.
func (t *Tracker) UntilRestored(now time.Time, delay time.Duration) time.Duration {
	if t.returnedAt.IsZero() {
		return 0
	}
	return t.returnedAt.Add(delay).Sub(now)
}

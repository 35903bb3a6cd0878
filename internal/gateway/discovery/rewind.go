package discovery

import (
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
)

// A store may be restored from a copy that is some seconds old: it lacks what was written
// since, and contains again what had been deleted. Its operator and the targets write their
// objects again. Until they have, the store's updates are applied only to objects that are
// already known (core/gateway/catalog); after that, everything is read again.

// rereadFactor is by how much longer than the time after which entries of running targets
// are there again (restore_within_s) the second read waits, so that entries of targets that
// are gone, which nobody renews, expire first. Targets renew their entries about three
// times before they would expire, and write lost ones again within one or two renewal
// intervals.
const rereadFactor = 2.5

// rereads holds when each kind must be read in full again; zero for never.
type rereads struct {
	targets, evacuations, rollouts time.Time
}

// noteEpoch records, and logs, that the position of some kind belongs to a later epoch of
// the store than it did before; the lock is held.
func (f *Follower) noteEpoch(now time.Time, before catalog.Position) {
	after := f.catalog.Position()
	due := now.Add(time.Duration(rereadFactor * float64(f.options.Timing.RestoreWithin)))
	rewound := false
	for _, kind := range []struct {
		due           *time.Time
		before, after uint64
	}{
		{&f.rereads.targets, before.Targets, after.Targets},
		{&f.rereads.evacuations, before.Evacuations, after.Evacuations},
		{&f.rereads.rollouts, before.Rollouts, after.Rollouts},
	} {
		if kind.before > 0 && catalog.StoreLife(kind.after) > catalog.StoreLife(kind.before) {
			*kind.due, rewound = due, true
		}
	}
	if rewound {
		f.options.Log.Warn("store came back from an older copy", "life", catalog.StoreLife(max(after.Targets, after.Evacuations, after.Rollouts)), "read_again_in_s", due.Sub(now).Seconds())
	}
}

// mustReread reports whether it is time to read a kind in full again; the caller must then
// do so, since the due time is cleared.
func (f *Follower) mustReread(due *time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if due.IsZero() || f.options.Clock().Before(*due) {
		return false
	}
	*due = time.Time{}
	return true
}

package discovery

import (
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
)

// A store may come back from a copy that is some seconds old: it lacks what was written
// since, and has back what had gone. What its operator and the targets wrote they write
// again; until they have, its updates are taken for those that are known and no others
// (core/gateway/catalog), and then all is read again.

// rereadFactor is by how much longer than the time after which entries of live targets are
// there again (restore_within_s) the second reading waits: entries of targets that are gone,
// which nobody renews, lapse meanwhile. Targets renew theirs some three times before
// they lapse, and make them again within one or two.
const rereadFactor = 2.5

// rereads are when each kind must be read whole again; zero for never.
type rereads struct {
	targets, evacuations, rollouts time.Time
}

// noteEpoch notes, and logs, that something is known of a later life of the store than it was
// at a position; the lock is held.
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

// mustReread says whether it is time to read a kind whole again, and takes it that this is
// done now.
func (f *Follower) mustReread(due *time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if due.IsZero() || f.options.Clock().Before(*due) {
		return false
	}
	*due = time.Time{}
	return true
}

package discovery

import (
	"errors"
	"time"
)

// errRestoring says that targets were read too soon after an outage of the
// store: entries that lapsed meanwhile are being made again.
var errRestoring = errors.New("the entries of targets are being restored after an outage of the store")

// followersWait is how much longer gateways wait that are not the first to read.
const followersWait = 500 * time.Millisecond

// isOutage says whether this gateway's calls failed, and nobody confirmed what is
// believed, for so long that entries of targets may have lapsed for want of a
// store to renew them in; the lock is held.
func (f *Follower) isOutage(now time.Time) bool {
	failing := f.config.broken || f.targets.broken
	return failing && !f.confirmed.IsZero() && f.catalog.Position().Targets > 0 && f.age(now) > f.options.Timing.OutageAfter
}

// noteReturn notes the first answer of the store after an outage; the lock is
// held.
func (f *Follower) noteReturn(now time.Time) {
	if !f.isOutage(now) || f.returned.After(f.confirmed) {
		return
	}
	f.returned = now
	f.options.Log.Info("store back after an outage", "away_s", f.age(now).Seconds(), "targets_read_in_s", f.restoreTime(now).Seconds())
}

// isRestoring notes the store's return, if this is it, and says whether entries
// of targets are still being restored.
func (f *Follower) isRestoring() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Clock()
	f.noteReturn(now)
	return f.isRestoringAt(now)
}

func (f *Follower) isRestoringAt(now time.Time) bool {
	return !f.returned.IsZero() && now.Before(f.returned.Add(f.restoreTime(now)))
}

// untilRestored is how long the targets should not be read; the lock is held.
// While the configuration can't be read either, they are not asked for.
func (f *Follower) untilRestored(now time.Time) time.Duration {
	if f.isRestoringAt(now) {
		return f.returned.Add(f.restoreTime(now)).Sub(now)
	}
	if f.config.broken {
		return mostLook
	}
	return 0
}

// restoreTime is how long after the store's return this gateway reads the
// targets; the lock is held.
func (f *Follower) restoreTime(now time.Time) time.Duration {
	if f.rank(now) < readers {
		return f.options.Timing.Restore
	}
	return f.options.Timing.Restore + followersWait
}

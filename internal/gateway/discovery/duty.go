package discovery

import "time"

const (
	// readers is how many gateways of the whole fleet read the store, and
	// standbys how many are the first to do so when these fall silent.
	readers  = 1
	standbys = 2
	// dutyReader names the duty of reading the store.
	dutyReader = "reader"
	// settleAfter is how long a gateway that has just begun looks for others
	// before it believes that the reading falls to it. Unless the whole fleet is
	// new, one that knows nothing reads at once: clients are waiting.
	settleAfter = 400 * time.Millisecond
	// firstSettle is that time where the whole fleet is new: no client is waiting.
	firstSettle   = 1200 * time.Millisecond
	mostRankDelay = 300 * time.Millisecond
	rankDelay     = 30 * time.Millisecond
)

// untilRead is how long this gateway need not make a call of a reading, as
// things stand: not at all if it is one of the readers, or has heard no fresh
// news for too long.
func (f *Follower) untilRead(r *reading) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Clock()
	wait := f.untilDuty(now)
	f.noteDuty(wait <= 0)
	if wait > 0 {
		*r = reading{confirmed: r.confirmed}
		return wait
	}
	if r == &f.targets {
		return f.untilRestored(now)
	}
	return 0
}

// noteDuty logs that the reading falls to this gateway from now on, or no longer;
// the lock is held.
func (f *Follower) noteDuty(reads bool) {
	if reads == f.reads {
		return
	}
	f.reads = reads
	f.options.Log.Info("reading the store", "reads", reads, "rank", f.rank(f.options.Clock()), "age_s", f.loggedAge())
}

// untilDuty is how long the reading does not fall to this gateway; the lock is
// held.
func (f *Follower) untilDuty(now time.Time) time.Duration {
	position := f.catalog.Position()
	knows := position.ConfigRevision > 0 && position.Targets > 0
	if left := f.settleTime() - now.Sub(f.started); left > 0 && (knows || f.options.FirstStart) {
		return left
	}
	rank := f.rank(now)
	if !knows && !f.options.FirstStart || rank < readers {
		return 0
	}
	silent := f.options.Timing.AloneAfter + min(time.Duration(rank)*rankDelay, mostRankDelay)
	if rank < readers+standbys {
		silent = f.options.Timing.SilentAfter
	}
	if f.reads {
		// What this gateway reads itself is no reason to stop.
		return silent - now.Sub(f.outranked)
	}
	if f.options.FirstStart && f.confirmed.IsZero() {
		return silent + f.settleTime() - now.Sub(f.started)
	}
	return silent - f.age(now)
}

// settleTime is how long a gateway that has just begun looks for others.
func (f *Follower) settleTime() time.Duration {
	if f.options.FirstStart {
		return firstSettle
	}
	return settleAfter
}

// ranksBefore says whether another gateway is to read the store rather than this
// one; the lock is held.
func (f *Follower) ranksBefore(now time.Time, id string) bool {
	for _, box := range f.members.Ranked(now, dutyReader, allRanked) {
		switch box.ID {
		case id:
			return id != f.options.Self.ID
		case f.options.Self.ID:
			return false
		}
	}
	return false
}

// rank is this gateway's place in the order of readers; the lock is held.
func (f *Follower) rank(now time.Time) int {
	for i, box := range f.members.Ranked(now, dutyReader, allRanked) {
		if box.ID == f.options.Self.ID {
			return i
		}
	}
	return allRanked
}

// allRanked asks for the whole order of a duty.
const allRanked = 1 << 20

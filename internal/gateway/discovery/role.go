package discovery

import (
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/reader"
	"github.com/sprucecrank/sprucecrank/core/member"
)

// allRanked asks for the whole order of a role, and is the rank of a gateway that
// is not in it.
const allRanked = 1 << 20

// takeRole works out whether the reading of the store falls to this gateway,
// takes it up or lays it down, and returns how long no call of a watch need be
// made; 0 or less if one should be made now.
func (f *Follower) takeRole(w *watch) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Clock()
	wait := f.untilReading(now)
	f.setReads(wait <= 0)
	if wait > 0 {
		w.state.Rest()
		return wait
	}
	return w.until(now)
}

// setReads notes whether the reading falls to this gateway and logs a change; the
// lock is held.
func (f *Follower) setReads(reads bool) {
	if reads == f.reads {
		return
	}
	f.reads = reads
	f.options.Log.Info("reading the store", "reads", reads, "rank", f.rank(f.options.Clock()), "age_s", f.loggedAge())
}

// untilReading is how long the reading does not fall to this gateway; the lock is
// held.
func (f *Follower) untilReading(now time.Time) time.Duration {
	position := f.catalog.Position()
	return reader.Until(reader.State{
		Rank: f.rank(now), FirstStart: f.options.FirstStart, Running: now.Sub(f.started),
		Knows: position.ConfigRevision > 0 && position.Targets > 0, Confirmed: f.fresh.Confirmed(), Age: f.fresh.Age(now),
		Reads: f.reads, OutrankedAge: f.fresh.OutrankedAge(now),
	}, reader.Timing{Standby: f.options.Timing.SilentAfter, Alone: f.options.Timing.AloneAfter})
}

// isSettling says whether this gateway has just begun and still looks for others.
func (f *Follower) isSettling(now time.Time) bool {
	return now.Sub(f.started) < reader.SettleTime(f.options.FirstStart)
}

// ranked lists the usable gateways in the order of readers; the lock is held.
func (f *Follower) ranked(now time.Time) []member.Box {
	return f.members.Ranked(now, reader.Role, allRanked)
}

// rank is this gateway's place in the order of readers; the lock is held.
func (f *Follower) rank(now time.Time) int {
	for i, box := range f.ranked(now) {
		if box.ID == f.options.Self.ID {
			return i
		}
	}
	return allRanked
}

// ranksBefore says whether another gateway is to read the store rather than this
// one; the lock is held.
func (f *Follower) ranksBefore(now time.Time, id string) bool {
	for _, box := range f.ranked(now) {
		switch box.ID {
		case f.options.Self.ID:
			return false
		case id:
			return true
		}
	}
	return false
}

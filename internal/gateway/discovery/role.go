package discovery

import (
	"slices"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/reader"
)

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
	if !reads {
		f.draw = f.options.Draw()
	}
	f.options.Log.Info("reading the store", "reads", reads, "rank", f.rank(f.options.Clock()), "age_s", f.loggedAge())
}

// untilReading is how long the reading does not fall to this gateway; the lock is
// held.
func (f *Follower) untilReading(now time.Time) time.Duration {
	return reader.UntilRead(f.readerState(now), reader.Timing{
		Standby: f.options.Timing.SilentAfter, OthersFrom: f.options.Timing.AloneAfter, OthersBy: f.options.Timing.LastAfter,
	})
}

// readerState is what the rule on who reads goes by; the lock is held.
func (f *Follower) readerState(now time.Time) reader.State {
	self := f.options.Self
	return reader.State{
		Rank: f.rank(now), Draw: f.draw, FirstStart: f.options.FirstStart,
		Seed: slices.Contains(f.options.Seeds(), self.Peer), HasNoPeers: f.view.HasNoUsablePeer(now), Uptime: now.Sub(f.started),
		PeersKnownFor: f.inCompany(now),
		HasState:      f.knows(), Confirmed: f.fresh.Confirmed(), OfferAge: now.Sub(f.offered), Age: f.fresh.Age(now),
		IsReading: f.reads && !f.fresh.Failing(), OutrankedAge: f.fresh.OutrankedAge(now, self.ID),
		PendingTriesAge: f.tries.PendingAge(now, self.ID), TriesAge: f.tries.Age(now, self.ID),
	}
}

// inCompany is how long any other gateway has been known; the lock is held.
func (f *Follower) inCompany(now time.Time) time.Duration {
	if f.met.IsZero() {
		return 0
	}
	return now.Sub(f.met)
}

// rank is this gateway's place in the order of readers; the lock is held.
func (f *Follower) rank(now time.Time) int { return f.view.Rank(now) }

// noteTry notes that this gateway begins to call the store, so that others that learn of
// it wait; the lock is held.
func (f *Follower) noteTry(now time.Time) {
	f.tried = reader.Try{ID: f.options.Self.ID, Number: now.UnixNano()}
	if f.tries.Add(now, f.tried) {
		f.wake()
	}
}

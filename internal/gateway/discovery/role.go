package discovery

import (
	"slices"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/reader"
)

// updateRole works out whether the reading of the store falls to this gateway,
// takes it up or lays it down, and returns how long no call of a watch need be
// made; 0 or less if one should be made now.
func (f *Follower) updateRole(w *watch) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Clock()
	wait := f.untilReading(now)
	f.setReader(wait <= 0)
	if wait > 0 {
		w.state.Rest()
		return wait
	}
	return w.delay(now)
}

// setReader notes whether the reading falls to this gateway and logs a change; the
// lock is held.
func (f *Follower) setReader(reads bool) {
	if reads == f.isReader {
		return
	}
	f.isReader = reads
	if !reads {
		f.readerDraw = f.options.Random()
	}
	f.options.Log.Info("reading the store", "reads", reads, "rank", f.rank(f.options.Clock()), "age_s", f.loggedAge())
}

// untilReading is how long the reading does not fall to this gateway; the lock is
// held.
func (f *Follower) untilReading(now time.Time) time.Duration {
	return reader.Until(f.readerState(now), reader.Timing{
		Standby: f.options.Timing.StaleAfter, Alone: f.options.Timing.MayReadAfter, Last: f.options.Timing.MustReadAfter,
	})
}

// readerState is what the rule on who reads goes by; the lock is held.
func (f *Follower) readerState(now time.Time) reader.State {
	self := f.options.Self
	return reader.State{
		Rank: f.rank(now), Draw: f.readerDraw, FirstStart: f.options.FirstStart,
		Seed: slices.Contains(f.options.Seeds(), self.Peer), Alone: f.view.Alone(now), Running: now.Sub(f.started),
		InCompany: f.peerKnownFor(now),
		Knows:     f.isInitialized(), Confirmed: f.fresh.Confirmed(), OfferAge: now.Sub(f.lastOfferAt), Age: f.fresh.Age(now),
		Reads: f.isReader && !f.fresh.Failing(), OutrankedAge: f.fresh.OutrankedAge(now, self.ID),
		HeldFor: f.tries.HeldFor(now, self.ID), TriedFor: f.tries.TriedFor(now, self.ID),
	}
}

// peerKnownFor is how long any other gateway has been known; the lock is held.
func (f *Follower) peerKnownFor(now time.Time) time.Duration {
	if f.firstPeerAt.IsZero() {
		return 0
	}
	return now.Sub(f.firstPeerAt)
}

// rank is this gateway's place in the order of readers; the lock is held.
func (f *Follower) rank(now time.Time) int { return f.view.Rank(now) }

// noteTry notes that this gateway begins to call the store, so that others that learn of
// it wait; the lock is held.
func (f *Follower) noteTry(now time.Time) {
	f.ownTry = reader.Try{ID: f.options.Self.ID, Number: now.UnixNano()}
	if f.tries.Note(now, f.ownTry) {
		f.wake()
	}
}

package discovery

import (
	"slices"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/reader"
)

// updateRole decides whether this gateway has to read the store, makes it a reader or stops
// it from being one, and returns for how long no call of a watch is needed; 0 or less if
// one is due now.
func (f *Follower) updateRole(w *watch) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Clock()
	wait := f.untilReading(now)
	f.setReader(wait <= 0)
	if wait > 0 {
		w.state.Stop()
		return wait
	}
	return w.delay(now)
}

// setReader records whether this gateway is a reader and logs a change; the lock is held.
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

// untilReading returns the time until this gateway has to read the store; the lock is held.
func (f *Follower) untilReading(now time.Time) time.Duration {
	return reader.UntilRead(f.readerState(now), reader.Timing{
		Standby: f.options.Timing.StaleAfter, OthersFrom: f.options.Timing.MayReadAfter, OthersBy: f.options.Timing.MustReadAfter,
	})
}

// readerState returns the input of the reader election; the lock is held.
func (f *Follower) readerState(now time.Time) reader.State {
	self := f.options.Self
	return reader.State{
		Rank: f.rank(now), Draw: f.readerDraw, FirstStart: f.options.FirstStart,
		Seed: slices.Contains(f.options.Seeds(), self.Peer), HasNoPeers: f.view.HasNoUsablePeer(now), Uptime: now.Sub(f.started),
		PeersKnownFor: f.peerKnownFor(now),
		HasState:      f.isInitialized(), Confirmed: f.fresh.Confirmed(), OfferAge: now.Sub(f.lastOfferAt), Age: f.fresh.Age(now),
		IsReading: f.isReader && !f.fresh.Failing(), OutrankedAge: f.fresh.PrecedingReaderAge(now, self.ID),
		PendingTriesAge: f.tries.PendingAge(now, self.ID), TriesAge: f.tries.Age(now, self.ID),
	}
}

// peerKnownFor returns how long any other gateway has been known; the lock is held.
func (f *Follower) peerKnownFor(now time.Time) time.Duration {
	if f.firstPeerAt.IsZero() {
		return 0
	}
	return now.Sub(f.firstPeerAt)
}

// rank returns this gateway's place in the order of readers; the lock is held.
func (f *Follower) rank(now time.Time) int { return f.view.Rank(now) }

// noteTry records that this gateway begins to call the store, so that others that learn of
// it wait; the lock is held.
func (f *Follower) noteTry(now time.Time) {
	f.ownTry = reader.Try{ID: f.options.Self.ID, Number: now.UnixNano()}
	if f.tries.Add(now, f.ownTry) {
		f.wake()
	}
}

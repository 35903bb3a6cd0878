package discovery

import (
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/peers"
)

const (
	// neighbourCount is how many other gateways each gateway keeps exchanging state with.
	// Each has six links on average, and with a third of the fleet cut off, the rest stays
	// connected but for 2 in 1,000.
	neighbourCount = 3
	// neighbourKeepTime is the mean time for which a neighbour is kept. Drawing neighbours
	// anew prevents links from forming closed groups, and gateways from staying without
	// any.
	neighbourKeepTime = 9 * time.Second
	// otherHallFactor is how much longer neighbours in other halls are kept, and how much
	// less often members are exchanged with them: traffic between halls is charged for.
	// It does not apply to the wait of polls, which is the same between halls as within
	// one. When that wait was tripled as well, state became so old on its way from the
	// reader's hall to others that standbys there read the store (24 gateways, half a
	// minute without changes: 106 calls to the store instead of 66).
	otherHallFactor = 3
	// initialKeepTime replaces neighbourKeepTime during the initialPeriod after a gateway's
	// start, while it knows few others.
	initialKeepTime = 1500 * time.Millisecond
	initialPeriod   = 3 * time.Second
	// seedStagger is how much later each further seed is asked by a gateway without any
	// state. A seed answers within some milliseconds.
	seedStagger = 30 * time.Millisecond
	// hallLinkSlot is the slot that links halls, and regionLinkSlot the one that links
	// regions, so that a gateway may do both.
	hallLinkSlot   = 0
	regionLinkSlot = 1
)

// drawNeighbour draws the next neighbour for a slot: a gateway of the own hall or, on some
// gateways, of another one. If none is known, the seeds, whose ids are unknown, are tried
// in turn; right after the start the slots try different seeds, one after the other.
func (f *Follower) drawNeighbour(slot int) (*neighbour, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Clock()
	f.neighbourIDs[slot] = ""
	n := &neighbour{slot: slot}
	if box, ok := f.view.PickNeighbour(now, f.neighbourScope(now, slot), f.isNeighbour); ok {
		f.neighbourIDs[slot] = box.ID
		n.peer = box
		n.keepUntil = now.Add(f.keepTime(now) * f.hallFactor(n))
		return n, true
	}
	early := now.Sub(f.started) < time.Duration(slot)*seedStagger
	if slot > 0 && (early || f.isInitialized() || !f.view.HasNoUsablePeer(now)) {
		return nil, false
	}
	n.peer.Peer = f.nextSeed()
	return n, n.peer.Peer != ""
}

// keepTime returns how long a neighbour that is drawn now is kept; the lock is held.
func (f *Follower) keepTime(now time.Time) time.Duration {
	if now.Sub(f.started) < initialPeriod {
		return f.jittered(initialKeepTime)
	}
	return f.jittered(neighbourKeepTime)
}

// hallFactor returns the factor by which a neighbour is kept longer, and members are
// exchanged with it less often.
func (f *Follower) hallFactor(n *neighbour) time.Duration {
	if n.peer.Hall != f.options.Self.Hall {
		return otherHallFactor
	}
	return 1
}

// jittered returns a random time between two and four thirds of d, so that the periodic
// work of gateways does not synchronize.
func (f *Follower) jittered(d time.Duration) time.Duration {
	return 2*d/3 + time.Duration(f.options.Random()*float64(2*d/3))
}

// neighbourScope returns where to look for a neighbour: one slot links halls and one
// regions, on some of the gateways only. The lock is held.
func (f *Follower) neighbourScope(now time.Time, slot int) peers.Scope {
	switch {
	case slot == hallLinkSlot && f.view.ShouldLinkHalls(now):
		return peers.OtherHalls
	case slot == regionLinkSlot && f.view.ShouldLinkRegions(now):
		return peers.OtherRegions
	default:
		return peers.OwnHall
	}
}

// isNeighbour reports whether a gateway has a slot; the lock is held.
func (f *Follower) isNeighbour(id string) bool {
	for _, other := range f.neighbourIDs {
		if other == id {
			return true
		}
	}
	return false
}

// nextSeed returns the next seed that is not this gateway; empty if there is none. The lock
// is held.
func (f *Follower) nextSeed() string {
	seeds := f.options.Seeds()
	for range seeds {
		f.seedIndex++
		if seed := seeds[f.seedIndex%len(seeds)]; seed != f.options.Self.Peer {
			return seed
		}
	}
	return ""
}

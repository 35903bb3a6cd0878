package discovery

import (
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/peers"
)

const (
	// neighbourCount is how many other gateways one keeps exchanging with. Each is
	// linked to six on average, and what is left of them when a third is cut off still
	// hangs together but for 2 in 1,000.
	neighbourCount = 3
	// neighbourKeepTime is how long a neighbour is kept, on average. Since they are drawn anew, links
	// don't settle into groups, and nobody stays without any.
	neighbourKeepTime = 9 * time.Second
	// otherHallFactor is how much longer neighbours in other halls are kept, and how much more
	// seldom members are swapped with them: bytes between halls are paid for. Questions
	// wait as long as within a hall: with three times that, knowledge in other halls than
	// the reader's grew so old on the way that standbys read (24 gateways, half a minute
	// in which nothing happened: 106 calls to the store in place of 66).
	otherHallFactor = 3
	// initialKeepTime is that time for a gateway that has just begun, and newFor how long
	// it counts as such: it knows few others yet.
	initialKeepTime = 1500 * time.Millisecond
	initialPeriod   = 3 * time.Second
	// seedStagger is how much later each further seed is asked by a gateway that knows
	// nothing. A seed answers in some milliseconds.
	seedStagger = 30 * time.Millisecond
	// hallLinkSlot is the place that links halls, and regionsPlace the one that links
	// regions, so that a gateway may do both.
	hallLinkSlot   = 0
	regionLinkSlot = 1
)

// drawNeighbour draws who has a place next: a gateway of the own hall or, for some
// gateways, of another; without any, the seeds are tried in turn, whose ids are not
// known. At the start the places ask different seeds, one after the other.
func (f *Follower) drawNeighbour(slot int) (*neighbour, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Clock()
	f.neighbourIDs[slot] = ""
	n := &neighbour{slot: slot}
	if box, ok := f.view.Neighbour(now, f.neighbourScope(now, slot), f.isNeighbour); ok {
		f.neighbourIDs[slot] = box.ID
		n.peer = box
		n.keepUntil = now.Add(f.keepTime(now) * f.hallFactor(n))
		return n, true
	}
	early := now.Sub(f.started) < time.Duration(slot)*seedStagger
	if slot > 0 && (early || f.isInitialized() || !f.view.Alone(now)) {
		return nil, false
	}
	n.peer.Peer = f.nextSeed()
	return n, n.peer.Peer != ""
}

// keepTime is how long a neighbour that is drawn now is kept; the lock is held.
func (f *Follower) keepTime(now time.Time) time.Duration {
	if now.Sub(f.started) < initialPeriod {
		return f.jittered(initialKeepTime)
	}
	return f.jittered(neighbourKeepTime)
}

// hallFactor is how much longer a neighbour is kept, and members are not swapped with it.
func (f *Follower) hallFactor(n *neighbour) time.Duration {
	if n.peer.Hall != f.options.Self.Hall {
		return otherHallFactor
	}
	return 1
}

// jittered draws a time between two and four thirds of one, so that what gateways do
// regularly does not fall into step.
func (f *Follower) jittered(d time.Duration) time.Duration {
	return 2*d/3 + time.Duration(f.options.Random()*float64(2*d/3))
}

// neighbourScope says where to look for a neighbour: only one place links halls and one
// regions, and not those of all gateways. The lock is held.
func (f *Follower) neighbourScope(now time.Time, slot int) peers.Where {
	switch {
	case slot == hallLinkSlot && f.view.LinksHalls(now):
		return peers.OtherHalls
	case slot == regionLinkSlot && f.view.LinksRegions(now):
		return peers.OtherRegions
	default:
		return peers.OwnHall
	}
}

// isNeighbour says whether a gateway has a place; the lock is held.
func (f *Follower) isNeighbour(id string) bool {
	for _, other := range f.neighbourIDs {
		if other == id {
			return true
		}
	}
	return false
}

// nextSeed gives the next seed that is not this gateway; empty if there is none.
// The lock is held.
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

package discovery

import (
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/peers"
)

const (
	// neighbours is how many other gateways one keeps exchanging with. Each is
	// linked to six on average, and what is left of them when a third is cut off still
	// hangs together but for 2 in 1,000.
	neighbours = 3
	// keptFor is how long a neighbour is kept, on average. Since they are drawn anew, links
	// don't settle into groups, and nobody stays without any.
	keptFor = 9 * time.Second
	// farFactor is how much longer neighbours in other halls are kept, and how much more
	// seldom members are swapped with them: bytes between halls are paid for. Questions
	// wait as long as within a hall: with three times that, knowledge in other halls than
	// the reader's grew so old on the way that standbys read (24 gateways, half a minute
	// in which nothing happened: 106 calls to the store in place of 66).
	farFactor = 3
	// firstKeptFor is that time for a gateway that has just begun, and newFor how long
	// it counts as such: it knows few others yet.
	firstKeptFor = 1500 * time.Millisecond
	newFor       = 3 * time.Second
	// seedStagger is how much later each further seed is asked by a gateway that knows
	// nothing. A seed answers in some milliseconds.
	seedStagger = 30 * time.Millisecond
	// hallsPlace is the place that links halls, and regionsPlace the one that links
	// regions, so that a gateway may do both.
	hallsPlace   = 0
	regionsPlace = 1
)

// drawNeighbour draws who has a place next: a gateway of the own hall or, for some
// gateways, of another; without any, the seeds are tried in turn, whose ids are not
// known. At the start the places ask different seeds, one after the other.
func (f *Follower) drawNeighbour(place int) (*neighbour, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Clock()
	f.neighbours[place] = ""
	n := &neighbour{place: place}
	if box, ok := f.view.PickNeighbour(now, f.whereFor(now, place), f.isNeighbour); ok {
		f.neighbours[place] = box.ID
		n.peer = box
		n.until = now.Add(f.keepFor(now) * f.factor(n))
		return n, true
	}
	early := now.Sub(f.started) < time.Duration(place)*seedStagger
	if place > 0 && (early || f.knows() || !f.view.HasNoUsablePeer(now)) {
		return nil, false
	}
	n.peer.Peer = f.takeSeed()
	return n, n.peer.Peer != ""
}

// keepFor is how long a neighbour that is drawn now is kept; the lock is held.
func (f *Follower) keepFor(now time.Time) time.Duration {
	if now.Sub(f.started) < newFor {
		return f.about(firstKeptFor)
	}
	return f.about(keptFor)
}

// factor is how much longer a neighbour is kept, and members are not swapped with it.
func (f *Follower) factor(n *neighbour) time.Duration {
	if n.peer.Hall != f.options.Self.Hall {
		return farFactor
	}
	return 1
}

// about draws a time between two and four thirds of one, so that what gateways do
// regularly does not fall into step.
func (f *Follower) about(d time.Duration) time.Duration {
	return 2*d/3 + time.Duration(f.options.Draw()*float64(2*d/3))
}

// whereFor says where to look for a neighbour: only one place links halls and one
// regions, and not those of all gateways. The lock is held.
func (f *Follower) whereFor(now time.Time, place int) peers.Scope {
	switch {
	case place == hallsPlace && f.view.ShouldLinkHalls(now):
		return peers.OtherHalls
	case place == regionsPlace && f.view.ShouldLinkRegions(now):
		return peers.OtherRegions
	default:
		return peers.OwnHall
	}
}

// isNeighbour says whether a gateway has a place; the lock is held.
func (f *Follower) isNeighbour(id string) bool {
	for _, other := range f.neighbours {
		if other == id {
			return true
		}
	}
	return false
}

// takeSeed gives the next seed that is not this gateway; empty if there is none.
// The lock is held.
func (f *Follower) takeSeed() string {
	seeds := f.options.Seeds()
	for range seeds {
		f.nextSeed++
		if seed := seeds[f.nextSeed%len(seeds)]; seed != f.options.Self.Peer {
			return seed
		}
	}
	return ""
}

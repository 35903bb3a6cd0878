package discovery

import (
	"errors"

	"github.com/sprucecrank/sprucecrank/core/gateway/peers"
	"github.com/sprucecrank/sprucecrank/core/member"
)

var errTest = errors.New("lost by a test")

// Lose does what follows when another gateway does not answer.
func (f *Follower) Lose(id, address string) { f.noteLost(member.Box{ID: id, Peer: address}, errTest) }

// Meet takes in whom another gateway, the first of the sightings, tells of.
func (f *Follower) Meet(sightings []peers.Sighting) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.meet(f.options.Clock(), sightings, f.view.ObserveAnswer)
}

// DrawNeighbour draws who has a place next.
func (f *Follower) DrawNeighbour(place int) member.Box {
	n, _ := f.drawNeighbour(place)
	return n.peer
}

package discovery

import (
	"errors"

	"github.com/sprucecrank/sprucecrank/core/gateway/peers"
	"github.com/sprucecrank/sprucecrank/core/member"
)

var errTest = errors.New("lost by a test")

// RecordLost acts as if another gateway had not answered.
func (f *Follower) RecordLost(id, address string) {
	f.noteLost(member.Box{ID: id, Peer: address}, errTest)
}

// ObserveSightings adds the gateways that another one, the first of the sightings, has
// seen.
func (f *Follower) ObserveSightings(sightings []peers.Sighting) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.observeSightings(f.options.Clock(), sightings, f.view.ObserveAnswer)
}

// DrawNeighbour draws the next neighbour for a slot.
func (f *Follower) DrawNeighbour(place int) member.Box {
	n, _ := f.drawNeighbour(place)
	return n.peer
}

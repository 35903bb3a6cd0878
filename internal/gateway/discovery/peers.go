package discovery

import (
	"slices"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/reader"
	"github.com/sprucecrank/sprucecrank/core/member"
)

const (
	// relayRole, with the hall's name, is the name by which gateways rank for
	// relaying updates to the others of their hall.
	relayRole = "relay/"
	// tryFirstEvery is how often the first in rank is asked, though another
	// gateway reads, so that it is found when it can read again. Chosen.
	tryFirstEvery = 2 * time.Second
	// staleFor is how long a gateway without fresh knowledge is passed over.
	// Chosen.
	staleFor = 700 * time.Millisecond
	// sightingsPerRole is how many gateways are named to another for each role:
	// some more than take it up, as some may be gone. Chosen.
	sightingsPerRole = 5
)

// peers is what is known of asking other gateways; the follower's lock guards it.
type peers struct {
	// source is the address of the gateway that fresh updates came from last.
	source string
	// lost are those that did not answer and have not been heard from since.
	lost map[string]bool
	// stale are those whose knowledge was not fresh, until they are asked again.
	stale map[string]time.Time
	// triedFirst is when the first in rank of the readers was last put first.
	triedFirst time.Time
	// nextSeed counts the seeds that were tried.
	nextSeed int
}

func newPeers() peers {
	return peers{lost: map[string]bool{}, stale: map[string]time.Time{}}
}

// pickPeer picks whom to ask next: the relay of the own hall, or, for the relay
// itself, a gateway that reads the store. Without any, the seeds are tried in
// turn, whose ids are not known.
func (f *Follower) pickPeer() (address, id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Clock()
	if box, ok := f.firstUseful(now, f.relaysBefore(now)); ok {
		return box.Peer, box.ID
	}
	if box, ok := f.firstUseful(now, f.takeReaders(now)); ok {
		return box.Peer, box.ID
	}
	return f.takeSeed(), ""
}

// firstUseful is the first other gateway of which it is not known that its
// knowledge is stale; the lock is held.
func (f *Follower) firstUseful(now time.Time, boxes []member.Box) (member.Box, bool) {
	for _, box := range boxes {
		if box.ID != f.options.Self.ID && now.After(f.peers.stale[box.ID]) {
			return box, true
		}
	}
	return member.Box{}, false
}

// relaysBefore lists the gateways of the own hall that rank before this one for
// relaying; none if this gateway is the relay. The lock is held.
func (f *Follower) relaysBefore(now time.Time) []member.Box {
	self := f.options.Self
	var before []member.Box
	for _, box := range f.members.Ranked(now, relayRole+self.Hall, allRanked) {
		if box.ID == self.ID {
			break
		}
		if box.Hall == self.Hall {
			before = append(before, box)
		}
	}
	return before
}

// takeReaders lists gateways in the order in which to ask them for what they read:
// the one whose reading last confirmed what is believed, then by rank. Now and then
// the first in rank comes first; that is noted. The lock is held.
func (f *Follower) takeReaders(now time.Time) []member.Box {
	ranked := f.ranked(now)
	if now.Sub(f.peers.triedFirst) > tryFirstEvery {
		f.peers.triedFirst = now
		return ranked
	}
	at := slices.IndexFunc(ranked, func(box member.Box) bool { return box.ID == f.fresh.Origin() })
	if at <= 0 {
		return ranked
	}
	origin := ranked[at]
	return slices.Insert(slices.Delete(ranked, at, at+1), 0, origin)
}

// takeSeed gives the next seed that is not this gateway; empty if there is none.
// The lock is held.
func (f *Follower) takeSeed() string {
	seeds := f.options.Seeds()
	for range seeds {
		f.peers.nextSeed++
		if seed := seeds[f.peers.nextSeed%len(seeds)]; seed != f.options.Self.Peer {
			return seed
		}
	}
	return ""
}

// noteSource notes, and logs, from whom fresh updates come.
func (f *Follower) noteSource(address, id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if address == f.peers.source {
		return
	}
	f.options.Log.Info("news come from", "peer", id, "address", address, "before", f.peers.source, "age_s", f.loggedAge())
	f.peers.source = address
}

// noteStale notes that a gateway had no fresh knowledge.
func (f *Follower) noteStale(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peers.stale[id] = f.options.Clock().Add(staleFor)
}

// noteLost notes, and logs, that a gateway did not answer; one of which only the
// address is known is not counted.
func (f *Follower) noteLost(id, address string, err error) {
	if id == "" {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.options.Metrics.PeerLost()
	f.members.Fail(f.options.Clock(), id)
	f.peers.lost[id] = true
	f.wake() // the reading may fall to this gateway now
	f.options.Log.Info("peer lost", "peer", id, "address", address, "error", err.Error())
}

// meet takes in whom another gateway, the first of the sightings, has heard of;
// the lock is held.
func (f *Follower) meet(now time.Time, sightings []member.Sighting) {
	if len(sightings) == 0 {
		return
	}
	first := sightings[0].Box
	f.members.Heard(now, first)
	if f.peers.lost[first.ID] {
		delete(f.peers.lost, first.ID)
		f.options.Log.Info("peer back", "peer", first.ID, "address", first.Peer)
	}
	f.members.Sighted(now, sightings[1:])
}

// sightings is whom this gateway names to another; the lock is held.
func (f *Follower) sightings(now time.Time) []member.Sighting {
	roles := []member.Role{{Name: reader.Role}}
	for _, hall := range f.members.Halls() {
		roles = append(roles, member.Role{Name: relayRole + hall, Hall: hall})
	}
	return f.members.SightingsFor(now, roles, sightingsPerRole)
}

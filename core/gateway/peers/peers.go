// Package peers holds a gateway's own view of the other gateways: some of its hall,
// some of the others, and those that rank first for reading the store. The view is bounded,
// however large the fleet is, and determines with which peers state is exchanged.
//
// The package owns that view and the times after which gateways are suspected and forgotten.
// Its inputs are what gateways report of themselves and of each other, and random draws
// that it is given; it does no I/O and reads no clock. There is no consensus: views
// differ, and no guarantee depends on their being equal. Ranks come from rendezvous
// hashing, so that a gateway that goes moves only what was assigned to it.
//
// Neighbours drawn from such views form a random graph: updates that each gateway forwards
// to a few others reach all in a number of steps that grows with the fleet's logarithm, and
// the rest of the fleet stays connected after a cut (the tests of
// internal/gateway/discovery measure both).
//
// Gateways send each other Sighting and member.Box by net/rpc: their fields are
// exported for its codec.
//
// # Usage
//
//	view := peers.New(self, rand.IntN)
//	view.SetTiers(places.Tier)              // if the fleet may span regions
//	view.ObserveAnswer(now, other)          // it answered a call of this gateway
//	view.ObserveCall(now, other)            // it called this gateway
//	view.MergeSightings(now, sightings)     // a peer reported these
//	box, ok := view.PickNeighbour(now, peers.OwnHall, taken)
//	sightings = view.Sightings(now, box.Hall)
package peers

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sprucecrank/sprucecrank/core/gateway/locality"
	"github.com/sprucecrank/sprucecrank/core/member"
)

const (
	// maxPerTier is how many gateways of the own hall, of all other halls of its region and
	// of other regions are held, each: enough random links that a cut of a third of the
	// gateways isolates none, few enough that a scan of them takes microseconds.
	maxPerTier = 24
	// maxRanked is how many of those that rank first for reading the store are held
	// besides, so that all gateways agree on the reader and the standbys: some more than
	// these, as some may be gone.
	maxRanked = 6
	// maxLost is how many gateways are held that did not answer and that no gateway has seen
	// since, so that those behind a cut are found again.
	maxLost = 8
	// sightingTTL is how long a sighting of a gateway may be forwarded.
	sightingTTL = 5 * time.Second
	// staleAfter is how long after a gateway was last seen, by any gateway, it is no longer
	// called or ranked.
	staleAfter = 2 * sightingTTL
	// minSuspicion is how long a gateway that did not answer is skipped; the time doubles
	// with each failure, up to maxSuspicion.
	minSuspicion = 500 * time.Millisecond
	maxSuspicion = 10 * time.Second
)

type entry struct {
	member.Box
	score        uint64    // for reading the store; the greatest ranks first
	lastSeen     time.Time // last seen, by any gateway
	suspectUntil time.Time
	suspectFor   time.Duration
	lost         bool // it did not answer, and has not since
	called       bool // it has called this gateway since it was lost
}

// View is a gateway's view of the other gateways. It takes no lock.
type View struct {
	self    member.Box
	score   uint64
	intn    func(n int) int
	tier    func(hall string) locality.Tier
	entries map[string]*entry
}

// New returns a view that holds only the gateway itself, in a fleet of one region; intn
// draws a number in [0, n).
func New(self member.Box, intn func(n int) int) *View {
	return &View{
		self: self, score: score(self.ID), intn: intn, tier: locality.New(self.Hall, "", nil).Tier,
		entries: map[string]*entry{},
	}
}

// SetTiers sets the function that tells how far a hall is, for a fleet that may span regions.
func (v *View) SetTiers(tier func(hall string) locality.Tier) { v.tier = tier }

// score returns the score of a gateway for reading the store, by rendezvous hashing; the
// greatest ranks first.
func score(id string) uint64 { return xxhash.Sum64String("reader\x00" + id) }

// RanksBefore reports whether one gateway ranks before another for reading the store.
func RanksBefore(id, other string) bool { return score(id) > score(other) }

// Self returns the gateway whose view this is.
func (v *View) Self() member.Box { return v.self }

// SetLeaving records that the gateway itself is leaving.
func (v *View) SetLeaving() { v.self.Leaving = true }

// Len returns how many other gateways are held.
func (v *View) Len() int { return len(v.entries) }

// Find returns another gateway by id.
func (v *View) Find(id string) (member.Box, bool) {
	e, ok := v.entries[id]
	if !ok {
		return member.Box{}, false
	}
	return e.Box, true
}

// ObserveAnswer records an answer from a gateway, as it describes itself there, which clears
// any suspicion. It reports whether the gateway is back after it did not answer.
func (v *View) ObserveAnswer(now time.Time, b member.Box) (back bool) {
	if b.ID == v.self.ID || b.ID == "" {
		return false
	}
	before, known := v.entries[b.ID]
	v.entries[b.ID] = &entry{Box: b, score: score(b.ID), lastSeen: now}
	v.trim(now)
	return known && before.lost
}

// ObserveCall records a call from a gateway, as it describes itself there. A gateway that did
// not answer stays suspected, unless it has restarted: the path from it is open, the path to
// it may be cut. When such calls cleared the suspicion, gateways chose neighbours from which
// they received calls and which they could not reach. It reports whether the gateway is back.
func (v *View) ObserveCall(now time.Time, b member.Box) (back bool) {
	e, known := v.entries[b.ID]
	if !known || !e.lost || b.Start > e.Start {
		return v.ObserveAnswer(now, b)
	}
	e.Box, e.lastSeen, e.called = b, now, true
	return false
}

// RecordFailure records that a gateway did not answer. It is skipped for a time that grows
// with each failure.
func (v *View) RecordFailure(now time.Time, id string) {
	e, ok := v.entries[id]
	if !ok || now.Before(e.suspectUntil) {
		return
	}
	e.lost = true
	e.suspectFor = min(max(2*e.suspectFor, minSuspicion), maxSuspicion)
	e.suspectUntil = now.Add(e.suspectFor)
}

// EstimateFleetSize returns about how many gateways there are, including this one. A small
// fleet is known completely. The size of a larger one is estimated from the scores of the
// first in rank: the k-th greatest of n numbers drawn evenly from [0, 1) lies about k/n
// below 1. With six of them the estimate is off by half, in either direction, for a third of
// the fleets.
func (v *View) EstimateFleetSize(now time.Time) int {
	known := 1
	for _, e := range v.entries {
		if e.live(now) && !e.Leaving {
			known++
		}
	}
	if known <= maxPerTier {
		return known
	}
	scores := []uint64{v.score}
	for _, e := range v.ranked(now, maxRanked) {
		scores = append(scores, e.score)
	}
	slices.Sort(scores)
	slices.Reverse(scores)
	last := min(maxRanked, len(scores)) - 1
	below := 1 - float64(scores[last])/math.MaxUint64
	return max(known, int(float64(last)/below))
}

// UsableIDs lists the ids of the other gateways that may be called now.
func (v *View) UsableIDs(now time.Time) []string {
	var out []string
	for _, e := range v.sorted(func(e *entry) bool { return e.usable(now) }) {
		out = append(out, e.ID)
	}
	return out
}

// Relays lists the other gateways that may be called now and that relay requests.
func (v *View) Relays(now time.Time) []member.Box {
	var out []member.Box
	for _, e := range v.sorted(func(e *entry) bool { return e.usable(now) && e.Relay != "" }) {
		out = append(out, e.Box)
	}
	return out
}

// IsUsable reports whether another gateway may be called now.
func (v *View) IsUsable(now time.Time, id string) bool {
	e, ok := v.entries[id]
	return ok && e.usable(now)
}

// IsAvoided reports whether another gateway is known to be leaving or not to answer.
func (v *View) IsAvoided(now time.Time, id string) bool {
	e, ok := v.entries[id]
	return ok && (e.Leaving || now.Before(e.suspectUntil))
}

// TopRanked lists up to n gateways that rank first, including this one if it does. All
// gateways return the same ones, except for a while after one came or went.
func (v *View) TopRanked(now time.Time, n int) []member.Box {
	first := v.sorted(func(e *entry) bool { return e.usable(now) })
	if !v.self.Leaving {
		first = append(first, &entry{Box: v.self, score: v.score})
	}
	slices.SortStableFunc(first, func(a, b *entry) int { return cmp.Compare(b.score, a.score) })
	boxes := make([]member.Box, 0, n)
	for _, e := range first[:min(n, len(first))] {
		boxes = append(boxes, e.Box)
	}
	return boxes
}

// Rank returns the rank of the gateway itself, from 0, among those it knows, in the order
// in which they read the store. A gateway that is leaving ranks last.
func (v *View) Rank(now time.Time) int {
	if v.self.Leaving {
		return len(v.entries)
	}
	rank := 0
	for _, e := range v.entries {
		if e.usable(now) && e.score > v.score {
			rank++
		}
	}
	return rank
}

func (e *entry) usable(now time.Time) bool {
	return !e.Leaving && e.live(now) && !now.Before(e.suspectUntil)
}

func (e *entry) live(now time.Time) bool { return now.Sub(e.lastSeen) < staleAfter }

// sorted lists the entries that fit, ordered by id, so that random draws are reproducible.
func (v *View) sorted(fits func(e *entry) bool) []*entry {
	out := make([]*entry, 0, len(v.entries))
	for _, e := range v.entries {
		if fits(e) {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b *entry) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// ranked lists up to n gateways whose sightings may be forwarded, in the order of their ranks.
func (v *View) ranked(now time.Time, n int) []*entry {
	all := v.sorted(func(e *entry) bool { return !e.Leaving && now.Sub(e.lastSeen) < sightingTTL })
	slices.SortStableFunc(all, func(a, b *entry) int { return cmp.Compare(b.score, a.score) })
	return all[:min(n, len(all))]
}

package peers

import (
	"cmp"
	"slices"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/locality"
	"github.com/sprucecrank/sprucecrank/core/member"
)

// How many gateways are named to another, beside the one that speaks: those that rank
// first for reading the store, some of the other's hall, some of all others in the region
// of the one that speaks and some of other regions: some hundreds of bytes,
// whatever the size of the fleet.
const (
	toldRanked  = 4
	toldHall    = 4
	toldOthers  = 2
	toldRegions = 2
)

// Sighting is a gateway and how long ago it was last seen by anybody.
type Sighting struct {
	Box member.Box
	Ago time.Duration
}

// Sightings is what is sent to a gateway of a hall: this gateway first, then some of
// those seen lately. Only these are passed on, so that an update of a gateway that is
// gone dies out.
func (v *View) Sightings(now time.Time, hall string) []Sighting {
	out := []Sighting{{Box: v.self}}
	told := map[string]bool{}
	tell := func(e *entry) {
		told[e.ID] = true
		out = append(out, Sighting{Box: e.Box, Ago: now.Sub(e.heard)})
	}
	for _, e := range v.ranked(now, toldRanked) {
		tell(e)
	}
	for _, part := range []struct {
		count int
		fits  func(e *entry) bool
	}{
		{toldHall, func(e *entry) bool { return e.Hall == hall }},
		{toldOthers, func(e *entry) bool { return e.Hall != hall && !v.inOtherRegion(e) }},
		{toldRegions, func(e *entry) bool { return e.Hall != hall && v.inOtherRegion(e) }},
	} {
		from := v.sorted(func(e *entry) bool { return !told[e.ID] && now.Sub(e.heard) < heardFor && part.fits(e) })
		for _, e := range v.draw(from, part.count) {
			tell(e)
		}
	}
	return out
}

// Ranked is what may be passed on of up to n gateways that rank first, this one among them if it
// does.
func (v *View) Ranked(now time.Time, n int) []Sighting {
	out := make([]Sighting, 0, n+1)
	for _, e := range v.ranked(now, n) {
		out = append(out, Sighting{Box: e.Box, Ago: now.Sub(e.heard)})
	}
	if !v.self.Leaving {
		out = append(out, Sighting{Box: v.self})
	}
	slices.SortStableFunc(out, func(a, b Sighting) int { return cmp.Compare(score(b.Box.ID), score(a.Box.ID)) })
	return out[:min(n, len(out))]
}

// inOtherRegion says whether a gateway is in another region.
func (v *View) inOtherRegion(e *entry) bool { return v.tier(e.Hall) == locality.OtherRegion }

// draw picks up to n of the entries at random; none if n is negative.
func (v *View) draw(from []*entry, n int) []*entry {
	n = min(max(n, 0), len(from))
	for i := range n {
		j := i + v.intn(len(from)-i)
		from[i], from[j] = from[j], from[i]
	}
	return from[:n]
}

// Sighted takes in whom another gateway has learnt of. An old update is dropped, and leaving
// is never taken back for one start.
func (v *View) Sighted(now time.Time, sightings []Sighting) {
	for _, s := range sightings {
		if s.Ago < heardFor {
			v.learn(s.Box, now.Add(-s.Ago))
		}
	}
	v.trim(now)
}

func (v *View) learn(b member.Box, heard time.Time) {
	if b.ID == v.self.ID || b.ID == "" {
		return
	}
	e, ok := v.entries[b.ID]
	switch {
	case !ok:
		v.entries[b.ID] = &entry{Box: b, score: score(b.ID), heard: heard}
		return
	case b.Start > e.Start:
		v.entries[b.ID] = &entry{Box: b, score: e.score, heard: heard, lost: e.lost}
		return
	case b.Start < e.Start:
		return
	}
	e.Leaving = e.Leaving || b.Leaving
	if heard.After(e.heard) {
		e.heard = heard
	}
}

// trim forgets whom there is no room for: gateways that are silent, but for some that
// were lost, and of those that are seen some drawn at random, but for the first in
// rank.
func (v *View) trim(now time.Time) {
	if len(v.entries) <= room {
		return
	}
	kept := map[string]bool{}
	for _, e := range v.ranked(now, rankedRoom) {
		kept[e.ID] = true
	}
	for _, part := range []struct {
		room int
		fits func(e *entry) bool
	}{
		{0, func(e *entry) bool { return !e.live(now) && !e.lost }},
		{lostRoom, func(e *entry) bool { return !e.live(now) && e.lost }},
		{room, func(e *entry) bool { return e.live(now) && !kept[e.ID] && v.tier(e.Hall) == locality.OwnHall }},
		{room, func(e *entry) bool { return e.live(now) && !kept[e.ID] && v.tier(e.Hall) == locality.OwnRegion }},
		{room, func(e *entry) bool { return e.live(now) && !kept[e.ID] && v.inOtherRegion(e) }},
	} {
		held := v.sorted(part.fits)
		for _, e := range v.draw(held, len(held)-part.room) {
			delete(v.entries, e.ID)
		}
	}
}

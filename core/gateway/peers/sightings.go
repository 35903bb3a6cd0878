package peers

import (
	"cmp"
	"slices"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/locality"
	"github.com/sprucecrank/sprucecrank/core/member"
)

// The most gateways of each kind that are sent to another gateway, besides the sender: those
// that rank first for reading the store, some of the receiver's hall, some of all other halls
// in the sender's region and some of other regions. They take some hundreds of bytes, whatever
// the size of the fleet.
const (
	maxSentRanked         = 4
	maxSentOfHall         = 4
	maxSentOfOtherHalls   = 2
	maxSentOfOtherRegions = 2
)

// Sighting is a gateway and how long ago any gateway last saw it.
type Sighting struct {
	Box member.Box
	Ago time.Duration
}

// Sightings returns what is sent to a gateway of a hall: this gateway first, then some of
// those seen lately. Only these are forwarded, so that sightings of a gateway that is gone
// die out.
func (v *View) Sightings(now time.Time, hall string) []Sighting {
	out := []Sighting{{Box: v.self}}
	included := map[string]bool{}
	include := func(e *entry) {
		included[e.ID] = true
		out = append(out, Sighting{Box: e.Box, Ago: now.Sub(e.lastSeen)})
	}
	for _, e := range v.ranked(now, maxSentRanked) {
		include(e)
	}
	for _, part := range []struct {
		count int
		fits  func(e *entry) bool
	}{
		{maxSentOfHall, func(e *entry) bool { return e.Hall == hall }},
		{maxSentOfOtherHalls, func(e *entry) bool { return e.Hall != hall && !v.inOtherRegion(e) }},
		{maxSentOfOtherRegions, func(e *entry) bool { return e.Hall != hall && v.inOtherRegion(e) }},
	} {
		from := v.sorted(func(e *entry) bool { return !included[e.ID] && now.Sub(e.lastSeen) < sightingTTL && part.fits(e) })
		for _, e := range v.draw(from, part.count) {
			include(e)
		}
	}
	return out
}

// RankedSightings returns the sightings of up to n gateways that rank first, including this
// one if it does.
func (v *View) RankedSightings(now time.Time, n int) []Sighting {
	out := make([]Sighting, 0, n+1)
	for _, e := range v.ranked(now, n) {
		out = append(out, Sighting{Box: e.Box, Ago: now.Sub(e.lastSeen)})
	}
	if !v.self.Leaving {
		out = append(out, Sighting{Box: v.self})
	}
	slices.SortStableFunc(out, func(a, b Sighting) int { return cmp.Compare(score(b.Box.ID), score(a.Box.ID)) })
	return out[:min(n, len(out))]
}

// inOtherRegion reports whether a gateway is in another region.
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

// MergeSightings merges the sightings that a peer has sent. Old ones are dropped. A gateway
// that is known to be leaving counts as leaving until it restarts.
func (v *View) MergeSightings(now time.Time, sightings []Sighting) {
	for _, s := range sightings {
		if s.Ago < sightingTTL {
			v.mergeSighting(s.Box, now.Add(-s.Ago))
		}
	}
	v.trim(now)
}

func (v *View) mergeSighting(b member.Box, lastSeen time.Time) {
	if b.ID == v.self.ID || b.ID == "" {
		return
	}
	e, ok := v.entries[b.ID]
	switch {
	case !ok:
		v.entries[b.ID] = &entry{Box: b, score: score(b.ID), lastSeen: lastSeen}
		return
	case b.Start > e.Start:
		v.entries[b.ID] = &entry{Box: b, score: e.score, lastSeen: lastSeen, lost: e.lost}
		return
	case b.Start < e.Start:
		return
	}
	e.Leaving = e.Leaving || b.Leaving
	if lastSeen.After(e.lastSeen) {
		e.lastSeen = lastSeen
	}
}

// trim removes entries beyond the limits: stale gateways, except some lost ones, and random
// ones of each tier, except those that rank first.
func (v *View) trim(now time.Time) {
	if len(v.entries) <= maxPerTier {
		return
	}
	ranked := map[string]bool{}
	for _, e := range v.ranked(now, maxRanked) {
		ranked[e.ID] = true
	}
	for _, part := range []struct {
		max  int
		fits func(e *entry) bool
	}{
		{0, func(e *entry) bool { return !e.live(now) && !e.lost }},
		{maxLost, func(e *entry) bool { return !e.live(now) && e.lost }},
		{maxPerTier, func(e *entry) bool { return e.live(now) && !ranked[e.ID] && v.tier(e.Hall) == locality.OwnHall }},
		{maxPerTier, func(e *entry) bool { return e.live(now) && !ranked[e.ID] && v.tier(e.Hall) == locality.OwnRegion }},
		{maxPerTier, func(e *entry) bool { return e.live(now) && !ranked[e.ID] && v.inOtherRegion(e) }},
	} {
		held := v.sorted(part.fits)
		for _, e := range v.draw(held, len(held)-part.max) {
			delete(v.entries, e.ID)
		}
	}
}

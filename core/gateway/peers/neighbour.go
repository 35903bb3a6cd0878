package peers

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sprucecrank/sprucecrank/core/gateway/locality"
	"github.com/sprucecrank/sprucecrank/core/member"
)

// Scope selects the halls in which to look for a neighbour.
type Scope int

const (
	// OwnHall is the gateway's own hall.
	OwnHall Scope = iota
	// OtherHalls are all other halls in the gateway's region.
	OtherHalls
	// OtherRegions are all halls in other regions.
	OtherRegions
)

// tierOf maps each scope to the tier of its halls.
var tierOf = map[Scope]locality.Tier{
	OwnHall: locality.OwnHall, OtherHalls: locality.OwnRegion, OtherRegions: locality.OtherRegion,
}

// gatewaysLinkingHalls is how many of the gateways of a hall, as far as one of them knows
// them, keep a link to another hall; as many links come from others. They are so many that
// no hall is without a link when a third of the gateways is cut off, and few since traffic
// between halls is paid for. They are the first in an order, since each hall needs a link at
// any time: when each gateway of a hall of ten drew by itself, now and then none had a link
// (with a share of 3/10 in 0.7^10 of the cases, 3 in 100) for as long as neighbours are kept.
// With three of them 60 gateways without failures sent a tenth more messages, as state grows
// older on longer paths.
const gatewaysLinkingHalls = 5

// gatewaysLinkingRegions is how many of the gateways of a region, as far as one of them knows
// them, keep a link to another region; as many links come from others. They are so many that
// no region is without a link when a third of the gateways is cut off (0.35^6, 2 in 1,000),
// and few since traffic between regions costs several times that between halls.
const gatewaysLinkingRegions = 3

// drawsUnderSuspicion is how many gateways are drawn while some don't answer; the one that
// was seen last is chosen, since those on this side of a cut are still seen. Of 21 gateways
// of 60 that were cut off one way, 1 to 4 read the store in 40 fleets; with one draw, and
// connections that may take three times as long, 1 to 7 in 30 (tests of
// internal/gateway/discovery, in virtual time). Without failures one gateway is drawn, so
// that links stay random.
const drawsUnderSuspicion = 4

// PickNeighbour draws a gateway to exchange state with that is usable and not taken: from
// the halls in scope or, if there is none, from the nearest.
func (v *View) PickNeighbour(now time.Time, scope Scope, taken func(id string) bool) (member.Box, bool) {
	usable := v.sorted(func(e *entry) bool { return e.usable(now) && !taken(e.ID) })
	var wanted []*entry
	for _, tier := range []locality.Tier{tierOf[scope], locality.OwnHall, locality.OwnRegion, locality.OtherRegion} {
		if wanted = v.filterByTier(tier, usable); len(wanted) > 0 {
			break
		}
	}
	if len(wanted) == 0 {
		return member.Box{}, false
	}
	drawn := wanted[v.intn(len(wanted))]
	if v.suspectsAny(now) {
		for range drawsUnderSuspicion - 1 {
			drawn = laterSeen(drawn, wanted[v.intn(len(wanted))])
		}
	}
	return drawn.Box, true
}

// filterByTier returns the entries whose halls are of a tier.
func (v *View) filterByTier(tier locality.Tier, entries []*entry) []*entry {
	var out []*entry
	for _, e := range entries {
		if v.tier(e.Hall) == tier {
			out = append(out, e)
		}
	}
	return out
}

// suspectsAny reports whether any gateway is suspected.
func (v *View) suspectsAny(now time.Time) bool {
	for _, e := range v.entries {
		if now.Before(e.suspectUntil) {
			return true
		}
	}
	return false
}

// laterSeen returns the one of two that was seen later.
func laterSeen(a, b *entry) *entry {
	if b.lastSeen.After(a.lastSeen) {
		return b
	}
	return a
}

// ShouldLinkHalls reports whether the gateway should keep a link to another hall: it is one
// of a few of its hall, or the hall has only few. The order is independent of that for
// reading the store.
func (v *View) ShouldLinkHalls(now time.Time) bool {
	own, better := linkScore(v.self.ID), 0
	for _, e := range v.entries {
		if e.Hall == v.self.Hall && e.usable(now) && linkScore(e.ID) > own {
			better++
		}
	}
	return better < gatewaysLinkingHalls
}

// linkScore returns a hash of a gateway's id (rendezvous hashing). The gateways of a hall
// with the highest scores keep its links to other halls.
func linkScore(id string) uint64 { return xxhash.Sum64String("links\x00" + id) }

// ShouldLinkRegions reports whether the gateway should keep a link to another region: it is
// one of a few of its region, and any other region is known.
func (v *View) ShouldLinkRegions(now time.Time) bool {
	own, better, knowsOtherRegion := regionScore(v.self.ID), 0, false
	for _, e := range v.entries {
		switch {
		case !e.usable(now):
		case v.tier(e.Hall) == locality.OtherRegion:
			knowsOtherRegion = true
		case regionScore(e.ID) > own:
			better++
		}
	}
	return knowsOtherRegion && better < gatewaysLinkingRegions
}

// regionScore returns a hash of a gateway's id. The gateways of a region with the highest
// scores keep its links to other regions.
func regionScore(id string) uint64 { return xxhash.Sum64String("regions\x00" + id) }

// HasNoUsablePeer reports whether no other gateway is known that may be called now.
func (v *View) HasNoUsablePeer(now time.Time) bool {
	for _, e := range v.entries {
		if e.usable(now) {
			return false
		}
	}
	return true
}

// PickLost returns a random one of the gateways that did not answer: one that no gateway has
// seen lately, or that has called this one since. A partition may have ended.
func (v *View) PickLost(now time.Time) (member.Box, bool) {
	lost := v.sorted(func(e *entry) bool { return e.lost && (e.called || !e.live(now)) })
	if len(lost) == 0 {
		return member.Box{}, false
	}
	return lost[v.intn(len(lost))].Box, true
}

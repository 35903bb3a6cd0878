package peers

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sprucecrank/sprucecrank/core/gateway/locality"
	"github.com/sprucecrank/sprucecrank/core/member"
)

// Where says in which halls to look for a neighbour.
type Where int

const (
	// OwnHall is the gateway's own hall.
	OwnHall Where = iota
	// OtherHalls are all others in the gateway's region.
	OtherHalls
	// OtherRegions are all halls in other regions.
	OtherRegions
)

// tiers holds how far the halls of each are.
var tiers = map[Where]locality.Tier{
	OwnHall: locality.OwnHall, OtherHalls: locality.OwnRegion, OtherRegions: locality.OtherRegion,
}

// linksBetween is how many of the gateways that one knows of its hall, itself among
// them, keep a link to another hall; as many come from others. They are so many that no hall
// is without one when a third of the gateways is cut off, few since bytes between halls are
// paid for. They are the first in an order, since each hall needs one at any time: where
// each gateway of a hall of ten drew by itself, none had one now and then (with a share of
// 3/10 in 0.7^10 of the cases, 3 in 100) for as long as neighbours are kept. With three of
// them 60 calm gateways sent a tenth more messages, as knowledge grows older on longer ways.
const linksBetween = 5

// linksBetweenRegions is how many of the gateways that one knows of its region, itself
// among them, keep a link to another region; as many come from others. No region is
// without one when a third of the gateways is cut off (0.35^6, 2 in 1,000), and few, since
// bytes between regions cost several times those between halls.
const linksBetweenRegions = 3

// choices is how many gateways are drawn while some don't answer, of which the one is
// taken that was seen last: those on this side of a cut go on being seen. Of 21
// gateways of 60 that were cut off one way, 1 to 4 read the store in 40 fleets; with one
// draw, and connections that may take three times as long, 1 to 7 in 30
// (internal/gateway/discovery's tests, in virtual time). In a calm fleet it is one, so
// that links stay random.
const choices = 4

// Neighbour draws a gateway to exchange knowledge with, one that may be asked now and
// is not taken: from the halls that are wanted or, if there is none, from the nearest.
func (v *View) Neighbour(now time.Time, where Where, taken func(id string) bool) (member.Box, bool) {
	usable := v.sorted(func(e *entry) bool { return e.usable(now) && !taken(e.ID) })
	var wanted []*entry
	for _, tier := range []locality.Tier{tiers[where], locality.OwnHall, locality.OwnRegion, locality.OtherRegion} {
		if wanted = v.ofTier(tier, usable); len(wanted) > 0 {
			break
		}
	}
	if len(wanted) == 0 {
		return member.Box{}, false
	}
	drawn := wanted[v.intn(len(wanted))]
	if v.suspectsAny(now) {
		for range choices - 1 {
			drawn = laterHeard(drawn, wanted[v.intn(len(wanted))])
		}
	}
	return drawn.Box, true
}

// ofTier lists those of the entries whose halls are of a tier.
func (v *View) ofTier(tier locality.Tier, entries []*entry) []*entry {
	var out []*entry
	for _, e := range entries {
		if v.tier(e.Hall) == tier {
			out = append(out, e)
		}
	}
	return out
}

// suspectsAny says whether some gateway has lately not answered.
func (v *View) suspectsAny(now time.Time) bool {
	for _, e := range v.entries {
		if now.Before(e.suspectUntil) {
			return true
		}
	}
	return false
}

// laterHeard is the one of two that was seen later.
func laterHeard(a, b *entry) *entry {
	if b.heard.After(a.heard) {
		return b
	}
	return a
}

// LinksHalls says whether the gateway should keep a link to another hall: one of few of
// its hall, or each where there are few of them. The order has nothing to do with that of
// those that read.
func (v *View) LinksHalls(now time.Time) bool {
	own, ahead := linkScore(v.self.ID), 0
	for _, e := range v.entries {
		if e.Hall == v.self.Hall && e.usable(now) && linkScore(e.ID) > own {
			ahead++
		}
	}
	return ahead < linksBetween
}

// linkScore ranks gateways for links between halls, by rendezvous hashing.
func linkScore(id string) uint64 { return xxhash.Sum64String("links\x00" + id) }

// LinksRegions says whether the gateway should keep a link to another region: one of few of
// its region, where it knows of any other.
func (v *View) LinksRegions(now time.Time) bool {
	own, ahead, spans := regionScore(v.self.ID), 0, false
	for _, e := range v.entries {
		switch {
		case !e.usable(now):
		case v.tier(e.Hall) == locality.OtherRegion:
			spans = true
		case regionScore(e.ID) > own:
			ahead++
		}
	}
	return spans && ahead < linksBetweenRegions
}

// regionScore ranks gateways for links between regions.
func regionScore(id string) uint64 { return xxhash.Sum64String("regions\x00" + id) }

// Alone says whether no other gateway is known that may be asked now.
func (v *View) Alone(now time.Time) bool {
	for _, e := range v.entries {
		if e.usable(now) {
			return false
		}
	}
	return true
}

// Lost draws one of the gateways that did not answer, and that nobody has seen
// since or that call this one all the same: it may be behind a cut that has healed.
func (v *View) Lost(now time.Time) (member.Box, bool) {
	lost := v.sorted(func(e *entry) bool { return e.lost && (e.called || !e.live(now)) })
	if len(lost) == 0 {
		return member.Box{}, false
	}
	return lost[v.intn(len(lost))].Box, true
}

package placement

import (
	"slices"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/locality"
)

const (
	// lostShare is the share of the targets that another region has on average below
	// which the own region has lost most of its own, so that other regions are asked,
	// too. Such a region can take little from the others, and a region that is
	// merely full never asks them (docs/design/regions.md).
	lostShare = 1.0 / 3
	// sameTrip is by how much the time there and back of two regions may differ for
	// both to count as equally far, so that no region takes all.
	sameTrip = 10 * time.Millisecond
)

// Filter is what Order goes by.
type Filter struct {
	// Tier is how far a hall is.
	Tier func(hall string) locality.Tier
	// Region names where a hall in another region stands, and Trip is the time there
	// and back to it; ok is false if that was never measured. Region is asked only where
	// there are targets of other regions, Trip only where these are used.
	Region func(hall string) string
	Trip   func(hall string) (d time.Duration, ok bool)
	// Avoid are the targets that had the request already.
	Avoid []catalog.Life
	// Closed says whether a target takes nothing for now by what it said of itself: it asked for
	// back-off, or has no credit by the limit that it names; nil where all take requests. Closed
	// targets are not probed either.
	Closed func(life catalog.Life) bool
	// Ejected says whether a target gets no requests now, and Cold counts the cold ones among
	// some targets, which take next to none.
	Ejected func(life catalog.Life) bool
	Cold    func(targets []catalog.Target) int
	// Connected says whether there is an idle connection to a target, which saves
	// it the time of a new one; nil takes no account of that, so that a gateway
	// goes on finding new targets.
	Connected func(life catalog.Life) bool
}

// Reach says whether targets of other regions are used, and why.
type Reach int

// The reaches.
const (
	// OwnRegionOnly: the own region has enough targets; no others are used.
	OwnRegionOnly Reach = iota
	// FewInRegion: the own region has lost most of its targets, or most are cold; others
	// are used, too.
	FewInRegion
	// NoneInRegion: no target of the own region takes requests.
	NoneInRegion
)

// String is how log lines name it.
func (r Reach) String() string {
	switch r {
	case OwnRegionOnly:
		return "own-region"
	case FewInRegion:
		return "few-in-region"
	default:
		return "none-in-region"
	}
}

// Order is the order in which the targets of one round are probed. It is made of the
// targets that it is given, so that a part of a service's targets can be ordered alone.
type Order struct {
	tiers [locality.OtherRegion + 1][]catalog.Target
	reach Reach
}

// NewOrder draws it: targets of the own hall first, connected ones before others, then
// those of the own region, then, where it has none or has lost most, those of other
// regions by the time there and back; else at random. Ejected targets are left out
// unless there are no others. shuffle is as rand.Shuffle.
func NewOrder(targets []catalog.Target, f Filter, shuffle func(n int, swap func(i, j int))) *Order {
	var o Order
	var ejected []catalog.Target
	for _, t := range targets {
		switch {
		case slices.Contains(f.Avoid, t.Life()):
		case f.Closed != nil && f.Closed(t.Life()):
		case f.Ejected(t.Life()):
			ejected = append(ejected, t)
		default:
			tier := f.Tier(t.Hall)
			o.tiers[tier] = append(o.tiers[tier], t)
		}
	}
	if o.count() == 0 {
		o.takeEjected(ejected, f)
	}
	o.limit(f)
	for _, tier := range o.tiers {
		shuffle(len(tier), func(i, j int) { tier[i], tier[j] = tier[j], tier[i] })
	}
	if f.Connected != nil {
		connectedFirst(o.tiers[locality.OwnHall], f.Connected)
	}
	if o.reach != OwnRegionOnly {
		nearestFirst(o.tiers[locality.OtherRegion], f.Trip)
	}
	return &o
}

// Reach says whether targets of other regions are used.
func (o *Order) Reach() Reach { return o.reach }

// Near are the targets of the own hall and, after them, of the own region.
func (o *Order) Near() []catalog.Target {
	return append(slices.Clone(o.tiers[locality.OwnHall]), o.tiers[locality.OwnRegion]...)
}

// Far are the targets of other regions that are used.
func (o *Order) Far() []catalog.Target { return o.tiers[locality.OtherRegion] }

func (o *Order) count() (n int) {
	for _, tier := range o.tiers {
		n += len(tier)
	}
	return n
}

// takeEjected uses the targets that failed, none before another for its hall.
func (o *Order) takeEjected(ejected []catalog.Target, f Filter) {
	for _, t := range ejected {
		tier := max(f.Tier(t.Hall), locality.OwnRegion)
		o.tiers[tier] = append(o.tiers[tier], t)
	}
}

// limit leaves other regions out unless the own one has lost most of its targets. Cold
// ones don't count: a region whose targets all come back at once takes few requests yet.
func (o *Order) limit(f Filter) {
	far := o.Far()
	if len(far) == 0 {
		return
	}
	near := o.Near()
	switch {
	case len(near) == 0:
		o.reach = NoneInRegion
	case warm(near, f) < lostShare*warm(far, f)/countRegions(far, f):
		o.reach = FewInRegion
	default:
		o.tiers[locality.OtherRegion] = nil
	}
}

// warm is how many of some targets are not cold.
func warm(targets []catalog.Target, f Filter) float64 {
	return float64(len(targets) - f.Cold(targets))
}

func countRegions(targets []catalog.Target, f Filter) float64 {
	regions := map[string]bool{}
	for _, t := range targets {
		regions[f.Region(t.Hall)] = true
	}
	return float64(len(regions))
}

func connectedFirst(targets []catalog.Target, connected func(life catalog.Life) bool) {
	sortByRank(targets, func(t catalog.Target) int {
		if connected(t.Life()) {
			return 0
		}
		return 1
	})
}

// nearestFirst sorts targets of other regions by the time there and back. Those of
// regions that were never measured count as nearest: the first answer measures it.
func nearestFirst(targets []catalog.Target, trip func(hall string) (time.Duration, bool)) {
	nearest := time.Duration(-1)
	for _, t := range targets {
		if d, ok := trip(t.Hall); ok && (nearest < 0 || d < nearest) {
			nearest = d
		}
	}
	sortByRank(targets, func(t catalog.Target) int {
		d, ok := trip(t.Hall)
		if !ok {
			return 0
		}
		return int((d - nearest) / sameTrip)
	})
}

// sortByRank puts the lowest rank first and keeps the order of the same rank.
func sortByRank(targets []catalog.Target, rank func(t catalog.Target) int) {
	slices.SortStableFunc(targets, func(a, b catalog.Target) int { return rank(a) - rank(b) })
}

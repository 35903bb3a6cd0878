package placement

import (
	"slices"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/locality"
)

const (
	// minRegionShare is a share of the average number of targets in the other regions. If
	// this gateway's region has fewer targets than that, most of them are assumed to be
	// lost and other regions are probed as well. A region this small adds little load to
	// the others; a region that is merely full never sends to them
	// (docs/design/regions.md).
	minRegionShare = 1.0 / 3
	// roundTripTolerance is the difference in round-trip time up to which two regions
	// count as equally far, so that one region does not receive all the requests.
	roundTripTolerance = 10 * time.Millisecond
)

// Filter holds the conditions by which NewOrder selects and sorts targets.
type Filter struct {
	// Tier returns how far a hall is.
	Tier func(hall string) locality.Tier
	// Region returns the region of a hall in another region, and RoundTrip the round-trip
	// time to it; ok is false if that was never measured. Region is called only if there
	// are targets in other regions, RoundTrip only if these are used.
	Region    func(hall string) string
	RoundTrip func(hall string) (d time.Duration, ok bool)
	// Avoid lists the targets that already received the request.
	Avoid []catalog.Life
	// Unavailable reports whether a target accepts no requests for now according to what
	// it advertised: it asked for back-off, or has no credit left under its limit. Nil
	// means that all accept requests. Unavailable targets are not probed either.
	Unavailable func(life catalog.Life) bool
	// Ejected reports whether a target is ejected and gets no requests now. Cold counts
	// the cold targets in a list; these accept very few requests.
	Ejected func(life catalog.Life) bool
	Cold    func(targets []catalog.Target) int
	// Connected reports whether there is an idle connection to a target, which saves it
	// the cost of a new one. Nil ignores connections, so that a gateway keeps discovering
	// new targets.
	Connected func(life catalog.Life) bool
}

// Reach says whether targets of other regions are used, and why.
type Reach int

// The values of Reach.
const (
	// OwnRegionOnly: this gateway's region has enough targets; no others are used.
	OwnRegionOnly Reach = iota
	// FewInRegion: this gateway's region has lost most of its targets, or most of them are
	// cold; other regions are used as well.
	FewInRegion
	// NoneInRegion: no target of this gateway's region accepts requests.
	NoneInRegion
)

// String returns the name used in log lines.
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

// Order is the order in which the targets of one round are probed. It is built only from
// the targets passed to NewOrder, so that a subset of a service's targets can be ordered
// separately.
type Order struct {
	tiers [locality.OtherRegion + 1][]catalog.Target
	reach Reach
}

// NewOrder sorts targets into tiers: this gateway's hall first, with connected targets
// ahead of others; then its region; then, if its region has no targets or has lost most of
// them, other regions by round-trip time. Within these rules the order is random. Ejected
// targets are left out unless there are no others. shuffle has the contract of
// rand.Shuffle.
func NewOrder(targets []catalog.Target, f Filter, shuffle func(n int, swap func(i, j int))) *Order {
	var o Order
	var ejected []catalog.Target
	for _, t := range targets {
		switch {
		case slices.Contains(f.Avoid, t.Life()):
		case f.Unavailable != nil && f.Unavailable(t.Life()):
		case f.Ejected(t.Life()):
			ejected = append(ejected, t)
		default:
			tier := f.Tier(t.Hall)
			o.tiers[tier] = append(o.tiers[tier], t)
		}
	}
	if o.count() == 0 {
		o.addEjected(ejected, f)
	}
	o.limitRegions(f)
	for _, tier := range o.tiers {
		shuffle(len(tier), func(i, j int) { tier[i], tier[j] = tier[j], tier[i] })
	}
	if f.Connected != nil {
		connectedFirst(o.tiers[locality.OwnHall], f.Connected)
	}
	if o.reach != OwnRegionOnly {
		nearestFirst(o.tiers[locality.OtherRegion], f.RoundTrip)
	}
	return &o
}

// Reach returns whether targets of other regions are used, and why.
func (o *Order) Reach() Reach { return o.reach }

// Near returns the targets of this gateway's hall followed by those of its region.
func (o *Order) Near() []catalog.Target {
	return append(slices.Clone(o.tiers[locality.OwnHall]), o.tiers[locality.OwnRegion]...)
}

// Far returns the targets of other regions that are used.
func (o *Order) Far() []catalog.Target { return o.tiers[locality.OtherRegion] }

func (o *Order) count() (n int) {
	for _, tier := range o.tiers {
		n += len(tier)
	}
	return n
}

// addEjected adds the targets that failed, with those of this gateway's hall ranked equal
// to those of its region.
func (o *Order) addEjected(ejected []catalog.Target, f Filter) {
	for _, t := range ejected {
		tier := max(f.Tier(t.Hall), locality.OwnRegion)
		o.tiers[tier] = append(o.tiers[tier], t)
	}
}

// limitRegions removes other regions unless this gateway's has lost most of its targets.
// Cold targets don't count: a region whose targets all restart at once can take few
// requests yet.
func (o *Order) limitRegions(f Filter) {
	far := o.Far()
	if len(far) == 0 {
		return
	}
	near := o.Near()
	switch {
	case len(near) == 0:
		o.reach = NoneInRegion
	case countWarm(near, f) < minRegionShare*countWarm(far, f)/regionCount(far, f):
		o.reach = FewInRegion
	default:
		o.tiers[locality.OtherRegion] = nil
	}
}

// countWarm returns how many of the targets are not cold.
func countWarm(targets []catalog.Target, f Filter) float64 {
	return float64(len(targets) - f.Cold(targets))
}

func regionCount(targets []catalog.Target, f Filter) float64 {
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

// nearestFirst sorts targets of other regions by round-trip time. Regions that were never
// measured count as nearest, so that the first answer measures them.
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
		return int((d - nearest) / roundTripTolerance)
	})
}

// sortByRank sorts by ascending rank and keeps the order of targets with the same rank.
func sortByRank(targets []catalog.Target, rank func(t catalog.Target) int) {
	slices.SortStableFunc(targets, func(a, b catalog.Target) int { return rank(a) - rank(b) })
}

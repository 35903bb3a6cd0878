package locality

import "time"

// tripMemory is for how long, at least, the lowest measured time there and back outweighs
// longer ones that come after it; at most twice as long. A way that became longer
// is known within a minute, and a few slow probes don't make one longer.
const tripMemory = 30 * time.Second

// Trips holds the time there and back to each region, as it was measured: the lowest of
// what connections and probes took, since all that adds to it is a target's own time.
// It is not safe for concurrent use.
type Trips struct {
	regions map[string]trip
}

// trip holds the lowest times of the span that began at since, and of the one before it.
type trip struct {
	since           time.Time
	lowest, earlier time.Duration
}

// NewTrips makes one that has measured nothing.
func NewTrips() *Trips { return &Trips{regions: map[string]trip{}} }

// Observe notes what one connection or probe took. region is where the target's hall
// stands, or the hall itself where that is not known.
func (t *Trips) Observe(now time.Time, region string, took time.Duration) {
	known, ok := t.regions[region]
	switch {
	case !ok || now.Sub(known.since) >= 2*tripMemory:
		known = trip{since: now, lowest: took, earlier: took}
	case now.Sub(known.since) >= tripMemory:
		known = trip{since: now, lowest: took, earlier: known.lowest}
	default:
		known.lowest = min(known.lowest, took)
	}
	t.regions[region] = known
}

// Of is the time there and back to a region; measured is false if none was ever
// measured. An old time holds until another one is measured.
func (t *Trips) Of(region string) (d time.Duration, measured bool) {
	known, ok := t.regions[region]
	return min(known.lowest, known.earlier), ok
}

// All are the times there and back by region.
func (t *Trips) All() map[string]time.Duration {
	all := make(map[string]time.Duration, len(t.regions))
	for region := range t.regions {
		all[region], _ = t.Of(region)
	}
	return all
}

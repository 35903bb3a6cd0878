package locality

import "time"

// minWindow is for how long, at least, the lowest measured round-trip time takes
// precedence over longer ones measured later; the maximum is twice as long. A path that
// became longer is known within a minute, and a few slow probes don't make one longer.
const minWindow = 30 * time.Second

// RoundTrips holds the measured round-trip time to each region: the lowest that
// connections and probes took, because all beyond the minimum is a target's own
// processing time. It is not safe for concurrent use.
type RoundTrips struct {
	regions map[string]windowMinimum
}

// windowMinimum holds the lowest times of the window that started at since, and of the
// previous window.
type windowMinimum struct {
	since            time.Time
	lowest, previous time.Duration
}

// NewRoundTrips returns a RoundTrips without measurements.
func NewRoundTrips() *RoundTrips { return &RoundTrips{regions: map[string]windowMinimum{}} }

// Observe records the round-trip time of one connection or probe. region is the region of
// the target's hall, or the hall itself if its region is not known.
func (t *RoundTrips) Observe(now time.Time, region string, took time.Duration) {
	window, ok := t.regions[region]
	switch {
	case !ok || now.Sub(window.since) >= 2*minWindow:
		window = windowMinimum{since: now, lowest: took, previous: took}
	case now.Sub(window.since) >= minWindow:
		window = windowMinimum{since: now, lowest: took, previous: window.lowest}
	default:
		window.lowest = min(window.lowest, took)
	}
	t.regions[region] = window
}

// Get returns the round-trip time to a region; measured is false if there was no
// measurement. An old value is kept until another one is measured.
func (t *RoundTrips) Get(region string) (d time.Duration, measured bool) {
	window, ok := t.regions[region]
	return min(window.lowest, window.previous), ok
}

// All returns the round-trip times by region.
func (t *RoundTrips) All() map[string]time.Duration {
	all := make(map[string]time.Duration, len(t.regions))
	for region := range t.regions {
		all[region], _ = t.Get(region)
	}
	return all
}

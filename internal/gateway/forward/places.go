package forward

import (
	"log/slog"
	"sync"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/locality"
)

// assumedTrip is taken for the time there and back to a region until that is measured, by
// the first connection: longer than most, since a probe for which nobody waits
// long enough is wasted.
const assumedTrip = 100 * time.Millisecond

// places knows how far halls are, and measures the time there and back. It is safe for
// concurrent use.
type places struct {
	current func() *locality.Map
	log     *slog.Logger
	unnamed sync.Map // halls that the settings don't name, as they were logged

	mu    sync.Mutex
	trips *locality.RoundTrips
}

func newPlaces(current func() *locality.Map, log *slog.Logger) *places {
	return &places{current: current, log: log, trips: locality.NewRoundTrips()}
}

// spans says whether the fleet spans regions.
func (p *places) spans() bool { return p.current().SpansRegions() }

// tier is how far a hall is.
func (p *places) tier(hall string) locality.Tier {
	m := p.current()
	tier := m.Tier(hall)
	if tier == locality.OtherRegion {
		if _, ok := m.Region(hall); !ok {
			p.noteUnnamed(hall)
		}
	}
	return tier
}

// noteUnnamed logs, once, that the settings don't say where a hall stands.
func (p *places) noteUnnamed(hall string) {
	if _, noted := p.unnamed.LoadOrStore(hall, true); !noted {
		p.log.Warn("hall without a region counts as far", "hall", hall)
	}
}

// region is where a hall stands; the hall itself where that is not known.
func (p *places) region(hall string) string {
	if region, ok := p.current().Region(hall); ok {
		return region
	}
	return hall
}

// allowed are the targets in regions that the route and the workspace of a request allow.
func (p *places) allowed(req *request, targets []catalog.Target) []catalog.Target {
	w := req.caller.Load().workspace
	if req.route.Regions == nil && w.AllowsAll() {
		return targets
	}
	m := p.current()
	var allowed []catalog.Target
	for _, t := range targets {
		if region, known := m.Region(t.Hall); req.route.Allows(region, known) && w.Allows(region, known) {
			allowed = append(allowed, t)
		}
	}
	return allowed
}

// measured is the time there and back to a hall's region; ok is false if none was
// measured.
func (p *places) measured(hall string) (d time.Duration, ok bool) {
	region := p.region(hall)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.trips.Get(region)
}

// trip is the time there and back that a target of a hall adds: 0 within the region,
// whose ways are too short to matter.
func (p *places) trip(hall string) time.Duration {
	if p.current().Tier(hall) != locality.OtherRegion {
		return 0
	}
	if d, ok := p.measured(hall); ok {
		return d
	}
	return assumedTrip
}

// observe notes what a connection to a hall, or a probe there, took.
func (p *places) observe(now time.Time, hall string, took time.Duration) {
	region := p.region(hall)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.trips.Observe(now, region, took)
}

// all are the times there and back that were measured, by region.
func (p *places) all() map[string]time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.trips.All()
}

// longestTrip is the time there and back to the farthest of some targets.
func (b *balancer) longestTrip(targets []catalog.Target) (longest time.Duration) {
	for _, t := range targets {
		longest = max(longest, b.places.trip(t.Hall))
	}
	return longest
}

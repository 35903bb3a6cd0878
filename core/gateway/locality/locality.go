// Package locality classifies halls by how far they are from this gateway: in a fleet
// that spans regions, a message from one region to another takes tens of milliseconds one
// way, and a message between two halls of one region less than one.
//
// It owns the tiers into which halls are divided, and the measured round-trip times. The
// region of each hall comes from the settings; a Map is immutable. The package does no
// I/O, reads no clock and holds no lock. core/gateway/placement decides what a tier means
// for a request.
//
// # Usage
//
//	m := locality.New("hall-a", "north", map[string]string{"hall-a": "north", "hall-b": "south"})
//	tier := m.Tier(target.Hall) // locality.OtherRegion for hall-b
//	roundTrips := locality.NewRoundTrips()
//	roundTrips.Observe(now, "south", 41*time.Millisecond)
//	d, measured := roundTrips.Get("south")
package locality

// Tier ranks halls by distance.
type Tier int

// The tiers, nearest first.
const (
	OwnHall Tier = iota
	OwnRegion
	OtherRegion
)

// String returns the name used in logs and metrics.
func (t Tier) String() string {
	switch t {
	case OwnHall:
		return "own-hall"
	case OwnRegion:
		return "own-region"
	default:
		return "other-region"
	}
}

// Map holds the region of each hall, from the point of view of one gateway.
type Map struct {
	hall, region string
	regions      map[string]string
	spansRegions bool
}

// New returns the map of a gateway in a hall. regions holds the region of each hall;
// region is the gateway's own and may be empty if regions holds it.
func New(hall, region string, regions map[string]string) *Map {
	if region == "" {
		region = regions[hall]
	}
	m := &Map{hall: hall, region: region, regions: regions}
	for _, otherRegion := range regions {
		m.spansRegions = m.spansRegions || otherRegion != region
	}
	return m
}

// SpansRegions reports whether any hall is in another region. If none is, Tier never
// returns OtherRegion, whether the settings name a hall or not.
func (m *Map) SpansRegions() bool { return m.spansRegions }

// Tier returns how far a hall is. In a fleet that spans regions, a hall that the settings
// don't name counts as being in another region, because it may be anywhere.
func (m *Map) Tier(hall string) Tier {
	switch {
	case hall == m.hall:
		return OwnHall
	case !m.spansRegions || m.inOwnRegion(hall):
		return OwnRegion
	default:
		return OtherRegion
	}
}

func (m *Map) inOwnRegion(hall string) bool {
	region, ok := m.regions[hall]
	return ok && region == m.region
}

// Region returns the region of a hall; ok is false if the settings don't say. If no hall
// has a region, all are in the gateway's own.
func (m *Map) Region(hall string) (region string, ok bool) {
	if hall == m.hall || len(m.regions) == 0 {
		return m.region, m.region != ""
	}
	region, ok = m.regions[hall]
	return region, ok
}

// HasRegion reports whether the settings name a region.
func (m *Map) HasRegion(region string) bool {
	if region == m.region {
		return region != ""
	}
	for _, known := range m.regions {
		if known == region {
			return true
		}
	}
	return false
}

package locality_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/core/gateway/locality"
)

var regions = map[string]string{"a": "north", "b": "north", "c": "south"}

func TestTierAndRegionOfHalls(t *testing.T) {
	for name, c := range map[string]struct {
		hall, region string
		regions      map[string]string
		of           string
		tier         locality.Tier
		in           string
		known        bool
	}{
		"the own hall":                                         {"a", "north", regions, "a", locality.OwnHall, "north", true},
		"another hall of the region":                           {"a", "north", regions, "b", locality.OwnRegion, "north", true},
		"another region":                                       {"a", "north", regions, "c", locality.OtherRegion, "south", true},
		"an unnamed hall":                                      {"a", "north", regions, "z", locality.OtherRegion, "", false},
		"the own region by the map":                            {"a", "", regions, "b", locality.OwnRegion, "north", true},
		"the own hall not in the map":                          {"y", "south", regions, "c", locality.OwnRegion, "south", true},
		"no regions at all":                                    {"a", "", nil, "c", locality.OwnRegion, "", false},
		"no regions at all, the own hall":                      {"a", "", nil, "a", locality.OwnHall, "", false},
		"one region, no map":                                   {"a", "north", nil, "c", locality.OwnRegion, "north", true},
		"one region, an unnamed hall":                          {"a", "north", map[string]string{"a": "north"}, "z", locality.OwnRegion, "", false},
		"neither region nor own hall in the map":               {"y", "", regions, "z", locality.OtherRegion, "", false},
		"neither region nor own hall in the map, a named hall": {"y", "", regions, "a", locality.OtherRegion, "north", true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			m := locality.New(c.hall, c.region, c.regions)
			g.Expect(m.Tier(c.of)).To(Equal(c.tier))
			in, known := m.Region(c.of)
			g.Expect(in).To(Equal(c.in))
			g.Expect(known).To(Equal(c.known))
		})
	}
}

func TestSpansRegionsIfAnyHallIsInAnotherRegion(t *testing.T) {
	g := NewWithT(t)
	g.Expect(locality.New("a", "north", regions).SpansRegions()).To(BeTrue())
	g.Expect(locality.New("a", "north", map[string]string{"a": "north", "b": "north"}).SpansRegions()).To(BeFalse())
	g.Expect(locality.New("a", "", nil).SpansRegions()).To(BeFalse())
}

func TestHasRegionReportsRegionsNamedInSettings(t *testing.T) {
	g := NewWithT(t)
	m := locality.New("a", "north", regions)
	g.Expect(m.HasRegion("north")).To(BeTrue())
	g.Expect(m.HasRegion("south")).To(BeTrue())
	g.Expect(m.HasRegion("east")).To(BeFalse())
	g.Expect(m.HasRegion("")).To(BeFalse())
	g.Expect(locality.New("a", "", nil).HasRegion("")).To(BeFalse())
}

func TestLowestRoundTripIsKeptForAWindow(t *testing.T) {
	g := NewWithT(t)
	const second = time.Second
	start := time.Unix(1000, 0)
	roundTrips := locality.NewRoundTrips()
	_, measured := roundTrips.Get("south")
	g.Expect(measured).To(BeFalse())
	at := func(after, took time.Duration) time.Duration {
		roundTrips.Observe(start.Add(after), "south", took)
		d, measured := roundTrips.Get("south")
		g.Expect(measured).To(BeTrue())
		return d
	}
	g.Expect(at(0, 50*time.Millisecond)).To(Equal(50 * time.Millisecond))
	g.Expect(at(second, 40*time.Millisecond)).To(Equal(40 * time.Millisecond))
	g.Expect(at(2*second, 240*time.Millisecond)).To(Equal(40*time.Millisecond), "a slow answer does not raise the minimum")
	g.Expect(at(31*second, 90*time.Millisecond)).To(Equal(40*time.Millisecond), "the previous window still counts")
	g.Expect(at(62*second, 95*time.Millisecond)).To(Equal(90*time.Millisecond), "the path became longer")
	g.Expect(at(200*second, 99*time.Millisecond)).To(Equal(99*time.Millisecond), "the previous window has expired")
	g.Expect(roundTrips.All()).To(Equal(map[string]time.Duration{"south": 99 * time.Millisecond}))
}

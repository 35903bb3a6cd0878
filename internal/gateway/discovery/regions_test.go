package discovery_test

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/core/gateway/locality"
	"github.com/sprucecrank/sprucecrank/internal/gateway/discovery"
)

// These tests run fleets that span regions of two halls each, with the store in one of
// them. The environment variables FLEET, REGIONS and WIDE_MS (the one-way delay between two
// regions) set their parameters.

const (
	hallsOfRegion          = 2
	otherHallInRegionDelay = 500 * time.Microsecond
	defaultRegionDelay     = 20 * time.Millisecond
	storeRegion            = "region-0"
	// withinRegionsSlack is how long a change takes to spread within regions.
	withinRegionsSlack = 50 * time.Millisecond
)

func intFromEnvironment(name string, usual int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return usual
}

// regionDelays returns the delays between regions to test with.
func regionDelays() []time.Duration {
	if ms := intFromEnvironment("WIDE_MS", 0); ms > 0 {
		return []time.Duration{time.Duration(ms) * time.Millisecond}
	}
	return []time.Duration{defaultRegionDelay, 5 * defaultRegionDelay, 10 * defaultRegionDelay}
}

// regionFleet is a fleet that spans regions.
type regionFleet struct {
	*virtualFleet
	regions int
}

func newRegionFleet(t *testing.T, size, regions int, seed uint64, regionDelay time.Duration) *regionFleet {
	f := &virtualFleet{t: t, fabric: newFabric(), store: newFilledStore(), seed: seed, source: sourceWithLatency, halls: regions * hallsOfRegion}
	f.fabric.otherHallDelay, f.fabric.otherRegionDelay, f.fabric.regions = otherHallInRegionDelay, regionDelay, map[string]string{}
	for hall := range f.halls {
		f.fabric.regions["hall-"+strconv.Itoa(hall)] = "region-" + strconv.Itoa(hall%regions)
	}
	f.storeLatency = func(hall string) time.Duration {
		if f.fabric.regions[hall] == storeRegion {
			return otherHallInRegionDelay
		}
		return regionDelay
	}
	f.locality = func(hall string) *locality.Map { return locality.New(hall, "", f.fabric.regions) }
	f.startAll(size)
	return &regionFleet{virtualFleet: f, regions: regions}
}

// in lists the gateways of a region.
func (f *regionFleet) in(region string) []*gateway {
	return slices.DeleteFunc(slices.Clone(f.gateways), func(g *gateway) bool { return f.regionOf(g) != region })
}

func (f *regionFleet) regionOf(g *gateway) string {
	f.fabric.mu.Lock()
	defer f.fabric.mu.Unlock()
	return f.fabric.region(g.Addr().String())
}

// sourceWithLatency is the basic source with responses that are delayed as well as
// requests.
func sourceWithLatency(a *access) discovery.Source {
	source := a.source()
	source.Config = delayedCall(a, source.Config)
	source.Targets = delayedCall(a, source.Targets)
	source.StaleRead = delayedCall(a, source.StaleRead)
	source.WatchConfig = delayedWatch(a, source.WatchConfig)
	source.WatchTargets = delayedWatch(a, source.WatchTargets)
	ping := source.Ping
	source.Ping = func(ctx context.Context) error {
		defer time.Sleep(a.latency)
		return ping(ctx)
	}
	return source
}

func delayedCall[T any](a *access, call func(context.Context) (T, error)) func(context.Context) (T, error) {
	return func(ctx context.Context) (T, error) {
		defer time.Sleep(a.latency)
		return call(ctx)
	}
}

func delayedWatch[T any](a *access, call func(context.Context, uint64, time.Duration) (T, error)) func(context.Context, uint64, time.Duration) (T, error) {
	return func(ctx context.Context, from uint64, wait time.Duration) (T, error) {
		defer time.Sleep(a.latency)
		return call(ctx, from, wait)
	}
}

// onRegionFleet runs f on a settled fleet in a synctest bubble.
func onRegionFleet(t *testing.T, size, regions int, seed uint64, regionDelay time.Duration, f func(g *WithT, fleet *regionFleet)) {
	t.Run(fmt.Sprintf("%d gateways, %d regions, seed %d, %v", size, regions, seed, regionDelay), func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			fleet := newRegionFleet(t, size, regions, seed, regionDelay)
			defer time.Sleep(10 * time.Second) // until all goroutines of the bubble have ended
			defer fleet.stopAll()
			f(NewWithT(t), fleet)
		})
	})
}

// traffic counts what was sent between regions.
type traffic struct{ bytes, writes int64 }

func (f *regionFleet) regionTraffic() traffic {
	return traffic{bytes: f.fabric.betweenRegions.Load(), writes: f.fabric.writesBetweenRegions.Load()}
}

// maxAge returns the greatest age of any gateway's state during a time.
func (f *regionFleet) maxAge(over time.Duration) (age time.Duration) {
	for began := time.Now(); time.Since(began) < over; time.Sleep(50 * time.Millisecond) {
		for _, gw := range f.gateways {
			age = max(age, gw.Age())
		}
	}
	return age
}

// readingRegions lists the regions of the gateways that read the store.
func (f *regionFleet) readingRegions() (regions []string) {
	for _, gw := range readersByLog(f.gateways) {
		regions = append(regions, f.regionOf(gw))
	}
	return regions
}

func TestConfigurationChangeReachesAllRegions(t *testing.T) {
	size, regions := fleetSize(93), intFromEnvironment("REGIONS", 3)
	for _, regionDelay := range regionDelays() {
		onRegionFleet(t, size, regions, 0, regionDelay, func(g *WithT, fleet *regionFleet) {
			const idle = 20 // seconds
			before, calls := fleet.regionTraffic(), fleet.store.calls.Load()
			oldest := fleet.maxAge(idle * time.Second)
			after := fleet.regionTraffic()
			spent := fleet.store.calls.Load() - calls
			var took []time.Duration
			for version := uint64(2); version < 8; version++ {
				fleet.store.setConfig(version)
				took = append(took, fleet.untilVersion(fleet.gateways, version).Round(time.Millisecond))
				time.Sleep(time.Second)
			}
			g.Expect(slices.Max(took)).To(BeNumerically("<=", 5*regionDelay+withinRegionsSlack))
			g.Expect(oldest).To(BeNumerically("<", fleetTiming.MustReadAfter))
			g.Expect(spent).To(BeNumerically("<", 140), "one gateway reads, and pings three times a second")
			fleet.t.Logf("FIGURES size %d regions %d delay %v: start %d kB; idle: %d calls, oldest %v, %.1f kB/s, %.0f writes/s between regions; %d reading starts, readers in %v; in force after %v",
				size, regions, regionDelay, before.bytes/1000, spent, oldest.Round(time.Millisecond), float64(after.bytes-before.bytes)/idle/1000,
				float64(after.writes-before.writes)/idle, readingStarts(fleet.gateways), fleet.readingRegions(), took)
		})
	}
}

// cutRegions cuts the paths between some regions and all others; with oneWay, the paths out
// of them stay open.
func (f *regionFleet) cutRegions(regions []string, oneWay bool) {
	inside := map[string]bool{}
	for _, gw := range f.gateways {
		inside[gw.Addr().String()] = slices.Contains(regions, f.regionOf(gw))
	}
	f.fabric.setCut(func(from, to string) bool {
		return inside[from] != inside[to] && (!oneWay || inside[to])
	})
}

func TestPartitionedRegionReadsTheStoreAndRejoins(t *testing.T) {
	for name, c := range map[string]struct {
		oneWay bool
		store  bool // whether the gateways that are cut off reach the store
		region string
	}{
		"both ways":                     {false, true, "region-1"},
		"both ways, and from the store": {false, false, "region-1"},
		"one way":                       {true, true, "region-2"},
		"one way, and from the store":   {true, false, "region-2"},
		"the store's region":            {false, true, storeRegion},
		"the store's region, one way":   {true, true, storeRegion},
		"the store's region, the others don't reach the store": {false, true, storeRegion},
	} {
		t.Run(name, func(t *testing.T) {
			onRegionFleet(t, fleetSize(48), 3, 1, defaultRegionDelay, func(g *WithT, fleet *regionFleet) {
				part := fleet.in(c.region)
				rest := without(fleet.gateways, part)
				before, calls := readingStarts(fleet.gateways), fleet.store.calls.Load()
				fleet.cutRegions([]string{c.region}, c.oneWay)
				withoutStore := part
				if name == "the store's region, the others don't reach the store" {
					withoutStore = rest
				}
				withStore := fleet.gateways
				if !c.store || len(withoutStore) == len(rest) {
					for _, gw := range withoutStore {
						gw.access.silent.Store(true)
					}
					withStore = without(fleet.gateways, withoutStore)
				}
				time.Sleep(4 * time.Second)
				sent := fleet.regionTraffic()
				fleet.store.setConfig(2)
				took := fleet.untilVersion(withStore, 2)
				time.Sleep(3*time.Second - took)
				spent := fleet.store.calls.Load() - calls
				fleet.t.Logf("%d reading starts, %d calls in 7 s; in force after %v where the store is reachable; %d bytes between regions in 3 s",
					readingStarts(fleet.gateways)-before, spent, took, fleet.regionTraffic().bytes-sent.bytes)
				g.Expect(took).To(BeNumerically("<", 500*time.Millisecond))
				g.Expect(spent).To(BeNumerically("<", 150))
				for _, gw := range fleet.gateways {
					g.Expect(gw.targets()).NotTo(BeEmpty(), "all continue with their last known state")
				}
				fleet.fabric.setCut(func(string, string) bool { return false })
				for _, gw := range withoutStore {
					gw.access.silent.Store(false)
				}
				time.Sleep(6 * time.Second)
				fleet.store.setConfig(3)
				took = fleet.untilVersion(fleet.gateways, 3)
				fleet.t.Logf("after the partition: in force after %v, readers in %v", took, fleet.readingRegions())
				g.Expect(took).To(BeNumerically("<", 500*time.Millisecond), "the regions have reconnected")
				g.Expect(len(readersByLog(fleet.gateways))).To(BeNumerically("<=", 2))
			})
		})
	}
}

func TestRegionWithPacketLossReceivesChanges(t *testing.T) {
	for _, share := range []float64{0.03, 0.1} {
		onRegionFleet(t, fleetSize(48), 3, 1, defaultRegionDelay, func(g *WithT, fleet *regionFleet) {
			const lossy = "region-1"
			fleet.fabric.setLoss(func(from, to string) float64 {
				if from == lossy || to == lossy {
					return share
				}
				return 0
			})
			before, calls := readingStarts(fleet.gateways), fleet.store.calls.Load()
			var took []time.Duration
			for version := uint64(2); version < 12; version++ {
				fleet.store.setConfig(version)
				took = append(took, fleet.untilVersion(fleet.gateways, version).Round(time.Millisecond))
				time.Sleep(time.Second)
			}
			spent := fleet.store.calls.Load() - calls
			fleet.t.Logf("%.0f of 100 packets lost: in force after %v; %d reading starts, %d calls in 10 s",
				100*share, took, readingStarts(fleet.gateways)-before, spent)
			g.Expect(slices.Max(took)).To(BeNumerically("<", time.Second))
			g.Expect(spent).To(BeNumerically("<", 150))
			g.Expect(readingStarts(fleet.gateways) - before).To(BeNumerically("<=", 6))
		})
	}
}

func TestRestartOfRegionalFleetBoundsTraffic(t *testing.T) {
	onRegionFleet(t, fleetSize(93), intFromEnvironment("REGIONS", 3), 1, defaultRegionDelay, func(g *WithT, fleet *regionFleet) {
		size := len(fleet.gateways)
		fleet.stopAll()
		time.Sleep(time.Second)
		before, calls := fleet.regionTraffic(), fleet.store.calls.Load()
		began := time.Now()
		for i := range size {
			fleet.gateways[i] = fleet.start(i, false)
		}
		most, last := int64(0), before.bytes
		var ready time.Duration
		for time.Since(began) < 4*time.Second {
			time.Sleep(50 * time.Millisecond)
			now := fleet.regionTraffic().bytes
			most, last = max(most, now-last), now
			if ready == 0 && !slices.ContainsFunc(fleet.gateways, isNotReady) {
				ready = time.Since(began)
			}
		}
		sent, spent := last-before.bytes, fleet.store.calls.Load()-calls
		fleet.t.Logf("FIGURES all ready after %v; %d kB between regions in 4 s, at most %d kB in 50 ms; %d calls", ready, sent/1000, most/1000, spent)
		g.Expect(ready).To(BeNumerically(">", 0))
		g.Expect(ready).To(BeNumerically("<", 500*time.Millisecond))
		g.Expect(sent).To(BeNumerically("<", int64(size)*20_000))
		g.Expect(most).To(BeNumerically("<", int64(2_500_000)), "a tenth of what a link between regions of 4,000 Mbit/s carries")
	})
}

func isNotReady(gw *gateway) bool {
	select {
	case <-gw.Ready():
		return false
	default:
		return true
	}
}

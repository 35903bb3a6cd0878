package discovery_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/signal"
)

// untilAll returns the time until a condition holds at all gateways.
func untilAll(gateways []*gateway, holds func(g *gateway) bool) time.Duration {
	_, all := untilHalfAndAll(gateways, holds)
	return all
}

// untilHalfAndAll returns the times until a condition holds at half of the gateways and at
// all.
func untilHalfAndAll(gateways []*gateway, holds func(g *gateway) bool) (half, all time.Duration) {
	began := time.Now()
	left := slices.Clone(gateways)
	for {
		left = slices.DeleteFunc(left, holds)
		if half == 0 && 2*len(left) <= len(gateways) {
			half = time.Since(began)
		}
		if len(left) == 0 || time.Since(began) >= waitLimit {
			return half, time.Since(began)
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against each gateway of a large fleet sending a request to a target that asks for
// back-off, and having it refused, before it backs off.
func TestTargetBackOffReachesFleetWithin100ms(t *testing.T) {
	backingOff := catalog.Target{ID: "t1", Service: "shop", Born: 1}
	candidates := []catalog.Target{backingOff, {ID: "t2", Service: "shop", Born: 1}}
	for _, size := range []int{3, 17, fleetSize(100)} {
		onFleet(t, size, 2, func(g *WithT, fleet *virtualFleet) {
			holds := func(gw *gateway) bool { return gw.signals.Avoided(candidates)[backingOff.Life()] }
			fleet.gateways[0].signals.Observe(backingOff, signal.Signals{BackOff: 5 * time.Second})
			time.Sleep(time.Second)
			g.Expect(slices.IndexFunc(fleet.gateways[1:], holds)).To(Equal(-1), "it asked only one gateway")
			fleet.gateways[1].signals.Observe(backingOff, signal.Signals{BackOff: 5 * time.Second})
			bytes := fleet.fabric.all.Load()
			half, took := untilHalfAndAll(fleet.gateways, holds)
			sent := float64(fleet.fabric.all.Load()-bytes) / float64(size)
			fleet.t.Logf("%d gateways: known to half after %v, to all after %v, %.0f bytes per gateway meanwhile", size, half, took, sent)
			g.Expect(took).To(BeNumerically("<", 100*time.Millisecond))
			time.Sleep(4500 * time.Millisecond)
			g.Expect(slices.IndexFunc(fleet.gateways[2:], holds)).To(Equal(-1), "it expires everywhere")
			g.Expect(fleet.gateways[1].signals.BackOffLeft(backingOff.Life())).To(BeNumerically(">", 0), "the target asked this gateway itself, and for longer")
			g.Expect(fleet.gateways[2].signals.BackOffLeft(backingOff.Life())).To(BeZero())
		})
	}
}

// A target signals to a single gateway that it leaves, while its entry in the store does
// not.
func TestLeavingTargetReachesFleetWithin100ms(t *testing.T) {
	for _, size := range []int{3, 17, fleetSize(100)} {
		onFleet(t, size, 2, func(g *WithT, fleet *virtualFleet) {
			for i := range 300 { // all report when they started
				fleet.store.setIncarnation(fmt.Sprint("t", i), 1, "10.0.0.1:80", false)
			}
			time.Sleep(2 * time.Second)
			g.Expect(untilAll(fleet.gateways, func(gw *gateway) bool { return gw.routesTo("t1", "10.0.0.1:80") })).To(BeNumerically("<", 2*time.Second))
			leaving := catalog.Target{ID: "t1", Service: "shop", Born: 1}
			fleet.gateways[0].signals.Observe(leaving, signal.Signals{Leaving: true})
			half, took := untilHalfAndAll(fleet.gateways, func(gw *gateway) bool { return gw.Snapshot().IsLeaving(leaving.Life()) })
			fleet.t.Logf("%d gateways: known to half after %v, to all after %v", size, half, took)
			g.Expect(took).To(BeNumerically("<", 100*time.Millisecond))
			fleet.store.setIncarnation("t1", 2, "10.0.0.2:80", false)
			g.Expect(untilAll(fleet.gateways, func(gw *gateway) bool { return gw.routesTo("t1", "10.0.0.2:80") })).To(BeNumerically("<", 2*time.Second))
		})
	}
}

// All targets of a large service ask each gateway whose requests they refuse for back-off.
func TestBackOffOfAllTargetsTakesBoundedTraffic(t *testing.T) {
	const targets, seconds = 120, 10
	for _, size := range []int{18, fleetSize(100)} {
		onFleet(t, size, 1, func(g *WithT, fleet *virtualFleet) {
			random := rand.New(rand.NewPCG(fleet.seed, 7))
			bytes, writes := fleet.fabric.all.Load(), fleet.fabric.writes.Load()
			for range 10 * seconds * targets {
				target := catalog.Target{ID: "t" + strconv.Itoa(random.IntN(targets)), Service: "shop", Born: 1}
				at := fleet.gateways[random.IntN(size)].signals
				if at.BackOffLeft(target.Life()) == 0 {
					at.Observe(target, signal.Signals{BackOff: 3 * time.Second})
				}
				time.Sleep(time.Second / (10 * targets))
			}
			rate := func(now, before int64) float64 { return float64(now-before) / seconds / float64(size) }
			inBytes, inWrites := rate(fleet.fabric.all.Load(), bytes), rate(fleet.fabric.writes.Load(), writes)
			last := catalog.Target{ID: "last", Service: "shop", Born: 1}
			holds := func(gw *gateway) bool { return gw.signals.Avoided([]catalog.Target{last, {ID: "t"}})[last.Life()] }
			fleet.gateways[0].signals.Observe(last, signal.Signals{BackOff: 5 * time.Second})
			fleet.gateways[1].signals.Observe(last, signal.Signals{BackOff: 5 * time.Second})
			half, all := untilHalfAndAll(fleet.gateways, holds)
			fleet.t.Logf("%d gateways: per second and gateway %.0f bytes in %.0f writes; the last known to half after %v, to all after %v", size, inBytes, inWrites, half, all)
			g.Expect(inBytes).To(BeNumerically("<", 45000), "independent of the fleet size")
			g.Expect(inWrites).To(BeNumerically("<", 100))
			g.Expect(all).To(BeNumerically("<", 1500*time.Millisecond))
		})
	}
}

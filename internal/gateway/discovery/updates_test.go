package discovery_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	corequota "github.com/sprucecrank/sprucecrank/core/gateway/quota"
	"github.com/sprucecrank/sprucecrank/core/member"
	"github.com/sprucecrank/sprucecrank/internal/gateway/quota"
)

// limitedTarget is a target that advertises a limit.
var limitedTarget = catalog.Life{ID: "target-1", Born: 1}

// newLimits returns the target limits of a gateway that requests credit from no other
// gateway.
func newLimits() *quota.Limiter {
	return quota.New(quota.Options{
		HasLimits: func() bool { return false }, FleetSize: func() int { return 1 }, Homes: func(int) []member.Box { return nil },
	})
}

// untilLimitKnown returns the time until some gateways know a limit.
func untilLimitKnown(gateways []*gateway, rate float64) time.Duration {
	began := time.Now()
	for time.Since(began) < waitLimit && slices.ContainsFunc(gateways, func(g *gateway) bool { return g.limits.TargetRate(limitedTarget) != rate }) {
		time.Sleep(time.Millisecond)
	}
	return time.Since(began)
}

// A limit that one gateway observes, that changes and that is lifted spreads to all
// gateways, and causes no further traffic after that.
func TestTargetLimitReachesFleetWithin100ms(t *testing.T) {
	for _, size := range []int{3, 17, fleetSize(100)} {
		onFleet(t, size, 2, func(g *WithT, fleet *virtualFleet) {
			rate := func() float64 { // of writes per second and gateway
				writes := fleet.fabric.writes.Load()
				time.Sleep(5 * time.Second)
				return float64(fleet.fabric.writes.Load()-writes) / 5 / float64(size)
			}
			before := rate()
			for i, limit := range []string{"3", "1.5", ""} {
				want := []float64{3, 1.5, 0}[i]
				fleet.gateways[i].limits.ObserveLimit(limitedTarget, corequota.SourceProbe, nonEmpty(limit))
				took := untilLimitKnown(fleet.gateways, want)
				fleet.t.Logf("%d gateways, limit %q: known everywhere after %v", size, limit, took)
				g.Expect(took).To(BeNumerically("<", 100*time.Millisecond))
				time.Sleep(time.Second)
				fleet.gateways[2].limits.ObserveLimit(limitedTarget, corequota.SourceProbe, nonEmpty(limit)) // shows that its probes advertise limits
			}
			after := rate()
			fleet.t.Logf("%.0f writes per second and gateway, %.0f before", after, before)
			g.Expect(after).To(BeNumerically("<", 1.3*before))
		})
	}
}

func nonEmpty(value string) []string {
	if value == "" {
		return nil
	}
	return []string{value}
}

// Gateways that were cut off while a limit spread, or that start later, receive it, too.
func TestStartedOrPartitionedGatewayReceivesTargetLimit(t *testing.T) {
	onFleet(t, fleetSize(30), 2, func(g *WithT, fleet *virtualFleet) {
		part := fleet.sample(0.3)
		fleet.cutOff(part, false)
		time.Sleep(time.Second)
		rest := without(fleet.gateways, part)
		rest[0].limits.ObserveLimit(limitedTarget, corequota.SourceProbe, []string{"3"})
		g.Expect(untilLimitKnown(rest, 3)).To(BeNumerically("<", time.Second))
		fleet.fabric.setCut(func(string, string) bool { return false })
		took := untilLimitKnown(part, 3)
		fleet.t.Logf("after the cut: %v", took)
		g.Expect(took).To(BeNumerically("<", 3*time.Second))

		fleet.gateways[0].kill()
		time.Sleep(100 * time.Millisecond)
		fleet.gateways[0] = fleet.start(0, false)
		took = untilLimitKnown(fleet.gateways[:1], 3)
		fleet.t.Logf("after a start: %v", took)
		g.Expect(took).To(BeNumerically("<", time.Second))
	})
}

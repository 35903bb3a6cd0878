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

// limitedTarget is a target that names a limit.
var limitedTarget = catalog.Life{ID: "target-1", Born: 1}

// newLimits makes the limits of targets as a gateway knows them that asks nobody for credit.
func newLimits() *quota.Register {
	return quota.New(quota.Options{
		HasLimits: func() bool { return false }, Gateways: func() int { return 1 }, Homes: func(int) []member.Box { return nil },
	})
}

// untilLimitKnown is how long it takes until some gateways know a limit.
func untilLimitKnown(gateways []*gateway, rate float64) time.Duration {
	began := time.Now()
	for time.Since(began) < waitLimit && slices.ContainsFunc(gateways, func(g *gateway) bool { return g.limits.TargetRate(limitedTarget) != rate }) {
		time.Sleep(time.Millisecond)
	}
	return time.Since(began)
}

// A limit that one gateway meets, that moves and that is lifted is known to all at once, and no
// more is said of it then.
func TestTargetLimitReachesFleetWithin100ms(t *testing.T) {
	for _, size := range []int{3, 17, fleetSize(100)} {
		onFleet(t, size, 2, func(g *WithT, fleet *virtualFleet) {
			rate := func() float64 { // of writes, a second and gateway
				writes := fleet.fabric.writes.Load()
				time.Sleep(5 * time.Second)
				return float64(fleet.fabric.writes.Load()-writes) / 5 / float64(size)
			}
			before := rate()
			for i, told := range []string{"3", "1.5", ""} {
				want := []float64{3, 1.5, 0}[i]
				fleet.gateways[i].limits.NoteLimit(limitedTarget, corequota.ViaProbe, nonEmpty(told))
				took := untilLimitKnown(fleet.gateways, want)
				fleet.t.Logf("%d gateways, limit %q: known everywhere after %v", size, told, took)
				g.Expect(took).To(BeNumerically("<", 100*time.Millisecond))
				time.Sleep(time.Second)
				fleet.gateways[2].limits.NoteLimit(limitedTarget, corequota.ViaProbe, nonEmpty(told)) // so that its probes are known to tell limits
			}
			after := rate()
			fleet.t.Logf("%.0f writes a second and gateway, %.0f before", after, before)
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

// Gateways that were cut off while it was told, or start later, hear of it.
func TestStartedOrPartitionedGatewayReceivesTargetLimit(t *testing.T) {
	onFleet(t, fleetSize(30), 2, func(g *WithT, fleet *virtualFleet) {
		part := fleet.sample(0.3)
		fleet.cutOff(part, false)
		time.Sleep(time.Second)
		rest := without(fleet.gateways, part)
		rest[0].limits.NoteLimit(limitedTarget, corequota.ViaProbe, []string{"3"})
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

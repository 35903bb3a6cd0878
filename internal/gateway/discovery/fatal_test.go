package discovery_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/core/gateway/fingerprint"
	"github.com/sprucecrank/sprucecrank/core/gateway/quarantine"
)

// fatalRequest is a request that terminates targets.
var fatalRequest = quarantine.Request{Fingerprint: fingerprint.Fingerprint{Content: "fatal", Caller: "caller"}, Service: "shop"}

// hasQuarantined reports whether a gateway has quarantined the fatal request.
func (g *gateway) hasQuarantined() bool {
	print := func() fingerprint.Fingerprint { return fatalRequest.Fingerprint }
	return g.fatal.Verdict(print).IsQuarantined()
}

// untilQuarantined returns the time until some gateways have quarantined the request.
func untilQuarantined(gateways []*gateway) time.Duration {
	began := time.Now()
	for time.Since(began) < waitLimit && slices.ContainsFunc(gateways, func(g *gateway) bool { return !g.hasQuarantined() }) {
		time.Sleep(time.Millisecond)
	}
	return time.Since(began)
}

// endTargets makes targets end under the request, each at another gateway, which notifies
// others within a second.
func endTargets(gateways []*gateway, targets int) {
	for i := range targets {
		gateways[i%len(gateways)].fatal.RecordEnd(fatalRequest, fmt.Sprint("t", i), 0)
	}
	time.Sleep(time.Second)
	for _, g := range gateways {
		g.fatal.Tick()
	}
}

// No gateway sees more than one of the three target ends, so the quarantine depends on
// their exchange.
func TestFatalRequestReachesFleetWithin100ms(t *testing.T) {
	for _, size := range []int{3, 17, fleetSize(100)} {
		onFleet(t, size, 2, func(g *WithT, fleet *virtualFleet) {
			rate := func() float64 { // of writes per second and gateway
				writes := fleet.fabric.writes.Load()
				time.Sleep(5 * time.Second)
				return float64(fleet.fabric.writes.Load()-writes) / 5 / float64(size)
			}
			before := rate()
			endTargets(fleet.gateways, 2)
			time.Sleep(time.Second)
			g.Expect(slices.ContainsFunc(fleet.gateways, (*gateway).hasQuarantined)).To(BeFalse())
			fleet.gateways[size-1].fatal.RecordEnd(fatalRequest, "t2", 0)
			took := untilQuarantined(fleet.gateways)
			fleet.t.Logf("quarantined everywhere after %v", took)
			g.Expect(took).To(BeNumerically("<", 100*time.Millisecond))

			after := rate()
			fleet.t.Logf("%.0f writes per second and gateway, %.0f before", after, before)
			g.Expect(after).To(BeNumerically("<", 1.3*before), "no further traffic")
		})
	}
}

func TestStartedOrPartitionedGatewayReceivesFatalRequest(t *testing.T) {
	onFleet(t, fleetSize(30), 2, func(g *WithT, fleet *virtualFleet) {
		part := fleet.sample(0.3)
		fleet.cutOff(part, false)
		time.Sleep(time.Second)
		endTargets(without(fleet.gateways, part), 3)
		g.Expect(untilQuarantined(without(fleet.gateways, part))).To(BeNumerically("<", time.Second))
		g.Expect(slices.ContainsFunc(part, (*gateway).hasQuarantined)).To(BeFalse())
		fleet.fabric.setCut(func(string, string) bool { return false })
		took := untilQuarantined(part)
		fleet.t.Logf("after the cut: %v", took)
		g.Expect(took).To(BeNumerically("<", 3*time.Second))

		fleet.gateways[0].kill()
		time.Sleep(100 * time.Millisecond)
		fleet.gateways[0] = fleet.start(0, false)
		took = untilQuarantined(fleet.gateways[:1])
		fleet.t.Logf("after a start: %v", took)
		g.Expect(took).To(BeNumerically("<", time.Second))
	})
}

// 64 targets end at once, each with eight requests in flight, as when a hall loses power.
func TestManySimultaneousTargetEndsTakeBoundedTraffic(t *testing.T) {
	onFleet(t, 17, 1, func(g *WithT, fleet *virtualFleet) {
		bytes := fleet.fabric.all.Load()
		for i := range 512 {
			request := quarantine.Request{Fingerprint: fingerprint.Fingerprint{Content: fmt.Sprint("r", i), Caller: "caller"}, Service: "shop"}
			fleet.gateways[i%17].fatal.RecordEnd(request, fmt.Sprint("t", i/8), 0)
		}
		for range 5 {
			time.Sleep(time.Second)
			for _, gw := range fleet.gateways {
				gw.fatal.Tick()
			}
		}
		sent := float64(fleet.fabric.all.Load()-bytes) / 17
		fleet.t.Logf("%.0f bytes per gateway in 5 s", sent)
		g.Expect(sent).To(BeNumerically("<", 1<<20))
		endTargets(fleet.gateways, 3)
		g.Expect(untilQuarantined(fleet.gateways)).To(BeNumerically("<", 200*time.Millisecond))
	})
}

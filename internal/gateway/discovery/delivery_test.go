package discovery_test

import (
	"context"
	"log/slog"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/rollout"
	"github.com/sprucecrank/sprucecrank/core/member"
	"github.com/sprucecrank/sprucecrank/internal/gateway/delivery"
	"github.com/sprucecrank/sprucecrank/internal/gateway/discovery"
)

// reportTraffic counts the bytes and writes of a fleet's rollout reports, and sets what
// they report.
type reportTraffic struct {
	bytes   atomic.Int64
	writes  atomic.Int64
	failing atomic.Bool // requests to the ordered version fail
}

// stageDuration is how long a stage lasts in these tests.
const stageDuration = 3 * time.Second

// decideByTime advances from stage to stage by time and rolls back at the fiftieth failure.
func decideByTime(s rollout.State) rollout.Decision {
	next := map[int]int{0: 20, 20: 130, 130: 400, 400: 1000}[s.Order.Permille]
	switch {
	case s.Evidence.Total().Canary.Failed >= 50:
		return rollout.Decision{Action: rollout.RollBack, Reason: rollout.ReasonFailures}
	case s.Order.State == catalog.RolloutOrdered:
		return rollout.Decision{Action: rollout.Advance, Permille: next}
	case s.Order.Permille == 1000 && len(s.Behind) == 0:
		return rollout.Decision{Action: rollout.Complete, Reason: rollout.ReasonTrafficShifted}
	case s.Order.Permille < 1000 && s.StageAge >= stageDuration:
		return rollout.Decision{Action: rollout.Advance, Permille: next}
	}
	return rollout.Decision{}
}

// addDelivery makes the gateways of a fleet carry out rollouts, as if each sent eight
// requests a second of four routes.
func addDelivery(f *virtualFleet, c *reportTraffic) {
	f.extraServices = func(ctx context.Context, g *gateway, self member.Box) []discovery.Service {
		began := time.Now()
		dial := f.fabric.dialFrom(self.Peer)
		source := g.access.sourceWithRollouts()
		d := delivery.New(delivery.Options{
			Self: self, Rollouts: g.Rollouts, Changed: g.Changed, Age: g.Age, Reads: g.ReadsStore,
			Leaving: func() bool { return false }, Peers: g.Peers, Standing: g.VersionTargets,
			Decide: decideByTime, Record: source.RecordRollout, Log: slog.New(slog.NewTextHandler(g.log, nil)),
			Reports: func(running []catalog.Rollout) []rollout.Report { return c.reports(running, time.Since(began)) },
			Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := dial(ctx, network, address)
				return &countedConn{Conn: conn, traffic: c}, err
			},
		})
		for _, task := range d.Tasks() {
			go func() { _ = task(ctx) }()
		}
		return []discovery.Service{d.Service()}
	}
}

// reports returns the reports of a gateway that has run for some time.
func (c *reportTraffic) reports(running []catalog.Rollout, ran time.Duration) []rollout.Report {
	var out []rollout.Report
	for _, r := range running {
		report := rollout.Report{Service: r.Service, Version: r.Version, Permille: r.Permille}
		for i, route := range []string{"r-sw5fcjs", "r-vxv4xjf", "r-a6rfhwp", "r-b7taqk2"} {
			n := (uint64(ran/(125*time.Millisecond)) + uint64(i)) / 4
			canary := rollout.Counts{Sends: n / 8}
			if c.failing.Load() {
				canary.Failed = canary.Sends
			}
			report.Counts = append(report.Counts,
				rollout.RouteCounts{Route: route, Counts: rollout.Counts{Sends: n, Failed: n / 40, Slow: n / 30}},
				rollout.RouteCounts{Route: route, Canary: true, Counts: canary})
		}
		out = append(out, report)
	}
	return out
}

// countedConn counts the bytes and writes of a connection.
type countedConn struct {
	net.Conn
	traffic *reportTraffic
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.bytes.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	c.traffic.bytes.Add(int64(len(p)))
	c.traffic.writes.Add(1)
	return c.Conn.Write(p)
}

// onFleetWithDelivery runs f on a fleet that carries out rollouts.
func onFleetWithDelivery(t *testing.T, size int, f func(g *WithT, fleet *virtualFleet, c *reportTraffic)) {
	synctest.Test(t, func(t *testing.T) {
		c := &reportTraffic{}
		fleet := &virtualFleet{t: t, fabric: newFabric(), store: newFilledStore(), source: (*access).sourceWithRollouts}
		addDelivery(fleet, c)
		fleet.startAll(size)
		defer time.Sleep(10 * time.Second) // until all goroutines of the bubble have ended
		defer fleet.stopAll()
		f(NewWithT(t), fleet, c)
	})
}

// awaitRolloutEnd waits until an order is in a final state, and returns how long that took.
func (f *virtualFleet) awaitRolloutEnd() (catalog.Rollout, time.Duration) {
	began := time.Now()
	for time.Since(began) < 30*time.Second && !f.rollout().State.Final() {
		time.Sleep(time.Millisecond)
	}
	return f.rollout(), time.Since(began)
}

func (f *virtualFleet) rollout() catalog.Rollout {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	return f.store.rollouts["shop"]
}

func TestRolloutTrafficIsBounded(t *testing.T) {
	for _, size := range []int{3, fleetSize(106)} {
		onFleetWithDelivery(t, size, func(g *WithT, fleet *virtualFleet, c *reportTraffic) {
			fleet.store.rolloutCalls.Store(0)
			fleet.store.putRollout(catalog.Rollout{Service: "shop", Version: "v2", Within: 20 * time.Second})
			r, took := fleet.awaitRolloutEnd()
			g.Expect(r.State).To(Equal(catalog.RolloutCompleted))
			time.Sleep(time.Second)
			calls, seconds, gateways := fleet.store.rolloutCalls.Load(), took.Seconds(), float64(size)
			bytes, writes := float64(c.bytes.Load()), float64(c.writes.Load())
			t.Logf("%d gateways: completed after %v, %d calls to the store; per second and gateway: %.1f messages, %.0f bytes; at the decider %.0f messages, %.1f kB per second",
				size, took, calls, writes/seconds/gateways, bytes/seconds/gateways, writes/seconds, bytes/seconds/1000)
			g.Expect(calls).To(BeNumerically("<", 20))
			g.Expect(writes/seconds/gateways).To(BeNumerically("<", 6), "one report each interval")
			stages := 5 * gateways / seconds // each change of stage is reported at once
			g.Expect(writes/seconds).To(BeNumerically("<", 1000+stages), "independent of the fleet size")
			g.Expect(bytes / seconds / gateways).To(BeNumerically("<", 2000))
			g.Expect(took).To(BeNumerically("<", 14*time.Second), "four stages of 3 s and the propagation")
		})
	}
}

func TestFailingVersionIsRolledBackAfterDeciderIsKilled(t *testing.T) {
	onFleetWithDelivery(t, fleetSize(60), func(g *WithT, fleet *virtualFleet, c *reportTraffic) {
		fleet.store.putRollout(catalog.Rollout{Service: "shop", Version: "v2", Within: 20 * time.Second})
		g.Expect(fleet.untilShare(fleet.gateways, 130)).To(BeNumerically("<", 5*time.Second))
		readers := readersByLog(fleet.gateways)
		for _, gw := range readers {
			gw.kill()
		}
		c.failing.Store(true)
		began := time.Now()
		bound := without(fleet.gateways, readers)
		took := fleet.untilShare(bound, 0)
		r, _ := fleet.awaitRolloutEnd()
		t.Logf("rolled back by %s, in force everywhere after %v", r.Decider, time.Since(began))
		g.Expect(r.State).To(Equal(catalog.RolloutRolledBack))
		g.Expect(took).To(BeNumerically("<", 3*time.Second))
		g.Expect(fleet.store.rolloutCalls.Load()).To(BeNumerically("<", 20))
	})
}

func TestPartitionWithDeciderRollsBackOnBothSides(t *testing.T) {
	onFleetWithDelivery(t, fleetSize(60), func(g *WithT, fleet *virtualFleet, c *reportTraffic) {
		fleet.store.putRollout(catalog.Rollout{Service: "shop", Version: "v2", Within: 20 * time.Second})
		fleet.untilShare(fleet.gateways, 130)
		part := append(fleet.sample(0.5), readersByLog(fleet.gateways)...)
		fleet.cutOff(part, false)
		c.failing.Store(true)
		took := fleet.untilShare(fleet.gateways, 0)
		r, _ := fleet.awaitRolloutEnd()
		t.Logf("in force on both sides after %v, %d calls", took, fleet.store.rolloutCalls.Load())
		g.Expect(r.State).To(Equal(catalog.RolloutRolledBack))
		g.Expect(took).To(BeNumerically("<", 4*time.Second))
		g.Expect(fleet.store.rolloutCalls.Load()).To(BeNumerically("<", 20))
	})
}

package delivery_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
)

const (
	within = 12 * time.Second
	// maxWriteAttempts bounds the write attempts of a rollout, whatever fails.
	maxWriteAttempts = 20
)

// simulate runs f on a fleet in a synctest bubble of its own, and checks the invariants of
// all that was written.
func simulate(t *testing.T, size int, f func(g *WithT, w *fleetSimulation)) {
	synctest.Test(t, func(t *testing.T) {
		w := newFleetSimulation(size)
		defer time.Sleep(10 * time.Second) // until all goroutines of the bubble have ended
		defer w.stopAll()
		g := NewWithT(t)
		time.Sleep(time.Second)
		synctest.Wait() // refreshes due now run before the test's first step
		defer w.logIfFailed(t)
		f(g, w)
		w.checkInvariants(g)
	})
}

// logIfFailed logs the log lines of all gateways; a failed check ends the test at once.
func (w *fleetSimulation) logIfFailed(t *testing.T) {
	if t.Failed() {
		for _, gw := range w.all() {
			t.Logf("%s: %s", gw.self.ID, gw.log)
		}
	}
}

// checkInvariants checks that the share of an order never decreased except to zero, and
// that no write followed the end of a rollout.
func (w *fleetSimulation) checkInvariants(g *WithT) {
	w.mu.Lock()
	defer w.mu.Unlock()
	last := map[string]catalog.Rollout{}
	for _, r := range w.written {
		before, ok := last[r.Service+r.Version]
		if ok {
			g.Expect(before.State.Final()).To(BeFalse(), "%v follows %v", r, before)
			g.Expect(r.State == catalog.RolloutRolledBack || r.Permille >= before.Permille).To(BeTrue(), "%v follows %v", r, before)
			g.Expect(r.Elapsed).To(BeNumerically(">=", before.Elapsed))
		}
		last[r.Service+r.Version] = r
	}
}

// waitForEnd waits until a rollout has ended, and returns its state and how long that took,
// at most the timeout.
func (w *fleetSimulation) waitForEnd(service string, timeout time.Duration) (catalog.RolloutState, time.Duration) {
	began := time.Now()
	for time.Since(began) < timeout {
		if r := w.rollout(service); r.State.Final() {
			return r.State, time.Since(began)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return w.rollout(service).State, timeout
}

func (w *fleetSimulation) rollout(service string) catalog.Rollout {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.objects[service]
}

// waitForStage waits until a rollout has reached a stage.
func (w *fleetSimulation) waitForStage(service string, permille int) {
	for began := time.Now(); time.Since(began) < within && w.rollout(service).Permille < permille; {
		time.Sleep(time.Millisecond)
	}
}

func TestGoodVersionIsCompletedInStages(t *testing.T) {
	simulate(t, 3, func(g *WithT, w *fleetSimulation) {
		w.order("shop", "v2", within)
		state, took := w.waitForEnd("shop", within)
		g.Expect(state).To(Equal(catalog.RolloutCompleted))
		g.Expect(took).To(BeNumerically("<", 4*time.Second))
		g.Expect(w.writeAttempts.Load()).To(Equal(int32(4)), "three stages and the completion")
		g.Expect(w.rollout("shop").Decider).To(Equal("gateway-0"))
		g.Expect(w.rollout("shop").Elapsed).To(BeNumerically("~", took, 100*time.Millisecond))
	})
}

func TestBadVersionIsRolledBackByTheSumOfAllReports(t *testing.T) {
	simulate(t, 4, func(g *WithT, w *fleetSimulation) {
		w.order("shop", "v2", within)
		w.waitForStage("shop", 300)
		for _, gw := range w.all()[1:] {
			gw.fail("shop", 1) // too few at each gateway by itself
		}
		state, took := w.waitForEnd("shop", within)
		g.Expect(state).To(Equal(catalog.RolloutRolledBack))
		g.Expect(took).To(BeNumerically("<", 200*time.Millisecond), "two refreshes, and the round trip")
	})
}

// On completion the old targets are stopped at once, which would cut off the sends in
// flight there.
func TestRolloutIsNotCompletedWhileBaselineSendsAreInFlight(t *testing.T) {
	simulate(t, 4, func(g *WithT, w *fleetSimulation) {
		last := w.all()[3]
		last.active.Store(1)
		w.order("shop", "v2", within)
		w.waitForStage("shop", 1000)
		time.Sleep(5 * time.Second)
		g.Expect(w.rollout("shop").State).To(Equal(catalog.RolloutRunning))
		last.active.Store(0)
		state, took := w.waitForEnd("shop", within)
		g.Expect(state).To(Equal(catalog.RolloutCompleted))
		g.Expect(took).To(BeNumerically("<", 200*time.Millisecond), "an urgent report and a refresh")
	})
}

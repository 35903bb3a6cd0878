package discovery_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// suspend simulates a suspension of a gateway's machine: its clock counts the time, its
// timers don't.
func (g *gateway) suspend(d time.Duration) {
	g.suspendedFor.Add(int64(d))
	g.Wake()
}

// After each of two suspensions in a row, a gateway knows the age of its state at once,
// does not continue as the reader with that state, and soon has all of it confirmed again.
// A change is in force everywhere meanwhile.
func TestStateIsConfirmedAgainAfterSuspension(t *testing.T) {
	for _, suspendedFor := range []time.Duration{100 * time.Millisecond, 3 * time.Second, time.Minute} {
		for _, reads := range []bool{true, false} {
			onFleet(t, 12, 2, func(g *WithT, fleet *virtualFleet) {
				i := slices.IndexFunc(fleet.gateways, func(gw *gateway) bool { return gw.ReadsStore() == reads })
				suspended := fleet.gateways[i]
				for range 2 {
					suspended.suspend(suspendedFor)
					g.Expect(suspended.Age()).To(BeNumerically(">=", suspendedFor), "it knows the age of its state")
				}
				g.Expect(suspended.ReadsStore()).To(Equal(reads && suspendedFor < time.Second), "a watch that began before may have been interrupted")
				fleet.store.setConfig(2)
				took := fleet.untilVersion(fleet.gateways, 2)
				g.Expect(took).To(BeNumerically("<", fleetTiming.MustReadAfter), "reads %v, suspended for %v", reads, suspendedFor)
				time.Sleep(3 * time.Second)
				g.Expect(suspended.Age()).To(BeNumerically("<", fleetTiming.StaleAfter))
				fleet.t.Logf("in force everywhere after %v", took)
			})
		}
	}
}

package discovery_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// suspend suspends a gateway's machine: its clock counts the time, its timers don't.
func (g *gateway) suspend(d time.Duration) {
	g.suspendedFor.Add(int64(d))
	g.Wake()
}

// A gateway whose machine slept, twice in a row, knows at once how old its knowledge is, does
// not go on as the reader by what it knew, and has all confirmed anew soon; a change is in
// force everywhere meanwhile.
func TestStateIsConfirmedAgainAfterSuspension(t *testing.T) {
	for _, slept := range []time.Duration{100 * time.Millisecond, 3 * time.Second, time.Minute} {
		for _, reads := range []bool{true, false} {
			onFleet(t, 12, 2, func(g *WithT, fleet *virtualFleet) {
				i := slices.IndexFunc(fleet.gateways, func(gw *gateway) bool { return gw.ReadsStore() == reads })
				suspended := fleet.gateways[i]
				for range 2 {
					suspended.suspend(slept)
					g.Expect(suspended.Age()).To(BeNumerically(">=", slept), "it knows how old that is")
				}
				g.Expect(suspended.ReadsStore()).To(Equal(reads && slept < time.Second), "a watch that began before may be cut")
				fleet.store.setConfig(2)
				took := fleet.untilVersion(fleet.gateways, 2)
				g.Expect(took).To(BeNumerically("<", fleetTiming.MustReadAfter), "reads %v, slept %v", reads, slept)
				time.Sleep(3 * time.Second)
				g.Expect(suspended.Age()).To(BeNumerically("<", fleetTiming.StaleAfter))
				fleet.t.Logf("in force everywhere after %v", took)
			})
		}
	}
}

package e2e_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/box/store"
	"github.com/sprucecrank/sprucecrank/internal/standin/targetsim"
)

var _ = Describe("measuring", func() {
	// A probe of 20 ms every 2 s, all that a home would like, is above this.
	const budget = 4.0

	It("stays in its budget at each target, with noise, quarrelling lists and boxes replaced in a row", func() {
		f := newFleet()
		f.maxBoxes = 4
		f.addTargets(3, targetsim.Options{Slots: 3, Work: time.Millisecond, Probe: 5 * time.Millisecond})
		began := time.Now()
		f.startBoxes(3)
		f.submitService("look", f.targets, fmt.Sprintf(`,"probe":{"budget_ms_per_s":%v}`, budget))
		f.inForce("config/service/look")
		time.Sleep(6 * time.Second)
		for i := range 3 {
			time.Sleep(1500 * time.Millisecond)
			for _, t := range f.targets {
				t.SetFaults(targetsim.Faults{SlowBy: float64(10 * (i + 1))})
			}
			old := f.boxes[i]
			old.kill()
			<-old.exited
			if i == 1 {
				f.list(old, store.Live) // the list goes on naming a box that is gone
			}
			f.boxes[i] = f.start(fmt.Sprintf("box-%d", i+1), "north", nil).ready()
			f.boxes = f.boxes[:3]
		}
		time.Sleep(1500 * time.Millisecond)
		elapsed := time.Since(began).Seconds()
		probes := 0
		for _, t := range f.targets {
			c := t.Counts()
			probes += c.Probes
			Expect(c.ProbeMS).To(BeNumerically("<=", budget*elapsed), "%d probes", c.Probes)
		}
		Expect(probes).To(BeNumerically(">", 0))
		AddReportEntry("measured", fmt.Sprintf("%d probes in %.1f s", probes, elapsed))
	})
})

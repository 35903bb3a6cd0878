package e2e_test

import (
	"context"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/internal/standin/targetsim"
)

var _ = Describe("back-off", func() {
	const asked = 30 // seconds, longer than the test

	It("keeps requests and probes of all boxes from a target that asks for it, and serves by the others", func() {
		f := newFleet()
		f.addTargets(3, targetsim.Options{Slots: 3, Work: time.Millisecond, Probe: time.Millisecond})
		f.startBoxes(3)
		f.submit("shop", `[{"name":"read","mode":"repeatable","deadline_ms":3000,"usual_ms":5}]`, `"read"`)
		f.submitService("shop", f.targets, `,"probe":{"budget_ms_per_s":100}`)
		f.inForce("config/service/shop")
		f.targets[0].SetFaults(targetsim.Faults{BackOffS: asked})
		read := func() {
			var group sync.WaitGroup
			for _, p := range f.boxes {
				group.Go(func() {
					defer GinkgoRecover()
					c := client()
					for range 50 {
						a := ask(context.Background(), c, http.MethodGet, "http://"+p.settings.Listen+"/shop/a", nil, "")
						Expect(a.status).To(Equal(http.StatusOK))
					}
				})
			}
			group.Wait()
		}
		read()
		first := f.targets[0].Counts()
		Expect(first.Shed).To(BeNumerically(">", 0))
		began := time.Now()
		for time.Since(began) < 9*time.Second { // a probe is due each 2 s
			read()
		}
		last := f.targets[0].Counts()
		Expect(last.Shed-first.Shed).To(BeNumerically("<=", 2), "one may be on its way")
		Expect(last.Total).To(BeZero())
	})
})

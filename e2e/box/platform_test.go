package e2e_test

import (
	"context"
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/internal/standin/platformsim"
	"github.com/sprucecrank/sprucecrank/internal/standin/targetsim"
)

var _ = Describe("the platform's calls", func() {
	// calls counts what the platform was asked in a time, per second.
	calls := func(f *fleet, d time.Duration) (reads, refused float64) {
		before := f.platform.Calls()
		time.Sleep(d)
		after := f.platform.Calls()
		return float64(after.Reads-before.Reads) / d.Seconds(), float64(after.Refused - before.Refused)
	}

	It("stay few at 18 boxes, idle, through an outage, and when it ends", func() {
		f := newFleet()
		f.maxBoxes = 18
		f.addTargets(2, targetsim.Options{Slots: 3, Work: time.Millisecond})
		f.startBoxes(18)
		f.submit("look", lookKinds, `"look"`)
		idle, _ := calls(f, 3*time.Second)
		f.platform.SetFaults(platformsim.Faults{Outage: true})
		outage, _ := calls(f, 4*time.Second)
		f.platform.SetFaults(platformsim.Faults{})
		after, refused := calls(f, 3*time.Second)
		AddReportEntry("reads per second", fmt.Sprintf("idle %.1f, outage %.1f, after %.1f", idle, outage, after))
		Expect(refused).To(BeZero())
		const most = 18 * 3 // three calls a second and box
		Expect(max(idle, outage, after)).To(BeNumerically("<=", most))
	})
})

var _ = Describe("a box", func() {
	It("that starts with nothing is ready soon, with the platform up or slow", func() {
		f := newFleet()
		f.addTargets(1, targetsim.Options{Slots: 3, Work: time.Millisecond})
		f.startBoxes(1)
		f.submit("look", lookKinds, `"look"`)
		for _, fault := range []platformsim.Faults{{}, {SlowMS: 300}} {
			f.platform.SetFaults(fault)
			began := time.Now()
			p := f.start(fmt.Sprint("box-late-", fault.SlowMS), "north", nil).ready()
			AddReportEntry("ready", fmt.Sprintf("%d ms slow: %s", fault.SlowMS, time.Since(began)))
			a := ask(context.Background(), client(), http.MethodGet, "http://"+p.settings.Listen+"/look/1", nil, "")
			Expect(a.status).To(Equal(http.StatusOK), "useful as soon as it is ready")
		}
	})

	It("goes on serving when its home is frozen, cut off or killed, within a fraction of a second", func() {
		f := newFleet()
		f.addTargets(4, targetsim.Options{Slots: 3, Queue: 3, Work: 5 * time.Millisecond})
		f.startBoxes(3)
		f.submit("look", lookKinds, `"look"`)
		home := f.homeOf("look")
		var entry *proc
		for _, p := range f.boxes {
			if p != home {
				entry = p
			}
		}
		url := "http://" + entry.settings.Listen + "/look/1"
		c := client()
		Expect(ask(context.Background(), c, http.MethodGet, url, nil, "").status).To(Equal(http.StatusOK))
		home.freeze()
		began := time.Now()
		Expect(ask(context.Background(), c, http.MethodGet, url, nil, "").status).To(Equal(http.StatusOK))
		AddReportEntry("answered after the home froze", time.Since(began).String())
		for range 50 {
			Expect(ask(context.Background(), c, http.MethodGet, url, nil, "").status).To(Equal(http.StatusOK))
		}
		home.thaw()
		f.homeOf("look").kill()
		for range 50 {
			Expect(ask(context.Background(), c, http.MethodGet, url, nil, "").status).To(Equal(http.StatusOK))
		}
	})
})

// homeOf is the box that the first box takes for the home of a service.
func (f *fleet) homeOf(service string) *proc {
	s, err := f.boxes[0].status()
	Expect(err).NotTo(HaveOccurred())
	for _, one := range s.Services {
		for _, p := range f.boxes {
			if one.Name == service && one.Home == p.settings.ID {
				return p
			}
		}
	}
	Fail("no home of " + service)
	return nil
}

var _ = Describe("the administration API", func() {
	It("changes services under the version that the caller saw", func() {
		f := newFleet()
		f.addTargets(1, targetsim.Options{Slots: 3, Work: time.Millisecond})
		f.startBoxes(2)
		url := "http://" + f.boxes[0].settings.AdminListen + "/services/look"
		doc := fmt.Sprintf(`{"name":"look","prefix":"/look","targets":[{"address":%q,"hall":"north"}]}`, f.targets[0].address)
		call := func(method, match, body string) answer {
			header := map[string]string{}
			switch match {
			case "":
			case "*":
				header["If-None-Match"] = "*"
			default:
				header["If-Match"] = match
			}
			return ask(context.Background(), client(), method, url, header, body)
		}
		Expect(call(http.MethodPut, "", doc).status).To(Equal(http.StatusPreconditionRequired))
		Expect(call(http.MethodPut, "*", `{"name":"look"}`).body).To(ContainSubstring(`"path":"targets"`))
		created := call(http.MethodPut, "*", doc)
		Expect(created.status).To(Equal(http.StatusNoContent))
		f.inForce("config/service/look")
		Expect(call(http.MethodPut, "*", doc).status).To(Equal(http.StatusPreconditionFailed))
		Expect(call(http.MethodGet, "", "").header.Get("ETag")).To(Equal(created.header.Get("ETag")))
		Expect(call(http.MethodDelete, created.header.Get("ETag"), "").status).To(Equal(http.StatusNoContent))
		Expect(call(http.MethodGet, "", "").status).To(Equal(http.StatusNotFound))
	})
})

package e2e_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/box"
	"github.com/sprucecrank/sprucecrank/internal/standin/platformsim"
	"github.com/sprucecrank/sprucecrank/internal/standin/targetsim"
)

// watcher samples the versions on every box and notes any that falls.
type watcher struct {
	cancel context.CancelFunc
	done   sync.WaitGroup
	mu     sync.Mutex
	fell   []string
}

func watchVersions(boxes ...*proc) *watcher {
	ctx, cancel := context.WithCancel(context.Background())
	w := &watcher{cancel: cancel}
	for _, p := range boxes {
		w.done.Go(func() { w.sample(ctx, p) })
	}
	return w
}

func (w *watcher) sample(ctx context.Context, p *proc) {
	highest := map[string]uint64{}
	for ctx.Err() == nil {
		s, err := p.status()
		if err == nil && s.Ready {
			for _, o := range s.Objects {
				if o.Version < highest[o.Key] {
					w.mu.Lock()
					w.fell = append(w.fell, fmt.Sprintf("%s on %s fell from %d to %d", o.Key, p.settings.ID, highest[o.Key], o.Version))
					w.mu.Unlock()
				}
				highest[o.Key] = max(highest[o.Key], o.Version)
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (w *watcher) stop() {
	w.cancel()
	w.done.Wait()
	Expect(w.fell).To(BeEmpty())
}

var _ = Describe("an accepted configuration", func() {
	var f *fleet
	const key = "config/service/records"
	submit := func(weight int) { f.submitService("records", f.targets, fmt.Sprintf(`,"max_queue":%d`, weight)) }
	BeforeEach(func() {
		f = newFleet()
		f.addTargets(1, targetsim.Options{Slots: 3, Work: time.Millisecond})
	})

	It("comes in force on every box and never falls, through stale reads, lost watches and lost answers", func() {
		f.startBoxes(4)
		w := watchVersions(f.boxes...)
		for i := range 12 {
			f.platform.SetFaults([]platformsim.Faults{
				{}, {StaleMS: 1500}, {DropWatches: true}, {LoseWrites: 0.5}, {SlowMS: 100}, {StaleMS: 800, DropWatches: true},
			}[i%6])
			f.operator(fmt.Sprintf(`{"name":"records","prefix":"/records","max_queue":%d,"targets":[{"address":%q,"hall":"north"}]}`, i+1, f.targets[0].address),
				"service", "submit", "-")
		}
		f.platform.SetFaults(platformsim.Faults{})
		f.inForce(key)
		w.stop()
	})

	It("is told to one of two racing operators, and the other is told to look again", func() {
		f.startBoxes(2)
		submit(1)
		version := f.newest(key)
		var group sync.WaitGroup
		codes := make([]int, 8)
		for i := range codes {
			group.Go(func() {
				doc := fmt.Sprintf(`{"name":"records","prefix":"/records","max_queue":%d,"targets":[{"address":%q,"hall":"north"}]}`, i+10, f.targets[0].address)
				codes[i], _, _ = f.operator(doc, "service", "submit", "--if-version", fmt.Sprint(version), "-")
			})
		}
		group.Wait()
		won := 0
		for _, c := range codes {
			Expect(c).To(BeElementOf(0, 3))
			if c == 0 {
				won++
			}
		}
		Expect(won).To(Equal(1))
	})

	It("reaches a box that is cut off from the platform through its peers", func() {
		f.startBoxes(3)
		r := newRelay(f.address)
		cutBox := f.start("box-cut", "south", func(s *box.Settings) { s.Platform = r.address() }).ready()
		submit(1)
		f.inForce(key)
		r.cut()
		began := time.Now()
		submit(2)
		newest := f.newest(key)
		Eventually(func() uint64 { return cutBox.version(key) }).Should(Equal(newest))
		AddReportEntry("through peers", time.Since(began).String())
		r.mend()
		submit(3)
		f.inForce(key)
	})

	It("reaches a box that starts while the platform is down, and one without any source is not ready", func() {
		f.startBoxes(2)
		submit(1)
		f.inForce(key)
		newest := f.newest(key)
		f.platform.SetFaults(platformsim.Faults{Outage: true})
		fresh := f.start("box-new", "north", func(s *box.Settings) { s.Peers = []string{f.boxes[0].settings.PeerListen} }).ready()
		Expect(fresh.version(key)).To(Equal(newest))
		alone := f.start("box-alone", "north", nil)
		Eventually(func() int { return statusOf("http://" + alone.settings.AdminListen + "/readyz") }).Should(Equal(http.StatusServiceUnavailable))
		Consistently(func() int { return statusOf("http://" + alone.settings.AdminListen + "/readyz") }).
			WithTimeout(time.Second).Should(Equal(http.StatusServiceUnavailable))
		f.platform.SetFaults(platformsim.Faults{})
		alone.ready()
		Expect(alone.version(key)).To(Equal(newest))
	})

	It("is the newest on a box that starts while the platform reads stale", func() {
		f.startBoxes(2)
		submit(1)
		f.inForce(key)
		submit(2)
		f.inForce(key)
		newest := f.newest(key)
		f.platform.SetFaults(platformsim.Faults{StaleMS: 60000})
		fresh := f.start("box-new", "north", func(s *box.Settings) { s.Peers = []string{f.boxes[0].settings.PeerListen} }).ready()
		Expect(fresh.version(key)).To(Equal(newest))
	})

	It("does not come back after it was deleted, and creating it anew is a new version", func() {
		f.startBoxes(2)
		submit(1)
		f.inForce(key)
		w := watchVersions(f.boxes...)
		url := "http://" + f.boxes[0].settings.Listen + "/records/1"
		Expect(ask(context.Background(), client(), http.MethodGet, url, nil, "").status).To(Equal(http.StatusOK))
		code, _, errOut := f.operator("", "service", "delete", "records")
		Expect(code).To(Equal(0), errOut)
		f.inForce(key)
		Expect(ask(context.Background(), client(), http.MethodGet, url, nil, "").reason).To(Equal("no-service"))
		deleted := f.newest(key)
		f.platform.SetFaults(platformsim.Faults{StaleMS: 2000})
		Consistently(func() uint64 { return f.boxes[0].version(key) }).WithTimeout(time.Second).Should(Equal(deleted))
		f.platform.SetFaults(platformsim.Faults{})
		submit(3)
		f.inForce(key)
		Expect(f.newest(key)).To(BeNumerically(">", deleted))
		w.stop()
	})

	It("leaves the last good version in force when an object cannot be used", func() {
		f.startBoxes(1)
		submit(1)
		f.inForce(key)
		raw := []byte(`{"id":"x","by":"hand","at":"2026-01-01T00:00:00Z","value":{"name":"records"}}`)
		r, err := http.NewRequest(http.MethodPut, "http://"+f.address+"/v1/objects/"+key, newReader(raw))
		Expect(err).NotTo(HaveOccurred())
		r.Header.Set("If-Match", fmt.Sprintf("%q", fmt.Sprint(f.newest(key))))
		response, err := http.DefaultClient.Do(r)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusOK))
		f.inForce(key)
		url := "http://" + f.boxes[0].settings.Listen + "/records/1"
		Expect(ask(context.Background(), client(), http.MethodGet, url, nil, "").status).To(Equal(http.StatusOK))
	})
})

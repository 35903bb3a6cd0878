package e2e_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/box"
	"github.com/sprucecrank/sprucecrank/box/store"
	"github.com/sprucecrank/sprucecrank/internal/standin/platformsim"
	"github.com/sprucecrank/sprucecrank/internal/standin/targetsim"
)

func newReader(b []byte) io.Reader { return bytes.NewReader(b) }

// balancer stands in for the platform's balancer: it sends each request to a
// box that it believes to be ready; its belief lags.
type balancer struct {
	mu    sync.Mutex
	boxes []*proc
	next  int
}

func (b *balancer) pick() *proc {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.next++
	return b.boxes[b.next%len(b.boxes)]
}

func (b *balancer) set(boxes []*proc) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.boxes = append([]*proc{}, boxes...)
}

// traffic sends requests through a balancer until it is stopped.
type traffic struct {
	cancel context.CancelFunc
	group  sync.WaitGroup
	sent   atomic.Int64
	mu     sync.Mutex
	bad    []string
}

func startTraffic(b *balancer, workers int, path string, header map[string]string) *traffic {
	ctx, cancel := context.WithCancel(context.Background())
	t := &traffic{cancel: cancel}
	for worker := range workers {
		c := client()
		t.group.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				t.one(c, b, path, header, fmt.Sprintf("mark-%d-%d", worker, n))
			}
		})
	}
	return t
}

func (t *traffic) one(c *http.Client, b *balancer, path string, header map[string]string, mark string) {
	h := map[string]string{"X-Mark": mark, "X-Lines": "20"}
	for name, value := range header {
		h[name] = value
	}
	a := ask(context.Background(), c, http.MethodGet, "http://"+b.pick().settings.Listen+path, h, "")
	t.sent.Add(1)
	if a.err != nil || a.status != http.StatusOK || strings.Count(a.body, mark+" ") != 20 {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.bad = append(t.bad, fmt.Sprintf("%s: %d %s %s %v", mark, a.status, a.verdict, a.reason, a.err))
	}
}

func (t *traffic) stop() {
	t.cancel()
	t.group.Wait()
	Expect(t.bad).To(BeEmpty())
	Expect(t.sent.Load()).To(BeNumerically(">", 100))
}

const lookKinds = `[{"name":"look","mode":"single","deadline_ms":10000,"usual_ms":20}]`

var _ = Describe("a planned stop", func() {
	var f *fleet
	BeforeEach(func() {
		f = newFleet()
		f.addTargets(4, targetsim.Options{Slots: 3, Queue: 0, Work: 15 * time.Millisecond})
	})

	It("of every box in turn cuts and refuses no request, while the list still names the stopped ones", func() {
		f.platform.SetFaults(platformsim.Faults{ListLagMS: 2000})
		f.startBoxes(3)
		f.submit("look", lookKinds, `"look"`)
		b := &balancer{}
		b.set(f.boxes)
		t := startTraffic(b, 8, "/look/1", nil)
		for i := range 3 {
			old := f.boxes[i]
			fresh := f.start(fmt.Sprintf("box-new-%d", i), "north", nil).ready()
			Eventually(func() uint64 { return fresh.version("config/service/look") }).Should(BeNumerically(">", 0))
			f.boxes = f.boxes[:len(f.boxes)-1]
			f.boxes[i] = fresh
			old.stop()
			f.list(old, store.Leaving)
			time.Sleep(150 * time.Millisecond) // the balancer's lag
			b.set(f.boxes)
			Eventually(old.exited).Should(BeClosed())
		}
		t.stop()
	})

	It("of the only box ends a long answer and an operation whose client hung up", func() {
		f.startBoxes(1)
		f.submit("haul", bookKinds, `"book"`)
		f.submit("look", lookKinds, `"look"`)
		p := f.boxes[0]
		key := newKey()
		ctx, hangUp := context.WithCancel(context.Background())
		var group sync.WaitGroup
		group.Go(func() {
			_ = ask(ctx, client(), http.MethodPost, "http://"+p.settings.Listen+"/haul/book",
				map[string]string{"Idempotency-Key": key, "X-Work-Ms": "900"}, "")
		})
		var long answer
		group.Go(func() {
			long = ask(context.Background(), client(), http.MethodGet, "http://"+p.settings.Listen+"/look/1",
				map[string]string{"X-Mark": "long", "X-Work-Ms": "1500", "X-Lines": "5000"}, "")
		})
		Eventually(func() int { return f.runs(key) + f.runs("long") }).Should(Equal(2))
		p.stop()
		hangUp()
		group.Wait()
		Expect(long.err).NotTo(HaveOccurred())
		Expect(strings.Count(long.body, "long ")).To(Equal(5000))
		Eventually(p.exited).Should(BeClosed())
		Expect(string(f.platform.Objects("once/")[0].Value)).To(ContainSubstring(`"state":"done"`))
	})

	// Guards against requests that a box takes during its stop, passes on, and cuts at the end of it.
	It("takes no request whose deadline comes after it", func() {
		kinds := `[{"name":"short","weight":1,"mode":"single","deadline_ms":1500,"usual_ms":10},{"name":"long","weight":1,"mode":"single","deadline_ms":9000,"usual_ms":10}]`
		p := f.start("box-1", "north", func(s *box.Settings) { s.DrainLagMS, s.StopWithinMS = 500, 1500 }).ready()
		f.submit("work", kinds, `headers["x-mark"] == "long" ? "long" : "short"`)
		p.stop()
		Eventually(func() int { return statusOf("http://" + p.settings.AdminListen + "/readyz") }).ShouldNot(Equal(http.StatusNoContent))
		ask := func(path, mark, work string) answer {
			return ask(context.Background(), client(), http.MethodGet, "http://"+p.settings.Listen+path, map[string]string{"X-Mark": mark, "X-Work-Ms": work}, "")
		}
		long := ask("/work/long", "long", "4000")
		Expect(long.err).NotTo(HaveOccurred())
		Expect(long.verdict).To(Equal("not-run"))
		Expect(long.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(f.runs("long")).To(Equal(0))
		short := ask("/work/short", "short", "10")
		Expect(short.err).NotTo(HaveOccurred())
		Expect(short.status).To(Equal(http.StatusOK))
		Eventually(p.exited).Should(BeClosed())
	})

	It("of a target cuts no request and it gets no new work", func() {
		f.startBoxes(2)
		f.submit("look", lookKinds, `"look"`)
		b := &balancer{}
		b.set(f.boxes)
		t := startTraffic(b, 6, "/look/1", nil)
		time.Sleep(500 * time.Millisecond)
		f.targets[0].SetFaults(targetsim.Faults{Leaving: true})
		time.Sleep(time.Second)
		before := f.targets[0].Counts().Total
		time.Sleep(500 * time.Millisecond)
		Expect(f.targets[0].Counts().Total).To(Equal(before))
		t.stop()
	})
})

var _ = Describe("a leaving target", func() {
	var f *fleet
	BeforeEach(func() {
		f = newFleet()
		f.addTargets(3, targetsim.Options{Slots: 3, Queue: 0, Work: 10 * time.Millisecond, Start: 5})
		f.startBoxes(3)
		f.submit("look", lookKinds, `"look"`)
	})

	// stopsWithin checks at the target that new work ends.
	stopsWithin := func(limit time.Duration) {
		b := &balancer{}
		b.set(f.boxes)
		t := startTraffic(b, 6, "/look/1", nil)
		time.Sleep(limit)
		before := f.targets[0].Counts().Total
		time.Sleep(time.Second)
		Expect(f.targets[0].Counts().Total).To(Equal(before))
		t.stop()
	}

	It("gets no new work once only the platform's list says so", func() {
		f.platform.SetMember("targets", store.Member{ID: "t0", Address: f.targets[0].address, State: store.Leaving})
		stopsWithin(4 * time.Second)
	})

	It("gets no new work once only its own answers say so, with the platform out", func() {
		f.platform.SetFaults(platformsim.Faults{Outage: true})
		f.targets[0].SetFaults(targetsim.Faults{Leaving: true})
		stopsWithin(3 * time.Second)
	})

	It("gets work again under a new start number, and only then", func() {
		f.targets[0].SetFaults(targetsim.Faults{Leaving: true})
		stopsWithin(3 * time.Second)
		f.targets[0].SetFaults(targetsim.Faults{})
		b := &balancer{}
		b.set(f.boxes)
		t := startTraffic(b, 6, "/look/1", nil)
		total := f.targets[0].Counts().Total
		Consistently(func() int { return f.targets[0].Counts().Total }).WithTimeout(time.Second).Should(Equal(total))
		f.targets[0].Restart(6)
		Eventually(func() int { return f.targets[0].Counts().Total }).Should(BeNumerically(">", total))
		t.stop()
	})
})

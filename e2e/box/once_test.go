package e2e_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/internal/standin/platformsim"
	"github.com/sprucecrank/sprucecrank/internal/standin/targetsim"
)

const bookKinds = `[{"name":"book","mode":"once","deadline_ms":3000,"usual_ms":20}]`

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

// book sends an operation to a box.
func book(c *http.Client, p *proc, key string) answer {
	return ask(context.Background(), c, http.MethodPost, "http://"+p.settings.Listen+"/haul/book",
		map[string]string{"Idempotency-Key": key, "Sprucecrank-Client": "mill", "X-Mark": key}, "tract 9")
}

// operations are keys that are sent over and over, with all that was told.
type operations struct {
	mu   sync.Mutex
	keys []string
	told map[string][]answer
}

func newOperations(n int) *operations {
	o := &operations{told: map[string][]answer{}}
	for range n {
		o.keys = append(o.keys, newKey())
	}
	return o
}

// send sends every key to a box, staggered, so that a failure meets each one
// at another step.
func (o *operations) send(p *proc, stagger time.Duration, group *sync.WaitGroup) {
	c := client()
	for i, key := range o.keys {
		group.Go(func() {
			time.Sleep(time.Duration(i) * stagger)
			a := book(c, p, key)
			o.mu.Lock()
			defer o.mu.Unlock()
			o.told[key] = append(o.told[key], a)
		})
	}
}

// check counts at the targets.
func (o *operations) check(f *fleet) (ran int) {
	for _, key := range o.keys {
		n := f.runs(key)
		ran += n
		Expect(n).To(BeNumerically("<=", 1), "key %s ran %d times; told %v", key, n, o.told[key])
		for _, a := range o.told[key] {
			if a.verdict == "ran" {
				Expect(n).To(Equal(1), "key %s told ran", key)
				Expect(a.body).To(ContainSubstring(key+" POST /haul/book read 7 bytes"), "the whole own answer")
			}
		}
	}
	return ran
}

// settle repeats every key until it is answered for good.
func (o *operations) settle(p *proc) (done, unknown int) {
	c := client()
	for _, key := range o.keys {
		var last answer
		Eventually(func() string {
			last = book(c, p, key)
			return last.verdict + " " + last.reason
		}).WithPolling(200*time.Millisecond).Should(BeElementOf("ran ", "may-have-run ", "may-have-run outcome-unknown"), "key %s is stuck", key)
		if last.reason == "" { // the target's own answer
			done++
		} else {
			unknown++
		}
	}
	return done, unknown
}

var _ = Describe("operations that run at most once", func() {
	var f *fleet
	BeforeEach(func() {
		f = newFleet()
		f.addTargets(3, targetsim.Options{Slots: 3, Queue: 50, Work: 20 * time.Millisecond})
		f.startBoxes(3)
		f.submit("haul", bookKinds, `"book"`)
	})

	It("run once when the same key comes to all boxes at once", func() {
		o := newOperations(30)
		var group sync.WaitGroup
		for _, p := range f.boxes {
			o.send(p, 5*time.Millisecond, &group)
		}
		group.Wait()
		done, unknown := o.settle(f.boxes[0])
		Expect(done).To(Equal(30))
		Expect(unknown).To(Equal(0))
		Expect(o.check(f)).To(Equal(30))
	})

	It("run at most once when the box is killed at any step", func() {
		f.platform.SetFaults(platformsim.Faults{SlowMS: 20})
		o := newOperations(30)
		var group sync.WaitGroup
		o.send(f.boxes[0], 4*time.Millisecond, &group)
		time.Sleep(110 * time.Millisecond)
		f.boxes[0].kill()
		group.Wait()
		o.send(f.boxes[1], 2*time.Millisecond, &group)
		group.Wait()
		f.platform.SetFaults(platformsim.Faults{})
		done, unknown := o.settle(f.boxes[2])
		Expect(done + unknown).To(Equal(30))
		o.check(f)
		AddReportEntry("kill", fmt.Sprintf("%d done, %d unknown", done, unknown))
	})

	It("run at most once when the box is frozen at any step and wakes after its keys were taken over", func() {
		f.platform.SetFaults(platformsim.Faults{SlowMS: 20})
		o := newOperations(30)
		var group sync.WaitGroup
		o.send(f.boxes[0], 4*time.Millisecond, &group)
		time.Sleep(110 * time.Millisecond)
		f.boxes[0].freeze()
		var others sync.WaitGroup
		o.send(f.boxes[1], 2*time.Millisecond, &others)
		others.Wait()
		f.platform.SetFaults(platformsim.Faults{})
		time.Sleep(4500 * time.Millisecond) // holds lapse
		o.send(f.boxes[1], 2*time.Millisecond, &others)
		others.Wait()
		f.boxes[0].thaw()
		group.Wait()
		done, unknown := o.settle(f.boxes[2])
		Expect(done + unknown).To(Equal(30))
		o.check(f)
		AddReportEntry("freeze", fmt.Sprintf("%d done, %d unknown", done, unknown))
	})

	It("run at most once when the platform loses answers, goes down and comes back", func() {
		o := newOperations(40)
		f.platform.SetFaults(platformsim.Faults{LoseWrites: 0.4, SlowMS: 5})
		var group sync.WaitGroup
		for _, p := range f.boxes {
			o.send(p, 10*time.Millisecond, &group)
		}
		time.Sleep(150 * time.Millisecond)
		f.platform.SetFaults(platformsim.Faults{Outage: true})
		time.Sleep(300 * time.Millisecond)
		f.platform.SetFaults(platformsim.Faults{LoseWrites: 0.4, StaleMS: 200})
		group.Wait()
		f.platform.SetFaults(platformsim.Faults{})
		done, unknown := o.settle(f.boxes[1])
		Expect(done + unknown).To(Equal(40))
		Expect(o.check(f)).To(BeNumerically(">=", done))
		AddReportEntry("platform", fmt.Sprintf("%d done, %d unknown", done, unknown))
	})

	It("answers at once while the platform is down, and tells when to come back", func() {
		f.platform.SetFaults(platformsim.Faults{Outage: true})
		key := newKey()
		a := book(client(), f.boxes[0], key)
		Expect(a.verdict).To(Equal("may-have-run"))
		Expect(a.reason).To(Equal("platform-unavailable"))
		Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(f.runs(key)).To(Equal(0))
	})

	It("refuses a key with another body and keys that are not UUIDv7", func() {
		key := newKey()
		Expect(book(client(), f.boxes[0], key).verdict).To(Equal("ran"))
		a := ask(context.Background(), client(), http.MethodPost, "http://"+f.boxes[1].settings.Listen+"/haul/book",
			map[string]string{"Idempotency-Key": key, "Sprucecrank-Client": "mill"}, "another tract")
		Expect(a.status).To(Equal(http.StatusUnprocessableEntity))
		Expect(book(client(), f.boxes[0], "7").reason).To(Equal("key-invalid"))
		Expect(book(client(), f.boxes[0], "").reason).To(Equal("key-missing"))
		Expect(f.runs(key)).To(Equal(1))
	})

	It("is never told not-run once it ran, though its service is gone or the repeat is not acceptable", func() {
		key := newKey()
		p := f.boxes[0]
		url := "http://" + p.settings.Listen + "/haul/book"
		header := map[string]string{"Idempotency-Key": key, "Sprucecrank-Client": "mill"}
		Expect(book(client(), p, key).verdict).To(Equal("ran"))
		large := ask(context.Background(), client(), http.MethodPost, url, header, strings.Repeat("x", 300<<10))
		Expect(large.reason).To(Equal("body-too-large"))
		Expect(large.verdict).To(Equal("may-have-run"))
		code, _, errOut := f.operator("", "service", "delete", "haul")
		Expect(code).To(Equal(0), errOut)
		f.inForce("config/service/haul")
		gone := ask(context.Background(), client(), http.MethodPost, url, header, "tract 9")
		Expect(gone.reason).To(Equal("no-service"))
		Expect(gone.verdict).To(Equal("may-have-run"))
	})

	It("is never sent again when the target cuts the connection after it ran", func() {
		for _, t := range f.targets {
			t.SetFaults(targetsim.Faults{CutAfterRun: true})
		}
		o := newOperations(10)
		var group sync.WaitGroup
		o.send(f.boxes[0], 0, &group)
		group.Wait()
		for _, t := range f.targets {
			t.SetFaults(targetsim.Faults{})
		}
		done, unknown := o.settle(f.boxes[1])
		Expect([]int{done, unknown}).To(Equal([]int{0, 10}))
		Expect(o.check(f)).To(Equal(10))
	})
})

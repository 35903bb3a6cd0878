package e2e_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/internal/standin/targetsim"
)

const mixedKinds = `[
 {"name":"live","weight":10,"mode":"repeatable","hedge":true,"deadline_ms":3000,"usual_ms":10},
 {"name":"single","weight":5,"mode":"single","deadline_ms":3000,"usual_ms":10},
 {"name":"book","weight":8,"mode":"once","deadline_ms":3000,"usual_ms":10}]`

const mixedProgram = `method == "GET" ? "live" : (headers["idempotency-key"] != "" ? "book" : "single")`

// mixed is a run of thousands of requests of all kinds, and what became of it.
type mixed struct {
	mu      sync.Mutex
	bad     []string
	notRun  []string
	atMost  []string // ids that may run once at most
	ran     int
	cut     int
	refused int
}

// run sends n requests by several clients; some hang up early.
func (m *mixed) run(f *fleet, n, workers int, seed uint64) {
	var group sync.WaitGroup
	for worker := range workers {
		random := rand.New(rand.NewPCG(seed, uint64(worker)))
		c := client()
		group.Go(func() {
			for i := range n / workers {
				m.one(f, c, random, fmt.Sprintf("m%d-%d-%d", seed, worker, i))
			}
		})
	}
	group.Wait()
}

func (m *mixed) one(f *fleet, c *http.Client, random *rand.Rand, mark string) {
	lines := 1 + random.IntN(300)
	header := map[string]string{"X-Mark": mark, "X-Lines": fmt.Sprint(lines)}
	method, id := http.MethodGet, mark
	switch random.IntN(12) { // the platform takes 100 writes a second
	case 0, 1, 2, 3, 4:
		method = http.MethodPost
	case 5:
		method = http.MethodPost
		id = newKey()
		header["Idempotency-Key"] = id
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if random.IntN(10) == 0 {
		time.AfterFunc(time.Duration(random.IntN(20))*time.Millisecond, cancel)
	}
	p := f.boxes[random.IntN(len(f.boxes))]
	if method == http.MethodPost {
		m.mu.Lock()
		m.atMost = append(m.atMost, id)
		m.mu.Unlock()
	}
	m.judge(ask(ctx, c, method, "http://"+p.settings.Listen+"/mix/x", header, mark), mark, id, lines)
}

func (m *mixed) judge(a answer, mark, id string, lines int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case a.err != nil:
		m.cut++ // shows that it is cut; never a clean end
	case a.verdict == "not-run":
		m.refused++
		m.notRun = append(m.notRun, id)
	case a.status == http.StatusOK && (strings.Count(a.body, mark+" ") != lines || strings.Count(a.body, "\n") != lines):
		m.bad = append(m.bad, fmt.Sprintf("%s: %d of %d lines own", mark, strings.Count(a.body, mark+" "), lines))
	case a.status == http.StatusOK:
		m.ran++
	}
}

// check counts at the targets.
func (m *mixed) check(f *fleet) {
	Expect(m.bad).To(BeEmpty())
	for _, id := range m.notRun {
		Expect(f.runs(id)).To(Equal(0), "%s was told not-run", id)
	}
	for _, id := range m.atMost {
		Expect(f.runs(id)).To(BeNumerically("<=", 1), "%s may not be repeated", id)
	}
}

var _ = Describe("answers and refusals", func() {
	var f *fleet
	BeforeEach(func() {
		f = newFleet()
		f.addTargets(6, targetsim.Options{Slots: 3, Queue: 2, Work: 5 * time.Millisecond})
		f.startBoxes(3)
		f.submit("mix", mixedKinds, mixedProgram)
	})

	DescribeTable("are own and whole, and what was told not-run did not run",
		func(faults ...targetsim.Faults) {
			for i, fault := range faults {
				f.targets[i].SetFaults(fault)
			}
			var m mixed
			m.run(f, 2400, 24, 11)
			m.check(f)
			Expect(m.ran).To(BeNumerically(">", 500))
			AddReportEntry("mixed", fmt.Sprintf("%d ran, %d not run, %d broken", m.ran, m.refused, m.cut))
		},
		Entry("with healthy targets"),
		Entry("with targets that cut half-way and after the run", targetsim.Faults{CutHalfway: true}, targetsim.Faults{CutAfterRun: true}),
		Entry("with a target that answers twice", targetsim.Faults{Twice: true}),
		Entry("with a slow target, so that hedges race", targetsim.Faults{SlowBy: 20}, targetsim.Faults{SlowBy: 5}),
		Entry("with a target that never answers and one that fails fast", targetsim.Faults{Hang: true}, targetsim.Faults{FailFast: true}),
		Entry("with targets that shed", targetsim.Faults{ShedAll: true}, targetsim.Faults{ShedAll: true}, targetsim.Faults{ShedAll: true}),
	)

	It("hold while boxes are killed and frozen in turn", func() {
		var m mixed
		var group sync.WaitGroup
		group.Go(func() { m.run(f, 2400, 24, 12) })
		time.Sleep(300 * time.Millisecond)
		f.boxes[0].freeze()
		time.Sleep(300 * time.Millisecond)
		f.boxes[1].kill()
		time.Sleep(200 * time.Millisecond)
		f.boxes[0].thaw()
		group.Wait()
		m.check(f)
	})

	It("never tell not-run when an earlier try may have run", func() {
		f.targets = f.targets[:2]
		f.submitService("mix", f.targets, "")
		f.inForce("config/service/mix")
		f.targets[0].SetFaults(targetsim.Faults{CutAfterRun: true})
		f.targets[1].SetFaults(targetsim.Faults{ShedAll: true})
		c := client()
		for i := range 60 {
			mark := fmt.Sprint("try-", i)
			a := ask(context.Background(), c, http.MethodGet, "http://"+f.boxes[i%3].settings.Listen+"/mix/x", map[string]string{"X-Mark": mark}, "")
			if a.verdict == "not-run" {
				Expect(f.runs(mark)).To(Equal(0), mark)
			}
		}
	})

	DescribeTable("come from one run of a single request, though the transport would repeat it on a kept connection",
		func(method, key string) {
			f.submit("look", lookKinds, `"look"`)
			c := client()
			url := "http://" + f.boxes[0].settings.Listen + "/look/x"
			for range 30 { // connections to every target are kept
				Expect(ask(context.Background(), c, method, url, nil, "").status).To(Equal(http.StatusOK))
			}
			for _, t := range f.targets {
				t.SetFaults(targetsim.Faults{CutAfterRun: true})
			}
			header := map[string]string{"X-Mark": "one"}
			if key != "" {
				header["Idempotency-Key"] = key
			}
			Expect(ask(context.Background(), c, method, url, header, "").verdict).To(Equal("may-have-run"))
			Expect(f.runs("one") + f.runs(key)).To(Equal(1))
		},
		Entry("a GET", http.MethodGet, ""), Entry("a POST without a body", http.MethodPost, ""),
		Entry("a POST with an Idempotency-Key", http.MethodPost, "any"),
	)

	It("does not believe a shed answer where the service does not trust it", func() {
		f.submitService("untrusted", f.targets[:1], "")
		doc := fmt.Sprintf(`{"name":"untrusted","prefix":"/untrusted","targets":[{"address":%q,"hall":"north"}]}`, f.targets[0].address)
		code, _, errOut := f.operator(doc, "service", "submit", "-")
		Expect(code).To(Equal(0), errOut)
		f.inForce("config/service/untrusted")
		f.targets[0].SetFaults(targetsim.Faults{ShedLies: true})
		a := ask(context.Background(), client(), http.MethodGet, "http://"+f.boxes[0].settings.Listen+"/untrusted/x", map[string]string{"X-Mark": "lie"}, "")
		Expect(f.runs("lie")).To(BeNumerically(">", 0))
		Expect(a.verdict).To(Equal("may-have-run"))
	})
})

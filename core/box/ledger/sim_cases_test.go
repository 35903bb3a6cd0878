package ledger_test

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// kind is a kind of request in a test case.
type kind struct {
	name        string
	share       float64
	mean        time.Duration
	weight      int
	deadline    time.Duration
	hedge       bool
	longestWait time.Duration
}

// deployment is the size and the load profile of one service.
type deployment struct {
	name    string
	targets int
	halls   int
	boxes   int
	kinds   []*kind
}

var studio = deployment{
	name: "studio preview", targets: 10, halls: 4, boxes: 16,
	kinds: []*kind{
		{name: "preview", share: 0.6, mean: 40 * time.Millisecond, weight: 20, deadline: time.Second, hedge: true, longestWait: 500 * time.Millisecond},
		{name: "browse", share: 0.4, mean: 60 * time.Millisecond, weight: 1, deadline: 15 * time.Second, longestWait: 15 * time.Second},
	},
}

var loblolly = deployment{
	name: "loblolly estimates", targets: 7, halls: 3, boxes: 13,
	kinds: []*kind{
		{name: "estimate", share: 0.5, mean: 50 * time.Millisecond, weight: 20, deadline: time.Second, hedge: true, longestWait: 500 * time.Millisecond},
		{name: "report", share: 0.5, mean: 60 * time.Millisecond, weight: 1, deadline: 15 * time.Second, longestWait: 15 * time.Second},
	},
}

const slotsPerTarget = 3

// testCase is a simulated load with faults.
type testCase struct {
	name string
	deployment
	load       float64 // utilization of the capacity
	burst      bool    // arrivals come in bursts
	slow       bool    // targets slow down tenfold for 50 to 500 ms at random
	fault      func(s *sim)
	killHomeAt time.Duration // when the home fails; 0 for never
	// retryRefused makes refused clients retry after the delay they were given.
	retryRefused bool
	length       time.Duration
}

func (d deployment) meanWork() time.Duration {
	mean := 0.0
	for _, k := range d.kinds {
		mean += k.share * float64(k.mean)
	}
	return time.Duration(mean)
}

func (c testCase) rate() float64 {
	return c.load * float64(c.targets*slotsPerTarget) / c.meanWork().Seconds()
}

const caseLength = 40 * time.Second

func cases(d deployment) []testCase {
	return []testCase{
		{name: "steady 50%", deployment: d, load: 0.5, length: caseLength},
		{name: "steady 70%", deployment: d, load: 0.7, length: caseLength},
		{name: "steady 85%", deployment: d, load: 0.85, length: caseLength},
		{name: "steady 95%", deployment: d, load: 0.95, length: caseLength},
		{name: "bursts 70%", deployment: d, load: 0.7, burst: true, length: caseLength},
		{name: "overload 130%", deployment: d, load: 1.3, length: caseLength},
		{name: "slow targets 60%", deployment: d, load: 0.6, slow: true, length: caseLength},
		{name: "one fails fast 60%", deployment: d, load: 0.6, length: caseLength, fault: func(s *sim) { s.targets[0].failFast = true }},
		{name: "one hangs 60%", deployment: d, load: 0.6, length: caseLength, fault: func(s *sim) { s.targets[0].hangs = true }},
		{name: "half unreachable 40%", deployment: d, load: 0.4, length: caseLength, fault: halfUnreachable},
		{name: "home killed 70%", deployment: d, load: 0.7, killHomeAt: 20 * time.Second, length: caseLength},
	}
}

func halfUnreachable(s *sim) {
	s.after(10*time.Second, func() {
		for i := range len(s.targets) / 2 {
			s.targets[i].unreachable = true
		}
	})
}

// result holds the outcomes of a run's requests.
type result struct {
	latency  map[string]*hdrhistogram.Histogram
	sent     map[string]int
	outcomes map[string]map[string]int
	tries    int
	repeats  []int           // repeats of each request that was eventually served
	refusals []time.Duration // how long each refusal took
}

func newResult(kinds []*kind) *result {
	r := &result{latency: map[string]*hdrhistogram.Histogram{}, sent: map[string]int{}, outcomes: map[string]map[string]int{}}
	for _, k := range kinds {
		r.latency[k.name] = hdrhistogram.New(1, (60 * time.Second).Microseconds(), 3)
		r.outcomes[k.name] = map[string]int{}
	}
	return r
}

func (r *result) record(q *request, outcome string, took time.Duration) {
	r.sent[q.kind.name]++
	r.outcomes[q.kind.name][outcome]++
	if outcome == "ok" {
		r.repeats = append(r.repeats, q.repeats)
		_ = r.latency[q.kind.name].RecordValue(took.Microseconds())
	}
}

func (r *result) quantile(kind string, q float64) time.Duration {
	return time.Duration(r.latency[kind].ValueAtQuantile(q)) * time.Microsecond
}

// lossRate is the share of a kind's requests that did not end with an ok.
func (r *result) lossRate(kind string) float64 {
	return 1 - float64(r.outcomes[kind]["ok"])/float64(max(r.sent[kind], 1))
}

// runCase runs one case. The arrivals, the work and the slow windows depend on the
// seed only.
func runCase(c testCase, seed uint64) *result {
	arrivals := rand.New(rand.NewPCG(seed, 1))
	s := &sim{c: c, random: rand.New(rand.NewPCG(seed, 2)), result: newResult(c.kinds)}
	for i := range c.targets {
		t := &simTarget{id: i, hall: i % c.halls, slots: slotsPerTarget}
		if c.slow {
			t.slow = slowWindows(arrivals, c.length)
		}
		s.targets = append(s.targets, t)
	}
	if c.fault != nil {
		c.fault(s)
	}
	send := newHomeBox(s).handle
	for i, at := range arrivalTimes(arrivals, c) {
		r := makeRequest(arrivals, c, i, at)
		s.pending++
		s.after(at, func() { send(r) })
	}
	s.run()
	return s.result
}

func arrivalTimes(random *rand.Rand, c testCase) []time.Duration {
	var out []time.Duration
	at := time.Duration(0)
	const burstOf = 12
	for at < c.length {
		n, rate := 1, c.rate()
		if c.burst {
			n, rate = burstOf, c.rate()/burstOf
		}
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		for range n {
			out = append(out, at)
		}
	}
	return out
}

func makeRequest(random *rand.Rand, c testCase, id int, at time.Duration) *request {
	k := c.kinds[0]
	if random.Float64() >= k.share {
		k = c.kinds[1]
	}
	box := random.IntN(c.boxes)
	const sigma = 0.4 // standard deviation of the logarithm of the work
	work := float64(k.mean) * math.Exp(random.NormFloat64()*sigma-sigma*sigma/2)
	return &request{
		id: id, kind: k, box: box, hall: box % c.halls, work: time.Duration(work),
		began: at, deadline: at + k.deadline,
	}
}

func slowWindows(random *rand.Rand, length time.Duration) []window {
	var out []window
	at := time.Duration(0)
	for at < length {
		at += time.Duration(random.ExpFloat64() * float64(4*time.Second))
		lasts := 50*time.Millisecond + time.Duration(random.Float64()*float64(450*time.Millisecond))
		out = append(out, window{at, at + lasts})
		at += lasts
	}
	return out
}

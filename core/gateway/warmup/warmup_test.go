package warmup_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/warmup"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func TestReportOfTargetOverridesItsStoreEntry(t *testing.T) {
	g := NewWithT(t)
	limiter := warmup.New(0)
	target := catalog.Life{ID: "a"}
	g.Expect(limiter.IsCold(start, target, true)).To(BeTrue(), "only its entry is known")
	limiter.Observe(start, target, 0)
	g.Expect(limiter.IsCold(start, target, true)).To(BeTrue(), "a report that it is not cold is ignored until it has reported that it is")
	limiter.Observe(start, target, 2*time.Second)
	g.Expect(limiter.IsCold(at(1999*time.Millisecond), target, false)).To(BeTrue())
	g.Expect(limiter.IsCold(at(2*time.Second), target, true)).To(BeFalse())
	limiter.Observe(at(time.Second), target, 0)
	g.Expect(limiter.IsCold(at(time.Second), target, true)).To(BeFalse(), "the report is newer than its entry")
}

func TestTokensArriveAtShareOfColdCapacity(t *testing.T) {
	g := NewWithT(t)
	share := warmup.Share{PerSecond: 2.5, Cold: 40, Gateways: 100} // one a second
	limiter := warmup.New(0.5)
	g.Expect(limiter.Take(start, share)).To(BeFalse())
	g.Expect(limiter.HasToken(at(499*time.Millisecond), share)).To(BeFalse())
	g.Expect(limiter.HasToken(at(501*time.Millisecond), share)).To(BeTrue())
	g.Expect(limiter.Take(at(501*time.Millisecond), share)).To(BeTrue())
	g.Expect(limiter.Take(at(502*time.Millisecond), share)).To(BeFalse())
	g.Expect(limiter.Take(at(time.Hour), share)).To(BeTrue())
	g.Expect(limiter.Take(at(time.Hour), share)).To(BeFalse(), "tokens are not accumulated")
	g.Expect(limiter.Take(at(time.Hour), warmup.Share{})).To(BeTrue(), "the capacity of cold targets is not configured")
	alone := warmup.Share{PerSecond: 2.5, Cold: 40}
	g.Expect(limiter.Take(at(time.Hour+10*time.Millisecond), alone)).To(BeTrue(), "the whole capacity is one gateway's")
}

// The rate at which targets that become cold at the same moment get requests from all
// gateways together is bounded: the users allow 2.5 x 1.5 + 8 in a second.
func TestColdTargetsAreNotOverloaded(t *testing.T) {
	const allowed = 11
	for _, gateways := range []int{1, 17, 95, 473, 2072} {
		for _, probesPerSecond := range []float64{30, 300, 3000} {
			for _, error := range []float64{0.5, 1, 2} {
				t.Run(fmt.Sprintf("%d gateways, %.0f probes a second, %.1f times as many assumed", gateways, probesPerSecond, error), func(t *testing.T) {
					g := NewWithT(t)
					s := &simulation{gateways: gateways, probesPerSecond: probesPerSecond, assumedGateways: max(int(error*float64(gateways)), 1), reports: true, shares: true}
					most, mean := s.run(1)
					t.Logf("a target got at most %d requests in a second, %.1f on average", most, mean)
					g.Expect(most).To(BeNumerically("<=", allowed))
					g.Expect(mean).To(BeNumerically(">", 0.2), "cold targets still get requests")
				})
			}
		}
	}
}

// Logs the results of each rule alone and of both; the figures are in
// docs/design/shifted-work.md.
func TestCompareReportsAndShares(t *testing.T) {
	for name, c := range map[string]simulation{
		"reports alone": {reports: true},
		"shares alone":  {shares: true},
		"both":          {reports: true, shares: true},
	} {
		for _, gateways := range []int{1, 17, 95, 473, 2072} {
			for _, probesPerSecond := range []float64{30, 300, 3000} {
				s := c
				s.gateways, s.assumedGateways, s.probesPerSecond = gateways, gateways, probesPerSecond
				most, mean := s.run(2)
				t.Logf("%s, %d gateways, %.0f probes: %d at most, %.1f on average", name, gateways, probesPerSecond, most, mean)
			}
		}
	}
}

// simulation simulates 40 targets of 2 slots that become cold at the same moment while
// they work on their current requests, and gateways that search for a target for each
// request.
type simulation struct {
	gateways int
	// assumedGateways is the number of gateways that each gateway assumes to exist.
	assumedGateways int
	// probesPerSecond is how often per second all gateways together probe each target.
	probesPerSecond float64
	// reports and shares say which of the two rules are applied.
	reports, shares bool

	random  *rand.Rand
	targets [coldTargets]coldTarget
	events  eventQueue
}

const (
	coldTargets = 40
	coldFor     = 5 * time.Second
	// requestTime is the time of a request at a cold target.
	requestTime = 200 * time.Millisecond
	// maxReportAge is the maximum age of a report when a request that was sent because of
	// it arrives.
	maxReportAge = 8 * time.Millisecond
	slots        = 2
)

type coldTarget struct {
	running  int
	arrivals []time.Duration
}

// event is an action at a time of the simulation.
type event struct {
	at     time.Duration
	action func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	latest := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return latest
}

func (s *simulation) after(now, d time.Duration, action func()) {
	heap.Push(&s.events, event{now + d, action})
}

// run returns the most requests that a target got in any second, and the mean.
func (s *simulation) run(seed uint64) (most int, mean float64) {
	s.random = rand.New(rand.NewPCG(seed, uint64(s.gateways)))
	limiters := make([]*warmup.Limiter, s.gateways)
	for i := range limiters {
		limiters[i] = warmup.New(s.random.Float64())
	}
	for i := range s.targets {
		s.targets[i].running = slots
		for range slots {
			s.after(0, time.Duration(s.random.Float64()*float64(requestTime)), func() { s.targets[i].running-- })
		}
	}
	for now := time.Duration(0); now < coldFor; now += s.untilNextProbe() {
		id, gateway := s.random.IntN(coldTargets), s.random.IntN(s.gateways)
		s.after(now, 0, func() { s.probe(now, id, limiters[gateway]) })
	}
	for s.events.Len() > 0 {
		heap.Pop(&s.events).(event).action()
	}
	return s.summarize()
}

func (s *simulation) untilNextProbe() time.Duration {
	return time.Duration(s.random.ExpFloat64() / (s.probesPerSecond * coldTargets) * float64(time.Second))
}

func (s *simulation) probe(now time.Duration, id int, limiter *warmup.Limiter) {
	target := &s.targets[id]
	if s.reports && !warmup.Idle(target.running, 0) {
		return
	}
	if s.shares && !limiter.Take(at(now), warmup.Share{PerSecond: 2.5, Cold: coldTargets, Gateways: s.assumedGateways}) {
		return
	}
	arrives := time.Duration(s.random.Float64() * float64(maxReportAge))
	s.after(now, arrives, func() {
		target.arrivals = append(target.arrivals, now+arrives)
		target.running++
		s.after(now+arrives, requestTime, func() { target.running-- })
	})
}

func (s *simulation) summarize() (most int, mean float64) {
	total := 0
	for _, target := range s.targets {
		total += len(target.arrivals)
		for i, latest := range target.arrivals {
			sends := 0
			for _, other := range target.arrivals[:i+1] {
				if latest-other < time.Second {
					sends++
				}
			}
			most = max(most, sends)
		}
	}
	return most, float64(total) / coldTargets / coldFor.Seconds()
}

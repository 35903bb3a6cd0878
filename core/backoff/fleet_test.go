package backoff_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/core/backoff"
	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/signal"
)

// A simulated service whose targets ask for back-off, with a fleet of any size, in
// virtual time with the real tracker.
const (
	simTargets   = 10
	simSlots     = 3
	simWork      = 90 * time.Millisecond
	simUsualRate = 8.0  // requests per second and target
	simPeakRate  = 45.0 // the same for targets that are full intermittently
	simBackOff   = 3 * time.Second
	// overloadStart and overloadEnd bound the time in which overloaded targets shed every
	// request.
	overloadStart    = 4 * time.Second
	overloadEnd      = 13 * time.Second
	simDuration      = 20 * time.Second
	simInFlightGrace = 500 * time.Millisecond
)

// simTarget is a target that sheds every request for a while, if it is overloaded.
type simTarget struct {
	life         catalog.Life
	isOverloaded bool
	running      int
	maxRunning   int // maximum of concurrent requests after the overload
	// arrivals are the times at which requests reached it.
	arrivals []time.Duration
}

// sharingPolicy says how gateways learn of a back-off.
type sharingPolicy struct {
	// jitter is the greatest share of a back-off by which a gateway waits longer.
	jitter float64
	// shares says that gateways share back-offs at once. fallsBack says that a gateway
	// that received one from a peer still sends to the target if there are no others.
	// unlimited says that shared back-offs count even if most targets ask.
	shares, fallsBack, unlimited bool
}

type simulation struct {
	rate           float64 // requests per second and target
	policy         sharingPolicy
	random         *rand.Rand
	targets        []*simTarget
	catalogTargets []catalog.Target // the same targets, for the board
	trackers       []*backoff.Tracker[catalog.Life]
	board          *signal.Board
	// backOffAt is when each gateway was last asked for back-off by each target.
	backOffAt          map[[2]int]time.Duration
	sendsDuringBackOff map[[2]int]int
	maxDuringBackOff   int // most requests of one gateway in one back-off
	requests           int
	refused            int
	shed               int // sends that were shed
	departures         departureQueue
}

// departure is the end of a request at a target.
type departure struct {
	at     time.Duration
	target *simTarget
}

type departureQueue []departure

func (d departureQueue) Len() int           { return len(d) }
func (d departureQueue) Less(i, j int) bool { return d[i].at < d[j].at }
func (d departureQueue) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }
func (d *departureQueue) Push(x any)        { *d = append(*d, x.(departure)) }
func (d *departureQueue) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

func newSimulation(seed uint64, gateways, overloaded int, rate float64, policy sharingPolicy) *simulation {
	s := &simulation{rate: rate, policy: policy, random: rand.New(rand.NewPCG(seed, 1)), board: signal.NewBoard(1), backOffAt: map[[2]int]time.Duration{}, sendsDuringBackOff: map[[2]int]int{}}
	for i := range simTargets {
		target := catalog.Target{ID: fmt.Sprint("t", i)}
		s.catalogTargets = append(s.catalogTargets, target)
		s.targets = append(s.targets, &simTarget{life: target.Life(), isOverloaded: i < overloaded})
	}
	for range gateways {
		s.trackers = append(s.trackers, backoff.New[catalog.Life]())
	}
	return s
}

func (s *simulation) run() {
	rate := s.rate * simTargets
	for now := time.Duration(0); now < simDuration; now += time.Duration(s.random.ExpFloat64() / rate * float64(time.Second)) {
		for len(s.departures) > 0 && s.departures[0].at <= now {
			heap.Pop(&s.departures).(departure).target.running--
		}
		s.request(now, s.random.IntN(len(s.trackers)))
	}
}

// request sends one request, and once more if it is shed.
func (s *simulation) request(now time.Duration, gateway int) {
	s.requests++
	for range 2 {
		i := s.pick(now, gateway)
		if i < 0 {
			break
		}
		if s.send(now, gateway, i) {
			return
		}
	}
	s.refused++
}

// pick returns the less loaded of two targets that are not in back-off; below 0 if there
// is none.
func (s *simulation) pick(now time.Duration, gateway int) int {
	best := s.pickFrom(now, gateway, s.policy.shares)
	if best < 0 && s.policy.fallsBack {
		return s.pickFrom(now, gateway, false)
	}
	return best
}

// avoided returns the targets to which a gateway sends nothing because of shared
// back-offs, if it uses these.
func (s *simulation) avoided(now time.Duration, useShared bool) map[catalog.Life]bool {
	if !useShared {
		return nil
	}
	if s.policy.fallsBack && !s.policy.unlimited {
		return s.board.Avoided(after(now), s.catalogTargets)
	}
	avoided := map[catalog.Life]bool{}
	for _, t := range s.targets {
		avoided[t.life] = s.board.BackOffRemaining(after(now), t.life) > 0
	}
	return avoided
}

func (s *simulation) pickFrom(now time.Duration, gateway int, useShared bool) int {
	best, candidates := -1, 0
	avoided := s.avoided(now, useShared)
	for _, i := range s.random.Perm(simTargets) {
		life := s.targets[i].life
		if s.trackers[gateway].Remaining(after(now), life) > 0 || avoided[life] {
			continue
		}
		if best < 0 || s.targets[i].running < s.targets[best].running {
			best = i
		}
		if candidates++; candidates == 2 {
			break
		}
	}
	return best
}

func (s *simulation) send(now time.Duration, gateway, i int) (served bool) {
	t := s.targets[i]
	t.arrivals = append(t.arrivals, now)
	s.recordArrival(now, gateway, i)
	if t.isOverloaded && now >= overloadStart && now < overloadEnd || t.running >= 2*simSlots {
		s.shed++
		s.shedRequest(now, gateway, i)
		return false
	}
	t.running++
	if now >= overloadEnd {
		t.maxRunning = max(t.maxRunning, t.running)
	}
	heap.Push(&s.departures, departure{at: now + simWork, target: t})
	return true
}

// recordArrival counts the requests that arrive while the users' bound applies.
func (s *simulation) recordArrival(now time.Duration, gateway, i int) {
	key := [2]int{gateway, i}
	at, ok := s.backOffAt[key]
	if ok && now > at+simInFlightGrace && now < at+simBackOff {
		s.sendsDuringBackOff[key]++
		s.maxDuringBackOff = max(s.maxDuringBackOff, s.sendsDuringBackOff[key])
	}
}

func (s *simulation) shedRequest(now time.Duration, gateway, i int) {
	s.backOffAt[[2]int{gateway, i}], s.sendsDuringBackOff[[2]int{gateway, i}] = now, 0
	extra := time.Duration(s.random.Float64() * s.policy.jitter * float64(simBackOff))
	s.trackers[gateway].Extend(after(now), s.targets[i].life, simBackOff+extra)
	s.board.Record(after(now), signal.Update{Life: s.targets[i].life, From: strconv.Itoa(gateway), BackOff: simBackOff})
}

// firstSecondAfterOverload returns how many requests targets that were overloaded, or
// those that were not, got on average in the second from the first request after the
// overload, relative to the usual rate, and the most that one of them had at once.
func (s *simulation) firstSecondAfterOverload(overloaded bool) (relativeRate float64, peakRunning int) {
	targets := 0
	for _, t := range s.targets {
		if t.isOverloaded != overloaded {
			continue
		}
		targets++
		sends := 0
		first := time.Duration(-1)
		for _, at := range t.arrivals {
			if at < overloadEnd {
				continue
			}
			if first < 0 {
				first = at
			}
			if at < first+time.Second {
				sends++
			}
		}
		relativeRate, peakRunning = relativeRate+float64(sends)/s.rate, max(peakRunning, t.maxRunning)
	}
	return relativeRate / float64(max(targets, 1)), peakRunning
}

func simSeeds() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("SEEDS"), 10, 64); err == nil {
		return n
	}
	return 10
}

// Whatever the policy, no gateway sends a target that asked it for back-off more than the
// one request that was in flight.
func TestNoGatewaySendsDuringBackOffAtAnyFleetSize(t *testing.T) {
	policies := map[string]sharingPolicy{
		"unshared":         {},
		"unshared, jitter": {jitter: 0.3},
		"shared":           {shares: true},
		"shared, fallback": {shares: true, fallsBack: true},
		"shared, no limit": {shares: true, fallsBack: true, unlimited: true},
		"shared, jitter":   {shares: true, jitter: 0.3},
	}
	for _, gateways := range []int{18, 109, 984, 2072} {
		for _, c := range []struct {
			overloaded int
			rate       float64
		}{{1, simUsualRate}, {3, simUsualRate}, {7, simUsualRate}, {simTargets, simUsualRate}, {0, simPeakRate}} {
			for name, policy := range policies {
				t.Run(fmt.Sprintf("%d gateways, %d overloaded, %g a second, %s", gateways, c.overloaded, c.rate, name), func(t *testing.T) {
					t.Parallel()
					g := NewWithT(t)
					maxSends, shed, refused, relativeRate, healthyRate, peakRunning := 0, 0.0, 0.0, 0.0, 0.0, 0
					for seed := range simSeeds() {
						s := newSimulation(seed, gateways, c.overloaded, c.rate, policy)
						s.run()
						maxSends = max(maxSends, s.maxDuringBackOff)
						shed += float64(s.shed) / float64(s.requests) / float64(simSeeds())
						refused += float64(s.refused) / float64(s.requests) / float64(simSeeds())
						first, at := s.firstSecondAfterOverload(true)
						usual, _ := s.firstSecondAfterOverload(false)
						relativeRate, healthyRate, peakRunning = relativeRate+first/float64(simSeeds()), healthyRate+usual/float64(simSeeds()), max(peakRunning, at)
					}
					t.Logf("%4d gateways, %2d overloaded, %2.0f a second, %-23s: during back-off %d, shed %.3f, refused %.3f of requests; first second %.2f of usual, others %.2f, %d at once", gateways, c.overloaded, c.rate, name, maxSends, shed, refused, relativeRate, healthyRate, peakRunning)
					g.Expect(maxSends).To(BeZero())
					if c.overloaded < simTargets {
						g.Expect(relativeRate).To(BeNumerically("<=", 1.5))
					}
					if c.overloaded == 0 && policy.fallsBack {
						g.Expect(refused).To(BeNumerically("<", 0.05), "targets that are briefly full are still used")
					}
					if c.overloaded == 0 && policy.fallsBack && !policy.unlimited {
						g.Expect(refused).To(BeNumerically("<", 0.03))
					}
					if c.overloaded == 7 && policy.fallsBack {
						g.Expect(shed).To(BeNumerically("<", 0.06), "most targets may ask for back-off at once")
					}
				})
			}
		}
	}
}

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

// A service whose targets ask for back-off, before a fleet of any size, in virtual time over the
// real tracker.
const (
	simTargets = 10
	simSlots   = 3
	simWork    = 90 * time.Millisecond
	simUsual   = 8.0  // requests a second and target
	simPeak    = 45.0 // the same where targets are full now and then
	simAsk     = 3 * time.Second
	// simBegins and simEnds are when the targets that are in need turn everything away.
	simBegins = 4 * time.Second
	simEnds   = 13 * time.Second
	simFor    = 20 * time.Second
	simGrace  = 500 * time.Millisecond
)

// shedder is a target that turns requests away for a while.
type shedder struct {
	life     catalog.Life
	isInNeed bool
	running  int
	most     int // requests at once, from the end of its need on
	// arrivals are requests that reached it.
	arrivals []time.Duration
}

// simWay is how gateways learn of a back-off.
type simWay struct {
	// spread is the greatest share of a back-off by which a gateway waits longer.
	spread float64
	// tells says that gateways tell each other, at once, and avoids that those that were told send
	// to no such target while there are others, not never; always, that they do so also where most
	// targets ask.
	tells, avoids, always bool
}

type simulation struct {
	rate     float64 // of requests, a second and target
	way      simWay
	random   *rand.Rand
	targets  []*shedder
	listed   []catalog.Target // the same
	trackers []*backoff.Tracker[catalog.Life]
	board    *signal.Board
	// asked is when each gateway was last asked by a target.
	asked      map[[2]int]time.Duration
	since      map[[2]int]int
	mostInTime int // requests of one gateway in one back-off
	requests   int
	refused    int
	wasted     int // sends that were turned away
	ends       departures
}

// departure is the end of a request at a target.
type departure struct {
	at     time.Duration
	target *shedder
}

type departures []departure

func (d departures) Len() int           { return len(d) }
func (d departures) Less(i, j int) bool { return d[i].at < d[j].at }
func (d departures) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }
func (d *departures) Push(x any)        { *d = append(*d, x.(departure)) }
func (d *departures) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

func newSimulation(seed uint64, gateways, inNeed int, rate float64, way simWay) *simulation {
	s := &simulation{rate: rate, way: way, random: rand.New(rand.NewPCG(seed, 1)), board: signal.NewBoard(1), asked: map[[2]int]time.Duration{}, since: map[[2]int]int{}}
	for i := range simTargets {
		target := catalog.Target{ID: fmt.Sprint("t", i)}
		s.listed = append(s.listed, target)
		s.targets = append(s.targets, &shedder{life: target.Life(), isInNeed: i < inNeed})
	}
	for range gateways {
		s.trackers = append(s.trackers, backoff.New[catalog.Life]())
	}
	return s
}

func (s *simulation) run() {
	rate := s.rate * simTargets
	for now := time.Duration(0); now < simFor; now += time.Duration(s.random.ExpFloat64() / rate * float64(time.Second)) {
		for len(s.ends) > 0 && s.ends[0].at <= now {
			heap.Pop(&s.ends).(departure).target.running--
		}
		s.request(now, s.random.IntN(len(s.trackers)))
	}
}

// request sends one request, and once more if it is turned away.
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

// pick is the less loaded of two targets that are not in back-off; below 0 for none.
func (s *simulation) pick(now time.Duration, gateway int) int {
	best := s.pickAmong(now, gateway, s.way.tells)
	if best < 0 && s.way.avoids {
		return s.pickAmong(now, gateway, false)
	}
	return best
}

// avoided are the targets to which a gateway that heeds what others report sends nothing.
func (s *simulation) avoided(now time.Duration, heeds bool) map[catalog.Life]bool {
	if !heeds {
		return nil
	}
	if s.way.avoids && !s.way.always {
		return s.board.Avoided(after(now), s.listed)
	}
	avoided := map[catalog.Life]bool{}
	for _, t := range s.targets {
		avoided[t.life] = s.board.Left(after(now), t.life) > 0
	}
	return avoided
}

func (s *simulation) pickAmong(now time.Duration, gateway int, heeds bool) int {
	best, found := -1, 0
	avoided := s.avoided(now, heeds)
	for _, i := range s.random.Perm(simTargets) {
		life := s.targets[i].life
		if s.trackers[gateway].Left(after(now), life) > 0 || avoided[life] {
			continue
		}
		if best < 0 || s.targets[i].running < s.targets[best].running {
			best = i
		}
		if found++; found == 2 {
			break
		}
	}
	return best
}

func (s *simulation) send(now time.Duration, gateway, i int) (served bool) {
	t := s.targets[i]
	t.arrivals = append(t.arrivals, now)
	s.count(now, gateway, i)
	if t.isInNeed && now >= simBegins && now < simEnds || t.running >= 2*simSlots {
		s.wasted++
		s.turnAway(now, gateway, i)
		return false
	}
	t.running++
	if now >= simEnds {
		t.most = max(t.most, t.running)
	}
	heap.Push(&s.ends, departure{at: now + simWork, target: t})
	return true
}

// count notes what comes while the users' bound holds.
func (s *simulation) count(now time.Duration, gateway, i int) {
	key := [2]int{gateway, i}
	at, ok := s.asked[key]
	if ok && now > at+simGrace && now < at+simAsk {
		s.since[key]++
		s.mostInTime = max(s.mostInTime, s.since[key])
	}
}

func (s *simulation) turnAway(now time.Duration, gateway, i int) {
	s.asked[[2]int{gateway, i}], s.since[[2]int{gateway, i}] = now, 0
	longer := time.Duration(s.random.Float64() * s.way.spread * float64(simAsk))
	s.trackers[gateway].Ask(after(now), s.targets[i].life, simAsk+longer)
	s.board.Note(after(now), signal.Update{Life: s.targets[i].life, From: strconv.Itoa(gateway), BackOff: simAsk})
}

// firstSecond is what targets that were in need, or those that were not, got on average in the second
// from the first request behind the end on, over the usual, and the most that one had at once.
func (s *simulation) firstSecond(inNeed bool) (share float64, atOnce int) {
	targets := 0
	for _, t := range s.targets {
		if t.isInNeed != inNeed {
			continue
		}
		targets++
		got := 0
		first := time.Duration(-1)
		for _, at := range t.arrivals {
			if at < simEnds {
				continue
			}
			if first < 0 {
				first = at
			}
			if at < first+time.Second {
				got++
			}
		}
		share, atOnce = share+float64(got)/s.rate, max(atOnce, t.most)
	}
	return share / float64(max(targets, 1)), atOnce
}

func simSeeds() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("SEEDS"), 10, 64); err == nil {
		return n
	}
	return 10
}

// However gateways learn of it, none sends a target that asked it for back-off more than the one
// request that was on its way.
func TestNoGatewaySendsInABackOffAtAnySize(t *testing.T) {
	ways := map[string]simWay{
		"each for itself":         {},
		"each for itself, spread": {spread: 0.3},
		"told to all":             {tells: true},
		"told to all, avoided":    {tells: true, avoids: true},
		"the same, always":        {tells: true, avoids: true, always: true},
		"told to all, spread":     {tells: true, spread: 0.3},
	}
	for _, gateways := range []int{18, 109, 984, 2072} {
		for _, c := range []struct {
			inNeed int
			rate   float64
		}{{1, simUsual}, {3, simUsual}, {7, simUsual}, {simTargets, simUsual}, {0, simPeak}} {
			for name, way := range ways {
				t.Run(fmt.Sprintf("%d gateways, %d in need, %g a second, %s", gateways, c.inNeed, c.rate, name), func(t *testing.T) {
					t.Parallel()
					g := NewWithT(t)
					most, wasted, refused, share, others, atOnce := 0, 0.0, 0.0, 0.0, 0.0, 0
					for seed := range simSeeds() {
						s := newSimulation(seed, gateways, c.inNeed, c.rate, way)
						s.run()
						most = max(most, s.mostInTime)
						wasted += float64(s.wasted) / float64(s.requests) / float64(simSeeds())
						refused += float64(s.refused) / float64(s.requests) / float64(simSeeds())
						first, at := s.firstSecond(true)
						usual, _ := s.firstSecond(false)
						share, others, atOnce = share+first/float64(simSeeds()), others+usual/float64(simSeeds()), max(atOnce, at)
					}
					t.Logf("%4d gateways, %2d in need, %2.0f a second, %-23s: in a back-off %d, turned away %.3f, refused %.3f of requests; first second %.2f of usual, others %.2f, %d at once", gateways, c.inNeed, c.rate, name, most, wasted, refused, share, others, atOnce)
					g.Expect(most).To(BeZero())
					if c.inNeed < simTargets {
						g.Expect(share).To(BeNumerically("<=", 1.5))
					}
					if c.inNeed == 0 && way.avoids {
						g.Expect(refused).To(BeNumerically("<", 0.05), "targets that are full for a moment are not lost")
					}
					if c.inNeed == 0 && way.avoids && !way.always {
						g.Expect(refused).To(BeNumerically("<", 0.03))
					}
					if c.inNeed == 7 && way.avoids {
						g.Expect(wasted).To(BeNumerically("<", 0.06), "most targets may ask at once")
					}
				})
			}
		}
	}
}
